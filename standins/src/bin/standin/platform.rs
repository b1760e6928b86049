//! The `standin platform` command: runs the simulated object store.

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
        /// Runs an object store with revisions, conditional writes and watches.
        cmd platform {
            /// Listen address for HTTP requests.
            optional --http http: SocketAddr
        }
    }
}

/// Runs the platform until SIGTERM or SIGINT.
pub(crate) async fn run(args: Vec<OsString>) -> anyhow::Result<()> {
    let flags = flags::Platform::from_vec(args)?;
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = net::TcpListener::bind(flags.http.unwrap_or(any)).await?;
    app::print_addresses(&json!({ "http": listener.local_addr()? }))?;
    tokio::select! {
        result = store::serve(listener) => match result? {},
        shutdown = app::wait_shutdown() => shutdown,
    }
}
