//! The phases of a call as types, from its head to the last byte of its response.
//!
//! Each step consumes the call in one phase and returns it in the next, so that a quota unit or a
//! slot can be used only in the phases that hold one. [`CallState`] is the sum of all phases.

use super::abort::AbortCause;
use super::holdings::{QuotaUnit, ReservedSlot};
use super::io::{RequestHead, ResponseHead};
use crate::base::{Micros, SEC};
use crate::config::{Match, Tenant};
use crate::node::View;
use crate::placement::{PlacementTable, PromptRequest};
use crate::retry::Execution;
use crate::stream::EventSplitter;
use std::sync::Arc;

/// The minimum time without bytes after which a stream that can be resumed is requested at another worker, in
/// microseconds.
const MIN_FAILOVER_TIMEOUT: Micros = SEC;

/// That time as a multiple of the largest gap allowed between the events of the stream.
const FAILOVER_GAP_MULTIPLIER: u64 = 4;

/// One call in the phase `S`.
#[derive(Debug)]
pub struct Call<S> {
    /// The ID of the call within this process.
    pub id: u64,
    /// The time at which the head of the request was read, in microseconds.
    pub received_at: Micros,
    /// The snapshot of configuration and workers that the call was admitted with.
    pub view: Arc<View>,
    /// The head of the request.
    pub head: RequestHead,
    /// The time since which the call waits for a cache fetch of another call, in microseconds; `None`
    /// while it does not wait for one.
    pub lookup_since: Option<Micros>,
    /// The data and resources that exist only in this phase.
    pub state: S,
}

/// The phase in which only the head of the request was read.
#[derive(Debug)]
pub struct Received;

/// The phase in which the tenant is known.
#[derive(Debug)]
pub struct Authenticated {
    /// The SHA-256 hash of the API key in hexadecimal; empty without a known key.
    pub key_hash: String,
    /// The tenant that owns the key, or the anonymous tenant.
    pub tenant: Arc<Tenant>,
}

/// The phase in which the match and the pool are chosen and the body is being read.
#[derive(Debug)]
pub struct Routed {
    /// The route of the call and its tenant.
    pub route: CallRoute,
}

/// The phase in which the body was read and the call needs units of its tenant's quota.
#[derive(Debug)]
pub struct BodyRead {
    /// The route of the call and its tenant.
    pub route: CallRoute,
    /// The hash of the prompt prefix, by which calls with a common prefix share a worker.
    pub prefix_hash: u64,
    /// What the call requires of an engine, if its match describes prompts by parts.
    pub prompt: Option<Arc<PromptRequest>>,
    /// The attempts made so far.
    pub attempts: Attempts,
    /// The number of units of the tenant's quota that the call needs.
    pub units: u32,
}

/// The phase in which the call holds its quota unit and needs a slot at a worker.
#[derive(Debug)]
pub struct QuotaGranted {
    /// The request and its attempts so far.
    pub request: BodyRead,
    /// The quota unit that the call holds.
    pub unit: QuotaUnit,
    /// True while the call waits for a slot and the lease holder may recall its unit.
    pub is_unit_parked: bool,
    /// The end of the wait for a slot, in microseconds.
    pub slot_deadline: Micros,
    /// The response so far, if a worker's stream broke or is idle and is to be resumed at another worker.
    pub stream: Option<ResponseStream>,
    /// The response of the worker whose stream is idle, until another worker has continued the stream.
    pub suspended: Option<Box<SuspendedStream>>,
}

/// The response of a worker whose stream is idle. The connection to this worker stays open, and its next bytes end the
/// attempt at another worker.
#[derive(Debug)]
pub struct SuspendedStream {
    /// The slot at the worker.
    pub slot: ReservedSlot,
    /// The response so far.
    pub stream: ResponseStream,
}

/// The phase in which the call holds a slot and the connection to its worker is being opened.
#[derive(Debug)]
pub struct Connecting {
    /// The request with its quota unit.
    pub granted: QuotaGranted,
    /// The slot at the worker.
    pub slot: ReservedSlot,
    /// The time at which opening the connection began, in microseconds.
    pub since: Micros,
}

