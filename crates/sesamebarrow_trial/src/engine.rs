//! Simulated model engine with continuous batching, chunked prefill and an LRU cache of prompt
//! parts.
//!
//! Not simulated: preemption, delayed load reports, cold starts and the cost of attention over
//! long prompts. Times are milliseconds of virtual time.

use std::collections::{HashMap, VecDeque};

use serde::Deserialize;
use sesamebarrow_routing::cache::PromptPart;

/// Capacity of an engine. The defaults are the users' figures for the engines of their
/// first fully grown site.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Maximum number of requests in a batch.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; further requests are rejected.
    pub queue: usize,
    /// Capacity of the KV memory, in tokens.
    pub kv_tokens: u64,
    /// Prompt tokens prefilled per millisecond.
    pub prefill_per_ms: f64,
    /// Maximum number of prompt tokens prefilled in a step.
    pub chunk: u64,
    /// Fixed time of a step, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a step for each request in the batch, in milliseconds.
    pub step_ms_per_slot: f64,
    /// Time from the arrival of a request until it can take a slot, in milliseconds.
    pub first_ms: f64,
    /// Generated tokens in each event of the response.
    pub stride: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 16,
            queue: 33,
            kv_tokens: 318_254,
            prefill_per_ms: 91.8,
            chunk: 4_096,
            step_ms: 3.9,
            step_ms_per_slot: 0.0473,
            first_ms: 53.0,
            stride: 8,
        }
    }
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The first event of the response was sent.
    First {
        /// Request id.
        id: u64,
    },
    /// The last event of the response was sent.
    Done {
        /// Request id.
        id: u64,
        /// Time at which the first event was sent.
        first_ms: f64,
        /// Longest time between two consecutive events.
        pause_ms: f64,
    },
}

#[derive(Debug)]
struct Request {
    id: u64,
    ready_ms: f64,
    parts: Vec<PromptPart>,
    tokens_in: u64,
    tokens_out: u64,
    /// Prompt tokens not prefilled yet; set when the request takes a slot.
    unread_tokens: u64,
    generated_tokens: u64,
    first_ms: Option<f64>,
    last_event_ms: f64,
    pause_ms: f64,
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    cfg: Settings,
    now_ms: f64,
    waiting: VecDeque<Request>,
    running: Vec<Request>,
    /// Cached prompt parts by id, with their tokens and time of last use.
    cache: HashMap<u64, (u32, f64)>,
    /// All prompt parts prefilled so far, with their tokens, to detect repeated prefill.
    ever_read: HashMap<u64, u32>,
    /// Prompt tokens prefilled.
    pub read_tokens: u64,
    /// Prompt tokens prefilled again after their parts were evicted from the cache.
    pub reread_tokens: u64,
}

