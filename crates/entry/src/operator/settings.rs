//! Operator access to the settings documents: list, read, and edit by compare-and-swap.

use std::time::Duration;

use hickorycourse_body::{BodyLimits, read_body};
use hickorycourse_clock::sleep;
use hickorycourse_codes::{ErrorCode, Execution, Problem};
use hickorycourse_membership::VersionedDocument;
use hickorycourse_settings::document::{Document, DocumentName, Edit, EditError};
use hickorycourse_settings::{Organisation, Site, parse_document};
use hickorycourse_store::{KeyValue, PlatformError, SwapOutcome};
use ntex::http::Method;
use ntex::web::{HttpRequest, HttpResponse, types};

use super::key_value_client;
use crate::state::Entry;

const PATH_PREFIX: &str = "/v1/settings/";
/// The platform limits a value to 1 MB; the remainder is reserved for the document's history.
const MAX_EDIT_BYTES: usize = 900_000;
/// Attempts to complete a write, including those that check whether a write without a response took
/// effect.
const WRITE_ATTEMPT_LIMIT: u32 = 5;
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Lists the revisions of the documents in force on this entry.
pub async fn list(entry: &Entry) -> Result<HttpResponse, Problem> {
    Ok(HttpResponse::Ok().json(&entry.replica.read().list_versions()))
}

/// Reads (`GET`) or edits (`PUT`) one document.
pub async fn handle(
    entry: &Entry,
    request: &HttpRequest,
    payload: types::Payload,
) -> Result<HttpResponse, Problem> {
    let path = request.path().strip_prefix(PATH_PREFIX).unwrap_or("");
    let name: DocumentName = path
        .parse()
        .map_err(|message: String| Problem::new(ErrorCode::UnknownSetting).with_detail(message))?;
    match *request.method() {
        Method::GET => get(entry, &name),
        Method::PUT => {
            let edit = read_edit(entry, payload).await?;
            put(entry, &name, &edit).await
        }
        _ => Err(ErrorCode::MethodNotAllowed.into()),
    }
}

/// Returns the document in force on this entry, which is available while the platform is down.
fn get(entry: &Entry, name: &DocumentName) -> Result<HttpResponse, Problem> {
    let replica = entry.replica.read();
    let document = replica.find(name).ok_or(ErrorCode::UnknownSetting)?;
    Ok(HttpResponse::Ok().json(document))
}

/// Reads an edit within the time limit for bodies, because a drain waits for the request.
async fn read_edit(entry: &Entry, payload: types::Payload) -> Result<Edit, Problem> {
    let time_limit = Duration::from_millis(entry.settings.limits.body_timeout_ms);
    let limits = BodyLimits { body_bytes: MAX_EDIT_BYTES, time_limit };
    let body = read_body(payload, None, limits, entry.bodies.reserve()).await?;
    serde_json::from_slice(body.as_ref()).map_err(|error| {
        Problem::new(ErrorCode::MalformedJson).with_detail(format!("Not an edit: {error}."))
    })
}

async fn put(entry: &Entry, name: &DocumentName, edit: &Edit) -> Result<HttpResponse, Problem> {
    check_references(entry, name, &edit.text)?;
    let key_value = key_value_client(entry).await;
    let document = write_edit(key_value.as_ref(), name, edit).await?;
    let versioned = VersionedDocument { name: name.clone(), document: document.clone() };
    entry.apply_documents(&[versioned]);
    log::info!(
        target: "settings",
        "Operator {} changed {name} to revision {}.",
        edit.operator,
        document.revision,
    );
    Ok(HttpResponse::Ok().json(&document))
}

