//! Lists of nodes and workers, and draining of this node.

use super::responses::{json, quote};
use crate::clock;
use crate::shared::Shared;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use sumacvale_core::protocol::WorkerReport;
use viz::{Request, Response, StatusCode};

/// A JSON list of JSON values.
fn join(items: impl Iterator<Item = String>) -> String {
    format!("[{}]", items.collect::<Vec<_>>().join(","))
}

fn node_list(shared: &Shared) -> String {
    let view = shared.view.load();
    let voters = view.entry.as_ref().map(|entry| entry.voters.clone()).unwrap_or_default();
    join(view.nodes.iter().map(|(node, alive)| {
        format!(
            "{{\"id\":\"{}\",\"peer\":{},\"admin\":{},\"zone\":{},\"core\":{},\"votes\":{},\"alive\":{alive},\"leaving\":{},\"version\":{}}}",
            node.node_id, quote(&node.addr), quote(&node.admin), quote(&node.zone), node.is_core,
            voters.iter().any(|voter| voter.node_id == node.node_id), node.draining, node.version,
        )
    }))
}

fn worker_list(reports: &[WorkerReport]) -> String {
    join(reports.iter().map(|report| {
        format!(
            "{{\"id\":{},\"addr\":{},\"pool\":{},\"zone\":{},\"incarnation\":{},\"seq\":{},\"slots\":{},\"busy\":{}}}",
            quote(&report.worker_id),
            quote(&report.addr),
            quote(&report.pool),
            quote(&report.zone),
            report.incarnation,
            report.seq,
            report.slots,
            report.busy,
        )
    }))
}

/// All nodes known to this node.
pub async fn nodes(shared: Arc<Shared>, _: Request) -> Response {
    json(StatusCode::OK, node_list(&shared))
}

fn set_draining(shared: &Shared, draining: bool) -> Response {
    if shared.operator_draining.swap(draining, Ordering::AcqRel) != draining {
        tracing::info!(draining, "an operator changed whether this node is ready");
    }
    json(StatusCode::OK, format!("{{\"draining\":{draining}}}"))
}

/// Marks this node as not ready, so that the platform routes no new clients to it. It goes on serving
/// calls.
pub async fn drain(shared: Arc<Shared>, _: Request) -> Response {
    set_draining(&shared, true)
}

/// Marks this node as ready again.
pub async fn undrain(shared: Arc<Shared>, _: Request) -> Response {
    set_draining(&shared, false)
}

/// All workers known to this node.
pub async fn workers(shared: Arc<Shared>, _: Request) -> Response {
    json(StatusCode::OK, worker_list(&shared.view.load().workers))
}

/// The whole view of this node, for comparison with that of another.
pub async fn beliefs(shared: Arc<Shared>, _: Request) -> Response {
    let view = shared.view.load();
    let age = view.confirmed_at.map_or("null".into(), |t| (clock::now().saturating_sub(t) / 1_000).to_string());
    let entry = view.entry.as_ref();
    let cores = join(
        entry
            .iter()
            .flat_map(|entry| &entry.voters)
            .map(|c| format!("{{\"id\":\"{}\",\"peer\":{}}}", c.node_id, quote(&c.addr))),
    );
    let terms = join(view.held_leases.iter().map(|(role, epoch)| format!("{{\"duty\":{role},\"epoch\":{epoch}}}")));
    let grants = join(view.grants.iter().map(|(tenant, window, granted, returned)| {
        format!("{{\"tenant\":{},\"window\":{window},\"granted\":{granted},\"returned\":{returned}}}", quote(tenant))
    }));
    let slices = join(shared.call_state.slices.list().iter().map(|(tenant, window, granted, returned, free)| {
        format!(
            "{{\"tenant\":{},\"window\":{window},\"granted\":{granted},\"returned\":{returned},\"free\":{free}}}",
            quote(tenant)
        )
    }));
    let shares = join(shared.call_state.slices.rates.list().iter().map(|(tenant, share, free)| {
        format!("{{\"tenant\":{},\"share_ppm\":{share},\"free\":{free}}}", quote(tenant))
    }));
    let held = join(view.share_pools.iter().map(|(key, held, unknown)| {
        let t = view
            .config
            .tenants
            .keys()
            .find(|t| sumacvale_core::quota::tenant_key(t) == *key)
            .map_or("", String::as_str);
        format!("{{\"tenant\":{},\"held_ppm\":{held},\"unknown_ppm\":{unknown}}}", quote(t))
    }));
    let cache_counts =
        |name: &str, (hits, misses): (usize, usize)| format!("\"{name}\":{{\"hits\":{hits},\"misses\":{misses}}}");
    let cache = [
        cache_counts("keys", shared.call_state.caches.keys.size()),
        cache_counts("quotas", shared.call_state.caches.quotas.size()),
        cache_counts("routes", shared.call_state.caches.routes.size()),
    ]
    .join(",");
    let fleet = entry.map_or(0, |entry| entry.fleet_id);
    json(
        StatusCode::OK,
        format!(
            "{{\"id\":\"{}\",\"zone\":{},\"fleet\":\"{fleet:016x}\",\"version\":{},\"change\":{},\"stamp_age_ms\":{age},\"fresh\":{},\"votes\":{},\"stopping\":{},\"cores\":{cores},\"nodes\":{},\"workers\":{},\"terms\":{terms},\"grants\":{grants},\"slices\":{slices},\"shares\":{shares},\"pools\":{held},\"cache\":{{{cache}}}}}",
            shared.node_id,
            quote(&shared.settings.zone),
            view.version.map_or("null".into(), |n| n.to_string()),
            entry.map_or("null".into(), |entry| format!("\"{}\"", entry.change_id)),
            shared.may_admit(&view),
            view.voter,
            shared.is_stopping(),
            node_list(&shared),
            worker_list(&view.workers),
        ),
    )
}
