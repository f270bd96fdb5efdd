//! The cases of a worker's response, as bytes on the connection.

use super::worker::Next;

/// The parts of a request that a worker reads.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub id: String,
    pub path: String,
    pub last_event_id: Option<u64>,
    pub content_length: usize,
}

impl Request {
    fn wants_stream(&self) -> bool {
        self.path.contains("stream") || self.path.contains("resume")
    }
}

/// The response of a worker to one request.
pub struct Reply {
    /// The bytes of each write.
    pub parts: Vec<Vec<u8>>,
    /// What the worker does next.
    pub next: Next,
    /// The worker ran the request, or it is unknown whether it did.
    pub ran: bool,
    /// The response contains a valid success for the request.
    pub is_success: bool,
}

macro_rules! response_cases {
    ($($(#[doc = $doc:literal])* $name:ident,)*) => {
        /// One case of a worker's response. The names of the variants are written in `matrix.txt`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Case { $($(#[doc = $doc])* $name,)* }

        impl Case {
            pub const ALL: &[Case] = &[$(Case::$name,)*];
        }
    };
}

response_cases! {
    /// A complete response with a length.
    Whole,
    /// A complete response in chunks.
    Chunked,
    /// A complete response in many small writes.
    Slowly,
    /// No response on an open connection.
    Silence,
    /// The beginning of a body with a length, and never the rest.
    SilenceInBody,
    /// Two copies of the response at once.
    Doubled,
    /// A complete response, directly followed by a response to no request.
    SurplusAtOnce,
    /// A complete response, directly followed by bytes that are not HTTP.
    GarbageBehind,
    /// A complete response, and a copy of it while the connection is idle.
    DoubledLater,
    /// A complete response, and bytes that are not HTTP while the connection is idle.
    GarbageLater,
    /// A complete response, and a refusal of no request while the connection is idle.
    RefusalLater,
    /// A complete response, and a close while the connection is idle.
    ClosedLater,
    /// A copy of the response to the previous request, then the response.
    BeforeFirst,
    /// A refusal of the previous request ("not run"), then the response.
    RefusalBeforeFirst,
    /// A failure of the previous request, then the response.
    FailureBeforeFirst,
    /// A success that names no request, then the response.
    NamelessFirst,
    /// A refusal that names no request ("not run"), then the response.
    NamelessRefusalFirst,
    /// A failure that names no request, then the response.
    NamelessFailureFirst,
    /// A response that names another request and its own.
    TwoNames,
    /// A success without a seal.
    Unsealed,
    /// A success that states that the request did not run.
    SuccessNotRun,
    /// Bytes that are not HTTP.
    Garbage,
    /// A close within the head.
    CutInHead,
    /// A close within a body with a length.
    CutInBody,
    /// A close within a chunk.
    CutInChunk,
    /// A close after a complete chunk and before the last chunk.
    CutBetweenChunks,
    /// A reset within a body.
    ResetInBody,
    /// A chunk with an invalid length.
    ChunkGarbage,
    /// A complete body whose end only the close marks.
    Unbounded,
    /// A body without a length, and a reset within it.
    UnboundedReset,
    /// The beginning of a body without a length, and never the rest.
    UnboundedSilence,
    /// A body whose last transfer coding is not `chunked`, so that only the close marks its end.
    OtherCoding,
    /// A truncated body with a transfer coding other than `chunked` and a length, which does not count then.
    OtherCodingAndLength,
    /// A body longer than its length.
    Longer,
    /// Two lengths that differ.
    TwoLengths,
    /// The same length twice in one header value.
    LengthTwice,
    /// An invalid length.
    LengthGarbage,
    /// A reset without a response.
    Reset,
    /// A close without a response.
    Closed,
    /// `100 Continue` before the response.
    Continue,
    /// Other responses of status 1xx before the response.
    Informational,
    /// `101 Switching Protocols` in place of the response.
    Switching,
    /// A complete response before the request body is read.
    Early,
    /// A complete response before the request body is read, and a reset.
    EarlyReset,
    /// A refusal ("not run") before the request body is read, on a connection that stays open.
    EarlyRefusal,
    /// A complete response with `Connection: close`, and a close.
    SaysClose,
    /// A complete response with `Connection: close`, and no close.
    SaysCloseStays,
    /// A complete response of HTTP/1.0.
    Old,
    /// A refusal: 503, "not run".
    Refused503,
    /// A refusal: 429, "not run".
    Refused429,
    /// A refusal: 421.
    Refused421,
    /// 503 without the statement that the request did not run.
    Says503,
    /// 429 without the statement that the request did not run.
    Says429,
    /// 408 without the statement that the request did not run.
    Says408,
    /// A failure of the worker: 500.
    Failed500,
    /// A failure at the deadline: 504.
    Failed504,
    /// A failure by the request: 404.
    Failed404,
    /// A failure that is truncated within its body.
    FailedCut,
}

/// The number of events of a stream.
const EVENT_COUNT: u64 = 3;

/// Returns the body of the response to a request, one part for each event of a stream.
pub fn body(request: &Request) -> Vec<String> {
    if !request.wants_stream() {
        return vec![format!("<answer to {}>", request.id)];
    }
    let first_event = request.last_event_id.map_or(0, |event| event + 1);
    (first_event..EVENT_COUNT).map(|event| format!("id: {event}\ndata: <answer to {}>\n\n", request.id)).collect()
}

/// Bytes that are not HTTP.
const GARBAGE: &[u8] = b"\x00\x01\x02 no answer at all\r\n\r\n";

/// A success that names no request of the test.
const STRAY: &[u8] = b"HTTP/1.1 200 OK\r\nx-call-id: nobody\r\nx-seal: nobody\r\ncontent-length: 10\r\n\r\n<a nobody>";

/// A refusal ("not run") that names no request of the test.
const STRAY_REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nx-call-id: nobody\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// Returns the head of a success up to the headers that give its length.
fn head(request: &Request, extra_headers: &str) -> String {
    let kind = if request.wants_stream() { "text/event-stream" } else { "text/plain" };
    format!("HTTP/1.1 200 OK\r\nx-call-id: {0}\r\nx-seal: {0}\r\ncontent-type: {kind}\r\n{extra_headers}", request.id)
}

/// Returns the bytes of one chunk.
fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// Returns a success with this value of `Content-Length`.
fn with_length_value(request: &Request, value: &str) -> String {
    format!("{}content-length: {value}\r\n\r\n{}", head(request, ""), body(request).concat())
}

/// Returns a success with a length.
fn with_length(request: &Request, extra_headers: &str) -> String {
    let content = body(request).concat();
    format!("{}content-length: {}\r\n\r\n{content}", head(request, extra_headers), content.len())
}

/// Returns a success whose end only the end of the connection marks.
fn without_length(request: &Request, content: &str) -> String {
    format!("{}\r\n{content}", head(request, ""))
}

/// Returns a success in chunks.
fn in_chunks(request: &Request, extra_headers: &str) -> String {
    let chunks: String = body(request).iter().map(|part| chunk(part)).collect();
    format!("{}{CHUNKED}\r\n{chunks}0\r\n\r\n", head(request, extra_headers))
}

/// Returns a response without a body; it names no request if `call_id` is empty.
fn status(code: u16, call_id: &str, extra_headers: &str) -> String {
    let names = if call_id.is_empty() { String::new() } else { format!("x-call-id: {call_id}\r\n") };
    format!("HTTP/1.1 {code} Status\r\n{names}{extra_headers}content-length: 0\r\n\r\n")
}

const NOT_RUN: &str = "x-not-run: 1\r\n";

impl Case {
    /// Returns true if the worker responds after it has read the head alone.
    pub fn is_early(self) -> bool {
        matches!(self, Case::Early | Case::EarlyReset | Case::EarlyRefusal)
    }

    /// Returns true if the request has a body that exceeds the socket buffers.
    pub fn needs_large_request(self) -> bool {
        self.is_early()
    }

    /// Returns true if the kernel decides whether the front sees the response or the reset first. Only the
    /// invariants of each call are checked then.
    pub fn is_racy(self) -> bool {
        self == Case::EarlyReset
    }

    /// Returns true if only a time-out ends the call.
    pub fn is_silent(self) -> bool {
        matches!(self, Case::Silence | Case::SilenceInBody | Case::UnboundedSilence)
    }

    /// Returns true if the worker acts once more while the connection is idle.
    pub fn has_delayed_action(self) -> bool {
        matches!(self, Case::DoubledLater | Case::GarbageLater | Case::RefusalLater | Case::ClosedLater)
    }

    /// Returns the response to `call`; `previous` is the request before on the same connection.
    pub fn response(self, call: &Request, previous: Option<&Request>) -> Reply {
        let unknown = Request { id: "stranger".into(), path: call.path.clone(), ..Request::default() };
        let other = previous.unwrap_or(&unknown);
        let full = with_length(call, "");
        let own = full.clone();
        let cut = |text: &str| text[..text.len() - 4].to_owned();
        let reply = |text: String, next| Reply { parts: vec![text.into_bytes()], next, ran: true, is_success: false };
        let ok = |text: String, next| Reply { is_success: true, ..reply(text, next) };
        let refuse = |text: String, next| Reply { ran: false, ..reply(text, next) };
        match self {
            Case::Whole => ok(full, Next::Serve),
            Case::Chunked => ok(in_chunks(call, ""), Next::Serve),
            Case::Slowly => {
                let parts = in_chunks(call, "").bytes().map(|byte| vec![byte]).collect();
                Reply { parts, ..ok(String::new(), Next::Serve) }
            }
            Case::Silence => reply(String::new(), Next::StayOpen),
            Case::SilenceInBody => reply(cut(&full), Next::StayOpen),
            Case::Doubled => ok(full + &own, Next::Serve),
            Case::SurplusAtOnce => Reply { parts: vec![[full.as_bytes(), STRAY].concat()], ..ok(own, Next::Serve) },
            Case::GarbageBehind => Reply { parts: vec![[full.as_bytes(), GARBAGE].concat()], ..ok(own, Next::Serve) },
            Case::DoubledLater => ok(full, Next::RepeatLater),
            Case::GarbageLater => ok(full, Next::SendLater(GARBAGE)),
            Case::RefusalLater => ok(full, Next::SendLater(STRAY_REFUSAL)),
            Case::ClosedLater => ok(full, Next::CloseLater),
            Case::BeforeFirst => ok(with_length(other, "") + &own, Next::Serve),
            Case::RefusalBeforeFirst => ok(status(503, &other.id, NOT_RUN) + &own, Next::Serve),
            Case::FailureBeforeFirst => ok(status(500, &other.id, "") + &own, Next::Serve),
            Case::NamelessFirst => ok(status(200, "", "x-seal: x\r\n") + &own, Next::Serve),
            Case::NamelessRefusalFirst => ok(status(503, "", NOT_RUN) + &own, Next::Serve),
            Case::NamelessFailureFirst => ok(status(404, "", "") + &own, Next::Serve),
            Case::TwoNames => ok(with_length(call, "x-call-id: another\r\n"), Next::Serve),
            Case::Unsealed => reply(full.replace(&format!("x-seal: {}\r\n", call.id), ""), Next::Serve),
            Case::SuccessNotRun => reply(with_length(call, NOT_RUN), Next::Serve),
            Case::Garbage => Reply { parts: vec![GARBAGE.to_vec()], ..reply(own, Next::Serve) },
            Case::CutInHead => reply(full[..30].to_owned(), Next::Close),
            Case::CutInBody => reply(cut(&full), Next::Close),
            Case::CutInChunk => {
                let parts = body(call);
                let first: String = parts[..parts.len().saturating_sub(1)].iter().map(|part| chunk(part)).collect();
                let last = parts.last().map(|part| cut(&chunk(part))).unwrap_or_default();
                reply(format!("{}{CHUNKED}\r\n{first}{last}", head(call, "")), Next::Close)
            }
            Case::CutBetweenChunks => {
                let first = body(call).first().map(|part| chunk(part)).unwrap_or_default();
                reply(format!("{}{CHUNKED}\r\n{first}", head(call, "")), Next::Close)
            }
            Case::ResetInBody => reply(cut(&full), Next::Reset),
            Case::ChunkGarbage => {
                let first = body(call).first().map(|part| chunk(part)).unwrap_or_default();
                reply(format!("{}{CHUNKED}\r\n{first}zz\r\nwhat\r\n0\r\n\r\n", head(call, "")), Next::Serve)
            }
            Case::Unbounded => ok(without_length(call, &body(call).concat()), Next::Close),
            Case::UnboundedReset => reply(without_length(call, &cut(&body(call).concat())), Next::Reset),
            Case::UnboundedSilence => reply(without_length(call, &cut(&body(call).concat())), Next::StayOpen),
            Case::OtherCoding => {
                let coding = "transfer-encoding: chunked, gzip\r\n";
                reply(format!("{}{coding}\r\n{}", head(call, ""), body(call).concat()), Next::Close)
            }
            Case::OtherCodingAndLength => {
                let (text, coding) = (body(call).concat(), "transfer-encoding: gzip\r\n");
                let raw = format!("{}{coding}content-length: {}\r\n\r\n{}", head(call, ""), text.len(), cut(&text));
                reply(raw, Next::Close)
            }
            Case::Longer => ok(full + " and more", Next::Serve),
            Case::TwoLengths => reply(with_length(call, "content-length: 3\r\n"), Next::Serve),
            Case::LengthTwice => {
                let text = body(call).concat();
                ok(format!("{}content-length: {1}, {1}\r\n\r\n{text}", head(call, ""), text.len()), Next::Serve)
            }
            Case::LengthGarbage => reply(with_length_value(call, "many"), Next::Serve),
            Case::Reset => reply(String::new(), Next::Reset),
            Case::Closed => reply(String::new(), Next::Close),
            Case::Continue => ok("HTTP/1.1 100 Continue\r\n\r\n".to_owned() + &own, Next::Serve),
            Case::Informational => {
                let text = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nx-call-id: another\r\n\r\n";
                ok(text.to_owned() + &own, Next::Serve)
            }
            Case::Switching => {
                let raw = format!("HTTP/1.1 101 Switching\r\nx-call-id: {0}\r\nx-seal: {0}\r\nupgrade: x\r\n", call.id);
                reply(raw + "connection: upgrade\r\n\r\nwhatever", Next::Serve)
            }
            Case::Early => ok(full, Next::StayOpen),
            Case::EarlyReset => ok(full, Next::Reset),
            Case::EarlyRefusal => refuse(status(503, &call.id, NOT_RUN), Next::StayOpen),
            Case::SaysClose => ok(with_length(call, "connection: close\r\n"), Next::Close),
            Case::SaysCloseStays => ok(with_length(call, "connection: close\r\n"), Next::Serve),
            Case::Old => ok(full.replace("HTTP/1.1", "HTTP/1.0"), Next::Close),
            Case::Refused503 => refuse(status(503, &call.id, NOT_RUN), Next::Serve),
            Case::Refused429 => refuse(status(429, &call.id, NOT_RUN), Next::Serve),
            Case::Refused421 => refuse(status(421, &call.id, ""), Next::Serve),
            Case::Says503 => reply(status(503, &call.id, ""), Next::Serve),
            Case::Says429 => reply(status(429, &call.id, ""), Next::Serve),
            Case::Says408 => reply(status(408, &call.id, ""), Next::Serve),
            Case::Failed500 => reply(status(500, &call.id, "x-seal: x\r\n"), Next::Serve),
            Case::Failed504 => reply(status(504, &call.id, "x-seal: x\r\n"), Next::Serve),
            Case::Failed404 => reply(status(404, &call.id, "x-seal: x\r\n"), Next::Serve),
            Case::FailedCut => {
                reply(status(500, &call.id, "x-seal: x\r\n").replace("length: 0", "length: 9") + "half", Next::Close)
            }
        }
    }
}
