//! Tests for the command-line tool against the administration API and a stand-in of the
//! platform store.

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

type SharedTable = Arc<Mutex<record_table::Table>>;

struct Fixture {
    dir: tempfile::TempDir,
    platform_url: String,
    balancers: Vec<SocketAddr>,
    tables: Vec<SharedTable>,
}

impl Fixture {
    async fn start(balancers: usize) -> Self {
        let listener = bind().await;
        let platform_url = format!("http://{}", address(&listener));
        tokio::spawn(platform_standins::store::serve(listener));
        let mut fixture = Self {
            dir: tempfile::tempdir().expect("temporary directory"),
            platform_url,
            balancers: Vec::new(),
            tables: Vec::new(),
        };
        for index in 0..balancers {
            fixture.add_balancer(index).await;
        }
        fixture
    }

    async fn add_balancer(&mut self, index: usize) {
        let table = SharedTable::default();
        let admin = admin::Admin::new(admin_dependencies(index, &self.platform_url, &table));
        let listener = bind().await;
        self.balancers.push(address(&listener));
        self.tables.push(table);
        tokio::spawn(gotham::bind_server(listener, router(admin), future::ok));
    }

    async fn inject_faults(&self, faults: Value) {
        let request = reqwest::Client::new().post(format!("{}/faults", self.platform_url));
        let response = request.json(&faults).send().await.expect("response");
        assert!(response.status().is_success());
    }

    async fn stored_object(&self) -> platform::Object {
        let client = platform::Client::new(&self.platform_url, change::CALL_TIMEOUT.to_duration())
            .expect("store client");
        let object = client.get(change::RECORD_KIND, "ledger").await;
        object
            .expect("platform store responds")
            .expect("record exists")
    }

    fn write_file(&self, document: &Value) -> String {
        let path: PathBuf = self.dir.path().join("ledger.json");
        std::fs::write(&path, document.to_string()).expect("record file is written");
        path.to_str().expect("path is UTF-8").to_owned()
    }

    async fn run(&self, args: &[&str]) -> ToolOutput {
        run_with(&self.balancers, args).await
    }

    async fn apply(&self, document: &Value, flags: &[&str]) -> ToolOutput {
        let file = self.write_file(document);
        self.run(&[&["apply", file.as_str()], flags].concat()).await
    }
}

struct ToolOutput {
    code: i32,
    stdout: String,
    stderr: String,
}

impl ToolOutput {
    fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).expect("stdout is JSON")
    }

    fn expect_code(&self, code: i32) -> &Self {
        assert_eq!(self.code, code, "{}{}", self.stdout, self.stderr);
        self
    }
}

async fn bind() -> net::TcpListener {
    net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback listener")
}

fn address(listener: &net::TcpListener) -> SocketAddr {
    listener.local_addr().expect("local address")
}

