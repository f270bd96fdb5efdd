use super::answer::Answer;
use super::call::{Call, Heard};
use super::{filter, send};
use crate::clock;
use crate::hall::{Counts, Hall};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use viz::{Request, Response};

/// Takes one call through the chain.
pub async fn serve(h: Arc<Hall>, r: Request) -> Response {
    Counts::add(&h.counts.calls);
    let (p, body) = r.into_parts();
    let n = h.calls.fetch_add(1, Ordering::Relaxed);
    let id = match p.headers.get("x-call-id").and_then(|v| v.to_str().ok()).filter(|s| !s.is_empty() && s.len() <= 128)
    {
        Some(s) => s.to_owned(),
        None => format!("{}-{n}", h.nid),
    };
    let view = h.view.load_full();
    let c = Call {
        view,
        id: id.clone(),
        method: p.method,
        path: p.uri.path().to_owned(),
        query: p.uri.query().map(str::to_owned),
        heads: p.headers,
        at: clock::now(),
        st: Heard { body },
        hall: h,
    };
    match pass(c).await {
        Ok(r) => r,
        Err(a) => a.into_response(&id),
    }
}

async fn pass(c: Call<Heard>) -> Result<Response, Answer> {
    let c = filter::fresh(c)?;
    let c = filter::key(c).await?;
    let c = filter::pick(c)?;
    let c = filter::read(c).await?;
    let c = filter::quota(c).await?;
    send::run(c).await
}
