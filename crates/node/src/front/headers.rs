//! Translates the heads of requests and responses between HTTP and the core, with the header names of a
//! protocol adapter.

use crate::protocol_adapter::{HeaderNames, ProtocolAdapter};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use smallvec::SmallVec;
use sumacvale_core::base::{MS, hash64};
use sumacvale_core::call::{RequestHead, ResponseHead};
use sumacvale_core::placement::Endpoint;
use viz::{Method, Response, header, header::HeaderMap, header::HeaderValue};

/// Headers that are not forwarded: those of one hop, and `Host` and `Content-Length`, which are set anew.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
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

/// The head of a client's request, from which the request of every attempt is built.
pub struct ClientRequest {
    /// The id that the client gave the call, or else one of this node.
    pub call_id: String,
    /// The HTTP method.
    pub method: Method,
    /// The path with the query.
    pub target: String,
    /// The headers as the client sent them.
    pub headers: HeaderMap,
}

/// Returns the first value of a header as text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the first value of a header that the adapter may lack, as text.
fn optional_header_text<'a>(headers: &'a HeaderMap, name: Option<&str>) -> Option<&'a str> {
    header_text(headers, name?)
}

/// Returns the id that the client gave the call.
pub fn call_id(names: &HeaderNames, headers: &HeaderMap) -> Option<String> {
    header_text(headers, names.request_id).filter(|id| !id.is_empty() && id.len() <= 128).map(str::to_owned)
}

/// Parses the hash and the number of tokens of each prompt part. An id that is not hexadecimal is hashed; a
/// part without a number of tokens is skipped.
fn parse_prompt_parts(value: &str) -> SmallVec<[(u64, u32); 4]> {
    value
        .split(',')
        .filter_map(|part| {
            let (id, tokens) = part.trim().split_once(':')?;
            Some((u64::from_str_radix(id, 16).unwrap_or_else(|_| hash64(id.as_bytes())), tokens.parse().ok()?))
        })
        .collect()
}

/// Returns the host name without the port, in lower case.
fn normalize_host(value: &str) -> String {
    let is_port = |suffix: &str| suffix.bytes().all(|byte| byte.is_ascii_digit());
    value.rsplit_once(':').filter(|split| is_port(split.1)).map_or(value, |split| split.0).to_ascii_lowercase()
}

/// Returns what the core needs to know of a call.
pub fn request_head(names: &HeaderNames, method: &Method, uri: &hyper::Uri, headers: &HeaderMap) -> RequestHead {
    let tokens = optional_header_text(headers, names.token_counts).and_then(|value| {
        let (prompt, output) = value.split_once(',')?;
        Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
    });
    RequestHead {
        method: method.as_str().to_owned(),
        host: header_text(headers, "host").map(normalize_host).unwrap_or_default(),
        path: uri.path().to_owned(),
        query: uri.query().map(str::to_owned),
        api_key: header_text(headers, "authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .map(str::to_owned),
        last_event_id: header_text(headers, "last-event-id").and_then(|value| value.trim().parse().ok()),
        time_left: optional_header_text(headers, names.time_left)
            .and_then(|value| value.trim().parse::<u64>().ok())
            .map(|millis| millis.saturating_mul(MS)),
        prompt_parts: optional_header_text(headers, names.prompt_parts).map(parse_prompt_parts).unwrap_or_default(),
        tokens: tokens.unwrap_or_default(),
    }
}

/// What the headers of one attempt carry beside those of the client's request.
pub struct Attempt<'a> {
    /// The worker that the attempt is sent to.
    pub endpoint: &'a Endpoint,
    /// The tenant of the call; empty if it has none.
    pub tenant: &'a str,
    /// The last event that the client received, where the attempt resumes a stream.
    pub resume_after: Option<u64>,
    /// The number of the tenant's quota window that the call counts in.
    pub window: u64,
    /// The time until the deadline of the call, in milliseconds.
    pub time_left_ms: Option<u64>,
    /// The urgency of the call.
    pub urgency: Option<u8>,
}

/// Returns the request for one worker: the client's request without its API key, with the headers of the
/// attempt. `None` if a header value is invalid.
pub fn upstream_request(
    adapter: &ProtocolAdapter,
    client_request: &ClientRequest,
    attempt: &Attempt,
    body: Bytes,
) -> Option<hyper::Request<Full<Bytes>>> {
    let names = &adapter.headers;
    let mut builder = hyper::Request::builder().method(client_request.method.clone()).uri(&client_request.target);
    builder = match client_request.headers.get(header::HOST).filter(|_| adapter.preserves_host) {
        Some(host) => builder.header(header::HOST, host),
        None => builder.header(header::HOST, attempt.endpoint.addr.to_string()),
    };
    let connection_options = client_request
        .headers
        .get(header::CONNECTION)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_ascii_lowercase();
    let is_connection_option = |name: &str| connection_options.split(',').any(|option| option.trim() == name);
    let reserved_names =
        [Some(names.request_id), Some(names.tenant), names.quota_window, names.worker, names.time_left, names.urgency];
    for (name, value) in &client_request.headers {
        let name = name.as_str();
        let is_skipped = HOP_BY_HOP_HEADERS.contains(&name)
            || attempt.resume_after.is_some() && name == "last-event-id"
            || reserved_names.contains(&Some(name))
            || ["expect", "authorization"].contains(&name)
            || is_connection_option(name);
        if !is_skipped {
            builder = builder.header(name, value);
        }
    }
    builder = builder.header(names.request_id, &client_request.call_id);
    if !attempt.tenant.is_empty() {
        builder = builder.header(names.tenant, attempt.tenant);
    }
    if let Some(name) = names.quota_window {
        builder = builder.header(name, attempt.window);
    }
    if let Some(name) = names.worker {
        builder = builder.header(name, &attempt.endpoint.worker_id);
    }
    if let (Some(name), Some(time_left_ms)) = (names.time_left, attempt.time_left_ms) {
        builder = builder.header(name, time_left_ms);
    }
    if let (Some(name), Some(urgency)) = (names.urgency, attempt.urgency) {
        builder = builder.header(name, u64::from(urgency));
    }
    if let Some(event_id) = attempt.resume_after {
        builder = builder.header("last-event-id", event_id);
    }
    builder.body(Full::new(body)).ok()
}

