//! Estimates which prompt prefixes an upstream has cached, from the prompts sent to it.

use std::collections::HashMap;
use std::time::Duration;

/// A part of a prompt. Prompts that begin with the same parts share a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's contents.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Fraction of an engine's KV cache that is assumed to hold finished prompts.
const CACHE_FRACTION: f64 = 0.6;

/// A part that is assumed to be cached.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    used_at: Duration,
    /// Number of times that it was sent and may have been read.
    sends: u32,
}

/// The prompt parts that were sent to one upstream and are assumed to be cached there.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Parts by id.
    parts: HashMap<u64, CachedPart>,
    /// Sum of the tokens of `parts`.
    tokens: u64,
}

impl PrefixCache {
    /// Returns how many tokens of `prompt` need no prefill, because they belong to leading
    /// parts that are cached.
    pub fn cached_tokens(&self, prompt: &[PromptPart]) -> u64 {
        let cached = prompt.iter().take_while(|p| self.parts.contains_key(&p.id));
        cached.map(|p| u64::from(p.tokens)).sum()
    }

    /// Records that `prompt` was sent to an upstream whose KV cache holds `kv_capacity_tokens`.
    /// When the cache is full, the least recently used parts are evicted.
    pub fn insert(&mut self, now: Duration, prompt: &[PromptPart], kv_capacity_tokens: u64) {
        for part in prompt {
            let cached = self.parts.entry(part.id).or_insert(CachedPart {
                tokens: 0,
                used_at: now,
                sends: 0,
            });
            // A part may be stated with another size than before.
            self.tokens -= u64::from(cached.tokens);
            self.tokens += u64::from(part.tokens);
            *cached = CachedPart {
                tokens: part.tokens,
                used_at: now,
                sends: cached.sends.saturating_add(1),
            };
        }
        // CAST: token counts are far below 2^53.
        let max_tokens = (kv_capacity_tokens as f64 * CACHE_FRACTION) as u64;
        if self.tokens > max_tokens {
            // Evicts more than needed, so that not every insert sorts all parts.
            self.evict_to(max_tokens * 4 / 5);
        }
    }

    /// Records that the upstream has not read `prompt`, which [`Self::insert`] recorded. Parts that came with
    /// another prompt too remain.
    pub fn retract(&mut self, prompt: &[PromptPart]) {
        for part in prompt {
            let Some(cached) = self.parts.get_mut(&part.id) else {
                continue;
            };
            cached.sends -= 1;
            if cached.sends == 0 {
                self.tokens -= u64::from(cached.tokens);
                self.parts.remove(&part.id);
            }
        }
    }

    /// Evicts the least recently used parts until at most `max_tokens` remain.
    fn evict_to(&mut self, max_tokens: u64) {
        let parts = self.parts.iter();
        let mut by_last_use: Vec<_> = parts.map(|(id, p)| (p.used_at, *id, p.tokens)).collect();
        by_last_use.sort_unstable();
        for (_, id, tokens) in by_last_use {
            if self.tokens <= max_tokens {
                break;
            }
            self.parts.remove(&id);
            self.tokens -= u64::from(tokens);
        }
    }

    /// Removes all parts, after a restart of the upstream.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }
}
