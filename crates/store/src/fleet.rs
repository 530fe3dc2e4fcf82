//! The platform's instance list, reclaim notices and cloud API.

use std::net::SocketAddr;
use std::time::Duration;

use hickorycourse_clock::timeout;
use hickorycourse_connections::{ExchangeError, HttpClient};
use http::request::Builder;
use http::{Request, header};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{LocalFuture, PlatformError};

/// Lifecycle state of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is in service.
    Live,
    /// The instance is scheduled for shutdown.
    Leaving,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetInstance {
    /// The instance's name.
    pub instance: String,
    /// `entry`, or the name of the service that the instance serves.
    pub role: String,
    /// Availability zone of the instance.
    pub availability_zone: String,
    /// The peer address of an entry, or the service address of an upstream.
    pub address: SocketAddr,
    /// Lifecycle state.
    pub state: InstanceState,
}

/// A request to the cloud to start an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRequest {
    /// Availability zone to start the instance in.
    pub availability_zone: String,
    /// Role of the instance, as in [`FleetInstance::role`].
    pub role: String,
    /// `reclaimable` or `on_demand`.
    pub machine_class: String,
    /// Makes the request idempotent: a retry with the same key starts no further instance.
    pub idempotency_key: String,
}

/// The platform's instance list, reclaim notices and cloud API.
pub trait Fleet {
    /// Reads the list of instances, which may lag behind the actual state.
    fn list_instances(&self) -> LocalFuture<'_, Result<Vec<FleetInstance>, PlatformError>>;

    /// Reads the names of instances with a reclaim notice. Notices are published before the list
    /// shows these instances as leaving.
    fn list_notices(&self) -> LocalFuture<'_, Result<Vec<String>, PlatformError>>;

    /// Starts an instance; returns its name.
    fn start_instance<'a>(
        &'a self,
        request: &'a StartRequest,
    ) -> LocalFuture<'a, Result<String, PlatformError>>;
}

/// HTTP client of the platform's instance list, reclaim notices and cloud API.
pub struct FleetClient {
    client: HttpClient,
    address: SocketAddr,
    timeout_ms: u64,
}

#[derive(Deserialize)]
struct InstanceListResponse {
    instances: Vec<FleetInstance>,
}

#[derive(Deserialize)]
struct NoticeListResponse {
    leaving: Vec<String>,
}

#[derive(Deserialize)]
struct StartResponse {
    instance: String,
}

impl FleetClient {
    /// Creates a client. Requests without a complete response within `timeout_ms` fail with
    /// [`PlatformError::Uncertain`].
    pub async fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self { client: HttpClient::default(), address, timeout_ms }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        self.send_request(Request::get(path), None::<&()>).await
    }

    async fn send_request<T: DeserializeOwned, B: Serialize>(
        &self,
        request: Builder,
        body: Option<&B>,
    ) -> Result<T, PlatformError> {
        let refused = |error: String| PlatformError::Refused(error);
        let mut request = request.header(header::HOST, self.address.to_string());
        let mut bytes = Vec::new();
        if let Some(body) = body {
            request = request.header(header::CONTENT_TYPE, "application/json");
            bytes = serde_json::to_vec(body).map_err(|error| refused(error.to_string()))?;
        }
        let request =
            request.body(Full::from(bytes)).map_err(|error| refused(error.to_string()))?;
        let limit = Duration::from_millis(self.timeout_ms);
        let uncertain = |error: ExchangeError| PlatformError::Uncertain(error.to_string());
        let exchange = async {
            let open = self.client.open((), self.address, request, limit).await;
            let open = open.map_err(uncertain)?;
            if !open.response.status().is_success() {
                return Err(refused(format!("status {}", open.response.status())));
            }
            let response = self.client.read_to_end(open, MAX_RESPONSE_BYTES).await;
            serde_json::from_slice(response.map_err(uncertain)?.body())
                .map_err(|error| PlatformError::InvalidResponse(error.to_string()))
        };
        match timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::Uncertain("no response within the timeout".to_owned())),
        }
    }
}

/// Size limit of a response body.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

impl Fleet for FleetClient {
    fn list_instances(&self) -> LocalFuture<'_, Result<Vec<FleetInstance>, PlatformError>> {
        Box::pin(async move {
            let response: InstanceListResponse = self.get("/instances").await?;
            Ok(response.instances)
        })
    }

    fn list_notices(&self) -> LocalFuture<'_, Result<Vec<String>, PlatformError>> {
        Box::pin(async move {
            let response: NoticeListResponse = self.get("/notices").await?;
            Ok(response.leaving)
        })
    }

    fn start_instance<'a>(
        &'a self,
        request: &'a StartRequest,
    ) -> LocalFuture<'a, Result<String, PlatformError>> {
        Box::pin(async move {
            let response: StartResponse =
                self.send_request(Request::post("/cloud/instances"), Some(request)).await?;
            Ok(response.instance)
        })
    }
}
