//! HTTP client of the administration API, which tries the balancers in turn.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use cassiacross::{admin, admin_reply};
use reqwest::{Method, StatusCode, header};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{access, failure::Failure};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(30);

/// Condition on the current version of a record for a write.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Precondition {
    /// No condition.
    Any,
    /// The record is at this version; 0 if it must never have existed.
    Version(u64),
}

/// A write request, which can be sent to any balancer.
#[derive(Clone, Debug)]
pub(crate) struct Write<'a> {
    /// HTTP method.
    pub(crate) method: Method,
    /// Path below `/v1`.
    pub(crate) path: String,
    /// Change id.
    pub(crate) id: &'a str,
    /// Condition on the current version.
    pub(crate) precondition: Precondition,
    /// JSON body.
    pub(crate) body: Option<&'a Value>,
}

/// Sends requests to the balancers.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    http: reqwest::Client,
    access: access::Access,
}

struct Response {
    status: StatusCode,
    body: Value,
}

impl Client {
    /// Creates a client for the given balancers and operator token.
    pub(crate) fn new(access: access::Access) -> anyhow::Result<Self> {
        let builder = reqwest::Client::builder().no_proxy();
        let builder = builder.connect_timeout(CONNECT_TIMEOUT).timeout(TIMEOUT);
        Ok(Self {
            http: builder.build()?,
            access,
        })
    }

    /// Returns the addresses of the balancers, in the order in which they are tried.
    pub(crate) fn balancers(&self) -> &[SocketAddr] {
        &self.access.balancers
    }

    /// Sends a read request to one balancer after another until one responds without a
    /// server error, and returns the response body.
    pub(crate) async fn read(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, Failure> {
        let mut errors = Vec::new();
        for addr in self.balancers() {
            let request = self.request(*addr, method.clone(), path, body);
            match send(request).await {
                Ok(response) if response.status.is_server_error() => {
                    errors.push(format!("{addr}: {}", response.error_message()));
                }
                Ok(response) => return response.into_body(),
                Err(error) => errors.push(format!("{addr}: {error:#}")),
            }
        }
        Err(Failure::Unavailable(errors))
    }

    /// Reads from a single process, a balancer or an agent.
    pub(crate) async fn read_from(&self, addr: SocketAddr, path: &str) -> anyhow::Result<Value> {
        let request = self.http.get(format!("http://{addr}{path}"));
        let response = send(request.bearer_auth(&self.access.operator_token)).await?;
        anyhow::ensure!(response.status.is_success(), "{}", response.error_message());
        Ok(response.body)
    }

    /// Sends a write request to one balancer after another until one completes it, and
    /// returns the version of the record.
    ///
    /// All attempts have the same change id, so the write takes effect at most once.
    /// After an attempt whose outcome is unknown, only a success or a conflict is
    /// final; any other error of the next balancer leaves the outcome unknown.
    pub(crate) async fn write(&self, write: &Write<'_>) -> Result<u64, Failure> {
        let mut errors = Vec::new();
        let mut is_unknown = false;
        for addr in self.balancers() {
            match send(self.write_request(*addr, write)).await {
                Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
                    errors.push(format!("{addr}: {}", response.error_message()));
                }
                Ok(response) if response.status.is_server_error() => is_unknown = true,
                Ok(response) if is_unknown && !response.is_final() => {
                    errors.push(format!("{addr}: {}", response.error_message()));
                }
                Ok(response) => return response.written_version(),
                Err(error) => {
                    is_unknown |= !is_connect_error(&error);
                    errors.push(format!("{addr}: {error:#}"));
                }
            }
        }
        if is_unknown {
            let id = write.id.to_owned();
            return Err(Failure::Undecided { id });
        }
        Err(Failure::Unavailable(errors))
    }

    fn request(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> reqwest::RequestBuilder {
        let request = self.http.request(method, format!("http://{addr}/v1{path}"));
        let request = request.bearer_auth(&self.access.operator_token);
        match body {
            Some(body) => request.json(body),
            None => request,
        }
    }

    fn write_request(&self, addr: SocketAddr, write: &Write<'_>) -> reqwest::RequestBuilder {
        let request = self.request(addr, write.method.clone(), &write.path, write.body);
        let request = request.header(admin::CHANGE_HEADER, write.id);
        match write.precondition {
            Precondition::Any => request.query(&[("force", "true")]),
            Precondition::Version(0) => request.header(header::IF_NONE_MATCH, "*"),
            Precondition::Version(version) => request.header(header::IF_MATCH, version),
        }
    }
}

impl Response {
    fn into_body(self) -> Result<Value, Failure> {
        match self.status {
            status if status.is_success() => Ok(self.body),
            StatusCode::NOT_FOUND => Err(Failure::NotFound(self.error_body())),
            StatusCode::UNPROCESSABLE_ENTITY => {
                Err(Failure::InvalidRecord(self.error_body().faults))
            }
            _ => Err(Failure::Other(anyhow::anyhow!(self.error_message()))),
        }
    }

    fn written_version(self) -> Result<u64, Failure> {
        let is_conflict = self.status == StatusCode::PRECONDITION_FAILED;
        let body = if is_conflict {
            self.body
        } else {
            self.into_body()?
        };
        let result: admin_reply::ChangeResult = parse_body(body)?;
        let version = result.version.unwrap_or(0);
        if is_conflict {
            return Err(Failure::Conflict { version });
        }
        Ok(version)
    }

    fn is_final(&self) -> bool {
        self.status.is_success() || self.status == StatusCode::PRECONDITION_FAILED
    }

    fn error_message(&self) -> String {
        match self.error_body().error {
            error if error.is_empty() => format!("HTTP status {}", self.status),
            error => error,
        }
    }

    fn error_body(&self) -> admin_reply::ErrorBody {
        serde_json::from_value(self.body.clone()).unwrap_or_default()
    }
}

/// Parses a response body.
pub(crate) fn parse_body<T: DeserializeOwned>(body: Value) -> anyhow::Result<T> {
    serde_json::from_value(body).context("unexpected response body")
}

async fn send(request: reqwest::RequestBuilder) -> anyhow::Result<Response> {
    let response = request.send().await?;
    let status = response.status();
    let bytes = response
        .bytes()
        .await
        .context("cannot read the response body")?;
    Ok(Response {
        status,
        body: serde_json::from_slice(&bytes).unwrap_or_default(),
    })
}

fn is_connect_error(error: &anyhow::Error) -> bool {
    let error = error.downcast_ref::<reqwest::Error>();
    error.is_some_and(reqwest::Error::is_connect)
}
