//! Client of the platform's object API.

use std::fmt;

use reqwest::{Method, RequestBuilder, Response, StatusCode, header};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use thiserror::Error;

use crate::clock;

/// Limit of one call, on top of the time that a watch waits.
pub const TIMEOUT: clock::Millis = clock::Millis(2_000);

/// Kind of the objects that hold records.
pub const RECORDS: &str = "records";

/// Kind of the objects through which balancers find each other.
pub const BALANCERS: &str = "balancers";

/// Why a call gave nothing usable.
#[derive(Debug, Error)]
pub enum Error {
    /// The object is not in the state that the call was bound to; nothing was written.
    #[error("object has changed")]
    Changed,
    /// The platform refused the call; nothing was written.
    #[error("platform refused the call with status {0}")]
    Refused(u16),
    /// The platform failed; a write may have taken effect.
    #[error("platform failed with status {0}")]
    Failed(u16),
    /// No whole answer came; a write may have taken effect.
    #[error("no answer from the platform: {0}")]
    Lost(#[from] reqwest::Error),
}

/// The state that a conditional write requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Guard {
    /// There is no such object.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// One object in one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Object {
    /// The object's name; empty in the answer to a read by name.
    #[serde(default)]
    pub name: String,
    /// The revision of the store that wrote it.
    pub version: u64,
    /// What was written; null where a watch reports that the object was removed.
    pub value: Value,
}

/// Objects of one kind as of one revision of the store.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Listing {
    /// The store's revision.
    pub revision: u64,
    /// The objects, in any order.
    pub items: Vec<Object>,
}

#[derive(Deserialize)]
struct Written {
    version: u64,
}

/// Calls the platform.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base: String,
}

impl Client {
    /// A client of the API at a base URL such as `http://10.0.0.9:9000`.
    pub fn new(base: &str) -> Result<Self, Error> {
        let http = reqwest::Client::builder().no_proxy().build()?;
        Ok(Self {
            http,
            base: base.trim_end_matches('/').to_owned(),
        })
    }

    /// Reads one object.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        let response = self.object(Method::GET, kind, name).send().await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        read(response).await.map(Some)
    }

    /// Writes one object if it is in the state that `guard` names; gives its new version.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        guard: Guard,
        value: &Value,
    ) -> Result<u64, Error> {
        let request = self.object(Method::PUT, kind, name).json(value);
        let response = guarded(request, guard).send().await?;
        let written: Written = read(response).await?;
        Ok(written.version)
    }

    /// Removes one object if it has a version.
    pub async fn delete(&self, kind: &str, name: &str, version: u64) -> Result<(), Error> {
        let request = self.object(Method::DELETE, kind, name);
        let response = guarded(request, Guard::Version(version)).send().await?;
        check(&response)
    }

    /// Reads all objects of a kind.
    pub async fn list(&self, kind: &str) -> Result<Listing, Error> {
        let url = format!("{}/objects/{kind}", self.base);
        read(self.call(Method::GET, &url, TIMEOUT).send().await?).await
    }

    /// Waits up to `wait` for objects of a kind written after a revision.
    pub async fn watch(
        &self,
        kind: &str,
        after: u64,
        wait: clock::Millis,
    ) -> Result<Listing, Error> {
        let base = &self.base;
        let url = format!("{base}/watch/{kind}?after={after}&wait_ms={}", wait.0);
        read(self.call(Method::GET, &url, wait + TIMEOUT).send().await?).await
    }

    fn object(&self, method: Method, kind: &str, name: &str) -> RequestBuilder {
        let url = format!("{}/objects/{kind}/{name}", self.base);
        self.call(method, &url, TIMEOUT)
    }

    fn call(&self, method: Method, url: &str, limit: clock::Millis) -> RequestBuilder {
        self.http.request(method, url).timeout(limit.to_duration())
    }
}

impl Object {
    /// The guard that holds while the object is as it is.
    #[must_use]
    pub fn guard(object: Option<&Self>) -> Guard {
        object.map_or(Guard::Absent, |object| Guard::Version(object.version))
    }
}

impl fmt::Display for Guard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("no such object"),
            Self::Version(version) => write!(f, "version {version}"),
        }
    }
}

fn guarded(request: RequestBuilder, guard: Guard) -> RequestBuilder {
    match guard {
        Guard::Absent => request.header(header::IF_NONE_MATCH, "*"),
        Guard::Version(version) => request.header(header::IF_MATCH, version),
    }
}

async fn read<T: DeserializeOwned>(response: Response) -> Result<T, Error> {
    check(&response)?;
    Ok(response.json().await?)
}

fn check(response: &Response) -> Result<(), Error> {
    let status = response.status();
    match status {
        StatusCode::PRECONDITION_FAILED => Err(Error::Changed),
        _ if status.is_success() => Ok(()),
        _ if status.is_client_error() => Err(Error::Refused(status.as_u16())),
        _ => Err(Error::Failed(status.as_u16())),
    }
}
