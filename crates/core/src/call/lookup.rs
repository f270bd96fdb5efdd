//! One lookup of a call: this thread's layer, the shared one, then one fetch from the view.

use super::caches::Layered;
use super::context::StepContext;
use crate::base::Micros;
use crate::cache::{Fetched, LookupContext, Soft, Step, get};
use crate::node::View;

/// What a lookup came to.
pub(super) enum LookupOutcome<V> {
    Found(Option<V>),
    /// Another call fetches this key: look again soon.
    InProgress,
    Failed(Soft),
}

/// L1, L2, then one fetch from the view. Nothing of another version is given.
/// `since` is when this lookup began to wait for another's fetch.
pub(super) fn lookup<V: Layered>(
    cx: &mut StepContext,
    v: &View,
    key: &str,
    since: Option<Micros>,
    fetch: impl FnOnce() -> Fetched<V>,
) -> LookupOutcome<V> {
    let c = LookupContext { now: cx.now, version: v.version.unwrap_or(0) };
    let l1 = V::l1(cx.thread_caches);
    let l2 = V::l2(&cx.shared.caches);
    let n = &cx.shared.counters;
    l1.update(&l2.log, cx.clock);
    let r = match get(l1, l2, key, c) {
        Step::Found(f) => Ok(f),
        Step::Fetch(l) => {
            let r = fetch();
            let w = r.as_ref().ok().and_then(|x| x.0.as_ref()).map_or(96, Layered::weight) + key.len();
            l2.finish(l1, key, &l, r, w, c)
        }
        Step::Wait if since.is_none_or(|t| cx.now < t + l2.opts.lock_wait) => {
            if since.is_none() {
                n.cache_wait.increment();
            }
            return LookupOutcome::InProgress;
        }
        Step::Wait => l2.stale(key, c),
    };
    match r {
        Ok(f) => {
            match f.level {
                1 => &n.cache_l1,
                2 => &n.cache_l2,
                3 => &n.cache_l3,
                _ => &n.cache_stale,
            }
            .increment();
            LookupOutcome::Found(f.value)
        }
        Err(e) => LookupOutcome::Failed(e),
    }
}
