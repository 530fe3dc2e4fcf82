//! The operators' port of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use hickorycourse_store::build_client;
use ntex::client::{Client, ClientRequest};
use ntex::time::timeout;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::output::Failure;

const TIMEOUT: Duration = Duration::from_secs(15);
const ANSWER_BYTES_LIMIT: usize = 64 * 1024 * 1024;

/// A client of one entry.
pub struct OperatorClient {
    client: Client,
    address: SocketAddr,
    key: String,
}

impl OperatorClient {
    /// Creates a client.
    pub async fn new(address: SocketAddr, key: &str) -> Self {
        Self { client: build_client().await, address, key: key.to_owned() }
    }

    /// Reads a path.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let request = self.client.get(self.url(path));
        let bytes = self.send(request, None::<&()>).await?;
        serde_json::from_slice(&bytes).map_err(|error| Failure::Answer(error.to_string()))
    }

    /// Sends a change.
    pub async fn put<T: DeserializeOwned, B: Serialize>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, Failure> {
        let request = self.client.put(self.url(path));
        let bytes = self.send(request, Some(body)).await?;
        serde_json::from_slice(&bytes).map_err(|error| Failure::Answer(error.to_string()))
    }

    /// Sends an order without content.
    pub async fn post(&self, path: &str) -> Result<(), Failure> {
        self.send(self.client.post(self.url(path)), None::<&()>).await.map(|_| ())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    async fn send<B: Serialize>(
        &self,
        request: ClientRequest,
        body: Option<&B>,
    ) -> Result<Vec<u8>, Failure> {
        let request = request.set_header("authorization", format!("Bearer {}", self.key));
        let unreachable =
            |reason: String| Failure::Answer(format!("No answer from {}: {reason}.", self.address));
        let exchange = async {
            let response = match body {
                Some(body) => request.send_json(body).await,
                None => request.send().await,
            };
            let response = response.map_err(|error| unreachable(error.to_string()))?;
            let is_success = response.status().is_success();
            let bytes = response
                .body()
                .limit(ANSWER_BYTES_LIMIT)
                .await
                .map_err(|error| unreachable(error.to_string()))?;
            match is_success {
                true => Ok(bytes.to_vec()),
                false => Err(Failure::Answer(describe_problem(&bytes))),
            }
        };
        match timeout(TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(unreachable("it took too long".to_owned())),
        }
    }
}

fn describe_problem(bytes: &[u8]) -> String {
    let Ok(problem) = serde_json::from_slice::<Value>(bytes) else {
        return String::from_utf8_lossy(bytes).into_owned();
    };
    let detail = problem["detail"].as_str().unwrap_or("");
    let execution = problem["execution"].as_str().unwrap_or("");
    format!("[{}] {detail} ({execution})", problem["code"])
}
