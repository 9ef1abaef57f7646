//! Language of the scenario scripts. Each block has one command with its arguments, the input
//! text of the command, if any, and its expected output.
//!
//! ```text
//! world                 builds the small deployment and runs it for 5 s
//! ticket as=T node=N    requests a ticket from an instance and names it T
//! order id=O node=N ticket=T      sends a non-idempotent request; `ticket=none` sends no ticket,
//!                       and a T that names no ticket is itself sent as the ticket
//! ask id=O node=N [estimate=E]    sends a request to a model that uses E tokens, 10 by default
//! run time=5s           advances the virtual time and prints the requests that ended
//! cut a=N b=N · heal    disconnects two names, reconnects all; `platform` is a name too
//! kill node=N · start node=N · pause node=N time=5s · drain node=N
//! upstream name=U conduct=sound|silent|cut|closed      sets the `Behaviour` of an upstream:
//!                       healthy, silent, interrupting or closed
//! publish what=rules revision=R   publishes the default rules followed by the input text, or the
//!                       input text alone if it begins with `whole`; `KEY` stands for the digest
//!                       of the default key
//! publish what=list revision=R    publishes the list; the input text names the instances and
//!                       upstreams that are leaving
//! platform down=true|false        stops or restores the platform
//! runs id=O             prints how often a non-idempotent request ran
//! state node=N          prints whether the instance is ready and drained, the revisions of its
//!                       documents and the fault in the rules that it refused last, or `none`
//! promises              prints the violated invariants, or `kept` if there are none
//! ```
//!
//! `ticket`, `order` and `ask` use the default API key unless `key=` gives another.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamebarrow_policy::{Event, Settings};
use sesamebarrow_rules::KeyDigest;
use sesamebarrow_wire::control::DocumentKind;
use smol_str::SmolStr;

use crate::simulation::{Behaviour, Simulation};

/// Default API key of the callers.
pub const DEFAULT_KEY: &str = "key-of-rosa-0001";

/// Arguments of a command, by name.
pub type Args = BTreeMap<String, String>;

/// State of a running script.
pub struct Script {
    /// The simulation that the commands act on.
    pub simulation: Simulation,
    tickets: BTreeMap<String, SmolStr>,
    reported_completions: usize,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            simulation: Simulation::new(1, Settings::default()),
            tickets: BTreeMap::new(),
            reported_completions: 0,
        }
    }
}

/// Returns the rules of the small deployment, followed by `extra_lines`.
pub fn rules(extra_lines: &str) -> String {
    let digest = KeyDigest::of(DEFAULT_KEY.as_bytes());
    format!(
        "region lima # ana\n\
         region piura # ana\n\
         domain lim-1 region=lima slots=2 # ana\n\
         domain piu-1 region=piura slots=2 # ana\n\
         service statements kind=model # luis\n\
         service payouts kind=plain cost=1 # luis\n\
         route payouts POST /payouts non-idempotent # luis\n\
         customer rosa regions=lima,piura rate=1000 burst=4000 # rosa\n\
         allow rosa statements # rosa\n\
         allow rosa payouts # rosa\n\
         key rosa blake3={digest} # rosa\n{extra_lines}"
    )
}

/// Returns the list of instances and upstreams of the small deployment. Those in `leaving`
/// are in the state `leaving`.
pub fn list(leaving: &[&str]) -> String {
    let state = |name: &str| {
        if leaving.contains(&name) {
            "leaving"
        } else {
            "live"
        }
    };
    let mut text = String::new();
    for (index, (name, domain, slot)) in INSTANCES.iter().enumerate() {
        text.push_str(&format!(
            "instance {name} domain={domain} slot={slot} http=10.0.0.{index}:80 \
             peer=10.0.0.{index}:81 state={}\n",
            state(name)
        ));
    }
    for (index, (name, domain, service)) in UPSTREAMS.iter().enumerate() {
        text.push_str(&format!(
            "upstream {name} domain={domain} service={service} http=10.0.1.{index}:80 \
             capacity=4 state={}\n",
            state(name)
        ));
    }
    text
}

/// Instances of the small deployment: name, failure domain and slot.
pub const INSTANCES: [(&str, &str, u16); 4] = [
    ("lim-a", "lim-1", 0),
    ("lim-b", "lim-1", 1),
    ("piu-a", "piu-1", 0),
    ("piu-b", "piu-1", 1),
];

