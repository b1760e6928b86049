//! The packet thread: forwards packets from the network fabric to agents.

use std::{
    io::ErrorKind,
    net::{SocketAddr, SocketAddrV4, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cassiacross::forward;

use crate::shared;

/// Size of the receive buffer in bytes; no UDP datagram is longer.
const BUFFER_LEN: usize = 65_536;
/// Time between two checks of the stop flag.
const STOP_POLL: Duration = Duration::from_millis(100);

/// Forwards packets until `stop` is set.
pub(crate) fn run(socket: &UdpSocket, shared: &shared::Shared, stop: &AtomicBool) {
    if let Err(error) = socket.set_read_timeout(Some(STOP_POLL)) {
        log::error!(error:% = error; "cannot set the read timeout of the packet socket; no packets are forwarded");
        return;
    }
    let mut forwarder = Forwarder::new(shared);
    let mut buffer = vec![0; BUFFER_LEN];
    while !stop.load(Ordering::Relaxed) {
        match socket.recv_from(&mut buffer) {
            Ok((len, SocketAddr::V4(fabric))) => forwarder.forward(socket, fabric, &buffer[..len]),
            Ok((_, SocketAddr::V6(_))) => {}
            Err(error) if is_transient(error.kind()) => {}
            Err(error) => {
                log::warn!(error:% = error; "cannot receive on the packet socket");
                std::thread::sleep(STOP_POLL);
            }
        }
    }
}

/// The packet thread's copy of the routes, and its buffers.
struct Forwarder<'a> {
    shared: &'a shared::Shared,
    flow_seed: u64,
    generation: u64,
    routes: Arc<forward::Routes>,
    scratch: forward::Scratch,
}

impl<'a> Forwarder<'a> {
    fn new(shared: &'a shared::Shared) -> Self {
        Self {
            shared,
            flow_seed: shared.sealer().flow_seed(),
            generation: shared.routes_generation(),
            routes: shared.routes(),
            scratch: forward::Scratch::new(),
        }
    }

    /// Forwards one datagram, or counts why it was dropped.
    fn forward(&mut self, socket: &UdpSocket, fabric: SocketAddrV4, datagram: &[u8]) {
        self.refresh();
        let sealer = self.shared.sealer();
        let metrics = self.shared.metrics();
        let scratch = &mut self.scratch;
        match forward::forward(
            &self.routes,
            sealer,
            self.flow_seed,
            fabric,
            datagram,
            scratch,
        ) {
            Ok((to, datagram)) => {
                let sent = socket.send_to(datagram, to).is_ok();
                let counter = if sent {
                    &metrics.forwarded_packets
                } else {
                    &metrics.unsent_datagrams
                };
                counter.inc();
            }
            Err(error) => metrics.count_dropped(error),
        }
    }

    /// Takes over the published routes if they have changed.
    fn refresh(&mut self) {
        let generation = self.shared.routes_generation();
        if generation != self.generation {
            self.generation = generation;
            self.routes = self.shared.routes();
        }
    }
}

/// Returns whether a receive error is expected and not logged: the read timed out or was
/// interrupted, or an agent's host refused an earlier datagram.
const fn is_transient(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock
            | ErrorKind::TimedOut
            | ErrorKind::Interrupted
            | ErrorKind::ConnectionRefused
    )
}
