//! Network device of one endpoint's interface: packets are passed to it and taken from it by
//! the caller.

use smoltcp::{phy, time};

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
