use super::shape::{Kind, Shape};
use sumacvale_core::base::{MS, Micros, Rng};
use sumacvale_core::placement::PromptRequest;

/// One call as a client sends it.
#[derive(Clone, Debug)]
pub struct Call {
    pub at: Micros,
    pub kind: usize,
    pub front: usize,
    pub ask: PromptRequest,
    pub tokens_out: u32,
}

/// From 0 up to 1.
fn unit(r: &mut Rng) -> f64 {
    (r.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

fn normal(r: &mut Rng) -> f64 {
    (-2.0 * unit(r).max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * unit(r)).cos()
}

/// A lognormal size with this mean.
fn size(d: (f64, f64, f64), r: &mut Rng) -> f64 {
    ((d.0.max(1.0).ln() - d.1 * d.1 / 2.0 + d.1 * normal(r)).exp()).clamp(1.0, d.2.max(1.0))
}

/// One of `n`, the first ones more often.
fn skewed(n: u64, r: &mut Rng) -> u64 {
    // The inverse of x^0.7, which is what a skew of 0.3 sums to.
    ((unit(r).powf(1.0 / 0.7) * n as f64) as u64).min(n - 1)
}

/// A shared part: its size belongs to it and doesn't change.
fn part(id: u64, d: (f64, f64, f64), seed: u64) -> (u64, u32) {
    let mut r = Rng::new(id ^ seed.wrapping_mul(0x9E37));
    (r.next_u64(), size(d, &mut r) as u32)
}

pub struct Plan {
    pub seconds: u64,
    pub seed: u64,
    pub load: f64,
    /// This share of the summaries is about one subject in the middle third.
    pub hot: f64,
    /// The chats are so many times more in the middle third.
    pub burst: f64,
}

pub fn calls(s: &Shape, p: &Plan) -> Vec<Call> {
    let mut r = Rng::new(p.seed);
    let mut out = Vec::new();
    let end = p.seconds * 1_000 * MS;
    let middle = |t: Micros| t >= end / 3 && t < end * 2 / 3;
    for (k, d) in s.kinds.iter().enumerate() {
        let mut t = 0;
        loop {
            let x = if k == 1 && middle(t) { p.burst } else { 1.0 };
            t += (-unit(&mut r).max(1e-12).ln() * 1e6 / (d.rate * p.load * x)) as Micros;
            if t >= end {
                break;
            }
            let hot = k == 2 && middle(t) && unit(&mut r) < p.hot;
            out.push(one(s, k, d, t, hot, p.seed, &mut r));
        }
    }
    out.sort_by_key(|c| c.at);
    out
}

fn one(s: &Shape, k: usize, d: &Kind, at: Micros, hot: bool, seed: u64, r: &mut Rng) -> Call {
    let of = (k as u64 + 1) << 32;
    let sub = if hot { 0 } else { skewed(d.subjects, r) };
    let own = (r.next_u64(), size(d.own, r) as u32);
    let parts = [part(of | (sub % d.heads), d.head, seed), part(of | (1 << 24) | sub, d.subject, seed), own];
    let out = (size(d.pieces, r) * f64::from(s.engine.stride)) as u32;
    Call {
        at,
        kind: k,
        // Clients are not spread evenly over the fronts.
        front: (r.below(s.fronts as u64 * 5).max(r.below(s.fronts as u64 * 5)) / 5) as usize,
        ask: PromptRequest {
            route: k as u64,
            parts: parts.into_iter().collect(),
            max_output_tokens: out * 3 / 2,
            latency_target: d.aim_ms * MS,
            max_stream_gap: s.gap_ms * MS,
            time_left: d.left_ms * MS,
            urgency: d.urgency,
            bytes: d.bytes + 800 + out / s.engine.stride * 65,
        },
        tokens_out: out.max(1),
    }
}