/// Upstreams of the small deployment: name, failure domain and service.
pub const UPSTREAMS: [(&str, &str, &str); 6] = [
    ("eng-lim-1", "lim-1", "statements"),
    ("eng-lim-2", "lim-1", "statements"),
    ("pay-lim", "lim-1", "payouts"),
    ("eng-piu-1", "piu-1", "statements"),
    ("eng-piu-2", "piu-1", "statements"),
    ("pay-piu", "piu-1", "payouts"),
];

/// Builds the small deployment in `simulation` and starts its instances.
pub fn deploy(simulation: &mut Simulation) {
    for (name, domain, slot) in INSTANCES {
        simulation.add_node(name, domain, slot);
    }
    for (name, _, _) in UPSTREAMS {
        simulation.add_upstream(name, Duration::from_millis(100));
    }
    simulation.publish(DocumentKind::Rules, 1, &rules(""));
    simulation.publish(DocumentKind::List, 1, &list(&[]));
    for node in 0..simulation.nodes.len() {
        simulation.start(node);
    }
}

impl Script {
    /// Runs one command and returns its output.
    pub fn execute(&mut self, command: &str, args: &Args, input: &str) -> String {
        match self.try_execute(command, args, input) {
            Ok(output) if output.is_empty() => "ok\n".to_owned(),
            Ok(output) => output,
            Err(error) => format!("error: {error}\n"),
        }
    }

    fn try_execute(&mut self, command: &str, args: &Args, input: &str) -> anyhow::Result<String> {
        match command {
            "world" => {
                deploy(&mut self.simulation);
                self.simulation.run(Duration::from_secs(5));
            }
            "run" => {
                self.simulation.run(time_argument(args)?);
                return Ok(self.report_completions());
            }
            "ticket" => return self.ticket(args),
            "order" => self.order(args)?,
            "ask" => self.ask(args)?,
            "runs" => {
                let runs = self.simulation.invariants.runs.get(&argument(args, "id")?);
                return Ok(format!("{}\n", runs.copied().unwrap_or(0)));
            }
            "publish" => self.publish(args, input)?,
            "state" => return self.state(args),
            "promises" => return Ok(self.invariant_report()),
            _ => self.execute_fault_command(command, args)?,
        }
        Ok(String::new())
    }

    fn execute_fault_command(&mut self, command: &str, args: &Args) -> anyhow::Result<()> {
        match command {
            "cut" => self
                .simulation
                .network
                .cut(&argument(args, "a")?, &argument(args, "b")?),
            "heal" => self.simulation.network.heal(),
            "kill" => {
                let node = self.node_index(args)?;
                self.simulation.kill(node);
            }
            "start" => {
                let node = self.node_index(args)?;
                self.simulation.start(node);
            }
            "pause" => {
                let node = self.node_index(args)?;
                self.simulation.pause(node, time_argument(args)?);
            }
            "drain" => {
                let node = self.node_index(args)?;
                self.simulation.deliver_event(node, Event::Drain);
            }
            "platform" => self.simulation.platform.down = argument(args, "down")? == "true",
            "upstream" => self.set_behaviour(args)?,
            other => anyhow::bail!("unknown command {other}"),
        }
        Ok(())
    }

    fn node_index(&self, args: &Args) -> anyhow::Result<usize> {
        let name = argument(args, "node")?;
        self.simulation
            .node_index(&name)
            .ok_or_else(|| anyhow::anyhow!("no node {name}"))
    }

    fn ticket(&mut self, args: &Args) -> anyhow::Result<String> {
        let node = self.node_index(args)?;
        let key = args.get("key").map_or(DEFAULT_KEY, String::as_str);
        match self.simulation.request_ticket(node, key, "payouts") {
            Some(ticket) => {
                self.tickets.insert(argument(args, "as")?, ticket);
                Ok(String::new())
            }
            None => Ok("none\n".to_owned()),
        }
    }

    fn order(&mut self, args: &Args) -> anyhow::Result<()> {
        let node = self.node_index(args)?;
        let key = args.get("key").map_or(DEFAULT_KEY, String::as_str);
        let name = argument(args, "ticket")?;
        let ticket = self.tickets.get(&name).cloned();
        let ticket = ticket.unwrap_or_else(|| SmolStr::new(&name));
        let mut call = Simulation::payout_call(&argument(args, "id")?, key, ticket);
        if name == "none" {
            call.ticket = None;
        }
        self.simulation.send(node, call);
        Ok(())
    }

