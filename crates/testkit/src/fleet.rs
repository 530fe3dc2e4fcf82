//! A fleet for tests: entries with a fake platform, fake engines and fake services as child
//! processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use hickorycourse_settings::hash_key;
use serde_json::{Value, json};

use crate::address::allocate_address;
use crate::fault_proxy::FaultProxy;
use crate::http::{HttpResponse, send_request};
pub use crate::instances::{Entry, FakeServer};
use crate::process::Process;

/// The key of the caller `dealer-1` of the organisation `dealers`.
pub const DEALER_KEY: &str = "key-of-dealer-1";
/// The key of the caller `store-1` of the organisation `chain`.
pub const CHAIN_KEY: &str = "key-of-store-1";
/// The key that the entries accept from operators.
pub const OPERATOR_KEY: &str = "key-of-operators";
/// The model that the service `desk` offers.
pub const MODEL: &str = "desk-model";
const PEER_SECRET: &str = "a-secret-of-tests-only";
const POLL_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Configures and starts a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    zones: Vec<String>,
    engines_per_zone: usize,
    entries_per_zone: usize,
    services_per_zone: usize,
    engine_arguments: Vec<String>,
    concurrency: u32,
    timing: Value,
    limits: Value,
    policy: Value,
    site: Value,
    entry_settings: Value,
    has_fault_proxies: bool,
    log_level: String,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        Self {
            zones: vec!["zone-a".to_owned(), "zone-b".to_owned()],
            engines_per_zone: 1,
            entries_per_zone: 1,
            services_per_zone: 1,
            engine_arguments: Vec::new(),
            concurrency: 64,
            timing: json!({}),
            limits: json!({}),
            policy: json!({}),
            site: json!({}),
            entry_settings: json!({}),
            has_fault_proxies: false,
            log_level: "info".to_owned(),
        }
    }
}

impl FleetBuilder {
    /// Returns a builder for two availability zones, each with one engine, one service and one
    /// entry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the numbers of engines, services and entries in each availability zone.
    pub fn with_per_zone(mut self, engines: usize, services: usize, entries: usize) -> Self {
        self.engines_per_zone = engines;
        self.services_per_zone = services;
        self.entries_per_zone = entries;
        self
    }

    /// Sets the number of availability zones; they are named `zone-a`, `zone-b` and so on.
    pub fn with_zones(mut self, count: usize) -> Self {
        self.zones =
            (0..count).map(|index| format!("zone-{}", (b'a' + index as u8) as char)).collect();
        self
    }

    /// Adds command-line arguments for the engines.
    pub fn with_engine_arguments(mut self, arguments: &[&str]) -> Self {
        self.engine_arguments.extend(arguments.iter().map(|&argument| argument.to_owned()));
        self
    }

    /// Sets the number of calls that each upstream executes concurrently.
    pub fn with_concurrency(mut self, concurrency: u32) -> Self {
        self.concurrency = concurrency;
        self
    }

    /// Sets fields of the object `timing` in the entries' settings.
    pub fn with_timing(mut self, timing: Value) -> Self {
        self.timing = timing;
        self
    }

    /// Sets fields of the object `limits` in the entries' settings.
    pub fn with_limits(mut self, limits: Value) -> Self {
        self.limits = limits;
        self
    }

    /// Sets fields of the object `policy` in the site's settings.
    pub fn with_policy(mut self, policy: Value) -> Self {
        self.policy = policy;
        self
    }

    /// Sets top-level fields of the site's settings, such as `admission`.
    pub fn with_site_settings(mut self, site: Value) -> Self {
        self.site = site;
        self
    }

    /// Sets top-level fields of the entries' settings, such as `trace_address`.
    pub fn with_entry_settings(mut self, entry_settings: Value) -> Self {
        self.entry_settings = entry_settings;
        self
    }

    /// Places a [`FaultProxy`] in front of each entry's peer port and between each entry and the
    /// platform.
    pub fn with_fault_proxies(mut self) -> Self {
        self.has_fault_proxies = true;
        self
    }

    /// Sets the minimum severity that the entries log; `info` by default.
    pub fn with_log_level(mut self, level: &str) -> Self {
        level.clone_into(&mut self.log_level);
        self
    }

