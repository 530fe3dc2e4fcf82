//! Updates of the upstream directory, with late entries and entries that lapsed during an outage.

use hickorycourse_routes::{DirectoryChange, UpstreamDirectory, UpstreamEntry, UpstreamPhase};

fn entry(id: &str, started_at_ms: u64, sequence: u64) -> UpstreamEntry {
    let address = "127.0.0.1:9000".parse().expect("an address");
    let ready = UpstreamEntry::ready(id, "advice", address, "east", 4);
    UpstreamEntry { started_at_ms: Some(started_at_ms), sequence, ..ready }
}

fn leaving(entry: UpstreamEntry) -> UpstreamEntry {
    UpstreamEntry { phase: UpstreamPhase::Leaving, ..entry }
}

#[test]
fn put_entry_of_earlier_start_is_ignored() {
    let mut directory = UpstreamDirectory::default();
    assert_eq!(directory.put(entry("a", 200, 1)), DirectoryChange::Added);
    assert_eq!(directory.put(entry("a", 100, 9)), DirectoryChange::None);
    assert_eq!(directory.entries().next().and_then(|entry| entry.started_at_ms), Some(200));
}

#[test]
fn put_late_ready_after_leaving_is_ignored() {
    let mut directory = UpstreamDirectory::default();
    directory.put(entry("a", 100, 1));
    assert_eq!(directory.put(leaving(entry("a", 100, 3))), DirectoryChange::Leaving);
    assert_eq!(directory.put(entry("a", 100, 2)), DirectoryChange::None);
    assert_eq!(directory.entries().next().map(|entry| entry.phase), Some(UpstreamPhase::Leaving));
}

#[test]
fn put_restart_with_same_id_replaces_entry() {
    let mut directory = UpstreamDirectory::default();
    directory.put(leaving(entry("a", 100, 7)));
    assert_eq!(directory.put(entry("a", 300, 1)), DirectoryChange::Restarted);
    assert_eq!(directory.entries().next().map(|entry| entry.phase), Some(UpstreamPhase::Ready));
}

// Guards against the connections, limits and prompts of an earlier start that are kept for the next one.
#[test]
fn put_entry_with_another_version_reports_restart() {
    let with_version = |sequence: u64, version: &str| UpstreamEntry {
        version: Some(version.to_owned()),
        ..entry("a", 100, sequence)
    };
    let mut directory = UpstreamDirectory::default();
    directory.put(with_version(1, "v1"));
    assert_eq!(directory.put(with_version(2, "v1")), DirectoryChange::None);
    assert_eq!(directory.put(with_version(3, "v2")), DirectoryChange::Restarted);
    assert_eq!(directory.put(leaving(with_version(4, "v3"))), DirectoryChange::Restarted);
    assert_eq!(directory.put(with_version(2, "v1")), DirectoryChange::None);
    assert_eq!(directory.get("a").and_then(|entry| entry.version.as_deref()), Some("v3"));
}

#[test]
fn remove_without_outage_removes_upstream() {
    let mut directory = UpstreamDirectory::default();
    directory.put(entry("a", 100, 1));
    assert_eq!(directory.remove("a", None), DirectoryChange::Gone);
    assert_eq!(directory.entries().count(), 0);
}

#[test]
fn remove_after_outage_keeps_upstream_for_grace_period() {
    let mut directory = UpstreamDirectory::default();
    directory.put(entry("a", 100, 1));
    directory.put(entry("b", 100, 1));
    assert_eq!(directory.remove("a", Some(1_000)), DirectoryChange::Doubted);
    assert_eq!(directory.remove("b", Some(1_000)), DirectoryChange::Doubted);
    directory.put(entry("b", 100, 2));
    assert!(directory.expire(999).is_empty());
    assert_eq!(directory.expire(1_000), ["a"]);
    assert_eq!(directory.entries().map(|entry| entry.id.as_str()).collect::<Vec<_>>(), ["b"]);
}

#[test]
fn remove_leaving_after_outage_removes_upstream() {
    let mut directory = UpstreamDirectory::default();
    directory.put(leaving(entry("a", 100, 1)));
    assert_eq!(directory.remove("a", Some(1_000)), DirectoryChange::Gone);
}

