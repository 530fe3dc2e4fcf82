//! A small fleet: stand-ins and entries as processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use hickorycourse_settings::hash_key;
use serde_json::{Value, json};

use crate::address::draw_address;
use crate::http::{Answer, ask};
pub use crate::instances::{Entry, StandIn};
use crate::process::Process;
use crate::relay::Relay;

/// The key of the caller `dealer-1` of the organisation `dealers`.
pub const DEALER_KEY: &str = "key-of-dealer-1";
/// The key of the caller `store-1` of the organisation `chain`.
pub const CHAIN_KEY: &str = "key-of-store-1";
/// The operators' key.
pub const OPERATOR_KEY: &str = "key-of-operators";
/// The model of the service `desk`.
pub const MODEL: &str = "desk-model";
const PEER_SECRET: &str = "a-secret-of-tests-only";
const READY_LIMIT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);

/// What a fleet consists of.
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
    process: Value,
    has_relays: bool,
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
            process: json!({}),
            has_relays: false,
            log_level: "info".to_owned(),
        }
    }
}

impl FleetBuilder {
    /// Starts with two availability zones, each with an engine, a service and an entry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how many engines, services and entries each availability zone has.
    pub fn with_per_zone(mut self, engines: usize, services: usize, entries: usize) -> Self {
        self.engines_per_zone = engines;
        self.services_per_zone = services;
        self.entries_per_zone = entries;
        self
    }

    /// Sets the number of availability zones.
    pub fn with_zones(mut self, count: usize) -> Self {
        self.zones =
            (0..count).map(|index| format!("zone-{}", (b'a' + index as u8) as char)).collect();
        self
    }

    /// Adds arguments of the engines.
    pub fn with_engine_arguments(mut self, arguments: &[&str]) -> Self {
        self.engine_arguments.extend(arguments.iter().map(|&argument| argument.to_owned()));
        self
    }

    /// Sets the calls that an upstream works on at once.
    pub fn with_concurrency(mut self, concurrency: u32) -> Self {
        self.concurrency = concurrency;
        self
    }

    /// Sets fields of the entries' `timing`.
    pub fn with_timing(mut self, timing: Value) -> Self {
        self.timing = timing;
        self
    }

    /// Sets fields of the entries' `limits`.
    pub fn with_limits(mut self, limits: Value) -> Self {
        self.limits = limits;
        self
    }

    /// Sets fields of the site's `policy`.
    pub fn with_policy(mut self, policy: Value) -> Self {
        self.policy = policy;
        self
    }

    /// Sets fields of the site, such as `admission`.
    pub fn with_site(mut self, site: Value) -> Self {
        self.site = site;
        self
    }

    /// Sets fields of the entries' settings, such as `trace_address`.
    pub fn with_process(mut self, process: Value) -> Self {
        self.process = process;
        self
    }

    /// Puts a relay before every entry's peer port and between every entry and the platform.
    pub fn with_relays(mut self) -> Self {
        self.has_relays = true;
        self
    }

    /// Sets the least level of the entries' log lines.
    pub fn with_log_level(mut self, level: &str) -> Self {
        level.clone_into(&mut self.log_level);
        self
    }

    /// Starts all processes and waits until the entries are ready.
    pub fn start(self) -> Fleet {
        let mut fleet = self.start_empty();
        fleet.load_settings();
        fleet.wait_ready();
        fleet
    }

