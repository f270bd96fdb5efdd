//! The transitions of a stream whose worker is idle: the response is suspended while another attempt is made, and is
//! then restored, or closed once another worker has continued the stream with an event.

use crate::call::context::StepContext;
use crate::call::io::{Effect, Effects};
use crate::call::release::release_slot;
use crate::call::state::{Call, CallState, QuotaGranted, Streaming, SuspendedStream};
use std::ops::ControlFlow;

/// Suspends the response of an idle worker. The caller pushes [`Effect::SuspendResponse`].
pub(super) fn suspend(call: Call<Streaming>) -> Call<QuotaGranted> {
    call.map_state(|Streaming { granted, slot, stream }| QuotaGranted {
        stream: Some(stream.clone()),
        suspended: Some(Box::new(SuspendedStream { slot, stream })),
        ..granted
    })
}

/// Breaks with the suspended response as the current one, or continues with a call that has none.
pub(super) fn restore(
    mut call: Call<QuotaGranted>,
    context: &StepContext,
) -> ControlFlow<Call<Streaming>, Call<QuotaGranted>> {
    let Some(suspended) = call.state.suspended.take() else { return ControlFlow::Continue(call) };
    let SuspendedStream { slot, mut stream } = *suspended;
    stream.next_failover_at = context.now + call.state.request.route.failover_timeout();
    call.state.stream = None;
    ControlFlow::Break(call.map_state(|granted| Streaming { granted, slot, stream }))
}

/// Breaks with the restored response of a call whose other attempt has failed. Continues with a call that has none, or
/// whose key is revoked.
pub(super) fn restore_after_failure(
    call: Call<QuotaGranted>,
    context: &StepContext,
    effects: &mut Effects,
) -> ControlFlow<CallState, Call<QuotaGranted>> {
    if call.state.suspended.is_none() || call.state.request.route.is_revoked(context) {
        return ControlFlow::Continue(call);
    }
    match restore(call, context) {
        ControlFlow::Break(call) => {
            effects.push(Effect::RestoreResponse);
            ControlFlow::Break(CallState::Streaming(call))
        }
        ControlFlow::Continue(call) => ControlFlow::Continue(call),
    }
}

/// Closes the connection of the suspended response, if there is one, and releases its slot.
pub(super) fn close_suspended(granted: &mut QuotaGranted, context: &mut StepContext, effects: &mut Effects) {
    if let Some(suspended) = granted.suspended.take() {
        effects.push(Effect::CloseSuspended);
        release_slot(&suspended.slot, context, effects);
    }
}
