//! Definitions of the simulated deployments: services, upstreams and request workloads.

use cassiacross::clock;
use reqwest::Method;
use serde_json::Value;

use crate::{history::Safety, load, request};

/// Maximum number of connections of an upstream.
const CONNECTIONS: u32 = 2_000;
/// Speed factor of the slowest upstream of a service.
const SLOWEST: f64 = 1.0;
/// Speed factor of the fastest upstream of a service.
const FASTEST: f64 = 4.0;

/// Composition of a fleet and the workload of its callers.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name used in reports.
    pub name: &'static str,
    /// Failure domains, assigned to the processes round-robin.
    pub domains: Vec<&'static str>,
    /// Number of balancers.
    pub balancers: usize,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Baseline workload, well below half of the capacity.
    pub mix: Vec<load::Workload>,
}

/// A service and its upstreams.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: &'static str,
    /// Service record that the operator applies.
    pub record: Value,
    /// Maximum number of concurrently executing requests per upstream.
    pub slots: u32,
    /// Maximum number of connections per upstream.
    pub connections: u32,
    /// Speed factor of each upstream; one entry per upstream.
    pub speeds: Vec<f64>,
}

impl Service {
    /// Returns the service address from the record, or an empty string if it has none.
    #[must_use]
    pub fn address(&self) -> &str {
        self.record["address"].as_str().unwrap_or_default()
    }

    /// Returns the capacity of the service for `kind`, in requests per second.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "service times are a few milliseconds, far below the precision limit of f64"
    )]
    pub fn capacity(&self, kind: &request::Kind) -> f64 {
        let speed: f64 = self.speeds.iter().sum();
        f64::from(self.slots) * speed * 1_000.0 / kind.work.0 as f64
    }
}

