//! Ends of starts of upstreams, and the parts on which answers have begun.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::items::REQUEST_POSITION;

/// Ends that are kept.
pub const MAX_ENDS: usize = 64;
/// Parts that are kept for each end.
pub const MAX_PARTS_PER_END: usize = 64;
/// Parts whose latest begun answer is kept.
const MAX_BEGUN_PARTS: usize = 4_096;

/// Services whose answers are kept.
const MAX_SERVICES: usize = 64;
/// Answers that are kept for each service.
const MAX_ANSWERS_PER_SERVICE: usize = 256;
/// Shortest time between two of these.
const MIN_ANSWER_INTERVAL_MS: u64 = 50;

/// Longest gap between ends of the same event, such as the loss of a host.
const MAX_EVENT_GAP_MS: u64 = 150;

/// The end of one start of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEnd {
    /// Hash of the service of the upstream.
    pub service: u64,
    /// Time at which the first attempt broke.
    pub ended_at_ms: u64,
    /// Parts of the attempts that broke before their answer was well begun, with their largest
    /// position in a prompt.
    pub parts: BTreeMap<u64, u8>,
    /// Whether one of the parts is quarantined, so that the end says nothing of the others.
    pub is_explained: bool,
}

/// The latest times at which answers began on parts. The parts that were added first are forgotten
/// first.
#[derive(Clone, Debug, Default)]
pub struct BegunParts {
    begun_at_ms: HashMap<u64, u64>,
    order: VecDeque<u64>,
}

impl BegunParts {
    /// Records an answer; returns whether it is the latest one on this part.
    pub fn record(&mut self, part: u64, begun_at_ms: u64) -> bool {
        if let Some(known) = self.begun_at_ms.get_mut(&part) {
            let is_later = begun_at_ms > *known;
            *known = begun_at_ms.max(*known);
            return is_later;
        }
        if self.order.len() >= MAX_BEGUN_PARTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.begun_at_ms.remove(&oldest);
        }
        self.order.push_back(part);
        self.begun_at_ms.insert(part, begun_at_ms);
        true
    }

    /// Returns the time of the latest answer.
    pub fn latest_ms(&self, part: u64) -> Option<u64> {
        self.begun_at_ms.get(&part).copied()
    }
}

/// The latest times at which answers of each service began on any parts.
#[derive(Clone, Debug, Default)]
pub struct ServiceAnswers {
    begun_at_ms: BTreeMap<u64, VecDeque<u64>>,
}

impl ServiceAnswers {
    /// Records an answer.
    pub fn record(&mut self, service: u64, begun_at_ms: u64) {
        if self.begun_at_ms.len() >= MAX_SERVICES && !self.begun_at_ms.contains_key(&service) {
            self.begun_at_ms.pop_first();
        }
        let times = self.begun_at_ms.entry(service).or_default();
        if times.back().is_some_and(|latest_ms| begun_at_ms < latest_ms + MIN_ANSWER_INTERVAL_MS) {
            return;
        }
        if times.len() >= MAX_ANSWERS_PER_SERVICE {
            times.pop_front();
        }
        times.push_back(begun_at_ms);
    }

    /// Returns the number of known answers between two times.
    pub fn count_between(&self, service: u64, after_ms: u64, before_ms: u64) -> usize {
        let times = self.begun_at_ms.get(&service);
        let in_between = |at_ms: &&u64| **at_ms > after_ms && **at_ms < before_ms;
        times.map_or(0, |times| times.iter().filter(in_between).count())
    }

    /// Returns the number of known answers after `after_ms`.
    pub fn count_after(&self, service: u64, after_ms: u64) -> usize {
        let times = self.begun_at_ms.get(&service);
        times.map_or(0, |times| times.iter().filter(|at_ms| **at_ms > after_ms).count())
    }
}

/// The ends of starts. Those that a quarantined part explains are kept, as other instances may tell them
/// without that part.
#[derive(Clone, Debug, Default)]
pub struct UpstreamEnds {
    ends: BTreeMap<u64, UpstreamEnd>,
}

