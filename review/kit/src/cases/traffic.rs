//! Clients that send orders one after the other on kept channels.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::deploy;
use crate::http::{Client, End, Seen};
use crate::record::Record;

/// An order: its id, when it was sent, and what its client saw.
pub type Order = (String, Duration, Seen);

/// The clients.
pub struct Traffic {
    done: Arc<AtomicBool>,
    orders: Arc<Mutex<Vec<Order>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts `count` clients, spread over `fronts`. Each pauses for `gap` between two orders, and connects again
    /// if its channel was closed.
    pub fn start(record: &Record, fronts: &[SocketAddr], count: usize, gap: Duration) -> Self {
        let (done, orders) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::default()));
        let client = |n: usize| {
            let (record, done) = (record.clone(), done.clone());
            let orders: Arc<Mutex<Vec<Order>>> = orders.clone();
            let front = fronts[n % fronts.len()];
            std::thread::spawn(move || {
                let mut client = None;
                for number in 0.. {
                    if done.load(Ordering::Relaxed) {
                        return;
                    }
                    let kept = client.take().or_else(|| Client::connect(front).ok());
                    let Some(mut connected) = kept else {
                        std::thread::sleep(gap);
                        continue;
                    };
                    let id = format!("{n:08x}{number:08x}");
                    let request = deploy::request("POST", "/order/go", &id, 6_000, b"{\"pay\":1}");
                    let sent_at = record.now();
                    let seen = connected.exchange(&request);
                    record.line(format!(
                        "client: order {id} sent at {:.3} gets {}, {:?}",
                        sent_at.as_secs_f64(),
                        seen.status,
                        seen.end
                    ));
                    if seen.end == End::Complete && seen.head.field("connection") != "close" {
                        client = Some(connected);
                    }
                    orders
                        .lock()
                        .expect("not poisoned")
                        .push((id, sent_at, seen));
                    std::thread::sleep(gap);
                }
            })
        };
        let clients = (0..count).map(client).collect();
        Self {
            done,
            orders,
            clients,
        }
    }

    /// Stops the clients after their current orders, and returns all orders.
    pub fn stop(self) -> Result<Vec<Order>, String> {
        self.done.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().map_err(|_| "a client failed")?;
        }
        // What servers say last is still being read.
        std::thread::sleep(Duration::from_millis(200));
        Ok(self.orders.lock().expect("not poisoned").clone())
    }
}
