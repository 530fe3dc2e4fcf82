//! The steward process.
//!
//! Stewards of an availability zone compete for its lease. The holder tells engines the state that
//! the settings wish for, with its fencing number, and replaces instances that leave. No request
//! passes through it, so its pause or death touches none.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use bpaf::Bpaf;
use hickorycourse_clock::{Clock, SystemClock};
use hickorycourse_settings::document::{Document, DocumentName};
use hickorycourse_settings::{
    MachineClass, ProcessSettings, Site, UpstreamSettings, parse_document, read_document,
};
use hickorycourse_steward::{LeaseTenure, ORDER_FLIGHT_MS, ReplacementPlanner, StartChoice};
use hickorycourse_store::{
    Fleet, FleetClient, GatewayClient, KeyValue, Lease, PlatformError, StartRequest, Swap,
    build_client,
};
use hickorycourse_telemetry::{LogOptions, start_logs};
use ntex::client::Client;
use ntex::time::{sleep, timeout};
use serde_json::json;

/// The steward process of hickorycourse.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// The settings of the entry beside it, JSON with comments
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

const LEASE_MS: u64 = 3_000;
const STEP: Duration = Duration::from_millis(500);
const KEY_PREFIX: &str = "hickorycourse/steward/";
const EXIT_BAD_SETTINGS: i32 = 2;

struct Steward {
    settings: ProcessSettings,
    clock: SystemClock,
    key_value: Rc<dyn KeyValue>,
    fleet: Rc<dyn Fleet>,
    client: Client,
    tenure: LeaseTenure,
    lease: Option<Lease>,
    planner: ReplacementPlanner,
}

#[ntex::main]
async fn main() -> eyre::Result<()> {
    let options = options().run();
    let settings = read_settings(&options.file);
    start_logs(LogOptions { level: log::LevelFilter::Info, is_json: false });
    let timeout_ms = settings.timing.platform_timeout_ms;
    let key_value = GatewayClient::new(&settings.platform_addresses, timeout_ms).await;
    let fleet = FleetClient::new(settings.platform_addresses[0], timeout_ms).await;
    let mut steward = Steward {
        clock: SystemClock::new(),
        key_value: Rc::new(key_value),
        fleet: Rc::new(fleet),
        client: build_client().await,
        tenure: LeaseTenure::new(LEASE_MS),
        lease: None,
        planner: ReplacementPlanner::new(&settings.availability_zone),
        settings,
    };
    log::info!(target: "steward", "Started in {}.", steward.settings.availability_zone);
    loop {
        if let Err(error) = steward.step().await {
            log::warn!(target: "steward", "The platform does not answer: {error}.");
        }
        sleep(STEP).await;
    }
}

fn read_settings(path: &Path) -> ProcessSettings {
    read_document(path).unwrap_or_else(|faults| {
        eprintln!("{}", faults.join("\n"));
        std::process::exit(EXIT_BAD_SETTINGS)
    })
}

impl Steward {
    async fn step(&mut self) -> Result<(), PlatformError> {
        if self.tenure.is_held(self.clock.now_ms()) {
            self.renew().await?;
        } else {
            self.compete().await?;
        }
        if !self.tenure.is_held(self.clock.now_ms()) {
            return Ok(());
        }
        let Some(site) = self.read_site().await? else { return Ok(()) };
        self.order_all(&site).await;
        self.replace_leaving(&site).await
    }

    async fn renew(&mut self) -> Result<(), PlatformError> {
        let Some(lease) = self.lease else { return Ok(()) };
        let sent_at_ms = self.clock.now_ms();
        let is_renewed = self.key_value.renew_lease(lease).await?;
        if is_renewed {
            self.tenure.renew(sent_at_ms, self.clock.now_ms());
        } else {
            log::warn!(target: "steward", "The lease has lapsed.");
            self.tenure.end();
        }
        Ok(())
    }

