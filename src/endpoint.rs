//! User-space TCP endpoint: one end of one flow.
//!
//! Each flow has a smoltcp interface and socket of its own, so that the cost of
//! a packet does not depend on the number of flows of the process. The module
//! performs no I/O and reads no clock: packets and the time are arguments, and
//! outgoing packets are passed to a closure.

mod device;
mod reordering;

use std::{fmt, net::SocketAddrV4, task};

use smoltcp::{
    iface,
    socket::tcp,
    time,
    wire::{self, IpAddress},
};
use thiserror::Error;

use crate::{clock, packet};

/// Reason why a flow cannot be read or written any more.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The peer reset the flow.
    #[error("flow was reset by its peer")]
    Reset,
    /// No packet arrived from the peer for too long.
    #[error("flow timed out")]
    Timeout,
    /// This end reset the flow.
    #[error("flow was reset by this end")]
    Aborted,
    /// This end has already closed the flow.
    #[error("flow is closed for writing")]
    Closed,
}

/// Buffer sizes and timeouts of one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// Size of the receive buffer, in bytes.
    pub receive_buffer: usize,
    /// Size of the transmit buffer, in bytes.
    pub transmit_buffer: usize,
    /// Maximum size of an IP packet, in bytes.
    pub mtu: usize,
    /// Time without packets from the peer after which a keep-alive probe is sent.
    pub keep_alive: clock::Millis,
    /// Time without packets from the peer after which the flow is aborted.
    pub timeout: clock::Millis,
    /// Time limit of the handshake, after which a half-open flow ends without sending a packet.
    pub handshake_timeout: clock::Millis,
    /// Time that the peer has to close the flow after [`Endpoint::release`].
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

/// Result of the delivery of a packet to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The packet belongs to this endpoint and was processed.
    Processed,
    /// The packet does not belong to this endpoint and was ignored.
    ///
    /// An example is the acknowledgement of a SYN-ACK that another endpoint sent in reply
    /// to the same SYN.
    Unmatched,
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Clean,
    Failed(Error),
}

/// Event that changed the state of the socket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    Packet,
    Reset,
    Timer,
}

/// One end of one TCP flow.
pub struct Endpoint {
    flow: packet::Flow,
    /// Source and destination of the packets from the peer, as caller and service.
    inbound: packet::Flow,
    options: Options,
    iface: iface::Interface,
    sockets: iface::SocketSet<'static>,
    socket_handle: iface::SocketHandle,
    /// Initial sequence number of this end, once it was sent.
    isn: Option<u32>,
    /// End of the handshake timeout or of the linger time.
    expires_at: Option<clock::Millis>,
    /// Unread bytes that were taken out of the socket.
    unread: Vec<u8>,
    acks: reordering::AckFilter,
    /// FIN that arrived ahead of data, kept to be delivered again.
    early_fin: Option<Vec<u8>>,
    close_requested: bool,
    was_established: bool,
    fin_received: bool,
    end: Option<End>,
}

impl Endpoint {
    /// Creates the service's end of a flow, which waits for the caller's SYN.
    ///
    /// `seed` determines the initial sequence number.
    ///
    /// # Panics
    ///
    /// If the service's port is 0.
    #[must_use]
    pub fn accept(flow: packet::Flow, options: Options, seed: u64, now: clock::Millis) -> Self {
        let mut endpoint = Self::new(flow, flow, options, seed, now);
        endpoint
            .socket_mut()
            .listen(ip_endpoint(flow.service))
            .expect("a new socket can listen on a port that is not 0");
        endpoint
    }

    /// Creates the caller's end of a flow; the next poll sends the SYN.
    ///
    /// `seed` determines the initial sequence number.
    ///
    /// # Panics
    ///
    /// If one of the ports is 0 or one of the addresses is unspecified.
    #[must_use]
    pub fn connect(flow: packet::Flow, options: Options, seed: u64, now: clock::Millis) -> Self {
        let mut endpoint = Self::new(flow, reversed(flow), options, seed, now);
        let socket = endpoint
            .sockets
            .get_mut::<tcp::Socket<'_>>(endpoint.socket_handle);
        socket
            .connect(
                endpoint.iface.context(),
                ip_endpoint(flow.service),
                ip_endpoint(flow.caller),
            )
            .expect("a new socket can connect with specified addresses and ports");
        endpoint
    }

