//! Stand-in of the platform's object API: versions, conditional writes,
//! watches, and faults that can be switched while it runs.

use std::{
    convert::Infallible,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body, header, server::conn::http1, service};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{net, sync::watch, time};

/// Bytes of the longest value.
pub const MAX_VALUE_LEN: usize = 1024 * 1024;

/// Delay of writes that are carried out late.
pub const LATE: Duration = Duration::from_millis(300);

const LOG_LEN: usize = 4_096;
const REPEATED: usize = 2;
const MAX_WAIT_MS: u64 = 60_000;

/// Faults as they are switched; absent fields stay as they are.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether each call fails with 503.
    pub down: Option<bool>,
    /// Milliseconds before each call is carried out.
    pub slow_ms: Option<u64>,
    /// Writes to carry out and leave without an answer.
    pub lose_answers: Option<u64>,
    /// Writes to leave without an answer and to carry out [`LATE`] afterwards.
    pub late_writes: Option<u64>,
    /// Whether the platform goes down with the next lost answer.
    pub down_after_loss: Option<bool>,
    /// Whether watches give newer changes first and older ones again.
    pub reorder_watch: Option<bool>,
    /// Changes that watches leave out.
    pub miss_watch: Option<u64>,
}

/// Calls received, by kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Calls {
    /// Reads of one object.
    pub get: u64,
    /// Writes.
    pub put: u64,
    /// Removals.
    pub delete: u64,
    /// Reads of all objects of a kind.
    pub list: u64,
    /// Watches.
    pub watch: u64,
}

#[derive(Clone, Debug)]
struct Write {
    kind: String,
    name: String,
    version: u64,
    value: Option<Value>,
}

#[derive(Debug, Default)]
struct Store {
    revision: u64,
    objects: Vec<Write>,
    log: Vec<Write>,
    down: bool,
    slow_ms: u64,
    lose_answers: u64,
    late_writes: u64,
    down_after_loss: bool,
    reorder_watch: bool,
    miss_watch: u64,
    calls: Calls,
}

#[derive(Clone, Debug)]
struct Platform {
    store: Arc<Mutex<Store>>,
    changed: watch::Sender<u64>,
}

enum Guard {
    Absent,
    Version(u64),
}

type Answer = Result<Response<Full<Bytes>>, io::Error>;

