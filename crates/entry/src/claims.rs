//! The task that records claims in the platform's key-value service.

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

use crate::state::Entry;

/// Shards of the claims; each is one value of at most a megabyte.
const SHARD_COUNT: u32 = 64;
/// Longest wait for a claim.
const CLAIM_DEADLINE_MS: u64 = 3_000;
/// The period of the task's ticks.
pub const TICK_MS: u64 = 50;
const KEY_PREFIX: &str = "hickorycourse/claims/";

/// What the task is asked for.
pub enum ClaimCommand {
    /// A call wants its claim.
    Begin {
        /// The call.
        key: ClaimKey,
        /// Digest of its request.
        request_digest: u64,
        /// Gets the answer.
        reply: oneshot::Sender<ClaimReply>,
    },
    /// A claimed call has run.
    Finish {
        /// The call.
        key: ClaimKey,
        /// The token that holds it.
        token: ClaimToken,
        /// Its answer.
        response: StoredResponse,
    },
    /// A claimed call is proved not to have run.
    Release {
        /// The call.
        key: ClaimKey,
        /// The token that holds it.
        token: ClaimToken,
    },
}

/// What came of a try to claim.
#[derive(Debug)]
pub struct ClaimReply {
    /// The answer.
    pub answer: ClaimOutcome,
    /// The token, for the one who got the claim.
    pub token: ClaimToken,
}

struct Pending {
    reply: oneshot::Sender<ClaimReply>,
    token: ClaimToken,
    key: ClaimKey,
}

enum Input {
    Command(ClaimCommand),
    Event { shard: u32, event: ClaimEvent },
}

struct ClaimTask {
    entry: Arc<Entry>,
    key_value: Rc<dyn KeyValue>,
    shards: HashMap<u32, ClaimShard>,
    pending: HashMap<u64, Pending>,
    next_waiter: u64,
    inputs: mpsc::UnboundedSender<Input>,
}

/// Runs until the entry's channel closes.
pub async fn record_claims(
    entry: Arc<Entry>,
    key_value: Rc<dyn KeyValue>,
    mut commands: mpsc::UnboundedReceiver<ClaimCommand>,
    mut ticks: mpsc::Receiver<hickorycourse_clock::Tick>,
) {
    let (inputs, mut queue) = mpsc::unbounded_channel();
    let mut task = ClaimTask {
        entry,
        key_value,
        shards: HashMap::new(),
        pending: HashMap::new(),
        next_waiter: 1,
        inputs,
    };
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => task.take(Input::Command(command)),
                None => return,
            },
            Some(input) = queue.recv() => task.take(input),
            Some(_) = ticks.recv() => task.tick(),
        }
    }
}

impl ClaimTask {
    fn take(&mut self, input: Input) {
        match input {
            Input::Event { shard, event } => self.handle(shard, event),
            Input::Command(ClaimCommand::Begin { key, request_digest, reply }) => {
                self.begin(key, request_digest, reply);
            }
            Input::Command(ClaimCommand::Finish { key, token, response }) => {
                self.handle(key.shard(SHARD_COUNT), ClaimEvent::Finish { key, token, response });
            }
            Input::Command(ClaimCommand::Release { key, token }) => {
                self.handle(key.shard(SHARD_COUNT), ClaimEvent::Release { key, token });
            }
        }
    }

    fn begin(&mut self, key: ClaimKey, request_digest: u64, reply: oneshot::Sender<ClaimReply>) {
        let waiter = self.next_waiter;
        self.next_waiter += 1;
        let token = ClaimToken(rand::random());
        self.pending.insert(waiter, Pending { reply, token, key });
        let deadline_ms = self.entry.clock.now_ms() + CLAIM_DEADLINE_MS;
        let begin = ClaimRequest { waiter, key, token, request_digest, deadline_ms };
        self.handle(key.shard(SHARD_COUNT), ClaimEvent::Begin(begin));
    }