#[test]
fn replace_without_entry_removes_upstream() {
    let mut directory = UpstreamDirectory::default();
    directory.put(entry("a", 100, 1));
    directory.put(entry("b", 100, 1));
    let changes = directory.replace(vec![entry("b", 100, 2)], None);
    assert_eq!(changes[0], ("a".to_owned(), DirectoryChange::Gone));
    assert_eq!(directory.entries().count(), 1);
}

// Guards against requests to an upstream that has announced its departure in a response, while its
// entry still says that it is ready.
#[test]
fn announce_departure_survives_later_entries_of_same_start() {
    let mut directory = UpstreamDirectory::default();
    directory.put(entry("i-1", 100, 4));
    assert_eq!(directory.announce_departure("i-1", None), DirectoryChange::Leaving);
    assert_eq!(directory.announce_departure("i-1", None), DirectoryChange::None);
    directory.put(entry("i-1", 100, 5));
    assert!(directory.entries().all(|entry| entry.phase == UpstreamPhase::Leaving));
    assert_eq!(directory.announced_departures().next(), Some(("i-1", Some(100))));
    assert_eq!(directory.put(entry("i-1", 200, 1)), DirectoryChange::Restarted);
    assert!(directory.entries().all(|entry| entry.phase == UpstreamPhase::Ready));
    assert_eq!(directory.announced_departures().next(), None);
}

#[test]
fn announce_departure_of_other_start_is_ignored() {
    let mut directory = UpstreamDirectory::default();
    directory.put(entry("i-1", 200, 4));
    assert_eq!(directory.announce_departure("i-1", Some(100)), DirectoryChange::None);
    assert_eq!(directory.announce_departure("i-2", None), DirectoryChange::None);
    assert!(directory.entries().all(|entry| entry.phase == UpstreamPhase::Ready));
}

// Guards against an upstream that has left and is listed again by a store restored from a backup.
#[test]
fn put_entry_from_before_removal_is_ignored() {
    let mut directory = UpstreamDirectory::default();
    directory.put(leaving(entry("i-1", 100, 5)));
    directory.remove("i-1", None);
    assert_eq!(directory.put(entry("i-1", 100, 4)), DirectoryChange::None);
    assert_eq!(directory.put(entry("i-1", 100, 5)), DirectoryChange::None);
    assert_eq!(directory.entries().count(), 0);
    assert_eq!(directory.put(entry("i-1", 100, 6)), DirectoryChange::Added);
}

#[test]
fn is_heartbeat_of_changed_entry_is_false() {
    let mut directory = UpstreamDirectory::default();
    assert!(!directory.is_heartbeat(&entry("i-1", 100, 1)));
    directory.put(entry("i-1", 100, 1));
    assert!(directory.is_heartbeat(&entry("i-1", 100, 2)));
    assert!(!directory.is_heartbeat(&leaving(entry("i-1", 100, 2))));
    assert!(!directory.is_heartbeat(&entry("i-1", 200, 1)));
    // The entry that says what was announced is a change for those that have not heard of it.
    directory.announce_departure("i-1", None);
    assert!(!directory.is_heartbeat(&leaving(entry("i-1", 100, 2))));
}

// Guards against an upstream that another instance did not know yet and that stays unused for good.
#[test]
fn replace_from_peer_without_entry_accepts_it_again() {
    let mut directory = UpstreamDirectory::default();
    directory.put(entry("i-1", 100, 5));
    directory.replace_from_peer(Vec::new());
    assert_eq!(directory.entries().count(), 0);
    assert_eq!(directory.put(entry("i-1", 100, 5)), DirectoryChange::Added);
}

// The other instance may have learned the deletion of an entry, and an older record may arrive later.
#[test]
fn replace_from_peer_keeps_departures() {
    let mut directory = UpstreamDirectory::default();
    directory.put(leaving(entry("a", 100, 5)));
    directory.put(entry("b", 100, 5));
    directory.announce_departure("b", Some(100));
    directory.replace_from_peer(Vec::new());
    directory.put(entry("a", 100, 4));
    directory.put(entry("b", 100, 6));
    assert!(directory.entries().all(|entry| entry.phase == UpstreamPhase::Leaving));
    directory.replace(Vec::new(), None);
    assert_eq!(directory.entries().count(), 0);
}
