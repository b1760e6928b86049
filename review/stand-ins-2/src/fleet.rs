//! A small deployment on loopback addresses: the project's programs as separate processes.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::record::Record;

/// Interval between two status reports, as in the settings.
pub const REPORT_MS: u64 = 770;

/// Requests that a backend serves at a time.
pub const SLOTS: u32 = 7;

/// Length of the window for which a machine has to run undisturbed to be in touch.
pub const STABLE_WINDOW: Duration = Duration::from_millis(4_000);

const ZONES: [&str; 3] = ["za", "zb", "zc"];

/// Zone of the requesters.
pub const ZONE: &str = ZONES[1];

const PORT_COUNT: u16 = 24;

pub const TERM: i32 = 15;
pub const KILL: i32 = 9;

/// Option of `prctl`: the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize) -> i32;
}

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub packets: u16,
    pub outbound: u16,
    pub app: u16,
    pub control: u16,
    pub ready: u16,
    pub store: u16,
    pub internal: u16,
}

#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    /// Service of the backend there, empty on a balancer's machine.
    pub service: String,
    pub ports: Ports,
}

impl Host {
    pub const fn addr(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }
}

pub struct Fleet {
    pub balancers: Vec<Host>,
    pub agents: Vec<Host>,
    pub ports: Ports,
    net: [u8; 2],
    program: PathBuf,
    dir: PathBuf,
    children: Vec<(String, Child)>,
    record: Record,
}

impl Fleet {
    /// Draws free ports and addresses. `agents` names the service of each agent's backend.
    pub fn new(
        program: PathBuf,
        balancers: usize,
        agents: &[&str],
        record: &Record,
    ) -> Option<Self> {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .ok()?
            .as_nanos() as u64;
        let mut random = nanos ^ (u64::from(std::process::id()) << 32);
        for _ in 0..100 {
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let net = [80 + (random >> 40) as u8 % 100, (random >> 48) as u8];
            let first = 11_000 + ((random >> 33) as u16 % 800) * PORT_COUNT;
            let ip = Ipv4Addr::new(127, net[0], net[1], 1);
            let free = (first..first + PORT_COUNT).all(|port| {
                TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok()
            });
            if !free {
                continue;
            }
            let ports = Ports {
                packets: first,
                outbound: first + 1,
                app: first + 2,
                control: first + 3,
                ready: first + 4,
                store: first + 5,
                internal: first + 6,
            };
            let host = |at: usize, number: usize, role: &str, service: &str| Host {
                name: format!("{role}-{}-{at}", ZONES[at % ZONES.len()]),
                ip: Ipv4Addr::new(127, net[0], net[1], u8::try_from(number).unwrap()),
                zone: ZONES[at % ZONES.len()],
                service: service.to_owned(),
                ports,
            };
            let dir =
                std::env::temp_dir().join(format!("review-{}-{random:x}", std::process::id()));
            fs::create_dir_all(&dir).ok()?;
            return Some(Self {
                balancers: (0..balancers)
                    .map(|at| host(at, 10 + at, "edge", ""))
                    .collect(),
                agents: agents
                    .iter()
                    .enumerate()
                    .map(|(at, service)| host(at, 50 + at, "side", service))
                    .collect(),
                ports,
                net,
                program,
                dir,
                children: Vec::new(),
                record: record.clone(),
            });
        }
        None
    }

    /// Returns the machines of all balancers and agents.
    pub fn hosts(&self) -> Vec<Host> {
        [self.balancers.clone(), self.agents.clone()].concat()
    }

    pub const fn store(&self) -> SocketAddrV4 {
        SocketAddrV4::new(
            Ipv4Addr::new(127, self.net[0], self.net[1], 250),
            self.ports.store,
        )
    }