fn admin_dependencies(
    index: usize,
    platform_url: &str,
    table: &SharedTable,
) -> admin::Dependencies {
    let [read, write] = [Arc::clone(table), Arc::clone(table)];
    admin::Dependencies {
        name: format!("balancer-{index}"),
        domain: "valley-a".to_owned(),
        token: TOKEN.to_owned(),
        client: platform::Client::new(platform_url, change::CALL_TIMEOUT.to_duration())
            .expect("store client"),
        table: Box::new(move || Arc::new(read.lock().expect("record table").clone())),
        apply: Box::new(move |object| {
            let document = change::record(&object.value);
            write
                .lock()
                .expect("record table")
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

async fn run_with(balancers: &[SocketAddr], args: &[&str]) -> ToolOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cassiacross"));
    command.env("CASSIACROSS_TOKEN", TOKEN).args(args);
    for balancer in balancers {
        command.args(["--balancer", &balancer.to_string()]);
    }
    let output = tokio::task::spawn_blocking(move || command.output());
    let output: Output = output
        .await
        .expect("task completes")
        .expect("tool is executed");
    ToolOutput {
        code: output.status.code().expect("tool exits with a code"),
        stdout: String::from_utf8(output.stdout).expect("stdout is UTF-8"),
        stderr: String::from_utf8(output.stderr).expect("stderr is UTF-8"),
    }
}

fn ledger() -> Value {
    json!({
        "schema": 2, "name": "ledger", "address": "10.9.0.1:80", "owner": "depot",
        "upstreams": [{"name": "ledger-1", "weight": 2.5, "rack": "r4"}],
        "rules": [{"method": "POST", "path": "/pickups", "class": "urgent"}],
    })
}

fn ledger_with(name: &str, value: Value) -> Value {
    let mut document = ledger();
    document[name] = value;
    document
}

#[tokio::test]
async fn record_can_be_written_read_and_deleted() {
    let fixture = Fixture::start(1).await;
    fixture.apply(&ledger(), &[]).await.expect_code(0);
    assert_eq!(
        fixture.run(&["get", "ledger"]).await.expect_code(0).json(),
        ledger()
    );
    fixture
        .apply(&ledger_with("owner", json!("gate")), &[])
        .await
        .expect_code(0);
    assert!(
        fixture
            .run(&["list"])
            .await
            .expect_code(0)
            .stdout
            .starts_with("ledger ")
    );
    fixture.run(&["status"]).await.expect_code(0);
    fixture.run(&["delete", "ledger"]).await.expect_code(0);
    fixture.run(&["get", "ledger"]).await.expect_code(7);
    assert_eq!(
        fixture.tables[0].lock().expect("record table").services(),
        []
    );
    let output = fixture.apply(&ledger(), &["--version", "0"]).await;
    assert!(
        output.expect_code(3).stderr.contains("version 3"),
        "{}",
        output.stderr
    );
    fixture.apply(&ledger(), &[]).await.expect_code(0);
    assert_eq!(fixture.stored_object().await.version, 4);
}

#[parameterized(
    locally = { &["check"] },
    at_a_balancer = { &["check", "--remote"] },
    on_write = { &["apply"] },
)]
#[test_macro(tokio::test)]
async fn all_field_errors_are_printed(command: &[&str]) {
    let fixture = Fixture::start(1).await;
    let mut document = ledger_with("address", json!("host"));
    document["rules"][0]["class"] = json!("red");
    let file = fixture.write_file(&document);
    let output = fixture.run(&[command, &[file.as_str()]].concat()).await;
    for part in ["address must", "rules[0].class must"] {
        assert!(
            output.expect_code(2).stderr.contains(part),
            "{}",
            output.stderr
        );
    }
}

#[parameterized(
    no_token = { &["list", "--settings", "/nonexistent"], 1 },
    unknown_command = { &["explode"], 2 },
    invalid_name = { &["get", "a/b"], 1 },
    invalid_change_id = { &["change", "ledger"], 1 },
    missing_record = { &["get", "ledger"], 7 },
    missing_upstream = { &["drain", "ledger-1"], 7 },
    announced_upstream_without_record = { &["drain", "ledger-9"], 7 },
)]
#[test_macro(tokio::test)]
async fn failed_command_returns_its_exit_code(args: &[&str], code: i32) {
    let fixture = Fixture::start(1).await;
    fixture.run(args).await.expect_code(code);
}

#[tokio::test]
async fn invalid_token_is_rejected() {
    let fixture = Fixture::start(1).await;
    let url = format!("http://{}/v1/records", fixture.balancers[0]);
    let response = reqwest::Client::new()
        .get(url)
        .bearer_auth("guess")
        .send()
        .await;
    assert_eq!(response.expect("response").status().as_u16(), 401);
}

#[tokio::test]
async fn outdated_version_is_a_conflict() {
    let fixture = Fixture::start(2).await;
    fixture
        .apply(&ledger(), &["--version", "0"])
        .await
        .expect_code(0);
    fixture
        .apply(&ledger(), &["--version", "1"])
        .await
        .expect_code(0);
    let output = fixture
        .apply(&ledger_with("owner", json!("late")), &["--version", "1"])
        .await;
    assert!(
        output.expect_code(3).stderr.contains("version 2"),
        "{}",
        output.stderr
    );
    fixture
        .apply(&ledger_with("owner", json!("gate")), &["--force"])
        .await
        .expect_code(0);
    assert_eq!(fixture.stored_object().await.version, 3);
}

#[tokio::test]
async fn lost_response_is_undecided_until_the_change_id_is_queried() {
    let fixture = Fixture::start(1).await;
    fixture
        .inject_faults(json!({"lose_answers": 1, "down_after_loss": true}))
        .await;
    let output = fixture.apply(&ledger(), &["--change", "ledger~7"]).await;
    assert!(
        output.expect_code(4).stderr.contains("change ledger~7"),
        "{}",
        output.stderr
    );
    fixture.run(&["change", "ledger~7"]).await.expect_code(4);
    fixture.inject_faults(json!({"down": false})).await;
    fixture.run(&["change", "ledger~7"]).await.expect_code(0);
    fixture.run(&["change", "ledger~8"]).await.expect_code(4);
    fixture
        .apply(&ledger(), &["--change", "ledger~7"])
        .await
        .expect_code(0);
    assert_eq!(fixture.stored_object().await.version, 1);
}

