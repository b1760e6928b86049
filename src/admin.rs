//! The administration API that a balancer serves under `/v1`.
//!
//! Each call carries the operator token. A call that writes names its change
//! in the header `cassiacross-change` (see [`change::name_of`]), so that it may
//! be repeated through any balancer and still takes effect at most once.
//!
//! | call | effect |
//! |---|---|
//! | `GET /records` | standing of each record in this process |
//! | `GET /records/NAME` | the stored record and its version |
//! | `PUT`, `DELETE /records/NAME` | with `If-Match: N`, `If-None-Match: *` or `?force=true` |
//! | `POST /check?name=NAME` | faults of a record, nothing is written |
//! | `GET /changes/ID` | whether a change has taken effect |
//! | `GET /upstreams/NAME` | the record that an upstream belongs to |
//! | `POST /upstreams/NAME/drain`, `undrain` | weight 0, or the weight before it |
//! | `GET /status` | versions in force here and what is known of others |

use std::{fmt, panic::AssertUnwindSafe, pin::Pin, sync::Arc};

use futures_util::{FutureExt, future};
use gotham::{
    handler::{HandlerFuture, HandlerResult},
    helpers::http::Body,
    hyper::{HeaderMap, Response, StatusCode, Uri, body::Bytes, header},
    middleware::{Middleware, NewMiddleware},
    pipeline,
    router::{
        Router,
        builder::{DefineSingleRoute, DrawRoutes, build_router},
        response::StaticResponseExtender,
    },
    state::{FromState, State, StateData},
};
use http_body_util::{BodyExt, Limited};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{backoff, change, config, drain, moves, platform, record, reply};

/// Header that names the change.
pub const CHANGE: &str = "cassiacross-change";

const MAX_BODY_LEN: usize = 4 * record::MAX_LEN;

/// What a process knows of another one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Peer {
    /// The process's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// The digest of its records as it last told, if it did.
    pub digest: Option<u64>,
}

/// An agent whose heartbeats come to the process that tells of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Agent {
    /// The upstream's name.
    pub name: String,
    /// The service that the upstream serves, which names its record.
    pub service: String,
    /// The version of that record in force at the agent, 0 for none.
    pub version: u64,
}

/// The configuration as one process has it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The process's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Digest of its records.
    pub digest: u64,
    /// Standing of each record, sorted by name.
    pub records: Vec<config::Standing>,
    /// What it knows of other processes.
    pub peers: Vec<Peer>,
    /// The agents that it watches.
    #[serde(default)]
    pub agents: Vec<Agent>,
}

/// Finds a service's name by an upstream's.
pub type Lookup = Box<dyn Fn(&str) -> Option<String> + Send + Sync>;

/// What the balancer gives to the API.
pub struct Parts {
    /// The balancer's name.
    pub name: String,
    /// The balancer's failure domain.
    pub domain: String,
    /// Secret that each call carries.
    pub token: String,
    /// The platform that holds the records.
    pub client: platform::Client,
    /// The records as they are now.
    pub table: Box<dyn Fn() -> Arc<config::Table> + Send + Sync>,
    /// Takes in a record that the platform has confirmed.
    pub apply: Box<dyn Fn(&platform::Object) + Send + Sync>,
    /// What is known of other processes.
    pub peers: Box<dyn Fn() -> Vec<Peer> + Send + Sync>,
    /// The agents that this balancer watches.
    pub agents: Box<dyn Fn() -> Vec<Agent> + Send + Sync>,
    /// The service that an announced upstream serves.
    pub service_of: Lookup,
}

/// The API's shared state; clones share it.
#[derive(Clone)]
pub struct Admin {
    parts: Arc<AssertUnwindSafe<Parts>>,
}

#[derive(Deserialize)]
struct NamePath {
    name: String,
}

struct Call {
    admin: Admin,
    name: String,
    headers: HeaderMap,
    force: bool,
}

