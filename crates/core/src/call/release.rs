//! Letting go of what a call holds, and whether its key is still in force.

use super::context::{SharedCallState, StepContext};
use super::holdings::ReservedSlot;
use super::io::{Effect, Effects, Wakeup};
use super::state::{CallRoute, CallState, QuotaGranted};
use crate::config::OnRevoke;

impl CallRoute {
    /// Streams of this call are cut when its key is withdrawn.
    pub fn cuts_on_revoke(&self) -> bool {
        self.tenant.on_revoke.unwrap_or(self.matched.on_revoke) == OnRevoke::Cut
    }

    /// It is cut now.
    pub fn is_revoked(&self, cx: &StepContext) -> bool {
        self.cuts_on_revoke() && cx.view.config.tenant_of_key(&self.key_hash).is_none()
    }
}

/// News for other calls.
pub(super) fn wake(v: Vec<Wakeup>, out: &mut Effects) {
    out.extend(v.into_iter().map(Effect::Wake));
}

/// A place is free again, for whoever waits for it.
pub(super) fn release(s: &ReservedSlot, cx: &mut StepContext, out: &mut Effects) {
    wake(SharedCallState::release_slot(s, cx), out);
}

/// The call ends here: all that it holds or waits for is let go.
pub(super) fn abandon(at: CallState, cx: &mut StepContext, out: &mut Effects) {
    let granted = match at {
        CallState::Received(_) | CallState::Routed(_) | CallState::Finished => return,
        CallState::BodyRead(c) => {
            cx.shared.leave_quota_queue(&c.state.route.tenant.name, c.id);
            return;
        }
        CallState::QuotaGranted(c) => {
            cx.shared.leave_slot_queue(&c.state.request.route.pool, c.id);
            c.state
        }
        CallState::Connecting(c) => {
            release(&c.state.slot, cx, out);
            c.state.granted
        }
        // Whoever leaves now leaves a call behind that may have run.
        CallState::AwaitingHead(c) => {
            release(&c.state.slot, cx, out);
            return;
        }
        CallState::Streaming(c) => {
            release(&c.state.slot, cx, out);
            return;
        }
    };
    drop_unit(&granted, cx, out);
}

/// A unit that no worker can have run a call for goes back.
pub(super) fn drop_unit(granted: &QuotaGranted, cx: &mut StepContext, out: &mut Effects) {
    let tenant = &granted.request.route.tenant.name;
    // A parked unit that was recalled is the holder's again.
    let recalled = granted.unit_is_parked && !cx.shared.slices.unpark(tenant, granted.unit.window);
    if !granted.request.attempts.unit_used && !recalled {
        wake(cx.shared.refund(tenant, granted.unit, cx.now), out);
    }
}
