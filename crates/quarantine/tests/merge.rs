//! Merges of digests with arbitrary content, and what two instances agree on.

use std::collections::BTreeSet;

use hickorycourse_quarantine::{
    EndDigest, PartQuarantine, QuarantineDigest, QuarantineOptions, QuarantinedDigest,
};
use proptest::collection::vec;
use proptest::prelude::*;

const NOW_MS: u64 = 100_000_000;
/// Rounds in which two instances tell each other after which nothing changes any more.
const MAX_ROUNDS: usize = 20;

fn options() -> QuarantineOptions {
    QuarantineOptions::default()
}

/// Ages around the limits within which evidence and quarantines are kept, and huge ones.
fn age_ms() -> impl Strategy<Value = u64> {
    prop_oneof![0..5_000_u64, 0..2 * options().idle_lift_ms, NOW_MS - 10..NOW_MS + 10, any::<u64>(),]
}

fn any_digest(part: BoxedStrategy<u64>, max_length: usize) -> BoxedStrategy<QuarantineDigest> {
    let parts = vec((part.clone(), any::<u8>()), 0..=max_length.min(18));
    let end = (0..2_u64, 0..30_u64, age_ms(), parts)
        .prop_map(|(service, start, age_ms, parts)| EndDigest { service, start, age_ms, parts });
    let starts = prop_oneof![0..6_u64, any::<u64>()];
    let quarantined = (part.clone(), age_ms(), age_ms(), starts, any::<bool>()).prop_map(
        |(part, age_ms, last_request_age_ms, starts, is_pinned)| QuarantinedDigest {
            part,
            age_ms,
            last_request_age_ms,
            starts,
            is_pinned,
            is_request: false,
            had_answers: false,
        },
    );
    let aged = |key: BoxedStrategy<u64>| vec((key, age_ms()), 0..=max_length / 2);
    (
        vec(end, 0..=max_length.min(18)),
        aged(part.clone()),
        aged((0..30_u64).boxed()),
        vec(quarantined, 0..=max_length),
        aged(part),
    )
        .prop_map(|(ends, cleared, alive, quarantined, lifted)| QuarantineDigest {
            ends,
            cleared,
            begun: Vec::new(),
            answers: Vec::new(),
            alive,
            quarantined,
            lifted,
        })
        .boxed()
}

/// Digests of any length with any parts; most of the longer ones break a limit.
fn wild_digest() -> BoxedStrategy<QuarantineDigest> {
    let part = prop_oneof![0..40_u64, any::<u64>()].boxed();
    prop_oneof![any_digest(part.clone(), 8), any_digest(part, 80)].boxed()
}

/// Digests within the limits, whose few parts occur in all their lists, at most once in each, as
/// instances send them.
fn sound_digest() -> BoxedStrategy<QuarantineDigest> {
    any_digest((0..12_u64).boxed(), 8)
        .prop_map(|mut digest| {
            keep_first(&mut digest.ends, |end| end.start);
            for end in &mut digest.ends {
                keep_first(&mut end.parts, |(part, _)| *part);
            }
            keep_first(&mut digest.cleared, |(part, _)| *part);
            keep_first(&mut digest.alive, |(start, _)| *start);
            keep_first(&mut digest.lifted, |(part, _)| *part);
            keep_first(&mut digest.quarantined, |part| part.part);
            for part in &mut digest.quarantined {
                part.starts = part.starts.max(options().min_starts as u64);
            }
            digest
        })
        .boxed()
}

/// Removes the items whose key an earlier one has.
fn keep_first<T>(items: &mut Vec<T>, key: impl Fn(&T) -> u64) {
    let mut known = BTreeSet::new();
    items.retain(|item| known.insert(key(item)));
}

fn table_of(digests: &[QuarantineDigest]) -> PartQuarantine {
    let mut table = PartQuarantine::new(options());
    for digest in digests {
        let _ = table.merge(digest, NOW_MS);
    }
    table
}

fn quarantined(table: &PartQuarantine) -> Vec<u64> {
    table.quarantined().map(|(part, _)| part).collect()
}

