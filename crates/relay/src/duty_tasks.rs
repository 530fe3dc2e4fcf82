//! Duties that one instance, the holder of the duty lease, performs for the fleet: usage reports
//! and capacity orders.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_clock::sleep;
use hickorycourse_duties::{
    CapacityOrder, LeaseAction, PlanCapacity, PlanInputs, ReclaimModel, WindowCounts, ZoneCapacity,
};
use hickorycourse_routes::{CapacityLimits, UpstreamPhase};
use hickorycourse_store::{KeyValue, Lease, PlatformError, SwapOutcome};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::adapter::{DutyClient, DutyError, DutyHolder};
use crate::planning;
use crate::settings::Duty;
use crate::state::Relay;
use crate::store_watch::random_acquire_delay_ms;

/// Store key that holds the name of the duty lease's holder.
pub const DUTY_LEASE_KEY: &str = "hickorycourse/duties";
/// Prefix of the store keys under which usage reports are committed before they are sent.
pub const USAGE_REPORT_PREFIX: &str = "hickorycourse/usage/";
/// TTL of a committed report; far beyond the time for which its window can still be reported.
const USAGE_REPORT_TTL_MS: u64 = 60_000;
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two runs of the capacity planner.
const PLANNING_INTERVAL_MS: u64 = 1_000;
/// Plans in a row that are made while orders are refused.
const MAX_PLANS: u32 = 3;
/// Time after the end of a usage window for which the report waits for the counts of all instances,
/// in percent of `usage_delay_ms`.
const REPORT_WAIT_PERCENT: u64 = 55;
/// Number of past windows that the holder checks, so that none is skipped when the holder changes.
const LOOKBACK_WINDOWS: u64 = 4;

/// Store key of the [`EraRecord`].
pub const ERA_RECORD_KEY: &str = "hickorycourse/usage-era";

/// Attempts to write the [`EraRecord`] before the next tick.
const MAX_ERA_RECORD_WRITES: u32 = 3;

/// First window whose report can be recorded in an era of the store.
#[derive(Debug, Deserialize, Serialize)]
struct EraRecord {
    era: u64,
    first_window: u64,
}

/// The duties, performed while this instance holds the lease.
pub struct DutyTasks {
    relay: Arc<Relay>,
    key_value: Rc<dyn KeyValue>,
    client: Rc<dyn DutyClient>,
    lease: Option<Lease>,
    reported_windows: BTreeSet<u64>,
    /// First window that was not yet due when the store's data in this era began. The records of
    /// earlier reports may be gone; `None` until it has been read from the store.
    first_recorded_window: Option<u64>,
    planners: BTreeMap<String, Box<dyn PlanCapacity>>,
    /// Reclaims by service, kept by instances that don't hold the lease too.
    reclaims: BTreeMap<String, ReclaimModel>,
    planned_at_ms: u64,
}

impl DutyTasks {
    /// Creates the duties of an instance that does not hold the lease.
    pub fn new(
        relay: &Arc<Relay>,
        key_value: Rc<dyn KeyValue>,
        client: Rc<dyn DutyClient>,
    ) -> Self {
        Self {
            relay: Arc::clone(relay),
            key_value,
            client,
            lease: None,
            reported_windows: BTreeSet::new(),
            first_recorded_window: None,
            planners: BTreeMap::new(),
            reclaims: BTreeMap::new(),
            planned_at_ms: 0,
        }
    }

    /// Competes for the lease and performs the duties until the process stops.
    pub async fn run(mut self) {
        while !self.relay.drain.is_stopping() {
            self.maintain_lease().await;
            let has_new_reclaim = self.observe_reclaims();
            if has_new_reclaim
                && self.planners.values().any(|planner| planner.replans_after_refusal())
            {
                // What is lost is replaced without waiting for the next plan.
                self.planned_at_ms = 0;
            }
            if self.fencing_token().is_some() {
                self.run_due_duties().await;
            }
            sleep(TICK_INTERVAL).await;
        }
        if let Some(lease) = self.lease.take() {
            self.relay.duty_lease.lock().record_lost();
            self.release_lease(lease).await;
        }
    }

    fn fencing_token(&self) -> Option<u64> {
        self.relay.duty_lease.lock().fencing_token(self.relay.now_ms())
    }

    async fn maintain_lease(&mut self) {
        let now_ms = self.relay.now_ms();
        let next_action = self.relay.duty_lease.lock().next_action(now_ms);
        match next_action {
            LeaseAction::Wait => {}
            LeaseAction::Acquire => self.acquire_lease().await,
            LeaseAction::Renew => self.renew_lease().await,
        }
    }

