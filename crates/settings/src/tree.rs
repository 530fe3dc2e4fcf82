//! The settings tree: site, organisations, services, ranks and upstreams.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::parse::Check;
use crate::policy::{AdmissionKind, Policy, RetryKind, RouterKind};
use crate::{ValidationError, keys};

/// Settings of a site, common to all its organisations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Name of the site.
    pub site: String,
    /// Priority classes of requests (ranks), by name; at least one is required.
    pub ranks: BTreeMap<String, RankSettings>,
    /// Services offered to callers, by name.
    pub services: BTreeMap<String, ServiceSettings>,
    /// Upstream instances that serve the services.
    pub upstreams: Vec<UpstreamSettings>,
    /// Policy values for the whole site.
    #[serde(default)]
    pub policy: Policy,
    /// Algorithm that selects the next queued request.
    #[serde(default)]
    pub admission: AdmissionKind,
    /// Algorithm that selects the upstream for a call.
    #[serde(default)]
    pub router: RouterKind,
    /// When a failed attempt is retried.
    #[serde(default)]
    pub retry: RetryKind,
    /// Prices of instances, used to allocate cost to organisations.
    #[serde(default)]
    pub prices: Vec<Price>,
}

/// A rank, that is a priority class of requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RankSettings {
    /// Position in the priority order, unique among the ranks; 0 is the most urgent.
    pub urgency: u8,
    /// Policy values for this rank.
    #[serde(default)]
    pub policy: Policy,
}

/// Kind of upstream that serves a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Language-model engines, selected by the `model` field of the request.
    Model,
    /// Plain HTTP services, selected by the path prefix of the request.
    Plain,
}

/// A service offered to callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Kind of upstream that serves it.
    pub kind: ServiceKind,
    /// Model name that callers request; required for kind `model`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Path prefix that callers request, such as `/orders`; required for kind `plain`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
    /// HTTP methods whose calls are executed at most once (kind `plain`).
    #[serde(default)]
    pub non_idempotent_methods: Vec<String>,
    /// Rank of calls that specify none.
    pub default_rank: String,
    /// Policy values for this service.
    #[serde(default)]
    pub policy: Policy,
    /// Policy overrides for single ranks of this service, by the rank's name.
    #[serde(default)]
    pub ranks: BTreeMap<String, RankOverrides>,
}

/// Policy overrides for one rank of a service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RankOverrides {
    /// Policy values for this rank.
    #[serde(default)]
    pub policy: Policy,
}

/// Purchasing model of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineClass {
    /// The provider may reclaim it at short notice (spot instance).
    Reclaimable,
    /// Remains available until it is released (on-demand instance).
    OnDemand,
}

/// An upstream instance that serves calls of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Name of the instance, unique in the site.
    pub instance: String,
    /// Name of the service that it serves.
    pub service: String,
    /// Availability zone that it runs in.
    pub availability_zone: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Maximum number of calls that it processes concurrently.
    pub concurrency: u32,
    /// Purchasing model.
    pub machine_class: MachineClass,
    /// Whether it rejects orders of the steward that carry an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Desired state that the steward applies; the steward leaves the engine alone if absent.
    #[serde(default, rename = "wish", skip_serializing_if = "Option::is_none")]
    pub desired_state: Option<DesiredEngineState>,
}

/// Desired state of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredEngineState {
    /// Model to load.
    pub model: String,
    /// Version of the model; not specified if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Adapter to load with the model; not specified if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Role of the engine, such as `prefill` or `decode`; not specified if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
}

/// Price of instances of one machine class in one availability zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// Availability zone that the price applies to.
    pub availability_zone: String,
    /// Machine class that the price applies to.
    pub machine_class: MachineClass,
    /// Price of one instance in thousandths of a cent per hour.
    pub millicents_per_hour: u64,
}

/// Settings of an organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    pub organisation: String,
    /// Callers that belong to the organisation.
    pub callers: Vec<Caller>,
    /// Policy values for this organisation.
    #[serde(default)]
    pub policy: Policy,
    /// Policy overrides for single services, by the service's name.
    #[serde(default)]
    pub services: BTreeMap<String, OrganisationService>,
}

/// An organisation's policy overrides for one service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationService {
    /// Policy values for this service.
    #[serde(default)]
    pub policy: Policy,
    /// Policy overrides for single ranks of this service, by the rank's name.
    #[serde(default)]
    pub ranks: BTreeMap<String, RankOverrides>,
}

