//! Replays of crowds of bodies: which are held, and which are given up.

use hickorycourse_body::{BufferLedger, GrowDecision};

const KIB: usize = 1024;
const LIMIT_BYTES: usize = 16 * 1024 * KIB;
const BODY_BYTES: usize = 512 * KIB;
const STEP_BYTES: usize = 64 * KIB;

fn is_granted(decision: &GrowDecision) -> bool {
    matches!(decision, GrowDecision::Granted { .. })
}

/// Grows a body in steps, one each millisecond; returns whether it was held.
fn fill(ledger: &mut BufferLedger, number: u64, bytes: usize, now_ms: &mut u64) -> bool {
    (0..bytes / STEP_BYTES).all(|_| {
        *now_ms += 1;
        is_granted(&ledger.grow(number, STEP_BYTES, *now_ms))
    })
}

/// A crowd of callers that have stopped short of the last byte of their bodies.
fn stalled_crowd(size: usize) -> (BufferLedger, u64) {
    let mut ledger = BufferLedger::new(LIMIT_BYTES);
    let mut now_ms = 0;
    for _ in 0..size {
        let number = ledger.open(now_ms);
        fill(&mut ledger, number, BODY_BYTES, &mut now_ms);
    }
    (ledger, now_ms)
}

// Replays 300 callers with bodies of 512 KiB that stop short of their last byte.
#[test]
fn grow_stalled_crowd_stays_within_limit() {
    for size in [6, 60, 300] {
        let (ledger, _) = stalled_crowd(size);
        assert!(ledger.held_bytes() <= LIMIT_BYTES, "{size}: {}", ledger.held_bytes());
    }
}

#[test]
fn grow_beside_stalled_crowd_granted() {
    let (mut ledger, mut now_ms) = stalled_crowd(300);
    now_ms += 1_000;
    for bytes in [64 * KIB, BODY_BYTES, 4 * BODY_BYTES] {
        let number = ledger.open(now_ms);
        assert!(fill(&mut ledger, number, bytes, &mut now_ms), "{bytes} bytes are refused");
        ledger.complete(number);
    }
    assert!(ledger.held_bytes() <= LIMIT_BYTES);
}

// Replays 200 callers that all send at once: some are held to the end, none is favoured by its place.
#[test]
fn grow_simultaneous_crowd_holds_some_to_the_end() {
    let mut ledger = BufferLedger::new(LIMIT_BYTES);
    let numbers: Vec<u64> = (0..200).map(|_| ledger.open(0)).collect();
    let mut held = vec![0; numbers.len()];
    for now_ms in 1..=(BODY_BYTES / STEP_BYTES) as u64 {
        for (number, held) in numbers.iter().zip(&mut held) {
            *held += usize::from(is_granted(&ledger.grow(*number, STEP_BYTES, now_ms)));
        }
        assert!(ledger.held_bytes() <= LIMIT_BYTES);
    }
    let complete = held.iter().filter(|steps| **steps == BODY_BYTES / STEP_BYTES).count();
    assert!(complete > 0, "no body is complete");
}

#[test]
fn grow_alone_above_limit_granted() {
    let mut ledger = BufferLedger::new(BODY_BYTES);
    let (small, number) = (ledger.open(0), ledger.open(0));
    assert!(is_granted(&ledger.grow(small, KIB, 0)));
    ledger.complete(small);
    assert!(fill(&mut ledger, number, 4 * BODY_BYTES, &mut 0));
}

#[test]
fn grow_beside_complete_bodies_refused() {
    let mut ledger = BufferLedger::new(LIMIT_BYTES);
    let mut now_ms = 0;
    loop {
        let number = ledger.open(now_ms);
        if !fill(&mut ledger, number, BODY_BYTES, &mut now_ms) {
            break;
        }
        ledger.complete(number);
    }
    let held_bytes = ledger.held_bytes();
    assert!(held_bytes > LIMIT_BYTES / 2 && held_bytes <= LIMIT_BYTES, "{held_bytes}");
    let small = ledger.open(now_ms);
    assert!(is_granted(&ledger.grow(small, 2 * KIB, now_ms)), "a small body has a part of its own");
}

#[test]
fn grow_after_eviction_refused() {
    let mut ledger = BufferLedger::new(BODY_BYTES);
    let (stalled, other) = (ledger.open(0), ledger.open(0));
    assert!(is_granted(&ledger.grow(stalled, BODY_BYTES / 2, 0)));
    let decision = ledger.grow(other, BODY_BYTES / 2, 1_000);
    assert_eq!(decision, GrowDecision::Granted { evicted: vec![stalled] });
    assert_eq!(ledger.grow(stalled, 1, 1_001), GrowDecision::Refused);
    assert_eq!(ledger.held_bytes(), BODY_BYTES / 2);
}

#[test]
fn grow_beyond_limit_gives_up_stalled() {
    let (mut ledger, now_ms) = stalled_crowd(300);
    let response = ledger.open(now_ms);
    let evicted = ledger.grow_beyond(response, 8 * BODY_BYTES, now_ms + 10_000);
    assert!(!evicted.is_empty() && ledger.held_bytes() <= LIMIT_BYTES);
}

// Replays callers that read large responses slowly, beside one that has stopped.
#[test]
fn grow_beyond_beside_slow_readers_spares_them() {
    let mut ledger = BufferLedger::new(LIMIT_BYTES);
    let readers: Vec<u64> = (0..40)
        .map(|_| {
            let number = ledger.open(0);
            ledger.grow_beyond(number, BODY_BYTES, 0);
            number
        })
        .collect();
    for reader in &readers[1..] {
        ledger.record_progress(*reader, 950);
    }
    let number = ledger.open(1_000);
    let evicted = ledger.grow_beyond(number, BODY_BYTES, 1_000);
    assert_eq!(evicted, [readers[0]]);
}
