//! A stand-in for the platform's store: `GET /kv-key`, `/kv-range` and `/kv-watch`.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

#[derive(Clone, Default)]
struct Items {
    /// Value and revision of each item.
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key and, unless it was a deletion, value of each change.
    changes: Vec<(u64, String, Option<String>)>,
    revision: u64,
}

#[derive(Default)]
struct State {
    now: Items,
    copy: Option<Items>,
    /// Revision before which there is no history.
    history_since: u64,
    /// Number of restores.
    era: u64,
    down: bool,
    /// Rises when connections must end.
    generation: u64,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(record: &Record) -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Self::default();
        let (served, record) = (store.clone(), record.clone());
        std::thread::spawn(move || {
            while let Ok((stream, from)) = listener.accept() {
                let (store, record) = (served.clone(), record.clone());
                std::thread::spawn(move || store.serve(stream, from, &record));
            }
        });
        Ok((store, address))
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.shared.0.lock().expect("not poisoned"));
        self.shared.1.notify_all();
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| {
            state.now.revision += 1;
            let revision = state.now.revision;
            let item = (value.to_owned(), revision);
            state.now.items.insert(key.to_owned(), item);
            let change = (revision, key.to_owned(), Some(value.to_owned()));
            state.now.changes.push(change);
        });
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.change(|state| {
            if state.now.items.remove(key).is_some() {
                state.now.revision += 1;
                let change = (state.now.revision, key.to_owned(), None);
                state.now.changes.push(change);
            }
        });
    }

    /// Keeps a copy of the contents, for [`Self::restore`].
    pub fn copy(&self) {
        self.change(|state| state.copy = Some(state.now.clone()));
    }

    /// Closes all connections and refuses calls until [`Self::restore`].
    pub fn go_down(&self) {
        self.change(|state| {
            state.down = true;
            state.generation += 1;
        });
    }

    /// Comes back with the contents and the revision of the copy, in the next era.
    pub fn restore(&self) {
        self.change(|state| {
            if let Some(copy) = state.copy.clone() {
                state.now = copy;
            }
            state.now.changes.clear();
            state.history_since = state.now.revision;
            state.era += 1;
            state.down = false;
        });
    }

    fn serve(&self, stream: TcpStream, from: SocketAddr, record: &Record) {
        let generation = self.shared.0.lock().expect("not poisoned").generation;
        let Ok(read_half) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(read_half);
        let mut stream = stream;
        while let Ok(Some((head, _))) = http::read_request(&mut reader) {
            let Some((status, body, era)) = self.answer(head.word(1), generation) else {
                return;
            };
            record.line(format!(
                "store: {from} {} -> {status}, {} bytes",
                head.word(1),
                body.len()
            ));
            let era = match era {
                0 => String::new(),
                era => format!("Store-Era: {era}\r\n"),
            };
            let text = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n{era}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns status, body and era; `None` if the connection is to be closed.
    fn answer(&self, path: &str, generation: u64) -> Option<(u16, String, u64)> {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|p| p.0 == name).map(|p| p.1.replace("%2F", "/"))
        };
        let number = |name: &str| value(name).and_then(|v| v.parse().ok()).unwrap_or(0);
        let prefix = value("prefix").unwrap_or_default();
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().expect("not poisoned");
        if state.down || state.generation != generation {
            return None;
        }
        let revision = state.now.revision;
        match path {
            "/kv-key" => {
                let key = value("key").unwrap_or_default();
                let item = state.now.items.get(&key);
                Some(match item {
                    Some(item) => (200, item_text(&key, &item.0, item.1), state.era),
                    None => (404, String::new(), state.era),
                })
            }
            "/kv-range" => {
                let items = state.now.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix));
                let items: Vec<String> = items.map(|(k, i)| item_text(k, &i.0, i.1)).collect();
                let body = format!(
                    "{{\"items\":[{}],\"morePages\":false,\"currentRev\":{revision}}}",
                    items.join(",")
                );
                Some((200, body, state.era))
            }
            "/kv-watch" => {
                let after = number("after");
                let until = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
                loop {
                    if state.down || state.generation != generation {
                        return None;
                    }
                    if after < state.history_since || after > state.now.revision {
                        return Some((410, String::new(), state.era));
                    }
                    let changes = state.now.changes.iter();
                    let changes = changes.filter(|c| c.0 > after && c.1.starts_with(&prefix));
                    let events: Vec<String> = changes
                        .map(|(rev, key, value)| match value {
                            Some(value) => item_text(key, value, *rev),
                            None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"deleted\":true}}"),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            "{{\"events\":[{}],\"currentRev\":{}}}",
                            events.join(","),
                            state.now.revision
                        );
                        return Some((200, body, state.era));
                    }
                    state = changed.wait_timeout(state, left).expect("not poisoned").0;
                }
            }
            _ => Some((404, String::new(), state.era)),
        }
    }
}

fn item_text(key: &str, value: &str, rev: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{rev},\"createRev\":1,\"lease\":0}}",
        base64(value.as_bytes())
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [
            group[0],
            *group.get(1).unwrap_or(&0),
            *group.get(2).unwrap_or(&0),
        ];
        let bits = padded
            .iter()
            .fold(0_u32, |bits, b| bits << 8 | u32::from(*b));
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= group.len() { digit } else { '=' });
        }
    }
    text
}
