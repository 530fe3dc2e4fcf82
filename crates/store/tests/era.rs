//! Revisions of a store that is restored from a backup.

use hickorycourse_store::{EraTracker, combine_revision, split_revision};

#[test]
fn combine_revision_rises_with_era() {
    assert!(combine_revision(2, 5) > combine_revision(1, 1_000_000));
    assert!(combine_revision(1, 6) > combine_revision(1, 5));
    assert_eq!(combine_revision(0, 17), 17);
    assert_eq!(split_revision(combine_revision(3, 17)), (3, 17));
    assert!(combine_revision(8_191, u64::MAX) < 1 << 53);
}

#[test]
fn observe_lower_era_is_stale() {
    let tracker = EraTracker::default();
    let clone = tracker.clone();
    assert!(tracker.observe(2));
    assert!(!clone.observe(1));
    assert!(clone.observe(3));
    assert_eq!(tracker.era(), 3);
}
