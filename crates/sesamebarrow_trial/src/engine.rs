//! Simulated model engine with continuous batching, chunked prefill and a prefix cache of prompt
//! parts with LRU eviction.
//!
//! Not simulated: preemption, delayed load reports, cold starts and the cost of attention over
//! long prompts. Times are milliseconds of virtual time.

use std::collections::{HashMap, VecDeque};

use serde::Deserialize;
use sesamebarrow_routing::cache::PromptPart;

/// Capacity of an engine. The defaults are the users' figures for an engine of their first
/// deployment at its full size.
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
        first_event_ms: f64,
        /// Longest time between two consecutive events of the response.
        longest_pause_ms: f64,
    },
}

#[derive(Debug)]
struct Request {
    id: u64,
    ready_ms: f64,
    parts: Vec<PromptPart>,
    prompt_tokens: u64,
    output_tokens: u64,
    /// Prompt tokens still to prefill; set when the request takes a slot.
    remaining_prefill_tokens: u64,
    generated_tokens: u64,
    first_event_ms: Option<f64>,
    last_event_ms: f64,
    longest_pause_ms: f64,
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
    prefilled_parts: HashMap<u64, u32>,
    /// Prompt tokens prefilled.
    pub prefilled_tokens: u64,
    /// Prompt tokens prefilled again after their parts were evicted from the cache.
    pub repeated_prefill_tokens: u64,
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
            prefilled_parts: HashMap::new(),
            prefilled_tokens: 0,
            repeated_prefill_tokens: 0,
        }
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        // CAST: the settings bound both.
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Adds a request to the queue; returns `false` if the queue is full.
    pub fn enqueue(
        &mut self,
        now_ms: f64,
        id: u64,
        parts: &[PromptPart],
        (prompt_tokens, output_tokens): (u64, u64),
    ) -> bool {
        if self.waiting.len() >= self.cfg.queue {
            return false;
        }
        self.waiting.push_back(Request {
            id,
            ready_ms: now_ms + self.cfg.first_ms,
            parts: parts.to_vec(),
            prompt_tokens,
            output_tokens: output_tokens.max(1),
            remaining_prefill_tokens: 0,
            generated_tokens: 0,
            first_event_ms: None,
            last_event_ms: now_ms,
            longest_pause_ms: 0.0,
        });
        true
    }

    /// Runs step by step until `until_ms` and appends the resulting events.
    pub fn run_until(&mut self, until_ms: f64, events: &mut Vec<Event>) {
        while self.now_ms < until_ms {
            self.fill_slots();
            if self.running.is_empty() {
                // Advances by at least 0.1 ms, so that the loop ends.
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
            && self.make_room(next.prompt_tokens + next.output_tokens)
            && let Some(mut request) = self.waiting.pop_front()
        {
            request.remaining_prefill_tokens = self.count_prefill_tokens(&request);
            self.prefilled_tokens += request.remaining_prefill_tokens;
            for part in &request.parts {
                self.cache.insert(part.id, (part.tokens, self.now_ms));
                self.prefilled_parts.insert(part.id, part.tokens);
            }
            self.running.push(request);
        }
    }

    fn count_prefill_tokens(&mut self, request: &Request) -> u64 {
        let cached_tokens = request
            .parts
            .iter()
            .take_while(|p| self.cache.contains_key(&p.id));
        let cached_tokens: u64 = cached_tokens.map(|p| u64::from(p.tokens)).sum();
        let previously_prefilled_tokens = request
            .parts
            .iter()
            .take_while(|p| self.prefilled_parts.contains_key(&p.id));
        let previously_prefilled_tokens: u64 = previously_prefilled_tokens
            .map(|p| u64::from(p.tokens))
            .sum();
        self.repeated_prefill_tokens += previously_prefilled_tokens.saturating_sub(cached_tokens);
        request.prompt_tokens.saturating_sub(cached_tokens)
    }

    /// Evicts the least recently used prompt parts until `needed_tokens` fit beside the running
    /// requests; returns whether they fit. An idle engine accepts any request.
    fn make_room(&mut self, needed_tokens: u64) -> bool {
        let running_tokens: u64 = self
            .running
            .iter()
            .map(|r| r.prompt_tokens + r.output_tokens)
            .sum();
        let free_tokens = self
            .cfg
            .kv_tokens
            .saturating_sub(running_tokens + needed_tokens);
        let mut cached_tokens: u64 = self.cache.values().map(|(t, _)| u64::from(*t)).sum();
        if cached_tokens > free_tokens {
            let mut by_last_use: Vec<(u64, u32, f64)> = self
                .cache
                .iter()
                .map(|(id, (t, at))| (*id, *t, *at))
                .collect();
            by_last_use.sort_by(|a, b| a.2.total_cmp(&b.2).then(a.0.cmp(&b.0)));
            for (id, tokens, _) in by_last_use {
                if cached_tokens <= free_tokens {
                    break;
                }
                self.cache.remove(&id);
                cached_tokens -= u64::from(tokens);
            }
        }
        self.running.is_empty() || running_tokens + needed_tokens <= self.cfg.kv_tokens
    }

    fn step(&mut self, events: &mut Vec<Event>) {
        let mut budget_tokens = self.cfg.chunk;
        for request in &mut self.running {
            let prefilled = request.remaining_prefill_tokens.min(budget_tokens);
            request.remaining_prefill_tokens -= prefilled;
            budget_tokens -= prefilled;
        }
        // CAST: token counts are far below 2^53.
        let prefilled_tokens = (self.cfg.chunk - budget_tokens) as f64;
        let batch = self.running.len() as f64;
        self.now_ms += self.cfg.step_ms
            + self.cfg.step_ms_per_slot * batch
            + prefilled_tokens / self.cfg.prefill_per_ms;
        let now = self.now_ms;
        for request in self
            .running
            .iter_mut()
            .filter(|r| r.remaining_prefill_tokens == 0)
        {
            request.generated_tokens += 1;
            if request.generated_tokens.is_multiple_of(self.cfg.stride)
                || request.generated_tokens == request.output_tokens
            {
                if request.first_event_ms.is_none() {
                    request.first_event_ms = Some(now);
                    events.push(Event::First { id: request.id });
                } else {
                    request.longest_pause_ms =
                        request.longest_pause_ms.max(now - request.last_event_ms);
                }
                request.last_event_ms = now;
            }
        }
        self.running.retain(|request| {
            let done = request.generated_tokens >= request.output_tokens;
            if done {
                events.push(Event::Done {
                    id: request.id,
                    first_event_ms: request.first_event_ms.unwrap_or(now),
                    longest_pause_ms: request.longest_pause_ms,
                });
            }
            !done
        });
    }
}
