//! Origins of streams: what began a stream is told to a few other instances, and asked of them when the
//! caller takes the stream up again at another instance.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hickorycourse_clock::sleep;
use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_origins::{
    LISTING_RETENTION_MS, PresentRoute, StreamBeginning, StreamKey, StreamOrigin, choose_holders,
    make_prefix,
};
use hickorycourse_routes::{Route, UpstreamPhase};
use hickorycourse_starts::Acceptance;
use ntex::rt;
use serde::Serialize;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::broadcast::{PeerBroadcast, count_dropped};
use crate::datagrams::Message;
use crate::origin_records::MIXED_GRACE_MS;
use crate::state::Relay;

/// Instances of the own availability zone that are told the origin of a stream, and instances of the whole
/// fleet: a caller may return through another zone.
const TOLD: (usize, usize) = (2, 2);
/// Instances that are asked: more than were told, as some may have joined since.
const ASKED: (usize, usize) = (3, 3);
/// Time for the replies.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest time for which a caller takes an interrupted stream up, beyond the time for which it can last.
const MAX_RETURN_MS: u64 = 10_000;
/// Time before a caller's return within which streams of open routes can have begun by former routes and listings, by
/// which an instance that is cut off from the store serves them. Origins are written for longer.
const OPEN_LISTING_MS: i64 = LISTING_RETENTION_MS - MIXED_GRACE_MS as i64;
/// Longest wait for the origin of a stream while the store can't be read; callers abandon a stream after a gap
/// of that length.
const MAX_SEARCH_MS: u64 = 2_000;
/// Pause between two tries to read the store.
const SEARCH_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Queries that wait to be sent.
const MAX_QUEUED_QUERIES: usize = 256;

/// A path, and the route that leads there.
#[derive(Clone, Copy, Debug)]
pub struct RoutedPath<'a> {
    /// The host of the request.
    pub host: &'a str,
    /// The path of the request.
    pub path: &'a str,
    /// The route.
    pub route: &'a Route,
}

/// A query for the origin of a stream, to several instances.
pub struct OriginQuery {
    key: StreamKey,
    addresses: Vec<SocketAddr>,
    reply: oneshot::Sender<KnownOrigin>,
}

/// How the origin of a stream became known.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum OriginSource {
    /// An instance that was told it.
    Instance,
    /// A listing of the origins in the store.
    Store,
    /// The only service and version that can have begun the stream.
    OnlyVersion,
}

/// What is known of the origin of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum KnownOrigin {
    /// What began it.
    Settled(StreamOrigin),
    /// Where it began; the version is not known yet.
    Unsettled(StreamBeginning),
    /// Nothing.
    #[default]
    Unknown,
}

impl Relay {
    /// Records what begins a stream that lasts for `lasts_ms` at most, and tells other instances. Called before
    /// the first event is sent to the caller: the process may end at any time after.
    pub fn record_stream_origin(&self, key: StreamKey, origin: &StreamOrigin, lasts_ms: u64) {
        let now_ms = self.now_ms();
        self.origins.lock().record(key, origin.clone(), now_ms);
        let expires_at_ms = now_ms + lasts_ms + MAX_RETURN_MS;
        self.origin_journal.lock().record(key, origin.clone(), expires_at_ms);
        self.tell_holders(key, &Message::Origin { key, origin: origin.clone() });
    }

    /// Records where a stream began that lasts for `lasts_ms` at most and whose origin is not known yet, and tells other
    /// instances: none may take it for one of the version that is listed.
    pub fn record_stream_beginning(
        &self,
        key: StreamKey,
        beginning: &StreamBeginning,
        lasts_ms: u64,
    ) {
        let now_ms = self.now_ms();
        self.origins.lock().record_beginning(key, beginning.clone(), now_ms);
        let is_presumed = || {
            beginning.presumed_start_ms.is_some()
                && self.ambiguous_services().contains(&beginning.service)
        };
        // One whose start is not known could not be settled by whoever reads it.
        if beginning.started_at_ms.is_some() || is_presumed() {
            let expires_at_ms = now_ms + lasts_ms + MAX_RETURN_MS;
            self.beginning_journal.lock().record(key, beginning.clone(), expires_at_ms);
        }
        self.tell_holders(key, &Message::Beginning { key, beginning: beginning.clone() });
    }

