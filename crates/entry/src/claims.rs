//! The claim task, which records claims in the platform's key-value service.
//!
//! A claim is the exclusive right to run a call that may run at most once. One task owns the state
//! machines of all shards ([`ClaimShard`]) and carries out the reads and writes that they request.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use hickorycourse_idempotency::{
    ClaimAction, ClaimEvent, ClaimKey, ClaimOutcome, ClaimRequest, ClaimShard, ClaimToken,
    ReadOutcome, ShardValue, StoredResponse, WriteOutcome,
};
use hickorycourse_store::{KeyValue, KeyValueRecord, PlatformError, SwapOutcome};
use tokio::sync::{mpsc, oneshot};

use crate::state::{Entry, InFlightGuard};

/// Number of shards. Each shard is one value in the key-value service, which limits a value to one
/// megabyte.
const SHARD_COUNT: u32 = 64;
/// Time after which an attempt to claim a call fails.
const CLAIM_TIMEOUT_MS: u64 = 3_000;
/// Interval of the task's ticks.
pub const TICK_INTERVAL_MS: u64 = 50;
const KEY_PREFIX: &str = "hickorycourse/claims/";

/// A command to the claim task.
pub enum ClaimCommand {
    /// Claim a call.
    Begin {
        /// The call.
        key: ClaimKey,
        /// Digest of the call's request, which detects the reuse of a key for another request.
        request_digest: u64,
        /// Receives the outcome; dropping the receiver cancels the attempt.
        reply: oneshot::Sender<ClaimReply>,
    },
    /// Record the response of a claimed call that has run.
    Finish {
        /// The call.
        key: ClaimKey,
        /// The token that holds the claim.
        token: ClaimToken,
        /// The call's response.
        response: StoredResponse,
    },
    /// Release the claim of a call that is known not to have run.
    Release {
        /// The call.
        key: ClaimKey,
        /// The token that holds the claim.
        token: ClaimToken,
    },
}

/// A command with the guard of the request that it belongs to.
pub struct GuardedCommand {
    /// The command.
    pub command: ClaimCommand,
    /// Keeps the request in flight until the shard has no write to make.
    pub guard: Option<InFlightGuard>,
}

/// The reply to [`ClaimCommand::Begin`].
#[derive(Debug)]
pub struct ClaimReply {
    /// The outcome of the attempt to claim.
    pub outcome: ClaimOutcome,
    /// The token that holds the claim if it was granted.
    pub token: ClaimToken,
}

impl ClaimCommand {
    fn shard(&self) -> u32 {
        let (Self::Begin { key, .. } | Self::Finish { key, .. } | Self::Release { key, .. }) = self;
        key.shard(SHARD_COUNT)
    }
}

struct PendingClaim {
    reply: oneshot::Sender<ClaimReply>,
    token: ClaimToken,
    key: ClaimKey,
}

enum Input {
    Command(GuardedCommand),
    Event { shard: u32, event: ClaimEvent },
}

struct ClaimTask {
    entry: Arc<Entry>,
    key_value: Rc<dyn KeyValue>,
    shards: HashMap<u32, ClaimShard>,
    pending: HashMap<u64, PendingClaim>,
    /// Keep the drain from completing; one for each shard that is not idle.
    guards: HashMap<u32, InFlightGuard>,
    next_waiter_id: u64,
    input_sender: mpsc::UnboundedSender<Input>,
}

/// Runs the claim task until the channel of commands closes.
pub async fn run_claim_task(
    entry: Arc<Entry>,
    key_value: Rc<dyn KeyValue>,
    mut commands: mpsc::UnboundedReceiver<GuardedCommand>,
    mut ticks: mpsc::Receiver<hickorycourse_clock::Tick>,
) {
    let (input_sender, mut inputs) = mpsc::unbounded_channel();
    let mut task = ClaimTask {
        entry,
        key_value,
        shards: HashMap::new(),
        pending: HashMap::new(),
        guards: HashMap::new(),
        next_waiter_id: 1,
        input_sender,
    };
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => task.handle_input(Input::Command(command)),
                None => return,
            },
            Some(input) = inputs.recv() => task.handle_input(input),
            Some(_) = ticks.recv() => task.tick(),
        }
    }
}

