use seating::base::{Us, hash64};
use seating::tries::Ran;
use viz::{Body, Response, StatusCode, header};

/// A final answer of this node's own, never a worker's.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub code: &'static str,
    pub remedy: String,
    pub ran: Ran,
    pub back: Option<Us>,
}

impl Answer {
    pub fn new(status: StatusCode, code: &'static str, remedy: &str) -> Self {
        Answer { status, code, remedy: remedy.to_owned(), ran: Ran::No, back: None }
    }

    pub fn ran(mut self, r: Ran) -> Self {
        self.ran = r;
        self
    }

    pub fn back(mut self, t: Us) -> Self {
        self.back = Some(t);
        self
    }

    pub fn into_response(self, id: &str) -> Response {
        let back = self.back.map(|t| back_after(t, id));
        let mut s = format!(
            "{{\"code\":\"{}\",\"remedy\":{},\"ran\":\"{}\",\"call\":{}",
            self.code,
            sonic_rs::to_string(&self.remedy).unwrap_or_default(),
            self.ran.name(),
            sonic_rs::to_string(id).unwrap_or_default(),
        );
        if let Some(t) = back {
            s.push_str(&format!(",\"retry_after_ms\":{}", t / 1_000));
        }
        s.push('}');
        let mut r = Response::new(Body::Full(s.into()));
        *r.status_mut() = self.status;
        let h = r.headers_mut();
        h.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
        h.insert("x-ran", header::HeaderValue::from_static(self.ran.name()));
        if let Some(t) = back {
            h.insert(header::RETRY_AFTER, header::HeaderValue::from(t.div_ceil(1_000_000)));
        }
        if let Ok(v) = header::HeaderValue::from_str(id) {
            h.insert("x-call-id", v);
        }
        r
    }
}

/// When to return: never together with the others who were refused.
pub fn back_after(t: Us, id: &str) -> Us {
    let t = t.clamp(200_000, 60_000_000);
    t + hash64(id.as_bytes()) % (t + 1_000_000)
}
