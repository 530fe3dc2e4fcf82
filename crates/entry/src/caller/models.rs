//! `GET /v1/models`.

use hickorycourse_codes::{ErrorCode, Problem};
use ntex::web::HttpResponse;
use serde_json::{Value, json};

use super::context::CallContext;

/// Lists the models.
pub fn list(context: &CallContext) -> HttpResponse {
    let models: Vec<Value> = list_names(context).iter().map(|name| describe(name)).collect();
    HttpResponse::Ok().json(&json!({ "object": "list", "data": models }))
}

/// Describes one model.
pub fn find(context: &CallContext, path: &str) -> Result<HttpResponse, Problem> {
    let name = path.trim_start_matches("/v1/models/");
    match list_names(context).iter().any(|known| known == name) {
        true => Ok(HttpResponse::Ok().json(&describe(name))),
        false => Err(ErrorCode::UnknownModel.into()),
    }
}

fn list_names(context: &CallContext) -> Vec<String> {
    let site = context.snapshot.site.as_ref();
    let services = site.into_iter().flat_map(|site| site.services.values());
    services.filter_map(|service| service.model.clone()).collect()
}

fn describe(name: &str) -> Value {
    json!({ "id": name, "object": "model", "created": 0, "owned_by": "hickorycourse" })
}
