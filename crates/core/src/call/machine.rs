//! The state machine of one call, which dispatches each event to the step of the call's phase.
//!
//! Invariant: in any order of events, a call ends exactly once (by a local response, by the end of a
//! forwarded response or by an abort) and then holds neither a slot nor an unused quota unit.

use super::context::{SharedCallState, StepContext};
use super::io::{Effect, Effects, Event, RequestHead, Wakeup};
use super::progress::{CONNECT_TIMEOUT, Halt, StepResult};
use super::release::{cancel, wake_calls};
use super::state::{Call, CallRoute, CallState, Received};
use super::steps::{admit, attempt, placement, quota, read_body, streaming, suspended};
use crate::base::Micros;
use crate::node::View;
use std::ops::ControlFlow;
use std::sync::Arc;

/// The state machine of one call, driven by events.
#[derive(Debug)]
pub struct CallMachine {
    state: CallState,
    /// The route of the call. Set once the call is routed and kept after the call has ended, so that a
    /// late grant can be returned.
    route: Option<CallRoute>,
}

impl CallMachine {
    /// Creates the machine of a call whose head was read at `now`. `id` is unique within this process.
    #[must_use]
    pub fn new(id: u64, head: RequestHead, view: Arc<View>, now: Micros) -> Self {
        let call = Call { id, received_at: now, view, head, lookup_since: None, state: Received };
        CallMachine { state: CallState::Received(call), route: None }
    }

    /// Whether the call has ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        matches!(self.state, CallState::Finished)
    }

    /// Returns the time at which the call next needs an [`Event::Wake`], in microseconds; 0 means soon.
    #[must_use]
    pub fn next_wake(&self, view: &View) -> Option<Micros> {
        match &self.state {
            CallState::Received(call) => call.lookup_since.map(|_| 0),
            CallState::Routed(_) | CallState::Finished => None,
            CallState::BodyRead(call) if call.lookup_since.is_some() => Some(0),
            CallState::BodyRead(call) => Some(call.unit_deadline().min(view.stale_at())),
            CallState::QuotaGranted(call) if call.lookup_since.is_some() => Some(0),
            CallState::QuotaGranted(call) => Some(call.state.slot_deadline.min(view.stale_at())),
            CallState::Connecting(call) => Some(call.state.since + CONNECT_TIMEOUT),
            CallState::AwaitingHead(call) => Some(call.state.granted.request.route.head_deadline(call.state.since)),
            CallState::Streaming(call) => Some(call.state.stream.next_failover_at.min(call.idle_deadline())),
        }
    }

    /// Whether the call needs an [`Event::Wake`] when this node receives a new view.
    #[must_use]
    pub fn wants_new_view(&self) -> bool {
        match &self.state {
            CallState::BodyRead(_) | CallState::QuotaGranted(_) => true,
            CallState::AwaitingHead(_) | CallState::Streaming(_) => {
                self.route.as_ref().is_some_and(CallRoute::aborts_on_revocation)
            }
            _ => false,
        }
    }

    /// Whether a response is being forwarded. Its driver then handles bytes of the worker before timers.
    #[must_use]
    pub fn is_streaming(&self) -> bool {
        matches!(self.state, CallState::Streaming(_))
    }

    /// Returns the route of the call; `None` until the call is routed.
    #[must_use]
    pub fn route(&self) -> Option<&CallRoute> {
        self.route.as_ref()
    }

    /// Processes one event and returns the effects, to be performed in order.
    pub fn step(&mut self, event: Event, context: &mut StepContext) -> Effects {
        let mut effects = Effects::new();
        let state = std::mem::replace(&mut self.state, CallState::Finished);
        self.state = match self.dispatch(state, event, context, &mut effects) {
            ControlFlow::Continue(next) | ControlFlow::Break(Halt::Wait(next)) => next,
            ControlFlow::Break(Halt::Respond(response)) => {
                context.shared.rejections.add(response.reason);
                effects.push(Effect::Respond(response.for_client()));
                CallState::Finished
            }
        };
        if self.route.is_none()
            && let CallState::Routed(call) = &self.state
        {
            self.route = Some(call.state.route.clone());
        }
        effects
    }

    fn dispatch(
        &self,
        state: CallState,
        event: Event,
        context: &mut StepContext,
        effects: &mut Effects,
    ) -> StepResult<CallState> {
        match (state, event) {
            (CallState::Finished, event) => {
                self.return_late_grant(event, context, effects);
                ControlFlow::Continue(CallState::Finished)
            }
            (state, Event::ClientDisconnected) => {
                if !matches!(state, CallState::Received(_)) {
                    context.shared.counters.clients_gone.increment();
                }
                cancel(state, context, effects);
                ControlFlow::Continue(CallState::Finished)
            }
            (CallState::Streaming(call), event @ (Event::SlotAssigned(_) | Event::UnitGranted(_))) => {
                self.return_late_grant(event, context, effects);
                ControlFlow::Continue(CallState::Streaming(call))
            }
            (state, Event::Suspended(event)) => suspended::step(state, event, context, effects),
            (CallState::Received(call), _) => admit(call, context, effects),
            (CallState::Routed(call), Event::RequestBody(body)) => read_body(call, body, context, effects),
            (CallState::BodyRead(call), event) => quota::step(call, event, context, effects),
            (CallState::QuotaGranted(call), event) => placement::step(call, event, context, effects),
            (CallState::Connecting(call), event) => attempt::step_connecting(call, event, context, effects),
            (CallState::AwaitingHead(call), event) => attempt::step_awaiting_head(call, event, context, effects),
            (CallState::Streaming(call), event) => streaming::step(call, event, context, effects),
            (state, _) => ControlFlow::Continue(state),
        }
    }

    /// Returns a slot or a quota unit that was granted to a call that no longer waits for it.
    fn return_late_grant(&self, event: Event, context: &mut StepContext, effects: &mut Effects) {
        let Some(route) = &self.route else { return };
        let queue = match &event {
            Event::SlotAssigned(_) => route.pool.clone(),
            Event::UnitGranted(_) => route.tenant.name.clone(),
            _ => return,
        };
        wake_calls(SharedCallState::reclaim(Wakeup { call_id: 0, queue, event }, context), effects);
    }
}
