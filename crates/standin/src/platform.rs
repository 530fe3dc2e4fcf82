//! The platform: key-value service, instance list, reclaim notices, cloud.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::stream;
use hickorycourse_store::{
    FleetInstance, GatewayKeyValue, InstanceState, KeyValueRecord, StartRequest, WatchFrame, decode,
};
use ntex::util::Bytes;
use ntex::web::{self, App, HttpResponse, HttpServer, types};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::http::{self, BodyStream, broken, pause_ms};

/// Faults; each holds until it is switched off.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Refuse every call and end the watches.
    down: bool,
    /// Never answer.
    silent: bool,
    /// Wait before each answer.
    slow_ms: u64,
    /// Let so many writes take effect and lose their answers.
    lose_write_answers: u64,
    /// Lose so many writes, with their answers.
    lose_writes: u64,
    /// Keep watches open without telling them anything.
    mute_watches: bool,
    /// Refuse every start of an instance.
    refuse_starts: bool,
    /// Refuse calls above this rate.
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
    expires: Instant,
    keys: Vec<String>,
}

struct Watcher {
    prefix: Vec<u8>,
    sender: mpsc::UnboundedSender<Bytes>,
}

struct ListedInstance {
    instance: FleetInstance,
    listed_from: Instant,
    leaving_from: Option<Instant>,
}

struct Platform {
    list_lag: Duration,
    faults: Faults,
    stats: Stats,
    values: BTreeMap<String, KeyValueRecord>,
    revision: u64,
    leases: BTreeMap<i64, LeaseRecord>,
    next_lease: i64,
    watchers: Vec<Watcher>,
    instances: BTreeMap<String, ListedInstance>,
    started: BTreeMap<String, String>,
    second_started: Instant,
    calls_in_second: u64,
}

type Shared = Arc<Mutex<Platform>>;

const LEASE_CHECK_MS: u64 = 50;

/// Runs the platform.
pub async fn run(address: SocketAddr, list_lag_ms: u64) -> std::io::Result<()> {
    let shared: Shared = Arc::new(Mutex::new(Platform {
        list_lag: Duration::from_millis(list_lag_ms),
        faults: Faults::default(),
        stats: Stats::default(),
        values: BTreeMap::new(),
        revision: 1,
        leases: BTreeMap::new(),
        next_lease: 1,
        watchers: Vec::new(),
        instances: BTreeMap::new(),
        started: BTreeMap::new(),
        second_started: Instant::now(),
        calls_in_second: 0,
    }));
    ntex::rt::spawn(expire_leases(Arc::clone(&shared)));
    HttpServer::new(async move || {
        App::new()
            .state(shared.clone())
            .route("/v3/kv/range", web::post().to(range))
            .route("/v3/kv/txn", web::post().to(transact))
            .route("/v3/watch", web::post().to(watch))
            .route("/v3/lease/grant", web::post().to(grant_lease))
            .route("/v3/lease/keepalive", web::post().to(renew_lease))
            .route("/v3/lease/revoke", web::post().to(revoke_lease))
            .route("/instances", web::get().to(list_instances))
            .route("/instances", web::post().to(add_instance))
            .route("/instances/{name}", web::delete().to(remove_instance))
            .route("/notices", web::get().to(list_notices))
            .route("/notices", web::post().to(give_notice))
            .route("/cloud/instances", web::post().to(start_instance))
            .route("/faults", web::post().to(set_faults))
            .route("/stats", web::get().to(get_stats))
    })
    .workers(1)
    .listen(http::listen(address)?)?
    .run()
    .await
}

async fn expire_leases(shared: Shared) {
    loop {
        pause_ms(LEASE_CHECK_MS).await;
        let mut platform = shared.lock();
        let now = Instant::now();
        let lapsed: Vec<i64> = platform
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            platform.end_lease(id);
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
        Err(refusal) => refusal,
    }
}

async fn get_stats(shared: types::State<Shared>) -> HttpResponse {
    let platform = shared.lock();
    let watchers = platform.watchers.iter().filter(|w| !w.sender.is_closed()).count();
    let keys: BTreeMap<&String, usize> =
        platform.values.iter().map(|(key, stored)| (key, stored.value.len())).collect();
    http::json(&json!({
        "stats": platform.stats,
        "open_watches": watchers,
        "revision": platform.revision,
        "value_bytes": keys,
    }))
}

/// Counts a call and lets it fail as told.
async fn enter(shared: &Shared, count: impl FnOnce(&mut Stats)) -> Result<(), HttpResponse> {
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
    pause_ms(faults.slow_ms).await;
    Ok(())
}

