//! The operator's tool against the administration API and the platform stand-in.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
    sync::{Arc, Mutex},
};

use cassiacross::{admin, change, platform, record, record_table};
use futures_util::future;
use gotham::{
    router::{
        Router,
        builder::{DefineSingleRoute, DrawRoutes, build_simple_router},
    },
    state::State,
};
use serde_json::{Value, json};
use tokio::{io::AsyncReadExt, net};
use yare::parameterized;

const TOKEN: &str = "0123456789abcdef";

type Shared = Arc<Mutex<record_table::Table>>;

struct Fixture {
    dir: tempfile::TempDir,
    platform: String,
    balancers: Vec<SocketAddr>,
    tables: Vec<Shared>,
}

impl Fixture {
    async fn start(balancers: usize) -> Self {
        let listener = bind().await;
        let platform = format!("http://{}", address(&listener));
        tokio::spawn(platform_standins::store::serve(listener));
        let mut fixture = Self {
            dir: tempfile::tempdir().expect("directory"),
            platform,
            balancers: Vec::new(),
            tables: Vec::new(),
        };
        for index in 0..balancers {
            fixture.add_balancer(index).await;
        }
        fixture
    }

    async fn add_balancer(&mut self, index: usize) {
        let table = Shared::default();
        let admin = admin::Admin::new(parts(index, &self.platform, &table));
        let listener = bind().await;
        self.balancers.push(address(&listener));
        self.tables.push(table);
        tokio::spawn(gotham::bind_server(listener, router(admin), future::ok));
    }

    async fn faults(&self, faults: Value) {
        let call = reqwest::Client::new().post(format!("{}/faults", self.platform));
        let answer = call.json(&faults).send().await.expect("answer");
        assert!(answer.status().is_success());
    }

    async fn stored(&self) -> platform::Object {
        let client = platform::Client::new(&self.platform, change::CALL_TIMEOUT.to_duration())
            .expect("client");
        let object = client.get(change::RECORD_KIND, "ledger").await;
        object.expect("platform is there").expect("record is there")
    }

    fn file(&self, document: &Value) -> String {
        let path: PathBuf = self.dir.path().join("ledger.json");
        std::fs::write(&path, document.to_string()).expect("file is written");
        path.to_str().expect("path is text").to_owned()
    }

    async fn run(&self, args: &[&str]) -> Ran {
        run_with(&self.balancers, args).await
    }

    async fn apply(&self, document: &Value, flags: &[&str]) -> Ran {
        let file = self.file(document);
        self.run(&[&["apply", file.as_str()], flags].concat()).await
    }
}

struct Ran {
    code: i32,
    out: String,
    err: String,
}

impl Ran {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).expect("output is JSON")
    }

    fn expect(&self, code: i32) -> &Self {
        assert_eq!(self.code, code, "{}{}", self.out, self.err);
        self
    }
}

async fn bind() -> net::TcpListener {
    net::TcpListener::bind("127.0.0.1:0").await.expect("bind")
}

fn address(listener: &net::TcpListener) -> SocketAddr {
    listener.local_addr().expect("address")
}

fn parts(index: usize, platform: &str, table: &Shared) -> admin::Dependencies {
    let [read, write] = [Arc::clone(table), Arc::clone(table)];
    admin::Dependencies {
        name: format!("balancer-{index}"),
        domain: "valley-a".to_owned(),
        token: TOKEN.to_owned(),
        client: platform::Client::new(platform, change::CALL_TIMEOUT.to_duration())
            .expect("client"),
        table: Box::new(move || Arc::new(read.lock().expect("table").clone())),
        apply: Box::new(move |object| {
            let document = change::record(&object.value);
            write
                .lock()
                .expect("table")
                .apply(&object.name, object.version, document);
        }),
        peers: Box::new(Vec::new),
        agents: Box::new(Vec::new),
        service_of: Box::new(|upstream| (upstream == "ledger-9").then(|| "ledger".to_owned())),
    }
}

fn router(admin: admin::Admin) -> Router {
    build_simple_router(|route| {
        route.get("/state").to(state);
        route.delegate("/v1").to_router(admin::router(admin));
    })
}

fn state(state: State) -> (State, String) {
    (state, json!({"flows": 3}).to_string())
}

