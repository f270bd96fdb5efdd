//! A node's buckets by tenant.

use super::{ShareBucket, TakeOutcome};
use crate::base::{Micros, Shards, hash64};
use crate::config::{CompiledConfig, Limit};
use crate::protocol::{ShareGrant, ShareRequest};
use std::sync::OnceLock;

#[derive(Clone, Debug)]
enum Kept {
    Free,
    Rate(Box<ShareBucket>),
}

/// This node's shares of every tenant that has a rate, and who has no limit.
#[derive(Clone, Debug, Default)]
pub struct RateShares {
    kept: Shards<Kept>,
    /// When this life of the node began: the time of the first version, also an empty one.
    born: OnceLock<Micros>,
    /// Set once a version named any tenant.
    named: OnceLock<()>,
}

/// The name of a tenant between nodes.
pub fn tenant_key(t: &str) -> u64 {
    hash64(t.as_bytes())
}

impl RateShares {
    /// A version comes into force: shares stay, and what they bring follows the version.
    pub fn apply_plan(&self, p: &CompiledConfig, now: Micros) {
        let born = *self.born.get_or_init(|| now);
        let first = self.named.get().is_none();
        if !p.tenants.is_empty() {
            self.named.get_or_init(|| ());
        }
        // A later version may bring a tenant back that this node held something of before.
        let bucket = |r| if first { ShareBucket::first_of_incarnation(r, born, now) } else { ShareBucket::new(r, now) };
        for mut g in self.kept.lock_each() {
            g.retain(|t, _| p.tenants.get(t).is_some_and(|t| !matches!(t.quota, Limit::Window(_))));
        }
        for (n, t) in &p.tenants {
            let mut g = self.kept.lock_shard(n);
            match (t.quota, g.get_mut(n)) {
                (Limit::Window(_), _) => {}
                (Limit::Unlimited, _) => {
                    g.insert(n.clone(), Kept::Free);
                }
                (Limit::Rate(r), Some(Kept::Rate(b))) => b.set_rate(r, now),
                (Limit::Rate(r), _) => {
                    g.insert(n.clone(), Kept::Rate(Box::new(bucket(r))));
                }
            }
        }
    }

    fn with<R>(&self, t: &str, f: impl FnOnce(&mut ShareBucket) -> R) -> Option<R> {
        match self.kept.lock_shard(t).get_mut(t)? {
            Kept::Free => None,
            Kept::Rate(b) => Some(f(b)),
        }
    }

    /// None where the tenant's limit is of another form.
    pub fn take(&self, t: &str, units: u32, now: Micros) -> Option<TakeOutcome> {
        match self.kept.lock_shard(t).get_mut(t)? {
            Kept::Free => Some(TakeOutcome::Taken { window: 0, until: Micros::MAX, low: false }),
            Kept::Rate(b) => Some(b.take_units(units, now)),
        }
    }

    /// For one who waited, and was counted when it came.
    pub fn take_for_waiter(&self, t: &str, units: u32, now: Micros) -> Option<TakeOutcome> {
        self.with(t, |b| b.take_for_waiter(units, now))
    }

    /// For one who comes while others wait.
    pub fn peek(&self, t: &str, units: u32, now: Micros) -> Option<TakeOutcome> {
        self.with(t, |b| b.peek(units, now))
    }

    /// See [`Bucket::set_first`].
    pub fn set_smallest_call(&self, t: &str, units: u32) {
        self.with(t, |b| b.set_smallest_call(units));
    }

    /// False where the tenant's limit is of another form.
    pub fn refund(&self, t: &str, at: Micros) -> bool {
        match self.kept.lock_shard(t).get_mut(t) {
            None => false,
            Some(Kept::Free) => true,
            Some(Kept::Rate(b)) => {
                b.refund(at, at);
                true
            }
        }
    }

    /// Whether the tenant has a rate, or no limit.
    pub fn contains(&self, t: &str) -> bool {
        self.kept.lock_shard(t).contains_key(t)
    }

    /// Whether the tenant's limit is a rate.
    pub fn is_rate(&self, t: &str) -> bool {
        self.with(t, |_| ()).is_some()
    }

    /// See [`Bucket::urge`].
    pub fn request_soon(&self, t: &str) {
        self.with(t, ShareBucket::request_soon);
    }

    /// See [`Bucket::mute`].
    pub fn request_timed_out(&self, t: &str, n: u64) {
        self.with(t, |b| b.request_timed_out(n));
    }

    /// See [`Bucket::deny`].
    pub fn request_rejected(&self, t: &str, n: u64) {
        self.with(t, |b| b.request_rejected(n));
    }

    /// The tenants whose holder should be asked now.
    pub fn due_requests(&self, eager: bool, now: Micros) -> Vec<String> {
        let mut v = Vec::new();
        for mut g in self.kept.lock_each() {
            for (t, k) in g.iter_mut() {
                if let Kept::Rate(b) = k
                    && b.is_request_due(eager, now)
                {
                    v.push(t.clone());
                }
            }
        }
        v.sort();
        v
    }

    /// See [`Bucket::ask`].
    pub fn make_request(&self, t: &str, n: u64, waits: u64, now: Micros) -> Option<ShareRequest> {
        self.with(t, |b| b.make_request(tenant_key(t), n, waits, now))
    }

    /// For how long this life of the node was given nothing of the tenant, and held the same share.
    pub fn idle_for(&self, t: &str, now: Micros) -> Micros {
        self.with(t, |b| b.idle_for(now)).unwrap_or(0)
    }

    /// See [`Bucket::answer`]; false where it is of no use.
    pub fn apply_grant(&self, t: &str, n: u64, g: ShareGrant, at: Micros, now: Micros) -> bool {
        self.with(t, |b| b.apply_grant(n, g, at, now)).unwrap_or(false)
    }

    /// For comparison and metrics: tenant, share in millionths, whole units at hand.
    pub fn list(&self) -> Vec<(String, u32, u64)> {
        let mut v = Vec::new();
        for g in self.kept.lock_each() {
            v.extend(g.iter().filter_map(|(t, k)| match k {
                Kept::Free => None,
                Kept::Rate(b) => {
                    let (s, f) = b.list();
                    Some((t.clone(), s, f))
                }
            }));
        }
        v.sort();
        v
    }
}
