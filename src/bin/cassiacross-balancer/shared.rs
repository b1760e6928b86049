//! What the threads and tasks of the daemon share.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError, RwLock,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use cassiacross::{balancer, clock, exchange, forward, record_table, seal, settings};

use crate::metrics;

/// A handle on the daemon's state.
#[derive(Clone, Debug)]
pub(crate) struct Shared(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    balancer: Mutex<balancer::Balancer>,
    records: Mutex<record_table::Table>,
    routes: RwLock<Arc<forward::Routes>>,
    generation: AtomicU64,
    joined: AtomicBool,
    configured: AtomicBool,
    leaving: AtomicBool,
    clock: clock::Clock,
    settings: settings::Balancer,
    sealer: seal::Sealer,
    metrics: metrics::Metrics,
}

impl Shared {
    /// Shares a balancer that starts now.
    pub(crate) fn new(
        balancer: balancer::Balancer,
        clock: clock::Clock,
        settings: settings::Balancer,
    ) -> Self {
        Self(Arc::new(Inner {
            balancer: Mutex::new(balancer),
            records: Mutex::default(),
            routes: RwLock::default(),
            generation: AtomicU64::new(0),
            joined: AtomicBool::new(false),
            configured: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            clock,
            sealer: seal::Sealer::new(&settings.common.fleet_key),
            settings,
            metrics: metrics::Metrics::new(),
        }))
    }

    /// The tables, locked.
    pub(crate) fn balancer(&self) -> MutexGuard<'_, balancer::Balancer> {
        self.0
            .balancer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The records, locked.
    pub(crate) fn records(&self) -> MutexGuard<'_, record_table::Table> {
        self.0
            .records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts records in force that are newer than those known.
    pub(crate) fn apply<'a>(
        &self,
        documents: impl IntoIterator<Item = &'a record_table::VersionedRecord>,
    ) {
        let mut records = self.records();
        let mut changed = false;
        for document in documents {
            let effect = records.apply(&document.name, document.version, &document.document);
            log_effect(document, effect);
            changed |= effect != record_table::ApplyResult::Stale;
        }
        if changed {
            let (services, versions) = (
                exchange::versioned_services(&records),
                exchange::record_versions(&records),
            );
            self.balancer().configure(services, versions);
            self.set_configured();
        }
    }

    /// The time.
    pub(crate) fn now(&self) -> clock::Millis {
        self.0.clock.now()
    }

    /// The daemon's settings.
    pub(crate) fn settings(&self) -> &settings::Balancer {
        &self.0.settings
    }

    /// The fleet's sealer.
    pub(crate) fn sealer(&self) -> &seal::Sealer {
        &self.0.sealer
    }

    /// The daemon's counters.
    pub(crate) fn metrics(&self) -> &metrics::Metrics {
        &self.0.metrics
    }

    /// Lets the packet thread see new routes.
    pub(crate) fn publish(&self, routes: &Arc<forward::Routes>) {
        let mut current = self
            .0
            .routes
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&current, routes) {
            *current = Arc::clone(routes);
            self.0.generation.fetch_add(1, Ordering::Release);
        }
    }

    /// Grows with each [`Shared::publish`] of other routes.
    pub(crate) fn generation(&self) -> u64 {
        self.0.generation.load(Ordering::Acquire)
    }

    /// The routes as published.
    pub(crate) fn routes(&self) -> Arc<forward::Routes> {
        let routes = self.0.routes.read();
        Arc::clone(&routes.unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether the fabric may send packets.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_joined() && self.is_configured() && !self.is_leaving()
    }

    /// Whether records are known, or known to be none.
    pub(crate) fn is_configured(&self) -> bool {
        self.0.configured.load(Ordering::Relaxed)
    }

    /// States that records are known, or known to be none.
    pub(crate) fn set_configured(&self) {
        self.0.configured.store(true, Ordering::Relaxed);
    }

    /// Whether the stop has started.
    pub(crate) fn is_leaving(&self) -> bool {
        self.0.leaving.load(Ordering::Relaxed)
    }

    /// Whether the first full sync is over.
    pub(crate) fn is_joined(&self) -> bool {
        self.0.joined.load(Ordering::Relaxed)
    }

    /// States that the first full sync is over.
    pub(crate) fn set_joined(&self) {
        self.0.joined.store(true, Ordering::Relaxed);
    }

    /// Starts the stop: not ready any more, and peers are told.
    pub(crate) fn leave(&self) {
        self.0.leaving.store(true, Ordering::Relaxed);
        self.balancer().leave();
    }
}

fn log_effect(document: &record_table::VersionedRecord, effect: record_table::ApplyResult) {
    let (name, version) = (document.name.as_str(), document.version);
    match effect {
        record_table::ApplyResult::Activated => {
            log::info!(record = name, version = version; "record is in force");
        }
        record_table::ApplyResult::Rejected => {
            log::warn!(record = name, version = version; "record cannot be read, the last good one stays");
        }
        record_table::ApplyResult::Stale => {}
    }
}
