//! What is known of the limits of upstreams.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::rate_limit::RateLimit;

/// Upstreams that are kept.
const MAX_UPSTREAMS: usize = 2_048;
/// Notices in a digest.
pub const MAX_NOTICES: usize = 256;
/// Time for which the end of a limit is told, so that an older notice does not restore the limit.
const END_TOLD_MS: u64 = 60_000;
/// Largest lead of the clock of another instance.
const MAX_CLOCK_LEAD_MS: u64 = 2_000;

/// The limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLimit {
    /// Wall-clock time of the upstream's start; `None` if not reported.
    pub started_at_ms: Option<u64>,
    /// The limit; `None` if it has ended.
    pub limit: Option<RateLimit>,
    /// Wall-clock time of the latest response that said so.
    pub said_at_ms: u64,
}

/// What an instance tells others of the limit of an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitNotice {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: String,
    /// Wall-clock time of its start.
    #[serde(rename = "s")]
    pub started_at_ms: Option<u64>,
    /// Requests a second; `None` if the limit has ended.
    #[serde(rename = "l")]
    pub per_second: Option<f64>,
    /// Wall-clock time of the latest response that said so.
    #[serde(rename = "t")]
    pub said_at_ms: u64,
}

impl LimitNotice {
    /// Creates a notice of a known limit.
    pub fn new(upstream: &str, known: &KnownLimit) -> Self {
        Self {
            upstream: upstream.to_owned(),
            started_at_ms: known.started_at_ms,
            per_second: known.limit.map(RateLimit::per_second),
            said_at_ms: known.said_at_ms,
        }
    }
}

/// Why a notice was not merged.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NoticeError {
    /// The limit is no number of requests a second.
    #[error("the limit is negative or not finite")]
    InvalidLimit,
    /// The notice is later than the present time.
    #[error("the notice comes from the future")]
    Future,
}

/// A change of what is known, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The upstream.
    pub upstream: String,
    /// The limit before.
    pub before: Option<RateLimit>,
    /// The limit now.
    pub after: Option<RateLimit>,
}

/// The limits of upstreams, from their responses and from other instances. All times are wall-clock
/// times as estimated by the fleet, which are the same however often a notice is passed on.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    upstreams: BTreeMap<String, KnownLimit>,
}

impl LimitTable {
    /// Returns what is known of an upstream.
    pub fn get(&self, upstream: &str) -> Option<&KnownLimit> {
        self.upstreams.get(upstream)
    }

    /// Returns the upstreams with a limit.
    pub fn limited(&self) -> impl Iterator<Item = (&str, &KnownLimit)> {
        let limited = self.upstreams.iter().filter(|(_, known)| known.limit.is_some());
        limited.map(|(upstream, known)| (upstream.as_str(), known))
    }

    /// Records a response that names a limit.
    pub fn record_named(
        &mut self,
        upstream: &str,
        started_at_ms: Option<u64>,
        limit: RateLimit,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let known = KnownLimit { started_at_ms, limit: Some(limit), said_at_ms: now_ms };
        self.update(upstream, known)
    }

    /// Records a response that names no limit, to a request that was sent at `sent_at_ms`. It ends the
    /// limit of the same start if the request was sent after the latest response that named it: otherwise
    /// the response may be the older one.
    pub fn record_unnamed(
        &mut self,
        upstream: &str,
        started_at_ms: Option<u64>,
        sent_at_ms: u64,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let known = self.upstreams.get(upstream)?;
        let is_later = known.started_at_ms == started_at_ms && sent_at_ms > known.said_at_ms;
        if !is_later || known.limit.is_none() {
            return None;
        }
        self.update(upstream, KnownLimit { started_at_ms, limit: None, said_at_ms: now_ms })
    }

    /// Records that an upstream has started anew, and begins without a limit.
    pub fn record_restart(
        &mut self,
        upstream: &str,
        started_at_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<LimitChange> {
        self.upstreams.get(upstream)?;
        self.update(upstream, KnownLimit { started_at_ms, limit: None, said_at_ms: now_ms })
    }

    /// Merges what another instance tells of the same start.
    ///
    /// # Errors
    /// The notice is invalid and was ignored.
    pub fn merge(
        &mut self,
        notice: &LimitNotice,
        now_ms: u64,
    ) -> Result<Option<LimitChange>, NoticeError> {
        let limit = match notice.per_second {
            Some(per_second) => Some(RateLimit::new(per_second).ok_or(NoticeError::InvalidLimit)?),
            None => None,
        };
        if notice.said_at_ms > now_ms + MAX_CLOCK_LEAD_MS {
            return Err(NoticeError::Future);
        }
        let known = self.upstreams.get(&notice.upstream);
        let is_later = match known.filter(|known| known.started_at_ms == notice.started_at_ms) {
            Some(known) => notice.said_at_ms > known.said_at_ms,
            None => true,
        };
        if !is_later {
            return Ok(None);
        }
        let told = KnownLimit {
            started_at_ms: notice.started_at_ms,
            limit,
            said_at_ms: notice.said_at_ms,
        };
        Ok(self.update(&notice.upstream, told))
    }

    fn update(&mut self, upstream: &str, known: KnownLimit) -> Option<LimitChange> {
        if !self.upstreams.contains_key(upstream) && self.upstreams.len() >= MAX_UPSTREAMS {
            self.evict_oldest();
        }
        let before = self.upstreams.insert(upstream.to_owned(), known).and_then(|k| k.limit);
        (before != known.limit).then(|| LimitChange {
            upstream: upstream.to_owned(),
            before,
            after: known.limit,
        })
    }

    /// Removes an ended limit, or the one that was named longest ago.
    fn evict_oldest(&mut self) {
        let key = |(_, known): &(&String, &KnownLimit)| (known.limit.is_some(), known.said_at_ms);
        if let Some(oldest) = self.upstreams.iter().min_by_key(key).map(|(id, _)| id.clone()) {
            self.upstreams.remove(&oldest);
        }
    }

    /// Removes ended limits that need not be told any more, and the upstreams of which `is_known` does not
    /// know this start.
    pub fn expire(&mut self, now_ms: u64, is_known: impl Fn(&str, Option<u64>) -> bool) {
        self.upstreams.retain(|upstream, known| {
            let is_told =
                known.limit.is_some() || now_ms.saturating_sub(known.said_at_ms) < END_TOLD_MS;
            is_told && is_known(upstream, known.started_at_ms)
        });
    }

    /// Returns what other instances are told: limits first, the latest first.
    pub fn notices(&self) -> Vec<LimitNotice> {
        let mut known: Vec<_> = self.upstreams.iter().collect();
        known
            .sort_by_key(|(_, known)| (known.limit.is_none(), std::cmp::Reverse(known.said_at_ms)));
        known.truncate(MAX_NOTICES);
        known.into_iter().map(|(upstream, known)| LimitNotice::new(upstream, known)).collect()
    }
}
