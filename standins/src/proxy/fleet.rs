//! Fault-injecting proxies in front of all processes of a fleet.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex, MutexGuard},
};

use cassiacross::mutex;
use serde_json::{Value, json};

use super::{tcp, udp};
use crate::{faults, interpose};

/// The proxies in front of one process.
#[derive(Debug)]
struct ProcessProxies {
    name: String,
    packets: udp::Proxy,
    control: udp::Proxy,
    http: tcp::Proxy,
}

/// Proxies in front of all processes of a fleet; they stop when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Proxies {
    seed: u64,
    entries: Arc<Mutex<Vec<ProcessProxies>>>,
}

impl Proxies {
    /// Creates an empty set; `seed` seeds the fault injection of proxies added later.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            entries: Arc::default(),
        }
    }

    /// Returns callbacks that put proxies in front of each process that a fleet starts.
    ///
    /// A process that is restarted under the same name keeps its proxies.
    #[must_use]
    pub fn interposer(&self) -> interpose::Interposer {
        let (before, after) = (self.clone(), self.clone());
        interpose::Interposer {
            before_start: Box::new(move |role, name| before.endpoints(role, name)),
            after_start: Box::new(move |_role, name, addresses| after.retarget(name, addresses)),
        }
    }

    /// Sets the packet faults of all processes, in both directions.
    pub fn set_faults(&self, faults: faults::Faults) {
        for entry in self.lock().iter() {
            entry.packets.set_faults(udp::Direction::Forward, faults);
            entry.packets.set_faults(udp::Direction::Backward, faults);
        }
    }

    /// Starts or stops blocking the control traffic towards a process.
    ///
    /// While it is blocked, HTTP connections of other processes to it are closed as well.
    pub fn isolate(&self, name: &str, isolated: bool) {
        let mode = if isolated {
            tcp::Mode::Close
        } else {
            tcp::Mode::Relay
        };
        for entry in self.lock().iter().filter(|entry| entry.name == name) {
            entry.control.set_blocked(udp::Direction::Forward, isolated);
            entry.http.set_mode(mode);
        }
    }

    /// Redirects the packets for one process to another address.
    pub fn redirect(&self, name: &str, target: SocketAddr) {
        for entry in self.lock().iter().filter(|entry| entry.name == name) {
            entry.packets.retarget(target);
        }
    }

    fn endpoints(&self, role: interpose::Role, name: &str) -> interpose::Endpoints {
        let mut entries = self.lock();
        let index = entries
            .iter()
            .position(|entry| entry.name == name)
            .unwrap_or_else(|| {
                let seed = self.seed + entries.len() as u64;
                entries.push(ProcessProxies::start(name, seed));
                entries.len() - 1
            });
        entries[index].endpoints(role)
    }

    fn retarget(&self, name: &str, addresses: &Value) {
        let addr = |key: &str| addresses[key].as_str().and_then(|addr| addr.parse().ok());
        for entry in self.lock().iter().filter(|entry| entry.name == name) {
            if let Some(target) = addr("packets") {
                entry.packets.retarget(target);
            }
            if let Some(target) = addr("control") {
                entry.control.retarget(target);
            }
            if let Some(target) = addr("http") {
                entry.http.retarget(target);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ProcessProxies>> {
        mutex::lock(&self.entries)
    }
}

impl ProcessProxies {
    fn start(name: &str, seed: u64) -> Self {
        Self {
            name: name.to_owned(),
            packets: udp::start(None, seed).expect("a free loopback port is available"),
            control: udp::start(None, seed).expect("a free loopback port is available"),
            http: tcp::start(None).expect("a free loopback port is available"),
        }
    }

    fn endpoints(&self, role: interpose::Role) -> interpose::Endpoints {
        let http = self.http.addr();
        match role {
            interpose::Role::Balancer => interpose::Endpoints {
                advertise: json!({"control": self.control.addr(), "http": http}),
                packets: v4(self.packets.addr()),
            },
            interpose::Role::Agent => interpose::Endpoints {
                advertise: json!({"packets": self.packets.addr(), "http": http}),
                packets: None,
            },
        }
    }
}

const fn v4(addr: SocketAddr) -> Option<SocketAddrV4> {
    match addr {
        SocketAddr::V4(addr) => Some(addr),
        SocketAddr::V6(_) => None,
    }
}
