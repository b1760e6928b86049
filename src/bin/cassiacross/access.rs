//! Balancer addresses and operator token, read from flags, environment and settings file.

use std::{env, fs, net::SocketAddr, path::PathBuf};

use anyhow::{Context, ensure};
use serde::Deserialize;

use crate::cli;

const TOKEN_VARIABLE: &str = "CASSIACROSS_TOKEN";
const BALANCERS_VARIABLE: &str = "CASSIACROSS_BALANCERS";
const SETTINGS_VARIABLE: &str = "CASSIACROSS_SETTINGS";

/// Addresses and credentials for requests to balancers.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Access {
    /// HTTP addresses of balancers, in the order in which they are tried.
    pub(crate) balancers: Vec<SocketAddr>,
    /// Bearer token of each request.
    pub(crate) operator_token: String,
}

/// Reads the settings file and overrides it with the environment and then the flags.
pub(crate) fn load(flags: &cli::Cassiacross) -> anyhow::Result<Access> {
    let path = flags.settings.clone();
    let path = path.or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let mut access = match path {
        Some(path) => load_file(&path)?,
        None => Access::default(),
    };
    if let Ok(token) = env::var(TOKEN_VARIABLE) {
        access.operator_token = token;
    }
    if let Ok(list) = env::var(BALANCERS_VARIABLE) {
        access.balancers = parse_addresses(&list)?;
    }
    if !flags.balancer.is_empty() {
        access.balancers.clone_from(&flags.balancer);
    }
    ensure!(
        !access.balancers.is_empty(),
        "no balancer address is configured: use --balancer, {BALANCERS_VARIABLE} or --settings"
    );
    ensure!(
        !access.operator_token.is_empty(),
        "no operator token is configured: use {TOKEN_VARIABLE} or --settings"
    );
    Ok(access)
}

fn load_file(path: &PathBuf) -> anyhow::Result<Access> {
    let text =
        fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    serde_json::from_str(&text).with_context(|| format!("invalid settings in {}", path.display()))
}

fn parse_addresses(list: &str) -> anyhow::Result<Vec<SocketAddr>> {
    let parts = list.split(',').map(str::trim);
    parts
        .map(|part| {
            part.parse()
                .with_context(|| format!("invalid address {part:?} in {BALANCERS_VARIABLE}"))
        })
        .collect()
}
