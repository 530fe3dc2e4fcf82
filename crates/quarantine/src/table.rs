//! The decision which parts are quarantined.

use std::collections::BTreeMap;

use crate::digest::{self, EndDigest, MergeError, QuarantineDigest, QuarantinedDigest};
use crate::evidence::{BegunParts, ServiceAnswers, Support, UpstreamEnd, UpstreamEnds};
use crate::items::{REQUEST_POSITION, RequestItems};
use crate::options::QuarantineOptions;

/// Quarantined parts that are kept.
const MAX_QUARANTINED: usize = 256;
/// Time that stands for an answer that another instance has seen at some time.
const TOLD_BEGUN_MS: u64 = 1;
/// Time for which other instances are told that a part was cleared or a start is alive.
const NOTICE_TTL_MS: u64 = 10_000;

/// A quarantined part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantinedPart {
    /// Time at which it was quarantined.
    pub since_ms: u64,
    /// Time of the latest request with it, at any instance.
    pub last_request_at_ms: u64,
    /// Starts of upstreams that ended under it.
    pub starts: u64,
    /// Whether an operator keeps it.
    pub is_pinned: bool,
    /// Whether it is a whole request, rather than a part of a prompt.
    pub is_request: bool,
    /// Whether it was found although answers had begun on it before.
    pub had_answers: bool,
}

/// A change, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    /// This instance has found that a part crashes upstreams.
    Found {
        /// Hash of the part.
        part: u64,
        /// Starts that ended under it.
        starts: u64,
        /// Time between the first and the last of these ends.
        span_ms: u64,
    },
    /// Another instance has told of a quarantined part.
    Told {
        /// Hash of the part.
        part: u64,
    },
    /// The quarantine of a part has ended.
    Lifted {
        /// Hash of the part.
        part: u64,
    },
}

/// Whether a request that upstreams have ended under may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectAdmission {
    /// It may.
    Send,
    /// It may, if no other instance sends it at the same time.
    Probe,
    /// The caller may try again later.
    Hold {
        /// Time after which more is known.
        hold_ms: u64,
    },
}

/// Evidence against parts of prompts, and the quarantined parts. All state is bounded.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    options: QuarantineOptions,
    ends: UpstreamEnds,
    begun: BegunParts,
    /// Whole requests on which answers have begun; kept apart, as there are many that never come again.
    begun_requests: BegunParts,
    /// Times at which answers of each service have begun on any parts.
    service_begun: ServiceAnswers,
    /// Times of the latest answers of each service that this instance has seen itself.
    own_answers: BTreeMap<u64, u64>,
    quarantined: BTreeMap<u64, QuarantinedPart>,
    /// Times at which parts were cleared that had been in an attempt at an end.
    cleared: BTreeMap<u64, u64>,
    /// Times at which starts were found alive after an attempt had broken.
    alive: BTreeMap<u64, u64>,
    lifted: BTreeMap<u64, u64>,
}

impl PartQuarantine {
    /// Creates an empty quarantine.
    pub fn new(options: QuarantineOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Records that an attempt broke at a start of an upstream of a service. `items` are those that may have
    /// caused it: the parts of its prompt only before its answer was well begun.
    pub fn record_broken_beginning<'a>(
        &mut self,
        service: u64,
        start: u64,
        items: impl Into<RequestItems<'a>>,
        now_ms: u64,
    ) -> Vec<QuarantineChange> {
        if self.is_alive_since(start, now_ms) {
            return Vec::new();
        }
        let items: Vec<(u64, u8)> = items.into().iter().collect();
        self.add_end(service, start, now_ms, &items);
        self.decide(now_ms)
    }