impl UpstreamEnds {
    /// Adds parts to the end of a start. Returns whether anything is new.
    pub fn add(&mut self, service: u64, start: u64, ended_at_ms: u64, parts: &[(u64, u8)]) -> bool {
        if !self.ends.contains_key(&start) && self.ends.len() >= MAX_ENDS {
            let oldest = self.ends.iter().min_by_key(|(_, end)| end.ended_at_ms);
            let Some((oldest, oldest_at_ms)) = oldest.map(|(start, end)| (*start, end.ended_at_ms))
            else {
                return false;
            };
            if ended_at_ms <= oldest_at_ms {
                return false;
            }
            self.ends.remove(&oldest);
        }
        let is_known = self.ends.contains_key(&start);
        let end = self.ends.entry(start).or_insert_with(|| UpstreamEnd {
            service,
            ended_at_ms,
            parts: BTreeMap::new(),
            is_explained: false,
        });
        end.ended_at_ms = end.ended_at_ms.min(ended_at_ms);
        let mut is_new = !is_known;
        for (part, position) in parts {
            if let Some(known) = end.parts.get_mut(part) {
                *known = (*known).max(*position);
            } else if end.parts.len() < MAX_PARTS_PER_END {
                end.parts.insert(*part, *position);
                is_new = true;
            }
        }
        is_new
    }

    /// Returns the end of a start.
    pub fn get(&self, start: u64) -> Option<&UpstreamEnd> {
        self.ends.get(&start)
    }

    /// Removes the end of a start.
    pub fn remove(&mut self, start: u64) {
        self.ends.remove(&start);
    }

    /// Removes the end of a start that was still alive at `alive_at_ms`.
    pub fn remove_until(&mut self, start: u64, alive_at_ms: u64) {
        if self.ends.get(&start).is_some_and(|end| end.ended_at_ms <= alive_at_ms) {
            self.ends.remove(&start);
        }
    }

    /// Removes a part from the ends before `begun_at_ms`.
    pub fn clear_part(&mut self, part: u64, begun_at_ms: u64) {
        for end in self.ends.values_mut().filter(|end| end.ended_at_ms < begun_at_ms) {
            end.parts.remove(&part);
        }
    }

    /// Marks the ends that a quarantined part explains.
    pub fn explain(&mut self, part: u64) {
        for end in self.ends.values_mut().filter(|end| end.parts.contains_key(&part)) {
            end.is_explained = true;
        }
    }

    /// Takes a part out of the ends, and counts those that no other quarantined part explains again.
    pub fn exonerate(&mut self, part: u64, is_quarantined: impl Fn(u64) -> bool) {
        for end in self.ends.values_mut() {
            if end.parts.remove(&part).is_some() {
                end.is_explained = end.parts.keys().any(|other| is_quarantined(*other));
            }
        }
    }

    /// Removes the ends under a part.
    pub fn remove_part(&mut self, part: u64) {
        self.ends.retain(|_, end| !end.parts.contains_key(&part));
    }

    /// Removes the ends before `expired_before_ms`.
    pub fn expire(&mut self, expired_before_ms: u64) {
        self.ends.retain(|_, end| end.ended_at_ms >= expired_before_ms);
    }

    /// Returns whether there are no ends.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the ends, newest first.
    pub fn newest(&self) -> Vec<(u64, &UpstreamEnd)> {
        let mut ends: Vec<_> = self.ends.iter().map(|(start, end)| (*start, end)).collect();
        ends.sort_by_key(|(start, end)| (std::cmp::Reverse(end.ended_at_ms), *start));
        ends
    }

    /// Returns the number of ends under a part.
    pub fn count(&self, part: u64) -> usize {
        self.unexplained().filter(|end| end.parts.contains_key(&part)).count()
    }

    fn unexplained(&self) -> impl Iterator<Item = &UpstreamEnd> {
        self.ends.values().filter(|end| !end.is_explained)
    }

    /// Returns the evidence against a part, from all ends.
    pub fn support(&self, part: u64) -> Option<Support> {
        let ends = self.unexplained();
        ends.fold(None, |support, end| match end.parts.get(&part) {
            Some(position) => Some(Support::add(support, end, *position)),
            None => support,
        })
    }

    /// Returns the services of the ends that no quarantined part explains.
    pub fn services(&self) -> BTreeSet<u64> {
        self.unexplained().map(|end| end.service).collect()
    }

