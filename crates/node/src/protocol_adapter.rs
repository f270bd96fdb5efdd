//! How a fleet communicates with callers, workers and operators: the header names and formats of
//! one platform. An adapter makes no decisions.

use sumacvale_core::base::Micros;
use sumacvale_core::call::spread_retry_after;
use sumacvale_core::config::{ConfigReader, validate};

/// The names of HTTP headers, in lower case; a header that is `None` is neither read nor sent.
#[derive(Debug)]
pub struct HeaderNames {
    /// The id of a request, echoed in its response.
    pub request_id: &'static str,
    /// The tenant of a request, sent to the worker.
    pub tenant: &'static str,
    /// The number of the tenant's window that a request counts in.
    pub quota_window: Option<&'static str>,
    /// The worker that an attempt is meant for.
    pub worker: Option<&'static str>,
    /// How much longer the caller waits, in milliseconds.
    pub time_left: Option<&'static str>,
    /// The urgency of a request, sent to the worker.
    pub urgency: Option<&'static str>,
    /// The parts of the prompt: ID:TOKENS in hex and decimal, separated by commas.
    pub prompt_parts: Option<&'static str>,
    /// Tokens of the prompt and the maximum number of output tokens.
    pub token_counts: Option<&'static str>,
    /// Whether a worker ran the request, on every response.
    pub execution: Option<&'static str>,
    /// The header by which a worker reports that it did not run the request, and the value that it
    /// must have, if any.
    pub not_run: (&'static str, Option<&'static str>),
    /// Present on every response of a worker that ran the request.
    pub worker_seal: Option<&'static str>,
    /// Requests that run at the worker, requests that are queued there, and its slots.
    pub worker_load: Option<&'static str>,
}

/// The protocol that callers and workers of one platform use.
#[derive(Debug)]
pub struct ProtocolAdapter {
    /// The names of the headers.
    pub headers: HeaderNames,
    /// Whether workers receive the `Host` of the caller instead of their own address.
    pub preserves_host: bool,
    /// Formats the value of `Retry-After` from a time in microseconds and the id of the call.
    pub format_retry_after: fn(Micros, &str) -> String,
    /// Reads the operator's configuration documents.
    pub config_reader: ConfigReader,
}

/// The adapter for the protocol of this project itself.
pub static STANDARD_ADAPTER: ProtocolAdapter = ProtocolAdapter {
    headers: HeaderNames {
        request_id: "x-call-id",
        tenant: "x-tenant",
        quota_window: Some("x-quota-window"),
        worker: Some("x-worker"),
        time_left: Some("x-time-left-ms"),
        urgency: Some("x-urgency"),
        prompt_parts: Some("x-prompt-parts"),
        token_counts: Some("x-prompt-tokens"),
        execution: Some("x-ran"),
        not_run: ("x-ran", Some("no")),
        worker_seal: None,
        worker_load: Some("x-load"),
    },
    preserves_host: false,
    format_retry_after: |retry_after, call_id| spread_retry_after(retry_after, call_id).div_ceil(1_000_000).to_string(),
    config_reader: validate,
};
