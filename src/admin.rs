//! The administration API that a balancer serves under `/v1`.
//!
//! Each call carries the operator token. A call that writes names its change
//! in the header `cassiacross-change` (see [`change::record_name`]), so that it may
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

use crate::{
    admin_reply, backoff, change, former_addresses, platform, record, record_table, upstream_drain,
};

/// Header that names the change.
pub const CHANGE_HEADER: &str = "cassiacross-change";

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
    pub records: Vec<record_table::RecordStatus>,
    /// What it knows of other processes.
    pub peers: Vec<Peer>,
    /// The agents that it watches.
    #[serde(default)]
    pub agents: Vec<Agent>,
}

/// Finds a service's name by an upstream's.
pub type ServiceLookup = Box<dyn Fn(&str) -> Option<String> + Send + Sync>;

/// What the balancer gives to the API.
pub struct Dependencies {
    /// The balancer's name.
    pub name: String,
    /// The balancer's failure domain.
    pub domain: String,
    /// Secret that each call carries.
    pub token: String,
    /// The platform that holds the records.
    pub client: platform::Client,
    /// The records as they are now.
    pub table: Box<dyn Fn() -> Arc<record_table::Table> + Send + Sync>,
    /// Takes in a record that the platform has confirmed.
    pub apply: Box<dyn Fn(&platform::Object) + Send + Sync>,
    /// What is known of other processes.
    pub peers: Box<dyn Fn() -> Vec<Peer> + Send + Sync>,
    /// The agents that this balancer watches.
    pub agents: Box<dyn Fn() -> Vec<Agent> + Send + Sync>,
    /// The service that an announced upstream serves.
    pub service_of: ServiceLookup,
}

/// The API's shared state; clones share it.
#[derive(Clone)]
pub struct Admin {
    parts: Arc<AssertUnwindSafe<Dependencies>>,
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
    pub fn new(parts: Dependencies) -> Self {
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
            records: table.statuses().collect(),
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

    async fn read(&self, name: &str) -> admin_reply::Reply {
        match self.parts.client.get(change::RECORD_KIND, name).await {
            Ok(Some(object)) => {
                let document = change::record(&object.value);
                admin_reply::Reply::stored_record(
                    name,
                    object.version,
                    document,
                    admin_reply::Source::Platform,
                )
            }
            Ok(None) => admin_reply::Reply::error(StatusCode::NOT_FOUND, "there is no such record"),
            Err(_) => self.read_table(name),
        }
    }

    fn read_table(&self, name: &str) -> admin_reply::Reply {
        match (self.parts.table)().latest(name) {
            Some(seen) => admin_reply::Reply::stored_record(
                name,
                seen.version,
                &seen.document,
                admin_reply::Source::Memory,
            ),
            None => admin_reply::Reply::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "the platform is not available and the record is not known here",
            ),
        }
    }

