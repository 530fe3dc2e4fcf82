//! The task that moves accepted jobs along.

use std::sync::Arc;
use std::time::Duration;

use hickorycourse_jobs::{FleetView, HolderId, JobAction, JobCopy};
use hickorycourse_peer::PeerMessage;
use ntex::time::sleep;
use tokio::sync::mpsc;

use crate::caller;
use crate::state::Entry;

/// The period of the task's ticks.
pub const TICK_MS: u64 = 50;
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Runs until the channel of ticks closes.
pub async fn keep_jobs(
    entry: Arc<Entry>,
    mut handovers: mpsc::UnboundedReceiver<JobCopy>,
    mut ticks: mpsc::Receiver<hickorycourse_clock::Tick>,
) {
    loop {
        let actions = tokio::select! {
            Some(copy) = handovers.recv() => take_handover(&entry, &copy),
            tick = ticks.recv() => match tick {
                Some(_) => tick_jobs(&entry),
                None => return,
            },
        };
        for action in actions {
            act(&entry, action);
        }
    }
}

fn take_handover(entry: &Entry, copy: &JobCopy) -> Vec<JobAction> {
    entry.jobs.lock().accept_handover(copy, own_id(entry), entry.clock.now_ms())
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
    let other = members.choose_copy_holder(now_ms / 1_000, now_ms);
    let alive = |id: HolderId<'_>| match members.incarnation(id.instance, now_ms) {
        Some(running) => id.incarnation.is_none_or(|incarnation| incarnation == running),
        None => false,
    };
    let stays = |instance: &str| members.is_available(instance, now_ms);
    let view = FleetView {
        now_ms,
        is_leaving: entry.drain.is_leaving(),
        is_alive: &alive,
        is_available: &stays,
        copy_target: other.as_deref(),
    };
    let mut jobs = entry.jobs.lock();
    let mut actions = jobs.tick(&view);
    actions.extend(jobs.take_over_lost(&view, own_id(entry)));
    actions
}

fn act(entry: &Arc<Entry>, action: JobAction) {
    let Some(mesh) = entry.mesh() else { return };
    match action {
        JobAction::SendCopy { to, copy } => {
            mesh.send(&to, &PeerMessage::JobCopy(copy));
        }
        JobAction::HandOver { to, copy } => {
            log::info!(target: "job", "Handing {} over to {to}.", copy.job_id);
            mesh.send(&to, &PeerMessage::JobHandover(copy));
        }
        JobAction::Accept { job_id } => {
            if let Some(waiter) = entry.job_waiters.lock().remove(&job_id) {
                let _ = waiter.send(());
            }
        }
        JobAction::Run { copy } => {
            let entry = Arc::clone(entry);
            ntex::rt::spawn(async move { run(&entry, &copy).await });
        }
    }
}

/// Works on a job until it has an answer. An accepted job is not given up because of a passing
/// refusal: it is tried again.
async fn run(entry: &Arc<Entry>, copy: &JobCopy) {
    if copy.term > 1 {
        log::info!(target: "job", "Took over {} in term {}.", copy.job_id, copy.term);
    }
    while entry.jobs.lock().is_executing(&copy.job_id, copy.term) {
        let answer = caller::run_job(entry, copy).await;
        if !caller::is_transient_failure(&answer) {
            entry.jobs.lock().finish(&copy.job_id, copy.term, answer);
            return;
        }
        sleep(RETRY_WAIT).await;
    }
}
