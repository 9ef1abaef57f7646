//! A stand-in for the platform's store, as `PROTOCOL.md` describes it: items with revisions that are read in pages and
//! watched. The pages are no snapshot.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::Record;
use crate::{Random, base64};

/// How the store answers at the moment.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// Time that an answer takes.
    pub answer_time: Duration,
    /// Part of the answers that are lost. A channel on which one is lost returns nothing further.
    pub lost: f64,
}

struct State {
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// Changes: revision, key, whether it was a deletion.
    changes: Vec<(u64, String, bool)>,
    revision: u64,
    /// Revision before which the history is no longer available.
    history_since: u64,
    /// Whether watches hear nothing at the moment.
    is_mute: bool,
    /// Whether it answers 503 and takes no writes.
    is_down: bool,
    manner: Manner,
    random: Random,
    answered: u64,
    lost: u64,
}

/// A stand-in for the store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    page_items: usize,
    record: Record,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store whose pages have up to `page_items` items.
    pub fn start(record: &Record, page_items: usize, seed: u64) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            state: Mutex::new(State {
                items: BTreeMap::new(),
                changes: Vec::new(),
                revision: 1,
                history_since: 0,
                is_mute: false,
                is_down: false,
                manner: Manner {
                    answer_time: Duration::from_millis(4),
                    lost: 0.0,
                },
                random: Random::new(seed),
                answered: 0,
                lost: 0,
            }),
            changed: Condvar::new(),
            page_items,
            record: record.clone(),
            address: listener.local_addr()?,
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Writes an item. The return is the store's confirmation.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        state
            .items
            .insert(key.to_owned(), (value.as_bytes().to_vec(), revision));
        state.changes.push((revision, key.to_owned(), false));
        drop(state);
        self.changed.notify_all();
        self.record
            .line(&format!("store: {key} written, revision {revision}"));
        revision
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.state();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.changes.push((revision, key.to_owned(), true));
        drop(state);
        self.changed.notify_all();
        self.record
            .line(&format!("store: {key} removed, revision {revision}"));
    }

    /// Sets how it answers from now on.
    pub fn set_manner(&self, manner: Manner) {
        self.state().manner = manner;
        self.record.show(&format!("store: {manner:?}"));
    }

    /// Returns how many answers were sent and lost.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.state();
        (state.answered, state.lost)
    }

    /// Lets watches hear nothing of the changes that follow, until the history is dropped.
    pub fn mute_watches(&self) {
        self.state().is_mute = true;
        self.record.show("store: watches hear nothing");
    }

    /// Makes it answer 503 to everything, or no longer.
    pub fn set_down(&self, down: bool) {
        self.state().is_down = down;
        self.changed.notify_all();
        self.record.show(&format!("store: down {down}"));
    }

    /// Returns whether it is down.
    pub fn is_down(&self) -> bool {
        self.state().is_down
    }

    /// Drops the history. Watches that wait for what is in it are answered 410.
    pub fn drop_history(&self) {
        let mut state = self.state();
        state.is_mute = false;
        state.history_since = state.revision;
        state.changes.clear();
        drop(state);
        self.changed.notify_all();
        self.record.show("store: history dropped");
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        let mut stream = stream;
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            let time = self.state().manner.answer_time;
            thread::sleep(time / 2);
            let (status, body) = self.answer(&req);
            thread::sleep(time - time / 2);
            let mut state = self.state();
            let share = state.manner.lost;
            if share > 0.0 && state.random.next_unit() < share {
                state.lost += 1;
                drop(state);
                self.record
                    .line(&format!("store: answer to {} lost", req.target()));
                // The channel stays open and returns nothing further.
                while let Ok(Some(_)) = http::read_request(&mut reader) {}
                return;
            }
            state.answered += 1;
            drop(state);
            let content = [("content-type", "application/json")];
            if http::write_response(&mut stream, status, &content, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (&'static str, String) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            let mut values = pairs.filter(|p| p.0 == name).map(|p| decode(p.1));
            values.next().unwrap_or_default()
        };
        let prefix = parameter("prefix");
        if self.is_down() {
            return ("503 Service Unavailable", String::new());
        }
        match path {
            "/kv-range" => ("200 OK", self.page(&prefix, &parameter("after"))),
            "/kv-watch" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("waitMs").parse().unwrap_or(0));
                self.watch(&prefix, after, wait)
            }
            _ => ("404 Not Found", String::new()),
        }
    }

    fn page(&self, prefix: &str, after: &str) -> String {
        let state = self.state();
        let matching = state.items.iter();
        let matching = matching.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut list: Vec<String> = matching
            .take(self.page_items + 1)
            .map(|(k, i)| item(k, i))
            .collect();
        let more = list.len() > self.page_items;
        list.truncate(self.page_items);
        format!(
            "{{\"items\":[{}],\"morePages\":{more},\"currentRev\":{}}}",
            list.join(","),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.state();
        loop {
            if state.is_down {
                return ("503 Service Unavailable", String::new());
            }
            if after < state.history_since {
                return ("410 Gone", String::new());
            }
            let mut events = Vec::new();
            for (revision, key, deleted) in state.changes.iter().filter(|c| c.0 > after) {
                if !key.starts_with(prefix) {
                    continue;
                }
                if *deleted {
                    events.push(format!(
                        "{{\"key\":\"{key}\",\"rev\":{revision},\"deleted\":true}}"
                    ));
                } else if let Some(found) = state.items.get(key).filter(|i| i.1 == *revision) {
                    events.push(item(key, found));
                }
            }
            let now = Instant::now();
            if (!events.is_empty() && !state.is_mute) || now >= until {
                let revision = if state.is_mute { after } else { state.revision };
                let events = if state.is_mute {
                    String::new()
                } else {
                    events.join(",")
                };
                return (
                    "200 OK",
                    format!("{{\"events\":[{events}],\"currentRev\":{revision}}}"),
                );
            }
            state = self
                .changed
                .wait_timeout(state, until - now)
                .expect("not poisoned")
                .0;
        }
    }
}

fn item(key: &str, (value, revision): &(Vec<u8>, u64)) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{revision},\"createRev\":{revision},\"lease\":0}}"
    )
}

/// Decodes a percent-encoded value.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let hex = [rest.clone().next(), rest.clone().nth(1)];
        if let (b'%', [Some(high), Some(low)]) = (byte, hex) {
            let digits = [high, low];
            let digits = std::str::from_utf8(&digits).unwrap_or("00");
            bytes.push(u8::from_str_radix(digits, 16).unwrap_or(0));
            rest.nth(1);
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
