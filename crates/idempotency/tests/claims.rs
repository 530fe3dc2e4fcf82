//! Claims under generated schedules of store failures and process restarts: at most one attempt per
//! key may be granted.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, VecDeque};

use hickorycourse_idempotency::ShardValue;
use hickorycourse_idempotency::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const RETENTION_MS: u64 = 1_000_000;
const SCHEDULES: u32 = 4_000;

/// How a request to the store ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestResult {
    Completed,
    Refused,
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The request is lost; a write does not take effect.
    RequestLost,
    /// The request times out and the write takes effect later.
    AppliedLate,
}

#[derive(Clone, Debug)]
enum Step {
    Begin {
        process: usize,
        key: u8,
        request: u64,
    },
    Deliver {
        result: RequestResult,
    },
    ApplyLate,
    Advance {
        by_ms: u64,
    },
    FinishOldest {
        release: bool,
    },
    CancelNewest {
        process: usize,
    },
    /// The process is killed and restarted without its state.
    Kill {
        process: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let result = prop_oneof![
        4 => Just(RequestResult::Completed),
        1 => Just(RequestResult::Refused),
        1 => Just(RequestResult::ResponseLost),
        1 => Just(RequestResult::RequestLost),
        1 => Just(RequestResult::AppliedLate),
    ];
    let step = prop_oneof![
        4 => (0..3usize, 0..3u8, 0..2u64)
            .prop_map(|(process, key, request)| Step::Begin { process, key, request }),
        6 => result.prop_map(|result| Step::Deliver { result }),
        2 => Just(Step::ApplyLate),
        2 => (1..400u64).prop_map(|by_ms| Step::Advance { by_ms }),
        1 => any::<bool>().prop_map(|release| Step::FinishOldest { release }),
        1 => (0..3usize).prop_map(|process| Step::CancelNewest { process }),
        1 => (0..3usize).prop_map(|process| Step::Kill { process }),
    ];
    proptest::collection::vec(step, 1..80)
}

#[derive(Clone, Debug)]
struct StoreRequest {
    process: usize,
    generation: u32,
    write: Option<(u64, ShardValue)>,
}

#[derive(Clone, Debug)]
struct Granted {
    process: usize,
    generation: u32,
    key: u8,
    token: ClaimToken,
    /// Whether the call has neither finished nor been released.
    is_open: bool,
}

/// Three processes that share one store, with injected request failures.
struct Simulation {
    processes: Vec<ClaimShard>,
    generations: Vec<u32>,
    store: (u64, ShardValue),
    requests: VecDeque<StoreRequest>,
    /// Writes that timed out and take effect later.
    late: VecDeque<(u64, ShardValue)>,
    now_ms: u64,
    next_waiter: u64,
    waiting: BTreeMap<u64, (usize, u8, ClaimToken)>,
    granted: Vec<Granted>,
    completed: u64,
}

fn key_of(number: u8) -> ClaimKey {
    ClaimKey::new("dealers", "orders", &number.to_string())
}

impl Simulation {
    fn new() -> Self {
        Self {
            processes: vec![ClaimShard::new(RETENTION_MS); 3],
            generations: vec![0; 3],
            store: (0, ShardValue::default()),
            requests: VecDeque::new(),
            late: VecDeque::new(),
            now_ms: 1,
            next_waiter: 1,
            waiting: BTreeMap::new(),
            granted: Vec::new(),
            completed: 0,
        }
    }

    fn handle(&mut self, process: usize, event: ClaimEvent) {
        let actions = self.processes[process].handle(event, self.now_ms, self.now_ms);
        for action in actions {
            match action {
                ClaimAction::Read => {
                    let generation = self.generations[process];
                    self.requests.push_back(StoreRequest { process, generation, write: None });
                }
                ClaimAction::Write { expected_revision, value } => {
                    let generation = self.generations[process];
                    let write = Some((expected_revision, value));
                    self.requests.push_back(StoreRequest { process, generation, write });
                }
                ClaimAction::Complete { waiter, outcome } => self.record_outcome(waiter, &outcome),
            }
        }
    }

    fn record_outcome(&mut self, waiter: u64, outcome: &ClaimOutcome) {
        let Some((process, key, token)) = self.waiting.remove(&waiter) else { return };
        self.completed += 1;
        if *outcome == ClaimOutcome::Granted {
            let generation = self.generations[process];
            self.granted.push(Granted { process, generation, key, token, is_open: true });
        }
    }

