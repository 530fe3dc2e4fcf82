//! What travels on a link.

use hickorycourse_idempotency::StoredResponse;
use hickorycourse_jobs::JobCopy;
use hickorycourse_membership::{DocumentVersion, Heartbeat, VersionedDocument};
use hickorycourse_usage::UsageTable;
use serde::{Deserialize, Serialize};

/// One message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// The sender's state.
    Heartbeat(Heartbeat),
    /// The revisions of the settings that the sender holds; the receiver answers with what is newer
    /// and, if it is behind, with its own revisions.
    Versions(Vec<DocumentVersion>),
    /// Settings.
    Documents(Vec<VersionedDocument>),
    /// A copy of the sender's usage counters.
    UsageCopy {
        /// The sender's incarnation.
        incarnation: u64,
        /// Its counters.
        book: UsageTable,
    },
    /// A call that only the receiver may run.
    Forward(ForwardedCall),
    /// The answer to a forwarded call.
    ForwardAnswer(ForwardAnswer),
    /// A copy of an accepted job, or of its outcome.
    JobCopy(JobCopy),
    /// The receiver holds the copy of this job.
    JobCopyHeld {
        /// The job.
        job_id: String,
        /// Whether the copy has the answer.
        is_finished: bool,
    },
    /// The receiver holds the job from now on; the sender has ceased to work on it.
    JobHandover(JobCopy),
    /// The receiver of a handover has taken the job.
    JobTaken {
        /// The job.
        job_id: String,
    },
    /// Who knows this job?
    JobQuery {
        /// Names the question on this link.
        call_id: u64,
        /// The job.
        job_id: String,
    },
    /// The answer to a question for a job.
    JobFound {
        /// Names the question on this link.
        call_id: u64,
        /// The job, if it is known.
        copy: Option<JobCopy>,
    },
    /// The sender ends its process and comes back under another incarnation at most.
    Goodbye,
}

/// One header of a forwarded call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeaderField {
    /// Its name.
    pub name: String,
    /// Its value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// A call with an order id, on its way to the process that issued the id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardedCall {
    /// Names the call on this link.
    pub call_id: u64,
    /// The incarnation that issued the id.
    pub incarnation: u64,
    /// The id's number.
    pub sequence: u64,
    /// Whose call it is.
    pub organisation: String,
    /// Who calls.
    pub caller: String,
    /// The service.
    pub service: String,
    /// The rank.
    pub rank: String,
    /// The method.
    pub method: String,
    /// The path and query.
    pub path_and_query: String,
    /// The headers that are passed on.
    pub headers: Vec<HeaderField>,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The request's id.
    pub request_id: String,
    /// The trace that the call belongs to.
    pub traceparent: String,
}

/// The answer to a forwarded call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardAnswer {
    /// Names the call on this link.
    pub call_id: u64,
    /// The number of the error code, if it failed.
    pub error_number: Option<u16>,
    /// What is known of the execution: `not_run`, `may_have_run` or `ran`.
    pub execution: String,
    /// A sentence on the failure.
    pub detail: String,
    /// The answer, if there is one.
    pub answer: Option<StoredResponse>,
}
