//! Small deployment on loopback addresses: the system's own processes, one on each machine,
//! with the settings that the platform would write.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::record::Record;

const PROGRAM: &str = "target/release/cassiacross-platform";
const GRACE: Duration = Duration::from_secs(6);

/// Pause before the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub const REPORT_PERIOD: Duration = Duration::from_millis(770);

unsafe extern "C" {
    safe fn kill(pid: i32, signal: i32) -> i32;
    safe fn prctl(option: i32, value: u64) -> i32;
}

const SIGKILL: u64 = 9;
const SIGTERM: i32 = 15;

/// Option of `prctl` that sets the signal which a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    /// Service of the backend on a `side` machine, `None` on an `edge` machine.
    pub service: Option<&'static str>,
}

/// Ports, the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    first: u16,
}

impl Ports {
    pub fn packets(self, machine: &Machine) -> SocketAddrV4 {
        SocketAddrV4::new(machine.ip, self.first)
    }

    pub fn outbound(self, machine: &Machine) -> SocketAddrV4 {
        SocketAddrV4::new(machine.ip, self.first + 1)
    }

    pub fn app(self, machine: &Machine) -> SocketAddrV4 {
        SocketAddrV4::new(machine.ip, self.first + 2)
    }

    pub fn control(self, machine: &Machine) -> SocketAddrV4 {
        SocketAddrV4::new(machine.ip, self.first + 3)
    }

    pub fn ready(self, machine: &Machine) -> SocketAddrV4 {
        SocketAddrV4::new(machine.ip, self.first + 4)
    }

    pub fn store(self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 87, 0, 250), self.first + 5)
    }

    fn internal(self) -> [u16; 2] {
        [self.first + 6, self.first + 9]
    }
}

/// Draws a block of ports that no program uses.
pub fn draw_ports() -> Ports {
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("clock")
        .subsec_nanos();
    let mut seed = nanos ^ std::process::id().rotate_left(16);
    loop {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let first = 10_000 + u16::try_from((seed >> 8) % 2_000).expect("small") * 10;
        let is_free = |port| {
            let ip = Ipv4Addr::new(127, 87, 0, 1);
            UdpSocket::bind((ip, port)).is_ok() && TcpListener::bind((ip, port)).is_ok()
        };
        if (first..first + 10).all(is_free) {
            return Ports { first };
        }
    }
}

pub struct Fleet {
    pub ports: Ports,
    pub machines: Vec<Machine>,
    seeds: Vec<Ipv4Addr>,
    dir: PathBuf,
    children: Vec<(String, Child)>,
    record: Record,
}

impl Fleet {
    pub fn new(machines: Vec<Machine>, ports: Ports, dir: &Path, record: Record) -> Self {
        let edges = machines.iter().filter(|machine| machine.service.is_none());
        Self {
            ports,
            seeds: edges.map(|machine| machine.ip).take(3).collect(),
            machines,
            dir: dir.to_owned(),
            children: Vec::new(),
            record,
        }
    }

    pub fn machine(&self, name: &str) -> Machine {
        let found = self.machines.iter().find(|machine| machine.name == name);
        found.expect("machine exists").clone()
    }

    pub fn edges(&self) -> Vec<Machine> {
        let edges = self
            .machines
            .iter()
            .filter(|machine| machine.service.is_none());
        edges.cloned().collect()
    }

    pub fn sides(&self) -> Vec<Machine> {
        let sides = self
            .machines
            .iter()
            .filter(|machine| machine.service.is_some());
        sides.cloned().collect()
    }

