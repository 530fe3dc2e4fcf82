//! Values that each level of the tree may override.

use serde::{Deserialize, Serialize};

use crate::Fault;

/// Who goes next.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionKind {
    /// Ranks with floors, fair shares among organisations and their callers, early refusal.
    #[default]
    Fair,
    /// First in, first out, without shares or refusals by target. The baseline.
    FirstInFirstOut,
}

/// Which upstream takes a call.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterKind {
    /// Cached prefixes and least expected wait, own availability zone first.
    #[default]
    PrefixAware,
    /// One after the other. The baseline.
    RoundRobin,
}

/// When a failed attempt is tried again.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryKind {
    /// From a budget, with full jitter.
    #[default]
    Budget,
    /// At once, whatever fails. The baseline.
    AtOnce,
}

macro_rules! policy_fields {
    ($($(#[doc = $doc:literal])* $name:ident = $default:literal in $low:literal ..= $high:literal;)*) => {
        /// Values that a level of the tree names; what it leaves out comes from the level above.
        #[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
        #[serde(deny_unknown_fields)]
        pub struct Policy {
            $($(#[doc = $doc])* #[serde(default, skip_serializing_if = "Option::is_none")]
            pub $name: Option<u64>,)*
        }

        /// The names, defaults and ranges of the policy's fields, in order.
        pub(crate) const POLICY_FIELDS: &[PolicyField] = &[
            $(PolicyField {
                name: stringify!($name),
                default: $default,
                low: $low,
                high: $high,
                read: |policy| policy.$name,
            },)*
        ];
    };
}

/// One field of [`Policy`].
pub(crate) struct PolicyField {
    pub(crate) name: &'static str,
    pub(crate) default: u64,
    pub(crate) low: u64,
    pub(crate) high: u64,
    pub(crate) read: fn(&Policy) -> Option<u64>,
}

policy_fields! {
    /// Target for the first token, in milliseconds from the arrival of the request.
    target_first_token_ms = 810 in 1..=86_400_000;
    /// Longest wait between two tokens before the attempt counts as silent, in milliseconds.
    token_timeout_ms = 2_000 in 10..=600_000;
    /// Longest wait for the first byte of an upstream's answer, in milliseconds.
    first_byte_timeout_ms = 10_000 in 10..=3_600_000;
    /// Longest wait in the queue, in milliseconds.
    queue_timeout_ms = 60_000 in 1..=86_400_000;
    /// Requests of one rank and service that may wait at one entry.
    queue_limit = 2_000 in 1..=1_000_000;
    /// Weight of the organisation against the others.
    share = 1 in 1..=10_000;
    /// Part of the capacity that the rank keeps in a flood of more urgent work, in percent.
    floor_percent = 0 in 0..=100;
    /// Upstreams tried for one request, the first included.
    attempt_limit = 4 in 1..=20;
    /// Retries granted for each hundred successes.
    retry_budget_percent = 10 in 0..=100;
    /// Tokens that one answer may have.
    answer_token_limit = 4_096 in 1..=1_000_000;
}

impl Policy {
    pub(crate) fn check(&self, path: &str, faults: &mut Vec<Fault>) {
        for field in POLICY_FIELDS {
            let Some(value) = (field.read)(self) else { continue };
            if (field.low..=field.high).contains(&value) {
                continue;
            }
            let message = format!("found {value}, allowed is {} to {}", field.low, field.high);
            faults.push(Fault::new(format!("{path}.{}", field.name), message));
        }
    }
}
