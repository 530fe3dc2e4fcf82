//! The settings of one process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::parse::Check;
use crate::{Fault, Secret, keys};

/// The settings of one entry or steward process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// This instance's name.
    pub instance: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where it listens for other entries.
    pub peer_address: SocketAddr,
    /// Where other entries connect, if that is another address than it listens on.
    #[serde(default)]
    pub advertised_peer_address: Option<SocketAddr>,
    /// The platform's service, one or more addresses.
    pub platform_addresses: Vec<SocketAddr>,
    /// Peer addresses of other entries, for starts while the platform is down.
    #[serde(default)]
    pub peer_addresses: Vec<SocketAddr>,
    /// Hashes of the operators' keys.
    pub operator_key_hashes: Vec<String>,
    /// The secret that entries share; links without it are refused.
    pub peer_secret: Secret,
    /// Threads that serve callers.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
    /// Limits on what one caller may send.
    #[serde(default)]
    pub limits: Limits,
    /// Times of the system's own messages.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Where spans are sent (OTLP over HTTP, JSON); to the log if left out.
    #[serde(default)]
    pub trace_address: Option<SocketAddr>,
}

fn default_worker_threads() -> usize {
    2
}

/// Limits on what callers may send.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest body.
    pub body_bytes: usize,
    /// Largest sum of header names and values.
    pub header_bytes: usize,
    /// Most headers.
    pub header_count: usize,
    /// Time for the headers to arrive, in whole seconds.
    pub header_timeout_s: u16,
    /// Time for the whole body to arrive.
    pub body_timeout_ms: u64,
    /// Open connections of one worker thread.
    pub connections: usize,
    /// Requests held at once by the process.
    pub requests: usize,
    /// Largest answer of a plain service kept for a repeat.
    pub stored_answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1_048_576,
            header_bytes: 16_384,
            header_count: 64,
            header_timeout_s: 5,
            body_timeout_ms: 10_000,
            connections: 10_000,
            requests: 10_000,
            stored_answer_bytes: 4_096,
        }
    }
}

/// Times of the system's own messages.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimingSettings {
    /// Between two heartbeats on a peer link.
    pub heartbeat_ms: u64,
    /// Silence after which a peer link is closed and the peer counts as unreachable.
    pub peer_timeout_ms: u64,
    /// Longest wait for one call to the platform.
    pub platform_timeout_ms: u64,
    /// Between two looks at the platform's instance list.
    pub instance_list_ms: u64,
    /// Between two reads of an upstream's load report.
    pub load_report_ms: u64,
    /// Between two flushes of usage.
    pub usage_flush_ms: u64,
    /// Longest wait for requests in flight when the process stops.
    pub drain_timeout_ms: u64,
    /// Time that the outcome of a non-idempotent call is kept for repeats.
    pub claim_retention_ms: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 500,
            peer_timeout_ms: 2_000,
            platform_timeout_ms: 1_000,
            instance_list_ms: 1_000,
            load_report_ms: 500,
            usage_flush_ms: 5_000,
            drain_timeout_ms: 600_000,
            claim_retention_ms: 86_400_000,
        }
    }
}

/// Logs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least level that is written.
    pub level: LogLevel,
    /// Form of a line.
    pub form: LogForm,
}

/// Levels of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults only.
    Error,
    /// Faults and what may become one.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Every request.
    Debug,
}

impl std::str::FromStr for LogLevel {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err(format!("found `{text}`, allowed is error, warn, info or debug")),
        }
    }
}

/// Forms of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogForm {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl std::str::FromStr for LogForm {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("found `{text}`, allowed is text or json")),
        }
    }
}

const PEER_SECRET_LENGTH_LEAST: usize = 16;

impl Check for ProcessSettings {
    fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.instance.is_empty() {
            faults.push(Fault::new("instance", "found nothing, a name is needed"));
        }
        if self.availability_zone.is_empty() {
            faults.push(Fault::new("availability_zone", "found nothing, a name is needed"));
        }
        if self.platform_addresses.is_empty() {
            faults.push(Fault::new("platform_addresses", "found none, one or more are needed"));
        }
        if self.peer_secret.reveal().len() < PEER_SECRET_LENGTH_LEAST {
            let message = format!("allowed are {PEER_SECRET_LENGTH_LEAST} characters or more");
            faults.push(Fault::new("peer_secret", message));
        }
        for (index, hash) in self.operator_key_hashes.iter().enumerate() {
            if !keys::is_key_hash(hash) {
                let path = format!("operator_key_hashes[{index}]");
                faults.push(Fault::new(path, "allowed is `sha256:` and 64 hexadecimal digits"));
            }
        }
        if !(1..=64).contains(&self.worker_threads) {
            let message = format!("found {}, allowed is 1 to 64", self.worker_threads);
            faults.push(Fault::new("worker_threads", message));
        }
        self.check_limits(&mut faults);
        self.check_timing(&mut faults);
        faults
    }
}

impl ProcessSettings {
    fn check_limits(&self, faults: &mut Vec<Fault>) {
        let limits = &self.limits;
        let rows = [
            ("body_bytes", limits.body_bytes, 1_024, 67_108_864),
            ("header_bytes", limits.header_bytes, 1_024, 65_536),
            ("header_count", limits.header_count, 8, 96),
            ("header_timeout_s", usize::from(limits.header_timeout_s), 1, 600),
            ("connections", limits.connections, 1, 1_000_000),
            ("requests", limits.requests, 1, 1_000_000),
            ("stored_answer_bytes", limits.stored_answer_bytes, 0, 65_536),
        ];
        for (name, value, low, high) in rows {
            check_range(&format!("limits.{name}"), value as u64, low, high, faults);
        }
        check_range("limits.body_timeout_ms", limits.body_timeout_ms, 10, 600_000, faults);
    }

    fn check_timing(&self, faults: &mut Vec<Fault>) {
        let timing = &self.timing;
        let rows = [
            ("heartbeat_ms", timing.heartbeat_ms, 20, 60_000),
            ("peer_timeout_ms", timing.peer_timeout_ms, 50, 600_000),
            ("platform_timeout_ms", timing.platform_timeout_ms, 10, 60_000),
            ("instance_list_ms", timing.instance_list_ms, 20, 60_000),
            ("load_report_ms", timing.load_report_ms, 20, 60_000),
            ("usage_flush_ms", timing.usage_flush_ms, 20, 3_600_000),
            ("drain_timeout_ms", timing.drain_timeout_ms, 0, 86_400_000),
            ("claim_retention_ms", timing.claim_retention_ms, 1_000, 604_800_000),
        ];
        for (name, value, low, high) in rows {
            check_range(&format!("timing.{name}"), value, low, high, faults);
        }
        if timing.peer_timeout_ms < 2 * timing.heartbeat_ms {
            let message = format!(
                "found {}, allowed is twice heartbeat_ms ({}) or more",
                timing.peer_timeout_ms, timing.heartbeat_ms
            );
            faults.push(Fault::new("timing.peer_timeout_ms", message));
        }
    }
}

fn check_range(path: &str, value: u64, low: u64, high: u64, faults: &mut Vec<Fault>) {
    if !(low..=high).contains(&value) {
        faults.push(Fault::new(path, format!("found {value}, allowed is {low} to {high}")));
    }
}
