//! Members and settings under generated schedules.

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

/// Documents arrive late, twice and out of order: what is in force never goes back.
#[test]
fn replica_never_reverts() {
    let strategy = proptest::collection::vec((0..3u8, 1..20u64), 1..100);
    runner(2_000)
        .run(&strategy, |arrivals| {
            let mut replica = SettingsReplica::new();
            let mut highest = [0; 3];
            for (number, revision) in arrivals {
                let outcome = replica.apply(&name(number), &document(number, revision));
                let held = &mut highest[usize::from(number)];
                prop_assert_eq!(outcome == ApplyOutcome::Applied, revision > *held);
                *held = (*held).max(revision);
                prop_assert_eq!(replica.find(&name(number)).unwrap().revision, *held);
            }
            Ok(())
        })
        .unwrap();
}

/// Replicas that swap their versions now and then agree in the end, whatever they started from.
#[test]
fn replicas_converge() {
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

/// Seven entries share one limit. Some are cut off from the others, in any way: what each takes
/// never adds up to more than the whole.
#[test]
fn shares_never_exceed_whole() {
    let strategy =
        (proptest::collection::vec(0..50u64, 7), proptest::collection::vec(any::<bool>(), 49));
    runner(2_000)
        .run(&strategy, |(calls, hears)| {
            let mut total = 0;
            for own in 0..7 {
                let mut table = MemberTable::new(&format!("entry-{own}"), "zone-a", 1_000);
                for other in (0..7).filter(|other| *other != own) {
                    table.hear(heartbeat(other, "zone-a", calls[other]), 0);
                    if hears[own.min(other) * 7 + own.max(other)] {
                        table.hear(heartbeat(other, "zone-a", calls[other]), 5_000);
                    }
                }
                total += table.share_permille("desk", calls[own], 5_500);
            }
            // Cuts are mutual here but not transitive, so views differ; each reserves for the
            // silent ones, and rounding gives at most one thousandth to each.
            prop_assert!(total <= 1_500, "{total}");
            Ok(())
        })
        .unwrap();
}

#[test]
fn shares_cut_into_two_sides_add_up() {
    for side in 1..7 {
        let mut total = 0;
        for own in 0..7 {
            let mut table = MemberTable::new(&format!("entry-{own}"), "zone-a", 1_000);
            for other in (0..7).filter(|other| *other != own) {
                table.hear(heartbeat(other, "zone-a", 10), 0);
                if (own < side) == (other < side) {
                    table.hear(heartbeat(other, "zone-a", 10), 5_000);
                }
            }
            total += table.share_permille("desk", 10, 5_500);
        }
        assert!((950..=1_007).contains(&total), "side of {side}: {total}");
    }
}

#[test]
fn watchers_two_of_each_zone() {
    let mut watchers = 0;
    for own in 0..20 {
        let mut table = MemberTable::new(&format!("entry-{own}"), "zone-a", 1_000);
        (0..20).for_each(|other| table.hear(heartbeat(other, "zone-a", 0), 0));
        (20..40).for_each(|other| table.hear(heartbeat(other, "zone-b", 0), 0));
        watchers += usize::from(table.is_watcher(10));
        assert!(table.is_watcher(5_000), "one that hears nobody watches itself");
    }
    assert_eq!(watchers, 2);
}

/// Keys follow the newest document of their organisation, and of no other.
#[test]
fn identify_follows_newest_keys() {
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
    let held = replica.snapshot();
    replica.apply(&named("a"), &document(2, "a", "key-3"));
    let who = |replica: &SettingsReplica, key: &str| {
        replica.snapshot().identify(key).map(|identity| identity.organisation.clone())
    };
    assert_eq!(who(&replica, "key-1"), None);
    assert_eq!(who(&replica, "key-2").as_deref(), Some("b"));
    assert_eq!(who(&replica, "key-3").as_deref(), Some("a"));
    assert!(held.identify("key-1").is_some(), "a request keeps the settings it started with");
}
