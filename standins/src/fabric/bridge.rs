//! Bridges TCP connections of callers to user-space TCP flows.

use std::{
    io,
    net::SocketAddrV4,
    sync::{Arc, Weak},
};

use cassiacross::{
    endpoint::{self, Endpoint},
    mutex, packet,
    stream::{self, Stream},
};
use tokio::{
    io as async_io,
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use super::{Shared, increment};

const COPY_LEN: usize = 4_096;

/// Accepts connections and bridges each to a new flow until the fabric is dropped.
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
                    Err(error) => log::warn!(error:%; "accepting a caller's connection failed"),
                }
            }
            Some(_ended) = bridges.join_next() => {}
        }
    }
}

async fn bridge(socket: TcpStream, service: SocketAddrV4, shared: Arc<Shared>) {
    let (caller, seed) = mutex::lock(&shared.callers).next_caller();
    let flow = packet::Flow { caller, service };
    let now = shared.clock.now();
    let endpoint = Endpoint::connect(flow, shared.endpoint, seed, now);
    let weak = Weak::clone(&shared.weak);
    let transmit = move |packet: &[u8]| {
        if let Some(shared) = weak.upgrade() {
            shared.send_to_balancer(packet);
        }
    };
    let (handle, stream) = stream::new(endpoint, shared.clock, transmit);
    increment(&shared.counts.flows);
    shared.flows.insert(flow, handle.clone());
    tokio::join!(handle.run(), relay(socket, stream, &shared));
    shared.flows.remove(flow);
}

async fn relay(mut socket: TcpStream, mut stream: Stream, shared: &Shared) {
    let handle = stream.handle();
    let established = stream.established().await;
    let relayed = match established {
        Ok(()) => copy(&mut socket, &mut stream).await,
        Err(error) => Err(error),
    };
    let Err(error) = relayed else {
        return;
    };
    let failure = handle.inspect(Endpoint::error);
    count_failure(failure, handle.inspect(Endpoint::was_established), shared);
    log::debug!(flow:? = handle.flow(), error:%; "flow failed; connection is reset");
    handle.abort();
    if let Err(error) = socket.set_zero_linger() {
        log::debug!(error:%; "setting zero linger failed; connection is closed without RST");
    }
}

/// Copies bytes in both directions until both sides are closed or one fails.
async fn copy(socket: &mut TcpStream, stream: &mut Stream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    async_io::copy_bidirectional_with_sizes(socket, stream, COPY_LEN, COPY_LEN).await?;
    Ok(())
}

fn count_failure(failure: Option<endpoint::Error>, was_established: bool, shared: &Shared) {
    let counts = &shared.counts;
    match failure {
        Some(_error) if !was_established => increment(&counts.refused),
        Some(endpoint::Error::Reset) => increment(&counts.resets),
        Some(endpoint::Error::Timeout) => increment(&counts.timeouts),
        _ => {}
    }
}
