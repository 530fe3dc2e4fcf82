//! Overload control over all instances: where it is on, and what is said of its refusals.

use std::collections::BTreeSet;

use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_overload::{WorkClass, WorkRequest};
use hickorycourse_placement::{Forecast, OverloadRefusal};
use hickorycourse_routes::RouteDocument;
use serde_json::json;

use crate::call::Call;
use crate::settings::OverloadPolicy;
use crate::state::Relay;

/// Returns whether the configuration of a service calls for overload control: its capacity can be ordered and
/// is therefore short until an order is served, its upstreams state their slots, and requests of several ranks
/// share them.
pub fn calls_for_overload_control(document: &RouteDocument, service: &str) -> bool {
    let Some(settings) = document.services.get(service) else { return false };
    let has_slots = settings.engine.as_ref().is_some_and(|engine| engine.slots > 0);
    if !has_slots || settings.capacity.is_none() {
        return false;
    }
    let leads_to = |targets: &[hickorycourse_routes::RouteTarget]| {
        targets.iter().any(|target| target.service == service)
    };
    let routes = document.routes.iter().filter(|route| leads_to(&route.targets));
    let ranks: BTreeSet<u8> = routes.map(|route| route.urgency).collect();
    ranks.len() > 1
}

impl Relay {
    /// Turns overload control on or off for each service, by the active document.
    pub(crate) fn refresh_overload_control(&self) {
        let is_allowed = self.settings.policy.overload == OverloadPolicy::Auto;
        let table = self.route_table();
        for (service, placement_table) in self.placement_tables() {
            let is_enabled = is_allowed
                && table
                    .as_ref()
                    .is_some_and(|table| calls_for_overload_control(table.document(), &service));
            placement_table.lock().set_fleet_admission(is_enabled);
        }
    }
}

impl Call {
    /// Returns the class of its work for overload control.
    pub(crate) fn work_class(&self) -> WorkClass {
        WorkClass::new(self.urgency, self.tokens.prompt, self.tokens.max_output)
    }

    /// Returns the problem of a call that is refused while the fleet is short of capacity. It has not been
    /// sent to any upstream.
    pub(crate) fn overload_problem(
        &self,
        work: &WorkRequest,
        forecast: &Forecast,
        refusal: &OverloadRefusal,
    ) -> Problem {
        let reason = refusal.decision.name();
        metrics::counter!(
            "hickorycourse_overload_refused_total",
            "service" => self.service.clone(),
            "rank" => work.class.rank.to_string(),
            "reason" => reason,
        )
        .increment(1);
        let state = &refusal.state;
        self.relay.log.write("overload_refused", || {
            json!({
                "request": self.request_id, "service": self.service,
                "organisation": self.organisation, "reason": reason,
                "rank": work.class.rank, "size": work.class.size, "shares": state.shares,
                "demand_slots": state.demand_slots,
                "demand_prefill_upstreams": state.demand_prefill_upstreams,
                "slots": state.capacity.slots, "upstreams": state.capacity.upstreams,
                "occupied_slots": state.capacity.occupied_slots,
                "oldest_report_ms": state.oldest_report_ms,
                "forecast_ms": forecast.first_byte_ms, "target_ms": forecast.target_ms,
                "retry_after_ms": refusal.retry_after_ms,
            })
        });
        Problem::new(ErrorCode::TargetMissed).with_retry_after_ms(refusal.retry_after_ms)
    }
}
