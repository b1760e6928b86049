//! Settings of the daemons, read from JSON and checked whole.
//!
//! All faults are gathered, each with the path of its field, so that an
//! operator mends a file in one pass.

use std::net::{SocketAddr, SocketAddrV4};

use serde_json::Value;
use thiserror::Error;

use crate::{clock, membership, queue, validation};

const MIN_SECRET_LEN: usize = 16;
const MIN_PERIOD: clock::Millis = clock::Millis(20);
const MAX_PERIOD: clock::Millis = clock::Millis(60_000);
const DEFAULT_PERIOD: clock::Millis = clock::Millis(1_000);

/// Why settings were refused.
#[derive(Debug, Error)]
pub enum Error {
    /// The text is not JSON.
    #[error("settings are not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// Fields are missing, unknown or wrong.
    #[error("settings have faults:{}", validation::format_errors(.0))]
    Invalid(Vec<validation::FieldError>),
}

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct Balancer {
    /// What each process of the fleet needs.
    pub common: Common,
    /// Where GUE datagrams from the fabric arrive.
    pub packets: SocketAddrV4,
    /// Where sealed datagrams arrive.
    pub control: SocketAddrV4,
    /// Where the control address is reached by others, if not where it is bound.
    pub advertise_control: Option<SocketAddrV4>,
    /// Base URL of the platform's object API.
    pub platform: String,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct Agent {
    /// What each process of the fleet needs.
    pub common: Common,
    /// Where sealed datagrams arrive.
    pub packets: SocketAddrV4,
    /// Where the packets address is reached by others, if not where it is bound.
    pub advertise_packets: Option<SocketAddrV4>,
    /// Where the upstream announces itself; a loopback address.
    pub local: SocketAddr,
    /// Which rules are in force.
    pub policy: Policy,
}

/// Rules of an agent; each can be turned off to compare the fleet with and without it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Rules of admission to the upstream's slots.
    pub admission: queue::Policy,
    /// A new flow without room here goes to the next candidate of its chain.
    pub hunting: bool,
    /// Retries are tied to successes.
    pub budget: bool,
    /// A failing upstream passes new flows on.
    pub health: bool,
}

/// Settings that balancers and agents share.
#[derive(Clone, Debug)]
pub struct Common {
    /// The process's name, unique in the fleet.
    pub name: String,
    /// The host's failure domain.
    pub domain: String,
    /// Where HTTP calls arrive.
    pub http: SocketAddrV4,
    /// Where HTTP is reached by others, if not where it is bound.
    pub advertise_http: Option<SocketAddrV4>,
    /// HTTP addresses of balancers to join through.
    pub seeds: Vec<SocketAddrV4>,
    /// Secret that all processes of the fleet share.
    pub fleet_key: String,
    /// Secret that operators' calls carry.
    pub operator_token: String,
    /// Time between heartbeats, and between exchanges.
    pub period: clock::Millis,
}

/// Reads and checks a balancer's settings.
pub fn parse_balancer(text: &str) -> Result<Balancer, Error> {
    let root = serde_json::from_str(text)?;
    let mut reader = validation::Reader::new(&root, "");
    let common = common(&mut reader);
    let packets = reader.parse("packets");
    let control = reader.parse("control");
    let platform = url(&mut reader, "platform");
    let mut advertise = reader.object("advertise");
    let advertise_control = advertise.parse_optional("control");
    let advertise_http = advertise.parse_optional("http");
    reader.merge_errors(advertise);
    let (common, packets, control, platform) = reader
        .finish(|| Some((common?, packets?, control?, platform?)))
        .map_err(Error::Invalid)?;
    Ok(Balancer {
        common: Common {
            advertise_http,
            ..common
        },
        packets,
        control,
        advertise_control,
        platform,
    })
}

/// Reads and checks an agent's settings.
pub fn parse_agent(text: &str) -> Result<Agent, Error> {
    let root = serde_json::from_str(text)?;
    let mut reader = validation::Reader::new(&root, "");
    let common = common(&mut reader);
    let packets = reader.parse("packets");
    let local = loopback(&mut reader, "local");
    let mut advertise = reader.object("advertise");
    let advertise_packets = advertise.parse_optional("packets");
    let advertise_http = advertise.parse_optional("http");
    reader.merge_errors(advertise);
    let policy = policy(&mut reader);
    let (common, packets, local) = reader
        .finish(|| Some((common?, packets?, local?)))
        .map_err(Error::Invalid)?;
    Ok(Agent {
        common: Common {
            advertise_http,
            ..common
        },
        packets,
        advertise_packets,
        local,
        policy,
    })
}

fn policy(reader: &mut validation::Reader<'_>) -> Policy {
    let mut rules = reader.object("policy");
    let policy = Policy {
        admission: queue::Policy {
            classes: rules.boolean("classes", true),
            shares: rules.boolean("shares", true),
            deadlines: rules.boolean("deadlines", true),
            reserve: rules.boolean("reserve", true),
        },
        hunting: rules.boolean("hunting", true),
        budget: rules.boolean("budget", true),
        health: rules.boolean("health", true),
    };
    reader.merge_errors(rules);
    policy
}

/// A short text that travels in each heartbeat and exchange.
fn label(reader: &mut validation::Reader<'_>, name: &'static str) -> Option<String> {
    let text = reader.string(name, 1)?;
    if text.len() <= membership::MAX_NAME_LEN {
        return Some(text);
    }
    reader.add_error(
        name,
        &format!("must have {} bytes at most", membership::MAX_NAME_LEN),
    );
    None
}

fn common(reader: &mut validation::Reader<'_>) -> Option<Common> {
    let name = label(reader, "name");
    let domain = label(reader, "domain");
    let http = reader.parse("http");
    let seeds = reader.parse_list("seeds");
    let fleet_key = reader.string("fleet_key", MIN_SECRET_LEN);
    let operator_token = reader.string("operator_token", MIN_SECRET_LEN);
    let period = period(reader);
    Some(Common {
        name: name?,
        domain: domain?,
        http: http?,
        advertise_http: None,
        seeds,
        fleet_key: fleet_key?,
        operator_token: operator_token?,
        period,
    })
}

fn url(reader: &mut validation::Reader<'_>, name: &'static str) -> Option<String> {
    let url = reader.value(name).and_then(Value::as_str);
    let url = url.filter(|url| url.starts_with("http://"));
    if url.is_none() {
        reader.add_error(name, "must be a URL that starts with http://");
    }
    url.map(|url| url.trim_end_matches('/').to_owned())
}

fn loopback(reader: &mut validation::Reader<'_>, name: &'static str) -> Option<SocketAddr> {
    let addr: SocketAddr = reader.parse(name)?;
    if addr.ip().is_loopback() {
        return Some(addr);
    }
    reader.add_error(name, "must be a loopback address");
    None
}

fn period(reader: &mut validation::Reader<'_>) -> clock::Millis {
    let range = MIN_PERIOD.0..=MAX_PERIOD.0;
    clock::Millis(reader.integer("period_ms", range, DEFAULT_PERIOD.0))
}
