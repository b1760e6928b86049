//! `standin fabric`.

use std::ffi::OsString;

use standins::fabric;

use crate::app;

mod flags {
    use std::net::SocketAddrV4;

    use standins::fabric::{Balancer, Service};

    xflags::xflags! {
        /// Sprays packets of TCP connections over balancers.
        cmd fabric {
            /// A balancer, as ip:port=http://ip:port.
            repeated --balancer balancer: Balancer
            /// A service, as NAME=ip:port.
            repeated --service service: Service
            /// Where GUE datagrams arrive.
            optional --packets packets: SocketAddrV4
            /// Where HTTP calls arrive.
            optional --http http: SocketAddrV4
            /// Decides balancers, callers' addresses and faults.
            optional --seed seed: u64
        }
    }
}

/// Runs the fabric until it is told to stop.
pub(crate) async fn run(args: Vec<OsString>) -> anyhow::Result<()> {
    let flags = flags::Fabric::from_vec(args)?;
    let default = fabric::Options::default();
    let options = fabric::Options {
        packets: flags.packets.unwrap_or(default.packets),
        http: flags.http.unwrap_or(default.http),
        balancers: flags.balancer,
        services: flags.service,
        seed: flags.seed.unwrap_or(default.seed),
        endpoint: default.endpoint,
    };
    let fabric = fabric::start(options).await?;
    app::tell(&fabric.addresses())?;
    app::stopped().await
}
