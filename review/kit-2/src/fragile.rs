//! Runners that crash when they begin to write an answer on a prompt with a certain part. Each is a process of its own
//! (`fragile_runner`) that is started again some seconds after it has crashed.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::runner;
use crate::store::Store;

/// Time after which a runner that has crashed is back ("some seconds"), and its former entry lapses.
const RUNNER_BACK: Duration = Duration::from_millis(2_500);
const ENTRY_LAPSES: Duration = Duration::from_millis(3_600);

/// What runners have said.
#[derive(Default)]
pub struct Seen {
    /// When requests with the part reached runners, and their ids.
    pub arrivals: Vec<(f64, String)>,
    /// When runners crashed.
    pub crashes: Vec<f64>,
}

/// The runners, each a process that is started again some seconds after it has crashed.
pub struct Runners {
    record: Record,
    store: Arc<Store>,
    service: &'static str,
    /// The part of a prompt that crashes them.
    part: &'static str,
    /// What they have said.
    pub seen: Mutex<Seen>,
    children: Mutex<Vec<Child>>,
    boots: AtomicUsize,
    stop: AtomicBool,
}

impl Runners {
    /// Returns no runners of `service` yet, which `part` crashes.
    pub fn new(
        record: &Record,
        store: &Arc<Store>,
        service: &'static str,
        part: &'static str,
    ) -> Arc<Self> {
        Arc::new(Self {
            record: record.clone(),
            store: store.clone(),
            service,
            part,
            seen: Mutex::default(),
            children: Mutex::default(),
            boots: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
        })
    }

    /// Starts a runner in `region`, and starts it again each time that it has crashed.
    pub fn keep_up(self: &Arc<Self>, region: &'static str) {
        let runners = self.clone();
        thread::spawn(move || {
            while !runners.stop.load(Ordering::Relaxed) {
                if runners.run_once(region).is_none() {
                    return;
                }
                thread::sleep(RUNNER_BACK);
            }
        });
    }

    /// Runs a runner until it ends.
    fn run_once(self: &Arc<Self>, region: &str) -> Option<()> {
        let boot = self.boots.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{region}-{boot:03}");
        let program = std::env::current_exe()
            .ok()?
            .with_file_name("fragile_runner");
        let mut child = Command::new(program)
            .args([id.as_str(), self.part])
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let out = child.stdout.take()?;
        let pid = child.id();
        self.record.line(&format!("runner {id} started, pid {pid}"));
        self.children.lock().expect("not poisoned").push(child);
        let key = format!("servers/{id}");
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            self.record.line(&format!("runner {id}: {line}"));
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            let at = self.record.seconds();
            let mut seen = self.seen.lock().expect("not poisoned");
            match word {
                "HARMFUL" => seen.arrivals.push((at, rest.to_owned())),
                "CRASH" => seen.crashes.push(at),
                "LISTEN" => {
                    let born = 1_700_000_000_000 + boot as u64;
                    let entry = runner::entry(
                        self.service,
                        rest.parse().ok()?,
                        &format!("{region}-a"),
                        "ready",
                        born,
                    );
                    drop(seen);
                    self.store.put(&key, &entry);
                }
                _ => {}
            }
        }
        let mut children = self.children.lock().expect("not poisoned");
        if let Some(index) = children.iter().position(|c| c.id() == pid) {
            let _ = children.swap_remove(index).wait();
        }
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(ENTRY_LAPSES);
            store.remove(&key);
        });
        Some(())
    }

    /// Returns when runners crashed, the first one first.
    pub fn crashes(&self) -> Vec<f64> {
        let mut crashes = self.seen.lock().expect("not poisoned").crashes.clone();
        crashes.sort_by(f64::total_cmp);
        crashes
    }

    /// Ends all of them.
    pub fn end(&self) {
        self.stop.store(true, Ordering::Relaxed);
        for child in self.children.lock().expect("not poisoned").iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
