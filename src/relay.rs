//! Proxy between callers' flows and one upstream.
//!
//! For an `http` service, each request is classified, admitted and sent on an
//! upstream connection that carries no other request at the time. For a `tcp`
//! service, the byte stream is relayed, and each flow holds one upstream connection
//! until it ends, as a feed does.
//!
//! If a caller disconnects, the future of its request is dropped. This releases
//! the slot and closes the upstream connection, which cancels the request at the
//! upstream.

use std::{convert::Infallible, pin, sync::Arc};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::{
    io::{self, AsyncRead, AsyncWrite},
    net::TcpStream,
    time,
};

use crate::{attempt, clock, outcome, queue, record, request, upstream};

/// Maximum size of a request head, in bytes.
const MAX_REQUEST_HEAD: usize = 64 * 1024;

/// Time limit for a flow to send its next request head, including the idle time before it.
const HEAD_TIMEOUT: clock::Millis = clock::Millis(300_000);

/// Time for which an idle flow stays open after draining has started.
const DRAIN_GRACE: clock::Millis = clock::Millis(5_000);

/// Error that ended a flow before its caller or upstream closed it normally.
///
/// The flow has to be reset: after a normal close the caller would take a truncated byte
/// stream for a complete one.
#[derive(Debug, Error)]
pub enum Error {
    /// The HTTP connection to the caller failed.
    #[error("HTTP connection to the caller failed: {0}")]
    Http(#[from] hyper::Error),
    /// The connection to the upstream could not be opened, or the byte stream failed.
    #[error("byte stream between caller and upstream failed: {0}")]
    Stream(#[from] io::Error),
    /// All upstream connections that feeds and flows of a `tcp` service may use are in use.
    #[error("flow was refused because no upstream connection is available for it")]
    Refused(queue::Refusal),
}

/// Serves one flow of a caller until it ends.
///
/// On an error the flow has to be reset; pass `&mut stream` to keep access to it.
pub async fn serve<S>(stream: S, upstream: Arc<upstream::Upstream>) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let _open = upstream.count_flow();
    match upstream.service().protocol {
        record::Protocol::Http => serve_http(stream, upstream).await,
        record::Protocol::Tcp => serve_tcp(stream, &upstream).await,
    }
}

async fn serve_http<S>(stream: S, upstream: Arc<upstream::Upstream>) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut draining = upstream.subscribe_draining();
    let handler = service::service_fn(|request| handle_request(Arc::clone(&upstream), request));
    let flow = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT.to_duration())
        .max_buf_size(MAX_REQUEST_HEAD)
        .serve_connection(TokioIo::new(stream), handler);
    let mut flow = pin::pin!(flow);
    tokio::select! {
        result = flow.as_mut() => return Ok(result?),
        _ = draining.wait_for(|draining| *draining) => {}
    }
    let flow_end = time::timeout(DRAIN_GRACE.to_duration(), flow.as_mut());
    if let Ok(result) = flow_end.await {
        return Ok(result?);
    }
    flow.as_mut().graceful_shutdown();
    Ok(flow.await?)
}

/// Executes a request; while the relay drains, the response also closes the flow.
async fn handle_request(
    upstream: Arc<upstream::Upstream>,
    request: Request<Incoming>,
) -> Result<Response<outcome::Body>, Infallible> {
    let mut response = attempt::run(&upstream, request).await;
    if upstream.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

async fn serve_tcp<S>(mut stream: S, upstream: &upstream::Upstream) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let _feed = upstream.admission.open_feed().map_err(Error::Refused)?;
    let timeout = request::cap_deadline(upstream.service().deadline);
    let connecting = TcpStream::connect(upstream.address());
    let connected = time::timeout(timeout.to_duration(), connecting).await;
    let mut connection = connected.map_err(io::Error::from)??;
    connection.set_nodelay(true)?;
    io::copy_bidirectional(&mut stream, &mut connection).await?;
    Ok(())
}
