//! Placement of calls: the choice of an upstream, admission, and permits for limited upstreams.

use std::sync::Arc;
use std::time::Duration;

use hickorycourse_clock::sleep;
use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_permits::Claim;
use hickorycourse_placement::{
    Admission, LimitedUpstream, Placement, PlacementRequest, PlacementTable,
};
use ntex::rt;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::attempt::Attempt;
use crate::call::{Call, RetryState};
use crate::datagrams::PermitReply;
use crate::view_gate::await_newer_view;

/// Claims for permits before a call is refused.
const MAX_CLAIMS: u32 = 4;
/// Time for which a permit may be used.
const PERMIT_VALIDITY_MS: u64 = 250;
/// Interval between claims for permits that are meant to refresh what is known of a limit.
const STALE_CLAIM_INTERVAL_MS: u64 = 400;
/// Time until the next claim if the instances do not agree on the one that grants the permits.
const UNKNOWN_ISSUER_WAIT_MS: u64 = 300;
/// Part of the target, as a divisor, for which a request waits for a slot of an upstream that can turn few
/// requests away.
const SLOT_WAIT_DIVISOR: u64 = 8;
/// Interval at which it is looked for a slot.
const SLOT_POLL: Duration = Duration::from_millis(16);

/// Permit to send a request to a limited upstream.
struct Permit {
    upstream: String,
    valid_until_ms: u64,
}

/// Outcome of a step of the placement of a call.
enum PlacementStep {
    /// An attempt has begun.
    Begun(Box<Attempt>),
    /// A permit of this upstream has to be claimed before.
    Claim { upstream: String, max_wait_ms: u64 },
    /// A slot may be free soon.
    AwaitSlot,
}

impl Call {
    /// Chooses an upstream and begins an attempt there. Where only limited upstreams can serve the request
    /// in time, a permit is claimed first.
    pub async fn place(&self, retry_state: &RetryState) -> Result<Attempt, Problem> {
        let mut permit = None;
        let mut claims_left = MAX_CLAIMS;
        await_newer_view(&self.relay).await;
        loop {
            match self.try_place(retry_state, permit.take(), claims_left > 0)? {
                PlacementStep::Begun(attempt) => return Ok(*attempt),
                PlacementStep::AwaitSlot => sleep(SLOT_POLL).await,
                PlacementStep::Claim { .. } if claims_left == 0 => break,
                PlacementStep::Claim { upstream, max_wait_ms } => {
                    claims_left -= 1;
                    permit = self.claim_permit(upstream, max_wait_ms).await;
                }
            }
        }
        Err(self.failure_problem(retry_state))
    }

    fn try_place(
        &self,
        retry_state: &RetryState,
        permit: Option<Permit>,
        may_claim: bool,
    ) -> Result<PlacementStep, Problem> {
        let relay = &self.relay;
        let now_ms = relay.now_ms();
        let Some(placement_table) = relay.placement_table(&self.service) else {
            return Err(self.failure_problem(retry_state));
        };
        let request = self.placement_request(retry_state);
        let mut placements = placement_table.lock();
        let waited_ms = now_ms.saturating_sub(self.arrived_at_ms);
        let permitted = permit.and_then(|permit| {
            placements.place_permitted(&request, &permit.upstream, permit.valid_until_ms, now_ms)
        });
        let chosen = match permitted {
            Some(placement) => Some(placement),
            None => {
                self.refresh_stale_limit(&mut placements, &request, now_ms);
                let chosen = placements.choose(&request, now_ms);
                let wait_left_ms = self.route.target_ms.saturating_sub(waited_ms);
                if may_claim
                    && let Some(limited) = placements.find_limited(&request, now_ms)
                    && self.is_limited_better(&placements, chosen.as_ref(), &limited, now_ms)
                {
                    let max_wait_ms = wait_left_ms.saturating_sub(limited.first_byte_ms);
                    let upstream = limited.upstream;
                    return Ok(PlacementStep::Claim { upstream, max_wait_ms });
                }
                chosen
            }
        };
        let Some(mut placement) = chosen else {
            if retry_state.excluded.is_empty()
                && waited_ms < self.route.target_ms / SLOT_WAIT_DIVISOR
                && placements.awaits_slot(&request, now_ms)
            {
                return Ok(PlacementStep::AwaitSlot);
            }
            let left_ms = self.route.patience_ms().saturating_sub(waited_ms);
            let slot_ms = placements.reserve_slot_retry(left_ms, now_ms);
            let permit_ms = match slot_ms {
                Some(_) => None,
                None => placements.reserve_permit_retry(&request, left_ms, now_ms),
            };
            let backoff_ms = placements.backoff_remaining_ms(&request, now_ms);
            drop(placements);
            return Err(self.unavailable_problem(retry_state, slot_ms, permit_ms, backoff_ms));
        };
        placements.record_arrival(&placement, now_ms);
        if retry_state.sent_attempts > 0 {
            if !relay.try_acquire_retry(&self.service) {
                placements.return_unused_permit(&placement);
                return Err(self.failure_problem(retry_state));
            }
        } else {
            let forecast =
                placement.forecast(waited_ms, self.route.target_ms, self.route.patience_ms());
            let is_permitted = placement.permit_until_ms.is_some();
            if retry_state.excluded.is_empty() && !is_permitted {
                let work = placements.work_request(&placement, &request, self.tokens.max_output);
                if let Some(refusal) = placements.refuse_in_overload(&work, &forecast, now_ms) {
                    placements.return_unused_permit(&placement);
                    drop(placements);
                    return Err(self.overload_problem(&work, &forecast, &refusal));
                }
            }
            if let Admission::Refuse { retry_after_ms } = placements.admit(&forecast, now_ms) {
                placements.return_unused_permit(&placement);
                drop(placements);
                relay.log.write("refused", || {
                    json!({
                        "request": self.request_id, "service": self.service,
                        "upstream": placement.upstream, "forecast_ms": forecast.first_byte_ms,
                        "queue_ms": forecast.queue_ms,
                        "target_ms": forecast.target_ms, "retry_after_ms": retry_after_ms,
                    })
                });
                let problem = Problem::new(ErrorCode::TargetMissed);
                return Err(problem.with_retry_after_ms(retry_after_ms));
            }
        }
        placements.take_permit(&mut placement, now_ms);
        placements.begin_attempt(&placement, &request, now_ms);
        drop(placements);
        let attempt = Attempt::new(self, placement_table, placement);
        Ok(PlacementStep::Begun(Box::new(attempt)))
    }

