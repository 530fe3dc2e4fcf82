//! Patterns of crashing parts and other faults.

use hickorycourse_quarantine::QuarantineOptions;

/// What instances do about parts that crash engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashPolicy {
    /// Parameters of the quarantine; `None` for none.
    pub quarantine: Option<QuarantineOptions>,
    /// Whether an answer that begins on a part clears it.
    pub clears_parts: bool,
    /// Whether an instance sends at most one request at a time with a suspected part.
    pub limits_suspected: bool,
}

impl CrashPolicy {
    /// The policy of the relay.
    pub fn chosen() -> Self {
        Self {
            quarantine: Some(QuarantineOptions::default()),
            clears_parts: true,
            limits_suspected: false,
        }
    }

    /// No quarantine.
    pub fn baseline() -> Self {
        Self { quarantine: None, ..Self::chosen() }
    }

    /// Lists the policies that reports compare, with their names.
    pub fn list() -> Vec<(&'static str, Self)> {
        let options = QuarantineOptions::default();
        let two_starts = Some(QuarantineOptions { min_starts: 2, ..options });
        vec![
            ("chosen", Self::chosen()),
            ("baseline", Self::baseline()),
            ("two-starts", Self { quarantine: two_starts, ..Self::chosen() }),
            ("count-only", Self { clears_parts: false, ..Self::chosen() }),
            ("suspects-one-by-one", Self { limits_suspected: true, ..Self::chosen() }),
        ]
    }
}

/// Requests with a part on which engines crash as they begin to write, or the same request again and again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrashingPart {
    /// Mean arrival rate of requests with the part, at all instances together.
    pub requests_per_s: f64,
    /// Time from which engines crash on it; before, they answer it.
    pub crashes_from_ms: u64,
    /// Whether a part of sound requests follows it in the prompt.
    pub is_followed: bool,
    /// Whether it is one plain request without a prompt, which comes again and again.
    pub is_request: bool,
}

/// When a trouble begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TroubleStart {
    /// At a time.
    At {
        /// The time.
        at_ms: u64,
    },
    /// When a crashing part has ended its fifth engine, or a request its third.
    FifthCrash,
}

/// A fault that no request causes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Part of the engines crash together, several times.
    CrashWaves {
        /// Time of the first wave.
        from_ms: u64,
        /// Time between waves; each is up to a quarter earlier or later.
        interval_ms: u64,
        /// Number of waves.
        waves: u64,
        /// Fraction of the engines that crash.
        engine_share: f64,
        /// Time within which the crashes of a wave are spread.
        spread_ms: u64,
    },
    /// Engines end one after the other, without notice.
    RollingRestart {
        /// Time of the first end.
        from_ms: u64,
        /// Time between ends.
        interval_ms: u64,
    },
    /// Some engines break a part of their requests at their beginnings, but go on.
    FaultyEngines {
        /// Time from which they do.
        from_ms: u64,
        /// Fraction of the engines.
        engine_share: f64,
        /// Fraction of their requests that break.
        broken_share: f64,
    },
    /// Half of the connections of one instance are reset, again and again, each time of another one.
    ConnectionResets {
        /// Time of the first reset.
        from_ms: u64,
        /// Time between resets.
        interval_ms: u64,
    },
    /// The instances of a zone hear nothing from other zones and reach the engines of their zone only.
    ZoneCut {
        /// Start of the cut.
        start: TroubleStart,
        /// Duration of the cut.
        duration_ms: u64,
    },
    /// All instances restart at once and read the quarantined parts from the record in the store.
    InstanceRestart {
        /// Time of the restart.
        at_ms: u64,
    },
}

/// A deployment with its crashing parts and other faults.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashPattern {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Time during which requests arrive.
    pub duration_ms: u64,
    /// Mean arrival rate of sound requests for each engine.
    pub requests_per_engine_s: f64,
    /// Fraction of the sound requests with the first part of the crashing ones that share one more part.
    pub popular_share: f64,
    /// Fraction of the sound requests that are polls: a few plain requests that come again and again.
    pub poll_share: f64,
    /// The crashing parts.
    pub crashing_parts: Vec<CrashingPart>,
    /// The other faults.
    pub troubles: Vec<Trouble>,
}

impl CrashPattern {
    /// Returns the pattern for another number of instances, with three engines for five of them.
    pub fn with_instances(self, instances: usize) -> Self {
        Self { instances, engines: (instances * 3).div_ceil(5), ..self }
    }

    /// Returns the pattern without crashing parts. What would begin with the fifth crash begins after five
    /// seconds.
    pub fn without_crashing_parts(mut self) -> Self {
        self.crashing_parts.clear();
        for trouble in &mut self.troubles {
            if let Trouble::ZoneCut { start, .. } = trouble {
                *start = TroubleStart::At { at_ms: 5_000 };
            }
        }
        self
    }

    /// Number of zones over which instances and engines are spread.
    pub fn zones(&self) -> usize {
        (self.instances / 60).clamp(3, 8)
    }
}