    async fn acquire_lease(&mut self) {
        let relay = Arc::clone(&self.relay);
        let started_at_ms = relay.now_ms();
        let outcome = self.try_acquire_lease().await;
        relay.observe_store_era(self.key_value.era(), "store");
        let now_ms = relay.now_ms();
        let mut lease = relay.duty_lease.lock();
        match &outcome {
            Ok(SwapOutcome::Swapped { mod_revision }) => {
                lease.record_acquired(*mod_revision, started_at_ms, now_ms);
                self.planners.clear();
                self.first_recorded_window = None;
            }
            Ok(SwapOutcome::Conflict { stored: Some(stored) }) => {
                lease.observe_holder(stored.mod_revision)
            }
            Ok(SwapOutcome::Conflict { stored: None }) | Err(_) => {
                let delay_ms = random_acquire_delay_ms(&relay, now_ms);
                lease.record_acquire_failed(delay_ms, now_ms);
            }
        }
        drop(lease);
        relay.log.write("duties_claimed", || json!({ "outcome": format!("{outcome:?}") }));
    }

    async fn try_acquire_lease(&mut self) -> Result<SwapOutcome, PlatformError> {
        let ttl_ms = self.relay.settings.bounds.lease_ms;
        let lease = self.key_value.grant_lease(ttl_ms).await?;
        let name = self.relay.settings.instance.as_bytes();
        let swap = self.key_value.compare_and_swap(DUTY_LEASE_KEY, 0, name, Some(lease)).await;
        match &swap {
            Ok(SwapOutcome::Swapped { .. }) => self.lease = Some(lease),
            Ok(SwapOutcome::Conflict { .. }) => self.release_lease(lease).await,
            // The write may still take effect; the key is then removed when the store's lease
            // expires.
            Err(_) => {}
        }
        swap
    }

    async fn renew_lease(&mut self) {
        let Some(lease) = self.lease else { return };
        let started_at_ms = self.relay.now_ms();
        let renewed = self.key_value.renew_lease(lease).await;
        // Ends the own lease if the store was restored, even where it still knows the lease.
        self.relay.observe_store_era(self.key_value.era(), "store");
        match renewed {
            Ok(true) => self.relay.duty_lease.lock().record_renewed(started_at_ms),
            Ok(false) => {
                self.lease = None;
                self.relay.duty_lease.lock().record_lost();
                self.relay.log.write(
                    "duties_lost",
                    || json!({ "reason": "the duty lease has expired in the store" }),
                );
            }
            Err(error) => self
                .relay
                .log
                .write("duties_not_renewed", || json!({ "reason": error.to_string() })),
        }
    }

    async fn release_lease(&self, lease: Lease) {
        if let Err(error) = self.key_value.revoke_lease(lease).await {
            self.relay.log.write("lease_not_released", || json!({ "reason": error.to_string() }));
        }
    }

    async fn run_due_duties(&mut self) {
        if self.relay.settings.duties.contains(&Duty::Usage) {
            self.report_usage().await;
        }
        let now_ms = self.relay.now_ms();
        let is_due = now_ms >= self.planned_at_ms + PLANNING_INTERVAL_MS;
        if is_due && self.relay.settings.duties.contains(&Duty::Capacity) {
            self.planned_at_ms = now_ms;
            self.order_capacity().await;
        }
    }

    async fn report_usage(&mut self) {
        let bounds = &self.relay.settings.bounds;
        let window_ms = bounds.usage_window_ms;
        let wait_ms = bounds.usage_delay_ms * REPORT_WAIT_PERCENT / 100;
        let wall_ms = self.relay.wall_clock.lock().estimate_ms(self.relay.now_ms());
        // Windows before this number ended at least `wait_ms` ago.
        let ended = wall_ms.saturating_sub(wait_ms) / window_ms;
        let first = ended.saturating_sub(LOOKBACK_WINDOWS);
        self.reported_windows.retain(|window| *window >= first);
        self.relay.fleet_usage.lock().evict_before(first);
        let Some(first_recorded) = self.read_first_recorded_window(ended).await else { return };
        for window in first..ended {
            // Without its record, it is unknown whether and with which counts a window was reported.
            let is_known =
                window >= first_recorded || self.relay.committed_usage.lock().contains_key(&window);
            let is_due = is_known && !self.reported_windows.contains(&window);
            if is_due && self.report_window(window).await {
                self.reported_windows.insert(window);
            }
        }
    }

    /// Returns the first window whose record can be in the store in its present era. The first holder
    /// of an era writes it. `ended` is the first window that is not yet due.
    async fn read_first_recorded_window(&mut self, ended: u64) -> Option<u64> {
        if self.first_recorded_window.is_none() {
            match self.read_or_write_era_record(ended).await {
                Ok(first) => self.first_recorded_window = Some(first),
                Err(error) => self
                    .relay
                    .log
                    .write("usage_not_fixed", || json!({ "reason": error.to_string() })),
            }
        }
        self.first_recorded_window
    }

