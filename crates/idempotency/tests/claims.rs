//! Claims under generated schedules of failures: at most one of all tries for a key is granted.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, VecDeque};

use hickorycourse_idempotency::ShardValue;
use hickorycourse_idempotency::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const RETENTION_MS: u64 = 1_000_000;
const SCHEDULES: u32 = 4_000;

/// What happens to a call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Answered,
    Refused,
    /// The write takes effect, its answer is lost.
    AnswerLost,
    /// The write is lost and so is its answer.
    CallLost,
    /// The answer is given up and the write takes effect later.
    Late,
}

#[derive(Clone, Debug)]
enum Step {
    Begin {
        machine: usize,
        key: u8,
        request: u64,
    },
    Deliver {
        fate: Fate,
    },
    ApplyLate,
    Advance {
        by_ms: u64,
    },
    FinishOldest {
        release: bool,
    },
    CancelNewest {
        machine: usize,
    },
    /// The machine's process is replaced by a fresh one.
    Kill {
        machine: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fate = prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::Refused),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::CallLost),
        1 => Just(Fate::Late),
    ];
    let step = prop_oneof![
        4 => (0..3usize, 0..3u8, 0..2u64)
            .prop_map(|(machine, key, request)| Step::Begin { machine, key, request }),
        6 => fate.prop_map(|fate| Step::Deliver { fate }),
        2 => Just(Step::ApplyLate),
        2 => (1..400u64).prop_map(|by_ms| Step::Advance { by_ms }),
        1 => any::<bool>().prop_map(|release| Step::FinishOldest { release }),
        1 => (0..3usize).prop_map(|machine| Step::CancelNewest { machine }),
        1 => (0..3usize).prop_map(|machine| Step::Kill { machine }),
    ];
    proptest::collection::vec(step, 1..80)
}

#[derive(Clone, Debug)]
struct Call {
    machine: usize,
    life: u32,
    write: Option<(u64, ShardValue)>,
}

#[derive(Clone, Debug)]
struct Granted {
    machine: usize,
    life: u32,
    key: u8,
    token: ClaimToken,
    is_open: bool,
}

/// Several processes, one store, calls that fail.
struct World {
    machines: Vec<ClaimShard>,
    lives: Vec<u32>,
    store: (u64, ShardValue),
    calls: VecDeque<Call>,
    late: VecDeque<(u64, ShardValue)>,
    now_ms: u64,
    next_waiter: u64,
    waiting: BTreeMap<u64, (usize, u8, ClaimToken)>,
    granted: Vec<Granted>,
    answered: u64,
}

fn key_of(number: u8) -> ClaimKey {
    ClaimKey::new("dealers", "orders", &number.to_string())
}

impl World {
    fn new() -> Self {
        Self {
            machines: vec![ClaimShard::new(RETENTION_MS); 3],
            lives: vec![0; 3],
            store: (0, ShardValue::default()),
            calls: VecDeque::new(),
            late: VecDeque::new(),
            now_ms: 1,
            next_waiter: 1,
            waiting: BTreeMap::new(),
            granted: Vec::new(),
            answered: 0,
        }
    }

    fn handle(&mut self, machine: usize, event: ClaimEvent) {
        let actions = self.machines[machine].handle(event, self.now_ms, self.now_ms);
        for action in actions {
            match action {
                ClaimAction::Read => {
                    let life = self.lives[machine];
                    self.calls.push_back(Call { machine, life, write: None });
                }
                ClaimAction::Write { expected_revision, value } => {
                    let life = self.lives[machine];
                    let write = Some((expected_revision, value));
                    self.calls.push_back(Call { machine, life, write });
                }
                ClaimAction::Answer { waiter, answer } => self.take_answer(waiter, &answer),
            }
        }
    }

    fn take_answer(&mut self, waiter: u64, answer: &ClaimAnswer) {
        let Some((machine, key, token)) = self.waiting.remove(&waiter) else { return };
        self.answered += 1;
        if *answer == ClaimAnswer::Granted {
            let life = self.lives[machine];
            self.granted.push(Granted { machine, life, key, token, is_open: true });
        }
    }

    fn swap(&mut self, expected_revision: u64, value: ShardValue) -> bool {
        if self.store.0 != expected_revision {
            return false;
        }
        self.store = (expected_revision + 1, value);
        true
    }

