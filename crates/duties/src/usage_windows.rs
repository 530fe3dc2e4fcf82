//! Runs by organisation and window.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

/// Windows that are kept; a report is due long before.
const WINDOWS_KEPT: usize = 10;

/// Runs that began in one window.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// The window's number.
    #[serde(rename = "w")]
    pub window: u64,
    /// Runs by organisation.
    #[serde(rename = "c")]
    pub counts: BTreeMap<String, u64>,
}

/// Runs that began at this process's requests.
#[derive(Clone, Debug)]
pub struct UsageWindows {
    window_ms: u64,
    windows: BTreeMap<u64, BTreeMap<String, u64>>,
}

impl UsageWindows {
    /// Creates empty windows.
    pub fn new(window_ms: u64) -> Self {
        Self { window_ms: window_ms.max(1), windows: BTreeMap::new() }
    }

    /// Counts a run that began at this true time.
    pub fn add(&mut self, organisation: &str, true_ms: u64) {
        let window = self.windows.entry(true_ms / self.window_ms).or_default();
        match window.get_mut(organisation) {
            Some(count) => *count += 1,
            None => {
                window.insert(organisation.to_owned(), 1);
            }
        }
        while self.windows.len() > WINDOWS_KEPT {
            self.windows.pop_first();
        }
    }

    /// The newest windows, for peers.
    pub fn newest(&self, most: usize) -> Vec<WindowCounts> {
        let newest = self.windows.iter().rev().take(most);
        newest
            .map(|(window, counts)| WindowCounts { window: *window, counts: counts.clone() })
            .collect()
    }
}

/// Runs of all processes, as far as they have told.
#[derive(Clone, Debug, Default)]
pub struct FleetUsage {
    /// By instance and the number of its start: processes that have ended count too.
    processes: HashMap<(String, u64), BTreeMap<u64, BTreeMap<String, u64>>>,
}

impl FleetUsage {
    /// Takes a process's counts. Counts only grow, so repeats and reordering change nothing.
    pub fn take(&mut self, instance: &str, boot: u64, windows: &[WindowCounts]) {
        let known = self.processes.entry((instance.to_owned(), boot)).or_default();
        for window in windows {
            let counts = known.entry(window.window).or_default();
            for (organisation, count) in &window.counts {
                let most = counts.entry(organisation.clone()).or_default();
                *most = (*most).max(*count);
            }
        }
        while known.len() > WINDOWS_KEPT {
            known.pop_first();
        }
    }

    /// Adds up one window.
    pub fn total(&self, window: u64) -> BTreeMap<String, u64> {
        let mut total: BTreeMap<String, u64> = BTreeMap::new();
        for counts in self.processes.values().filter_map(|windows| windows.get(&window)) {
            for (organisation, count) in counts {
                *total.entry(organisation.clone()).or_default() += count;
            }
        }
        total
    }

    /// Forgets processes that have nothing at or after this window.
    pub fn forget_before(&mut self, window: u64) {
        self.processes.retain(|_, windows| {
            windows.last_key_value().is_some_and(|(newest, _)| *newest >= window)
        });
    }
}