    async fn change(
        &self,
        request: &change::Request<'_>,
        edit: impl Fn(Option<&Value>) -> Result<Value, admin_reply::Reply>,
    ) -> admin_reply::Reply {
        let backoff = backoff::Backoff::new(rand::random(), change::MAX_RETRIES);
        match change::commit(&self.parts.client, request, edit, backoff).await {
            Ok(outcome) => {
                self.take_in(request.name, outcome).await;
                admin_reply::Reply::change_result(request.id, outcome)
            }
            Err(change::Error::Edit(reply)) => reply,
            Err(error @ change::Error::Unavailable(_)) => {
                admin_reply::Reply::error(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
            }
        }
    }

    async fn take_in(&self, name: &str, outcome: change::Outcome) {
        if !matches!(outcome, change::Outcome::Accepted(_)) {
            return;
        }
        let object = self.parts.client.get(change::RECORD_KIND, name).await;
        if let Ok(Some(object)) = object {
            let name = name.to_owned();
            (self.parts.apply)(&platform::Object { name, ..object });
        }
    }

    fn record_of(&self, upstream: &str) -> Option<String> {
        let table = (self.parts.table)();
        let announced = (self.parts.service_of)(upstream);
        announced.or_else(|| {
            let mut documents = table.records();
            let found =
                documents.find(|seen| upstream_drain::contains_upstream(&seen.document, upstream));
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

    fn id(&self) -> Result<&str, admin_reply::Reply> {
        let id = self
            .headers
            .get(CHANGE_HEADER)
            .and_then(|value| value.to_str().ok());
        id.filter(|id| change::record_name(id).is_some())
            .ok_or_else(|| {
                let what = format!("header {CHANGE_HEADER} must be RECORD~ID");
                admin_reply::Reply::error(StatusCode::BAD_REQUEST, &what)
            })
    }

    fn request(&self) -> Result<change::Request<'_>, admin_reply::Reply> {
        let id = self.id()?;
        if change::record_name(id) != Some(&self.name) {
            let what = "the change id names another record";
            return Err(admin_reply::Reply::error(StatusCode::BAD_REQUEST, what));
        }
        Ok(change::Request {
            name: &self.name,
            id,
            precondition: self.precondition()?,
        })
    }

    fn precondition(&self) -> Result<change::Precondition, admin_reply::Reply> {
        if self.force {
            return Ok(change::Precondition::Any);
        }
        let text = |name| self.headers.get(name).and_then(|value| value.to_str().ok());
        if text(header::IF_NONE_MATCH) == Some("*") {
            return Ok(change::Precondition::Absent);
        }
        let version = text(header::IF_MATCH).and_then(|text| text.trim_matches('"').parse().ok());
        version.map(change::Precondition::Version).ok_or_else(|| {
            admin_reply::Reply::error(
                StatusCode::PRECONDITION_REQUIRED,
                "give If-Match with a version, If-None-Match: *, or force=true",
            )
        })
    }

    async fn put(
        &self,
        body: Result<Value, admin_reply::Reply>,
    ) -> Result<admin_reply::Reply, admin_reply::Reply> {
        let document = body?;
        let request = self.request()?;
        match record::parse(&self.name, &document) {
            Ok(record::Document::Service(_)) => {}
            Ok(record::Document::Deleted) => {
                return Err(admin_reply::Reply::error(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "use DELETE",
                ));
            }
            Err(error) => return Err(admin_reply::Reply::invalid_record(&error)),
        }
        let edit = |before: Option<&Value>| {
            let mut document = document.clone();
            if let Some(before) = before {
                former_addresses::carry_over(before, &mut document);
            }
            Ok(document)
        };
        Ok(self.admin.change(&request, edit).await)
    }

    async fn delete(&self) -> Result<admin_reply::Reply, admin_reply::Reply> {
        let request = self.request()?;
        let edit = |before: Option<&Value>| match before {
            Some(before) if !record::is_deleted(before) => Ok(record::tombstone()),
            _ => Err(admin_reply::Reply::error(
                StatusCode::NOT_FOUND,
                "there is no such record",
            )),
        };
        Ok(self.admin.change(&request, edit).await)
    }

    async fn weigh(
        &self,
        weigh: fn(&mut Value, &str),
    ) -> Result<admin_reply::Reply, admin_reply::Reply> {
        let id = self.id()?;
        if !record::is_valid_name(&self.name) {
            return Err(admin_reply::Reply::error(
                StatusCode::BAD_REQUEST,
                "not an upstream's name",
            ));
        }
        let request = change::Request {
            name: change::record_name(id).unwrap_or_default(),
            id,
            precondition: change::Precondition::Any,
        };
        let edit = |before: Option<&Value>| {
            let before = before.filter(|before| !record::is_deleted(before));
            let mut document = before.cloned().ok_or_else(|| {
                admin_reply::Reply::error(StatusCode::NOT_FOUND, "there is no such record")
            })?;
            weigh(&mut document, &self.name);
            record::parse(request.name, &document)
                .map_err(|error| admin_reply::Reply::invalid_record(&error))?;
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
        let reply = admin_reply::Reply::error(
            StatusCode::UNAUTHORIZED,
            "the operator token is missing or wrong",
        );
        future::ok(reply.into_response(state)).boxed()
    }
}

impl fmt::Debug for Admin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Admin({})", self.parts.name)
    }
}

impl fmt::Debug for Dependencies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Dependencies({})", self.name)
    }
}

