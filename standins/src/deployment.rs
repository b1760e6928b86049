//! The deployments of the two users, and smaller ones, as plain data.

use cassiacross::clock;
use reqwest::Method;
use serde_json::Value;

use crate::{history::Safety, load, request};

const CONNECTIONS: u32 = 2_000;
const SLOWEST: f64 = 1.0;
const FASTEST: f64 = 4.0;

/// What a fleet consists of, and what its callers do.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name in reports.
    pub name: &'static str,
    /// Failure domains; processes are spread over them in turn.
    pub domains: Vec<&'static str>,
    /// Number of balancers.
    pub balancers: usize,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Ordinary work, at well under half of the capacity.
    pub mix: Vec<load::Workload>,
}

/// A service and its upstreams.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: &'static str,
    /// The operator's record.
    pub record: Value,
    /// Requests that one upstream runs at a time.
    pub slots: u32,
    /// Connections that one upstream takes.
    pub connections: u32,
    /// Speed of each upstream.
    pub speeds: Vec<f64>,
}

impl Service {
    /// Address that callers use, as the record says.
    #[must_use]
    pub fn address(&self) -> &str {
        self.record["address"].as_str().unwrap_or_default()
    }

    /// Requests a second that the service can run, for a kind of request.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "work takes milliseconds, not years"
    )]
    pub fn capacity(&self, kind: &request::Kind) -> f64 {
        let speed: f64 = self.speeds.iter().sum();
        f64::from(self.slots) * speed * 1_000.0 / kind.work.0 as f64
    }
}

impl Deployment {
    /// The service of a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// The co-op: tray ledger and sheet intake in three failure domains.
#[must_use]
pub fn coop() -> Deployment {
    Deployment {
        name: "co-op",
        domains: vec!["valley-a", "valley-b", "valley-c"],
        balancers: 3,
        services: vec![
            service("intake", record_of("intake"), 4, even_speeds(3)),
            service("ledger", record_of("ledger"), 4, even_speeds(7)),
        ],
        mix: vec![
            open(pickup(), 80.0),
            open(stock_read(), 40.0),
            open(sheet(), 20.0),
            feeds(stock_feed(), 28),
        ],
    }
}

/// Terrárium: reminder and reading service, and photograph intake, in four failure domains.
#[must_use]
pub fn terrarium() -> Deployment {
    Deployment {
        name: "terrarium",
        domains: vec!["hungary-a", "hungary-b", "hungary-c", "hungary-d"],
        balancers: 4,
        services: vec![
            service("photographs", record_of("photographs"), 7, even_speeds(4)),
            service("reminders", record_of("reminders"), 7, even_speeds(7)),
        ],
        mix: vec![
            open(reading(), 80.0),
            open(schedule_read(), 40.0),
            open(photograph(), 20.0),
            feeds(reminder_feed(), 49),
        ],
    }
}

/// The co-op's shape with the fewest processes that still have choices.
#[must_use]
pub fn small() -> Deployment {
    Deployment {
        name: "small",
        domains: vec!["valley-a", "valley-b", "valley-c"],
        balancers: 2,
        services: vec![
            service("intake", record_of("intake"), 4, even_speeds(2)),
            service("ledger", record_of("ledger"), 4, even_speeds(3)),
        ],
        mix: vec![
            open(pickup(), 20.0),
            open(stock_read(), 10.0),
            open(sheet(), 5.0),
            feeds(stock_feed(), 8),
        ],
    }
}

/// A driver's report of a pickup.
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

/// A clerk's upload of a scanned return sheet.
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

/// A farm's look at its stock.
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

/// A farm's open feed of its stock.
#[must_use]
pub fn stock_feed() -> request::Kind {
    request::Kind {
        name: "stock feed",
        service: "ledger",
        path: "/feed/stock",
        ..feed()
    }
}

/// A hub's report of a lamp reading.
#[must_use]
pub fn reading() -> request::Kind {
    request::Kind {
        name: "reading",
        service: "reminders",
        path: "/readings",
        ..pickup()
    }
}

/// A keeper's upload of a photograph.
#[must_use]
pub fn photograph() -> request::Kind {
    request::Kind {
        name: "photograph",
        service: "photographs",
        path: "/photographs",
        ..sheet()
    }
}

/// An app's look at its schedule.
#[must_use]
pub fn schedule_read() -> request::Kind {
    request::Kind {
        name: "schedule",
        service: "reminders",
        path: "/schedules",
        ..stock_read()
    }
}

/// A keeper's open feed of reminders.
#[must_use]
pub fn reminder_feed() -> request::Kind {
    request::Kind {
        name: "reminder feed",
        service: "reminders",
        path: "/feed/reminders",
        ..feed()
    }
}

/// A service with the usual number of connections.
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

/// Speeds of `count` upstreams, spread evenly from 1 to 4.
#[must_use]
pub fn even_speeds(count: u32) -> Vec<f64> {
    let step = (FASTEST - SLOWEST) / f64::from(count.saturating_sub(1).max(1));
    (0..count)
        .map(|index| step.mul_add(f64::from(index), SLOWEST))
        .collect()
}

/// Requests that arrive at random at a mean rate.
#[must_use]
pub const fn open(kind: request::Kind, per_second: f64) -> load::Workload {
    load::Workload {
        kind,
        arrival: load::Arrival::Open { per_second },
    }
}

/// Callers that each hold a feed.
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

fn record_of(name: &str) -> Value {
    let text = match name {
        "intake" => include_str!("../records/intake.json"),
        "ledger" => include_str!("../records/ledger.json"),
        "photographs" => include_str!("../records/photographs.json"),
        _ => include_str!("../records/reminders.json"),
    };
    serde_json::from_str(text).unwrap_or_default()
}