    fn tell_holders(&self, key: StreamKey, message: &Message) {
        let Some(socket) = self.peer_socket.get() else { return };
        let mut bytes = Vec::new();
        if ciborium::into_writer(message, &mut bytes).is_err() {
            count_dropped("origin_unencoded");
            return;
        }
        for address in self.origin_holders(key, TOLD) {
            // A datagram may be lost; others are told, too.
            if socket.try_send_to(&bytes, address).is_err() {
                count_dropped("origin_unsent");
            }
        }
    }

    /// Records the origin of a stream that another instance has begun.
    pub fn apply_stream_origin(&self, key: StreamKey, origin: StreamOrigin) {
        if origin.is_valid() {
            self.origins.lock().record(key, origin, self.now_ms());
        } else {
            count_dropped("origin_invalid");
        }
    }

    /// Records where a stream of another instance began.
    pub fn apply_stream_beginning(&self, key: StreamKey, beginning: StreamBeginning) {
        if beginning.is_valid() {
            self.origins.lock().record_beginning(key, beginning, self.now_ms());
        } else {
            count_dropped("origin_invalid");
        }
    }

    fn find_own_origin(&self, key: StreamKey) -> KnownOrigin {
        let origins = self.origins.lock();
        match (origins.find(key, self.now_ms()), origins.find_beginning(key)) {
            (Some(origin), _) => KnownOrigin::Settled(origin.clone()),
            (None, Some(beginning)) => KnownOrigin::Unsettled(beginning.clone()),
            (None, None) => KnownOrigin::Unknown,
        }
    }

    /// Returns the origin of a stream whose start has been listed by now, or has run since it was presumed to have begun
    /// the stream.
    fn settle_origin(&self, key: StreamKey, beginning: &StreamBeginning) -> Option<StreamOrigin> {
        let version = match beginning.started_at_ms {
            Some(started_at_ms) => {
                let accepted_by =
                    Acceptance { reported_start_ms: Some(started_at_ms), ..Acceptance::default() };
                self.version_of(&beginning.upstream, &accepted_by)?
            }
            None => {
                let presumed_start_ms = beginning.presumed_start_ms?;
                let known_at_ms = self.origins.lock().beginning_known_at_ms(key)?;
                self.wanted_proofs.lock().record(&beginning.upstream, self.now_ms());
                let starts = self.starts.lock();
                let upstream = &beginning.upstream;
                starts.version_of_run(upstream, presumed_start_ms, known_at_ms)?.to_owned()
            }
        };
        Some(StreamOrigin { service: beginning.service.clone(), version })
    }

    /// Returns whether the start that began a stream has ended, and nothing can tell its version any more.
    fn has_ended_unproven(&self, key: StreamKey, beginning: &StreamBeginning) -> bool {
        let started_at_ms = beginning.started_at_ms.or(beginning.presumed_start_ms);
        let known_at_ms = self.origins.lock().beginning_known_at_ms(key);
        let (Some(started_at_ms), Some(known_at_ms)) = (started_at_ms, known_at_ms) else {
            return false;
        };
        self.starts.lock().has_ended_unproven(&beginning.upstream, started_at_ms, known_at_ms)
    }

    fn origin_holders(&self, key: StreamKey, counts: (usize, usize)) -> BTreeSet<SocketAddr> {
        let now_ms = self.now_ms();
        let own_zone = self.settings.availability_zone.as_str();
        let members = self.members.lock();
        let near = choose_holders(key, members.active_names(Some(own_zone), now_ms), counts.0);
        let all = choose_holders(key, members.active_names(None, now_ms), counts.1);
        near.into_iter().chain(all).filter_map(|name| members.address(name)).collect()
    }

