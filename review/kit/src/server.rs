//! A stand-in for a server (runner): each connection carries one request at a time.
//!
//! Options: `events=N`, `gap_ms=N` (streams, on paths below `/stream`), `work_ms=N`, `bytes=N` (other paths),
//! `framing=chunked|length|close`, `header=NAME: VALUE` (in each answer), `port=N`, `deadly=TEXT`
//! (the process ends when it begins to run a request whose path has this text).

use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::http::{self, Head};

#[derive(Debug)]
struct Options {
    id: String,
    events: u32,
    gap: Duration,
    work: Duration,
    bytes: usize,
    framing: String,
    headers: Vec<String>,
    port: u16,
    deadly: Option<String>,
}

/// Runs the server until the process ends.
pub fn run(args: &[String]) -> io::Result<()> {
    let mut options = Options {
        id: args.first().cloned().unwrap_or_default(),
        events: 10,
        gap: Duration::from_millis(100),
        work: Duration::from_millis(30),
        bytes: 800,
        framing: "length".to_owned(),
        headers: Vec::new(),
        port: 0,
        deadly: None,
    };
    for arg in &args[1..] {
        let (name, value) = arg.split_once('=').unwrap_or((arg, ""));
        let number = || value.parse().map_err(io::Error::other);
        match name {
            "events" => options.events = value.parse().map_err(io::Error::other)?,
            "gap_ms" => options.gap = Duration::from_millis(number()?),
            "work_ms" => options.work = Duration::from_millis(number()?),
            "bytes" => options.bytes = value.parse().map_err(io::Error::other)?,
            "port" => options.port = value.parse().map_err(io::Error::other)?,
            "deadly" => options.deadly = Some(value.to_owned()),
            "framing" => options.framing = value.to_owned(),
            "header" => options.headers.push(value.to_owned()),
            _ => return Err(io::Error::other(format!("unknown option {name}"))),
        }
    }
    let listener = TcpListener::bind(("127.0.0.1", options.port))?;
    say(&listener.local_addr()?.to_string());
    // Ends with the process that started this one.
    std::thread::spawn(|| {
        let _ = io::copy(&mut io::stdin(), &mut io::sink());
        std::process::exit(0);
    });
    let options = Arc::new(options);
    loop {
        let (stream, _) = listener.accept()?;
        let options = options.clone();
        std::thread::spawn(move || serve(stream, &options));
    }
}

/// Writes one line for the process that started this one.
fn say(line: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

/// Returns the whole body of the answer to an attempt.
pub fn body_of(id: &str, attempt: &str, bytes: usize) -> Vec<u8> {
    let mut body =
        format!("{{\"server\":\"{id}\",\"attempt\":\"{attempt}\",\"pad\":\"").into_bytes();
    while body.len() + 2 < bytes {
        body.push(b'x');
    }
    body.extend_from_slice(b"\"}");
    body
}

fn serve(stream: TcpStream, options: &Options) {
    let _ = stream.set_nodelay(true);
    let Ok(read_half) = stream.try_clone() else {
        return;
    };
    let (mut reader, mut stream) = (BufReader::new(read_half), stream);
    while let Ok(Some((head, body))) = http::read_request(&mut reader) {
        match answer(&mut stream, &head, body.len(), options) {
            Ok(true) => {}
            Ok(false) => return,
            Err(error) => {
                say(&format!(
                    "channel broke under {}: {error}",
                    head.field("attempt-id")
                ));
                return;
            }
        }
    }
}

/// Answers a request. Returns whether the connection stays open.
fn answer(
    stream: &mut TcpStream,
    head: &Head,
    length: usize,
    options: &Options,
) -> io::Result<bool> {
    let Options { id, .. } = options;
    let attempt = head.field("attempt-id");
    let (method, path) = (head.word(0), head.word(1));
    if path == "/healthz" {
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        )?;
        return Ok(true);
    }
    let expected = head.field("expect-instance");
    if !expected.is_empty() && expected != id {
        say(&format!("rejects {attempt}, for {expected}"));
        write!(
            stream,
            "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        )?;
        return Ok(true);
    }
    say(&format!(
        "runs {attempt} {method} {path}, body of {length} bytes"
    ));
    if options.deadly.as_ref().is_some_and(|t| path.contains(t)) {
        say(&format!("crashes under {attempt}"));
        std::thread::sleep(Duration::from_millis(20));
        std::process::exit(1);
    }
    let mut text =
        format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {id}.{attempt}\r\n");
    for header in &options.headers {
        text += &format!("{header}\r\n");
    }
    let pieces: Vec<Vec<u8>> = if path.starts_with("/stream") {
        text += "Content-Type: text/event-stream\r\n";
        // A resumed stream goes on after the event that the client or the system names.
        let last: u32 = head.field("last-event-id").parse().unwrap_or(0);
        let events = last + 1..=options.events;
        events
            .map(|n| format!("id: {n}\ndata: event {n} of {attempt}\n\n").into_bytes())
            .collect()
    } else {
        std::thread::sleep(options.work);
        text += "Content-Type: application/json\r\n";
        vec![body_of(id, attempt, options.bytes)]
    };
    let framing = options.framing.as_str();
    text += &match framing {
        "chunked" => "Transfer-Encoding: chunked\r\n\r\n".to_owned(),
        "length" => {
            let total: usize = pieces.iter().map(Vec::len).sum();
            format!("Content-Length: {total}\r\n\r\n")
        }
        _ => "Connection: close\r\n\r\n".to_owned(),
    };
    stream.write_all(text.as_bytes())?;
    let count = pieces.len();
    for (index, piece) in pieces.iter().enumerate() {
        if index > 0 {
            std::thread::sleep(options.gap);
        }
        if framing == "chunked" {
            write!(stream, "{:x}\r\n", piece.len())?;
        }
        stream.write_all(piece)?;
        if framing == "chunked" {
            stream.write_all(b"\r\n")?;
        }
    }
    if framing == "chunked" {
        stream.write_all(b"0\r\n\r\n")?;
    }
    say(&format!("ends {attempt}, {count} pieces"));
    Ok(framing != "close")
}
