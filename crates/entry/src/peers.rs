//! Processing of messages from peers, and the calls and queries that await a reply from a peer.

use std::collections::HashMap;
use std::sync::Arc;

use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_jobs::JobCopy;
use hickorycourse_peer::{ForwardAnswer, ForwardedCall, PeerHandler, PeerMessage};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::drain::RequestKind;
use crate::state::{Entry, InFlightGuard, UsageOwner};
use crate::{caller, drain};

/// A call that a peer has forwarded to this entry.
pub struct ForwardRequest {
    /// Name of the peer.
    pub from: String,
    /// The call.
    pub call: ForwardedCall,
    /// Counts the call as in flight until its answer has been sent.
    pub guard: InFlightGuard,
}

/// A job that a peer has handed over to this entry.
pub struct JobHandover {
    /// The job.
    pub copy: JobCopy,
    /// Counts the job as in flight until it is in the table of jobs.
    pub guard: InFlightGuard,
}

/// Calls forwarded by this entry that await a response.
#[derive(Default)]
pub struct PendingForwards {
    by_call_id: Mutex<HashMap<u64, PendingForward>>,
}

struct PendingForward {
    peer: String,
    reply: oneshot::Sender<ForwardAnswer>,
}

impl PendingForwards {
    /// Registers a forwarded call. The receiver fails when the last link to the peer closes.
    pub fn add(&self, call_id: u64, peer: &str) -> oneshot::Receiver<ForwardAnswer> {
        let (reply, receiver) = oneshot::channel();
        self.by_call_id.lock().insert(call_id, PendingForward { peer: peer.to_owned(), reply });
        receiver
    }

    /// Removes a call that could not be sent.
    pub fn remove(&self, call_id: u64) {
        self.by_call_id.lock().remove(&call_id);
    }

    fn complete(&self, answer: ForwardAnswer) {
        if let Some(pending) = self.by_call_id.lock().remove(&answer.call_id) {
            let _ = pending.reply.send(answer);
        }
    }

    fn fail_calls_to(&self, peer: &str) {
        self.by_call_id.lock().retain(|_, pending| pending.peer != peer);
    }
}

/// Handles messages on the thread of the peer mesh. Handovers and forwarded calls are passed to
/// tasks of the main thread, so that they do not block the links.
pub struct EntryPeerHandler {
    entry: Arc<Entry>,
    handovers: mpsc::UnboundedSender<JobHandover>,
}

/// Job queries sent by this entry that await replies.
#[derive(Default)]
pub struct PendingJobQueries {
    by_call_id: Mutex<HashMap<u64, mpsc::UnboundedSender<Option<JobCopy>>>>,
}

impl PendingJobQueries {
    /// Registers a query. The receiver yields one reply per peer: its copy of the job, or `None`.
    pub fn add(&self, call_id: u64) -> mpsc::UnboundedReceiver<Option<JobCopy>> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.by_call_id.lock().insert(call_id, sender);
        receiver
    }

    /// Removes a query; later replies to it are ignored.
    pub fn remove(&self, call_id: u64) {
        self.by_call_id.lock().remove(&call_id);
    }

    fn add_reply(&self, call_id: u64, copy: Option<JobCopy>) {
        if let Some(sender) = self.by_call_id.lock().get(&call_id) {
            let _ = sender.send(copy);
        }
    }
}

impl EntryPeerHandler {
    /// Creates the handler. Jobs handed over by peers are sent to `handovers`.
    pub fn new(entry: &Arc<Entry>, handovers: mpsc::UnboundedSender<JobHandover>) -> Arc<Self> {
        Arc::new(Self { entry: Arc::clone(entry), handovers })
    }

    fn handle_heartbeat(&self, heartbeat: hickorycourse_membership::Heartbeat) -> Vec<PeerMessage> {
        let entry = &self.entry;
        let is_behind = heartbeat.settings_digest != entry.snapshot().digest;
        if heartbeat.leaving_instances.contains(&entry.settings.instance) {
            drain::start_drain(entry, "a peer reported that this instance is leaving");
        }
        entry.mark_leaving(&heartbeat.leaving_instances);
        entry.members.lock().record_heartbeat(heartbeat, entry.clock.now_ms());
        match is_behind {
            true => vec![PeerMessage::Versions(entry.replica.read().list_versions())],
            false => Vec::new(),
        }
    }

