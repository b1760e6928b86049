//! The thread that forwards packets.

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

const BUFFER_LEN: usize = 65_536;
const STOP_CHECK: Duration = Duration::from_millis(100);

/// Forwards packets until `stop` is set.
pub(crate) fn run(socket: &UdpSocket, shared: &shared::Shared, stop: &AtomicBool) {
    if let Err(error) = socket.set_read_timeout(Some(STOP_CHECK)) {
        log::error!(error:% = error; "read timeout cannot be set");
        return;
    }
    let mut lane = Lane::new(shared);
    let mut buffer = vec![0; BUFFER_LEN];
    while !stop.load(Ordering::Relaxed) {
        match socket.recv_from(&mut buffer) {
            Ok((len, SocketAddr::V4(fabric))) => lane.forward(socket, fabric, &buffer[..len]),
            Ok((_, SocketAddr::V6(_))) => {}
            Err(error) if is_pause(error.kind()) => {}
            Err(error) => {
                log::warn!(error:% = error; "packet socket failed");
                std::thread::sleep(STOP_CHECK);
            }
        }
    }
}

struct Lane<'a> {
    shared: &'a shared::Shared,
    seed: u64,
    generation: u64,
    routes: Arc<forward::Routes>,
    scratch: forward::Scratch,
}

impl<'a> Lane<'a> {
    fn new(shared: &'a shared::Shared) -> Self {
        Self {
            shared,
            seed: shared.sealer().flow_seed(),
            generation: shared.routes_generation(),
            routes: shared.routes(),
            scratch: forward::Scratch::new(),
        }
    }

    fn forward(&mut self, socket: &UdpSocket, fabric: SocketAddrV4, datagram: &[u8]) {
        self.refresh();
        let sealer = self.shared.sealer();
        let metrics = self.shared.metrics();
        let scratch = &mut self.scratch;
        match forward::forward(&self.routes, sealer, self.seed, fabric, datagram, scratch) {
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

    fn refresh(&mut self) {
        let generation = self.shared.routes_generation();
        if generation != self.generation {
            self.generation = generation;
            self.routes = self.shared.routes();
        }
    }
}

/// Whether there was just nothing to read, or an agent's host refused an earlier datagram.
const fn is_pause(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock
            | ErrorKind::TimedOut
            | ErrorKind::Interrupted
            | ErrorKind::ConnectionRefused
    )
}
