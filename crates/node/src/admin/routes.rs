//! The routes of the admin and client listeners, and the bearer tokens that they require.

use super::responses::{error_response, text};
use super::{config, metrics, nodes, report};
use crate::front;
use crate::shared::Shared;
use std::future::Future;
use std::sync::Arc;
use sumacvale_core::base::sha256_hex;
use viz::{Request, Response, Result, Router, StatusCode, header};

/// Returns true if the SHA-256 hash of the request's bearer token is among `token_hashes`. Tokens themselves
/// are never stored.
pub fn is_authorized(request: &Request, token_hashes: &[String]) -> bool {
    request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .is_some_and(|token| token_hashes.contains(&sha256_hex(token.trim().as_bytes())))
}

/// Reports that the process runs.
fn live(_: &Shared) -> Response {
    text(StatusCode::OK, "live\n".into())
}

/// Reports whether this node accepts new clients, and the reason if it does not.
fn ready(shared: &Shared) -> Response {
    match crate::ops::readiness(shared) {
        Ok(()) => text(StatusCode::OK, "ready\n".into()),
        Err(reason) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    }
}

/// A handler of a route for operators.
type Handler<F> = fn(Arc<Shared>, Request) -> F;

/// Makes a route that requires no token.
fn public(
    shared: &Arc<Shared>,
    handler: fn(&Shared) -> Response,
) -> impl Fn(Request) -> std::future::Ready<Result<Response>> + Clone + Send + Sync + 'static {
    let shared = shared.clone();
    move |_| std::future::ready(Ok(handler(&shared)))
}

/// Makes a route that runs `handler` if the request has an operator's token, and responds 401 otherwise.
fn operator_only<F>(
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
            if !is_authorized(&request, &shared.settings.operator_token_hashes) {
                return Ok(error_response(
                    StatusCode::UNAUTHORIZED,
                    "token",
                    "send an operator's token as: Authorization: Bearer TOKEN",
                ));
            }
            Ok(handler(shared, request).await)
        })
    }
}

/// Returns the routes for operators and workers.
pub fn admin_routes(shared: &Arc<Shared>) -> Router {
    let shared_for_reports = shared.clone();
    Router::new()
        .get("/livez", public(shared, live))
        .get("/readyz", public(shared, ready))
        .get("/metrics", public(shared, metrics::render))
        .get("/v1/config", operator_only(shared, config::get))
        .put("/v1/config", operator_only(shared, config::put))
        .get("/v1/history", operator_only(shared, config::history))
        .get("/v1/changes/:cid", operator_only(shared, config::change))
        .get("/v1/effective/:sort/:name", operator_only(shared, config::effective))
        .get("/v1/cores", operator_only(shared, config::cores))
        .put("/v1/cores", operator_only(shared, config::put_cores))
        .post("/v1/drain", operator_only(shared, nodes::drain))
        .delete("/v1/drain", operator_only(shared, nodes::undrain))
        .get("/v1/nodes", operator_only(shared, nodes::nodes))
        .get("/v1/workers", operator_only(shared, nodes::workers))
        .get("/v1/beliefs", operator_only(shared, nodes::node_view))
        .post("/v1/report", move |request: Request| {
            let shared = shared_for_reports.clone();
            async move {
                if !is_authorized(&request, &shared.settings.worker_token_hashes) {
                    return Ok::<_, viz::Error>(error_response(
                        StatusCode::UNAUTHORIZED,
                        "token",
                        "send a worker's token as: Authorization: Bearer TOKEN",
                    ));
                }
                Ok(report::receive(shared, request).await)
            }
        })
}

/// Returns the routes for clients.
pub fn client_routes(shared: &Arc<Shared>) -> Router {
    let shared_for_calls = shared.clone();
    Router::new().get("/livez", public(shared, live)).get("/readyz", public(shared, ready)).any(
        "/*",
        move |request: Request| {
            let shared = shared_for_calls.clone();
            async move { Ok::<_, viz::Error>(front::serve(shared, request).await) }
        },
    )
}
