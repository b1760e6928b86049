//! The `standin fabric` command: runs the simulated network fabric.

use std::ffi::OsString;

use standins::fabric;

use crate::app;

mod flags {
    use std::net::SocketAddrV4;

    use standins::fabric::{Balancer, Service};

    xflags::xflags! {
        /// Distributes the packets of TCP connections randomly over balancers.
        cmd fabric {
            /// A balancer, as GUE address and base URL: ip:port=http://ip:port.
            repeated --balancer balancer: Balancer
            /// A service, as NAME=ip:port.
            repeated --service service: Service
            /// Listen address for GUE datagrams.
            optional --packets packets: SocketAddrV4
            /// Listen address for HTTP control requests.
            optional --http http: SocketAddrV4
            /// Seed for the choice of balancers, caller addresses and injected faults.
            optional --seed seed: u64
        }
    }
}

/// Runs the fabric until SIGTERM or SIGINT.
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
    app::print_addresses(&fabric.addresses())?;
    app::wait_shutdown().await
}
