//! UDP proxy that can lose, delay, duplicate, corrupt, block or hold back datagrams.
//!
//! Each sender is assigned its own socket towards the target; datagrams that arrive on this socket
//! are relayed back to the sender.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use cassiacross::{mutex, udp};
use tokio::{net::UdpSocket, sync::watch, task::JoinSet, time};

use crate::faults;

const DATAGRAM_LEN: usize = 65_536;

/// A direction through the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From senders to the target.
    Forward,
    /// From the target to senders.
    Backward,
}

/// A running proxy; stops when dropped.
#[derive(Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    addr: SocketAddr,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    listener: Arc<UdpSocket>,
    target: Mutex<Option<SocketAddr>>,
    forward: Mutex<DirectionState>,
    backward: Mutex<DirectionState>,
    paused: watch::Sender<bool>,
    /// Sockets towards the target, sorted by sender.
    sessions: Mutex<Vec<Session>>,
    tasks: Mutex<JoinSet<()>>,
}

#[derive(Debug)]
struct DirectionState {
    injector: faults::Injector,
    blocked: bool,
}

#[derive(Debug)]
struct Session {
    sender: SocketAddr,
    socket: Arc<UdpSocket>,
}

/// Starts a proxy on the current tokio runtime; without a target it drops all datagrams.
pub fn start(target: Option<SocketAddr>, seed: u64) -> io::Result<Proxy> {
    let listener = Arc::new(bind()?);
    let addr = listener.local_addr()?;
    let shared = Arc::new(Shared {
        listener,
        target: Mutex::new(target),
        forward: Mutex::new(DirectionState::new(seed)),
        backward: Mutex::new(DirectionState::new(seed ^ 1)),
        paused: watch::Sender::new(false),
        sessions: Mutex::default(),
        tasks: Mutex::default(),
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(relay_forward(Arc::clone(&shared)));
    Ok(Proxy {
        shared,
        addr,
        _tasks: tasks,
    })
}

impl Proxy {
    /// Returns the listen address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the target of datagrams from senders.
    pub fn retarget(&self, target: SocketAddr) {
        *mutex::lock(&self.shared.target) = Some(target);
    }

    /// Sets the faults of one direction.
    pub fn set_faults(&self, direction: Direction, faults: faults::Faults) {
        self.shared.state(direction).injector.set(faults, None);
    }

    /// Starts or stops dropping all datagrams of one direction.
    pub fn set_blocked(&self, direction: Direction, blocked: bool) {
        self.shared.state(direction).blocked = blocked;
    }

    /// Pauses or resumes both directions; paused datagrams wait in the socket buffers.
    ///
    /// Datagrams that exceed the socket buffers are lost.
    pub fn set_paused(&self, paused: bool) {
        self.shared.paused.send_replace(paused);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        mutex::lock(&self.shared.tasks).abort_all();
    }
}

impl Shared {
    fn state(&self, direction: Direction) -> MutexGuard<'_, DirectionState> {
        match direction {
            Direction::Forward => mutex::lock(&self.forward),
            Direction::Backward => mutex::lock(&self.backward),
        }
    }

    async fn wait_resumed(&self) {
        let mut paused = self.paused.subscribe();
        // The watch sender lives as long as `self`, so the wait cannot fail.
        drop(paused.wait_for(|paused| !paused).await);
    }

    /// Returns the socket of a sender; opens one for a new sender.
    fn session(self: &Arc<Self>, sender: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        let mut sessions = mutex::lock(&self.sessions);
        match sessions.binary_search_by_key(&sender, |session| session.sender) {
            Ok(index) => Ok(Arc::clone(&sessions[index].socket)),
            Err(index) => {
                let socket = Arc::new(bind()?);
                let relay = relay_backward(Arc::clone(self), Arc::clone(&socket), sender);
                mutex::lock(&self.tasks).spawn(relay);
                let opened = Arc::clone(&socket);
                sessions.insert(index, Session { sender, socket });
                Ok(opened)
            }
        }
    }
}

impl DirectionState {
    fn new(seed: u64) -> Self {
        Self {
            injector: faults::Injector::new(seed),
            blocked: false,
        }
    }

    /// Applies the faults to a datagram, which may corrupt it; returns the delay of each copy.
    fn apply_faults(&mut self, datagram: &mut [u8]) -> Vec<Duration> {
        if self.blocked {
            return Vec::new();
        }
        self.injector.corrupt(datagram);
        self.injector.copy_delays()
    }
}

async fn relay_forward(shared: Arc<Shared>) {
    let mut buffer = vec![0; DATAGRAM_LEN];
    loop {
        shared.wait_resumed().await;
        let Ok((len, sender)) = shared.listener.recv_from(&mut buffer).await else {
            continue;
        };
        shared.wait_resumed().await;
        let Some(target) = *mutex::lock(&shared.target) else {
            continue;
        };
        let copies = shared
            .state(Direction::Forward)
            .apply_faults(&mut buffer[..len]);
        match shared.session(sender) {
            Ok(socket) => {
                for delay in copies {
                    send(&socket, target, &buffer[..len], delay).await;
                }
            }
            Err(error) => log::warn!(error:%; "no socket for the sender; datagram is dropped"),
        }
    }
}

async fn relay_backward(shared: Arc<Shared>, socket: Arc<UdpSocket>, sender: SocketAddr) {
    let mut buffer = vec![0; DATAGRAM_LEN];
    loop {
        shared.wait_resumed().await;
        let Ok((len, _target)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        shared.wait_resumed().await;
        let copies = shared
            .state(Direction::Backward)
            .apply_faults(&mut buffer[..len]);
        for delay in copies {
            send(&shared.listener, sender, &buffer[..len], delay).await;
        }
    }
}

/// Sends a datagram immediately, or from a spawned task after a delay.
async fn send(socket: &Arc<UdpSocket>, target: SocketAddr, datagram: &[u8], delay: Duration) {
    if delay.is_zero() {
        // A failed send counts as packet loss.
        drop(socket.send_to(datagram, target).await);
        return;
    }
    let socket = Arc::clone(socket);
    let datagram = datagram.to_vec();
    tokio::spawn(async move {
        time::sleep(delay).await;
        drop(socket.send_to(&datagram, target).await);
    });
}

fn bind() -> io::Result<UdpSocket> {
    UdpSocket::from_std(udp::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?)
}
