//! The routes of both listeners, and who may use them.

use super::responses::{text, trouble};
use super::{config, metrics, nodes, report};
use crate::front;
use crate::shared::Shared;
use std::future::Future;
use std::sync::Arc;
use sumacvale_core::base::sha256_hex;
use viz::{Request, Response, Result, Router, StatusCode, header};

/// The token's hash is looked up; the token itself is kept nowhere.
pub fn allowed(r: &Request, hashes: &[String]) -> bool {
    r.headers()
        .get(header::AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|s| s.strip_prefix("Bearer "))
        .is_some_and(|t| hashes.contains(&sha256_hex(t.trim().as_bytes())))
}

fn live(_: &Shared) -> Response {
    text(StatusCode::OK, "live\n".into())
}

fn ready(h: &Shared) -> Response {
    match crate::ops::readiness(h) {
        Ok(()) => text(StatusCode::OK, "ready\n".into()),
        Err(why) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{why}\n")),
    }
}

type Door<F> = fn(Arc<Shared>, Request) -> F;

fn open(
    h: &Arc<Shared>,
    f: fn(&Shared) -> Response,
) -> impl Fn(Request) -> std::future::Ready<Result<Response>> + Clone + Send + Sync + 'static {
    let h = h.clone();
    move |_| std::future::ready(Ok(f(&h)))
}

fn guarded<F>(
    h: &Arc<Shared>,
    f: Door<F>,
) -> impl Fn(Request) -> std::pin::Pin<Box<dyn Future<Output = Result<Response>> + Send>> + Clone + Send + Sync + 'static
where
    F: Future<Output = Response> + Send + 'static,
{
    let h = h.clone();
    move |r: Request| {
        let h = h.clone();
        Box::pin(async move {
            if !allowed(&r, &h.settings.operator_token_hashes) {
                return Ok(trouble(
                    StatusCode::UNAUTHORIZED,
                    "token",
                    "send an operator's token as: Authorization: Bearer TOKEN",
                ));
            }
            Ok(f(h, r).await)
        })
    }
}

/// The routes for operators and workers.
pub fn admin(h: &Arc<Shared>) -> Router {
    let w = h.clone();
    Router::new()
        .get("/livez", open(h, live))
        .get("/readyz", open(h, ready))
        .get("/metrics", open(h, metrics::all))
        .get("/v1/config", guarded(h, config::get))
        .put("/v1/config", guarded(h, config::put))
        .get("/v1/history", guarded(h, config::history))
        .get("/v1/changes/:cid", guarded(h, config::change))
        .get("/v1/effective/:sort/:name", guarded(h, config::effective))
        .get("/v1/cores", guarded(h, config::cores))
        .put("/v1/cores", guarded(h, config::put_cores))
        .post("/v1/drain", guarded(h, nodes::drain))
        .delete("/v1/drain", guarded(h, nodes::undrain))
        .get("/v1/nodes", guarded(h, nodes::nodes))
        .get("/v1/workers", guarded(h, nodes::workers))
        .get("/v1/beliefs", guarded(h, nodes::beliefs))
        .post("/v1/report", move |r: Request| {
            let h = w.clone();
            async move {
                if !allowed(&r, &h.settings.worker_token_hashes) {
                    return Ok::<_, viz::Error>(trouble(
                        StatusCode::UNAUTHORIZED,
                        "token",
                        "send a worker's token as: Authorization: Bearer TOKEN",
                    ));
                }
                Ok(report::take(h, r).await)
            }
        })
}

/// The routes for callers.
pub fn downstream(h: &Arc<Shared>) -> Router {
    let a = h.clone();
    Router::new().get("/livez", open(h, live)).get("/readyz", open(h, ready)).any("/*", move |r: Request| {
        let h = a.clone();
        async move { Ok::<_, viz::Error>(front::serve(h, r).await) }
    })
}
