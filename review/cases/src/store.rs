//! Stand-in for the platform's store: objects by kind and name, conditional writes, listings
//! and watches. It has no faults.

use std::{
    net::SocketAddrV4,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::http::{self, Request, Response};

struct Object {
    kind: String,
    name: String,
    revision: u64,
    created: u64,
    spec: Value,
    status: Value,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<Object>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn serve(addr: SocketAddrV4) -> std::io::Result<Self> {
        let store = Self::default();
        store.shared.0.lock().expect("lock").revision = 100;
        let served = store.clone();
        http::serve(addr, move |request| served.handle(&request))?;
        Ok(store)
    }

    /// Writes the operator's configuration; the return stands for the acknowledgement.
    pub fn write_config(&self, spec: Value) {
        self.put("config", "main", None, spec, false);
    }

    fn handle(&self, request: &Request) -> Response {
        let path: Vec<_> = request.path.trim_start_matches('/').split('/').collect();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let expected = body.pointer("/meta/Revision").and_then(Value::as_u64);
        match (request.method.as_str(), path.as_slice()) {
            ("GET", ["api", "objects", kind]) => self.list(kind, request),
            ("GET", ["api", "objects", kind, name]) => self.get(kind, name),
            ("POST", ["api", "objects", kind]) => {
                let name = body.pointer("/meta/Name").and_then(Value::as_str);
                match name {
                    Some(name) => self.put(kind, name, None, body["spec"].clone(), true),
                    None => reply(400, &json!({})),
                }
            }
            ("PUT", ["api", "objects", kind, name]) if self.exists(kind, name) => {
                self.put(kind, name, expected, body["spec"].clone(), false)
            }
            _ => reply(404, &json!({})),
        }
    }

    fn exists(&self, kind: &str, name: &str) -> bool {
        let state = self.shared.0.lock().expect("lock");
        state
            .objects
            .iter()
            .any(|o| o.kind == kind && o.name == name)
    }

    fn get(&self, kind: &str, name: &str) -> Response {
        let state = self.shared.0.lock().expect("lock");
        match state
            .objects
            .iter()
            .find(|o| o.kind == kind && o.name == name)
        {
            Some(object) => reply(200, &object.to_json()),
            None => reply(404, &json!({})),
        }
    }

    fn list(&self, kind: &str, request: &Request) -> Response {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().expect("lock");
        let Some(after) = request
            .query("Watch")
            .and_then(|text| text.parse::<u64>().ok())
        else {
            let items: Vec<_> = state.of_kind(kind, 0).map(Object::to_json).collect();
            let page = json!({"items": items, "More": false, "StoreRevision": state.revision});
            return reply(200, &page);
        };
        let wait_ms = request.query("WaitMs").and_then(|text| text.parse().ok());
        let end = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0).min(30_000));
        while state.of_kind(kind, after).next().is_none() && Instant::now() < end {
            let left = end - Instant::now();
            state = changed.wait_timeout(state, left).expect("lock").0;
        }
        let events: Vec<_> = state
            .of_kind(kind, after)
            .map(|object| json!({"Object": object.to_json(), "Deleted": false}))
            .collect();
        reply(
            200,
            &json!({"events": events, "StoreRevision": state.revision}),
        )
    }

    fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        spec: Value,
        must_create: bool,
    ) -> Response {
        let (lock, changed) = &*self.shared;
        let mut guard = lock.lock().expect("lock");
        let state = &mut *guard;
        let found = state
            .objects
            .iter()
            .position(|o| o.kind == kind && o.name == name);
        if let Some(at) = found {
            let object = &mut state.objects[at];
            if must_create || expected.is_some_and(|expected| expected != object.revision) {
                return reply(409, &object.to_json());
            }
            if object.spec != spec {
                state.revision += 1;
                object.revision = state.revision;
                object.spec = spec;
            }
        } else {
            state.revision += 1;
            state.objects.push(Object {
                kind: kind.to_owned(),
                name: name.to_owned(),
                revision: state.revision,
                created: state.revision,
                spec,
                status: Value::Null,
            });
        }
        changed.notify_all();
        let at = found.unwrap_or(state.objects.len() - 1);
        reply(200, &state.objects[at].to_json())
    }
}

impl State {
    /// Returns the objects of a kind that changed after a revision.
    fn of_kind(&self, kind: &str, after: u64) -> impl Iterator<Item = &Object> {
        let objects = self.objects.iter();
        objects.filter(move |object| object.kind == kind && object.revision > after)
    }
}

impl Object {
    fn to_json(&self) -> Value {
        json!({
            "meta": {"Name": self.name, "Revision": self.revision, "Created": self.created,
                "Finalizers": [], "Deleting": false},
            "spec": self.spec,
            "status": self.status,
        })
    }
}

fn reply(status: u16, body: &Value) -> Response {
    Response {
        status,
        body: body.to_string(),
    }
}