    fn handle_job_message(&self, from: &str, message: PeerMessage) -> Vec<PeerMessage> {
        let entry = &self.entry;
        match message {
            PeerMessage::JobCopy(copy) => {
                let job_id = copy.job_id.clone();
                let is_finished = copy.is_finished();
                if entry.jobs.lock().receive_copy(copy) {
                    return vec![PeerMessage::JobCopyHeld { job_id, is_finished }];
                }
            }
            PeerMessage::JobCopyHeld { job_id, is_finished } => {
                entry.jobs.lock().confirm_copy(&job_id, from, is_finished);
            }
            PeerMessage::JobHandover(copy) => {
                if entry.drain.is_leaving() {
                    return Vec::new();
                }
                let Some(guard) = InFlightGuard::try_admit(entry, RequestKind::Caller) else {
                    return Vec::new();
                };
                let job_id = copy.job_id.clone();
                let _ = self.handovers.send(JobHandover { copy, guard });
                return vec![PeerMessage::JobTaken { job_id }];
            }
            PeerMessage::JobTaken { job_id } => {
                entry.jobs.lock().confirm_handover(&job_id, from);
            }
            PeerMessage::JobQuery { call_id, job_id } => {
                let copy = entry.jobs.lock().find(&job_id).cloned();
                return vec![PeerMessage::JobFound { call_id, copy }];
            }
            PeerMessage::JobFound { call_id, copy } => {
                entry.pending_job_queries.add_reply(call_id, copy)
            }
            _ => {}
        }
        Vec::new()
    }

    /// Passes a forwarded call on to its task, or refuses it like a caller's request.
    fn handle_forward(&self, from: &str, call: ForwardedCall) -> Vec<PeerMessage> {
        let Some(guard) = InFlightGuard::try_admit(&self.entry, RequestKind::Caller) else {
            let problem = Problem::new(ErrorCode::Draining);
            let answer = caller::problem_to_forward_answer(call.call_id, problem);
            return vec![PeerMessage::ForwardAnswer(answer)];
        };
        let request = ForwardRequest { from: from.to_owned(), call, guard };
        let _ = self.entry.forwarded_calls.send(request);
        Vec::new()
    }

    /// Replies with the documents of which this entry has a newer revision. If the peer has a newer
    /// revision of any, also replies with this entry's revisions, so that the peer sends it.
    fn handle_versions(
        &self,
        versions: &[hickorycourse_membership::DocumentVersion],
    ) -> Vec<PeerMessage> {
        let replica = self.entry.replica.read();
        let mut replies = Vec::new();
        let newer = replica.list_newer_than(versions);
        if !newer.is_empty() {
            replies.push(PeerMessage::Documents(newer));
        }
        if replica.is_behind(versions) {
            replies.push(PeerMessage::Versions(replica.list_versions()));
        }
        replies
    }
}

impl PeerHandler for EntryPeerHandler {
    fn handle_message(&self, from: &str, message: PeerMessage) -> Vec<PeerMessage> {
        let entry = &self.entry;
        match message {
            PeerMessage::Heartbeat(heartbeat) => return self.handle_heartbeat(heartbeat),
            PeerMessage::Versions(versions) => return self.handle_versions(&versions),
            PeerMessage::Documents(documents) => {
                entry.apply_documents(&documents);
            }
            PeerMessage::UsageCopy { incarnation, book } => {
                let owner = UsageOwner { instance: from.to_owned(), incarnation };
                entry.usage_copies.lock().entry(owner).or_default().merge(&book);
            }
            PeerMessage::Forward(call) => return self.handle_forward(from, call),
            PeerMessage::ForwardAnswer(answer) => entry.pending_forwards.complete(answer),
            PeerMessage::Goodbye => entry.members.lock().remove(from),
            job_message => return self.handle_job_message(from, job_message),
        }
        Vec::new()
    }

    fn make_heartbeat(&self) -> PeerMessage {
        PeerMessage::Heartbeat(self.entry.make_heartbeat())
    }

    fn on_link_opened(&self, _peer: &str) -> Vec<PeerMessage> {
        let versions = self.entry.replica.read().list_versions();
        vec![PeerMessage::Heartbeat(self.entry.make_heartbeat()), PeerMessage::Versions(versions)]
    }

    fn on_peer_disconnected(&self, peer: &str) {
        self.entry.pending_forwards.fail_calls_to(peer);
    }
}
