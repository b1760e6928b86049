//! Connections to an upstream, with one request at a time on each.
//!
//! Every byte that is written passes a [`Gate`]. Once the gate is shut nothing
//! more is written, so the count it returns is final: only this count, not
//! an error's kind, tells that a request reached no upstream.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::AbortHandle,
    time,
};

use crate::clock;

/// How long an idle connection is kept.
const MAX_IDLE: clock::Millis = clock::Millis(5_000);

/// The largest head of an answer, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// Body of a request to an upstream.
pub type RequestBody = UnsyncBoxBody<Bytes, hyper::Error>;

/// Why an exchange with an upstream failed.
#[derive(Debug, Error)]
pub enum Error {
    /// No connection was made, or none of the request was written.
    #[error("no byte was written to the upstream")]
    NotSent,
    /// The upstream failed after bytes of the request were written.
    #[error("the upstream failed: {0}")]
    Failed(hyper::Error),
    /// No answer began in time after bytes of the request were written.
    #[error("no answer began before the deadline")]
    TimedOut,
}

/// Counts what is written, and stops it.
#[derive(Clone, Debug, Default)]
struct Gate(Arc<Mutex<GateState>>);

#[derive(Debug, Default)]
struct GateState {
    written: u64,
    is_shut: bool,
}

impl Gate {
    fn state(&self) -> MutexGuard<'_, GateState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn written(&self) -> u64 {
        self.state().written
    }

    /// Stops all writes and returns how many bytes were written before.
    fn shut(&self) -> u64 {
        let mut state = self.state();
        state.is_shut = true;
        state.written
    }
}

/// A stream whose writes pass a gate.
#[derive(Debug)]
struct Gated {
    stream: TcpStream,
    gate: Gate,
}

impl Gated {
    fn write(
        &mut self,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let mut state = self.gate.state();
        if state.is_shut {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let result = write(Pin::new(&mut self.stream));
        if let Poll::Ready(Ok(n)) = &result {
            state.written += *n as u64;
        }
        result
    }
}

impl AsyncRead for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Gated {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(|stream| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(|stream| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection to an upstream; it closes when it is dropped.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: http1::SendRequest<RequestBody>,
    gate: Gate,
    task: AbortHandle,
    idle_at: clock::Millis,
}

impl Connection {
    /// Opens a connection until `end` at the latest.
    pub async fn open(addr: SocketAddr, end: time::Instant) -> Result<Self, Error> {
        let connecting = time::timeout_at(end, TcpStream::connect(addr));
        let stream = connecting.await.map_err(not_sent)?.map_err(not_sent)?;
        stream.set_nodelay(true).map_err(not_sent)?;
        let gate = Gate::default();
        let gated = Gated {
            stream,
            gate: gate.clone(),
        };
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD)
            .handshake(TokioIo::new(gated))
            .await
            .map_err(not_sent)?;
        let task = tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!(error:% = error; "upstream connection ended");
            }
        });
        Ok(Self {
            addr,
            sender,
            gate,
            task: task.abort_handle(),
            idle_at: clock::Millis(0),
        })
    }

    /// Sends a request and waits for the head of its answer until `end`.
    ///
    /// After an error nothing more is written, and the connection is to be dropped.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
        end: time::Instant,
    ) -> Result<Response<Incoming>, Error> {
        let before = self.gate.written();
        let result = time::timeout_at(end, self.sender.send_request(request)).await;
        if let Ok(Ok(response)) = result {
            return Ok(response);
        }
        if self.gate.shut() == before {
            return Err(Error::NotSent);
        }
        match result {
            Ok(Err(error)) => Err(Error::Failed(error)),
            _ => Err(Error::TimedOut),
        }
    }

    /// Waits until the exchange has ended on both sides; false where the connection ended.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    fn is_usable(&self, addr: SocketAddr, now: clock::Millis) -> bool {
        self.addr == addr && self.sender.is_ready() && now.since(self.idle_at) < MAX_IDLE
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.gate.shut();
        self.task.abort();
    }
}

/// Idle connections to one upstream, the one used last goes first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<Connection>,
}

impl Pool {
    /// Takes an idle connection to `addr`, and closes those that are too old.
    pub fn take(&mut self, addr: SocketAddr, now: clock::Millis) -> Option<Connection> {
        self.idle
            .retain(|connection| connection.is_usable(addr, now));
        self.idle.pop()
    }

    /// Keeps a connection whose exchange has ended, at most `limit` of them.
    pub fn put(&mut self, mut connection: Connection, limit: usize, now: clock::Millis) {
        connection.idle_at = now;
        if self.idle.len() < limit {
            self.idle.push(connection);
        }
    }

    /// Connections at rest.
    #[must_use]
    pub fn len(&self) -> usize {
        self.idle.len()
    }

    /// Whether no connection is at rest.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

fn not_sent<E>(_: E) -> Error {
    Error::NotSent
}
