//! The tree: site, organisations, services, ranks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::parse::Check;
use crate::policy::{AdmissionKind, Policy, RetryKind, RouterKind};
use crate::{Fault, keys};

/// What is the same for all organisations of a site.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The name of the site.
    pub site: String,
    /// The ranks of work, by name.
    pub ranks: BTreeMap<String, RankSettings>,
    /// The services, by name.
    pub services: BTreeMap<String, ServiceSettings>,
    /// The instances that serve them.
    pub upstreams: Vec<UpstreamSettings>,
    /// Values for the whole site.
    #[serde(default)]
    pub policy: Policy,
    /// Who goes next.
    #[serde(default)]
    pub admission: AdmissionKind,
    /// Which upstream takes a call.
    #[serde(default)]
    pub router: RouterKind,
    /// When a failed attempt is tried again.
    #[serde(default)]
    pub retry: RetryKind,
    /// Prices of instances, for the split of cost.
    #[serde(default)]
    pub prices: Vec<Price>,
}

/// A rank of work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RankSettings {
    /// Place in the order: 0 is the most urgent.
    pub urgency: u8,
    /// Values for this rank.
    #[serde(default)]
    pub policy: Policy,
}

/// What kind of upstream serves a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines, reached by the model's name.
    Model,
    /// Plain HTTP services, reached by path.
    Plain,
}

/// A service of the site.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// What serves it.
    pub kind: ServiceKind,
    /// The model's name towards callers (kind `model`).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The first part of the path (kind `plain`), such as `/orders`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
    /// Methods whose calls may run at most once (kind `plain`).
    #[serde(default)]
    pub non_idempotent_methods: Vec<String>,
    /// The rank of calls that name none.
    pub default_rank: String,
    /// Values for this service.
    #[serde(default)]
    pub policy: Policy,
    /// Values for this service's ranks.
    #[serde(default)]
    pub ranks: BTreeMap<String, RankOverrides>,
}

/// Values for one rank below a service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RankOverrides {
    /// Values for this rank.
    #[serde(default)]
    pub policy: Policy,
}

/// How an instance is paid for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineClass {
    /// May be taken back on short notice.
    Reclaimable,
    /// Stays until it is given back.
    OnDemand,
}

/// One instance that serves calls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// The instance's name.
    pub instance: String,
    /// The service it serves.
    pub service: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Calls it works on at once.
    pub concurrency: u32,
    /// How it is paid for.
    pub machine_class: MachineClass,
    /// Whether it refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// What the steward tells it to serve; nothing if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wish: Option<EngineWish>,
}

/// The state that an engine is told to be in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineWish {
    /// The model to load.
    pub model: String,
    /// Its version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// The adapter to load with it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Its role, such as `prefill` or `decode`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
}

/// The price of one class of instances in one availability zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// The availability zone.
    pub availability_zone: String,
    /// The class.
    pub machine_class: MachineClass,
    /// Price of one instance, in thousandths of a cent per hour.
    pub millicents_per_hour: u64,
}

/// One organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The organisation's name.
    pub organisation: String,
    /// Its callers and their keys.
    pub callers: Vec<Caller>,
    /// Values for this organisation.
    #[serde(default)]
    pub policy: Policy,
    /// Values for this organisation's use of services.
    #[serde(default)]
    pub services: BTreeMap<String, OrganisationService>,
}

/// An organisation's use of one service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationService {
    /// Values for this service.
    #[serde(default)]
    pub policy: Policy,
    /// Values for ranks of this service.
    #[serde(default)]
    pub ranks: BTreeMap<String, RankOverrides>,
}

/// Someone who calls on behalf of an organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The caller's name.
    pub caller: String,
    /// The hash of its key, as `hickoryctl key hash` prints it.
    pub key_hash: String,
    /// The most urgent rank that the caller may ask for; all ranks if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub highest_rank: Option<String>,
}

/// The whole tree, as one file for checks and first set-up.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsTree {
    /// The site.
    pub site: Site,
    /// Its organisations.
    #[serde(default)]
    pub organisations: Vec<Organisation>,
}

