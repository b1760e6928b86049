//! One end of one TCP flow, in user space.
//!
//! Each flow has its own interface and socket, so that the cost of a packet
//! does not depend on how many flows a process holds. Nothing here reads a
//! clock or a socket: packets and time come in as arguments, packets go out
//! through a closure.

use std::{fmt, net::SocketAddrV4, task};

use smoltcp::{
    iface, phy,
    socket::tcp,
    time,
    wire::{self, IpAddress},
};
use thiserror::Error;

use crate::{clock, packet};

const ADDRESS_BITS: u8 = 32;

/// Why a flow gives or takes no more bytes.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The peer reset the flow.
    #[error("flow was reset by its peer")]
    Reset,
    /// The peer was silent for too long.
    #[error("flow timed out")]
    Timeout,
    /// This end reset the flow.
    #[error("flow was reset by this end")]
    Aborted,
    /// This end had closed the flow before.
    #[error("flow is closed for writing")]
    Closed,
}

/// Sizes and limits of one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// Bytes that may wait for the reader.
    pub receive_buffer: usize,
    /// Bytes that may wait for acknowledgement.
    pub transmit_buffer: usize,
    /// Bytes of the longest IP packet.
    pub mtu: usize,
    /// Silence after which the peer is probed.
    pub keep_alive: clock::Millis,
    /// Silence after which the flow is given up.
    pub timeout: clock::Millis,
    /// Time for the handshake, after which a half-open flow lapses without a packet.
    pub handshake_timeout: clock::Millis,
    /// Time for the peer to close after the owner has let go of the flow.
    pub linger: clock::Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            receive_buffer: 16 * 1_024,
            transmit_buffer: 8 * 1_024,
            mtu: 1_300,
            keep_alive: clock::Millis(15_000),
            timeout: clock::Millis(60_000),
            handshake_timeout: clock::Millis(10_000),
            linger: clock::Millis(10_000),
        }
    }
}

/// What became of a packet that was handed to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The packet belongs to this endpoint and was processed.
    Processed,
    /// The packet is not for this endpoint, such as an acknowledgement of another
    /// acceptor's answer to the same opening packet. Nothing was sent.
    Unmatched,
}

/// How the flow ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Clean,
    Failed(Error),
}

/// What was processed when a socket changed its state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    Packet,
    Reset,
    Timer,
}

/// One end of one TCP flow.
pub struct Endpoint {
    flow: packet::Flow,
    inbound: packet::Flow,
    options: Options,
    iface: iface::Interface,
    sockets: iface::SocketSet<'static>,
    socket: iface::SocketHandle,
    isn: Option<u32>,
    lapse: Option<clock::Millis>,
    tail: Vec<u8>,
    fin: Option<Vec<u8>>,
    closing: bool,
    opened: bool,
    finned: bool,
    end: Option<End>,
}

impl Endpoint {
    /// The service's end of a flow, which waits for the caller's opening packet.
    ///
    /// `seed` decides the initial sequence number.
    ///
    /// # Panics
    ///
    /// If the service's port is 0.
    #[must_use]
    pub fn accept(flow: packet::Flow, options: Options, seed: u64, now: clock::Millis) -> Self {
        let mut endpoint = Self::new(flow, flow, options, seed, now);
        endpoint
            .socket_mut()
            .listen(address(flow.service))
            .expect("a new socket can listen on a port that is not 0");
        endpoint
    }

    /// The caller's end of a flow; the next poll sends the opening packet.
    ///
    /// `seed` decides the initial sequence number.
    ///
    /// # Panics
    ///
    /// If one of the ports is 0 or one of the addresses unspecified.
    #[must_use]
    pub fn connect(flow: packet::Flow, options: Options, seed: u64, now: clock::Millis) -> Self {
        let mut endpoint = Self::new(flow, reverse(flow), options, seed, now);
        let socket = endpoint.sockets.get_mut::<tcp::Socket<'_>>(endpoint.socket);
        socket
            .connect(
                endpoint.iface.context(),
                address(flow.service),
                address(flow.caller),
            )
            .expect("a new socket can connect between specified ends");
        endpoint
    }

    /// The two ends of the flow.
    #[must_use]
    pub const fn flow(&self) -> packet::Flow {
        self.flow
    }

    /// Processes one packet from the peer and sends what it brings about.
    pub fn deliver(
        &mut self,
        packet: &[u8],
        now: clock::Millis,
        send: &mut dyn FnMut(&[u8]),
    ) -> Delivery {
        let Ok(view) = packet::parse(packet) else {
            return Delivery::Unmatched;
        };
        if !self.is_ours(&view) {
            return Delivery::Unmatched;
        }
        let before = self.state();
        self.run(Some(packet), now, send);
        let cause = if view.reset {
            Cause::Reset
        } else {
            Cause::Packet
        };
        self.observe(before, cause);
        self.replay_fin(packet, now, send);
        if self.must_close() {
            self.poll(now, send);
        }
        Delivery::Processed
    }

