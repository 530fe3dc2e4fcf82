//! Replies that a task waits for, and the parts of those that do not fit one datagram.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickorycourse_clock::timeout;
use hickorycourse_digest::{FleetParts, PartMark, ZoneDigest};
use tokio::sync::mpsc;

use crate::broadcast::{PeerBroadcast, count_dropped};
use crate::chunks::divide;
use crate::datagrams::{FreshnessAttestation, MAX_DIGEST_BYTES, Message};

/// Parts of a reply that may await the task.
const MAX_PENDING_PARTS: usize = 64;

impl PeerBroadcast {
    /// Sends a message with a nonce and waits for the reply that carries it.
    pub async fn request(
        &self,
        address: SocketAddr,
        message: &Message,
        nonce: u64,
        reply_timeout: Duration,
    ) -> Option<Message> {
        let mut receiver = self.expect_replies(nonce, 1);
        self.send_all(message, &[address]).await;
        let reply = timeout(reply_timeout, receiver.recv()).await;
        self.pending_replies.lock().remove(&nonce);
        reply.ok()?
    }

    /// Sends the parts of a report and waits for the parts of the reply. Returns those that have arrived
    /// when the time is over, and whether they are all.
    pub async fn request_fleet(
        &self,
        address: SocketAddr,
        reports: &[Message],
        nonce: u64,
        reply_timeout: Duration,
    ) -> (FleetParts, bool) {
        let mut receiver = self.expect_replies(nonce, MAX_PENDING_PARTS);
        let deadline = Instant::now() + reply_timeout;
        for report in reports {
            self.send_all(report, &[address]).await;
        }
        let mut parts = FleetParts::default();
        let mut is_complete = false;
        while !is_complete {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok(Some(reply)) = timeout(remaining, receiver.recv()).await else { break };
            let Message::Fleet { age_ms, part, zones, .. } = reply else { break };
            let Some(zones) = self.decode_zones(&zones) else { continue };
            is_complete = parts.add(part, age_ms, zones);
        }
        self.pending_replies.lock().remove(&nonce);
        (parts, is_complete)
    }

    /// Sends the reply to a freshness query, in parts if it does not fit a datagram.
    pub async fn send_attestation(&self, attestation: FreshnessAttestation, asker: SocketAddr) {
        let nonce = attestation.nonce;
        let mut bytes = Vec::new();
        let encoded = ciborium::into_writer(&attestation, &mut bytes);
        if encoded.is_err() || bytes.len() <= MAX_DIGEST_BYTES {
            self.send_all(&Message::Proof(Box::new(attestation)), &[asker]).await;
            return;
        }
        for (part, chunk) in divide(&bytes, MAX_DIGEST_BYTES) {
            let message = Message::ProofPart { nonce, part, bytes: chunk.to_vec() };
            self.send_all(&message, &[asker]).await;
        }
    }

    /// Adds a part of the reply to a freshness query; returns the reply when it is complete.
    pub fn join_attestation(
        &self,
        reply: (u64, SocketAddr),
        part: PartMark,
        bytes: Vec<u8>,
    ) -> Option<FreshnessAttestation> {
        let bytes = {
            let pending_queries = self.pending_queries.lock();
            if !pending_queries.contains_key(&reply.0) {
                count_dropped("late_reply");
                return None;
            }
            let mut attestation_parts = self.attestation_parts.lock();
            attestation_parts.retain(|(nonce, _)| pending_queries.contains_key(&nonce));
            attestation_parts.add(reply, part, bytes)?
        };
        match ciborium::from_reader(bytes.as_slice()) {
            Ok(attestation) => Some(attestation),
            Err(error) => {
                count_dropped("malformed");
                self.record_receive_failure(&error.to_string());
                None
            }
        }
    }

    /// Decodes the digests in a part of an aggregator's reply.
    pub fn decode_zones(&self, encoded: &[u8]) -> Option<Vec<ZoneDigest>> {
        if encoded.is_empty() {
            return Some(Vec::new());
        }
        match ciborium::from_reader(encoded) {
            Ok(zones) => Some(zones),
            Err(error) => {
                count_dropped("malformed");
                self.record_receive_failure(&error.to_string());
                None
            }
        }
    }

    fn expect_replies(&self, nonce: u64, count: usize) -> mpsc::Receiver<Message> {
        let (sender, receiver) = mpsc::channel(count);
        self.pending_replies.lock().insert(nonce, sender);
        receiver
    }

    /// Returns whether a task waits for a reply.
    pub fn is_reply_awaited(&self, nonce: u64) -> bool {
        self.pending_replies.lock().contains_key(&nonce)
    }

    /// Hands a reply over to the task that waits for it. One that nobody waits for any more is late or a
    /// duplicate.
    pub fn deliver_reply(&self, nonce: u64, reply: Message) {
        let is_delivered = self
            .pending_replies
            .lock()
            .get(&nonce)
            .is_some_and(|sender| sender.try_send(reply).is_ok());
        if !is_delivered {
            count_dropped("late_reply");
        }
    }
}