/// An answer that never arrives.
fn lose_answer() -> HttpResponse {
    let body: BodyStream = Box::pin(stream::once(std::future::ready(Err(broken()))));
    HttpResponse::Ok().streaming(body)
}

impl Platform {
    fn is_over_rate(&mut self) -> bool {
        let Some(limit) = self.faults.calls_per_s else { return false };
        if self.second_started.elapsed() >= Duration::from_secs(1) {
            self.second_started = Instant::now();
            self.calls_in_second = 0;
        }
        self.calls_in_second += 1;
        self.calls_in_second > limit
    }

    fn put(&mut self, key: &str, value: Vec<u8>, lease: Option<i64>) -> u64 {
        self.revision += 1;
        let mod_revision = self.revision;
        let stored = KeyValueRecord { key: key.to_owned(), value, mod_revision };
        self.tell_watchers("PUT", &stored);
        self.values.insert(key.to_owned(), stored);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.push(key.to_owned());
        }
        mod_revision
    }

    fn delete(&mut self, key: &str) {
        if let Some(mut stored) = self.values.remove(key) {
            self.revision += 1;
            stored.mod_revision = self.revision;
            stored.value.clear();
            self.tell_watchers("DELETE", &stored);
        }
    }

    fn tell_watchers(&mut self, kind: &str, stored: &KeyValueRecord) {
        if self.faults.mute_watches {
            return;
        }
        let line = Bytes::from(format!(
            "{}\n",
            json!({ "result": { "events": [{
                "type": kind,
                "kv": GatewayKeyValue::from_record(stored),
            }]}})
        ));
        self.watchers.retain(|watcher| {
            let matches = stored.key.as_bytes().starts_with(&watcher.prefix);
            !matches || watcher.sender.send(line.clone()).is_ok()
        });
    }

    fn end_lease(&mut self, id: i64) {
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

async fn range(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    if let Err(refusal) = enter(&shared, |stats| stats.reads += 1).await {
        return refusal;
    }
    let request: RangeRequest = match http::read_json(payload).await {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    let platform = shared.lock();
    let start = decode(&request.key).unwrap_or_default();
    let end = request.range_end.as_deref().and_then(decode);
    let matches = |key: &str| match &end {
        None => key.as_bytes() == start,
        Some(end) => key.as_bytes() >= start.as_slice() && key.as_bytes() < end.as_slice(),
    };
    let least_revision: u64 = request.min_mod_revision.parse().unwrap_or(0);
    let kvs: Vec<GatewayKeyValue> = platform
        .values
        .values()
        .filter(|stored| matches(&stored.key) && stored.mod_revision >= least_revision)
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
    if let Err(refusal) = enter(&shared, |stats| stats.writes += 1).await {
        return refusal;
    }
    let request: TxnRequest = match http::read_json(payload).await {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    let mut platform = shared.lock();
    if platform.faults.lose_writes > 0 {
        platform.faults.lose_writes -= 1;
        return lose_answer();
    }
    let read_key =
        |key: &str| String::from_utf8(decode(key).unwrap_or_default()).unwrap_or_default();
    let holds = request.compare.iter().all(|compare| {
        let stored = platform.values.get(&read_key(&compare.key));
        stored.map_or(0, |s| s.mod_revision).to_string() == compare.mod_revision
    });
    if !holds {
        let key = request.compare.first().map(|c| read_key(&c.key)).unwrap_or_default();
        let kvs: Vec<GatewayKeyValue> =
            platform.values.get(&key).iter().map(|s| GatewayKeyValue::from_record(s)).collect();
        return http::json(&json!({
            "header": { "revision": platform.revision.to_string() },
            "succeeded": false,
            "responses": [{ "response_range": { "kvs": kvs } }],
        }));
    }
    for operation in &request.success {
        let put = &operation.request_put;
        let lease = put.lease.as_deref().and_then(|lease| lease.parse().ok());
        platform.put(&read_key(&put.key), decode(&put.value).unwrap_or_default(), lease);
    }
    if platform.faults.lose_write_answers > 0 {
        platform.faults.lose_write_answers -= 1;
        return lose_answer();
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
    if let Err(refusal) = enter(&shared, |stats| stats.watches += 1).await {
        return refusal;
    }
    let request: WatchRequest = match http::read_json(payload).await {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut created = WatchFrame::default();
    created.result.created = true;
    let first = serde_json::to_string(&created).unwrap_or_default();
    let _ = sender.send(Bytes::from(format!("{first}\n")));
    let prefix = decode(&request.create_request.key).unwrap_or_default();
    shared.lock().watchers.push(Watcher { prefix, sender });
    let body: BodyStream = Box::pin(stream::unfold(receiver, |mut receiver| async move {
        let line = receiver.recv().await?;
        Some((Ok(line), receiver))
    }));
    HttpResponse::Ok().streaming(body)
}

async fn grant_lease(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    if let Err(refusal) = enter(&shared, |stats| stats.lease_calls += 1).await {
        return refusal;
    }
    let request: Value = match http::read_json(payload).await {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    let ttl_s: u64 = request["TTL"].as_str().and_then(|ttl| ttl.parse().ok()).unwrap_or(1);
    let ttl = Duration::from_secs(ttl_s);
    let mut platform = shared.lock();
    let id = platform.next_lease;
    platform.next_lease += 1;
    let lease = LeaseRecord { ttl, expires: Instant::now() + ttl, keys: Vec::new() };
    platform.leases.insert(id, lease);
    http::json(&json!({ "ID": id.to_string(), "TTL": ttl_s.to_string() }))
}

fn lease_id(request: &Value) -> i64 {
    request["ID"].as_str().and_then(|id| id.parse().ok()).unwrap_or(0)
}

async fn renew_lease(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    if let Err(refusal) = enter(&shared, |stats| stats.lease_calls += 1).await {
        return refusal;
    }
    let request: Value = match http::read_json(payload).await {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    let id = lease_id(&request);
    let mut platform = shared.lock();
    let ttl_s = platform.leases.get_mut(&id).map_or(0, |lease| {
        lease.expires = Instant::now() + lease.ttl;
        lease.ttl.as_secs()
    });
    http::json(&json!({ "result": { "ID": id.to_string(), "TTL": ttl_s.to_string() } }))
}

async fn revoke_lease(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    if let Err(refusal) = enter(&shared, |stats| stats.lease_calls += 1).await {
        return refusal;
    }
    let request: Value = match http::read_json(payload).await {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    shared.lock().end_lease(lease_id(&request));
    http::json(&json!({}))
}

async fn list_instances(shared: types::State<Shared>) -> HttpResponse {
    if let Err(refusal) = enter(&shared, |stats| stats.list_calls += 1).await {
        return refusal;
    }
    let platform = shared.lock();
    let now = Instant::now();
    let listed: Vec<FleetInstance> = platform
        .instances
        .values()
        .filter(|listed| listed.listed_from <= now)
        .map(|listed| {
            let mut instance = listed.instance.clone();
            if listed.leaving_from.is_some_and(|from| from <= now) {
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
        Err(refusal) => return refusal,
    };
    let mut platform = shared.lock();
    let listed_from = Instant::now() + platform.list_lag;
    let name = instance.instance.clone();
    let listed = ListedInstance { instance, listed_from, leaving_from: None };
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

async fn give_notice(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    let notice: Notice = match http::read_json(payload).await {
        Ok(notice) => notice,
        Err(refusal) => return refusal,
    };
    let mut platform = shared.lock();
    let leaving_from = Instant::now() + platform.list_lag;
    match platform.instances.get_mut(&notice.instance) {
        Some(listed) => {
            listed.leaving_from = Some(leaving_from);
            HttpResponse::NoContent().finish()
        }
        None => HttpResponse::NotFound().finish(),
    }
}

async fn list_notices(shared: types::State<Shared>) -> HttpResponse {
    if let Err(refusal) = enter(&shared, |stats| stats.list_calls += 1).await {
        return refusal;
    }
    let platform = shared.lock();
    let leaving: Vec<&String> = platform
        .instances
        .iter()
        .filter(|(_, listed)| listed.leaving_from.is_some())
        .map(|(name, _)| name)
        .collect();
    http::json(&json!({ "leaving": leaving }))
}

async fn start_instance(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    if let Err(refusal) = enter(&shared, |stats| stats.starts += 1).await {
        return refusal;
    }
    let request: StartRequest = match http::read_json(payload).await {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    let mut platform = shared.lock();
    if platform.faults.refuse_starts {
        return HttpResponse::Conflict().body("no capacity\n");
    }
    let count = platform.started.len();
    let name = platform
        .started
        .entry(request.idempotency_key)
        .or_insert_with(|| format!("{}-started-{count}", request.role))
        .clone();
    http::json(&json!({ "instance": name }))
}
