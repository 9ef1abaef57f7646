//! A stand-in for the platform's store: reads and watches, as its page describes them.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};

struct Event {
    rev: u64,
    key: String,
    /// `None` if the item was deleted.
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    events: Vec<Event>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            address: listener.local_addr()?,
        });
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Writes an item, or deletes it if `value` is `None`.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let mut state = self.lock();
        state.rev += 1;
        let rev = state.rev;
        let value = value.map(|v| v.as_bytes().to_vec());
        match &value {
            Some(value) => {
                let created = state.items.get(key).map_or(rev, |i| i.2);
                state
                    .items
                    .insert(key.to_owned(), (value.clone(), rev, created));
            }
            None => {
                state.items.remove(key);
            }
        }
        let key = key.to_owned();
        state.events.push(Event { rev, key, value });
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = Head::read(&mut reader)? {
            let target = head.target().to_owned();
            let body = match target.split('?').next().unwrap_or("") {
                "/kv-range" => self.range(&target),
                "/kv-watch" => self.watch(&target),
                _ => String::from("{}"),
            };
            let length = body.len();
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            )?;
        }
        Ok(())
    }

    fn range(&self, target: &str) -> String {
        let prefix = http::query_value(target, "prefix").unwrap_or_default();
        let after = http::query_value(target, "after").unwrap_or_default();
        let state = self.lock();
        let items = state.items.iter();
        let items = items.filter(|(k, _)| k.starts_with(&prefix) && **k > after);
        let items: Vec<String> = items
            .map(|(k, (v, rev, created))| item(k, v, *rev, *created))
            .collect();
        let rev = state.rev;
        format!(
            "{{\"items\":[{}],\"morePages\":false,\"currentRev\":{rev}}}",
            items.join(",")
        )
    }

    fn watch(&self, target: &str) -> String {
        let number =
            |name: &str| http::query_value(target, name).and_then(|v| v.parse::<u64>().ok());
        let prefix = http::query_value(target, "prefix").unwrap_or_default();
        let after = number("after").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
        let mut state = self.lock();
        loop {
            let new = state
                .events
                .iter()
                .filter(|e| e.rev > after && e.key.starts_with(&prefix));
            let new: Vec<String> = new
                .map(|e| match &e.value {
                    Some(value) => item(&e.key, value, e.rev, e.rev),
                    None => format!(
                        "{{\"key\":\"{}\",\"rev\":{},\"deleted\":true}}",
                        e.key, e.rev
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let rev = state.rev;
                return format!("{{\"events\":[{}],\"currentRev\":{rev}}}", new.join(","));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

fn item(key: &str, value: &[u8], rev: u64, created: u64) -> String {
    let value = http::base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"createRev\":{created},\"lease\":0}}"
    )
}
