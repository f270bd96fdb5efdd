//! Heads of calls, read by a dialect.

use crate::protocol_adapter::{HeaderNames, ProtocolAdapter};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use smallvec::SmallVec;
use sumacvale_core::base::{MS, hash64};
use sumacvale_core::call::{RequestHead, ResponseHead};
use sumacvale_core::placement::Endpoint;
use viz::{Method, Response, header, header::HeaderMap, header::HeaderValue};

const HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
];

/// What every try of one call has in common.
pub struct ClientRequest {
    pub call_id: String,
    pub method: Method,
    pub target: String,
    pub headers: HeaderMap,
}

fn text<'a>(h: &'a HeaderMap, k: &str) -> Option<&'a str> {
    h.get(k).and_then(|v| v.to_str().ok())
}

fn by<'a>(h: &'a HeaderMap, k: Option<&str>) -> Option<&'a str> {
    text(h, k?)
}

/// The id that the caller gave the call.
pub fn call_id(d: &HeaderNames, h: &HeaderMap) -> Option<String> {
    text(h, d.request_id).filter(|s| !s.is_empty() && s.len() <= 128).map(str::to_owned)
}

fn parts(s: &str) -> SmallVec<[(u64, u32); 4]> {
    s.split(',')
        .filter_map(|p| {
            let (id, n) = p.trim().split_once(':')?;
            Some((u64::from_str_radix(id, 16).unwrap_or_else(|_| hash64(id.as_bytes())), n.parse().ok()?))
        })
        .collect()
}

/// The name alone, in small letters.
fn host(s: &str) -> String {
    let digits = |p: &str| p.bytes().all(|b| b.is_ascii_digit());
    s.rsplit_once(':').filter(|x| digits(x.1)).map_or(s, |x| x.0).to_ascii_lowercase()
}

/// What the core needs to know of a call.
pub fn head(names: &HeaderNames, method: &Method, uri: &hyper::Uri, headers: &HeaderMap) -> RequestHead {
    let tokens = by(headers, names.token_counts).and_then(|s| {
        let (prompt, output) = s.split_once(',')?;
        Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
    });
    RequestHead {
        method: method.as_str().to_owned(),
        host: text(headers, "host").map(host).unwrap_or_default(),
        path: uri.path().to_owned(),
        query: uri.query().map(str::to_owned),
        api_key: text(headers, "authorization").and_then(|s| s.strip_prefix("Bearer ")).map(str::to_owned),
        last_event_id: text(headers, "last-event-id").and_then(|s| s.trim().parse().ok()),
        time_left: by(headers, names.time_left)
            .and_then(|s| s.trim().parse::<u64>().ok())
            .map(|n| n.saturating_mul(MS)),
        prompt_parts: by(headers, names.prompt_parts).map(parts).unwrap_or_default(),
        tokens: tokens.unwrap_or_default(),
    }
}

/// What is said of one attempt.
pub struct Attempt<'a> {
    pub to: &'a Endpoint,
    pub tenant: &'a str,
    pub after: Option<u64>,
    pub window: u64,
    /// Milliseconds that are left to it.
    pub left: Option<u64>,
    pub urgency: Option<u8>,
}

/// The request for one worker: the caller's, without its key, and who it is for.
pub fn request(
    adapter: &ProtocolAdapter,
    call: &ClientRequest,
    attempt: &Attempt,
    body: Bytes,
) -> Option<hyper::Request<Full<Bytes>>> {
    let names = &adapter.headers;
    let mut builder = hyper::Request::builder().method(call.method.clone()).uri(&call.target);
    builder = match call.headers.get(header::HOST).filter(|_| adapter.preserves_host) {
        Some(host) => builder.header(header::HOST, host),
        None => builder.header(header::HOST, attempt.to.addr.to_string()),
    };
    let named =
        call.headers.get(header::CONNECTION).and_then(|value| value.to_str().ok()).unwrap_or("").to_ascii_lowercase();
    let is_connection_option = |name: &str| named.split(',').any(|option| option.trim() == name);
    let ours =
        [Some(names.request_id), Some(names.tenant), names.quota_window, names.worker, names.time_left, names.urgency];
    for (name, value) in &call.headers {
        let name = name.as_str();
        let skip = HOP.contains(&name)
            || attempt.after.is_some() && name == "last-event-id"
            || ours.contains(&Some(name))
            || ["expect", "authorization"].contains(&name)
            || is_connection_option(name);
        if !skip {
            builder = builder.header(name, value);
        }
    }
    builder = builder.header(names.request_id, &call.call_id);
    if !attempt.tenant.is_empty() {
        builder = builder.header(names.tenant, attempt.tenant);
    }
    if let Some(name) = names.quota_window {
        builder = builder.header(name, attempt.window);
    }
    if let Some(name) = names.worker {
        builder = builder.header(name, &attempt.to.worker_id);
    }
    if let (Some(name), Some(left)) = (names.time_left, attempt.left) {
        builder = builder.header(name, left);
    }
    if let (Some(name), Some(urgency)) = (names.urgency, attempt.urgency) {
        builder = builder.header(name, u64::from(urgency));
    }
    if let Some(event_id) = attempt.after {
        builder = builder.header("last-event-id", event_id);
    }
    builder.body(Full::new(body)).ok()
}