    fn tick(&mut self) {
        let gone: Vec<(u64, u32)> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.reply.is_closed())
            .map(|(waiter, pending)| (*waiter, pending.key.shard(SHARD_COUNT)))
            .collect();
        for (waiter, shard) in gone {
            self.pending.remove(&waiter);
            self.handle(shard, ClaimEvent::Cancel { waiter });
        }
        let busy: Vec<u32> =
            self.shards.iter().filter(|(_, s)| !s.is_idle()).map(|(shard, _)| *shard).collect();
        for shard in busy {
            self.handle(shard, ClaimEvent::Tick);
        }
    }

    fn handle(&mut self, shard: u32, event: ClaimEvent) {
        let retention_ms = self.entry.settings.timing.claim_retention_ms;
        let machine = self.shards.entry(shard).or_insert_with(|| ClaimShard::new(retention_ms));
        let clock = &self.entry.clock;
        for action in machine.handle(event, clock.now_ms(), clock.wall_ms()) {
            self.act(shard, action);
        }
    }

    fn act(&mut self, shard: u32, action: ClaimAction) {
        match action {
            ClaimAction::Complete { waiter, outcome } => self.answer(waiter, outcome),
            ClaimAction::Read => {
                let key_value = Rc::clone(&self.key_value);
                let inputs = self.inputs.clone();
                let entry = Arc::clone(&self.entry);
                ntex::rt::spawn(async move {
                    let outcome = read_shard(&entry, key_value.as_ref(), shard).await;
                    let event = ClaimEvent::ReadDone(outcome);
                    let _ = inputs.send(Input::Event { shard, event });
                });
            }
            ClaimAction::Write { expected_revision, value } => {
                let key_value = Rc::clone(&self.key_value);
                let inputs = self.inputs.clone();
                let entry = Arc::clone(&self.entry);
                ntex::rt::spawn(async move {
                    let outcome =
                        write_shard(&entry, key_value.as_ref(), shard, expected_revision, &value);
                    let event = ClaimEvent::WriteDone(outcome.await);
                    let _ = inputs.send(Input::Event { shard, event });
                });
            }
        }
    }

    fn answer(&mut self, waiter: u64, answer: ClaimOutcome) {
        let Some(pending) = self.pending.remove(&waiter) else { return };
        let was_granted = answer == ClaimOutcome::Granted;
        let reply = ClaimReply { answer, token: pending.token };
        if pending.reply.send(reply).is_err() && was_granted {
            // The caller went away while the claim was written, so nothing will be dispatched.
            let event = ClaimEvent::Release { key: pending.key, token: pending.token };
            let input = Input::Event { shard: pending.key.shard(SHARD_COUNT), event };
            let _ = self.inputs.send(input);
        }
    }
}

fn shard_key(shard: u32) -> String {
    format!("{KEY_PREFIX}{shard:03}")
}

async fn read_shard(entry: &Entry, key_value: &dyn KeyValue, shard: u32) -> ReadOutcome {
    let result = key_value.get(&shard_key(shard)).await;
    entry.is_platform_up.store(result.is_ok(), Ordering::Relaxed);
    match result.map(read_value) {
        Ok(Some(found)) => {
            ReadOutcome::Value { mod_revision: found.mod_revision, value: found.value }
        }
        Ok(None) => {
            log::error!(target: "claim", "The claims of shard {shard} can't be read.");
            ReadOutcome::Failed
        }
        Err(error) => {
            log::warn!(target: "claim", "Reading shard {shard} failed: {error}.");
            ReadOutcome::Failed
        }
    }
}

struct FoundValue {
    mod_revision: u64,
    value: ShardValue,
}

/// Reads what is in store; nothing if it is not a shard's value.
fn read_value(stored: Option<KeyValueRecord>) -> Option<FoundValue> {
    let Some(stored) = stored else {
        return Some(FoundValue { mod_revision: 0, value: ShardValue::default() });
    };
    let value = serde_json::from_slice(&stored.value).ok()?;
    Some(FoundValue { mod_revision: stored.mod_revision, value })
}

async fn write_shard(
    entry: &Entry,
    key_value: &dyn KeyValue,
    shard: u32,
    expected_revision: u64,
    value: &ShardValue,
) -> WriteOutcome {
    let bytes = serde_json::to_vec(value).expect("a shard's value has only text keys");
    let key = shard_key(shard);
    let result = key_value.compare_and_swap(&key, expected_revision, &bytes, None).await;
    metrics::counter!("hickorycourse_claim_writes_total").increment(1);
    entry.is_platform_up.store(result.is_ok(), Ordering::Relaxed);
    match result {
        Ok(SwapOutcome::Swapped { mod_revision }) => WriteOutcome::Swapped { mod_revision },
        Ok(SwapOutcome::Conflict { stored }) => match read_value(stored) {
            Some(found) => {
                WriteOutcome::Conflict { mod_revision: found.mod_revision, value: found.value }
            }
            None => WriteOutcome::Uncertain,
        },
        Err(PlatformError::Refused(reason)) => {
            log::warn!(target: "claim", "Writing shard {shard} was refused: {reason}.");
            WriteOutcome::Refused
        }
        Err(error) => {
            log::warn!(target: "claim", "Writing shard {shard} is uncertain: {error}.");
            WriteOutcome::Uncertain
        }
    }
}
