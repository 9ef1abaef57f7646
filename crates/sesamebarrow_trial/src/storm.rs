//! Long random runs: traffic and faults drawn from one seed.

use std::time::Duration;

use rand::RngExt;
use sesamebarrow_policy::Settings;
use sesamebarrow_rules::KeyDigest;
use sesamebarrow_wire::control::DocumentKind;
use smol_str::SmolStr;

use crate::script::{self, KEY};
use crate::traffic::End;
use crate::world::{Conduct, World};

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
pub struct Mix {
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

impl Mix {
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
pub struct Storm {
    /// The world.
    pub world: World,
    mix: Mix,
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
    sending: usize,
}

impl Storm {
    /// Builds a run.
    pub fn new(seed: u64, mix: Mix, settings: Settings) -> Self {
        let mut world = World::new(seed, settings);
        if mix.messages {
            world.faults.most_delay = Duration::from_millis(100);
            world.faults.loss = 0.05;
            world.faults.double = 0.05;
            world.faults.reorder = true;
        }
        script::deploy(&mut world);
        world.run(Duration::from_secs(2));
        Self {
            world,
            mix,
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
        let end = self.world.now + time;
        while self.world.now < end {
            let pause = self.world.rng.random_range(1..60);
            self.world.run(Duration::from_millis(pause));
            self.step();
        }
        self.mend();
        self.world.run(SETTLE);
        self.check_settled();
        let World {
            promises, platform, ..
        } = &mut self.world;
        promises.check_rates(platform);
        promises.broken.clone()
    }

    fn step(&mut self) {
        match self.phase() {
            Phase::Busy => {}
            Phase::Lull => {
                if self.world.rng.random_bool(0.9) {
                    return;
                }
            }
            Phase::Rush => {
                for _ in 0..RUSH {
                    self.ask();
                }
            }
        }
        match self.world.rng.random_range(0..100) {
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
        match self.world.now.as_secs() % WAVE_SECS {
            0..5 => Phase::Busy,
            5..9 => Phase::Lull,
            _ => Phase::Rush,
        }
    }

    fn any_node(&mut self) -> usize {
        self.world.rng.random_range(0..self.world.nodes.len())
    }

    fn any_key(&mut self) -> &'static str {
        if self.world.rng.random_bool(0.2) {
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
        let estimate = self.world.rng.random_range(1..most);
        let real = self.world.rng.random_range(0..=estimate);
        self.next_order += 1;
        let name = format!("q{}", self.next_order);
        let call = World::question(&name, key, estimate, real);
        self.world.send(node, call);
    }

    /// Sends a new order with a ticket of one instance to that or to another.
    fn order(&mut self) {
        self.next_order += 1;
        let name = format!("o{}", self.next_order);
        self.send_order(name);
    }

    fn send_order(&mut self, name: String) {
        let owner = self.any_node();
        let Some(ticket) = self.world.ask_ticket(owner, KEY, "payouts") else {
            return;
        };
        let node = if self.world.rng.random_bool(0.7) {
            owner
        } else {
            self.any_node()
        };
        let call = World::order(&name, KEY, ticket.clone());
        let sending = self.world.send(node, call);
        self.wanted.push(Order {
            name,
            ticket,
            sending,
        });
    }

    /// Does what a caller does that has no whole answer: sends the same ticket again, or
    /// a new one after it was told that nothing ran.
    fn repeat(&mut self) {
        if self.wanted.is_empty() {
            return;
        }
        let index = self.world.rng.random_range(0..self.wanted.len());
        let order = self.wanted.swap_remove(index);
        let end = self.world.sendings[order.sending].end.clone();
        match end {
            Some((_, End::Whole(_))) => {}
            Some((_, end)) if end.says_not_run() => self.send_order(order.name),
            _ => {
                let node = self.any_node();
                let call = World::order(&order.name, KEY, order.ticket.clone());
                // The first sending may still be on its way; its word is what counts.
                self.world.send(node, call);
                self.wanted.push(order);
            }
        }
    }

    fn cut(&mut self) {
        if !self.mix.cuts {
            return;
        }
        if self.world.rng.random_bool(0.3) {
            self.world.faults.heal();
            return;
        }
        let a = self.any_node();
        let a = self.world.nodes[a].name.clone();
        if self.world.rng.random_bool(0.3) {
            self.world.faults.cut("platform", &a);
            return;
        }
        let b = self.any_node();
        let b = self.world.nodes[b].name.clone();
        if a != b {
            self.world.faults.cut(&a, &b);
        }
    }

    fn kill(&mut self) {
        if !self.mix.kills {
            return;
        }
        let node = self.any_node();
        if self.world.nodes[node].board.is_none() {
            self.world.start(node);
            return;
        }
        self.world.kill(node);
        // Most are replaced at once, so that the new process finds the old one's traces.
        if self.world.rng.random_bool(0.8) {
            self.world.start(node);
        }
    }

    fn pause(&mut self) {
        if !self.mix.pauses {
            return;
        }
        let node = self.any_node();
        let millis = self.world.rng.random_range(100..12_000);
        self.world.pause(node, Duration::from_millis(millis));
    }

    fn change(&mut self) {
        if !self.mix.changes {
            return;
        }
        if self.world.rng.random_bool(0.5) {
            self.change_rules();
        } else {
            self.change_list();
        }
    }

    fn change_rules(&mut self) {
        self.rules.revision += 1;
        match self.world.rng.random_range(0..3) {
            0 => self.rules.other_key = !self.rules.other_key,
            1 => self.rules.both_regions = !self.rules.both_regions,
            _ => self.rules.rate = self.world.rng.random_range(200..2000),
        }
        let text = self.rules_text();
        let revision = self.rules.revision;
        self.world.publish(DocumentKind::Rules, revision, &text);
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
        let index = self.world.rng.random_range(0..upstreams.len() + 1);
        self.leaving = upstreams.get(index).map(|(name, _, _)| *name);
        self.list_revision += 1;
        let leaving: Vec<&str> = self.leaving.into_iter().collect();
        let text = script::list(&leaving);
        let revision = self.list_revision;
        self.world.publish(DocumentKind::List, revision, &text);
    }

    fn upset_upstream(&mut self) {
        if !self.mix.upstreams {
            return;
        }
        let index = self.world.rng.random_range(0..self.world.upstreams.len());
        let conduct = match self.world.rng.random_range(0..6) {
            0 => Conduct::Silent,
            1 => Conduct::Cut,
            2 => Conduct::Closed,
            _ => Conduct::Sound,
        };
        self.world.upstreams[index].conduct = conduct;
    }

    /// Ends every fault and starts what is not running.
    fn mend(&mut self) {
        self.world.faults.heal();
        for upstream in &mut self.world.upstreams {
            upstream.conduct = Conduct::Sound;
        }
        for node in 0..self.world.nodes.len() {
            if self.world.nodes[node].board.is_none() {
                self.world.start(node);
            }
        }
    }

    /// Checks that everything published last is in force everywhere and that every
    /// sending has its answer.
    fn check_settled(&mut self) {
        let World {
            nodes, promises, ..
        } = &mut self.world;
        for node in nodes.iter() {
            let Some(board) = &node.board else {
                continue;
            };
            let rules = board.rules_revision();
            let list = board.documents[&DocumentKind::List].revision();
            if (rules, list) != (self.rules.revision, self.list_revision) {
                let broken = format!("{}: rules {rules}, list {list}", node.name);
                promises.broken.push(broken);
            }
            if !board.is_ready() {
                promises.broken.push(format!("{} is not ready", node.name));
            }
        }
        for sending in &self.world.sendings {
            if sending.end.is_none() {
                let broken = format!("{} has no answer", sending.call.order);
                self.world.promises.broken.push(broken);
            }
        }
    }
}
