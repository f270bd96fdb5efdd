//! Fetches the state report of a node over HTTP.

use crate::state_report::StateReport;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::time::Duration;

/// Fetches the state report of the node with this admin address.
///
/// # Errors
/// What an operator can do where the node sends no valid report within 5 s.
pub async fn fetch_report(admin_addr: &str, token: &str) -> Result<StateReport, String> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let request = Request::get(format!("http://{admin_addr}/v1/beliefs"))
        .header("authorization", format!("Bearer {token}"))
        .body(Empty::new())
        .map_err(|e| e.to_string())?;
    let exchange = async {
        let response = client
            .request(request)
            .await
            .map_err(|_| "no response; is this the admin address of a running node?".to_owned())?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(|e| e.to_string())?.to_bytes();
        match status {
            200 => StateReport::read(&body),
            401 => {
                Err("the node does not accept the token; use an operator's token whose hash is in the node's settings"
                    .into())
            }
            _ => Err(format!("responded with status {status}; is this the admin address of a sumacvale node?")),
        }
    };
    tokio::time::timeout(Duration::from_secs(5), exchange).await.map_err(|_| "no response in 5 s".to_owned())?
}