/// A client that calls on behalf of an organisation and has an API key of its own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name of the caller, unique in the organisation.
    pub caller: String,
    /// Hash of the caller's API key, as printed by `hickoryctl key hash`.
    pub key_hash: String,
    /// Most urgent rank that the caller may request; unrestricted if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub highest_rank: Option<String>,
}

/// The whole settings tree in one file, for validation and initial import.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsTree {
    /// Settings of the site.
    pub site: Site,
    /// Organisations of the site.
    #[serde(default)]
    pub organisations: Vec<Organisation>,
}

impl Check for SettingsTree {
    fn check(&self) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        for error in self.site.check() {
            errors.push(ValidationError::new(format!("site.{}", error.path), error.message));
        }
        let mut names = BTreeSet::new();
        let mut hashes = BTreeSet::new();
        for (index, organisation) in self.organisations.iter().enumerate() {
            let path = format!("organisations[{index}]");
            if !names.insert(&organisation.organisation) {
                errors.push(ValidationError::new(
                    format!("{path}.organisation"),
                    format!("duplicate name `{}`", organisation.organisation),
                ));
            }
            for error in organisation.check() {
                errors.push(ValidationError::new(format!("{path}.{}", error.path), error.message));
            }
            errors.extend(organisation.check_references(&self.site, &path));
            for (caller_index, caller) in organisation.callers.iter().enumerate() {
                if !hashes.insert(&caller.key_hash) {
                    errors.push(ValidationError::new(
                        format!("{path}.callers[{caller_index}].key_hash"),
                        "duplicate key: another caller has the same key",
                    ));
                }
            }
        }
        errors
    }
}

impl Check for Site {
    fn check(&self) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        check_name("site", &self.site, &mut errors);
        self.policy.check("policy", &mut errors);
        self.check_ranks(&mut errors);
        for (name, service) in &self.services {
            self.check_service(name, service, &mut errors);
        }
        self.check_paths_and_models(&mut errors);
        self.check_upstreams(&mut errors);
        errors
    }
}

impl Site {
    fn check_ranks(&self, errors: &mut Vec<ValidationError>) {
        if self.ranks.is_empty() {
            errors.push(ValidationError::new("ranks", "found none, at least one is required"));
        }
        let mut floor_sum = 0;
        for (name, rank) in &self.ranks {
            check_name(&format!("ranks.{name}"), name, errors);
            rank.policy.check(&format!("ranks.{name}.policy"), errors);
            floor_sum += rank.policy.floor_percent.unwrap_or(0);
        }
        if floor_sum > 100 {
            let message =
                format!("the sum of floor_percent is {floor_sum} percent, allowed is at most 100");
            errors.push(ValidationError::new("ranks", message));
        }
        let urgencies: BTreeSet<u8> = self.ranks.values().map(|rank| rank.urgency).collect();
        if urgencies.len() != self.ranks.len() {
            errors.push(ValidationError::new("ranks", "two ranks have the same urgency"));
        }
    }

    fn check_service(
        &self,
        name: &str,
        service: &ServiceSettings,
        errors: &mut Vec<ValidationError>,
    ) {
        let path = format!("services.{name}");
        check_name(&path, name, errors);
        service.policy.check(&format!("{path}.policy"), errors);
        if !self.ranks.contains_key(&service.default_rank) {
            errors.push(unknown_rank_error(
                &format!("{path}.default_rank"),
                &service.default_rank,
                &self.ranks,
            ));
        }
        check_rank_overrides(&path, &service.ranks, &self.ranks, errors);
        match service.kind {
            ServiceKind::Model if service.model.is_none() => {
                errors.push(ValidationError::new(path, "kind `model` requires the field `model`"));
            }
            ServiceKind::Plain => {
                let prefix = service.path_prefix.as_deref().unwrap_or("");
                if !prefix.starts_with('/') || prefix.len() < 2 || prefix.ends_with('/') {
                    errors.push(ValidationError::new(
                        format!("{path}.path_prefix"),
                        format!("found `{prefix}`, allowed is a path such as `/orders`"),
                    ));
                } else if prefix == "/v1" || prefix.starts_with("/v1/") {
                    errors.push(ValidationError::new(
                        format!("{path}.path_prefix"),
                        "`/v1` is reserved for built-in paths",
                    ));
                }
            }
            ServiceKind::Model => {}
        }
    }

    fn check_paths_and_models(&self, errors: &mut Vec<ValidationError>) {
        let mut seen = BTreeSet::new();
        for (name, service) in &self.services {
            let identifiers = service.model.iter().chain(service.path_prefix.iter());
            for value in identifiers {
                if !seen.insert(value.clone()) {
                    let message = format!("`{value}` is already used by another service");
                    errors.push(ValidationError::new(format!("services.{name}"), message));
                }
            }
        }
    }

