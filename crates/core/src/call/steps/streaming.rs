use super::attempt;
use crate::call::context::StepContext;
use crate::call::io::{Effect, Effects, Event, ResponseHead};
use crate::call::progress::StepResult;
use crate::call::release::release;
use crate::call::state::{AwaitingHead, Call, CallState, QuotaGranted, ResponseStream, Streaming};
use crate::stream::EventSplitter;
use bytes::Bytes;

/// The head of the response goes downstream, and the body after it.
pub fn begin(c: Call<AwaitingHead>, r: ResponseHead, cx: &StepContext) -> CallState {
    let ok = r.is_event_stream && (200..300).contains(&r.status);
    let m = &c.state.granted.request.route.matched;
    let pieces = ok.then(|| EventSplitter::new(m.resumable, c.head.last_event_id));
    let flow = ResponseStream {
        head: r,
        events: pieces,
        has_forwarded: false,
        has_first_chunk: false,
        resumed_after: None,
        idle_deadline: cx.now + c.state.granted.request.route.stream_idle_timeout(),
    };
    CallState::Streaming(c.map_state(|s| Streaming { granted: s.granted, slot: s.slot, stream: flow }))
}

/// Another worker takes the stream up.
pub fn go_on(c: Call<AwaitingHead>, r: ResponseHead, cx: &StepContext) -> CallState {
    CallState::Streaming(c.map_state(|mut s| {
        let old = s.granted.stream.take();
        let mut pieces = old.as_ref().and_then(|f| f.events.clone());
        if let Some(p) = &mut pieces {
            p.resume();
        }
        let begun = old.is_some_and(|f| f.has_forwarded);
        let start = pieces.as_ref().and_then(EventSplitter::resume_point).flatten();
        let flow = ResponseStream {
            head: r,
            events: pieces,
            has_forwarded: begun,
            has_first_chunk: false,
            resumed_after: start,
            idle_deadline: cx.now + s.granted.request.route.stream_idle_timeout(),
        };
        Streaming { granted: s.granted, slot: s.slot, stream: flow }
    }))
}

pub fn step(mut c: Call<Streaming>, e: Event, cx: &mut StepContext, out: &mut Effects) -> StepResult<CallState> {
    match e {
        Event::Chunk(b) => {
            if !std::mem::replace(&mut c.state.stream.has_first_chunk, true) {
                let s = &c.state.slot;
                cx.shared.engines.record_first_token(&s.pool, &s.endpoint.worker_id, s.ticket, cx.now);
            }
            let f = &mut c.state.stream;
            f.idle_deadline = cx.now + c.state.granted.request.route.stream_idle_timeout();
            if c.state.slot.endpoint.zone != cx.shared.zone {
                cx.shared.counters.cross_zone_bytes.add(b.len() as u64);
            }
            let v: Vec<Bytes> = match &mut f.events {
                None => vec![b],
                Some(p) => match p.push(&b) {
                    Ok(v) => v,
                    Err(_) => return abort(c, "the pieces do not follow one another", cx, out),
                },
            };
            f.has_forwarded |= !v.is_empty();
            out.extend(v.into_iter().map(Effect::ForwardChunk));
            Ok(CallState::Streaming(c))
        }
        // An end that looks like a break is one: a body that only the close ends, half a piece.
        Event::End
            if c.state.stream.head.has_definite_end
                && c.state.stream.events.as_ref().is_none_or(EventSplitter::is_between_events) =>
        {
            cx.shared.counters.served.increment();
            release(&c.state.slot, cx, out);
            out.push(Effect::End);
            Ok(CallState::Finished)
        }
        Event::End | Event::BodyAborted | Event::AttemptFailed(_) => broke(c, cx, out),
        Event::Wake if c.state.granted.request.route.is_revoked(cx) => {
            cx.shared.counters.streams_cut_on_revoke.increment();
            abort(c, "the key was withdrawn", cx, out)
        }
        Event::Wake if cx.now >= c.state.stream.idle_deadline => broke(c, cx, out),
        _ => Ok(CallState::Streaming(c)),
    }
}

fn broke(c: Call<Streaming>, cx: &mut StepContext, out: &mut Effects) -> StepResult<CallState> {
    // Nothing more is heard of this worker, least of all its end.
    out.push(Effect::Close);
    cx.shared.mark_failed(&c.state.slot);
    release(&c.state.slot, cx, out);
    let worker_id = c.state.slot.endpoint.worker_id.clone();
    let mut c = c.map_state(|f| QuotaGranted { stream: Some(f.stream), ..f.granted });
    c.state.request.attempts.excluded.push(worker_id);
    attempt::resume(c, cx, out)
}

fn abort(c: Call<Streaming>, why: &'static str, cx: &mut StepContext, out: &mut Effects) -> StepResult<CallState> {
    release(&c.state.slot, cx, out);
    cx.shared.counters.streams_aborted.increment();
    out.push(Effect::Close);
    out.push(Effect::Abort(why));
    Ok(CallState::Finished)
}
