//! Stand-in for the platform: key-value store with leases and watches, instance list, reclaim notices and
//! cloud API.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::stream;
use hickorycourse_store::{
    FleetInstance, GatewayKeyValue, InstanceState, KeyValueRecord, StartRequest, WatchFrame,
    decode_base64,
};
use ntex::util::Bytes;
use ntex::web::{self, App, HttpResponse, HttpServer, types};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::http::{self, BodyStream, body_interrupted, sleep_ms};

/// Injected faults; they apply until the next `POST /faults`, which replaces all of them. They don't affect
/// the requests by which tests add and remove instances and notices.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Respond to every call with 503 and end the watches.
    down: bool,
    /// Never respond.
    silent: bool,
    /// Delay before each response.
    slow_ms: u64,
    /// Apply this number of writes but interrupt their responses.
    lose_write_answers: u64,
    /// Drop this number of writes and interrupt their responses.
    lose_writes: u64,
    /// Keep the watches open but send no events on them.
    mute_watches: bool,
    /// Refuse every start of an instance for lack of capacity.
    refuse_starts: bool,
    /// Respond with 429 to calls above this rate; unlimited if absent.
    calls_per_s: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Stats {
    calls: u64,
    reads: u64,
    writes: u64,
    watches: u64,
    lease_calls: u64,
    list_calls: u64,
    starts: u64,
    refused: u64,
}

struct LeaseRecord {
    ttl: Duration,
    expires_at: Instant,
    keys: Vec<String>,
}

struct Watcher {
    prefix: Vec<u8>,
    sender: mpsc::UnboundedSender<Bytes>,
}

struct ListedInstance {
    instance: FleetInstance,
    listed_at: Instant,
    leaving_at: Option<Instant>,
}

struct Platform {
    list_lag: Duration,
    faults: Faults,
    stats: Stats,
    records: BTreeMap<String, KeyValueRecord>,
    revision: u64,
    leases: BTreeMap<i64, LeaseRecord>,
    next_lease: i64,
    watchers: Vec<Watcher>,
    instances: BTreeMap<String, ListedInstance>,
    started_instances: BTreeMap<String, String>,
    rate_window_start: Instant,
    calls_in_window: u64,
}

type Shared = Arc<Mutex<Platform>>;

const LEASE_CHECK_INTERVAL_MS: u64 = 50;

/// Runs the platform until the process is stopped.
pub async fn run(address: SocketAddr, list_lag_ms: u64) -> std::io::Result<()> {
    let shared: Shared = Arc::new(Mutex::new(Platform {
        list_lag: Duration::from_millis(list_lag_ms),
        faults: Faults::default(),
        stats: Stats::default(),
        records: BTreeMap::new(),
        revision: 1,
        leases: BTreeMap::new(),
        next_lease: 1,
        watchers: Vec::new(),
        instances: BTreeMap::new(),
        started_instances: BTreeMap::new(),
        rate_window_start: Instant::now(),
        calls_in_window: 0,
    }));
    ntex::rt::spawn(expire_leases(Arc::clone(&shared)));
    HttpServer::new(async move || {
        App::new()
            .state(shared.clone())
            .route("/v3/kv/range", web::post().to(read_range))
            .route("/v3/kv/txn", web::post().to(transact))
            .route("/v3/watch", web::post().to(watch))
            .route("/v3/lease/grant", web::post().to(grant_lease))
            .route("/v3/lease/keepalive", web::post().to(renew_lease))
            .route("/v3/lease/revoke", web::post().to(revoke_lease))
            .route("/instances", web::get().to(list_instances))
            .route("/instances", web::post().to(add_instance))
            .route("/instances/{name}", web::delete().to(remove_instance))
            .route("/notices", web::get().to(list_notices))
            .route("/notices", web::post().to(add_notice))
            .route("/cloud/instances", web::post().to(start_instance))
            .route("/faults", web::post().to(set_faults))
            .route("/stats", web::get().to(get_stats))
    })
    .workers(1)
    .config(http::server_config())
    .listen(http::listen(address)?)?
    .run()
    .await
}

async fn expire_leases(shared: Shared) {
    loop {
        sleep_ms(LEASE_CHECK_INTERVAL_MS).await;
        let mut platform = shared.lock();
        let now = Instant::now();
        let expired: Vec<i64> = platform
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            platform.remove_lease(id);
        }
    }
}

