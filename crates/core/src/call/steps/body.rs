use super::quota;
use crate::base::{SEC, hash64};
use crate::call::context::StepContext;
use crate::call::io::{BodyError, Effects, RequestHead};
use crate::call::local_response::LocalResponse;
use crate::call::progress::{Halt, StepResult};
use crate::call::rejections::RejectionReason;
use crate::call::state::{Attempts, BodyRead, Call, CallState, Routed};
use crate::config::{Kind, Match};
use crate::placement::PromptRequest;
use crate::retry::Execution;
use bytes::Bytes;
use sonic_rs::{JsonValueTrait, LazyValue};
use std::sync::Arc;

/// Takes the body in, and finds the prefix by its pointer.
pub fn read(
    c: Call<Routed>,
    b: Result<Bytes, BodyError>,
    cx: &mut StepContext,
    out: &mut Effects,
) -> StepResult<CallState> {
    let m = &c.state.route.matched;
    let size = b.as_ref().map_or(0, Bytes::len);
    let r = b.map_err(|e| bad(e, m)).and_then(|b| prefix(c.id, &c.head, &b, m));
    let hash = match r {
        Ok(h) => h ^ hash64(m.name.as_bytes()),
        Err(a) => return Err(Halt::Respond(a)),
    };
    let tries = Attempts {
        excluded: Vec::new(),
        declined: Vec::new(),
        sent: 0,
        is_resend: false,
        execution: Execution::NotRun,
        unit_used: false,
    };
    let ask = m.has_prompt_parts.then(|| Arc::new(ask(&c, size, cx)));
    let units = c.state.route.tenant.measure.units(c.head.tokens);
    quota::take(
        c.map_state(|s| BodyRead { route: s.route, prefix_hash: hash, prompt: ask, attempts: tries, units }),
        cx,
        out,
    )
}

/// A piece of a stream has some bytes of its own for each token.
const OUT: u32 = 12;

fn ask(c: &Call<Routed>, size: usize, cx: &StepContext) -> PromptRequest {
    let (h, w) = (&c.head, &c.state.route);
    PromptRequest {
        route: hash64(w.matched.name.as_bytes()),
        parts: h.prompt_parts.iter().copied().collect(),
        max_output_tokens: h.tokens.1,
        latency_target: if w.matched.latency_target > 0 { w.matched.latency_target } else { SEC / 2 },
        max_stream_gap: w.matched.max_stream_gap,
        time_left: w.deadline.saturating_sub(cx.now).min(w.matched.first_byte_timeout),
        urgency: w.urgency().unwrap_or(5),
        bytes: u32::try_from(size).unwrap_or(u32::MAX).saturating_add(h.tokens.1.saturating_mul(OUT)),
    }
}

fn bad(e: BodyError, m: &Match) -> LocalResponse {
    match e {
        BodyError::TimedOut => LocalResponse::new(RejectionReason::SlowBody, "send the body without pauses of 10 s"),
        BodyError::Aborted => LocalResponse::new(RejectionReason::Body, "the body broke off; send it whole"),
        BodyError::TooLarge => {
            LocalResponse::new(RejectionReason::TooLarge, &format!("send at most {} bytes", m.max_body))
        }
        BodyError::NoCapacity => {
            LocalResponse::new(RejectionReason::Crowded, "too many bodies are held here at once; come back then")
                .with_retry_after(SEC)
        }
    }
}

fn prefix(n: u64, h: &RequestHead, b: &Bytes, m: &Match) -> Result<u64, LocalResponse> {
    if m.has_prompt_parts {
        // The last part is the call's own.
        let own = h.prompt_parts.len().saturating_sub(1);
        if own == 0 {
            return Ok(hash64(&n.to_le_bytes()));
        }
        let k: Vec<u8> = h.prompt_parts[..own].iter().flat_map(|p| p.0.to_le_bytes()).collect();
        return Ok(hash64(&k));
    }
    if b.is_empty() && (h.method == "GET" || m.kind == Kind::Lookup) {
        return Ok(hash64(format!("{}?{}", h.path, h.query.as_deref().unwrap_or("")).as_bytes()));
    }
    let bad = |why: &str| LocalResponse::new(RejectionReason::Body, why);
    sonic_rs::from_slice::<LazyValue>(b).map_err(|_| bad("send a body of valid JSON"))?;
    match sonic_rs::get_from_slice(b, &m.prompt) {
        Ok(v) => match v.as_str() {
            Some(s) => {
                let end = s.char_indices().nth(m.prefix_chars).map_or(s.len(), |x| x.0);
                Ok(hash64(&s.as_bytes()[..end]))
            }
            None => Err(bad(&format!("the prompt at /{} must be a text", m.prompt.join("/")))),
        },
        Err(_) if m.kind == Kind::Lookup => Ok(hash64(b)),
        Err(_) => Err(bad(&format!("the prompt at /{} is missing", m.prompt.join("/")))),
    }
}
