//! HTTP endpoints: readiness, state, metrics, the administration API, and the views, tables and
//! records that agents and other balancers pull.

use std::{net::SocketAddrV4, panic::RefUnwindSafe};

use cassiacross::{admin, balancer, exchange, ident, member, membership};
use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    hyper::{HeaderMap, Response, StatusCode, header},
    middleware::state::StateMiddleware,
    mime,
    pipeline::{new_pipeline, single_pipeline},
    prelude::*,
    router::{Router, builder::build_router},
    state::{State, StateData},
};
use http_body_util::{BodyExt, Limited};
use serde::{Serialize, de::DeserializeOwned};

use crate::{configuration, shared};

/// Longest request body of a call from another process of the fleet, in bytes.
const MAX_REQUEST_LEN: usize = 64 << 10;
const BEARER_PREFIX: &str = "Bearer ";

impl StateData for shared::Shared {}

/// Locks poisoned by a panicked thread are recovered by [`shared::Shared`].
impl RefUnwindSafe for shared::Shared {}

/// Builds the daemon's router.
pub(crate) fn router(shared: shared::Shared, admin: admin::Admin) -> Router {
    let middleware = StateMiddleware::new(shared);
    let (chain, pipelines) = single_pipeline(new_pipeline().add(middleware).build());
    build_router(chain, pipelines, |route| {
        route.delegate("/v1").to_router(admin::router(admin));
        route.get("/ready").to(ready);
        route.get("/state").to(state);
        route.get("/metrics").to(metrics);
        route.post("/fleet/view").to_async(view);
        route.post("/fleet/sync").to_async(sync);
        route.post("/fleet/records").to_async(records);
    })
}

fn ready(state: State) -> (State, Response<Body>) {
    match configuration::unready_reason(shared::Shared::borrow_from(&state)) {
        None => respond(state, (StatusCode::OK, mime::TEXT_PLAIN, "ready\n")),
        Some(reason) => {
            let text = format!("waits for {reason}\n");
            respond(
                state,
                (StatusCode::SERVICE_UNAVAILABLE, mime::TEXT_PLAIN, text),
            )
        }
    }
}

