//! A node's shares of rates, by tenant.
//!
//! Holds a [`ShareBucket`] for each tenant with a rate, and an entry for each tenant without a limit. Tenants with
//! counting windows have no entry: methods return `None` or `false` for them, and the caller continues with
//! [`TenantQuotas`](super::TenantQuotas).

use super::{AcquireOutcome, ShareBucket};
use crate::base::{Micros, ShardedMap, hash64};
use crate::config::{CompiledConfig, QuotaLimit, Rate};
use crate::protocol::{LoanRequest, ShareGrant, ShareRequest};
use std::sync::OnceLock;

/// The limit of a tenant that has no counting window.
#[derive(Clone, Debug)]
enum TenantRate {
    Unlimited,
    Limited(Box<ShareBucket>),
}

/// This node's shares of all tenants' rates, and the tenants without a limit.
#[derive(Clone, Debug, Default)]
pub struct RateShares {
    tenants: ShardedMap<TenantRate>,
    /// When this incarnation of the node started: the time of its first configuration, even if that names no tenant.
    started_at: OnceLock<Micros>,
    /// Set by the first configuration that names a tenant, and never cleared.
    has_seen_tenants: OnceLock<()>,
}

/// Returns the hash of a tenant's name, which identifies the tenant in messages between nodes.
pub fn tenant_key(name: &str) -> u64 {
    hash64(name.as_bytes())
}

impl RateShares {
    /// Applies a configuration: shares are kept, and their refill follows the new rates.
    pub fn apply_config(&self, config: &CompiledConfig, now: Micros) {
        let started_at = *self.started_at.get_or_init(|| now);
        let is_first = self.has_seen_tenants.get().is_none();
        if !config.tenants.is_empty() {
            self.has_seen_tenants.get_or_init(|| ());
        }
        for mut tenants in self.tenants.lock_each() {
            tenants.retain(|name, _| {
                config.tenants.get(name).is_some_and(|tenant| !matches!(tenant.quota, QuotaLimit::Window(_)))
            });
        }
        // A later configuration may add a removed tenant again, of whose rate this node held a share before.
        let new_bucket = |rate: Rate| match is_first {
            true => ShareBucket::first_of_incarnation(rate, started_at, now),
            false => ShareBucket::new(rate, now),
        };
        for (name, tenant) in &config.tenants {
            let mut tenants = self.tenants.lock_shard(name);
            match (tenant.quota, tenants.get_mut(name)) {
                (QuotaLimit::Window(_), _) => {}
                (QuotaLimit::Unlimited, _) => {
                    tenants.insert(name.clone(), TenantRate::Unlimited);
                }
                (QuotaLimit::Rate(rate), Some(TenantRate::Limited(bucket))) => bucket.set_rate(rate, now),
                (QuotaLimit::Rate(rate), _) => {
                    tenants.insert(name.clone(), TenantRate::Limited(Box::new(new_bucket(rate))));
                }
            }
        }
    }

    /// Runs `action` on the tenant's bucket; returns `None` if the tenant has no rate.
    fn with_bucket<R>(&self, tenant: &str, action: impl FnOnce(&mut ShareBucket) -> R) -> Option<R> {
        match self.tenants.lock_shard(tenant).get_mut(tenant)? {
            TenantRate::Unlimited => None,
            TenantRate::Limited(bucket) => Some(action(bucket)),
        }
    }

    /// Takes the units of a call that arrives now; returns `None` if the tenant has a counting window or is unknown.
    pub fn acquire_units(&self, tenant: &str, units: u32, now: Micros) -> Option<AcquireOutcome> {
        self.acquire_with(tenant, |bucket| bucket.acquire_units(units, now))
    }

    /// As [`acquire_units`](Self::acquire_units), for a waiting call, whose demand was counted when it arrived.
    pub fn acquire_for_waiter(&self, tenant: &str, units: u32, now: Micros) -> Option<AcquireOutcome> {
        self.acquire_with(tenant, |bucket| bucket.acquire_for_waiter(units, now))
    }

    fn acquire_with(
        &self,
        tenant: &str,
        acquire: impl FnOnce(&mut ShareBucket) -> AcquireOutcome,
    ) -> Option<AcquireOutcome> {
        match self.tenants.lock_shard(tenant).get_mut(tenant)? {
            TenantRate::Unlimited => {
                Some(AcquireOutcome::Acquired { window: 0, expires_at: Micros::MAX, is_low: false })
            }
            TenantRate::Limited(bucket) => Some(acquire(bucket)),
        }
    }

    /// See [`ShareBucket::outcome_behind_waiters`].
    pub fn outcome_behind_waiters(&self, tenant: &str, units: u32, now: Micros) -> Option<AcquireOutcome> {
        self.with_bucket(tenant, |bucket| bucket.outcome_behind_waiters(units, now))
    }

    /// See [`ShareBucket::set_smallest_waiting_call`].
    pub fn set_smallest_waiting_call(&self, tenant: &str, units: u32) {
        self.with_bucket(tenant, |bucket| bucket.set_smallest_waiting_call(units));
    }

    /// Refunds unused units, see [`ShareBucket::refund`]; returns false if the tenant has a counting window or is
    /// unknown.
    pub fn refund(&self, tenant: &str, taken_at: Micros) -> bool {
        match self.tenants.lock_shard(tenant).get_mut(tenant) {
            None => false,
            Some(TenantRate::Unlimited) => true,
            Some(TenantRate::Limited(bucket)) => {
                bucket.refund(taken_at, taken_at);
                true
            }
        }
    }