    async fn compete(&mut self) -> Result<(), PlatformError> {
        self.tenure.end();
        let key = format!("{KEY_PREFIX}{}", self.settings.availability_zone);
        if self.key_value.get(&key).await?.is_some() {
            return Ok(());
        }
        let sent_at_ms = self.clock.now_ms();
        let lease = self.key_value.grant_lease(LEASE_MS).await?;
        let name = self.settings.instance.as_bytes();
        // When the answer is lost, the key lapses with its lease and the next try is clean.
        let swap = self.key_value.compare_and_swap(&key, 0, name, Some(lease)).await?;
        if let Swap::Swapped { mod_revision } = swap {
            self.lease = Some(lease);
            self.tenure.start(sent_at_ms, mod_revision);
            log::info!(target: "steward", "Holds the lease, fencing number {mod_revision}.");
        }
        Ok(())
    }

    async fn read_site(&self) -> Result<Option<Site>, PlatformError> {
        let Some(stored) = self.key_value.get(&DocumentName::Site.to_key()).await? else {
            return Ok(None);
        };
        let document = Document::from_bytes(&stored.value)
            .map_err(|error| PlatformError::Nonsense(error.to_string()))?;
        Ok(parse_document(&document.text).ok())
    }

    /// Tells each engine of the zone the wished state. It is told again at every step, so an order
    /// of another holder that came late is mended.
    async fn order_all(&self, site: &Site) {
        let own_zone = &self.settings.availability_zone;
        let own = site.upstreams.iter().filter(|u| &u.availability_zone == own_zone);
        for upstream in own {
            if upstream.desired_state.is_none() {
                continue;
            }
            if self.tenure.may_order(self.clock.now_ms(), upstream.checks_fencing) {
                self.order(upstream).await;
            }
        }
    }

    async fn order(&self, upstream: &UpstreamSettings) {
        let order = json!({ "fencing": self.tenure.fencing(), "wish": upstream.desired_state });
        let url = format!("http://{}/orders", upstream.address);
        let limit = Duration::from_millis(ORDER_FLIGHT_MS);
        match timeout(limit, self.client.post(url).force_close().send_json(&order)).await {
            Ok(Ok(response)) if response.status().is_success() => {}
            Ok(Ok(response)) => {
                let status = response.status();
                log::warn!(target: "steward", "{} refused an order: {status}.", upstream.instance);
            }
            Ok(Err(_)) | Err(_) => {
                log::warn!(target: "steward", "{} did not take an order.", upstream.instance);
            }
        }
    }

    async fn replace_leaving(&mut self, site: &Site) -> Result<(), PlatformError> {
        let leaving = self.fleet.list_notices().await?;
        let is_leaving = |instance: &str| leaving.iter().any(|name| name == instance);
        let choices = self.planner.plan(&site.upstreams, is_leaving, self.clock.now_ms());
        for choice in choices {
            if self.tenure.is_held(self.clock.now_ms()) {
                self.start(&choice).await;
            }
        }
        Ok(())
    }

    async fn start(&mut self, choice: &StartChoice) {
        let machine_class = match choice.machine_class {
            MachineClass::Reclaimable => "reclaimable",
            MachineClass::OnDemand => "on_demand",
        };
        let request = StartRequest {
            availability_zone: choice.availability_zone.clone(),
            role: choice.service.clone(),
            machine_class: machine_class.to_owned(),
            // The same for every holder, so a repeat starts nothing new.
            idempotency_key: format!("replace-{}", choice.replaces),
        };
        match self.fleet.start_instance(&request).await {
            Ok(instance) => {
                log::info!(target: "steward", "{instance} replaces {}.", choice.replaces);
                self.planner.take_started(choice, &instance);
            }
            Err(error) => {
                log::warn!(target: "steward", "A {machine_class} start failed: {error}.");
                self.planner.take_refused(choice, self.clock.now_ms());
            }
        }
    }
}