async fn set_faults(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    match http::read_json::<Faults>(payload).await {
        Ok(faults) => {
            let mut platform = shared.lock();
            if faults.down {
                platform.watchers.clear();
            }
            platform.faults = faults;
            HttpResponse::NoContent().finish()
        }
        Err(error_response) => error_response,
    }
}

async fn get_stats(shared: types::State<Shared>) -> HttpResponse {
    let platform = shared.lock();
    let watchers = platform.watchers.iter().filter(|w| !w.sender.is_closed()).count();
    let keys: BTreeMap<&String, usize> =
        platform.records.iter().map(|(key, record)| (key, record.value.len())).collect();
    http::json(&json!({
        "stats": platform.stats,
        "open_watches": watchers,
        "revision": platform.revision,
        "value_bytes": keys,
    }))
}

/// Counts a call and applies the injected faults to it. The error is the response to send instead.
async fn begin_call(shared: &Shared, count: impl FnOnce(&mut Stats)) -> Result<(), HttpResponse> {
    let faults = {
        let mut platform = shared.lock();
        platform.stats.calls += 1;
        count(&mut platform.stats);
        if platform.is_over_rate() {
            platform.stats.refused += 1;
            return Err(HttpResponse::TooManyRequests().finish());
        }
        platform.faults.clone()
    };
    if faults.down {
        return Err(HttpResponse::ServiceUnavailable().body("down\n"));
    }
    if faults.silent {
        std::future::pending::<()>().await;
    }
    sleep_ms(faults.slow_ms).await;
    Ok(())
}

/// A response whose body is interrupted before its first byte.
fn interrupted_response() -> HttpResponse {
    let body: BodyStream = Box::pin(stream::once(std::future::ready(Err(body_interrupted()))));
    HttpResponse::Ok().streaming(body)
}

impl Platform {
    fn is_over_rate(&mut self) -> bool {
        let Some(limit) = self.faults.calls_per_s else { return false };
        if self.rate_window_start.elapsed() >= Duration::from_secs(1) {
            self.rate_window_start = Instant::now();
            self.calls_in_window = 0;
        }
        self.calls_in_window += 1;
        self.calls_in_window > limit
    }

    fn put(&mut self, key: &str, value: Vec<u8>, lease: Option<i64>) -> u64 {
        self.revision += 1;
        let mod_revision = self.revision;
        let record = KeyValueRecord { key: key.to_owned(), value, mod_revision };
        self.notify_watchers("PUT", &record);
        self.records.insert(key.to_owned(), record);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.push(key.to_owned());
        }
        mod_revision
    }

    fn delete(&mut self, key: &str) {
        if let Some(mut record) = self.records.remove(key) {
            self.revision += 1;
            record.mod_revision = self.revision;
            record.value.clear();
            self.notify_watchers("DELETE", &record);
        }
    }

    fn notify_watchers(&mut self, kind: &str, record: &KeyValueRecord) {
        if self.faults.mute_watches {
            return;
        }
        let line = Bytes::from(format!(
            "{}\n",
            json!({ "result": { "events": [{
                "type": kind,
                "kv": GatewayKeyValue::from_record(record),
            }]}})
        ));
        self.watchers.retain(|watcher| {
            let matches = record.key.as_bytes().starts_with(&watcher.prefix);
            !matches || watcher.sender.send(line.clone()).is_ok()
        });
    }

    fn remove_lease(&mut self, id: i64) {
        let Some(lease) = self.leases.remove(&id) else { return };
        for key in lease.keys {
            self.delete(&key);
        }
    }
}

#[derive(Deserialize)]
struct RangeRequest {
    key: String,
    #[serde(default)]
    range_end: Option<String>,
    #[serde(default)]
    min_mod_revision: String,
}

async fn read_range(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    if let Err(error_response) = begin_call(&shared, |stats| stats.reads += 1).await {
        return error_response;
    }
    let request: RangeRequest = match http::read_json(payload).await {
        Ok(request) => request,
        Err(error_response) => return error_response,
    };
    let platform = shared.lock();
    let start = decode_base64(&request.key).unwrap_or_default();
    let end = request.range_end.as_deref().and_then(decode_base64);
    let matches = |key: &str| match &end {
        None => key.as_bytes() == start,
        Some(end) => key.as_bytes() >= start.as_slice() && key.as_bytes() < end.as_slice(),
    };
    let min_revision: u64 = request.min_mod_revision.parse().unwrap_or(0);
    let kvs: Vec<GatewayKeyValue> = platform
        .records
        .values()
        .filter(|record| matches(&record.key) && record.mod_revision >= min_revision)
        .map(GatewayKeyValue::from_record)
        .collect();
    http::json(&json!({
        "header": { "revision": platform.revision.to_string() },
        "count": kvs.len().to_string(),
        "kvs": kvs,
    }))
}

