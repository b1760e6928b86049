//! Small HTTP/1.1 server and client, enough for the interfaces between the stand-ins and the
//! system.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.iter();
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }
}

pub struct Response {
    pub status: u16,
    pub body: String,
}

/// Serves requests on an address, one thread for each connection, until the process ends.
pub fn serve(
    addr: SocketAddrV4,
    handle: impl Fn(Request) -> Response + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    Ok(())
}

/// Answers requests on a connection until it is closed.
pub fn serve_connection(stream: TcpStream, handle: &dyn Fn(Request) -> Response) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let response = handle(read_request(&mut reader)?);
        let text = format!(
            "HTTP/1.1 {} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            response.status,
            response.body.len(),
            response.body
        );
        writer.write_all(text.as_bytes()).ok()?;
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut len = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let header = header.trim();
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        if name.eq_ignore_ascii_case("content-length") {
            len = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_owned(),
        query: pairs
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect(),
        body,
    })
}

/// Sends a request and returns the status of the response, if one arrives within a second.
pub fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<u16> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&to.into(), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}
