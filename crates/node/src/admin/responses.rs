//! Answers of the admin listener.

use viz::{Body, Response, StatusCode, header};

/// An answer in JSON.
pub fn json(status: StatusCode, s: String) -> Response {
    let mut r = Response::new(Body::Full(s.into()));
    *r.status_mut() = status;
    r.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    r
}

/// An answer in plain text.
pub fn text(status: StatusCode, s: String) -> Response {
    let mut r = Response::new(Body::Full(s.into()));
    *r.status_mut() = status;
    r.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/plain; charset=utf-8"));
    r
}

/// A string as JSON.
pub fn quote(s: &str) -> String {
    sonic_rs::to_string(s).unwrap_or_else(|_| "\"\"".into())
}

/// A refusal with its code and what to do.
pub fn trouble(status: StatusCode, code: &str, remedy: &str) -> Response {
    json(status, format!("{{\"code\":{},\"remedy\":{}}}", quote(code), quote(remedy)))
}