/// The routes, to be mounted by `route.delegate("/v1").to_router(..)`.
#[must_use]
pub fn router(admin: Admin) -> Router {
    let (chain, pipelines) = pipeline::single_pipeline(pipeline::single_middleware(admin));
    build_router(chain, pipelines, |route| {
        route.get("/records").to_async(list);
        route.get("/status").to_async(status);
        route.post("/check").to_async(check);
        route
            .get("/records/:name")
            .with_path_extractor::<NamePath>()
            .to_async(get);
        route
            .put("/records/:name")
            .with_path_extractor::<NamePath>()
            .to_async(put);
        route
            .delete("/records/:name")
            .with_path_extractor::<NamePath>()
            .to_async(delete);
        route
            .get("/changes/:name")
            .with_path_extractor::<NamePath>()
            .to_async(ask);
        route
            .get("/upstreams/:name")
            .with_path_extractor::<NamePath>()
            .to_async(upstream);
        route
            .post("/upstreams/:name/drain")
            .with_path_extractor::<NamePath>()
            .to_async(drain_upstream);
        route
            .post("/upstreams/:name/undrain")
            .with_path_extractor::<NamePath>()
            .to_async(undrain_upstream);
    })
}

impl Admin {
    /// Shares what the balancer gives.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        Self {
            parts: Arc::new(AssertUnwindSafe(parts)),
        }
    }

    /// The configuration as this process has it.
    #[must_use]
    pub fn status(&self) -> Status {
        let table = (self.parts.table)();
        Status {
            name: self.parts.name.clone(),
            domain: self.parts.domain.clone(),
            digest: table.digest(),
            records: table.standings().collect(),
            peers: (self.parts.peers)(),
            agents: (self.parts.agents)(),
        }
    }

    fn is_operator(&self, headers: &HeaderMap) -> bool {
        let header = headers.get(header::AUTHORIZATION);
        let text = header.and_then(|value| value.to_str().ok());
        let token = text.and_then(|text| text.strip_prefix("Bearer "));
        token.is_some_and(|token| {
            blake3::hash(token.as_bytes()) == blake3::hash(self.parts.token.as_bytes())
        })
    }

    async fn read(&self, name: &str) -> reply::Reply {
        match self.parts.client.get(change::RECORDS, name).await {
            Ok(Some(object)) => {
                let document = change::record(&object.value);
                reply::Reply::found(name, object.version, document, reply::Source::Platform)
            }
            Ok(None) => reply::Reply::refuse(StatusCode::NOT_FOUND, "there is no such record"),
            Err(_) => self.read_table(name),
        }
    }

    fn read_table(&self, name: &str) -> reply::Reply {
        match (self.parts.table)().latest(name) {
            Some(seen) => {
                reply::Reply::found(name, seen.version, &seen.document, reply::Source::Memory)
            }
            None => reply::Reply::refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "the platform is not available and the record is not known here",
            ),
        }
    }

    async fn change(
        &self,
        request: &change::Request<'_>,
        edit: impl Fn(Option<&Value>) -> Result<Value, reply::Reply>,
    ) -> reply::Reply {
        let backoff = backoff::Backoff::new(rand::random(), change::BUDGET);
        match change::commit(&self.parts.client, request, edit, backoff).await {
            Ok(outcome) => {
                self.take_in(request.name, outcome).await;
                reply::Reply::changed(request.id, outcome)
            }
            Err(change::Error::Edit(reply)) => reply,
            Err(error @ change::Error::Unavailable(_)) => {
                reply::Reply::refuse(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
            }
        }
    }

    async fn take_in(&self, name: &str, outcome: change::Outcome) {
        if !matches!(outcome, change::Outcome::Accepted(_)) {
            return;
        }
        let object = self.parts.client.get(change::RECORDS, name).await;
        if let Ok(Some(object)) = object {
            let name = name.to_owned();
            (self.parts.apply)(&platform::Object { name, ..object });
        }
    }

    fn record_of(&self, upstream: &str) -> Option<String> {
        let table = (self.parts.table)();
        let announced = (self.parts.service_of)(upstream);
        announced.or_else(|| {
            let mut documents = table.documents();
            let found = documents.find(|seen| drain::names_upstream(&seen.document, upstream));
            found.map(|seen| seen.name.clone())
        })
    }
}

