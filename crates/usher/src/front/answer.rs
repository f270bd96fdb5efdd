use seating::call::{Answer, back_after};
use viz::{Body, Response, StatusCode, header};

pub fn response(a: &Answer, id: &str) -> Response {
    let back = a.back.map(|t| back_after(t, id));
    let mut s = format!(
        "{{\"code\":\"{}\",\"remedy\":{},\"ran\":\"{}\",\"call\":{}",
        a.code,
        sonic_rs::to_string(&a.remedy).unwrap_or_default(),
        a.ran.name(),
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
    h.insert("x-ran", header::HeaderValue::from_static(a.ran.name()));
    if let Some(t) = back {
        h.insert(header::RETRY_AFTER, header::HeaderValue::from(t.div_ceil(1_000_000)));
    }
    if let Ok(v) = header::HeaderValue::from_str(id) {
        h.insert("x-call-id", v);
    }
    r
}