impl Check for SettingsTree {
    fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for fault in self.site.check() {
            faults.push(Fault::new(format!("site.{}", fault.path), fault.message));
        }
        let mut names = BTreeSet::new();
        let mut hashes = BTreeSet::new();
        for (index, organisation) in self.organisations.iter().enumerate() {
            let path = format!("organisations[{index}]");
            if !names.insert(&organisation.organisation) {
                faults.push(Fault::new(
                    format!("{path}.organisation"),
                    format!("`{}` stands twice", organisation.organisation),
                ));
            }
            for fault in organisation.check() {
                faults.push(Fault::new(format!("{path}.{}", fault.path), fault.message));
            }
            faults.extend(organisation.check_against(&self.site, &path));
            for (caller_index, caller) in organisation.callers.iter().enumerate() {
                if !hashes.insert(&caller.key_hash) {
                    faults.push(Fault::new(
                        format!("{path}.callers[{caller_index}].key_hash"),
                        "another caller has the same key",
                    ));
                }
            }
        }
        faults
    }
}

impl Check for Site {
    fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        check_name("site", &self.site, &mut faults);
        self.policy.check("policy", &mut faults);
        self.check_ranks(&mut faults);
        for (name, service) in &self.services {
            self.check_service(name, service, &mut faults);
        }
        self.check_paths_and_models(&mut faults);
        self.check_upstreams(&mut faults);
        faults
    }
}

impl Site {
    fn check_ranks(&self, faults: &mut Vec<Fault>) {
        if self.ranks.is_empty() {
            faults.push(Fault::new("ranks", "found none, at least one is needed"));
        }
        let mut floor_sum = 0;
        for (name, rank) in &self.ranks {
            check_name(&format!("ranks.{name}"), name, faults);
            rank.policy.check(&format!("ranks.{name}.policy"), faults);
            floor_sum += rank.policy.floor_percent.unwrap_or(0);
        }
        if floor_sum > 100 {
            let message = format!("the floors add up to {floor_sum} percent, allowed is 100");
            faults.push(Fault::new("ranks", message));
        }
        let urgencies: BTreeSet<u8> = self.ranks.values().map(|rank| rank.urgency).collect();
        if urgencies.len() != self.ranks.len() {
            faults.push(Fault::new("ranks", "two ranks have the same urgency"));
        }
    }

    fn check_service(&self, name: &str, service: &ServiceSettings, faults: &mut Vec<Fault>) {
        let path = format!("services.{name}");
        check_name(&path, name, faults);
        service.policy.check(&format!("{path}.policy"), faults);
        if !self.ranks.contains_key(&service.default_rank) {
            faults.push(unknown_rank(
                &format!("{path}.default_rank"),
                &service.default_rank,
                &self.ranks,
            ));
        }
        check_rank_overrides(&path, &service.ranks, &self.ranks, faults);
        match service.kind {
            ServiceKind::Model if service.model.is_none() => {
                faults.push(Fault::new(path, "kind `model` needs the field `model`"));
            }
            ServiceKind::Plain => {
                let prefix = service.path_prefix.as_deref().unwrap_or("");
                if !prefix.starts_with('/') || prefix.len() < 2 || prefix.ends_with('/') {
                    faults.push(Fault::new(
                        format!("{path}.path_prefix"),
                        format!("found `{prefix}`, allowed is a path such as `/orders`"),
                    ));
                } else if prefix == "/v1" || prefix.starts_with("/v1/") {
                    faults.push(Fault::new(
                        format!("{path}.path_prefix"),
                        "`/v1` is kept for the system's own paths",
                    ));
                }
            }
            ServiceKind::Model => {}
        }
    }

    fn check_paths_and_models(&self, faults: &mut Vec<Fault>) {
        let mut seen = BTreeSet::new();
        for (name, service) in &self.services {
            let taken = service.model.iter().chain(service.path_prefix.iter());
            for value in taken {
                if !seen.insert(value.clone()) {
                    let message = format!("`{value}` is taken by another service");
                    faults.push(Fault::new(format!("services.{name}"), message));
                }
            }
        }
    }

