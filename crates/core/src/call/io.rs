//! What the machine of one call takes in and gives out: the heads, events and effects.
//!
//! The machine does no input or output of its own. The carrier (crate `sumacvale-node`) feeds it
//! [`Event`]s and performs the [`Effect`]s in the order in which they are listed.

use super::holdings::QuotaUnit;
use super::local_response::LocalResponse;
use crate::base::Micros;
use crate::placement::Endpoint;
use crate::retry::FailurePoint;
use bytes::Bytes;
use smallvec::SmallVec;

/// The parts of a request's head that decide anything.
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
    /// The API key as the client sent it; dropped as soon as its hash is known.
    pub api_key: Option<String>,
    /// The last event that the client itself received of this stream.
    pub last_event_id: Option<u64>,
    /// How much longer the client waits, in microseconds.
    pub time_left: Option<Micros>,
    /// The hash of each part of the prompt and how many tokens it has.
    pub prompt_parts: SmallVec<[(u64, u32); 4]>,
    /// The tokens of the prompt, and the most tokens of output.
    pub tokens: (u32, u32),
}

/// What the head of a worker's response says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The HTTP status.
    pub status: u16,
    /// The body is a stream of server-sent events.
    pub is_event_stream: bool,
    /// The end of the body can be told from a broken connection.
    pub has_definite_end: bool,
    /// The worker states that it did not run the call.
    pub not_run: bool,
    /// The head names another call, or lacks what every response of a worker carries.
    pub is_foreign: bool,
    /// The worker's running calls, waiting calls and slots.
    pub load: Option<(u32, u32, u32)>,
}

/// Why the body of a request can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It came too slowly.
    TimedOut,
    /// The client broke off before its end.
    Aborted,
    /// It exceeds the limit of the match.
    TooLarge,
    /// The body budget of this process is used up.
    NoCapacity,
}

/// What happened to a call.
#[derive(Clone, Debug)]
pub enum Event {
    /// Something that the call may wait for has changed, or a deadline passed.
    Wake,
    /// The body of the request, or why there is none.
    RequestBody(Result<Bytes, BodyError>),
    /// The quota queue granted a unit.
    UnitGranted(QuotaUnit),
    /// The quota window is spent and ends after this many microseconds.
    WindowSpent(Micros),
    /// The slot queue assigned a slot at this worker.
    SlotAssigned(Endpoint),
    /// A queue dropped the call; retry after this many microseconds.
    DroppedFromQueue(Micros),
    /// The connection to the worker is open and nothing was sent on it.
    Connected,
    /// A kept connection was closed before anything was written on it.
    NotSent,
    /// The attempt failed before a head came.
    AttemptFailed(FailurePoint),
    /// The head of the worker's response.
    ResponseHead(ResponseHead),
    /// A chunk of the worker's response.
    ResponseChunk(Bytes),
    /// The worker's response ended properly.
    ResponseEnd,
    /// The worker's response broke off.
    ResponseAborted,
    /// The client closed its connection.
    ClientDisconnected,
}

/// An event for another call, which waits in a queue.
#[derive(Debug)]
pub struct Wakeup {
    /// The call that waits.
    pub call_id: u64,
    /// The pool (slot queue) or the tenant (quota queue) in whose queue it waits.
    pub queue: String,
    /// What it gets.
    pub event: Event,
}

/// What the carrier is to do for a call.
#[derive(Debug)]
pub enum Effect {
    /// Read the body of the request.
    ReadBody {
        /// The largest body that is accepted, in bytes.
        max_bytes: usize,
    },
    /// Fetch quota units for a tenant from the lease holder.
    RequestUnits {
        /// The tenant's name.
        tenant: String,
        /// How many units are waited for; zero asks ahead of need.
        waiting: u64,
    },
    /// Open a connection to this worker.
    Connect(Endpoint),
    /// Send the request on the open connection.
    SendRequest {
        /// The event after which the worker is to resume the stream.
        last_event_id: Option<u64>,
        /// The quota window that the call counts in.
        window: u64,
        /// When the client stops waiting, in microseconds.
        deadline: Micros,
        /// The urgency that the worker is told.
        urgency: Option<u8>,
    },
    /// Close the connection to the worker.
    CloseConnection,
    /// Forward the head of the worker's response.
    ForwardHead,
    /// Forward a chunk of the response.
    ForwardChunk(Bytes),
    /// End the response properly.
    FinishResponse,
    /// Break the response off visibly, for this reason.
    AbortResponse(&'static str),
    /// Answer the client with a response of this node's own.
    Respond(LocalResponse),
    /// Pass an event to another call.
    WakeCall(Wakeup),
}

/// The effects of one step, in the order in which they are performed.
pub type Effects = SmallVec<[Effect; 4]>;
