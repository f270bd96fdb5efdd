//! A client of the fleet that validates each response against what workers send.

use super::http::{HttpClient, send_request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Response};
use std::time::{Duration, Instant};

/// The time-out of a whole call; exceeding it is a violation.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The outcome of a call, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientObservation {
    /// A complete and correct response of a worker.
    Complete,
    /// An error response of a node.
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The error code in the body.
        code: String,
        /// Whether the call ran, according to the node: `no`, `yes` or `unknown`.
        ran: String,
        /// True if a header says when to retry.
        has_retry_after: bool,
    },
    /// The response was truncated, and the client can detect that.
    Truncated {
        /// The number of complete events before the truncation.
        events: u64,
    },
    /// The connection failed before the head of a response was received.
    NoResponse,
    /// A violation of the protocol, described for the report.
    Violation(String),
}

/// A call, its times and its outcome at the client.
#[derive(Clone, Debug)]
pub struct ClientRecord {
    /// The id of the call.
    pub call_id: String,
    /// The kind of the client.
    pub kind: &'static str,
    /// The tenant that the client belongs to.
    pub tenant: String,
    /// The address of the front.
    pub front: String,
    /// The time at which the call was sent.
    pub sent_at: Instant,
    /// The time until the first bytes of the body, or until the head if the body is empty.
    pub first_byte: Duration,
    /// The time until the end of the response.
    pub total: Duration,
    /// The time to wait before a retry, according to an error response, in milliseconds; 0 if there is none.
    pub retry_after_ms: u64,
    /// The outcome, as the client saw it.
    pub observation: ClientObservation,
}

/// A test client that sends calls of one kind for one tenant.
#[derive(Clone)]
pub struct StandInClient {
    /// The HTTP client that sends the calls.
    pub http: HttpClient,
    /// The kind of the calls, for the report.
    pub kind: &'static str,
    /// The path that the calls are sent to.
    pub path: &'static str,
    /// The tenant that the client belongs to.
    pub tenant: String,
    /// The API key that the client sends.
    pub key: String,
}

/// An observation with its times.
struct TimedObservation {
    observation: ClientObservation,
    first_byte: Duration,
    retry_after_ms: u64,
}

impl TimedObservation {
    fn new(observation: ClientObservation, first_byte: Duration) -> Self {
        TimedObservation { observation, first_byte, retry_after_ms: 0 }
    }
}

impl StandInClient {
    /// Sends one call and returns its record, also if the call failed.
    pub async fn call(&self, front: &str, id: &str, prompt: &str) -> ClientRecord {
        let sent_at = Instant::now();
        let exchange = self.exchange(front, id, prompt, sent_at);
        let observed = tokio::time::timeout(CALL_TIMEOUT, exchange).await.unwrap_or_else(|_| {
            TimedObservation::new(
                ClientObservation::Violation("no complete response within 30 s".into()),
                sent_at.elapsed(),
            )
        });
        ClientRecord {
            call_id: id.into(),
            kind: self.kind,
            tenant: self.tenant.clone(),
            front: front.into(),
            sent_at,
            first_byte: observed.first_byte,
            total: sent_at.elapsed(),
            retry_after_ms: observed.retry_after_ms,
            observation: observed.observation,
        }
    }

    /// Sends the request and reads the response.
    async fn exchange(&self, front: &str, id: &str, prompt: &str, sent_at: Instant) -> TimedObservation {
        let authorization = format!("Bearer {}", self.key);
        let headers =
            [("authorization", authorization.as_str()), ("x-call-id", id), ("content-type", "application/json")];
        let body = format!("{{\"prompt\":\"{prompt}\"}}");
        let uri = format!("http://{front}{}", self.path);
        match send_request(&self.http, Method::POST, &uri, &headers, &body).await {
            Ok(response) => observe(response, id, sent_at).await,
            Err(_) => TimedObservation::new(ClientObservation::NoResponse, sent_at.elapsed()),
        }
    }
}

