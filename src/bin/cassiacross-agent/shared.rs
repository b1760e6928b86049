//! State shared by the agent's tasks.

use std::{
    net::SocketAddr,
    panic::RefUnwindSafe,
    sync::{Arc, Mutex},
};

use cassiacross::{
    announce, budget, clock, flow, header, ident, member, mutex, packet, queue, record, seal,
    settings, stream, upstream, views,
};
use gotham::state::StateData;
use prometheus_client::registry::Registry;
use tokio::net::UdpSocket;

use crate::counters;

/// The flow table and the open endpoints, both sorted by flow.
#[derive(Default)]
pub(crate) struct Flows {
    pub(crate) table: flow::Table,
    pub(crate) open: Vec<OpenFlow>,
}

/// A flow whose endpoint is open.
#[derive(Clone)]
pub(crate) struct OpenFlow {
    pub(crate) flow: packet::Flow,
    pub(crate) handle: stream::Handle,
    /// Where replies go: the fabric address that the last packet came from.
    pub(crate) fabric: Arc<Mutex<std::net::SocketAddrV4>>,
}

/// The upstream's last announcement and the relay to it.
#[derive(Default)]
pub(crate) struct UpstreamState {
    pub(crate) announcement: Option<announce::Announcement>,
    /// When the last announcement arrived.
    pub(crate) announced_at: clock::Millis,
    /// Set once both an announcement and the service's record are known.
    pub(crate) relay: Option<Arc<upstream::Upstream>>,
    /// Whether the agent itself is shutting down.
    pub(crate) stopping: bool,
}

/// The shared state behind [`Shared`].
pub(crate) struct Inner {
    pub(crate) settings: settings::Agent,
    pub(crate) clock: clock::Clock,
    pub(crate) sealer: seal::Sealer,
    /// Seed of the fleet's flow hash.
    pub(crate) flow_seed: u64,
    pub(crate) socket: UdpSocket,
    pub(crate) flows: Mutex<Flows>,
    pub(crate) views: Mutex<views::Views>,
    /// The agent's own membership entry.
    pub(crate) member: Mutex<member::Member>,
    pub(crate) upstream: Mutex<UpstreamState>,
    /// HTTP address of a balancer whose view differs from the local one.
    pub(crate) pull_source: Mutex<Option<std::net::SocketAddrV4>>,
    pub(crate) counters: counters::Counters,
    pub(crate) registry: Mutex<Registry>,
}

/// A cheap-to-clone handle to the shared state.
#[derive(Clone)]
pub(crate) struct Shared(pub(crate) Arc<Inner>);

/// Locks poisoned by a panicked thread are recovered by [`lock`].
impl RefUnwindSafe for Shared {}
impl StateData for Shared {}

impl std::ops::Deref for Shared {
    type Target = Inner;

    fn deref(&self) -> &Inner {
        &self.0
    }
}

impl Inner {
    /// Returns the current time of the process's clock.
    pub(crate) fn now(&self) -> clock::Millis {
        self.clock.now()
    }

    /// Returns this agent as a hop, to which other processes forward packets.
    pub(crate) fn hop(&self) -> header::Hop {
        mutex::lock(&self.member).hop()
    }

    /// Returns the agent's identity, as far as decisions on packets that open no flow need it.
    ///
    /// Such decisions do not read the service address and the free capacity, so these stay unset.
    pub(crate) fn identity(&self) -> flow::LocalState {
        let member = mutex::lock(&self.member);
        flow::LocalState {
            hop: member.hop(),
            service: ident::ServiceId::of(&member.service),
            address: None,
            accepts: false,
            room: false,
            convergence: self.convergence_time(),
        }
    }

    /// Returns the agent's full state, for decisions on packets that open a flow.
    pub(crate) fn local_state(&self) -> flow::LocalState {
        let ready = mutex::lock(&self.member).state == member::State::Ready;
        let (address, weight) = self.address_weight();
        let relay = self.relay();
        let accepts = ready && weight > 0.0 && relay.is_some() && !self.is_full();
        flow::LocalState {
            address,
            accepts,
            room: relay.is_some_and(|relay| !self.settings.policy.hunting || relay.accepts_flows()),
            ..self.identity()
        }
    }

