//! The calls of a case, all drawn from its seed before the emulation starts.

use super::case::Case;
use super::deployment::{CallKind, SizeDistribution};
use sumacvale_core::base::{MS, Micros, Rng};
use sumacvale_core::placement::PromptRequest;

/// The index of chats among the kinds of a deployment.
const CHAT: usize = 1;
/// The index of summaries among the kinds of a deployment.
const SUMMARY: usize = 2;
/// The exponent of the distribution function `x^0.7` of skewed draws, where `x` is the relative
/// position in the list; the density is proportional to `x^-0.3`.
const SKEW_CDF_EXPONENT: f64 = 0.7;
/// The number of clients per front.
const CLIENTS_PER_FRONT: u64 = 5;
/// The size of a response without its events, in bytes.
const RESPONSE_HEAD_BYTES: u32 = 800;
/// The size of an event in a response, in bytes.
const EVENT_BYTES: u32 = 65;
/// The lower bound of a drawn number before its logarithm is taken, as the logarithm of 0 is infinite.
const MIN_UNIT: f64 = 1e-12;

/// A call of a client.
#[derive(Clone, Debug)]
pub struct Call {
    /// The time at which the client sends the call, in microseconds.
    pub sent_at: Micros,
    /// The index of the kind of the call.
    pub kind: usize,
    /// The index of the front that the call is sent to.
    pub front: usize,
    /// The description of the call that placement gets.
    pub request: PromptRequest,
    /// The number of tokens of the response.
    pub output_tokens: u32,
}

impl Call {
    /// Returns the time at which the client gives up, in microseconds.
    pub fn deadline(&self) -> Micros {
        self.sent_at + self.request.time_left
    }
}

/// Draws all calls of the case, in the order of sending.
pub fn draw_calls(case: &Case) -> Vec<Call> {
    let mut rng = Rng::new(case.seed);
    let mut calls = Vec::new();
    for (index, kind) in case.deployment.kinds.iter().enumerate() {
        draw_calls_of_kind(case, index, kind, &mut rng, &mut calls);
    }
    calls.sort_by_key(|call| call.sent_at);
    calls
}

fn draw_calls_of_kind(case: &Case, index: usize, kind: &CallKind, rng: &mut Rng, calls: &mut Vec<Call>) {
    let end = case.end();
    let in_middle_third = |time: Micros| time >= end / 3 && time < end * 2 / 3;
    let mut now = 0;
    loop {
        let burst_factor = if index == CHAT && in_middle_third(now) { case.chat_burst_factor } else { 1.0 };
        now += (-draw_unit(rng).max(MIN_UNIT).ln() * 1e6 / (kind.rate * case.load_factor * burst_factor)) as Micros;
        if now >= end {
            return;
        }
        let is_hot = index == SUMMARY && in_middle_third(now) && draw_unit(rng) < case.hot_subject_fraction;
        calls.push(draw_call(case, index, kind, now, is_hot, rng));
    }
}

fn draw_call(case: &Case, index: usize, kind: &CallKind, sent_at: Micros, is_hot: bool, rng: &mut Rng) -> Call {
    let deployment = &case.deployment;
    let first_id = (index as u64 + 1) << 32;
    let subject = if is_hot { 0 } else { draw_skewed(kind.subjects, rng) };
    let unique = (rng.next_u64(), draw_size(kind.unique, rng) as u32);
    let segments = [
        shared_segment(first_id | (subject % kind.heads), kind.head, case.seed),
        shared_segment(first_id | (1 << 24) | subject, kind.subject, case.seed),
        unique,
    ];
    let tokens_per_event = deployment.engine.tokens_per_event;
    let output_tokens = (draw_size(kind.events, rng) * f64::from(tokens_per_event)) as u32;
    Call {
        sent_at,
        kind: index,
        front: draw_front(deployment.fronts as u64, rng),
        request: PromptRequest {
            route: index as u64,
            parts: segments.into_iter().collect(),
            max_output_tokens: output_tokens * 3 / 2,
            latency_target: kind.latency_target_ms * MS,
            max_stream_pause: deployment.max_stream_gap_ms * MS,
            time_left: kind.time_limit_ms * MS,
            urgency: kind.urgency,
            bytes: kind.request_bytes + RESPONSE_HEAD_BYTES + output_tokens / tokens_per_event * EVENT_BYTES,
        },
        output_tokens: output_tokens.max(1),
    }
}

/// Draws the front of a call: clients are spread unevenly, so some fronts get more calls.
fn draw_front(fronts: u64, rng: &mut Rng) -> usize {
    let clients = fronts * CLIENTS_PER_FRONT;
    (rng.next_below(clients).max(rng.next_below(clients)) / CLIENTS_PER_FRONT) as usize
}

/// Returns the key and the tokens of a shared segment, which depend on its id and the seed alone.
fn shared_segment(id: u64, size: SizeDistribution, seed: u64) -> (u64, u32) {
    let mut rng = Rng::new(id ^ seed.wrapping_mul(0x9E37));
    (rng.next_u64(), draw_size(size, &mut rng) as u32)
}

/// Draws from the uniform distribution from 0 (inclusive) to 1 (exclusive).
fn draw_unit(rng: &mut Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Draws from the standard normal distribution, by the Box-Muller transform.
fn draw_normal(rng: &mut Rng) -> f64 {
    (-2.0 * draw_unit(rng).max(MIN_UNIT).ln()).sqrt() * (std::f64::consts::TAU * draw_unit(rng)).cos()
}

/// Draws a size from a log-normal distribution.
fn draw_size(size: SizeDistribution, rng: &mut Rng) -> f64 {
    let SizeDistribution { mean, sigma, max } = size;
    ((mean.max(1.0).ln() - sigma * sigma / 2.0 + sigma * draw_normal(rng)).exp()).clamp(1.0, max.max(1.0))
}

/// Draws an index below `count`, with a higher probability for lower ones.
fn draw_skewed(count: u64, rng: &mut Rng) -> u64 {
    ((draw_unit(rng).powf(1.0 / SKEW_CDF_EXPONENT) * count as f64) as u64).min(count - 1)
}