#[tokio::test]
async fn store_outage_prevents_writes_and_returns_the_cached_record() {
    let fixture = Fixture::start(1).await;
    fixture.apply(&ledger(), &[]).await.expect_code(0);
    fixture.inject_faults(json!({"down": true})).await;
    fixture
        .apply(&ledger_with("owner", json!("gate")), &["--force"])
        .await
        .expect_code(5);
    let output = fixture.run(&["get", "ledger"]).await;
    assert_eq!(output.expect_code(0).json(), ledger());
    assert!(output.stderr.contains("not available"), "{}", output.stderr);
    fixture.inject_faults(json!({"down": false})).await;
    assert_eq!(fixture.stored_object().await.version, 1);
}

#[tokio::test]
async fn unreachable_balancer_is_skipped() {
    let mut fixture = Fixture::start(1).await;
    let unreachable = address(&bind().await);
    fixture.balancers.insert(0, unreachable);
    fixture.apply(&ledger(), &[]).await.expect_code(0);
    let file = fixture.write_file(&ledger());
    let args = ["apply", &file, "--force"];
    run_with(&[unreachable], &args).await.expect_code(5);
    fixture.run(&["status"]).await.expect_code(6);
}

#[tokio::test]
async fn dropped_connection_is_undecided_unless_another_balancer_responds() {
    let mut fixture = Fixture::start(1).await;
    let listener = bind().await;
    let dropping = address(&listener);
    tokio::spawn(close_connections(listener));
    let file = fixture.write_file(&ledger());
    run_with(&[dropping], &["apply", &file, "--force"])
        .await
        .expect_code(4);
    fixture.balancers.insert(0, dropping);
    fixture
        .run(&["apply", &file, "--force"])
        .await
        .expect_code(0);
    assert_eq!(fixture.stored_object().await.version, 1);
    fixture.inject_faults(json!({"down": true})).await;
    fixture
        .run(&["apply", &file, "--force"])
        .await
        .expect_code(4);
}

async fn close_connections(listener: net::TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut request = [0; 64];
        drop(stream.read(&mut request).await);
    }
}

#[tokio::test]
async fn drain_keeps_other_fields_of_the_record() {
    let fixture = Fixture::start(1).await;
    fixture.apply(&ledger(), &[]).await.expect_code(0);
    let (a, b) = tokio::join!(
        fixture.run(&["drain", "ledger-1"]),
        fixture.run(&["drain", "ledger-9"]),
    );
    a.expect_code(0);
    b.expect_code(0);
    let drained = change::record(&fixture.stored_object().await.value).clone();
    let upstream = &drained["upstreams"][0];
    assert_eq!(
        (&upstream["weight"], &upstream["rack"]),
        (&json!(0), &json!("r4"))
    );
    let parsed = record::parse("ledger", &drained).expect("record is still valid");
    let record::Document::Service(service) = parsed else {
        panic!("record is a tombstone");
    };
    assert!(service.weight("ledger-9").abs() < f64::EPSILON);
    fixture.run(&["undrain", "ledger-1"]).await.expect_code(0);
    let restored = change::record(&fixture.stored_object().await.value).clone();
    assert_eq!(restored["upstreams"][0]["weight"], json!(2.5));
    assert_eq!(restored["owner"], "depot");
}

#[tokio::test]
async fn status_lists_balancers_that_lag() {
    let fixture = Fixture::start(2).await;
    fixture.apply(&ledger(), &[]).await.expect_code(0);
    let output = fixture.run(&["status", "--json"]).await;
    let record = output.expect_code(6).json()["records"][0].clone();
    assert_eq!(
        (&record["newest"], &record["lowest"]),
        (&json!(1), &json!(0))
    );
    assert_eq!(record["lagging"], json!(["balancer-1"]));
    let object = fixture.stored_object().await;
    let document = change::record(&object.value);
    fixture.tables[1]
        .lock()
        .expect("record table")
        .apply("ledger", 1, document);
    fixture.run(&["status"]).await.expect_code(0);
}

#[tokio::test]
async fn dump_prints_the_state_of_a_balancer() {
    let fixture = Fixture::start(1).await;
    let addr = fixture.balancers[0].to_string();
    assert_eq!(
        fixture.run(&["dump", &addr]).await.expect_code(0).json(),
        json!({"flows": 3})
    );
}
