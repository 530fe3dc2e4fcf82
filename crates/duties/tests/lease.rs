//! Who holds the duties, and when it may act.

use hickorycourse_duties::{DutyLease, LeaseOptions, LeaseStep};

const TTL_MS: u64 = 3_000;

fn lease() -> DutyLease {
    DutyLease::new(LeaseOptions::from_ttl(TTL_MS))
}

fn holder(acquired_at_ms: u64) -> DutyLease {
    let mut lease = lease();
    lease.note_vacant(None, 0, acquired_at_ms);
    assert_eq!(lease.step(acquired_at_ms), LeaseStep::Claim);
    lease.note_claimed(40, acquired_at_ms, acquired_at_ms);
    lease
}

/// Renews up to `until_ms`.
fn renew(lease: &mut DutyLease, from_ms: u64, until_ms: u64) {
    for now_ms in (from_ms..until_ms).step_by(250) {
        if lease.step(now_ms) == LeaseStep::Renew {
            lease.note_renewed(now_ms);
        }
    }
}

#[test]
fn fence_after_settling() {
    let mut lease = holder(0);
    assert_eq!(lease.fence(1_000), None);
    renew(&mut lease, 0, 2_000);
    assert_eq!(lease.fence(2_000), Some(40));
}

#[test]
fn fence_after_a_freeze() {
    let mut lease = holder(0);
    renew(&mut lease, 0, 4_000);
    // Frozen as the answer to a renewal was on its way; it is read after the thaw.
    lease.note_renewed(3_750);
    assert_eq!(lease.fence(3_750 + 2_500), None);
    assert_eq!(lease.step(3_750 + TTL_MS), LeaseStep::Wait);
    assert!(!lease.is_holder());
}

#[test]
fn fence_never_past_the_stores_lease() {
    let mut lease = holder(0);
    renew(&mut lease, 0, 10_000);
    let renewed_at_ms = 9_750;
    for now_ms in renewed_at_ms..renewed_at_ms + 2 * TTL_MS {
        let may_act = lease.fence(now_ms).is_some();
        assert!(!may_act || now_ms < renewed_at_ms + TTL_MS * 2 / 3, "at {now_ms}");
    }
}

#[test]
fn holders_alternate() {
    // A acts, loses the lease; B acts; A is back. Between A's two actions lies a whole lease.
    let mut first = holder(0);
    renew(&mut first, 0, 4_000);
    let last_action_ms = 3_999;
    assert!(first.fence(last_action_ms).is_some());
    let second = holder(last_action_ms + 1);
    let mut now_ms = last_action_ms + 1;
    let mut second = second;
    while second.fence(now_ms).is_none() {
        now_ms += 50;
        renew(&mut second, now_ms, now_ms + 1);
    }
    let mut third = holder(now_ms + 1);
    while third.fence(now_ms).is_none() {
        now_ms += 50;
        renew(&mut third, now_ms, now_ms + 1);
    }
    assert!(now_ms - last_action_ms >= TTL_MS);
}

#[test]
fn note_vacant_older_than_own_claim() {
    let mut lease = holder(0);
    lease.note_vacant(Some(39), 0, 100);
    lease.note_vacant(None, 0, 100);
    assert!(lease.is_holder());
    lease.note_vacant(Some(41), 0, 100);
    assert!(!lease.is_holder());
}

#[test]
fn note_holder_other() {
    let mut lease = holder(0);
    lease.note_holder(40);
    assert!(lease.is_holder());
    lease.note_holder(44);
    assert!(!lease.is_holder());
    assert_eq!(lease.step(1_000), LeaseStep::Wait);
}
