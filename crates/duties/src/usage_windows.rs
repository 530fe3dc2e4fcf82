//! Executed requests, counted per organisation and time window.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

/// Number of windows that are retained; a window is reported long before it is evicted.
const RETAINED_WINDOWS: usize = 10;

/// Executions that started in one window.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// Index of the window: its start in milliseconds since the Unix epoch, divided by the window's
    /// length.
    #[serde(rename = "w")]
    pub window: u64,
    /// Executions per organisation.
    #[serde(rename = "c")]
    pub counts: BTreeMap<String, u64>,
}

/// Executions that this process started, per window and organisation.
#[derive(Clone, Debug)]
pub struct UsageWindows {
    window_ms: u64,
    windows: BTreeMap<u64, BTreeMap<String, u64>>,
}

impl UsageWindows {
    /// Creates an empty counter with windows of `window_ms` milliseconds; 0 counts as 1.
    pub fn new(window_ms: u64) -> Self {
        Self { window_ms: window_ms.max(1), windows: BTreeMap::new() }
    }

    /// Counts an execution that started at `wall_ms`, the estimated Unix time in milliseconds.
    /// Evicts the oldest window beyond the retained ones.
    pub fn add(&mut self, organisation: &str, wall_ms: u64) {
        let window = self.windows.entry(wall_ms / self.window_ms).or_default();
        match window.get_mut(organisation) {
            Some(count) => *count += 1,
            None => {
                window.insert(organisation.to_owned(), 1);
            }
        }
        while self.windows.len() > RETAINED_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Returns up to `limit` windows, newest first, for broadcast to peers.
    pub fn newest(&self, limit: usize) -> Vec<WindowCounts> {
        let newest = self.windows.iter().rev().take(limit);
        newest
            .map(|(window, counts)| WindowCounts { window: *window, counts: counts.clone() })
            .collect()
    }
}

/// Whose executions a report counts.
#[derive(Clone, Copy, Debug)]
pub struct UsageSource<'a> {
    /// The availability zone.
    pub availability_zone: &'a str,
    /// The instance and its boot number; `None` for the sum of all instances in the zone. Each start of a
    /// process has its own boot number, so that a new process does not overwrite its predecessor's
    /// counts.
    pub process: Option<(&'a str, u64)>,
}

/// Counts by window and organisation.
type Counts = BTreeMap<u64, BTreeMap<String, u64>>;

/// Executions of all processes, as far as their broadcasts have been received.
#[derive(Clone, Debug, Default)]
pub struct FleetUsage {
    zones: HashMap<String, ZoneUsage>,
}

/// Executions in one availability zone.
#[derive(Clone, Debug, Default)]
struct ZoneUsage {
    /// Counts by instance and boot number.
    processes: HashMap<(String, u64), Counts>,
    /// The highest sums of all processes that were reported.
    sums: Counts,
}

impl ZoneUsage {
    /// Returns the executions in `window`. The counts of the processes that have been heard and each sum
    /// are lower bounds, whichever way the processes report, so the highest one applies.
    fn total(&self, window: u64) -> BTreeMap<String, u64> {
        let mut total: BTreeMap<String, u64> = BTreeMap::new();
        for counts in self.processes.values().filter_map(|windows| windows.get(&window)) {
            for (organisation, count) in counts {
                *total.entry(organisation.clone()).or_default() += count;
            }
        }
        for (organisation, count) in self.sums.get(&window).into_iter().flatten() {
            let highest = total.entry(organisation.clone()).or_default();
            *highest = (*highest).max(*count);
        }
        total
    }

    fn windows(&self) -> impl Iterator<Item = u64> {
        let reported = self.processes.values().chain(std::iter::once(&self.sums));
        reported.flat_map(|windows| windows.keys().copied())
    }
}

fn merge_counts(known: &mut Counts, windows: &[WindowCounts]) {
    for window in windows {
        let counts = known.entry(window.window).or_default();
        for (organisation, count) in &window.counts {
            let highest = counts.entry(organisation.clone()).or_default();
            *highest = (*highest).max(*count);
        }
    }
    while known.len() > RETAINED_WINDOWS {
        known.pop_first();
    }
}

impl FleetUsage {
    /// Merges reported counts. They only grow and the larger one wins, so duplicated and reordered messages
    /// have no effect.
    pub fn merge(&mut self, source: &UsageSource<'_>, windows: &[WindowCounts]) {
        let zone = self.zones.entry(source.availability_zone.to_owned()).or_default();
        match source.process {
            None => merge_counts(&mut zone.sums, windows),
            Some((instance, boot)) => {
                let known = zone.processes.entry((instance.to_owned(), boot)).or_default();
                merge_counts(known, windows);
            }
        }
    }

    /// Returns the executions per organisation in `window`, summed over all processes.
    pub fn total(&self, window: u64) -> BTreeMap<String, u64> {
        let mut total: BTreeMap<String, u64> = BTreeMap::new();
        for (organisation, count) in self.zones.values().flat_map(|zone| zone.total(window)) {
            *total.entry(organisation).or_default() += count;
        }
        total
    }

    /// Returns the totals of up to `limit` windows, newest first.
    pub fn newest_totals(&self, limit: usize) -> Vec<WindowCounts> {
        let windows: BTreeSet<u64> = self.zones.values().flat_map(ZoneUsage::windows).collect();
        let newest = windows.into_iter().rev().take(limit);
        newest.map(|window| WindowCounts { window, counts: self.total(window) }).collect()
    }

    /// Returns the newest window with a count; `None` without one.
    pub fn newest_window(&self) -> Option<u64> {
        self.zones.values().flat_map(ZoneUsage::windows).max()
    }

    /// Evicts processes and sums whose newest window precedes `window`.
    pub fn evict_before(&mut self, window: u64) {
        let is_newer = |windows: &Counts| {
            windows.last_key_value().is_some_and(|(newest, _)| *newest >= window)
        };
        for zone in self.zones.values_mut() {
            zone.processes.retain(|_, windows| is_newer(windows));
            if !is_newer(&zone.sums) {
                zone.sums.clear();
            }
        }
        self.zones.retain(|_, zone| !zone.processes.is_empty() || !zone.sums.is_empty());
    }
}