/// Sends the state of `from` to `to`; returns whether the digest of `to` has changed.
fn tell(from: &PartQuarantine, to: &mut PartQuarantine) -> bool {
    let before = to.digest(NOW_MS);
    to.merge(&from.digest(NOW_MS), NOW_MS).expect("an own digest is within the limits");
    to.digest(NOW_MS) != before
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn merge_any_digests_state_stays_within_limits(
        digests in vec(wild_digest(), 1..10),
        steps_ms in vec(0..60_000_u64, 10),
    ) {
        let mut table = PartQuarantine::new(options());
        let mut now_ms = NOW_MS;
        for (digest, step_ms) in digests.iter().zip(steps_ms) {
            let before = table.digest(now_ms);
            let is_sound = digest.check(options().min_starts).is_ok();
            prop_assert_eq!(table.merge(digest, now_ms).is_ok(), is_sound);
            let after = table.digest(now_ms);
            prop_assert!(is_sound || after == before, "a digest out of bounds was merged in part");
            prop_assert_eq!(after.check(options().min_starts), Ok(()));
            prop_assert!(table.quarantined().count() <= 256);
            now_ms += step_ms;
            table.expire(now_ms);
        }
    }

    #[test]
    fn merge_repeated_changes_no_verdict(digests in vec(sound_digest(), 1..6)) {
        let mut table = table_of(&digests);
        let latest = &digests[digests.len() - 1];
        let once = quarantined(&table);
        for _ in 0..3 {
            prop_assert_eq!(table.merge(latest, NOW_MS), Ok(Vec::new()));
            prop_assert_eq!(quarantined(&table), once.clone());
        }
        let settled = table.digest(NOW_MS);
        prop_assert_eq!(table.merge(latest, NOW_MS), Ok(Vec::new()));
        prop_assert_eq!(table.digest(NOW_MS), settled);
    }

    #[test]
    fn merge_own_digest_changes_no_verdict(digests in vec(sound_digest(), 1..6)) {
        let mut table = table_of(&digests);
        let once = quarantined(&table);
        for _ in 0..3 {
            let own = table.digest(NOW_MS);
            prop_assert_eq!(table.merge(&own, NOW_MS), Ok(Vec::new()));
            prop_assert_eq!(quarantined(&table), once.clone());
        }
        let settled = table.digest(NOW_MS);
        prop_assert_eq!(table.merge(&settled, NOW_MS), Ok(Vec::new()));
        prop_assert_eq!(table.digest(NOW_MS), settled);
    }

    #[test]
    fn tables_that_told_each_other_agree(
        first in vec(sound_digest(), 0..5),
        second in vec(sound_digest(), 0..5),
    ) {
        // An instance that knows answers on a part judges for itself.
        let without_answers = |digests: Vec<QuarantineDigest>| -> Vec<QuarantineDigest> {
            let answers = Vec::new;
            digests.into_iter().map(|d| QuarantineDigest { cleared: answers(), ..d }).collect()
        };
        let first_digests = without_answers(first);
        let second_digests = without_answers(second);
        let (mut first, mut second) = (table_of(&first_digests), table_of(&second_digests));
        let mut rounds = 0;
        while tell(&first, &mut second) | tell(&second, &mut first) {
            rounds += 1;
            prop_assert!(rounds < MAX_ROUNDS, "the tables go on changing each other");
        }
        prop_assert_eq!(quarantined(&first), quarantined(&second));
        first.expire(NOW_MS);
        second.expire(NOW_MS);
        prop_assert_eq!(quarantined(&first), quarantined(&second));
    }

    #[test]
    fn operators_change_reaches_the_other_table(
        digests in vec(sound_digest(), 0..5),
        part in 0..12_u64,
        is_pin in any::<bool>(),
    ) {
        let (mut first, mut second) = (table_of(&digests), table_of(&digests));
        match is_pin {
            true => prop_assert!(first.pin(part, NOW_MS + 1)),
            false => {
                first.lift(part, NOW_MS + 1);
            }
        }
        for _ in 0..2 {
            let digest = second.digest(NOW_MS + 2);
            prop_assert!(first.merge(&digest, NOW_MS + 2).is_ok());
            let digest = first.digest(NOW_MS + 2);
            prop_assert!(second.merge(&digest, NOW_MS + 2).is_ok());
        }
        prop_assert_eq!(quarantined(&first).contains(&part), is_pin);
        prop_assert_eq!(quarantined(&second).contains(&part), is_pin);
    }
}

#[test]
fn is_outdated_by_other_parts_or_later_requests() {
    let part = |part, last_request_age_ms, is_pinned| QuarantinedDigest {
        part,
        age_ms: 500_000,
        last_request_age_ms,
        starts: 3,
        is_pinned,
        is_request: false,
        had_answers: false,
    };
    let digest = |parts: &[QuarantinedDigest]| QuarantineDigest {
        quarantined: parts.to_vec(),
        ..QuarantineDigest::default()
    };
    let stored = digest(&[part(1, 200_000, false), part(2, 200_000, true)]);
    let cases = [
        (digest(&[part(2, 200_000, true), part(1, 200_000, false)]), false),
        (digest(&[part(1, 100_000, false), part(2, 0, true)]), false),
        (digest(&[part(1, 99_999, false), part(2, 200_000, true)]), true),
        (digest(&[part(1, 200_000, true), part(2, 200_000, true)]), true),
        (digest(&[part(1, 200_000, false)]), true),
        (digest(&[part(1, 200_000, false), part(3, 200_000, true)]), true),
        (digest(&[]), true),
    ];
    for (current, is_outdated) in cases {
        assert_eq!(stored.is_outdated_by(&current, 100_000), is_outdated, "{current:?}");
    }
    assert!(!digest(&[]).is_outdated_by(&digest(&[]), 100_000));
}