    /// Does what is due and sends the packets that it brings about.
    pub fn poll(&mut self, now: clock::Millis, send: &mut dyn FnMut(&[u8])) {
        if self.is_finished() {
            return;
        }
        if self.lapse.is_some_and(|lapse| lapse <= now) {
            self.give_up(now, send);
            return;
        }
        if self.must_close() {
            self.socket_mut().close();
        }
        let before = self.state();
        self.run(None, now, send);
        self.observe(before, Cause::Timer);
    }

    /// When the endpoint has to be polled next, if no packet arrives before.
    #[must_use]
    pub fn poll_at(&mut self, now: clock::Millis) -> Option<clock::Millis> {
        if self.is_finished() {
            return None;
        }
        let due = self.iface.poll_at(instant(now), &self.sockets);
        due.map(millis).into_iter().chain(self.lapse).min()
    }

    /// Takes bytes that have arrived; 0 is the end of the peer's bytes.
    ///
    /// Poll the endpoint afterwards, so that the peer learns of the space.
    pub fn read(&mut self, out: &mut [u8]) -> task::Poll<Result<usize, Error>> {
        if !self.tail.is_empty() {
            return task::Poll::Ready(Ok(self.read_tail(out)));
        }
        if self.socket_ref().can_recv() {
            let len = self.socket_mut().recv_slice(out);
            return task::Poll::Ready(len.map_err(|_state| Error::Reset));
        }
        match self.end {
            _ if self.finned => task::Poll::Ready(Ok(0)),
            Some(End::Clean) => task::Poll::Ready(Ok(0)),
            Some(End::Failed(error)) => task::Poll::Ready(Err(error)),
            None => task::Poll::Pending,
        }
    }

    /// Queues bytes for the peer and gives how many were taken.
    ///
    /// Poll the endpoint afterwards, so that they are sent.
    pub fn write(&mut self, bytes: &[u8]) -> task::Poll<Result<usize, Error>> {
        match self.end {
            Some(End::Failed(error)) => return task::Poll::Ready(Err(error)),
            Some(End::Clean) => return task::Poll::Ready(Err(Error::Closed)),
            None if self.closing => return task::Poll::Ready(Err(Error::Closed)),
            None => {}
        }
        if !self.socket_ref().can_send() {
            return task::Poll::Pending;
        }
        let len = self.socket_mut().send_slice(bytes);
        task::Poll::Ready(len.map_err(|_state| Error::Closed))
    }

    /// Has `waker` woken when [`Self::read`] may give something else than before.
    pub fn register_reader(&mut self, waker: &task::Waker) {
        self.socket_mut().register_recv_waker(waker);
    }

    /// Has `waker` woken when [`Self::write`] may give something else than before.
    pub fn register_writer(&mut self, waker: &task::Waker) {
        self.socket_mut().register_send_waker(waker);
    }

    /// Ends this end's bytes; the next poll sends the FIN behind what is queued.
    pub const fn close(&mut self) {
        self.closing = true;
    }

    /// Resets the flow and sends the RST.
    pub fn abort(&mut self, now: clock::Millis, send: &mut dyn FnMut(&[u8])) {
        if self.is_finished() {
            return;
        }
        self.end = Some(End::Failed(Error::Aborted));
        self.socket_mut().abort();
        self.run(None, now, send);
    }

    /// Ends the flow at this end without a packet.
    pub fn discard(&mut self) {
        if self.is_finished() {
            return;
        }
        self.end = Some(End::Failed(Error::Aborted));
        self.socket_mut().abort();
    }

    /// Lets go of the flow: nobody reads or writes any more.
    ///
    /// A flow that was closed in order gets time for the peer to close too,
    /// others are reset at once.
    pub fn release(&mut self, now: clock::Millis, send: &mut dyn FnMut(&[u8])) {
        let unread = !self.tail.is_empty() || self.socket_ref().can_recv();
        if !self.closing || unread {
            self.abort(now, send);
        } else if !self.is_finished() && self.lapse.is_none() {
            self.lapse = Some(now + self.options.linger);
        }
    }

    /// The initial sequence number of this end, once it was sent.
    #[must_use]
    pub const fn local_isn(&self) -> Option<u32> {
        self.isn
    }

    /// Whether the handshake has not ended.
    #[must_use]
    pub fn is_half_open(&self) -> bool {
        self.end.is_none() && is_half_open(self.state())
    }

