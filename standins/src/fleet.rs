//! Starts and controls complete fleets of real processes.
//!
//! A fleet consists of a platform, a fabric, balancers, and one agent and upstream per upstream
//! host. All processes listen on free ports chosen by the system. Settings and logs are in a
//! temporary folder. Dropping the fleet kills the processes and removes the folder.

mod start;

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

/// Operator token of the fleet, which authorizes administrative requests.
pub const OPERATOR_TOKEN: &str = "operator token of a test fleet";

/// Shared key of the processes of the fleet.
pub const FLEET_KEY: &str = "fleet key of a test fleet";

/// A failed operation on a fleet.
#[derive(Debug, Error)]
pub enum Error {
    /// A process could not be started, run or stopped.
    #[error(transparent)]
    Process(#[from] process::Error),
    /// A condition did not hold before the timeout.
    #[error(transparent)]
    Timeout(#[from] wait::Timeout),
    /// A settings or ledger file could not be written or read.
    #[error("writing or reading a file of the fleet failed: {0}")]
    Settings(#[from] io::Error),
    /// An HTTP request to a process failed.
    #[error(transparent)]
    Call(#[from] client::Error),
    /// A process printed bound addresses with an unexpected structure.
    #[error("invalid bound addresses printed by a process: {0}")]
    Addresses(#[from] serde_json::Error),
    /// The operator tool exited with an error.
    #[error("cassiacross {args}: {message}")]
    Operator {
        /// Arguments of the tool.
        args: String,
        /// Standard error output of the tool.
        message: String,
    },
    /// No process or service of the fleet has this name.
    #[error("no process or service is named {0}")]
    UnknownName(String),
}

/// Start options of a fleet, independent of its deployment.
#[derive(Debug)]
pub struct Options {
    /// Period of heartbeats and of gossip exchanges.
    pub period: clock::Millis,
    /// Seed of the fabric.
    pub seed: u64,
    /// Log filter of the processes, in the syntax of `env_logger`.
    pub log_filter: String,
    /// Value of the agents' `policy` setting.
    pub policy: Value,
    /// Callbacks that put proxies between the processes.
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

/// A running fleet; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Balancers, in the order of their start.
    pub balancers: Vec<host::Balancer>,
    /// Upstream hosts.
    pub upstreams: Vec<host::Upstream>,
    /// HTTP address of the platform.
    pub platform: SocketAddr,
    /// HTTP address of the fabric's control port.
    pub fabric: SocketAddr,
    /// HTTP client for requests to the processes.
    pub client: client::Client,
    /// TCP address of each service at the fabric, sorted by service name.
    pub ports: Vec<(String, SocketAddr)>,
    standins: Vec<Process>,
    deployment: deployment::Deployment,
    options: Options,
    started_balancers: usize,
    killed: Vec<String>,
    ledgers: Vec<String>,
    dir: tempfile::TempDir,
}

impl Fleet {
    /// Starts all processes, applies the records and waits until all services respond.
    pub async fn start(
        deployment: deployment::Deployment,
        options: Options,
    ) -> Result<Self, Error> {
        let mut fleet = Self::start_environment(deployment, options).await?;
        for _ in 0..fleet.deployment.balancers {
            fleet.start_next_balancer().await?;
        }
        fleet.publish_balancers().await?;
        let services = fleet.deployment.services.clone();
        for service in &services {
            fleet.apply(service.name, &service.record).await?;
        }
        for service in &services {
            fleet.add_upstreams(service).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn start_environment(
        deployment: deployment::Deployment,
        options: Options,
    ) -> Result<Self, Error> {
        let dir = tempfile::Builder::new().prefix("fleet-").tempdir()?;
        let platform =
            start::start_standin(dir.path(), &options, "platform", &["platform"]).await?;
        let mut args = vec!["fabric".to_owned(), "--seed".to_owned()];
        args.push(options.seed.to_string());
        for service in &deployment.services {
            args.push("--service".to_owned());
            args.push(format!("{}={}", service.name, service.address()));
        }
        let fabric = start::start_standin(dir.path(), &options, "fabric", &args).await?;
        let mut fleet = Self {
            balancers: Vec::new(),
            upstreams: Vec::new(),
            platform: start::http_addr(&platform)?,
            fabric: start::http_addr(&fabric)?,
            ports: Vec::new(),
            standins: vec![fabric, platform],
            deployment,
            options,
            client: client::Client::new()?,
            started_balancers: 0,
            killed: Vec::new(),
            ledgers: Vec::new(),
            dir,
        };
        fleet.ports = fleet.client.service_ports(fleet.fabric).await?;
        Ok(fleet)
    }

    /// Starts a balancer under a new name and adds it to the fabric once it is ready; returns the
    /// name.
    pub async fn add_balancer(&mut self) -> Result<String, Error> {
        let name = self.start_next_balancer().await?;
        self.publish_balancers().await?;
        Ok(name)
    }

    async fn start_next_balancer(&mut self) -> Result<String, Error> {
        self.started_balancers += 1;
        let name = format!("balancer-{}", self.started_balancers);
        let domains = &self.deployment.domains;
        let domain = domains[(self.started_balancers - 1) % domains.len()].to_owned();
        let listen = host::ListenAddrs::default();
        let balancer = self.start_balancer(&name, domain, listen).await?;
        self.balancers.push(balancer);
        Ok(name)
    }

    /// Waits until the newest balancer is ready, then updates the fabric's list of balancers.
    async fn publish_balancers(&self) -> Result<(), Error> {
        if let Some(newest) = self.balancers.last() {
            let condition = format!("readiness of {}", newest.process.name());
            let http = newest.addr.http.into();
            let ready = async || self.client.is_ready(http).await;
            wait::until(&condition, wait::LIMIT, ready).await?;
        }
        self.update_fabric().await
    }

    /// Starts a new balancer, waits until it is ready, then stops the named one gracefully; returns
    /// the new name.
    pub async fn replace_balancer(&mut self, name: &str) -> Result<String, Error> {
        let added = self.add_balancer().await?;
        self.stop_balancer(name).await?;
        Ok(added)
    }

    /// Stops a balancer gracefully, then removes it from the fabric.
    pub async fn stop_balancer(&mut self, name: &str) -> Result<(), Error> {
        let index = self.balancer_index(name)?;
        self.balancers[index].process.stop().await?;
        self.balancers.remove(index);
        self.update_fabric().await
    }

    /// Kills a balancer without updating the fabric, which detects the failure by its readiness
    /// probes.
    pub fn kill_balancer(&mut self, name: &str) -> Result<(), Error> {
        let index = self.balancer_index(name)?;
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

    /// Stops an upstream gracefully, then its agent.
    pub async fn stop_upstream(&mut self, name: &str) -> Result<(), Error> {
        let index = self.upstream_index(name)?;
        self.upstreams[index].process.stop().await?;
        self.upstreams[index].agent.stop().await?;
        self.upstreams.remove(index);
        Ok(())
    }

    /// Kills the agent and the upstream of a host; the ledger file of the upstream remains.
    pub fn kill_upstream(&mut self, name: &str) -> Result<(), Error> {
        let index = self.upstream_index(name)?;
        self.upstreams.remove(index);
        self.killed.push(name.to_owned());
        Ok(())
    }

    /// Kills an agent and restarts it; its upstream keeps running and reaches it at the same local
    /// address.
    ///
    /// If `new_addr` is set, the packet and HTTP addresses change.
    pub async fn restart_agent(&mut self, name: &str, new_addr: bool) -> Result<(), Error> {
        let index = self.upstream_index(name)?;
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

    /// Kills a balancer and restarts it; if `new_addr` is set, its addresses change.
    pub async fn restart_balancer(&mut self, name: &str, new_addr: bool) -> Result<(), Error> {
        let index = self.balancer_index(name)?;
        let mut old = self.balancers.remove(index);
        old.process.kill();
        let listen = if new_addr {
            host::ListenAddrs::default()
        } else {
            host::ListenAddrs::from(old.addr)
        };
        let balancer = self.start_balancer(name, old.domain, listen).await?;
        self.balancers.push(balancer);
        self.update_fabric().await
    }

    /// Sends a signal to the named process; the agent of an upstream is named `agent-UPSTREAM`.
    pub fn signal(&mut self, name: &str, signal: Signal) -> Result<(), Error> {
        let balancers = self
            .balancers
            .iter_mut()
            .map(|balancer| &mut balancer.process);
        let upstreams = self
            .upstreams
            .iter_mut()
            .flat_map(|upstream| [&mut upstream.agent, &mut upstream.process]);
        let process = balancers
            .chain(upstreams)
            .chain(&mut self.standins)
            .find(|process| process.name() == name)
            .ok_or_else(|| Error::UnknownName(name.to_owned()))?;
        process.signal(signal);
        Ok(())
    }

    /// Applies a service record with the operator tool.
    pub async fn apply(&self, name: &str, record: &Value) -> Result<(), Error> {
        let path = self.write_json(&format!("record-{name}"), record)?;
        let path = path.to_string_lossy().into_owned();
        self.run_operator(&["apply", &path]).await?;
        Ok(())
    }

    /// Runs the operator tool and returns its standard output; fails if the exit status is not 0.
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

    /// Runs the operator tool with all running balancers, the newest first, and returns its output
    /// and exit status.
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

    /// Returns the executions of all upstreams, including stopped and killed ones.
    ///
    /// Upstreams record an execution before its work starts, so the ledger is complete at any time.
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

    /// Returns the names of the upstreams whose hosts were killed.
    #[must_use]
    pub fn killed(&self) -> &[String] {
        &self.killed
    }

    /// Returns the TCP address of a service at the fabric.
    pub fn port(&self, service: &str) -> Result<SocketAddr, Error> {
        self.ports
            .binary_search_by(|(name, _)| name.as_str().cmp(service))
            .map(|index| self.ports[index].1)
            .map_err(|_index| Error::UnknownName(service.to_owned()))
    }

    /// Returns the deployment of the fleet.
    #[must_use]
    pub const fn deployment(&self) -> &deployment::Deployment {
        &self.deployment
    }

    /// Returns the folder of settings, ledgers and logs.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Stops all processes gracefully: upstreams, agents, balancers, then fabric and platform.
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
        for process in &mut self.standins {
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

    /// Waits until all agents are ready, each balancer knows each of them as ready, and each
    /// service responds to a request.
    async fn wait_ready(&self) -> Result<(), Error> {
        for upstream in &self.upstreams {
            let condition = format!("readiness of the agent of {}", upstream.name);
            let http = upstream.agent_addr.http.into();
            wait::until(&condition, wait::LIMIT, async || {
                self.client.is_ready(http).await
            })
            .await?;
        }
        for balancer in &self.balancers {
            let condition = format!("all agents at {}", balancer.process.name());
            let http = balancer.addr.http.into();
            wait::until(&condition, wait::LIMIT, async || {
                self.knows_all_agents(http).await
            })
            .await?;
        }
        for (service, port) in &self.ports {
            let condition = format!("response of {service}");
            let url = format!("http://{port}/settle");
            wait::until(&condition, wait::LIMIT, async || {
                self.client.is_answered(&url).await
            })
            .await?;
        }
        Ok(())
    }

    /// Returns whether the balancer at `http` lists the agent of each upstream as ready.
    async fn knows_all_agents(&self, http: SocketAddr) -> bool {
        let Ok(state) = self.client.state(http).await else {
            return false;
        };
        let members = state["members"].as_array().map_or(&[][..], Vec::as_slice);
        let is_ready = |name: &str| {
            let mut rows = members.iter().map(|row| &row["member"]);
            rows.any(|member| member["name"] == name && member["state"] == "ready")
        };
        self.upstreams
            .iter()
            .all(|upstream| is_ready(&upstream.name))
    }

    async fn update_fabric(&self) -> Result<(), Error> {
        let list: Vec<_> = self
            .balancers
            .iter()
            .map(|balancer| {
                json!({
                    "packets": balancer.packets,
                    "http": format!("http://{}", balancer.addr.http),
                })
            })
            .collect();
        let list = json!(list);
        self.client.post(self.fabric, "/balancers", &list).await?;
        Ok(())
    }

    fn ledger_path(&self, upstream: &str) -> PathBuf {
        self.dir.path().join(format!("{upstream}.ledger"))
    }

    /// Writes JSON to `NAME.json` in the folder of the fleet and returns the path.
    pub fn write_json(&self, name: &str, value: &Value) -> Result<PathBuf, Error> {
        let path = self.dir.path().join(format!("{name}.json"));
        fs::write(&path, value.to_string())?;
        Ok(path)
    }

    fn balancer_index(&self, name: &str) -> Result<usize, Error> {
        self.balancers
            .iter()
            .position(|balancer| balancer.process.name() == name)
            .ok_or_else(|| Error::UnknownName(name.to_owned()))
    }

    fn upstream_index(&self, name: &str) -> Result<usize, Error> {
        self.upstreams
            .iter()
            .position(|upstream| upstream.name == name)
            .ok_or_else(|| Error::UnknownName(name.to_owned()))
    }
}
