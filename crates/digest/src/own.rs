//! An instance's own part of the sums of its availability zone.

use std::collections::VecDeque;

use hickorycourse_caps::EpochUsage;

use crate::message::{LoadCounts, MemberDigest, ServiceDigest, ZoneDigest};

/// Digests that are kept; an aggregator that lags further behind is not believed.
const MAX_DIGESTS: usize = 16;

/// The digests that an instance has sent most recently.
#[derive(Clone, Debug, Default)]
pub struct OwnDigests {
    sent: VecDeque<MemberDigest>,
}

impl OwnDigests {
    /// Records a digest that is sent.
    pub fn record(&mut self, digest: MemberDigest) {
        self.sent.push_back(digest);
        if self.sent.len() > MAX_DIGESTS {
            self.sent.pop_front();
        }
    }

    /// Takes the part of this instance out of the sums of its own zone, so that what remains is that of
    /// the other instances. Returns false if the sums contain an unknown digest of this instance, or none
    /// although it has sent some: what it has used is in the sums for longer than its load.
    pub fn subtract_from(&self, zone: &mut ZoneDigest, instance: &str) -> bool {
        let Some((_, sequence, _)) = zone.members.iter().find(|(name, _, _)| name == instance)
        else {
            return self.sent.is_empty();
        };
        let Some(own) = self.sent.iter().find(|digest| digest.sequence == *sequence) else {
            return false;
        };
        zone.instances = zone.instances.saturating_sub(1);
        for (organisation, own) in &own.cap_usage {
            if let Some(sums) = zone.cap_usage.get_mut(organisation) {
                subtract_cap_usage(sums, own);
            }
        }
        for (service, own) in &own.services {
            if let Some(sums) = zone.services.get_mut(service) {
                subtract_service(sums, own);
            }
        }
        true
    }
}

fn subtract_cap_usage(sums: &mut [EpochUsage], own: &[EpochUsage]) {
    for (epoch, used, refused) in own {
        if let Some(sum) = sums.iter_mut().find(|(known, ..)| known == epoch) {
            sum.1 = sum.1.saturating_sub(*used);
            sum.2 = sum.2.saturating_sub(*refused);
        }
    }
}

fn subtract_service(sums: &mut ServiceDigest, own: &ServiceDigest) {
    sums.arrived_tokens_per_ms = (sums.arrived_tokens_per_ms - own.arrived_tokens_per_ms).max(0.0);
    for (rank, rate) in &own.sent_tokens_per_ms {
        if let Some(sum) = sums.sent_tokens_per_ms.get_mut(rank) {
            *sum = (*sum - rate).max(0.0);
        }
    }
    if let (Some(sum), Some(own)) = (&mut sums.work, &own.work) {
        sum.subtract(own);
    }
    for load in &own.loads {
        // The sums are in the order of the upstreams' ids.
        if let Ok(index) = sums.loads.binary_search_by(|(upstream, ..)| upstream.cmp(&load.0)) {
            subtract_load(&mut sums.loads[index], load);
        }
    }
    for (upstream, weight, log_sum) in &own.speeds {
        if let Some(sum) = sums.speeds.iter_mut().find(|(known, ..)| known == upstream) {
            sum.1 = sum.1.saturating_sub(*weight);
            sum.2 = sum.2.saturating_sub(*log_sum);
        }
    }
}

fn subtract_load(sum: &mut LoadCounts, own: &LoadCounts) {
    sum.1 = sum.1.saturating_sub(own.1);
    sum.2 = sum.2.saturating_sub(own.2);
    for (rank, requests, tokens) in &own.3 {
        if let Some(waiting) = sum.3.iter_mut().find(|(known, ..)| known == rank) {
            waiting.1 = waiting.1.saturating_sub(*requests);
            waiting.2 = waiting.2.saturating_sub(*tokens);
        }
    }
}
