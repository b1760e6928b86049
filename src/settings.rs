//! Settings of the daemons, read from JSON and checked whole.
//!
//! All faults are gathered, each with the path of its field, so that an
//! operator mends a file in one pass.

use std::{
    fmt,
    net::{SocketAddr, SocketAddrV4},
    str::FromStr,
};

use serde_json::{Map, Value};
use thiserror::Error;

use crate::clock;

const MIN_SECRET_LEN: usize = 16;
const MIN_PERIOD: clock::Millis = clock::Millis(20);
const MAX_PERIOD: clock::Millis = clock::Millis(60_000);
const DEFAULT_PERIOD: clock::Millis = clock::Millis(1_000);

/// One fault of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Path of the field, such as `advertise.http`.
    pub path: String,
    /// What is wrong with it.
    pub what: String,
}

/// Why settings were refused.
#[derive(Debug, Error)]
pub enum Error {
    /// The text is not JSON.
    #[error("settings are not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// Fields are missing, unknown or wrong.
    #[error("settings have faults:{}", list(.0))]
    Faults(Vec<Fault>),
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
pub fn balancer(text: &str) -> Result<Balancer, Error> {
    let root = serde_json::from_str(text)?;
    let mut reader = Reader::new(&root, "");
    let common = common(&mut reader);
    let packets = reader.parsed("packets");
    let control = reader.parsed("control");
    let platform = reader.url("platform");
    let mut advertise = reader.object("advertise");
    let advertise_control = advertise.optional("control");
    let advertise_http = advertise.optional("http");
    reader.absorb(advertise);
    let (common, packets, control, platform) =
        reader.finish(|| Some((common?, packets?, control?, platform?)))?;
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
pub fn agent(text: &str) -> Result<Agent, Error> {
    let root = serde_json::from_str(text)?;
    let mut reader = Reader::new(&root, "");
    let common = common(&mut reader);
    let packets = reader.parsed("packets");
    let local = reader.loopback("local");
    let mut advertise = reader.object("advertise");
    let advertise_packets = advertise.optional("packets");
    let advertise_http = advertise.optional("http");
    reader.absorb(advertise);
    let (common, packets, local) = reader.finish(|| Some((common?, packets?, local?)))?;
    Ok(Agent {
        common: Common {
            advertise_http,
            ..common
        },
        packets,
        advertise_packets,
        local,
    })
}

fn common(reader: &mut Reader<'_>) -> Option<Common> {
    let name = reader.text("name", 1);
    let domain = reader.text("domain", 1);
    let http = reader.parsed("http");
    let seeds = reader.list("seeds");
    let fleet_key = reader.text("fleet_key", MIN_SECRET_LEN);
    let operator_token = reader.text("operator_token", MIN_SECRET_LEN);
    let period = reader.period("period_ms");
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

struct Reader<'a> {
    prefix: String,
    fields: Option<&'a Map<String, Value>>,
    known: Vec<&'static str>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    fn new(value: &'a Value, prefix: &str) -> Self {
        let mut reader = Self {
            prefix: prefix.to_owned(),
            fields: value.as_object(),
            known: Vec::new(),
            faults: Vec::new(),
        };
        if reader.fields.is_none() {
            reader.fault("", "must be an object");
        }
        reader
    }

    fn object(&mut self, name: &'static str) -> Self {
        match self.value(name) {
            Some(value) => Self::new(value, &self.path(name)),
            None => Self {
                prefix: self.path(name),
                fields: None,
                known: Vec::new(),
                faults: Vec::new(),
            },
        }
    }

    fn absorb(&mut self, other: Self) {
        self.faults.extend(other.into_faults());
    }

    fn finish<T>(self, value: impl FnOnce() -> Option<T>) -> Result<T, Error> {
        let faults = self.into_faults();
        match value() {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(Error::Faults(faults)),
        }
    }

    fn into_faults(mut self) -> Vec<Fault> {
        let unknown: Vec<_> = self
            .fields
            .into_iter()
            .flat_map(Map::keys)
            .filter(|name| !self.known.contains(&name.as_str()))
            .cloned()
            .collect();
        for name in unknown {
            self.fault(&name, "is not a known field");
        }
        self.faults
    }

    fn value(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.push(name);
        self.fields.and_then(|fields| fields.get(name))
    }

    fn text(&mut self, name: &'static str, min_len: usize) -> Option<String> {
        let text = self.value(name).and_then(Value::as_str);
        match text {
            Some(text) if text.len() >= min_len => return Some(text.to_owned()),
            Some(_) => self.fault(name, &format!("must have {min_len} characters or more")),
            None => self.fault(name, "must be a text"),
        }
        None
    }

    fn parsed<T: FromStr>(&mut self, name: &'static str) -> Option<T> {
        let value = self.value(name);
        let parsed = value.and_then(parse);
        if parsed.is_none() {
            self.fault(
                name,
                "must be an IP number with a port, such as \"10.0.0.1:7000\"",
            );
        }
        parsed
    }

    fn optional<T: FromStr>(&mut self, name: &'static str) -> Option<T> {
        if self.fields.is_some_and(|fields| fields.contains_key(name)) {
            return self.parsed(name);
        }
        self.known.push(name);
        None
    }

    fn list<T: FromStr>(&mut self, name: &'static str) -> Vec<T> {
        let Some(value) = self.value(name) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.fault(name, "must be a list");
            return Vec::new();
        };
        let mut parsed = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            match parse(item) {
                Some(item) => parsed.push(item),
                None => self.fault(
                    &format!("{name}[{index}]"),
                    "must be an IP number with a port",
                ),
            }
        }
        parsed
    }

    fn url(&mut self, name: &'static str) -> Option<String> {
        let url = self.value(name).and_then(Value::as_str);
        let url = url.filter(|url| url.starts_with("http://"));
        if url.is_none() {
            self.fault(name, "must be a URL that starts with http://");
        }
        url.map(|url| url.trim_end_matches('/').to_owned())
    }

    fn loopback(&mut self, name: &'static str) -> Option<SocketAddr> {
        let addr: SocketAddr = self.parsed(name)?;
        if addr.ip().is_loopback() {
            return Some(addr);
        }
        self.fault(name, "must be a loopback address");
        None
    }

    fn period(&mut self, name: &'static str) -> clock::Millis {
        let Some(value) = self.value(name) else {
            return DEFAULT_PERIOD;
        };
        let period = value.as_u64().map(clock::Millis);
        match period {
            Some(period) if (MIN_PERIOD..=MAX_PERIOD).contains(&period) => period,
            _ => {
                self.fault(
                    name,
                    &format!("must be a number from {} to {}", MIN_PERIOD.0, MAX_PERIOD.0),
                );
                DEFAULT_PERIOD
            }
        }
    }

    fn fault(&mut self, name: &str, what: &str) {
        let path = self.path(name);
        self.faults.push(Fault {
            path,
            what: what.to_owned(),
        });
    }

    fn path(&self, name: &str) -> String {
        if self.prefix.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.prefix)
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.path, self.what)
    }
}

fn parse<T: FromStr>(value: &Value) -> Option<T> {
    value.as_str().and_then(|text| text.parse().ok())
}

fn list(faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("\n  {fault}")).collect();
    lines.concat()
}
