//! The jobs that one entry knows of.

use std::collections::BTreeMap;

use hickorycourse_idempotency::StoredResponse;

use crate::copy::{JobCopy, JobState};

/// What the table has to know of the fleet.
pub struct FleetView<'a> {
    /// Now.
    pub now_ms: u64,
    /// Whether this entry leaves.
    pub is_leaving: bool,
    /// Whether the process of this entry and incarnation is alive, as far as known.
    pub alive: &'a dyn Fn(HolderId<'_>) -> bool,
    /// Whether an entry is alive and not leaving.
    pub stays: &'a dyn Fn(&str) -> bool,
    /// The entry that new copies go to.
    pub other: Option<&'a str>,
}

/// A process that holds a job or a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HolderId<'a> {
    /// The entry.
    pub instance: &'a str,
    /// Its incarnation; `None` if any will do.
    pub incarnation: Option<u64>,
}

/// Something to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobAction {
    /// Send a copy; the receiver confirms it.
    SendCopy {
        /// To whom.
        to: String,
        /// The copy.
        copy: JobCopy,
    },
    /// Hand the job on; the receiver confirms it.
    HandOver {
        /// To whom.
        to: String,
        /// The job.
        copy: JobCopy,
    },
    /// Start to work on the job.
    Run {
        /// The job.
        copy: JobCopy,
    },
    /// Tell the caller that the job is accepted.
    Accept {
        /// The job.
        job_id: String,
    },
}

#[derive(Clone, Debug)]
struct HeldJob {
    copy: JobCopy,
    copy_holder: Option<String>,
    is_copy_confirmed: bool,
    is_accepted: bool,
    handover_to: Option<String>,
    sent_at_ms: u64,
    /// Whether any copy was ever sent.
    was_sent: bool,
    ended_at_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct OtherJob {
    copy: JobCopy,
    lost_since_ms: Option<u64>,
    ended_at_ms: Option<u64>,
}

/// The jobs that one entry holds, and copies of others'.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    held: BTreeMap<String, HeldJob>,
    others: BTreeMap<String, OtherJob>,
    now_ms: u64,
}

/// Stands for a holder whose incarnation is not known yet.
const ANY_INCARNATION: u64 = 0;
const RESEND_MS: u64 = 300;
/// Time that a holder has to be lost before its jobs are taken over.
const TAKE_OVER_MS: u64 = 500;
/// Time that answers are kept.
const ANSWER_KEPT_MS: u64 = 3_600_000;

impl JobTable {
    /// Adds a job that this entry holds. The next tick sends its copy.
    pub fn add(&mut self, copy: JobCopy, now_ms: u64) {
        self.now_ms = now_ms;
        self.held.insert(copy.job_id.clone(), HeldJob::new(copy));
    }

    /// Gives up a job that was never accepted; true if a copy was sent, which another entry may
    /// take over.
    pub fn withdraw(&mut self, job_id: &str) -> bool {
        self.held.remove(job_id).is_some_and(|job| job.was_sent)
    }

    /// Keeps the answer of a job, unless it has been handed on meanwhile.
    pub fn finish(&mut self, job_id: &str, term: u64, answer: StoredResponse) {
        let now_ms = self.now_ms;
        let Some(job) = self.held.get_mut(job_id) else { return };
        if job.copy.term != term {
            return;
        }
        job.copy.state = JobState::Finished(answer);
        job.ended_at_ms = Some(now_ms);
        job.is_copy_confirmed = false;
        job.sent_at_ms = 0;
        job.handover_to = None;
    }

    /// Whether this entry still works on a job of this term.
    pub fn is_working(&self, job_id: &str, term: u64) -> bool {
        self.held.get(job_id).is_some_and(|job| {
            job.copy.term == term && !job.copy.is_finished() && job.handover_to.is_none()
        })
    }

