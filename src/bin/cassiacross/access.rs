//! Which balancers to call, and the operator token.

use std::{env, fs, net::SocketAddr, path::PathBuf};

use anyhow::{Context, ensure};
use serde::Deserialize;

use crate::cli;

const TOKEN: &str = "CASSIACROSS_TOKEN";
const BALANCERS: &str = "CASSIACROSS_BALANCERS";
const SETTINGS: &str = "CASSIACROSS_SETTINGS";

/// What is needed to call balancers.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Access {
    /// HTTP addresses of balancers, in the order of trial.
    pub(crate) balancers: Vec<SocketAddr>,
    /// Secret that each call carries.
    pub(crate) operator_token: String,
}

/// Gathers flags, environment and settings; flags go first.
pub(crate) fn read(flags: &cli::Cassiacross) -> anyhow::Result<Access> {
    let path = flags.settings.clone();
    let path = path.or_else(|| env::var_os(SETTINGS).map(PathBuf::from));
    let mut access = match path {
        Some(path) => load(&path)?,
        None => Access::default(),
    };
    if let Ok(token) = env::var(TOKEN) {
        access.operator_token = token;
    }
    if let Ok(list) = env::var(BALANCERS) {
        access.balancers = parse(&list)?;
    }
    if !flags.balancer.is_empty() {
        access.balancers.clone_from(&flags.balancer);
    }
    ensure!(
        !access.balancers.is_empty(),
        "no balancer is given: use --balancer, {BALANCERS} or --settings"
    );
    ensure!(
        !access.operator_token.is_empty(),
        "no operator token is given: use {TOKEN} or --settings"
    );
    Ok(access)
}

fn load(path: &PathBuf) -> anyhow::Result<Access> {
    let text =
        fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    serde_json::from_str(&text).with_context(|| format!("{} has faults", path.display()))
}

fn parse(list: &str) -> anyhow::Result<Vec<SocketAddr>> {
    let parts = list.split(',').map(str::trim);
    parts
        .map(|part| {
            part.parse()
                .with_context(|| format!("{part:?} in {BALANCERS}"))
        })
        .collect()
}