    /// Records that an answer of a service on these items is well begun or complete. `begun_at_ms` is the
    /// time of its first bytes.
    pub fn record_begun<'a>(
        &mut self,
        service: u64,
        items: impl Into<RequestItems<'a>>,
        begun_at_ms: u64,
        now_ms: u64,
    ) -> Vec<QuarantineChange> {
        self.service_begun.record(service, begun_at_ms);
        insert_bounded(&mut self.own_answers, service, begun_at_ms);
        let mut changes = Vec::new();
        for (item, position) in items.into().iter() {
            let begun = match position {
                REQUEST_POSITION => &mut self.begun_requests,
                _ => &mut self.begun,
            };
            if begun.record(item, begun_at_ms) {
                self.clear_part(item, begun_at_ms, now_ms);
                self.lift_disproved(item, begun_at_ms, &mut changes);
            }
        }
        changes
    }

    /// Returns the table with the answers on an item.
    fn begun_table(&mut self, item: u64) -> &mut BegunParts {
        match self.ends.is_request(item) {
            true => &mut self.begun_requests,
            false => &mut self.begun,
        }
    }

    /// Returns the time of the latest answer on an item.
    fn latest_begun_ms(&self, item: u64) -> Option<u64> {
        self.begun.latest_ms(item).max(self.begun_requests.latest_ms(item))
    }

    /// Records progress of an answer at a start of an upstream.
    pub fn record_progress(&mut self, start: u64, now_ms: u64) {
        let Some(end) = self.ends.get(start) else { return };
        let since_end_ms = now_ms.saturating_sub(end.ended_at_ms);
        let range_ms = self.options.alive_after_ms..self.options.alive_within_ms;
        if range_ms.contains(&since_end_ms) {
            self.ends.remove(start);
            self.alive.insert(start, now_ms);
        }
    }

    /// Returns whether there are ends for which [`record_progress`](Self::record_progress) matters.
    pub fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Returns the first quarantined item of a request, and notes that it was asked for.
    pub fn check<'a>(&mut self, items: impl Into<RequestItems<'a>>, now_ms: u64) -> Option<u64> {
        let mut items = items.into().iter().map(|(item, _)| item);
        let item = items.find(|item| self.quarantined.contains_key(item))?;
        if let Some(quarantined) = self.quarantined.get_mut(&item) {
            quarantined.last_request_at_ms = now_ms;
        }
        Some(item)
    }

    /// Returns whether one of the items is quarantined, or more than one start has ended under it.
    pub fn is_suspected<'a>(&self, items: impl Into<RequestItems<'a>>) -> bool {
        let mut items = items.into().iter().map(|(item, _)| item);
        items.any(|item| self.quarantined.contains_key(&item) || self.ends.count(item) > 1)
    }

    /// Decides whether a whole request may be sent although starts have ended under it. As many as a
    /// quarantine takes make it a suspect until the evidence is decided or an answer clears it: all upstreams
    /// might be lost to it together again.
    pub fn admit(&self, request: u64, now_ms: u64) -> SuspectAdmission {
        let Some(support) = self.ends.support(request) else { return SuspectAdmission::Send };
        if support.starts < self.options.min_starts {
            return SuspectAdmission::Send;
        }
        let settled_at_ms = support.last_ms + self.options.settle_ms;
        match self.latest_begun_ms(request) {
            None if now_ms < settled_at_ms => {
                SuspectAdmission::Hold { hold_ms: settled_at_ms - now_ms }
            }
            _ => SuspectAdmission::Probe,
        }
    }

    /// Quarantines a part until an operator lifts it. Returns false if too many parts are quarantined.
    pub fn pin(&mut self, part: u64, now_ms: u64) -> bool {
        let known = self.quarantined.get(&part).copied();
        let known = known.unwrap_or(QuarantinedPart {
            since_ms: now_ms,
            last_request_at_ms: now_ms,
            starts: 0,
            is_pinned: true,
            is_request: false,
            had_answers: false,
        });
        // A pin is later than a lift that other instances may still tell.
        let is_kept =
            self.insert(part, QuarantinedPart { since_ms: now_ms, is_pinned: true, ..known });
        if is_kept {
            self.lifted.remove(&part);
        }
        is_kept
    }

    /// Lifts the quarantine of a part. Ends before are no evidence against it.
    pub fn lift(&mut self, part: u64, now_ms: u64) -> bool {
        self.ends.remove_part(part);
        insert_bounded(&mut self.lifted, part, now_ms);
        self.quarantined.remove(&part).is_some()
    }

    /// Returns whether a part is quarantined.
    pub fn is_quarantined(&self, part: u64) -> bool {
        self.quarantined.contains_key(&part)
    }

    /// Returns the quarantined parts.
    pub fn quarantined(&self) -> impl Iterator<Item = (u64, &QuarantinedPart)> {
        self.quarantined.iter().map(|(part, quarantined)| (*part, quarantined))
    }

    /// Decides on evidence that has settled, forgets old evidence, and lifts the quarantine of parts that no
    /// request has had for long.
    pub fn expire(&mut self, now_ms: u64) -> Vec<QuarantineChange> {
        self.ends.expire(now_ms.saturating_sub(self.options.evidence_ttl_ms));
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < NOTICE_TTL_MS;
        self.cleared.retain(|_, at_ms| is_recent(*at_ms));
        self.alive.retain(|_, at_ms| is_recent(*at_ms));
        let idle_lift_ms = self.options.idle_lift_ms;
        self.lifted.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < idle_lift_ms);
        let mut changes = self.decide(now_ms);
        self.quarantined.retain(|part, quarantined| {
            let idle_ms = now_ms.saturating_sub(quarantined.last_request_at_ms);
            let is_kept = quarantined.is_pinned || idle_ms < idle_lift_ms;
            if !is_kept {
                changes.push(QuarantineChange::Lifted { part: *part });
            }
            is_kept
        });
        changes
    }

    /// Returns the state for other instances.
    pub fn digest(&self, now_ms: u64) -> QuarantineDigest {
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let aged = |times: &BTreeMap<u64, u64>| {
            let mut aged: Vec<(u64, u64)> =
                times.iter().map(|(key, at_ms)| (*key, age_ms(*at_ms))).collect();
            aged.sort_by_key(|(_, age_ms)| *age_ms);
            aged.truncate(digest::MAX_NOTICES);
            aged
        };
        let is_told = |end: &UpstreamEnd| {
            !end.parts.is_empty() && (!end.is_explained || age_ms(end.ended_at_ms) < NOTICE_TTL_MS)
        };
        let ends = self.ends.newest().into_iter().filter(|(_, end)| is_told(end));
        let ends: Vec<_> = ends.take(digest::MAX_ENDS).collect();
        let max_parts = digest::MAX_PARTS / ends.len().max(1);
        let ends = ends.into_iter().map(|(start, end)| EndDigest {
            service: end.service,
            start,
            age_ms: age_ms(end.ended_at_ms),
            parts: self.told_parts(end, max_parts),
        });
        let mut quarantined: Vec<_> = self.quarantined().collect();
        quarantined.sort_by_key(|(_, part)| std::cmp::Reverse(part.last_request_at_ms));
        let quarantined = quarantined.into_iter().take(digest::MAX_QUARANTINED);
        QuarantineDigest {
            ends: ends.collect(),
            cleared: aged(&self.cleared),
            begun: self.told_begun(now_ms),
            answers: self.told_answers(now_ms),
            alive: aged(&self.alive),
            quarantined: quarantined
                .map(|(part, quarantined)| QuarantinedDigest {
                    part,
                    age_ms: age_ms(quarantined.since_ms),
                    last_request_age_ms: age_ms(quarantined.last_request_at_ms),
                    starts: quarantined.starts,
                    is_pinned: quarantined.is_pinned,
                    is_request: quarantined.is_request,
                    had_answers: quarantined.had_answers,
                })
                .collect(),
            lifted: aged(&self.lifted),
        }
    }

    /// Returns the services with ends, and the ages of the latest answers that this instance has seen.
    fn told_answers(&self, now_ms: u64) -> Vec<(u64, u64)> {
        let services = self.ends.services().into_iter().take(digest::MAX_NOTICES);
        let told = services.filter_map(|service| {
            let begun_at_ms = self.own_answers.get(&service)?;
            Some((service, now_ms.saturating_sub(*begun_at_ms)))
        });
        told.collect()
    }

    /// Returns the items under several ends on which answers have begun, with their ages.
    fn told_begun(&self, now_ms: u64) -> Vec<(u64, u64)> {
        let supports = self.ends.supports(u64::MAX);
        let suspected = supports.into_iter().filter(|(_, support)| support.starts > 1);
        let mut begun: Vec<(u64, u64, usize)> = suspected
            .filter_map(|(item, support)| {
                let begun_at_ms = self.latest_begun_ms(item)?;
                Some((item, now_ms.saturating_sub(begun_at_ms), support.starts))
            })
            .collect();
        begun.sort_by_key(|(.., starts)| std::cmp::Reverse(*starts));
        begun.truncate(digest::MAX_NOTICES);
        begun.into_iter().map(|(item, age_ms, _)| (item, age_ms)).collect()
    }

    /// Returns the parts of an end that fit into a digest: the quarantined ones, which explain it, or those
    /// under which most starts have ended, and of these the ones late in their prompts, which the fewest
    /// requests share.
    fn told_parts(&self, end: &UpstreamEnd, max_parts: usize) -> Vec<(u64, u8)> {
        let parts = end.parts.iter().map(|(part, position)| (*part, *position));
        let mut parts: Vec<(u64, u8)> = match end.is_explained {
            true => parts.filter(|(part, _)| self.quarantined.contains_key(part)).collect(),
            false => parts.collect(),
        };
        if parts.len() > max_parts {
            let key = |(part, position): &(u64, u8)| (self.ends.count(*part), *position);
            parts.sort_by_cached_key(|part| std::cmp::Reverse(key(part)));
            parts.truncate(max_parts);
        }
        parts
    }

    /// Merges the state of another instance.
    ///
    /// # Errors
    /// The digest breaks a limit; nothing of it was merged.
    pub fn merge(
        &mut self,
        digest: &QuarantineDigest,
        now_ms: u64,
    ) -> Result<Vec<QuarantineChange>, MergeError> {
        digest.check(self.options.min_starts)?;
        let at_ms = |age_ms: u64| now_ms.saturating_sub(age_ms);
        let mut changes = Vec::new();
        for (part, age_ms) in &digest.lifted {
            self.merge_lift(*part, at_ms(*age_ms), &mut changes);
        }
        for quarantined in &digest.quarantined {
            self.merge_quarantined(quarantined, now_ms, &mut changes);
        }
        for (item, _) in &digest.begun {
            // Only whether there was an answer is told: as the age is passed on, it would shrink by each
            // delay.
            self.begun_table(*item).record(*item, TOLD_BEGUN_MS);
        }
        for (part, age_ms) in &digest.cleared {
            if self.begun_table(*part).record(*part, at_ms(*age_ms)) {
                self.clear_part(*part, at_ms(*age_ms), now_ms);
                self.lift_disproved(*part, at_ms(*age_ms), &mut changes);
            }
        }
        for (service, age_ms) in &digest.answers {
            self.service_begun.record(*service, at_ms(*age_ms));
        }
        for (start, age_ms) in &digest.alive {
            if *age_ms < NOTICE_TTL_MS {
                self.ends.remove_until(*start, at_ms(*age_ms));
                insert_bounded(&mut self.alive, *start, at_ms(*age_ms));
            }
        }
        for end in &digest.ends {
            let is_recent = end.age_ms < self.options.evidence_ttl_ms;
            if is_recent && !self.is_alive_since(end.start, at_ms(end.age_ms)) {
                self.add_end(end.service, end.start, at_ms(end.age_ms), &end.parts);
            }
        }
        changes.extend(self.decide(now_ms));
        Ok(changes)
    }

    fn merge_lift(&mut self, part: u64, lifted_at_ms: u64, changes: &mut Vec<QuarantineChange>) {
        if self.lifted.get(&part).is_some_and(|known| *known >= lifted_at_ms) {
            return;
        }
        let is_later = |known: &QuarantinedPart| known.since_ms > lifted_at_ms;
        if self.quarantined.get(&part).is_some_and(is_later) {
            return;
        }
        if self.lift(part, lifted_at_ms) {
            changes.push(QuarantineChange::Lifted { part });
        }
    }

    /// Lifts the quarantine of a part on which an answer has begun since. The instance that has
    /// quarantined it did not know of answers on it.
    fn lift_disproved(&mut self, part: u64, begun_at_ms: u64, changes: &mut Vec<QuarantineChange>) {
        let is_disproved =
            |known: &QuarantinedPart| !known.is_pinned && begun_at_ms > known.since_ms;
        if self.quarantined.get(&part).is_some_and(is_disproved) {
            self.quarantined.remove(&part);
            let quarantined = &self.quarantined;
            self.ends.exonerate(part, |other| quarantined.contains_key(&other));
            insert_bounded(&mut self.cleared, part, begun_at_ms);
            changes.push(QuarantineChange::Lifted { part });
        }
    }

    fn merge_quarantined(
        &mut self,
        told: &QuarantinedDigest,
        now_ms: u64,
        changes: &mut Vec<QuarantineChange>,
    ) {
        let since_ms = now_ms.saturating_sub(told.age_ms);
        let last_request_at_ms = now_ms.saturating_sub(told.last_request_age_ms);
        if let Some(known) = self.quarantined.get_mut(&told.part) {
            known.last_request_at_ms = known.last_request_at_ms.max(last_request_at_ms);
            known.starts = known.starts.max(told.starts);
            known.is_pinned |= told.is_pinned;
            known.is_request |= told.is_request;
            known.had_answers |= told.had_answers;
            return;
        }
        let is_lifted = self.lifted.get(&told.part).is_some_and(|at_ms| *at_ms >= since_ms);
        let is_idle = !told.is_pinned && told.last_request_age_ms >= self.options.idle_lift_ms;
        if is_lifted || is_idle {
            return;
        }
        // The other instance may not know of answers on the part. Its evidence is merged, too.
        if let Some(begun_at_ms) = self.latest_begun_ms(told.part)
            && !told.is_pinned
        {
            if begun_at_ms > since_ms {
                insert_bounded(&mut self.cleared, told.part, begun_at_ms);
                return;
            }
            // A verdict on a whole request takes the answers on it into account.
            if !(told.is_request && told.had_answers) {
                return;
            }
        }
        let quarantined = QuarantinedPart {
            since_ms,
            last_request_at_ms,
            starts: told.starts,
            is_pinned: told.is_pinned,
            is_request: told.is_request,
            had_answers: told.had_answers,
        };
        if self.insert(told.part, quarantined) {
            changes.push(QuarantineChange::Told { part: told.part });
        }
    }

    /// Quarantines a part, which explains the ends under it. Returns false if there are too many.
    fn insert(&mut self, part: u64, quarantined: QuarantinedPart) -> bool {
        if self.quarantined.len() >= MAX_QUARANTINED && !self.quarantined.contains_key(&part) {
            return false;
        }
        self.quarantined.insert(part, quarantined);
        self.ends.explain(part);
        true
    }

    /// Adds the parts that are still suspected to an end. An end under a quarantined part says nothing of
    /// the other parts.
    fn add_end(&mut self, service: u64, start: u64, ended_at_ms: u64, parts: &[(u64, u8)]) {
        let mut suspected = Vec::with_capacity(parts.len());
        for (part, position) in parts {
            if self.lifted.get(part).is_some_and(|lifted_at_ms| *lifted_at_ms >= ended_at_ms) {
                continue;
            }
            let is_quarantined = self.quarantined.contains_key(part);
            let begun_at_ms = self.latest_begun_ms(*part);
            match begun_at_ms.filter(|begun_at_ms| !is_quarantined && *begun_at_ms > ended_at_ms) {
                // Told again, as the instance that has recorded this end may not know.
                Some(begun_at_ms) => insert_bounded(&mut self.cleared, *part, begun_at_ms),
                None => suspected.push((*part, *position)),
            }
        }
        self.ends.add(service, start, ended_at_ms, &suspected);
        for (part, _) in parts.iter().filter(|(part, _)| self.quarantined.contains_key(part)) {
            self.ends.explain(*part);
        }
    }

    fn clear_part(&mut self, part: u64, begun_at_ms: u64, now_ms: u64) {
        let is_suspected = self.ends.count(part) > 0;
        if is_suspected {
            self.ends.clear_part(part, begun_at_ms);
            insert_bounded(&mut self.cleared, part, begun_at_ms.min(now_ms));
        }
    }

    fn is_alive_since(&self, start: u64, ended_at_ms: u64) -> bool {
        self.alive.get(&start).is_some_and(|alive_at_ms| *alive_at_ms >= ended_at_ms)
    }

    /// Quarantines the parts with sufficient evidence. Of several, the one latest in its prompts comes
    /// first, as the fewest requests share it; the ends that it explains are no evidence against the
    /// others.
    fn decide(&mut self, now_ms: u64) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        while let Some((part, support)) = self.find_part(now_ms) {
            let quarantined = QuarantinedPart {
                since_ms: now_ms,
                last_request_at_ms: now_ms,
                starts: support.starts as u64,
                is_pinned: false,
                is_request: support.position == REQUEST_POSITION,
                had_answers: self.latest_begun_ms(part).is_some(),
            };
            if !self.insert(part, quarantined) {
                break;
            }
            let (starts, span_ms) = (support.starts as u64, support.span_ms());
            changes.push(QuarantineChange::Found { part, starts, span_ms });
        }
        changes
    }

    fn find_part(&self, now_ms: u64) -> Option<(u64, Support)> {
        if self.ends.is_empty() {
            return None;
        }
        let options = &self.options;
        let latest = self.ends.supports(u64::MAX);
        let founded = latest.into_iter().filter_map(|(part, latest)| {
            if latest.starts < options.min_starts {
                return None;
            }
            let support = |until_ms: u64, min_starts: usize| {
                let (common_cause_ms, divisor) =
                    (options.common_cause_ms, options.common_cause_divisor);
                let support =
                    self.ends.specific_support(part, until_ms, common_cause_ms, divisor)?;
                let is_founded =
                    support.starts >= min_starts && support.span_ms() >= options.min_span_ms;
                is_founded.then_some(support)
            };
            let settled_ms = now_ms.saturating_sub(options.settle_ms);
            if latest.position == REQUEST_POSITION {
                return self.judge_request(part, &latest, settled_ms).map(|s| (part, s));
            }
            let founded = match self.latest_begun_ms(part) {
                // Answers of the service that go on to begin on other parts show that a part in most
                // requests is not just one of many that its upstreams can't answer at the moment.
                Some(_) => support(settled_ms, options.min_starts_certain).filter(|support| {
                    let is_repeated = support.events >= options.min_events;
                    let certain = self.ends.nth_time_ms(part, options.min_starts_certain);
                    is_repeated
                        && certain.is_some_and(|certain_ms| {
                            let begun = &self.service_begun;
                            let after_ms = certain_ms + options.common_cause_ms;
                            begun.count_after(support.service, after_ms) >= options.min_answers
                        })
                }),
                None => support(settled_ms, options.min_starts),
            };
            founded.map(|support| (part, support))
        });
        founded.max_by_key(|(part, support)| (support.position, support.starts, *part))
    }

    /// Returns the evidence against a whole request if it is sufficient.
    fn judge_request(&self, request: u64, latest: &Support, settled_ms: u64) -> Option<Support> {
        let options = &self.options;
        let support = self.ends.specific_support(
            request,
            settled_ms,
            options.common_cause_ms,
            options.common_cause_divisor,
        )?;
        if support.starts < options.min_starts || self.is_ambiguous(request) {
            return None;
        }
        let is_blamed = match self.latest_begun_ms(request) {
            // The latest end need not have settled: it only shows that the others are no single event.
            None => latest.span_ms() >= options.min_span_ms,
            // When all upstreams of a service end at once, nothing clears the requests that come again
            // and again. Answers on others between the ends show that there was more than one cause.
            Some(_) => {
                let after_ms = support.first_ms + options.common_cause_ms;
                let answers =
                    self.service_begun.count_between(support.service, after_ms, support.last_ms);
                support.events >= options.min_events && answers >= options.min_answers
            }
        };
        is_blamed.then_some(support)
    }

    /// Returns whether another request explains the ends under this one as well. One on which answers have
    /// begun before explains them less well.
    fn is_ambiguous(&self, request: u64) -> bool {
        let has_answers = |item: u64| self.latest_begun_ms(item).is_some();
        let mut others = self.ends.requests_beside(request).into_iter();
        others.any(|other| !has_answers(other) || has_answers(request))
    }
}

/// Adds a time, or moves it forward; the oldest ones make room.
fn insert_bounded(times: &mut BTreeMap<u64, u64>, key: u64, at_ms: u64) {
    let known = times.entry(key).or_insert(at_ms);
    *known = (*known).max(at_ms);
    if times.len() > digest::MAX_NOTICES
        && let Some(oldest) = times.iter().min_by_key(|(_, at_ms)| **at_ms).map(|(key, _)| *key)
    {
        times.remove(&oldest);
    }
}
