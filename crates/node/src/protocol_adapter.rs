//! How a fleet speaks with callers, workers and operators: names and formats of one
//! platform, plugged in here. A dialect decides nothing.

use sumacvale_core::base::Micros;
use sumacvale_core::call::spread_retry_after;
use sumacvale_core::config::{ConfigReader, validate};

/// The names of heads, in small letters; none is not spoken.
#[derive(Debug)]
pub struct HeaderNames {
    /// The id of a request, echoed in its response.
    pub request_id: &'static str,
    pub tenant: &'static str,
    /// The number of the tenant's window that a request counts in.
    pub quota_window: Option<&'static str>,
    /// The worker that an attempt is meant for.
    pub worker: Option<&'static str>,
    /// Milliseconds that the caller still waits.
    pub time_left: Option<&'static str>,
    pub urgency: Option<&'static str>,
    /// The parts of the prompt: ID:TOKENS in hex and decimal, separated by commas.
    pub prompt_parts: Option<&'static str>,
    /// Tokens of the prompt and the most that come out.
    pub token_counts: Option<&'static str>,
    /// Whether a worker ran the request, on every answer.
    pub execution: Option<&'static str>,
    /// A worker says so that it did not run the request; with this value where one is named.
    pub not_run: (&'static str, Option<&'static str>),
    /// Every response of a worker that ran a request has it.
    pub worker_seal: Option<&'static str>,
    /// Requests that run at the worker, that wait there, and its slots.
    pub worker_load: Option<&'static str>,
}

/// How calls and workers speak on one platform.
#[derive(Debug)]
pub struct ProtocolAdapter {
    pub headers: HeaderNames,
    /// Workers get the host that the caller named.
    pub preserves_host: bool,
    /// When to come back, as its head says it.
    pub format_retry_after: fn(Micros, &str) -> String,
    /// How the operator's documents are read.
    pub config_reader: ConfigReader,
}

/// The product's own.
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
    format_retry_after: |t, id| spread_retry_after(t, id).div_ceil(1_000_000).to_string(),
    config_reader: validate,
};
