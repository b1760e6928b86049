//! Stand-in for the platform's metadata store.

use std::{
    net::{SocketAddrV4, TcpListener},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{self, Value},
};

#[derive(Clone)]
struct Object {
    kind: String,
    name: String,
    revision: u64,
    spec: Value,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<Object>,
    /// All changes so far, oldest first.
    history: Vec<Object>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn serve(addr: SocketAddrV4) -> std::io::Result<Self> {
        let store = Self::default();
        let served = store.clone();
        http::serve(TcpListener::bind(addr)?, move |request| {
            std::thread::sleep(Duration::from_millis(4));
            served.respond(request)
        });
        Ok(store)
    }

    /// Writes an object as the operator does.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        let spec = json::parse(spec).expect("the operator writes JSON");
        self.0.0.lock().unwrap().put(kind, name, spec);
        self.0.1.notify_all();
    }

    fn respond(&self, request: &http::Request) -> (u16, String) {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let parts: Vec<_> = path.trim_matches('/').split('/').skip(2).collect();
        let parameter = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(k, _)| *k == key).map(|(_, value)| value)
        };
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", [kind]) => match parameter("Watch") {
                Some(after) => {
                    let after = after.parse().unwrap_or(0);
                    let wait = parameter("WaitMs").and_then(|w| w.parse().ok());
                    self.watch(kind, after, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.list(kind),
            },
            ("GET", [kind, name]) => {
                let state = self.0.0.lock().unwrap();
                match state.find(kind, name) {
                    Some(object) => (200, object.write()),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", [kind]) => self.change(kind, None, &request.body),
            ("PUT", [kind, name]) => self.change(kind, Some(name), &request.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.0.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|object| object.kind == kind);
        let items: Vec<_> = of_kind.map(Object::write).collect();
        let page = format!(
            "{{\"items\":[{}],\"More\":false,\"StoreRevision\":{}}}",
            items.join(","),
            state.revision
        );
        (200, page)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        loop {
            let changes = state.history.iter();
            let new = changes.filter(|change| change.kind == kind && change.revision > after);
            let events: Vec<_> = new
                .map(|change| format!("{{\"Deleted\":false,\"Object\":{}}}", change.write()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let page = format!(
                    "{{\"events\":[{}],\"StoreRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, page);
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn change(&self, kind: &str, name: Option<&str>, body: &str) -> (u16, String) {
        let Some(body) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let meta = body.get("meta");
        let stated = meta.and_then(|meta| meta.get("Name")).and_then(Value::text);
        let Some(key) = name.or(stated) else {
            return (400, "{}".to_owned());
        };
        let revision = meta.and_then(|meta| meta.get("Revision"));
        let revision = revision.and_then(Value::number);
        let spec = body.get("spec").cloned();
        let spec = spec.unwrap_or(Value::Word("null".to_owned()));
        let mut state = self.0.0.lock().unwrap();
        let existing = state.find(kind, key).cloned();
        match (&existing, name) {
            (Some(object), None) => return (409, object.write()),
            (None, Some(_)) => return (404, "{}".to_owned()),
            (Some(object), Some(_)) if revision.is_some_and(|r| r != object.revision) => {
                return (409, object.write());
            }
            _ => {}
        }
        state.put(kind, key, spec);
        let written = state.find(kind, key).map(Object::write);
        drop(state);
        self.0.1.notify_all();
        (200, written.unwrap_or_default())
    }
}

impl State {
    fn find(&self, kind: &str, name: &str) -> Option<&Object> {
        let mut objects = self.objects.iter();
        objects.find(|object| object.kind == kind && object.name == name)
    }

    fn put(&mut self, kind: &str, name: &str, spec: Value) {
        if self
            .find(kind, name)
            .is_some_and(|known| known.spec == spec)
        {
            return;
        }
        self.revision += 1;
        let object = Object {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision: self.revision,
            spec,
        };
        self.objects
            .retain(|other| other.kind != kind || other.name != name);
        self.objects.push(object.clone());
        self.history.push(object);
    }
}

impl Object {
    fn write(&self) -> String {
        format!(
            "{{\"meta\":{{\"Name\":\"{}\",\"Revision\":{},\"Created\":1,\"Finalizers\":[],\
             \"Deleting\":false}},\"spec\":{},\"status\":null}}",
            self.name,
            self.revision,
            self.spec.write()
        )
    }
}
