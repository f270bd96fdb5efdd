//! HTTP responses to calls that this node answers itself, without a worker.

use crate::protocol_adapter::ProtocolAdapter;
use sumacvale_core::call::{LocalResponse, spread_retry_after};
use viz::{Body, Response, StatusCode, header};

/// Returns the HTTP response for a local response, with the header names of `adapter`.
pub fn response(adapter: &ProtocolAdapter, local: &LocalResponse, call_id: &str) -> Response {
    let retry_after = local.retry_after.map(|delay| spread_retry_after(delay, call_id));
    let mut body = format!(
        "{{\"code\":\"{}\",\"remedy\":{},\"ran\":\"{}\",\"call\":{}",
        local.code,
        sonic_rs::to_string(&local.remedy).unwrap_or_default(),
        local.execution.name(),
        sonic_rs::to_string(call_id).unwrap_or_default(),
    );
    if let Some(delay) = retry_after {
        body.push_str(&format!(",\"retry_after_ms\":{}", delay / 1_000));
    }
    body.push('}');
    let mut response = Response::new(Body::Full(body.into()));
    *response.status_mut() = StatusCode::from_u16(local.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    if let Some(name) = adapter.headers.execution {
        headers.insert(name, header::HeaderValue::from_static(local.execution.name()));
    }
    if let Some(value) = local
        .retry_after
        .and_then(|delay| header::HeaderValue::from_str(&(adapter.format_retry_after)(delay, call_id)).ok())
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    if let Ok(value) = header::HeaderValue::from_str(call_id) {
        headers.insert(adapter.headers.request_id, value);
    }
    response
}