    fn deliver(&mut self, fate: Fate) {
        let Some(call) = self.calls.pop_front() else { return };
        let is_alive = self.lives[call.machine] == call.life;
        let event = match call.write {
            None => ClaimEvent::ReadDone(match fate {
                Fate::Answered => {
                    ReadOutcome::Value { mod_revision: self.store.0, value: self.store.1.clone() }
                }
                _ => ReadOutcome::Failed,
            }),
            Some((expected_revision, value)) => ClaimEvent::WriteDone(match fate {
                Fate::Answered if self.swap(expected_revision, value.clone()) => {
                    WriteOutcome::Swapped { mod_revision: self.store.0 }
                }
                Fate::Answered => WriteOutcome::Conflict {
                    mod_revision: self.store.0,
                    value: self.store.1.clone(),
                },
                Fate::Refused => WriteOutcome::Refused,
                Fate::AnswerLost => {
                    self.swap(expected_revision, value);
                    WriteOutcome::Uncertain
                }
                Fate::CallLost => WriteOutcome::Uncertain,
                Fate::Late => {
                    self.late.push_back((expected_revision, value));
                    WriteOutcome::Uncertain
                }
            }),
        };
        if is_alive {
            self.handle(call.machine, event);
        }
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Begin { machine, key, request } => {
                let waiter = self.next_waiter;
                self.next_waiter += 1;
                let token = ClaimToken(waiter);
                self.waiting.insert(waiter, (*machine, *key, token));
                let begin = BeginClaim {
                    waiter,
                    key: key_of(*key),
                    token,
                    request_digest: *request,
                    deadline_ms: self.now_ms + 300,
                };
                self.handle(*machine, ClaimEvent::Begin(begin));
            }
            Step::Deliver { fate } => self.deliver(*fate),
            Step::ApplyLate => {
                if let Some((expected_revision, value)) = self.late.pop_front() {
                    self.swap(expected_revision, value);
                }
            }
            Step::Advance { by_ms } => {
                self.now_ms += by_ms;
                (0..3).for_each(|machine| self.handle(machine, ClaimEvent::Tick));
            }
            Step::FinishOldest { release } => self.finish_oldest(*release),
            Step::CancelNewest { machine } => {
                let newest = self.waiting.iter().rev().find(|(_, (owner, _, _))| owner == machine);
                let Some(waiter) = newest.map(|(waiter, _)| *waiter) else { return };
                self.waiting.remove(&waiter);
                self.handle(*machine, ClaimEvent::Cancel { waiter });
            }
            Step::Kill { machine } => {
                self.lives[*machine] += 1;
                self.machines[*machine] = ClaimShard::new(RETENTION_MS);
                self.waiting.retain(|_, (owner, _, _)| owner != machine);
            }
        }
    }

    /// Ends the oldest dispatched call, as run or as proved not to have run.
    fn finish_oldest(&mut self, release: bool) {
        let lives = self.lives.clone();
        let Some(position) =
            self.granted.iter().position(|g| g.is_open && lives[g.machine] == g.life)
        else {
            return;
        };
        let granted = self.granted[position].clone();
        let key = key_of(granted.key);
        let token = granted.token;
        let event = if release {
            self.granted.remove(position);
            ClaimEvent::Release { key, token }
        } else {
            self.granted[position].is_open = false;
            let answer = StoredAnswer { status: 200, content_type: None, body: None };
            ClaimEvent::Finish { key, token, answer }
        };
        self.handle(granted.machine, event);
    }

    fn check_at_most_one(&self) {
        for key in 0..3 {
            let count = self.granted.iter().filter(|granted| granted.key == key).count();
            assert!(count <= 1, "key {key} was granted {count} times: {:?}", self.granted);
        }
    }
}

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn claim_generated_schedules_granted_once() {
    runner(SCHEDULES)
        .run(&steps(), |steps| {
            let mut world = World::new();
            for step in &steps {
                world.run(step);
                world.check_at_most_one();
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn claim_generated_schedules_all_answered() {
    runner(SCHEDULES)
        .run(&steps(), |steps| {
            let mut world = World::new();
            for step in &steps {
                world.run(step);
            }
            // The store works again: everyone is told within the deadline, and nothing is left.
            for _ in 0..60 {
                while !world.calls.is_empty() {
                    world.run(&Step::Deliver { fate: Fate::Answered });
                }
                world.run(&Step::ApplyLate);
                world.run(&Step::Advance { by_ms: 60 });
            }
            world.check_at_most_one();
            prop_assert!(world.waiting.is_empty(), "{:?}", world.waiting);
            prop_assert!(world.machines.iter().all(ClaimShard::is_idle));
            Ok(())
        })
        .unwrap();
}

#[test]
fn claim_given_up_leaves_no_record() {
    runner(SCHEDULES)
        .run(&steps(), |steps| {
            let mut world = World::new();
            let steps = steps.iter().filter(|step| !matches!(step, Step::Kill { .. }));
            steps.for_each(|step| world.run(step));
            for _ in 0..60 {
                while !world.calls.is_empty() {
                    world.run(&Step::Deliver { fate: Fate::Answered });
                }
                world.run(&Step::ApplyLate);
                world.run(&Step::Advance { by_ms: 60 });
            }
            // Without deaths, a record in store belongs to a call that was granted.
            for key in 0..3 {
                let has_record = world.store.1.find(key_of(key)).is_some();
                let was_granted = world.granted.iter().any(|granted| granted.key == key);
                prop_assert_eq!(has_record, was_granted, "key {}", key);
            }
            Ok(())
        })
        .unwrap();
}

/// The plainest thing that could be right with one process and no failures.
#[derive(Default)]
struct NaiveClaims {
    claims: BTreeMap<u8, (u64, bool)>,
}

impl NaiveClaims {
    fn begin(&mut self, key: u8, request: u64) -> ClaimAnswer {
        match self.claims.get(&key) {
            None => {
                self.claims.insert(key, (request, false));
                ClaimAnswer::Granted
            }
            Some((held, _)) if *held != request => ClaimAnswer::KeyReused,
            Some((_, false)) => ClaimAnswer::InProgress,
            Some((_, true)) => {
                ClaimAnswer::Finished(StoredAnswer { status: 200, content_type: None, body: None })
            }
        }
    }
}

#[test]
fn claim_without_failures_equals_naive() {
    let strategy = proptest::collection::vec((0..3u8, 0..2u64, any::<bool>()), 1..40);
    runner(1_000)
        .run(&strategy, |calls| {
            let mut naive = NaiveClaims::default();
            let mut shard = ClaimShard::new(RETENTION_MS);
            let mut ledger = IssuedLedger::new(RETENTION_MS);
            let sequences: Vec<u64> = (0..3).map(|_| ledger.issue(0)).collect();
            let mut store = (0, ShardValue::default());
            for (number, (key, request, finishes)) in calls.into_iter().enumerate() {
                let expected = naive.begin(key, request);
                let token = ClaimToken(number as u64 + 1);
                let begin = BeginClaim {
                    waiter: 1,
                    key: key_of(key),
                    token,
                    request_digest: request,
                    deadline_ms: 1_000,
                };
                let found = drive(&mut shard, &mut store, ClaimEvent::Begin(begin));
                prop_assert_eq!(found.as_ref(), Some(&expected));
                let sequence = sequences[usize::from(key)];
                prop_assert_eq!(ledger.begin(sequence, request, 1), expected.clone());
                if finishes && expected == ClaimAnswer::Granted {
                    naive.claims.insert(key, (request, true));
                    let answer = StoredAnswer { status: 200, content_type: None, body: None };
                    ledger.finish(sequence, answer.clone());
                    let event = ClaimEvent::Finish { key: key_of(key), token, answer };
                    drive(&mut shard, &mut store, event);
                }
            }
            Ok(())
        })
        .unwrap();
}

fn drive(
    shard: &mut ClaimShard,
    store: &mut (u64, ShardValue),
    event: ClaimEvent,
) -> Option<ClaimAnswer> {
    let mut found = None;
    let mut actions: VecDeque<ClaimAction> = shard.handle(event, 1, 1).into();
    while let Some(action) = actions.pop_front() {
        let event = match action {
            ClaimAction::Answer { answer, .. } => {
                found = Some(answer);
                continue;
            }
            ClaimAction::Read => ClaimEvent::ReadDone(ReadOutcome::Value {
                mod_revision: store.0,
                value: store.1.clone(),
            }),
            ClaimAction::Write { expected_revision, value } => {
                assert_eq!(expected_revision, store.0);
                *store = (store.0 + 1, value);
                ClaimEvent::WriteDone(WriteOutcome::Swapped { mod_revision: store.0 })
            }
        };
        actions.extend(shard.handle(event, 1, 1));
    }
    found
}

#[test]
fn ledger_expired_is_not_run() {
    let mut ledger = IssuedLedger::new(100);
    let sequence = ledger.issue(0);
    assert_eq!(ledger.begin(sequence, 1, 100), ClaimAnswer::Expired);
    assert!(ledger.is_empty());
}

#[test]
fn order_id_round_trip_and_strangers() {
    let id = OrderId { instance: "entry-1".to_owned(), incarnation: 77, sequence: 3 };
    let text = id.to_text("dealers", "waco", "secret");
    let read = |text: &str, organisation: &str, caller: &str| {
        OrderId::from_text(text, organisation, caller, "secret")
    };
    assert_eq!(read(&text, "dealers", "waco"), Ok(Some(id)));
    assert!(read(&text, "dealers", "dallas").is_err());
    assert!(read(&text, "chain", "waco").is_err());
    assert!(read(&text.replace(".3.", ".4."), "dealers", "waco").is_err());
    assert_eq!(read("my-own-key", "dealers", "waco"), Ok(None));
}
