//! The jobs that one entry holds or has copies of.

use std::collections::BTreeMap;

use hickorycourse_idempotency::StoredResponse;

use crate::copy::{JobCopy, JobState};

/// The state of the fleet that [`JobTable::tick`] and [`JobTable::take_over_lost`] depend on.
pub struct FleetView<'a> {
    /// The current monotonic time.
    pub now_ms: u64,
    /// Whether this entry is being drained.
    pub is_leaving: bool,
    /// Whether the process with this name and incarnation is reachable.
    pub is_alive: &'a dyn Fn(HolderId<'_>) -> bool,
    /// Whether an entry is reachable and not leaving.
    pub is_available: &'a dyn Fn(&str) -> bool,
    /// The entry that receives new copies; `None` if none is available.
    pub copy_target: Option<&'a str>,
}

/// Identifies a process that holds a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HolderId<'a> {
    /// The name of the entry.
    pub instance: &'a str,
    /// The incarnation of its process; `None` matches any.
    pub incarnation: Option<u64>,
}

/// An operation that the owner of the table has to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobAction {
    /// Send a copy to another entry, which confirms it (see [`JobTable::confirm_copy`]).
    SendCopy {
        /// The name of the receiving entry.
        to: String,
        /// The copy.
        copy: JobCopy,
    },
    /// Hand the job over to another entry, which confirms it (see
    /// [`JobTable::confirm_handover`]).
    HandOver {
        /// The name of the receiving entry.
        to: String,
        /// The job.
        copy: JobCopy,
    },
    /// Start executing the job.
    Run {
        /// The job.
        copy: JobCopy,
    },
    /// Notify the caller that the job is accepted.
    Accept {
        /// The id of the job.
        job_id: String,
    },
}

/// A job that this entry holds.
#[derive(Clone, Debug)]
struct HeldJob {
    copy: JobCopy,
    /// The entry that the copy was last sent to; `None` before the first copy is sent and after that
    /// entry was lost.
    copy_target: Option<String>,
    is_copy_confirmed: bool,
    is_accepted: bool,
    handover_target: Option<String>,
    /// Time of the last send of a copy or handover; 0 if a send is due at once.
    sent_at_ms: u64,
    /// Whether a copy has been sent to any entry, even if it was never confirmed.
    was_copy_sent: bool,
    finished_at_ms: Option<u64>,
}

/// A copy of a job that another entry holds.
#[derive(Clone, Debug)]
struct RemoteJob {
    copy: JobCopy,
    unreachable_since_ms: Option<u64>,
    finished_at_ms: Option<u64>,
}

/// The jobs that one entry holds, and its copies of jobs held by other entries.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    held_jobs: BTreeMap<String, HeldJob>,
    remote_jobs: BTreeMap<String, RemoteJob>,
    /// Time of the last call that had one; used by the calls without.
    now_ms: u64,
}

/// Placeholder for a holder whose incarnation is not known yet.
const ANY_INCARNATION: u64 = 0;
/// Interval after which an unconfirmed copy or handover is sent again.
const RESEND_INTERVAL_MS: u64 = 300;
/// Time for which a holder has to be unreachable before its jobs are taken over.
const TAKEOVER_DELAY_MS: u64 = 500;
/// Retention period of finished jobs.
const FINISHED_RETENTION_MS: u64 = 3_600_000;

impl JobTable {
    /// Adds a new job with this entry as its holder. Its copy is sent at the next tick.
    pub fn add(&mut self, copy: JobCopy, now_ms: u64) {
        self.now_ms = now_ms;
        self.held_jobs.insert(copy.job_id.clone(), HeldJob::new(copy));
    }

    /// Removes a job that was not accepted. Returns true if a copy was sent, in which case another
    /// entry may still take the job over and run it.
    pub fn remove_unaccepted(&mut self, job_id: &str) -> bool {
        self.held_jobs.remove(job_id).is_some_and(|job| job.was_copy_sent)
    }

    /// Stores the response of a job, unless the job has moved to another term in the meantime.
    pub fn finish(&mut self, job_id: &str, term: u64, response: StoredResponse) {
        let now_ms = self.now_ms;
        let Some(job) = self.held_jobs.get_mut(job_id) else { return };
        if job.copy.term != term {
            return;
        }
        job.copy.state = JobState::Finished(response);
        job.finished_at_ms = Some(now_ms);
        job.is_copy_confirmed = false;
        job.sent_at_ms = 0;
        job.handover_target = None;
    }

    /// Whether this entry executes the job in this term: it is the holder, and the job is neither
    /// finished nor being handed over.
    pub fn is_executing(&self, job_id: &str, term: u64) -> bool {
        self.held_jobs.get(job_id).is_some_and(|job| {
            job.copy.term == term && !job.copy.is_finished() && job.handover_target.is_none()
        })
    }

