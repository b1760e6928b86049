//! Settings of the balancer and agent daemons, parsed from JSON.
//!
//! All errors are reported at once, each with the path of its field, so that an
//! operator can fix a file in one pass.

use std::net::{SocketAddr, SocketAddrV4};

use serde_json::Value;
use thiserror::Error;

use crate::{clock, membership, queue, validation};

const MIN_SECRET_LEN: usize = 16;
const MIN_PERIOD: clock::Millis = clock::Millis(20);
const MAX_PERIOD: clock::Millis = clock::Millis(60_000);
const DEFAULT_PERIOD: clock::Millis = clock::Millis(1_000);

/// The reason why settings were rejected.
#[derive(Debug, Error)]
pub enum Error {
    /// The text is not valid JSON.
    #[error("settings are not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// Fields are missing, unknown or invalid.
    #[error("settings are invalid:{}", validation::format_errors(.0))]
    Invalid(Vec<validation::FieldError>),
}

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct Balancer {
    /// Settings shared by all daemons.
    pub common: Common,
    /// Address to bind for GUE datagrams from the fabric.
    pub packets: SocketAddrV4,
    /// Address to bind for sealed (authenticated) control datagrams.
    pub control: SocketAddrV4,
    /// Advertised control address, if it differs from the bound one.
    pub advertise_control: Option<SocketAddrV4>,
    /// Base URL of the object API of the platform store.
    pub platform: String,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Settings shared by all daemons.
    pub common: Common,
    /// Address to bind for sealed (authenticated) datagrams of balancers and other agents.
    pub packets: SocketAddrV4,
    /// Advertised address for `packets`, if it differs from the bound one.
    pub advertise_packets: Option<SocketAddrV4>,
    /// Loopback address to bind for announcements of the upstream on the same host.
    pub local: SocketAddr,
    /// Enabled policies.
    pub policy: Policy,
}

/// Policies of an agent; each can be disabled to measure its effect on the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Admission policies for the slots of the upstream.
    pub admission: queue::Policy,
    /// Forwards a new flow to the next candidate of its chain if no slot is free.
    pub hunting: bool,
    /// Limits retries in proportion to successful requests.
    pub budget: bool,
    /// Forwards new flows to the next candidate if the upstream is unhealthy.
    pub health: bool,
}

/// Settings that balancers and agents have in common.
#[derive(Clone, Debug)]
pub struct Common {
    /// Name of the process, unique in the fleet.
    pub name: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address to bind for HTTP requests.
    pub http: SocketAddrV4,
    /// Advertised HTTP address, if it differs from the bound one.
    pub advertise_http: Option<SocketAddrV4>,
    /// HTTP addresses of balancers that are contacted to join the fleet.
    pub seeds: Vec<SocketAddrV4>,
    /// Secret shared by all processes of the fleet, at least 16 bytes.
    pub fleet_key: String,
    /// Bearer token of operator requests, at least 16 bytes.
    pub operator_token: String,
    /// Interval between heartbeats and between gossip exchanges.
    pub period: clock::Millis,
}

/// Parses and validates the settings of a balancer.
pub fn parse_balancer(text: &str) -> Result<Balancer, Error> {
    let root = serde_json::from_str(text)?;
    let mut reader = validation::Reader::new(&root, "");
    let common = parse_common(&mut reader);
    let packets = reader.parse("packets");
    let control = reader.parse("control");
    let platform = parse_url(&mut reader, "platform");
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

/// Parses and validates the settings of an agent.
pub fn parse_agent(text: &str) -> Result<Agent, Error> {
    let root = serde_json::from_str(text)?;
    let mut reader = validation::Reader::new(&root, "");
    let common = parse_common(&mut reader);
    let packets = reader.parse("packets");
    let local = parse_loopback(&mut reader, "local");
    let mut advertise = reader.object("advertise");
    let advertise_packets = advertise.parse_optional("packets");
    let advertise_http = advertise.parse_optional("http");
    reader.merge_errors(advertise);
    let policy = parse_policy(&mut reader);
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

fn parse_policy(reader: &mut validation::Reader<'_>) -> Policy {
    let mut fields = reader.object("policy");
    let policy = Policy {
        admission: queue::Policy {
            classes: fields.boolean("classes", true),
            shares: fields.boolean("shares", true),
            deadlines: fields.boolean("deadlines", true),
            reserve: fields.boolean("reserve", true),
        },
        hunting: fields.boolean("hunting", true),
        budget: fields.boolean("budget", true),
        health: fields.boolean("health", true),
    };
    reader.merge_errors(fields);
    policy
}

/// Reads a short string, which is sent in each heartbeat and gossip exchange.
fn parse_label(reader: &mut validation::Reader<'_>, name: &'static str) -> Option<String> {
    let text = reader.string(name, 1)?;
    if text.len() <= membership::MAX_NAME_LEN {
        return Some(text);
    }
    reader.add_error(
        name,
        &format!("must be at most {} bytes long", membership::MAX_NAME_LEN),
    );
    None
}

fn parse_common(reader: &mut validation::Reader<'_>) -> Option<Common> {
    let name = parse_label(reader, "name");
    let domain = parse_label(reader, "domain");
    let http = reader.parse("http");
    let seeds = reader.parse_list("seeds");
    let fleet_key = reader.string("fleet_key", MIN_SECRET_LEN);
    let operator_token = reader.string("operator_token", MIN_SECRET_LEN);
    let period = parse_period(reader);
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

fn parse_url(reader: &mut validation::Reader<'_>, name: &'static str) -> Option<String> {
    let url = reader.value(name).and_then(Value::as_str);
    let url = url.filter(|url| url.starts_with("http://"));
    if url.is_none() {
        reader.add_error(name, "must be a URL that starts with http://");
    }
    url.map(|url| url.trim_end_matches('/').to_owned())
}

fn parse_loopback(reader: &mut validation::Reader<'_>, name: &'static str) -> Option<SocketAddr> {
    let addr: SocketAddr = reader.parse(name)?;
    if addr.ip().is_loopback() {
        return Some(addr);
    }
    reader.add_error(name, "must be a loopback address");
    None
}

fn parse_period(reader: &mut validation::Reader<'_>) -> clock::Millis {
    let range = MIN_PERIOD.0..=MAX_PERIOD.0;
    clock::Millis(reader.integer("period_ms", range, DEFAULT_PERIOD.0))
}
