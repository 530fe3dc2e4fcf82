//! Settings replication and limit shares under generated schedules of messages and partitions.

#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;

use hickorycourse_membership::prelude::*;
use hickorycourse_settings::document::{Document, DocumentName};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

fn document(number: u8, revision: u64) -> Document {
    Document {
        revision,
        changes: VecDeque::new(),
        text: format!(
            "{{\"organisation\": \"o{number}\", \"callers\": [], \"policy\": {{\"share\": {revision}}}}}"
        ),
    }
}

fn name(number: u8) -> DocumentName {
    DocumentName::Organisation(format!("o{number}"))
}

/// Documents that arrive late, repeatedly or out of order must not revert a newer revision.
#[test]
fn replica_documents_out_of_order_never_reverts() {
    let strategy = proptest::collection::vec((0..3u8, 1..20u64), 1..100);
    runner(2_000)
        .run(&strategy, |arrivals| {
            let mut replica = SettingsReplica::new();
            let mut highest = [0; 3];
            for (number, revision) in arrivals {
                let outcome = replica.apply(&name(number), &document(number, revision));
                let highest_revision = &mut highest[usize::from(number)];
                prop_assert_eq!(outcome == ApplyOutcome::Applied, revision > *highest_revision);
                *highest_revision = (*highest_revision).max(revision);
                prop_assert_eq!(replica.find(&name(number)).unwrap().revision, *highest_revision);
            }
            Ok(())
        })
        .unwrap();
}

/// Replicas that exchange their versions converge, whatever documents they start with.
#[test]
fn replicas_exchanging_versions_converge() {
    let strategy = proptest::collection::vec((0..4usize, 0..3u8, 1..20u64), 1..60);
    runner(1_000)
        .run(&strategy, |arrivals| {
            let mut replicas = vec![SettingsReplica::new(); 4];
            for (replica, number, revision) in arrivals {
                replicas[replica].apply(&name(number), &document(number, revision));
            }
            for _ in 0..4 {
                for index in 0..4 {
                    let versions = replicas[index].list_versions();
                    let other = (index + 1) % 4;
                    let newer = replicas[other].list_newer_than(&versions);
                    prop_assert_eq!(
                        replicas[index].is_behind(&replicas[other].list_versions()),
                        !newer.is_empty()
                    );
                    for versioned in newer {
                        replicas[index].apply(&versioned.name, &versioned.document);
                    }
                }
            }
            for replica in &replicas {
                prop_assert_eq!(replica.list_versions(), replicas[0].list_versions());
                prop_assert_eq!(replica.snapshot().digest, replicas[0].snapshot().digest);
            }
            Ok(())
        })
        .unwrap();
}

fn heartbeat(number: usize, zone: &str, calls: u64) -> Heartbeat {
    Heartbeat {
        instance: format!("entry-{number}"),
        incarnation: 1,
        availability_zone: zone.to_owned(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        is_leaving: false,
        settings_digest: 0,
        demands: vec![ServiceDemand { service: "desk".to_owned(), calls }],
        leaving_instances: Vec::new(),
    }
}

/// Seven entries share one limit while arbitrary pairs of them cannot reach each other. The sum of
/// their shares must stay within 1,500 thousandths of the limit.
#[test]
fn shares_arbitrary_partitions_sum_bounded() {
    let strategy =
        (proptest::collection::vec(0..50u64, 7), proptest::collection::vec(any::<bool>(), 49));
    runner(2_000)
        .run(&strategy, |(calls, is_connected)| {
            let mut total = 0;
            for own in 0..7 {
                let mut table = MemberTable::new(&format!("entry-{own}"), "zone-a", 1_000);
                for other in (0..7).filter(|other| *other != own) {
                    table.record_heartbeat(heartbeat(other, "zone-a", calls[other]), 0);
                    if is_connected[own.min(other) * 7 + own.max(other)] {
                        table.record_heartbeat(heartbeat(other, "zone-a", calls[other]), 5_000);
                    }
                }
                total += table.share_permille("desk", calls[own], 5_500);
            }
            // Reachability is symmetric here but not transitive, so the entries' views differ. Each
            // entry reserves a share for those it cannot reach; rounding adds at most one
            // thousandth per entry.
            prop_assert!(total <= 1_500, "{total}");
            Ok(())
        })
        .unwrap();
}

#[test]
fn shares_two_partitions_sum_to_limit() {
    for side in 1..7 {
        let mut total = 0;
        for own in 0..7 {
            let mut table = MemberTable::new(&format!("entry-{own}"), "zone-a", 1_000);
            for other in (0..7).filter(|other| *other != own) {
                table.record_heartbeat(heartbeat(other, "zone-a", 10), 0);
                if (own < side) == (other < side) {
                    table.record_heartbeat(heartbeat(other, "zone-a", 10), 5_000);
                }
            }
            total += table.share_permille("desk", 10, 5_500);
        }
        assert!((950..=1_007).contains(&total), "partition of {side}: {total}");
    }
}

#[test]
fn watchers_two_of_each_zone() {
    let mut watchers = 0;
    for own in 0..20 {
        let mut table = MemberTable::new(&format!("entry-{own}"), "zone-a", 1_000);
        (0..20).for_each(|other| table.record_heartbeat(heartbeat(other, "zone-a", 0), 0));
        (20..40).for_each(|other| table.record_heartbeat(heartbeat(other, "zone-b", 0), 0));
        watchers += usize::from(table.is_watcher(10));
        assert!(table.is_watcher(5_000), "an entry that reaches no other is a watcher");
    }
    assert_eq!(watchers, 2);
}

/// A key is valid exactly if it is in the newest document of its organisation; documents of other
/// organisations do not affect it.
#[test]
fn identify_replaced_document_follows_newest_keys() {
    let document = |revision: u64, organisation: &str, key: &str| Document {
        revision,
        changes: VecDeque::new(),
        text: format!(
            "{{\"organisation\": \"{organisation}\", \"callers\": [{{\"caller\": \"c\", \
             \"key_hash\": \"{}\"}}]}}",
            hickorycourse_settings::hash_key(key)
        ),
    };
    let named = |name: &str| DocumentName::Organisation(name.to_owned());
    let mut replica = SettingsReplica::new();
    replica.apply(&named("a"), &document(1, "a", "key-1"));
    replica.apply(&named("b"), &document(1, "b", "key-2"));
    let snapshot = replica.snapshot();
    replica.apply(&named("a"), &document(2, "a", "key-3"));
    let organisation_of = |replica: &SettingsReplica, key: &str| {
        replica.snapshot().identify(key).map(|identity| identity.organisation.clone())
    };
    assert_eq!(organisation_of(&replica, "key-1"), None);
    assert_eq!(organisation_of(&replica, "key-2").as_deref(), Some("b"));
    assert_eq!(organisation_of(&replica, "key-3").as_deref(), Some("a"));
    assert!(snapshot.identify("key-1").is_some(), "a request in flight keeps its snapshot");
}