fn load(s: &str) -> Option<(u32, u32, u32)> {
    let mut i = s.split(',').map(|x| x.trim().parse().ok());
    Some((i.next()??, i.next()??, i.next()??))
}

/// Whether an answer names this request and no other; none if it names none.
fn names(d: &HeaderNames, h: &HeaderMap, id: &str) -> Option<bool> {
    let mut all = h.get_all(d.request_id).iter().peekable();
    all.peek()?;
    Some(all.all(|v| v.to_str().ok() == Some(id)))
}

/// Whether the end of a body is told by its last chunk: the last coding must be that of chunks.
fn chunked(h: &HeaderMap) -> bool {
    let last = h.get_all(header::TRANSFER_ENCODING).iter().next_back().and_then(|v| v.to_str().ok());
    last.and_then(|s| s.rsplit(',').next()).is_some_and(|s| s.trim().eq_ignore_ascii_case("chunked"))
}

/// Whether the end of an answer can be told from a break.
fn bounded(method: &Method, status: u16, h: &HeaderMap) -> bool {
    let without_body = matches!(status, 204 | 304) || method == Method::HEAD;
    let length = h.contains_key(header::CONTENT_LENGTH) && !h.contains_key(header::TRANSFER_ENCODING);
    without_body || length || chunked(h)
}

/// What the head of a worker's answer comes to. Only one that names its request is believed
/// where it says that it did not run; where answers bear seals, each must name its request.
pub fn reply(d: &HeaderNames, r: &hyper::Response<Incoming>, ask: &ClientRequest) -> ResponseHead {
    let h = r.headers();
    let status = r.status().as_u16();
    let named = names(d, h, &ask.call_id);
    let success = (200..300).contains(&status);
    let anonymous = d.worker_seal.is_some() && named.is_none();
    let unsealed = success && d.worker_seal.is_some_and(|k| !h.contains_key(k));
    // The library skips the other heads of status 1xx, and nobody asked to switch protocols.
    let no_answer = status < 200;
    let says_not = text(h, d.not_run.0).is_some_and(|v| d.not_run.1.is_none_or(|w| v == w));
    // A success that says that it did not run is spoiled, whichever of the two is true.
    let contradicts = success && says_not;
    let misdirected = status == 421 && d.worker.is_some();
    ResponseHead {
        status,
        is_event_stream: text(h, "content-type").is_some_and(|s| s.starts_with("text/event-stream")),
        has_definite_end: bounded(&ask.method, status, h),
        not_run: named == Some(true) && !success && (says_not || misdirected),
        is_foreign: named == Some(false) || anonymous || unsealed || no_answer || contradicts,
        load: by(h, d.worker_load).and_then(load),
    }
}

/// The length that a response announces; where it does so more than once, the library has
/// seen to it that all are alike.
pub fn length(h: &HeaderMap) -> Option<u64> {
    text(h, "content-length").and_then(|s| s.split(',').next()?.trim().parse().ok())
}

/// The worker's head as the downstream gets it.
pub fn pass(d: &HeaderNames, p: &hyper::http::response::Parts, id: &str, to: &mut Response) {
    *to.status_mut() = p.status;
    for (k, v) in &p.headers {
        if !HOP.contains(&k.as_str()) {
            to.headers_mut().append(k, v.clone());
        }
    }
    // A stream may go on at another worker, whose part has a length of its own.
    let stream = p.headers.get(header::CONTENT_TYPE).is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
    let told = !stream && !p.headers.contains_key(header::TRANSFER_ENCODING);
    if let Some(n) = length(&p.headers).filter(|_| told) {
        to.headers_mut().insert(header::CONTENT_LENGTH, n.into());
    }
    if let Some(k) = d.execution {
        to.headers_mut().insert(k, HeaderValue::from_static("yes"));
    }
    if let Ok(v) = HeaderValue::from_str(id) {
        to.headers_mut().insert(d.request_id, v);
    }
}