async fn run_with(balancers: &[SocketAddr], args: &[&str]) -> Ran {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cassiacross"));
    command.env("CASSIACROSS_TOKEN", TOKEN).args(args);
    for balancer in balancers {
        command.args(["--balancer", &balancer.to_string()]);
    }
    let output = tokio::task::spawn_blocking(move || command.output());
    let output: Output = output.await.expect("task ends").expect("tool runs");
    Ran {
        code: output.status.code().expect("exit code"),
        out: String::from_utf8(output.stdout).expect("text"),
        err: String::from_utf8(output.stderr).expect("text"),
    }
}

fn ledger() -> Value {
    json!({
        "schema": 2, "name": "ledger", "address": "10.9.0.1:80", "owner": "depot",
        "upstreams": [{"name": "ledger-1", "weight": 2.5, "rack": "r4"}],
        "rules": [{"method": "POST", "path": "/pickups", "class": "urgent"}],
    })
}

fn with(name: &str, value: Value) -> Value {
    let mut document = ledger();
    document[name] = value;
    document
}

#[tokio::test]
async fn record_is_written_read_and_deleted() {
    let fixture = Fixture::start(1).await;
    fixture.apply(&ledger(), &[]).await.expect(0);
    assert_eq!(
        fixture.run(&["get", "ledger"]).await.expect(0).json(),
        ledger()
    );
    fixture
        .apply(&with("owner", json!("gate")), &[])
        .await
        .expect(0);
    assert!(
        fixture
            .run(&["list"])
            .await
            .expect(0)
            .out
            .starts_with("ledger ")
    );
    fixture.run(&["status"]).await.expect(0);
    fixture.run(&["delete", "ledger"]).await.expect(0);
    fixture.run(&["get", "ledger"]).await.expect(7);
    assert_eq!(fixture.tables[0].lock().expect("table").services(), []);
    let ran = fixture.apply(&ledger(), &["--version", "0"]).await;
    assert!(ran.expect(3).err.contains("version 3"), "{}", ran.err);
    fixture.apply(&ledger(), &[]).await.expect(0);
    assert_eq!(fixture.stored().await.version, 4);
}

#[parameterized(
    here = { &["check"] },
    at_a_balancer = { &["check", "--remote"] },
    on_write = { &["apply"] },
)]
#[test_macro(tokio::test)]
async fn faults_are_listed(command: &[&str]) {
    let fixture = Fixture::start(1).await;
    let mut document = with("address", json!("host"));
    document["rules"][0]["class"] = json!("red");
    let file = fixture.file(&document);
    let ran = fixture.run(&[command, &[file.as_str()]].concat()).await;
    for part in ["address must", "rules[0].class must"] {
        assert!(ran.expect(2).err.contains(part), "{}", ran.err);
    }
}

#[parameterized(
    no_token = { &["list", "--settings", "/nonexistent"], 1 },
    unknown_command = { &["explode"], 2 },
    bad_name = { &["get", "a/b"], 1 },
    bad_change = { &["change", "ledger"], 1 },
    missing = { &["get", "ledger"], 7 },
    missing_upstream = { &["drain", "ledger-1"], 7 },
    unwritten_record = { &["drain", "ledger-9"], 7 },
)]
#[test_macro(tokio::test)]
async fn wrong_use_has_its_code(args: &[&str], code: i32) {
    let fixture = Fixture::start(1).await;
    fixture.run(args).await.expect(code);
}

#[tokio::test]
async fn wrong_token_is_refused() {
    let fixture = Fixture::start(1).await;
    let url = format!("http://{}/v1/records", fixture.balancers[0]);
    let answer = reqwest::Client::new()
        .get(url)
        .bearer_auth("guess")
        .send()
        .await;
    assert_eq!(answer.expect("answer").status().as_u16(), 401);
}

#[tokio::test]
async fn older_version_conflicts() {
    let fixture = Fixture::start(2).await;
    fixture
        .apply(&ledger(), &["--version", "0"])
        .await
        .expect(0);
    fixture
        .apply(&ledger(), &["--version", "1"])
        .await
        .expect(0);
    let ran = fixture
        .apply(&with("owner", json!("late")), &["--version", "1"])
        .await;
    assert!(ran.expect(3).err.contains("version 2"), "{}", ran.err);
    fixture
        .apply(&with("owner", json!("gate")), &["--force"])
        .await
        .expect(0);
    assert_eq!(fixture.stored().await.version, 3);
}