impl Engine {
    /// Builds an idle engine.
    pub fn new(cfg: Settings) -> Self {
        Self {
            cfg,
            now_ms: 0.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            ever_read: HashMap::new(),
            read_tokens: 0,
            reread_tokens: 0,
        }
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        // CAST: the settings bound both.
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Adds a request to the queue; returns whether the queue had room for it.
    pub fn enqueue(
        &mut self,
        now_ms: f64,
        id: u64,
        parts: &[PromptPart],
        (tokens_in, tokens_out): (u64, u64),
    ) -> bool {
        if self.waiting.len() >= self.cfg.queue {
            return false;
        }
        self.waiting.push_back(Request {
            id,
            ready_ms: now_ms + self.cfg.first_ms,
            parts: parts.to_vec(),
            tokens_in,
            tokens_out: tokens_out.max(1),
            unread_tokens: 0,
            generated_tokens: 0,
            first_ms: None,
            last_event_ms: now_ms,
            pause_ms: 0.0,
        });
        true
    }

    /// Runs step by step until `until_ms` and appends the resulting events.
    pub fn run_until(&mut self, until_ms: f64, events: &mut Vec<Event>) {
        while self.now_ms < until_ms {
            self.fill_slots();
            if self.running.is_empty() {
                let next = self.waiting.front().map_or(until_ms, |r| r.ready_ms);
                self.now_ms = next.clamp(self.now_ms + 0.1, until_ms.max(self.now_ms + 0.1));
                continue;
            }
            self.step(events);
        }
    }

    fn fill_slots(&mut self) {
        while self.running.len() < self.cfg.slots
            && let Some(next) = self.waiting.front()
            && next.ready_ms <= self.now_ms
            && self.make_room(next.tokens_in + next.tokens_out)
            && let Some(mut request) = self.waiting.pop_front()
        {
            request.unread_tokens = self.count_unread_tokens(&request);
            self.read_tokens += request.unread_tokens;
            for part in &request.parts {
                self.cache.insert(part.id, (part.tokens, self.now_ms));
                self.ever_read.insert(part.id, part.tokens);
            }
            self.running.push(request);
        }
    }

    fn count_unread_tokens(&mut self, request: &Request) -> u64 {
        let cached_tokens = request
            .parts
            .iter()
            .take_while(|p| self.cache.contains_key(&p.id));
        let cached_tokens: u64 = cached_tokens.map(|p| u64::from(p.tokens)).sum();
        let ever_read_tokens = request
            .parts
            .iter()
            .take_while(|p| self.ever_read.contains_key(&p.id));
        let ever_read_tokens: u64 = ever_read_tokens.map(|p| u64::from(p.tokens)).sum();
        self.reread_tokens += ever_read_tokens.saturating_sub(cached_tokens);
        request.tokens_in.saturating_sub(cached_tokens)
    }

    /// Evicts the least recently used prompt parts until `need` tokens fit beside the running
    /// requests; returns whether they fit. They always fit in an idle engine.
    fn make_room(&mut self, need: u64) -> bool {
        let running: u64 = self
            .running
            .iter()
            .map(|r| r.tokens_in + r.tokens_out)
            .sum();
        let free = self.cfg.kv_tokens.saturating_sub(running + need);
        let mut cached: u64 = self.cache.values().map(|(t, _)| u64::from(*t)).sum();
        if cached > free {
            let mut ages: Vec<(u64, u32, f64)> = self
                .cache
                .iter()
                .map(|(id, (t, at))| (*id, *t, *at))
                .collect();
            ages.sort_by(|a, b| a.2.total_cmp(&b.2).then(a.0.cmp(&b.0)));
            for (id, tokens, _) in ages {
                if cached <= free {
                    break;
                }
                self.cache.remove(&id);
                cached -= u64::from(tokens);
            }
        }
        self.running.is_empty() || running + need <= self.cfg.kv_tokens
    }

    fn step(&mut self, events: &mut Vec<Event>) {
        let mut budget = self.cfg.chunk;
        for request in &mut self.running {
            let now = request.unread_tokens.min(budget);
            request.unread_tokens -= now;
            budget -= now;
        }
        // CAST: token counts are far below 2^53.
        let read_tokens = (self.cfg.chunk - budget) as f64;
        let batch = self.running.len() as f64;
        self.now_ms += self.cfg.step_ms
            + self.cfg.step_ms_per_slot * batch
            + read_tokens / self.cfg.prefill_per_ms;
        let now = self.now_ms;
        for request in self.running.iter_mut().filter(|r| r.unread_tokens == 0) {
            request.generated_tokens += 1;
            if request.generated_tokens.is_multiple_of(self.cfg.stride)
                || request.generated_tokens == request.tokens_out
            {
                if request.first_ms.is_none() {
                    request.first_ms = Some(now);
                    events.push(Event::First { id: request.id });
                } else {
                    request.pause_ms = request.pause_ms.max(now - request.last_event_ms);
                }
                request.last_event_ms = now;
            }
        }
        self.running.retain(|request| {
            let done = request.generated_tokens >= request.tokens_out;
            if done {
                events.push(Event::Done {
                    id: request.id,
                    first_ms: request.first_ms.unwrap_or(now),
                    pause_ms: request.pause_ms,
                });
            }
            !done
        });
    }
}
