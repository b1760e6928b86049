//! What the agent's tasks share.

use std::{
    net::SocketAddr,
    panic::RefUnwindSafe,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cassiacross::{
    announce, budget, clock, flow, header, ident, member, packet, queue, record, relay, seal,
    settings, stream, views,
};
use gotham::state::StateData;
use prometheus_client::registry::Registry;
use tokio::net::UdpSocket;

use crate::counters;

/// Flows with their endpoints; both tables are sorted by flow.
#[derive(Default)]
pub(crate) struct Flows {
    pub(crate) table: flow::Table,
    pub(crate) open: Vec<OpenFlow>,
}

/// An open endpoint.
#[derive(Clone)]
pub(crate) struct OpenFlow {
    pub(crate) flow: packet::Flow,
    pub(crate) handle: stream::Handle,
    /// Where answers go: the fabric's address of the last packet.
    pub(crate) fabric: Arc<Mutex<std::net::SocketAddrV4>>,
}

/// The upstream as it was last announced.
#[derive(Default)]
pub(crate) struct UpstreamState {
    pub(crate) announcement: Option<announce::Announcement>,
    pub(crate) announced_at: clock::Millis,
    pub(crate) relay: Option<Arc<relay::Upstream>>,
    pub(crate) stopping: bool,
}

pub(crate) struct Inner {
    pub(crate) settings: settings::Agent,
    pub(crate) clock: clock::Clock,
    pub(crate) sealer: seal::Sealer,
    pub(crate) flow_seed: u64,
    pub(crate) socket: UdpSocket,
    pub(crate) flows: Mutex<Flows>,
    pub(crate) views: Mutex<views::Views>,
    pub(crate) member: Mutex<member::Member>,
    pub(crate) upstream: Mutex<UpstreamState>,
    /// A balancer whose view differs from the one held here.
    pub(crate) pull_source: Mutex<Option<std::net::SocketAddrV4>>,
    pub(crate) counters: counters::Counters,
    pub(crate) registry: Mutex<Registry>,
}

/// Handle of the shared state; cheap to clone.
#[derive(Clone)]
pub(crate) struct Shared(pub(crate) Arc<Inner>);

impl RefUnwindSafe for Shared {}
impl StateData for Shared {}

impl std::ops::Deref for Shared {
    type Target = Inner;

    fn deref(&self) -> &Inner {
        &self.0
    }
}

impl Inner {
    pub(crate) fn now(&self) -> clock::Millis {
        self.clock.now()
    }

    /// The agent as others address it.
    pub(crate) fn hop(&self) -> header::Hop {
        lock(&self.member).hop()
    }

    /// What the agent is, for a decision on a packet that opens no flow.
    pub(crate) fn identity(&self) -> flow::LocalState {
        let me = lock(&self.member);
        flow::LocalState {
            hop: me.hop(),
            service: ident::ServiceId::of(&me.service),
            address: None,
            accepts: false,
            room: false,
            convergence: self.convergence_time(),
        }
    }

    /// What the agent is at this moment, for a decision on an opening packet.
    pub(crate) fn local_state(&self) -> flow::LocalState {
        let ready = lock(&self.member).state == member::State::Ready;
        let (address, weight) = self.in_force();
        let relay = self.relay();
        let accepts = ready && weight > 0.0 && relay.is_some() && !self.is_full();
        flow::LocalState {
            address,
            accepts,
            room: relay.is_some_and(|relay| !self.settings.policy.hunting || relay.accepts_flows()),
            ..self.identity()
        }
    }

    /// Whether the agent holds as many flows as it may, so that floods of opening
    /// packets take bounded memory.
    fn is_full(&self) -> bool {
        const FLOWS_PER_CONNECTION: usize = 2;
        let connections = lock(&self.upstream)
            .announcement
            .as_ref()
            .map_or(0, |announcement| announcement.connections);
        lock(&self.flows).open.len() >= connections * FLOWS_PER_CONNECTION
    }

    /// Time that the tables of all processes take to agree.
    pub(crate) fn convergence_time(&self) -> clock::Millis {
        const PERIODS: u64 = 10;
        clock::Millis(self.settings.common.period.0 * PERIODS)
    }

    pub(crate) fn relay(&self) -> Option<Arc<relay::Upstream>> {
        lock(&self.upstream).relay.clone()
    }

    /// Takes an announcement of the upstream.
    pub(crate) fn apply_announcement(&self, announcement: &announce::Announcement) {
        let mut local = lock(&self.upstream);
        local.announced_at = self.now();
        let known = local.announcement.replace(announcement.clone());
        drop(local);
        if known.as_ref() != Some(announcement) {
            log::info!(
                service = announcement.service, state:? = announcement.state;
                "upstream announces itself"
            );
            self.follow(announcement);
            self.configure_relay(announcement);
        }
        self.set_state(announcement.state);
    }

    /// Puts the upstream's state into the agent's own entry.
    ///
    /// Ready after draining is a new incarnation, since draining never goes back.
    pub(crate) fn set_state(&self, state: member::State) {
        let stopping = lock(&self.upstream).stopping;
        let state = if stopping {
            member::State::Draining
        } else {
            state
        };
        let mut me = lock(&self.member);
        if me.state == state {
            return;
        }
        if me.state == member::State::Draining {
            me.incarnation = ident::Incarnation::start();
            me.change = 0;
        }
        me.state = state;
        me.change += 1;
        log::info!(state:? = state; "agent changes its state");
    }

    /// Makes or updates the relay once upstream and record are known.
    pub(crate) fn configure_relay(&self, announcement: &announce::Announcement) {
        let Some(service) = lock(&self.views).service().cloned() else {
            return;
        };
        let mut local = lock(&self.upstream);
        let limits = queue::Limits {
            slots: announcement.slots,
            connections: announcement.connections,
        };
        let relay = if let Some(relay) = &local.relay {
            relay.update(announcement.address, limits);
            relay.set_service(service);
            Arc::clone(relay)
        } else {
            let relay = Arc::new(self.new_relay(announcement.address, limits, service));
            relay.register_metrics(&mut lock(&self.registry));
            Arc::clone(local.relay.insert(relay))
        };
        if announcement.state == member::State::Draining || local.stopping {
            relay.drain();
        } else {
            relay.resume();
        }
    }

    fn follow(&self, announcement: &announce::Announcement) {
        let mut me = lock(&self.member);
        if me.service != announcement.service {
            me.service.clone_from(&announcement.service);
            me.change += 1;
        }
    }

    fn new_relay(
        &self,
        address: SocketAddr,
        limits: queue::Limits,
        service: record::Service,
    ) -> relay::Upstream {
        relay::Upstream::new(relay::Options {
            address,
            limits,
            policy: self.settings.policy.admission,
            service,
            budget: self.budget(),
            health: self.settings.policy.health,
            failover: None,
            seed: rand::random(),
            clock: self.clock,
        })
    }

    fn budget(&self) -> budget::Budget {
        if self.settings.policy.budget {
            budget::Budget::new(self.now())
        } else {
            budget::Budget::unlimited()
        }
    }

    fn in_force(&self) -> (Option<std::net::SocketAddrV4>, f64) {
        let views = lock(&self.views);
        let name = &self.settings.common.name;
        let weight = views.service().map_or(0.0, |service| service.weight(name));
        (views.address(), weight)
    }
}

/// Locks a mutex whose data stays whole across a panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