    async fn read_or_write_era_record(&self, ended: u64) -> Result<u64, PlatformError> {
        let mut expected_revision = 0;
        for _ in 0..MAX_ERA_RECORD_WRITES {
            let record = EraRecord { era: self.key_value.era(), first_window: ended };
            let value = serde_json::to_vec(&record)
                .map_err(|error| PlatformError::InvalidResponse(error.to_string()))?;
            let swap = self
                .key_value
                .compare_and_swap(ERA_RECORD_KEY, expected_revision, &value, None)
                .await?;
            match swap {
                SwapOutcome::Swapped { .. } => return Ok(ended),
                SwapOutcome::Conflict { stored: None } => expected_revision = 0,
                SwapOutcome::Conflict { stored: Some(stored) } => {
                    let known = serde_json::from_slice::<EraRecord>(&stored.value).ok();
                    match known.filter(|known| known.era == record.era) {
                        Some(known) => return Ok(known.first_window),
                        // Of an earlier era, or invalid.
                        None => expected_revision = stored.mod_revision,
                    }
                }
            }
        }
        Err(PlatformError::Refused("the era record is being written by others".to_owned()))
    }

    /// Reports one window; returns whether the platform accepted the report.
    async fn report_window(&self, window: u64) -> bool {
        let relay = &self.relay;
        let counts = match self.commit_report(window).await {
            Ok(counts) => counts,
            Err(error) => {
                relay.log.write(
                    "usage_not_fixed",
                    || json!({ "window": window, "reason": error.to_string() }),
                );
                return false;
            }
        };
        // The duty lease may have expired during the call.
        let Some(fencing_token) = self.fencing_token() else { return false };
        let holder = DutyHolder { instance: &relay.settings.instance, fencing_token };
        let result = self.client.report_usage(holder, window, &counts).await;
        relay.log.write("usage_reported", || {
            json!({
                "window": window, "fence": fencing_token, "counts": counts,
                "outcome": result.as_ref().err().map(ToString::to_string),
            })
        });
        result.is_ok()
    }

    /// Commits the counts of a window to the store once and returns the committed counts, so that
    /// each later holder reports the same ones.
    async fn commit_report(&self, window: u64) -> Result<BTreeMap<String, u64>, PlatformError> {
        let relay = &self.relay;
        let remembered = relay.committed_usage.lock().get(&window).cloned();
        let counts = remembered.clone().unwrap_or_else(|| relay.fleet_usage.lock().total(window));
        let key = format!("{USAGE_REPORT_PREFIX}{window}");
        let value = serde_json::to_vec(&counts)
            .map_err(|error| PlatformError::InvalidResponse(error.to_string()))?;
        let lease = self.key_value.grant_lease(USAGE_REPORT_TTL_MS).await?;
        let swap = self.key_value.compare_and_swap(&key, 0, &value, Some(lease)).await?;
        relay.observe_store_era(self.key_value.era(), "store");
        let counts = match (swap, remembered) {
            (SwapOutcome::Swapped { .. }, _) => counts,
            // The remembered counts may have been sent in an earlier era of the store.
            (SwapOutcome::Conflict { .. }, Some(remembered)) => remembered,
            (SwapOutcome::Conflict { stored: None }, None) => {
                return Err(PlatformError::InvalidResponse(
                    "usage report: write conflict without a stored value".to_owned(),
                ));
            }
            (SwapOutcome::Conflict { stored: Some(stored) }, None) => {
                serde_json::from_slice(&stored.value)
                    .map_err(|error| PlatformError::InvalidResponse(error.to_string()))?
            }
        };
        relay.remember_committed_usage(&[WindowCounts { window, counts: counts.clone() }]);
        relay.digest_requested.notify_one();
        Ok(counts)
    }

    /// Records zones whose reclaimable upstreams are all leaving; returns whether there is a new one.
    fn observe_reclaims(&mut self) -> bool {
        if !self.relay.settings.duties.contains(&Duty::Capacity) {
            return false;
        }
        let Some(table) = self.relay.route_table() else { return false };
        let now_ms = self.relay.now_ms();
        let services = &table.document().services;
        self.reclaims.retain(|name, _| services.contains_key(name));
        let mut has_new = false;
        for (name, service) in services {
            let Some(limits) = &service.capacity else { continue };
            let leaving = self.list_reclaimed_zones(name);
            if leaving.is_empty() {
                continue;
            }
            let zones = self.count_ready_by_zone(name, limits.zone_prices.keys());
            let reclaims = self.reclaims.entry(name.clone()).or_default();
            for zone in leaving.into_iter().collect::<BTreeSet<_>>() {
                if zones.get(&zone).is_some_and(|zone| zone.ready.reclaimable == 0) {
                    has_new |= reclaims.observe(&zone, limits.start_ms, now_ms);
                }
            }
        }
        has_new
    }

