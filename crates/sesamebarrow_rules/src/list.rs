//! The platform's list of instances and upstreams, one line for each.
//!
//! ```text
//! instance akl-1-a domain=akl-1 slot=0 http=10.0.0.1:80 peer=10.0.0.1:81 state=live
//! upstream eng-1 domain=akl-1 service=workshop http=10.0.1.1:80 capacity=8 state=live
//! ```

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::args::{Args, Problem, problem, twice};
use crate::lexer::{self, Line};
use crate::parser::{MAX_SLOTS, ParseError};

/// Whether a listed process takes new work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes new work.
    Live,
    /// Takes no new work and will go.
    Leaving,
}

/// A listed instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its slot in the domain.
    pub slot: u16,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// Where other instances reach it.
    pub peer: SocketAddr,
    /// Whether it takes new work.
    pub state: State,
}

/// A listed upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its failure domain.
    pub domain: SmolStr,
    /// The service that it runs.
    pub service: SmolStr,
    /// Where requests go.
    pub http: SocketAddr,
    /// Requests that it runs well at a time.
    pub capacity: u32,
    /// Whether it takes new work.
    pub state: State,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List {
    /// Instances by name.
    pub instances: BTreeMap<SmolStr, Instance>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<SmolStr, Upstream>,
}

/// Parses a list, returning it or every fault found.
pub fn parse(text: &str) -> Result<List, Vec<ParseError>> {
    let mut list = List::default();
    let mut faults = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let split = lexer::split_line(line);
        if split.words.is_empty() {
            continue;
        }
        if let Err(found) = take_line(&mut list, &split) {
            faults.push(ParseError {
                line: index + 1,
                column: found.column,
                message: found.message,
                requester: None,
            });
        }
    }
    if faults.is_empty() {
        Ok(list)
    } else {
        Err(faults)
    }
}

fn take_line(list: &mut List, line: &Line<'_>) -> Result<(), Problem> {
    let keyword = line.words[0];
    let mut args = Args::new(line);
    match keyword.text {
        "instance" => take_instance(list, &mut args)?,
        "upstream" => take_upstream(list, &mut args)?,
        other => {
            let message = format!("unknown entry `{other}`: expected instance or upstream");
            return Err(problem(keyword.column, message));
        }
    }
    args.finish()
}

fn take_instance(list: &mut List, args: &mut Args<'_>) -> Result<(), Problem> {
    let name = args.name("an instance's name")?;
    let slot = args.number("slot", 0, u64::from(MAX_SLOTS) - 1)?;
    let instance = Instance {
        domain: SmolStr::new(args.setting("domain")?.text),
        slot: u16::try_from(slot).unwrap_or(MAX_SLOTS),
        http: take_address(args, "http")?,
        peer: take_address(args, "peer")?,
        state: take_state(args)?,
    };
    if list
        .instances
        .insert(name.value.clone(), instance)
        .is_some()
    {
        return Err(twice(&name, "instance"));
    }
    Ok(())
}

fn take_upstream(list: &mut List, args: &mut Args<'_>) -> Result<(), Problem> {
    let name = args.name("an upstream's name")?;
    let capacity = args.number("capacity", 1, u64::from(u32::MAX))?;
    let upstream = Upstream {
        domain: SmolStr::new(args.setting("domain")?.text),
        service: SmolStr::new(args.setting("service")?.text),
        http: take_address(args, "http")?,
        capacity: u32::try_from(capacity).unwrap_or(u32::MAX),
        state: take_state(args)?,
    };
    if list
        .upstreams
        .insert(name.value.clone(), upstream)
        .is_some()
    {
        return Err(twice(&name, "upstream"));
    }
    Ok(())
}

fn take_address(args: &mut Args<'_>, key: &str) -> Result<SocketAddr, Problem> {
    let word = args.setting(key)?;
    word.text
        .parse()
        .map_err(|_| problem(word.column, format!("expected {key}= and an IP:port")))
}

fn take_state(args: &mut Args<'_>) -> Result<State, Problem> {
    let word = args.setting("state")?;
    word.text
        .parse()
        .map_err(|_| problem(word.column, "expected state=live or state=leaving"))
}
