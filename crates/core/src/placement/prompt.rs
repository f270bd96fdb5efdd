//! The prompt of a call: its parts, their lengths, and the call's latency target and priority.

use crate::base::{MS, Micros, SEC};
use smallvec::SmallVec;

/// The prefixes of a prompt, the shortest first.
pub type SegmentChain = SmallVec<[PromptSegment; 8]>;

/// The hash of the empty prefix. All nodes must use the same value.
const CHAIN_SEED: u64 = 0x5EA7;

/// The properties of a call that determine its cost at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptRequest {
    /// The hash of the route, whose prompts are of similar lengths.
    pub route: u64,
    /// The parts of the prompt in order: the id and the number of tokens of each part.
    pub parts: SmallVec<[(u64, u32); 8]>,
    /// The most tokens that the call may generate.
    pub max_output_tokens: u32,
    /// The time to first token up to which the response has its full value, in microseconds; 500 ms by default.
    pub latency_target: Micros,
    /// The longest acceptable pause of concurrent streams, in microseconds; 300 ms by default.
    pub max_stream_pause: Micros,
    /// The time until the caller's deadline, in microseconds; 2 seconds by default.
    pub time_left: Micros,
    /// The call's priority; 0 is served first, 5 is the default.
    pub urgency: u8,
    /// The number of bytes of request and response, which cross zones if the worker is in another zone.
    pub bytes: u32,
}

/// The prefix of a prompt up to the end of one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// The hash of this part and all parts before it.
    pub key: u64,
    /// The number of tokens of this part alone.
    pub tokens: u32,
}

impl Default for PromptRequest {
    fn default() -> Self {
        PromptRequest {
            route: 0,
            parts: SmallVec::new(),
            max_output_tokens: 0,
            latency_target: 500 * MS,
            max_stream_pause: 300 * MS,
            time_left: 2 * SEC,
            urgency: 5,
            bytes: 0,
        }
    }
}

impl PromptRequest {
    /// Returns the prefixes of the prompt. A KV cache holds a part only as the continuation of all parts before
    /// it, so the key of a prefix depends on all of its parts.
    pub fn chain(&self) -> SegmentChain {
        let mut key = CHAIN_SEED;
        self.parts
            .iter()
            .map(|(id, tokens)| {
                key = splitmix64(key ^ splitmix64(*id).wrapping_add(u64::from(*tokens)));
                PromptSegment { key, tokens: *tokens }
            })
            .collect()
    }

    /// Returns the length of the whole prompt, in tokens.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
    }
}

/// Returns the key of the prefix by which workers are ranked for a prompt: all parts but the last one, which
/// belongs to the call alone. A prompt of one part is ranked by that part.
pub fn shared_prefix_key(chain: &[PromptSegment]) -> Option<u64> {
    match chain {
        [] => None,
        [only] => Some(only.key),
        [.., shared, _] => Some(shared.key),
    }
}

/// Hashes a number by one step of SplitMix64 (Steele, Lea and Flood, 2014).
pub fn splitmix64(number: u64) -> u64 {
    let mixed = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
