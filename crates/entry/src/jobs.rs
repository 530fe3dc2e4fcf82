//! The job task, which replicates, executes and hands over accepted jobs.

use std::sync::Arc;
use std::time::Duration;

use hickorycourse_clock::sleep;
use hickorycourse_jobs::{FleetView, HolderId, JobAction, JobCopy};
use hickorycourse_peer::PeerMessage;
use tokio::sync::mpsc;

use crate::caller;
use crate::peers::JobHandover;
use crate::state::Entry;

/// Interval of the task's ticks.
pub const TICK_INTERVAL_MS: u64 = 50;
/// Delay before a job is executed again after a transient failure.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Runs the job task until the channel of ticks closes.
pub async fn run_job_task(
    entry: Arc<Entry>,
    mut handovers: mpsc::UnboundedReceiver<JobHandover>,
    mut ticks: mpsc::Receiver<hickorycourse_clock::Tick>,
) {
    loop {
        let actions = tokio::select! {
            Some(handover) = handovers.recv() => accept_handover(&entry, handover),
            tick = ticks.recv() => match tick {
                Some(_) => tick_jobs(&entry),
                None => return,
            },
        };
        for action in actions {
            execute_action(&entry, action);
        }
    }
}

fn accept_handover(entry: &Entry, handover: JobHandover) -> Vec<JobAction> {
    let JobHandover { copy, guard } = handover;
    let actions = entry.jobs.lock().accept_handover(&copy, own_id(entry), entry.clock.now_ms());
    drop(guard);
    actions
}

fn own_id(entry: &Entry) -> HolderId<'_> {
    HolderId { instance: &entry.settings.instance, incarnation: Some(entry.incarnation) }
}

fn tick_jobs(entry: &Arc<Entry>) -> Vec<JobAction> {
    if entry.jobs.lock().is_empty() {
        return Vec::new();
    }
    let now_ms = entry.clock.now_ms();
    let members = entry.members.lock().clone();
    let copy_target = members.choose_copy_target(now_ms / 1_000, now_ms);
    let is_alive = |id: HolderId<'_>| match members.incarnation(id.instance, now_ms) {
        Some(running) => id.incarnation.is_none_or(|incarnation| incarnation == running),
        None => false,
    };
    let is_available = |instance: &str| members.is_available(instance, now_ms);
    let view = FleetView {
        now_ms,
        is_leaving: entry.drain.is_leaving(),
        is_alive: &is_alive,
        is_available: &is_available,
        copy_target: copy_target.as_deref(),
    };
    let mut jobs = entry.jobs.lock();
    if entry.drain.is_complete() {
        return Vec::new();
    }
    let mut actions = jobs.tick(&view);
    actions.extend(jobs.take_over_lost(&view, own_id(entry)));
    actions
}

fn execute_action(entry: &Arc<Entry>, action: JobAction) {
    let Some(mesh) = entry.mesh() else { return };
    match action {
        JobAction::SendCopy { to, copy } => {
            mesh.send(&to, &PeerMessage::JobCopy(copy));
        }
        JobAction::HandOver { to, copy } => {
            log::info!(target: "job", "Handing job {} over to {to}.", copy.job_id);
            mesh.send(&to, &PeerMessage::JobHandover(copy));
        }
        JobAction::Accept { job_id } => {
            if let Some(waiter) = entry.job_waiters.lock().remove(&job_id) {
                let _ = waiter.send(());
            }
        }
        JobAction::Run { copy } => {
            let entry = Arc::clone(entry);
            ntex::rt::spawn(async move { execute_job(&entry, &copy).await });
        }
    }
}

/// Executes a job until it has a final response. A transient failure does not end an accepted job;
/// it is retried after `RETRY_DELAY`.
async fn execute_job(entry: &Arc<Entry>, copy: &JobCopy) {
    if copy.term > 1 {
        log::info!(target: "job", "Took over job {} in term {}.", copy.job_id, copy.term);
    }
    while entry.jobs.lock().is_executing(&copy.job_id, copy.term) {
        let response = caller::run_job(entry, copy).await;
        if !caller::is_transient_failure(&response) {
            entry.jobs.lock().finish(&copy.job_id, copy.term, response);
            return;
        }
        sleep(RETRY_DELAY).await;
    }
}