#[derive(Deserialize)]
struct TxnRequest {
    compare: Vec<Compare>,
    success: Vec<TxnOperation>,
}

#[derive(Deserialize)]
struct Compare {
    key: String,
    mod_revision: String,
}

#[derive(Deserialize)]
struct TxnOperation {
    request_put: PutRequest,
}

#[derive(Deserialize)]
struct PutRequest {
    key: String,
    value: String,
    #[serde(default)]
    lease: Option<String>,
}

async fn transact(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    if let Err(error_response) = begin_call(&shared, |stats| stats.writes += 1).await {
        return error_response;
    }
    let request: TxnRequest = match http::read_json(payload).await {
        Ok(request) => request,
        Err(error_response) => return error_response,
    };
    let mut platform = shared.lock();
    if platform.faults.lose_writes > 0 {
        platform.faults.lose_writes -= 1;
        return interrupted_response();
    }
    let decode_key =
        |key: &str| String::from_utf8(decode_base64(key).unwrap_or_default()).unwrap_or_default();
    let comparisons_hold = request.compare.iter().all(|compare| {
        let record = platform.records.get(&decode_key(&compare.key));
        record.map_or(0, |s| s.mod_revision).to_string() == compare.mod_revision
    });
    if !comparisons_hold {
        let key = request.compare.first().map(|c| decode_key(&c.key)).unwrap_or_default();
        let kvs: Vec<GatewayKeyValue> =
            platform.records.get(&key).iter().map(|s| GatewayKeyValue::from_record(s)).collect();
        return http::json(&json!({
            "header": { "revision": platform.revision.to_string() },
            "succeeded": false,
            "responses": [{ "response_range": { "kvs": kvs } }],
        }));
    }
    for operation in &request.success {
        let put = &operation.request_put;
        let lease = put.lease.as_deref().and_then(|lease| lease.parse().ok());
        platform.put(&decode_key(&put.key), decode_base64(&put.value).unwrap_or_default(), lease);
    }
    if platform.faults.lose_write_answers > 0 {
        platform.faults.lose_write_answers -= 1;
        return interrupted_response();
    }
    http::json(&json!({
        "header": { "revision": platform.revision.to_string() },
        "succeeded": true,
        "responses": [],
    }))
}

#[derive(Deserialize)]
struct WatchRequest {
    create_request: RangeRequest,
}

async fn watch(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    if let Err(error_response) = begin_call(&shared, |stats| stats.watches += 1).await {
        return error_response;
    }
    let request: WatchRequest = match http::read_json(payload).await {
        Ok(request) => request,
        Err(error_response) => return error_response,
    };
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut created = WatchFrame::default();
    created.result.created = true;
    let first = serde_json::to_string(&created).unwrap_or_default();
    let _ = sender.send(Bytes::from(format!("{first}\n")));
    let prefix = decode_base64(&request.create_request.key).unwrap_or_default();
    shared.lock().watchers.push(Watcher { prefix, sender });
    let body: BodyStream = Box::pin(stream::unfold(receiver, |mut receiver| async move {
        let line = receiver.recv().await?;
        Some((Ok(line), receiver))
    }));
    HttpResponse::Ok().streaming(body)
}

async fn grant_lease(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    if let Err(error_response) = begin_call(&shared, |stats| stats.lease_calls += 1).await {
        return error_response;
    }
    let request: Value = match http::read_json(payload).await {
        Ok(request) => request,
        Err(error_response) => return error_response,
    };
    let ttl_s: u64 = request["TTL"].as_str().and_then(|ttl| ttl.parse().ok()).unwrap_or(1);
    let ttl = Duration::from_secs(ttl_s);
    let mut platform = shared.lock();
    let id = platform.next_lease;
    platform.next_lease += 1;
    let lease = LeaseRecord { ttl, expires_at: Instant::now() + ttl, keys: Vec::new() };
    platform.leases.insert(id, lease);
    http::json(&json!({ "ID": id.to_string(), "TTL": ttl_s.to_string() }))
}