    /// Returns the addresses of both ends of the flow.
    #[must_use]
    pub const fn flow(&self) -> packet::Flow {
        self.flow
    }

    /// Processes one packet from the peer and sends the resulting packets.
    pub fn deliver(
        &mut self,
        packet: &[u8],
        now: clock::Millis,
        send: &mut dyn FnMut(&[u8]),
    ) -> Delivery {
        let Ok(view) = packet::parse(packet) else {
            return Delivery::Unmatched;
        };
        if !self.matches_flow(&view) {
            return Delivery::Unmatched;
        }
        let Some(packet) = self.acks.update(packet) else {
            return Delivery::Processed;
        };
        let packet = packet.as_ref();
        let before = self.state();
        self.poll_interface(Some(packet), now, send);
        let cause = if view.reset {
            Cause::Reset
        } else {
            Cause::Packet
        };
        self.update_state(before, cause);
        self.replay_fin(packet, now, send);
        if self.is_close_due() {
            self.poll(now, send);
        }
        Delivery::Processed
    }

    /// Runs expired timers and sends the packets that are due.
    pub fn poll(&mut self, now: clock::Millis, send: &mut dyn FnMut(&[u8])) {
        if self.is_finished() {
            return;
        }
        if self.expires_at.is_some_and(|expires_at| expires_at <= now) {
            self.expire(now, send);
            return;
        }
        if self.is_close_due() {
            self.socket_mut().close();
        }
        let before = self.state();
        self.poll_interface(None, now, send);
        self.update_state(before, Cause::Timer);
    }

    /// Returns the time of the next poll, unless a packet arrives before; `None` if no timer
    /// is set.
    #[must_use]
    pub fn poll_at(&mut self, now: clock::Millis) -> Option<clock::Millis> {
        if self.is_finished() {
            return None;
        }
        let due = self.iface.poll_at(instant(now), &self.sockets);
        due.map(millis).into_iter().chain(self.expires_at).min()
    }

    /// Reads received bytes; 0 means that the peer has closed its direction of the flow.
    ///
    /// Poll the endpoint afterwards so that it can send a window update.
    pub fn read(&mut self, out: &mut [u8]) -> task::Poll<Result<usize, Error>> {
        if !self.unread.is_empty() {
            return task::Poll::Ready(Ok(self.read_unread(out)));
        }
        if self.socket().can_recv() {
            let len = self.socket_mut().recv_slice(out);
            return task::Poll::Ready(len.map_err(|_state| Error::Reset));
        }
        match self.end {
            _ if self.fin_received => task::Poll::Ready(Ok(0)),
            Some(End::Clean) => task::Poll::Ready(Ok(0)),
            Some(End::Failed(error)) => task::Poll::Ready(Err(error)),
            None => task::Poll::Pending,
        }
    }

    /// Adds bytes to the transmit buffer and returns their number.
    ///
    /// Poll the endpoint afterwards so that they are sent.
    pub fn write(&mut self, bytes: &[u8]) -> task::Poll<Result<usize, Error>> {
        match self.end {
            Some(End::Failed(error)) => return task::Poll::Ready(Err(error)),
            Some(End::Clean) => return task::Poll::Ready(Err(Error::Closed)),
            None if self.close_requested => return task::Poll::Ready(Err(Error::Closed)),
            None => {}
        }
        if !self.socket().can_send() {
            return task::Poll::Pending;
        }
        let len = self.socket_mut().send_slice(bytes);
        task::Poll::Ready(len.map_err(|_state| Error::Closed))
    }

    /// Registers `waker` to be woken when the result of [`Self::read`] may have changed.
    pub fn register_reader(&mut self, waker: &task::Waker) {
        self.socket_mut().register_recv_waker(waker);
    }

    /// Registers `waker` to be woken when the result of [`Self::write`] may have changed.
    pub fn register_writer(&mut self, waker: &task::Waker) {
        self.socket_mut().register_send_waker(waker);
    }

