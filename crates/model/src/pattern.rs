//! Load patterns: who asks for what, when, and what fails meanwhile.

/// What a caller does after a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Comeback {
    /// It does not come back.
    Never,
    /// It comes back at once, as long as it has time left.
    AtOnce,
    /// It comes back when it was told to.
    WhenTold,
}

/// A time in which a group asks more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    /// Start.
    pub from_ms: u64,
    /// End.
    pub until_ms: u64,
    /// Requests against the usual number.
    pub times: f64,
}

/// Callers that behave alike.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerGroup {
    /// Name in reports.
    pub name: &'static str,
    /// Their organisation.
    pub organisation: &'static str,
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// Requests a second, on average.
    pub per_second: f64,
    /// When they ask more.
    pub surge: Option<Surge>,
    /// Prompt tokens of each request's own part.
    pub own_tokens: u64,
    /// Tokens of the part shared by the requests on one subject; 0 for none.
    pub shared_tokens: u64,
    /// Number of subjects.
    pub subjects: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
    /// Time to the first byte that counts as on time.
    pub target_ms: u64,
    /// Time after which a caller without a first byte leaves.
    pub patience_ms: u64,
    /// What it does after a refusal.
    pub comeback: Comeback,
}

/// An organisation's cap, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrganisationCap {
    /// The organisation.
    pub organisation: &'static str,
    /// Tokens a second; as many can be saved up.
    pub per_second: f64,
}

/// What fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Engines are gone without notice.
    EnginesLost {
        /// When.
        at_ms: u64,
        /// How many, the lowest numbers first.
        count: usize,
    },
    /// A zone reaches no other one.
    ZoneCut {
        /// The zone's number.
        zone: usize,
        /// Start.
        from_ms: u64,
        /// End.
        until_ms: u64,
    },
    /// The list of upstreams does not change.
    StoreOut {
        /// Start.
        from_ms: u64,
        /// End.
        until_ms: u64,
    },
}

/// A deployment with its load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPattern {
    /// Name on the command line.
    pub name: &'static str,
    /// Zones.
    pub zones: usize,
    /// Relays, spread over the zones.
    pub relays: usize,
    /// Engines, spread over the zones.
    pub engines: usize,
    /// Time in which callers ask; what is open then is played to its end.
    pub length_ms: u64,
    /// The callers.
    pub groups: Vec<CallerGroup>,
    /// Caps of organisations.
    pub caps: Vec<OrganisationCap>,
    /// What fails.
    pub faults: Vec<Fault>,
}

impl LoadPattern {
    /// Whether two zones reach each other at a time.
    pub fn is_linked(&self, one: usize, other: usize, now_ms: u64) -> bool {
        one == other
            || !self.faults.iter().any(|fault| match fault {
                Fault::ZoneCut { zone, from_ms, until_ms } => {
                    (*zone == one || *zone == other) && (*from_ms..*until_ms).contains(&now_ms)
                }
                Fault::EnginesLost { .. } | Fault::StoreOut { .. } => false,
            })
    }

    /// The end of the outage of the store at a time, if there is one.
    pub fn store_back_ms(&self, now_ms: u64) -> Option<u64> {
        self.faults.iter().find_map(|fault| match fault {
            Fault::StoreOut { from_ms, until_ms } if (*from_ms..*until_ms).contains(&now_ms) => {
                Some(*until_ms)
            }
            _ => None,
        })
    }
}
