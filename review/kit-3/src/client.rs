//! Clients, each request on a new connection.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{self, Head};
use crate::unix_ms;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other request has.
pub fn new_id() -> String {
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{n:08x}", unix_ms() & 0xffff_ffff)
}

/// Returns the status of the answer to `GET path`.
pub fn get(mut stream: TcpStream, path: &str) -> Option<u16> {
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
    )
    .ok()?;
    let head = Head::read(&mut BufReader::new(stream)).ok()??;
    Some(head.status())
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
    pub deadline_ms: u64,
}

/// How a request was answered.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub is_whole: bool,
}

/// Sends `req` to `to` and waits for the whole answer. Calls `on_first` at the first part of the body.
pub fn send(
    to: SocketAddr,
    host: &str,
    key: &str,
    req: &Request,
    mut on_first: impl FnMut(u16),
) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return answer;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(req.deadline_ms)));
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\nAuthorization: Token {key}\r\n",
        req.method, req.path, req.id, req.deadline_ms
    );
    for (name, value) in &req.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!(
        "Content-Length: {}\r\n\r\n{}",
        req.body.len(),
        req.body
    ));
    if stream.write_all(text.as_bytes()).is_err() {
        return answer;
    }
    let mut reader = BufReader::new(stream);
    let Ok(Some(head)) = Head::read(&mut reader) else {
        return answer;
    };
    answer.status = head.status();
    let mut body = Vec::new();
    let result = http::read_body(&mut reader, &head, |part| {
        if body.is_empty() && !part.is_empty() {
            on_first(head.status());
        }
        body.extend_from_slice(part);
    });
    answer.is_whole = result.is_ok();
    answer.body = body;
    answer.head = head;
    answer
}
