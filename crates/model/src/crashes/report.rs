//! Outcomes of a simulation of crashing parts.

/// A part that an instance has quarantined by its own evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// Time of the verdict.
    pub at_ms: u64,
    /// Index of the instance.
    pub instance: usize,
    /// Hash of the part.
    pub part: u64,
    /// Starts that ended under it.
    pub starts: u64,
    /// Time between the first and the last of these ends.
    pub span_ms: u64,
    /// Whether engines crash on the part.
    pub is_right: bool,
    /// Whether it is a poll.
    pub is_poll: bool,
}

/// Result of a simulation of crashing parts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CrashReport {
    /// Engines that each crashing part has ended.
    pub ended_by_part: Vec<u64>,
    /// Time at which each crashing part has ended its fifth engine.
    pub fifth_end_ms: Vec<Option<u64>>,
    /// Attempts with each crashing part that reached engines after the fifth end and the contact time,
    /// from instances that were in touch with the others.
    pub late_attempts: Vec<u64>,
    /// Engines that ended, for whatever reason.
    pub ended_engines: u64,
    /// Verdicts by own evidence, in order of time.
    pub verdicts: Vec<Verdict>,
    /// Sound requests in all.
    pub requests: u64,
    /// Sound requests with the first part of the crashing ones that arrived when the effects should be over,
    /// or during the whole run if no part ended five engines.
    pub sibling_requests: u64,
    /// Those whose first attempt began to be answered.
    pub begun_sibling_requests: u64,
    /// Sound requests that were rejected because of a quarantined part.
    pub rejected_sound_requests: u64,
    /// Sound requests that were rejected for a while, until evidence against them settled.
    pub held_sound_requests: u64,
}

impl CrashReport {
    /// Most attempts that reached engines late with one crashing part.
    pub fn max_late_attempts(&self) -> u64 {
        self.late_attempts.iter().copied().max().unwrap_or(0)
    }

    /// Fraction of the sound requests with the first part of the crashing ones that began to be answered at
    /// the first attempt.
    pub fn begun_sibling_ratio(&self) -> f64 {
        self.begun_sibling_requests as f64 / self.sibling_requests.max(1) as f64
    }

    /// Verdicts against parts on which engines don't crash.
    pub fn false_verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts.iter().filter(|verdict| !verdict.is_right)
    }

    /// Formats the outcomes as one line.
    pub fn format_line(&self, title: &str) -> String {
        let first_verdict = self.verdicts.iter().find(|verdict| verdict.is_right);
        let first_verdict = first_verdict.map_or_else(|| "-".to_owned(), |v| v.at_ms.to_string());
        format!(
            "{title:<44} late {:>5}  ended by part {:>5}  ended {:>5}  begun {:>5.1}%  rejected sound {:>5}  held sound {:>4}  \
             false verdicts {:>3}  first verdict {first_verdict} ms",
            self.max_late_attempts(),
            self.ended_by_part.iter().sum::<u64>(),
            self.ended_engines,
            100.0 * self.begun_sibling_ratio(),
            self.rejected_sound_requests,
            self.held_sound_requests,
            self.false_verdicts().count(),
        )
    }
}
