//! Claims for units of a cap, which one instance for each organisation decides on for all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_caps::{Decider, GrantedUnits};
use hickorycourse_routes::UsageCap;
use ntex::rt;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::broadcast::PeerBroadcast;
use crate::datagrams::Message;
use crate::state::{CapDecision, CapRequest, Relay};

/// Time for the reply to a claim; without one, this instance decides by what it knows.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(100);
/// Claims of a request before its instance decides alone.
const MAX_CLAIMS: usize = 3;
/// Claims and returned grants that wait to be sent.
const MAX_QUEUED: usize = 512;

/// Claim for units of an organisation's cap.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UnitClaim {
    /// Identifies the request of the caller, for the log.
    #[serde(rename = "r")]
    pub request_id: String,
    /// The organisation.
    #[serde(rename = "o")]
    pub organisation: String,
    /// Number of units.
    #[serde(rename = "n")]
    pub units: f64,
    /// Rank; 0 is the most urgent.
    #[serde(rename = "u")]
    pub urgency: u8,
    /// Availability zone of the instance that claims.
    #[serde(rename = "z")]
    pub availability_zone: String,
}

/// Reply to a [`UnitClaim`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UnitReply {
    /// The units may be used.
    #[serde(rename = "g")]
    Granted,
    /// The cap is reached.
    #[serde(rename = "d")]
    Refused {
        /// Time until the units are expected to be available.
        #[serde(rename = "a")]
        available_in_ms: u64,
    },
    /// The receiver does not know the cap.
    #[serde(rename = "n")]
    Unknown,
}

/// Units of a cap that were granted to a request.
#[derive(Clone, Debug)]
pub struct CapGrant {
    organisation: String,
    units: f64,
    granted_at_ms: u64,
    /// The claim and the instance that has granted it; `None` if it was this one.
    remote: Option<(u64, SocketAddr)>,
}

impl CapGrant {
    fn new(
        request: &CapRequest<'_>,
        granted_at_ms: u64,
        remote: Option<(u64, SocketAddr)>,
    ) -> Self {
        let organisation = request.organisation.to_owned();
        Self { organisation, units: request.units, granted_at_ms, remote }
    }
}

fn count_claim(outcome: &'static str) {
    metrics::counter!("hickorycourse_cap_claims_total", "outcome" => outcome).increment(1);
}

/// A message to an instance that decides on caps.
pub enum CapMessage {
    /// A claim.
    Claim {
        /// Identifies the claim.
        nonce: u64,
        /// Name of the instance.
        decider: String,
        /// Its address.
        address: SocketAddr,
        /// The claim.
        claim: UnitClaim,
        /// Receives the reply.
        reply: oneshot::Sender<UnitReply>,
    },
    /// A grant that was not used.
    Return {
        /// Identifies the claim.
        nonce: u64,
        /// Address of the instance that has granted it.
        address: SocketAddr,
    },
}

impl Relay {
    /// Acquires units of an organisation's cap from the instance that decides on it. If those that are asked
    /// don't reply, this instance uses its share.
    ///
    /// # Errors
    /// The time in milliseconds after which the units are expected to be available.
    pub async fn claim_cap(
        &self,
        request: &CapRequest<'_>,
        cap: &UsageCap,
    ) -> Result<CapGrant, u64> {
        let (mut outcome, mut decision) = ("unanswered", CapDecision::Alone);
        let mut asked = Vec::new();
        while asked.len() < MAX_CLAIMS {
            let own = self.settings.instance.as_str();
            let now_ms = self.now_ms();
            let decider =
                self.cap_deciders.lock().choose(request.organisation, own, &asked, now_ms);
            let (name, address) = match decider {
                Decider::Own => {
                    (outcome, decision) = ("own", CapDecision::ForAll);
                    break;
                }
                Decider::Nobody => {
                    (outcome, decision) = ("replica", CapDecision::Replica);
                    break;
                }
                Decider::Unheard => {
                    outcome = "unheard";
                    break;
                }
                Decider::Other { name, address } => (name, address),
            };
            let nonce = rand::random();
            match self.claim_units(nonce, name.clone(), address, request).await {
                Some(UnitReply::Granted) => {
                    count_claim("granted");
                    return Ok(CapGrant::new(request, now_ms, Some((nonce, address))));
                }
                Some(UnitReply::Refused { available_in_ms }) => {
                    count_claim("refused");
                    return Err(available_in_ms);
                }
                Some(UnitReply::Unknown) => {
                    self.cap_deciders.lock().record_unable(&name, self.now_ms());
                }
                None => {}
            }
            asked.push(name);
        }
        count_claim(outcome);
        let now_ms = self.now_ms();
        self.acquire_cap(request, cap, decision).map(|()| CapGrant::new(request, now_ms, None))
    }