    /// Closes this direction of the flow; a FIN follows the bytes in the transmit buffer.
    ///
    /// Poll the endpoint afterwards so that the FIN is sent.
    pub const fn close(&mut self) {
        self.close_requested = true;
    }

    /// Resets the flow and sends the RST.
    pub fn abort(&mut self, now: clock::Millis, send: &mut dyn FnMut(&[u8])) {
        if self.is_finished() {
            return;
        }
        self.end = Some(End::Failed(Error::Aborted));
        self.socket_mut().abort();
        self.poll_interface(None, now, send);
    }

    /// Aborts the flow at this end without sending a packet.
    pub fn discard(&mut self) {
        if self.is_finished() {
            return;
        }
        self.end = Some(End::Failed(Error::Aborted));
        self.socket_mut().abort();
    }

    /// Releases the flow when it is no longer read or written.
    ///
    /// If this end was closed and all received bytes were read, the peer has the linger time
    /// to close its direction; otherwise the flow is reset at once.
    pub fn release(&mut self, now: clock::Millis, send: &mut dyn FnMut(&[u8])) {
        let has_unread = !self.unread.is_empty() || self.socket().can_recv();
        if !self.close_requested || has_unread {
            self.abort(now, send);
        } else if !self.is_finished() && self.expires_at.is_none() {
            self.expires_at = Some(now + self.options.linger);
        }
    }

    /// Returns the initial sequence number of this end; `None` before its first packet.
    #[must_use]
    pub const fn local_isn(&self) -> Option<u32> {
        self.isn
    }

    /// Returns whether the handshake is not complete.
    #[must_use]
    pub fn is_half_open(&self) -> bool {
        self.end.is_none() && is_half_open(self.state())
    }

    /// Returns whether the handshake is complete and the flow has not ended.
    #[must_use]
    pub fn is_established(&self) -> bool {
        self.end.is_none() && !is_half_open(self.state())
    }

    /// Returns whether the handshake was completed, even if the flow has ended since.
    #[must_use]
    pub const fn was_established(&self) -> bool {
        self.was_established
    }

    /// Returns whether both ends have closed and this one is in the TIME-WAIT state.
    #[must_use]
    pub fn is_time_wait(&self) -> bool {
        self.end.is_none() && self.state() == tcp::State::TimeWait
    }

