//! The upstream stand-in as a process.

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

const LIMIT: Duration = Duration::from_secs(20);

#[derive(Deserialize)]
struct Ports {
    http: SocketAddr,
    control: SocketAddr,
}

/// Ends the process if a test fails.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

fn start(args: &[&str]) -> (Process, Ports) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(["upstream", "--name", "upstream-1", "--service", "ledger"])
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .expect("stand-in starts");
    let stdout = child.stdout.take().expect("output is piped");
    let mut line = String::new();
    BufReader::new(stdout.take(1_000))
        .read_line(&mut line)
        .expect("output is text");
    let ports = serde_json::from_str(&line).expect("line is JSON");
    (Process(child), ports)
}

fn terminate(process: &Process) {
    let id = i32::try_from(process.0.id()).expect("process ids are small");
    // SAFETY: signals a child that has not been waited for.
    let result = unsafe { libc::kill(id, libc::SIGTERM) };
    assert_eq!(result, 0);
}

#[tokio::test]
async fn sigterm_finishes_the_running_request() {
    let (mut process, ports) = start(&[]);
    let client = reqwest::Client::new();
    let request = client
        .post(format!("http://{}/pickups", ports.http))
        .header("x-request-id", "id")
        .header("x-work-ms", "500");
    let running = tokio::spawn(request.send());
    let ledger = format!("http://{}/ledger", ports.control);
    let begun = async {
        loop {
            let response = client.get(&ledger).send().await.expect("control answers");
            let ledger: Vec<upstream::Execution> = response.json().await.expect("ledger is JSON");
            if let Some(execution) = ledger.into_iter().next() {
                return execution;
            }
        }
    };
    let execution = time::timeout(LIMIT, begun).await.expect("request starts");
    assert_eq!((execution.id.as_str(), execution.ended_ms), ("id", None));
    terminate(&process);
    let response = running.await.expect("task ends").expect("answer comes");
    assert_eq!(response.headers()["x-upstream"], "upstream-1");
    assert_eq!(response.text().await.expect("answer is whole"), "id\n");
    let waiting = tokio::task::spawn_blocking(move || process.0.wait());
    let status = time::timeout(LIMIT, waiting).await.expect("process ends");
    assert!(status.expect("task ends").expect("process ends").success());
}

#[tokio::test]
async fn ledger_file_outlives_a_kill() {
    let dir = tempfile::tempdir().expect("folder is made");
    let path = dir.path().join("ledger");
    let (mut process, ports) = start(&["--ledger", &path.to_string_lossy()]);
    let request = reqwest::Client::new()
        .post(format!("http://{}/pickups", ports.http))
        .header("x-request-id", "id")
        .header("x-work-ms", "600000");
    let running = tokio::spawn(request.send());
    let begun = async {
        while upstream::read_ledger("upstream-1", &path).is_ok_and(|runs| runs.is_empty()) {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    time::timeout(LIMIT, begun).await.expect("request starts");
    process.0.kill().expect("process is killed");
    let answer = running.await.expect("task ends");
    answer.expect_err("the upstream was killed");
    let runs = upstream::read_ledger("upstream-1", &path).expect("ledger is there");
    assert_eq!((runs.len(), runs[0].id.as_str()), (1, "id"));
}

#[tokio::test]
async fn announcement_says_draining_after_sigterm() {
    let agent = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("port is free");
    let address = agent.local_addr().expect("socket is bound").to_string();
    let (process, ports) = start(&["--agent", &address, "--slots", "7"]);
    let first = time::timeout(LIMIT, announcement(&agent))
        .await
        .expect("it announces");
    assert_eq!(first["state"], "ready");
    assert_eq!(first["slots"], 7);
    assert_eq!(first["address"], ports.http.to_string());
    terminate(&process);
    let draining = async { while announcement(&agent).await["state"] != "draining" {} };
    time::timeout(LIMIT, draining)
        .await
        .expect("it announces draining");
}

async fn announcement(agent: &TcpListener) -> serde_json::Value {
    let (mut stream, _) = agent.accept().await.expect("socket is bound");
    let mut request = Vec::new();
    loop {
        stream.read_buf(&mut request).await.expect("stream is open");
        let text = String::from_utf8_lossy(&request);
        let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        if let Ok(body) = serde_json::from_str(body) {
            let answer = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
            stream
                .write_all(answer.as_bytes())
                .await
                .expect("stream is open");
            return body;
        }
    }
}
