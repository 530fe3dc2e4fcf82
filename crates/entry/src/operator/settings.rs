//! Reading and changing the settings tree.

use std::time::Duration;

use hickorycourse_codes::{ErrorCode, Execution, Problem};
use hickorycourse_membership::VersionedDocument;
use hickorycourse_settings::document::{Document, DocumentName, Edit, EditError};
use hickorycourse_settings::{Organisation, Site, parse_document};
use hickorycourse_store::{KeyValue, PlatformError, SwapOutcome};
use ntex::http::Method;
use ntex::time::sleep;
use ntex::util::BytesMut;
use ntex::web::{HttpRequest, HttpResponse, types};

use super::key_value;
use crate::state::Entry;

const PATH_PREFIX: &str = "/v1/settings/";
/// The platform takes values up to a megabyte; the rest is for the history.
const EDIT_BYTES_LIMIT: usize = 900_000;
/// Tries to settle a write whose answer was lost.
const SETTLE_TRIES: u32 = 5;
const SETTLE_WAIT: Duration = Duration::from_millis(200);

/// Lists the documents in force here.
pub async fn list(entry: &Entry) -> Result<HttpResponse, Problem> {
    Ok(HttpResponse::Ok().json(&entry.replica.read().list_versions()))
}

/// Reads or changes one document.
pub async fn answer(
    entry: &Entry,
    request: &HttpRequest,
    payload: types::Payload,
) -> Result<HttpResponse, Problem> {
    let path = request.path().strip_prefix(PATH_PREFIX).unwrap_or("");
    let name: DocumentName = path
        .parse()
        .map_err(|fault: String| Problem::new(ErrorCode::UnknownSetting).with_detail(fault))?;
    match *request.method() {
        Method::GET => read(entry, &name),
        Method::PUT => {
            let edit = read_edit(payload).await?;
            change(entry, &name, &edit).await
        }
        _ => Err(ErrorCode::MethodNotAllowed.into()),
    }
}

/// Reads what is in force here, so that it works while the platform is down.
fn read(entry: &Entry, name: &DocumentName) -> Result<HttpResponse, Problem> {
    let replica = entry.replica.read();
    let document = replica.find(name).ok_or(ErrorCode::UnknownSetting)?;
    Ok(HttpResponse::Ok().json(document))
}

async fn read_edit(mut payload: types::Payload) -> Result<Edit, Problem> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.recv().await {
        let part = part.map_err(|_| Problem::new(ErrorCode::BrokenBody))?;
        body.extend_from_slice(&part);
        if body.len() > EDIT_BYTES_LIMIT {
            return Err(ErrorCode::BodyTooLarge.into());
        }
    }
    serde_json::from_slice(&body).map_err(|error| {
        Problem::new(ErrorCode::MalformedJson).with_detail(format!("Not an edit: {error}."))
    })
}

async fn change(entry: &Entry, name: &DocumentName, edit: &Edit) -> Result<HttpResponse, Problem> {
    check_against_site(entry, name, &edit.text)?;
    let key_value = key_value(entry).await;
    let document = write(key_value.as_ref(), name, edit).await?;
    let versioned = VersionedDocument { name: name.clone(), document: document.clone() };
    entry.apply_documents(&[versioned]);
    log::info!(
        target: "settings",
        "{} changed {name} to revision {}.",
        edit.operator,
        document.revision,
    );
    Ok(HttpResponse::Ok().json(&document))
}