    async fn order_capacity(&mut self) {
        let Some(table) = self.relay.route_table() else { return };
        for (name, service) in &table.document().services {
            let Some(limits) = &service.capacity else { continue };
            for _ in 0..MAX_PLANS {
                let mut is_refused = false;
                for order in self.plan_capacity(name, limits) {
                    is_refused |= self.send_order(name, &order).await;
                }
                let replans =
                    self.planners.get(name).is_some_and(|planner| planner.replans_after_refusal());
                if !is_refused || !replans {
                    break;
                }
            }
        }
    }

    fn plan_capacity(&mut self, name: &str, limits: &CapacityLimits) -> Vec<CapacityOrder> {
        let now_ms = self.relay.now_ms();
        let demand = planning::measure_demand(&self.relay, name, now_ms);
        let zones = self.count_ready_by_zone(name, limits.zone_prices.keys());
        let present = zones.values().map(|zone| zone.ready.total()).sum();
        let reclaimed = self.list_reclaimed_zones(name);
        let policy = &self.relay.settings.policy;
        let planner = self
            .planners
            .entry(name.to_owned())
            .or_insert_with(|| planning::new_planner(policy, limits));
        for zone in reclaimed {
            planner.record_reclaimed(&zone);
        }
        let orders = planner.plan(&PlanInputs {
            limits,
            zones: &zones,
            demand,
            arrivals: planning::measure_arrivals(&self.relay, name, present, now_ms),
            reclaims: self.reclaims.entry(name.to_owned()).or_default(),
            now_ms,
        });
        if !orders.is_empty() {
            self.relay.log.write("capacity_planned", || {
                json!({
                    "service": name, "busy_upstreams": demand.busy_upstreams,
                    "reason": planner.reason(),
                    "estimates": planning::describe_estimates(&self.relay, name),
                    "zones": format!("{zones:?}"), "orders": format!("{orders:?}"),
                })
            });
        }
        orders
    }

    fn count_ready_by_zone<'a>(
        &self,
        service: &str,
        priced: impl Iterator<Item = &'a String>,
    ) -> BTreeMap<String, ZoneCapacity> {
        let mut zones: BTreeMap<String, ZoneCapacity> =
            priced.map(|zone| (zone.clone(), ZoneCapacity::default())).collect();
        let directory = self.relay.directory.lock();
        let ready = directory
            .entries()
            .filter(|entry| entry.service == service && entry.phase == UpstreamPhase::Ready);
        for entry in ready {
            let zone = zones.entry(entry.availability_zone.clone()).or_default();
            match entry.is_reclaimable {
                true => zone.ready.reclaimable += 1,
                false => zone.ready.on_demand += 1,
            }
        }
        zones
    }

    /// Returns the zones with leaving reclaimable upstreams.
    fn list_reclaimed_zones(&self, service: &str) -> Vec<String> {
        let directory = self.relay.directory.lock();
        let leaving = directory.entries().filter(|entry| {
            entry.service == service
                && entry.is_reclaimable
                && entry.phase == UpstreamPhase::Leaving
        });
        leaving.map(|entry| entry.availability_zone.clone()).collect()
    }

    /// Sends an order; returns whether it was refused because no capacity was available.
    async fn send_order(&mut self, service: &str, order: &CapacityOrder) -> bool {
        let Some(fencing_token) = self.fencing_token() else { return false };
        let relay = &self.relay;
        let holder = DutyHolder { instance: &relay.settings.instance, fencing_token };
        let result = self.client.order_capacity(holder, service, order).await;
        relay.log.write("capacity_ordered", || {
            json!({
                "service": service, "order": format!("{order:?}"), "fence": fencing_token,
                "outcome": result.as_ref().err().map(ToString::to_string),
            })
        });
        let outcome = match result {
            Ok(()) => "accepted",
            Err(DutyError::Unavailable) => "unavailable",
            Err(DutyError::Refused(_)) => "refused",
            Err(DutyError::Uncertain(_)) => "uncertain",
        };
        metrics::counter!("hickorycourse_capacity_orders_total", "outcome" => outcome).increment(1);
        let now_ms = relay.now_ms();
        let Some(planner) = self.planners.get_mut(service) else { return false };
        match result {
            Ok(()) => planner.record_accepted(order, now_ms),
            Err(DutyError::Unavailable) => planner.record_refused(order, now_ms),
            // Retried with the next plan.
            Err(DutyError::Refused(_) | DutyError::Uncertain(_)) => {}
        }
        outcome == "unavailable"
    }
}
