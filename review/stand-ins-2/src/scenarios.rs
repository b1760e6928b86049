//! The cases.

use std::{
    ops::Range,
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use crate::{
    ROUTE,
    backend::Backend,
    fleet::{Fleet, Host, KILL, STABLE_WINDOW, TERM, ZONE, wait_for},
    record::Record,
    requester::{Requester, Router},
    store::Store,
};

const LEDGER: &str = "ledger";
const INTAKE: &str = "intake";

/// Ports of the requesters' flows.
const PORTS: Range<u16> = 21_000..21_080;

/// Time between the openings of two flows.
const OPENING_INTERVAL: Duration = Duration::from_millis(5);

/// Time from a kill to the next start of the process.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time from the last start of a process to the moment at which flows are used again: all
/// machines have been in touch for a second.
const IN_TOUCH: Duration = STABLE_WINDOW.saturating_add(Duration::from_millis(1_000));

/// Time for which a flow may be idle; longer ones are not counted.
const IDLE_TIMEOUT: Duration = Duration::from_millis(15_000);

type Verdict = Result<Vec<String>, String>;

struct Case {
    fleet: Fleet,
    store: Store,
    backends: Vec<Backend>,
    requester: Requester,
    record: Record,
}

/// Runs a case; returns the breaches of its rule.
pub fn run(name: &str, program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    record.note(&format!("case {name}, trouble: {trouble}"));
    match name {
        "kills-in-a-row" => kills_in_a_row(program, trouble, record),
        "double-kill" => double_kill(program, trouble, record),
        "moved-zone" => moved(program, trouble, record, |host| host.zone == ZONE),
        "moved-all" => moved(program, trouble, record, |_| true),
        "twice-killed" => twice_killed(program, trouble, record),
        "reset-number" => reset_number(program, trouble, record),
        _ => Err(format!("no case {name}")),
    }
}

/// Returns the operator's configuration: the route leads to one service.
fn config(version: u64, service: &str) -> String {
    let listed = |name: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":2000,\
             \"Protocol\":\"h1\",\"Tls\":false}}"
        )
    };
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"{}\",\
         \"PathPrefix\":\"/{}/\",\"RouteType\":\"safe\",\"TimeoutMs\":4000,\
         \"TargetLatencyMs\":250,\"Priority\":2,\"Service\":\"{service}\",\"MaxAttempts\":2}}],\
         \"Services\":[{},{}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":{}}}}}",
        ROUTE.ip(),
        ROUTE.port(),
        listed(LEDGER),
        listed(INTAKE),
        IDLE_TIMEOUT.as_millis()
    )
}

impl Case {
    /// Starts a deployment whose route leads to `service`, and lets it run for some seconds.
    fn start(
        program: PathBuf,
        agents: &[&str],
        service: &str,
        record: &Record,
    ) -> Result<Self, String> {
        let fail = |error: std::io::Error| error.to_string();
        let mut fleet = Fleet::new(program, 6, agents, record).ok_or("no free ports")?;
        let store = Store::serve(fleet.store()).map_err(fail)?;
        store.write("config", "main", &config(1, service));
        for host in fleet.hosts() {
            fleet.start(&host, true).map_err(fail)?;
        }
        let mut backends = Vec::new();
        for (at, host) in fleet.agents.iter().enumerate() {
            let seed = 0x6000_0000 + (u32::try_from(at).unwrap() << 24);
            backends.push(Backend::start(host, seed, record).map_err(fail)?);
        }
        let router = Router::start(&fleet.balancers, record);
        let ip = fleet.requester_ip();
        let requester = Requester::new(ip, fleet.ports.packets, &router, record).map_err(fail)?;
        let count = fleet.balancers.len();
        if !wait_for(Duration::from_secs(15), || router.count() == count) {
            return Err("the balancers did not get ready".to_owned());
        }
        thread::sleep(Duration::from_secs(8));
        Ok(Self {
            fleet,
            store,
            backends,
            requester,
            record: record.clone(),
        })
    }

