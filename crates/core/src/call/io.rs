use super::holdings::QuotaUnit;
use super::local_response::LocalResponse;
use crate::base::Micros;
use crate::placement::Endpoint;
use crate::retry::FailurePoint;
use bytes::Bytes;
use smallvec::SmallVec;

/// The head of a call, as far as it decides anything.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    pub method: String,
    pub host: String,
    pub path: String,
    pub query: Option<String>,
    /// The key as the caller sent it; only its hash is kept.
    pub api_key: Option<String>,
    /// The piece of a stream that the caller itself had last.
    pub last_event_id: Option<u64>,
    /// How long the caller waits.
    pub time_left: Option<Micros>,
    /// The parts of the prompt and how many tokens each has.
    pub prompt_parts: SmallVec<[(u64, u32); 4]>,
    /// The prompt's tokens, and the most that come out.
    pub tokens: (u32, u32),
}

/// What a worker's head says of its response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    /// It is a stream of events.
    pub is_event_stream: bool,
    /// Its end can be told from a break.
    pub has_definite_end: bool,
    /// The worker says that it did not run the call.
    pub not_run: bool,
    /// It names another call, or lacks what every response of a worker has.
    pub is_foreign: bool,
    /// Calls that run there, that wait there, and its slots.
    pub load: Option<(u32, u32, u32)>,
}

/// Why the body of a call can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    TimedOut,
    Aborted,
    TooLarge,
    NoCapacity,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// Something that this call may wait for has changed, or its time came.
    Wake,
    Body(Result<Bytes, BodyError>),
    /// A unit of the quota for one who waited.
    UnitGranted(QuotaUnit),
    /// The window is spent, and ends after this long.
    WindowSpent(Micros),
    /// A place for one who waited.
    SlotAssigned(Endpoint),
    /// Waiting is in vain; come again after this long.
    GiveUp(Micros),
    /// The connection to the worker stands and nothing was sent on it.
    Connected,
    /// The connection had ended before anything was written on it.
    NotSent,
    /// The try ended before a head came.
    AttemptFailed(FailurePoint),
    Head(ResponseHead),
    Chunk(Bytes),
    /// The response's proper end.
    End,
    BodyAborted,
    /// The downstream has gone.
    ClientGone,
}

/// News for another call that waits.
#[derive(Debug)]
pub struct Wakeup {
    pub call_id: u64,
    /// The pool or the tenant that was waited for.
    pub queue: String,
    pub event: Event,
}

#[derive(Debug)]
pub enum Effect {
    /// Read the body, at most so many bytes.
    ReadBody {
        max_bytes: usize,
    },
    /// The node should fetch units of this tenant.
    RequestUnits {
        tenant: String,
        waiting: u64,
    },
    Connect(Endpoint),
    /// Send the call on the open connection.
    Send {
        last_event_id: Option<u64>,
        window: u64,
        /// When nobody waits for it any more.
        deadline: Micros,
        urgency: Option<u8>,
    },
    /// Let go of the worker's connection.
    Close,
    /// Pass the worker's head on.
    ForwardHead,
    ForwardChunk(Bytes),
    /// End the response properly.
    End,
    /// End it visibly broken.
    Abort(&'static str),
    Respond(LocalResponse),
    Wake(Wakeup),
}

pub type Effects = SmallVec<[Effect; 4]>;
