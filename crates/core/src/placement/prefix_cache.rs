//! The prompts that an engine likely keeps in its memory.

use super::prompt::PromptSegment;
use crate::base::Micros;

/// The parts that a worker likely keeps, as far as this node sent them there.
/// Bounded by number and by tokens; 16 bytes each.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// By key: when it was last used, in milliseconds, and its tokens.
    rows: Vec<(u64, u32, u32)>,
    tokens: u64,
}

/// So many are remembered.
pub const MOST: usize = 256;

impl PrefixCache {
    /// Whether this one is likely kept.
    pub fn contains(&self, key: u64) -> bool {
        self.rows.binary_search_by_key(&key, |r| r.0).is_ok()
    }

    /// Notes that a chain was sent there; `room` is how many tokens may be kept.
    pub fn record(&mut self, c: &[PromptSegment], room: u64, now: Micros) {
        let ms = u32::try_from((now / 1000) & 0xFFFF_FFFF).unwrap_or(0);
        for l in c {
            match self.rows.binary_search_by_key(&l.key, |r| r.0) {
                Ok(i) => self.rows[i].1 = ms,
                Err(i) => {
                    self.rows.insert(i, (l.key, ms, l.tokens));
                    self.tokens += u64::from(l.tokens);
                }
            }
        }
        while self.rows.len() > MOST || self.tokens > room {
            let Some(i) = (0..self.rows.len()).min_by_key(|i| self.rows[*i].1) else { break };
            self.tokens -= u64::from(self.rows.remove(i).2);
        }
    }

    /// Parts that were not read after all.
    pub fn remove(&mut self, keys: &[u64]) {
        for k in keys {
            if let Ok(i) = self.rows.binary_search_by_key(k, |r| r.0) {
                self.tokens -= u64::from(self.rows.remove(i).2);
            }
        }
    }

    /// How many are remembered.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
