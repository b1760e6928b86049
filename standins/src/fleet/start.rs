//! Starts the processes of a fleet with their settings.

use std::{net::SocketAddr, path::Path};

use serde::Deserialize;
use serde_json::{Value, json};

use super::{Error, FLEET_KEY, Fleet, HttpAddr, OPERATOR_TOKEN, Options};
use crate::{
    host, interpose,
    process::{self, Process, Program},
};

/// Address with a free port that the system chooses.
const LOOPBACK_ANY: &str = "127.0.0.1:0";

impl Fleet {
    pub(super) async fn start_balancer(
        &mut self,
        name: &str,
        domain: String,
        listen: host::ListenAddrs,
    ) -> Result<host::Balancer, Error> {
        let endpoints = self.proxy_endpoints(interpose::Role::Balancer, name);
        let advertised = endpoints.advertise["http"].as_str();
        let advertised = advertised.and_then(|http| http.parse().ok());
        let mut settings = self.common_settings(name, &domain, endpoints.advertise, listen);
        settings["control"] = listen_addr(listen.control);
        settings["platform"] = json!(format!("http://{}", self.platform));
        let process = self
            .start_daemon(Program::Balancer, name, &settings)
            .await?;
        self.notify_interposer(interpose::Role::Balancer, name, process.addresses());
        let addr: host::BalancerAddr = host::BalancerAddr::deserialize(process.addresses())?;
        Ok(host::Balancer {
            process,
            domain,
            addr,
            advertised: advertised.unwrap_or(addr.http),
            packets: endpoints.packets.unwrap_or(addr.packets),
        })
    }

    pub(super) async fn start_agent(
        &mut self,
        upstream: &str,
        domain: &str,
        listen: host::ListenAddrs,
    ) -> Result<(Process, host::AgentAddr), Error> {
        let endpoints = self.proxy_endpoints(interpose::Role::Agent, upstream);
        let mut settings = self.common_settings(upstream, domain, endpoints.advertise, listen);
        settings["local"] = listen_addr(listen.local);
        settings["policy"].clone_from(&self.options.policy);
        let name = format!("agent-{upstream}");
        let process = self.start_daemon(Program::Agent, &name, &settings).await?;
        self.notify_interposer(interpose::Role::Agent, upstream, process.addresses());
        let addr = host::AgentAddr::deserialize(process.addresses())?;
        Ok((process, addr))
    }

    pub(super) async fn start_upstream(
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

    fn common_settings(
        &self,
        name: &str,
        domain: &str,
        advertise: Value,
        listen: host::ListenAddrs,
    ) -> Value {
        let seeds: Vec<_> = self
            .balancers
            .iter()
            .map(|balancer| balancer.advertised)
            .collect();
        let mut settings = json!({
            "name": name,
            "domain": domain,
            "packets": listen_addr(listen.packets),
            "http": listen_addr(listen.http),
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

    fn proxy_endpoints(&mut self, role: interpose::Role, name: &str) -> interpose::Endpoints {
        let interposer = self.options.interposer.as_mut();
        interposer.map_or_else(interpose::Endpoints::default, |interposer| {
            (interposer.before_start)(role, name)
        })
    }

    fn notify_interposer(&mut self, role: interpose::Role, name: &str, addresses: &Value) {
        if let Some(interposer) = &mut self.options.interposer {
            (interposer.after_start)(role, name, addresses);
        }
    }
}

/// Starts a simulated part of the environment.
pub(super) async fn start_standin<A: AsRef<str>>(
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

/// Returns the HTTP address that a process has printed.
pub(super) fn http_addr(process: &Process) -> Result<SocketAddr, Error> {
    Ok(HttpAddr::deserialize(process.addresses())?.http)
}

fn listen_addr<A: ToString>(addr: Option<A>) -> Value {
    let addr = addr.map_or_else(|| LOOPBACK_ANY.to_owned(), |addr| addr.to_string());
    Value::String(addr)
}
