//! The calls of a case, drawn from its seed before anything runs.

use super::case::Case;
use super::deployment::{CallKind, SizeDistribution};
use sumacvale_core::base::{MS, Micros, Rng};
use sumacvale_core::placement::PromptRequest;

/// The index of chats among the kinds of a deployment.
const CHAT: usize = 1;
/// The index of summaries among the kinds of a deployment.
const SUMMARY: usize = 2;
/// Skewed draws pick the element at a share `x` of the list with a density of `x^-0.3`, whose sum
/// is `x^0.7`.
const SKEW_SUM_EXPONENT: f64 = 0.7;
/// Clients are drawn over so many times the fronts, so that some fronts get more of them.
const CLIENTS_PER_FRONT: u64 = 5;
/// Bytes of a response besides its events.
const RESPONSE_HEAD_BYTES: u32 = 800;
/// Bytes of an event in a response.
const EVENT_BYTES: u32 = 65;
/// The smallest argument of a logarithm that is drawn.
const MIN_UNIT: f64 = 1e-12;

/// One call as a client sends it.
#[derive(Clone, Debug)]
pub struct Call {
    /// When the client sends it, in microseconds.
    pub sent_at: Micros,
    /// The index of its kind.
    pub kind: usize,
    /// The index of the front that it is sent to.
    pub front: usize,
    /// What the front's placement knows of it.
    pub request: PromptRequest,
    /// Tokens of the response.
    pub output_tokens: u32,
}

impl Call {
    /// When the client gives up, in microseconds.
    pub fn deadline(&self) -> Micros {
        self.sent_at + self.request.time_left
    }
}

/// Every call of the case, in the order in which they are sent.
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
        let burst = if index == CHAT && in_middle_third(now) { case.chat_burst } else { 1.0 };
        now += (-draw_unit(rng).max(MIN_UNIT).ln() * 1e6 / (kind.rate * case.load * burst)) as Micros;
        if now >= end {
            return;
        }
        let hot = index == SUMMARY && in_middle_third(now) && draw_unit(rng) < case.hot_share;
        calls.push(draw_call(case, index, kind, now, hot, rng));
    }
}

fn draw_call(case: &Case, index: usize, kind: &CallKind, sent_at: Micros, hot: bool, rng: &mut Rng) -> Call {
    let deployment = &case.deployment;
    let first_id = (index as u64 + 1) << 32;
    let subject = if hot { 0 } else { draw_skewed(kind.subjects, rng) };
    let own = (rng.next_u64(), draw_size(kind.own, rng) as u32);
    let parts = [
        shared_part(first_id | (subject % kind.heads), kind.head, case.seed),
        shared_part(first_id | (1 << 24) | subject, kind.subject, case.seed),
        own,
    ];
    let tokens_per_event = deployment.engine.tokens_per_event;
    let output_tokens = (draw_size(kind.events, rng) * f64::from(tokens_per_event)) as u32;
    Call {
        sent_at,
        kind: index,
        front: draw_front(deployment.fronts as u64, rng),
        request: PromptRequest {
            route: index as u64,
            parts: parts.into_iter().collect(),
            max_output_tokens: output_tokens * 3 / 2,
            latency_target: kind.latency_target_ms * MS,
            max_stream_gap: deployment.max_stream_gap_ms * MS,
            time_left: kind.time_limit_ms * MS,
            urgency: kind.urgency,
            bytes: kind.request_bytes + RESPONSE_HEAD_BYTES + output_tokens / tokens_per_event * EVENT_BYTES,
        },
        output_tokens: output_tokens.max(1),
    }
}

/// Clients are not spread evenly over the fronts.
fn draw_front(fronts: u64, rng: &mut Rng) -> usize {
    let clients = fronts * CLIENTS_PER_FRONT;
    (rng.below(clients).max(rng.below(clients)) / CLIENTS_PER_FRONT) as usize
}

/// The id and the tokens of a shared part: its size depends on its id and the seed alone.
fn shared_part(id: u64, size: SizeDistribution, seed: u64) -> (u64, u32) {
    let mut rng = Rng::new(id ^ seed.wrapping_mul(0x9E37));
    (rng.next_u64(), draw_size(size, &mut rng) as u32)
}

/// From 0 up to 1, evenly.
fn draw_unit(rng: &mut Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// From the standard normal distribution (Box and Muller).
fn draw_normal(rng: &mut Rng) -> f64 {
    (-2.0 * draw_unit(rng).max(MIN_UNIT).ln()).sqrt() * (std::f64::consts::TAU * draw_unit(rng)).cos()
}

fn draw_size(size: SizeDistribution, rng: &mut Rng) -> f64 {
    let SizeDistribution { mean, sigma, max } = size;
    ((mean.max(1.0).ln() - sigma * sigma / 2.0 + sigma * draw_normal(rng)).exp()).clamp(1.0, max.max(1.0))
}

/// One of `count`, the first ones more often.
fn draw_skewed(count: u64, rng: &mut Rng) -> u64 {
    ((draw_unit(rng).powf(1.0 / SKEW_SUM_EXPONENT) * count as f64) as u64).min(count - 1)
}
