//! `standin platform`: the platform's object API.

use std::{ffi::OsString, net::SocketAddr};

use serde::Serialize;
use tokio::net;

use crate::app;

const LISTEN: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Serves the platform's object API.
        cmd platform {
            /// Where HTTP calls arrive; a free port of loopback by default.
            optional --listen addr: SocketAddr
        }
    }
}

#[derive(Serialize)]
struct Addresses {
    http: SocketAddr,
}

/// Runs the stand-in until it is told to stop.
pub(crate) async fn run(args: Vec<OsString>) -> anyhow::Result<()> {
    let flags = flags::Platform::from_vec(args)?;
    let listener = net::TcpListener::bind(flags.listen.unwrap_or(LISTEN)).await?;
    app::tell(&Addresses {
        http: listener.local_addr()?,
    })?;
    tokio::select! {
        served = standins::platform::serve(listener) => match served? {},
        stopped = app::stopped() => stopped,
    }
}
