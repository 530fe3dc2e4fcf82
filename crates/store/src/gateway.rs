//! HTTP client of the key-value service through the etcd v3 JSON gateway.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use hickorycourse_clock::timeout;
use hickorycourse_connections::{ExchangeError, HttpClient, OpenResponse};
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::key_value::{
    KeyValue, KeyValueRecord, Lease, LocalFuture, PlatformError, SwapOutcome, Watch, WatchEvent,
};
use crate::wire;

/// A client of the key-value service. After a call without a response, the next call goes to the
/// next address.
pub struct GatewayClient {
    client: HttpClient,
    addresses: Vec<SocketAddr>,
    /// Index of the address for the next call.
    preferred: Cell<usize>,
    timeout_ms: u64,
}

impl GatewayClient {
    /// Creates a client. Calls without a response within `timeout_ms` fail with
    /// [`PlatformError::Uncertain`].
    ///
    /// # Panics
    /// If `addresses` is empty; settings validation rejects that.
    pub async fn new(addresses: &[SocketAddr], timeout_ms: u64) -> Self {
        assert!(!addresses.is_empty(), "at least one platform address is required");
        Self {
            client: HttpClient::default(),
            addresses: addresses.to_vec(),
            preferred: Cell::new(0),
            timeout_ms,
        }
    }

    async fn send(&self, path: &str, body: &Value) -> Result<OpenResponse, PlatformError> {
        let index = self.preferred.get() % self.addresses.len();
        let address = self.addresses[index];
        let request = Request::post(path)
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body.to_string()))
            .map_err(|error| PlatformError::Refused(error.to_string()))?;
        let limit = Duration::from_millis(self.timeout_ms);
        let error = match self.client.open((), address, request, limit).await {
            Ok(open) if open.response.status().is_success() => return Ok(open),
            Ok(open) => return Err(classify_status(open.response.status())),
            Err(error) => classify_exchange_error(&error),
        };
        self.preferred.set((index + 1) % self.addresses.len());
        Err(error)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &Value,
    ) -> Result<T, PlatformError> {
        let open = self.send(path, body).await?;
        let limit = Duration::from_millis(self.timeout_ms);
        let response = timeout(limit, self.client.read_to_end(open, MAX_RESPONSE_BYTES))
            .await
            .map_err(|_| {
                PlatformError::Uncertain(
                    "the response body was not complete within the timeout".to_owned(),
                )
            })?
            .map_err(|error| PlatformError::Uncertain(error.to_string()))?;
        serde_json::from_slice(response.body())
            .map_err(|error| PlatformError::InvalidResponse(error.to_string()))
    }
}

/// Size limit of a response; a list of all settings may contain many values of 1 MB.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

fn classify_status(status: StatusCode) -> PlatformError {
    match status.as_u16() {
        // The service returns these statuses before it executes the call.
        400..=499 | 503 => PlatformError::Refused(format!("status {status}")),
        _ => PlatformError::Uncertain(format!("status {status}")),
    }
}

fn classify_exchange_error(error: &ExchangeError) -> PlatformError {
    match error {
        ExchangeError::NotSent(_) => PlatformError::Refused(error.to_string()),
        _ => PlatformError::Uncertain(error.to_string()),
    }
}

