//! The recent request rates of prompt prefixes.

use crate::base::Micros;

/// The most prefixes that are kept; the one requested longest ago is evicted first.
const MAX_PREFIXES: usize = 1024;
/// The half-life of a request's weight, in milliseconds.
const REQUEST_HALF_LIFE_MS: f32 = 20_000.0;

/// The decayed number of requests for one prefix; 16 bytes.
#[derive(Clone, Copy, Debug)]
struct PrefixDemand {
    key: u64,
    /// The sum of the requests' weights as of `updated_ms`, each decayed since the request was made.
    requests: f32,
    /// The lower 32 bits of the time of the last request, in milliseconds; differences wrap.
    updated_ms: u32,
}

impl PrefixDemand {
    fn decayed(&self, now_ms: u32) -> f32 {
        self.requests * (-(now_ms.wrapping_sub(self.updated_ms) as f32) / REQUEST_HALF_LIFE_MS).exp2()
    }
}

/// The decayed numbers of requests for prompt prefixes at this node. Invariant: sorted by key, at most
/// [`MAX_PREFIXES`] entries.
#[derive(Clone, Debug, Default)]
pub struct PromptDemand(Vec<PrefixDemand>);

impl PromptDemand {
    /// Returns the decayed number of requests for the prefix with this key.
    pub fn requests(&self, key: u64, now: Micros) -> f32 {
        self.position(key).map_or(0.0, |index| self.0[index].decayed(wrapped_ms(now)))
    }

    /// Counts one more request for the prefix with this key.
    pub fn record(&mut self, key: u64, now: Micros) {
        let updated_ms = wrapped_ms(now);
        match self.position(key) {
            Ok(index) => {
                let requests = self.0[index].decayed(updated_ms) + 1.0;
                self.0[index] = PrefixDemand { key, requests, updated_ms };
            }
            Err(index) => {
                self.0.insert(index, PrefixDemand { key, requests: 1.0, updated_ms });
                self.evict_excess();
            }
        }
    }

    fn position(&self, key: u64) -> Result<usize, usize> {
        self.0.binary_search_by_key(&key, |prefix| prefix.key)
    }

    fn evict_excess(&mut self) {
        if self.0.len() > MAX_PREFIXES
            && let Some(oldest) = (0..self.0.len()).min_by_key(|index| self.0[*index].updated_ms)
        {
            self.0.remove(oldest);
        }
    }
}

/// Returns the lower 32 bits of a time in milliseconds.
pub(super) fn wrapped_ms(now: Micros) -> u32 {
    u32::try_from((now / 1000) & 0xFFFF_FFFF).unwrap_or(0)
}
