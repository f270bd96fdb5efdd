use crate::state_report::StateReport;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::time::Duration;

/// Asks a node for all that it believes.
pub async fn take(at: &str, token: &str) -> Result<StateReport, String> {
    let c = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let r = Request::get(format!("http://{at}/v1/beliefs"))
        .header("authorization", format!("Bearer {token}"))
        .body(Empty::new())
        .map_err(|e| e.to_string())?;
    let go = async {
        let r = c.request(r).await.map_err(|_| "no answer; is this the admin address of a running node?".to_owned())?;
        let s = r.status().as_u16();
        let b = r.into_body().collect().await.map_err(|e| e.to_string())?.to_bytes();
        match s {
            200 => StateReport::read(&b),
            401 => Err("the token is not an operator's there; use one whose hash stands in its settings".into()),
            _ => Err(format!("answered {s}; is this the admin address of an sumacvale?")),
        }
    };
    tokio::time::timeout(Duration::from_secs(5), go).await.map_err(|_| "no answer in 5 s".to_owned())?
}
