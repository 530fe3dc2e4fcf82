//! Scheduling policies, and the policy values that each level of the settings tree may override.

use serde::{Deserialize, Serialize};

use crate::ValidationError;

/// Algorithm that selects the next queued request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionKind {
    /// Ranks with reserved capacity (floors), weighted fair queueing among organisations and their
    /// callers, and early rejection of requests that would miss their target.
    #[default]
    Fair,
    /// First in, first out, without fair shares or early rejection. Baseline for comparison.
    FirstInFirstOut,
}

/// Algorithm that selects the upstream for a call.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterKind {
    /// Selects by cached prompt prefixes and shortest expected wait, and prefers the entry's own
    /// availability zone.
    #[default]
    PrefixAware,
    /// Round robin. Baseline for comparison.
    RoundRobin,
}

/// When a failed attempt is retried.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryKind {
    /// Within a retry budget, after a delay with full jitter.
    #[default]
    Budget,
    /// Immediately, after any failure. Baseline for comparison.
    AtOnce,
}

macro_rules! policy_fields {
    ($($(#[doc = $doc:literal])* $name:ident = $default:literal in $low:literal ..= $high:literal;)*) => {
        /// Policy values set by one level of the tree; absent values are inherited from the level
        /// above.
        #[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
        #[serde(deny_unknown_fields)]
        pub struct Policy {
            $($(#[doc = $doc])* #[serde(default, skip_serializing_if = "Option::is_none")]
            pub $name: Option<u64>,)*
        }

        /// Names, defaults and allowed ranges of the policy fields, in declaration order.
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

/// Metadata of one [`Policy`] field; the range from `low` to `high` is inclusive.
pub(crate) struct PolicyField {
    pub(crate) name: &'static str,
    pub(crate) default: u64,
    pub(crate) low: u64,
    pub(crate) high: u64,
    pub(crate) read: fn(&Policy) -> Option<u64>,
}

policy_fields! {
    /// Target time to the first token, in milliseconds from the arrival of the request.
    target_first_token_ms = 810 in 1..=86_400_000;
    /// Maximum interval between two tokens before the attempt times out, in milliseconds.
    token_timeout_ms = 2_000 in 10..=600_000;
    /// Maximum wait for the first byte of an upstream's response, in milliseconds.
    first_byte_timeout_ms = 10_000 in 10..=3_600_000;
    /// Maximum time in the queue, in milliseconds.
    queue_timeout_ms = 60_000 in 1..=86_400_000;
    /// Maximum number of queued requests of one rank and service at one entry.
    queue_limit = 2_000 in 1..=1_000_000;
    /// Weight of the organisation in fair queueing among organisations.
    share = 1 in 1..=10_000;
    /// Part of the capacity that stays reserved for the rank while more urgent requests overload
    /// the service, in percent.
    floor_percent = 0 in 0..=100;
    /// Maximum number of attempts for one request, including the first.
    attempt_limit = 4 in 1..=20;
    /// Retries granted per hundred successes.
    retry_budget_percent = 10 in 0..=100;
    /// Maximum number of tokens in one answer.
    answer_token_limit = 4_096 in 1..=1_000_000;
}

impl Policy {
    pub(crate) fn check(&self, path: &str, errors: &mut Vec<ValidationError>) {
        for field in POLICY_FIELDS {
            let Some(value) = (field.read)(self) else { continue };
            if (field.low..=field.high).contains(&value) {
                continue;
            }
            let message = format!("found {value}, allowed is {} to {}", field.low, field.high);
            errors.push(ValidationError::new(format!("{path}.{}", field.name), message));
        }
    }
}