/// Checks references between documents: an organisation may only refer to services and ranks of the
/// site, and a site may not remove those that organisations refer to.
fn check_references(entry: &Entry, name: &DocumentName, text: &str) -> Result<(), Problem> {
    let snapshot = entry.snapshot();
    let mut errors = Vec::new();
    match name {
        DocumentName::Organisation(_) => {
            let organisation =
                parse_document::<Organisation>(text).map_err(|errors| invalid(&errors))?;
            if let Some(site) = &snapshot.site {
                errors = organisation.check_references(site, "");
            }
            if snapshot.shares_key_with_other(&organisation) {
                let message = "another organisation's caller has the same key";
                errors.push(hickorycourse_settings::ValidationError::new("callers", message));
            }
        }
        DocumentName::Site => {
            let site = parse_document::<Site>(text).map_err(|errors| invalid(&errors))?;
            for (other, organisation) in &snapshot.organisations {
                errors
                    .extend(organisation.check_references(&site, &format!("organisation.{other}")));
            }
        }
    }
    if errors.is_empty() { Ok(()) } else { Err(invalid(&errors)) }
}

fn invalid(errors: &[hickorycourse_settings::ValidationError]) -> Problem {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    Problem::new(ErrorCode::SettingsInvalid).with_detail(lines.join("; "))
}

/// Writes an edit by compare-and-swap. If the response to a write is lost, the value is read back:
/// its history shows whether the edit took effect.
async fn write_edit(
    key_value: &dyn KeyValue,
    name: &DocumentName,
    edit: &Edit,
) -> Result<Document, Problem> {
    let key = name.to_key();
    let mut maybe_written = false;
    for _ in 0..WRITE_ATTEMPT_LIMIT {
        let result = try_write(key_value, &key, name, edit).await;
        match result {
            Ok(EditOutcome::Applied(document)) => return Ok(document),
            Ok(EditOutcome::Retry) => continue,
            Ok(EditOutcome::Rejected(problem)) => {
                // If an earlier write had taken effect, its change id would be in the history, so
                // this rejection is final.
                return Err(problem);
            }
            Err(PlatformError::Refused(reason)) if !maybe_written => {
                return Err(platform_unavailable(&reason, Execution::NotRun));
            }
            Err(error) => {
                maybe_written |= matches!(error, PlatformError::Uncertain(_));
                log::warn!(target: "settings", "Write of {name} is not confirmed: {error}.");
                sleep(WRITE_RETRY_INTERVAL).await;
            }
        }
    }
    Err(platform_unavailable(
        "repeat the change with the same id to learn its outcome",
        Execution::MayHaveRun,
    ))
}

fn platform_unavailable(reason: &str, execution: Execution) -> Problem {
    Problem::new(ErrorCode::PlatformUnavailable)
        .with_detail(format!("The platform's key-value service does not answer: {reason}."))
        .with_execution(execution)
        .with_retry_after_s(2)
}

/// The outcome of one compare-and-swap of an edit.
enum EditOutcome {
    Applied(Document),
    Retry,
    Rejected(Problem),
}

async fn try_write(
    key_value: &dyn KeyValue,
    key: &str,
    name: &DocumentName,
    edit: &Edit,
) -> Result<EditOutcome, PlatformError> {
    let stored = key_value.get(key).await?;
    let current = match &stored {
        None => None,
        Some(stored) => Some(
            Document::from_bytes(&stored.value)
                .map_err(|error| PlatformError::InvalidResponse(error.to_string()))?,
        ),
    };
    if let Some(document) = &current
        && document.contains_change(&edit.id)
    {
        return Ok(EditOutcome::Applied(document.clone()));
    }
    let next = match Document::apply(current.as_ref(), name, edit) {
        Ok(next) => next,
        Err(EditError::Invalid(errors)) => return Ok(EditOutcome::Rejected(invalid(&errors))),
        Err(EditError::Conflict { stored_revision }) => {
            let detail =
                format!("Revision {} was read, {stored_revision} is in store.", edit.read_revision);
            let problem = Problem::new(ErrorCode::RevisionConflict).with_detail(detail);
            return Ok(EditOutcome::Rejected(problem));
        }
    };
    let expected_revision = stored.as_ref().map_or(0, |stored| stored.mod_revision);
    let swap = key_value.compare_and_swap(key, expected_revision, &next.to_bytes(), None).await?;
    Ok(match swap {
        SwapOutcome::Swapped { .. } => EditOutcome::Applied(next),
        SwapOutcome::Conflict { .. } => EditOutcome::Retry,
    })
}
