//! Asynchronous byte streams over user-space TCP endpoints.
//!
//! Each flow has a [`Stream`] for reading and writing, and a [`Handle`] that
//! receives the peer's packets and runs the timers in [`Handle::run`]. Each flow
//! has its own driver task, so that no operation iterates over all flows.

use std::{
    fmt, future, io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
    time,
};

use crate::{
    clock,
    endpoint::{self, Endpoint},
    mutex, packet,
};

/// Minimum time between two wake-ups of the driver by a timer.
const MIN_SLEEP: clock::Millis = clock::Millis(1);
/// Maximum time between two wake-ups of the driver.
const MAX_SLEEP: clock::Millis = clock::Millis(60_000);

/// Packet side of a flow, which receives packets and runs timers; cheap to clone.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

/// Byte stream of a flow.
///
/// Shutdown sends a FIN. Dropping the stream without shutdown resets the flow;
/// after a shutdown the peer has time to close its direction too. Reads return 0
/// bytes after the FIN of the peer, and an error after a reset or timeout.
pub struct Stream {
    shared: Arc<Shared>,
}

type Sender = dyn Fn(&[u8]) + Send + Sync;

struct Shared {
    state: Mutex<State>,
    rescheduled: Notify,
    clock: clock::Clock,
    send: Box<Sender>,
}

struct State {
    endpoint: Endpoint,
    /// Time at which the driver wakes unless it is notified earlier.
    wake_at: clock::Millis,
}

/// Creates the handle and the stream of an endpoint that sends its packets with `send`.
///
/// The time that was passed to the constructor of the endpoint must come from `clock`.
/// `send` is called while the flow is locked: it must neither block nor use the flow.
/// A task has to run [`Handle::run`], otherwise the flow makes no progress.
#[must_use]
pub fn new(
    endpoint: Endpoint,
    clock: clock::Clock,
    send: impl Fn(&[u8]) + Send + Sync + 'static,
) -> (Handle, Stream) {
    let state = State {
        endpoint,
        wake_at: clock::Millis::default(),
    };
    let shared = Arc::new(Shared {
        state: Mutex::new(state),
        rescheduled: Notify::new(),
        clock,
        send: Box::new(send),
    });
    let handle = Handle {
        shared: Arc::clone(&shared),
    };
    (handle, Stream { shared })
}

impl Handle {
    /// Processes one packet from the peer.
    #[must_use]
    pub fn deliver(&self, packet: &[u8]) -> endpoint::Delivery {
        self.shared
            .with_endpoint(|endpoint, now, send| endpoint.deliver(packet, now, send))
    }

    /// Resets the flow.
    pub fn abort(&self) {
        self.shared.with_endpoint(Endpoint::abort);
    }

    /// Aborts the flow at this end without sending a packet.
    pub fn discard(&self) {
        self.shared
            .with_endpoint(|endpoint, _now, _send| endpoint.discard());
    }

    /// Returns the addresses of both ends of the flow.
    #[must_use]
    pub fn flow(&self) -> packet::Flow {
        self.inspect(Endpoint::flow)
    }

    /// Calls `f` with the locked endpoint and returns its result.
    pub fn inspect<T>(&self, f: impl FnOnce(&Endpoint) -> T) -> T {
        f(&self.shared.lock().endpoint)
    }

    /// Runs the timers of the flow until it has ended.
    pub async fn run(&self) {
        while let Some(due) = self.shared.run_timers() {
            let instant = time::Instant::from_std(self.shared.clock.instant(due));
            let changed = self.shared.rescheduled.notified();
            drop(time::timeout_at(instant, changed).await);
        }
    }
}

impl Stream {
    /// Waits until the handshake is complete; fails if the flow ends before that.
    pub async fn established(&mut self) -> io::Result<()> {
        future::poll_fn(|context| self.shared.poll_established(context)).await
    }

    /// Returns a handle of the same flow.
    #[must_use]
    pub fn handle(&self) -> Handle {
        Handle {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        mutex::lock(&self.state)
    }

    /// Applies `f` to the endpoint, sends the resulting packets, and wakes the driver if it
    /// has to run earlier than planned.
    fn with_endpoint<T>(
        &self,
        f: impl FnOnce(&mut Endpoint, clock::Millis, &mut dyn FnMut(&[u8])) -> T,
    ) -> T {
        let mut state = self.lock();
        let now = self.clock.now();
        let mut send = |packet: &[u8]| (self.send)(packet);
        let result = f(&mut state.endpoint, now, &mut send);
        state.endpoint.poll(now, &mut send);
        let due = next_poll(&mut state.endpoint, now);
        if due.is_none_or(|due| due < state.wake_at) {
            self.rescheduled.notify_one();
        }
        result
    }

    /// Runs expired timers and returns when the driver has to run next; `None` if the flow
    /// has ended.
    fn run_timers(&self) -> Option<clock::Millis> {
        let mut state = self.lock();
        let now = self.clock.now();
        let mut send = |packet: &[u8]| (self.send)(packet);
        state.endpoint.poll(now, &mut send);
        let due = next_poll(&mut state.endpoint, now)?;
        state.wake_at = due;
        Some(due)
    }

    fn poll_established(&self, context: &Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.lock();
        if let Some(error) = state.endpoint.error() {
            return Poll::Ready(Err(error.into()));
        }
        if state.endpoint.is_half_open() {
            state.endpoint.register_writer(context.waker());
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_read(&self, context: &Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.with_endpoint(
            |endpoint, _now, _send| match endpoint.read(buf.initialize_unfilled()) {
                Poll::Pending => {
                    endpoint.register_reader(context.waker());
                    Poll::Pending
                }
                Poll::Ready(Err(error)) => Poll::Ready(Err(error.into())),
                Poll::Ready(Ok(len)) => {
                    buf.advance(len);
                    Poll::Ready(Ok(()))
                }
            },
        )
    }

    fn poll_write(&self, context: &Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.with_endpoint(|endpoint, _now, _send| match endpoint.write(bytes) {
            Poll::Pending => {
                endpoint.register_writer(context.waker());
                Poll::Pending
            }
            Poll::Ready(result) => Poll::Ready(result.map_err(io::Error::from)),
        })
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.shared.poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.shared.poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.shared
            .with_endpoint(|endpoint, _now, _send| endpoint.close());
        Poll::Ready(Ok(()))
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.shared.with_endpoint(Endpoint::release);
    }
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Handle")
            .field(&self.shared.lock().endpoint)
            .finish()
    }
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Stream")
            .field(&self.shared.lock().endpoint)
            .finish()
    }
}

impl From<endpoint::Error> for io::Error {
    fn from(error: endpoint::Error) -> Self {
        let kind = match error {
            endpoint::Error::Reset => io::ErrorKind::ConnectionReset,
            endpoint::Error::Timeout => io::ErrorKind::TimedOut,
            endpoint::Error::Aborted => io::ErrorKind::ConnectionAborted,
            endpoint::Error::Closed => io::ErrorKind::BrokenPipe,
        };
        Self::new(kind, error)
    }
}

/// Returns when the endpoint has to be polled next; `None` if the flow has ended.
fn next_poll(endpoint: &mut Endpoint, now: clock::Millis) -> Option<clock::Millis> {
    if endpoint.is_finished() {
        return None;
    }
    let latest = now + MAX_SLEEP;
    let due = endpoint.poll_at(now).unwrap_or(latest);
    Some(due.clamp(now + MIN_SLEEP, latest))
}