    /// Starts all processes, without settings in the platform.
    pub fn start_empty(self) -> Fleet {
        let log_dir = make_log_dir();
        let platform = start_stand_in("platform", "platform", "", &log_dir, &[]);
        let mut fleet = Fleet {
            builder: self,
            log_dir,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            peer_relays: Vec::new(),
            platform_relays: Vec::new(),
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

fn extend(value: &mut Value, extra: &Value) {
    if let (Some(fields), Some(extra)) = (value.as_object_mut(), extra.as_object()) {
        fields.extend(extra.clone());
    }
}

fn make_log_dir() -> PathBuf {
    let ip = crate::address::draw_ip();
    let dir = std::env::temp_dir().join(format!("hickorycourse-{ip}"));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("the directory for temporary files is writable");
    dir
}

fn start_stand_in(
    kind: &str,
    name: &str,
    zone: &str,
    log_dir: &Path,
    arguments: &[String],
) -> StandIn {
    let address = draw_address(8_000);
    let mut all = vec![kind.to_owned(), "--listen".to_owned(), address.to_string()];
    all.extend_from_slice(arguments);
    let process = Process::start("hickorycourse-standin", &all, name, log_dir);
    let stand_in = StandIn { name: name.to_owned(), zone: zone.to_owned(), address, process };
    wait_for(&format!("{name} to listen"), || {
        ask("GET", &format!("http://{address}/stats"), &[], None).status == 200
    });
    stand_in
}

/// Waits until a condition holds.
///
/// # Panics
/// If it doesn't hold for long.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < READY_LIMIT, "waited too long for {what}");
        std::thread::sleep(POLL);
    }
}

/// Stand-ins and entries as processes.
pub struct Fleet {
    builder: FleetBuilder,
    /// Where the processes write their logs and settings.
    pub log_dir: PathBuf,
    /// The platform.
    pub platform: StandIn,
    /// The engines.
    pub engines: Vec<StandIn>,
    /// The plain services.
    pub services: Vec<StandIn>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Before each entry's peer port, if there are relays.
    pub peer_relays: Vec<Relay>,
    /// Between each entry and the platform, if there are relays.
    pub platform_relays: Vec<Relay>,
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
                let engine = start_stand_in("engine", &name, zone, &self.log_dir, &arguments);
                self.list_instance(&name, "desk", zone, engine.address);
                self.engines.push(engine);
            }
            for index in 0..builder.services_per_zone {
                let name = format!("{zone}-service-{index}");
                let service = start_stand_in("service", &name, zone, &self.log_dir, &[]);
                self.list_instance(&name, "orders", zone, service.address);
                self.services.push(service);
            }
        }
    }

    /// Adds an instance to the platform's list.
    pub fn list_instance(&self, name: &str, role: &str, zone: &str, address: SocketAddr) {
        let instance = json!({
            "instance": name,
            "role": role,
            "availability_zone": zone,
            "address": address,
            "state": "live",
        });
        let url = format!("http://{}/instances", self.platform.address);
        let answer = ask("POST", &url, &[], Some(instance.to_string().as_bytes()));
        assert_eq!(answer.status, 204);
    }

    /// Takes an instance off the platform's list.
    pub fn unlist_instance(&self, name: &str) {
        let url = format!("http://{}/instances/{name}", self.platform.address);
        ask("DELETE", &url, &[], None);
    }

    /// Lets the platform give notice that an instance is taken back.
    pub fn give_notice(&self, instance: &str) {
        let url = format!("http://{}/notices", self.platform.address);
        let body = json!({ "instance": instance }).to_string();
        let answer = ask("POST", &url, &[], Some(body.as_bytes()));
        assert_eq!(answer.status, 204, "{instance} is listed");
    }

    /// Starts one more entry and lists it.
    pub fn add_entry(&mut self, zone: &str) -> usize {
        let index = self.entries.len();
        let name = format!("{zone}-entry-{index}");
        let host = crate::address::draw_ip();
        let peer_address = SocketAddr::new(host, 7_080);
        let (mut listed, mut platform) = (peer_address, self.platform.address);
        if self.builder.has_relays {
            let peer_relay = Relay::start(draw_address(7_080), peer_address);
            let platform_relay = Relay::start(draw_address(8_000), platform);
            (listed, platform) = (peer_relay.address, platform_relay.address);
            self.peer_relays.push(peer_relay);
            self.platform_relays.push(platform_relay);
        }
        // Entries that are there already, for starts while the platform is down.
        let seeds: Vec<SocketAddr> = match self.builder.has_relays {
            true => self.peer_relays.iter().map(|relay| relay.address).collect(),
            false => self.entries.iter().map(|entry| entry.peer_address).collect(),
        };
        let mut settings = json!({
            "instance": name,
            "availability_zone": zone,
            "caller_address": SocketAddr::new(host, 8_080),
            "operator_address": SocketAddr::new(host, 9_080),
            "peer_address": peer_address,
            "advertised_peer_address": listed,
            "platform_addresses": [platform],
            "peer_addresses": seeds,
            "operator_key_hashes": [hash_key(OPERATOR_KEY)],
            "peer_secret": PEER_SECRET,
            "limits": self.builder.limits,
            "timing": self.builder.timing,
            "log": { "level": self.builder.log_level },
        });
        extend(&mut settings, &self.builder.process);
        let file = self.log_dir.join(format!("{name}.jsonc"));
        std::fs::write(&file, format!("{settings:#}\n")).expect("the directory is writable");
        self.list_instance(&name, "entry", zone, listed);
        let arguments = vec![file.display().to_string()];
        let process = Process::start("hickorycourse-entry", &arguments, &name, &self.log_dir);
        self.entries.push(Entry {
            name,
            zone: zone.to_owned(),
            caller_address: SocketAddr::new(host, 8_080),
            operator_address: SocketAddr::new(host, 9_080),
            peer_address,
            process,
            settings: file,
        });
        index
    }

    /// Ends an entry's process and starts it anew.
    pub fn restart_entry(&mut self, index: usize) {
        let log_dir = self.log_dir.clone();
        self.entries[index].restart(&log_dir);
    }

    /// The site's settings.
    pub fn make_site(&self) -> Value {
        let upstream = |stand_in: &StandIn, service: &str| {
            json!({
                "instance": stand_in.name,
                "service": service,
                "availability_zone": stand_in.zone,
                "address": stand_in.address,
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
        extend(&mut site, &self.builder.site);
        site
    }

    /// The settings of an organisation with one caller.
    pub fn make_organisation(name: &str, caller: &str, key: &str) -> Value {
        json!({
            "organisation": name,
            "callers": [{ "caller": caller, "key_hash": hash_key(key) }],
        })
    }

    /// Writes the site and two organisations through the first entry.
    pub fn load_settings(&mut self) {
        let site = self.make_site();
        let dealers = Self::make_organisation("dealers", "dealer-1", DEALER_KEY);
        let chain = Self::make_organisation("chain", "store-1", CHAIN_KEY);
        wait_for("the first entry's operators' port", || {
            self.entries[0].operate("GET", "/v1/status", None).status == 200
        });
        for (name, value) in
            [("site", site), ("organisation/dealers", dealers), ("organisation/chain", chain)]
        {
            let answer = self.set_settings(0, name, 0, &value);
            assert_eq!(answer.status, 200, "{name} is taken: {}", answer.body);
        }
    }

    /// Changes a document through an entry.
    pub fn set_settings(
        &self,
        entry: usize,
        name: &str,
        read_revision: u64,
        value: &Value,
    ) -> Answer {
        let id = format!("change-of-{name}-{read_revision}-{entry}");
        self.set_settings_with_id(entry, name, read_revision, value, &id)
    }

    /// Changes a document through an entry, with an id for the change.
    pub fn set_settings_with_id(
        &self,
        entry: usize,
        name: &str,
        read_revision: u64,
        value: &Value,
        id: &str,
    ) -> Answer {
        let edit = json!({
            "id": id,
            "read_revision": read_revision,
            "at_ms": 0,
            "operator": "test",
            "summary": "a test",
            "text": format!("{value:#}\n"),
        });
        self.entries[entry].operate("PUT", &format!("/v1/settings/{name}"), Some(&edit))
    }

    /// The revision of a document that is in force at an entry.
    pub fn revision_in_force(&self, entry: usize, name: &str) -> u64 {
        let answer = self.entries[entry].operate("GET", &format!("/v1/settings/{name}"), None);
        answer.json()["revision"].as_u64().unwrap_or(0)
    }

    /// Waits until all entries have all settings and know each other.
    pub fn wait_ready(&self) {
        for entry in &self.entries {
            wait_for(&format!("{} to be ready", entry.name), || entry.is_ready());
        }
        let others = self.entries.len() - 1;
        wait_for("the entries to know each other and agree", || {
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

    /// How often each order was executed, over all services.
    pub fn count_executions(&self, order: &str) -> u64 {
        let stats = self.services.iter().map(StandIn::stats);
        stats.map(|stats| stats["executions"][order].as_u64().unwrap_or(0)).sum()
    }

    /// All that the processes have written, for a test that fails.
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
