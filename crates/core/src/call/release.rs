//! The release of a call's slot and quota unit, and the check for a revoked key.

use super::context::{SharedCallState, StepContext};
use super::holdings::ReservedSlot;
use super::io::{Effect, Effects, Wakeup};
use super::state::{CallRoute, CallState, QuotaGranted};
use crate::config::RevocationPolicy;

impl CallRoute {
    /// Whether the response of this call is aborted when its key is revoked.
    #[must_use]
    pub fn aborts_on_revocation(&self) -> bool {
        self.tenant.revocation_policy.unwrap_or(self.matched.revocation_policy) == RevocationPolicy::Abort
    }

    /// Whether the key is revoked and the response must be aborted now.
    #[must_use]
    pub fn is_revoked(&self, context: &StepContext) -> bool {
        self.aborts_on_revocation() && context.view.config.tenant_of_key(&self.key_hash).is_none()
    }
}

/// Delivers events to other calls.
pub(super) fn wake_calls(wakeups: Vec<Wakeup>, effects: &mut Effects) {
    effects.extend(wakeups.into_iter().map(Effect::WakeCall));
}

/// Releases a slot and assigns it to a waiting call.
pub(super) fn release_slot(slot: &ReservedSlot, context: &mut StepContext, effects: &mut Effects) {
    wake_calls(SharedCallState::release_slot(slot, context), effects);
}

/// Closes the connection to a worker and releases the slot at the worker.
pub(super) fn disconnect(slot: &ReservedSlot, context: &mut StepContext, effects: &mut Effects) {
    effects.push(Effect::CloseConnection);
    release_slot(slot, context, effects);
}

/// Cancels a call whose client disconnected: removes the call from its queue and releases what it holds.
pub(super) fn cancel(state: CallState, context: &mut StepContext, effects: &mut Effects) {
    let mut granted = match state {
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
        // The request was sent and the call may have run, so its quota unit is consumed.
        CallState::AwaitingHead(mut call) => {
            release_slot(&call.state.slot, context, effects);
            return release_suspended(&mut call.state.granted, context, effects);
        }
        CallState::Streaming(mut call) => {
            release_slot(&call.state.slot, context, effects);
            return release_suspended(&mut call.state.granted, context, effects);
        }
    };
    release_suspended(&mut granted, context, effects);
    refund_unused_unit(&granted, context, effects);
}

/// Releases the slot at the worker whose stream is idle, if the call has one.
fn release_suspended(granted: &mut QuotaGranted, context: &mut StepContext, effects: &mut Effects) {
    if let Some(suspended) = granted.suspended.take() {
        release_slot(&suspended.slot, context, effects);
    }
}

/// Refunds the quota unit unless a worker may have run the call.
pub(super) fn refund_unused_unit(granted: &QuotaGranted, context: &mut StepContext, effects: &mut Effects) {
    let tenant = &granted.request.route.tenant.name;
    // A parked unit that was recalled already belongs to the lease holder.
    let is_recalled = granted.is_unit_parked && !context.shared.slices.unpark(tenant, granted.unit.window);
    if !granted.request.attempts.is_unit_consumed && !is_recalled {
        wake_calls(context.shared.refund_unit(tenant, granted.unit, context.now), effects);
    }
}
