//! What an upstream probably keeps of prompts, from what was sent to it.

use std::collections::HashMap;
use std::time::Duration;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of its contents.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// Part of an upstream's memory that is taken to hold finished prompts.
const KEPT: f64 = 0.6;

/// The parts that one upstream was sent last.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    parts: HashMap<u64, (u32, Duration)>,
    tokens: u64,
}

impl PrefixCache {
    /// Returns how many tokens of `prompt` need not be read: those of its first parts
    /// that are kept.
    pub fn cached_tokens(&self, prompt: &[PromptPart]) -> u64 {
        let kept = prompt.iter().take_while(|p| self.parts.contains_key(&p.id));
        kept.map(|p| u64::from(p.tokens)).sum()
    }

    /// Notes that `prompt` was read; the parts used longest ago yield.
    pub fn insert(&mut self, now: Duration, prompt: &[PromptPart], memory: u64) {
        for part in prompt {
            let old = self.parts.insert(part.id, (part.tokens, now));
            if old.is_none() {
                self.tokens += u64::from(part.tokens);
            }
        }
        // CAST: memory sizes are far below 2^53.
        let most = (memory as f64 * KEPT) as u64;
        if self.tokens > most {
            self.shrink(most * 4 / 5);
        }
    }

    /// Drops the parts used longest ago until `most` tokens are left.
    fn shrink(&mut self, most: u64) {
        let mut ages: Vec<_> = self.parts.iter().map(|(id, p)| (p.1, *id, p.0)).collect();
        ages.sort_unstable();
        for (_, id, tokens) in ages {
            if self.tokens <= most {
                break;
            }
            self.parts.remove(&id);
            self.tokens -= u64::from(tokens);
        }
    }

    /// Forgets all, after a restart of the upstream.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }
}