    /// Receives a copy of a job held by another entry. Returns true if the copy has to
    /// be confirmed to its sender.
    pub fn receive_copy(&mut self, copy: JobCopy) -> bool {
        if let Some(held) = self.held_jobs.get(&copy.job_id) {
            if !copy.is_newer_than(&held.copy) {
                // This entry has taken the job over, so the copy of the previous holder is stale.
                return held.copy.is_finished();
            }
            self.held_jobs.remove(&copy.job_id);
        }
        let known = self.remote_jobs.get(&copy.job_id);
        if known.is_some_and(|known| known.copy.is_newer_than(&copy)) {
            return true;
        }
        let finished_at_ms = copy.is_finished().then_some(self.now_ms);
        let remote = RemoteJob { copy, unreachable_since_ms: None, finished_at_ms };
        self.remote_jobs.insert(remote.copy.job_id.clone(), remote);
        true
    }

    /// Records that `from` has stored the copy of a job. Ignored unless the copy was last sent to
    /// that entry and in the same state of completion.
    pub fn confirm_copy(&mut self, job_id: &str, from: &str, is_finished: bool) {
        let Some(job) = self.held_jobs.get_mut(job_id) else { return };
        if job.copy_target.as_deref() == Some(from) && job.copy.is_finished() == is_finished {
            job.is_copy_confirmed = true;
        }
    }

    /// Becomes the holder of a job that another entry hands over. Idempotent, because the sender
    /// repeats a handover until it is confirmed.
    pub fn accept_handover(
        &mut self,
        copy: &JobCopy,
        own: HolderId<'_>,
        now_ms: u64,
    ) -> Vec<JobAction> {
        self.now_ms = now_ms;
        if self.held_jobs.contains_key(&copy.job_id) {
            return Vec::new();
        }
        let is_copy_finished =
            self.remote_jobs.get(&copy.job_id).is_some_and(|remote| remote.copy.is_finished());
        if is_copy_finished {
            return Vec::new();
        }
        self.remote_jobs.remove(&copy.job_id);
        self.take_over(copy.clone(), own).into_iter().collect()
    }

    /// Records that `from` has become the holder of a job that was handed over to it.
    pub fn confirm_handover(&mut self, job_id: &str, from: &str) {
        let Some(job) = self.held_jobs.get(job_id) else { return };
        if job.handover_target.as_deref() != Some(from) {
            return;
        }
        let mut copy = job.copy.clone();
        self.held_jobs.remove(job_id);
        from.clone_into(&mut copy.holder);
        copy.term += 1;
        copy.holder_incarnation = ANY_INCARNATION;
        let remote = RemoteJob { copy, unreachable_since_ms: None, finished_at_ms: None };
        self.remote_jobs.insert(job_id.to_owned(), remote);
    }

    /// Returns a job that this entry holds, or else the copy of a job that another entry holds.
    pub fn find(&self, job_id: &str) -> Option<&JobCopy> {
        let held = self.held_jobs.get(job_id).map(|job| &job.copy);
        held.or_else(|| self.remote_jobs.get(job_id).map(|remote| &remote.copy))
    }

    /// The number of jobs that block the end of a drain: open jobs, finished ones whose copy is not
    /// confirmed, and copies of open jobs whose holder is unreachable, because this may be the only
    /// copy until the job has been taken over.
    pub fn count_blocking_drain(&self) -> usize {
        let held =
            self.held_jobs.values().filter(|job| !job.copy.is_finished() || !job.is_copy_confirmed);
        let orphaned = self
            .remote_jobs
            .values()
            .filter(|remote| !remote.copy.is_finished() && remote.unreachable_since_ms.is_some());
        held.count() + orphaned.count()
    }

    /// Whether the table contains neither jobs nor copies, so that a tick has no effect.
    pub fn is_empty(&self) -> bool {
        self.held_jobs.is_empty() && self.remote_jobs.is_empty()
    }

    /// Sends copies and handovers that are due, and evicts finished jobs past their retention
    /// period.
    pub fn tick(&mut self, view: &FleetView<'_>) -> Vec<JobAction> {
        self.now_ms = view.now_ms;
        let mut actions = Vec::new();
        for job in self.held_jobs.values_mut() {
            job.tick(view, &mut actions);
        }
        self.evict_expired(view.now_ms);
        actions
    }

    /// Takes over the jobs whose holders have been unreachable for at least the takeover delay.
    pub fn take_over_lost(&mut self, view: &FleetView<'_>, own: HolderId<'_>) -> Vec<JobAction> {
        self.now_ms = view.now_ms;
        let mut lost = Vec::new();
        for (job_id, remote) in &mut self.remote_jobs {
            if remote.is_holder_lost(view) {
                lost.push(job_id.clone());
            }
        }
        let mut actions = Vec::new();
        for job_id in lost {
            let Some(remote) = self.remote_jobs.remove(&job_id) else { continue };
            actions.extend(self.take_over(remote.copy, own));
        }
        actions
    }

