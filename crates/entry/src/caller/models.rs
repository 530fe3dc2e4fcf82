//! The list of models (`GET /v1/models`), derived from the services of the site.

use hickorycourse_codes::{ErrorCode, Problem};
use ntex::web::HttpResponse;
use serde_json::{Value, json};

use super::context::CallContext;

/// Lists the models of all services.
pub fn list(context: &CallContext) -> HttpResponse {
    let models: Vec<Value> =
        list_model_names(context).iter().map(|name| model_to_json(name)).collect();
    HttpResponse::Ok().json(&json!({ "object": "list", "data": models }))
}

/// Returns one model by the name at the end of the path.
///
/// # Errors
/// [`ErrorCode::UnknownModel`] if no service offers it.
pub fn get(context: &CallContext, path: &str) -> Result<HttpResponse, Problem> {
    let name = path.trim_start_matches("/v1/models/");
    match list_model_names(context).iter().any(|known| known == name) {
        true => Ok(HttpResponse::Ok().json(&model_to_json(name))),
        false => Err(ErrorCode::UnknownModel.into()),
    }
}

fn list_model_names(context: &CallContext) -> Vec<String> {
    let site = context.snapshot.site.as_ref();
    let services = site.into_iter().flat_map(|site| site.services.values());
    services.filter_map(|service| service.model.clone()).collect()
}

fn model_to_json(name: &str) -> Value {
    json!({ "id": name, "object": "model", "created": 0, "owned_by": "hickorycourse" })
}
