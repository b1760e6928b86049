//! HTTP/1.1 with bodies of known length, one thread for each connection.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub target: String,
    pub body: String,
}

/// Serves a listener on threads that run until the process ends.
pub fn serve(
    listener: TcpListener,
    respond: impl Fn(&Request) -> (u16, String) + Send + Sync + 'static,
) {
    let respond = Arc::new(respond);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let respond = Arc::clone(&respond);
            thread::spawn(move || {
                let _closed = serve_stream(&stream, &*respond);
            });
        }
    });
}

fn serve_stream(
    stream: &TcpStream,
    respond: &(impl Fn(&Request) -> (u16, String) + ?Sized),
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut words = line.split_whitespace();
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let length = read_headers(&mut reader)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let body = String::from_utf8_lossy(&body).into_owned();
        let (status, body) = respond(&Request {
            method,
            target,
            body,
        });
        let response = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        (&*stream).write_all(response.as_bytes()).ok()?;
    }
}

/// Reads the headers; returns the length of the body.
fn read_headers(reader: &mut impl BufRead) -> Option<usize> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim();
        if line.is_empty() {
            return Some(length);
        }
        let (name, value) = line.split_once(':')?;
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
}

/// Sends one request; returns the status of the response if it arrives within a second.
pub fn call(to: SocketAddrV4, method: &str, target: &str, body: &str) -> Option<u16> {
    let timeout = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(to), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "{method} {target} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}
