//! Policy inheritance: resolves the policy in effect for an organisation, service and rank, and the
//! level that each value is inherited from.

use serde::Serialize;

use crate::policy::POLICY_FIELDS;
use crate::{Organisation, Policy, Site};

/// A resolved policy value and the level that sets it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EffectiveValue {
    /// Name of the [`Policy`] field.
    pub name: &'static str,
    /// Value in effect.
    pub value: u64,
    /// Path of the level that sets the value, or `default` for the built-in default.
    pub source: String,
}

/// The policy in effect for an organisation, service and rank.
///
/// The most specific level that sets a value takes precedence. The levels are, from the most
/// specific: the organisation's rank of a service, the organisation's service, the organisation,
/// the site's rank of a service, the site's service, the site's rank, the site, the built-in
/// default.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EffectivePolicy {
    /// Target time to the first token, from the arrival of the request.
    pub target_first_token_ms: u64,
    /// Maximum interval between two tokens.
    pub token_timeout_ms: u64,
    /// Maximum wait for the first byte of an upstream's response.
    pub first_byte_timeout_ms: u64,
    /// Maximum time in the queue.
    pub queue_timeout_ms: u64,
    /// Maximum number of queued requests of one rank and service at one entry.
    pub queue_limit: u64,
    /// Weight of the organisation in fair queueing.
    pub share: u64,
    /// Part of the capacity reserved for the rank under overload, in percent.
    pub floor_percent: u64,
    /// Maximum number of attempts for one request, including the first.
    pub attempt_limit: u64,
    /// Retries granted per hundred successes.
    pub retry_budget_percent: u64,
    /// Maximum number of tokens in one answer.
    pub answer_token_limit: u64,
}

impl EffectivePolicy {
    /// Resolves all fields from the levels of the tree.
    pub fn resolve(site: &Site, organisation: &Organisation, service: &str, rank: &str) -> Self {
        let levels = list_levels(site, Some(organisation), service, rank);
        let value = |name: &str| -> u64 { resolve_field(&levels, name).value };
        Self {
            target_first_token_ms: value("target_first_token_ms"),
            token_timeout_ms: value("token_timeout_ms"),
            first_byte_timeout_ms: value("first_byte_timeout_ms"),
            queue_timeout_ms: value("queue_timeout_ms"),
            queue_limit: value("queue_limit"),
            share: value("share"),
            floor_percent: value("floor_percent"),
            attempt_limit: value("attempt_limit"),
            retry_budget_percent: value("retry_budget_percent"),
            answer_token_limit: value("answer_token_limit"),
        }
    }

    /// Lists each value with the level that sets it; without an organisation, the values that an
    /// organisation without overrides inherits.
    pub fn explain(
        site: &Site,
        organisation: Option<&Organisation>,
        service: &str,
        rank: &str,
    ) -> Vec<EffectiveValue> {
        let levels = list_levels(site, organisation, service, rank);
        POLICY_FIELDS.iter().map(|field| resolve_field(&levels, field.name)).collect()
    }
}

struct Level<'a> {
    source: String,
    policy: &'a Policy,
}

fn list_levels<'a>(
    site: &'a Site,
    organisation: Option<&'a Organisation>,
    service: &str,
    rank: &str,
) -> Vec<Level<'a>> {
    let mut levels = Vec::new();
    if let Some(organisation) = organisation {
        add_organisation_levels(&mut levels, organisation, service, rank);
    }
    if let Some(settings) = site.services.get(service) {
        if let Some(overrides) = settings.ranks.get(rank) {
            let source = format!("site.services.{service}.ranks.{rank}");
            levels.push(Level { source, policy: &overrides.policy });
        }
        let source = format!("site.services.{service}");
        levels.push(Level { source, policy: &settings.policy });
    }
    if let Some(settings) = site.ranks.get(rank) {
        levels.push(Level { source: format!("site.ranks.{rank}"), policy: &settings.policy });
    }
    levels.push(Level { source: "site".to_owned(), policy: &site.policy });
    levels
}

fn add_organisation_levels<'a>(
    levels: &mut Vec<Level<'a>>,
    organisation: &'a Organisation,
    service: &str,
    rank: &str,
) {
    let name = &organisation.organisation;
    if let Some(settings) = organisation.services.get(service) {
        if let Some(overrides) = settings.ranks.get(rank) {
            let source = format!("organisation.{name}.services.{service}.ranks.{rank}");
            levels.push(Level { source, policy: &overrides.policy });
        }
        let source = format!("organisation.{name}.services.{service}");
        levels.push(Level { source, policy: &settings.policy });
    }
    let source = format!("organisation.{name}");
    levels.push(Level { source, policy: &organisation.policy });
}

fn resolve_field(levels: &[Level<'_>], name: &str) -> EffectiveValue {
    let field = POLICY_FIELDS
        .iter()
        .find(|field| field.name == name)
        .expect("POLICY_FIELDS has an entry for every requested name");
    for level in levels {
        if let Some(value) = (field.read)(level.policy) {
            return EffectiveValue { name: field.name, value, source: level.source.clone() };
        }
    }
    EffectiveValue { name: field.name, value: field.default, source: "default".to_owned() }
}
