//! Long random runs: traffic and faults drawn from one seed.

use std::time::Duration;

use rand::RngExt;
use sesamebarrow_policy::Settings;
use sesamebarrow_rules::KeyDigest;
use sesamebarrow_wire::control::DocumentKind;
use smol_str::SmolStr;

use crate::script::{self, KEY};
use crate::simulation::{Behaviour, Simulation};
use crate::traffic::Completion;

/// The key that is withdrawn and issued in turn.
const OTHER_KEY: &str = "key-of-rosa-0002";

/// Longest time in which all must be in force everywhere after faults have ended.
const SETTLE: Duration = Duration::from_secs(45);

/// Length of a wave of demand, in seconds.
const WAVE_SECS: u64 = 10;

/// Requests that a rush brings with each step.
const RUSH: usize = 4;

/// How demand stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Busy,
    Lull,
    Rush,
}

/// Which faults a run draws.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultMix {
    /// Messages are delayed, lost, doubled and overtake each other.
    pub messages: bool,
    /// Links are cut.
    pub cuts: bool,
    /// Processes are killed and replaced.
    pub kills: bool,
    /// Processes are paused.
    pub pauses: bool,
    /// Rules and list change.
    pub changes: bool,
    /// Upstreams misbehave.
    pub upstreams: bool,
}

impl FaultMix {
    /// All faults at once.
    pub const ALL: Self = Self {
        messages: true,
        cuts: true,
        kills: true,
        pauses: true,
        changes: true,
        upstreams: true,
    };
}

/// What the rules say at a moment of a run.
#[derive(Clone, Copy, Debug)]
struct Rules {
    revision: u64,
    other_key: bool,
    both_regions: bool,
    rate: u64,
}

/// A run.
pub struct RandomRun {
    /// The world.
    pub simulation: Simulation,
    fault_mix: FaultMix,
    rules: Rules,
    list_revision: u64,
    leaving: Option<&'static str>,
    next_order: u64,
    /// Orders whose callers still want them, with the ticket of the last sending.
    wanted: Vec<Order>,
}

struct Order {
    name: String,
    ticket: SmolStr,
    submission: usize,
}

impl RandomRun {
    /// Builds a run.
    pub fn new(seed: u64, fault_mix: FaultMix, settings: Settings) -> Self {
        let mut simulation = Simulation::new(seed, settings);
        if fault_mix.messages {
            simulation.network.max_delay = Duration::from_millis(100);
            simulation.network.loss_ratio = 0.05;
            simulation.network.duplicate_ratio = 0.05;
            simulation.network.reorder = true;
        }
        script::deploy(&mut simulation);
        simulation.run(Duration::from_secs(2));
        Self {
            simulation,
            fault_mix,
            rules: Rules {
                revision: 1,
                other_key: false,
                both_regions: true,
                rate: 1000,
            },
            list_revision: 1,
            leaving: None,
            next_order: 0,
            wanted: Vec::new(),
        }
    }

    /// Lets `time` pass under faults, mends all and returns what was broken.
    pub fn run(&mut self, time: Duration) -> Vec<String> {
        let until = self.simulation.now + time;
        while self.simulation.now < until {
            let pause = self.simulation.rng.random_range(1..60);
            self.simulation.run(Duration::from_millis(pause));
            self.step();
        }
        self.mend();
        self.simulation.run(SETTLE);
        self.check_settled();
        let Simulation {
            invariants,
            platform,
            ..
        } = &mut self.simulation;
        invariants.check_rate_limits(platform);
        invariants.violations.clone()
    }

    fn step(&mut self) {
        match self.phase() {
            Phase::Busy => {}
            Phase::Lull => {
                if self.simulation.rng.random_bool(0.9) {
                    return;
                }
            }
            Phase::Rush => {
                for _ in 0..RUSH {
                    self.ask();
                }
            }
        }
        match self.simulation.rng.random_range(0..100) {
            0..70 => self.ask(),
            70..80 => self.order(),
            80..90 => self.repeat(),
            90..92 => self.cut(),
            92..94 => self.kill(),
            94..96 => self.pause(),
            96..98 => self.change(),
            _ => self.upset_upstream(),
        }
    }

