use super::{Counts, Hall};
use crate::clock;
use seating::base::Ver;
use seating::cache::{Ctx, Fetched, Found, L1, L2, Opts, Soft, Step, get};
use seating::config::{Quota, Tenant};
use seating::node::View;
use seating::place::Table;
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

/// The caches in front of the lookups that each call makes.
#[derive(Debug)]
pub struct Caches {
    pub keys: L2<Arc<Tenant>>,
    pub quotas: L2<Quota>,
    pub routes: L2<Arc<Table>>,
}

impl Default for Caches {
    fn default() -> Self {
        let o = Opts::default();
        Caches { keys: L2::new(o.clone()), quotas: L2::new(o.clone()), routes: L2::new(o) }
    }
}

/// One thread's own layers.
struct Own {
    keys: L1<Arc<Tenant>>,
    quotas: L1<Quota>,
    routes: L1<Arc<Table>>,
}

thread_local! {
    static OWN: RefCell<Own> = RefCell::new({
        let o = Opts::default();
        Own { keys: L1::new(&o), quotas: L1::new(&o), routes: L1::new(&o) }
    });
}

/// Which of a thread's layers belongs to a kind of value.
pub trait Cut: Clone + Send + Sync + 'static {
    fn with<R>(f: impl FnOnce(&mut L1<Self>) -> R) -> R;
    fn l2(c: &Caches) -> &L2<Self>;
    fn weight(&self) -> usize;
}

macro_rules! cut {
    ($t:ty, $f:ident, $w:expr) => {
        impl Cut for $t {
            fn with<R>(f: impl FnOnce(&mut L1<Self>) -> R) -> R {
                OWN.with(|o| f(&mut o.borrow_mut().$f))
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

cut!(Arc<Tenant>, keys, |_: &Arc<Tenant>| 256);
cut!(Quota, quotas, |_: &Quota| 64);
cut!(Arc<Table>, routes, |t: &Arc<Table>| 64 + t.places.len() * 1_200);

/// L1, L2, then one fetch from the view. Nothing of another version is given.
pub async fn lookup<V: Cut>(
    h: &Hall,
    v: &View,
    key: &str,
    fetch: impl Fn(&View) -> Fetched<V>,
) -> Result<Found<V>, Soft> {
    let ver: Ver = v.ver.unwrap_or(0);
    let l2 = V::l2(&h.caches);
    let until = clock::now() + l2.opts.lock_wait;
    let mut waited = false;
    loop {
        let c = Ctx { now: clock::now(), ver };
        let r = V::with(|l1| {
            l1.update(&l2.log, clock::now);
            match get(l1, l2, key, c) {
                Step::Found(f) => Some(Ok(f)),
                Step::Fetch(l) => {
                    let r = fetch(v);
                    let w = r.as_ref().ok().and_then(|x| x.0.as_ref()).map_or(96, Cut::weight) + key.len();
                    Some(l2.finish(l1, key, &l, r, w, c))
                }
                Step::Wait => None,
            }
        });
        if let Some(r) = r {
            if let Ok(f) = &r {
                let n = match f.level {
                    1 => &h.counts.cache_l1,
                    2 => &h.counts.cache_l2,
                    3 => &h.counts.cache_l3,
                    _ => &h.counts.cache_stale,
                };
                Counts::add(n);
            }
            return r;
        }
        if !waited {
            Counts::add(&h.counts.cache_wait);
        }
        waited = true;
        if clock::now() >= until {
            return l2.stale(key, c);
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