    /// Whether the handshake has ended and the flow has not.
    #[must_use]
    pub fn is_established(&self) -> bool {
        self.end.is_none() && !is_half_open(self.state())
    }

    /// Whether the handshake ended at some time, also if the flow has ended since.
    #[must_use]
    pub const fn was_established(&self) -> bool {
        self.opened
    }

    /// Whether both ends have closed, and this one only waits for packets underway.
    #[must_use]
    pub fn is_time_wait(&self) -> bool {
        self.end.is_none() && self.state() == tcp::State::TimeWait
    }

    /// Whether the flow has ended and no packet will be sent any more.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.end.is_some()
    }

    /// Why the flow failed, if it did.
    #[must_use]
    pub const fn error(&self) -> Option<Error> {
        match self.end {
            Some(End::Failed(error)) => Some(error),
            Some(End::Clean) | None => None,
        }
    }

    fn new(
        flow: packet::Flow,
        inbound: packet::Flow,
        options: Options,
        seed: u64,
        now: clock::Millis,
    ) -> Self {
        let mut sockets = iface::SocketSet::new(Vec::with_capacity(1));
        let socket = sockets.add(new_socket(&options));
        Self {
            flow,
            inbound,
            options,
            iface: new_iface(inbound.service, &options, seed, now),
            sockets,
            socket,
            isn: None,
            lapse: Some(now + options.handshake_timeout),
            tail: Vec::new(),
            fin: None,
            closing: false,
            opened: false,
            finned: false,
            end: None,
        }
    }

    fn socket_ref(&self) -> &tcp::Socket<'static> {
        self.sockets.get(self.socket)
    }

    fn socket_mut(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.socket)
    }

    fn state(&self) -> tcp::State {
        self.socket_ref().state()
    }

    /// Whether a packet may be shown to the socket, which resets what it does not know.
    fn is_ours(&self, view: &packet::View) -> bool {
        if view.flow != self.inbound || self.is_finished() {
            return false;
        }
        match self.state() {
            tcp::State::Listen => view.opening && !view.reset,
            tcp::State::SynReceived => view.ack.is_none_or(|ack| self.acks_isn(ack)),
            _ => true,
        }
    }

    /// Shows the socket a FIN again that came ahead of bytes.
    ///
    /// The socket ignores such a FIN, and its sender would repeat it only after
    /// a retransmission timeout, while packets that are sprayed often cross.
    fn replay_fin(&mut self, packet: &[u8], now: clock::Millis, send: &mut dyn FnMut(&[u8])) {
        if self.finned || self.is_finished() {
            self.fin = None;
            return;
        }
        if let Some(fin) = bare_fin(packet) {
            self.fin = Some(fin);
        } else if let Some(fin) = self.fin.take() {
            let before = self.state();
            self.run(Some(&fin), now, send);
            self.observe(before, Cause::Packet);
            self.fin = (!self.finned).then_some(fin);
        }
    }

    /// Whether the owner has closed a flow whose socket does not know yet.
    fn must_close(&self) -> bool {
        let open = matches!(
            self.state(),
            tcp::State::Established | tcp::State::CloseWait
        );
        self.closing && open && !self.is_finished()
    }

    fn acks_isn(&self, ack: u32) -> bool {
        self.isn.is_some_and(|isn| isn.wrapping_add(1) == ack)
    }

    fn run(&mut self, inbound: Option<&[u8]>, now: clock::Millis, send: &mut dyn FnMut(&[u8])) {
        let isn = &mut self.isn;
        let mut tap = |packet: &[u8]| {
            if isn.is_none() {
                *isn = packet::parse(packet).ok().map(|view| view.seq);
            }
            send(packet);
        };
        let mut device = Device {
            inbound,
            send: &mut tap,
            mtu: self.options.mtu,
        };
        self.iface
            .poll(instant(now), &mut device, &mut self.sockets);
    }

    /// Notes what the last packet or timer did to the socket.
    fn observe(&mut self, before: tcp::State, cause: Cause) {
        let after = self.state();
        let is_open = !is_half_open(after) && after != tcp::State::Closed;
        if is_half_open(before) && is_open {
            self.opened = true;
            self.lapse = None;
        }
        if is_finned(after) {
            self.finned = true;
        }
        if after == tcp::State::TimeWait {
            self.keep_tail();
        }
        let reopened = before == tcp::State::SynReceived && after == tcp::State::Listen;
        if after == tcp::State::Closed || reopened {
            self.end = Some(end(before, cause));
        }
    }

    /// Takes unread bytes out of the socket, which drops them when it leaves TIME-WAIT.
    fn keep_tail(&mut self) {
        let len = self.socket_ref().recv_queue();
        let mut bytes = vec![0; len];
        let len = self.socket_mut().recv_slice(&mut bytes).unwrap_or(0);
        bytes.truncate(len);
        self.tail.append(&mut bytes);
    }

    fn read_tail(&mut self, out: &mut [u8]) -> usize {
        let len = out.len().min(self.tail.len());
        out[..len].copy_from_slice(&self.tail[..len]);
        self.tail.drain(..len);
        len
    }

    fn give_up(&mut self, now: clock::Millis, send: &mut dyn FnMut(&[u8])) {
        if self.is_half_open() {
            self.end = Some(End::Failed(Error::Timeout));
            self.socket_mut().abort();
        } else {
            self.abort(now, send);
        }
    }
}

