//! The placement table of a pool, built from this node's view and cached.

use super::context::StepContext;
use super::lookup::{LookupOutcome, lookup};
use crate::base::Micros;
use crate::cache::Ttl;
use crate::node::View;
use crate::placement::PlacementTable;
use std::sync::Arc;

/// Builds the table of the workers that accept calls of a pool according to `view`. A pool that a newer
/// version removed is still served by the workers that report it.
pub(super) fn build_pool_table(view: &View, pool: &str) -> PlacementTable {
    let settings = view.config.pools.get(pool);
    PlacementTable::new(view.workers.iter().filter(|worker| {
        worker.pool == pool && settings.is_none_or(|settings| settings.accepts_worker(&worker.worker_id, &worker.addr))
    }))
}

/// Returns the placement table of a pool, or `None` while another call builds the table.
/// `waiting_since` is the time since which this call waits for the table.
pub(super) fn pool_table(
    context: &mut StepContext,
    pool: &str,
    waiting_since: Option<Micros>,
) -> Option<Arc<PlacementTable>> {
    let view = context.view.clone();
    let fetch = || Ok((Some(Arc::new(build_pool_table(&view, pool))), Ttl::Default));
    match lookup(context, &view, pool, waiting_since, fetch) {
        LookupOutcome::Resolved(table) => Some(table.unwrap_or_default()),
        LookupOutcome::Pending => None,
        LookupOutcome::Failed(_) => Some(Arc::new(build_pool_table(&view, pool))),
    }
}