impl ClaimTask {
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event { shard, event } => self.handle_event(shard, event),
            Input::Command(GuardedCommand { command, guard }) => {
                if let Some(guard) = guard {
                    self.guards.entry(command.shard()).or_insert(guard);
                }
                self.handle_command(command);
            }
        }
    }

    fn handle_command(&mut self, command: ClaimCommand) {
        let shard = command.shard();
        match command {
            ClaimCommand::Begin { key, request_digest, reply } => {
                self.begin(key, request_digest, reply);
            }
            ClaimCommand::Finish { key, token, response } => {
                self.handle_event(shard, ClaimEvent::Finish { key, token, response });
            }
            ClaimCommand::Release { key, token } => {
                self.handle_event(shard, ClaimEvent::Release { key, token });
            }
        }
    }

    fn begin(&mut self, key: ClaimKey, request_digest: u64, reply: oneshot::Sender<ClaimReply>) {
        let waiter = self.next_waiter_id;
        self.next_waiter_id += 1;
        let token = ClaimToken(rand::random());
        self.pending.insert(waiter, PendingClaim { reply, token, key });
        let deadline_ms = self.entry.clock.now_ms() + CLAIM_TIMEOUT_MS;
        let begin = ClaimRequest { waiter, key, token, request_digest, deadline_ms };
        self.handle_event(key.shard(SHARD_COUNT), ClaimEvent::Begin(begin));
    }

    fn tick(&mut self) {
        let abandoned: Vec<(u64, u32)> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.reply.is_closed())
            .map(|(waiter, pending)| (*waiter, pending.key.shard(SHARD_COUNT)))
            .collect();
        for (waiter, shard) in abandoned {
            self.pending.remove(&waiter);
            self.handle_event(shard, ClaimEvent::Cancel { waiter });
        }
        let busy: Vec<u32> =
            self.shards.iter().filter(|(_, s)| !s.is_idle()).map(|(shard, _)| *shard).collect();
        for shard in busy {
            self.handle_event(shard, ClaimEvent::Tick);
        }
    }

    fn handle_event(&mut self, shard: u32, event: ClaimEvent) {
        let retention_ms = self.entry.settings.timing.claim_retention_ms;
        let claims = self.shards.entry(shard).or_insert_with(|| ClaimShard::new(retention_ms));
        let clock = &self.entry.clock;
        for action in claims.handle(event, clock.now_ms(), clock.wall_ms()) {
            self.execute_action(shard, action);
        }
        if self.shards.get(&shard).is_some_and(ClaimShard::is_idle) {
            self.guards.remove(&shard);
        }
    }

    fn execute_action(&mut self, shard: u32, action: ClaimAction) {
        match action {
            ClaimAction::Complete { waiter, outcome } => self.complete(waiter, outcome),
            ClaimAction::Read => {
                let key_value = Rc::clone(&self.key_value);
                let input_sender = self.input_sender.clone();
                let entry = Arc::clone(&self.entry);
                ntex::rt::spawn(async move {
                    let outcome = read_shard(&entry, key_value.as_ref(), shard).await;
                    let event = ClaimEvent::ReadDone(outcome);
                    let _ = input_sender.send(Input::Event { shard, event });
                });
            }
            ClaimAction::Write { expected_revision, value } => {
                let key_value = Rc::clone(&self.key_value);
                let input_sender = self.input_sender.clone();
                let entry = Arc::clone(&self.entry);
                ntex::rt::spawn(async move {
                    let outcome =
                        write_shard(&entry, key_value.as_ref(), shard, expected_revision, &value);
                    let event = ClaimEvent::WriteDone(outcome.await);
                    let _ = input_sender.send(Input::Event { shard, event });
                });
            }
        }
    }

    fn complete(&mut self, waiter: u64, outcome: ClaimOutcome) {
        let Some(pending) = self.pending.remove(&waiter) else { return };
        let was_granted = outcome == ClaimOutcome::Granted;
        let reply = ClaimReply { outcome, token: pending.token };
        if pending.reply.send(reply).is_err() && was_granted {
            // The caller disconnected while the claim was being written; the call is not
            // dispatched.
            let event = ClaimEvent::Release { key: pending.key, token: pending.token };
            self.handle_event(pending.key.shard(SHARD_COUNT), event);
        }
    }
}

fn shard_key(shard: u32) -> String {
    format!("{KEY_PREFIX}{shard:03}")
}

async fn read_shard(entry: &Entry, key_value: &dyn KeyValue, shard: u32) -> ReadOutcome {
    let result = key_value.get(&shard_key(shard)).await;
    entry.is_platform_up.store(result.is_ok(), Ordering::Relaxed);
    match result.map(decode_record) {
        Ok(Some(decoded)) => {
            ReadOutcome::Value { mod_revision: decoded.mod_revision, value: decoded.value }
        }
        Ok(None) => {
            log::error!(
                target: "claim",
                "Failed to decode the value of claim shard {shard}; its claims are unavailable.",
            );
            ReadOutcome::Failed
        }
        Err(error) => {
            log::warn!(target: "claim", "Failed to read claim shard {shard}: {error}.");
            ReadOutcome::Failed
        }
    }
}

struct DecodedShard {
    mod_revision: u64,
    value: ShardValue,
}

/// Decodes a shard's record. An absent record is an empty shard at revision 0; `None` if the record
/// is not a valid value.
fn decode_record(record: Option<KeyValueRecord>) -> Option<DecodedShard> {
    let Some(record) = record else {
        return Some(DecodedShard { mod_revision: 0, value: ShardValue::default() });
    };
    let value = serde_json::from_slice(&record.value).ok()?;
    Some(DecodedShard { mod_revision: record.mod_revision, value })
}

async fn write_shard(
    entry: &Entry,
    key_value: &dyn KeyValue,
    shard: u32,
    expected_revision: u64,
    value: &ShardValue,
) -> WriteOutcome {
    let bytes = serde_json::to_vec(value)
        .expect("a shard value serializes to JSON because all its map keys are strings");
    let key = shard_key(shard);
    let result = key_value.compare_and_swap(&key, expected_revision, &bytes, None).await;
    metrics::counter!("hickorycourse_claim_writes_total").increment(1);
    entry.is_platform_up.store(result.is_ok(), Ordering::Relaxed);
    match result {
        Ok(SwapOutcome::Swapped { mod_revision }) => WriteOutcome::Swapped { mod_revision },
        Ok(SwapOutcome::Conflict { stored }) => match decode_record(stored) {
            Some(decoded) => {
                WriteOutcome::Conflict { mod_revision: decoded.mod_revision, value: decoded.value }
            }
            None => WriteOutcome::Uncertain,
        },
        Err(PlatformError::Refused(reason)) => {
            log::warn!(target: "claim", "Write of claim shard {shard} was refused: {reason}.");
            WriteOutcome::Refused
        }
        Err(error) => {
            log::warn!(
                target: "claim",
                "Write of claim shard {shard} has an unknown outcome: {error}; reading it back.",
            );
            WriteOutcome::Uncertain
        }
    }
}
