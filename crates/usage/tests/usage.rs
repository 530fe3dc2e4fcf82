//! Merging of usage counters and allocation of costs.

#![allow(clippy::unwrap_used)]

use hickorycourse_usage::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner() -> TestRunner {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]))
}

fn key(number: u8) -> UsageKey {
    UsageKey {
        organisation: format!("o{number}"),
        caller: "c".to_owned(),
        service: "s".to_owned(),
        rank: "r".to_owned(),
    }
}

/// Copies taken at any time and merged repeatedly and in any order must neither lose nor
/// double-count usage.
#[test]
fn merge_copies_in_any_order_equals_table() {
    let strategy = proptest::collection::vec((0..3u8, 0..100u64, any::<bool>()), 1..60);
    runner()
        .run(&(strategy, any::<u64>()), |(calls, seed)| {
            let mut table = UsageTable::new();
            let mut copies = Vec::new();
            for (number, tokens, is_copied) in calls {
                let count =
                    UsageCount { answered: 1, answer_tokens: tokens, ..UsageCount::default() };
                table.add(&key(number), &count);
                if is_copied {
                    copies.push(table.clone());
                }
            }
            copies.push(table.clone());
            let mut merged = UsageTable::new();
            for round in 0..copies.len() * 2 {
                let index = (seed as usize).wrapping_add(round * 7) % copies.len();
                merged.merge(&copies[index]);
            }
            merged.merge(&copies[copies.len() - 1]);
            prop_assert_eq!(merged, table);
            Ok(())
        })
        .unwrap();
}

#[test]
fn split_any_weights_parts_proportional_and_sum_to_amount() {
    let strategy = (0..10_000_000u64, proptest::collection::vec(0..u64::MAX / 2, 1..20));
    runner()
        .run(&strategy, |(amount, weights)| {
            let parts = split_cents(amount, &weights);
            let total: u128 = weights.iter().map(|weight| u128::from(*weight)).sum();
            let expected = if total == 0 { 0 } else { amount };
            prop_assert_eq!(parts.iter().sum::<u64>(), expected);
            for (part, weight) in parts.iter().zip(&weights) {
                let exact = u128::from(amount) * u128::from(*weight) / total.max(1);
                prop_assert!(
                    u128::from(*part).abs_diff(exact) <= 1,
                    "part {part} differs by more than one cent from the exact {exact}"
                );
            }
            Ok(())
        })
        .unwrap();
}