impl Deployment {
    /// Returns the service with the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Returns the co-op deployment: tray ledger and sheet intake in three failure domains.
#[must_use]
pub fn coop() -> Deployment {
    Deployment {
        name: "co-op",
        domains: vec!["valley-a", "valley-b", "valley-c"],
        balancers: 3,
        services: vec![
            service("intake", service_record("intake"), 4, even_speeds(3)),
            service("ledger", service_record("ledger"), 4, even_speeds(7)),
        ],
        mix: vec![
            open(pickup(), 80.0),
            open(stock_read(), 40.0),
            open(sheet(), 20.0),
            feeds(stock_feed(), 28),
        ],
    }
}

/// Returns the Terrárium deployment: reminders with readings, and photograph intake, in four
/// failure domains.
#[must_use]
pub fn terrarium() -> Deployment {
    Deployment {
        name: "terrarium",
        domains: vec!["hungary-a", "hungary-b", "hungary-c", "hungary-d"],
        balancers: 4,
        services: vec![
            service(
                "photographs",
                service_record("photographs"),
                7,
                even_speeds(4),
            ),
            service("reminders", service_record("reminders"), 7, even_speeds(7)),
        ],
        mix: vec![
            open(reading(), 80.0),
            open(schedule_read(), 40.0),
            open(photograph(), 20.0),
            feeds(reminder_feed(), 49),
        ],
    }
}

/// Returns a reduced co-op deployment: the fewest processes that still leave a choice of balancer
/// and upstream.
#[must_use]
pub fn small() -> Deployment {
    Deployment {
        name: "small",
        domains: vec!["valley-a", "valley-b", "valley-c"],
        balancers: 2,
        services: vec![
            service("intake", service_record("intake"), 4, even_speeds(2)),
            service("ledger", service_record("ledger"), 4, even_speeds(3)),
        ],
        mix: vec![
            open(pickup(), 20.0),
            open(stock_read(), 10.0),
            open(sheet(), 5.0),
            feeds(stock_feed(), 8),
        ],
    }
}

/// Returns the pickup request: a driver reports a pickup (short, urgent, not idempotent).
#[must_use]
pub fn pickup() -> request::Kind {
    request::Kind {
        name: "pickup",
        service: "ledger",
        method: Method::POST,
        path: "/pickups",
        body_len: 200,
        answer_len: None,
        work: clock::Millis(100),
        deadline: Some(clock::Millis(2_000)),
        safety: Safety::Once,
    }
}

/// Returns the sheet request: a clerk uploads a scanned return sheet (bulk, not idempotent).
#[must_use]
pub fn sheet() -> request::Kind {
    request::Kind {
        name: "sheet",
        service: "intake",
        method: Method::POST,
        path: "/sheets",
        body_len: 20_000,
        answer_len: None,
        work: clock::Millis(200),
        deadline: Some(clock::Millis(10_000)),
        safety: Safety::Once,
    }
}

/// Returns the stock request: a farm reads its stock (idempotent).
#[must_use]
pub fn stock_read() -> request::Kind {
    request::Kind {
        name: "stock",
        service: "ledger",
        method: Method::GET,
        path: "/stock",
        body_len: 0,
        answer_len: None,
        work: clock::Millis(40),
        deadline: Some(clock::Millis(5_000)),
        safety: Safety::Idempotent,
    }
}

/// Returns the stock feed: a long-lived streaming response with the stock of a farm.
#[must_use]
pub fn stock_feed() -> request::Kind {
    request::Kind {
        name: "stock feed",
        service: "ledger",
        path: "/feed/stock",
        ..feed()
    }
}

/// Returns the reading request: a hub reports a lamp reading.
#[must_use]
pub fn reading() -> request::Kind {
    request::Kind {
        name: "reading",
        service: "reminders",
        path: "/readings",
        ..pickup()
    }
}

/// Returns the photograph request: a keeper uploads a photograph.
#[must_use]
pub fn photograph() -> request::Kind {
    request::Kind {
        name: "photograph",
        service: "photographs",
        path: "/photographs",
        ..sheet()
    }
}

/// Returns the schedule request: an app reads its schedule.
#[must_use]
pub fn schedule_read() -> request::Kind {
    request::Kind {
        name: "schedule",
        service: "reminders",
        path: "/schedules",
        ..stock_read()
    }
}

/// Returns the reminder feed: a long-lived streaming response with the reminders of a keeper.
#[must_use]
pub fn reminder_feed() -> request::Kind {
    request::Kind {
        name: "reminder feed",
        service: "reminders",
        path: "/feed/reminders",
        ..feed()
    }
}

/// Creates a service whose upstreams accept 2,000 connections each.
#[must_use]
pub fn service(name: &'static str, record: Value, slots: u32, speeds: Vec<f64>) -> Service {
    Service {
        name,
        record,
        slots,
        connections: CONNECTIONS,
        speeds,
    }
}

/// Returns `count` speed factors, spaced evenly from 1 to 4.
#[must_use]
pub fn even_speeds(count: u32) -> Vec<f64> {
    let step = (FASTEST - SLOWEST) / f64::from(count.saturating_sub(1).max(1));
    (0..count)
        .map(|index| step.mul_add(f64::from(index), SLOWEST))
        .collect()
}

/// Creates an open-loop workload with Poisson arrivals at a mean rate.
#[must_use]
pub const fn open(kind: request::Kind, per_second: f64) -> load::Workload {
    load::Workload {
        kind,
        arrival: load::Arrival::Open { per_second },
    }
}

/// Creates a workload of `callers` that each keep one feed open.
#[must_use]
pub const fn feeds(kind: request::Kind, callers: u32) -> load::Workload {
    load::Workload {
        kind,
        arrival: load::Arrival::Feeds { callers },
    }
}

fn feed() -> request::Kind {
    request::Kind {
        deadline: None,
        work: clock::Millis(0),
        ..stock_read()
    }
}

fn service_record(name: &str) -> Value {
    let text = match name {
        "intake" => include_str!("../records/intake.json"),
        "ledger" => include_str!("../records/ledger.json"),
        "photographs" => include_str!("../records/photographs.json"),
        _ => include_str!("../records/reminders.json"),
    };
    serde_json::from_str(text).unwrap_or_default()
}
