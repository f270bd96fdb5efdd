//! A model of the prefixes in an engine's KV cache.

use super::demand::wrapped_ms;
use super::prompt::PromptSegment;
use crate::base::Micros;

/// The most prefixes that are kept for one engine.
const MAX_CACHED_PREFIXES: usize = 256;

/// One prefix that was sent to the engine; 16 bytes.
#[derive(Clone, Copy, Debug)]
struct CachedSegment {
    key: u64,
    /// The lower 32 bits of the time of the prefix's last use, in milliseconds.
    used_ms: u32,
    tokens: u32,
}

/// The prefixes that this node sent to an engine and that the engine likely has in its KV cache. Bounded by
/// number and by tokens; the least recently used prefixes are evicted first.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Invariant: sorted by key.
    segments: Vec<CachedSegment>,
    /// Invariant: the sum of the segments' tokens.
    tokens: u64,
}

impl PrefixCache {
    /// Returns whether the prefix with this key is likely cached.
    pub fn contains(&self, key: u64) -> bool {
        self.position(key).is_ok()
    }

    /// Records that a prompt was sent to the engine, whose KV cache holds `max_tokens` tokens of prefixes.
    pub fn record(&mut self, chain: &[PromptSegment], max_tokens: u64, now: Micros) {
        let used_ms = wrapped_ms(now);
        for segment in chain {
            match self.position(segment.key) {
                Ok(index) => self.segments[index].used_ms = used_ms,
                Err(index) => {
                    let PromptSegment { key, tokens } = *segment;
                    self.segments.insert(index, CachedSegment { key, used_ms, tokens });
                    self.tokens += u64::from(tokens);
                }
            }
        }
        while self.segments.len() > MAX_CACHED_PREFIXES || self.tokens > max_tokens {
            let oldest = (0..self.segments.len()).min_by_key(|index| self.segments[*index].used_ms);
            let Some(oldest) = oldest else { break };
            self.remove_at(oldest);
        }
    }

    /// Removes prefixes that were not prefilled after all.
    pub fn remove(&mut self, keys: &[u64]) {
        for key in keys {
            if let Ok(index) = self.position(*key) {
                self.remove_at(index);
            }
        }
    }

    /// Returns the number of prefixes.
    pub fn len(&self) -> usize {
        self.segments.len()
    }

    /// Returns whether there are no prefixes.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    fn position(&self, key: u64) -> Result<usize, usize> {
        self.segments.binary_search_by_key(&key, |segment| segment.key)
    }

    fn remove_at(&mut self, index: usize) {
        self.tokens -= u64::from(self.segments.remove(index).tokens);
    }
}