    /// Returns what began the stream that a caller takes up again.
    ///
    /// # Errors
    /// The origin is not known, the route no longer leads to its service, or no upstream of its version is
    /// left; the stream has to be started anew.
    pub async fn find_stream_origin(
        &self,
        request_id: &str,
        organisation: Option<&str>,
        resumed: Option<&str>,
        routed: RoutedPath<'_>,
        deadline_at_ms: u64,
    ) -> Result<StreamOrigin, Problem> {
        let route = routed.route;
        let key = resumed.map(|first_id| StreamKey::new(organisation, first_id));
        let found = self.search_stream_origin(key, routed, deadline_at_ms).await;
        let (origin, source) = found.unzip();
        let reason = match &origin {
            None => "no instance knows what began the stream",
            Some(origin) if !route.targets.iter().any(|t| t.service == origin.service) => {
                "the route no longer leads to the service that began the stream"
            }
            Some(origin) if !self.serves_version(origin) => {
                "no upstream of the version that began the stream is left"
            }
            Some(_) => "",
        };
        let outcome = if reason.is_empty() { "found" } else { "rejected" };
        metrics::counter!("hickorycourse_resumptions_total", "outcome" => outcome).increment(1);
        self.log.write("stream_taken_up", || {
            json!({
                "request": request_id, "resumes": resumed, "origin": origin, "found_by": source,
                "route": route.name,
                "rejected": (!reason.is_empty()).then_some(reason),
            })
        });
        match origin {
            Some(origin) if reason.is_empty() => Ok(origin),
            _ => Err(Problem::new(ErrorCode::StreamNotResumable).with_detail(format!(
                "{reason}; send the request anew, without the last event's id"
            ))),
        }
    }

    /// Searches for the origin of a stream: at this instance, at its holders, among the versions that are listed
    /// and in the store; one without a key only among the versions. `None` means that it is known nowhere, or that the
    /// store can't be read in time.
    async fn search_stream_origin(
        &self,
        key: Option<StreamKey>,
        routed: RoutedPath<'_>,
        deadline_at_ms: u64,
    ) -> Option<(StreamOrigin, OriginSource)> {
        let started_at_ms = self.now_ms();
        let give_up_at_ms = deadline_at_ms.min(started_at_ms + MAX_SEARCH_MS);
        let mut was_unprovable = false;
        loop {
            let known = match key {
                Some(key) => self.ask_stream_origin(key).await,
                None => KnownOrigin::Unknown,
            };
            let is_listing_recent = self.is_listing_recent();
            let found = match &known {
                KnownOrigin::Settled(origin) => Some((origin.clone(), OriginSource::Instance)),
                KnownOrigin::Unsettled(beginning) => {
                    let known = std::iter::once((key, beginning));
                    let known = known.filter_map(|(key, beginning)| Some((key?, beginning)));
                    self.origins.lock().learn_beginnings(known, self.now_ms());
                    let origin = key.and_then(|key| self.settle_origin(key, beginning));
                    origin.map(|origin| (origin, OriginSource::Instance))
                }
                KnownOrigin::Unknown => {
                    let origin = self.find_sole_origin(routed, started_at_ms, give_up_at_ms).await;
                    origin.map(|origin| (origin, OriginSource::OnlyVersion))
                }
            };
            if found.is_some() {
                return found;
            }
            let left_ms = give_up_at_ms.saturating_sub(self.now_ms());
            if left_ms == 0 {
                return None;
            }
            if key.is_none() && is_listing_recent {
                return None;
            }
            if let (Some(key), KnownOrigin::Unsettled(beginning)) = (key, &known)
                && self.has_ended_unproven(key, beginning)
                // Instances that were behind have been asked once more.
                && std::mem::replace(&mut was_unprovable, true)
            {
                return None;
            }
            if let Some(key) = key.filter(|_| known == KnownOrigin::Unknown)
                && self.search_stored_origins(Duration::from_millis(left_ms)).await
            {
                match self.find_own_origin(key) {
                    KnownOrigin::Settled(origin) => return Some((origin, OriginSource::Store)),
                    KnownOrigin::Unsettled(_) => {}
                    KnownOrigin::Unknown if is_listing_recent => return None,
                    KnownOrigin::Unknown => {}
                }
            }
            sleep(SEARCH_RETRY_DELAY).await;
        }
    }

