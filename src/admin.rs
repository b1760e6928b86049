//! HTTP administration API of a balancer, served under `/v1`.
//!
//! Each request carries the operator token as a bearer token. A write request has
//! a change id in the header `cassiacross-change` (see [`change::record_name`]), so
//! that it can be retried through any balancer and takes effect at most once.
//!
//! | request | effect |
//! |---|---|
//! | `GET /records` | returns the status of each record in this process |
//! | `GET /records/NAME` | returns the stored record and its version |
//! | `PUT`, `DELETE /records/NAME` | writes or deletes a record; requires `If-Match: N`, `If-None-Match: *` or `?force=true` |
//! | `POST /check?name=NAME` | validates a record without writing it |
//! | `GET /changes/ID` | returns whether a change took effect |
//! | `GET /upstreams/NAME` | returns the record that an upstream belongs to |
//! | `POST /upstreams/NAME/drain`, `undrain` | sets the weight of an upstream to 0, or restores it |
//! | `GET /status` | returns the active versions in this process, its peers and agents |

mod call;

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

use crate::{admin_reply, backoff, change, platform, record, record_table, upstream_drain};

pub use self::call::CHANGE_HEADER;

/// Maximum length of a request body, in bytes.
const MAX_BODY_LEN: usize = 4 * record::MAX_LEN;

/// Another balancer, as seen by the reporting balancer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Peer {
    /// Name of the balancer.
    pub name: String,
    /// Failure domain of the balancer.
    pub domain: String,
    /// Digest of its record table that it last reported, if any.
    pub digest: Option<u64>,
}

/// An agent that sends its heartbeats to the reporting balancer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Agent {
    /// Name of the upstream.
    pub name: String,
    /// Service of the upstream, which is also the name of the service's record.
    pub service: String,
    /// Version of that record that is active in the agent, 0 for none.
    pub version: u64,
}

/// Configuration status of one balancer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Name of the balancer.
    pub name: String,
    /// Failure domain of the balancer.
    pub domain: String,
    /// Digest of its record table, see [`record_table::Table::digest`].
    pub digest: u64,
    /// Status of each record, sorted by name.
    pub records: Vec<record_table::RecordStatus>,
    /// Other live balancers.
    pub peers: Vec<Peer>,
    /// Agents that send their heartbeats to this balancer.
    #[serde(default)]
    pub agents: Vec<Agent>,
}

/// Looks up the service of an upstream by name.
pub type ServiceLookup = Box<dyn Fn(&str) -> Option<String> + Send + Sync>;

/// State and callbacks of the balancer that the administration API uses.
pub struct Dependencies {
    /// Name of the balancer.
    pub name: String,
    /// Failure domain of the balancer.
    pub domain: String,
    /// Operator token that each request must carry.
    pub token: String,
    /// Client of the platform store, which holds the records.
    pub client: platform::Client,
    /// Returns a snapshot of the record table.
    pub table: Box<dyn Fn() -> Arc<record_table::Table> + Send + Sync>,
    /// Applies a record that was read from the platform store.
    pub apply: Box<dyn Fn(&platform::Object) + Send + Sync>,
    /// Returns the other live balancers.
    pub peers: Box<dyn Fn() -> Vec<Peer> + Send + Sync>,
    /// Returns the agents that send their heartbeats to this balancer.
    pub agents: Box<dyn Fn() -> Vec<Agent> + Send + Sync>,
    /// Returns the service of an upstream that has announced itself.
    pub service_of: ServiceLookup,
}

/// Shared state of the administration API; clones refer to the same state.
#[derive(Clone)]
pub struct Admin {
    // gotham requires unwind-safe middleware, which boxed functions are not.
    dependencies: Arc<AssertUnwindSafe<Dependencies>>,
}

#[derive(Deserialize)]
struct NamePath {
    name: String,
}