    fn check_upstreams(&self, faults: &mut Vec<Fault>) {
        let mut seen = BTreeSet::new();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let path = format!("upstreams[{index}]");
            if !seen.insert(&upstream.instance) {
                let message = format!("`{}` stands twice", upstream.instance);
                faults.push(Fault::new(format!("{path}.instance"), message));
            }
            if !self.services.contains_key(&upstream.service) {
                let message = format!(
                    "found `{}`, allowed is one of {}",
                    upstream.service,
                    list_names(&self.services)
                );
                faults.push(Fault::new(format!("{path}.service"), message));
            }
            if !(1..=100_000).contains(&upstream.concurrency) {
                let message = format!("found {}, allowed is 1 to 100000", upstream.concurrency);
                faults.push(Fault::new(format!("{path}.concurrency"), message));
            }
        }
    }
}

impl Check for Organisation {
    fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        check_name("organisation", &self.organisation, &mut faults);
        self.policy.check("policy", &mut faults);
        let mut seen = BTreeSet::new();
        for (index, caller) in self.callers.iter().enumerate() {
            let path = format!("callers[{index}]");
            check_name(&format!("{path}.caller"), &caller.caller, &mut faults);
            if !seen.insert(&caller.caller) {
                let message = format!("`{}` stands twice", caller.caller);
                faults.push(Fault::new(format!("{path}.caller"), message));
            }
            if !keys::is_key_hash(&caller.key_hash) {
                let message = "allowed is `sha256:` and 64 hexadecimal digits, \
                               as `hickoryctl key hash` prints it";
                faults.push(Fault::new(format!("{path}.key_hash"), message));
            }
        }
        for (name, service) in &self.services {
            service.policy.check(&format!("services.{name}.policy"), &mut faults);
            for (rank, overrides) in &service.ranks {
                let path = format!("services.{name}.ranks.{rank}.policy");
                overrides.policy.check(&path, &mut faults);
            }
        }
        faults
    }
}

impl Organisation {
    /// Checks the names that the organisation takes from the site.
    pub fn check_against(&self, site: &Site, path: &str) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (name, service) in &self.services {
            let service_path = format!("{path}.services.{name}");
            if !site.services.contains_key(name) {
                let message =
                    format!("no such service; allowed is one of {}", list_names(&site.services));
                faults.push(Fault::new(service_path.clone(), message));
            }
            check_rank_overrides(&service_path, &service.ranks, &site.ranks, &mut faults);
        }
        for (index, caller) in self.callers.iter().enumerate() {
            let Some(rank) = &caller.highest_rank else { continue };
            if !site.ranks.contains_key(rank) {
                let rank_path = format!("{path}.callers[{index}].highest_rank");
                faults.push(unknown_rank(&rank_path, rank, &site.ranks));
            }
        }
        faults
    }
}

fn check_rank_overrides(
    path: &str,
    overrides: &BTreeMap<String, RankOverrides>,
    ranks: &BTreeMap<String, RankSettings>,
    faults: &mut Vec<Fault>,
) {
    for (rank, values) in overrides {
        let rank_path = format!("{path}.ranks.{rank}");
        if !ranks.contains_key(rank) {
            faults.push(unknown_rank(&rank_path, rank, ranks));
        }
        values.policy.check(&format!("{rank_path}.policy"), faults);
    }
}

fn unknown_rank(path: &str, found: &str, ranks: &BTreeMap<String, RankSettings>) -> Fault {
    Fault::new(path, format!("found `{found}`, allowed is one of {}", list_names(ranks)))
}

fn list_names<T>(map: &BTreeMap<String, T>) -> String {
    map.keys().map(|name| format!("`{name}`")).collect::<Vec<_>>().join(", ")
}

const NAME_LENGTH_LIMIT: usize = 64;

fn check_name(path: &str, name: &str, faults: &mut Vec<Fault>) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if name.is_empty() || name.len() > NAME_LENGTH_LIMIT || !name.chars().all(allowed) {
        let message = format!(
            "found `{name}`, allowed are 1 to {NAME_LENGTH_LIMIT} letters, digits, `-` and `_`"
        );
        faults.push(Fault::new(path, message));
    }
}
