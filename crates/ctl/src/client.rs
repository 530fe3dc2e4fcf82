//! HTTP client of the operators' API of an entry, and of a relay's management endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use hickorycourse_clock::timeout;
use hickorycourse_store::build_client;
use ntex::client::{Client, ClientRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::output::CommandError;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Client of one entry or relay; sends the operator key with each request.
pub struct OperatorClient {
    client: Client,
    address: SocketAddr,
    key: String,
}

impl OperatorClient {
    /// Creates a client of the process at `address`; opens no connection yet.
    pub async fn new(address: SocketAddr, key: &str) -> Self {
        Self { client: build_client().await, address, key: key.to_owned() }
    }

    /// Sends a GET request and decodes the JSON response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let request = self.client.get(self.url(path));
        let bytes = self.send(request, None::<&()>).await?;
        serde_json::from_slice(&bytes).map_err(|error| CommandError::Request(error.to_string()))
    }

    /// Sends a PUT request with a JSON body and decodes the JSON response.
    pub async fn put<T: DeserializeOwned, B: Serialize>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CommandError> {
        let request = self.client.put(self.url(path));
        let bytes = self.send(request, Some(body)).await?;
        serde_json::from_slice(&bytes).map_err(|error| CommandError::Request(error.to_string()))
    }

    /// Sends a POST request without a body and discards the response body.
    pub async fn post(&self, path: &str) -> Result<(), CommandError> {
        self.send(self.client.post(self.url(path)), None::<&()>).await.map(|_| ())
    }

    /// Sends a PUT request without a body and discards the response body.
    pub async fn put_empty(&self, path: &str) -> Result<(), CommandError> {
        self.send(self.client.put(self.url(path)), None::<&()>).await.map(|_| ())
    }

    /// Sends a DELETE request and discards the response body.
    pub async fn delete(&self, path: &str) -> Result<(), CommandError> {
        self.send(self.client.delete(self.url(path)), None::<&()>).await.map(|_| ())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    async fn send<B: Serialize>(
        &self,
        request: ClientRequest,
        body: Option<&B>,
    ) -> Result<Vec<u8>, CommandError> {
        let request = request.set_header("authorization", format!("Bearer {}", self.key));
        let no_response = |reason: String| {
            CommandError::Request(format!("No response from {}: {reason}.", self.address))
        };
        let exchange = async {
            let response = match body {
                Some(body) => request.send_json(body).await,
                None => request.send().await,
            };
            let response = response.map_err(|error| no_response(error.to_string()))?;
            let status = response.status();
            let bytes = response
                .body()
                .limit(MAX_RESPONSE_BYTES)
                .await
                .map_err(|error| no_response(error.to_string()))?;
            match status.is_success() {
                true => Ok(bytes.to_vec()),
                false if bytes.is_empty() => {
                    let reason = format!("{} responded with {status}.", self.address);
                    Err(CommandError::Request(reason))
                }
                false => Err(CommandError::Request(format_problem(&bytes))),
            }
        };
        match timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(no_response("timed out after 15 s".to_owned())),
        }
    }
}

fn format_problem(bytes: &[u8]) -> String {
    let Ok(problem) = serde_json::from_slice::<Value>(bytes) else {
        return String::from_utf8_lossy(bytes).trim_end().to_owned();
    };
    let detail = problem["detail"].as_str().unwrap_or("");
    let execution = problem["execution"].as_str().unwrap_or("");
    format!("[{}] {detail} ({execution})", problem["code"])
}