    fn swap(&mut self, expected_revision: u64, value: ShardValue) -> bool {
        if self.store.0 != expected_revision {
            return false;
        }
        self.store = (expected_revision + 1, value);
        true
    }

    fn deliver(&mut self, result: RequestResult) {
        let Some(request) = self.requests.pop_front() else { return };
        let is_current = self.generations[request.process] == request.generation;
        let event = match request.write {
            None => ClaimEvent::ReadDone(match result {
                RequestResult::Completed => {
                    ReadOutcome::Value { mod_revision: self.store.0, value: self.store.1.clone() }
                }
                _ => ReadOutcome::Failed,
            }),
            Some((expected_revision, value)) => ClaimEvent::WriteDone(match result {
                RequestResult::Completed if self.swap(expected_revision, value.clone()) => {
                    WriteOutcome::Swapped { mod_revision: self.store.0 }
                }
                RequestResult::Completed => WriteOutcome::Conflict {
                    mod_revision: self.store.0,
                    value: self.store.1.clone(),
                },
                RequestResult::Refused => WriteOutcome::Refused,
                RequestResult::ResponseLost => {
                    self.swap(expected_revision, value);
                    WriteOutcome::Uncertain
                }
                RequestResult::RequestLost => WriteOutcome::Uncertain,
                RequestResult::AppliedLate => {
                    self.late.push_back((expected_revision, value));
                    WriteOutcome::Uncertain
                }
            }),
        };
        if is_current {
            self.handle(request.process, event);
        }
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Begin { process, key, request } => {
                let waiter = self.next_waiter;
                self.next_waiter += 1;
                let token = ClaimToken(waiter);
                self.waiting.insert(waiter, (*process, *key, token));
                let attempt = ClaimRequest {
                    waiter,
                    key: key_of(*key),
                    token,
                    request_digest: *request,
                    deadline_ms: self.now_ms + 300,
                };
                self.handle(*process, ClaimEvent::Begin(attempt));
            }
            Step::Deliver { result } => self.deliver(*result),
            Step::ApplyLate => {
                if let Some((expected_revision, value)) = self.late.pop_front() {
                    self.swap(expected_revision, value);
                }
            }
            Step::Advance { by_ms } => {
                self.now_ms += by_ms;
                (0..3).for_each(|process| self.handle(process, ClaimEvent::Tick));
            }
            Step::FinishOldest { release } => self.finish_oldest(*release),
            Step::CancelNewest { process } => {
                let newest = self.waiting.iter().rev().find(|(_, (owner, _, _))| owner == process);
                let Some(waiter) = newest.map(|(waiter, _)| *waiter) else { return };
                self.waiting.remove(&waiter);
                self.handle(*process, ClaimEvent::Cancel { waiter });
            }
            Step::Kill { process } => {
                self.generations[*process] += 1;
                self.processes[*process] = ClaimShard::new(RETENTION_MS);
                self.waiting.retain(|_, (owner, _, _)| owner != process);
            }
        }
    }

