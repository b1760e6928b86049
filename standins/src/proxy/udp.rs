//! The UDP proxy.
//!
//! Each sender gets a socket of its own towards the target, and whatever
//! arrives there goes back to that sender.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cassiacross::udp;
use tokio::{net::UdpSocket, sync::watch, task::JoinSet, time};

use crate::faults;

const DATAGRAM_LEN: usize = 65_536;

/// A way through the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From senders to the target.
    Forward,
    /// From the target to senders.
    Backward,
}

/// A running proxy; ends when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    addr: SocketAddr,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    front: Arc<UdpSocket>,
    target: Mutex<Option<SocketAddr>>,
    forward: Mutex<Lane>,
    backward: Mutex<Lane>,
    paused: watch::Sender<bool>,
    /// Sockets towards the target, sorted by sender.
    sessions: Mutex<Vec<Session>>,
    tasks: Mutex<JoinSet<()>>,
}

#[derive(Debug)]
struct Lane {
    injector: faults::Injector,
    cut: bool,
}

#[derive(Debug)]
struct Session {
    sender: SocketAddr,
    socket: Arc<UdpSocket>,
}

/// Starts a proxy on a running tokio runtime; without target it loses all.
pub fn start(target: Option<SocketAddr>, seed: u64) -> io::Result<Proxy> {
    let front = Arc::new(bind()?);
    let addr = front.local_addr()?;
    let shared = Arc::new(Shared {
        front,
        target: Mutex::new(target),
        forward: Mutex::new(Lane::new(seed)),
        backward: Mutex::new(Lane::new(seed ^ 1)),
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
    /// Where the proxy listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Relays to another target from now on.
    pub fn retarget(&self, target: SocketAddr) {
        *lock(&self.shared.target) = Some(target);
    }

    /// Changes the faults of one way.
    pub fn set_faults(&self, way: Direction, faults: faults::Faults) {
        self.shared.lane(way).injector.set(faults, None);
    }

    /// Loses all datagrams of one way, or none any more.
    pub fn set_blocked(&self, way: Direction, cut: bool) {
        self.shared.lane(way).cut = cut;
    }

    /// Holds datagrams of both ways back, or lets them go on.
    ///
    /// What the sockets' buffers cannot hold is lost.
    pub fn set_paused(&self, paused: bool) {
        self.shared.paused.send_replace(paused);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        lock(&self.shared.tasks).abort_all();
    }
}

impl Shared {
    fn lane(&self, way: Direction) -> MutexGuard<'_, Lane> {
        match way {
            Direction::Forward => lock(&self.forward),
            Direction::Backward => lock(&self.backward),
        }
    }

    async fn resumed(&self) {
        let mut paused = self.paused.subscribe();
        // The sender lives as long as this value, so the wait cannot fail.
        drop(paused.wait_for(|paused| !paused).await);
    }

    /// The socket of a sender; opened where there is none.
    fn session(self: &Arc<Self>, sender: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        let mut sessions = lock(&self.sessions);
        match sessions.binary_search_by_key(&sender, |session| session.sender) {
            Ok(index) => Ok(Arc::clone(&sessions[index].socket)),
            Err(index) => {
                let socket = Arc::new(bind()?);
                let relay = relay_backward(Arc::clone(self), Arc::clone(&socket), sender);
                lock(&self.tasks).spawn(relay);
                let opened = Arc::clone(&socket);
                sessions.insert(index, Session { sender, socket });
                Ok(opened)
            }
        }
    }
}

impl Lane {
    fn new(seed: u64) -> Self {
        Self {
            injector: faults::Injector::new(seed),
            cut: false,
        }
    }

    /// The delays of the copies of a datagram, which may be changed.
    fn pass(&mut self, datagram: &mut [u8]) -> Vec<Duration> {
        if self.cut {
            return Vec::new();
        }
        self.injector.corrupt(datagram);
        self.injector.copy_delays()
    }
}

async fn relay_forward(shared: Arc<Shared>) {
    let mut buffer = vec![0; DATAGRAM_LEN];
    loop {
        shared.resumed().await;
        let Ok((len, sender)) = shared.front.recv_from(&mut buffer).await else {
            continue;
        };
        shared.resumed().await;
        let Some(target) = *lock(&shared.target) else {
            continue;
        };
        let copies = shared.lane(Direction::Forward).pass(&mut buffer[..len]);
        match shared.session(sender) {
            Ok(socket) => {
                for delay in copies {
                    send(&socket, target, &buffer[..len], delay).await;
                }
            }
            Err(error) => log::warn!(error:%; "sender gets no socket"),
        }
    }
}

async fn relay_backward(shared: Arc<Shared>, socket: Arc<UdpSocket>, sender: SocketAddr) {
    let mut buffer = vec![0; DATAGRAM_LEN];
    loop {
        shared.resumed().await;
        let Ok((len, _target)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        shared.resumed().await;
        let copies = shared.lane(Direction::Backward).pass(&mut buffer[..len]);
        for delay in copies {
            send(&shared.front, sender, &buffer[..len], delay).await;
        }
    }
}

/// Sends a datagram now, or on a task of its own after a delay.
async fn send(socket: &Arc<UdpSocket>, target: SocketAddr, datagram: &[u8], delay: Duration) {
    if delay.is_zero() {
        // What cannot be sent is lost, as on any network.
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
