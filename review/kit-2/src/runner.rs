//! A stand-in for a runner that answers at once. Several run in the process of the case.

use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::http;
use crate::record::Record;

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Seconds of the record at which it began.
    pub at: f64,
    /// Id of the client's attempt.
    pub attempt: String,
    /// The tenant that the runner was told.
    pub tenant: String,
    /// The `Token-Count` that it was told.
    pub tokens: String,
}

/// A runner.
pub struct Runner {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    runs: Mutex<Vec<Run>>,
    record: Record,
}

impl Runner {
    /// Starts a runner.
    pub fn start(record: &Record, id: &str, zone: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = Arc::new(Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            runs: Mutex::default(),
            record: record.clone(),
        });
        let served = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = served.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        Ok(runner)
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("not poisoned").clone()
    }

    /// Returns the value of its entry in the store.
    pub fn entry(&self, service: &str, state: &str) -> String {
        entry(service, self.address, &self.zone, state, 1)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut stream = stream;
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            let attempt = req.header("attempt-id");
            if req.header("expect-instance") != self.id {
                let headers = [("attempt-id", attempt), ("not-run", "1")];
                http::write_response(&mut stream, "421 Misdirected Request", &headers, b"").ok()?;
                continue;
            }
            let run = Run {
                at: self.record.seconds(),
                attempt: attempt.to_owned(),
                tenant: req.header("tenant").to_owned(),
                tokens: req.header("token-count").to_owned(),
            };
            self.record.line(&format!(
                "runner {} in {} runs {attempt}",
                self.id, self.zone
            ));
            self.runs.lock().expect("not poisoned").push(run);
            let stamp = format!("{}.{attempt}", self.id);
            let headers = [
                ("attempt-id", attempt),
                ("server-stamp", stamp.as_str()),
                ("server-load", "1,0,6"),
                ("content-type", "text/plain"),
            ];
            let body = format!("done {attempt}");
            http::write_response(&mut stream, "200 OK", &headers, body.as_bytes()).ok()?;
        }
        None
    }
}

/// Returns the value of a runner's entry in the store.
pub fn entry(service: &str, address: SocketAddr, zone: &str, state: &str, born: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":1,\"born\":{born}}}"
    )
}
