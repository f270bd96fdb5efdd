//! Releasing what a call holds, and whether the call's key is still valid.

use super::context::{SharedCallState, StepContext};
use super::holdings::ReservedSlot;
use super::io::{Effect, Effects, Wakeup};
use super::state::{CallRoute, CallState, QuotaGranted};
use crate::config::OnRevoke;

impl CallRoute {
    /// Whether responses of this call are cut when its key is revoked.
    #[must_use]
    pub fn cuts_on_revoke(&self) -> bool {
        self.tenant.on_revoke.unwrap_or(self.matched.on_revoke) == OnRevoke::Cut
    }

    /// Whether the key is revoked and the response is to be cut now.
    #[must_use]
    pub fn is_revoked(&self, context: &StepContext) -> bool {
        self.cuts_on_revoke() && context.view.config.tenant_of_key(&self.key_hash).is_none()
    }
}

/// Passes events to other calls.
pub(super) fn wake_calls(wakeups: Vec<Wakeup>, effects: &mut Effects) {
    effects.extend(wakeups.into_iter().map(Effect::WakeCall));
}

/// Releases a slot and hands it to whoever waits for one.
pub(super) fn release_slot(slot: &ReservedSlot, context: &mut StepContext, effects: &mut Effects) {
    wake_calls(SharedCallState::release_slot(slot, context), effects);
}

/// Closes the connection to a worker and releases the slot there.
pub(super) fn disconnect(slot: &ReservedSlot, context: &mut StepContext, effects: &mut Effects) {
    effects.push(Effect::CloseConnection);
    release_slot(slot, context, effects);
}

/// Ends a call whose client has gone: it leaves its queue and releases all that it holds.
pub(super) fn abandon(state: CallState, context: &mut StepContext, effects: &mut Effects) {
    let granted = match state {
        CallState::Received(_) | CallState::Routed(_) | CallState::Finished => return,
        CallState::BodyRead(call) => {
            context.shared.leave_quota_queue(&call.state.route.tenant.name, call.id);
            return;
        }
        CallState::QuotaGranted(call) => {
            context.shared.leave_slot_queue(&call.state.request.route.pool, call.id);
            call.state
        }
        CallState::Connecting(call) => {
            release_slot(&call.state.slot, context, effects);
            call.state.granted
        }
        // The request was sent and may have run, so its quota unit is consumed.
        CallState::AwaitingHead(call) => return release_slot(&call.state.slot, context, effects),
        CallState::Streaming(call) => return release_slot(&call.state.slot, context, effects),
    };
    refund_unused_unit(&granted, context, effects);
}

/// Refunds the quota unit if no worker can have run the call.
pub(super) fn refund_unused_unit(granted: &QuotaGranted, context: &mut StepContext, effects: &mut Effects) {
    let tenant = &granted.request.route.tenant.name;
    // A parked unit that was recalled already belongs to the lease holder again.
    let recalled = granted.unit_is_parked && !context.shared.slices.unpark(tenant, granted.unit.window);
    if !granted.request.attempts.unit_used && !recalled {
        wake_calls(context.shared.refund_unit(tenant, granted.unit, context.now), effects);
    }
}