fn lease_id(request: &Value) -> i64 {
    request["ID"].as_str().and_then(|id| id.parse().ok()).unwrap_or(0)
}

async fn renew_lease(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    if let Err(error_response) = begin_call(&shared, |stats| stats.lease_calls += 1).await {
        return error_response;
    }
    let request: Value = match http::read_json(payload).await {
        Ok(request) => request,
        Err(error_response) => return error_response,
    };
    let id = lease_id(&request);
    let mut platform = shared.lock();
    let ttl_s = platform.leases.get_mut(&id).map_or(0, |lease| {
        lease.expires_at = Instant::now() + lease.ttl;
        lease.ttl.as_secs()
    });
    http::json(&json!({ "result": { "ID": id.to_string(), "TTL": ttl_s.to_string() } }))
}

async fn revoke_lease(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    if let Err(error_response) = begin_call(&shared, |stats| stats.lease_calls += 1).await {
        return error_response;
    }
    let request: Value = match http::read_json(payload).await {
        Ok(request) => request,
        Err(error_response) => return error_response,
    };
    shared.lock().remove_lease(lease_id(&request));
    http::json(&json!({}))
}

async fn list_instances(shared: types::State<Shared>) -> HttpResponse {
    if let Err(error_response) = begin_call(&shared, |stats| stats.list_calls += 1).await {
        return error_response;
    }
    let platform = shared.lock();
    let now = Instant::now();
    let listed: Vec<FleetInstance> = platform
        .instances
        .values()
        .filter(|listed| listed.listed_at <= now)
        .map(|listed| {
            let mut instance = listed.instance.clone();
            if listed.leaving_at.is_some_and(|from| from <= now) {
                instance.state = InstanceState::Leaving;
            }
            instance
        })
        .collect();
    http::json(&json!({ "instances": listed }))
}

async fn add_instance(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    let instance: FleetInstance = match http::read_json(payload).await {
        Ok(instance) => instance,
        Err(error_response) => return error_response,
    };
    let mut platform = shared.lock();
    let listed_at = Instant::now() + platform.list_lag;
    let name = instance.instance.clone();
    let listed = ListedInstance { instance, listed_at, leaving_at: None };
    platform.instances.insert(name, listed);
    HttpResponse::NoContent().finish()
}

async fn remove_instance(shared: types::State<Shared>, name: types::Path<String>) -> HttpResponse {
    shared.lock().instances.remove(name.as_str());
    HttpResponse::NoContent().finish()
}

#[derive(Deserialize)]
struct Notice {
    instance: String,
}

async fn add_notice(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    let notice: Notice = match http::read_json(payload).await {
        Ok(notice) => notice,
        Err(error_response) => return error_response,
    };
    let mut platform = shared.lock();
    let leaving_at = Instant::now() + platform.list_lag;
    match platform.instances.get_mut(&notice.instance) {
        Some(listed) => {
            listed.leaving_at = Some(leaving_at);
            HttpResponse::NoContent().finish()
        }
        None => HttpResponse::NotFound().finish(),
    }
}

async fn list_notices(shared: types::State<Shared>) -> HttpResponse {
    if let Err(error_response) = begin_call(&shared, |stats| stats.list_calls += 1).await {
        return error_response;
    }
    let platform = shared.lock();
    let leaving: Vec<&String> = platform
        .instances
        .iter()
        .filter(|(_, listed)| listed.leaving_at.is_some())
        .map(|(name, _)| name)
        .collect();
    http::json(&json!({ "leaving": leaving }))
}

async fn start_instance(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    if let Err(error_response) = begin_call(&shared, |stats| stats.starts += 1).await {
        return error_response;
    }
    let request: StartRequest = match http::read_json(payload).await {
        Ok(request) => request,
        Err(error_response) => return error_response,
    };
    let mut platform = shared.lock();
    if platform.faults.refuse_starts {
        return HttpResponse::Conflict().body("no capacity\n");
    }
    let count = platform.started_instances.len();
    let name = platform
        .started_instances
        .entry(request.idempotency_key)
        .or_insert_with(|| format!("{}-started-{count}", request.role))
        .clone();
    http::json(&json!({ "instance": name }))
}