#[tokio::test]
async fn lost_answer_is_undecided_and_settled_by_the_id() {
    let fixture = Fixture::start(1).await;
    fixture
        .faults(json!({"lose_answers": 1, "down_after_loss": true}))
        .await;
    let ran = fixture.apply(&ledger(), &["--change", "ledger~7"]).await;
    assert!(ran.expect(4).err.contains("change ledger~7"), "{}", ran.err);
    fixture.run(&["change", "ledger~7"]).await.expect(4);
    fixture.faults(json!({"down": false})).await;
    fixture.run(&["change", "ledger~7"]).await.expect(0);
    fixture.run(&["change", "ledger~8"]).await.expect(4);
    fixture
        .apply(&ledger(), &["--change", "ledger~7"])
        .await
        .expect(0);
    assert_eq!(fixture.stored().await.version, 1);
}

#[tokio::test]
async fn outage_writes_nothing_and_shows_what_is_known() {
    let fixture = Fixture::start(1).await;
    fixture.apply(&ledger(), &[]).await.expect(0);
    fixture.faults(json!({"down": true})).await;
    fixture
        .apply(&with("owner", json!("gate")), &["--force"])
        .await
        .expect(5);
    let ran = fixture.run(&["get", "ledger"]).await;
    assert_eq!(ran.expect(0).json(), ledger());
    assert!(ran.err.contains("not available"), "{}", ran.err);
    fixture.faults(json!({"down": false})).await;
    assert_eq!(fixture.stored().await.version, 1);
}

#[tokio::test]
async fn next_balancer_is_tried() {
    let mut fixture = Fixture::start(1).await;
    let dead = address(&bind().await);
    fixture.balancers.insert(0, dead);
    fixture.apply(&ledger(), &[]).await.expect(0);
    let only_dead = fixture.file(&ledger());
    let args = ["apply", &only_dead, "--force"];
    run_with(&[dead], &args).await.expect(5);
    fixture.run(&["status"]).await.expect(6);
}

#[tokio::test]
async fn lost_balancer_is_undecided_unless_another_decides() {
    let mut fixture = Fixture::start(1).await;
    let listener = bind().await;
    let silent = address(&listener);
    tokio::spawn(hang_up(listener));
    let file = fixture.file(&ledger());
    run_with(&[silent], &["apply", &file, "--force"])
        .await
        .expect(4);
    fixture.balancers.insert(0, silent);
    fixture.run(&["apply", &file, "--force"]).await.expect(0);
    assert_eq!(fixture.stored().await.version, 1);
    fixture.faults(json!({"down": true})).await;
    fixture.run(&["apply", &file, "--force"]).await.expect(4);
}

async fn hang_up(listener: net::TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut request = [0; 64];
        drop(stream.read(&mut request).await);
    }
}

#[tokio::test]
async fn drain_keeps_the_rest_of_the_record() {
    let fixture = Fixture::start(1).await;
    fixture.apply(&ledger(), &[]).await.expect(0);
    let (a, b) = tokio::join!(
        fixture.run(&["drain", "ledger-1"]),
        fixture.run(&["drain", "ledger-9"]),
    );
    a.expect(0);
    b.expect(0);
    let drained = change::record(&fixture.stored().await.value).clone();
    let upstream = &drained["upstreams"][0];
    assert_eq!(
        (&upstream["weight"], &upstream["rack"]),
        (&json!(0), &json!("r4"))
    );
    let parsed = record::parse("ledger", &drained).expect("record stays whole");
    let record::Document::Service(service) = parsed else {
        panic!("record is deleted");
    };
    assert!(service.weight("ledger-9").abs() < f64::EPSILON);
    fixture.run(&["undrain", "ledger-1"]).await.expect(0);
    let restored = change::record(&fixture.stored().await.value).clone();
    assert_eq!(restored["upstreams"][0]["weight"], json!(2.5));
    assert_eq!(restored["owner"], "depot");
}

#[tokio::test]
async fn status_names_who_lags() {
    let fixture = Fixture::start(2).await;
    fixture.apply(&ledger(), &[]).await.expect(0);
    let ran = fixture.run(&["status", "--json"]).await;
    let row = ran.expect(6).json()["records"][0].clone();
    assert_eq!((&row["newest"], &row["lowest"]), (&json!(1), &json!(0)));
    assert_eq!(row["lagging"], json!(["balancer-1"]));
    let object = fixture.stored().await;
    let document = change::record(&object.value);
    fixture.tables[1]
        .lock()
        .expect("table")
        .apply("ledger", 1, document);
    fixture.run(&["status"]).await.expect(0);
}

#[tokio::test]
async fn dump_prints_the_state_of_a_process() {
    let fixture = Fixture::start(1).await;
    let addr = fixture.balancers[0].to_string();
    assert_eq!(
        fixture.run(&["dump", &addr]).await.expect(0).json(),
        json!({"flows": 3})
    );
}
