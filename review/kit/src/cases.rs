//! The cases. Each returns what broke its rule, or an empty text if it held.

use crate::deploy::Collector;
use crate::record::Record;

mod forged;
mod keepalive;
mod leave;
mod logs;
mod relearn;
mod restored;
mod stop;
mod traffic;
mod uploads;

/// Plays a case.
pub fn play(name: &str, record: &Record, trouble: bool) -> Result<String, String> {
    match name {
        "forged" => forged::play(record, trouble),
        "keepalive" => keepalive::play(record, trouble),
        "leave" => leave::play(record, trouble),
        "logs" => logs::play(record, trouble, Collector::Stalled),
        "logs-closed" => logs::play(record, trouble, Collector::Closed),
        "relearn" => relearn::play(record, trouble),
        "restored" => restored::play(record, trouble),
        "stop" => stop::play(record, trouble),
        "uploads" => uploads::play(record, trouble),
        _ => Err(format!("unknown case {name}")),
    }
}