    pub fn start(&mut self, name: &str, bootstrap: bool) {
        let machine = self.machine(name);
        let settings = self.dir.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(&machine, bootstrap)).expect("settings are written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")))
            .expect("log opens");
        let role = if machine.service.is_some() {
            "agent"
        } else {
            "balancer"
        };
        let mut command = Command::new(PROGRAM);
        command
            .arg(role)
            .env_clear()
            .env("CASSIACROSS_CONFIG", settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        // SAFETY: the closure only makes a system call.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log)
            .spawn()
            .expect("the program of the deploy file starts");
        self.record
            .write(&format!("start    {name} (process {})", child.id()));
        self.children.push((name.to_owned(), child));
    }

    /// Stops a process with SIGTERM, then SIGKILL after the grace period, and starts it again.
    pub fn restart(&mut self, name: &str) {
        self.stop(name);
        thread::sleep(RESTART_DELAY);
        self.start(name, false);
    }

    pub fn stop(&mut self, name: &str) {
        let at = self.children.iter().position(|(other, _)| other == name);
        let (_, mut child) = self.children.remove(at.expect("process runs"));
        self.record.write(&format!("SIGTERM  {name}"));
        kill(i32::try_from(child.id()).expect("process id"), SIGTERM);
        let end = Instant::now() + GRACE;
        while child.try_wait().expect("wait").is_none() {
            if Instant::now() > end {
                let _ended = child.kill();
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.record.write(&format!("ended    {name}"));
    }

    /// Returns the processes that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = self.children.iter_mut().filter_map(|(name, child)| {
            let status = child.try_wait().expect("wait");
            status.map(|status| format!("{name} ({status})"))
        });
        ended.collect()
    }

    /// Copies the log lines of the system's resets into the record.
    pub fn record_logs(&self, words: &[&str]) {
        for machine in &self.machines {
            let path = self.dir.join(format!("{}.log", machine.name));
            let text = fs::read_to_string(path).unwrap_or_default();
            for line in text
                .lines()
                .filter(|line| words.iter().any(|word| line.contains(word)))
            {
                self.record
                    .write(&format!("log      {}: {line}", machine.name));
            }
        }
    }

    fn settings(&self, machine: &Machine, bootstrap: bool) -> String {
        let ports = self.ports;
        let [first, last] = ports.internal();
        let seeds: Vec<_> = self
            .seeds
            .iter()
            .map(|ip| format!("\"{}\"", SocketAddrV4::new(*ip, ports.first + 3)))
            .collect();
        let is_side = machine.service.is_some();
        let (class, serves) = if is_side {
            ("side", "\"side\"")
        } else {
            ("edge", "\"edge\",\"control\"")
        };
        let backend = machine.service.map_or(String::new(), |service| {
            format!(
                "app = \"{}\"\nService = \"{service}\"\n",
                ports.app(machine)
            )
        });
        let outbound = if is_side {
            format!("outbound = \"{}\"\n", ports.outbound(machine))
        } else {
            String::new()
        };
        let (share, memory) = if is_side { (0.15, 128) } else { (0.25, 260) };
        format!(
            "NodeName = \"{name}\"\nRole = \"{class}\"\nMachineClass = \"{class}\"\n\
             Serves = [{serves}]\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"region\"\n\
             InternalPorts = [{first},{last}]\nSeeds = [{seeds}]\nBootstrap = {bootstrap}\n\
             LossCounts = false\nDiscovery = \"local\"\nEntryKind = \"advertise\"\n\
             HeartbeatIntervalMs = {period}\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"platform\"]\n\
             Hash = \"mod\"\nDeploymentMode = \"agent\"\n{backend}\
             [Zones]\nzone-a = \"region\"\nzone-b = \"region\"\n\
             [Listen]\nDatagramAddr = \"{packets}\"\n{outbound}\
             ReadyAddr = \"{ready}\"\nControl = \"{control}\"\n\
             [Limits]\nCpuShare = {share}\nCores = 1\nMemoryMb = {memory}\nMaxFds = 4100\n\
             LinkMbps = 1000.0\nDiskMb = 0\n\
             [FaultTolerance]\nMachines = 2\nZones = 0\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nStableWindowMs = 4000\nAckMs = 5000\n\
             CatchUpS = 4\nDrainMs = 3000\nGraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 3000\n\
             DowngradeMs = 250\nMaxSkewMs = 12000\nRecoveryS = 12\nReorderMs = 2000\nMaxFlowS = 60\n\
             [platform]\nAddress = \"{store}\"\nDeploymentMode = \"objects\"\nWritesPerS = 400\n\
             ReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nMinTtlMs = 1000\n",
            name = machine.name,
            ip = machine.ip,
            zone = machine.zone,
            seeds = seeds.join(","),
            period = REPORT_PERIOD.as_millis(),
            packets = ports.packets(machine),
            ready = ports.ready(machine),
            control = ports.control(machine),
            store = ports.store(),
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ended = child.kill();
            let _status = child.wait();
        }
    }
}
