//! HTTP control ports of stand-ins: JSON in, JSON out.

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

/// One call of a control port.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path without query.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub value: Value,
}

impl Call {
    /// The body as JSON, or the reply that says why it is not.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|error| Reply {
            status: StatusCode::BAD_REQUEST,
            value: json!({"error": error.to_string()}),
        })
    }
}

impl Reply {
    /// A 200 reply.
    ///
    /// # Panics
    ///
    /// If the value cannot be written as JSON.
    pub fn ok(value: impl Serialize) -> Self {
        Self {
            status: StatusCode::OK,
            value: serde_json::to_value(value).expect("plain values can be written"),
        }
    }

    /// A 404 reply.
    #[must_use]
    pub fn not_found() -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            value: json!({"error": "no such call"}),
        }
    }
}

/// Answers calls until the listener fails or the future is dropped.
pub async fn serve(
    listener: TcpListener,
    answer: impl Fn(&Call) -> Reply + Send + Sync + 'static,
) -> io::Result<()> {
    let answer = Arc::new(answer);
    let mut connections = JoinSet::new();
    loop {
        let (socket, _peer) = listener.accept().await?;
        connections.spawn(connection(socket, Arc::clone(&answer)));
        while connections.try_join_next().is_some() {}
    }
}

async fn connection(
    socket: TcpStream,
    answer: Arc<impl Fn(&Call) -> Reply + Send + Sync + 'static>,
) {
    let service = service_fn(move |request| respond(request, Arc::clone(&answer)));
    let served = http1::Builder::new()
        .serve_connection(TokioIo::new(socket), service)
        .await;
    if let Err(error) = served {
        log::debug!(error:%; "control connection ended early");
    }
}

async fn respond(
    request: Request<Incoming>,
    answer: Arc<impl Fn(&Call) -> Reply>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY).collect().await else {
        return Ok(response(&Reply {
            status: StatusCode::BAD_REQUEST,
            value: json!({"error": "body cannot be read"}),
        }));
    };
    let call = Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        body: body.to_bytes(),
    };
    Ok(response(&answer(&call)))
}

fn response(reply: &Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(reply.value.to_string())));
    *response.status_mut() = reply.status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
