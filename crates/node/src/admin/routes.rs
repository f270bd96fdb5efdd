//! The routes of both listeners, and who may use them.

use super::responses::{text, trouble};
use super::{config, metrics, nodes, report};
use crate::front;
use crate::shared::Shared;
use std::future::Future;
use std::sync::Arc;
use sumacvale_core::base::sha256_hex;
use viz::{Request, Response, Result, Router, StatusCode, header};

/// Whether the bearer token of a request has one of these hashes. The token itself is never stored.
pub fn allowed(request: &Request, hashes: &[String]) -> bool {
    request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .is_some_and(|token| hashes.contains(&sha256_hex(token.trim().as_bytes())))
}

fn live(_: &Shared) -> Response {
    text(StatusCode::OK, "live\n".into())
}

fn ready(shared: &Shared) -> Response {
    match crate::ops::readiness(shared) {
        Ok(()) => text(StatusCode::OK, "ready\n".into()),
        Err(why) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{why}\n")),
    }
}

/// A handler that needs an operator's token.
type Handler<F> = fn(Arc<Shared>, Request) -> F;

/// Serves a route without a token.
fn open(
    shared: &Arc<Shared>,
    handler: fn(&Shared) -> Response,
) -> impl Fn(Request) -> std::future::Ready<Result<Response>> + Clone + Send + Sync + 'static {
    let shared = shared.clone();
    move |_| std::future::ready(Ok(handler(&shared)))
}

/// Serves a route with `handler` if the request has the token of an operator, and 401 otherwise.
fn guarded<F>(
    shared: &Arc<Shared>,
    handler: Handler<F>,
) -> impl Fn(Request) -> std::pin::Pin<Box<dyn Future<Output = Result<Response>> + Send>> + Clone + Send + Sync + 'static
where
    F: Future<Output = Response> + Send + 'static,
{
    let shared = shared.clone();
    move |request: Request| {
        let shared = shared.clone();
        Box::pin(async move {
            if !allowed(&request, &shared.settings.operator_token_hashes) {
                return Ok(trouble(
                    StatusCode::UNAUTHORIZED,
                    "token",
                    "send an operator's token as: Authorization: Bearer TOKEN",
                ));
            }
            Ok(handler(shared, request).await)
        })
    }
}

/// The routes for operators and workers.
pub fn admin(shared: &Arc<Shared>) -> Router {
    let for_reports = shared.clone();
    Router::new()
        .get("/livez", open(shared, live))
        .get("/readyz", open(shared, ready))
        .get("/metrics", open(shared, metrics::all))
        .get("/v1/config", guarded(shared, config::get))
        .put("/v1/config", guarded(shared, config::put))
        .get("/v1/history", guarded(shared, config::history))
        .get("/v1/changes/:cid", guarded(shared, config::change))
        .get("/v1/effective/:sort/:name", guarded(shared, config::effective))
        .get("/v1/cores", guarded(shared, config::cores))
        .put("/v1/cores", guarded(shared, config::put_cores))
        .post("/v1/drain", guarded(shared, nodes::drain))
        .delete("/v1/drain", guarded(shared, nodes::undrain))
        .get("/v1/nodes", guarded(shared, nodes::nodes))
        .get("/v1/workers", guarded(shared, nodes::workers))
        .get("/v1/beliefs", guarded(shared, nodes::beliefs))
        .post("/v1/report", move |request: Request| {
            let shared = for_reports.clone();
            async move {
                if !allowed(&request, &shared.settings.worker_token_hashes) {
                    return Ok::<_, viz::Error>(trouble(
                        StatusCode::UNAUTHORIZED,
                        "token",
                        "send a worker's token as: Authorization: Bearer TOKEN",
                    ));
                }
                Ok(report::take(shared, request).await)
            }
        })
}

/// The routes for callers.
pub fn downstream(shared: &Arc<Shared>) -> Router {
    let for_calls = shared.clone();
    Router::new().get("/livez", open(shared, live)).get("/readyz", open(shared, ready)).any(
        "/*",
        move |request: Request| {
            let shared = for_calls.clone();
            async move { Ok::<_, viz::Error>(front::serve(shared, request).await) }
        },
    )
}
