//! The placement table of a pool, made from this node's view and kept in the caches.

use super::context::StepContext;
use super::lookup::{LookupOutcome, lookup};
use crate::base::Micros;
use crate::cache::Ttl;
use crate::node::View;
use crate::placement::PlacementTable;
use std::sync::Arc;

/// The workers that take calls of a pool by this view. A pool that a newer version removed is still
/// served by the workers that report it.
pub(super) fn build_pool_table(view: &View, pool: &str) -> PlacementTable {
    let settings = view.config.pools.get(pool);
    PlacementTable::new(view.workers.iter().filter(|worker| {
        worker.pool == pool && settings.is_none_or(|settings| settings.accepts_worker(&worker.worker_id, &worker.addr))
    }))
}

/// The placement table of a pool, or `None` while another call makes it. `waiting_since` is when
/// this call began to wait for that.
pub(super) fn pool_table(
    context: &mut StepContext,
    pool: &str,
    waiting_since: Option<Micros>,
) -> Option<Arc<PlacementTable>> {
    let view = context.view.clone();
    let fetch = || Ok((Some(Arc::new(build_pool_table(&view, pool))), Ttl::Default));
    match lookup(context, &view, pool, waiting_since, fetch) {
        LookupOutcome::Found(table) => Some(table.unwrap_or_default()),
        LookupOutcome::InProgress => None,
        LookupOutcome::Failed(_) => Some(Arc::new(build_pool_table(&view, pool))),
    }
}
