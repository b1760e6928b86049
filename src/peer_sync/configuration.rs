//! Configuration of a node: its activation, and its exchange with other nodes.

use std::net::SocketAddrV4;

use log::{info, warn};
use rand::Rng;

use super::{PeerSync, Scope};
use crate::{
    clock::Millis,
    config_transfer,
    former_services::{self, Knowledge},
    protocol::Message,
    roster, routing,
};

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

    /// Records that the whole fleet starts for the first time, so that no route has had other
    /// services yet.
    pub const fn record_first_start(&mut self) {
        self.history.complete();
    }

    /// Returns whether this node knows the services that the routes had before, or nobody knows
    /// them any more, and it has had the time to learn of their agents.
    #[must_use]
    pub fn knows_services(&self, now: Millis) -> bool {
        let settle_time = Millis(self.roster.period().0 * SETTLE_HALF_PERIODS / 2);
        self.history.knowledge() != Knowledge::Asking && now >= settle_time
    }

    /// Requests the former services of the routes from other nodes, if they are not known.
    pub(super) fn request_former(&mut self, now: Millis) {
        if self.config.is_none() || self.history.knowledge() == Knowledge::Complete {
            return;
        }
        let before = self.history.knowledge();
        let requests = self.history.update(&self.longest_running(), now);
        self.log_history(before, now);
        let requests = requests.into_iter();
        let messages = requests.map(|(to, request)| (to, Message::WantFormer(request)));
        self.outbox.extend(messages);
    }

    /// Returns the live peers, longest-running first.
    fn longest_running(&self) -> Vec<former_services::Peer> {
        let domain = self.roster.me().domain;
        let peers = self.roster.peers().iter();
        let live = peers.filter(|peer| peer.direct && !peer.silent);
        let mut entries: Vec<_> = live.map(|peer| &peer.entry).collect();
        entries.sort_by_key(|entry| entry.incarnation);
        let peers = entries.into_iter().map(|entry| former_services::Peer {
            address: entry.control,
            far: entry.domain != domain,
        });
        peers.collect()
    }

    fn log_history(&self, before: Knowledge, now: Millis) {
        let knowledge = self.history.knowledge();
        if knowledge != before {
            info!(
                knowledge:? = knowledge, after_ms = now.0;
                "state of the former services changed"
            );
        }
    }

    /// Sends a page of the former services of the routes, as far as this node knows them.
    pub(super) fn send_former(&mut self, to: SocketAddrV4, request: former_services::Request) {
        if let Some(config) = &self.config {
            let complete = self.history.knowledge() == Knowledge::Complete;
            let page = config.former_page(request.after, complete);
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
        let before = self.history.knowledge();
        let version = self.config_version();
        let next = self.history.receive(from, page, version, now);
        self.log_history(before, now);
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