    fn check_upstreams(&self, errors: &mut Vec<ValidationError>) {
        let mut seen = BTreeSet::new();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let path = format!("upstreams[{index}]");
            if !seen.insert(&upstream.instance) {
                let message = format!("duplicate name `{}`", upstream.instance);
                errors.push(ValidationError::new(format!("{path}.instance"), message));
            }
            if !self.services.contains_key(&upstream.service) {
                let message = format!(
                    "found `{}`, allowed is one of {}",
                    upstream.service,
                    format_names(&self.services)
                );
                errors.push(ValidationError::new(format!("{path}.service"), message));
            }
            if !(1..=100_000).contains(&upstream.concurrency) {
                let message = format!("found {}, allowed is 1 to 100000", upstream.concurrency);
                errors.push(ValidationError::new(format!("{path}.concurrency"), message));
            }
        }
    }
}

impl Check for Organisation {
    fn check(&self) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        check_name("organisation", &self.organisation, &mut errors);
        self.policy.check("policy", &mut errors);
        let mut seen = BTreeSet::new();
        for (index, caller) in self.callers.iter().enumerate() {
            let path = format!("callers[{index}]");
            check_name(&format!("{path}.caller"), &caller.caller, &mut errors);
            if !seen.insert(&caller.caller) {
                let message = format!("duplicate name `{}`", caller.caller);
                errors.push(ValidationError::new(format!("{path}.caller"), message));
            }
            if !keys::is_key_hash(&caller.key_hash) {
                let message = "allowed is `sha256:` and 64 hexadecimal digits, \
                               as printed by `hickoryctl key hash`";
                errors.push(ValidationError::new(format!("{path}.key_hash"), message));
            }
        }
        for (name, service) in &self.services {
            service.policy.check(&format!("services.{name}.policy"), &mut errors);
            for (rank, overrides) in &service.ranks {
                let path = format!("services.{name}.ranks.{rank}.policy");
                overrides.policy.check(&path, &mut errors);
            }
        }
        errors
    }
}

impl Organisation {
    /// Validates the references from the organisation to services and ranks of the site.
    pub fn check_references(&self, site: &Site, path: &str) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        for (name, service) in &self.services {
            let service_path = format!("{path}.services.{name}");
            if !site.services.contains_key(name) {
                let message =
                    format!("unknown service, allowed is one of {}", format_names(&site.services));
                errors.push(ValidationError::new(service_path.clone(), message));
            }
            check_rank_overrides(&service_path, &service.ranks, &site.ranks, &mut errors);
        }
        for (index, caller) in self.callers.iter().enumerate() {
            let Some(rank) = &caller.highest_rank else { continue };
            if !site.ranks.contains_key(rank) {
                let rank_path = format!("{path}.callers[{index}].highest_rank");
                errors.push(unknown_rank_error(&rank_path, rank, &site.ranks));
            }
        }
        errors
    }
}

fn check_rank_overrides(
    path: &str,
    overrides: &BTreeMap<String, RankOverrides>,
    ranks: &BTreeMap<String, RankSettings>,
    errors: &mut Vec<ValidationError>,
) {
    for (rank, values) in overrides {
        let rank_path = format!("{path}.ranks.{rank}");
        if !ranks.contains_key(rank) {
            errors.push(unknown_rank_error(&rank_path, rank, ranks));
        }
        values.policy.check(&format!("{rank_path}.policy"), errors);
    }
}

fn unknown_rank_error(
    path: &str,
    found: &str,
    ranks: &BTreeMap<String, RankSettings>,
) -> ValidationError {
    ValidationError::new(
        path,
        format!("found `{found}`, allowed is one of {}", format_names(ranks)),
    )
}

fn format_names<T>(map: &BTreeMap<String, T>) -> String {
    map.keys().map(|name| format!("`{name}`")).collect::<Vec<_>>().join(", ")
}

const NAME_LIMIT_BYTES: usize = 64;

fn check_name(path: &str, name: &str, errors: &mut Vec<ValidationError>) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if name.is_empty() || name.len() > NAME_LIMIT_BYTES || !name.chars().all(allowed) {
        let message = format!(
            "found `{name}`, allowed are 1 to {NAME_LIMIT_BYTES} letters, digits, `-` and `_`"
        );
        errors.push(ValidationError::new(path, message));
    }
}
