//! Instances, and what each of them knows of the others.

use std::collections::{BTreeSet, HashMap};

use hickorycourse_permits::{PermitIssuer, choose_issuer};

use super::LimitPattern;

/// Zones of the instances, in turn.
pub const ZONES: usize = 4;

/// Permits of one instance at one upstream, without an issuer.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    pub level: f64,
    pub filled_at_ms: u64,
}

/// A simulated instance.
pub struct Instance {
    /// Whether its process exists.
    pub is_running: bool,
    /// Time until which it does nothing.
    pub frozen_until_ms: u64,
    /// Time until which its requests do not count, as it is or was disturbed.
    pub excused_until_ms: u64,
    /// Whether its zone is cut off.
    pub is_cut: bool,
    /// Instances that it takes for gone.
    pub gone: BTreeSet<usize>,
    /// Permits that it grants.
    pub issuer: PermitIssuer,
    /// Times before which it expects no permit, by upstream.
    pub denied_until_ms: HashMap<usize, u64>,
    /// Its shares, by upstream.
    pub buckets: HashMap<usize, Bucket>,
}

impl Instance {
    /// Whether it works at this time.
    pub fn is_working(&self, now_ms: u64) -> bool {
        self.is_running && now_ms >= self.frozen_until_ms
    }
}

/// The instances with their names.
pub struct Fleet {
    pub instances: Vec<Instance>,
    names: Vec<String>,
    chosen: HashMap<(usize, BTreeSet<usize>), Vec<usize>>,
}

impl Fleet {
    /// Creates a fleet; instances from `running` on have not joined yet.
    pub fn new(count: usize, running: usize) -> Self {
        let absent: BTreeSet<usize> = (running..count).collect();
        let instances = (0..count).map(|index| Instance {
            is_running: index < running,
            frozen_until_ms: 0,
            excused_until_ms: 0,
            is_cut: false,
            gone: absent.clone(),
            issuer: PermitIssuer::default(),
            denied_until_ms: HashMap::new(),
            buckets: HashMap::new(),
        });
        Self {
            instances: instances.collect(),
            names: (0..count).map(|index| format!("edge-{index}")).collect(),
            chosen: HashMap::new(),
        }
    }

    /// Returns the instances that rank first for an upstream, as `viewer` sees the fleet.
    pub fn ranked(&mut self, viewer: usize, upstream: usize, count: usize) -> Vec<usize> {
        let gone = &self.instances[viewer].gone;
        if let Some(ranked) = self.chosen.get(&(upstream, gone.clone()))
            && ranked.len() >= count.min(self.names.len() - gone.len())
        {
            return ranked[..count.min(ranked.len())].to_vec();
        }
        let id = format!("i-{upstream}");
        let mut ranked = Vec::new();
        while ranked.len() < count {
            let candidates = (0..self.names.len())
                .filter(|index| !gone.contains(index) && !ranked.contains(index))
                .map(|index| self.names[index].as_str());
            let Some(name) = choose_issuer(&id, None, candidates) else { break };
            let Some(index) = name.strip_prefix("edge-").and_then(|n| n.parse().ok()) else {
                break;
            };
            ranked.push(index);
        }
        self.chosen.insert((upstream, gone.clone()), ranked.clone());
        ranked
    }

    /// Returns how many instances `viewer` takes for present.
    pub fn present(&self, viewer: usize) -> usize {
        self.instances.len() - self.instances[viewer].gone.len()
    }
}

impl LimitPattern {
    /// Instances that may have a share of a limit at once, so that their first requests together stay far
    /// below the bound.
    pub fn holders(&self) -> usize {
        (2.0 * self.per_second + 2.0) as usize
    }
}
