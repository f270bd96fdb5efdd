//! HTTP responses of the admin API.

use viz::{Body, Response, StatusCode, header};

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, body: String) -> Response {
    let mut response = Response::new(Body::Full(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    response
}

/// Returns a response with a plain-text body.
pub fn text(status: StatusCode, body: String) -> Response {
    let mut response = Response::new(Body::Full(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}

/// Returns `value` as a quoted JSON string.
pub fn quote(value: &str) -> String {
    sonic_rs::to_string(value).unwrap_or_else(|_| "\"\"".into())
}

/// Returns an error response with a machine-readable code and the remedy.
pub fn error_response(status: StatusCode, code: &str, remedy: &str) -> Response {
    json(status, format!("{{\"code\":{},\"remedy\":{}}}", quote(code), quote(remedy)))
}