/// The phase after the request was sent. From here on only the worker can state that the call did
/// not run.
#[derive(Debug)]
pub struct AwaitingHead {
    /// The request with its quota unit.
    pub granted: QuotaGranted,
    /// The slot at the worker.
    pub slot: ReservedSlot,
    /// The time at which the request was sent, in microseconds.
    pub since: Micros,
}

/// The phase in which a worker's response is being forwarded to the client.
#[derive(Debug)]
pub struct Streaming {
    /// The request with its quota unit.
    pub granted: QuotaGranted,
    /// The slot at the worker.
    pub slot: ReservedSlot,
    /// The response so far.
    pub stream: ResponseStream,
}

/// The tenant, the match, the pool and the deadline of a call.
#[derive(Clone, Debug)]
pub struct CallRoute {
    /// The SHA-256 hash of the API key in hexadecimal; empty without a known key.
    pub key_hash: String,
    /// The tenant whose quota the call uses.
    pub tenant: Arc<Tenant>,
    /// The match that selected the call.
    pub matched: Arc<Match>,
    /// The pool that was chosen for this call by the weights of its match.
    pub pool: String,
    /// The deadline of the client, in microseconds; `Micros::MAX` if the head has none.
    pub deadline: Micros,
}

/// The attempts that one call has made.
#[derive(Clone, Debug)]
pub struct Attempts {
    /// The IDs of the workers that are not tried again.
    pub excluded: Vec<String>,
    /// The workers among `excluded` that declined for lack of capacity and did not run the call.
    pub declined: Vec<String>,
    /// The number of attempts that count towards the limit of the match.
    pub sent: u32,
    /// True if the last attempt was not written to its connection, so that sending the request again
    /// is the same attempt.
    pub is_resend: bool,
    /// The time at which the retry budget permitted the next retry, in microseconds; `None` without an unsent permit.
    pub permitted_at: Option<Micros>,
    /// Whether a worker ran the call, as far as is known.
    pub execution: Execution,
    /// True if the quota unit is consumed, since a worker may have run the call.
    pub is_unit_consumed: bool,
}

impl Attempts {
    /// Creates the state before the first attempt.
    pub(super) fn none() -> Self {
        Attempts {
            excluded: Vec::new(),
            declined: Vec::new(),
            sent: 0,
            is_resend: false,
            permitted_at: None,
            execution: Execution::NotRun,
            is_unit_consumed: false,
        }
    }

    /// Whether the limits of the match and the client's deadline allow another attempt.
    pub(super) fn allow_another(&self, route: &CallRoute, now: Micros) -> bool {
        self.sent < route.matched.max_attempts && now < route.deadline
    }

    /// Makes the workers that declined available again once no other worker is left, so that the
    /// call waits for a slot at one of them. None of these workers ran the call. A worker that declined
    /// counts as full until one of this node's calls there ends or until the worker sends a new
    /// report (with an engine model: until its pause ends).
    pub(super) fn readmit_declined(&mut self, table: &PlacementTable) {
        let all_excluded = || table.endpoints.iter().all(|endpoint| self.excluded.contains(&endpoint.worker_id));
        if !self.declined.is_empty() && all_excluded() {
            let declined = std::mem::take(&mut self.declined);
            self.excluded.retain(|worker_id| !declined.contains(worker_id));
        }
    }
}

/// The response to the client, which may consist of the streams of several workers.
#[derive(Clone, Debug)]
pub struct ResponseStream {
    /// The head of the current worker's response.
    pub head: ResponseHead,
    /// The splitter of the body into events; `None` if the body is not an event stream.
    pub events: Option<EventSplitter>,
    /// True if part of the body was forwarded to the client.
    pub has_forwarded: bool,
    /// True if the current worker has sent a chunk.
    pub has_first_chunk: bool,
    /// The event after which the stream was last requested at another worker. The stream is not resumed a
    /// second time after the same event unless the match is idempotent.
    pub resumed_after: Option<u64>,
    /// The time at which the worker last sent bytes or the head, in microseconds.
    pub last_received_at: Micros,
    /// The time at which the stream is requested at another worker unless another chunk arrives, in microseconds.
    pub next_failover_at: Micros,
    /// What broke the stream of the worker before; `None` while no worker's stream has broken.
    pub broken_by: Option<AbortCause>,
}

