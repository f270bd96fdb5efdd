//! The phases of a call as types, from its head to the last byte of its response.
//!
//! Each step consumes the call in one phase and returns it in the next, so that a quota unit or a
//! slot can be used only in the phases that hold one. [`CallState`] is the sum of all phases.

use super::holdings::{QuotaUnit, ReservedSlot};
use super::io::{RequestHead, ResponseHead};
use crate::base::{Micros, SEC};
use crate::config::{Match, Tenant};
use crate::node::View;
use crate::placement::{PlacementTable, PromptRequest};
use crate::retry::Execution;
use crate::stream::EventSplitter;
use std::sync::Arc;

/// The shortest idle time-out of a stream that can be resumed at another worker, in microseconds.
const MIN_RESUMABLE_IDLE_TIMEOUT: Micros = SEC;

/// A resumable stream is idle after this many of its largest allowed gaps between events.
const IDLE_STREAM_GAPS: u64 = 4;

/// One call and the phase that it has reached.
#[derive(Debug)]
pub struct Call<S> {
    /// Identifies the call within this process.
    pub id: u64,
    /// When its head was read, in microseconds.
    pub received_at: Micros,
    /// The snapshot of configuration and workers that the call was admitted with.
    pub view: Arc<View>,
    /// The head of the request.
    pub head: RequestHead,
    /// Since when the call waits for a cache fetch that another call makes.
    pub lookup_since: Option<Micros>,
    /// What only this phase knows or holds.
    pub state: S,
}

/// The head was read; nothing was decided.
#[derive(Debug)]
pub struct Received;

/// The tenant is known.
#[derive(Debug)]
pub struct Authenticated {
    /// The SHA-256 hash of the API key in hexadecimal; empty without a known key.
    pub key_hash: String,
    /// The tenant of the key, or the anonymous one.
    pub tenant: Arc<Tenant>,
}

/// A match and a pool are chosen; the body is being read.
#[derive(Debug)]
pub struct Routed {
    /// Where the call goes and on whose behalf.
    pub route: CallRoute,
}

/// The body was read; the call needs units of its tenant's quota.
#[derive(Debug)]
pub struct BodyRead {
    /// Where the call goes and on whose behalf.
    pub route: CallRoute,
    /// The hash of the prompt prefix, by which calls with a common prefix share a worker.
    pub prefix_hash: u64,
    /// What the call asks of an engine, if its match describes prompts by parts.
    pub prompt: Option<Arc<PromptRequest>>,
    /// The attempts made so far.
    pub attempts: Attempts,
    /// How many units of its tenant's quota the call needs.
    pub units: u32,
}

/// The call holds its quota unit and needs a slot at a worker.
#[derive(Debug)]
pub struct QuotaGranted {
    /// The request and its attempts so far.
    pub request: BodyRead,
    /// The quota unit that the call holds.
    pub unit: QuotaUnit,
    /// The unit is parked while the call waits for a slot: the lease holder may recall it.
    pub unit_is_parked: bool,
    /// Until when the call may wait for a slot, in microseconds.
    pub slot_deadline: Micros,
    /// The response so far, if a worker's stream broke and is to be resumed elsewhere.
    pub stream: Option<ResponseStream>,
}

/// The call holds a slot, and a connection to its worker is being opened.
#[derive(Debug)]
pub struct Connecting {
    /// The request with its quota unit.
    pub granted: QuotaGranted,
    /// The slot at the worker.
    pub slot: ReservedSlot,
    /// When opening the connection began, in microseconds.
    pub since: Micros,
}

/// The request was sent. From here on only the worker can state that the call did not run.
#[derive(Debug)]
pub struct AwaitingHead {
    /// The request with its quota unit.
    pub granted: QuotaGranted,
    /// The slot at the worker.
    pub slot: ReservedSlot,
    /// When the request was sent, in microseconds.
    pub since: Micros,
}

/// A worker's response is being forwarded to the client.
#[derive(Debug)]
pub struct Streaming {
    /// The request with its quota unit.
    pub granted: QuotaGranted,
    /// The slot at the worker.
    pub slot: ReservedSlot,
    /// The response so far.
    pub stream: ResponseStream,
}

/// Where a call goes, on whose behalf, and until when.
#[derive(Clone, Debug)]
pub struct CallRoute {
    /// The SHA-256 hash of the API key in hexadecimal; empty without a known key.
    pub key_hash: String,
    /// The tenant that the call counts for.
    pub tenant: Arc<Tenant>,
    /// The match that decides how the call is treated.
    pub matched: Arc<Match>,
    /// The pool that was drawn for this call by the weights of its match.
    pub pool: String,
    /// When the client stops waiting, in microseconds; `Micros::MAX` if the head does not say.
    pub deadline: Micros,
}