    /// Demand comes in waves, so that tokens are left unspent and then wanted at once.
    fn phase(&self) -> Phase {
        match self.simulation.now.as_secs() % WAVE_SECS {
            0..5 => Phase::Busy,
            5..9 => Phase::Lull,
            _ => Phase::Rush,
        }
    }

    fn any_node(&mut self) -> usize {
        self.simulation
            .rng
            .random_range(0..self.simulation.nodes.len())
    }

    fn any_key(&mut self) -> &'static str {
        if self.simulation.rng.random_bool(0.2) {
            OTHER_KEY
        } else {
            KEY
        }
    }

    fn ask(&mut self) {
        let node = self.any_node();
        let key = self.any_key();
        let most = if self.phase() == Phase::Lull {
            2000
        } else {
            400
        };
        let estimated_tokens = self.simulation.rng.random_range(1..most);
        let actual_tokens = self.simulation.rng.random_range(0..=estimated_tokens);
        self.next_order += 1;
        let name = format!("q{}", self.next_order);
        let call = Simulation::model_call(&name, key, estimated_tokens, actual_tokens);
        self.simulation.send(node, call);
    }

    /// Sends a new order with a ticket of one instance to that or to another.
    fn order(&mut self) {
        self.next_order += 1;
        let name = format!("o{}", self.next_order);
        self.send_order(name);
    }

    fn send_order(&mut self, name: String) {
        let owner = self.any_node();
        let Some(ticket) = self.simulation.request_ticket(owner, KEY, "payouts") else {
            return;
        };
        let node = if self.simulation.rng.random_bool(0.7) {
            owner
        } else {
            self.any_node()
        };
        let call = Simulation::payout_call(&name, KEY, ticket.clone());
        let submission = self.simulation.send(node, call);
        self.wanted.push(Order {
            name,
            ticket,
            submission,
        });
    }

    /// Does what a caller does that has no whole answer: sends the same ticket again, or
    /// a new one after it was told that nothing ran.
    fn repeat(&mut self) {
        if self.wanted.is_empty() {
            return;
        }
        let index = self.simulation.rng.random_range(0..self.wanted.len());
        let order = self.wanted.swap_remove(index);
        let completion = self.simulation.submissions[order.submission]
            .completion
            .clone();
        match completion {
            Some((_, Completion::Answered(_))) => {}
            Some((_, completion)) if completion.reports_not_run() => self.send_order(order.name),
            _ => {
                let node = self.any_node();
                let call = Simulation::payout_call(&order.name, KEY, order.ticket.clone());
                // The first sending may still be on its way; its word is what counts.
                self.simulation.send(node, call);
                self.wanted.push(order);
            }
        }
    }

    fn cut(&mut self) {
        if !self.fault_mix.cuts {
            return;
        }
        if self.simulation.rng.random_bool(0.3) {
            self.simulation.network.heal();
            return;
        }
        let a = self.any_node();
        let a = self.simulation.nodes[a].name.clone();
        if self.simulation.rng.random_bool(0.3) {
            self.simulation.network.cut("platform", &a);
            return;
        }
        let b = self.any_node();
        let b = self.simulation.nodes[b].name.clone();
        if a != b {
            self.simulation.network.cut(&a, &b);
        }
    }

    fn kill(&mut self) {
        if !self.fault_mix.kills {
            return;
        }
        let node = self.any_node();
        if self.simulation.nodes[node].board.is_none() {
            self.simulation.start(node);
            return;
        }
        self.simulation.kill(node);
        // Most are replaced at once, so that the new process finds the old one's traces.
        if self.simulation.rng.random_bool(0.8) {
            self.simulation.start(node);
        }
    }

    fn pause(&mut self) {
        if !self.fault_mix.pauses {
            return;
        }
        let node = self.any_node();
        let millis = self.simulation.rng.random_range(100..12_000);
        self.simulation.pause(node, Duration::from_millis(millis));
    }

    fn change(&mut self) {
        if !self.fault_mix.changes {
            return;
        }
        if self.simulation.rng.random_bool(0.5) {
            self.change_rules();
        } else {
            self.change_list();
        }
    }

    fn change_rules(&mut self) {
        self.rules.revision += 1;
        match self.simulation.rng.random_range(0..3) {
            0 => self.rules.other_key = !self.rules.other_key,
            1 => self.rules.both_regions = !self.rules.both_regions,
            _ => self.rules.rate = self.simulation.rng.random_range(200..2000),
        }
        let text = self.rules_text();
        let revision = self.rules.revision;
        self.simulation
            .publish(DocumentKind::Rules, revision, &text);
    }

    fn rules_text(&self) -> String {
        let mut text = script::rules("");
        let regions = if self.rules.both_regions {
            "lima,piura"
        } else {
            "lima"
        };
        text = text.replace("regions=lima,piura", &format!("regions={regions}"));
        text = text.replace("rate=1000", &format!("rate={}", self.rules.rate));
        if self.rules.other_key {
            let digest = KeyDigest::of(OTHER_KEY.as_bytes());
            text.push_str(&format!("key rosa blake3={digest} # rosa\n"));
        }
        text
    }

    fn change_list(&mut self) {
        let upstreams = script::UPSTREAMS;
        let index = self.simulation.rng.random_range(0..upstreams.len() + 1);
        self.leaving = upstreams.get(index).map(|(name, _, _)| *name);
        self.list_revision += 1;
        let leaving: Vec<&str> = self.leaving.into_iter().collect();
        let text = script::list(&leaving);
        let revision = self.list_revision;
        self.simulation.publish(DocumentKind::List, revision, &text);
    }

    fn upset_upstream(&mut self) {
        if !self.fault_mix.upstreams {
            return;
        }
        let index = self
            .simulation
            .rng
            .random_range(0..self.simulation.upstreams.len());
        let behaviour = match self.simulation.rng.random_range(0..6) {
            0 => Behaviour::Silent,
            1 => Behaviour::Interrupting,
            2 => Behaviour::Closed,
            _ => Behaviour::Healthy,
        };
        self.simulation.upstreams[index].behaviour = behaviour;
    }

    /// Ends every fault and starts what is not running.
    fn mend(&mut self) {
        self.simulation.network.heal();
        for upstream in &mut self.simulation.upstreams {
            upstream.behaviour = Behaviour::Healthy;
        }
        for node in 0..self.simulation.nodes.len() {
            if self.simulation.nodes[node].board.is_none() {
                self.simulation.start(node);
            }
        }
    }

    /// Checks that everything published last is in force everywhere and that every
    /// sending has its answer.
    fn check_settled(&mut self) {
        let Simulation {
            nodes, invariants, ..
        } = &mut self.simulation;
        for node in nodes.iter() {
            let Some(board) = &node.board else {
                continue;
            };
            let rules = board.rules_revision();
            let list = board.documents[&DocumentKind::List].revision();
            if (rules, list) != (self.rules.revision, self.list_revision) {
                let violation = format!("{}: rules {rules}, list {list}", node.name);
                invariants.violations.push(violation);
            }
            if !board.is_ready() {
                invariants
                    .violations
                    .push(format!("{} is not ready", node.name));
            }
        }
        for submission in &self.simulation.submissions {
            if submission.completion.is_none() {
                let violation = format!("{} has no answer", submission.call.work_id);
                self.simulation.invariants.violations.push(violation);
            }
        }
    }
}