async fn list(state: State) -> HandlerResult {
    let status = Admin::borrow_from(&state).status();
    Ok(admin_reply::Reply::ok(&status.records).into_response(state))
}

async fn status(state: State) -> HandlerResult {
    let status = Admin::borrow_from(&state).status();
    Ok(admin_reply::Reply::ok(&status).into_response(state))
}

async fn check(mut state: State) -> HandlerResult {
    let query = Uri::borrow_from(&state).query().unwrap_or_default();
    let name = query.strip_prefix("name=").unwrap_or_default().to_owned();
    let reply = match body(&mut state).await {
        Ok(document) => match record::parse(&name, &document) {
            Ok(_) => admin_reply::Reply::ok(&admin_reply::ValidRecord { name }),
            Err(error) => admin_reply::Reply::invalid_record(&error),
        },
        Err(reply) => reply,
    };
    Ok(reply.into_response(state))
}

async fn get(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    let reply = if record::is_valid_name(&call.name) {
        call.admin.read(&call.name).await
    } else {
        admin_reply::Reply::error(StatusCode::BAD_REQUEST, "not a record's name")
    };
    Ok(reply.into_response(state))
}

async fn put(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    let body = body(&mut state).await;
    let reply = call.put(body).await.unwrap_or_else(|reply| reply);
    Ok(reply.into_response(state))
}

async fn delete(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    let reply = call.delete().await.unwrap_or_else(|reply| reply);
    Ok(reply.into_response(state))
}

async fn drain_upstream(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    let reply = call.weigh(upstream_drain::drain).await;
    Ok(reply.unwrap_or_else(|reply| reply).into_response(state))
}

async fn undrain_upstream(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    let reply = call.weigh(upstream_drain::undrain).await;
    Ok(reply.unwrap_or_else(|reply| reply).into_response(state))
}

async fn upstream(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    let reply = match call.admin.record_of(&call.name) {
        Some(record) => admin_reply::Reply::ok(&admin_reply::UpstreamRecord {
            upstream: call.name,
            record,
        }),
        None => admin_reply::Reply::error(StatusCode::NOT_FOUND, "no record names this upstream"),
    };
    Ok(reply.into_response(state))
}

async fn ask(mut state: State) -> HandlerResult {
    let call = Call::take(&mut state);
    let id = &call.name;
    let reply = match change::record_name(id) {
        Some(name) => match change::query_outcome(&call.admin.parts.client, name, id).await {
            Ok(outcome) => admin_reply::Reply::change_result(id, outcome),
            Err(error) => {
                admin_reply::Reply::error(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
            }
        },
        None => admin_reply::Reply::error(StatusCode::BAD_REQUEST, "a change id is RECORD~ID"),
    };
    Ok(reply.into_response(state))
}

async fn body(state: &mut State) -> Result<Value, admin_reply::Reply> {
    let body = Limited::new(Body::take_from(state), MAX_BODY_LEN);
    let bytes: Bytes = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            return Err(admin_reply::Reply::error(
                StatusCode::PAYLOAD_TOO_LARGE,
                &error.to_string(),
            ));
        }
    };
    serde_json::from_slice(&bytes).map_err(|error| {
        let what = format!("the body is not JSON: {error}");
        admin_reply::Reply::error(StatusCode::BAD_REQUEST, &what)
    })
}
