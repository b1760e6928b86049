//! State shared by the balancer's threads and tasks.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError, RwLock,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use cassiacross::{balancer, clock, exchange, forward, mutex, record_table, seal, settings};

use crate::metrics;

/// A cheap-to-clone handle to the shared state.
#[derive(Clone, Debug)]
pub(crate) struct Shared(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    balancer: Mutex<balancer::Balancer>,
    records: Mutex<record_table::Table>,
    routes: RwLock<Arc<forward::Routes>>,
    /// Incremented each time `routes` is replaced.
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
    /// Creates the state of a balancer that is starting.
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

    /// Locks and returns the balancer's tables.
    pub(crate) fn balancer(&self) -> MutexGuard<'_, balancer::Balancer> {
        mutex::lock(&self.0.balancer)
    }

    /// Locks and returns the configuration records.
    pub(crate) fn records(&self) -> MutexGuard<'_, record_table::Table> {
        mutex::lock(&self.0.records)
    }

    /// Applies the records that are newer than those known.
    pub(crate) fn apply_records<'a>(
        &self,
        records: impl IntoIterator<Item = &'a record_table::VersionedRecord>,
    ) {
        let mut table = self.records();
        let mut changed = false;
        for record in records {
            let result = table.apply(&record.name, record.version, &record.document);
            log_result(record, result);
            changed |= result != record_table::ApplyResult::Stale;
        }
        if changed {
            let (services, versions) = (
                exchange::versioned_services(&table),
                exchange::record_versions(&table),
            );
            self.balancer().configure(services, versions);
            self.set_configured();
        }
    }

    /// Returns the current time of the process's clock.
    pub(crate) fn now(&self) -> clock::Millis {
        self.0.clock.now()
    }

    /// Returns the daemon's settings.
    pub(crate) fn settings(&self) -> &settings::Balancer {
        &self.0.settings
    }

    /// Returns the sealer with the fleet key.
    pub(crate) fn sealer(&self) -> &seal::Sealer {
        &self.0.sealer
    }

    /// Returns the daemon's counters.
    pub(crate) fn metrics(&self) -> &metrics::Metrics {
        &self.0.metrics
    }

    /// Publishes routes to the packet thread, if they differ from the published ones.
    pub(crate) fn publish_routes(&self, routes: &Arc<forward::Routes>) {
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

    /// Returns the generation of the published routes, incremented each time that
    /// [`Shared::publish_routes`] replaces them.
    pub(crate) fn routes_generation(&self) -> u64 {
        self.0.generation.load(Ordering::Acquire)
    }

    /// Returns the published routes.
    pub(crate) fn routes(&self) -> Arc<forward::Routes> {
        let routes = self.0.routes.read();
        Arc::clone(&routes.unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether the fabric may send packets to this balancer.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_joined() && self.is_configured() && !self.is_leaving()
    }

    /// Returns whether records have been received, or the platform has listed none.
    pub(crate) fn is_configured(&self) -> bool {
        self.0.configured.load(Ordering::Relaxed)
    }

    /// Marks that records have been received, or that the platform has listed none.
    pub(crate) fn set_configured(&self) {
        self.0.configured.store(true, Ordering::Relaxed);
    }

    /// Returns whether the balancer is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.0.leaving.load(Ordering::Relaxed)
    }

    /// Returns whether the first full sync is done or was given up.
    pub(crate) fn is_joined(&self) -> bool {
        self.0.joined.load(Ordering::Relaxed)
    }

    /// Marks that the first full sync is done or was given up.
    pub(crate) fn set_joined(&self) {
        self.0.joined.store(true, Ordering::Relaxed);
    }

    /// Starts the shutdown: the balancer is no longer ready and announces to its peers that it is
    /// leaving.
    pub(crate) fn leave(&self) {
        self.0.leaving.store(true, Ordering::Relaxed);
        self.balancer().leave();
    }
}

fn log_result(record: &record_table::VersionedRecord, result: record_table::ApplyResult) {
    let (name, version) = (record.name.as_str(), record.version);
    match result {
        record_table::ApplyResult::Activated => {
            log::info!(record = name, version = version; "new version of the record is active");
        }
        record_table::ApplyResult::Rejected => {
            log::warn!(record = name, version = version; "record is invalid; the last valid version stays active");
        }
        record_table::ApplyResult::Stale => {}
    }
}
