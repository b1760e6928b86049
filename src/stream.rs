//! Asynchronous streams over endpoints.
//!
//! A flow has a [`Stream`], which its owner reads and writes, and a [`Handle`],
//! which takes the peer's packets and whose [`Handle::run`] drives the timers.
//! Each flow is driven by itself; nothing loops over all flows.

use std::{
    fmt, future, io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
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
    packet,
};

const MIN_SLEEP: clock::Millis = clock::Millis(1);
const MAX_SLEEP: clock::Millis = clock::Millis(60_000);

/// The side of a flow that takes packets and drives timers; cheap to clone.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

/// The bytes of a flow.
///
/// Shutdown sends a FIN. A stream that is dropped without it resets its flow;
/// one that was shut down gives the peer time to close too. The end of the
/// peer's bytes reads as 0 bytes, a reset or a timeout as an error.
pub struct Stream {
    shared: Arc<Shared>,
}

type Sender = dyn Fn(&[u8]) + Send + Sync;

struct Shared {
    state: Mutex<State>,
    changed: Notify,
    clock: clock::Clock,
    send: Box<Sender>,
}

struct State {
    endpoint: Endpoint,
    /// When the driver wakes by itself.
    alarm: clock::Millis,
}

/// Makes a stream of an endpoint whose packets leave through `send`.
///
/// The endpoint's time has to be that of `clock`.
/// `send` is called with the flow locked: it must neither block nor use the flow.
/// The flow makes no progress unless [`Handle::run`] runs beside it.
#[must_use]
pub fn new(
    endpoint: Endpoint,
    clock: clock::Clock,
    send: impl Fn(&[u8]) + Send + Sync + 'static,
) -> (Handle, Stream) {
    let state = State {
        endpoint,
        alarm: clock::Millis::default(),
    };
    let shared = Arc::new(Shared {
        state: Mutex::new(state),
        changed: Notify::new(),
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
            .act(|endpoint, now, send| endpoint.deliver(packet, now, send))
    }

    /// Resets the flow.
    pub fn abort(&self) {
        self.shared.act(Endpoint::abort);
    }

    /// Ends the flow at this end without a packet.
    pub fn discard(&self) {
        self.shared.act(|endpoint, _now, _send| endpoint.discard());
    }

    /// The two ends of the flow.
    #[must_use]
    pub fn flow(&self) -> packet::Flow {
        self.inspect(Endpoint::flow)
    }

    /// What `f` reads from the endpoint.
    pub fn inspect<T>(&self, f: impl FnOnce(&Endpoint) -> T) -> T {
        f(&self.shared.lock().endpoint)
    }

    /// Does what is due, each time it is due, until the flow is finished.
    pub async fn run(&self) {
        while let Some(due) = self.shared.tick() {
            let instant = time::Instant::from_std(self.shared.clock.instant(due));
            let changed = self.shared.changed.notified();
            drop(time::timeout_at(instant, changed).await);
        }
    }
}

impl Stream {
    /// Waits for the end of the handshake.
    pub async fn established(&mut self) -> io::Result<()> {
        future::poll_fn(|context| self.shared.poll_opened(context)).await
    }

    /// A handle of the same flow.
    #[must_use]
    pub fn handle(&self) -> Handle {
        Handle {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `f` to the endpoint and sends what follows from it.
    fn act<T>(
        &self,
        f: impl FnOnce(&mut Endpoint, clock::Millis, &mut dyn FnMut(&[u8])) -> T,
    ) -> T {
        let mut state = self.lock();
        let now = self.clock.now();
        let mut send = |packet: &[u8]| (self.send)(packet);
        let result = f(&mut state.endpoint, now, &mut send);
        state.endpoint.poll(now, &mut send);
        let due = due(&mut state.endpoint, now);
        if due.is_none_or(|due| due < state.alarm) {
            self.changed.notify_one();
        }
        result
    }

    /// Does what is due and says when the driver has to wake next.
    fn tick(&self) -> Option<clock::Millis> {
        let mut state = self.lock();
        let now = self.clock.now();
        let mut send = |packet: &[u8]| (self.send)(packet);
        state.endpoint.poll(now, &mut send);
        let due = due(&mut state.endpoint, now)?;
        state.alarm = due;
        Some(due)
    }

    fn poll_opened(&self, context: &Context<'_>) -> Poll<io::Result<()>> {
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
        self.act(
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
        self.act(|endpoint, _now, _send| match endpoint.write(bytes) {
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
        self.shared.act(|endpoint, _now, _send| endpoint.close());
        Poll::Ready(Ok(()))
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.shared.act(Endpoint::release);
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

fn due(endpoint: &mut Endpoint, now: clock::Millis) -> Option<clock::Millis> {
    if endpoint.is_finished() {
        return None;
    }
    let latest = now + MAX_SLEEP;
    let due = endpoint.poll_at(now).unwrap_or(latest);
    Some(due.clamp(now + MIN_SLEEP, latest))
}
