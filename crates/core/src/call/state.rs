use super::holdings::{QuotaUnit, ReservedSlot};
use super::io::{RequestHead, ResponseHead};
use crate::base::{Micros, SEC};
use crate::config::{Match, Tenant};
use crate::node::View;
use crate::placement::{PlacementTable, PromptRequest};
use crate::retry::Execution;
use crate::stream::EventSplitter;
use std::sync::Arc;

/// A call and how far it has come: each filter takes one state and gives the next.
#[derive(Debug)]
pub struct Call<S> {
    pub id: u64,
    pub received_at: Micros,
    /// The picture that this call began with.
    pub view: Arc<View>,
    pub head: RequestHead,
    /// Since when it waits for what another call looks up.
    pub lookup_since: Option<Micros>,
    pub state: S,
}

/// Its head was read.
#[derive(Debug)]
pub struct Received;

/// Its key is a tenant's.
#[derive(Debug)]
pub struct Authenticated {
    pub key: String,
    pub tenant: Arc<Tenant>,
}

/// A match says what becomes of it; its body is read.
#[derive(Debug)]
pub struct Routed {
    pub route: CallRoute,
}

/// Its body was read and says which prefix it shares; it needs a unit.
#[derive(Debug)]
pub struct BodyRead {
    pub route: CallRoute,
    pub prefix_hash: u64,
    /// What it asks of an engine, where its head says so.
    pub prompt: Option<Arc<PromptRequest>>,
    pub attempts: Attempts,
    /// The units of its tenant's quota that it takes.
    pub units: u32,
}

/// Its tenant's quota has room for it; it needs a place.
#[derive(Debug)]
pub struct QuotaGranted {
    pub request: BodyRead,
    pub unit: QuotaUnit,
    /// It waits for a place, and its unit is given back if the holder recalls what is idle.
    pub unit_is_parked: bool,
    /// Until when it may wait for a place.
    pub slot_deadline: Micros,
    pub stream: Option<ResponseStream>,
}

/// It has a place, and a connection to the worker is opened.
#[derive(Debug)]
pub struct Connecting {
    pub granted: QuotaGranted,
    pub slot: ReservedSlot,
    pub since: Micros,
}

/// It was sent; only the worker's word says that it did not run.
#[derive(Debug)]
pub struct AwaitingHead {
    pub granted: QuotaGranted,
    pub slot: ReservedSlot,
    pub since: Micros,
}

/// A worker's response goes downstream.
#[derive(Debug)]
pub struct Streaming {
    pub granted: QuotaGranted,
    pub slot: ReservedSlot,
    pub stream: ResponseStream,
}

#[derive(Clone, Debug)]
pub struct CallRoute {
    pub key_hash: String,
    pub tenant: Arc<Tenant>,
    pub matched: Arc<Match>,
    /// The pool that this call was drawn for.
    pub pool: String,
    /// When nobody waits for it any more.
    pub deadline: Micros,
}

/// What the tries until now came to.
#[derive(Clone, Debug)]
pub struct Attempts {
    /// The workers that are not tried again.
    pub excluded: Vec<String>,
    /// Those of them that only had no room by their own word: they did not run the call.
    pub declined: Vec<String>,
    pub sent: u32,
    /// The last one was not written, so that the same one is made anew.
    pub is_resend: bool,
    pub execution: Execution,
    /// The unit was used: some worker may have run the call.
    pub unit_used: bool,
}

impl Attempts {
    /// Where no worker is left to try, those that only had no room may be tried again: the
    /// call waits for a place there. None of them ran it, and none counts as free again before
    /// an own call there ends or it reports anew (an engine: before its pause is over).
    pub(super) fn readmit_declined(&mut self, table: &PlacementTable) {
        if !self.declined.is_empty() && table.endpoints.iter().all(|p| self.excluded.contains(&p.worker_id)) {
            let full = std::mem::take(&mut self.declined);
            self.excluded.retain(|worker_id| !full.contains(worker_id));
        }
    }
}

/// The part of a response that lasts over several workers.
#[derive(Clone, Debug)]
pub struct ResponseStream {
    pub head: ResponseHead,
    /// Only streams of events are cut into pieces.
    pub events: Option<EventSplitter>,
    pub has_forwarded: bool,
    /// This worker gave a first piece.
    pub has_first_chunk: bool,
    /// Where this worker took it up; nobody takes it up there again.
    pub resumed_after: Option<u64>,
    pub idle_deadline: Micros,
}

impl Call<BodyRead> {
    /// Until when it waits for a unit: the last quarter of its wait is kept for a place.
    pub fn unit_deadline(&self) -> Micros {
        self.received_at + self.state.route.slot_patience() / 4 * 3
    }
}

impl<S> Call<S> {
    pub fn map_state<T>(self, f: impl FnOnce(S) -> T) -> Call<T> {
        let Call { id: n, received_at: at, view, head, lookup_since: since, state } = self;
        Call { id: n, received_at: at, view, head, lookup_since: since, state: f(state) }
    }
}

/// How far a call has come, whatever its type.
#[derive(Debug)]
pub enum CallState {
    Received(Call<Received>),
    Routed(Call<Routed>),
    BodyRead(Call<BodyRead>),
    QuotaGranted(Call<QuotaGranted>),
    Connecting(Call<Connecting>),
    AwaitingHead(Call<AwaitingHead>),
    Streaming(Call<Streaming>),
    Finished,
}

/// How long a stream that can be taken up elsewhere may be silent, at the least.
const SILENCE: Micros = SEC;

impl CallRoute {
    /// How long it may wait for a place: a refusal leaves time for another try within the aim.
    pub fn slot_patience(&self) -> Micros {
        if self.matched.latency_target == 0 {
            self.matched.queue_timeout
        } else {
            self.matched.queue_timeout.min(self.matched.latency_target / 4)
        }
    }

    /// How long its response may be silent: one that goes on elsewhere need not wait for long.
    pub fn stream_idle_timeout(&self) -> Micros {
        let m = &self.matched;
        if m.max_stream_gap > 0 && m.resumable {
            m.idle_timeout.min((4 * m.max_stream_gap).max(SILENCE))
        } else {
            m.idle_timeout
        }
    }

    /// When a try that was sent at `since` and had no head so far is given up.
    pub fn head_deadline(&self, since: Micros) -> Micros {
        (since + self.matched.first_byte_timeout).min(self.deadline)
    }

    /// What the worker is told of its urgency.
    pub fn urgency(&self) -> Option<u8> {
        self.tenant.urgency.or(self.matched.urgency)
    }
}
