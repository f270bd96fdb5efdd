//! The phase `Routed`: derives the prefix hash and the prompt request from the body.

use super::acquire_unit;
use crate::base::{SEC, hash64};
use crate::call::context::StepContext;
use crate::call::io::{BodyError, Effects, RequestHead};
use crate::call::local_response::LocalResponse;
use crate::call::progress::{StepResult, or_respond};
use crate::call::rejections::RejectionReason;
use crate::call::state::{Attempts, BodyRead, Call, CallState, Routed};
use crate::config::{Match, TrafficKind};
use crate::json::mask_deep_levels;
use crate::placement::PromptRequest;
use bytes::Bytes;
use sonic_rs::{JsonValueTrait, LazyValue};
use std::sync::Arc;

/// The approximate size of an event of a response stream per output token, in bytes.
const BYTES_PER_OUTPUT_TOKEN: u32 = 12;

/// The urgency of a call whose tenant and match set none.
const DEFAULT_URGENCY: u8 = 5;

/// Processes the body, then requests quota for the call.
pub fn read_body(
    call: Call<Routed>,
    body: Result<Bytes, BodyError>,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    let matched = &call.state.route.matched;
    let body_size = body.as_ref().map_or(0, Bytes::len);
    let prefix_hash = body
        .map_err(|error| unusable_body(error, matched))
        .and_then(|body| prefix_hash(call.id, &call.head, &body, matched));
    let prefix_hash = or_respond(prefix_hash)? ^ hash64(matched.name.as_bytes());
    let prompt = matched.has_prompt_parts.then(|| Arc::new(prompt_request(&call, body_size, context)));
    let units = call.state.route.tenant.measure.units(call.head.tokens);
    let call =
        call.map_state(|Routed { route }| BodyRead { route, prefix_hash, prompt, attempts: Attempts::none(), units });
    acquire_unit::request_unit(call, context, effects)
}

fn prompt_request(call: &Call<Routed>, body_size: usize, context: &StepContext) -> PromptRequest {
    let (head, route) = (&call.head, &call.state.route);
    let matched = &route.matched;
    let max_output_tokens = head.tokens.1;
    let output_bytes = max_output_tokens.saturating_mul(BYTES_PER_OUTPUT_TOKEN);
    PromptRequest {
        route: hash64(matched.name.as_bytes()),
        parts: head.prompt_parts.iter().copied().collect(),
        max_output_tokens,
        latency_target: if matched.latency_target > 0 { matched.latency_target } else { SEC / 2 },
        max_stream_pause: matched.max_stream_pause,
        time_left: route.deadline.saturating_sub(context.now).min(matched.first_byte_timeout),
        urgency: route.urgency().unwrap_or(DEFAULT_URGENCY),
        bytes: u32::try_from(body_size).unwrap_or(u32::MAX).saturating_add(output_bytes),
    }
}

fn unusable_body(error: BodyError, matched: &Match) -> LocalResponse {
    match error {
        BodyError::TimedOut => {
            LocalResponse::new(RejectionReason::BodyTimedOut, "send the body without pauses of 10 s")
        }
        BodyError::Aborted => LocalResponse::new(RejectionReason::InvalidBody, "the body broke off; send it whole"),
        BodyError::TooLarge => {
            LocalResponse::new(RejectionReason::BodyTooLarge, &format!("send at most {} bytes", matched.max_body))
        }
        BodyError::NoCapacity => LocalResponse::new(
            RejectionReason::BodyBudgetExhausted,
            "too many bodies are held here at once; come back then",
        )
        .with_retry_after(SEC),
    }
}

/// Returns the hash of what the call has in common with others, so that these calls are placed at the
/// same worker.
fn prefix_hash(call_id: u64, head: &RequestHead, body: &Bytes, matched: &Match) -> Result<u64, LocalResponse> {
    if matched.has_prompt_parts {
        return Ok(shared_parts_hash(call_id, head));
    }
    if body.is_empty() && (head.method == "GET" || matched.kind == TrafficKind::Lookup) {
        let query = head.query.as_deref().unwrap_or("");
        return Ok(hash64(format!("{}?{query}", head.path).as_bytes()));
    }
    prompt_prefix_hash(body, matched)
}

/// Returns the hash of all prompt parts but the last, which belongs to this call alone. A call
/// without shared parts gets a hash of its own ID.
fn shared_parts_hash(call_id: u64, head: &RequestHead) -> u64 {
    let shared_count = head.prompt_parts.len().saturating_sub(1);
    if shared_count == 0 {
        return hash64(&call_id.to_le_bytes());
    }
    let hashes: Vec<u8> = head.prompt_parts[..shared_count].iter().flat_map(|(hash, _)| hash.to_le_bytes()).collect();
    hash64(&hashes)
}

/// Returns the hash of the first characters of the prompt in the JSON body.
fn prompt_prefix_hash(body: &Bytes, matched: &Match) -> Result<u64, LocalResponse> {
    let reject = |remedy: &str| LocalResponse::new(RejectionReason::InvalidBody, remedy);
    let bounded = mask_deep_levels(body).map_err(|_| reject("send a body of valid JSON"))?;
    sonic_rs::from_slice::<LazyValue>(&bounded).map_err(|_| reject("send a body of valid JSON"))?;
    let pointer = || matched.prompt.join("/");
    let prompt = match sonic_rs::get_from_slice(&bounded, &matched.prompt) {
        Ok(prompt) => prompt,
        Err(_) if matched.kind == TrafficKind::Lookup => return Ok(hash64(body)),
        Err(_) => return Err(reject(&format!("the prompt at /{} is missing", pointer()))),
    };
    let Some(text) = prompt.as_str() else {
        return Err(reject(&format!("the prompt at /{} must be a text", pointer())));
    };
    let end = text.char_indices().nth(matched.prefix_chars).map_or(text.len(), |(index, _)| index);
    Ok(hash64(&text.as_bytes()[..end]))
}
