//! Requests, the permits that they take, and the answers that they get.

use std::time::Duration;

use rand::RngExt;
use rand::seq::{IndexedRandom, IteratorRandom};
use sesamebarrow_routing::board::limit::Permission;
use sesamebarrow_routing::limit::Statement;
use sesamebarrow_routing::limit::bucket::Bucket;
use sesamebarrow_routing::limit::message::PermitRequest;

use crate::containment::instance;
use crate::limits::experiment::Policy;
use crate::limits::{Event, Instance, REGIONS, Run, Waiting, setup};

/// Maximum number of limited upstreams that are asked for one request, as in the gateway.
const MAX_PERMIT_REQUESTS: u32 = 4;

/// Fraction of requests that are forwarded to another region.
const HOP_FRACTION: f64 = 0.2;

/// Longest time after which a refused client comes back, in seconds.
const MAX_RETURN: f64 = 1.5;

/// Range of random times that is added to the time to come back, in seconds.
const RETURN_JITTER: f64 = 0.4;

/// Time until the head of an answer, in seconds.
const HEAD_SECONDS: std::ops::Range<f64> = 0.03..0.4;

/// Lowest number of requests per second, so that limits of 0 are asked for.
const MIN_DEMAND: f64 = 0.1;

impl Run<'_> {
    pub(super) fn demand(&mut self) {
        // CAST: small numbers.
        let limited = self.upstreams.iter().filter(|u| u.limited).count() as f64;
        let per_s = (limited * self.cfg.rate * self.cfg.demand).max(MIN_DEMAND);
        let random: f64 = self.rng.random_range(f64::EPSILON..1.0);
        self.schedule(Duration::from_secs_f64(-random.ln() / per_s), Event::Demand);
        // CAST: small numbers.
        let others = (REGIONS - 1) as f64;
        let is_first = self
            .rng
            .random_bool(self.cfg.skew / (self.cfg.skew + others));
        let region = match is_first {
            true => 0,
            false => self.rng.random_range(1..REGIONS),
        };
        self.report.requests += 1;
        self.begin(region, false);
    }

    /// Lets a request arrive at an instance of `region`, which may forward it.
    pub(super) fn begin(&mut self, region: usize, returned: bool) {
        let hops = self.rng.random_bool(HOP_FRACTION);
        let target = match hops {
            true => (region + self.rng.random_range(1..REGIONS)) % REGIONS,
            false => region,
        };
        let is_up = |i: &usize| self.instances[*i].up && self.instances[*i].board.is_ready();
        let instances = (0..self.instances.len()).filter(|i| setup::region(*i) == target);
        let Some(instance) = instances.filter(is_up).choose(&mut self.rng) else {
            return;
        };
        if hops && self.policy == Policy::HopsNotCounted {
            let keys = 0..self.instances[instance].keys.len();
            if let Some(upstream) = keys.choose(&mut self.rng) {
                self.arrive(instance, upstream);
            }
            return;
        }
        self.try_next(instance, 0, returned);
    }

    /// Asks for a permit of the next limited upstream, then goes to one without limit, or refuses the request.
    pub(super) fn try_next(&mut self, instance: usize, asked: u32, returned: bool) {
        let Some(upstream) = self.pick(instance, asked) else {
            self.refuse(instance, returned);
            return;
        };
        let now = self.process_time(instance);
        let key = self.instances[instance].keys[upstream];
        let permission = match self.policy.has_owners() {
            true => self.instances[instance].board.take_permit(now, key, 0),
            false => self.take_alone(instance, upstream),
        };
        match permission {
            Permission::Unlimited | Permission::Granted => self.arrive(instance, upstream),
            Permission::Refused(_) => self.try_next(instance, asked + 1, returned),
            Permission::Ask(ip, request) => {
                self.next_id += 1;
                let id = self.next_id;
                self.ask(Waiting {
                    instance,
                    owner: instance::index_of(ip),
                    upstream,
                    message: PermitRequest { id, ..request },
                    asked: asked + 1,
                    returned,
                });
            }
        }
    }

    /// Returns a limited upstream that the instance may ask for, or else one without limit.
    fn pick(&mut self, instance: usize, asked: u32) -> Option<usize> {
        let now = self.process_time(instance);
        let Instance { board, keys, .. } = &self.instances[instance];
        let is_open = |upstream: &usize| {
            let run = board.upstreams.all[keys[*upstream]].run_hash;
            board.limits.pause(now, run, 0).is_none()
        };
        let number = |upstream: usize| setup::region(instance) + upstream * REGIONS;
        let (limited, free): (Vec<usize>, Vec<usize>) =
            (0..keys.len()).partition(|u| self.upstreams[number(*u)].limited);
        let open: Vec<usize> = limited.into_iter().filter(is_open).collect();
        match asked < MAX_PERMIT_REQUESTS && !open.is_empty() {
            true => open.choose(&mut self.rng).copied(),
            false => free.choose(&mut self.rng).copied(),
        }
    }

    /// Takes a permit of a bucket that the instance keeps by itself.
    fn take_alone(&mut self, instance: usize, upstream: usize) -> Permission {
        let now = self.process_time(instance);
        let Instance {
            board,
            keys,
            buckets,
            ..
        } = &mut self.instances[instance];
        let run = board.upstreams.all[keys[upstream]].run_hash;
        let share = match self.policy {
            Policy::None => return Permission::Unlimited,
            // CAST: small numbers.
            Policy::EqualPart => 1.0 / board.region_instance_count(now) as f64,
            _ => 1.0,
        };
        let Some(rate) = board.limits.in_force(run).and_then(|limit| limit.rate) else {
            return Permission::Unlimited;
        };
        let bucket = buckets.entry(run).or_insert_with(|| Bucket::empty(now));
        match bucket.take(now, rate * share, 0) {
            Ok(()) => Permission::Granted,
            Err(due_in) => {
                board.limits.record_refused(now, run, 0, due_in);
                Permission::Refused(due_in)
            }
        }
    }

    fn refuse(&mut self, instance: usize, returned: bool) {
        if returned {
            self.report.in_vain += 1;
            return;
        }
        let now = self.process_time(instance);
        let Instance { board, keys, .. } = &self.instances[instance];
        let runs = keys.iter().map(|key| board.upstreams.all[*key].run_hash);
        let pauses = runs.filter_map(|run| board.limits.pause(now, run, 0));
        let due_in = pauses.min().unwrap_or_default().as_secs_f64();
        let jitter = RETURN_JITTER.max(due_in / 4.0) * self.rng.random::<f64>();
        let after = Duration::from_secs_f64((due_in + jitter).clamp(0.2, MAX_RETURN));
        let region = setup::region(instance);
        self.schedule(after, Event::Return { region });
    }

    /// Lets a request arrive at an upstream of the instance's region.
    pub(super) fn arrive(&mut self, instance: usize, upstream: usize) {
        self.report.served += 1;
        let number = setup::region(instance) + upstream * REGIONS;
        self.upstreams[number].arrivals.push(self.now);
        let head = Duration::from_secs_f64(self.rng.random_range(HEAD_SECONDS));
        let answer = Event::Answer {
            instance,
            upstream,
            sent_at: self.now,
        };
        self.schedule(head, answer);
    }

    pub(super) fn receive_answer(&mut self, instance: usize, upstream: usize, sent_at: Duration) {
        let is_lost = sent_at < self.instances[instance].started_at;
        if !self.instances[instance].up || is_lost || self.policy == Policy::None {
            return;
        }
        let number = setup::region(instance) + upstream * REGIONS;
        let is_named = self.names_limits() && self.upstreams[number].limited;
        let statement = match is_named {
            true => Statement::Limit(self.cfg.rate),
            false if self.policy == Policy::NeverEnds => return,
            false => Statement::NoLimit,
        };
        let now = self.process_time(instance);
        let sent_at = sent_at.saturating_sub(self.instances[instance].started_at);
        let key = self.instances[instance].keys[upstream];
        let board = &mut self.instances[instance].board;
        let effects = board.observe_limit(now, key, statement, false, sent_at);
        if self.policy.has_owners() {
            self.apply(instance, effects);
        }
    }
}
