//! The decision which parts are quarantined.

use std::collections::BTreeMap;

use crate::digest::{self, EndDigest, MergeError, QuarantineDigest, QuarantinedDigest};
use crate::evidence::{BegunParts, ServiceAnswers, Support, UpstreamEnd, UpstreamEnds};
use crate::options::QuarantineOptions;

/// Quarantined parts that are kept.
const MAX_QUARANTINED: usize = 256;
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

/// Evidence against parts of prompts, and the quarantined parts. All state is bounded.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    options: QuarantineOptions,
    ends: UpstreamEnds,
    begun: BegunParts,
    /// Times at which answers of each service have begun on any parts.
    service_begun: ServiceAnswers,
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

    /// Records that an attempt broke at a start of an upstream of a service before its answer was well
    /// begun. `parts` are the parts of its prompt in order, without the last one.
    pub fn record_broken_beginning(
        &mut self,
        service: u64,
        start: u64,
        parts: &[u64],
        now_ms: u64,
    ) -> Vec<QuarantineChange> {
        if self.is_alive_since(start, now_ms) {
            return Vec::new();
        }
        let parts: Vec<(u64, u8)> = parts
            .iter()
            .enumerate()
            .map(|(position, part)| (*part, u8::try_from(position).unwrap_or(u8::MAX)))
            .collect();
        self.add_end(service, start, now_ms, &parts);
        self.decide(now_ms)
    }

    /// Records that an answer of a service on these parts is well begun or complete. `begun_at_ms` is the
    /// time of its first bytes.
    pub fn record_begun(
        &mut self,
        service: u64,
        parts: &[u64],
        begun_at_ms: u64,
        now_ms: u64,
    ) -> Vec<QuarantineChange> {
        self.service_begun.record(service, begun_at_ms);
        let mut changes = Vec::new();
        for part in parts {
            if self.begun.record(*part, begun_at_ms) {
                self.clear_part(*part, begun_at_ms, now_ms);
                self.lift_disproved(*part, begun_at_ms, &mut changes);
            }
        }
        changes
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

    /// Returns the first quarantined part of a request, and notes that it was asked for. `parts` are the
    /// parts of its prompt, without the last one.
    pub fn check(&mut self, parts: &[u64], now_ms: u64) -> Option<u64> {
        let part = parts.iter().copied().find(|part| self.quarantined.contains_key(part))?;
        if let Some(quarantined) = self.quarantined.get_mut(&part) {
            quarantined.last_request_at_ms = now_ms;
        }
        Some(part)
    }

    /// Returns whether one of the parts is quarantined, or more than one start has ended under it.
    pub fn is_suspected(&self, parts: &[u64]) -> bool {
        parts.iter().any(|part| self.quarantined.contains_key(part) || self.ends.count(*part) > 1)
    }

    /// Quarantines a part until an operator lifts it. Returns false if too many parts are quarantined.
    pub fn pin(&mut self, part: u64, now_ms: u64) -> bool {
        let known = self.quarantined.get(&part).copied();
        let known = known.unwrap_or(QuarantinedPart {
            since_ms: now_ms,
            last_request_at_ms: now_ms,
            starts: 0,
            is_pinned: true,
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
            alive: aged(&self.alive),
            quarantined: quarantined
                .map(|(part, quarantined)| QuarantinedDigest {
                    part,
                    age_ms: age_ms(quarantined.since_ms),
                    last_request_age_ms: age_ms(quarantined.last_request_at_ms),
                    starts: quarantined.starts,
                    is_pinned: quarantined.is_pinned,
                })
                .collect(),
            lifted: aged(&self.lifted),
        }
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
        for (part, age_ms) in &digest.cleared {
            if self.begun.record(*part, at_ms(*age_ms)) {
                self.clear_part(*part, at_ms(*age_ms), now_ms);
                self.lift_disproved(*part, at_ms(*age_ms), &mut changes);
            }
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
            return;
        }
        let is_lifted = self.lifted.get(&told.part).is_some_and(|at_ms| *at_ms >= since_ms);
        let is_idle = !told.is_pinned && told.last_request_age_ms >= self.options.idle_lift_ms;
        if is_lifted || is_idle {
            return;
        }
        // The other instance may not know of answers on the part. Its evidence is merged, too.
        if let Some(begun_at_ms) = self.begun.latest_ms(told.part)
            && !told.is_pinned
        {
            if begun_at_ms > since_ms {
                insert_bounded(&mut self.cleared, told.part, begun_at_ms);
            }
            return;
        }
        let quarantined = QuarantinedPart {
            since_ms,
            last_request_at_ms,
            starts: told.starts,
            is_pinned: told.is_pinned,
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
            let begun_at_ms = self.begun.latest_ms(*part);
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
            let founded = match self.begun.latest_ms(part) {
                // Answers of the service that go on to begin on other parts show that a part in most
                // requests is not just one of many that its upstreams can't answer at the moment.
                Some(_) => support(settled_ms, options.min_starts_certain).filter(|support| {
                    let certain = self.ends.nth_time_ms(part, options.min_starts_certain);
                    certain.is_some_and(|certain_ms| {
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