    fn ask(&mut self, args: &Args) -> anyhow::Result<()> {
        let node = self.node_index(args)?;
        let key = args.get("key").map_or(DEFAULT_KEY, String::as_str);
        let estimated_tokens = args.get("estimate").map_or(Ok(10), |e| e.parse())?;
        let call = Simulation::model_call(
            &argument(args, "id")?,
            key,
            estimated_tokens,
            estimated_tokens,
        );
        self.simulation.send(node, call);
        Ok(())
    }

    fn set_behaviour(&mut self, args: &Args) -> anyhow::Result<()> {
        let name = argument(args, "name")?;
        let behaviour = match argument(args, "conduct")?.as_str() {
            "sound" => Behaviour::Healthy,
            "silent" => Behaviour::Silent,
            "cut" => Behaviour::Interrupting,
            "closed" => Behaviour::Closed,
            other => anyhow::bail!("unknown conduct {other}"),
        };
        for upstream in &mut self.simulation.upstreams {
            if upstream.name == name {
                upstream.behaviour = behaviour;
            }
        }
        Ok(())
    }

    fn publish(&mut self, args: &Args, input: &str) -> anyhow::Result<()> {
        let revision = argument(args, "revision")?.parse()?;
        match argument(args, "what")?.as_str() {
            "rules" => {
                let digest = KeyDigest::of(DEFAULT_KEY.as_bytes()).to_string();
                let input = &input.replace("KEY", &digest);
                let text = if input.trim_start().starts_with("whole") {
                    input.trim_start().trim_start_matches("whole").to_owned()
                } else {
                    rules(input)
                };
                self.simulation
                    .publish(DocumentKind::Rules, revision, &text);
            }
            "list" => {
                let leaving: Vec<&str> = input.split_whitespace().collect();
                self.simulation
                    .publish(DocumentKind::List, revision, &list(&leaving));
            }
            other => anyhow::bail!("unknown document {other}"),
        }
        Ok(())
    }

    fn state(&self, args: &Args) -> anyhow::Result<String> {
        let node = self.node_index(args)?;
        let Some(board) = &self.simulation.nodes[node].board else {
            return Ok("no process\n".to_owned());
        };
        let document = &board.documents[&DocumentKind::Rules];
        let fault = document.fault.as_deref().unwrap_or("none");
        Ok(format!(
            "ready={} rules={} list={} drained={} fault={fault}\n",
            board.is_ready(),
            board.rules_revision(),
            board.documents[&DocumentKind::List].revision(),
            self.simulation.nodes[node].drained,
        ))
    }

    /// Returns one line for each submission that has completed since the last call.
    fn report_completions(&mut self) -> String {
        let mut completed: Vec<(Duration, String)> = Vec::new();
        for submission in &self.simulation.submissions {
            if let Some((at, completion)) = &submission.completion {
                let node = &self.simulation.nodes[submission.node].name;
                let line = format!(
                    "{} at {node}: {}",
                    submission.call.work_id,
                    completion.summary()
                );
                completed.push((*at, line));
            }
        }
        completed.sort();
        let new_lines = completed.split_off(self.reported_completions.min(completed.len()));
        self.reported_completions += new_lines.len();
        if new_lines.is_empty() {
            return "nothing ended\n".to_owned();
        }
        new_lines.into_iter().map(|(_, line)| line + "\n").collect()
    }

    fn invariant_report(&mut self) -> String {
        let Simulation {
            invariants,
            platform,
            ..
        } = &mut self.simulation;
        invariants.check_rate_limits(platform);
        if invariants.violations.is_empty() {
            return "kept\n".to_owned();
        }
        invariants
            .violations
            .iter()
            .map(|v| format!("{v}\n"))
            .collect()
    }
}

fn argument(args: &Args, name: &str) -> anyhow::Result<String> {
    args.get(name)
        .cloned()
        .ok_or_else(|| anyhow::anyhow!("expected {name}=…"))
}

fn time_argument(args: &Args) -> anyhow::Result<Duration> {
    let text = argument(args, "time")?;
    if let Some(millis) = text.strip_suffix("ms") {
        return Ok(Duration::from_millis(millis.parse()?));
    }
    let seconds = text.strip_suffix('s').unwrap_or(&text);
    Ok(Duration::from_secs(seconds.parse()?))
}