    /// Returns whether a limited upstream is worth a claim: the others are ejected, or miss the target by
    /// more.
    fn is_limited_better(
        &self,
        placements: &PlacementTable,
        chosen: Option<&Placement>,
        limited: &LimitedUpstream,
        now_ms: u64,
    ) -> bool {
        let waited_ms = now_ms.saturating_sub(self.arrived_at_ms);
        chosen.is_none_or(|chosen| {
            let is_on_time = waited_ms + chosen.first_byte_ms <= self.route.target_ms;
            !placements.is_placed_soundly(chosen, now_ms)
                || (!is_on_time && limited.first_byte_ms < chosen.first_byte_ms)
        })
    }

    /// Claims a permit for a later request at an upstream whose limit was named long ago: without any
    /// request there, it would never be known to have ended.
    fn refresh_stale_limit(
        &self,
        placements: &mut PlacementTable,
        request: &PlacementRequest<'_>,
        now_ms: u64,
    ) {
        let Some(stale) = placements.find_stale_limit(request, now_ms) else { return };
        let pause_ms = STALE_CLAIM_INTERVAL_MS;
        placements.record_permit_denied(&stale.upstream, pause_ms, pause_ms, now_ms);
        let (relay, service) = (Arc::clone(&self.relay), self.service.clone());
        let claim = self.permit_claim(0);
        rt::spawn(async move {
            let reply = relay.claim_permit(&stale.upstream, claim).await;
            let (PermitReply::Granted { .. }, Some(placement_table)) =
                (reply, relay.placement_table(&service))
            else {
                return;
            };
            let valid_until_ms = relay.now_ms() + PERMIT_VALIDITY_MS;
            placement_table.lock().return_permit(&stale.upstream, valid_until_ms);
        });
    }

    fn permit_claim(&self, max_wait_ms: u64) -> Claim {
        let organisation = self.organisation.as_deref().unwrap_or_default();
        Claim { urgency: self.urgency, organisation: xxh3_64(organisation.as_bytes()), max_wait_ms }
    }

    /// Claims a permit and waits until it is valid; `None` if it is denied.
    async fn claim_permit(&self, upstream: String, max_wait_ms: u64) -> Option<Permit> {
        let relay = &self.relay;
        let reply = relay.claim_permit(&upstream, self.permit_claim(max_wait_ms)).await;
        let available_in_ms = match reply {
            PermitReply::Granted { wait_ms } => {
                sleep(Duration::from_millis(wait_ms)).await;
                let valid_until_ms = relay.now_ms() + PERMIT_VALIDITY_MS;
                return Some(Permit { upstream, valid_until_ms });
            }
            PermitReply::Denied { available_in_ms } => available_in_ms,
            PermitReply::NotIssuer => UNKNOWN_ISSUER_WAIT_MS,
        };
        let now_ms = relay.now_ms();
        relay.log.write("permit_denied", || {
            json!({
                "request": self.request_id, "upstream": upstream, "urgency": self.urgency,
                "max_wait_ms": max_wait_ms, "available_in_ms": available_in_ms,
            })
        });
        let pause_ms = relay.claim_pause_ms(&upstream, available_in_ms, max_wait_ms);
        if let Some(placement_table) = relay.placement_table(&self.service) {
            let mut placements = placement_table.lock();
            placements.record_permit_denied(&upstream, available_in_ms, pause_ms, now_ms);
        }
        None
    }
}
