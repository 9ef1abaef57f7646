//! Randomised simulation runs, with traffic and faults drawn from one seed.

use std::time::Duration;

use rand::RngExt;
use sesamebarrow_policy::Settings;
use sesamebarrow_rules::KeyDigest;
use sesamebarrow_wire::control::DocumentKind;
use smol_str::SmolStr;

use crate::script::{self, DEFAULT_KEY};
use crate::simulation::{Behaviour, Simulation};
use crate::traffic::Completion;

/// Second API key of the customer, which is issued and withdrawn repeatedly.
const ROTATED_KEY: &str = "key-of-rosa-0002";

/// Time after the end of all faults within which the newest documents must be in force at all
/// instances.
const SETTLE_TIME: Duration = Duration::from_secs(45);

/// Length of a demand cycle, see `RandomRun::phase`.
const DEMAND_CYCLE_SECS: u64 = 10;

/// Additional requests in each step of a burst.
const REQUESTS_PER_BURST_STEP: usize = 4;

/// Phase of the demand cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Steady,
    Quiet,
    Burst,
}

/// The kinds of faults that a run draws from.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultMix {
    /// Messages are delayed, lost, duplicated and reordered.
    pub messages: bool,
    /// Instances are disconnected from each other and from the platform.
    pub cuts: bool,
    /// Processes are killed and restarted.
    pub kills: bool,
    /// Processes are paused.
    pub pauses: bool,
    /// New revisions of the rules and the list are published.
    pub document_changes: bool,
    /// Upstreams fail to answer, break responses off or refuse connections.
    pub upstreams: bool,
}

impl FaultMix {
    /// All faults at once.
    pub const ALL: Self = Self {
        messages: true,
        cuts: true,
        kills: true,
        pauses: true,
        document_changes: true,
        upstreams: true,
    };
}

/// Contents of the newest published rules.
#[derive(Clone, Copy, Debug)]
struct PublishedRules {
    revision: u64,
    rotated_key_valid: bool,
    both_regions: bool,
    rate: u64,
}

/// A randomised run.
pub struct RandomRun {
    /// The simulation that the run drives.
    pub simulation: Simulation,
    fault_mix: FaultMix,
    rules: PublishedRules,
    list_revision: u64,
    leaving: Option<&'static str>,
    last_call_number: u64,
    /// Non-idempotent requests whose callers may retry them.
    open_payouts: Vec<OpenPayout>,
}

struct OpenPayout {
    work_id: String,
    ticket: SmolStr,
    submission: usize,
}

