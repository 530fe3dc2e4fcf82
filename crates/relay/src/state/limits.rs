//! Usage caps and retry budgets, which all instances enforce together.

use std::collections::{BTreeMap, HashMap};

use hickorycourse_caps::{
    CapLimits, EpochUsage, RetryBudgetLimits, RetryBudgetShare, SharedCap, UsageReport,
};
use hickorycourse_routes::UsageCap;
use serde_json::json;

use super::Relay;
use crate::exchange::report_interval_ms;

/// A request that needs units of an organisation's cap.
#[derive(Clone, Copy, Debug)]
pub struct CapRequest<'a> {
    /// Identifies the request.
    pub request_id: &'a str,
    /// The organisation.
    pub organisation: &'a str,
    /// Number of units.
    pub units: f64,
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
}

/// For whom a decision on a cap is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CapDecision {
    /// For this instance, while the one that decides for all can't be reached: it has its share.
    Alone,
    /// For all instances, which claim units from this one.
    ForAll,
    /// For this instance, as each other one does, with what all report to each other.
    Replica,
}

impl Relay {
    /// Applies the caps of the active document.
    pub(super) fn refresh_caps(&self) {
        let Some(table) = self.route_table() else { return };
        let mut caps = self.caps.lock();
        let organisations = table.document().organisations.iter().flatten();
        let mut retained = HashMap::new();
        let now_ms = self.now_ms();
        let instances = self.members.lock().count(now_ms);
        for organisation in organisations {
            let Some(cap) = organisation.cap else { continue };
            let limits = self.cap_limits(&cap, instances);
            let shared = caps.remove(&organisation.name).map(|mut shared| {
                shared.set_limits(limits);
                shared
            });
            let shared = shared.unwrap_or_else(|| self.new_cap(limits, instances, now_ms));
            retained.insert(organisation.name.clone(), shared);
        }
        *caps = retained;
    }

    fn new_cap(&self, limits: CapLimits, instances: usize, now_ms: u64) -> SharedCap {
        // The boot identifier is random below 2^63.
        let phase = self.boot as f64 / (u64::MAX >> 1) as f64;
        SharedCap::new(limits, instances, now_ms).with_shedding_phase(phase)
    }

    /// Typical time in milliseconds between two reports of another instance, in a fleet of this size.
    pub fn report_interval_ms(&self, instances: usize) -> u64 {
        report_interval_ms(self.settings.policy.exchange, instances)
    }

    fn cap_limits(&self, cap: &UsageCap, instances: usize) -> CapLimits {
        let bounds = &self.settings.bounds;
        let excess = (bounds.cap_window_ms, bounds.cap_overshoot, bounds.cap_slack);
        CapLimits::new(cap.per_second, cap.burst, excess, self.report_interval_ms(instances))
    }

    /// Acquires units of an organisation's cap.
    ///
    /// # Errors
    /// The time in milliseconds after which the units are expected to be available.
    pub fn acquire_cap(
        &self,
        request: &CapRequest<'_>,
        cap: &UsageCap,
        decision: CapDecision,
    ) -> Result<(), u64> {
        let &CapRequest { request_id, organisation, units, urgency } = request;
        let now_ms = self.now_ms();
        let instances = self.members.lock().count(now_ms);
        let limits = self.cap_limits(cap, instances);
        let wall_ms = self.wall_clock.lock().estimate_ms(now_ms);
        let mut caps = self.caps.lock();
        let shared = caps
            .entry(organisation.to_owned())
            .or_insert_with(|| self.new_cap(limits, instances, now_ms));
        shared.set_limits(limits);
        shared.set_wall_time(wall_ms);
        let acquired = match decision {
            CapDecision::Alone if instances > 1 => {
                shared.try_acquire_alone(units, urgency, instances, now_ms)
            }
            _ => shared.try_acquire(units, urgency, instances, now_ms),
        };
        // Where each decides by itself, the others have to know of it soon.
        if decision != CapDecision::ForAll && shared.is_early_broadcast_due() {
            self.digest_requested.notify_one();
        }
        if let Err(retry_after_ms) = acquired {
            let (level, is_shedding) = (shared.level(), shared.is_shedding());
            let reports = shared.reports(now_ms);
            self.log.write("cap_refused", || {
                json!({
                    "request": request_id, "organisation": organisation, "units": units, "level": level,
                    "per_second": cap.per_second, "burst": cap.burst, "instances": instances,
                    "decision": format!("{decision:?}"), "is_thinned": is_shedding, "process_age_ms": now_ms,
                    "retry_after_ms": retry_after_ms, "own_used": reports.own_used,
                    "peers_used": reports.peers_used, "sources": reports.sources,
                    "oldest_report_ms": reports.oldest_age_ms,
                })
            });
        }
        acquired
    }

