//! Issues order ids (`POST /v1/order-ids`).

use hickorycourse_idempotency::OrderId;
use ntex::web::HttpResponse;
use serde_json::json;

use super::context::CallContext;

/// Issues an order id: an idempotency key that can be claimed without the platform, because only
/// the issuing process may execute its call.
pub fn issue(context: &CallContext) -> HttpResponse {
    let entry = &context.entry;
    let sequence = entry.order_ids.lock().issue(entry.clock.now_ms());
    let id = OrderId {
        instance: entry.settings.instance.clone(),
        incarnation: entry.incarnation,
        sequence,
    };
    let identity = &context.identity;
    let secret = entry.settings.peer_secret.reveal();
    let text = id.to_text(&identity.organisation, &identity.caller, secret);
    let valid_ms = entry.settings.timing.claim_retention_ms;
    HttpResponse::Created().json(&json!({ "order_id": text, "valid_ms": valid_ms }))
}
