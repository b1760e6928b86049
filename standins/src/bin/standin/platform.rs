//! `standin platform`.

use std::{
    ffi::OsString,
    net::{Ipv4Addr, SocketAddr},
};

use platform_standins::store;
use serde_json::json;
use tokio::net;

use crate::app;

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Keeps objects with revisions, conditional writes and watches.
        cmd platform {
            /// Where HTTP calls arrive.
            optional --http http: SocketAddr
        }
    }
}

/// Runs the platform until it is told to stop.
pub(crate) async fn run(args: Vec<OsString>) -> anyhow::Result<()> {
    let flags = flags::Platform::from_vec(args)?;
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = net::TcpListener::bind(flags.http.unwrap_or(any)).await?;
    app::tell(&json!({ "http": listener.local_addr()? }))?;
    tokio::select! {
        result = store::serve(listener) => match result? {},
        stopped = app::stopped() => stopped,
    }
}
