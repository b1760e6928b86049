//! Connections to the request port and the control port of an upstream.

use std::{
    pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiacross::mutex;
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    time,
};

use super::{Body, State, request, response};

/// Time from the end of the requests to the close of a connection by the `close_idle` fault; also
/// the interval of the checks for that end.
const CLOSE_DELAY: Duration = Duration::from_millis(2);

/// Port of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) enum Port {
    /// For requests.
    Requests,
    /// For the ledger and the faults.
    Control,
}

/// Serves the connections to a port until the upstream has drained.
pub(super) async fn accept(listener: TcpListener, state: Arc<State>, port: Port) {
    let mut drained = state.drained.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = drained.wait_for(|drained| *drained) => return,
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(serve_connection(stream, Arc::clone(&state), port));
        }
    }
}

async fn serve_connection(stream: TcpStream, state: Arc<State>, port: Port) {
    if matches!(port, Port::Control) {
        let handler = service::service_fn(|request| control(Arc::clone(&state), request));
        let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
        drop(serving.await);
        return;
    }
    let _guard = request::CountGuard::new(&state, |state| &state.connections);
    let mut drained = state.drained.subscribe();
    let request_seen = Notify::new();
    let handler = service::service_fn(|request| {
        if mutex::lock(&state.faults).close_idle {
            request_seen.notify_one();
        }
        request::serve(Arc::clone(&state), request)
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
    let mut serving = pin::pin!(serving);
    tokio::select! {
        _ = serving.as_mut() => return,
        _ = drained.wait_for(|drained| *drained) => {}
        () = wait_first_response(&request_seen, &state) => {}
    }
    serving.as_mut().graceful_shutdown();
    drop(serving.await);
}

/// Waits until a connection with the `close_idle` fault has sent its first response.
async fn wait_first_response(request_seen: &Notify, state: &State) {
    request_seen.notified().await;
    while state.requests.load(Ordering::SeqCst) > 0 {
        time::sleep(CLOSE_DELAY).await;
    }
    time::sleep(CLOSE_DELAY).await;
}

async fn control(
    state: Arc<State>,
    request: Request<Incoming>,
) -> Result<Response<Body>, hyper::Error> {
    let (parts, body) = request.into_parts();
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/ledger") => {
            let ledger = state.ledger.executions();
            Ok(response::json_response(StatusCode::OK, &ledger))
        }
        (&Method::GET, "/load") => Ok(response::json_response(
            StatusCode::OK,
            &state.load_report(),
        )),
        (&Method::POST, "/faults") => {
            let body = body.collect().await?.to_bytes();
            match serde_json::from_slice(&body) {
                Ok(faults) => {
                    *mutex::lock(&state.faults) = faults;
                    Ok(response::json_response(StatusCode::OK, &faults))
                }
                Err(error) => Ok(response::json_response(
                    StatusCode::BAD_REQUEST,
                    &error.to_string(),
                )),
            }
        }
        _ => Ok(response::text_response(
            StatusCode::NOT_FOUND,
            "not found\n",
        )),
    }
}
