//! The machine of one call: which step takes an event in which state.

use super::context::{SharedCallState, StepContext};
use super::io::{Effect, Effects, Event, RequestHead, Wakeup};
use super::progress::{CONNECT, Halt};
use super::release::{abandon, wake};
use super::state::{Call, CallRoute, CallState, Received};
use super::steps::{admit, attempt, placement, quota, read, streaming};
use crate::base::Micros;
use crate::node::View;
use std::sync::Arc;

/// One call, stepped by events from its head to its end.
#[derive(Debug)]
pub struct CallMachine {
    state: CallState,
    route: Option<CallRoute>,
}

impl CallMachine {
    /// `n` names the call within this process.
    pub fn new(n: u64, head: RequestHead, view: Arc<View>, now: Micros) -> Self {
        CallMachine {
            state: CallState::Received(Call {
                id: n,
                received_at: now,
                view,
                head,
                lookup_since: None,
                state: Received,
            }),
            route: None,
        }
    }

    pub fn is_finished(&self) -> bool {
        matches!(self.state, CallState::Finished)
    }

    /// When it wants its next turn at the latest; nought is soon.
    pub fn next_wake(&self, view: &View) -> Option<Micros> {
        match &self.state {
            CallState::Received(c) => c.lookup_since.map(|_| 0),
            CallState::Routed(_) | CallState::Finished => None,
            CallState::BodyRead(c) if c.lookup_since.is_some() => Some(0),
            CallState::BodyRead(c) => Some(c.unit_deadline().min(view.stale_at())),
            CallState::QuotaGranted(c) if c.lookup_since.is_some() => Some(0),
            CallState::QuotaGranted(c) => Some(c.state.slot_deadline.min(view.stale_at())),
            CallState::Connecting(c) => Some(c.state.since + CONNECT),
            CallState::AwaitingHead(c) => Some(c.state.granted.request.route.head_deadline(c.state.since)),
            CallState::Streaming(c) => Some(c.state.stream.idle_deadline),
        }
    }

    /// Whether a new picture may change what becomes of it.
    pub fn wants_new_view(&self) -> bool {
        match &self.state {
            CallState::BodyRead(_) | CallState::QuotaGranted(_) => true,
            CallState::AwaitingHead(_) | CallState::Streaming(_) => {
                self.route.as_ref().is_some_and(CallRoute::cuts_on_revoke)
            }
            _ => false,
        }
    }

    /// Whether a worker's bytes are awaited, so that they come before any timer.
    pub fn is_streaming(&self) -> bool {
        matches!(self.state, CallState::Streaming(_))
    }

    /// The tenant and the worker, for the head that is sent.
    pub fn route(&self) -> Option<&CallRoute> {
        self.route.as_ref()
    }

    /// The one way in: an event gives the effects.
    pub fn step(&mut self, e: Event, cx: &mut StepContext) -> Effects {
        let mut out = Effects::new();
        let at = std::mem::replace(&mut self.state, CallState::Finished);
        let r = match (at, e) {
            (CallState::Finished, e) => {
                self.late(e, cx, &mut out);
                Ok(CallState::Finished)
            }
            (at, Event::ClientGone) => {
                if !matches!(at, CallState::Received(_)) {
                    cx.shared.counters.clients_gone.increment();
                }
                abandon(at, cx, &mut out);
                Ok(CallState::Finished)
            }
            (CallState::Received(c), _) => admit(c, cx, &mut out),
            (CallState::Routed(c), Event::Body(b)) => read(c, b, cx, &mut out),
            (CallState::BodyRead(c), e) => quota::step(c, e, cx, &mut out),
            (CallState::QuotaGranted(c), e) => placement::step(c, e, cx, &mut out),
            (CallState::Connecting(c), e) => attempt::opened(c, e, cx, &mut out),
            (CallState::AwaitingHead(c), e) => attempt::sent(c, e, cx, &mut out),
            (CallState::Streaming(c), e) => streaming::step(c, e, cx, &mut out),
            (at, _) => Ok(at),
        };
        self.state = match r {
            Ok(at) | Err(Halt::Wait(at)) => at,
            Err(Halt::Respond(a)) => {
                cx.shared.rejections.add(a.reason);
                out.push(Effect::Respond(a.for_client()));
                CallState::Finished
            }
        };
        if self.route.is_none()
            && let CallState::Routed(c) = &self.state
        {
            self.route = Some(c.state.route.clone());
        }
        out
    }

    /// What was given to a call that had ended goes back.
    fn late(&self, e: Event, cx: &mut StepContext, out: &mut Effects) {
        let Some(w) = &self.route else { return };
        let of = match &e {
            Event::SlotAssigned(_) => w.pool.clone(),
            Event::UnitGranted(_) => w.tenant.name.clone(),
            _ => return,
        };
        wake(SharedCallState::reclaim(Wakeup { call_id: 0, queue: of, event: e }, cx), out);
    }
}