impl fmt::Debug for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Endpoint")
            .field("flow", &self.flow)
            .field("state", &self.state())
            .field("end", &self.end)
            .finish_non_exhaustive()
    }
}

/// The interface's link for one poll: at most one packet in, any number out.
struct Device<'a> {
    inbound: Option<&'a [u8]>,
    send: &'a mut dyn FnMut(&[u8]),
    mtu: usize,
}

struct Inbound<'a>(&'a [u8]);

struct Outbound<'a>(&'a mut dyn FnMut(&[u8]));

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

fn new_socket(options: &Options) -> tcp::Socket<'static> {
    let receive = tcp::SocketBuffer::new(vec![0; options.receive_buffer]);
    let transmit = tcp::SocketBuffer::new(vec![0; options.transmit_buffer]);
    let mut socket = tcp::Socket::new(receive, transmit);
    socket.set_ack_delay(None);
    socket.set_nagle_enabled(false);
    socket.set_keep_alive(Some(duration(options.keep_alive)));
    socket.set_timeout(Some(duration(options.timeout)));
    socket
}

fn new_iface(
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
            .expect("an interface has room for an address");
    });
    iface
        .routes_mut()
        .add_default_ipv4_route(*local.ip())
        .expect("an interface has room for a route");
    iface
}

/// The packet's FIN without its bytes, if it has one.
fn bare_fin(packet: &[u8]) -> Option<Vec<u8>> {
    let ip = wire::Ipv4Packet::new_checked(packet).ok()?;
    let tcp = wire::TcpPacket::new_checked(ip.payload()).ok()?;
    if !tcp.fin() {
        return None;
    }
    let len = usize::from(ip.header_len()) + usize::from(tcp.header_len());
    let seq = tcp.seq_number() + tcp.payload().len();
    let mut bytes = packet[..len].to_vec();
    let mut ip = wire::Ipv4Packet::new_unchecked(&mut bytes);
    ip.set_total_len(u16::try_from(len).ok()?);
    ip.fill_checksum();
    let (source, target) = (ip.src_addr().into(), ip.dst_addr().into());
    let mut tcp = wire::TcpPacket::new_unchecked(ip.payload_mut());
    tcp.set_seq_number(seq);
    tcp.fill_checksum(&source, &target);
    Some(bytes)
}

/// The ends of a flow as packets from the service to the caller name them.
const fn reverse(flow: packet::Flow) -> packet::Flow {
    packet::Flow {
        caller: flow.service,
        service: flow.caller,
    }
}

const fn is_half_open(state: tcp::State) -> bool {
    matches!(
        state,
        tcp::State::Listen | tcp::State::SynSent | tcp::State::SynReceived
    )
}

/// Whether the peer has ended its bytes.
const fn is_finned(state: tcp::State) -> bool {
    matches!(
        state,
        tcp::State::CloseWait | tcp::State::Closing | tcp::State::LastAck | tcp::State::TimeWait
    )
}

const fn end(before: tcp::State, cause: Cause) -> End {
    match (cause, before) {
        (_, tcp::State::TimeWait) | (Cause::Packet, _) => End::Clean,
        (Cause::Reset, _) => End::Failed(Error::Reset),
        (Cause::Timer, _) => End::Failed(Error::Timeout),
    }
}

const fn address(end: SocketAddrV4) -> wire::IpEndpoint {
    wire::IpEndpoint {
        addr: IpAddress::Ipv4(*end.ip()),
        port: end.port(),
    }
}

fn instant(now: clock::Millis) -> time::Instant {
    time::Instant::from_millis(i64::try_from(now.0).unwrap_or(i64::MAX))
}

fn millis(instant: time::Instant) -> clock::Millis {
    clock::Millis(u64::try_from(instant.total_millis()).unwrap_or_default())
}

const fn duration(span: clock::Millis) -> time::Duration {
    time::Duration::from_millis(span.0)
}
