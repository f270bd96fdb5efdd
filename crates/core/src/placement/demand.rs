//! How often prefixes of prompts were requested lately.

use crate::base::Micros;

/// How many prefixes are remembered at most; the one requested longest ago is forgotten first.
const MAX_PREFIXES: usize = 1024;
/// After this time a request counts half, in milliseconds.
const HALF_LIFE_MS: f32 = 20_000.0;

/// How often one prefix was requested; 16 bytes.
#[derive(Clone, Copy, Debug)]
struct PrefixDemand {
    key: u64,
    /// Requests, each decayed since it was made, as of `updated_ms`.
    requests: f32,
    /// The lower 32 bits of the time in milliseconds; differences wrap.
    updated_ms: u32,
}

impl PrefixDemand {
    fn decayed(&self, now_ms: u32) -> f32 {
        self.requests * (-(now_ms.wrapping_sub(self.updated_ms) as f32) / HALF_LIFE_MS).exp2()
    }
}

/// How often prefixes of prompts were lately requested at this node, in the order of their keys.
#[derive(Clone, Debug, Default)]
pub struct PromptDemand(Vec<PrefixDemand>);

impl PromptDemand {
    /// The decayed number of requests for the prefix with this key.
    pub fn of(&self, key: u64, now: Micros) -> f32 {
        self.position(key).map_or(0.0, |index| self.0[index].decayed(wrapped_ms(now)))
    }

    /// Counts one more request.
    pub fn record(&mut self, key: u64, now: Micros) {
        let updated_ms = wrapped_ms(now);
        match self.position(key) {
            Ok(index) => {
                let requests = self.0[index].decayed(updated_ms) + 1.0;
                self.0[index] = PrefixDemand { key, requests, updated_ms };
            }
            Err(index) => {
                self.0.insert(index, PrefixDemand { key, requests: 1.0, updated_ms });
                self.limit_size();
            }
        }
    }

    fn position(&self, key: u64) -> Result<usize, usize> {
        self.0.binary_search_by_key(&key, |prefix| prefix.key)
    }

    fn limit_size(&mut self) {
        if self.0.len() > MAX_PREFIXES
            && let Some(oldest) = (0..self.0.len()).min_by_key(|index| self.0[*index].updated_ms)
        {
            self.0.remove(oldest);
        }
    }
}

/// The lower 32 bits of a time in milliseconds.
pub(super) fn wrapped_ms(now: Micros) -> u32 {
    u32::try_from((now / 1000) & 0xFFFF_FFFF).unwrap_or(0)
}