    async fn ask_stream_origin(&self, key: StreamKey) -> KnownOrigin {
        let own = self.find_own_origin(key);
        if matches!(own, KnownOrigin::Settled(_)) {
            return own;
        }
        let addresses: Vec<SocketAddr> = self.origin_holders(key, ASKED).into_iter().collect();
        let Some(queries) = self.origin_queries.get().filter(|_| !addresses.is_empty()) else {
            return own;
        };
        let (reply, receiver) = oneshot::channel();
        if queries.try_send(OriginQuery { key, addresses, reply }).is_err() {
            return own;
        }
        match receiver.await {
            Ok(KnownOrigin::Unknown) | Err(_) => own,
            Ok(known) => known,
        }
    }

    /// Returns the only origin that a stream can have whose caller returned at `since_ms`. What its instance had read from
    /// the store before the first event has to be known here, too.
    async fn find_sole_origin(
        &self,
        routed: RoutedPath<'_>,
        since_ms: u64,
        give_up_at_ms: u64,
    ) -> Option<StreamOrigin> {
        // Others need no reading.
        self.sole_origin(routed)?;
        let is_known = self.wait_for_log(since_ms, give_up_at_ms).await;
        self.sole_origin(routed).filter(|_| is_known)
    }

    /// Returns whether a version that is listed for longer than its propagation takes is known here.
    fn is_listing_recent(&self) -> bool {
        let propagation_ms = self.settings.bounds.change_propagation_ms();
        let attested_at_ms = self.log_attested_at_ms();
        attested_at_ms.is_some_and(|at_ms| self.now_ms() <= at_ms + propagation_ms)
    }

    /// Returns the origin of any stream of a path that has led to one service alone, which has had one version for as
    /// long as streams last.
    fn sole_origin(&self, routed: RoutedPath<'_>) -> Option<StreamOrigin> {
        let now_ms = self.now_ms();
        let since_ms = self.earliest_beginning_ms(routed, now_ms)?;
        let service = self.sole_service(routed, since_ms)?;
        if self.has_unlisted_start(&service) {
            return None;
        }
        self.observe_versions(now_ms);
        let versions = self.listed_versions.lock();
        let version = versions.sole_since(&service, since_ms)?.to_owned();
        Some(StreamOrigin { service, version })
    }

    /// Returns the service that alone can have begun a stream of a path since `since_ms`.
    fn sole_service(&self, routed: RoutedPath<'_>, since_ms: i64) -> Option<String> {
        let targets = self.route_targets.lock();
        targets.sole_since(routed.host, routed.path, since_ms).map(str::to_owned)
    }

    /// Returns the earliest time at which what was listed can have begun a stream that is taken up at `now_ms`.
    fn earliest_beginning_ms(&self, routed: RoutedPath<'_>, now_ms: u64) -> Option<i64> {
        let lasts_ms = routed.route.timeout_ms.saturating_add(self.former_listing_ms());
        let since_ms = now_ms as i64 - i64::try_from(lasts_ms).ok()?;
        let open_since_ms = since_ms.min(now_ms as i64 - OPEN_LISTING_MS);
        self.observe_routes(now_ms);
        let targets = self.route_targets.lock();
        let is_open = targets.is_open_since(routed.host, routed.path, open_since_ms);
        Some(if is_open { open_since_ms } else { since_ms })
    }

    /// Returns the time for which streams are taken up that were begun by routes and versions which are no longer listed,
    /// beyond that for which they last; not those of open routes.
    pub(crate) fn former_listing_ms(&self) -> u64 {
        let bounds = &self.settings.bounds;
        // Another instance may have used them for longer than this one.
        MAX_RETURN_MS + bounds.change_propagation_ms().max(bounds.max_staleness_ms())
    }

