//! Load patterns: the deployment, its callers' workload and the injected faults.

/// What a caller does after a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryBehaviour {
    /// The caller does not retry.
    Never,
    /// The caller retries immediately, while it has patience and attempts left.
    Immediate,
    /// The caller retries after the advised delay, but within a third of its remaining patience.
    AfterDelay,
    /// As `AfterDelay`, but only once.
    OnceAfterDelay,
}

/// A period with a raised request rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    /// Start of the surge.
    pub from_ms: u64,
    /// End of the surge, exclusive.
    pub until_ms: u64,
    /// Factor by which the request rate is raised.
    pub rate_factor: f64,
}

/// Callers with the same workload and retry behaviour.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerGroup {
    /// Name in reports.
    pub name: &'static str,
    /// Organisation of the callers; selects the cap.
    pub organisation: &'static str,
    /// Urgency of the callers' rank; 0 is the most urgent.
    pub urgency: u8,
    /// Mean arrival rate outside a surge.
    pub requests_per_second: f64,
    /// Period with a raised rate; `None` for a constant rate.
    pub surge: Option<Surge>,
    /// Prompt tokens that are unique to each request.
    pub own_tokens: u64,
    /// Tokens of the prompt prefix that requests share; 0 for none.
    pub shared_tokens: u64,
    /// Number of distinct shared prefixes; each request draws one uniformly.
    pub shared_prefixes: u64,
    /// Tokens of each answer.
    pub output_tokens: u64,
    /// Target of the time to the first byte, from the first attempt on.
    pub target_ms: u64,
    /// Time after which a caller that has received no first byte abandons its request.
    pub patience_ms: u64,
    /// What a caller does after a refusal.
    pub retry_behaviour: RetryBehaviour,
}

/// Token rate limit of an organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrganisationCap {
    /// The organisation.
    pub organisation: &'static str,
    /// Rate of the token bucket; the burst is one second's tokens.
    pub tokens_per_second: f64,
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Engines crash without notice and stay down.
    EngineCrash {
        /// Time of the crash.
        at_ms: u64,
        /// Number of engines, the lowest indices first.
        count: usize,
    },
    /// Engines are reclaimed: they finish their requests, get no more, and are replaced later.
    EngineReclaim {
        /// Start of the fault.
        from_ms: u64,
        /// Time at which others take their place.
        until_ms: u64,
        /// Number of engines, the lowest indices first.
        count: usize,
    },
    /// A zone is partitioned from all other zones.
    ZonePartition {
        /// Index of the zone.
        zone: usize,
        /// Start of the fault.
        from_ms: u64,
        /// End of the fault, exclusive.
        until_ms: u64,
    },
    /// The store is down; relays keep their last list of upstreams.
    StoreOutage {
        /// Start of the fault.
        from_ms: u64,
        /// End of the fault, exclusive.
        until_ms: u64,
    },
}

/// A deployment with its workload and faults.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPattern {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of zones.
    pub zones: usize,
    /// Number of relays, spread over the zones.
    pub relays: usize,
    /// Relays of an earlier build among them, which know no overload control.
    pub earlier_relays: usize,
    /// Number of engines, spread over the zones.
    pub engines: usize,
    /// Time during which requests arrive. The simulation continues until all of them have ended.
    pub duration_ms: u64,
    /// The workload, by caller group.
    pub groups: Vec<CallerGroup>,
    /// Caps of organisations; an organisation without one is unlimited.
    pub caps: Vec<OrganisationCap>,
    /// Faults to inject.
    pub faults: Vec<Fault>,
}

impl LoadPattern {
    /// Whether two zones can reach each other at `now_ms`.
    pub fn is_reachable(&self, one: usize, other: usize, now_ms: u64) -> bool {
        one == other
            || !self.faults.iter().any(|fault| match fault {
                Fault::ZonePartition { zone, from_ms, until_ms } => {
                    (*zone == one || *zone == other) && (*from_ms..*until_ms).contains(&now_ms)
                }
                Fault::EngineCrash { .. }
                | Fault::EngineReclaim { .. }
                | Fault::StoreOutage { .. } => false,
            })
    }

    /// The end of the store outage in progress at `now_ms`; `None` if the store is up.
    pub fn store_recovery_ms(&self, now_ms: u64) -> Option<u64> {
        self.faults.iter().find_map(|fault| match fault {
            Fault::StoreOutage { from_ms, until_ms } if (*from_ms..*until_ms).contains(&now_ms) => {
                Some(*until_ms)
            }
            _ => None,
        })
    }
}
