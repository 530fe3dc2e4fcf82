//! What is known of one call while it is served.

use std::sync::Arc;

use hickorycourse_admission::QueuedRequest;
use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_membership::{CallerIdentity, SettingsSnapshot};
use hickorycourse_settings::{EffectivePolicy, RankSettings, Site};
use hickorycourse_telemetry::{Span, TraceContext};
use hickorycourse_usage::{UsageCount, UsageKey};
use ntex::web::HttpRequest;

use crate::state::{Entry, InFlightGuard};

/// The header that names the rank of a call.
pub const RANK_HEADER: &str = "x-rank";
const REQUEST_ID_HEADER: &str = "x-request-id";
const REQUEST_ID_LENGTH_LIMIT: usize = 64;

/// One call of a caller, from its arrival to its last byte.
pub struct CallContext {
    /// The entry.
    pub entry: Arc<Entry>,
    /// Names the call towards the caller.
    pub request_id: String,
    /// The settings that hold for the whole call.
    pub snapshot: Arc<SettingsSnapshot>,
    /// Who calls; known once the key has been checked.
    pub identity: Arc<CallerIdentity>,
    /// The span of the whole call.
    pub span: Span,
    /// When it came.
    pub arrived_at_ms: u64,
    /// What it counts for in usage; known once it is routed.
    pub usage_key: Option<UsageKey>,
    guard: Option<InFlightGuard>,
}

/// Where a call goes and what holds for it.
#[derive(Clone, Debug)]
pub struct RoutedCall {
    /// The service.
    pub service: String,
    /// The rank.
    pub rank: String,
    /// The rank's place in the order.
    pub urgency: u8,
    /// What holds.
    pub policy: EffectivePolicy,
}

impl CallContext {
    /// Starts a call.
    pub fn new(entry: &Arc<Entry>, request: &HttpRequest, guard: InFlightGuard) -> Self {
        let outer = header(request, "traceparent").and_then(TraceContext::from_traceparent);
        let mut span = Span::start("caller", outer);
        let request_id = choose_request_id(entry, request);
        span.set_attribute("request_id", request_id.as_str());
        span.set_attribute("path", request.path());
        Self::start(entry, request_id, span, Some(guard))
    }

    /// Starts a call that no caller waits for on this entry.
    pub fn detached(entry: &Arc<Entry>, request_id: &str, identity: CallerIdentity) -> Self {
        let span = Span::start("job", None);
        let mut context = Self::start(entry, request_id.to_owned(), span, None);
        context.identity = Arc::new(identity);
        context
    }

    fn start(
        entry: &Arc<Entry>,
        request_id: String,
        span: Span,
        guard: Option<InFlightGuard>,
    ) -> Self {
        let nobody = CallerIdentity {
            organisation: String::new(),
            caller: String::new(),
            highest_rank: None,
        };
        Self {
            entry: Arc::clone(entry),
            request_id,
            snapshot: entry.snapshot(),
            identity: Arc::new(nobody),
            span,
            arrived_at_ms: entry.clock.now_ms(),
            usage_key: None,
            guard,
        }
    }

    /// Finds out who calls, before any work is done.
    pub fn identify(&mut self, request: &HttpRequest) -> Result<(), Problem> {
        let key = header(request, "authorization").and_then(|value| value.strip_prefix("Bearer "));
        let identity = key.and_then(|key| self.snapshot.identify(key.trim()));
        self.identity = identity.ok_or_else(|| Problem::new(ErrorCode::UnknownKey))?;
        self.span.set_attribute("organisation", self.identity.organisation.as_str());
        Ok(())
    }

    /// The site's settings. Calls are refused before this while there are none.
    pub fn site(&self) -> Result<Arc<Site>, Problem> {
        let site = self.snapshot.site.clone();
        site.ok_or_else(|| Problem::new(ErrorCode::SettingsMissing).with_retry_after_s(1))
    }

    /// Works out the rank and what holds for a call to a service.
    pub fn route(&mut self, service: &str, rank: Option<&str>) -> Result<RoutedCall, Problem> {
        let site = self.site()?;
        let settings = site.services.get(service).ok_or(ErrorCode::UnknownPath)?;
        let rank = rank.unwrap_or(&settings.default_rank);
        let rank_settings = self.check_rank(&site, rank)?;
        let policy = self
            .snapshot
            .policy(&self.identity.organisation, service, rank)
            .ok_or(ErrorCode::UnknownKey)?;
        self.span.set_attribute("service", service);
        self.span.set_attribute("rank", rank);
        self.usage_key = Some(UsageKey {
            organisation: self.identity.organisation.clone(),
            caller: self.identity.caller.clone(),
            service: service.to_owned(),
            rank: rank.to_owned(),
        });
        Ok(RoutedCall {
            service: service.to_owned(),
            rank: rank.to_owned(),
            urgency: rank_settings.urgency,
            policy,
        })
    }

    fn check_rank<'a>(&self, site: &'a Site, rank: &str) -> Result<&'a RankSettings, Problem> {
        let Some(settings) = site.ranks.get(rank) else {
            let known: Vec<&str> = site.ranks.keys().map(String::as_str).collect();
            let detail = format!("There is no rank `{rank}`; there is {}.", known.join(", "));
            return Err(Problem::new(ErrorCode::UnknownRank).with_detail(detail));
        };
        let highest = self.identity.highest_rank.as_ref().and_then(|name| site.ranks.get(name));
        if highest.is_some_and(|highest| settings.urgency < highest.urgency) {
            let detail = format!("This caller may not ask for rank `{rank}`.");
            return Err(Problem::new(ErrorCode::UnknownRank).with_detail(detail));
        }
        Ok(settings)
    }

    /// The ticket for a call's place in the queue.
    pub fn make_ticket(&self, routed: &RoutedCall, cost_tokens: u64) -> QueuedRequest {
        QueuedRequest {
            id: 0,
            organisation: self.identity.organisation.clone(),
            caller: self.identity.caller.clone(),
            urgency: routed.urgency,
            cost_tokens: cost_tokens.max(1),
            share: routed.policy.share,
            floor_percent: routed.policy.floor_percent,
            target_ms: routed.policy.target_first_token_ms,
            queue_timeout_ms: routed.policy.queue_timeout_ms,
            queue_limit: usize::try_from(routed.policy.queue_limit).unwrap_or(usize::MAX),
            arrived_at_ms: self.arrived_at_ms,
        }
    }

    /// Adds to the usage that the call counts for.
    pub fn add_usage(&self, count: &UsageCount) {
        if let Some(key) = &self.usage_key {
            self.entry.add_usage(key, count);
        }
    }

    /// Hands the in-flight mark on to what outlives the call's handler.
    pub fn take_guard(&mut self) -> Option<InFlightGuard> {
        self.guard.take()
    }
}

fn choose_request_id(entry: &Entry, request: &HttpRequest) -> String {
    let given = header(request, REQUEST_ID_HEADER).filter(|id| {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        !id.is_empty() && id.len() <= REQUEST_ID_LENGTH_LIMIT && id.chars().all(allowed)
    });
    given.map_or_else(|| entry.generate_id(), str::to_owned)
}

/// A header as text.
pub fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}
