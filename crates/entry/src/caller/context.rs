//! The state of a call while it is served: identity, routing, tracing and usage key.

use std::sync::Arc;

use hickorycourse_admission::QueuedRequest;
use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_membership::{CallerIdentity, SettingsSnapshot};
use hickorycourse_settings::{EffectivePolicy, RankSettings, Site};
use hickorycourse_telemetry::{Span, TraceContext};
use hickorycourse_usage::{UsageCount, UsageKey};
use ntex::web::HttpRequest;

use crate::state::{Entry, InFlightGuard};

/// The request header that selects the rank (priority class) of a call.
pub const RANK_HEADER: &str = "x-rank";
const REQUEST_ID_HEADER: &str = "x-request-id";
const MAX_REQUEST_ID_BYTES: usize = 64;

/// The context of one call, from its arrival to the last byte of the response.
pub struct CallContext {
    /// The state shared by all calls of this process.
    pub entry: Arc<Entry>,
    /// Identifies the call in responses and logs: the caller's `x-request-id` if it is valid, or a
    /// generated id.
    pub request_id: String,
    /// The settings at arrival; later changes don't affect the call.
    pub snapshot: Arc<SettingsSnapshot>,
    /// The caller; all fields are empty until [`CallContext::authenticate`] has succeeded.
    pub identity: Arc<CallerIdentity>,
    /// The span of the whole call.
    pub span: Span,
    /// Arrival time, on the entry's clock.
    pub arrived_at_ms: u64,
    /// The key that usage is accounted under; `None` until the call is routed.
    pub usage_key: Option<UsageKey>,
    guard: Option<InFlightGuard>,
}

/// The service, rank and policy of a call.
#[derive(Clone, Debug)]
pub struct RoutedCall {
    /// The name of the service.
    pub service: String,
    /// The name of the rank.
    pub rank: String,
    /// The urgency of the rank; 0 is the most urgent.
    pub urgency: u8,
    /// The effective policy for the organisation, service and rank.
    pub policy: EffectivePolicy,
}

impl CallContext {
    /// Creates the context of a received request and starts its span. Without a guard the request
    /// is refused.
    pub fn new(entry: &Arc<Entry>, request: &HttpRequest, guard: Option<InFlightGuard>) -> Self {
        let parent = read_header(request, "traceparent").and_then(TraceContext::from_traceparent);
        let mut span = Span::start("caller", parent);
        let request_id = request_id_or_new(entry, request);
        span.set_attribute("request_id", request_id.as_str());
        span.set_attribute("path", request.path());
        Self::with_span(entry, request_id, span, guard)
    }

    /// Creates the context of a call that is not tied to a caller's connection: a job, a forwarded
    /// call, or a claimed call. A job has no guard, because the drain waits for the table of jobs.
    pub fn detached(
        entry: &Arc<Entry>,
        request_id: &str,
        identity: CallerIdentity,
        guard: Option<InFlightGuard>,
    ) -> Self {
        let span = Span::start("job", None);
        let mut context = Self::with_span(entry, request_id.to_owned(), span, guard);
        context.identity = Arc::new(identity);
        context
    }

    fn with_span(
        entry: &Arc<Entry>,
        request_id: String,
        span: Span,
        guard: Option<InFlightGuard>,
    ) -> Self {
        let anonymous = CallerIdentity {
            organisation: String::new(),
            caller: String::new(),
            highest_rank: None,
        };
        Self {
            entry: Arc::clone(entry),
            request_id,
            snapshot: entry.snapshot(),
            identity: Arc::new(anonymous),
            span,
            arrived_at_ms: entry.clock.now_ms(),
            usage_key: None,
            guard,
        }
    }

    /// Authenticates the caller by its API key.
    ///
    /// # Errors
    /// [`ErrorCode::UnknownKey`] if the key is missing or unknown.
    pub fn authenticate(&mut self, request: &HttpRequest) -> Result<(), Problem> {
        let key =
            read_header(request, "authorization").and_then(|value| value.strip_prefix("Bearer "));
        let identity = key.and_then(|key| self.snapshot.identify(key.trim()));
        self.identity = identity.ok_or_else(|| Problem::new(ErrorCode::UnknownKey))?;
        self.span.set_attribute("organisation", self.identity.organisation.as_str());
        Ok(())
    }

    /// The site document of the settings.
    ///
    /// # Errors
    /// [`ErrorCode::SettingsMissing`] until the process has received its settings.
    pub fn site(&self) -> Result<Arc<Site>, Problem> {
        let site = self.snapshot.site.clone();
        site.ok_or_else(|| Problem::new(ErrorCode::SettingsMissing).with_retry_after_s(1))
    }

    /// Resolves the rank and the effective policy of a call to a service. Without `rank` the
    /// service's default rank applies.
    ///
    /// # Errors
    /// The service or rank is unknown, or the caller may not use the rank.
    pub fn route(&mut self, service: &str, rank: Option<&str>) -> Result<RoutedCall, Problem> {
        let site = self.site()?;
        let settings = site.services.get(service).ok_or(ErrorCode::UnknownPath)?;
        let rank = rank.unwrap_or(&settings.default_rank);
        let rank_settings = self.authorize_rank(&site, rank)?;
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

    fn authorize_rank<'a>(&self, site: &'a Site, rank: &str) -> Result<&'a RankSettings, Problem> {
        let Some(settings) = site.ranks.get(rank) else {
            let known_ranks: Vec<&str> = site.ranks.keys().map(String::as_str).collect();
            let detail = format!("There is no rank `{rank}`; there is {}.", known_ranks.join(", "));
            return Err(Problem::new(ErrorCode::UnknownRank).with_detail(detail));
        };
        let highest = self.identity.highest_rank.as_ref().and_then(|name| site.ranks.get(name));
        if highest.is_some_and(|highest| settings.urgency < highest.urgency) {
            let detail = format!("This caller may not ask for rank `{rank}`.");
            return Err(Problem::new(ErrorCode::UnknownRank).with_detail(detail));
        }
        Ok(settings)
    }

    /// Builds the item that represents this call in the admission queue.
    pub fn make_queued_request(&self, routed: &RoutedCall, cost_tokens: u64) -> QueuedRequest {
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

    /// Adds to the usage of the caller; does nothing before the call is routed.
    pub fn add_usage(&self, count: &UsageCount) {
        if let Some(key) = &self.usage_key {
            self.entry.add_usage(key, count);
        }
    }

    /// Whether the request was admitted and is counted as in flight.
    pub fn is_admitted(&self) -> bool {
        self.guard.is_some()
    }

    /// A guard for further work of this call that may outlive its context.
    pub fn extend_in_flight(&self) -> Option<InFlightGuard> {
        self.guard.clone()
    }

    /// Moves the in-flight guard out, for the response, which outlives the request handler.
    pub fn take_in_flight_guard(&mut self) -> Option<InFlightGuard> {
        self.guard.take()
    }
}

fn request_id_or_new(entry: &Entry, request: &HttpRequest) -> String {
    let requested = read_header(request, REQUEST_ID_HEADER).filter(|id| {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES && id.chars().all(is_allowed)
    });
    requested.map_or_else(|| entry.generate_id(), str::to_owned)
}

/// A request header as text; `None` if it is absent or not visible ASCII.
pub fn read_header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}