    /// Records that an instance of a zone has claimed units of a cap.
    pub fn record_cap_claim(&self, organisation: &str, availability_zone: &str) {
        let now_ms = self.now_ms();
        if let Some(shared) = self.caps.lock().get_mut(organisation) {
            shared.record_claim(availability_zone, now_ms);
        }
    }

    /// Returns units of a request that did not run.
    pub fn refund_cap(&self, organisation: &str, units: f64, granted_at_ms: u64) {
        let now_ms = self.now_ms();
        if let Some(shared) = self.caps.lock().get_mut(organisation) {
            shared.refund(units, granted_at_ms, now_ms);
        }
    }

    /// Returns the recent cap usage of this process, for a digest, and marks it as sent.
    pub fn cap_usage_for_digest(&self) -> BTreeMap<String, Vec<EpochUsage>> {
        let now_ms = self.now_ms();
        let mut caps = self.caps.lock();
        let usage =
            caps.iter_mut().map(|(name, shared)| (name.clone(), shared.broadcast_usage(now_ms)));
        usage.filter(|(_, usage)| !usage.is_empty()).collect()
    }

    /// Applies cap usage that other instances have reported, by organisation.
    pub fn apply_cap_usage(
        &self,
        usage: &BTreeMap<String, Vec<EpochUsage>>,
        report: &UsageReport<'_>,
    ) {
        let now_ms = self.now_ms();
        let wall_ms = self.wall_ms();
        let mut caps = self.caps.lock();
        // Organisations that a report doesn't name have not used anything lately.
        for (organisation, shared) in caps.iter_mut() {
            let usage = usage.get(organisation).map_or(&[][..], Vec::as_slice);
            shared.set_wall_time(wall_ms);
            shared.apply_report(&UsageReport { usage, ..*report }, now_ms);
        }
    }

    /// Forgets the load that other instances have reported, and the rates of their use, when they report in
    /// other groups from now on.
    pub fn clear_reports(&self) {
        for shared in self.caps.lock().values_mut() {
            shared.clear_rates();
        }
        self.cap_deciders.lock().clear(self.now_ms());
        for (_, placement_table) in self.placement_tables() {
            placement_table.lock().clear_peers();
        }
    }

    /// Records a request to a service; the retry budget grows with the number of requests.
    pub fn record_request(&self, service: &str) {
        let now_ms = self.now_ms();
        self.with_retry_budget(service, |share| share.add_request(now_ms));
    }

    /// Acquires one retry from the retry budget of a service; returns whether it was granted.
    pub fn try_acquire_retry(&self, service: &str) -> bool {
        let now_ms = self.now_ms();
        let instances = self.members.lock().count(now_ms);
        let is_granted =
            self.with_retry_budget(service, |share| share.try_acquire(instances, now_ms));
        let name = if is_granted { "granted" } else { "denied" };
        metrics::counter!("hickorycourse_retries_total", "outcome" => name).increment(1);
        is_granted
    }

    fn with_retry_budget<T>(
        &self,
        service: &str,
        update: impl FnOnce(&mut RetryBudgetShare) -> T,
    ) -> T {
        let bounds = &self.settings.bounds;
        let limits = RetryBudgetLimits {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window_ms: bounds.retry_window_ms,
        };
        let mut retry_budgets = self.retry_budgets.lock();
        update(
            retry_budgets
                .entry(service.to_owned())
                .or_insert_with(|| RetryBudgetShare::new(limits)),
        )
    }
}