/// Creates the router, to be mounted with `route.delegate("/v1").to_router(..)`.
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
            .to_async(get_change);
        route
            .get("/upstreams/:name")
            .with_path_extractor::<NamePath>()
            .to_async(get_upstream);
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
    /// Creates the shared state from the dependencies.
    #[must_use]
    pub fn new(dependencies: Dependencies) -> Self {
        Self {
            dependencies: Arc::new(AssertUnwindSafe(dependencies)),
        }
    }

    /// Returns the configuration status of this balancer.
    #[must_use]
    pub fn status(&self) -> Status {
        let table = (self.dependencies.table)();
        Status {
            name: self.dependencies.name.clone(),
            domain: self.dependencies.domain.clone(),
            digest: table.digest(),
            records: table.statuses().collect(),
            peers: (self.dependencies.peers)(),
            agents: (self.dependencies.agents)(),
        }
    }

    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let header = headers.get(header::AUTHORIZATION);
        let text = header.and_then(|value| value.to_str().ok());
        let token = text.and_then(|text| text.strip_prefix("Bearer "));
        token.is_some_and(|token| {
            blake3::hash(token.as_bytes()) == blake3::hash(self.dependencies.token.as_bytes())
        })
    }

    async fn read(&self, name: &str) -> admin_reply::Reply {
        match self
            .dependencies
            .client
            .get(change::RECORD_KIND, name)
            .await
        {
            Ok(Some(object)) => {
                let document = change::record(&object.value);
                admin_reply::Reply::stored_record(
                    name,
                    change::version(&object),
                    document,
                    admin_reply::Source::Platform,
                )
            }
            Ok(None) => admin_reply::Reply::error(StatusCode::NOT_FOUND, "record does not exist"),
            Err(_) => self.read_table(name),
        }
    }

    fn read_table(&self, name: &str) -> admin_reply::Reply {
        match (self.dependencies.table)().latest(name) {
            Some(latest) => admin_reply::Reply::stored_record(
                name,
                latest.version,
                &latest.document,
                admin_reply::Source::Memory,
            ),
            None => admin_reply::Reply::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "platform store is not available and this balancer has no copy of the record",
            ),
        }
    }

    async fn commit(
        &self,
        request: &change::Request<'_>,
        edit: impl Fn(Option<&Value>) -> Result<Value, admin_reply::Reply>,
    ) -> admin_reply::Reply {
        let backoff = backoff::Backoff::new(rand::random(), change::MAX_RETRIES);
        match change::commit(&self.dependencies.client, request, edit, backoff).await {
            Ok(outcome) => {
                self.apply_accepted(request.name, outcome).await;
                admin_reply::Reply::change_result(request.id, outcome)
            }
            Err(change::Error::Edit(reply)) => reply,
            Err(error @ change::Error::Unavailable(_)) => {
                admin_reply::Reply::error(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
            }
        }
    }

    async fn apply_accepted(&self, name: &str, outcome: change::Outcome) {
        if !matches!(outcome, change::Outcome::Accepted(_)) {
            return;
        }
        let object = self
            .dependencies
            .client
            .get(change::RECORD_KIND, name)
            .await;
        if let Ok(Some(object)) = object {
            let name = name.to_owned();
            (self.dependencies.apply)(&platform::Object { name, ..object });
        }
    }

    fn find_record(&self, upstream: &str) -> Option<String> {
        let table = (self.dependencies.table)();
        let announced = (self.dependencies.service_of)(upstream);
        announced.or_else(|| {
            let mut records = table.records();
            let found = records
                .find(|record| upstream_drain::contains_upstream(&record.document, upstream));
            found.map(|record| record.name.clone())
        })
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
        if self.is_authorized(HeaderMap::borrow_from(&state)) {
            state.put(self);
            return chain(state);
        }
        let reply = admin_reply::Reply::error(
            StatusCode::UNAUTHORIZED,
            "operator token is missing or invalid",
        );
        future::ok(reply.into_response(state)).boxed()
    }
}

impl fmt::Debug for Admin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Admin({})", self.dependencies.name)
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
    let reply = match read_json(&mut state).await {
        Ok(document) => match record::parse(&name, &document) {
            Ok(_) => admin_reply::Reply::ok(&admin_reply::ValidRecord { name }),
            Err(error) => admin_reply::Reply::invalid_record(&error),
        },
        Err(reply) => reply,
    };
    Ok(reply.into_response(state))
}

async fn get(mut state: State) -> HandlerResult {
    let call = call::Call::from_state(&mut state);
    let reply = if record::is_valid_name(&call.name) {
        call.admin.read(&call.name).await
    } else {
        admin_reply::Reply::error(StatusCode::BAD_REQUEST, "invalid record name")
    };
    Ok(reply.into_response(state))
}

async fn put(mut state: State) -> HandlerResult {
    let call = call::Call::from_state(&mut state);
    let body = read_json(&mut state).await;
    let reply = call.put(body).await.unwrap_or_else(|reply| reply);
    Ok(reply.into_response(state))
}

async fn delete(mut state: State) -> HandlerResult {
    let call = call::Call::from_state(&mut state);
    let reply = call.delete().await.unwrap_or_else(|reply| reply);
    Ok(reply.into_response(state))
}

async fn drain_upstream(mut state: State) -> HandlerResult {
    let call = call::Call::from_state(&mut state);
    let reply = call.change_weight(upstream_drain::drain).await;
    Ok(reply.unwrap_or_else(|reply| reply).into_response(state))
}

async fn undrain_upstream(mut state: State) -> HandlerResult {
    let call = call::Call::from_state(&mut state);
    let reply = call.change_weight(upstream_drain::undrain).await;
    Ok(reply.unwrap_or_else(|reply| reply).into_response(state))
}

async fn get_upstream(mut state: State) -> HandlerResult {
    let call = call::Call::from_state(&mut state);
    let reply = match call.admin.find_record(&call.name) {
        Some(record) => admin_reply::Reply::ok(&admin_reply::UpstreamRecord {
            upstream: call.name,
            record,
        }),
        None => {
            admin_reply::Reply::error(StatusCode::NOT_FOUND, "no record contains this upstream")
        }
    };
    Ok(reply.into_response(state))
}

async fn get_change(mut state: State) -> HandlerResult {
    let call = call::Call::from_state(&mut state);
    let id = &call.name;
    let reply = match change::record_name(id) {
        Some(name) => {
            match change::query_outcome(&call.admin.dependencies.client, name, id).await {
                Ok(outcome) => admin_reply::Reply::change_result(id, outcome),
                Err(error) => {
                    admin_reply::Reply::error(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
                }
            }
        }
        None => admin_reply::Reply::error(
            StatusCode::BAD_REQUEST,
            "invalid change id; it must be RECORD~ID",
        ),
    };
    Ok(reply.into_response(state))
}

async fn read_json(state: &mut State) -> Result<Value, admin_reply::Reply> {
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
        let message = format!("request body is not valid JSON: {error}");
        admin_reply::Reply::error(StatusCode::BAD_REQUEST, &message)
    })
}
