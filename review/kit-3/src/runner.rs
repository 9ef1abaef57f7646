//! Model runners, which crash as whole processes do: their listener and all their connections close.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Head};
use crate::record::Record;
use crate::store::Store;
use crate::unix_ms;

/// What a runner does with a request that it has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Streams so many events, one each 100 ms.
    Stream(u32),
    /// Answers after so many milliseconds.
    Answer(u64),
    /// Crashes when it begins to write the answer.
    Crash,
}

/// A runner.
pub struct Runner {
    pub id: String,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    store: Arc<Store>,
    record: Record,
    work_of: Box<dyn Fn(&Head) -> Work + Send + Sync>,
    /// Number of crashes; work of earlier runs has ended.
    run: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
    down_time: Duration,
    /// Time for which it is cold after it has started again.
    warmup: Duration,
}

/// What a runner does, and what becomes of it.
pub struct Behaviour<F> {
    /// Time for which it is down after a crash.
    pub down_time: Duration,
    /// Time for which it is cold after that.
    pub warmup: Duration,
    /// Returns what it does with a request that has arrived.
    pub work_of: F,
}

impl Runner {
    /// Starts a runner at `ip`, and publishes it.
    pub fn start(
        (id, ip): (&str, &str),
        (service, zone): (&'static str, &'static str),
        store: &Arc<Store>,
        record: &Record,
        behaviour: Behaviour<impl Fn(&Head) -> Work + Send + Sync + 'static>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service,
            zone,
            address: listener.local_addr()?,
            store: store.clone(),
            record: record.clone(),
            work_of: Box::new(behaviour.work_of),
            run: AtomicU64::new(0),
            open: Mutex::default(),
            down_time: behaviour.down_time,
            warmup: behaviour.warmup,
        });
        runner.clone().serve(listener)?;
        Ok(runner)
    }

    /// Returns the number of its crashes.
    pub fn crashes(&self) -> u64 {
        self.run.load(Ordering::SeqCst)
    }

    fn publish(&self) {
        let cold_ms = match self.crashes() {
            0 => 0,
            _ => self.warmup.as_millis(),
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":1,\"slots\":128,\
             \"state\":\"ready\",\"warmupLeftMs\":{cold_ms},\"sequence\":1,\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            unix_ms()
        );
        self.store
            .write(&format!("servers/{}", self.id), Some(&entry));
    }

    fn serve(self: Arc<Self>, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let run = self.crashes();
        self.publish();
        thread::spawn(move || {
            while self.crashes() == run {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let runner = self.clone();
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            lock(&runner.open).push(copy);
                        }
                        thread::spawn(move || {
                            let _ = runner.serve_connection(stream, run);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(())
    }

    /// Ends the process, as a loss of power does; it starts again after its down time.
    pub fn stop(self: &Arc<Self>) {
        self.crash(self.crashes());
    }

    /// Ends the process; it starts again after its down time, with the same id and address.
    fn crash(self: &Arc<Self>, run: u64) {
        let next = run + 1;
        if self
            .run
            .compare_exchange(run, next, Ordering::SeqCst, Ordering::SeqCst)
            .is_err()
        {
            return;
        }
        self.record.line(&format!("runner {} crashes", self.id));
        // The listener closes within a millisecond, as in a process that ends.
        thread::sleep(Duration::from_millis(3));
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(runner.down_time);
            for _ in 0..100 {
                if let Ok(listener) = TcpListener::bind(runner.address) {
                    runner.record.line(&format!("runner {} is back", runner.id));
                    let _ = runner.clone().serve(listener);
                    return;
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
    }

    fn serve_connection(self: &Arc<Self>, mut stream: TcpStream, run: u64) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = Head::read(&mut reader)? {
            http::read_body(&mut reader, &head, |_| {})?;
            if self.crashes() != run {
                return Ok(());
            }
            let id = head.header("attempt-id").unwrap_or("").to_owned();
            if head.header("expect-instance").is_some_and(|e| e != self.id) {
                write!(
                    stream,
                    "HTTP/1.1 421 Misdirected\r\nAttempt-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            match (self.work_of)(&head) {
                Work::Stream(events) => {
                    self.record.line(&format!("run {id} at {}", self.id));
                    self.stream(&mut stream, &id, events, run)?;
                }
                Work::Answer(ms) => {
                    self.record.line(&format!("run {id} at {}", self.id));
                    thread::sleep(Duration::from_millis(ms));
                    if self.crashes() != run {
                        return Ok(());
                    }
                    let body = format!("{{\"answer\":\"{id}\"}}");
                    let (length, stamp) = (body.len(), format!("{}.{run}.{id}", self.id));
                    write!(
                        stream,
                        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: {stamp}\r\n\
                         Content-Length: {length}\r\n\r\n{body}"
                    )?;
                }
                Work::Crash => {
                    self.record
                        .line(&format!("run {id} at {}, harmful", self.id));
                    thread::sleep(Duration::from_millis(60));
                    self.crash(run);
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn stream(&self, stream: &mut TcpStream, id: &str, events: u32, run: u64) -> io::Result<()> {
        let stamp = format!("{}.{run}.{id}", self.id);
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: {stamp}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for event in 1..=events {
            thread::sleep(Duration::from_millis(100));
            if self.crashes() != run {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let text = format!("id: {event}\ndata: event {event} of {id}\n\n");
            write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
        }
        write!(stream, "0\r\n\r\n")
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
