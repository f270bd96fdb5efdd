//! The listener for calls.

use super::call_task::CallTask;
use super::{headers, local_response};
use crate::shared::Shared;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use sumacvale_core::call::{LocalResponse, RejectionReason};
use viz::{Request, Response, header, header::HeaderValue};

/// Takes one call from its head to the head of its response.
pub async fn serve(h: Arc<Shared>, r: Request) -> Response {
    let (p, body) = r.into_parts();
    let n = h.next_call_id.fetch_add(1, Ordering::Relaxed);
    let id = headers::call_id(&h.adapter.headers, &p.headers).unwrap_or_else(|| format!("{}-{n}", h.node_id));
    let mut res = if p.version < hyper::Version::HTTP_11 {
        // It could not tell a broken response from a whole one.
        local_response::response(h.adapter, &LocalResponse::new(RejectionReason::HttpVersion, "send HTTP/1.1"), &id)
    } else {
        let head = headers::head(&h.adapter.headers, &p.method, &p.uri, &p.headers);
        let target = p.uri.path_and_query().map_or_else(|| "/".into(), ToString::to_string);
        let ask = headers::ClientRequest { call_id: id, method: p.method, target, headers: p.headers };
        CallTask::new(h.clone(), n, head, ask, body).run().await
    };
    if h.is_stopping() {
        res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    res
}