impl KeyValue for GatewayClient {
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> LocalFuture<'a, Result<Option<KeyValueRecord>, PlatformError>> {
        Box::pin(async move {
            let body = json!({ "key": wire::encode_base64(key.as_bytes()) });
            let response: wire::RangeResponse = self.call("/v3/kv/range", &body).await?;
            response.kvs.into_iter().next().map(wire::GatewayKeyValue::into_record).transpose()
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        since_revision: u64,
    ) -> LocalFuture<'a, Result<Vec<KeyValueRecord>, PlatformError>> {
        Box::pin(async move {
            let body = json!({
                "key": wire::encode_base64(prefix.as_bytes()),
                "range_end": wire::encode_base64(&wire::range_end(prefix)),
                "min_mod_revision": since_revision.to_string(),
            });
            let response: wire::RangeResponse = self.call("/v3/kv/range", &body).await?;
            response.kvs.into_iter().map(wire::GatewayKeyValue::into_record).collect()
        })
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected_revision: u64,
        value: &'a [u8],
        lease: Option<Lease>,
    ) -> LocalFuture<'a, Result<SwapOutcome, PlatformError>> {
        Box::pin(async move {
            let body =
                wire::compare_and_swap_request(key, expected_revision, value, lease.map(|l| l.id));
            let response: wire::TxnResponse = self.call("/v3/kv/txn", &body).await?;
            if response.succeeded {
                let mod_revision = parse_u64(&response.header.revision)?;
                return Ok(SwapOutcome::Swapped { mod_revision });
            }
            let range = response.responses.into_iter().next().and_then(|r| r.response_range);
            let record = range.and_then(|range| range.kvs.into_iter().next());
            let stored = record.map(wire::GatewayKeyValue::into_record).transpose()?;
            Ok(SwapOutcome::Conflict { stored })
        })
    }

    fn grant_lease(&self, ttl_ms: u64) -> LocalFuture<'_, Result<Lease, PlatformError>> {
        Box::pin(async move {
            let body = json!({ "TTL": ttl_ms.div_ceil(1_000).to_string() });
            let response: wire::LeaseResponse = self.call("/v3/lease/grant", &body).await?;
            let ttl_ms = parse_u64(&response.ttl_s)? * 1_000;
            let id = response.id.parse().map_err(|_| {
                PlatformError::InvalidResponse("the lease id is not a number".to_owned())
            })?;
            Ok(Lease { id, ttl_ms, era: 0 })
        })
    }

    fn renew_lease(&self, lease: Lease) -> LocalFuture<'_, Result<bool, PlatformError>> {
        Box::pin(async move {
            let body = json!({ "ID": lease.id.to_string() });
            let response: wire::RenewResponse = self.call("/v3/lease/keepalive", &body).await?;
            Ok(response.result.ttl_s.parse::<i64>().unwrap_or(0) > 0)
        })
    }

    fn revoke_lease(&self, lease: Lease) -> LocalFuture<'_, Result<(), PlatformError>> {
        Box::pin(async move {
            let body = json!({ "ID": lease.id.to_string() });
            self.call::<Value>("/v3/lease/revoke", &body).await.map(|_| ())
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
    ) -> LocalFuture<'a, Result<Box<dyn Watch>, PlatformError>> {
        Box::pin(async move {
            let body = json!({ "create_request": {
                "key": wire::encode_base64(prefix.as_bytes()),
                "range_end": wire::encode_base64(&wire::range_end(prefix)),
            }});
            let open = self.send("/v3/watch", &body).await?;
            let watch: Box<dyn Watch> = Box::new(GatewayWatch { open, buffer: Vec::new() });
            Ok(watch)
        })
    }
}

fn parse_u64(text: &str) -> Result<u64, PlatformError> {
    text.parse().map_err(|_| PlatformError::InvalidResponse(format!("`{text}` is not a number")))
}

struct GatewayWatch {
    open: OpenResponse,
    buffer: Vec<u8>,
}

impl GatewayWatch {
    fn next_line(&mut self) -> Option<Vec<u8>> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        Some(self.buffer.drain(..=end).collect())
    }
}

impl Watch for GatewayWatch {
    fn next(&mut self) -> LocalFuture<'_, Option<Result<Vec<WatchEvent>, PlatformError>>> {
        Box::pin(async move {
            loop {
                if let Some(line) = self.next_line() {
                    return Some(parse_frame(&line));
                }
                match self.open.response.body_mut().frame().await {
                    Some(Ok(frame)) => {
                        if let Ok(bytes) = frame.into_data() {
                            self.buffer.extend_from_slice(&bytes);
                        }
                    }
                    Some(Err(error)) => {
                        return Some(Err(PlatformError::Uncertain(error.to_string())));
                    }
                    None => return None,
                }
            }
        })
    }
}

fn parse_frame(line: &[u8]) -> Result<Vec<WatchEvent>, PlatformError> {
    let frame: wire::WatchFrame = serde_json::from_slice(line)
        .map_err(|error| PlatformError::InvalidResponse(error.to_string()))?;
    frame.result.events.into_iter().map(wire::GatewayEvent::into_event).collect()
}