fn metrics(state: State) -> (State, Response<Body>) {
    let text = shared::Shared::borrow_from(&state).metrics().encode();
    match text {
        Ok(text) => respond(state, (StatusCode::OK, mime::TEXT_PLAIN_UTF_8, text)),
        Err(_) => respond_error(state, StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// The balancer's state as `/state` returns it.
#[derive(Serialize)]
struct StateDump<'a> {
    now: cassiacross::clock::Millis,
    ready: bool,
    settings: PublicSettings<'a>,
    balancer: &'a member::Balancer,
    /// Whether peers may use this balancer's liveness report; false shortly after a start or a
    /// pause, while the balancer is isolated, and if too many agents are missing.
    vouching: bool,
    /// Number of updates that gossip still has to send.
    rumours: usize,
    members: &'a [membership::MemberRow],
    balancers: &'a [membership::BalancerRow],
    tombstones: Vec<membership::Tombstone>,
    services: &'a [exchange::VersionedService],
    /// The highest version seen of each record; a rejected version counts, though it is not active.
    records: &'a [exchange::RecordVersion],
    routes: Vec<RouteDump>,
}

/// The settings without secrets.
#[derive(Serialize)]
struct PublicSettings<'a> {
    name: &'a str,
    domain: &'a str,
    seeds: &'a [SocketAddrV4],
    platform: &'a str,
    period: cassiacross::clock::Millis,
}

#[derive(Serialize)]
struct RouteDump {
    address: SocketAddrV4,
    service: ident::ServiceId,
    candidates: Vec<CandidateDump>,
}

#[derive(Serialize)]
struct CandidateDump {
    node: ident::NodeId,
    weight: f64,
}

fn state(state: State) -> (State, Response<Body>) {
    let shared = shared::Shared::borrow_from(&state);
    let text = serde_json::to_string_pretty(&dump(shared, &shared.balancer()));
    match text {
        Ok(text) => respond(state, (StatusCode::OK, mime::APPLICATION_JSON, text)),
        Err(_) => respond_error(state, StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn dump<'a>(shared: &'a shared::Shared, balancer: &'a balancer::Balancer) -> StateDump<'a> {
    let tables = balancer.tables();
    let settings = shared.settings();
    StateDump {
        now: shared.now(),
        ready: shared.is_ready(),
        settings: PublicSettings {
            name: &settings.common.name,
            domain: &settings.common.domain,
            seeds: &settings.common.seeds,
            platform: &settings.platform,
            period: settings.common.period,
        },
        balancer: tables.own(),
        vouching: tables.report().vouching,
        rumours: balancer.pending_rumours(),
        members: tables.members(),
        balancers: tables.balancers(),
        tombstones: tables.tombstones().collect(),
        services: balancer.services(),
        records: balancer.records(),
        routes: route_dumps(balancer),
    }
}

fn route_dumps(balancer: &balancer::Balancer) -> Vec<RouteDump> {
    let routes = balancer.routes().as_slice().iter();
    routes
        .map(|route| RouteDump {
            address: route.address,
            service: route.service,
            candidates: route
                .table
                .candidates()
                .iter()
                .map(|candidate| CandidateDump {
                    node: candidate.hop.node,
                    weight: candidate.weight,
                })
                .collect(),
        })
        .collect()
}

async fn view(state: State) -> HandlerResult {
    fleet_call(state, |shared, request: exchange::ViewRequest| {
        shared.balancer().view(&request, shared.now())
    })
    .await
}

async fn sync(state: State) -> HandlerResult {
    fleet_call(state, |shared, request: exchange::SyncRequest| {
        shared.balancer().answer_sync(&request, shared.now())
    })
    .await
}

async fn records(state: State) -> HandlerResult {
    fleet_call(state, |shared, names: Vec<String>| {
        configuration::select_records(shared, &names)
    })
    .await
}

/// Handles a call from another process of the fleet; request and response are `MessagePack`.
///
/// Answers 401 without the fleet's bearer token, 413 for a body longer than [`MAX_REQUEST_LEN`]
/// and 400 for one that cannot be decoded.
async fn fleet_call<Q: DeserializeOwned, A: Serialize>(
    mut state: State,
    handler: impl FnOnce(&shared::Shared, Q) -> A,
) -> HandlerResult {
    let shared = shared::Shared::borrow_from(&state).clone();
    if !is_authorized(
        HeaderMap::borrow_from(&state),
        &shared.sealer().bearer_token(),
    ) {
        return Ok(respond_error(state, StatusCode::UNAUTHORIZED));
    }
    let body = Limited::new(Body::take_from(&mut state), MAX_REQUEST_LEN);
    let Ok(body) = body.collect().await else {
        return Ok(respond_error(state, StatusCode::PAYLOAD_TOO_LARGE));
    };
    let Ok(request) = rmp_serde::from_slice(&body.to_bytes()) else {
        return Ok(respond_error(state, StatusCode::BAD_REQUEST));
    };
    let body = exchange::encode(&handler(&shared, request));
    let response = (StatusCode::OK, mime::APPLICATION_MSGPACK, body);
    Ok(respond(state, response))
}

/// Returns whether the request carries the fleet's bearer token.
fn is_authorized(headers: &HeaderMap, token: &str) -> bool {
    headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(BEARER_PREFIX))
        .is_some_and(|value| value == token)
}

fn respond_error(state: State, status: StatusCode) -> (State, Response<Body>) {
    let text = status.canonical_reason().unwrap_or_default();
    respond(state, (status, mime::TEXT_PLAIN, text))
}

fn respond(state: State, response: impl IntoResponse) -> (State, Response<Body>) {
    let response = response.into_response(&state);
    (state, response)
}
