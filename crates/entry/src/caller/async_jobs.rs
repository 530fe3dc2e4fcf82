//! Asynchronous jobs: `Prefer: respond-async` is answered with 202 and a status URL to poll.

use std::time::Duration;

use hickorycourse_clock::timeout;
use hickorycourse_codes::{ErrorCode, Execution, Problem};
use hickorycourse_jobs::{JobCopy, JobState};
use hickorycourse_peer::PeerMessage;
use ntex::web::HttpResponse;
use serde_json::json;
use tokio::sync::oneshot;

use super::chat::stored_to_http_response;
use super::context::{CallContext, RoutedCall};

/// Time limit for replicating a new job to a second entry.
const COPY_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time limit for the replies of peers to a job query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts a call as a job once a second entry has confirmed a copy of it.
///
/// # Errors
/// [`ErrorCode::CopyUnavailable`] if no copy was confirmed in time.
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
    let status_url = format!("/v1/jobs/{job_id}");
    Ok(HttpResponse::Accepted()
        .header("location", status_url.as_str())
        .header("preference-applied", "respond-async")
        .header("retry-after", "1")
        .json(&json!({ "job_id": job_id, "status": "accepted", "status_url": status_url })))
}

/// Returns the status of a job: 202 while it is open, its stored response once it has finished.
pub async fn get_status(context: &CallContext, path: &str) -> Result<HttpResponse, Problem> {
    let job_id = path.trim_start_matches("/v1/jobs/");
    let local = context.entry.jobs.lock().find(job_id).cloned();
    let copy = match local {
        Some(copy) if copy.is_finished() => Some(copy),
        local => query_peers(context, job_id, local).await,
    };
    let copy = copy.ok_or_else(|| Problem::new(ErrorCode::UnknownJob))?;
    if copy.organisation != context.identity.organisation {
        return Err(ErrorCode::UnknownJob.into());
    }
    Ok(match &copy.state {
        JobState::Finished(stored) => stored_to_http_response(stored, &context.request_id),
        JobState::Open => HttpResponse::Accepted()
            .header("retry-after", "1")
            .json(&json!({ "job_id": job_id, "status": "accepted" })),
    })
}

/// Queries all connected peers and returns the newest copy of the job, including the local one.
async fn query_peers(
    context: &CallContext,
    job_id: &str,
    local: Option<JobCopy>,
) -> Option<JobCopy> {
    let entry = &context.entry;
    let mesh = entry.mesh()?;
    let call_id = entry.next_number();
    let mut replies = entry.pending_job_queries.add(call_id);
    let mut pending_replies = mesh.list_connected_peers().len();
    mesh.broadcast(&PeerMessage::JobQuery { call_id, job_id: job_id.to_owned() });
    let mut newest = local;
    let collect_replies = async {
        while pending_replies > 0 {
            let Some(reply) = replies.recv().await else { return };
            pending_replies -= 1;
            let Some(copy) = reply else { continue };
            if newest.as_ref().is_none_or(|current| copy.is_newer_than(current)) {
                newest = Some(copy);
            }
            if newest.as_ref().is_some_and(JobCopy::is_finished) {
                return;
            }
        }
    };
    let _ = timeout(QUERY_TIMEOUT, collect_replies).await;
    entry.pending_job_queries.remove(call_id);
    newest
}
