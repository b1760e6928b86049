//! TCP proxy that can delay, freeze, close or reset its connections.

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

/// Treatment of connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Relays bytes.
    #[default]
    Relay,
    /// Accepts connections and keeps them open, but relays nothing.
    Freeze,
    /// Closes open connections with FIN, and new ones immediately.
    Close,
    /// Closes open connections with RST, and new ones immediately.
    Reset,
}

/// A running proxy; stops and closes its connections when dropped.
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
    /// Number of connections accepted so far; the next connection gets it as its number.
    accepted: u64,
    /// Connections with a lower number are frozen permanently.
    frozen_below: u64,
}

impl Control {
    const fn mode_of(&self, number: u64) -> Mode {
        match self.mode {
            Mode::Relay if number < self.frozen_below => Mode::Freeze,
            mode => mode,
        }
    }
}

/// Starts a proxy on the current tokio runtime; without a target it closes all connections.
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
    /// Returns the listen address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the target of new connections.
    pub fn retarget(&self, target: SocketAddr) {
        self.control
            .send_modify(|control| control.target = Some(target));
    }

    /// Changes the treatment of open and new connections.
    pub fn set_mode(&self, mode: Mode) {
        self.control.send_modify(|control| control.mode = mode);
    }

    /// Sets the delay of each relayed chunk of data.
    pub fn set_delay(&self, delay: Duration) {
        self.control.send_modify(|control| control.delay = delay);
    }

    /// Freezes all open connections permanently, without closing them; new connections are relayed.
    pub fn freeze_open(&self) {
        self.control
            .send_modify(|control| control.frozen_below = control.accepted);
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
                Err(error) => log::warn!(error:%; "accepting a connection failed"),
            },
            Some(_ended) = connections.join_next() => {}
        }
    }
}

async fn connection(mut socket: TcpStream, number: u64, control: watch::Receiver<Control>) {
    let mut watched = control.clone();
    let ended = tokio::select! {
        ended = wait_end(&mut watched, number) => Some(ended),
        relayed = relay(&mut socket, number, control) => relayed.err().map(|_error| Mode::Reset),
    };
    if ended == Some(Mode::Reset) && socket.set_zero_linger().is_err() {
        log::debug!("setting zero linger failed; connection is closed without RST");
    }
}

/// Waits for a mode that ends the connection and returns it.
async fn wait_end(control: &mut watch::Receiver<Control>, number: u64) -> Mode {
    let ends = |control: &Control| matches!(control.mode_of(number), Mode::Close | Mode::Reset);
    match control.wait_for(ends).await {
        Ok(control) => control.mode,
        Err(_closed) => Mode::Close,
    }
}

async fn relay(
    socket: &mut TcpStream,
    number: u64,
    mut control: watch::Receiver<Control>,
) -> io::Result<()> {
    wait_unfrozen(&mut control, number).await;
    let Some(target) = control.borrow().target else {
        return Ok(());
    };
    let mut target = TcpStream::connect(target).await?;
    socket.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (client_read, client_write) = socket.split();
    let (target_read, target_write) = target.split();
    tokio::try_join!(
        relay_direction(client_read, target_write, number, control.clone()),
        relay_direction(target_read, client_write, number, control),
    )?;
    Ok(())
}

/// Relays one direction until end of stream, then shuts down the write side.
async fn relay_direction(
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
        wait_unfrozen(&mut control, number).await;
        if len == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..len]).await?;
    }
}

/// Waits until the connection is not frozen.
async fn wait_unfrozen(control: &mut watch::Receiver<Control>, number: u64) {
    // Dropping the proxy aborts this task, so an error needs no handling.
    drop(
        control
            .wait_for(|control| control.mode_of(number) != Mode::Freeze)
            .await,
    );
}
