//! A load balancer in front of the fleet, which checks the readiness of fronts.

use crate::standin::{HttpClient, http_client, request_text};
use hyper::Method;
use std::time::Duration;
use tokio::sync::watch;

/// The time between two rounds of readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The time-out of a readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// The fronts that are currently ready; clients send calls to these.
pub type ReadyFronts = watch::Receiver<Vec<String>>;

/// Starts the load balancer, which checks all fronts each second until `stop` is true. All fronts are
/// considered ready until the first check.
pub fn start_load_balancer(fronts: Vec<String>, mut stop: watch::Receiver<bool>) -> ReadyFronts {
    let (ready_sender, ready_fronts) = watch::channel(fronts.clone());
    tokio::spawn(async move {
        let http = http_client();
        let mut interval = tokio::time::interval(CHECK_INTERVAL);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                _ = stop.wait_for(|stop| *stop) => return,
            }
            if ready_sender.send(check_fronts(&http, &fronts).await).is_err() {
                return;
            }
        }
    });
    ready_fronts
}

/// Returns the fronts that are ready.
async fn check_fronts(http: &HttpClient, fronts: &[String]) -> Vec<String> {
    let mut ready = Vec::new();
    for front in fronts {
        let uri = format!("http://{front}/readyz");
        let check = request_text(http, Method::GET, &uri, &[], "");
        if matches!(tokio::time::timeout(CHECK_TIMEOUT, check).await, Ok(Ok((200, _)))) {
            ready.push(front.clone());
        }
    }
    ready
}