impl Call {
    fn take(state: &mut State) -> Self {
        let query = Uri::borrow_from(state).query().unwrap_or_default();
        Self {
            force: query.split('&').any(|pair| pair == "force=true"),
            admin: Admin::borrow_from(state).clone(),
            name: NamePath::take_from(state).name,
            headers: HeaderMap::take_from(state),
        }
    }

    fn id(&self) -> Result<&str, reply::Reply> {
        let id = self
            .headers
            .get(CHANGE)
            .and_then(|value| value.to_str().ok());
        id.filter(|id| change::name_of(id).is_some())
            .ok_or_else(|| {
                let what = format!("header {CHANGE} must be RECORD~ID");
                reply::Reply::refuse(StatusCode::BAD_REQUEST, &what)
            })
    }

    fn request(&self) -> Result<change::Request<'_>, reply::Reply> {
        let id = self.id()?;
        if change::name_of(id) != Some(&self.name) {
            let what = "the change id names another record";
            return Err(reply::Reply::refuse(StatusCode::BAD_REQUEST, what));
        }
        Ok(change::Request {
            name: &self.name,
            id,
            expect: self.expect()?,
        })
    }

    fn expect(&self) -> Result<change::Expect, reply::Reply> {
        if self.force {
            return Ok(change::Expect::Any);
        }
        let text = |name| self.headers.get(name).and_then(|value| value.to_str().ok());
        if text(header::IF_NONE_MATCH) == Some("*") {
            return Ok(change::Expect::Absent);
        }
        let version = text(header::IF_MATCH).and_then(|text| text.trim_matches('"').parse().ok());
        version.map(change::Expect::Version).ok_or_else(|| {
            reply::Reply::refuse(
                StatusCode::PRECONDITION_REQUIRED,
                "give If-Match with a version, If-None-Match: *, or force=true",
            )
        })
    }

    async fn put(&self, body: Result<Value, reply::Reply>) -> Result<reply::Reply, reply::Reply> {
        let document = body?;
        let request = self.request()?;
        match record::parse(&self.name, &document) {
            Ok(record::Document::Service(_)) => {}
            Ok(record::Document::Deleted) => {
                return Err(reply::Reply::refuse(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "use DELETE",
                ));
            }
            Err(error) => return Err(reply::Reply::faults(&error)),
        }
        let edit = |before: Option<&Value>| {
            let mut document = document.clone();
            if let Some(before) = before {
                moves::carry(before, &mut document);
            }
            Ok(document)
        };
        Ok(self.admin.change(&request, edit).await)
    }

    async fn delete(&self) -> Result<reply::Reply, reply::Reply> {
        let request = self.request()?;
        let edit = |before: Option<&Value>| match before {
            Some(before) if !record::is_deleted(before) => Ok(record::deletion()),
            _ => Err(reply::Reply::refuse(
                StatusCode::NOT_FOUND,
                "there is no such record",
            )),
        };
        Ok(self.admin.change(&request, edit).await)
    }

    async fn weigh(&self, weigh: fn(&mut Value, &str)) -> Result<reply::Reply, reply::Reply> {
        let id = self.id()?;
        if !record::is_name(&self.name) {
            return Err(reply::Reply::refuse(
                StatusCode::BAD_REQUEST,
                "not an upstream's name",
            ));
        }
        let request = change::Request {
            name: change::name_of(id).unwrap_or_default(),
            id,
            expect: change::Expect::Any,
        };
        let edit = |before: Option<&Value>| {
            let before = before.filter(|before| !record::is_deleted(before));
            let mut document = before.cloned().ok_or_else(|| {
                reply::Reply::refuse(StatusCode::NOT_FOUND, "there is no such record")
            })?;
            weigh(&mut document, &self.name);
            record::parse(request.name, &document).map_err(|error| reply::Reply::faults(&error))?;
            Ok(document)
        };
        Ok(self.admin.change(&request, edit).await)
    }
}

