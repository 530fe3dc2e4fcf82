//! The replicated record of a job, as sent between entries.

use hickorycourse_idempotency::StoredResponse;
use serde::{Deserialize, Serialize};

/// The state of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// Waiting or running; there is no response yet.
    Open,
    /// Finished, with its response.
    Finished(StoredResponse),
}

/// A copy of a job that is sent between entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobCopy {
    /// The id of the job.
    pub job_id: String,
    /// The entry that executes the job.
    pub holder: String,
    /// The incarnation of the holder's process.
    pub holder_incarnation: u64,
    /// Incremented each time the job moves to another holder; of two copies, the one with the lower
    /// term is stale.
    pub term: u64,
    /// The organisation of the caller.
    pub organisation: String,
    /// The caller that submitted the job.
    pub caller: String,
    /// The service that is called.
    pub service: String,
    /// The priority rank of the call.
    pub rank: String,
    /// The body of the request.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The state of the job.
    pub state: JobState,
}

impl JobCopy {
    /// Creates an open job in term 1, with the fields of the request left empty.
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

    /// Whether the job has a response.
    pub fn is_finished(&self) -> bool {
        matches!(self.state, JobState::Finished(_))
    }

    /// Whether this copy supersedes another copy of the same job. A finished copy supersedes an
    /// open one whatever their terms; otherwise the higher term wins.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.is_finished(), self.term) > (other.is_finished(), other.term)
    }
}