    /// Starts all processes, writes the settings and waits until the entries are ready.
    ///
    /// # Panics
    /// If a process cannot be started or an entry is not ready within 20 s.
    pub fn start(self) -> Fleet {
        let mut fleet = self.start_without_settings();
        fleet.load_settings();
        fleet.wait_until_ready();
        fleet
    }

    /// Starts all processes without writing settings to the platform.
    ///
    /// # Panics
    /// If a process cannot be started or a fake server does not listen within 20 s.
    pub fn start_without_settings(self) -> Fleet {
        let log_dir = create_log_dir();
        let platform = start_fake_server("platform", "platform", "", &log_dir, &[]);
        let mut fleet = Fleet {
            builder: self,
            log_dir,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            peer_proxies: Vec::new(),
            platform_proxies: Vec::new(),
        };
        fleet.start_upstreams();
        let zones = fleet.builder.zones.clone();
        for zone in &zones {
            for _ in 0..fleet.builder.entries_per_zone {
                fleet.add_entry(zone);
            }
        }
        fleet
    }
}

fn merge_fields(value: &mut Value, extra: &Value) {
    if let (Some(fields), Some(extra)) = (value.as_object_mut(), extra.as_object()) {
        fields.extend(extra.clone());
    }
}

fn create_log_dir() -> PathBuf {
    let ip = crate::address::allocate_ip();
    let dir = std::env::temp_dir().join(format!("hickorycourse-{ip}"));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("cannot create the log directory of the fleet");
    dir
}

fn start_fake_server(
    kind: &str,
    name: &str,
    zone: &str,
    log_dir: &Path,
    arguments: &[String],
) -> FakeServer {
    let address = allocate_address(8_000);
    let mut all_arguments = vec![kind.to_owned(), "--listen".to_owned(), address.to_string()];
    all_arguments.extend_from_slice(arguments);
    let process = Process::start("hickorycourse-standin", &all_arguments, name, log_dir);
    let server = FakeServer { name: name.to_owned(), zone: zone.to_owned(), address, process };
    poll_until(&format!("{name} to listen"), || {
        send_request("GET", &format!("http://{address}/stats"), &[], None).status == 200
    });
    server
}

/// Evaluates a condition every 20 ms until it holds.
///
/// # Panics
/// If it does not hold within 20 s; `what` describes the condition in the message.
pub fn poll_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < POLL_TIMEOUT,
            "timed out after {POLL_TIMEOUT:?} waiting for {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A running fleet. Dropping it ends its processes.
pub struct Fleet {
    builder: FleetBuilder,
    /// The directory of the processes' logs and settings files; deleted on drop unless the test
    /// panics.
    pub log_dir: PathBuf,
    /// The fake platform.
    pub platform: FakeServer,
    /// The fake engines.
    pub engines: Vec<FakeServer>,
    /// The fake upstreams of the plain service `orders`.
    pub services: Vec<FakeServer>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The proxies in front of the entries' peer ports, by entry index; empty without fault
    /// proxies.
    pub peer_proxies: Vec<FaultProxy>,
    /// The proxies between the entries and the platform, by entry index; empty without fault
    /// proxies.
    pub platform_proxies: Vec<FaultProxy>,
}

impl Fleet {
    fn start_upstreams(&mut self) {
        let builder = self.builder.clone();
        for zone in &builder.zones {
            for index in 0..builder.engines_per_zone {
                let name = format!("{zone}-engine-{index}");
                let mut arguments = builder.engine_arguments.clone();
                arguments.push("--concurrency".to_owned());
                arguments.push(builder.concurrency.to_string());
                let engine = start_fake_server("engine", &name, zone, &self.log_dir, &arguments);
                self.register_instance(&name, "desk", zone, engine.address);
                self.engines.push(engine);
            }
            for index in 0..builder.services_per_zone {
                let name = format!("{zone}-service-{index}");
                let service = start_fake_server("service", &name, zone, &self.log_dir, &[]);
                self.register_instance(&name, "orders", zone, service.address);
                self.services.push(service);
            }
        }
    }

    /// Adds an instance to the platform's instance list.
    ///
    /// # Panics
    /// If the platform does not answer with status 204.
    pub fn register_instance(&self, name: &str, role: &str, zone: &str, address: SocketAddr) {
        let instance = json!({
            "instance": name,
            "role": role,
            "availability_zone": zone,
            "address": address,
            "state": "live",
        });
        let url = format!("http://{}/instances", self.platform.address);
        let response = send_request("POST", &url, &[], Some(instance.to_string().as_bytes()));
        assert_eq!(response.status, 204);
    }

