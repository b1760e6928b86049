//! Cases of the review that are shown by a script. Each starts the system's own processes
//! between stand-ins, with or without its disruption, and checks one rule.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod backend;
mod fleet;
mod http;
mod packet;
mod record;
mod requester;
mod store;

use std::{
    env, fs,
    net::{Ipv4Addr, SocketAddrV4},
    panic,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use backend::Backend;
use fleet::{Fleet, Machine};
use record::Record;
use requester::{Edge, Requesters, Reset};
use serde_json::{Value, json};
use store::Store;

const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
const FLOWS: u16 = 80;

/// Time from the start of the machines to the start of the traffic.
const LEAD: Duration = Duration::from_secs(10);

/// `IdleTimeoutMs` of the configuration: flows that were idle for longer are not counted.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause between two machines of a rolling restart.
const ROLL_GAP: Duration = Duration::from_secs(1);

/// Time after which a machine that was restarted is in touch, and a little more.
const SETTLE: Duration = Duration::from_millis(4_500);

fn main() -> ExitCode {
    let mut words = env::args().skip(1);
    let (Some(case), Some(path)) = (words.next(), words.next()) else {
        eprintln!("usage: review-cases CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(&path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.write(&format!("case {case}, trouble={trouble}"));
    let run = || match case.as_str() {
        "rolled-agents" => rolled_agents(trouble, &record),
        "moved-route" => moved_route(trouble, &record),
        _ => Err(format!("unknown case {case}")),
    };
    let outcome = panic::catch_unwind(panic::AssertUnwindSafe(run));
    let outcome = outcome.unwrap_or_else(|_panic| Err("a stand-in failed".to_owned()));
    match outcome {
        Ok(broken) => {
            let line = if broken.is_empty() {
                "held".to_owned()
            } else {
                broken.join("; ")
            };
            record.write(&format!("verdict  {line}"));
            println!("{line}");
            ExitCode::from(u8::from(!broken.is_empty()))
        }
        Err(error) => {
            record.write(&format!("verdict  could not run: {error}"));
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Deployment with its stand-ins.
struct Scene {
    fleet: Fleet,
    store: Store,
    backends: Vec<Backend>,
    requesters: Arc<Requesters>,
    dir: PathBuf,
    record: Record,
}

/// Machines of two zones: two edges in the first and one in the second, four backends of one
/// service and two of another.
fn machines() -> Vec<Machine> {
    let machine = |class: &str, zone: &'static str, number: u8, last, service| Machine {
        name: format!("{class}-{zone}-{number}"),
        zone,
        ip: Ipv4Addr::new(127, 87, 0, last),
        service,
    };
    vec![
        machine("edge", "zone-a", 1, 11, None),
        machine("edge", "zone-a", 2, 12, None),
        machine("edge", "zone-b", 1, 13, None),
        machine("side", "zone-a", 1, 21, Some("ledger")),
        machine("side", "zone-a", 2, 22, Some("ledger")),
        machine("side", "zone-b", 1, 23, Some("ledger")),
        machine("side", "zone-b", 2, 24, Some("ledger")),
        machine("side", "zone-a", 3, 25, Some("intake")),
        machine("side", "zone-b", 3, 26, Some("intake")),
    ]
}

/// Configuration with one route, whose new flows are split between two services. A service
/// without weight is left out.
fn config(version: u64, ledger: u32, intake: u32) -> Value {
    let mut route = json!({"Name": "r-1", "Host": ROUTE.ip().to_string(),
        "PathPrefix": format!("/{}/", ROUTE.port()), "RouteType": "safe", "TimeoutMs": 4000,
        "TargetLatencyMs": 250, "Priority": 2, "MaxAttempts": 2});
    if intake == 0 {
        route["Service"] = json!("ledger");
    } else {
        route["TrafficSplit"] = json!([{"Service": "ledger", "Weight": ledger},
            {"Service": "intake", "Weight": intake}]);
    }
    let service = |name: &str| {
        json!({"Name": name, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1",
            "Tls": false})
    };
    json!({"Version": version, "Routes": [route],
        "Services": [service("ledger"), service("intake")],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262_144, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15_000}})
}

impl Scene {
    /// Starts the whole system for the first time, and waits until traffic may start.
    fn start(record: &Record, first_config: Value) -> Result<Self, String> {
        let dir = env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|error| error.to_string())?;
        let ports = fleet::draw_ports();
        let store = Store::serve(ports.store()).map_err(|error| format!("store: {error}"))?;
        store.write_config(first_config);
        record.write("config   version 7 acknowledged");
        let mut fleet = Fleet::new(machines(), ports, &dir, record.clone());
        for machine in fleet.machines.clone() {
            fleet.start(&machine.name, true);
        }
        let mut backends = Vec::new();
        for (machine, number) in fleet.sides().iter().zip(1..) {
            let settings = backend::Settings {
                id: format!("i-{number}-{}", machine.service.unwrap_or_default()),
                service: machine.service.unwrap_or_default().to_owned(),
                zone: machine.zone.to_owned(),
                app: ports.app(machine),
                outbound: ports.outbound(machine),
                control: ports.control(machine),
                slots: 7,
                report_period: fleet::REPORT_PERIOD,
            };
            let started = Backend::start(settings, record.clone());
            backends.push(started.map_err(|error| format!("backend: {error}"))?);
        }
        let near = fleet
            .edges()
            .into_iter()
            .filter(|edge| edge.zone == "zone-a");
        let edges: Vec<_> = near
            .map(|edge| Edge {
                packets: ports.packets(&edge),
                ready: ports.ready(&edge),
            })
            .collect();
        let ip = Ipv4Addr::new(127, 87, 0, 200);
        let requesters = Requesters::start(ip, &edges, record.clone())
            .map_err(|error| format!("requesters: {error}"))?;
        let mut scene = Self {
            fleet,
            store,
            backends,
            requesters,
            dir,
            record: record.clone(),
        };
        thread::sleep(LEAD);
        if !scene.requesters.all_edges_ready() {
            return Err("not all edges are ready when traffic starts".to_owned());
        }
        match scene.fleet.ended().as_slice() {
            [] => Ok(scene),
            ended => Err(format!("ended by themselves: {ended:?}")),
        }
    }

    /// Opens the flows, a few at a time, and serves one request on each.
    fn open_flows(&self) -> Result<(), String> {
        for port in 0..FLOWS {
            self.requesters.open(20_000 + port, ROUTE);
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(Duration::from_millis(1_500));
        let open = self.requesters.idle().len();
        if open < usize::from(FLOWS) * 9 / 10 {
            return Err(format!("only {open} of {FLOWS} flows opened"));
        }
        self.round("a");
        let answered = self.requesters.answered();
        if answered < open {
            return Err(format!(
                "only {answered} of {open} flows were served at the start"
            ));
        }
        Ok(())
    }

    /// Sends one request on each open flow, and waits for the answers.
    fn round(&self, name: &str) {
        for port in self.requesters.idle() {
            self.requesters.request(port, &format!("{name}-{port}"));
            thread::sleep(Duration::from_millis(8));
        }
        let end = Instant::now() + Duration::from_millis(4_000);
        while self.requesters.outstanding() > 0 && Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Rule FLOW (a): an open flow whose backend lives got a reset that the backend did not
    /// send. All backends live, none has a disruption, and no route is removed.
    fn broken_flows(&mut self) -> Vec<String> {
        self.fleet
            .record_logs(&["decision=reset", "decision=refuse_route"]);
        let is_open = |port: u16| {
            self.backends.iter().find(|backend| {
                let seen = backend.seen.lock().expect("lock");
                seen.open.iter().any(|(caller, _)| caller.port() == port)
            })
        };
        let resets = self.requesters.resets();
        let mut broken = Vec::new();
        let counted =
            |reset: &&Reset| reset.open && !reset.from_backend && reset.idle <= IDLE_TIMEOUT;
        for reset in resets.iter().filter(counted) {
            if let Some(backend) = is_open(reset.port) {
                self.record.write(&format!(
                    "FLOW     the flow of port {} is open at {}, which lives, and was reset",
                    reset.port, backend.id
                ));
                broken.push(reset.port);
            }
        }
        let answered = self.requesters.answered();
        self.record.write(&format!("answered {answered} requests"));
        if broken.is_empty() {
            return Vec::new();
        }
        vec![format!(
            "FLOW: {} open flows were reset while their backends live",
            broken.len()
        )]
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        if env::var_os("KEEP_LOGS").is_none() {
            let _left = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Flows of a route that is split between two services pause while the agents are restarted
/// in turn.
fn rolled_agents(trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let mut scene = Scene::start(record, config(7, 90, 10))?;
    scene.open_flows()?;
    let start = Instant::now();
    let sides = scene.fleet.sides();
    let turn = ROLL_GAP * u32::try_from(sides.len()).unwrap_or(0);
    if trouble {
        for (side, at) in sides.iter().zip(0..) {
            thread::sleep((ROLL_GAP * at).saturating_sub(start.elapsed()));
            scene.fleet.restart(&side.name);
        }
    }
    thread::sleep((turn + SETTLE).saturating_sub(start.elapsed()));
    scene.round("b");
    Ok(scene.broken_flows())
}

/// The operator takes one of a route's two services out of the route; then the balancers of
/// the requesters' zone are restarted in turn. The flows pause meanwhile.
fn moved_route(trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let mut scene = Scene::start(record, config(7, 50, 50))?;
    scene.open_flows()?;
    let start = Instant::now();
    scene.store.write_config(config(9, 100, 0));
    record.write("config   version 9 acknowledged: the route has one service");
    thread::sleep(Duration::from_millis(3_000));
    if trouble {
        for edge in scene.fleet.edges() {
            if edge.zone == "zone-a" {
                scene.fleet.restart(&edge.name);
                thread::sleep(ROLL_GAP);
            }
        }
    }
    thread::sleep(Duration::from_millis(12_000).saturating_sub(start.elapsed()));
    scene.round("b");
    Ok(scene.broken_flows())
}