/// An organisation may only name services and ranks of the site; a site may not drop what
/// organisations name.
fn check_against_site(entry: &Entry, name: &DocumentName, text: &str) -> Result<(), Problem> {
    let snapshot = entry.snapshot();
    let mut faults = Vec::new();
    match name {
        DocumentName::Organisation(_) => {
            let organisation = parse_document::<Organisation>(text).map_err(|f| invalid(&f))?;
            if let Some(site) = &snapshot.site {
                faults = organisation.check_references(site, "");
            }
            if snapshot.shares_key_with_other(&organisation) {
                let message = "another organisation's caller has the same key";
                faults.push(hickorycourse_settings::ValidationError::new("callers", message));
            }
        }
        DocumentName::Site => {
            let site = parse_document::<Site>(text).map_err(|f| invalid(&f))?;
            for (other, organisation) in &snapshot.organisations {
                faults
                    .extend(organisation.check_references(&site, &format!("organisation.{other}")));
            }
        }
    }
    if faults.is_empty() { Ok(()) } else { Err(invalid(&faults)) }
}

fn invalid(faults: &[hickorycourse_settings::ValidationError]) -> Problem {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    Problem::new(ErrorCode::SettingsInvalid).with_detail(lines.join("; "))
}

/// Writes a change by compare-and-swap. When an answer is lost, the value is read back: its history
/// tells whether the change took effect.
async fn write(
    key_value: &dyn KeyValue,
    name: &DocumentName,
    edit: &Edit,
) -> Result<Document, Problem> {
    let key = name.to_key();
    let mut maybe_written = false;
    for _ in 0..SETTLE_TRIES {
        let result = write_once(key_value, &key, name, edit).await;
        match result {
            Ok(WriteStep::Done(document)) => return Ok(document),
            Ok(WriteStep::Again) => continue,
            Ok(WriteStep::Refused(problem)) => {
                // A write whose answer was lost is in the history if it took effect, so this
                // refusal is certain.
                return Err(problem);
            }
            Err(PlatformError::Refused(reason)) if !maybe_written => {
                return Err(unavailable(&reason, Execution::NotRun));
            }
            Err(error) => {
                maybe_written |= matches!(error, PlatformError::Uncertain(_));
                log::warn!(target: "settings", "A write is not settled yet: {error}.");
                sleep(SETTLE_WAIT).await;
            }
        }
    }
    Err(unavailable(
        "repeat the change with the same id to learn its outcome",
        Execution::MayHaveRun,
    ))
}

fn unavailable(reason: &str, execution: Execution) -> Problem {
    Problem::new(ErrorCode::PlatformUnavailable)
        .with_detail(format!("The platform's key-value service does not answer: {reason}."))
        .with_execution(execution)
        .with_retry_after_s(2)
}

enum WriteStep {
    Done(Document),
    Again,
    Refused(Problem),
}

async fn write_once(
    key_value: &dyn KeyValue,
    key: &str,
    name: &DocumentName,
    edit: &Edit,
) -> Result<WriteStep, PlatformError> {
    let stored = key_value.get(key).await?;
    let held = match &stored {
        None => None,
        Some(stored) => Some(
            Document::from_bytes(&stored.value)
                .map_err(|error| PlatformError::InvalidResponse(error.to_string()))?,
        ),
    };
    if let Some(document) = &held
        && document.contains_change(&edit.id)
    {
        return Ok(WriteStep::Done(document.clone()));
    }
    let next = match Document::apply(held.as_ref(), name, edit) {
        Ok(next) => next,
        Err(EditError::Invalid(faults)) => return Ok(WriteStep::Refused(invalid(&faults))),
        Err(EditError::Conflict { stored_revision }) => {
            let detail =
                format!("Revision {} was read, {stored_revision} is in store.", edit.read_revision);
            let problem = Problem::new(ErrorCode::RevisionConflict).with_detail(detail);
            return Ok(WriteStep::Refused(problem));
        }
    };
    let expected_revision = stored.as_ref().map_or(0, |stored| stored.mod_revision);
    let swap = key_value.compare_and_swap(key, expected_revision, &next.to_bytes(), None).await?;
    Ok(match swap {
        SwapOutcome::Swapped { .. } => WriteStep::Done(next),
        SwapOutcome::Conflict { .. } => WriteStep::Again,
    })
}