impl ResponseStream {
    /// Whether an end of the body that was received now is complete. A body whose end can't be distinguished from a
    /// break, or that ends within an event, counts as broken.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.head.has_definite_end && self.events.as_ref().is_none_or(EventSplitter::is_between_events)
    }
}

impl Call<Streaming> {
    /// Returns the time at which the worker is left unless it sends bytes, in microseconds.
    #[must_use]
    pub fn idle_deadline(&self) -> Micros {
        self.state.stream.last_received_at + self.state.granted.request.route.matched.idle_timeout
    }
}

impl Call<BodyRead> {
    /// Returns the end of the wait for quota, in microseconds. The last quarter of the maximum wait
    /// is reserved for the wait for a slot.
    #[must_use]
    pub fn unit_deadline(&self) -> Micros {
        self.received_at + self.state.route.max_slot_wait() / 4 * 3
    }
}

impl<S> Call<S> {
    /// Moves the call to another phase.
    pub fn map_state<T>(self, next: impl FnOnce(S) -> T) -> Call<T> {
        let Call { id, received_at, view, head, lookup_since, state } = self;
        Call { id, received_at, view, head, lookup_since, state: next(state) }
    }
}

/// A call in any of its phases.
#[derive(Debug)]
pub enum CallState {
    /// Authenticating and routing the call.
    Received(Call<Received>),
    /// Reading the request body.
    Routed(Call<Routed>),
    /// Waiting for a quota unit.
    BodyRead(Call<BodyRead>),
    /// Waiting for a slot.
    QuotaGranted(Call<QuotaGranted>),
    /// Opening a connection to a worker.
    Connecting(Call<Connecting>),
    /// Waiting for the head of the response.
    AwaitingHead(Call<AwaitingHead>),
    /// Forwarding the response.
    Streaming(Call<Streaming>),
    /// Ended; the call holds no resources.
    Finished,
}

impl CallRoute {
    /// Returns the maximum wait for a slot, in microseconds. With a latency target the wait is at most
    /// a quarter of the target, so that a rejected client can retry within the target.
    #[must_use]
    pub fn max_slot_wait(&self) -> Micros {
        if self.matched.latency_target == 0 {
            self.matched.queue_timeout
        } else {
            self.matched.queue_timeout.min(self.matched.latency_target / 4)
        }
    }

    /// Returns the time without bytes after which a stream is requested at another worker, in microseconds. The
    /// worker is not left before the other one continues the stream, or the idle time-out of the match has passed.
    #[must_use]
    pub fn failover_timeout(&self) -> Micros {
        let Match { max_stream_pause, resumable, idle_timeout, .. } = *self.matched;
        if max_stream_pause > 0 && resumable {
            idle_timeout.min((FAILOVER_GAP_MULTIPLIER * max_stream_pause).max(MIN_FAILOVER_TIMEOUT))
        } else {
            idle_timeout
        }
    }

    /// Returns the deadline for the response head of an attempt sent at `sent_at`, in microseconds.
    #[must_use]
    pub fn head_deadline(&self, sent_at: Micros) -> Micros {
        (sent_at + self.matched.first_byte_timeout).min(self.deadline)
    }

    /// Returns the urgency that is sent to the worker: the tenant's, or else the match's.
    #[must_use]
    pub fn urgency(&self) -> Option<u8> {
        self.tenant.urgency.or(self.matched.urgency)
    }
}

impl CallState {
    /// Returns the request with its quota unit, in the phases that have them.
    pub(super) fn granted_mut(&mut self) -> Option<&mut QuotaGranted> {
        match self {
            CallState::QuotaGranted(call) => Some(&mut call.state),
            CallState::Connecting(call) => Some(&mut call.state.granted),
            CallState::AwaitingHead(call) => Some(&mut call.state.granted),
            CallState::Streaming(call) => Some(&mut call.state.granted),
            CallState::Received(_) | CallState::Routed(_) | CallState::BodyRead(_) | CallState::Finished => None,
        }
    }
}
