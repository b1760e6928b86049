//! Calls of the bench to the processes of a fleet.

use std::net::SocketAddr;

use cassiacross::clock;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

const LIMIT: clock::Millis = clock::Millis(10_000);
const STATUS_LIMIT: clock::Millis = clock::Millis(500);
const ANSWER_LIMIT: clock::Millis = clock::Millis(2_000);

/// Why a call gave nothing.
#[derive(Debug, Error)]
pub enum Error {
    /// The call failed.
    #[error("call failed: {0}")]
    Call(#[from] reqwest::Error),
    /// The answer is of another shape.
    #[error("answer cannot be read: {0}")]
    Answer(#[from] serde_json::Error),
}

/// Calls processes, each time over a connection of its own.
#[derive(Clone, Debug)]
pub struct Client {
    inner: reqwest::Client,
}

impl Client {
    /// A client that gives up after ten seconds.
    pub fn new() -> Result<Self, Error> {
        let inner = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .timeout(LIMIT.to_duration())
            .build()?;
        Ok(Self { inner })
    }

    /// A process's tables as it dumps them.
    pub async fn state(&self, http: SocketAddr) -> Result<Value, Error> {
        self.get(http, "/state").await
    }

    /// Whether a process says that it is ready.
    pub async fn is_ready(&self, http: SocketAddr) -> bool {
        let call = self.inner.get(format!("http://{http}/ready")).send();
        call.await
            .is_ok_and(|response| response.status().is_success())
    }

    /// Posts JSON to a stand-in, for example to its `/faults`.
    pub async fn post(&self, http: SocketAddr, path: &str, body: &Value) -> Result<(), Error> {
        let call = self.inner.post(format!("http://{http}{path}")).json(body);
        call.send().await?.error_for_status()?;
        Ok(())
    }

    /// The configuration as a balancer has it, with the secret of the operators.
    pub async fn status(&self, http: SocketAddr, token: &str) -> Result<Value, Error> {
        let call = self.inner.get(format!("http://{http}/v1/status"));
        let call = call.bearer_auth(token).timeout(STATUS_LIMIT.to_duration());
        let response = call.send().await?.error_for_status()?;
        Ok(response.json().await?)
    }

    /// Reads JSON from a process.
    pub async fn get(&self, http: SocketAddr, path: &str) -> Result<Value, Error> {
        let call = self.inner.get(format!("http://{http}{path}"));
        let response = call.send().await?.error_for_status()?;
        Ok(response.json().await?)
    }

    /// Whether a call to a service is answered.
    pub async fn is_answered(&self, url: &str) -> bool {
        let call = self.inner.get(url).header("x-work-ms", 1);
        let response = call.timeout(ANSWER_LIMIT.to_duration()).send();
        response
            .await
            .is_ok_and(|response| response.status().is_success())
    }

    /// TCP ports of the services at a fabric, sorted by name.
    pub async fn service_ports(
        &self,
        fabric: SocketAddr,
    ) -> Result<Vec<(String, SocketAddr)>, Error> {
        let listed = self.get(fabric, "/services").await?;
        let mut ports: Vec<Port> = serde_json::from_value(listed)?;
        ports.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(ports.into_iter().map(|one| (one.name, one.port)).collect())
    }
}

#[derive(Deserialize)]
struct Port {
    name: String,
    port: SocketAddr,
}
