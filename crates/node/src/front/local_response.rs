//! The router's own answers to calls.

use crate::protocol_adapter::ProtocolAdapter;
use sumacvale_core::call::{LocalResponse, spread_retry_after};
use viz::{Body, Response, StatusCode, header};

/// An answer in the words of a dialect.
pub fn response(d: &ProtocolAdapter, a: &LocalResponse, id: &str) -> Response {
    let back = a.retry_after.map(|t| spread_retry_after(t, id));
    let mut s = format!(
        "{{\"code\":\"{}\",\"remedy\":{},\"ran\":\"{}\",\"call\":{}",
        a.code,
        sonic_rs::to_string(&a.remedy).unwrap_or_default(),
        a.execution.name(),
        sonic_rs::to_string(id).unwrap_or_default(),
    );
    if let Some(t) = back {
        s.push_str(&format!(",\"retry_after_ms\":{}", t / 1_000));
    }
    s.push('}');
    let mut r = Response::new(Body::Full(s.into()));
    *r.status_mut() = StatusCode::from_u16(a.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let h = r.headers_mut();
    h.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    if let Some(k) = d.headers.execution {
        h.insert(k, header::HeaderValue::from_static(a.execution.name()));
    }
    if let Some(v) = a.retry_after.and_then(|t| header::HeaderValue::from_str(&(d.format_retry_after)(t, id)).ok()) {
        h.insert(header::RETRY_AFTER, v);
    }
    if let Ok(v) = header::HeaderValue::from_str(id) {
        h.insert(d.headers.request_id, v);
    }
    r
}
