//! Tests the upstream stand-in as a separate process: draining, ledger file and announcements.

use std::{
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};

use serde::Deserialize;
use standins::upstream;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time,
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Deserialize)]
struct Addresses {
    http: SocketAddr,
    control: SocketAddr,
}

/// Kills the process when dropped, also if a test fails.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

fn start(args: &[&str]) -> (Process, Addresses) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(["upstream", "--name", "upstream-1", "--service", "ledger"])
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .expect("starting the stand-in succeeds");
    let stdout = child.stdout.take().expect("standard output is piped");
    let mut line = String::new();
    BufReader::new(stdout.take(1_000))
        .read_line(&mut line)
        .expect("standard output is UTF-8");
    let addresses = serde_json::from_str(&line).expect("the first line is JSON with the addresses");
    (Process(child), addresses)
}

fn terminate(process: &Process) {
    let id = i32::try_from(process.0.id()).expect("the process ID fits into i32");
    // SAFETY: the child has not been reaped, so its process ID has not been reused.
    let result = unsafe { libc::kill(id, libc::SIGTERM) };
    assert_eq!(result, 0);
}

#[tokio::test]
async fn sigterm_completes_running_request() {
    let (mut process, addresses) = start(&[]);
    let client = reqwest::Client::new();
    let request = client
        .post(format!("http://{}/pickups", addresses.http))
        .header("x-request-id", "id")
        .header("x-work-ms", "500");
    let running = tokio::spawn(request.send());
    let ledger = format!("http://{}/ledger", addresses.control);
    let started = async {
        loop {
            let response = client
                .get(&ledger)
                .send()
                .await
                .expect("the control port responds");
            let ledger: Vec<upstream::Execution> =
                response.json().await.expect("the ledger is JSON");
            if let Some(execution) = ledger.into_iter().next() {
                return execution;
            }
        }
    };
    let execution = time::timeout(TEST_TIMEOUT, started)
        .await
        .expect("the request starts before the timeout");
    assert_eq!((execution.id.as_str(), execution.ended_ms), ("id", None));
    terminate(&process);
    let response = running
        .await
        .expect("the task does not panic")
        .expect("the response arrives");
    assert_eq!(response.headers()["x-upstream"], "upstream-1");
    assert_eq!(
        response
            .text()
            .await
            .expect("the response body is complete"),
        "id\n"
    );
    let waiting = tokio::task::spawn_blocking(move || process.0.wait());
    let status = time::timeout(TEST_TIMEOUT, waiting)
        .await
        .expect("the process exits");
    assert!(
        status
            .expect("the task does not panic")
            .expect("the process exits")
            .success()
    );
}

#[tokio::test]
async fn ledger_file_survives_kill() {
    let dir = tempfile::tempdir().expect("creating a folder succeeds");
    let path = dir.path().join("ledger");
    let (mut process, addresses) = start(&["--ledger", &path.to_string_lossy()]);
    let request = reqwest::Client::new()
        .post(format!("http://{}/pickups", addresses.http))
        .header("x-request-id", "id")
        .header("x-work-ms", "600000");
    let running = tokio::spawn(request.send());
    let started = async {
        while upstream::read_ledger("upstream-1", &path)
            .is_ok_and(|executions| executions.is_empty())
        {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    time::timeout(TEST_TIMEOUT, started)
        .await
        .expect("the request starts before the timeout");
    process.0.kill().expect("killing the process succeeds");
    let answer = running.await.expect("the task does not panic");
    answer.expect_err("the request fails because the upstream was killed");
    let executions = upstream::read_ledger("upstream-1", &path).expect("the ledger file exists");
    assert_eq!((executions.len(), executions[0].id.as_str()), (1, "id"));
}

#[tokio::test]
async fn sigterm_announces_draining() {
    let agent = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binding a listener succeeds");
    let address = agent
        .local_addr()
        .expect("the listener is open")
        .to_string();
    let (process, addresses) = start(&["--agent", &address, "--slots", "7"]);
    let first = time::timeout(TEST_TIMEOUT, announcement(&agent))
        .await
        .expect("the upstream sends an announcement");
    assert_eq!(first["state"], "ready");
    assert_eq!(first["slots"], 7);
    assert_eq!(first["address"], addresses.http.to_string());
    terminate(&process);
    let draining = async { while announcement(&agent).await["state"] != "draining" {} };
    time::timeout(TEST_TIMEOUT, draining)
        .await
        .expect("the upstream announces that it is draining");
}

async fn announcement(agent: &TcpListener) -> serde_json::Value {
    let (mut stream, _) = agent.accept().await.expect("the listener is open");
    let mut request = Vec::new();
    loop {
        stream
            .read_buf(&mut request)
            .await
            .expect("the connection is open");
        let text = String::from_utf8_lossy(&request);
        let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        if let Ok(body) = serde_json::from_str(body) {
            let answer = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
            stream
                .write_all(answer.as_bytes())
                .await
                .expect("the connection is open");
            return body;
        }
    }
}
