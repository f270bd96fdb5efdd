//! What a client requests, and what became of its call as the client saw it.

use crate::sim::workers::responses::body;
use sumacvale_core::base::Micros;
use sumacvale_core::retry::Execution;

/// What a client requests.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// The tenant whose API key the client sends.
    pub tenant: String,
    /// The request path, which decides the kind of response.
    pub path: &'static str,
    /// The number of the prompt prefix that the call shares with others.
    pub prefix: u64,
    /// How long the configuration lets the call wait for a slot or a quota unit, in microseconds.
    pub max_wait: Micros,
    /// The client disconnects so many microseconds after the call began, without waiting for the end.
    pub disconnects_after: Option<Micros>,
}

/// How a call ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientObservation {
    /// A response came and ended as it should.
    Complete,
    /// A response began and was aborted.
    Aborted,
    /// The node rejected the call.
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The rejection's code.
        code: &'static str,
        /// Whether the node says that the call ran.
        execution: Execution,
        /// Whether the response has a `retry-after` header.
        has_retry_after: bool,
    },
    /// The node's process ended.
    NodeLost,
    /// The client itself disconnected.
    ClientLeft,
}

impl ClientObservation {
    /// The word under which a summary counts this end: a rejection's own code, or a fixed word.
    pub fn label(&self) -> &'static str {
        match self {
            ClientObservation::Complete => "whole",
            ClientObservation::Aborted => "broken",
            ClientObservation::Rejected { code, .. } => code,
            ClientObservation::NodeLost => "dropped",
            ClientObservation::ClientLeft => "left",
        }
    }
}

/// What became of one call, as its client saw it. Times are microseconds of true time.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// The number of the call.
    pub call: u64,
    /// What the client requested.
    pub request: CallRequest,
    /// The machine of the front that served the call.
    pub machine: usize,
    /// When the call began.
    pub started_at: Micros,
    /// When the response head was forwarded.
    pub first_byte_at: Option<Micros>,
    /// When the call ended.
    pub ended_at: Micros,
    /// The bytes of the response body that reached the client.
    pub body: Vec<u8>,
    /// Whether a worker was chosen for it at least once.
    pub was_attempted: bool,
    /// How it ended.
    pub observation: ClientObservation,
}

impl CallOutcome {
    /// Whether the body is a prefix of the expected response, and all of it if the response looks complete.
    pub fn has_expected_body(&self) -> bool {
        let expected = body(self.call, self.request.path, 0).into_bytes();
        match self.observation {
            ClientObservation::Complete => self.body == expected,
            _ => expected.starts_with(&self.body),
        }
    }
}
