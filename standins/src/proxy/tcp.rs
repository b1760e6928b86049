//! The TCP proxy.

use std::{
    io,
    net::{self, Ipv4Addr, SocketAddr},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
    task::JoinSet,
    time,
};

const BUFFER_LEN: usize = 16 * 1_024;

/// What the proxy does with connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Relays bytes.
    #[default]
    Relay,
    /// Accepts connections and keeps them, but relays nothing and says nothing.
    Freeze,
    /// Closes open connections in order, and new ones as they come.
    Close,
    /// Resets open connections, and new ones as they come.
    Reset,
}

/// A running proxy; ends, with its connections, when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    control: watch::Sender<Control>,
    addr: SocketAddr,
    _tasks: JoinSet<()>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Control {
    target: Option<SocketAddr>,
    mode: Mode,
    delay: Duration,
    /// Connections accepted so far.
    accepted: u64,
    /// Connections with a lower number are frozen for good.
    lost: u64,
}

impl Control {
    const fn mode_of(&self, number: u64) -> Mode {
        match self.mode {
            Mode::Relay if number < self.lost => Mode::Freeze,
            mode => mode,
        }
    }
}

/// Starts a proxy on a running tokio runtime; without target it closes connections.
pub fn start(target: Option<SocketAddr>) -> io::Result<Proxy> {
    let listener = net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let addr = listener.local_addr()?;
    let control = watch::Sender::new(Control {
        target,
        ..Control::default()
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(accept(listener, control.clone()));
    Ok(Proxy {
        control,
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

    /// Relays new connections to another target.
    pub fn retarget(&self, target: SocketAddr) {
        self.control
            .send_modify(|control| control.target = Some(target));
    }

    /// Changes what is done with open and new connections.
    pub fn set_mode(&self, mode: Mode) {
        self.control.send_modify(|control| control.mode = mode);
    }

    /// Delays each piece that is relayed.
    pub fn set_delay(&self, delay: Duration) {
        self.control.send_modify(|control| control.delay = delay);
    }

    /// Loses track of the connections that are open now: they go silent for
    /// good, while new ones work.
    pub fn freeze_open(&self) {
        self.control
            .send_modify(|control| control.lost = control.accepted);
    }
}

async fn accept(listener: TcpListener, control: watch::Sender<Control>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _peer)) => {
                    let mut number = 0;
                    control.send_modify(|control| {
                        number = control.accepted;
                        control.accepted += 1;
                    });
                    connections.spawn(connection(socket, number, control.subscribe()));
                }
                Err(error) => log::warn!(error:%; "connection was not accepted"),
            },
            Some(_ended) = connections.join_next() => {}
        }
    }
}

async fn connection(mut socket: TcpStream, number: u64, control: watch::Receiver<Control>) {
    let mut watched = control.clone();
    let ended = tokio::select! {
        ended = ended(&mut watched, number) => Some(ended),
        relayed = relay(&mut socket, number, control) => relayed.err().map(|_broken| Mode::Reset),
    };
    if ended == Some(Mode::Reset) && socket.set_zero_linger().is_err() {
        log::debug!("connection cannot be reset");
    }
}

/// Waits until the connection has to be ended, and says how.
async fn ended(control: &mut watch::Receiver<Control>, number: u64) -> Mode {
    let ends = |control: &Control| matches!(control.mode_of(number), Mode::Close | Mode::Reset);
    match control.wait_for(ends).await {
        Ok(control) => control.mode,
        Err(_gone) => Mode::Close,
    }
}

async fn relay(
    socket: &mut TcpStream,
    number: u64,
    mut control: watch::Receiver<Control>,
) -> io::Result<()> {
    thawed(&mut control, number).await;
    let Some(target) = control.borrow().target else {
        return Ok(());
    };
    let mut target = TcpStream::connect(target).await?;
    socket.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (near_read, near_write) = socket.split();
    let (far_read, far_write) = target.split();
    tokio::try_join!(
        pump(near_read, far_write, number, control.clone()),
        pump(far_read, near_write, number, control),
    )?;
    Ok(())
}

/// Relays one direction up to its end.
async fn pump(
    mut from: tcp::ReadHalf<'_>,
    mut to: tcp::WriteHalf<'_>,
    number: u64,
    mut control: watch::Receiver<Control>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_LEN];
    loop {
        let len = from.read(&mut buffer).await?;
        let delay = control.borrow().delay;
        time::sleep(delay).await;
        thawed(&mut control, number).await;
        if len == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..len]).await?;
    }
}

/// Waits while the connection is frozen.
async fn thawed(control: &mut watch::Receiver<Control>, number: u64) {
    // Once the proxy is gone, so is the task that waits here.
    drop(
        control
            .wait_for(|control| control.mode_of(number) != Mode::Freeze)
            .await,
    );
}
