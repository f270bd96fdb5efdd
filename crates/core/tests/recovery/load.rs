//! A load of calls of all tenants at all fronts, and the outcomes of these calls after machines were lost.

use crate::net::{ALL, CORES, DOWNTIME, Net, TENANTS};
use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, Rng, SEC};
use sumacvale_core::lease::quota_role;
use sumacvale_core::node::Event;
use sumacvale_core::quota::AcquireOutcome;

/// The mean interval between two calls of a tenant, in microseconds: three quarters of the tenant's rate.
pub const CALL_INTERVAL: Micros = SEC / 30;
/// The time that a call waits for a unit of the quota, in microseconds.
pub const CALL_TIMEOUT: Micros = 500 * MS;

/// The reason why a call had no unit when it was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionCause {
    /// The role has no holder, and the start-up fences of restarted voters prevent a majority for a lease.
    StartupFence,
    /// The role has no holder; the lease of a lost holder may still be valid.
    EarlierLease,
    /// The holder awaits its first renewal.
    FirstRenewal,
    /// Shares that former holders granted may still be in use.
    FormerShares,
    /// The holder's pool has not filled yet.
    EmptyPool,
}

/// Returns the reason why a tenant's calls find no unit now.
pub fn rejection_cause(net: &Net, tenant: &str) -> RejectionCause {
    let role = quota_role(tenant);
    let cores = || net.nodes[..CORES].iter().flatten();
    let Some(holder) = cores().find(|core| core.leases.held.valid_epoch(role, net.now).is_some()) else {
        let voters = cores().filter(|core| core.leases.grantor.startup_fence_until <= net.now).count();
        return if 2 * voters <= CORES { RejectionCause::StartupFence } else { RejectionCause::EarlierLease };
    };
    if holder.share_epoch(role, net.now).is_none() {
        return RejectionCause::FirstRenewal;
    }
    let pool = holder
        .quota
        .share_pools
        .list()
        .into_iter()
        .find(|candidate| candidate.0 == sumacvale_core::quota::tenant_key(tenant));
    if pool.is_none_or(|pool| pool.2 > 0) { RejectionCause::FormerShares } else { RejectionCause::EmptyPool }
}

/// A call that waits for a unit.
pub struct WaitingCall {
    pub front: usize,
    pub tenant: String,
    pub received_at: Micros,
}

/// A call that was rejected, because it got no unit in time.
pub struct RejectedCall {
    pub tenant: String,
    pub received_at: Micros,
    pub cause: RejectionCause,
}

/// A load of calls of all tenants at all fronts, each of which needs a unit of its tenant's quota.
pub struct Calls {
    rng: Rng,
    /// When each tenant's next call is due.
    next_at: Vec<Micros>,
    waiting: Vec<WaitingCall>,
    /// The mean interval between two calls of a tenant, in microseconds.
    interval: Micros,
    /// When each tenant's calls got their units.
    pub served: BTreeMap<String, Vec<Micros>>,
    pub rejected: Vec<RejectedCall>,
}

impl Calls {
    pub fn new(seed: u64, now: Micros) -> Calls {
        Calls::with_interval(seed, now, CALL_INTERVAL)
    }

    /// Creates a load with this mean interval between two calls of a tenant, in microseconds.
    pub fn with_interval(seed: u64, now: Micros, interval: Micros) -> Calls {
        Calls {
            rng: Rng::new(seed),
            next_at: vec![now; TENANTS],
            waiting: vec![],
            interval,
            served: BTreeMap::new(),
            rejected: vec![],
        }
    }

    fn serve(&mut self, tenant: String, now: Micros) {
        self.served.entry(tenant).or_default().push(now);
    }

