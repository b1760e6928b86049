//! HTTP client of the test harness for the daemons and stand-ins of a fleet.

use std::net::SocketAddr;

use cassiacross::clock;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

const TIMEOUT: clock::Millis = clock::Millis(10_000);
const STATUS_TIMEOUT: clock::Millis = clock::Millis(500);
const ANSWER_TIMEOUT: clock::Millis = clock::Millis(2_000);

/// An HTTP request that failed or returned an invalid body.
#[derive(Debug, Error)]
pub enum Error {
    /// The request failed or returned an error status.
    #[error("HTTP request failed: {0}")]
    Call(#[from] reqwest::Error),
    /// The response body has an unexpected structure.
    #[error("invalid JSON in the response: {0}")]
    Answer(#[from] serde_json::Error),
}

/// HTTP client that opens a new connection for each request.
#[derive(Clone, Debug)]
pub struct Client {
    inner: reqwest::Client,
}

impl Client {
    /// Creates a client with a request timeout of ten seconds.
    pub fn new() -> Result<Self, Error> {
        let inner = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .timeout(TIMEOUT.to_duration())
            .build()?;
        Ok(Self { inner })
    }

    /// Returns the state dump (`/state`) of a process.
    pub async fn state(&self, http: SocketAddr) -> Result<Value, Error> {
        self.get(http, "/state").await
    }

    /// Returns whether `/ready` of a process returns a success status.
    pub async fn is_ready(&self, http: SocketAddr) -> bool {
        let call = self.inner.get(format!("http://{http}/ready")).send();
        call.await
            .is_ok_and(|response| response.status().is_success())
    }

    /// Sends JSON to a stand-in with POST, for example to its `/faults`.
    pub async fn post(&self, http: SocketAddr, path: &str, body: &Value) -> Result<(), Error> {
        let call = self.inner.post(format!("http://{http}{path}")).json(body);
        call.send().await?.error_for_status()?;
        Ok(())
    }

    /// Returns `/v1/status` of a balancer, its configuration; `token` is the operator token.
    pub async fn status(&self, http: SocketAddr, token: &str) -> Result<Value, Error> {
        let call = self.inner.get(format!("http://{http}/v1/status"));
        let call = call
            .bearer_auth(token)
            .timeout(STATUS_TIMEOUT.to_duration());
        let response = call.send().await?.error_for_status()?;
        Ok(response.json().await?)
    }

    /// Fetches JSON from a process with GET.
    pub async fn get(&self, http: SocketAddr, path: &str) -> Result<Value, Error> {
        let call = self.inner.get(format!("http://{http}{path}"));
        let response = call.send().await?.error_for_status()?;
        Ok(response.json().await?)
    }

    /// Returns whether a GET request to a service succeeds within two seconds.
    pub async fn is_answered(&self, url: &str) -> bool {
        let call = self.inner.get(url).header("x-work-ms", 1);
        let response = call.timeout(ANSWER_TIMEOUT.to_duration()).send();
        response
            .await
            .is_ok_and(|response| response.status().is_success())
    }

    /// Returns the TCP address of each service at a fabric, sorted by service name.
    pub async fn service_ports(
        &self,
        fabric: SocketAddr,
    ) -> Result<Vec<(String, SocketAddr)>, Error> {
        let listed = self.get(fabric, "/services").await?;
        let mut ports: Vec<Port> = serde_json::from_value(listed)?;
        ports.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(ports
            .into_iter()
            .map(|listed| (listed.name, listed.port))
            .collect())
    }
}

#[derive(Deserialize)]
struct Port {
    name: String,
    port: SocketAddr,
}