/// The attempts of one call so far.
#[derive(Clone, Debug)]
pub struct Attempts {
    /// The workers that are not tried again.
    pub excluded: Vec<String>,
    /// Those of `excluded` that only declined for lack of capacity and did not run the call.
    pub declined: Vec<String>,
    /// How many attempts were counted.
    pub sent: u32,
    /// The last attempt was not written to its connection, so sending it again is the same attempt.
    pub is_resend: bool,
    /// Whether a worker ran the call, as far as is known.
    pub execution: Execution,
    /// The quota unit is consumed: some worker may have run the call.
    pub unit_used: bool,
}

impl Attempts {
    /// No attempt was made yet.
    pub(super) fn none() -> Self {
        Attempts {
            excluded: Vec::new(),
            declined: Vec::new(),
            sent: 0,
            is_resend: false,
            execution: Execution::NotRun,
            unit_used: false,
        }
    }

    /// Whether the limits of the match and the client's deadline allow another attempt.
    pub(super) fn allow_another(&self, route: &CallRoute, now: Micros) -> bool {
        self.sent < route.matched.max_attempts && now < route.deadline
    }

    /// Admits the workers that only declined again once no other worker is left, so that the call
    /// waits for a slot there. None of them ran the call, and none counts as free again before one
    /// of this node's calls there ends or it reports anew (an engine: before its pause is over).
    pub(super) fn readmit_declined(&mut self, table: &PlacementTable) {
        let all_excluded = || table.endpoints.iter().all(|endpoint| self.excluded.contains(&endpoint.worker_id));
        if !self.declined.is_empty() && all_excluded() {
            let declined = std::mem::take(&mut self.declined);
            self.excluded.retain(|worker_id| !declined.contains(worker_id));
        }
    }
}

/// The response to the client, which may be put together from several workers' streams.
#[derive(Clone, Debug)]
pub struct ResponseStream {
    /// The head of the current worker's response.
    pub head: ResponseHead,
    /// Splits the body into events; `None` if the body is no event stream.
    pub events: Option<EventSplitter>,
    /// Some of the body was forwarded to the client.
    pub has_forwarded: bool,
    /// The current worker has sent a first chunk.
    pub has_first_chunk: bool,
    /// The event after which the current worker resumed the stream. The stream is not resumed a
    /// second time after the same event unless the match is idempotent.
    pub resumed_after: Option<u64>,
    /// When the stream counts as broken unless a chunk comes first, in microseconds.
    pub idle_deadline: Micros,
}

impl Call<BodyRead> {
    /// Until when the call waits for quota, in microseconds: the last quarter of its patience is
    /// kept for the wait for a slot.
    #[must_use]
    pub fn unit_deadline(&self) -> Micros {
        self.received_at + self.state.route.slot_patience() / 4 * 3
    }
}

impl<S> Call<S> {
    /// The same call in another phase.
    pub fn map_state<T>(self, next: impl FnOnce(S) -> T) -> Call<T> {
        let Call { id, received_at, view, head, lookup_since, state } = self;
        Call { id, received_at, view, head, lookup_since, state: next(state) }
    }
}

/// A call in whichever phase it has reached.
#[derive(Debug)]
pub enum CallState {
    /// The head was read.
    Received(Call<Received>),
    /// The match is chosen and the body is being read.
    Routed(Call<Routed>),
    /// Waiting for quota.
    BodyRead(Call<BodyRead>),
    /// Waiting for a slot.
    QuotaGranted(Call<QuotaGranted>),
    /// Opening a connection to a worker.
    Connecting(Call<Connecting>),
    /// Waiting for the head of the response.
    AwaitingHead(Call<AwaitingHead>),
    /// Forwarding the response.
    Streaming(Call<Streaming>),
    /// The call has ended and holds nothing.
    Finished,
}

impl CallRoute {
    /// How long the call may wait for a slot, in microseconds. With a latency target this is a
    /// quarter of it, so that after a rejection the client can try again within the target.
    #[must_use]
    pub fn slot_patience(&self) -> Micros {
        if self.matched.latency_target == 0 {
            self.matched.queue_timeout
        } else {
            self.matched.queue_timeout.min(self.matched.latency_target / 4)
        }
    }

    /// How long the response may send nothing, in microseconds. It is shorter for a stream that can
    /// be resumed at another worker.
    #[must_use]
    pub fn stream_idle_timeout(&self) -> Micros {
        let Match { max_stream_gap, resumable, idle_timeout, .. } = *self.matched;
        if max_stream_gap > 0 && resumable {
            idle_timeout.min((IDLE_STREAM_GAPS * max_stream_gap).max(MIN_RESUMABLE_IDLE_TIMEOUT))
        } else {
            idle_timeout
        }
    }

    /// When an attempt that was sent at `sent_at` times out without a head, in microseconds.
    #[must_use]
    pub fn head_deadline(&self, sent_at: Micros) -> Micros {
        (sent_at + self.matched.first_byte_timeout).min(self.deadline)
    }

    /// The urgency that is sent to the worker: the tenant's, or else the match's.
    #[must_use]
    pub fn urgency(&self) -> Option<u8> {
        self.tenant.urgency.or(self.matched.urgency)
    }
}
