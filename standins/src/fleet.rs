//! Whole fleets of real processes.
//!
//! A fleet is a platform, a fabric, balancers, and an agent with its upstream
//! on each upstream host. All listen on ports that the system picks; settings
//! and logs lie in a folder that goes with the fleet, as do the processes.

use std::{
    ffi::OsString,
    fmt::Debug,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use cassiacross::clock;
use serde::Deserialize;
use serde_json::{Value, json};
use thiserror::Error;

use crate::{
    client, deployment, history, host, interpose,
    process::{self, Process, Program, Signal},
    upstream, wait,
};

/// Secret that operators' calls carry.
pub const OPERATOR_TOKEN: &str = "operator token of a test fleet";

/// Secret that the processes of a fleet share.
pub const FLEET_KEY: &str = "fleet key of a test fleet";

const LOOPBACK_ANY: &str = "127.0.0.1:0";

/// Why a fleet could not do what was asked.
#[derive(Debug, Error)]
pub enum Error {
    /// A process could not be run.
    #[error(transparent)]
    Process(#[from] process::Error),
    /// Something did not come to hold.
    #[error(transparent)]
    Timeout(#[from] wait::Timeout),
    /// Settings could not be written.
    #[error("settings cannot be written: {0}")]
    Settings(#[from] io::Error),
    /// A call gave nothing.
    #[error(transparent)]
    Call(#[from] client::Error),
    /// A process told addresses of another shape.
    #[error("addresses cannot be read: {0}")]
    Addresses(#[from] serde_json::Error),
    /// The operator tool refused.
    #[error("cassiacross {args}: {message}")]
    Operator {
        /// The tool's arguments.
        args: String,
        /// What it wrote.
        message: String,
    },
    /// No process of the fleet has the name.
    #[error("no process is named {0}")]
    UnknownName(String),
}

/// What varies between fleets of one deployment.
#[derive(Debug)]
pub struct Options {
    /// Time between heartbeats, and between exchanges.
    pub period: clock::Millis,
    /// Seed of the fabric.
    pub seed: u64,
    /// Filter of the processes' logs.
    pub log_filter: String,
    /// Rules of the agents, as in their settings.
    pub policy: Value,
    /// Puts proxies between the processes.
    pub interposer: Option<interpose::Interposer>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            period: clock::Millis(200),
            seed: 1,
            log_filter: "info".to_owned(),
            policy: json!({}),
            interposer: None,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct HttpAddr {
    http: SocketAddr,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The balancers, the oldest first.
    pub balancers: Vec<host::Balancer>,
    /// The upstream hosts.
    pub upstreams: Vec<host::Upstream>,
    /// Address of the platform's HTTP calls.
    pub platform: SocketAddr,
    /// Address of the fabric's HTTP calls.
    pub fabric: SocketAddr,
    /// Calls the processes.
    pub client: client::Client,
    /// TCP ports of the services at the fabric, sorted by name.
    pub ports: Vec<(String, SocketAddr)>,
    processes: Vec<Process>,
    deployment: deployment::Deployment,
    options: Options,
    started: usize,
    killed: Vec<String>,
    ledgers: Vec<String>,
    dir: tempfile::TempDir,
}

impl Fleet {
    /// Starts all processes, applies the records and waits until all services answer.
    pub async fn start(
        deployment: deployment::Deployment,
        options: Options,
    ) -> Result<Self, Error> {
        let mut fleet = Self::outside(deployment, options).await?;
        for _ in 0..fleet.deployment.balancers {
            fleet.launch_balancer().await?;
        }
        fleet.admit_balancers().await?;
        let services = fleet.deployment.services.clone();
        for service in &services {
            fleet.apply(service.name, &service.record).await?;
        }
        for service in &services {
            fleet.add_upstreams(service).await?;
        }
        fleet.settle().await?;
        Ok(fleet)
    }

    async fn outside(deployment: deployment::Deployment, options: Options) -> Result<Self, Error> {
        let dir = tempfile::Builder::new().prefix("fleet-").tempdir()?;
        let platform = start_standin(dir.path(), &options, "platform", &["platform"]).await?;
        let mut args = vec!["fabric".to_owned(), "--seed".to_owned()];
        args.push(options.seed.to_string());
        for service in &deployment.services {
            args.push("--service".to_owned());
            args.push(format!("{}={}", service.name, service.address()));
        }
        let fabric = start_standin(dir.path(), &options, "fabric", &args).await?;
        let mut fleet = Self {
            balancers: Vec::new(),
            upstreams: Vec::new(),
            platform: http(&platform)?,
            fabric: http(&fabric)?,
            ports: Vec::new(),
            processes: vec![fabric, platform],
            deployment,
            options,
            client: client::Client::new()?,
            started: 0,
            killed: Vec::new(),
            ledgers: Vec::new(),
            dir,
        };
        fleet.ports = fleet.client.service_ports(fleet.fabric).await?;
        Ok(fleet)
    }

    /// Starts one more balancer under a new name and puts it behind the fabric once it is ready.
    pub async fn add_balancer(&mut self) -> Result<String, Error> {
        let name = self.launch_balancer().await?;
        self.admit_balancers().await?;
        Ok(name)
    }

    async fn launch_balancer(&mut self) -> Result<String, Error> {
        self.started += 1;
        let name = format!("balancer-{}", self.started);
        let domains = &self.deployment.domains;
        let domain = domains[(self.started - 1) % domains.len()].to_owned();
        let listen = host::ListenAddrs::default();
        let balancer = self.start_balancer(&name, domain, listen).await?;
        self.balancers.push(balancer);
        Ok(name)
    }

    /// Waits until the newest balancer is ready, and tells the fabric of all.
    async fn admit_balancers(&self) -> Result<(), Error> {
        if let Some(newest) = self.balancers.last() {
            let what = format!("readiness of {}", newest.process.name());
            let http = newest.addr.http.into();
            let ready = async || self.client.is_ready(http).await;
            wait::until(&what, wait::LIMIT, ready).await?;
        }
        self.tell_fabric().await
    }

    /// Starts a balancer, waits until it is ready, and then stops the named one gracefully.
    pub async fn replace_balancer(&mut self, name: &str) -> Result<String, Error> {
        let added = self.add_balancer().await?;
        self.stop_balancer(name).await?;
        Ok(added)
    }

    /// Stops a balancer gracefully, then takes it from the fabric.
    pub async fn stop_balancer(&mut self, name: &str) -> Result<(), Error> {
        let index = self.balancer(name)?;
        self.balancers[index].process.stop().await?;
        self.balancers.remove(index);
        self.tell_fabric().await
    }

    /// Kills a balancer; the fabric is told nothing and learns it from its polls.
    pub fn kill_balancer(&mut self, name: &str) -> Result<(), Error> {
        let index = self.balancer(name)?;
        self.balancers.remove(index);
        Ok(())
    }

    /// Starts an agent with the given listen addresses, and its upstream.
    pub async fn add_upstream(
        &mut self,
        name: &str,
        config: &host::UpstreamConfig,
        listen: host::ListenAddrs,
    ) -> Result<(), Error> {
        let (agent, agent_addr) = self.start_agent(name, &config.domain, listen).await?;
        let (process, upstream_addr) = self.start_upstream(name, config, agent_addr.local).await?;
        if !self.ledgers.iter().any(|known| known == name) {
            self.ledgers.push(name.to_owned());
        }
        self.upstreams.push(host::Upstream {
            name: name.to_owned(),
            agent,
            agent_addr,
            process,
            upstream_addr,
            config: config.clone(),
        });
        Ok(())
    }

    /// Stops an upstream gracefully and then its agent.
    pub async fn stop_upstream(&mut self, name: &str) -> Result<(), Error> {
        let index = self.upstream(name)?;
        self.upstreams[index].process.stop().await?;
        self.upstreams[index].agent.stop().await?;
        self.upstreams.remove(index);
        Ok(())
    }

    /// Kills an upstream host, agent and upstream; the upstream's ledger stays.
    pub fn kill_upstream(&mut self, name: &str) -> Result<(), Error> {
        let index = self.upstream(name)?;
        self.upstreams.remove(index);
        self.killed.push(name.to_owned());
        Ok(())
    }

    /// Kills an agent and starts it again; its upstream stays and finds it where it was.
    ///
    /// Packets and HTTP calls arrive at a new address if `new_addr`.
    pub async fn restart_agent(&mut self, name: &str, new_addr: bool) -> Result<(), Error> {
        let index = self.upstream(name)?;
        let domain = self.upstreams[index].config.domain.clone();
        let old = host::ListenAddrs::from(self.upstreams[index].agent_addr);
        self.upstreams[index].agent.kill();
        let listen = if new_addr {
            host::ListenAddrs {
                local: old.local,
                ..host::ListenAddrs::default()
            }
        } else {
            old
        };
        let (agent, agent_addr) = self.start_agent(name, &domain, listen).await?;
        self.upstreams[index].agent = agent;
        self.upstreams[index].agent_addr = agent_addr;
        Ok(())
    }

    /// Kills a balancer and starts it again, at new addresses if `new_addr`.
    pub async fn restart_balancer(&mut self, name: &str, new_addr: bool) -> Result<(), Error> {
        let index = self.balancer(name)?;
        let mut old = self.balancers.remove(index);
        old.process.kill();
        let listen = if new_addr {
            host::ListenAddrs::default()
        } else {
            host::ListenAddrs::from(old.addr)
        };
        let balancer = self.start_balancer(name, old.domain, listen).await?;
        self.balancers.push(balancer);
        self.tell_fabric().await
    }

    /// Sends a signal to a process of any role; agents are named `agent-UPSTREAM`.
    pub fn signal(&mut self, name: &str, signal: Signal) -> Result<(), Error> {
        let balancers = self.balancers.iter_mut().map(|one| &mut one.process);
        let upstreams = self
            .upstreams
            .iter_mut()
            .flat_map(|one| [&mut one.agent, &mut one.process]);
        let process = balancers
            .chain(upstreams)
            .chain(&mut self.processes)
            .find(|process| process.name() == name)
            .ok_or_else(|| Error::UnknownName(name.to_owned()))?;
        process.signal(signal);
        Ok(())
    }

    /// Applies a record with the operator tool.
    pub async fn apply(&self, name: &str, record: &Value) -> Result<(), Error> {
        let path = self.write_json(&format!("record-{name}"), record)?;
        let path = path.to_string_lossy().into_owned();
        self.run_operator(&["apply", &path]).await?;
        Ok(())
    }

    /// Runs the operator tool against live balancers and gives what it wrote to its output.
    pub async fn run_operator(&self, args: &[&str]) -> Result<String, Error> {
        let output = self.operator_output(args).await?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }
        Err(Error::Operator {
            args: args.join(" "),
            message: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    /// Runs the operator tool against live balancers, the newest first, whatever comes of it.
    pub async fn operator_output(&self, args: &[&str]) -> Result<std::process::Output, Error> {
        let mut all: Vec<OsString> = Vec::new();
        for balancer in self.balancers.iter().rev() {
            all.push("--balancer".into());
            all.push(balancer.addr.http.to_string().into());
        }
        all.extend(args.iter().map(OsString::from));
        let variables = [("CASSIACROSS_TOKEN", OPERATOR_TOKEN)];
        Ok(process::output(Program::Operator, all, &variables).await?)
    }

    /// What all upstreams ran, also those that were stopped or killed.
    ///
    /// Upstreams write a run before they work on it, so this is whole at any time.
    pub fn ledger(&self) -> Result<history::Ledger, Error> {
        let mut ledger = history::Ledger::default();
        for name in &self.ledgers {
            let path = self.ledger_path(name);
            ledger
                .executions
                .extend(upstream::read_ledger(name, &path)?);
        }
        Ok(ledger)
    }

    /// Upstreams whose hosts were killed.
    #[must_use]
    pub fn killed(&self) -> &[String] {
        &self.killed
    }

    /// TCP port of a service at the fabric.
    pub fn port(&self, service: &str) -> Result<SocketAddr, Error> {
        self.ports
            .binary_search_by(|(name, _)| name.as_str().cmp(service))
            .map(|index| self.ports[index].1)
            .map_err(|_place| Error::UnknownName(service.to_owned()))
    }

    /// What the fleet was started from.
    #[must_use]
    pub const fn deployment(&self) -> &deployment::Deployment {
        &self.deployment
    }

    /// Folder with settings and logs.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Stops all processes gracefully, from the upstreams to the platform.
    pub async fn stop(mut self) -> Result<(), Error> {
        for upstream in &mut self.upstreams {
            upstream.process.signal(Signal::Term);
        }
        for upstream in &mut self.upstreams {
            upstream.process.wait_exit(process::TIMEOUT).await?;
            upstream.agent.signal(Signal::Term);
        }
        for upstream in &mut self.upstreams {
            upstream.agent.wait_exit(process::TIMEOUT).await?;
        }
        for balancer in &mut self.balancers {
            balancer.process.signal(Signal::Term);
        }
        for balancer in &mut self.balancers {
            balancer.process.wait_exit(process::TIMEOUT).await?;
        }
        for process in &mut self.processes {
            process.stop().await?;
        }
        Ok(())
    }

    async fn add_upstreams(&mut self, service: &deployment::Service) -> Result<(), Error> {
        for (index, speed) in service.speeds.iter().enumerate() {
            let domains = &self.deployment.domains;
            let config = host::UpstreamConfig {
                service: service.name.to_owned(),
                domain: domains[index % domains.len()].to_owned(),
                slots: service.slots,
                connections: service.connections,
                speed: *speed,
            };
            let name = format!("{}-{}", service.name, index + 1);
            self.add_upstream(&name, &config, host::ListenAddrs::default())
                .await?;
        }
        Ok(())
    }

    /// Waits until agents are ready and each service answers at its port.
    async fn settle(&self) -> Result<(), Error> {
        for upstream in &self.upstreams {
            let what = format!("readiness of the agent of {}", upstream.name);
            let http = upstream.agent_addr.http.into();
            wait::until(&what, wait::LIMIT, async || {
                self.client.is_ready(http).await
            })
            .await?;
        }
        for (service, port) in &self.ports {
            let what = format!("answer of {service}");
            let url = format!("http://{port}/settle");
            wait::until(&what, wait::LIMIT, async || {
                self.client.is_answered(&url).await
            })
            .await?;
        }
        Ok(())
    }

    async fn start_balancer(
        &mut self,
        name: &str,
        domain: String,
        listen: host::ListenAddrs,
    ) -> Result<host::Balancer, Error> {
        let front = self.front(interpose::Role::Balancer, name);
        let advertised = front.advertise["http"].as_str();
        let advertised = advertised.and_then(|http| http.parse().ok());
        let mut settings = self.common(name, &domain, front.advertise, listen);
        settings["control"] = address(listen.control);
        settings["platform"] = json!(format!("http://{}", self.platform));
        let process = self
            .start_daemon(Program::Balancer, name, &settings)
            .await?;
        self.tell_interposer(interpose::Role::Balancer, name, process.addresses());
        let addr: host::BalancerAddr = host::BalancerAddr::deserialize(process.addresses())?;
        Ok(host::Balancer {
            process,
            domain,
            addr,
            advertised: advertised.unwrap_or(addr.http),
            packets: front.packets.unwrap_or(addr.packets),
        })
    }

    async fn start_agent(
        &mut self,
        upstream: &str,
        domain: &str,
        listen: host::ListenAddrs,
    ) -> Result<(Process, host::AgentAddr), Error> {
        let front = self.front(interpose::Role::Agent, upstream);
        let mut settings = self.common(upstream, domain, front.advertise, listen);
        settings["local"] = address(listen.local);
        settings["policy"].clone_from(&self.options.policy);
        let name = format!("agent-{upstream}");
        let process = self.start_daemon(Program::Agent, &name, &settings).await?;
        self.tell_interposer(interpose::Role::Agent, upstream, process.addresses());
        let addr = host::AgentAddr::deserialize(process.addresses())?;
        Ok((process, addr))
    }

    async fn start_upstream(
        &self,
        name: &str,
        config: &host::UpstreamConfig,
        local: SocketAddr,
    ) -> Result<(Process, host::UpstreamAddr), Error> {
        let ledger = self.ledger_path(name);
        let args = [
            "upstream",
            "--ledger",
            &ledger.to_string_lossy(),
            "--name",
            name,
            "--service",
            &config.service,
            "--agent",
            &local.to_string(),
            "--slots",
            &config.slots.to_string(),
            "--connections",
            &config.connections.to_string(),
            "--speed",
            &config.speed.to_string(),
        ];
        let process = start_standin(self.dir(), &self.options, name, &args).await?;
        let addr = host::UpstreamAddr::deserialize(process.addresses())?;
        Ok((process, addr))
    }

    async fn start_daemon(
        &self,
        program: Program,
        name: &str,
        settings: &Value,
    ) -> Result<Process, Error> {
        let path = self.write_json(name, settings)?;
        let args = vec!["run".into(), "--settings".into(), path.into_os_string()];
        let process = Process::start(process::Spec {
            name,
            program,
            args,
            dir: self.dir.path(),
            log_filter: &self.options.log_filter,
        });
        Ok(process.await?)
    }

    fn common(
        &self,
        name: &str,
        domain: &str,
        advertise: Value,
        listen: host::ListenAddrs,
    ) -> Value {
        let seeds: Vec<_> = self.balancers.iter().map(|one| one.advertised).collect();
        let mut settings = json!({
            "name": name,
            "domain": domain,
            "packets": address(listen.packets),
            "http": address(listen.http),
            "seeds": seeds,
            "fleet_key": FLEET_KEY,
            "operator_token": OPERATOR_TOKEN,
            "period_ms": self.options.period,
        });
        if !advertise.is_null() {
            settings["advertise"] = advertise;
        }
        settings
    }

    fn front(&mut self, role: interpose::Role, name: &str) -> interpose::Endpoints {
        let interposer = self.options.interposer.as_mut();
        interposer.map_or_else(interpose::Endpoints::default, |interposer| {
            (interposer.before_start)(role, name)
        })
    }

    fn tell_interposer(&mut self, role: interpose::Role, name: &str, addresses: &Value) {
        if let Some(interposer) = &mut self.options.interposer {
            (interposer.after_start)(role, name, addresses);
        }
    }

    async fn tell_fabric(&self) -> Result<(), Error> {
        let list: Vec<_> = self
            .balancers
            .iter()
            .map(|one| json!({"packets": one.packets, "http": format!("http://{}", one.addr.http)}))
            .collect();
        let list = json!(list);
        self.client.post(self.fabric, "/balancers", &list).await?;
        Ok(())
    }

    fn ledger_path(&self, upstream: &str) -> PathBuf {
        self.dir.path().join(format!("{upstream}.ledger"))
    }

    /// Writes JSON to a file of the fleet's folder.
    pub fn write_json(&self, name: &str, value: &Value) -> Result<PathBuf, Error> {
        let path = self.dir.path().join(format!("{name}.json"));
        fs::write(&path, value.to_string())?;
        Ok(path)
    }

    fn balancer(&self, name: &str) -> Result<usize, Error> {
        self.balancers
            .iter()
            .position(|one| one.process.name() == name)
            .ok_or_else(|| Error::UnknownName(name.to_owned()))
    }

    fn upstream(&self, name: &str) -> Result<usize, Error> {
        self.upstreams
            .iter()
            .position(|one| one.name == name)
            .ok_or_else(|| Error::UnknownName(name.to_owned()))
    }
}

async fn start_standin<A: AsRef<str>>(
    dir: &Path,
    options: &Options,
    name: &str,
    args: &[A],
) -> Result<Process, Error> {
    let process = Process::start(process::Spec {
        name,
        program: Program::Standin,
        args: args.iter().map(|arg| arg.as_ref().into()).collect(),
        dir,
        log_filter: &options.log_filter,
    });
    Ok(process.await?)
}

fn http(process: &Process) -> Result<SocketAddr, Error> {
    Ok(HttpAddr::deserialize(process.addresses())?.http)
}

fn address<A: ToString>(addr: Option<A>) -> Value {
    let addr = addr.map_or_else(|| LOOPBACK_ANY.to_owned(), |addr| addr.to_string());
    Value::String(addr)
}
