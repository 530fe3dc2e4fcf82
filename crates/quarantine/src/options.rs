//! Parameters of the decision.

/// When a part is quarantined and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineOptions {
    /// Starts of upstreams that have to end under a part on which no answer is known to have begun.
    pub min_starts: usize,
    /// Starts that have to end under a part on which answers have begun before.
    pub min_starts_certain: usize,
    /// Events, which are groups of ends close together, that have to lie under a part on which answers have
    /// begun before.
    pub min_events: usize,
    /// Answers of the service on other parts that have to begin after these ends, later than
    /// `common_cause_ms`, if answers have begun on the part before.
    pub min_answers: usize,
    /// Time from which the end of a start counts. Until then, other instances may still tell which other
    /// attempts broke with it, and on which parts answers have begun since.
    pub settle_ms: u64,
    /// Time before and after the end of a start in which other ends may have a common cause with it.
    pub common_cause_ms: u64,
    /// An end counts against a part only if the part is in at least one of this number of the ends that
    /// may have a common cause.
    pub common_cause_divisor: usize,
    /// Shortest time between the first and the last of these ends. Upstreams that end together may have
    /// a common cause.
    pub min_span_ms: u64,
    /// Time after which the end of a start is forgotten.
    pub evidence_ttl_ms: u64,
    /// Time after the break of an attempt from which progress at the same start shows that the start has
    /// not ended. Bytes that were under way may still be read before.
    pub alive_after_ms: u64,
    /// Time within which such progress counts; later, the same id may be another start.
    pub alive_within_ms: u64,
    /// Time without a request with a quarantined part after which the quarantine is lifted.
    pub idle_lift_ms: u64,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            min_starts: 3,
            min_starts_certain: 5,
            min_events: 3,
            min_answers: 2,
            settle_ms: 1_500,
            common_cause_ms: 300,
            common_cause_divisor: 3,
            min_span_ms: 200,
            evidence_ttl_ms: 600_000,
            alive_after_ms: 300,
            alive_within_ms: 1_500,
            idle_lift_ms: 600_000,
        }
    }
}
