//! A client: one request on a new channel.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Message};

/// Sends a request on a new channel and reads the answer to its end. Returns `None` if the channel ends without one.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    head.push_str("connection: close\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    http::read_response(&mut BufReader::new(stream))
}

/// Returns a short description of an answer, for the record.
pub fn describe(answer: &io::Result<Option<Message>>) -> String {
    match answer {
        Ok(Some(m)) => {
            let whole = if m.is_whole { "whole" } else { "cut off" };
            let text: String = String::from_utf8_lossy(&m.body).chars().take(60).collect();
            format!("{} {whole} {:?}", m.status(), text)
        }
        Ok(None) => "channel closed without an answer".to_owned(),
        Err(error) => format!("no answer: {error}"),
    }
}
