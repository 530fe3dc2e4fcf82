//! Replacement of instances that are about to be terminated.

use std::collections::BTreeMap;

use hickorycourse_settings::{MachineClass, UpstreamSettings};

/// An instance to start as a replacement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedStart {
    /// Name of the instance to replace.
    pub replaces: String,
    /// Availability zone to start it in.
    pub availability_zone: String,
    /// Machine class to request.
    pub machine_class: MachineClass,
    /// Service that the instance will run.
    pub service: String,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Backoff {
    refusal_count: u32,
    retry_at_ms: u64,
}

/// Plans replacements for leaving instances of one availability zone.
///
/// Each machine class has an exponential backoff after refused starts. During the backoff of the
/// class of the instance to replace, the other class is requested. A replacement is started in the
/// same zone, because that is where capacity is missing and other zones have their own stewards.
#[derive(Clone, Debug)]
pub struct ReplacementPlanner {
    availability_zone: String,
    /// Started replacements, by the name of the instance that they replace.
    started: BTreeMap<String, String>,
    backoffs: BTreeMap<MachineClass, Backoff>,
}

const INITIAL_BACKOFF_MS: u64 = 1_000;
const MAX_BACKOFF_MS: u64 = 60_000;

impl ReplacementPlanner {
    /// Creates a planner for one zone that has started no replacements.
    pub fn new(availability_zone: &str) -> Self {
        Self {
            availability_zone: availability_zone.to_owned(),
            started: BTreeMap::new(),
            backoffs: BTreeMap::new(),
        }
    }

    /// Returns the starts that are due for leaving instances without a replacement. An instance is
    /// left out while both machine classes are in backoff.
    pub fn plan(
        &self,
        upstreams: &[UpstreamSettings],
        is_leaving: impl Fn(&str) -> bool,
        now_ms: u64,
    ) -> Vec<PlannedStart> {
        let own = upstreams.iter().filter(|u| u.availability_zone == self.availability_zone);
        let unreplaced =
            own.filter(|u| is_leaving(&u.instance) && !self.started.contains_key(&u.instance));
        let planned = unreplaced.filter_map(|upstream| {
            let machine_class = self.choose_class(upstream.machine_class, now_ms)?;
            Some(PlannedStart {
                replaces: upstream.instance.clone(),
                availability_zone: self.availability_zone.clone(),
                machine_class,
                service: upstream.service.clone(),
            })
        });
        planned.collect()
    }

    /// Records that the replacement was started as `instance` and resets the backoff of its machine
    /// class.
    pub fn record_started(&mut self, start: &PlannedStart, instance: &str) {
        self.started.insert(start.replaces.clone(), instance.to_owned());
        self.backoffs.remove(&start.machine_class);
    }

    /// Records that the start was refused; the backoff of its machine class doubles with each
    /// refusal.
    pub fn record_refused(&mut self, start: &PlannedStart, now_ms: u64) {
        let refusal_count = self.backoffs.get(&start.machine_class).map_or(0, |b| b.refusal_count);
        let wait_ms = (INITIAL_BACKOFF_MS << refusal_count.min(16)).min(MAX_BACKOFF_MS);
        let backoff = Backoff { refusal_count: refusal_count + 1, retry_at_ms: now_ms + wait_ms };
        self.backoffs.insert(start.machine_class, backoff);
    }

    fn choose_class(&self, preferred: MachineClass, now_ms: u64) -> Option<MachineClass> {
        let other = match preferred {
            MachineClass::Reclaimable => MachineClass::OnDemand,
            MachineClass::OnDemand => MachineClass::Reclaimable,
        };
        [preferred, other].into_iter().find(|class| {
            self.backoffs.get(class).is_none_or(|backoff| backoff.retry_at_ms <= now_ms)
        })
    }
}