    /// Makes this entry the holder. Applies to finished jobs too, so that their response is copied
    /// to another entry.
    fn take_over(&mut self, mut copy: JobCopy, own: HolderId<'_>) -> Option<JobAction> {
        own.instance.clone_into(&mut copy.holder);
        copy.holder_incarnation = own.incarnation.unwrap_or_default();
        copy.term += 1;
        let mut job = HeldJob::new(copy.clone());
        job.is_accepted = true;
        job.finished_at_ms = copy.is_finished().then_some(self.now_ms);
        self.held_jobs.insert(copy.job_id.clone(), job);
        (!copy.is_finished()).then_some(JobAction::Run { copy })
    }

    fn evict_expired(&mut self, now_ms: u64) {
        let is_kept = |finished_at_ms: Option<u64>| {
            finished_at_ms
                .is_none_or(|finished_at_ms| now_ms < finished_at_ms + FINISHED_RETENTION_MS)
        };
        self.held_jobs.retain(|_, job| is_kept(job.finished_at_ms));
        self.remote_jobs.retain(|_, remote| is_kept(remote.finished_at_ms));
    }
}

impl HeldJob {
    fn new(copy: JobCopy) -> Self {
        Self {
            copy,
            copy_target: None,
            is_copy_confirmed: false,
            is_accepted: false,
            handover_target: None,
            sent_at_ms: 0,
            was_copy_sent: false,
            finished_at_ms: None,
        }
    }

    fn tick(&mut self, view: &FleetView<'_>, actions: &mut Vec<JobAction>) {
        self.replace_lost_copy_target(view);
        if !self.is_copy_confirmed && self.is_send_due(view.now_ms) {
            self.send_copy(view, actions);
        }
        if self.is_copy_confirmed && !self.is_accepted {
            self.is_accepted = true;
            actions.push(JobAction::Accept { job_id: self.copy.job_id.clone() });
            actions.push(JobAction::Run { copy: self.copy.clone() });
        }
        if view.is_leaving && self.is_accepted && !self.copy.is_finished() {
            self.hand_over(view, actions);
        }
    }

    /// Clears the copy target if it is unreachable or leaving, so that another is chosen. A copy on
    /// a leaving entry counts as lost, because that entry would soon terminate even if it took the
    /// job over.
    fn replace_lost_copy_target(&mut self, view: &FleetView<'_>) {
        let Some(target) = &self.copy_target else { return };
        if !(view.is_available)(target) {
            self.copy_target = None;
            self.is_copy_confirmed = false;
            self.sent_at_ms = 0;
        }
    }

    fn is_send_due(&self, now_ms: u64) -> bool {
        self.sent_at_ms == 0 || now_ms >= self.sent_at_ms + RESEND_INTERVAL_MS
    }

    fn send_copy(&mut self, view: &FleetView<'_>, actions: &mut Vec<JobAction>) {
        if self.copy_target.is_none() {
            self.copy_target = view.copy_target.map(str::to_owned);
        }
        let Some(to) = self.copy_target.clone() else { return };
        self.sent_at_ms = view.now_ms.max(1);
        self.was_copy_sent = true;
        actions.push(JobAction::SendCopy { to, copy: self.copy.clone() });
    }

    /// Hands the job over, preferably to the entry that has the copy. A target that becomes
    /// unavailable before it has confirmed may already have taken the job over; another one is chosen
    /// anyway, because a job may run twice but must not be lost.
    fn hand_over(&mut self, view: &FleetView<'_>, actions: &mut Vec<JobAction>) {
        let is_lost =
            self.handover_target.as_deref().is_some_and(|target| !(view.is_available)(target));
        if is_lost {
            self.handover_target = None;
        }
        if self.handover_target.is_none() {
            let target = self.copy_target.clone().or_else(|| view.copy_target.map(str::to_owned));
            let Some(target) = target else { return };
            self.handover_target = Some(target);
        } else if !self.is_send_due(view.now_ms) {
            return;
        }
        let Some(to) = self.handover_target.clone() else { return };
        self.sent_at_ms = view.now_ms.max(1);
        actions.push(JobAction::HandOver { to, copy: self.copy.clone() });
    }
}

impl RemoteJob {
    fn is_holder_lost(&mut self, view: &FleetView<'_>) -> bool {
        let incarnation = self.copy.holder_incarnation;
        let incarnation = (incarnation != ANY_INCARNATION).then_some(incarnation);
        let holder = HolderId { instance: &self.copy.holder, incarnation };
        if (view.is_alive)(holder) {
            self.unreachable_since_ms = None;
            return false;
        }
        let since_ms = *self.unreachable_since_ms.get_or_insert(view.now_ms);
        view.now_ms >= since_ms + TAKEOVER_DELAY_MS
    }
}
