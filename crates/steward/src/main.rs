//! The steward process.
//!
//! The stewards of an availability zone compete for its lease. The holder sends engines the desired
//! state from the settings together with its fencing token, and replaces instances that are about
//! to be terminated. A steward is not on the request path, so its suspension or crash affects no
//! request.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use bpaf::Bpaf;
use hickorycourse_clock::{Clock, SystemClock, sleep, timeout};
use hickorycourse_settings::document::{Document, DocumentName};
use hickorycourse_settings::{
    MachineClass, ProcessSettings, Site, UpstreamSettings, parse_document, read_document,
};
use hickorycourse_steward::{ORDER_TIMEOUT_MS, PlannedStart, ReplacementPlanner, ZoneLease};
use hickorycourse_store::{
    Fleet, FleetClient, GatewayClient, KeyValue, Lease, PlatformError, StartRequest, SwapOutcome,
    build_client,
};
use hickorycourse_telemetry::{LogOptions, init_logging};
use ntex::client::Client;
use serde_json::json;

/// Sends engines their desired state and replaces leaving instances of one availability zone.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Settings file of the entry on the same instance, JSON with comments
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

const LEASE_TTL_MS: u64 = 3_000;
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);
/// Key prefix of the leases in the key-value service; each availability zone has one key.
const KEY_PREFIX: &str = "hickorycourse/steward/";
const EXIT_BAD_SETTINGS: i32 = 2;

struct Steward {
    settings: ProcessSettings,
    clock: SystemClock,
    key_value: Rc<dyn KeyValue>,
    fleet: Rc<dyn Fleet>,
    client: Client,
    zone_lease: ZoneLease,
    stored_lease: Option<Lease>,
    planner: ReplacementPlanner,
}

#[ntex::main]
async fn main() -> eyre::Result<()> {
    let options = options().run();
    let settings = read_settings(&options.file);
    init_logging(LogOptions { level: log::LevelFilter::Info, is_json: false });
    let timeout_ms = settings.timing.platform_timeout_ms;
    let key_value = GatewayClient::new(&settings.platform_addresses, timeout_ms).await;
    let fleet = FleetClient::new(settings.platform_addresses[0], timeout_ms).await;
    let mut steward = Steward {
        clock: SystemClock::new(),
        key_value: Rc::new(key_value),
        fleet: Rc::new(fleet),
        client: build_client().await,
        zone_lease: ZoneLease::new(LEASE_TTL_MS),
        stored_lease: None,
        planner: ReplacementPlanner::new(&settings.availability_zone),
        settings,
    };
    log::info!(
        target: "steward",
        "Steward started in availability zone {}.",
        steward.settings.availability_zone,
    );
    loop {
        if let Err(error) = steward.reconcile().await {
            log::warn!(
                target: "steward",
                "The control loop failed to use the platform (`platform_addresses`); retrying: {error}.",
            );
        }
        sleep(RECONCILE_INTERVAL).await;
    }
}

fn read_settings(path: &Path) -> ProcessSettings {
    read_document(path).unwrap_or_else(|errors| {
        eprintln!("{}", errors.join("\n"));
        std::process::exit(EXIT_BAD_SETTINGS)
    })
}

impl Steward {
    /// Runs one iteration of the control loop: keeps or acquires the lease and, while it is held,
    /// sends the desired state and starts replacements.
    async fn reconcile(&mut self) -> Result<(), PlatformError> {
        if self.zone_lease.is_held(self.clock.now_ms()) {
            self.renew_lease().await?;
        } else {
            self.try_acquire_lease().await?;
        }
        if !self.zone_lease.is_held(self.clock.now_ms()) {
            return Ok(());
        }
        let Some(site) = self.read_site().await? else { return Ok(()) };
        self.send_orders(&site).await;
        self.replace_leaving(&site).await
    }

    async fn renew_lease(&mut self) -> Result<(), PlatformError> {
        let Some(lease) = self.stored_lease else { return Ok(()) };
        let sent_at_ms = self.clock.now_ms();
        let is_renewed = self.key_value.renew_lease(lease).await?;
        if is_renewed {
            self.zone_lease.record_renewed(sent_at_ms, self.clock.now_ms());
        } else {
            log::warn!(
                target: "steward",
                "The zone's lease expired before it was renewed; another steward may acquire it.",
            );
            self.zone_lease.record_lost();
        }
        Ok(())
    }

