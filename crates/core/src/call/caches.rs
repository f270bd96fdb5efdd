//! The caches in front of a call's lookups: one layer of each thread, one of the process.

use crate::cache::{CacheOptions, L1, L2};
use crate::config::{Limit, Tenant};
use crate::placement::PlacementTable;
use std::sync::Arc;

/// The caches in front of the lookups that each call makes, shared by all threads.
#[derive(Debug)]
pub struct Caches {
    pub keys: L2<Arc<Tenant>>,
    pub quotas: L2<Limit>,
    pub routes: L2<Arc<PlacementTable>>,
}

impl Default for Caches {
    fn default() -> Self {
        let o = CacheOptions::default();
        Caches { keys: L2::new(o.clone()), quotas: L2::new(o.clone()), routes: L2::new(o) }
    }
}

/// One thread's own layers.
#[derive(Debug)]
pub struct ThreadCaches {
    keys: L1<Arc<Tenant>>,
    quotas: L1<Limit>,
    routes: L1<Arc<PlacementTable>>,
}

impl Default for ThreadCaches {
    fn default() -> Self {
        let o = CacheOptions::default();
        ThreadCaches { keys: L1::new(&o), quotas: L1::new(&o), routes: L1::new(&o) }
    }
}

/// Which layers belong to a kind of value.
pub(super) trait Layered: Clone {
    fn l1(o: &mut ThreadCaches) -> &mut L1<Self>;
    fn l2(c: &Caches) -> &L2<Self>;
    fn weight(&self) -> usize;
}

macro_rules! layered {
    ($t:ty, $f:ident, $w:expr) => {
        impl Layered for $t {
            fn l1(o: &mut ThreadCaches) -> &mut L1<Self> {
                &mut o.$f
            }
            fn l2(c: &Caches) -> &L2<Self> {
                &c.$f
            }
            fn weight(&self) -> usize {
                $w(self)
            }
        }
    };
}

layered!(Arc<Tenant>, keys, |_: &Arc<Tenant>| 256);
layered!(Limit, quotas, |_: &Limit| 64);
layered!(Arc<PlacementTable>, routes, |t: &Arc<PlacementTable>| 64 + t.endpoints.len() * 1_200);