    /// Returns whether the flow has ended and no more packets will be sent.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.end.is_some()
    }

    /// Returns the error that ended the flow, if any.
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
        let socket_handle = sockets.add(device::new_socket(&options));
        Self {
            flow,
            inbound,
            options,
            iface: device::new_iface(inbound.service, &options, seed, now),
            sockets,
            socket_handle,
            isn: None,
            expires_at: Some(now + options.handshake_timeout),
            unread: Vec::new(),
            acks: reordering::AckFilter::default(),
            early_fin: None,
            close_requested: false,
            was_established: false,
            fin_received: false,
            end: None,
        }
    }

    fn socket(&self) -> &tcp::Socket<'static> {
        self.sockets.get(self.socket_handle)
    }

    fn socket_mut(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.socket_handle)
    }

    fn state(&self) -> tcp::State {
        self.socket().state()
    }

    /// Returns whether a packet may be passed to the socket.
    ///
    /// The socket would answer a packet of an unknown connection with a reset.
    fn matches_flow(&self, view: &packet::View) -> bool {
        if view.flow != self.inbound || self.is_finished() {
            return false;
        }
        match self.state() {
            tcp::State::Listen => view.opening && !view.reset,
            tcp::State::SynReceived => view.ack.is_none_or(|ack| self.acknowledges_syn(ack)),
            _ => true,
        }
    }

    /// Delivers a FIN again that arrived ahead of data.
    ///
    /// The socket ignores a FIN ahead of missing data, and the sender would repeat it only
    /// after a retransmission timeout. Reordering is frequent because the network sprays the
    /// packets of a flow over several balancers.
    fn replay_fin(&mut self, packet: &[u8], now: clock::Millis, send: &mut dyn FnMut(&[u8])) {
        if self.fin_received || self.is_finished() {
            self.early_fin = None;
            return;
        }
        if let Some(fin) = reordering::bare_fin(packet) {
            self.early_fin = Some(fin);
        } else if let Some(fin) = self.early_fin.take() {
            let before = self.state();
            let updated = self.acks.update(&fin);
            self.poll_interface(updated.as_deref(), now, send);
            self.update_state(before, Cause::Packet);
            self.early_fin = (!self.fin_received).then_some(fin);
        }
    }

    /// Returns whether the flow was closed at this end and its socket can be closed now.
    ///
    /// The socket ignores window updates after it was closed behind the peer (LAST-ACK), so
    /// it stays open until the peer's window has space for all bytes in the transmit buffer.
    fn is_close_due(&self) -> bool {
        let is_open = matches!(
            self.state(),
            tcp::State::Established | tcp::State::CloseWait
        );
        let window = self.acks.min_window();
        let fits = window.is_none_or(|window| self.socket().send_queue() <= window);
        self.close_requested && is_open && fits && !self.is_finished()
    }

    /// Returns whether an acknowledgement number acknowledges the SYN of this end.
    fn acknowledges_syn(&self, ack: u32) -> bool {
        self.isn.is_some_and(|isn| isn.wrapping_add(1) == ack)
    }

    /// Polls the interface with at most one received packet and records the sequence numbers
    /// of the packets that are sent.
    fn poll_interface(
        &mut self,
        inbound: Option<&[u8]>,
        now: clock::Millis,
        send: &mut dyn FnMut(&[u8]),
    ) {
        let (isn, acks) = (&mut self.isn, &mut self.acks);
        let mut record = |packet: &[u8]| {
            if isn.is_none() {
                *isn = packet::parse(packet).ok().map(|view| view.seq);
            }
            acks.record_sent(packet);
            send(packet);
        };
        let mut device = device::Device {
            inbound,
            send: &mut record,
            mtu: self.options.mtu,
        };
        self.iface
            .poll(instant(now), &mut device, &mut self.sockets);
    }

    /// Updates the state of the flow after the socket processed a packet or timer.
    fn update_state(&mut self, before: tcp::State, cause: Cause) {
        let after = self.state();
        let is_open = !is_half_open(after) && after != tcp::State::Closed;
        if is_half_open(before) && is_open {
            self.was_established = true;
            self.expires_at = None;
        }
        if has_received_fin(after) {
            self.fin_received = true;
        }
        if after == tcp::State::TimeWait {
            self.save_unread();
        }
        let is_reopened = before == tcp::State::SynReceived && after == tcp::State::Listen;
        if after == tcp::State::Closed || is_reopened {
            self.end = Some(end_reason(before, cause));
        }
    }

    /// Takes unread bytes out of the socket, which discards them when it leaves TIME-WAIT.
    fn save_unread(&mut self) {
        let len = self.socket().recv_queue();
        let mut bytes = vec![0; len];
        let len = self.socket_mut().recv_slice(&mut bytes).unwrap_or(0);
        bytes.truncate(len);
        self.unread.append(&mut bytes);
    }

    fn read_unread(&mut self, out: &mut [u8]) -> usize {
        let len = out.len().min(self.unread.len());
        out[..len].copy_from_slice(&self.unread[..len]);
        self.unread.drain(..len);
        len
    }

    /// Ends the flow after the handshake timeout or the linger time.
    fn expire(&mut self, now: clock::Millis, send: &mut dyn FnMut(&[u8])) {
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

/// Swaps caller and service: packets from the service parse as a flow in this order.
const fn reversed(flow: packet::Flow) -> packet::Flow {
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

/// Returns whether the peer has closed its direction of the flow.
const fn has_received_fin(state: tcp::State) -> bool {
    matches!(
        state,
        tcp::State::CloseWait | tcp::State::Closing | tcp::State::LastAck | tcp::State::TimeWait
    )
}

/// Returns how a flow ended whose socket was in the state `before`.
const fn end_reason(before: tcp::State, cause: Cause) -> End {
    match (cause, before) {
        (_, tcp::State::TimeWait) | (Cause::Packet, _) => End::Clean,
        (Cause::Reset, _) => End::Failed(Error::Reset),
        (Cause::Timer, _) => End::Failed(Error::Timeout),
    }
}

const fn ip_endpoint(end: SocketAddrV4) -> wire::IpEndpoint {
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