    /// Acquires the zone's lease if no steward holds it.
    async fn try_acquire_lease(&mut self) -> Result<(), PlatformError> {
        self.zone_lease.record_lost();
        let key = format!("{KEY_PREFIX}{}", self.settings.availability_zone);
        if self.key_value.get(&key).await?.is_some() {
            return Ok(());
        }
        let sent_at_ms = self.clock.now_ms();
        let lease = self.key_value.grant_lease(LEASE_TTL_MS).await?;
        let name = self.settings.instance.as_bytes();
        // If the response is lost, the key may have been written. It expires with its lease, so a
        // later attempt can acquire the zone's lease again.
        let swap = self.key_value.compare_and_swap(&key, 0, name, Some(lease)).await?;
        if let SwapOutcome::Swapped { mod_revision } = swap {
            self.stored_lease = Some(lease);
            self.zone_lease.record_acquired(sent_at_ms, mod_revision);
            log::info!(target: "steward", "Holds the lease with fencing token {mod_revision}.");
        }
        Ok(())
    }

    async fn read_site(&self) -> Result<Option<Site>, PlatformError> {
        let Some(stored) = self.key_value.get(&DocumentName::Site.to_key()).await? else {
            return Ok(None);
        };
        let document = Document::from_bytes(&stored.value)
            .map_err(|error| PlatformError::InvalidResponse(error.to_string()))?;
        Ok(parse_document(&document.text).ok())
    }

    /// Sends each engine of the zone its desired state. It is sent again in every iteration, so a
    /// delayed order of a previous holder is corrected.
    async fn send_orders(&self, site: &Site) {
        let own_zone = &self.settings.availability_zone;
        let own = site.upstreams.iter().filter(|u| &u.availability_zone == own_zone);
        for upstream in own {
            if upstream.desired_state.is_none() {
                continue;
            }
            if self.zone_lease.may_order(self.clock.now_ms(), upstream.checks_fencing) {
                self.send_order(upstream).await;
            }
        }
    }

    async fn send_order(&self, upstream: &UpstreamSettings) {
        let order =
            json!({ "fencing": self.zone_lease.fencing_token(), "wish": upstream.desired_state });
        let url = format!("http://{}/orders", upstream.address);
        let order_timeout = Duration::from_millis(ORDER_TIMEOUT_MS);
        match timeout(order_timeout, self.client.post(url).force_close().send_json(&order)).await {
            Ok(Ok(response)) if response.status().is_success() => {}
            Ok(Ok(response)) => {
                let status = response.status();
                log::warn!(
                    target: "steward",
                    "{} rejected an order with status {status}.",
                    upstream.instance,
                );
            }
            Ok(Err(_)) | Err(_) => {
                log::warn!(
                    target: "steward",
                    "{} could not be reached or did not answer an order in time.",
                    upstream.instance,
                );
            }
        }
    }

    async fn replace_leaving(&mut self, site: &Site) -> Result<(), PlatformError> {
        let leaving = self.fleet.list_notices().await?;
        let is_leaving = |instance: &str| leaving.iter().any(|name| name == instance);
        let planned = self.planner.plan(&site.upstreams, is_leaving, self.clock.now_ms());
        for start in planned {
            if self.zone_lease.is_held(self.clock.now_ms()) {
                self.start_replacement(&start).await;
            }
        }
        Ok(())
    }

    async fn start_replacement(&mut self, start: &PlannedStart) {
        let machine_class = match start.machine_class {
            MachineClass::Reclaimable => "reclaimable",
            MachineClass::OnDemand => "on_demand",
        };
        let request = StartRequest {
            availability_zone: start.availability_zone.clone(),
            role: start.service.clone(),
            machine_class: machine_class.to_owned(),
            // All holders use the same key, so a repeated request starts no second instance.
            idempotency_key: format!("replace-{}", start.replaces),
        };
        match self.fleet.start_instance(&request).await {
            Ok(instance) => {
                log::info!(
                    target: "steward",
                    "Started {instance}, which replaces {}.",
                    start.replaces,
                );
                self.planner.record_started(start, &instance);
            }
            Err(error) => {
                log::warn!(
                    target: "steward",
                    "A replacement's start failed for machine class {machine_class}: {error}.",
                );
                self.planner.record_refused(start, self.clock.now_ms());
            }
        }
    }
}
