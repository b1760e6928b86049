//! HTTP control interface of the fabric: balancers, services, faults and counters.

use std::sync::Arc;

use cassiacross::mutex;
use hyper::{Method, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;

use super::{Balancer, BalancerStatus, FaultChange, Service, Shared};
use crate::control::{self, Call, Reply};

/// Serves control requests until the listener fails.
pub(super) async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let served = control::serve(listener, move |call| dispatch(call, &shared)).await;
    if let Err(error) = served {
        log::error!(error:%; "control port failed; control requests are no longer served");
    }
}

fn dispatch(call: &Call, shared: &Shared) -> Reply {
    let result = match (&call.method, call.path.as_str()) {
        (&Method::GET, "/balancers") => Ok(balancers(shared)),
        (&Method::POST, "/balancers") => set_balancers(call, shared),
        (&Method::GET, "/services") => Ok(services(shared)),
        (&Method::POST, "/services") => add_services(call, shared),
        (&Method::POST, "/faults") => set_faults(call, shared),
        (&Method::GET, "/counters") => Ok(Reply::ok(shared.counters())),
        _ => Ok(Reply::not_found()),
    };
    result.unwrap_or_else(|error_reply| error_reply)
}

fn balancers(shared: &Shared) -> Reply {
    let listed: Vec<BalancerStatus> = shared.router().listed().cloned().collect();
    Reply::ok(listed)
}

fn set_balancers(call: &Call, shared: &Shared) -> Result<Reply, Reply> {
    let list: Vec<Balancer> = call.json()?;
    shared.router().set_balancers(&list);
    Ok(balancers(shared))
}

fn services(shared: &Shared) -> Reply {
    Reply::ok(&*mutex::lock(&shared.ports))
}

fn add_services(call: &Call, shared: &Shared) -> Result<Reply, Reply> {
    let list: Vec<Service> = call.json()?;
    for service in list {
        shared.listen(service).map_err(|error| Reply {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            value: json!({"error": error.to_string()}),
        })?;
    }
    Ok(services(shared))
}

fn set_faults(call: &Call, shared: &Shared) -> Result<Reply, Reply> {
    let change: FaultChange = call.json()?;
    shared.set_faults(&change);
    Ok(Reply::ok(change))
}