impl RandomRun {
    /// Builds a run, starts the small deployment and runs it for 2 s with message faults at most.
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
            rules: PublishedRules {
                revision: 1,
                rotated_key_valid: false,
                both_regions: true,
                rate: 1000,
            },
            list_revision: 1,
            leaving: None,
            last_call_number: 0,
            open_payouts: Vec::new(),
        }
    }

    /// Runs for `time` under faults, ends them, lets the simulation settle for `SETTLE_TIME`
    /// and returns the violated invariants.
    pub fn run(&mut self, time: Duration) -> Vec<String> {
        let until = self.simulation.now + time;
        while self.simulation.now < until {
            let gap_ms = self.simulation.rng.random_range(1..60);
            self.simulation.run(Duration::from_millis(gap_ms));
            self.step();
        }
        self.end_faults();
        self.simulation.run(SETTLE_TIME);
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
            Phase::Steady => {}
            Phase::Quiet => {
                if self.simulation.rng.random_bool(0.9) {
                    return;
                }
            }
            Phase::Burst => {
                for _ in 0..REQUESTS_PER_BURST_STEP {
                    self.send_model_call();
                }
            }
        }
        match self.simulation.rng.random_range(0..100) {
            0..70 => self.send_model_call(),
            70..80 => self.send_new_payout(),
            80..90 => self.retry_payout(),
            90..92 => self.disconnect_or_heal(),
            92..94 => self.kill_or_start(),
            94..96 => self.pause_node(),
            96..98 => self.change_document(),
            _ => self.change_upstream_behaviour(),
        }
    }

    /// Returns the phase of the demand cycle. In quiet phases customers leave tokens unused, which
    /// bursts then request all at once.
    fn phase(&self) -> Phase {
        match self.simulation.now.as_secs() % DEMAND_CYCLE_SECS {
            0..5 => Phase::Steady,
            5..9 => Phase::Quiet,
            _ => Phase::Burst,
        }
    }

    fn random_node(&mut self) -> usize {
        self.simulation
            .rng
            .random_range(0..self.simulation.nodes.len())
    }

    fn random_key(&mut self) -> &'static str {
        if self.simulation.rng.random_bool(0.2) {
            ROTATED_KEY
        } else {
            DEFAULT_KEY
        }
    }

    fn send_model_call(&mut self) {
        let node = self.random_node();
        let key = self.random_key();
        let max_estimate = if self.phase() == Phase::Quiet {
            2000
        } else {
            400
        };
        let estimated_tokens = self.simulation.rng.random_range(1..max_estimate);
        let actual_tokens = self.simulation.rng.random_range(0..=estimated_tokens);
        self.last_call_number += 1;
        let work_id = format!("q{}", self.last_call_number);
        let call = Simulation::model_call(&work_id, key, estimated_tokens, actual_tokens);
        self.simulation.send(node, call);
    }

    /// Sends a new non-idempotent request with a ticket of one instance, to that instance or to
    /// another.
    fn send_new_payout(&mut self) {
        self.last_call_number += 1;
        let work_id = format!("o{}", self.last_call_number);
        self.send_payout(work_id);
    }

    fn send_payout(&mut self, work_id: String) {
        let owner = self.random_node();
        let Some(ticket) = self
            .simulation
            .request_ticket(owner, DEFAULT_KEY, "payouts")
        else {
            return;
        };
        let node = if self.simulation.rng.random_bool(0.7) {
            owner
        } else {
            self.random_node()
        };
        let call = Simulation::payout_call(&work_id, DEFAULT_KEY, ticket.clone());
        let submission = self.simulation.send(node, call);
        self.open_payouts.push(OpenPayout {
            work_id,
            ticket,
            submission,
        });
    }

    /// Retries a request without a complete answer, as a caller would: with the same ticket, or
    /// with a new ticket if the caller was told that the request did not run.
    fn retry_payout(&mut self) {
        if self.open_payouts.is_empty() {
            return;
        }
        let index = self.simulation.rng.random_range(0..self.open_payouts.len());
        let payout = self.open_payouts.swap_remove(index);
        let completion = self.simulation.submissions[payout.submission]
            .completion
            .clone();
        match completion {
            Some((_, Completion::Answered(_))) => {}
            Some((_, completion)) if completion.reports_not_run() => {
                self.send_payout(payout.work_id);
            }
            _ => {
                let node = self.random_node();
                let call =
                    Simulation::payout_call(&payout.work_id, DEFAULT_KEY, payout.ticket.clone());
                // The first submission may still complete, and its completion decides whether a
                // later retry needs a new ticket. So `payout` keeps the first submission.
                self.simulation.send(node, call);
                self.open_payouts.push(payout);
            }
        }
    }

    fn disconnect_or_heal(&mut self) {
        if !self.fault_mix.cuts {
            return;
        }
        if self.simulation.rng.random_bool(0.3) {
            self.simulation.network.heal();
            return;
        }
        let a = self.random_node();
        let a = self.simulation.nodes[a].name.clone();
        if self.simulation.rng.random_bool(0.3) {
            self.simulation.network.cut("platform", &a);
            return;
        }
        let b = self.random_node();
        let b = self.simulation.nodes[b].name.clone();
        if a != b {
            self.simulation.network.cut(&a, &b);
        }
    }

    fn kill_or_start(&mut self) {
        if !self.fault_mix.kills {
            return;
        }
        let node = self.random_node();
        if self.simulation.nodes[node].board.is_none() {
            self.simulation.start(node);
            return;
        }
        self.simulation.kill(node);
        // Most processes restart at once, while other instances still have state of the old
        // process.
        if self.simulation.rng.random_bool(0.8) {
            self.simulation.start(node);
        }
    }

    fn pause_node(&mut self) {
        if !self.fault_mix.pauses {
            return;
        }
        let node = self.random_node();
        let pause_ms = self.simulation.rng.random_range(100..12_000);
        self.simulation.pause(node, Duration::from_millis(pause_ms));
    }

    fn change_document(&mut self) {
        if !self.fault_mix.document_changes {
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
            0 => self.rules.rotated_key_valid = !self.rules.rotated_key_valid,
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
        if self.rules.rotated_key_valid {
            let digest = KeyDigest::of(ROTATED_KEY.as_bytes());
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

    fn change_upstream_behaviour(&mut self) {
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

    /// Reconnects the network, restores all upstreams and starts the processes that are not
    /// running. Message faults continue, and current pauses run to their end.
    fn end_faults(&mut self) {
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

    /// Checks that the newest documents are in force at all instances, that all instances are
    /// ready and that each submission has completed.
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
                let violation = format!(
                    "{}: rules revision {rules} and list revision {list} are not the newest",
                    node.name
                );
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
