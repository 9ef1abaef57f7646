//! Requests on their way to upstreams, and what ends them.

use std::time::Duration;

use rand::RngExt;
use rand::seq::{IndexedRandom, IteratorRandom};
use sesamebarrow_routing::board::quarantine::Judge;
use sesamebarrow_routing::cache::PromptPart;
use sesamebarrow_routing::quarantine::{Admission, Suspect, Suspects};

use crate::containment::experiment::{Harm, Policy};
use crate::containment::{
    BEGIN_TIME, COMMON_PART, CONTACT_TIME, CUSTOMERS, DOWN_TIME, Event, HARMFUL_PART,
    HARMFUL_REQUESTS, HOP_FRACTION, LAST_SECONDS, OWN_PARTS, READS, REGIONS, Request, Run,
    SUBJECTS, SUBJECTS_PER_INSTANCE, instance,
};

impl Run<'_> {
    /// Returns the suspects of a new request.
    fn suspects(&mut self, harmful: bool) -> Suspects {
        let customer = self.rng.random_range(0..CUSTOMERS);
        // CAST: small numbers.
        let subjects = SUBJECTS_PER_INSTANCE * self.cfg.instances as u64;
        let subject = SUBJECTS + self.rng.random_range(0..subjects);
        let own = OWN_PARTS + self.new_id();
        match (self.cfg.harm, harmful) {
            (Harm::Requests(requests), true) => {
                let request = self.rng.random_range(0..requests);
                return repeated(HARMFUL_REQUESTS + request, &[]);
            }
            (Harm::Prompts(requests), true) => {
                let request = self.rng.random_range(0..requests);
                let (fingerprint, subject) = (HARMFUL_REQUESTS + request, SUBJECTS + request);
                return repeated(fingerprint, &[COMMON_PART, subject, fingerprint]);
            }
            _ => {}
        }
        if !harmful && self.cfg.repeated_reads > 0 && self.rng.random_bool(0.5) {
            let read = self.rng.random_range(0..self.cfg.repeated_reads);
            return repeated(READS + read, &[]);
        }
        let mut ids: Vec<u64> = (0..self.cfg.common_parts)
            .map(|n| COMMON_PART + n)
            .collect();
        ids.extend(self.cfg.subjects.then_some(subject));
        ids.push(own);
        if harmful {
            let number = match self.cfg.harmful_parts {
                1 => 0,
                parts => self.rng.random_range(0..parts),
            };
            ids.insert(self.cfg.position, HARMFUL_PART + number);
        }
        let ids = match self.policy {
            Policy::FirstPart => vec![ids[0], own],
            Policy::Customer => vec![customer, own],
            _ => ids,
        };
        Suspects::of_request(customer, own, &prompt(&ids))
    }

    pub(super) fn send_harmful(&mut self) {
        let seconds = self.seconds();
        let spans = self.cfg.harmful_spans.iter();
        if !spans
            .into_iter()
            .any(|(start, end)| (*start..*end).contains(&seconds))
        {
            return;
        }
        let pause = self.pause(self.cfg.harmful_per_s);
        self.schedule(pause, Event::Harmful);
        self.send(true);
    }

    pub(super) fn send_sound(&mut self) {
        let pause = self.pause(self.cfg.sound_per_s);
        self.schedule(pause, Event::Sound);
        let seconds = self.seconds();
        let left = self.cfg.seconds - seconds;
        let is_paused = |(start, end): (f64, f64)| (start..end).contains(&seconds);
        if left < LAST_SECONDS || self.cfg.sound_pause.is_some_and(is_paused) {
            return;
        }
        let phase = self.phase();
        self.served(phase).asked += 1;
        let began = self.send(false);
        if seconds >= 0.0 {
            self.sound.push((self.now, began));
        }
    }

    /// Sends a new request. Returns whether an upstream begins to run it.
    pub(super) fn send(&mut self, harmful: bool) -> bool {
        let up: Vec<usize> = (0..self.instances.len())
            .filter(|i| self.instances[*i].up)
            .collect();
        let Some(&entry) = up.choose(&mut self.rng) else {
            return false;
        };
        let suspects = self.suspects(harmful);
        let mut request = Request {
            instance: entry,
            suspects,
            harmful,
            upstream: 0,
            crashes: 0,
            is_trial: false,
            phase: self.phase(),
        };
        if !self.admit(&mut request) {
            self.report.wrongly_refused += u64::from(!harmful);
            return false;
        }
        if !request.is_trial && self.rng.random_bool(HOP_FRACTION) {
            let others = up.iter().filter(|i| **i % REGIONS != entry % REGIONS);
            if let Some(&other) = others.choose(&mut self.rng)
                && self.reaches(entry, other)
            {
                request.instance = other;
                if !self.admit(&mut request) {
                    self.report.wrongly_refused += u64::from(!harmful);
                    return false;
                }
            }
        }
        self.start(request)
    }

    /// Returns whether a request may be sent by its instance, if need be as a trial.
    pub(super) fn admit(&mut self, request: &mut Request) -> bool {
        if self.policy == Policy::None {
            return true;
        }
        let index = request.instance;
        let now = self.process_time(index);
        let board = &self.instances[index].board;
        let trial = match board.quarantine.admission(now, &request.suspects) {
            Admission::Allowed => return true,
            Admission::Quarantined(_) => return false,
            Admission::TrialDue(trial) => trial,
        };
        let judge_of = |suspect: &Suspect| match board.judges(now, *suspect).first() {
            Some(Judge::Other(ip)) => instance::index_of(*ip),
            _ => index,
        };
        let judges: Vec<usize> = trial.asked().iter().map(judge_of).collect();
        let answers = |judge: &usize| {
            let is_answered = self.reaches(index, *judge) && self.reaches(*judge, index);
            is_answered && (self.policy != Policy::Instance || *judge == index)
        };
        if !judges.iter().all(answers) {
            return false;
        }
        let asked: Vec<(Suspect, usize)> = trial.asked().iter().copied().zip(judges).collect();
        for (suspect, judge) in &asked {
            let now = self.process_time(*judge);
            let quarantine = &mut self.instances[*judge].board.quarantine;
            if !quarantine.is_preferred(now, *suspect, trial.ambiguity) {
                return false;
            }
        }
        for (suspect, judge) in asked {
            let now = self.process_time(judge);
            let board = &mut self.instances[judge].board;
            let (_, effects) = board.grant_trial(now, suspect, trial.ambiguity);
            self.apply(judge, effects);
        }
        request.is_trial = true;
        true
    }

    /// Sends a request to an upstream of its instance's region that has a free slot. Returns whether there is one.
    pub(super) fn start(&mut self, mut request: Request) -> bool {
        let region = request.instance % REGIONS;
        let batch = self.cfg.batch;
        let is_free = |u: &usize| {
            let upstream = &self.upstreams[*u];
            upstream.up && upstream.region == region && upstream.requests.len() < batch
        };
        let free = (0..self.upstreams.len()).filter(is_free);
        let Some(index) = free.choose(&mut self.rng) else {
            return false;
        };
        let id = self.new_id();
        request.upstream = index;
        self.upstreams[index].requests.push(id);
        if request.harmful {
            let is_late = |at: Duration| self.now > at + CONTACT_TIME;
            self.report.late += u64::from(self.counted_crash_at.is_some_and(is_late));
            let delay = BEGIN_TIME.mul_f64(self.rng.random_range(0.2..2.0));
            self.schedule(delay, Event::Begin(id));
        } else {
            let delay = self.cfg.run_time.mul_f64(self.rng.random_range(0.5..1.5));
            self.schedule(delay, Event::Finish(id));
        }
        self.requests.insert(id, request);
        true
    }

    pub(super) fn crash(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.up = false;
        let run = upstream.run;
        let ids = std::mem::take(&mut upstream.requests);
        self.schedule(DOWN_TIME, Event::UpstreamBack(index));
        for id in ids {
            let Some(mut request) = self.requests.remove(&id) else {
                continue;
            };
            request.crashes += 1;
            if self.policy != Policy::None {
                let now = self.process_time(request.instance);
                let board = &mut self.instances[request.instance].board;
                let effects = board.record_crash(now, run, &request.suspects);
                self.apply(request.instance, effects);
            }
            if self.may_repeat(&request) {
                self.start(request);
            }
        }
    }

    pub(super) fn may_repeat(&self, request: &Request) -> bool {
        let quarantine = &self.instances[request.instance].board.quarantine;
        let is_bound = match self.policy {
            Policy::None | Policy::NoBound => false,
            _ => {
                request.crashes >= 2
                    || request.is_trial
                    || quarantine.is_suspected(&request.suspects)
            }
        };
        self.cfg.repeatable && request.crashes < 4 && !is_bound
    }

    pub(super) fn finish(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.upstreams[request.upstream]
            .requests
            .retain(|other| *other != id);
        self.served(request.phase).served += 1;
        if matches!(self.policy, Policy::None | Policy::NoAcquittal) {
            return;
        }
        let now = self.process_time(request.instance);
        let board = &mut self.instances[request.instance].board;
        let effects = board.record_answer(now, &request.suspects);
        self.apply(request.instance, effects);
    }
}

fn prompt(ids: &[u64]) -> Vec<PromptPart> {
    let part = |id: &u64| PromptPart {
        id: *id,
        tokens: 100,
    };
    ids.iter().map(part).collect()
}

/// Returns the suspects of a request that comes again. It always is the same customer's.
fn repeated(fingerprint: u64, ids: &[u64]) -> Suspects {
    Suspects::of_request(fingerprint % CUSTOMERS, fingerprint, &prompt(ids))
}
