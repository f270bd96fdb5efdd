//! The HTTP handler for calls.

use super::call_task::CallTask;
use super::{headers, local_response};
use crate::shared::Shared;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use sumacvale_core::call::{LocalResponse, RejectionReason};
use viz::{Request, Response, header, header::HeaderValue};

/// Runs one call from the head of its request to the head of its response.
pub async fn serve(shared: Arc<Shared>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let call_number = shared.next_call_number.fetch_add(1, Ordering::Relaxed);
    let request_id = headers::call_id(&shared.adapter.headers, &parts.headers)
        .unwrap_or_else(|| format!("{}-{call_number}", shared.node_id));
    let mut response = if parts.version < hyper::Version::HTTP_11 {
        // A client of HTTP/1.0 can't distinguish a truncated response from a complete one.
        local_response::response(
            shared.adapter,
            &LocalResponse::new(RejectionReason::UnsupportedHttpVersion, "send HTTP/1.1"),
            &request_id,
        )
    } else {
        let head = headers::request_head(&shared.adapter.headers, &parts.method, &parts.uri, &parts.headers);
        let target = parts.uri.path_and_query().map_or_else(|| "/".into(), ToString::to_string);
        let client_request =
            headers::ClientRequest { call_id: request_id, method: parts.method, target, headers: parts.headers };
        CallTask::new(shared.clone(), call_number, head, client_request, body).run().await
    };
    if shared.is_stopping() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
