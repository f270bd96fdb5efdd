//! Calls of all tenants at all fronts, and what becomes of them after machines were lost.

use crate::net::{ALL, CORES, DOWNTIME, Net, TENANTS};
use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, Rng, SEC};
use sumacvale_core::lease::quota_role;
use sumacvale_core::node::Event;
use sumacvale_core::quota::AcquireOutcome;

/// How often each tenant calls, in microseconds: at three quarters of its rate.
pub const CALL_INTERVAL: Micros = SEC / 30;
/// How long a call waits for a unit of the quota, in microseconds.
pub const CALL_TIMEOUT: Micros = 500 * MS;

/// What a call without a unit waited for when it was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The role has no holder, and restarted voters that are needed for a lease still have their fence.
    StartupFence,
    /// The role has no holder; the lease of a lost one may still be valid.
    EarlierLease,
    /// The holder awaits its first renewal.
    FirstRenewal,
    /// Shares that former holders granted may be in use.
    FormerShares,
    /// The holder's pool is empty yet.
    EmptyPool,
}

pub fn cause(net: &Net, tenant: &str) -> Cause {
    let role = quota_role(tenant);
    let cores = || net.nodes[..CORES].iter().flatten();
    let Some(holder) = cores().find(|core| core.leases.held.valid_epoch(role, net.now).is_some()) else {
        let voters = cores().filter(|core| core.leases.grantor.fence_until <= net.now).count();
        return if 2 * voters <= CORES { Cause::StartupFence } else { Cause::EarlierLease };
    };
    if holder.share_epoch(role, net.now).is_none() {
        return Cause::FirstRenewal;
    }
    let pool = holder.quota.share_pools.list().into_iter().find(|p| p.0 == sumacvale_core::quota::tenant_key(tenant));
    if pool.is_none_or(|p| p.2 > 0) { Cause::FormerShares } else { Cause::EmptyPool }
}

/// A call that has no unit yet.
pub struct WaitingCall {
    pub front: usize,
    pub tenant: String,
    pub received_at: Micros,
}

/// A call that got no unit in time.
pub struct RejectedCall {
    pub tenant: String,
    pub received_at: Micros,
    pub cause: Cause,
}

/// Calls of all tenants at all fronts, each of which waits for a unit of its tenant's quota.
pub struct Calls {
    rng: Rng,
    /// When each tenant calls next.
    next_at: Vec<Micros>,
    waiting: Vec<WaitingCall>,
    /// How often each tenant calls, in microseconds.
    interval: Micros,
    /// When each tenant's calls got their units.
    pub served: BTreeMap<String, Vec<Micros>>,
    pub rejected: Vec<RejectedCall>,
}

impl Calls {
    pub fn new(seed: u64, now: Micros) -> Calls {
        Calls::with_interval(seed, now, CALL_INTERVAL)
    }

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

    pub fn advance(&mut self, net: &mut Net) {
        for t in 0..TENANTS {
            while self.next_at[t] <= net.now {
                self.next_at[t] += self.interval / 2 + self.rng.below(self.interval);
                let front = CORES + usize::try_from(self.rng.below((ALL - CORES) as u64)).expect("small");
                if net.nodes[front].is_some() {
                    self.call(net, front, format!("t{t}"));
                }
            }
        }
        for WaitingCall { front, tenant, received_at } in std::mem::take(&mut self.waiting) {
            let now = net.now;
            let Some(node) = net.nodes[front].as_ref() else { continue };
            match node.quota.slices.rates.acquire_for_waiter(&tenant, 1, now) {
                Some(AcquireOutcome::Acquired { .. }) => self.serve(tenant, now),
                _ if now >= received_at + CALL_TIMEOUT => {
                    let cause = cause(net, &tenant);
                    self.rejected.push(RejectedCall { tenant, received_at, cause });
                }
                _ => {
                    net.step(front, Event::QuotaNeeded { tenant: tenant.clone(), waiting: 1 });
                    self.waiting.push(WaitingCall { front, tenant, received_at });
                }
            }
        }
    }

    pub fn call(&mut self, net: &Net, front: usize, tenant: String) {
        let node = net.nodes[front].as_ref().expect("it runs");
        let received_at = net.now;
        match node.quota.slices.acquire_unit(&tenant, received_at) {
            AcquireOutcome::Acquired { .. } => self.serve(tenant, received_at),
            AcquireOutcome::RateExhausted { wait, may_get_more, .. } if !may_get_more && wait > CALL_TIMEOUT => {
                let cause = cause(net, &tenant);
                self.rejected.push(RejectedCall { tenant, received_at, cause });
            }
            _ => self.waiting.push(WaitingCall { front, tenant, received_at }),
        }
    }

    pub fn run(&mut self, net: &mut Net, duration: Micros) {
        let end = net.now + duration;
        while net.now < end {
            net.run(5 * MS);
            self.advance(net);
        }
    }
}

/// The outcomes of the calls received in the two seconds after some machines restarted from a loss of power.
#[derive(Default)]
pub struct CallsAfterLoss {
    pub calls: usize,
    pub rejected: BTreeMap<Cause, usize>,
    /// How long after the last start the last rejected call was received, in milliseconds, for each loss.
    pub last_rejected: Vec<Micros>,
}

impl CallsAfterLoss {
    /// Some machines lose power under load and start again after a while.
    pub fn add_loss(&mut self, seed: u64, lost: &[usize]) {
        let mut net = Net::new(|_, _, _| false);
        net.run(8 * SEC);
        let mut calls = Calls::new(seed, net.now);
        calls.run(&mut net, 8 * SEC);
        for i in lost {
            net.nodes[*i] = None;
        }
        calls.run(&mut net, DOWNTIME);
        let mut draw = Rng::new(seed);
        for i in lost {
            net.start(*i);
            calls.run(&mut net, draw.below(30) * MS);
        }
        let from = net.now;
        calls.run(&mut net, 3 * SEC);
        let counted = from..from + 2 * SEC;
        let rejected: Vec<_> = calls.rejected.iter().filter(|call| counted.contains(&call.received_at)).collect();
        for call in &rejected {
            *self.rejected.entry(call.cause).or_default() += 1;
        }
        self.last_rejected.push(rejected.iter().map(|call| call.received_at - from).max().unwrap_or(0) / MS);
        self.calls += rejected.len() + calls.served.values().flatten().filter(|at| counted.contains(at)).count();
    }

    pub fn print(&mut self, title: &str) {
        self.last_rejected.sort_unstable();
        let CallsAfterLoss { calls, rejected, last_rejected } = self;
        println!("{title}: of {calls} calls rejected {rejected:?}; the last one received after ms {last_rejected:?}");
    }
}
