//! Just enough of HTTP/1.1 for the stand-ins.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// The head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Headers, with names in lowercase.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    /// Returns a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the peer closed the connection before it.
fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.start.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.start.is_empty() {
            message.start = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.insert(name, value.trim().to_owned());
        }
    }
}

/// Reads a body that is framed by chunks. Returns whether it is whole.
fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let size = line.trim_end().split(';').next().unwrap_or_default();
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return Ok(false);
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return Ok(false);
        }
        if size == 0 {
            return Ok(true);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Reads a request; `None` if the peer has closed the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let mut body = Vec::new();
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        message.is_whole = read_chunks(reader, &mut body)?;
    } else {
        body = vec![0; message.header("content-length").parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
        message.is_whole = true;
    }
    message.body = body;
    Ok(Some(message))
}

/// Reads a response to its end. One that the connection cuts off is not whole.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let mut body = Vec::new();
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        message.is_whole = read_chunks(reader, &mut body).unwrap_or(false);
    } else if let Ok(length) = message.header("content-length").parse() {
        body = vec![0; length];
        message.is_whole = reader.read_exact(&mut body).is_ok();
    } else {
        message.is_whole = reader.read_to_end(&mut body).is_ok();
    }
    message.body = body;
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
