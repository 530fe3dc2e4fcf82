//! Calls that the caller doesn't wait for: `Prefer: respond-async`, 202 and a status address.

use std::time::Duration;

use hickorycourse_codes::{ErrorCode, Execution, Problem};
use hickorycourse_jobs::{JobCopy, JobState};
use hickorycourse_peer::PeerMessage;
use ntex::time::timeout;
use ntex::web::HttpResponse;
use serde_json::json;
use tokio::sync::oneshot;

use super::chat::write_stored;
use super::context::{CallContext, RoutedCall};

/// Longest wait for a second entry to hold the copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Longest wait for peers to say whether they know a job.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts a call as a job, once a second entry holds a copy of it.
pub async fn accept(
    context: &CallContext,
    routed: &RoutedCall,
    body: &[u8],
) -> Result<HttpResponse, Problem> {
    let entry = &context.entry;
    let mut copy = JobCopy::new(
        &format!("job-{}", entry.generate_id()),
        &entry.settings.instance,
        entry.incarnation,
    );
    copy.organisation.clone_from(&context.identity.organisation);
    copy.caller.clone_from(&context.identity.caller);
    copy.service.clone_from(&routed.service);
    copy.rank.clone_from(&routed.rank);
    copy.body = body.to_vec();
    let job_id = copy.job_id.clone();
    let (sender, receiver) = oneshot::channel();
    entry.job_waiters.lock().insert(job_id.clone(), sender);
    entry.jobs.lock().add(copy, entry.clock.now_ms());
    if timeout(COPY_TIMEOUT, receiver).await.is_err() {
        entry.job_waiters.lock().remove(&job_id);
        let execution = Execution::after_attempts(entry.jobs.lock().remove_unaccepted(&job_id));
        let problem = Problem::new(ErrorCode::CopyUnavailable).with_execution(execution);
        return Err(problem.with_retry_after_s(5));
    }
    let address = format!("/v1/jobs/{job_id}");
    Ok(HttpResponse::Accepted()
        .header("location", address.as_str())
        .header("preference-applied", "respond-async")
        .header("retry-after", "1")
        .json(&json!({ "job_id": job_id, "status": "accepted", "status_url": address })))
}

/// Answers for a job: 202 while it is open, its answer afterwards.
pub async fn find(context: &CallContext, path: &str) -> Result<HttpResponse, Problem> {
    let job_id = path.trim_start_matches("/v1/jobs/");
    let known = context.entry.jobs.lock().find(job_id).cloned();
    let copy = match known {
        Some(copy) if copy.is_finished() => Some(copy),
        known => ask_peers(context, job_id, known).await,
    };
    let copy = copy.ok_or_else(|| Problem::new(ErrorCode::UnknownJob))?;
    if copy.organisation != context.identity.organisation {
        return Err(ErrorCode::UnknownJob.into());
    }
    Ok(match &copy.state {
        JobState::Finished(answer) => write_stored(answer, &context.request_id),
        JobState::Open => HttpResponse::Accepted()
            .header("retry-after", "1")
            .json(&json!({ "job_id": job_id, "status": "accepted" })),
    })
}

/// Asks all linked peers and takes the newest that is known.
async fn ask_peers(context: &CallContext, job_id: &str, known: Option<JobCopy>) -> Option<JobCopy> {
    let entry = &context.entry;
    let mesh = entry.mesh()?;
    let call_id = entry.next_number();
    let mut answers = entry.pending_job_queries.add(call_id);
    let mut expected = mesh.list_connected_peers().len();
    mesh.broadcast(&PeerMessage::JobQuery { call_id, job_id: job_id.to_owned() });
    let mut newest = known;
    let asking = async {
        while expected > 0 {
            let Some(answer) = answers.recv().await else { return };
            expected -= 1;
            let Some(copy) = answer else { continue };
            if newest.as_ref().is_none_or(|held| copy.is_newer_than(held)) {
                newest = Some(copy);
            }
            if newest.as_ref().is_some_and(JobCopy::is_finished) {
                return;
            }
        }
    };
    let _ = timeout(QUERY_TIMEOUT, asking).await;
    entry.pending_job_queries.remove(call_id);
    newest
}
