//! The processes of a fleet and the requests that tests send to them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::fleet::{DEALER_KEY, OPERATOR_KEY};
use crate::http::{HttpResponse, StreamedResponse, read_stream, send_request};
use crate::process::Process;

/// A `hickorycourse-standin` process that acts as the platform, an engine or a service.
#[derive(Debug)]
pub struct FakeServer {
    /// The name of its instance.
    pub name: String,
    /// Its availability zone; empty for the platform.
    pub zone: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The child process.
    pub process: Process,
}

impl FakeServer {
    /// Enables the given faults and disables all others.
    ///
    /// # Panics
    /// If the process does not answer with status 204.
    pub fn set_faults(&self, faults: &Value) {
        let url = format!("http://{}/faults", self.address);
        let response = send_request("POST", &url, &[], Some(faults.to_string().as_bytes()));
        assert_eq!(response.status, 204, "{} rejected the faults: {}", self.name, response.body);
    }

    /// Fetches its counters; null if it does not respond.
    pub fn stats(&self) -> Value {
        send_request("GET", &format!("http://{}/stats", self.address), &[], None).json()
    }
}

/// A `hickorycourse-entry` process.
#[derive(Debug)]
pub struct Entry {
    /// The name of its instance.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for operators.
    pub operator_address: SocketAddr,
    /// The address on which it listens for peers.
    pub peer_address: SocketAddr,
    /// The child process.
    pub process: Process,
    pub(crate) settings_path: PathBuf,
}

impl Entry {
    /// Sends a request to the caller port with the given key.
    pub fn send_request(
        &self,
        method: &str,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: Option<&[u8]>,
    ) -> HttpResponse {
        let authorization = format!("Bearer {key}");
        let mut all_headers = vec![("authorization", authorization.as_str())];
        all_headers.extend_from_slice(headers);
        send_request(method, &format!("http://{}{path}", self.caller_address), &all_headers, body)
    }

    /// Requests a chat completion that is not streamed, as the caller `dealer-1`.
    pub fn chat(&self, body: &Value) -> HttpResponse {
        let text = body.to_string();
        self.send_request("POST", "/v1/chat/completions", DEALER_KEY, &[], Some(text.as_bytes()))
    }

    /// Requests a streamed chat completion as the caller `dealer-1`. `on_chunk` is called for each
    /// chunk with the number of chunks received so far.
    pub fn stream(&self, body: &Value, on_chunk: impl FnMut(usize)) -> StreamedResponse {
        let url = format!("http://{}/v1/chat/completions", self.caller_address);
        let authorization = format!("Bearer {DEALER_KEY}");
        read_stream(&url, &[("authorization", &authorization)], body, on_chunk)
    }

    /// Posts an order as the caller `dealer-1`, with an idempotency key if one is given.
    pub fn post_order(&self, key: Option<&str>, text: &str) -> HttpResponse {
        let headers: Vec<(&str, &str)> =
            key.map(|key| ("idempotency-key", key)).into_iter().collect();
        self.send_request("POST", "/orders/new", DEALER_KEY, &headers, Some(text.as_bytes()))
    }

    /// Sends a request to the operator port with the operators' key.
    pub fn send_operator_request(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> HttpResponse {
        let text = body.map(Value::to_string);
        let url = format!("http://{}{path}", self.operator_address);
        let authorization = format!("Bearer {OPERATOR_KEY}");
        let headers = [("authorization", authorization.as_str())];
        send_request(method, &url, &headers, text.as_deref().map(str::as_bytes))
    }

    /// Fetches its status; null if it does not respond.
    pub fn status(&self) -> Value {
        self.send_operator_request("GET", "/v1/status", None).json()
    }

    /// Returns whether its readiness endpoint, which load balancers query, answers with status 200.
    pub fn is_ready(&self) -> bool {
        send_request("GET", &format!("http://{}/readyz", self.caller_address), &[], None).status
            == 200
    }

    /// Kills the process and starts it again with the same settings.
    pub fn restart(&mut self, log_dir: &Path) {
        self.process.kill();
        let arguments = vec![self.settings_path.display().to_string()];
        self.process = Process::start("hickorycourse-entry", &arguments, &self.name, log_dir);
    }
}
