//! Messages exchanged on a link. The names of variants and fields are part of the wire format.

use hickorycourse_idempotency::StoredResponse;
use hickorycourse_jobs::JobCopy;
use hickorycourse_membership::{DocumentVersion, Heartbeat, VersionedDocument};
use hickorycourse_usage::UsageTable;
use serde::{Deserialize, Serialize};

/// A message between two entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Periodic report of the sender's state.
    Heartbeat(Heartbeat),
    /// Revisions of the settings documents that the sender holds. The receiver replies with the
    /// documents of which it has a newer revision and, if it has an older one, with its own
    /// revisions.
    Versions(Vec<DocumentVersion>),
    /// Settings documents with their revisions.
    Documents(Vec<VersionedDocument>),
    /// A copy of the sender's usage counters.
    UsageCopy {
        /// Incarnation of the sender, which identifies one run of its process.
        incarnation: u64,
        /// Usage counters of that incarnation.
        book: UsageTable,
    },
    /// A call that only the receiver may execute, because it issued the call's order id (an
    /// idempotency key that is valid only at its issuer).
    Forward(ForwardedCall),
    /// The response to a forwarded call.
    ForwardAnswer(ForwardAnswer),
    /// A copy of an accepted job, or of its outcome.
    JobCopy(JobCopy),
    /// Acknowledges that the sender has stored the copy of a job.
    JobCopyHeld {
        /// Id of the job.
        job_id: String,
        /// Whether the copy contains the job's outcome.
        is_finished: bool,
    },
    /// Transfers ownership of a job to the receiver; the sender has stopped executing it.
    JobHandover(JobCopy),
    /// Acknowledges that the sender has accepted a handover.
    JobTaken {
        /// Id of the job.
        job_id: String,
    },
    /// Queries the receiver for its copy of a job.
    JobQuery {
        /// Id of the query, unique among the sender's calls.
        call_id: u64,
        /// Id of the job.
        job_id: String,
    },
    /// The response to a [`PeerMessage::JobQuery`].
    JobFound {
        /// Id of the query.
        call_id: u64,
        /// The job; absent if the sender does not have it.
        copy: Option<JobCopy>,
    },
    /// The sender is shutting down; if it restarts, it does so under another incarnation.
    Goodbye,
}

/// A header of a forwarded call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeaderField {
    /// Header name.
    pub name: String,
    /// Header value, not necessarily UTF-8.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// A call with an order id, forwarded to the entry that issued the id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardedCall {
    /// Id of the call, unique among the sender's calls.
    pub call_id: u64,
    /// Incarnation of the entry that issued the order id.
    pub incarnation: u64,
    /// Sequence number of the order id.
    pub sequence: u64,
    /// Organisation that the caller belongs to.
    pub organisation: String,
    /// Name of the caller.
    pub caller: String,
    /// Name of the service called.
    pub service: String,
    /// Rank (priority class) of the call.
    pub rank: String,
    /// HTTP method.
    pub method: String,
    /// Path and query of the URL.
    pub path_and_query: String,
    /// Headers to forward to the service.
    pub headers: Vec<HeaderField>,
    /// Request body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Id of the caller's request.
    pub request_id: String,
    /// W3C trace context, the value of the `traceparent` header.
    pub traceparent: String,
}

/// The response to a forwarded call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardAnswer {
    /// Id of the forwarded call.
    pub call_id: u64,
    /// Number of the error code; absent if the call succeeded.
    pub error_number: Option<u16>,
    /// Whether the service executed the call: `not_run`, `may_have_run` or `ran`.
    pub execution: String,
    /// Description of the failure; empty if the call succeeded.
    pub detail: String,
    /// The service's response; absent if there is none.
    pub answer: Option<StoredResponse>,
}
