//! The request of a simulated client, and the outcome of its call as the client observed it.

use crate::sim::workers::responses::body;
use sumacvale_core::base::Micros;
use sumacvale_core::retry::Execution;

/// The request of a simulated client.
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
    /// The time after the begin of the call at which the client disconnects, in microseconds; `None` if it waits.
    pub disconnects_after: Option<Micros>,
}

/// How a call ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientObservation {
    /// A response arrived and ended regularly.
    Complete,
    /// A response began and was aborted.
    Aborted,
    /// The node rejected the call.
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The rejection's code.
        code: &'static str,
        /// Whether the call ran, according to the node.
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
    /// The label under which a summary counts this end: the code of a rejection, or a fixed word.
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

/// The outcome of one call, as its client observed it. Times are microseconds of true time.
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
    /// Whether a worker was chosen for the call at least once.
    pub was_attempted: bool,
    /// How the call ended for the client.
    pub observation: ClientObservation,
    /// The time since the client last received bytes, if the response was aborted while a worker was at work that
    /// would have sent the rest.
    pub left_worker_after: Option<Micros>,
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