    /// Removes an instance from the platform's instance list.
    pub fn deregister_instance(&self, name: &str) {
        let url = format!("http://{}/instances/{name}", self.platform.address);
        send_request("DELETE", &url, &[], None);
    }

    /// Makes the platform announce that it will reclaim an instance.
    ///
    /// # Panics
    /// If the platform does not answer with status 204.
    pub fn send_reclaim_notice(&self, instance: &str) {
        let url = format!("http://{}/notices", self.platform.address);
        let body = json!({ "instance": instance }).to_string();
        let response = send_request("POST", &url, &[], Some(body.as_bytes()));
        assert_eq!(response.status, 204, "the platform rejected the notice for {instance}");
    }

    /// Registers and starts another entry and returns its index.
    pub fn add_entry(&mut self, zone: &str) -> usize {
        let index = self.entries.len();
        let name = format!("{zone}-entry-{index}");
        let host = crate::address::allocate_ip();
        let peer_address = SocketAddr::new(host, 7_080);
        let (mut advertised_address, mut platform) = (peer_address, self.platform.address);
        if self.builder.has_fault_proxies {
            let peer_proxy = FaultProxy::start(allocate_address(7_080), peer_address);
            let platform_proxy = FaultProxy::start(allocate_address(8_000), platform);
            (advertised_address, platform) = (peer_proxy.address, platform_proxy.address);
            self.peer_proxies.push(peer_proxy);
            self.platform_proxies.push(platform_proxy);
        }
        // The peer addresses of running entries allow a start while the platform is unavailable.
        let seeds: Vec<SocketAddr> = match self.builder.has_fault_proxies {
            true => self.peer_proxies.iter().map(|proxy| proxy.address).collect(),
            false => self.entries.iter().map(|entry| entry.peer_address).collect(),
        };
        let mut settings = json!({
            "instance": name,
            "availability_zone": zone,
            "caller_address": SocketAddr::new(host, 8_080),
            "operator_address": SocketAddr::new(host, 9_080),
            "peer_address": peer_address,
            "advertised_peer_address": advertised_address,
            "platform_addresses": [platform],
            "peer_addresses": seeds,
            "operator_key_hashes": [hash_key(OPERATOR_KEY)],
            "peer_secret": PEER_SECRET,
            "limits": self.builder.limits,
            "timing": self.builder.timing,
            "log": { "level": self.builder.log_level },
        });
        merge_fields(&mut settings, &self.builder.entry_settings);
        let settings_path = self.log_dir.join(format!("{name}.jsonc"));
        std::fs::write(&settings_path, format!("{settings:#}\n"))
            .expect("cannot write the entry's settings file");
        self.register_instance(&name, "entry", zone, advertised_address);
        let arguments = vec![settings_path.display().to_string()];
        let process = Process::start("hickorycourse-entry", &arguments, &name, &self.log_dir);
        self.entries.push(Entry {
            name,
            zone: zone.to_owned(),
            caller_address: SocketAddr::new(host, 8_080),
            operator_address: SocketAddr::new(host, 9_080),
            peer_address,
            process,
            settings_path,
        });
        index
    }

    /// Kills an entry's process and starts it again with the same settings.
    pub fn restart_entry(&mut self, index: usize) {
        let log_dir = self.log_dir.clone();
        self.entries[index].restart(&log_dir);
    }

    /// Builds the site's settings document from the builder's options and the running upstreams.
    pub fn build_site_settings(&self) -> Value {
        let upstream = |server: &FakeServer, service: &str| {
            json!({
                "instance": server.name,
                "service": service,
                "availability_zone": server.zone,
                "address": server.address,
                "concurrency": self.builder.concurrency,
                "machine_class": "reclaimable",
            })
        };
        let mut upstreams: Vec<Value> =
            self.engines.iter().map(|engine| upstream(engine, "desk")).collect();
        upstreams.extend(self.services.iter().map(|service| upstream(service, "orders")));
        let mut site = json!({
            "site": "test",
            "ranks": {
                "urgent": { "urgency": 0 },
                "standard": { "urgency": 1 },
                "deferrable": { "urgency": 2 },
            },
            "services": {
                "desk": { "kind": "model", "model": MODEL, "default_rank": "urgent" },
                "orders": {
                    "kind": "plain",
                    "path_prefix": "/orders",
                    "non_idempotent_methods": ["POST"],
                    "default_rank": "urgent",
                },
            },
            "upstreams": upstreams,
            "policy": self.builder.policy,
        });
        merge_fields(&mut site, &self.builder.site);
        site
    }

