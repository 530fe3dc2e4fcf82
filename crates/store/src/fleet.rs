//! The platform's instance list, reclaim notices and cloud.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::{Client, ClientRequest};
use ntex::time::{Millis, timeout};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::http_client::build_client;
use crate::{LocalFuture, PlatformError};

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It stays.
    Live,
    /// It has been told to leave.
    Leaving,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetInstance {
    /// The instance's name.
    pub instance: String,
    /// What it is: `entry` or the name of the service that it serves.
    pub role: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// The address other parts of the system use: the peer address of an entry, the service
    /// address of an upstream.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: InstanceState,
}

/// An order to the cloud.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRequest {
    /// Where.
    pub availability_zone: String,
    /// What it will be.
    pub role: String,
    /// `reclaimable` or `on_demand`.
    pub machine_class: String,
    /// Makes a repeat of the same order start nothing new.
    pub idempotency_key: String,
}

/// The list of instances and the cloud that starts and ends them.
pub trait Fleet {
    /// Reads the lagging list.
    fn list_instances(&self) -> LocalFuture<'_, Result<Vec<FleetInstance>, PlatformError>>;

    /// Reads the reclaim notices; they come before the list shows them.
    fn list_notices(&self) -> LocalFuture<'_, Result<Vec<String>, PlatformError>>;

    /// Orders an instance; returns its name.
    fn start_instance<'a>(
        &'a self,
        request: &'a StartRequest,
    ) -> LocalFuture<'a, Result<String, PlatformError>>;
}

/// The fleet over HTTP.
pub struct FleetClient {
    client: Client,
    address: SocketAddr,
    timeout_ms: u64,
}

#[derive(Deserialize)]
struct InstanceListAnswer {
    instances: Vec<FleetInstance>,
}

#[derive(Deserialize)]
struct NoticeListAnswer {
    leaving: Vec<String>,
}

#[derive(Deserialize)]
struct StartAnswer {
    instance: String,
}

impl FleetClient {
    /// Creates a client.
    pub async fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self { client: build_client().await, address, timeout_ms }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        let request = self.client.get(format!("http://{}{path}", self.address));
        self.finish(request, None::<&()>).await
    }

    async fn finish<T: DeserializeOwned, B: Serialize>(
        &self,
        request: ClientRequest,
        body: Option<&B>,
    ) -> Result<T, PlatformError> {
        let request = request.timeout(Millis(self.timeout_ms as u32));
        let exchange = async {
            let sent = match body {
                Some(body) => request.send_json(body).await,
                None => request.send().await,
            };
            let response = sent.map_err(|error| PlatformError::Uncertain(error.to_string()))?;
            if !response.status().is_success() {
                let status = response.status();
                return Err(PlatformError::Refused(format!("status {status}")));
            }
            let bytes = response
                .body()
                .limit(LIST_BYTES_LIMIT)
                .await
                .map_err(|error| PlatformError::Uncertain(error.to_string()))?;
            serde_json::from_slice(&bytes)
                .map_err(|error| PlatformError::Nonsense(error.to_string()))
        };
        match timeout(Duration::from_millis(self.timeout_ms), exchange).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::Uncertain("no answer in time".to_owned())),
        }
    }
}

const LIST_BYTES_LIMIT: usize = 16 * 1024 * 1024;

impl Fleet for FleetClient {
    fn list_instances(&self) -> LocalFuture<'_, Result<Vec<FleetInstance>, PlatformError>> {
        Box::pin(async move {
            let answer: InstanceListAnswer = self.get("/instances").await?;
            Ok(answer.instances)
        })
    }

    fn list_notices(&self) -> LocalFuture<'_, Result<Vec<String>, PlatformError>> {
        Box::pin(async move {
            let answer: NoticeListAnswer = self.get("/notices").await?;
            Ok(answer.leaving)
        })
    }

    fn start_instance<'a>(
        &'a self,
        request: &'a StartRequest,
    ) -> LocalFuture<'a, Result<String, PlatformError>> {
        Box::pin(async move {
            let url = format!("http://{}/cloud/instances", self.address);
            let answer: StartAnswer = self.finish(self.client.post(url), Some(request)).await?;
            Ok(answer.instance)
        })
    }
}
