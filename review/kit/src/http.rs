//! Reads and writes HTTP/1.1 messages on plain sockets, so that a case sees every byte and every end.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest time to wait for bytes, so that no case hangs.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Head of a message: its first line, and its fields with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub fields: HashMap<String, String>,
}

impl Head {
    /// Returns the `index`th word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Reads a head; `None` if the connection ended before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if line.is_empty() && !head.line.is_empty() {
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields
                .insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a request with its body; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<(Head, Vec<u8>)>> {
    let Some(head) = read_head(reader)? else {
        return Ok(None);
    };
    let mut body = Vec::new();
    if head
        .field("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        read_chunks(reader, &mut body)?;
    } else {
        body.resize(head.field("content-length").parse().unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
    }
    Ok(Some((head, body)))
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let start = body.len();
        let mut chunk = vec![0; size + 2];
        let mut filled = 0;
        // What arrives before a break is kept.
        while filled < chunk.len() {
            let count = reader.read(&mut chunk[filled..])?;
            if count == 0 {
                body.extend_from_slice(&chunk[..filled.min(size)]);
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            filled += count;
        }
        body.truncate(start);
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(());
        }
    }
}

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// An answer that is complete by its framing.
    Complete,
    /// An answer that began and did not end in order.
    Cut(String),
    /// No byte of an answer.
    NoAnswer(String),
}

/// What a client saw of its request.
#[derive(Clone, Debug)]
pub struct Seen {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    pub end: End,
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_write_timeout(Some(READ_TIMEOUT))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sets how long the client waits for bytes.
    pub fn wait_for(&self, time: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(time))
    }

    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Sends a request and reads the answer to its end.
    pub fn exchange(&mut self, request: &[u8]) -> Seen {
        let sent = self.stream.write_all(request);
        let mut seen = self.read_answer();
        if let (Err(error), End::NoAnswer(_)) = (sent, &seen.end) {
            seen.end = End::NoAnswer(error.to_string());
        }
        seen
    }

    /// Reads one answer.
    pub fn read_answer(&mut self) -> Seen {
        let mut seen = Seen {
            status: 0,
            head: Head::default(),
            body: Vec::new(),
            end: End::Complete,
        };
        seen.head = match read_head(&mut self.reader) {
            Ok(Some(head)) => head,
            Ok(None) => {
                seen.end = End::NoAnswer("connection closed".to_owned());
                return seen;
            }
            Err(error) => {
                seen.end = End::NoAnswer(error.to_string());
                return seen;
            }
        };
        seen.status = seen.head.word(1).parse().unwrap_or(0);
        let read = if seen.head.field("transfer-encoding") == "chunked" {
            read_chunks(&mut self.reader, &mut seen.body)
        } else if let Ok(length) = seen.head.field("content-length").parse::<u64>() {
            let taken = (&mut self.reader).take(length).read_to_end(&mut seen.body);
            taken.and_then(|n| match n as u64 == length {
                true => Ok(()),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            })
        } else {
            self.reader.read_to_end(&mut seen.body).map(|_| ())
        };
        if let Err(error) = read {
            seen.end = End::Cut(error.to_string());
        }
        seen
    }
}
