//! The HTTP client of the stand-ins.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an unused connection stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a whole response may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// A pooled client; clones share the pool.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A client that never sends a request again by itself: each one must be counted once.
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

/// Sends a request and gives the response as soon as its head is there.
///
/// # Errors
///
/// The request is malformed, or the connection failed before the head of a response came.
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

/// Sends a request and gives the status and the whole body of the response.
///
/// # Errors
///
/// As [`send_request`]; or the body broke off, or was not complete within ten seconds.
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
    tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await.map_err(|_| "no answer in 10 s".to_owned())?
}
