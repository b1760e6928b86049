//! HTTP client for pulling views of a service from balancers.

use std::net::SocketAddrV4;

use anyhow::Context;
use cassiacross::exchange;

use crate::shared::Shared;

/// Timeout of one HTTP call to a balancer.
const CALL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Creates the HTTP client, shared by all calls.
pub(crate) fn new() -> anyhow::Result<reqwest::Client> {
    reqwest::Client::builder()
        .timeout(CALL_TIMEOUT)
        .no_proxy()
        .build()
        .context("cannot create the HTTP client")
}

/// Requests a view from the balancer at this HTTP address.
pub(crate) async fn pull_view(
    shared: &Shared,
    client: &reqwest::Client,
    balancer: SocketAddrV4,
    request: &exchange::ViewRequest,
) -> anyhow::Result<exchange::View> {
    let response = client
        .post(format!("http://{balancer}/fleet/view"))
        .bearer_auth(shared.sealer.bearer_token())
        .body(exchange::encode(request))
        .send()
        .await?
        .error_for_status()?;
    let body = response.bytes().await?;
    Ok(rmp_serde::from_slice(&body)?)
}