    /// Builds the settings document of an organisation with one caller.
    pub fn build_organisation_settings(name: &str, caller: &str, key: &str) -> Value {
        json!({
            "organisation": name,
            "callers": [{ "caller": caller, "key_hash": hash_key(key) }],
        })
    }

    /// Writes the settings of the site and two organisations through the first entry.
    ///
    /// # Panics
    /// If the entry does not respond within 20 s or rejects a document.
    pub fn load_settings(&mut self) {
        let site = self.build_site_settings();
        let dealers = Self::build_organisation_settings("dealers", "dealer-1", DEALER_KEY);
        let chain = Self::build_organisation_settings("chain", "store-1", CHAIN_KEY);
        poll_until("the first entry to respond on its operator port", || {
            self.entries[0].send_operator_request("GET", "/v1/status", None).status == 200
        });
        for (name, value) in
            [("site", site), ("organisation/dealers", dealers), ("organisation/chain", chain)]
        {
            let response = self.set_settings(0, name, 0, &value);
            assert_eq!(
                response.status, 200,
                "the entry rejected the settings document {name}: {}",
                response.body
            );
        }
    }

    /// Updates a settings document through an entry. `read_revision` is the revision on which the
    /// change is based.
    pub fn set_settings(
        &self,
        entry: usize,
        name: &str,
        read_revision: u64,
        value: &Value,
    ) -> HttpResponse {
        let id = format!("change-of-{name}-{read_revision}-{entry}");
        self.set_settings_with_id(entry, name, read_revision, value, &id)
    }

    /// Updates a settings document like [`Self::set_settings`], with a given id of the change.
    pub fn set_settings_with_id(
        &self,
        entry: usize,
        name: &str,
        read_revision: u64,
        value: &Value,
        id: &str,
    ) -> HttpResponse {
        let edit = json!({
            "id": id,
            "read_revision": read_revision,
            "at_ms": 0,
            "operator": "test",
            "summary": "a test",
            "text": format!("{value:#}\n"),
        });
        self.entries[entry].send_operator_request(
            "PUT",
            &format!("/v1/settings/{name}"),
            Some(&edit),
        )
    }

    /// Returns the active revision of a settings document at an entry; 0 if it has none.
    pub fn active_revision(&self, entry: usize, name: &str) -> u64 {
        let response =
            self.entries[entry].send_operator_request("GET", &format!("/v1/settings/{name}"), None);
        response.json()["revision"].as_u64().unwrap_or(0)
    }

    /// Waits until all entries are ready, reach each other and have the same three documents.
    ///
    /// # Panics
    /// If one of these conditions does not hold within 20 s.
    pub fn wait_until_ready(&self) {
        for entry in &self.entries {
            poll_until(&format!("{} to be ready", entry.name), || entry.is_ready());
        }
        let others = self.entries.len() - 1;
        poll_until("the entries to reach each other and have the same settings", || {
            let states: Vec<Value> = self.entries.iter().map(Entry::status).collect();
            states.iter().all(|status| {
                let members = status["members"].as_array().cloned().unwrap_or_default();
                let reachable = members.iter().filter(|member| member["is_reachable"] == true);
                reachable.count() == others
                    && status["settings"].as_array().map_or(0, Vec::len) == 3
                    && status["settings_digest"] == states[0]["settings_digest"]
            })
        });
    }

    /// Returns how often an order was executed, summed over all services.
    pub fn count_executions(&self, order: &str) -> u64 {
        let stats = self.services.iter().map(FakeServer::stats);
        stats.map(|stats| stats["executions"][order].as_u64().unwrap_or(0)).sum()
    }

    /// Returns the logs of all entries, to be printed when a test fails.
    pub fn read_logs(&self) -> String {
        let entries = self.entries.iter();
        entries.map(|entry| format!("--- {}\n{}", entry.name, entry.process.read_log())).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.read_logs());
            return;
        }
        let _ = std::fs::remove_dir_all(&self.log_dir);
    }
}
