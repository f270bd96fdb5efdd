//! What a call asks of an engine: the parts of its prompt and their lengths.

use crate::base::{MS, Micros, SEC};
use smallvec::SmallVec;

/// The hashes of all beginnings of a prompt, the shortest first.
pub type SegmentChain = SmallVec<[PromptSegment; 8]>;

/// What a call asks of the worker that will take it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptRequest {
    /// Names the route, whose prompts are of like length.
    pub route: u64,
    /// The parts of its prompt in order: their ids and how many tokens each has.
    pub parts: SmallVec<[(u64, u32); 8]>,
    /// The most tokens it may put out.
    pub max_output_tokens: u32,
    /// When its first piece is due to be worth all.
    pub latency_target: Micros,
    /// The longest pause that streams beside it bear.
    pub max_stream_gap: Micros,
    /// How much longer the caller waits.
    pub time_left: Micros,
    /// 0 goes first.
    pub urgency: u8,
    /// What crosses between zones if its worker is in another: both ways.
    pub bytes: u32,
}

/// The beginning of a prompt up to the end of one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    pub key: u64,
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
    /// Each part is kept only as the continuation of all before it, so it is known by all of them.
    pub fn chain(&self) -> SegmentChain {
        let mut h = 0x5EA7;
        self.parts
            .iter()
            .map(|(id, n)| {
                h = mix(h ^ mix(*id).wrapping_add(u64::from(*n)));
                PromptSegment { key: h, tokens: *n }
            })
            .collect()
    }

    /// The length of the whole prompt.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|p| u64::from(p.1)).sum()
    }
}

/// What of a chain is worth being led by: the last part is the call's own.
pub fn home(c: &[PromptSegment]) -> Option<u64> {
    match c {
        [] => None,
        [x] => Some(x.key),
        [.., x, _] => Some(x.key),
    }
}

/// Spreads the bits of a number.
pub fn mix(x: u64) -> u64 {
    let z = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
