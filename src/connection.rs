//! HTTP/1.1 connections to an upstream, with one request at a time on each.
//!
//! A `WriteGate` counts every byte that is written to a connection. Once the
//! gate is closed nothing more is written, so the count it returns is final.
//! Only this count proves that no part of a request reached the upstream; the
//! kind of an error does not.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
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

use crate::{clock, mutex};

/// Time after which an idle connection is no longer reused.
const IDLE_TIMEOUT: clock::Millis = clock::Millis(5_000);

/// Maximum size of a response head, in bytes.
const MAX_RESPONSE_HEAD: usize = 64 * 1024;

/// Body of a request to an upstream.
pub type RequestBody = UnsyncBoxBody<Bytes, hyper::Error>;

/// Reason why a request to an upstream got no response.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection could not be established, or no byte of the request was written.
    #[error("no byte of the request was written to the upstream")]
    NotSent,
    /// The connection failed after bytes of the request were written.
    #[error("upstream connection failed after bytes of the request were written: {0}")]
    Failed(hyper::Error),
    /// No response head arrived before the deadline although bytes of the request were written.
    #[error("no response head arrived before the deadline")]
    TimedOut,
}

/// Shared counter of the bytes written to a connection, which can also block further writes.
#[derive(Clone, Debug, Default)]
struct WriteGate(Arc<Mutex<WriteGateState>>);

#[derive(Debug, Default)]
struct WriteGateState {
    written: u64,
    is_closed: bool,
}

impl WriteGate {
    fn state(&self) -> MutexGuard<'_, WriteGateState> {
        mutex::lock(&self.0)
    }

    fn written(&self) -> u64 {
        self.state().written
    }

    /// Blocks all further writes and returns the number of bytes written so far.
    fn close(&self) -> u64 {
        let mut state = self.state();
        state.is_closed = true;
        state.written
    }
}

/// TCP stream whose writes are counted and can be blocked by a gate.
#[derive(Debug)]
struct GatedStream {
    stream: TcpStream,
    gate: WriteGate,
}

impl GatedStream {
    fn write(
        &mut self,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let mut state = self.gate.state();
        if state.is_closed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let result = write(Pin::new(&mut self.stream));
        if let Poll::Ready(Ok(n)) = &result {
            state.written += *n as u64;
        }
        result
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
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

/// Connection to an upstream; dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: http1::SendRequest<RequestBody>,
    gate: WriteGate,
    task: AbortHandle,
    idle_since: clock::Millis,
}

impl Connection {
    /// Opens a connection; fails if it is not established by `deadline`.
    pub async fn open(addr: SocketAddr, deadline: time::Instant) -> Result<Self, Error> {
        let connecting = time::timeout_at(deadline, TcpStream::connect(addr));
        let stream = connecting.await.map_err(not_sent)?.map_err(not_sent)?;
        stream.set_nodelay(true).map_err(not_sent)?;
        let gate = WriteGate::default();
        let stream = GatedStream {
            stream,
            gate: gate.clone(),
        };
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(not_sent)?;
        let task = tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!(error:% = error; "upstream connection failed");
            }
        });
        Ok(Self {
            addr,
            sender,
            gate,
            task: task.abort_handle(),
            idle_since: clock::Millis(0),
        })
    }

    /// Sends a request and waits until `deadline` for the head of its response.
    ///
    /// After an error nothing more is written, and the connection has to be dropped.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
        deadline: time::Instant,
    ) -> Result<Response<Incoming>, Error> {
        let written_before = self.gate.written();
        let result = time::timeout_at(deadline, self.sender.send_request(request)).await;
        if let Ok(Ok(response)) = result {
            return Ok(response);
        }
        if self.gate.close() == written_before {
            return Err(Error::NotSent);
        }
        match result {
            Ok(Err(error)) => Err(Error::Failed(error)),
            _ => Err(Error::TimedOut),
        }
    }

    /// Waits until request and response are complete and the connection can be reused.
    ///
    /// Returns false if the connection was closed instead.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns whether the connection leads to `addr` and can be reused.
    fn is_usable(&self, addr: SocketAddr, now: clock::Millis) -> bool {
        self.addr == addr && self.sender.is_ready() && now.since(self.idle_since) < IDLE_TIMEOUT
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.gate.close();
        self.task.abort();
    }
}

/// Pool of idle connections to one upstream; the most recently used one is reused first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<Connection>,
}

impl Pool {
    /// Takes an idle connection to `addr`.
    ///
    /// Closes all idle connections that are too old or lead to another address.
    pub fn take(&mut self, addr: SocketAddr, now: clock::Millis) -> Option<Connection> {
        self.idle
            .retain(|connection| connection.is_usable(addr, now));
        self.idle.pop()
    }

    /// Adds a connection that is ready for reuse, or closes it if the pool already holds
    /// `limit` connections.
    pub fn put(&mut self, mut connection: Connection, limit: usize, now: clock::Millis) {
        connection.idle_since = now;
        if self.idle.len() < limit {
            self.idle.push(connection);
        }
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.idle.len()
    }

    /// Returns whether the pool is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

/// Converts an error that occurred before any byte was written.
fn not_sent<E>(_: E) -> Error {
    Error::NotSent
}
