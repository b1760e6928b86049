//! Network interface of one endpoint: its device, to which packets are passed and which
//! passes packets on, and its socket.

use std::net::SocketAddrV4;

use smoltcp::{
    iface, phy,
    socket::tcp,
    time,
    wire::{self, IpAddress},
};

use super::{Options, duration, instant};
use crate::clock;

/// Prefix length of an interface with a single address.
const ADDRESS_BITS: u8 = 32;

/// Network device of the interface for one poll: receives at most one packet and sends any
/// number.
pub(super) struct Device<'a> {
    pub(super) inbound: Option<&'a [u8]>,
    pub(super) send: &'a mut dyn FnMut(&[u8]),
    pub(super) mtu: usize,
}

/// Packet that the interface receives.
pub(super) struct Inbound<'a>(&'a [u8]);

/// Permission of the interface to send one packet.
pub(super) struct Outbound<'a>(&'a mut dyn FnMut(&[u8]));

impl phy::Device for Device<'_> {
    type RxToken<'b>
        = Inbound<'b>
    where
        Self: 'b;
    type TxToken<'b>
        = Outbound<'b>
    where
        Self: 'b;

    fn receive(&mut self, _now: time::Instant) -> Option<(Inbound<'_>, Outbound<'_>)> {
        let packet = self.inbound.take()?;
        Some((Inbound(packet), Outbound(&mut *self.send)))
    }

    fn transmit(&mut self, _now: time::Instant) -> Option<Outbound<'_>> {
        Some(Outbound(&mut *self.send))
    }

    fn capabilities(&self) -> phy::DeviceCapabilities {
        let mut capabilities = phy::DeviceCapabilities::default();
        capabilities.medium = phy::Medium::Ip;
        capabilities.max_transmission_unit = self.mtu;
        capabilities
    }
}

impl phy::RxToken for Inbound<'_> {
    fn consume<R, F>(self, f: F) -> R
    where
        F: FnOnce(&[u8]) -> R,
    {
        f(self.0)
    }
}

impl phy::TxToken for Outbound<'_> {
    fn consume<R, F>(self, len: usize, f: F) -> R
    where
        F: FnOnce(&mut [u8]) -> R,
    {
        let mut packet = vec![0; len];
        let result = f(&mut packet);
        (self.0)(&packet);
        result
    }
}

/// Creates a closed socket with the buffers and timers of the options.
pub(super) fn new_socket(options: &Options) -> tcp::Socket<'static> {
    let receive = tcp::SocketBuffer::new(vec![0; options.receive_buffer]);
    let transmit = tcp::SocketBuffer::new(vec![0; options.transmit_buffer]);
    let mut socket = tcp::Socket::new(receive, transmit);
    socket.set_ack_delay(None);
    socket.set_nagle_enabled(false);
    socket.set_keep_alive(Some(duration(options.keep_alive)));
    socket.set_timeout(Some(duration(options.timeout)));
    socket
}

/// Creates an interface with a single address.
pub(super) fn new_iface(
    local: SocketAddrV4,
    options: &Options,
    seed: u64,
    now: clock::Millis,
) -> iface::Interface {
    let mut config = iface::Config::new(wire::HardwareAddress::Ip);
    config.random_seed = seed;
    let mut device = Device {
        inbound: None,
        send: &mut |_packet| {},
        mtu: options.mtu,
    };
    let mut iface = iface::Interface::new(config, &mut device, instant(now));
    let cidr = wire::IpCidr::new(IpAddress::Ipv4(*local.ip()), ADDRESS_BITS);
    iface.update_ip_addrs(|addresses| {
        addresses
            .push(cidr)
            .expect("a new interface has capacity for an address");
    });
    iface
        .routes_mut()
        .add_default_ipv4_route(*local.ip())
        .expect("a new interface has capacity for a route");
    iface
}
