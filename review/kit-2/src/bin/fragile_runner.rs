//! A runner that crashes when it begins to write an answer on a prompt with a certain part. It says on its standard output
//! where it listens, what arrives and what it runs. Usage: `fragile_runner ID PART [ADDRESS]`. With `CRASH=after` it
//! crashes 30 ms after a whole answer instead.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_kit_2::http;

/// Time until the first event, for reading the prompt.
const READING: Duration = Duration::from_millis(150);

fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

fn serve(stream: TcpStream, id: &str, part: &str) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    while let Ok(Some(req)) = http::read_request(&mut reader) {
        let attempt = req.header("attempt-id").to_owned();
        if req.header("expect-instance") != id {
            let headers = [("attempt-id", attempt.as_str()), ("not-run", "1")];
            http::write_response(&mut stream, "421 Misdirected Request", &headers, b"").ok()?;
            continue;
        }
        let is_harmful = req
            .header("prompt-prefix")
            .split(',')
            .any(|p| p.trim().split(':').next() == Some(part));
        say(&format!(
            "{} {attempt}",
            if is_harmful { "HARMFUL" } else { "RUN" }
        ));
        thread::sleep(READING);
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             attempt-id: {attempt}\r\nserver-stamp: {id}.{attempt}\r\nserver-load: 1,0,128\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok()?;
        let crashes_after = std::env::var("CRASH").is_ok_and(|v| v == "after");
        if is_harmful && !crashes_after {
            say(&format!("CRASH {attempt}"));
            std::process::abort();
        }
        for number in 1..=3 {
            let event = format!("id: {number}\ndata: words {number}\n\n");
            stream
                .write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .ok()?;
            thread::sleep(Duration::from_millis(20));
        }
        stream.write_all(b"0\r\n\r\n").ok()?;
        if is_harmful {
            thread::sleep(Duration::from_millis(30));
            say(&format!("CRASH {attempt}"));
            std::process::abort();
        }
    }
    None
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, id, part, rest @ ..] = args.as_slice() else {
        return ExitCode::from(2);
    };
    let address = rest.first().map_or("127.0.0.1:0", String::as_str);
    let Ok(listener) = TcpListener::bind(address) else {
        return ExitCode::from(2);
    };
    if let Ok(address) = listener.local_addr() {
        say(&format!("LISTEN {address}"));
    }
    let names = Arc::new((id.clone(), part.clone()));
    for stream in listener.incoming().flatten() {
        let names = names.clone();
        thread::spawn(move || serve(stream, &names.0, &names.1));
    }
    ExitCode::SUCCESS
}