    /// Opens a flow from each port and sends a request on each as soon as it is open. Fails if
    /// one is not answered: there was no trouble yet.
    fn open_flows(&mut self, ports: Range<u16>) -> Result<(), String> {
        for port in ports.clone() {
            let id = format!("first-{port}");
            self.requester.open(port, ROUTE, &id);
            self.pause(OPENING_INTERVAL);
        }
        let is_served = move |requester: &Requester| {
            let mut flows = ports.clone().map(|port| &requester.flows[&port]);
            flows.all(|flow| !flow.responses.is_empty())
        };
        let end = Instant::now() + Duration::from_millis(1_500);
        self.requester.run(end, &is_served);
        if is_served(&self.requester) {
            Ok(())
        } else {
            Err("a request was not answered before any trouble".to_owned())
        }
    }

    /// Lets time pass while requesters and backends do nothing new.
    fn pause(&mut self, time: Duration) {
        self.requester.run(Instant::now() + time, |_| false);
    }

    fn stop(&mut self, hosts: &[Host], signal: i32) {
        let names: Vec<_> = hosts.iter().map(|host| host.name.clone()).collect();
        self.fleet.stop(&names, signal);
    }

    fn restart(&mut self, hosts: &[Host]) -> Result<(), String> {
        for host in hosts {
            let started = self.fleet.start(host, false);
            started.map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    /// Returns the machines of the agents of a zone.
    fn agents_of(&self, zone: &str) -> Vec<Host> {
        let agents = self.fleet.agents.iter();
        agents.filter(|host| host.zone == zone).cloned().collect()
    }

    /// Returns the ports whose flow is open at a backend beside one of the hosts.
    fn owned_by(&self, hosts: &[Host]) -> Vec<u16> {
        let is_beside = |backend: &&Backend| hosts.iter().any(|h| h.name == backend.host.name);
        let beside = self.backends.iter().filter(is_beside);
        let flows = beside.flat_map(|backend| backend.seen.lock().unwrap().open.clone());
        flows.map(|end| end.port()).collect()
    }

    /// Uses the flows again, and returns those that were reset although their backend lives and
    /// did not send the reset (FLOW, a).
    fn use_flows(&mut self, ports: &[u16]) -> Verdict {
        if let Some(name) = self.fleet.ended().first() {
            return Err(format!("{name} ended by itself"));
        }
        self.record
            .note("all machines are in touch; the open flows are used again");
        let before = Instant::now();
        let is_usable = |port: &&u16| {
            let flow = &self.requester.flows[*port];
            flow.reset.is_none() && flow.used.elapsed() < IDLE_TIMEOUT
        };
        let ports: Vec<u16> = ports.iter().filter(is_usable).copied().collect();
        for port in &ports {
            self.requester.request(*port, &format!("again-{port}"));
        }
        self.requester
            .run(before + Duration::from_secs(4), |requester| {
                let mut flows = ports.iter().map(|port| &requester.flows[port]);
                flows.all(|flow| flow.reset.is_some() || flow.responses.len() >= 2)
            });
        let mut broken = Vec::new();
        let (mut answered, mut silent) = (0, 0);
        for port in ports {
            let flow = &self.requester.flows[&port];
            match flow.reset {
                Some(reset) if !reset.own && reset.open => broken.push(format!(
                    "FLOW: port {port}: open for {} ms, reset, its backend lives",
                    flow.started.elapsed().as_millis()
                )),
                _ if flow.responses.len() >= 2 => answered += 1,
                _ => silent += 1,
            }
        }
        let summary = format!(
            "flows used again: {answered} answered, {} reset, {silent} without an answer",
            broken.len()
        );
        self.record.note(&summary);
        println!("{summary}");
        Ok(broken)
    }
}

/// The agents of two zones are killed, those of the second 300 ms after those of the first. Each
/// process starts again after its delay.
fn kills_in_a_row(program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    let mut case = Case::start(program, &[LEDGER; 7], LEDGER, record)?;
    case.open_flows(PORTS)?;
    case.pause(Duration::from_millis(2_500));
    let (first, second) = (case.agents_of(ZONE), case.agents_of("zc"));
    if trouble {
        let gap = Duration::from_millis(300);
        case.stop(&first, KILL);
        case.pause(gap);
        case.stop(&second, KILL);
        case.pause(RESTART_DELAY - gap);
        case.restart(&first)?;
        case.pause(gap);
        case.restart(&second)?;
    }
    case.pause(IN_TOUCH);
    case.use_flows(&PORTS.collect::<Vec<_>>())
}

/// Both agents of a zone are killed at the same moment, less than a second after flows were
/// opened.
fn double_kill(program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    let mut case = Case::start(program, &[LEDGER; 7], LEDGER, record)?;
    case.open_flows(PORTS)?;
    let killed = case.agents_of(ZONE);
    if trouble {
        case.stop(&killed, KILL);
        case.pause(RESTART_DELAY);
        case.restart(&killed)?;
    }
    case.pause(IN_TOUCH);
    case.use_flows(&PORTS.collect::<Vec<_>>())
}

/// The operator moves the route to another service; seconds later the processes of the hosts that
/// `is_killed` selects are killed at the same moment.
fn moved(
    program: PathBuf,
    trouble: bool,
    record: &Record,
    is_killed: impl Fn(&Host) -> bool,
) -> Verdict {
    // The backends of the first service are not in the zone of the requesters.
    let agents = [LEDGER, LEDGER, LEDGER, INTAKE, LEDGER, INTAKE, INTAKE];
    let mut case = Case::start(program, &agents, INTAKE, record)?;
    case.open_flows(PORTS)?;
    case.store.write("config", "main", &config(4, LEDGER));
    record.note("operator: version 4 sends new flows to the other service");
    case.pause(Duration::from_millis(3_500));
    let killed: Vec<_> = case.fleet.hosts().into_iter().filter(is_killed).collect();
    if trouble {
        case.stop(&killed, KILL);
        case.pause(RESTART_DELAY);
        case.restart(&killed)?;
    }
    case.pause(IN_TOUCH);
    let spared = killed.len() < case.fleet.hosts().len();
    let excluded = if spared {
        case.owned_by(&killed)
    } else {
        Vec::new()
    };
    let ports: Vec<_> = PORTS.filter(|port| !excluded.contains(port)).collect();
    record.note(&format!(
        "{} flows of backends beside killed processes left out",
        excluded.len()
    ));
    case.use_flows(&ports)
}

/// One agent is killed shortly after flows were opened, and once more seconds later.
fn twice_killed(program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    let mut case = Case::start(program, &[LEDGER; 7], LEDGER, record)?;
    case.open_flows(PORTS)?;
    let agent = case.agents_of(ZONE)[..1].to_vec();
    for wait in [Duration::from_millis(5_500), IN_TOUCH] {
        if trouble {
            case.stop(&agent, KILL);
            case.pause(RESTART_DELAY);
            case.restart(&agent)?;
        }
        case.pause(wait);
    }
    case.use_flows(&PORTS.collect::<Vec<_>>())
}

/// An agent is stopped and started again as planned; seconds later its backend drains, leaves and
/// ends, and the requesters of its idle flows are told.
fn reset_number(program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    let mut case = Case::start(program, &[LEDGER; 7], LEDGER, record)?;
    case.open_flows(PORTS)?;
    case.pause(Duration::from_millis(1_500));
    let agent = case.agents_of(ZONE)[0].clone();
    if trouble {
        case.stop(std::slice::from_ref(&agent), TERM);
        case.pause(RESTART_DELAY);
        case.restart(std::slice::from_ref(&agent))?;
    }
    case.pause(IN_TOUCH);
    let mut backends = case.backends.iter();
    let leaving = backends.position(|backend| backend.host.name == agent.name);
    let leaving = leaving.ok_or("no backend beside the agent")?;
    record.note("the backend beside it says that it leaves");
    case.backends[leaving].drain();
    case.pause(Duration::from_millis(3_500));
    record.note("the backend deregisters and ends");
    case.backends[leaving].leave();
    case.pause(Duration::from_millis(2_000));
    let resets: Vec<_> = case
        .requester
        .flows
        .iter()
        .filter_map(|(port, flow)| Some((*port, flow.reset?)))
        .collect();
    println!("{} requesters were told by a reset", resets.len());
    let mut broken: Vec<_> = resets
        .iter()
        .filter(|(_, reset)| !reset.own && reset.open && !reset.in_window)
        .map(|(port, _)| {
            format!("MIXED: port {port}: a reset that is none, its number is far from the flow's")
        })
        .collect();
    broken.extend(
        case.requester
            .foreign
            .iter()
            .map(|what| format!("MIXED: {what}")),
    );
    Ok(broken)
}
