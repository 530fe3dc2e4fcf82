//! What this entry does with its peers' messages.

use std::collections::HashMap;
use std::sync::Arc;

use hickorycourse_jobs::JobCopy;
use hickorycourse_peer::{ForwardAnswer, ForwardedCall, PeerHandler, PeerMessage};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::drain;
use crate::state::{Entry, UsageOwner};

/// A call that a peer has forwarded to this entry.
pub struct ForwardRequest {
    /// The peer.
    pub from: String,
    /// The call.
    pub call: ForwardedCall,
}

/// Calls that this entry has forwarded and waits for.
#[derive(Default)]
pub struct PendingForwards {
    waiting: Mutex<HashMap<u64, PendingForward>>,
}

struct PendingForward {
    peer: String,
    reply: oneshot::Sender<ForwardAnswer>,
}

impl PendingForwards {
    /// Waits for the answer to a call. The receiver ends without one when the link closes.
    pub fn add(&self, call_id: u64, peer: &str) -> oneshot::Receiver<ForwardAnswer> {
        let (reply, receiver) = oneshot::channel();
        self.waiting.lock().insert(call_id, PendingForward { peer: peer.to_owned(), reply });
        receiver
    }

    /// Stops waiting.
    pub fn remove(&self, call_id: u64) {
        self.waiting.lock().remove(&call_id);
    }

    fn finish(&self, answer: ForwardAnswer) {
        if let Some(pending) = self.waiting.lock().remove(&answer.call_id) {
            let _ = pending.reply.send(answer);
        }
    }

    fn drop_peer(&self, peer: &str) {
        self.waiting.lock().retain(|_, pending| pending.peer != peer);
    }
}

/// Handles messages on the peers' thread; what takes time goes to tasks of the main thread.
pub struct EntryPeers {
    entry: Arc<Entry>,
    handovers: mpsc::UnboundedSender<JobCopy>,
}

/// Questions for jobs that this entry has asked its peers.
#[derive(Default)]
pub struct PendingJobQueries {
    waiting: Mutex<HashMap<u64, mpsc::UnboundedSender<Option<JobCopy>>>>,
}

impl PendingJobQueries {
    /// Waits for the answers to a question, one from each peer.
    pub fn add(&self, call_id: u64) -> mpsc::UnboundedReceiver<Option<JobCopy>> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.waiting.lock().insert(call_id, sender);
        receiver
    }

    /// Stops waiting.
    pub fn remove(&self, call_id: u64) {
        self.waiting.lock().remove(&call_id);
    }

    fn finish(&self, call_id: u64, copy: Option<JobCopy>) {
        if let Some(sender) = self.waiting.lock().get(&call_id) {
            let _ = sender.send(copy);
        }
    }
}

impl EntryPeers {
    /// Creates the handler.
    pub fn new(entry: &Arc<Entry>, handovers: mpsc::UnboundedSender<JobCopy>) -> Arc<Self> {
        Arc::new(Self { entry: Arc::clone(entry), handovers })
    }

    fn take_heartbeat(&self, heartbeat: hickorycourse_membership::Heartbeat) -> Vec<PeerMessage> {
        let entry = &self.entry;
        let is_behind = heartbeat.settings_digest != entry.snapshot().digest;
        if heartbeat.leaving_instances.contains(&entry.settings.instance) {
            drain::start_drain(entry, "a peer knows that this instance is leaving");
        }
        entry.mark_leaving(&heartbeat.leaving_instances);
        entry.members.lock().record_heartbeat(heartbeat, entry.clock.now_ms());
        match is_behind {
            true => vec![PeerMessage::Versions(entry.replica.read().list_versions())],
            false => Vec::new(),
        }
    }

    fn take_job_message(&self, from: &str, message: PeerMessage) -> Vec<PeerMessage> {
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
                let job_id = copy.job_id.clone();
                let _ = self.handovers.send(copy);
                return vec![PeerMessage::JobTaken { job_id }];
            }
            PeerMessage::JobTaken { job_id } => {
                entry.jobs.lock().confirm_handover(&job_id, from);
            }
            PeerMessage::JobQuery { call_id, job_id } => {
                let copy = entry.jobs.lock().find(&job_id).cloned();
                return vec![PeerMessage::JobFound { call_id, copy }];
            }
            PeerMessage::JobFound { call_id, copy } => entry.job_queries.finish(call_id, copy),
            _ => {}
        }
        Vec::new()
    }

    fn take_versions(
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

impl PeerHandler for EntryPeers {
    fn handle_message(&self, from: &str, message: PeerMessage) -> Vec<PeerMessage> {
        let entry = &self.entry;
        match message {
            PeerMessage::Heartbeat(heartbeat) => return self.take_heartbeat(heartbeat),
            PeerMessage::Versions(versions) => return self.take_versions(&versions),
            PeerMessage::Documents(documents) => {
                entry.apply_documents(&documents);
            }
            PeerMessage::UsageCopy { incarnation, book } => {
                let owner = UsageOwner { instance: from.to_owned(), incarnation };
                entry.usage_copies.lock().entry(owner).or_default().merge(&book);
            }
            PeerMessage::Forward(call) => {
                let _ = entry.forwarded.send(ForwardRequest { from: from.to_owned(), call });
            }
            PeerMessage::ForwardAnswer(answer) => entry.forwards.finish(answer),
            PeerMessage::Goodbye => entry.members.lock().remove(from),
            job_message => return self.take_job_message(from, job_message),
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
        self.entry.forwards.drop_peer(peer);
    }
}
