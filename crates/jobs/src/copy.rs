//! What entries tell each other of a job.

use hickorycourse_idempotency::StoredResponse;
use serde::{Deserialize, Serialize};

/// How far a job has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// Not answered yet.
    Open,
    /// Answered.
    Finished(StoredResponse),
}

/// A job as it travels between entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobCopy {
    /// The job.
    pub job_id: String,
    /// The entry that works on it.
    pub holder: String,
    /// The incarnation of the holder's process.
    pub holder_incarnation: u64,
    /// Raised each time the job changes hands; a copy with a lower one is old.
    pub term: u64,
    /// Whose job it is.
    pub organisation: String,
    /// Who asked.
    pub caller: String,
    /// The service.
    pub service: String,
    /// The rank.
    pub rank: String,
    /// The request's body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// How far it has come.
    pub state: JobState,
}

impl JobCopy {
    /// Creates an open job without a request.
    pub fn new(job_id: &str, holder: &str, holder_incarnation: u64) -> Self {
        Self {
            job_id: job_id.to_owned(),
            holder: holder.to_owned(),
            holder_incarnation,
            term: 1,
            organisation: String::new(),
            caller: String::new(),
            service: String::new(),
            rank: String::new(),
            body: Vec::new(),
            state: JobState::Open,
        }
    }

    /// Whether it has been answered.
    pub fn is_finished(&self) -> bool {
        matches!(self.state, JobState::Finished(_))
    }

    /// Whether this copy says more than another of the same job. An answer outlasts any term.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.is_finished(), self.term) > (other.is_finished(), other.term)
    }
}
