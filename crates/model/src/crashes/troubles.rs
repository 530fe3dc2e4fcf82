//! Faults that no request causes.

use std::rc::Rc;

use hickorycourse_quarantine::PartQuarantine;
use rand::Rng;
use rand::seq::SliceRandom;

use super::pattern::{Trouble, TroubleStart};
use super::simulation::{CONTACT_MS, Event, Simulation};

/// A fault that happens.
pub enum TroubleEvent {
    /// Engines crash together.
    CrashWave { engine_share: f64, spread_ms: u64 },
    /// One engine ends, and the next one after the interval.
    RollingRestart { engine: usize, interval_ms: u64 },
    /// Engines begin to break requests.
    FaultyEngines { engine_share: f64, broken_share: f64 },
    /// Half of the connections of an instance are reset.
    ConnectionResets { interval_ms: u64 },
    /// A zone is cut off.
    ZoneCut { duration_ms: u64 },
    /// The cut ends.
    ZoneCutEnd,
    /// All instances restart.
    InstanceRestart,
}

impl Simulation<'_> {
    /// Schedules a trouble of the pattern if it begins at a known time (`None`) or at this event.
    pub fn schedule_trouble(&mut self, index: usize, event: Option<TroubleStart>) {
        let trouble = self.pattern.troubles[index];
        if let Trouble::ZoneCut { start, duration_ms } = trouble {
            let delay_ms = match start {
                TroubleStart::At { at_ms } if event.is_none() => at_ms,
                TroubleStart::FifthCrash if event == Some(start) && self.cut_zone.is_none() => 0,
                _ => return,
            };
            self.schedule_in(delay_ms, Event::Trouble(TroubleEvent::ZoneCut { duration_ms }));
            return;
        }
        if event.is_some() {
            return;
        }
        match trouble {
            Trouble::CrashWaves { from_ms, interval_ms, waves, engine_share, spread_ms } => {
                for wave in 0..waves {
                    let jitter_ms = self.rng.random_range(0..=interval_ms / 2);
                    let delay_ms = from_ms + wave * interval_ms + jitter_ms;
                    let wave = TroubleEvent::CrashWave { engine_share, spread_ms };
                    self.schedule_in(delay_ms, Event::Trouble(wave));
                }
            }
            Trouble::RollingRestart { from_ms, interval_ms } => {
                let restart = TroubleEvent::RollingRestart { engine: 0, interval_ms };
                self.schedule_in(from_ms, Event::Trouble(restart));
            }
            Trouble::FaultyEngines { from_ms, engine_share, broken_share } => {
                let faulty = TroubleEvent::FaultyEngines { engine_share, broken_share };
                self.schedule_in(from_ms, Event::Trouble(faulty));
            }
            Trouble::ConnectionResets { from_ms, interval_ms } => {
                let resets = TroubleEvent::ConnectionResets { interval_ms };
                self.schedule_in(from_ms, Event::Trouble(resets));
            }
            Trouble::InstanceRestart { at_ms } => {
                self.schedule_in(at_ms, Event::Trouble(TroubleEvent::InstanceRestart));
            }
            Trouble::ZoneCut { .. } => {}
        }
    }

    /// Applies a fault.
    pub fn handle_trouble(&mut self, trouble: TroubleEvent) {
        if !self.is_running() {
            return;
        }
        match trouble {
            TroubleEvent::CrashWave { engine_share, spread_ms } => {
                for engine in self.draw_engines(engine_share) {
                    let start = self.engines[engine].start;
                    let delay_ms = self.rng.random_range(0..=spread_ms);
                    self.schedule_in(delay_ms, Event::EngineEnd { engine, start, part: None });
                }
            }
            TroubleEvent::RollingRestart { engine, interval_ms } => {
                if self.engines[engine].is_alive {
                    self.end_engine(engine, None);
                }
                let next = (engine + 1) % self.engines.len();
                let restart = TroubleEvent::RollingRestart { engine: next, interval_ms };
                self.schedule_in(interval_ms, Event::Trouble(restart));
            }
            TroubleEvent::FaultyEngines { engine_share, broken_share } => {
                self.broken_share = broken_share;
                for engine in self.draw_engines(engine_share) {
                    self.engines[engine].is_faulty = true;
                }
            }
            TroubleEvent::ConnectionResets { interval_ms } => {
                let instance = self.rng.random_range(0..self.instances.len());
                let reset = self.instances[instance].in_flight.clone().into_iter();
                let reset: Vec<usize> = reset.filter(|_| self.rng.random_bool(0.5)).collect();
                self.break_requests(&reset);
                let resets = TroubleEvent::ConnectionResets { interval_ms };
                self.schedule_in(interval_ms, Event::Trouble(resets));
            }
            TroubleEvent::ZoneCut { duration_ms } => self.cut_zone(duration_ms),
            TroubleEvent::ZoneCutEnd => self.cut_zone = None,
            TroubleEvent::InstanceRestart => self.restart_instances(),
        }
    }

    fn draw_engines(&mut self, share: f64) -> Vec<usize> {
        let mut engines: Vec<usize> = (0..self.engines.len()).collect();
        engines.shuffle(&mut self.rng);
        engines.truncate((engines.len() as f64 * share).ceil() as usize);
        engines
    }

    fn break_requests(&mut self, requests: &[usize]) {
        for request in requests {
            let attempt = self.requests[*request].attempt;
            let delay_ms = self.rng.random_range(0..=8);
            self.schedule_in(delay_ms, Event::Broken { request: *request, attempt });
        }
    }

    fn cut_zone(&mut self, duration_ms: u64) {
        let zone = self.rng.random_range(0..self.pattern.zones());
        self.cut_zone = Some(zone);
        self.out_of_touch.insert(zone, self.now_ms + duration_ms + CONTACT_MS);
        self.schedule_in(duration_ms, Event::Trouble(TroubleEvent::ZoneCutEnd));
        let mut crossing = Vec::new();
        for engine in &self.engines {
            let is_crossing = |request: &&usize| {
                let instance = &self.instances[self.requests[**request].instance];
                (instance.zone == zone) != (engine.zone == zone)
            };
            crossing.extend(engine.in_flight.iter().filter(is_crossing).copied());
        }
        self.break_requests(&crossing);
    }

    /// Replaces the evidence of all instances by the record in the store, and cancels their requests.
    fn restart_instances(&mut self) {
        for index in 0..self.instances.len() {
            for request in self.instances[index].in_flight.clone() {
                self.release(request);
            }
            let options = self.policy.quarantine.unwrap_or_default();
            self.instances[index].quarantine = PartQuarantine::new(options);
            self.instances[index].reply = None;
            self.instances[index].zone_digests.fill(None);
        }
        let Some((record, written_at_ms)) = self.record.clone() else { return };
        if self.policy.quarantine.is_none() {
            return;
        }
        for index in 0..self.instances.len() {
            self.merge(index, &Rc::clone(&record), self.now_ms - written_at_ms);
        }
    }
}
