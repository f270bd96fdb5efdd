//! The HTTP client of the test clients and workers.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

/// The time-out of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time for which an idle connection stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The time-out of a whole response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// An HTTP client with a connection pool; clones share the pool.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client that never retries a request, as each request must be counted once.
#[must_use]
pub fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Sends a request. Returns the response once its head was received.
///
/// # Errors
///
/// The request is malformed, or the connection failed before the head of a response was received.
pub async fn send_request(
    client: &HttpClient,
    method: Method,
    uri: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response<Incoming>, String> {
    let mut request = Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let request = request.body(body).map_err(|error| error.to_string())?;
    client.request(request).await.map_err(|error| format!("{error:?}"))
}

/// Sends a request. Returns the status and the whole body of the response.
///
/// # Errors
///
/// Those of [`send_request`]; or the body was truncated or not complete within ten seconds.
pub async fn request_text(
    client: &HttpClient,
    method: Method,
    uri: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<(u16, String), String> {
    let exchange = async {
        let response = send_request(client, method, uri, headers, body).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(|error| error.to_string())?.to_bytes();
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await.map_err(|_| "no complete response within 10 s".to_owned())?
}
