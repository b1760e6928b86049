//! HTTP endpoints: readiness, state and metrics for operators and the network fabric, and
//! the upstream's announcements.

use cassiacross::{announce, clock, flow, member, mutex, record, upstream};
use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    hyper::{Response, StatusCode},
    middleware::state::StateMiddleware,
    mime,
    pipeline::{new_pipeline, single_pipeline},
    prelude::*,
    router::{Router, builder::build_router},
    state::State,
};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;

use crate::shared::Shared;

/// Builds the router for operators and the fabric's readiness checks.
pub(crate) fn router(shared: Shared) -> Router {
    let middleware = StateMiddleware::new(shared);
    let (chain, pipelines) = single_pipeline(new_pipeline().add(middleware).build());
    build_router(chain, pipelines, |route| {
        route.get("/ready").to(ready);
        route.get("/state").to(state);
        route.get("/metrics").to(metrics);
    })
}

/// Builds the router for the upstream, which is served on a loopback address.
pub(crate) fn local_router(shared: Shared) -> Router {
    let middleware = StateMiddleware::new(shared);
    let (chain, pipelines) = single_pipeline(new_pipeline().add(middleware).build());
    build_router(chain, pipelines, |route| {
        route.post("/announce").to_async(announce);
    })
}

fn ready(state: State) -> (State, Response<Body>) {
    let ready = Shared::borrow_from(&state).local_state().accepts;
    if ready {
        respond(state, (StatusCode::OK, mime::TEXT_PLAIN, "ready\n"))
    } else {
        respond(
            state,
            (
                StatusCode::SERVICE_UNAVAILABLE,
                mime::TEXT_PLAIN,
                "not ready\n",
            ),
        )
    }
}

fn metrics(state: State) -> (State, Response<Body>) {
    let mut text = String::new();
    let encoded = {
        let registry = mutex::lock(&Shared::borrow_from(&state).registry);
        prometheus_client::encoding::text::encode(&mut text, &registry)
    };
    match encoded {
        Ok(()) => respond(state, (StatusCode::OK, mime::TEXT_PLAIN_UTF_8, text)),
        Err(_) => respond(
            state,
            (StatusCode::INTERNAL_SERVER_ERROR, mime::TEXT_PLAIN, ""),
        ),
    }
}

/// The agent's state as `/state` returns it.
#[derive(Serialize)]
struct StateDump {
    now: clock::Millis,
    member: member::Member,
    /// Whether the agent accepts new flows.
    accepts: bool,
    /// Whether the upstream has a free slot for a new flow and its health check allows one; with
    /// `hunting` off in the settings, whether a relay exists.
    room: bool,
    /// The upstream's last announcement.
    upstream: Option<announce::Announcement>,
    counts: Option<upstream::Counts>,
    /// Version of the service's active record, 0 before the first.
    version: u64,
    service: Option<record::Service>,
    members: Vec<member::Member>,
    balancers: Vec<member::Balancer>,
    flows: flow::Table,
}

fn state(state: State) -> (State, Response<Body>) {
    let dump = dump(Shared::borrow_from(&state));
    match serde_json::to_string_pretty(&dump) {
        Ok(text) => respond(state, (StatusCode::OK, mime::APPLICATION_JSON, text)),
        Err(_) => respond(
            state,
            (StatusCode::INTERNAL_SERVER_ERROR, mime::TEXT_PLAIN, ""),
        ),
    }
}

fn dump(shared: &Shared) -> StateDump {
    let local = shared.local_state();
    let upstream = mutex::lock(&shared.upstream).announcement.clone();
    let views = mutex::lock(&shared.views).clone();
    StateDump {
        now: shared.now(),
        member: mutex::lock(&shared.member).clone(),
        accepts: local.accepts,
        room: local.room,
        upstream,
        counts: shared.relay().map(|relay| relay.counts()),
        version: views.version(),
        service: views.service().cloned(),
        members: views.members().to_vec(),
        balancers: views.balancers().to_vec(),
        flows: mutex::lock(&shared.flows).table.clone(),
    }
}

async fn announce(mut state: State) -> HandlerResult {
    let body = Limited::new(Body::take_from(&mut state), announce::MAX_LEN);
    let Ok(body) = body.collect().await else {
        let response = (
            StatusCode::PAYLOAD_TOO_LARGE,
            mime::TEXT_PLAIN,
            "announcement is too long\n",
        );
        return Ok(respond(state, response));
    };
    match announce::parse(&body.to_bytes()) {
        Ok(announcement) => {
            Shared::borrow_from(&state).apply_announcement(&announcement);
            Ok(respond(
                state,
                (StatusCode::NO_CONTENT, mime::TEXT_PLAIN, ""),
            ))
        }
        Err(error) => {
            let response = (
                StatusCode::BAD_REQUEST,
                mime::TEXT_PLAIN,
                format!("{error}\n"),
            );
            Ok(respond(state, response))
        }
    }
}

fn respond(state: State, response: impl IntoResponse) -> (State, Response<Body>) {
    let response = response.into_response(&state);
    (state, response)
}
