//! Calls to balancers.

use std::net::SocketAddrV4;

use anyhow::Context;
use cassiacross::exchange;

use crate::shared::Shared;

const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Makes the client that all calls use.
pub(crate) fn new() -> anyhow::Result<reqwest::Client> {
    reqwest::Client::builder()
        .timeout(TIMEOUT)
        .no_proxy()
        .build()
        .context("HTTP client cannot be made")
}

/// Pulls a view from a balancer.
pub(crate) async fn pull_view(
    shared: &Shared,
    client: &reqwest::Client,
    balancer: SocketAddrV4,
    request: &exchange::ViewRequest,
) -> anyhow::Result<exchange::View> {
    let answer = client
        .post(format!("http://{balancer}/fleet/view"))
        .bearer_auth(shared.sealer.bearer_token())
        .body(exchange::encode(request))
        .send()
        .await?
        .error_for_status()?;
    let body = answer.bytes().await?;
    Ok(rmp_serde::from_slice(&body)?)
}