/// Reads a response to its end and validates it.
async fn observe(response: Response<Incoming>, id: &str, sent_at: Instant) -> TimedObservation {
    let status = response.status().as_u16();
    let header =
        |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned();
    let is_stream = header("content-type") == "text/event-stream";
    let (ran, has_retry_after) = (header("x-ran"), !header("retry-after").is_empty());
    let body = read_body(response.into_body(), sent_at).await;
    if body.is_truncated {
        let events = body.text.matches("\n\n").count() as u64;
        let observation = check_body(id, &body.text, is_stream, false)
            .map_or_else(ClientObservation::Violation, |()| ClientObservation::Truncated { events });
        return TimedObservation::new(observation, body.first_byte);
    }
    if status == 200 {
        let observation = check_body(id, &body.text, is_stream, true)
            .map_or_else(ClientObservation::Violation, |()| ClientObservation::Complete);
        return TimedObservation::new(observation, body.first_byte);
    }
    let code = text_after(&body.text, "\"code\":\"").and_then(|rest| rest.split('"').next()).unwrap_or("").to_owned();
    let retry_after_ms = number_after(&body.text, "\"retry_after_ms\":").unwrap_or(0);
    let observation = ClientObservation::Rejected { status, code, ran, has_retry_after };
    TimedObservation { observation, first_byte: body.first_byte, retry_after_ms }
}

/// The part of a body that was received.
struct ReceivedBody {
    text: String,
    first_byte: Duration,
    /// True if the connection failed before the end of the body.
    is_truncated: bool,
}

/// Reads a body until its end or until the connection fails.
async fn read_body(mut body: Incoming, sent_at: Instant) -> ReceivedBody {
    let mut received = ReceivedBody { text: String::new(), first_byte: sent_at.elapsed(), is_truncated: false };
    let mut has_begun = false;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            received.is_truncated = true;
            break;
        };
        if !has_begun {
            received.first_byte = sent_at.elapsed();
        }
        has_begun = true;
        if let Some(data) = frame.data_ref() {
            received.text.push_str(&String::from_utf8_lossy(data));
        }
    }
    received
}

/// Checks that the body belongs to the call. The events of a stream must be received once and in order,
/// and all of them if the stream is complete.
fn check_body(id: &str, body: &str, is_stream: bool, is_complete: bool) -> Result<(), String> {
    let call = format!("\"call\":\"{id}\"");
    if is_stream {
        return check_stream(id, &call, body, is_complete);
    }
    if !is_complete || body.contains(&call) {
        Ok(())
    } else {
        Err(format!("{id}: got the response of another call: {body}"))
    }
}

/// Checks the events of a stream.
fn check_stream(id: &str, call: &str, body: &str, is_complete: bool) -> Result<(), String> {
    let mut number = 0;
    let mut expected = 0;
    let mut events: Vec<_> = body.split("\n\n").collect();
    let incomplete_event = events.pop().unwrap_or("");
    for event in events {
        if !event.contains(call) {
            return Err(format!("{id}: got an event of another call: {event}"));
        }
        if !event.contains(&format!("\"n\":{number},")) {
            return Err(format!("{id}: expected event {number}, got {event}"));
        }
        number += 1;
        expected = number_after(event, "\"of\":").unwrap_or(0);
    }
    if is_complete && (number != expected || !incomplete_event.is_empty()) {
        return Err(format!("{id}: {number} of {expected} events in a response that ended as complete"));
    }
    Ok(())
}

/// Returns the text after the first occurrence of `marker`.
fn text_after<'a>(text: &'a str, marker: &str) -> Option<&'a str> {
    text.split(marker).nth(1)
}

/// Returns the number after the first occurrence of `marker`. Only closing braces may follow the number.
fn number_after(text: &str, marker: &str) -> Option<u64> {
    text_after(text, marker).and_then(|rest| rest.trim_end_matches('}').parse().ok())
}
