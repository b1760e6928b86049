//! Proxies before the processes of a fleet.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use serde_json::{Value, json};

use super::{tcp, udp};
use crate::{faults, interpose};

/// The proxies before one process.
#[derive(Debug)]
struct Gate {
    name: String,
    packets: udp::Proxy,
    control: udp::Proxy,
    http: tcp::Proxy,
}

/// The proxies before all processes of a fleet; they end with the last handle.
#[derive(Clone, Debug)]
pub struct Proxies {
    seed: u64,
    gates: Arc<Mutex<Vec<Gate>>>,
}

impl Proxies {
    /// No proxies yet; `seed` goes into those to come.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            gates: Arc::default(),
        }
    }

    /// Puts proxies before each process that a fleet starts.
    ///
    /// A process that starts again under its name keeps its proxies.
    #[must_use]
    pub fn interposer(&self) -> interpose::Interposer {
        let (before, after) = (self.clone(), self.clone());
        interpose::Interposer {
            before_start: Box::new(move |role, name| before.front(role, name)),
            after_start: Box::new(move |_role, name, addresses| after.retarget(name, addresses)),
        }
    }

    /// Sets the faults of both ways of the packets of all processes.
    pub fn set_faults(&self, faults: faults::Faults) {
        for gate in self.lock().iter() {
            gate.packets.set_faults(udp::Direction::Forward, faults);
            gate.packets.set_faults(udp::Direction::Backward, faults);
        }
    }

    /// Cuts the control traffic that would reach a process, or joins it again.
    ///
    /// HTTP calls of other processes are closed meanwhile, too.
    pub fn isolate(&self, name: &str, isolated: bool) {
        let mode = if isolated {
            tcp::Mode::Close
        } else {
            tcp::Mode::Relay
        };
        for gate in self.lock().iter().filter(|gate| gate.name == name) {
            gate.control.set_blocked(udp::Direction::Forward, isolated);
            gate.http.set_mode(mode);
        }
    }

    /// Sends packets meant for one process to another address.
    pub fn redirect(&self, name: &str, target: SocketAddr) {
        for gate in self.lock().iter().filter(|gate| gate.name == name) {
            gate.packets.retarget(target);
        }
    }

    fn front(&self, role: interpose::Role, name: &str) -> interpose::Endpoints {
        let mut gates = self.lock();
        let index = gates
            .iter()
            .position(|gate| gate.name == name)
            .unwrap_or_else(|| {
                let seed = self.seed + gates.len() as u64;
                gates.push(Gate::start(name, seed));
                gates.len() - 1
            });
        gates[index].front(role)
    }

    fn retarget(&self, name: &str, addresses: &Value) {
        let addr = |key: &str| addresses[key].as_str().and_then(|addr| addr.parse().ok());
        for gate in self.lock().iter().filter(|gate| gate.name == name) {
            if let Some(target) = addr("packets") {
                gate.packets.retarget(target);
            }
            if let Some(target) = addr("control") {
                gate.control.retarget(target);
            }
            if let Some(target) = addr("http") {
                gate.http.retarget(target);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Gate>> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gate {
    fn start(name: &str, seed: u64) -> Self {
        Self {
            name: name.to_owned(),
            packets: udp::start(None, seed).expect("the loopback has free ports"),
            control: udp::start(None, seed).expect("the loopback has free ports"),
            http: tcp::start(None).expect("the loopback has free ports"),
        }
    }

    fn front(&self, role: interpose::Role) -> interpose::Endpoints {
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