/// Parses the running requests, queued requests and slots of a worker.
fn parse_load(value: &str) -> Option<(u32, u32, u32)> {
    let mut numbers = value.split(',').map(|number| number.trim().parse().ok());
    Some((numbers.next()??, numbers.next()??, numbers.next()??))
}

/// Returns whether a response names this request and no other; `None` if it names none.
fn names_only_this_call(names: &HeaderNames, headers: &HeaderMap, call_id: &str) -> Option<bool> {
    let mut values = headers.get_all(names.request_id).iter().peekable();
    values.peek()?;
    Some(values.all(|value| value.to_str().ok() == Some(call_id)))
}

/// Returns true if the last transfer coding is `chunked`, so that the last chunk marks the end of the body.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(header::TRANSFER_ENCODING).iter().next_back().and_then(|value| value.to_str().ok());
    last.and_then(|codings| codings.rsplit(',').next())
        .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Returns true if the end of a response can be told from a broken connection. A body without a length and without a
/// transfer coding ends with its connection: an orderly close completes it, a reset does not. Source: RFC 9112,
/// section 6.3.
fn has_definite_end(method: &Method, status: u16, headers: &HeaderMap) -> bool {
    let without_body = matches!(status, 204 | 304) || method == Method::HEAD;
    without_body || !headers.contains_key(header::TRANSFER_ENCODING) || is_chunked(headers)
}

/// Returns what the core needs to know of a worker's response. A statement that the request did not run counts
/// only if the response names its request. Where responses carry seals, each response must name its request.
pub fn response_head(
    names: &HeaderNames,
    response: &hyper::Response<Incoming>,
    client_request: &ClientRequest,
) -> ResponseHead {
    let headers = response.headers();
    let status = response.status().as_u16();
    let names_this_call = names_only_this_call(names, headers, &client_request.call_id);
    let is_success = (200..300).contains(&status);
    let is_anonymous = names.worker_seal.is_some() && names_this_call.is_none();
    let is_unsealed = is_success && names.worker_seal.is_some_and(|name| !headers.contains_key(name));
    // Hyper skips the other responses of status 1xx, and no request asks to switch protocols.
    let is_not_final = status < 200;
    let states_not_run = header_text(headers, names.not_run.0)
        .is_some_and(|value| names.not_run.1.is_none_or(|expected| value == expected));
    // A success that states that the request did not run is invalid, whichever of the two is true.
    let is_contradictory = is_success && states_not_run;
    let is_misdirected = status == 421 && names.worker.is_some();
    ResponseHead {
        status,
        is_event_stream: header_text(headers, "content-type")
            .is_some_and(|value| value.starts_with("text/event-stream")),
        has_definite_end: has_definite_end(&client_request.method, status, headers),
        not_run: names_this_call == Some(true) && !is_success && (states_not_run || is_misdirected),
        is_foreign: names_this_call == Some(false) || is_anonymous || is_unsealed || is_not_final || is_contradictory,
        load: optional_header_text(headers, names.worker_load).and_then(parse_load),
    }
}

/// Returns the announced length of a body. Where a response announces several, Hyper has checked that they are
/// equal.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    header_text(headers, "content-length").and_then(|value| value.split(',').next()?.trim().parse().ok())
}

/// Copies the head of a worker's response to the client's response.
pub fn forward_head(names: &HeaderNames, parts: &hyper::http::response::Parts, call_id: &str, response: &mut Response) {
    *response.status_mut() = parts.status;
    for (name, value) in &parts.headers {
        if !HOP_BY_HOP_HEADERS.contains(&name.as_str()) {
            response.headers_mut().append(name, value.clone());
        }
    }
    // A stream may be resumed at another worker, whose response has another length.
    let is_event_stream =
        parts.headers.get(header::CONTENT_TYPE).is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    let has_length = !is_event_stream && !parts.headers.contains_key(header::TRANSFER_ENCODING);
    if let Some(length) = content_length(&parts.headers).filter(|_| has_length) {
        response.headers_mut().insert(header::CONTENT_LENGTH, length.into());
    }
    if let Some(name) = names.execution {
        response.headers_mut().insert(name, HeaderValue::from_static("yes"));
    }
    if let Ok(value) = HeaderValue::from_str(call_id) {
        response.headers_mut().insert(names.request_id, value);
    }
}
