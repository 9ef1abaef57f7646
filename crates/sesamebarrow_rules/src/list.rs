//! The platform's list of instances and upstreams, one per line.
//!
//! ```text
//! instance akl-1-a domain=akl-1 slot=0 http=10.0.0.1:80 peer=10.0.0.1:81 state=live
//! upstream eng-1 domain=akl-1 service=workshop http=10.0.1.1:80 capacity=8 state=live
//! ```

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::args::{Args, LineError, duplicate, error_at};
use crate::lexer::{self, Line};
use crate::parser::{MAX_SLOTS, ParseError};

/// Whether a listed process accepts new requests.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepts new requests.
    Live,
    /// Accepts no new requests, since it is about to be removed.
    Leaving,
}

/// An instance in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its slot in the domain.
    pub slot: u16,
    /// Address for callers.
    pub http: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Whether it accepts new requests.
    pub state: State,
}

/// An upstream in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its failure domain.
    pub domain: SmolStr,
    /// The service that it serves.
    pub service: SmolStr,
    /// Address for requests.
    pub http: SocketAddr,
    /// Number of requests that it can run at a time without slowing down.
    pub capacity: u32,
    /// Whether it accepts new requests.
    pub state: State,
}

/// The parsed list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List {
    /// Instances by name.
    pub instances: BTreeMap<SmolStr, Instance>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<SmolStr, Upstream>,
}

/// Parses `text` and returns the list, or every error found.
pub fn parse(text: &str) -> Result<List, Vec<ParseError>> {
    let mut list = List::default();
    let mut errors = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let split = lexer::split_line(line);
        if split.words.is_empty() {
            continue;
        }
        if let Err(error) = parse_line(&mut list, &split) {
            errors.push(ParseError {
                line: index + 1,
                column: error.column,
                message: error.message,
                requester: None,
            });
        }
    }
    if errors.is_empty() {
        Ok(list)
    } else {
        Err(errors)
    }
}

fn parse_line(list: &mut List, line: &Line<'_>) -> Result<(), LineError> {
    let keyword = line.words[0];
    let mut args = Args::new(line);
    match keyword.text {
        "instance" => parse_instance(list, &mut args)?,
        "upstream" => parse_upstream(list, &mut args)?,
        other => {
            let message = format!("unknown entry `{other}`: expected instance or upstream");
            return Err(error_at(keyword.column, message));
        }
    }
    args.finish()
}

fn parse_instance(list: &mut List, args: &mut Args<'_>) -> Result<(), LineError> {
    let name = args.next_name("an instance's name")?;
    let slot = args.number("slot", 0, u64::from(MAX_SLOTS) - 1)?;
    let instance = Instance {
        domain: SmolStr::new(args.setting("domain")?.text),
        slot: u16::try_from(slot).unwrap_or(MAX_SLOTS),
        http: parse_address(args, "http")?,
        peer: parse_address(args, "peer")?,
        state: parse_state(args)?,
    };
    if list
        .instances
        .insert(name.value.clone(), instance)
        .is_some()
    {
        return Err(duplicate(&name, "instance"));
    }
    Ok(())
}

fn parse_upstream(list: &mut List, args: &mut Args<'_>) -> Result<(), LineError> {
    let name = args.next_name("an upstream's name")?;
    let capacity = args.number("capacity", 1, u64::from(u32::MAX))?;
    let upstream = Upstream {
        domain: SmolStr::new(args.setting("domain")?.text),
        service: SmolStr::new(args.setting("service")?.text),
        http: parse_address(args, "http")?,
        capacity: u32::try_from(capacity).unwrap_or(u32::MAX),
        state: parse_state(args)?,
    };
    if list
        .upstreams
        .insert(name.value.clone(), upstream)
        .is_some()
    {
        return Err(duplicate(&name, "upstream"));
    }
    Ok(())
}

fn parse_address(args: &mut Args<'_>, key: &str) -> Result<SocketAddr, LineError> {
    let word = args.setting(key)?;
    word.text
        .parse()
        .map_err(|_| error_at(word.column, format!("expected {key}= and an IP:port")))
}

fn parse_state(args: &mut Args<'_>) -> Result<State, LineError> {
    let word = args.setting("state")?;
    word.text
        .parse()
        .map_err(|_| error_at(word.column, "expected state=live or state=leaving"))
}