    /// Takes a copy of another's job; true if the holder is to be told that it is held.
    pub fn take_copy(&mut self, copy: JobCopy) -> bool {
        if let Some(held) = self.held.get(&copy.job_id) {
            if !copy.is_newer_than(&held.copy) {
                // This entry has taken over; the old holder's copy is of no use any more.
                return held.copy.is_finished();
            }
            self.held.remove(&copy.job_id);
        }
        let known = self.others.get(&copy.job_id);
        if known.is_some_and(|known| known.copy.is_newer_than(&copy)) {
            return true;
        }
        let ended_at_ms = copy.is_finished().then_some(self.now_ms);
        let other = OtherJob { copy, lost_since_ms: None, ended_at_ms };
        self.others.insert(other.copy.job_id.clone(), other);
        true
    }

    /// The copy of a job is held elsewhere.
    pub fn confirm_copy(&mut self, job_id: &str, from: &str, is_finished: bool) {
        let Some(job) = self.held.get_mut(job_id) else { return };
        if job.copy_holder.as_deref() == Some(from) && job.copy.is_finished() == is_finished {
            job.is_copy_confirmed = true;
        }
    }

    /// Takes over a job that is handed on. The same handover may come several times.
    pub fn take_handover(
        &mut self,
        copy: &JobCopy,
        own: HolderId<'_>,
        now_ms: u64,
    ) -> Vec<JobAction> {
        self.now_ms = now_ms;
        if self.held.contains_key(&copy.job_id) {
            return Vec::new();
        }
        let finished_here = self.others.get(&copy.job_id).is_some_and(|o| o.copy.is_finished());
        if finished_here {
            return Vec::new();
        }
        self.others.remove(&copy.job_id);
        self.take_over(copy.clone(), own).into_iter().collect()
    }

    /// A job that was handed on has been taken.
    pub fn confirm_handover(&mut self, job_id: &str, from: &str) {
        let Some(job) = self.held.get(job_id) else { return };
        if job.handover_to.as_deref() != Some(from) {
            return;
        }
        let mut copy = job.copy.clone();
        self.held.remove(job_id);
        from.clone_into(&mut copy.holder);
        copy.term += 1;
        copy.holder_incarnation = ANY_INCARNATION;
        let other = OtherJob { copy, lost_since_ms: None, ended_at_ms: None };
        self.others.insert(job_id.to_owned(), other);
    }

    /// Looks up a job, held here or a copy.
    pub fn find(&self, job_id: &str) -> Option<&JobCopy> {
        let held = self.held.get(job_id).map(|job| &job.copy);
        held.or_else(|| self.others.get(job_id).map(|other| &other.copy))
    }

    /// Jobs that keep this entry from ending: open ones, and answers whose copy is not confirmed.
    pub fn count_held(&self) -> usize {
        let busy =
            self.held.values().filter(|job| !job.copy.is_finished() || !job.is_copy_confirmed);
        busy.count()
    }

    /// Whether it knows of no job at all, so that there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.others.is_empty()
    }

    /// Sends what is due, takes over what is lost, forgets what is old.
    pub fn tick(&mut self, view: &FleetView<'_>) -> Vec<JobAction> {
        self.now_ms = view.now_ms;
        let mut actions = Vec::new();
        for job in self.held.values_mut() {
            job.tick(view, &mut actions);
        }
        self.forget_old(view.now_ms);
        actions
    }

    /// Takes over the jobs of holders that are lost.
    pub fn take_over_lost(&mut self, view: &FleetView<'_>, own: HolderId<'_>) -> Vec<JobAction> {
        self.now_ms = view.now_ms;
        let mut lost = Vec::new();
        for (job_id, other) in &mut self.others {
            if other.is_lost(view) {
                lost.push(job_id.clone());
            }
        }
        let mut actions = Vec::new();
        for job_id in lost {
            let Some(other) = self.others.remove(&job_id) else { continue };
            actions.extend(self.take_over(other.copy, own));
        }
        actions
    }

    /// Becomes the holder. An answer is held as well, so that it gets a copy elsewhere.
    fn take_over(&mut self, mut copy: JobCopy, own: HolderId<'_>) -> Option<JobAction> {
        own.instance.clone_into(&mut copy.holder);
        copy.holder_incarnation = own.incarnation.unwrap_or_default();
        copy.term += 1;
        let mut job = HeldJob::new(copy.clone());
        job.is_accepted = true;
        job.ended_at_ms = copy.is_finished().then_some(self.now_ms);
        self.held.insert(copy.job_id.clone(), job);
        (!copy.is_finished()).then_some(JobAction::Run { copy })
    }

    fn forget_old(&mut self, now_ms: u64) {
        let is_kept = |ended_at_ms: Option<u64>| {
            ended_at_ms.is_none_or(|ended_at_ms| now_ms < ended_at_ms + ANSWER_KEPT_MS)
        };
        self.held.retain(|_, job| is_kept(job.ended_at_ms));
        self.others.retain(|_, other| is_kept(other.ended_at_ms));
    }
}

