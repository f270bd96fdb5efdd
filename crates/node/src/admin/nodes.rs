//! Lists of nodes and workers, and draining of this node.

use super::responses::{json, quote};
use crate::clock;
use crate::shared::Shared;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use sumacvale_core::protocol::WorkerReport;
use viz::{Request, Response, StatusCode};

fn join(v: impl Iterator<Item = String>) -> String {
    format!("[{}]", v.collect::<Vec<_>>().join(","))
}

fn node_list(h: &Shared) -> String {
    let v = h.view.load();
    let cs = v.entry.as_ref().map(|d| d.voters.clone()).unwrap_or_default();
    join(v.nodes.iter().map(|(p, alive)| {
        format!(
            "{{\"id\":\"{}\",\"peer\":{},\"admin\":{},\"zone\":{},\"core\":{},\"votes\":{},\"alive\":{alive},\"leaving\":{},\"version\":{}}}",
            p.node_id, quote(&p.addr), quote(&p.admin), quote(&p.zone), p.is_core,
            cs.iter().any(|c| c.node_id == p.node_id), p.draining, p.version,
        )
    }))
}

fn worker_list(rows: &[WorkerReport]) -> String {
    join(rows.iter().map(|r| {
        format!(
            "{{\"id\":{},\"addr\":{},\"pool\":{},\"zone\":{},\"incarnation\":{},\"seq\":{},\"slots\":{},\"busy\":{}}}",
            quote(&r.worker_id),
            quote(&r.addr),
            quote(&r.pool),
            quote(&r.zone),
            r.incarnation,
            r.seq,
            r.slots,
            r.busy,
        )
    }))
}

/// All nodes as this one knows them.
pub async fn nodes(h: Arc<Shared>, _: Request) -> Response {
    json(StatusCode::OK, node_list(&h))
}

fn rest(h: &Shared, on: bool) -> Response {
    if h.operator_draining.swap(on, Ordering::AcqRel) != on {
        tracing::info!(draining = on, "an operator changed whether this node is ready");
    }
    json(StatusCode::OK, format!("{{\"draining\":{on}}}"))
}

/// Not ready from now on, so that the platform hands it no clients; it serves on.
pub async fn drain(h: Arc<Shared>, _: Request) -> Response {
    rest(&h, true)
}

/// This node takes calls again.
pub async fn undrain(h: Arc<Shared>, _: Request) -> Response {
    rest(&h, false)
}

/// All workers as this node knows them.
pub async fn workers(h: Arc<Shared>, _: Request) -> Response {
    json(StatusCode::OK, worker_list(&h.view.load().workers))
}

/// All that this node believes, for comparison with another.
pub async fn beliefs(h: Arc<Shared>, _: Request) -> Response {
    let v = h.view.load();
    let age = v.confirmed_at.map_or("null".into(), |t| (clock::now().saturating_sub(t) / 1_000).to_string());
    let d = v.entry.as_ref();
    let cores = join(
        d.iter().flat_map(|d| &d.voters).map(|c| format!("{{\"id\":\"{}\",\"peer\":{}}}", c.node_id, quote(&c.addr))),
    );
    let terms = join(v.held_leases.iter().map(|(d, e)| format!("{{\"duty\":{d},\"epoch\":{e}}}")));
    let grants =
        join(v.grants.iter().map(|(t, w, c, r)| {
            format!("{{\"tenant\":{},\"window\":{w},\"granted\":{c},\"returned\":{r}}}", quote(t))
        }));
    let slices = join(h.call_state.slices.list().iter().map(|(t, w, g, r, f)| {
        format!("{{\"tenant\":{},\"window\":{w},\"granted\":{g},\"returned\":{r},\"free\":{f}}}", quote(t))
    }));
    let shares = join(
        h.call_state
            .slices
            .rates
            .list()
            .iter()
            .map(|(t, s, f)| format!("{{\"tenant\":{},\"share_ppm\":{s},\"free\":{f}}}", quote(t))),
    );
    let held = join(v.share_pools.iter().map(|(k, held, dark)| {
        let t = v.config.tenants.keys().find(|t| sumacvale_core::quota::tenant_key(t) == *k).map_or("", String::as_str);
        format!("{{\"tenant\":{},\"held_ppm\":{held},\"unknown_ppm\":{dark}}}", quote(t))
    }));
    let size = |n: &str, s: (usize, usize)| format!("\"{n}\":{{\"hits\":{},\"misses\":{}}}", s.0, s.1);
    let cache = [
        size("keys", h.call_state.caches.keys.size()),
        size("quotas", h.call_state.caches.quotas.size()),
        size("routes", h.call_state.caches.routes.size()),
    ]
    .join(",");
    let fleet = d.map_or(0, |d| d.fleet_id);
    json(
        StatusCode::OK,
        format!(
            "{{\"id\":\"{}\",\"zone\":{},\"fleet\":\"{fleet:016x}\",\"version\":{},\"change\":{},\"stamp_age_ms\":{age},\"fresh\":{},\"votes\":{},\"stopping\":{},\"cores\":{cores},\"nodes\":{},\"workers\":{},\"terms\":{terms},\"grants\":{grants},\"slices\":{slices},\"shares\":{shares},\"pools\":{held},\"cache\":{{{cache}}}}}",
            h.node_id,
            quote(&h.settings.zone),
            v.version.map_or("null".into(), |n| n.to_string()),
            d.map_or("null".into(), |d| format!("\"{}\"", d.change_id)),
            h.may_admit(&v),
            v.voter,
            h.is_stopping(),
            node_list(&h),
            worker_list(&v.workers),
        ),
    )
}
