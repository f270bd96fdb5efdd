//! How a fleet speaks with callers, workers and operators: names and formats of one
//! platform, plugged in here. A dialect decides nothing.

use sumacvale_core::base::Micros;
use sumacvale_core::call::spread_retry_after;
use sumacvale_core::config::{Reader, validate};

/// The names of heads, in small letters; none is not spoken.
#[derive(Debug)]
pub struct Heads {
    /// The id of a request, echoed in its response.
    pub id: &'static str,
    pub tenant: &'static str,
    /// The number of the tenant's window that a request counts in.
    pub window: Option<&'static str>,
    /// The worker that an attempt is meant for.
    pub worker: Option<&'static str>,
    /// Milliseconds that the caller still waits.
    pub left: Option<&'static str>,
    pub urgency: Option<&'static str>,
    /// The parts of the prompt: ID:TOKENS in hex and decimal, separated by commas.
    pub parts: Option<&'static str>,
    /// Tokens of the prompt and the most that come out.
    pub tokens: Option<&'static str>,
    /// Whether a worker ran the request, on every answer.
    pub ran: Option<&'static str>,
    /// A worker says so that it did not run the request; with this value where one is named.
    pub unrun: (&'static str, Option<&'static str>),
    /// Every response of a worker that ran a request has it.
    pub seal: Option<&'static str>,
    /// Requests that run at the worker, that wait there, and its slots.
    pub load: Option<&'static str>,
}

/// How calls and workers speak on one platform.
#[derive(Debug)]
pub struct Dialect {
    pub heads: Heads,
    /// Workers get the host that the caller named.
    pub host: bool,
    /// When to come back, as its head says it.
    pub back: fn(Micros, &str) -> String,
    /// How the operator's documents are read.
    pub read: Reader,
}

/// The product's own.
pub static OWN: Dialect = Dialect {
    heads: Heads {
        id: "x-call-id",
        tenant: "x-tenant",
        window: Some("x-quota-window"),
        worker: Some("x-worker"),
        left: Some("x-time-left-ms"),
        urgency: Some("x-urgency"),
        parts: Some("x-prompt-parts"),
        tokens: Some("x-prompt-tokens"),
        ran: Some("x-ran"),
        unrun: ("x-ran", Some("no")),
        seal: None,
        load: Some("x-load"),
    },
    host: false,
    back: |t, id| spread_retry_after(t, id).div_ceil(1_000_000).to_string(),
    read: validate,
};
