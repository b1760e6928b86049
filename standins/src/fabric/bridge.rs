//! From a TCP connection to a flow in user space, and back.

use std::{
    io,
    net::SocketAddrV4,
    sync::{Arc, Weak},
};

use cassiacross::{
    endpoint::{self, Endpoint},
    packet,
    stream::{self, Stream},
};
use tokio::{
    io as async_io,
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use super::{Shared, add, lock};

const COPY_LEN: usize = 4_096;

/// Makes a flow of each connection, until the fabric is gone.
pub(super) async fn accept(listener: TcpListener, service: SocketAddrV4, fabric: Weak<Shared>) {
    let mut bridges = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Some(shared) = fabric.upgrade() else {
                    return;
                };
                match accepted {
                    Ok((socket, _peer)) => {
                        bridges.spawn(bridge(socket, service, shared));
                    }
                    Err(error) => log::warn!(error:%; "connection was not accepted"),
                }
            }
            Some(_ended) = bridges.join_next() => {}
        }
    }
}

async fn bridge(socket: TcpStream, service: SocketAddrV4, shared: Arc<Shared>) {
    let (caller, seed) = lock(&shared.callers).draw();
    let flow = packet::Flow { caller, service };
    let now = shared.clock.now();
    let endpoint = Endpoint::connect(flow, shared.endpoint, seed, now);
    let weak = Weak::clone(&shared.weak);
    let spray = move |packet: &[u8]| {
        if let Some(shared) = weak.upgrade() {
            shared.spray(packet);
        }
    };
    let (handle, stream) = stream::new(endpoint, shared.clock, spray);
    add(&shared.tally.flows);
    shared.insert(flow, handle.clone());
    tokio::join!(handle.run(), relay(socket, stream, &shared));
    shared.remove(flow);
}

async fn relay(mut socket: TcpStream, mut stream: Stream, shared: &Shared) {
    let handle = stream.handle();
    let opened = stream.established().await;
    let relayed = match opened {
        Ok(()) => copy(&mut socket, &mut stream).await,
        Err(error) => Err(error),
    };
    let Err(error) = relayed else {
        return;
    };
    let failure = handle.inspect(Endpoint::error);
    note(failure, handle.inspect(Endpoint::was_established), shared);
    log::debug!(flow:? = handle.flow(), error:%; "flow broke");
    handle.abort();
    if let Err(error) = socket.set_zero_linger() {
        log::debug!(error:%; "connection cannot be reset");
    }
}

/// Copies bytes both ways until both ends have closed or one has failed.
async fn copy(socket: &mut TcpStream, stream: &mut Stream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    async_io::copy_bidirectional_with_sizes(socket, stream, COPY_LEN, COPY_LEN).await?;
    Ok(())
}

fn note(failure: Option<endpoint::Error>, was_open: bool, shared: &Shared) {
    let tally = &shared.tally;
    match failure {
        Some(_error) if !was_open => add(&tally.refused),
        Some(endpoint::Error::Reset) => add(&tally.resets),
        Some(endpoint::Error::Timeout) => add(&tally.timeouts),
        _ => {}
    }
}
