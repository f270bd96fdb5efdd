//! Lists nodes and workers, drains this node, and shows its view.

use super::responses::{json, quote};
use crate::clock;
use crate::shared::Shared;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use sumacvale_core::protocol::WorkerReport;
use viz::{Request, Response, StatusCode};

/// Joins JSON values into a JSON array.
fn json_array(items: impl Iterator<Item = String>) -> String {
    format!("[{}]", items.collect::<Vec<_>>().join(","))
}

/// Returns the nodes of the view as a JSON array.
fn node_list(shared: &Shared) -> String {
    let view = shared.view.load();
    let voters = view.entry.as_ref().map(|entry| entry.voters.clone()).unwrap_or_default();
    json_array(view.nodes.iter().map(|(node, alive)| {
        format!(
            "{{\"id\":\"{}\",\"peer\":{},\"admin\":{},\"zone\":{},\"core\":{},\"votes\":{},\"alive\":{alive},\"leaving\":{},\"version\":{}}}",
            node.node_id, quote(&node.addr), quote(&node.admin), quote(&node.zone), node.is_core,
            voters.iter().any(|voter| voter.node_id == node.node_id), node.draining, node.version,
        )
    }))
}

/// Returns the reports as a JSON array.
fn worker_list(reports: &[WorkerReport]) -> String {
    json_array(reports.iter().map(|report| {
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

/// Lists all nodes known to this node.
pub async fn nodes(shared: Arc<Shared>, _: Request) -> Response {
    json(StatusCode::OK, node_list(&shared))
}

/// Sets whether an operator drains this node, and logs a change.
fn set_draining(shared: &Shared, draining: bool) -> Response {
    if shared.operator_draining.swap(draining, Ordering::AcqRel) != draining {
        tracing::info!(draining, "drain state of this node set by an operator");
    }
    json(StatusCode::OK, format!("{{\"draining\":{draining}}}"))
}

/// Marks this node as not ready, so that the platform routes no new clients to it. The node continues to
/// serve calls.
pub async fn drain(shared: Arc<Shared>, _: Request) -> Response {
    set_draining(&shared, true)
}

/// Marks this node as ready again.
pub async fn undrain(shared: Arc<Shared>, _: Request) -> Response {
    set_draining(&shared, false)
}

/// Lists all workers known to this node.
pub async fn workers(shared: Arc<Shared>, _: Request) -> Response {
    json(StatusCode::OK, worker_list(&shared.view.load().workers))
}

/// Shows the whole view of this node, for comparison with the view of another node.
pub async fn node_view(shared: Arc<Shared>, _: Request) -> Response {
    let view = shared.view.load();
    let view_age_ms = view
        .confirmed_at
        .map_or("null".into(), |confirmed_at| (clock::now().saturating_sub(confirmed_at) / 1_000).to_string());
    let entry = view.entry.as_ref();
    let cores = json_array(
        entry
            .iter()
            .flat_map(|entry| &entry.voters)
            .map(|voter| format!("{{\"id\":\"{}\",\"peer\":{}}}", voter.node_id, quote(&voter.addr))),
    );
    let leases =
        json_array(view.held_leases.iter().map(|(role, epoch)| format!("{{\"duty\":{role},\"epoch\":{epoch}}}")));
    let grants = json_array(view.grants.iter().map(|(tenant, window, granted, returned)| {
        format!("{{\"tenant\":{},\"window\":{window},\"granted\":{granted},\"returned\":{returned}}}", quote(tenant))
    }));
    let slices = json_array(shared.call_state.slices.list().iter().map(|(tenant, window, granted, returned, free)| {
        format!(
            "{{\"tenant\":{},\"window\":{window},\"granted\":{granted},\"returned\":{returned},\"free\":{free}}}",
            quote(tenant)
        )
    }));
    let shares = json_array(shared.call_state.slices.rates.list().iter().map(|(tenant, share, free)| {
        format!("{{\"tenant\":{},\"share_ppm\":{share},\"free\":{free}}}", quote(tenant))
    }));
    let share_pools = json_array(view.share_pools.iter().map(|(key, held, unknown)| {
        let tenant_name = view
            .config
            .tenants
            .keys()
            .find(|tenant| sumacvale_core::quota::tenant_key(tenant) == *key)
            .map_or("", String::as_str);
        format!("{{\"tenant\":{},\"held_ppm\":{held},\"unknown_ppm\":{unknown}}}", quote(tenant_name))
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
            "{{\"id\":\"{}\",\"zone\":{},\"fleet\":\"{fleet:016x}\",\"version\":{},\"change\":{},\"stamp_age_ms\":{view_age_ms},\"fresh\":{},\"votes\":{},\"stopping\":{},\"cores\":{cores},\"nodes\":{},\"workers\":{},\"terms\":{leases},\"grants\":{grants},\"slices\":{slices},\"shares\":{shares},\"pools\":{share_pools},\"cache\":{{{cache}}}}}",
            shared.node_id,
            quote(&shared.settings.zone),
            view.version.map_or("null".into(), |version| version.to_string()),
            entry.map_or("null".into(), |entry| format!("\"{}\"", entry.change_id)),
            shared.may_admit(&view),
            view.is_voter,
            shared.is_stopping(),
            node_list(&shared),
            worker_list(&view.workers),
        ),
    )
}
