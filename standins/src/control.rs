//! HTTP server of the stand-ins' control ports, with JSON requests and responses.

use std::{convert::Infallible, io, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

const MAX_BODY: usize = 4 * 1_024 * 1_024;

/// A request to a control port.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path without query string.
    pub path: String,
    /// Request body.
    pub body: Bytes,
}

/// The response to a [`Call`].
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Response body.
    pub value: Value,
}

impl Call {
    /// Parses the body as JSON; returns a 400 reply with the parse error on failure.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|error| Reply {
            status: StatusCode::BAD_REQUEST,
            value: json!({"error": error.to_string()}),
        })
    }
}

impl Reply {
    /// Creates a 200 reply.
    ///
    /// # Panics
    ///
    /// Panics if `value` cannot be serialized as JSON.
    pub fn ok(value: impl Serialize) -> Self {
        Self {
            status: StatusCode::OK,
            value: serde_json::to_value(value).expect("control port values serialize to JSON"),
        }
    }

    /// Creates a 404 reply.
    #[must_use]
    pub fn not_found() -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            value: json!({"error": "unknown method or path"}),
        }
    }
}

/// Serves requests until the listener fails or the future is dropped.
pub async fn serve(
    listener: TcpListener,
    handler: impl Fn(&Call) -> Reply + Send + Sync + 'static,
) -> io::Result<()> {
    let handler = Arc::new(handler);
    let mut connections = JoinSet::new();
    loop {
        let (socket, _peer) = listener.accept().await?;
        connections.spawn(connection(socket, Arc::clone(&handler)));
        while connections.try_join_next().is_some() {}
    }
}

async fn connection(
    socket: TcpStream,
    handler: Arc<impl Fn(&Call) -> Reply + Send + Sync + 'static>,
) {
    let service = service_fn(move |request| respond(request, Arc::clone(&handler)));
    let served = http1::Builder::new()
        .serve_connection(TokioIo::new(socket), service)
        .await;
    if let Err(error) = served {
        log::debug!(error:%; "control connection closed with an error");
    }
}

async fn respond(
    request: Request<Incoming>,
    handler: Arc<impl Fn(&Call) -> Reply>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY).collect().await else {
        return Ok(response(&Reply {
            status: StatusCode::BAD_REQUEST,
            value: json!({"error": "request body cannot be read or exceeds 4 MiB"}),
        }));
    };
    let call = Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        body: body.to_bytes(),
    };
    Ok(response(&handler(&call)))
}

fn response(reply: &Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(reply.value.to_string())));
    *response.status_mut() = reply.status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