    /// Finishes the oldest granted call, or releases it as known not to have run.
    fn finish_oldest(&mut self, release: bool) {
        let generations = self.generations.clone();
        let Some(position) =
            self.granted.iter().position(|g| g.is_open && generations[g.process] == g.generation)
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
            let response = StoredResponse { status: 200, content_type: None, body: None };
            ClaimEvent::Finish { key, token, response }
        };
        self.handle(granted.process, event);
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
            let mut simulation = Simulation::new();
            for step in &steps {
                simulation.run(step);
                simulation.check_at_most_one();
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn claim_store_recovered_all_attempts_completed() {
    runner(SCHEDULES)
        .run(&steps(), |steps| {
            let mut simulation = Simulation::new();
            for step in &steps {
                simulation.run(step);
            }
            // After the store recovers, every attempt completes by its deadline and no shard has
            // pending changes.
            for _ in 0..60 {
                while !simulation.requests.is_empty() {
                    simulation.run(&Step::Deliver { result: RequestResult::Completed });
                }
                simulation.run(&Step::ApplyLate);
                simulation.run(&Step::Advance { by_ms: 60 });
            }
            simulation.check_at_most_one();
            prop_assert!(simulation.waiting.is_empty(), "{:?}", simulation.waiting);
            prop_assert!(simulation.processes.iter().all(ClaimShard::is_idle));
            Ok(())
        })
        .unwrap();
}

#[test]
fn claim_abandoned_leaves_no_record() {
    runner(SCHEDULES)
        .run(&steps(), |steps| {
            let mut simulation = Simulation::new();
            let steps = steps.iter().filter(|step| !matches!(step, Step::Kill { .. }));
            steps.for_each(|step| simulation.run(step));
            for _ in 0..60 {
                while !simulation.requests.is_empty() {
                    simulation.run(&Step::Deliver { result: RequestResult::Completed });
                }
                simulation.run(&Step::ApplyLate);
                simulation.run(&Step::Advance { by_ms: 60 });
            }
            // Without process restarts, a stored record implies that the call was granted.
            for key in 0..3 {
                let has_record = simulation.store.1.find(key_of(key)).is_some();
                let was_granted = simulation.granted.iter().any(|granted| granted.key == key);
                prop_assert_eq!(has_record, was_granted, "key {}", key);
            }
            Ok(())
        })
        .unwrap();
}

/// Reference model of claims for one process and a store without failures.
#[derive(Default)]
struct ReferenceClaims {
    claims: BTreeMap<u8, (u64, bool)>,
}

impl ReferenceClaims {
    fn begin(&mut self, key: u8, request: u64) -> ClaimOutcome {
        match self.claims.get(&key) {
            None => {
                self.claims.insert(key, (request, false));
                ClaimOutcome::Granted
            }
            Some((held, _)) if *held != request => ClaimOutcome::KeyReused,
            Some((_, false)) => ClaimOutcome::InProgress,
            Some((_, true)) => ClaimOutcome::Finished(StoredResponse {
                status: 200,
                content_type: None,
                body: None,
            }),
        }
    }
}

#[test]
fn claim_without_failures_matches_reference() {
    let strategy = proptest::collection::vec((0..3u8, 0..2u64, any::<bool>()), 1..40);
    runner(1_000)
        .run(&strategy, |calls| {
            let mut reference = ReferenceClaims::default();
            let mut shard = ClaimShard::new(RETENTION_MS);
            let mut order_ids = OrderIdTable::new(RETENTION_MS);
            let sequences: Vec<u64> = (0..3).map(|_| order_ids.issue(0)).collect();
            let mut store = (0, ShardValue::default());
            for (number, (key, request, finishes)) in calls.into_iter().enumerate() {
                let expected = reference.begin(key, request);
                let token = ClaimToken(number as u64 + 1);
                let attempt = ClaimRequest {
                    waiter: 1,
                    key: key_of(key),
                    token,
                    request_digest: request,
                    deadline_ms: 1_000,
                };
                let found = run_event(&mut shard, &mut store, ClaimEvent::Begin(attempt));
                prop_assert_eq!(found.as_ref(), Some(&expected));
                let sequence = sequences[usize::from(key)];
                prop_assert_eq!(order_ids.begin(sequence, request, 1), expected.clone());
                if finishes && expected == ClaimOutcome::Granted {
                    reference.claims.insert(key, (request, true));
                    let response = StoredResponse { status: 200, content_type: None, body: None };
                    order_ids.finish(sequence, response.clone());
                    let event = ClaimEvent::Finish { key: key_of(key), token, response };
                    run_event(&mut shard, &mut store, event);
                }
            }
            Ok(())
        })
        .unwrap();
}

fn run_event(
    shard: &mut ClaimShard,
    store: &mut (u64, ShardValue),
    event: ClaimEvent,
) -> Option<ClaimOutcome> {
    let mut found = None;
    let mut actions: VecDeque<ClaimAction> = shard.handle(event, 1, 1).into();
    while let Some(action) = actions.pop_front() {
        let event = match action {
            ClaimAction::Complete { outcome, .. } => {
                found = Some(outcome);
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
fn order_id_expired_is_rejected() {
    let mut order_ids = OrderIdTable::new(100);
    let sequence = order_ids.issue(0);
    assert_eq!(order_ids.begin(sequence, 1, 100), ClaimOutcome::Expired);
    assert!(order_ids.is_empty());
}

#[test]
fn order_id_parsed_only_for_its_caller() {
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
