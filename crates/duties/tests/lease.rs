//! Leader election for the duties: who holds the lease, and when the holder may act.

use hickorycourse_duties::{DutyLease, LeaseAction, LeaseOptions};

const TTL_MS: u64 = 3_000;

fn lease() -> DutyLease {
    DutyLease::new(LeaseOptions::from_ttl(TTL_MS))
}

fn holder(acquired_at_ms: u64) -> DutyLease {
    let mut lease = lease();
    lease.observe_vacant(None, 0, acquired_at_ms);
    assert_eq!(lease.next_action(acquired_at_ms), LeaseAction::Acquire);
    lease.record_acquired(40, acquired_at_ms, acquired_at_ms);
    lease
}

/// Renews whenever a renewal is due, from `from_ms` up to `until_ms`.
fn renew(lease: &mut DutyLease, from_ms: u64, until_ms: u64) {
    for now_ms in (from_ms..until_ms).step_by(250) {
        if lease.next_action(now_ms) == LeaseAction::Renew {
            lease.record_renewed(now_ms);
        }
    }
}

#[test]
fn fencing_token_is_none_until_takeover_delay() {
    let mut lease = holder(0);
    assert_eq!(lease.fencing_token(1_000), None);
    renew(&mut lease, 0, 2_000);
    assert_eq!(lease.fencing_token(2_000), Some(40));
}

#[test]
fn fencing_token_after_suspension_is_none() {
    let mut lease = holder(0);
    renew(&mut lease, 0, 4_000);
    // The process is suspended while the response to a renewal is in flight, and reads it only
    // after it resumes. The renewal must count from when it was sent.
    lease.record_renewed(3_750);
    assert_eq!(lease.fencing_token(3_750 + 2_500), None);
    assert_eq!(lease.next_action(3_750 + TTL_MS), LeaseAction::Wait);
    assert!(!lease.is_holder());
}

#[test]
fn fencing_token_expires_before_stored_lease() {
    let mut lease = holder(0);
    renew(&mut lease, 0, 10_000);
    let renewed_at_ms = 9_750;
    for now_ms in renewed_at_ms..renewed_at_ms + 2 * TTL_MS {
        let may_act = lease.fencing_token(now_ms).is_some();
        assert!(!may_act || now_ms < renewed_at_ms + TTL_MS * 2 / 3, "at {now_ms}");
    }
}

#[test]
fn fencing_token_of_alternating_holders_is_one_ttl_apart() {
    // One instance acts and loses the lease (`first`), another one acts (`second`), and the first one
    // acquires the lease again (`third`). Its two actions must be at least one time to live apart.
    let mut first = holder(0);
    renew(&mut first, 0, 4_000);
    let last_action_ms = 3_999;
    assert!(first.fencing_token(last_action_ms).is_some());
    let second = holder(last_action_ms + 1);
    let mut now_ms = last_action_ms + 1;
    let mut second = second;
    while second.fencing_token(now_ms).is_none() {
        now_ms += 50;
        renew(&mut second, now_ms, now_ms + 1);
    }
    let mut third = holder(now_ms + 1);
    while third.fencing_token(now_ms).is_none() {
        now_ms += 50;
        renew(&mut third, now_ms, now_ms + 1);
    }
    assert!(now_ms - last_action_ms >= TTL_MS);
}

#[test]
fn observe_vacant_older_than_own_key_is_ignored() {
    let mut lease = holder(0);
    lease.observe_vacant(Some(39), 0, 100);
    lease.observe_vacant(None, 0, 100);
    assert!(lease.is_holder());
    lease.observe_vacant(Some(41), 0, 100);
    assert!(!lease.is_holder());
}

#[test]
fn observe_holder_of_other_instance_ends_lease() {
    let mut lease = holder(0);
    lease.observe_holder(40);
    assert!(lease.is_holder());
    lease.observe_holder(44);
    assert!(!lease.is_holder());
    assert_eq!(lease.next_action(1_000), LeaseAction::Wait);
}

// Guards against two holders after the store was restored from a backup that lacks the lease: the
// former holder may not know of the restore.
#[test]
fn fencing_token_after_restore_waits_out_earlier_lease() {
    let options = LeaseOptions::from_ttl(3_000);
    let mut lease = DutyLease::new(options);
    lease.record_acquired(7, 0, 0);
    assert_eq!(lease.fencing_token(1_800), Some(7));
    lease.record_restore(1_800);
    assert_eq!(lease.fencing_token(1_800), None);
    assert_eq!(lease.next_action(1_900), LeaseAction::Wait);
    lease.observe_vacant(None, 0, 2_000);
    assert_eq!(lease.next_action(2_000), LeaseAction::Acquire);
    lease.record_acquired(99, 2_000, 2_000);
    assert_eq!(lease.fencing_token(1_800 + options.ttl_ms - 1), None);
    lease.record_renewed(4_000);
    assert_eq!(lease.fencing_token(1_800 + options.ttl_ms), Some(99));
}