impl StateData for Admin {}

impl StateData for NamePath {}

impl StaticResponseExtender for NamePath {
    type ResBody = Body;

    fn extend(_state: &mut State, _res: &mut Response<Body>) {}
}

impl NewMiddleware for Admin {
    type Instance = Self;

    fn new_middleware(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Middleware for Admin {
    fn call<Chain>(self, mut state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>>,
    {
        if self.is_operator(HeaderMap::borrow_from(&state)) {
            state.put(self);
            return chain(state);
        }
        let reply = reply::Reply::refuse(
            StatusCode::UNAUTHORIZED,
            "the operator token is missing or wrong",
        );
        future::ok(reply.send(state)).boxed()
    }
}

impl fmt::Debug for Admin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Admin({})", self.parts.name)
    }
}

impl fmt::Debug for Parts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Parts({})", self.name)
    }
}

async fn list(state: State) -> HandlerResult {
    let status = Admin::borrow_from(&state).status();
    Ok(reply::Reply::ok(&status.records).send(state))
}

async fn status(state: State) -> HandlerResult {
    let status = Admin::borrow_from(&state).status();
    Ok(reply::Reply::ok(&status).send(state))
}

async fn check(mut state: State) -> HandlerResult {
    let query = Uri::borrow_from(&state).query().unwrap_or_default();
    let name = query.strip_prefix("name=").unwrap_or_default().to_owned();
    let reply = match body(&mut state).await {
        Ok(document) => match record::parse(&name, &document) {
            Ok(_) => reply::Reply::ok(&reply::Checked { name }),
            Err(error) => reply::Reply::faults(&error),
        },
        Err(reply) => reply,
    };
    Ok(reply.send(state))
}

async fn get(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    let reply = if record::is_name(&call.name) {
        call.admin.read(&call.name).await
    } else {
        reply::Reply::refuse(StatusCode::BAD_REQUEST, "not a record's name")
    };
    Ok(reply.send(state))
}

async fn put(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    let body = body(&mut state).await;
    let reply = call.put(body).await.unwrap_or_else(|reply| reply);
    Ok(reply.send(state))
}

async fn delete(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    let reply = call.delete().await.unwrap_or_else(|reply| reply);
    Ok(reply.send(state))
}

async fn drain_upstream(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    let reply = call.weigh(drain::drain).await;
    Ok(reply.unwrap_or_else(|reply| reply).send(state))
}

async fn undrain_upstream(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    let reply = call.weigh(drain::undrain).await;
    Ok(reply.unwrap_or_else(|reply| reply).send(state))
}

async fn upstream(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    let reply = match call.admin.record_of(&call.name) {
        Some(record) => reply::Reply::ok(&reply::Belongs {
            upstream: call.name,
            record,
        }),
        None => reply::Reply::refuse(StatusCode::NOT_FOUND, "no record names this upstream"),
    };
    Ok(reply.send(state))
}

async fn ask(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    let id = &call.name;
    let reply = match change::name_of(id) {
        Some(name) => match change::ask(&call.admin.parts.client, name, id).await {
            Ok(outcome) => reply::Reply::changed(id, outcome),
            Err(error) => reply::Reply::refuse(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        },
        None => reply::Reply::refuse(StatusCode::BAD_REQUEST, "a change id is RECORD~ID"),
    };
    Ok(reply.send(state))
}

async fn body(state: &mut State) -> Result<Value, reply::Reply> {
    let body = Limited::new(Body::take_from(state), MAX_BODY_LEN);
    let bytes: Bytes = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            return Err(reply::Reply::refuse(
                StatusCode::PAYLOAD_TOO_LARGE,
                &error.to_string(),
            ));
        }
    };
    serde_json::from_slice(&bytes).map_err(|error| {
        let what = format!("the body is not JSON: {error}");
        reply::Reply::refuse(StatusCode::BAD_REQUEST, &what)
    })
}
