//! Settings of an entry or steward process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::parse::Check;
use crate::{Secret, ValidationError, keys};

/// Settings of an entry or steward process, read from a local file at its start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name of this instance.
    pub instance: String,
    /// Availability zone that the process runs in.
    pub availability_zone: String,
    /// Listening address for callers.
    pub caller_address: SocketAddr,
    /// Listening address for operators.
    pub operator_address: SocketAddr,
    /// Listening address for peers, that is other entries.
    pub peer_address: SocketAddr,
    /// Address advertised to peers; `peer_address` if absent.
    #[serde(default)]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Addresses of the platform's key-value service; at least one is required. The first also
    /// serves the instance list and the reclaim notices.
    pub platform_addresses: Vec<SocketAddr>,
    /// Addresses of peers to connect to if the platform is unavailable at start.
    #[serde(default)]
    pub peer_addresses: Vec<SocketAddr>,
    /// Hashes of the operators' API keys, in the form of [`hash_key`](crate::hash_key).
    pub operator_key_hashes: Vec<String>,
    /// Shared secret that authenticates peers to each other.
    pub peer_secret: Secret,
    /// Number of threads that serve callers.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
    /// Limits on connections and requests of callers.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
    /// Collector that spans are exported to (OTLP over HTTP, JSON); spans are logged if absent.
    #[serde(default)]
    pub trace_address: Option<SocketAddr>,
}

fn default_worker_threads() -> usize {
    2
}

/// Limits on connections and requests of callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum total size of header names and values.
    pub header_bytes: usize,
    /// Maximum number of headers.
    pub header_count: usize,
    /// Maximum time to receive the headers, in seconds.
    pub header_timeout_s: u16,
    /// Maximum time to receive the complete body.
    pub body_timeout_ms: u64,
    /// Maximum number of open connections per worker thread.
    pub connections: usize,
    /// Maximum number of requests in flight in the process.
    pub requests: usize,
    /// Memory that all request bodies in the process may hold together.
    pub buffer_bytes: usize,
    /// Maximum size of a plain service's answer that is stored for replay to repeated requests.
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
            buffer_bytes: 268_435_456,
            stored_answer_bytes: 4_096,
        }
    }
}

/// Intervals and timeouts of internal communication, in milliseconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimingSettings {
    /// Interval between two heartbeats on a peer link.
    pub heartbeat_ms: u64,
    /// Idle timeout after which a peer link is closed and the peer is considered unreachable.
    pub peer_timeout_ms: u64,
    /// Timeout of one call to the platform.
    pub platform_timeout_ms: u64,
    /// Polling interval of the platform's instance list.
    pub instance_list_ms: u64,
    /// Polling interval of an upstream's load report.
    pub load_report_ms: u64,
    /// Interval between two flushes of usage counters.
    pub usage_flush_ms: u64,
    /// Maximum time to drain requests in flight at shutdown.
    pub drain_timeout_ms: u64,
    /// Retention period of the outcome of a non-idempotent call, for replay to repeated requests.
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

/// Log output.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
    /// Format of the lines.
    pub form: LogFormat,
}

/// Severity of log lines, from the most severe.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors, and conditions that may lead to one.
    Warn,
    /// Also state changes.
    #[default]
    Info,
    /// Also every request.
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

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl std::str::FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("found `{text}`, allowed is text or json")),
        }
    }
}

const PEER_SECRET_MIN_BYTES: usize = 16;

impl Check for ProcessSettings {
    fn check(&self) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        if self.instance.is_empty() {
            errors.push(ValidationError::new("instance", "found an empty name, expected a name"));
        }
        if self.availability_zone.is_empty() {
            errors.push(ValidationError::new(
                "availability_zone",
                "found an empty name, expected a name",
            ));
        }
        if self.platform_addresses.is_empty() {
            errors.push(ValidationError::new(
                "platform_addresses",
                "found none, at least one is required",
            ));
        }
        if self.peer_secret.reveal().len() < PEER_SECRET_MIN_BYTES {
            let message = format!("allowed are at least {PEER_SECRET_MIN_BYTES} bytes");
            errors.push(ValidationError::new("peer_secret", message));
        }
        for (index, hash) in self.operator_key_hashes.iter().enumerate() {
            if !keys::is_key_hash(hash) {
                let path = format!("operator_key_hashes[{index}]");
                errors.push(ValidationError::new(
                    path,
                    "allowed is `sha256:` and 64 hexadecimal digits",
                ));
            }
        }
        if !(1..=64).contains(&self.worker_threads) {
            let message = format!("found {}, allowed is 1 to 64", self.worker_threads);
            errors.push(ValidationError::new("worker_threads", message));
        }
        self.check_limits(&mut errors);
        self.check_timing(&mut errors);
        errors
    }
}

impl ProcessSettings {
    fn check_limits(&self, errors: &mut Vec<ValidationError>) {
        let limits = &self.limits;
        let ranges = [
            ("body_bytes", limits.body_bytes, 1_024, 67_108_864),
            ("header_bytes", limits.header_bytes, 1_024, 65_536),
            ("header_count", limits.header_count, 8, 96),
            ("header_timeout_s", usize::from(limits.header_timeout_s), 1, 600),
            ("connections", limits.connections, 1, 1_000_000),
            ("requests", limits.requests, 1, 1_000_000),
            ("buffer_bytes", limits.buffer_bytes, 1_048_576, 68_719_476_736),
            ("stored_answer_bytes", limits.stored_answer_bytes, 0, 65_536),
        ];
        for (name, value, low, high) in ranges {
            check_range(&format!("limits.{name}"), value as u64, low, high, errors);
        }
        check_range("limits.body_timeout_ms", limits.body_timeout_ms, 10, 600_000, errors);
    }

    fn check_timing(&self, errors: &mut Vec<ValidationError>) {
        let timing = &self.timing;
        let ranges = [
            ("heartbeat_ms", timing.heartbeat_ms, 20, 60_000),
            ("peer_timeout_ms", timing.peer_timeout_ms, 50, 600_000),
            ("platform_timeout_ms", timing.platform_timeout_ms, 10, 60_000),
            ("instance_list_ms", timing.instance_list_ms, 20, 60_000),
            ("load_report_ms", timing.load_report_ms, 20, 60_000),
            ("usage_flush_ms", timing.usage_flush_ms, 20, 3_600_000),
            ("drain_timeout_ms", timing.drain_timeout_ms, 0, 86_400_000),
            ("claim_retention_ms", timing.claim_retention_ms, 1_000, 604_800_000),
        ];
        for (name, value, low, high) in ranges {
            check_range(&format!("timing.{name}"), value, low, high, errors);
        }
        if timing.peer_timeout_ms < 2 * timing.heartbeat_ms {
            let message = format!(
                "found {}, allowed is at least twice heartbeat_ms ({})",
                timing.peer_timeout_ms, timing.heartbeat_ms
            );
            errors.push(ValidationError::new("timing.peer_timeout_ms", message));
        }
    }
}

fn check_range(path: &str, value: u64, low: u64, high: u64, errors: &mut Vec<ValidationError>) {
    if !(low..=high).contains(&value) {
        errors
            .push(ValidationError::new(path, format!("found {value}, allowed is {low} to {high}")));
    }
}
