//! The transition from the head of a worker's response to its body.

use crate::call::context::StepContext;
use crate::call::io::ResponseHead;
use crate::call::state::{AwaitingHead, Call, CallState, ResponseStream, Streaming};
use crate::stream::EventSplitter;

/// Whether the head begins a successful event stream.
pub(super) fn is_successful_event_stream(head: &ResponseHead) -> bool {
    head.is_event_stream && (200..300).contains(&head.status)
}

/// Starts forwarding the body of the call's first response, whose head was forwarded.
pub(super) fn start_stream(call: Call<AwaitingHead>, head: ResponseHead, context: &StepContext) -> CallState {
    let route = &call.state.granted.request.route;
    let events =
        is_successful_event_stream(&head).then(|| EventSplitter::new(route.matched.resumable, call.head.last_event_id));
    let stream = ResponseStream {
        head,
        events,
        has_forwarded: false,
        has_first_chunk: false,
        resumed_after: None,
        last_received_at: context.now,
        next_failover_at: context.now + route.failover_timeout(),
        broken_by: None,
    };
    CallState::Streaming(call.map_state(|AwaitingHead { granted, slot, .. }| Streaming { granted, slot, stream }))
}

/// Continues a broken or idle stream with the response of another worker. A suspended response is kept until the first
/// event of this one.
pub(super) fn resume_stream(call: Call<AwaitingHead>, head: ResponseHead, context: &StepContext) -> CallState {
    CallState::Streaming(call.map_state(|AwaitingHead { mut granted, slot, .. }| {
        let broken = granted.stream.take();
        let mut events = broken.as_ref().and_then(|stream| stream.events.clone());
        if let Some(events) = &mut events {
            events.resume();
        }
        let stream = ResponseStream {
            head,
            has_forwarded: broken.is_some_and(|stream| stream.has_forwarded),
            has_first_chunk: false,
            resumed_after: events.as_ref().and_then(EventSplitter::resume_point).flatten(),
            events,
            last_received_at: context.now,
            next_failover_at: context.now + granted.request.route.failover_timeout(),
            broken_by: None,
        };
        Streaming { granted, slot, stream }
    }))
}
