use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use seating::call::{Head, Reply};
use seating::place::Place;
use viz::{Method, Response, header, header::HeaderMap, header::HeaderValue};

const HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
];

/// What every try of one call has in common.
pub struct Ask {
    pub id: String,
    pub method: Method,
    pub target: String,
    pub heads: HeaderMap,
}

fn text<'a>(h: &'a HeaderMap, k: &str) -> Option<&'a str> {
    h.get(k).and_then(|v| v.to_str().ok())
}

pub fn call_id(h: &HeaderMap) -> Option<String> {
    text(h, "x-call-id").filter(|s| !s.is_empty() && s.len() <= 128).map(str::to_owned)
}

pub fn head(m: &Method, u: &hyper::Uri, h: &HeaderMap) -> Head {
    Head {
        method: m.as_str().to_owned(),
        path: u.path().to_owned(),
        query: u.query().map(str::to_owned),
        key: text(h, "authorization").and_then(|s| s.strip_prefix("Bearer ")).map(str::to_owned),
        after: text(h, "last-event-id").and_then(|s| s.trim().parse().ok()),
    }
}

/// The request for one worker: the caller's, without its key, and who it is for.
pub fn request(
    a: &Ask,
    p: &Place,
    tenant: &str,
    body: Bytes,
    after: Option<u64>,
    win: u64,
) -> Option<hyper::Request<Full<Bytes>>> {
    let mut b = hyper::Request::builder().method(a.method.clone()).uri(&a.target).header("host", p.addr.to_string());
    for (k, v) in &a.heads {
        let ours = HOP.contains(&k.as_str())
            || after.is_some() && k == "last-event-id"
            || ["x-call-id", "x-tenant", "x-quota-window", "expect", "authorization"].contains(&k.as_str());
        if !ours {
            b = b.header(k, v);
        }
    }
    b = b.header("x-call-id", &a.id).header("x-tenant", tenant).header("x-quota-window", win);
    if let Some(n) = after {
        b = b.header("last-event-id", n);
    }
    b.body(Full::new(body)).ok()
}

pub fn reply(r: &hyper::Response<Incoming>, id: &str) -> Reply {
    let h = r.headers();
    let bare = matches!(r.status().as_u16(), 204 | 304);
    let chunked = text(h, "transfer-encoding").is_some_and(|s| s.to_ascii_lowercase().contains("chunked"));
    Reply {
        status: r.status().as_u16(),
        sse: text(h, "content-type").is_some_and(|s| s.starts_with("text/event-stream")),
        bounded: bare || chunked || h.contains_key(header::CONTENT_LENGTH),
        unrun: text(h, "x-ran") == Some("no"),
        other: h.get("x-call-id").is_some_and(|v| v.to_str().ok() != Some(id)),
    }
}

/// The length that a response announces.
pub fn length(h: &HeaderMap) -> Option<u64> {
    text(h, "content-length").and_then(|s| s.parse().ok())
}

/// The worker's head as the downstream gets it.
pub fn pass(p: &hyper::http::response::Parts, id: &str, to: &mut Response) {
    *to.status_mut() = p.status;
    let sse = p.headers.get(header::CONTENT_TYPE).is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
    for (k, v) in &p.headers {
        // A stream may go on at another worker, whose part has a length of its own.
        let length = k == header::CONTENT_LENGTH && !sse;
        if length || !HOP.contains(&k.as_str()) {
            to.headers_mut().append(k, v.clone());
        }
    }
    to.headers_mut().insert("x-ran", HeaderValue::from_static("yes"));
    if let Ok(v) = HeaderValue::from_str(id) {
        to.headers_mut().insert("x-call-id", v);
    }
}
