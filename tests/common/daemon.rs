//! Daemons as child processes, and servers for them to talk to.

use std::{
    io::{BufRead, BufReader, Write},
    net::SocketAddrV4,
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use serde::de::DeserializeOwned;

/// Longest wait for a condition.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two looks at a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A file of settings, for as long as the value lives.
pub fn settings_file(settings: &serde_json::Value) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().expect("a file can be made");
    file.write_all(settings.to_string().as_bytes())
        .expect("the file can be written");
    file
}

/// Starts a daemon with these settings and reads the addresses that it prints.
pub fn spawn<B: DeserializeOwned>(program: &str, settings: &serde_json::Value) -> (Child, B) {
    let file = settings_file(settings);
    let mut child = Command::new(program)
        .args(["run", "--settings"])
        .arg(file.path())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let stdout = child.stdout.take().expect("stdout is piped");
    let mut line = String::new();
    BufReader::new(stdout)
        .read_line(&mut line)
        .expect("the daemon prints a line");
    let bound = serde_json::from_str(&line).expect("the line is JSON");
    (child, bound)
}

/// Kills a daemon that still runs.
pub fn kill(child: &mut Child) {
    if child.try_wait().is_ok_and(|status| status.is_none()) {
        child.kill().expect("the daemon is killed");
        child.wait().expect("the daemon ends");
    }
}

/// Serves on a free port for the rest of the process.
pub fn serve<F: Future>(
    run: impl FnOnce(tokio::net::TcpListener) -> F + Send + 'static,
) -> SocketAddrV4 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener
        .set_nonblocking(true)
        .expect("the socket can be set");
    let port = listener.local_addr().expect("the socket is bound").port();
    thread::spawn(move || {
        runtime().block_on(async {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
            run(listener).await;
        });
    });
    super::addr(port)
}

/// A runtime of one thread.
pub fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be made")
}

/// Calls daemons over HTTP.
pub struct Client {
    runtime: tokio::runtime::Runtime,
    http: reqwest::Client,
}

impl Client {
    pub fn new() -> Self {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(TIMEOUT)
            .build()
            .expect("a client can be made");
        Self {
            runtime: runtime(),
            http,
        }
    }

    /// Status and text of a GET.
    pub fn get(&self, to: SocketAddrV4, path: &str) -> (u16, String) {
        let call = self.http.get(format!("http://{to}/{path}"));
        let (status, body) = self.send(call);
        (status, String::from_utf8(body).expect("the answer is text"))
    }

    /// Status and body of a POST.
    pub fn post(
        &self,
        to: SocketAddrV4,
        path: &str,
        bearer: &str,
        body: Vec<u8>,
    ) -> (u16, Vec<u8>) {
        let call = self.http.post(format!("http://{to}/{path}"));
        self.send(call.bearer_auth(bearer).body(body))
    }

    fn send(&self, call: reqwest::RequestBuilder) -> (u16, Vec<u8>) {
        self.runtime.block_on(async {
            let response = call.send().await.expect("the daemon answers");
            let status = response.status().as_u16();
            let body = response.bytes().await.expect("the answer is whole");
            (status, body.to_vec())
        })
    }
}