    /// Returns whether an item under any end is a whole request.
    pub fn is_request(&self, item: u64) -> bool {
        self.ends.values().any(|end| end.parts.get(&item) == Some(&REQUEST_POSITION))
    }

    /// Returns the other whole requests that are in all ends under a request.
    pub fn requests_beside(&self, request: u64) -> Vec<u64> {
        let mut ends = self.unexplained().filter(|end| end.parts.contains_key(&request));
        let Some(first) = ends.next() else { return Vec::new() };
        let is_request =
            |(item, position): &(&u64, &u8)| **item != request && **position == REQUEST_POSITION;
        let mut beside: Vec<u64> =
            first.parts.iter().filter(is_request).map(|(item, _)| *item).collect();
        for end in ends {
            beside.retain(|item| end.parts.contains_key(item));
        }
        beside
    }

    /// Returns the time of the `n`-th end under a part, counted from 1.
    pub fn nth_time_ms(&self, part: u64, n: usize) -> Option<u64> {
        let ends = self.unexplained().filter(|end| end.parts.contains_key(&part));
        let mut times_ms: Vec<u64> = ends.map(|end| end.ended_at_ms).collect();
        times_ms.sort_unstable();
        times_ms.get(n.checked_sub(1)?).copied()
    }

    /// Returns the evidence against each part, from the ends until `until_ms`.
    pub fn supports(&self, until_ms: u64) -> BTreeMap<u64, Support> {
        let mut supports = BTreeMap::new();
        for end in self.unexplained().filter(|end| end.ended_at_ms <= until_ms) {
            for (part, position) in &end.parts {
                let support = supports.get(part).copied();
                supports.insert(*part, Support::add(support, end, *position));
            }
        }
        supports
    }

    /// Returns the evidence against a part, from the ends until `until_ms`, without those around which,
    /// within `common_cause_ms`, less than one of `divisor` was under the part.
    pub fn specific_support(
        &self,
        part: u64,
        until_ms: u64,
        common_cause_ms: u64,
        divisor: usize,
    ) -> Option<Support> {
        let is_specific = |end: &&UpstreamEnd| {
            let (mut with_part, mut all) = (0, 0);
            for other in self.unexplained() {
                if other.ended_at_ms.abs_diff(end.ended_at_ms) <= common_cause_ms {
                    all += 1;
                    with_part += usize::from(other.parts.contains_key(&part));
                }
            }
            with_part * divisor >= all
        };
        let ends = self.unexplained().filter(|end| end.ended_at_ms <= until_ms);
        let ends = ends.filter(|end| end.parts.contains_key(&part)).filter(is_specific);
        let mut times_ms = Vec::new();
        let support = ends.fold(None, |support, end| {
            let position = end.parts.get(&part).copied().unwrap_or_default();
            times_ms.push(end.ended_at_ms);
            Some(Support::add(support, end, position))
        })?;
        times_ms.sort_unstable();
        let later = times_ms.windows(2).filter(|pair| pair[1] - pair[0] > MAX_EVENT_GAP_MS);
        Some(Support { events: 1 + later.count(), ..support })
    }
}

/// Evidence against a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Support {
    /// Hash of the service of the upstreams that ended; that of any of them if they differ.
    pub service: u64,
    /// Starts that ended under the part.
    pub starts: usize,
    /// Groups of ends with longer gaps between them than within them; 1 if not counted.
    pub events: usize,
    /// Time of the first of these ends.
    pub first_ms: u64,
    /// Time of the last of these ends.
    pub last_ms: u64,
    /// Largest position of the part in a prompt.
    pub position: u8,
}

impl Support {
    fn add(support: Option<Self>, end: &UpstreamEnd, position: u8) -> Self {
        let (first_ms, last_ms) = (end.ended_at_ms, end.ended_at_ms);
        let service = end.service;
        let known =
            support.unwrap_or(Self { service, starts: 0, events: 1, first_ms, last_ms, position });
        Self {
            service,
            starts: known.starts + 1,
            events: 1,
            first_ms: known.first_ms.min(first_ms),
            last_ms: known.last_ms.max(last_ms),
            position: known.position.max(position),
        }
    }

    /// Time between the first and the last end.
    pub fn span_ms(&self) -> u64 {
        self.last_ms - self.first_ms
    }
}