    /// Records the routes that are in force at `now_ms`.
    pub fn observe_routes(&self, now_ms: u64) {
        let Some(table) = self.route_table() else { return };
        let document = table.document();
        // Else instances that are cut off from the store begin streams by a document of any age.
        let are_keys_checked =
            self.settings.bounds.is_revocation_strict && document.organisations.is_some();
        let routes = document.routes.iter().flat_map(|route| {
            let is_open = route.repeat.is_stream() && (route.is_public || !are_keys_checked);
            route.targets.iter().map(move |target| PresentRoute {
                prefix: make_prefix(&route.host, &route.path_prefix),
                service: &target.service,
                is_open,
            })
        });
        let mut targets = self.route_targets.lock();
        targets.observe(routes, now_ms);
        targets.expire(now_ms);
    }

    /// Returns whether an upstream of a service has reported a start whose version is not listed yet.
    fn has_unlisted_start(&self, service: &str) -> bool {
        let directory = self.directory.lock();
        let starts = self.starts.lock();
        let mut entries = directory.entries().filter(|entry| entry.service == service);
        entries.any(|entry| starts.has_unlisted(&entry.id))
    }

    fn serves_version(&self, origin: &StreamOrigin) -> bool {
        let directory = self.directory.lock();
        let mut entries = directory.entries();
        entries.any(|entry| {
            entry.service == origin.service
                && entry.phase == UpstreamPhase::Ready
                && entry.version.as_deref() == Some(origin.version.as_str())
        })
    }

    /// Records the versions that are listed at `now_ms`.
    pub fn observe_versions(&self, now_ms: u64) {
        let directory = self.directory.lock();
        let mut versions = self.listed_versions.lock();
        for entry in directory.entries() {
            versions.record(&entry.service, entry.version.as_deref(), now_ms);
        }
        versions.expire(now_ms);
    }

    /// Forgets the origins of streams that have ended by now.
    pub fn expire_origins(&self) {
        let now_ms = self.now_ms();
        self.observe_versions(now_ms);
        let directory = self.directory.lock();
        self.starts.lock().expire(now_ms, |id| directory.get(id).is_some());
        drop(directory);
        self.origins.lock().expire(now_ms);
    }
}

impl PeerBroadcast {
    /// Returns the queue of queries for origins, to be passed to
    /// [`send_origin_queries`](Self::send_origin_queries).
    pub fn open_origin_queries(&self) -> mpsc::Receiver<OriginQuery> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_QUERIES);
        // A process opens the queue once.
        let _ = self.relay.origin_queries.set(sender);
        receiver
    }

    /// Sends queries for origins until the queue is closed.
    pub async fn send_origin_queries(self: Arc<Self>, mut queries: mpsc::Receiver<OriginQuery>) {
        while let Some(query) = queries.recv().await {
            rt::spawn(Arc::clone(&self).send_origin_query(query));
        }
    }

    /// Asks all holders at once; the first one that knows the origin is enough.
    async fn send_origin_query(self: Arc<Self>, query: OriginQuery) {
        let broadcast = &self;
        let mut replies: FuturesUnordered<_> = query
            .addresses
            .iter()
            .map(|address| async move {
                let nonce = rand::random();
                let message = Message::FindOrigin { nonce, key: query.key };
                broadcast.request(*address, &message, nonce, REPLY_TIMEOUT).await
            })
            .collect();
        let mut found = KnownOrigin::Unknown;
        while let Some(reply) = replies.next().await {
            match reply {
                Some(Message::FoundOrigin { origin: Some(origin), .. }) => {
                    found = KnownOrigin::Settled(origin);
                    break;
                }
                Some(Message::FoundOrigin { beginning: Some(beginning), .. }) => {
                    found = KnownOrigin::Unsettled(beginning);
                }
                _ => {}
            }
        }
        // The caller may have left meanwhile.
        let _ = query.reply.send(found);
    }

    /// Answers the query of another instance.
    pub fn find_own_origin(&self, nonce: u64, key: StreamKey) -> Message {
        let (origin, beginning) = match self.relay.find_own_origin(key) {
            KnownOrigin::Settled(origin) => (Some(origin), None),
            KnownOrigin::Unsettled(beginning) => {
                (self.relay.settle_origin(key, &beginning), Some(beginning))
            }
            KnownOrigin::Unknown => (None, None),
        };
        Message::FoundOrigin { nonce, origin, beginning }
    }
}