impl HeldJob {
    fn new(copy: JobCopy) -> Self {
        Self {
            copy,
            copy_holder: None,
            is_copy_confirmed: false,
            is_accepted: false,
            handover_to: None,
            sent_at_ms: 0,
            was_sent: false,
            ended_at_ms: None,
        }
    }

    fn tick(&mut self, view: &FleetView<'_>, actions: &mut Vec<JobAction>) {
        self.replace_lost_copy_holder(view);
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

    /// A copy at an entry that leaves is as good as lost: it would not be taken over there for long.
    fn replace_lost_copy_holder(&mut self, view: &FleetView<'_>) {
        let Some(holder) = &self.copy_holder else { return };
        if !(view.stays)(holder) {
            self.copy_holder = None;
            self.is_copy_confirmed = false;
            self.sent_at_ms = 0;
        }
    }

    fn is_send_due(&self, now_ms: u64) -> bool {
        self.sent_at_ms == 0 || now_ms >= self.sent_at_ms + RESEND_MS
    }

    fn send_copy(&mut self, view: &FleetView<'_>, actions: &mut Vec<JobAction>) {
        if self.copy_holder.is_none() {
            self.copy_holder = view.other.map(str::to_owned);
        }
        let Some(to) = self.copy_holder.clone() else { return };
        self.sent_at_ms = view.now_ms.max(1);
        self.was_sent = true;
        actions.push(JobAction::SendCopy { to, copy: self.copy.clone() });
    }

    /// The one who has the copy is the first choice. A successor that is lost before it has
    /// confirmed may have taken the job; another one is chosen all the same, because a job may run
    /// twice but must not be lost.
    fn hand_over(&mut self, view: &FleetView<'_>, actions: &mut Vec<JobAction>) {
        let is_lost = self.handover_to.as_deref().is_some_and(|successor| !(view.stays)(successor));
        if is_lost {
            self.handover_to = None;
        }
        if self.handover_to.is_none() {
            let successor = self.copy_holder.clone().or_else(|| view.other.map(str::to_owned));
            let Some(successor) = successor else { return };
            self.handover_to = Some(successor);
        } else if !self.is_send_due(view.now_ms) {
            return;
        }
        let Some(to) = self.handover_to.clone() else { return };
        self.sent_at_ms = view.now_ms.max(1);
        actions.push(JobAction::HandOver { to, copy: self.copy.clone() });
    }
}

impl OtherJob {
    fn is_lost(&mut self, view: &FleetView<'_>) -> bool {
        let incarnation = self.copy.holder_incarnation;
        let incarnation = (incarnation != ANY_INCARNATION).then_some(incarnation);
        let holder = HolderId { instance: &self.copy.holder, incarnation };
        if (view.alive)(holder) {
            self.lost_since_ms = None;
            return false;
        }
        let since_ms = *self.lost_since_ms.get_or_insert(view.now_ms);
        view.now_ms >= since_ms + TAKE_OVER_MS
    }
}
