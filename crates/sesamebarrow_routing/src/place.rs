//! Which instances a caller should connect to.

use std::net::Ipv4Addr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::board::Board;
use crate::config;

/// How long an answer holds. Some callers keep it three times as long, which has to fit
/// the time for which a stopping instance still takes requests.
pub const TTL: Duration = Duration::from_secs(1);

/// Most instances in one answer.
const MOST: usize = 64;

/// Returns the instances for callers of `host` in `region`, this one among them if it
/// takes requests.
///
/// Callers stay in their region while an instance there takes requests; else they go to
/// regions that every route of the host allows, or to any.
pub fn place(board: &Board, now: Duration, host: &str, region: &str) -> Vec<Ipv4Addr> {
    let homes = board.config.as_ref().and_then(|c| c.regions_of_host(host));
    let mut ready: Vec<(SmolStr, Ipv4Addr)> = board
        .members
        .ready(now)
        .map(|m| (m.region.clone(), m.ip()))
        .collect();
    if board.is_ready() {
        ready.push((board.me.region.clone(), board.me.ip));
    }
    let within = |test: &dyn Fn(&str) -> bool| -> Vec<Ipv4Addr> {
        let matching = ready.iter().filter(|(region, _)| test(region));
        matching.map(|(_, ip)| *ip).take(MOST).collect()
    };
    let near = within(&|r| r == region);
    if !near.is_empty() {
        return near;
    }
    let home = within(&|r| config::allows(homes.as_deref().unwrap_or_default(), r));
    if !home.is_empty() {
        return home;
    }
    within(&|_| true)
}
