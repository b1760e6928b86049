//! Configuration of a node: its activation, and its exchange with other nodes.

use std::net::SocketAddrV4;

use log::{info, warn};
use rand::Rng;

use super::{PeerSync, Scope};
use crate::{clock::Millis, config_transfer, former_services, protocol::Message, roster, routing};

/// Half heartbeat periods after the start of a node within which it learns of all others.
const SETTLE_HALF_PERIODS: u64 = 5;

impl PeerSync {
    /// Activates a configuration if its version is newer. Returns false if it is not.
    ///
    /// Peers of the own failure domain learn of the version from the heartbeats, which are
    /// sent at once, others from the next digests.
    pub fn apply_config(&mut self, config: routing::Config) -> bool {
        let active = self.config_version();
        if config.version < active {
            info!(version = config.version, active = active; "older configuration ignored");
        }
        if config.version <= active {
            return false;
        }
        let config = config.inherit(self.config.as_ref());
        info!(version = config.version, routes = config.routes.len(); "configuration activated");
        self.newest_version = self.newest_version.max(config.version);
        self.config = Some(config);
        self.encode_config();
        self.download = config_transfer::Download::default();
        self.behind_since = None;
        self.send_heartbeats(Scope::Domain);
        true
    }

    /// Returns whether this node knows the services that the routes had before, and has had
    /// the time to learn of their agents.
    #[must_use]
    pub fn knows_services(&self, now: Millis) -> bool {
        let settle_time = Millis(self.roster.period().0 * SETTLE_HALF_PERIODS / 2);
        self.history.is_settled(now) && now >= settle_time
    }

    /// Requests the former services of the routes from another node, if they are not known.
    pub(super) fn request_former(&mut self, now: Millis) {
        if self.config.is_none() {
            return;
        }
        self.history.start(now);
        if let Some(request) = self.history.request(now)
            && let Some(source) = self.choose_source(self.config_version())
        {
            self.outbox.push((source, Message::WantFormer(request)));
        }
    }

    /// Sends a page of the former services of the routes, if this node knows them.
    pub(super) fn send_former(
        &mut self,
        to: SocketAddrV4,
        request: former_services::Request,
        now: Millis,
    ) {
        if let Some(config) = self
            .config
            .as_ref()
            .filter(|_| self.history.is_settled(now))
        {
            let page = config.former_page(request.after);
            self.outbox.push((to, Message::Former(page)));
        }
    }

    /// Adds the former services of a page to the configuration, and requests the next page.
    pub(super) fn receive_former(
        &mut self,
        from: SocketAddrV4,
        page: &former_services::Page,
        now: Millis,
    ) {
        let next = self.history.receive(page, now);
        if let Some(config) = &mut self.config
            && config.add_former(&page.routes)
        {
            self.encode_config();
        }
        if let Some(request) = next {
            self.outbox.push((from, Message::WantFormer(request)));
        }
    }

    /// Encodes the active configuration for other nodes.
    fn encode_config(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        let encoded = rmp_serde::to_vec(config).unwrap_or_else(|error| {
            warn!(error:% = error; "cannot encode configuration; peers do not get it from here");
            Vec::new()
        });
        self.encoded_config = config_transfer::Encoded::new(encoded);
        if self.encoded_config.is_too_large() {
            warn!(version = config.version; "configuration is too large for peers; they read it from the platform");
        }
    }

    /// Requests missing pages of the newest version from a node that has it.
    pub(super) fn request_pages(&mut self, now: Millis) {
        if let Some(source) = self.choose_source(self.newest_version) {
            let request = self.download.request(source, self.newest_version, now);
            self.outbox.push((source, Message::WantPages(request)));
        }
    }

    /// Chooses a random live node that has this version or a later one: an agent in the same
    /// failure domain if there is one, since a balancer's link carries the packets of many
    /// upstreams. Any node is chosen after a request without an answer.
    fn choose_source(&mut self, version: u64) -> Option<SocketAddrV4> {
        let domain = self.roster.me().domain;
        let rank = |entry: &roster::Entry| (entry.domain != domain, entry.upstream.is_none());
        let mut sources: Vec<_> = self
            .roster
            .peers()
            .iter()
            .filter(|peer| !peer.silent && peer.direct && peer.config >= version)
            .map(|peer| &peer.entry)
            .collect();
        if !self.download.is_stalled() {
            let best = sources.iter().map(|entry| rank(entry)).min();
            sources.retain(|entry| Some(rank(entry)) == best);
        }
        let at = self.rng.random_range(0..sources.len().max(1));
        sources.get(at).map(|entry| entry.control)
    }

    /// Sends the requested pages, if this node has the version or a later one.
    pub(super) fn send_pages(&mut self, to: SocketAddrV4, request: &config_transfer::Request) {
        let pages = self.encoded_config.answer(request, self.config_version());
        let messages = pages.into_iter().map(Message::ConfigPage);
        self.outbox.extend(messages.map(|message| (to, message)));
    }

    /// Stores a page of a newer configuration, and requests the next ones from its sender
    /// or activates the configuration once it is complete.
    pub(super) fn receive_page(
        &mut self,
        from: SocketAddrV4,
        page: config_transfer::Page,
        now: Millis,
    ) {
        let version = page.version;
        if version <= self.config_version() {
            return;
        }
        match self.download.receive(from, page, now) {
            config_transfer::Progress::Waiting => {}
            config_transfer::Progress::Next => {
                let request = self.download.request(from, version, now);
                self.outbox.push((from, Message::WantPages(request)));
            }
            config_transfer::Progress::Complete(encoded) => self.activate(version, &encoded),
        }
    }

    /// Decodes and activates a configuration received from peers.
    fn activate(&mut self, version: u64, encoded: &[u8]) {
        self.download = config_transfer::Download::default();
        match rmp_serde::from_slice(encoded) {
            Ok(config) => {
                self.apply_config(config);
            }
            Err(error) => {
                warn!(
                    version = version,
                    error:% = error;
                    "cannot decode configuration received from peers; discarded"
                );
            }
        }
    }
}