    pub const fn requester_ip(&self) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], 200)
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, host: &Host, bootstrap: bool) -> std::io::Result<()> {
        let role = if host.service.is_empty() {
            "balancer"
        } else {
            "agent"
        };
        let path = self.dir.join(format!("{}.toml", host.name));
        fs::write(&path, self.settings(host, bootstrap))?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", host.name)))?;
        let mut command = Command::new(&self.program);
        command
            .arg(role)
            .env("CASSIACROSS_CONFIG", path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: `prctl` may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, KILL as usize);
                Ok(())
            })
        };
        let child = command.spawn()?;
        self.children.push((host.name.clone(), child));
        self.record.note(&format!("{} started", host.name));
        Ok(())
    }

    /// Sends a signal to processes at the same moment, and waits until they have ended.
    pub fn stop(&mut self, names: &[String], signal: i32) {
        let (mut ended, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.children)
            .into_iter()
            .partition(|(name, _)| names.contains(name));
        self.children = rest;
        for (_, child) in &ended {
            // SAFETY: the child has not been waited for, so its id is not in use again.
            unsafe { kill(child.id() as i32, signal) };
        }
        self.record
            .note(&format!("signal {signal} to {}", names.join(", ")));
        for (_, child) in &mut ended {
            let _status = child.wait();
        }
        self.record.note(&format!("{} ended", names.join(", ")));
    }

    /// Returns the processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let children = self.children.iter_mut();
        let ended = children.filter_map(|(name, child)| {
            matches!(child.try_wait(), Ok(Some(_))).then(|| name.clone())
        });
        ended.collect()
    }

    fn settings(&self, host: &Host, bootstrap: bool) -> String {
        let ip = host.ip;
        let Ports {
            packets,
            outbound,
            app,
            control,
            ready,
            internal,
            ..
        } = self.ports;
        let seeds: Vec<_> = self
            .balancers
            .iter()
            .take(3)
            .map(|b| format!("\"{}\"", b.addr(control)))
            .collect();
        let (class, serves, listen) = if host.service.is_empty() {
            ("edge", "\"edge\",\"control\"", String::new())
        } else {
            (
                "side",
                "\"side\"",
                format!("outbound = \"{ip}:{outbound}\"\n"),
            )
        };
        let beside = if host.service.is_empty() {
            String::new()
        } else {
            format!("app = \"{ip}:{app}\"\nService = \"{}\"\n", host.service)
        };
        format!(
            "NodeName = \"{name}\"\nRole = \"{class}\"\nMachineClass = \"{class}\"\n\
             Serves = [{serves}]\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"r\"\n\
             InternalPorts = [{internal},{last}]\nSeeds = [{seeds}]\nBootstrap = {bootstrap}\n\
             LossCounts = false\nDiscovery = \"local\"\nEntryKind = \"advertise\"\n\
             HeartbeatIntervalMs = {REPORT_MS}\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"platform\"]\n\
             Hash = \"mod\"\nDeploymentMode = \"agent\"\n{beside}\
             [Zones]\nza = \"r\"\nzb = \"r\"\nzc = \"r\"\n\
             [Listen]\nDatagramAddr = \"{ip}:{packets}\"\n{listen}ReadyAddr = \"{ip}:{ready}\"\n\
             Control = \"{ip}:{control}\"\n\
             [Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\n\
             LinkMbps = 1000.0\nDiskMb = 0\n\
             [FaultTolerance]\nMachines = 2\nZones = 0\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nStableWindowMs = 4000\nAckMs = 5000\n\
             CatchUpS = 4\nDrainMs = 3000\nGraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 3000\n\
             DowngradeMs = 250\nMaxSkewMs = 12000\nRecoveryS = 12\nReorderMs = 2000\nMaxFlowS = 60\n\
             [platform]\nAddress = \"{store}\"\nDeploymentMode = \"objects\"\nWritesPerS = 400\n\
             ReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nMinTtlMs = 1000\n",
            name = host.name,
            zone = host.zone,
            last = internal + 15,
            seeds = seeds.join(","),
            store = self.store(),
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ended = child.kill();
            let _ended = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("logs in {}", self.dir.display());
        }
    }
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}
