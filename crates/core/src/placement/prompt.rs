//! What a call requests from an engine: the parts of its prompt, their lengths and its deadlines.

use crate::base::{MS, Micros, SEC};
use smallvec::SmallVec;

/// The hashes of all prefixes of a prompt, the shortest first.
pub type SegmentChain = SmallVec<[PromptSegment; 8]>;

/// The hash of the empty prefix; all nodes must use the same one.
const CHAIN_SEED: u64 = 0x5EA7;

/// What a call requests from the worker that will serve it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptRequest {
    /// The hash of the route, whose prompts are of similar lengths.
    pub route: u64,
    /// The parts of its prompt in order: the id of each and its number of tokens.
    pub parts: SmallVec<[(u64, u32); 8]>,
    /// The most tokens that it may generate.
    pub max_output_tokens: u32,
    /// Within this time to first token the response has its full value, in microseconds; 500 ms by default.
    pub latency_target: Micros,
    /// The longest pause that streams beside it bear, in microseconds; 300 ms by default.
    pub max_stream_gap: Micros,
    /// How much longer the caller waits, in microseconds; 2 seconds by default.
    pub time_left: Micros,
    /// Its rank, 0 first; 5 by default.
    pub urgency: u8,
    /// The bytes of request and response, which cross zones if its worker is in another one.
    pub bytes: u32,
}

/// The prefix of a prompt up to the end of one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// The hash of the part and of all parts before it.
    pub key: u64,
    /// The tokens of the part alone.
    pub tokens: u32,
}

impl Default for PromptRequest {
    fn default() -> Self {
        PromptRequest {
            route: 0,
            parts: SmallVec::new(),
            max_output_tokens: 0,
            latency_target: 500 * MS,
            max_stream_gap: 300 * MS,
            time_left: 2 * SEC,
            urgency: 5,
            bytes: 0,
        }
    }
}

impl PromptRequest {
    /// The prefixes of the prompt. A KV cache keeps a part only as the continuation of all parts
    /// before it, so its key depends on all of them.
    pub fn chain(&self) -> SegmentChain {
        let mut key = CHAIN_SEED;
        self.parts
            .iter()
            .map(|(id, tokens)| {
                key = mix(key ^ mix(*id).wrapping_add(u64::from(*tokens)));
                PromptSegment { key, tokens: *tokens }
            })
            .collect()
    }

    /// The length of the whole prompt, in tokens.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
    }
}

/// The key of the prefix by which the likely keepers of a prompt are found: all but its last part,
/// which is the call's own.
pub fn shared_prefix_key(chain: &[PromptSegment]) -> Option<u64> {
    match chain {
        [] => None,
        [only] => Some(only.key),
        [.., shared, _] => Some(shared.key),
    }
}

/// Spreads the bits of a number (one step of SplitMix64; Steele, Lea and Flood, 2014).
pub fn mix(number: u64) -> u64 {
    let mixed = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