    /// Returns whether the agent has reached its limit of open flows.
    ///
    /// The limit bounds the memory that a flood of opening packets can take.
    fn is_full(&self) -> bool {
        const FLOWS_PER_CONNECTION: usize = 2;
        let connections = mutex::lock(&self.upstream)
            .announcement
            .as_ref()
            .map_or(0, |announcement| announcement.connections);
        mutex::lock(&self.flows).open.len() >= connections * FLOWS_PER_CONNECTION
    }

    /// Returns the time after which the tables of all processes are assumed to have converged.
    pub(crate) fn convergence_time(&self) -> clock::Millis {
        const CONVERGENCE_PERIODS: u64 = 10;
        clock::Millis(self.settings.common.period.0 * CONVERGENCE_PERIODS)
    }

    /// Returns the relay to the upstream, if there is one yet.
    pub(crate) fn relay(&self) -> Option<Arc<upstream::Upstream>> {
        mutex::lock(&self.upstream).relay.clone()
    }

    /// Applies an announcement of the upstream.
    pub(crate) fn apply_announcement(&self, announcement: &announce::Announcement) {
        let mut upstream = mutex::lock(&self.upstream);
        upstream.announced_at = self.now();
        let previous = upstream.announcement.replace(announcement.clone());
        drop(upstream);
        if previous.as_ref() != Some(announcement) {
            log::info!(
                service = announcement.service, state:? = announcement.state;
                "upstream announcement changed"
            );
            self.set_service(announcement);
            self.configure_relay(announcement);
        }
        self.set_state(announcement.state);
    }

    /// Sets the state of the agent's own entry, which is always draining during a shutdown.
    ///
    /// A draining entry never changes back, so leaving that state starts a new incarnation.
    pub(crate) fn set_state(&self, state: member::State) {
        let stopping = mutex::lock(&self.upstream).stopping;
        let state = if stopping {
            member::State::Draining
        } else {
            state
        };
        let mut member = mutex::lock(&self.member);
        if member.state == state {
            return;
        }
        if member.state == member::State::Draining {
            member.incarnation = ident::Incarnation::start();
            member.change = 0;
        }
        member.state = state;
        member.change += 1;
        log::info!(state:? = state; "agent state changed");
    }

    /// Creates or updates the relay; does nothing before the service's record is known.
    pub(crate) fn configure_relay(&self, announcement: &announce::Announcement) {
        let Some(service) = mutex::lock(&self.views).service().cloned() else {
            return;
        };
        let mut upstream = mutex::lock(&self.upstream);
        let limits = queue::Limits {
            slots: announcement.slots,
            connections: announcement.connections,
        };
        let relay = if let Some(relay) = &upstream.relay {
            relay.update(announcement.address, limits);
            relay.set_service(service);
            Arc::clone(relay)
        } else {
            let relay = Arc::new(self.new_relay(announcement.address, limits, service));
            relay.register_metrics(&mut mutex::lock(&self.registry));
            Arc::clone(upstream.relay.insert(relay))
        };
        if announcement.state == member::State::Draining || upstream.stopping {
            relay.drain();
        } else {
            relay.resume();
        }
    }

    /// Sets the service of the agent's own entry.
    fn set_service(&self, announcement: &announce::Announcement) {
        let mut member = mutex::lock(&self.member);
        if member.service != announcement.service {
            member.service.clone_from(&announcement.service);
            member.change += 1;
        }
    }

    fn new_relay(
        &self,
        address: SocketAddr,
        limits: queue::Limits,
        service: record::Service,
    ) -> upstream::Upstream {
        upstream::Upstream::new(upstream::Options {
            address,
            limits,
            policy: self.settings.policy.admission,
            service,
            budget: self.new_budget(),
            health: self.settings.policy.health,
            failover: None,
            seed: rand::random(),
            clock: self.clock,
        })
    }

    /// Creates the retry budget, unlimited if the policy switches it off.
    fn new_budget(&self) -> budget::Budget {
        if self.settings.policy.budget {
            budget::Budget::new(self.now())
        } else {
            budget::Budget::unlimited()
        }
    }

    /// Returns the service's address and this agent's configured weight, from the active record.
    fn address_weight(&self) -> (Option<std::net::SocketAddrV4>, f64) {
        let views = mutex::lock(&self.views);
        let name = &self.settings.common.name;
        let weight = views.service().map_or(0.0, |service| service.weight(name));
        (views.address(), weight)
    }
}