/// Serves the API on a listener until the future is dropped.
pub async fn serve(listener: net::TcpListener) -> io::Result<Infallible> {
    let platform = Platform {
        store: Arc::default(),
        changed: watch::Sender::new(0),
    };
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let platform = platform.clone();
        tasks.spawn(async move {
            let service = service::service_fn(|request| platform.answer(request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            drop(connection.await);
        });
        while tasks.try_join_next().is_some() {}
    }
}

impl Platform {
    async fn answer(&self, request: Request<body::Incoming>) -> Answer {
        let path = request.uri().path().trim_matches('/').to_owned();
        let parts: Vec<_> = path.split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::GET, ["calls"]) => Ok(reply(StatusCode::OK, &json!(self.store().calls))),
            (&Method::POST, ["faults"]) => self.switch(request).await,
            _ => self.object_call(request, &parts).await,
        }
    }

    async fn switch(&self, request: Request<body::Incoming>) -> Answer {
        let Ok(faults) = serde_json::from_slice::<Faults>(&read(request).await?) else {
            return Ok(empty(StatusCode::BAD_REQUEST));
        };
        self.store().switch(faults);
        self.changed.send_modify(|_| {});
        Ok(empty(StatusCode::OK))
    }

    async fn object_call(&self, request: Request<body::Incoming>, parts: &[&str]) -> Answer {
        self.store().count(request.method(), parts);
        let slow = self.store().slow_ms;
        time::sleep(Duration::from_millis(slow)).await;
        if self.store().down {
            return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        match (request.method().clone(), parts) {
            (Method::GET, ["objects", kind, name]) => Ok(self.store().get(kind, name)),
            (Method::GET, ["objects", kind]) => Ok(self.store().list(kind)),
            (Method::GET, ["watch", kind]) => self.watch(kind, request.uri().query()).await,
            (Method::PUT, ["objects", kind, name]) => {
                let guard = guard(&request);
                let Ok(value) = serde_json::from_slice(&read(request).await?) else {
                    return Ok(empty(StatusCode::BAD_REQUEST));
                };
                self.write(kind, name, guard, Some(value))
            }
            (Method::DELETE, ["objects", kind, name]) => {
                self.write(kind, name, guard(&request), None)
            }
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    fn write(&self, kind: &str, name: &str, guard: Option<Guard>, value: Option<Value>) -> Answer {
        if !self.store().take_late() {
            return self.carry_out(kind, name, guard, value);
        }
        let (platform, kind, name) = (self.clone(), kind.to_owned(), name.to_owned());
        tokio::spawn(async move {
            time::sleep(LATE).await;
            drop(platform.carry_out(&kind, &name, guard, value));
        });
        Err(io::Error::other("write is late by a fault"))
    }

    fn carry_out(
        &self,
        kind: &str,
        name: &str,
        guard: Option<Guard>,
        value: Option<Value>,
    ) -> Answer {
        let (answer, revision) = {
            let mut store = self.store();
            let answer = store.write(kind, name, guard, value);
            (store.lose(answer), store.revision)
        };
        self.changed.send_replace(revision);
        answer
    }

    async fn watch(&self, kind: &str, query: Option<&str>) -> Answer {
        let after = parameter(query, "after").unwrap_or(0);
        let wait = parameter(query, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        let end = time::Instant::now() + Duration::from_millis(wait);
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if self.store().down {
                return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
            }
            let is_late = time::Instant::now() >= end;
            if let Some(answer) = self.store().watch(kind, after, is_late) {
                return Ok(answer);
            }
            drop(time::timeout_at(end, changed.changed()).await);
        }
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store {
    fn switch(&mut self, faults: Faults) {
        self.down = faults.down.unwrap_or(self.down);
        self.slow_ms = faults.slow_ms.unwrap_or(self.slow_ms);
        self.lose_answers = faults.lose_answers.unwrap_or(self.lose_answers);
        self.late_writes = faults.late_writes.unwrap_or(self.late_writes);
        self.down_after_loss = faults.down_after_loss.unwrap_or(self.down_after_loss);
        self.reorder_watch = faults.reorder_watch.unwrap_or(self.reorder_watch);
        self.miss_watch = faults.miss_watch.unwrap_or(self.miss_watch);
    }

    fn count(&mut self, method: &Method, parts: &[&str]) {
        let count = match (method, parts) {
            (&Method::GET, ["objects", _, _]) => &mut self.calls.get,
            (&Method::GET, ["objects", _]) => &mut self.calls.list,
            (&Method::GET, ["watch", _]) => &mut self.calls.watch,
            (&Method::PUT, _) => &mut self.calls.put,
            (&Method::DELETE, _) => &mut self.calls.delete,
            _ => return,
        };
        *count += 1;
    }

    fn get(&self, kind: &str, name: &str) -> Response<Full<Bytes>> {
        match self.find(kind, name) {
            Some(object) => {
                let answer = json!({ "version": object.version, "value": object.value });
                reply(StatusCode::OK, &answer)
            }
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    fn list(&self, kind: &str) -> Response<Full<Bytes>> {
        let objects = self.objects.iter().filter(|object| object.kind == kind);
        self.listing(&objects.map(item).collect::<Vec<_>>())
    }

    fn watch(&mut self, kind: &str, after: u64, is_late: bool) -> Option<Response<Full<Bytes>>> {
        let of_kind: Vec<_> = self.log.iter().filter(|write| write.kind == kind).collect();
        let start = of_kind.partition_point(|write| write.version <= after);
        let is_new = start < of_kind.len();
        if !is_new && !is_late && after <= self.revision {
            return None;
        }
        let missed = usize::try_from(self.miss_watch).unwrap_or(usize::MAX);
        let missed = missed.min(of_kind.len() - start);
        let mut items: Vec<_> = of_kind[start + missed..].iter().map(|w| item(w)).collect();
        if self.reorder_watch && is_new {
            let repeated = &of_kind[start.saturating_sub(REPEATED)..start];
            items.reverse();
            items.extend(repeated.iter().map(|write| item(write)));
        }
        self.miss_watch -= missed as u64;
        Some(self.listing(&items))
    }

    fn listing(&self, items: &[Value]) -> Response<Full<Bytes>> {
        let answer = json!({ "revision": self.revision, "items": items });
        reply(StatusCode::OK, &answer)
    }

    fn write(
        &mut self,
        kind: &str,
        name: &str,
        guard: Option<Guard>,
        value: Option<Value>,
    ) -> Response<Full<Bytes>> {
        let version = self.find(kind, name).map(|object| object.version);
        match (guard, version) {
            (None, _) => return empty(StatusCode::PRECONDITION_REQUIRED),
            (Some(Guard::Absent), None) => {}
            (Some(Guard::Version(expected)), Some(version)) if expected == version => {}
            _ => return empty(StatusCode::PRECONDITION_FAILED),
        }
        self.revision += 1;
        let write = Write {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version: self.revision,
            value,
        };
        self.log.push(write.clone());
        self.log.drain(..self.log.len().saturating_sub(LOG_LEN));
        self.replace(write);
        reply(StatusCode::OK, &json!({ "version": self.revision }))
    }

    fn replace(&mut self, write: Write) {
        match (self.place(&write.kind, &write.name), write.value.is_some()) {
            (Ok(index), true) => self.objects[index] = write,
            (Ok(index), false) => drop(self.objects.remove(index)),
            (Err(index), true) => self.objects.insert(index, write),
            (Err(_), false) => {}
        }
    }

    fn take_late(&mut self) -> bool {
        let is_late = self.late_writes > 0;
        self.late_writes -= u64::from(is_late);
        is_late
    }

    fn lose(&mut self, answer: Response<Full<Bytes>>) -> Answer {
        if self.lose_answers == 0 || !answer.status().is_success() {
            return Ok(answer);
        }
        self.lose_answers -= 1;
        self.down |= std::mem::take(&mut self.down_after_loss);
        Err(io::Error::other("answer is lost by a fault"))
    }

    fn find(&self, kind: &str, name: &str) -> Option<&Write> {
        let place = self.place(kind, name);
        place.ok().map(|index| &self.objects[index])
    }

    fn place(&self, kind: &str, name: &str) -> Result<usize, usize> {
        let key = (kind, name);
        self.objects
            .binary_search_by(|object| (object.kind.as_str(), object.name.as_str()).cmp(&key))
    }
}

fn item(write: &Write) -> Value {
    json!({ "name": write.name, "version": write.version, "value": write.value })
}

fn guard(request: &Request<body::Incoming>) -> Option<Guard> {
    let text = |name| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    if text(header::IF_NONE_MATCH) == Some("*") {
        return Some(Guard::Absent);
    }
    let version = text(header::IF_MATCH)?.trim_matches('"').parse();
    version.ok().map(Guard::Version)
}

fn parameter(query: Option<&str>, name: &str) -> Option<u64> {
    let mut pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

async fn read(request: Request<body::Incoming>) -> io::Result<Bytes> {
    let body = Limited::new(request.into_body(), MAX_VALUE_LEN);
    let body = body.collect().await.map_err(io::Error::other)?;
    Ok(body.to_bytes())
}

fn reply(status: StatusCode, value: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(value.to_string()));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
