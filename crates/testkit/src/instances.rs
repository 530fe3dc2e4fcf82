//! The processes of a fleet, and what tests ask of them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::fleet::{DEALER_KEY, OPERATOR_KEY};
use crate::http::{Answer, StreamedAnswer, ask, read_stream};
use crate::process::Process;

/// A stand-in process.
#[derive(Debug)]
pub struct StandIn {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its process.
    pub process: Process,
}

impl StandIn {
    /// Switches faults on and all others off.
    pub fn set_faults(&self, faults: &Value) {
        let url = format!("http://{}/faults", self.address);
        let answer = ask("POST", &url, &[], Some(faults.to_string().as_bytes()));
        assert_eq!(answer.status, 204, "{} takes the faults: {}", self.name, answer.body);
    }

    /// What has happened to it.
    pub fn stats(&self) -> Value {
        ask("GET", &format!("http://{}/stats", self.address), &[], None).json()
    }
}

/// An entry process.
#[derive(Debug)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where it listens for peers.
    pub peer_address: SocketAddr,
    /// Its process.
    pub process: Process,
    pub(crate) settings: PathBuf,
}

impl Entry {
    /// Sends a request with a caller's key.
    pub fn ask(
        &self,
        method: &str,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: Option<&[u8]>,
    ) -> Answer {
        let authorization = format!("Bearer {key}");
        let mut all = vec![("authorization", authorization.as_str())];
        all.extend_from_slice(headers);
        ask(method, &format!("http://{}{path}", self.caller_address), &all, body)
    }

    /// Asks for a whole chat completion.
    pub fn chat(&self, body: &Value) -> Answer {
        let text = body.to_string();
        self.ask("POST", "/v1/chat/completions", DEALER_KEY, &[], Some(text.as_bytes()))
    }

    /// Asks for a streamed chat completion.
    pub fn stream(&self, body: &Value, on_chunk: impl FnMut(usize)) -> StreamedAnswer {
        let url = format!("http://{}/v1/chat/completions", self.caller_address);
        let authorization = format!("Bearer {DEALER_KEY}");
        read_stream(&url, &[("authorization", &authorization)], body, on_chunk)
    }

    /// Posts an order, with or without an idempotency key.
    pub fn order(&self, key: Option<&str>, text: &str) -> Answer {
        let headers: Vec<(&str, &str)> =
            key.map(|key| ("idempotency-key", key)).into_iter().collect();
        self.ask("POST", "/orders/new", DEALER_KEY, &headers, Some(text.as_bytes()))
    }

    /// Sends a request of an operator.
    pub fn operate(&self, method: &str, path: &str, body: Option<&Value>) -> Answer {
        let text = body.map(Value::to_string);
        let url = format!("http://{}{path}", self.operator_address);
        let authorization = format!("Bearer {OPERATOR_KEY}");
        let headers = [("authorization", authorization.as_str())];
        ask(method, &url, &headers, text.as_deref().map(str::as_bytes))
    }

    /// Its status.
    pub fn status(&self) -> Value {
        self.operate("GET", "/v1/status", None).json()
    }

    /// Whether the balancer would send it work.
    pub fn is_ready(&self) -> bool {
        ask("GET", &format!("http://{}/readyz", self.caller_address), &[], None).status == 200
    }

    /// Starts the process anew, after it has ended.
    pub fn restart(&mut self, log_dir: &Path) {
        self.process.kill();
        let arguments = vec![self.settings.display().to_string()];
        self.process = Process::start("hickorycourse-entry", &arguments, &self.name, log_dir);
    }
}
