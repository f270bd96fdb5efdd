//! What it costs to send a call to an engine.

use super::engine::ExpectedLoad;
use super::pool_model::PoolModel;
use super::prompt::PromptRequest;
use crate::config::PlacementWeights;

/// Of a call's worth: what a thousand tokens read again cost, and a thousand bytes
/// that cross between zones.
const REREAD: f64 = 0.1;
const CROSS: f64 = 0.003;
/// From which part of the longest pause on reading at a stretch makes streams beside it
/// late, and what of a call's worth each of them is.
const PAUSE: (f64, f64) = (0.5, 0.02);
/// By how much load is blurred: nodes that know the same don't all choose the same.
const BLUR: (f64, f64) = (0.1, 0.002);

/// The expected time to the first piece.
pub fn first(m: &ExpectedLoad, p: &PoolModel, factor: f64, slots: f64) -> f64 {
    let (base, each) = p.fit.line();
    let over = (m.active + 1.0 - slots).max(0.0);
    factor * (base + each * (m.ahead + m.unread)) + over * p.stay / slots + m.overdue
}

/// What a worker costs a call, in parts of the call's worth; `t` is the expected time to
/// the first piece and `luck` is drawn from 0 to 1.
#[allow(clippy::too_many_arguments)]
pub fn cost(
    a: &PromptRequest,
    m: &ExpectedLoad,
    p: &PoolModel,
    factor: f64,
    t: f64,
    far: bool,
    slots: f64,
    w: &PlacementWeights,
    luck: f64,
) -> f64 {
    let x = (t / a.latency_target.max(1) as f64).min(50.0);
    let late = 0.15 * x + 2.0 * (x - 0.5).max(0.0).powi(2);
    // Streams beside it pause while prompts are read: what this call adds to that.
    let each = p.fit.line().1 * factor / a.max_stream_gap.max(1) as f64;
    let pause = |n: f64| (each * n - PAUSE.0).clamp(0.0, 1.0);
    let harm = 0.1 * m.unread * p.fit.line().1 / 100_000.0 * (1.0 + m.running / 8.0)
        + PAUSE.1 * m.running * (pause(m.ahead + m.unread) - pause(m.ahead));
    let fill = m.active / slots;
    let full = 0.05 * fill + 2.0 * (fill - 0.85).max(0.0);
    let mem = match w.kv_cache_tokens {
        0 => 0.0,
        n => 4.0 * ((m.held + f64::from(a.max_output_tokens)) / n as f64 - 0.85).max(0.0),
    };
    // One that has not spoken since the last calls went there has yet to show that it lives.
    let dark = 0.02 * f64::from(m.silent.saturating_sub(2));
    let pct = |n: u32| f64::from(n) / 100.0;
    pct(w.load_spread) * ((late + harm + full + mem + dark) * (1.0 + BLUR.0 * luck) + BLUR.1 * luck)
        + pct(w.prefix_affinity) * REREAD * m.again / 1_000.0
        + if far { pct(w.zone_locality) * CROSS * f64::from(a.bytes) / 1_000.0 } else { 0.0 }
}
