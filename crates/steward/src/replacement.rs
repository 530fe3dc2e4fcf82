//! Starting instances in place of those that leave.

use std::collections::BTreeMap;

use hickorycourse_settings::{MachineClass, UpstreamSettings};

/// What to ask the cloud for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartChoice {
    /// The instance that is replaced.
    pub replaces: String,
    /// Where.
    pub availability_zone: String,
    /// Which class.
    pub machine_class: MachineClass,
    /// The service it will serve.
    pub service: String,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Backoff {
    refusals: u32,
    until_ms: u64,
}

/// Plans replacements for one availability zone.
///
/// A refused start is tried again with the other class, and after a wait that doubles for each
/// refusal of the same class. A replacement stays in the zone: it is there that the capacity is
/// missing, and zones have stewards of their own.
#[derive(Clone, Debug)]
pub struct ReplacementPlanner {
    availability_zone: String,
    started: BTreeMap<String, String>,
    backoffs: BTreeMap<MachineClass, Backoff>,
}

const BACKOFF_START_MS: u64 = 1_000;
const BACKOFF_MOST_MS: u64 = 60_000;

impl ReplacementPlanner {
    /// Creates a planner that has started nothing.
    pub fn new(availability_zone: &str) -> Self {
        Self {
            availability_zone: availability_zone.to_owned(),
            started: BTreeMap::new(),
            backoffs: BTreeMap::new(),
        }
    }

    /// Chooses what to start now for those that leave.
    pub fn plan(
        &self,
        upstreams: &[UpstreamSettings],
        is_leaving: impl Fn(&str) -> bool,
        now_ms: u64,
    ) -> Vec<StartChoice> {
        let own = upstreams.iter().filter(|u| u.availability_zone == self.availability_zone);
        let missing =
            own.filter(|u| is_leaving(&u.instance) && !self.started.contains_key(&u.instance));
        let choices = missing.filter_map(|upstream| {
            let machine_class = self.choose_class(upstream.machine_class, now_ms)?;
            Some(StartChoice {
                replaces: upstream.instance.clone(),
                availability_zone: self.availability_zone.clone(),
                machine_class,
                service: upstream.service.clone(),
            })
        });
        choices.collect()
    }

    /// A start was taken.
    pub fn take_started(&mut self, choice: &StartChoice, instance: &str) {
        self.started.insert(choice.replaces.clone(), instance.to_owned());
        self.backoffs.remove(&choice.machine_class);
    }

    /// A start was refused.
    pub fn take_refused(&mut self, choice: &StartChoice, now_ms: u64) {
        let refusals = self.backoffs.get(&choice.machine_class).map_or(0, |b| b.refusals);
        let wait_ms = (BACKOFF_START_MS << refusals.min(16)).min(BACKOFF_MOST_MS);
        let backoff = Backoff { refusals: refusals + 1, until_ms: now_ms + wait_ms };
        self.backoffs.insert(choice.machine_class, backoff);
    }

    fn choose_class(&self, wished: MachineClass, now_ms: u64) -> Option<MachineClass> {
        let other = match wished {
            MachineClass::Reclaimable => MachineClass::OnDemand,
            MachineClass::OnDemand => MachineClass::Reclaimable,
        };
        [wished, other]
            .into_iter()
            .find(|class| self.backoffs.get(class).is_none_or(|backoff| backoff.until_ms <= now_ms))
    }
}