    async fn claim_units(
        &self,
        nonce: u64,
        decider: String,
        address: SocketAddr,
        request: &CapRequest<'_>,
    ) -> Option<UnitReply> {
        let claim = UnitClaim {
            request_id: request.request_id.to_owned(),
            organisation: request.organisation.to_owned(),
            units: request.units,
            urgency: request.urgency,
            availability_zone: self.settings.availability_zone.clone(),
        };
        let (reply, receiver) = oneshot::channel();
        let message = CapMessage::Claim { nonce, decider, address, claim, reply };
        self.cap_messages.get()?.try_send(message).ok()?;
        receiver.await.ok()
    }

    /// Returns units of a request that did not run. If the message is lost, they stay used.
    pub fn return_cap(&self, grant: CapGrant) {
        match grant.remote {
            None => self.refund_cap(&grant.organisation, grant.units, grant.granted_at_ms),
            Some((nonce, address)) => {
                let message = CapMessage::Return { nonce, address };
                let is_sent =
                    self.cap_messages.get().is_some_and(|queue| queue.try_send(message).is_ok());
                if !is_sent {
                    let units = grant.units;
                    self.log.write(
                        "cap_not_returned",
                        || json!({ "organisation": grant.organisation, "units": units }),
                    );
                }
            }
        }
    }

    /// Returns whether this instance can decide on caps for others.
    pub fn decides_caps(&self) -> bool {
        !self.drain.is_stopping() && self.active_document.read().version().is_some()
    }

    /// Decides on the claim of another instance.
    pub fn handle_unit_claim(&self, nonce: u64, claim: &UnitClaim) -> UnitReply {
        {
            let grants = self.cap_grants.lock();
            if grants.is_granted(nonce) {
                return UnitReply::Granted;
            }
            // The claim is late: its sender has decided otherwise.
            if grants.is_returned(nonce) {
                return UnitReply::Unknown;
            }
        }
        let Some(table) = self.route_table() else { return UnitReply::Unknown };
        let mut organisations = table.document().organisations.iter().flatten();
        let organisation = organisations.find(|known| known.name == claim.organisation);
        let Some(cap) = organisation.and_then(|organisation| organisation.cap) else {
            return UnitReply::Unknown;
        };
        if !claim.units.is_finite() || claim.units < 0.0 {
            return UnitReply::Unknown;
        }
        let request = CapRequest {
            request_id: &claim.request_id,
            organisation: &claim.organisation,
            units: claim.units,
            urgency: claim.urgency,
        };
        self.record_cap_claim(&claim.organisation, &claim.availability_zone);
        match self.acquire_cap(&request, &cap, CapDecision::ForAll) {
            Err(available_in_ms) => UnitReply::Refused { available_in_ms },
            Ok(()) => {
                let organisation = claim.organisation.clone();
                let granted_at_ms = self.now_ms();
                let granted = GrantedUnits { organisation, units: claim.units, granted_at_ms };
                self.cap_grants.lock().record(nonce, granted);
                UnitReply::Granted
            }
        }
    }

    /// Takes back a grant to another instance that was not used.
    pub fn take_back_units(&self, nonce: u64) {
        let granted = self.cap_grants.lock().take(nonce, self.now_ms());
        if let Some(granted) = granted {
            self.refund_cap(&granted.organisation, granted.units, granted.granted_at_ms);
        }
    }
}

impl PeerBroadcast {
    /// Returns the queue of messages on caps, to be passed to
    /// [`send_cap_messages`](Self::send_cap_messages).
    pub fn open_cap_messages(&self) -> mpsc::Receiver<CapMessage> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED);
        // A process opens the queue once.
        let _ = self.relay.cap_messages.set(sender);
        receiver
    }

    /// Sends messages on caps until the queue is closed.
    pub async fn send_cap_messages(self: Arc<Self>, mut messages: mpsc::Receiver<CapMessage>) {
        while let Some(message) = messages.recv().await {
            match message {
                CapMessage::Claim { nonce, decider, address, claim, reply } => {
                    rt::spawn(
                        Arc::clone(&self).send_unit_claim(nonce, decider, address, claim, reply),
                    );
                }
                CapMessage::Return { nonce, address } => {
                    self.send_all(&Message::ReturnUnits { nonce }, &[address]).await;
                }
            }
        }
    }

    async fn send_unit_claim(
        self: Arc<Self>,
        nonce: u64,
        decider: String,
        address: SocketAddr,
        claim: UnitClaim,
        reply: oneshot::Sender<UnitReply>,
    ) {
        let message = Message::ClaimUnits { nonce, claim };
        let received = self.request(address, &message, nonce, CLAIM_TIMEOUT).await;
        let now_ms = self.relay.now_ms();
        self.relay.cap_deciders.lock().record_reply(&decider, received.is_some(), now_ms);
        let is_used = match received {
            Some(Message::GrantUnits { reply: received, .. }) => reply.send(received).is_ok(),
            _ => false,
        };
        // Nobody waits for the units, also if they are granted later.
        if !is_used {
            self.send_all(&Message::ReturnUnits { nonce }, &[address]).await;
        }
    }
}