    /// Starts the calls that are due, and retries or rejects the waiting ones.
    pub fn advance(&mut self, net: &mut Net) {
        for tenant_number in 0..TENANTS {
            while self.next_at[tenant_number] <= net.now {
                self.next_at[tenant_number] += self.interval / 2 + self.rng.next_below(self.interval);
                let front = CORES + usize::try_from(self.rng.next_below((ALL - CORES) as u64)).expect("small");
                if net.nodes[front].is_some() {
                    self.call(net, front, format!("t{tenant_number}"));
                }
            }
        }
        for WaitingCall { front, tenant, received_at } in std::mem::take(&mut self.waiting) {
            let now = net.now;
            let Some(node) = net.nodes[front].as_ref() else { continue };
            match node.quota.slices.rates.acquire_for_waiter(&tenant, 1, now) {
                Some(AcquireOutcome::Acquired { .. }) => self.serve(tenant, now),
                _ if now >= received_at + CALL_TIMEOUT => {
                    let cause = rejection_cause(net, &tenant);
                    self.rejected.push(RejectedCall { tenant, received_at, cause });
                }
                _ => {
                    net.step(front, Event::QuotaNeeded { tenant: tenant.clone(), waiting: 1 });
                    self.waiting.push(WaitingCall { front, tenant, received_at });
                }
            }
        }
    }

    /// Starts a call at a front: the call is served, rejected, or waits for a unit.
    pub fn call(&mut self, net: &Net, front: usize, tenant: String) {
        let node = net.nodes[front].as_ref().expect("it runs");
        let received_at = net.now;
        match node.quota.slices.acquire_unit(&tenant, received_at) {
            AcquireOutcome::Acquired { .. } => self.serve(tenant, received_at),
            AcquireOutcome::RateExhausted { wait, may_receive_units, .. }
                if !may_receive_units && wait > CALL_TIMEOUT =>
            {
                let cause = rejection_cause(net, &tenant);
                self.rejected.push(RejectedCall { tenant, received_at, cause });
            }
            _ => self.waiting.push(WaitingCall { front, tenant, received_at }),
        }
    }

    /// Runs the fleet under this load for a span of virtual time, in microseconds.
    pub fn run(&mut self, net: &mut Net, duration: Micros) {
        let end = net.now + duration;
        while net.now < end {
            net.run(5 * MS);
            self.advance(net);
        }
    }
}

/// The outcomes of the calls received in the two seconds after machines restarted from a power loss.
#[derive(Default)]
pub struct CallsAfterLoss {
    pub calls: usize,
    pub rejected: BTreeMap<RejectionCause, usize>,
    /// For each power loss, the time from the last start to the last rejected call, in milliseconds.
    pub last_rejected_ms: Vec<Micros>,
}

impl CallsAfterLoss {
    /// Adds the outcomes of one power loss: the machines `lost` lose power under load and restart after
    /// [`DOWNTIME`].
    pub fn add_power_loss(&mut self, seed: u64, lost: &[usize]) {
        let mut net = Net::new(|_, _, _| false);
        net.run(8 * SEC);
        let mut calls = Calls::new(seed, net.now);
        calls.run(&mut net, 8 * SEC);
        for index in lost {
            net.nodes[*index] = None;
        }
        calls.run(&mut net, DOWNTIME);
        let mut draw = Rng::new(seed);
        for index in lost {
            net.start(*index);
            calls.run(&mut net, draw.next_below(30) * MS);
        }
        let from = net.now;
        calls.run(&mut net, 3 * SEC);
        let counted = from..from + 2 * SEC;
        let rejected: Vec<_> = calls.rejected.iter().filter(|call| counted.contains(&call.received_at)).collect();
        for call in &rejected {
            *self.rejected.entry(call.cause).or_default() += 1;
        }
        self.last_rejected_ms.push(rejected.iter().map(|call| call.received_at - from).max().unwrap_or(0) / MS);
        self.calls += rejected.len() + calls.served.values().flatten().filter(|at| counted.contains(at)).count();
    }

    pub fn print(&mut self, title: &str) {
        self.last_rejected_ms.sort_unstable();
        let CallsAfterLoss { calls, rejected, last_rejected_ms } = self;
        println!(
            "{title}: of {calls} calls rejected {rejected:?}; the last one received after ms {last_rejected_ms:?}"
        );
    }
}
