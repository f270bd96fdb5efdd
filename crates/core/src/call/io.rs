//! The inputs and outputs of the call machine: request and response heads, events and effects.
//!
//! The machine performs no I/O itself. Its driver (crate `sumacvale-node`) passes [`Event`]s to it and
//! performs the [`Effect`]s in the order in which the machine returns them.

use super::abort::ResponseAbort;
use super::holdings::QuotaUnit;
use super::local_response::LocalResponse;
use crate::base::Micros;
use crate::placement::Endpoint;
use crate::retry::FailurePoint;
use bytes::Bytes;
use smallvec::SmallVec;

/// The parts of a request's head that affect how the call is handled.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// The HTTP method.
    pub method: String,
    /// The host that the client addressed.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// The query without its question mark.
    pub query: Option<String>,
    /// The API key as the client sent it; cleared as soon as its hash is known.
    pub api_key: Option<String>,
    /// The number of the last event of this stream that the client received in an earlier call.
    pub last_event_id: Option<u64>,
    /// The time until the client's deadline, in microseconds.
    pub time_left: Option<Micros>,
    /// The hash and the number of tokens of each part of the prompt.
    pub prompt_parts: SmallVec<[(u64, u32); 4]>,
    /// The number of prompt tokens, and the maximum number of output tokens.
    pub tokens: (u32, u32),
}

/// The parts of a worker's response head that affect how the call continues.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The HTTP status.
    pub status: u16,
    /// True if the body is a stream of server-sent events.
    pub is_event_stream: bool,
    /// True if a complete end of the body can be distinguished from a broken connection.
    pub has_definite_end: bool,
    /// True if the worker states that it did not run the call.
    pub not_run: bool,
    /// True if the head names another call or lacks a header that every worker response has.
    pub is_foreign: bool,
    /// The number of running calls, waiting calls and slots of the worker.
    pub load: Option<(u32, u32, u32)>,
}

/// Why the body of a request is unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// Reading the body timed out.
    TimedOut,
    /// The client aborted before the end of the body.
    Aborted,
    /// The body exceeds the limit of the match.
    TooLarge,
    /// The body budget of this process is used up.
    NoCapacity,
}

/// An input of the call machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A condition that the call may wait for has changed, or a deadline passed.
    Wake,
    /// The body of the request, or why the body is unusable.
    RequestBody(Result<Bytes, BodyError>),
    /// The quota queue granted a unit.
    UnitGranted(QuotaUnit),
    /// The quota window is exhausted; its remaining time in microseconds.
    WindowSpent(Micros),
    /// The slot queue assigned a slot at this worker.
    SlotAssigned(Endpoint),
    /// A queue dropped the call; the retry-after time in microseconds.
    DroppedFromQueue(Micros),
    /// The connection to the worker is open, and nothing was written on it.
    Connected,
    /// A reused connection was closed before anything was written on it.
    NotSent,
    /// The attempt failed before a response head arrived.
    AttemptFailed(FailurePoint),
    /// The head of the worker's response arrived.
    ResponseHead(ResponseHead),
    /// A chunk of the worker's response arrived.
    ResponseChunk(Bytes),
    /// The worker's response is complete.
    ResponseEnd,
    /// The worker's response ended early.
    ResponseAborted,
    /// An event of the suspended response.
    Suspended(ResponseEvent),
    /// The client closed its connection.
    ClientDisconnected,
}

/// An event of the body of a worker's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseEvent {
    /// A chunk arrived.
    Chunk(Bytes),
    /// The response is complete.
    End,
    /// The response ended early.
    Aborted,
}

impl From<ResponseEvent> for Event {
    fn from(event: ResponseEvent) -> Self {
        match event {
            ResponseEvent::Chunk(chunk) => Event::ResponseChunk(chunk),
            ResponseEvent::End => Event::ResponseEnd,
            ResponseEvent::Aborted => Event::ResponseAborted,
        }
    }
}

/// An event for another call that waits in a queue.
#[derive(Debug)]
pub struct Wakeup {
    /// The ID of the waiting call.
    pub call_id: u64,
    /// The pool (of a slot queue) or the tenant (of a quota queue) in whose queue the call waits.
    pub queue: String,
    /// The event that the call receives.
    pub event: Event,
}

/// An output of the call machine, which its driver performs.
#[derive(Debug)]
pub enum Effect {
    /// Read the body of the request.
    ReadBody {
        /// The maximum size of the body, in bytes.
        max_bytes: usize,
    },
    /// Request quota units of a tenant from the lease holder.
    RequestUnits {
        /// The tenant's name.
        tenant: String,
        /// The number of units that calls wait for; 0 requests units in advance.
        waiting: u64,
    },
    /// Open a connection to this worker.
    Connect(Endpoint),
    /// Send the request on the open connection.
    SendRequest {
        /// The number of the event after which the worker is to resume the stream.
        last_event_id: Option<u64>,
        /// The quota window that the call counts in.
        window: u64,
        /// The deadline of the client, in microseconds.
        deadline: Micros,
        /// The urgency that is sent to the worker.
        urgency: Option<u8>,
    },
    /// Close the connection to the worker of the current attempt.
    CloseConnection,
    /// Keep the response that is being forwarded, and its connection, while another attempt is made.
    SuspendResponse,
    /// Continue with the suspended response.
    RestoreResponse,
    /// Close the connection of the suspended response.
    CloseSuspended,
    /// Forward the head of the worker's response.
    ForwardHead,
    /// Forward a chunk of the response.
    ForwardChunk(Bytes),
    /// End the response as complete.
    FinishResponse,
    /// Abort the response so that the client can tell that it is incomplete.
    AbortResponse(ResponseAbort),
    /// Send the client a response that this node generates.
    Respond(LocalResponse),
    /// Deliver an event to another call.
    WakeCall(Wakeup),
}

/// The effects of one step, in the order in which they are performed.
pub type Effects = SmallVec<[Effect; 4]>;
