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

/// The prompt parts that were sent to one upstream and are assumed to be cached there.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Tokens and time of last use, by part id.
    parts: HashMap<u64, (u32, Duration)>,
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
            let old = self.parts.insert(part.id, (part.tokens, now));
            // A part may be stated with another size than before.
            self.tokens -= old.map_or(0, |(tokens, _)| u64::from(tokens));
            self.tokens += u64::from(part.tokens);
        }
        // CAST: token counts are far below 2^53.
        let max_tokens = (kv_capacity_tokens as f64 * CACHE_FRACTION) as u64;
        if self.tokens > max_tokens {
            // Evicts more than needed, so that not every insert sorts all parts.
            self.evict_to(max_tokens * 4 / 5);
        }
    }

    /// Evicts the least recently used parts until at most `max_tokens` remain.
    fn evict_to(&mut self, max_tokens: u64) {
        let mut by_last_use: Vec<_> = self.parts.iter().map(|(id, p)| (p.1, *id, p.0)).collect();
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
