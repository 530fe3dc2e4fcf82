//! Inheritance: what holds for one organisation, service and rank, and where it comes from.

use serde::Serialize;

use crate::policy::POLICY_FIELDS;
use crate::{Organisation, Policy, Site};

/// One value and the level that named it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EffectiveValue {
    /// The field's name.
    pub name: &'static str,
    /// The value in force.
    pub value: u64,
    /// The path of the level that named it, or `default`.
    pub source: String,
}

/// All values for one organisation, service and rank.
///
/// The nearest level that names a value wins. From the nearest: the organisation's rank below its
/// service, the organisation's service, the organisation, the site's rank below its service, the
/// site's service, the site's rank, the site, and the built-in default.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EffectivePolicy {
    /// Target for the first token.
    pub target_first_token_ms: u64,
    /// Longest wait between two tokens.
    pub token_timeout_ms: u64,
    /// Longest wait for the first byte.
    pub first_byte_timeout_ms: u64,
    /// Longest wait in the queue.
    pub queue_timeout_ms: u64,
    /// Requests that may wait.
    pub queue_limit: u64,
    /// Weight of the organisation.
    pub share: u64,
    /// Part of the capacity kept in a flood.
    pub floor_percent: u64,
    /// Upstreams tried for one request.
    pub attempt_limit: u64,
    /// Retries for each hundred successes.
    pub retry_budget_percent: u64,
    /// Tokens that one answer may have.
    pub answer_token_limit: u64,
}

impl EffectivePolicy {
    /// Works out what holds.
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

    /// Lists each value with the level that named it.
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
        .expect("every name asked for stands in POLICY_FIELDS");
    for level in levels {
        if let Some(value) = (field.read)(level.policy) {
            return EffectiveValue { name: field.name, value, source: level.source.clone() };
        }
    }
    EffectiveValue { name: field.name, value: field.default, source: "default".to_owned() }
}