    /// Returns whether the tenant has a rate, or no limit.
    pub fn contains(&self, tenant: &str) -> bool {
        self.tenants.lock_shard(tenant).contains_key(tenant)
    }

    /// Returns whether the tenant's limit is a rate.
    pub fn is_rate(&self, tenant: &str) -> bool {
        self.with_bucket(tenant, |_| ()).is_some()
    }

    /// See [`ShareBucket::request_units_soon`].
    pub fn request_units_soon(&self, tenant: &str) {
        self.with_bucket(tenant, ShareBucket::request_units_soon);
    }

    /// See [`ShareBucket::request_timed_out`].
    pub fn request_timed_out(&self, tenant: &str, request_id: u64) {
        self.with_bucket(tenant, |bucket| bucket.request_timed_out(request_id));
    }

    /// See [`ShareBucket::request_rejected`].
    pub fn request_rejected(&self, tenant: &str, request_id: u64) {
        self.with_bucket(tenant, |bucket| bucket.request_rejected(request_id));
    }

    /// Returns the tenants, sorted by name, for which a request to the lease holder is due. For tenants that
    /// `is_eager` accepts, the node requests a share before any call arrives.
    pub fn due_requests(&self, is_eager: impl Fn(&str) -> bool, now: Micros) -> Vec<String> {
        self.tenants_where(|name, bucket| bucket.is_request_due(is_eager(name), now))
    }

    /// Returns the tenants, sorted by name, for which a loan request to the standby is due.
    pub fn due_loans(&self, now: Micros) -> Vec<String> {
        self.tenants_where(|_, bucket| bucket.is_loan_due(now))
    }

    fn tenants_where(&self, mut matches: impl FnMut(&str, &mut ShareBucket) -> bool) -> Vec<String> {
        let mut names = Vec::new();
        for mut tenants in self.tenants.lock_each() {
            for (name, rate) in tenants.iter_mut() {
                if let TenantRate::Limited(bucket) = rate
                    && matches(name, bucket)
                {
                    names.push(name.clone());
                }
            }
        }
        names.sort();
        names
    }

    /// See [`ShareBucket::record_waiting`].
    pub fn record_waiting(&self, tenant: &str, units: u64, now: Micros) {
        self.with_bucket(tenant, |bucket| bucket.record_waiting(units, now));
    }

    /// See [`ShareBucket::set_standby_available`].
    pub fn set_standby_available(&self, tenant: &str, is_available: bool) {
        self.with_bucket(tenant, |bucket| bucket.set_standby_available(is_available));
    }

    /// See [`ShareBucket::make_loan_request`].
    pub fn make_loan_request(&self, tenant: &str, now: Micros) -> Option<LoanRequest> {
        self.with_bucket(tenant, |bucket| bucket.make_loan_request(tenant_key(tenant), now))
    }

    /// See [`ShareBucket::apply_loan`].
    pub fn apply_loan(&self, tenant: &str, units: u32, sent_at: Micros, now: Micros) {
        self.with_bucket(tenant, |bucket| bucket.apply_loan(units, sent_at, now));
    }

    /// See [`ShareBucket::lend`]; zero if the tenant has no rate on this node.
    pub fn lend(&self, tenant: &str, request: &LoanRequest, now: Micros) -> u32 {
        self.with_bucket(tenant, |bucket| bucket.lend(request, now)).unwrap_or(0)
    }

    /// See [`ShareBucket::make_request`].
    pub fn make_request(&self, tenant: &str, request_id: u64, waiting_units: u64, now: Micros) -> Option<ShareRequest> {
        self.with_bucket(tenant, |bucket| bucket.make_request(tenant_key(tenant), request_id, waiting_units, now))
    }

    /// See [`ShareBucket::to_reserve_request`].
    pub fn to_reserve_request(&self, tenant: &str, request: ShareRequest) -> ShareRequest {
        self.with_bucket(tenant, |bucket| bucket.to_reserve_request(request)).unwrap_or(request)
    }

    /// See [`ShareBucket::idle_for`]; zero if the tenant has no rate.
    pub fn idle_for(&self, tenant: &str, now: Micros) -> Micros {
        self.with_bucket(tenant, |bucket| bucket.idle_for(now)).unwrap_or(0)
    }

    /// See [`ShareBucket::apply_grant`]; returns false if the grant was ignored.
    pub fn apply_grant(&self, tenant: &str, request_id: u64, grant: ShareGrant, sent_at: Micros, now: Micros) -> bool {
        self.with_bucket(tenant, |bucket| bucket.apply_grant(request_id, grant, sent_at, now)).unwrap_or(false)
    }

    /// Returns, for comparison and metrics, each tenant with its share in millionths and its whole free units,
    /// sorted.
    pub fn list(&self) -> Vec<(String, u32, u64)> {
        let mut rows = Vec::new();
        for tenants in self.tenants.lock_each() {
            for (name, rate) in tenants.iter() {
                if let TenantRate::Limited(bucket) = rate {
                    let (share, free) = bucket.list();
                    rows.push((name.clone(), share, free));
                }
            }
        }
        rows.sort();
        rows
    }
}
