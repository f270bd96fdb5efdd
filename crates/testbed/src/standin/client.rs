//! A client of the fleet that checks every byte of a response against what workers send.

use super::http::{HttpClient, send_request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Response};
use std::time::{Duration, Instant};

/// How long a whole call may take before that counts as a violation.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// What a client saw of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientObservation {
    /// A complete response of a worker.
    Complete,
    /// A refusal by a node.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The code in the body.
        code: String,
        /// Whether the call ran, as the node says: `no`, `yes` or `unknown`.
        ran: String,
        /// A header says when to retry.
        has_retry_after: bool,
    },
    /// The response visibly broke off.
    Truncated {
        /// Complete events before that.
        events: u64,
    },
    /// The connection failed before the head of a response came.
    NoResponse,
    /// Something that must never be seen, in words.
    Violation(String),
}

/// A call and what the client saw of it.
#[derive(Clone, Debug)]
pub struct ClientRecord {
    /// The id of the call.
    pub call: String,
    /// The kind of the client.
    pub kind: &'static str,
    /// The tenant that the client belongs to.
    pub tenant: String,
    /// The address of the front.
    pub front: String,
    /// When the call was sent.
    pub sent_at: Instant,
    /// The time until the first bytes of the body, or until the head of an empty body.
    pub first_byte: Duration,
    /// The time until the end.
    pub total: Duration,
    /// When a refusal says to retry, in milliseconds; 0 if it doesn't.
    pub retry_after_ms: u64,
    /// What the client saw.
    pub observation: ClientObservation,
}

/// A stand-in for one kind of client.
#[derive(Clone)]
pub struct StandInClient {
    /// The connections that it uses.
    pub http: HttpClient,
    /// Its kind, for the report.
    pub kind: &'static str,
    /// The path that it calls.
    pub path: &'static str,
    /// The tenant that it belongs to.
    pub tenant: String,
    /// The key that it sends.
    pub key: String,
}

/// An observation with its times.
struct Observed {
    observation: ClientObservation,
    first_byte: Duration,
    retry_after_ms: u64,
}

impl Observed {
    fn new(observation: ClientObservation, first_byte: Duration) -> Self {
        Observed { observation, first_byte, retry_after_ms: 0 }
    }
}

impl StandInClient {
    /// Makes one call and gives what was seen of it, also where it failed.
    pub async fn call(&self, front: &str, id: &str, prompt: &str) -> ClientRecord {
        let sent_at = Instant::now();
        let exchange = self.exchange(front, id, prompt, sent_at);
        let observed = tokio::time::timeout(CALL_TIMEOUT, exchange).await.unwrap_or_else(|_| {
            Observed::new(ClientObservation::Violation("no end in 30 s".into()), sent_at.elapsed())
        });
        ClientRecord {
            call: id.into(),
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

    async fn exchange(&self, front: &str, id: &str, prompt: &str, sent_at: Instant) -> Observed {
        let authorization = format!("Bearer {}", self.key);
        let headers =
            [("authorization", authorization.as_str()), ("x-call-id", id), ("content-type", "application/json")];
        let body = format!("{{\"prompt\":\"{prompt}\"}}");
        let uri = format!("http://{front}{}", self.path);
        match send_request(&self.http, Method::POST, &uri, &headers, &body).await {
            Ok(response) => observe(response, id, sent_at).await,
            Err(_) => Observed::new(ClientObservation::NoResponse, sent_at.elapsed()),
        }
    }
}

/// Reads a response to its end and judges it.
async fn observe(response: Response<Incoming>, id: &str, sent_at: Instant) -> Observed {
    let status = response.status().as_u16();
    let header =
        |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned();
    let is_stream = header("content-type") == "text/event-stream";
    let (ran, has_retry_after) = (header("x-ran"), !header("retry-after").is_empty());
    let body = read_body(response.into_body(), sent_at).await;
    if body.is_truncated {
        let events = body.text.matches("\n\n").count() as u64;
        let observation = check(id, &body.text, is_stream, false)
            .map_or_else(ClientObservation::Violation, |()| ClientObservation::Truncated { events });
        return Observed::new(observation, body.first_byte);
    }
    if status == 200 {
        let observation = check(id, &body.text, is_stream, true)
            .map_or_else(ClientObservation::Violation, |()| ClientObservation::Complete);
        return Observed::new(observation, body.first_byte);
    }
    let code = after(&body.text, "\"code\":\"").and_then(|rest| rest.split('"').next()).unwrap_or("").to_owned();
    let retry_after_ms = number_after(&body.text, "\"retry_after_ms\":").unwrap_or(0);
    let observation = ClientObservation::Refused { status, code, ran, has_retry_after };
    Observed { observation, first_byte: body.first_byte, retry_after_ms }
}

/// A body as far as it came.
struct ReceivedBody {
    text: String,
    first_byte: Duration,
    /// The connection failed before the end.
    is_truncated: bool,
}

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

/// Every event is of this call, each once and in order; a complete stream has all of them.
fn check(id: &str, body: &str, is_stream: bool, is_complete: bool) -> Result<(), String> {
    let call = format!("\"call\":\"{id}\"");
    if is_stream {
        return check_stream(id, &call, body, is_complete);
    }
    if !is_complete || body.contains(&call) { Ok(()) } else { Err(format!("{id}: got the answer {body}")) }
}

fn check_stream(id: &str, call: &str, body: &str, is_complete: bool) -> Result<(), String> {
    let mut number = 0;
    let mut expected = 0;
    let mut events: Vec<_> = body.split("\n\n").collect();
    let rest = events.pop().unwrap_or("");
    for event in events {
        if !event.contains(call) {
            return Err(format!("{id}: a piece of another call: {event}"));
        }
        if !event.contains(&format!("\"n\":{number},")) {
            return Err(format!("{id}: piece {number} was due, came {event}"));
        }
        number += 1;
        expected = number_after(event, "\"of\":").unwrap_or(0);
    }
    if is_complete && (number != expected || !rest.is_empty()) {
        return Err(format!("{id}: {number} of {expected} pieces in an answer that looks whole"));
    }
    Ok(())
}

/// The text behind the first mark.
fn after<'a>(text: &'a str, mark: &str) -> Option<&'a str> {
    text.split(mark).nth(1)
}

/// The number behind the first mark, which ends the text but for closing braces.
fn number_after(text: &str, mark: &str) -> Option<u64> {
    after(text, mark).and_then(|rest| rest.trim_end_matches('}').parse().ok())
}
