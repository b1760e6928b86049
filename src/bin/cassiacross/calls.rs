//! Calls to balancers, each tried in turn until one can answer.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use cassiacross::{admin, admin_reply};
use reqwest::{Method, StatusCode, header};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{access, failure::Failure};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(30);

/// What a write requires.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Expect {
    /// Nothing.
    Any,
    /// A version, 0 where there never was a record.
    Version(u64),
}

/// A write that any balancer may carry out.
#[derive(Clone, Debug)]
pub(crate) struct Write<'a> {
    /// The method.
    pub(crate) method: Method,
    /// The path below `/v1`.
    pub(crate) path: String,
    /// The change's id.
    pub(crate) id: &'a str,
    /// What it requires.
    pub(crate) expect: Expect,
    /// The body.
    pub(crate) body: Option<&'a Value>,
}

/// Calls the balancers.
#[derive(Clone, Debug)]
pub(crate) struct Calls {
    http: reqwest::Client,
    access: access::Access,
}

struct Answer {
    status: StatusCode,
    body: Value,
}

impl Calls {
    /// Calls with the given access.
    pub(crate) fn new(access: access::Access) -> anyhow::Result<Self> {
        let builder = reqwest::Client::builder().no_proxy();
        let builder = builder.connect_timeout(CONNECT_TIMEOUT).timeout(TIMEOUT);
        Ok(Self {
            http: builder.build()?,
            access,
        })
    }

    /// The balancers, in the order of trial.
    pub(crate) fn balancers(&self) -> &[SocketAddr] {
        &self.access.balancers
    }

    /// Reads from the first balancer that answers.
    pub(crate) async fn read(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, Failure> {
        let mut causes = Vec::new();
        for addr in self.balancers() {
            let request = self.request(*addr, method.clone(), path, body);
            match send(request).await {
                Ok(answer) if answer.status.is_server_error() => {
                    causes.push(format!("{addr}: {}", answer.error()));
                }
                Ok(answer) => return answer.read(),
                Err(error) => causes.push(format!("{addr}: {error:#}")),
            }
        }
        Err(Failure::Unavailable(causes))
    }

    /// Reads from one process, whatever its kind.
    pub(crate) async fn read_from(&self, addr: SocketAddr, path: &str) -> anyhow::Result<Value> {
        let request = self.http.get(format!("http://{addr}{path}"));
        let answer = send(request.bearer_auth(&self.access.operator_token)).await?;
        anyhow::ensure!(answer.status.is_success(), "{}", answer.error());
        Ok(answer.body)
    }

    /// Writes through the first balancer that can; gives the version.
    ///
    /// Each trial carries the same change id, so the write takes effect at
    /// most once. After a trial without an answer, "not written" of the next
    /// balancer no longer counts as decided.
    pub(crate) async fn write(&self, write: &Write<'_>) -> Result<u64, Failure> {
        let mut causes = Vec::new();
        let mut is_lost = false;
        for addr in self.balancers() {
            match send(self.write_request(*addr, write)).await {
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                    causes.push(format!("{addr}: {}", answer.error()));
                }
                Ok(answer) if answer.status.is_server_error() => is_lost = true,
                Ok(answer) if is_lost && !answer.is_decided() => {
                    causes.push(format!("{addr}: {}", answer.error()));
                }
                Ok(answer) => return answer.written(),
                Err(error) => {
                    is_lost |= !is_connect(&error);
                    causes.push(format!("{addr}: {error:#}"));
                }
            }
        }
        if is_lost {
            let id = write.id.to_owned();
            return Err(Failure::Undecided { id });
        }
        Err(Failure::Unavailable(causes))
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
        match write.expect {
            Expect::Any => request.query(&[("force", "true")]),
            Expect::Version(0) => request.header(header::IF_NONE_MATCH, "*"),
            Expect::Version(version) => request.header(header::IF_MATCH, version),
        }
    }
}

impl Answer {
    fn read(self) -> Result<Value, Failure> {
        match self.status {
            status if status.is_success() => Ok(self.body),
            StatusCode::NOT_FOUND => Err(Failure::Missing(self.refusal())),
            StatusCode::UNPROCESSABLE_ENTITY => Err(Failure::Faults(self.refusal().faults)),
            _ => Err(Failure::Use(anyhow::anyhow!(self.error()))),
        }
    }

    fn written(self) -> Result<u64, Failure> {
        let is_conflict = self.status == StatusCode::PRECONDITION_FAILED;
        let body = if is_conflict { self.body } else { self.read()? };
        let changed: admin_reply::ChangeResult = typed(body)?;
        let version = changed.version.unwrap_or(0);
        if is_conflict {
            return Err(Failure::Conflict { version });
        }
        Ok(version)
    }

    fn is_decided(&self) -> bool {
        self.status.is_success() || self.status == StatusCode::PRECONDITION_FAILED
    }

    fn error(&self) -> String {
        match self.refusal().error {
            error if error.is_empty() => format!("status {}", self.status),
            error => error,
        }
    }

    fn refusal(&self) -> admin_reply::ErrorBody {
        serde_json::from_value(self.body.clone()).unwrap_or_default()
    }
}

/// An answer's body as a typed message.
pub(crate) fn typed<T: DeserializeOwned>(body: Value) -> anyhow::Result<T> {
    serde_json::from_value(body).context("the answer cannot be read")
}

async fn send(request: reqwest::RequestBuilder) -> anyhow::Result<Answer> {
    let response = request.send().await?;
    let status = response.status();
    let bytes = response.bytes().await.context("the answer broke off")?;
    Ok(Answer {
        status,
        body: serde_json::from_slice(&bytes).unwrap_or_default(),
    })
}

fn is_connect(error: &anyhow::Error) -> bool {
    let error = error.downcast_ref::<reqwest::Error>();
    error.is_some_and(reqwest::Error::is_connect)
}
