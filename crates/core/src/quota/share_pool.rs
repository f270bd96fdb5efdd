//! The lease holder's pool of a rate: the share of each node, and the units that are not lent.
//!
//! Guarantees that the shares of a rate that nodes may hold never sum up to more than the whole rate. The pool is
//! volatile: a new lease holder counts every share as held (*unaccounted*) that it can't prove to be free, until
//! the shares granted by earlier lease holders have expired, or until every incarnation that may hold a share
//! (every *suspect*) has reported its share or is proven dead.
//!
//! Half of the rate is granted as shares in proportion to the nodes' demand; the rest stays in the pool and is lent
//! call by call. A pool that can't grant a share in full records a shortage, during which nodes return any surplus
//! at once.

use super::share_bucket::{
    FULL_SHARE, MILLI, RESERVE_REQUEST_MARKER, SHARE_LEASE, UNIT, reserve_refill, share_capacity, share_refill,
};
use crate::base::{Incarnation, MS, Micros, NodeId};
use crate::config::Rate;
use crate::protocol::{RegisteredIncarnation, ShareGrant, ShareRequest};
use std::collections::{BTreeMap, BTreeSet};

/// The time for which the lease holder counts a share as held after the share has expired, in microseconds: the
/// node's clock may be slower.
const EXPIRY_GRACE: Micros = 100 * MS;
/// The least time for which an incarnation that no voter has registered any more when a lease starts has held
/// nothing, in microseconds: voters forget a registration 20 s after a lease holder last relied on it for 8 s, and a
/// share expires one share lease after that.
const UNREGISTERED_IDLE: Micros = SHARE_LEASE;
/// The least true duration of 50 microseconds on a node's clock, in microseconds: clocks run fast by 2 % at most.
const SLOWEST_CLOCK: u64 = 49;
/// The call rate from which a node holds a share in proportion to its demand, in thousandths of calls per second.
const STEADY_CALL_RATE_MILLI: u64 = 4_000;
/// The time after an incomplete grant in which other nodes return even the smallest surplus, in microseconds.
const SHORTAGE_DURATION: Micros = 1_000 * MS;

/// The least share of the lease holder's standby, in millionths: a quarter of the burst and its refill last a tenant
/// until a lost lease holder is replaced.
pub const STANDBY_SHARE: u32 = FULL_SHARE / 4;
/// The least burst, in usual calls, of a rate of which the standby holds a share: the standby's part of the burst is
/// taken out of the pool.
const MIN_CALLS_FOR_STANDBY: u64 = 8;

/// One incarnation of a node.
type NodeIncarnation = (NodeId, Incarnation);

/// The share that one incarnation may hold, as known to the lease holder.
#[derive(Clone, Debug, Default)]
struct HeldShare {
    /// The newest request; older requests that arrive later are ignored.
    request_id: u64,
    /// In millionths of the rate.
    share: u32,
    expires_at: Micros,
    demand_milli: u64,
    /// The units of the node's usual call.
    mean_call_units: u32,
    /// Whether the node holds the share only as a standby, because no calls of its own arrive.
    is_reserve: bool,
    /// Whether the refill of the reserve goes to this pool. A node that may still apply a grant of an earlier lease may
    /// refill its share itself.
    is_refilled_here: bool,
}

/// The sender of a share request, and the purpose of its share.
#[derive(Clone, Copy, Debug)]
pub struct Requester {
    /// The requesting node and its incarnation.
    pub incarnation: (NodeId, Incarnation),
    /// The number of the request.
    pub request_id: u64,
    /// The purpose of the share.
    pub purpose: SharePurpose,
    /// Whether the node knew of this lease when it sent the request, so that it applies no grant of an earlier lease
    /// afterwards.
    pub knows_lease: bool,
}

/// The purpose for which a node requests a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharePurpose {
    /// For the calls that arrive at the node.
    OwnCalls,
    /// For the calls that arrive at the node, and as a reserve of the lease holder's standby.
    StandbyReserve,
    /// For no calls: the node was the standby, or wrongly considers itself the standby, and returns its share.
    ReturnReserve,
}

/// A share that no node held for some time, and whose refill is credited to the pool.
#[derive(Clone, Copy, Debug)]
struct IdleShare {
    /// In millionths of the rate.
    share: u32,
    duration: Micros,
}

/// The lease holder's accounts of one tenant's rate: the shares that nodes hold, and the units in the pool.
///
/// Invariants: `held_total`, `reserve_total` and `demand_total_milli` are the sums over `held`; `held_total` and
/// `unaccounted_share` together never exceed [`FULL_SHARE`] through a grant of this pool; `free` never exceeds
/// the burst of the unheld share.
#[derive(Clone, Debug, Default)]
pub struct SharePool {
    held: BTreeMap<NodeIncarnation, HeldShare>,
    held_total: u64,
    /// The part of `held_total` that standbys hold as reserves, most of whose refill goes to the pool.
    reserve_total: u64,
    demand_total_milli: u64,
    /// The share that incarnations that have not reported yet may hold, in millionths, until `unaccounted_until`.
    unaccounted_share: u64,
    unaccounted_until: Micros,
    /// The share that a standby may hold from an earlier lease holder, in millionths, until `reserve_until` or until
    /// each node that may be that standby has reported. Standbys without calls of their own are not registered.
    unaccounted_reserve: u64,
    reserve_until: Micros,
    reserve_suspects: BTreeSet<NodeId>,
    /// Incarnations that may hold some of the unaccounted share, which ends once no suspect is left.
    suspects: BTreeSet<NodeIncarnation>,
    /// The start of the time without any grant to any node, by the reports on the suspects; meaningful only once no
    /// suspect is left.
    idle_since: Micros,
    /// The part of the unaccounted share that proved to be held by no node, until it is credited.
    idle_share: Option<IdleShare>,
    /// The end of a shortage: a node was granted less than its target share, and until then others return any surplus.
    shortage_until: Micros,
    /// The units of the unheld share, in the scale of [`UNIT`].
    free: u128,
    refilled_at: Micros,
}

impl SharePool {
    /// Creates the pool of a new lease holder. All shares granted by earlier lease holders have expired by
    /// `unaccounted_until`.
    pub fn new(rate: Rate, unaccounted_until: Micros, now: Micros) -> Self {
        let unaccounted_share = if now < unaccounted_until { u64::from(FULL_SHARE) } else { 0 };
        let refill = share_refill(rate, FULL_SHARE, now.saturating_sub(unaccounted_until));
        let free = refill.min(share_capacity(rate, FULL_SHARE));
        SharePool { unaccounted_share, unaccounted_until, free, refilled_at: now, ..SharePool::default() }
    }

    /// Creates a full pool of a rate of which no node ever held a share.
    pub fn full(rate: Rate, now: Micros) -> Self {
        let free = share_capacity(rate, FULL_SHARE);
        SharePool { free, refilled_at: now, unaccounted_until: now, ..SharePool::default() }
    }

    /// Adds a share from an earlier lease holder that a standby among `suspects` may hold until `until`.
    fn with_unaccounted_reserve(self, suspects: BTreeSet<NodeId>, until: Micros, now: Micros) -> Self {
        if suspects.is_empty() || now >= until {
            return self;
        }
        let free = self.free / u128::from(FULL_SHARE) * u128::from(FULL_SHARE - STANDBY_SHARE);
        let unaccounted_reserve = u64::from(STANDBY_SHARE);
        SharePool { free, unaccounted_reserve, reserve_until: until, reserve_suspects: suspects, ..self }
    }

    /// Clears a possible former standby, whose request reported its whole share of the tenant's rate.
    fn clear_reserve_suspect(&mut self, node_id: NodeId) {
        if self.reserve_suspects.remove(&node_id) && self.reserve_suspects.is_empty() {
            self.unaccounted_reserve = 0;
        }
    }

    fn has_open_reserve(&self, now: Micros) -> bool {
        now < self.reserve_until && self.unaccounted_reserve > 0
    }

    /// Returns the share that no node can hold, in millionths.
    fn unheld_share(&self) -> u32 {
        let taken = self.held_total + self.unaccounted_share.max(self.unaccounted_reserve);
        u32::try_from(u64::from(FULL_SHARE).saturating_sub(taken)).unwrap_or(0)
    }

    /// Returns the part of the rate that refills no node's bucket, in millionths.
    fn refilled_share(&self) -> u32 {
        let reserve = |share: u64| u64::from(reserve_refill(u32::try_from(share).unwrap_or(FULL_SHARE)));
        let held = self.held_total - self.reserve_total + reserve(self.reserve_total);
        let taken = held + self.unaccounted_share.max(reserve(self.unaccounted_reserve));
        u32::try_from(u64::from(FULL_SHARE).saturating_sub(taken)).unwrap_or(0)
    }

    fn cap_free(&mut self, rate: Rate) {
        self.free = self.free.min(share_capacity(rate, self.unheld_share()));
    }

    /// Refills the pool up to now. A share that became free since the last refill is not refilled for the time before.
    fn refill(&mut self, rate: Rate, now: Micros) {
        let unheld = self.unheld_share();
        let refill = share_refill(rate, self.refilled_share(), now.saturating_sub(self.refilled_at));
        self.free = (self.free + refill).min(share_capacity(rate, unheld));
        self.refilled_at = self.refilled_at.max(now);
        if now >= self.unaccounted_until {
            self.unaccounted_share = 0;
        }
        if now >= self.reserve_until {
            self.unaccounted_reserve = 0;
        }
        // A share that no node held, and from which nothing was granted, was refilled for the whole time.
        if let Some(IdleShare { share, duration }) = self.idle_share.take() {
            self.free += share_refill(rate, share, duration).min(share_capacity(rate, share));
            self.cap_free(rate);
        }
    }

    /// Drops expired shares.
    pub fn expire(&mut self, rate: Rate, now: Micros) {
        self.refill(rate, now);
        self.held.retain(|_, held| now < held.expires_at);
        self.held_total = self.held.values().map(|held| u64::from(held.share)).sum();
        let reserves = self.held.values().filter(|held| held.is_refilled_here);
        self.reserve_total = reserves.map(|held| u64::from(held.share)).sum();
        self.demand_total_milli = self.held.values().map(|held| held.demand_milli).sum();
    }

    /// Returns the share that a node should hold, by its demand relative to that of all nodes.
    fn target_share(&self, rate: Rate, request: &ShareRequest, nodes: u64) -> u32 {
        let whole = u64::from(FULL_SHARE);
        let demand_total = self.demand_total_milli;
        let one_call = share_of_call(rate, request.mean_call_units);
        // Half of the rate follows the demand, if that is steady enough to be measured; the rest stays in the pool
        // for nodes with empty buckets.
        let steady = if request.call_rate_milli >= STEADY_CALL_RATE_MILLI { request.demand_milli } else { 0 };
        let proportional = proportion(steady, whole / 2, demand_total.max(1).max(rate.milli_per_second / 2));
        let low_load = request.demand_milli > 0 && demand_total <= rate.milli_per_second
            || demand_total * 2 <= rate.milli_per_second;
        let minimum = if low_load && one_call * nodes.max(1) * 4 <= whole { one_call } else { 0 };
        let target = if proportional < 2 * one_call { minimum } else { proportional.max(minimum) };
        u32::try_from(target.min(whole)).unwrap_or(FULL_SHARE)
    }

    /// Returns the share that a node should hold for the purpose of its request.
    fn target_for(&self, requester: &Requester, rate: Rate, request: &ShareRequest, nodes: u64) -> u32 {
        let for_own_calls = self.target_share(rate, request, nodes);
        let standby_share = || self.standby_share(requester, request.held_share, rate);
        match (requester.purpose, request.demand_milli > 0) {
            (SharePurpose::OwnCalls, _) => for_own_calls,
            (SharePurpose::StandbyReserve, true) => for_own_calls.max(standby_share()),
            (SharePurpose::StandbyReserve, false) => standby_share(),
            (SharePurpose::ReturnReserve, _) => 0,
        }
    }

    /// Returns the total share that other standbys without calls of their own hold or may hold.
    fn reserves_of_others(&self, standby: NodeIncarnation) -> u64 {
        let others = self.held.iter().filter(|(holder, held)| **holder != standby && held.is_reserve);
        others.map(|(_, held)| u64::from(held.share)).sum::<u64>() + self.unaccounted_reserve
    }

    /// Returns the share that the standby holds regardless of its own demand. This share grows only from a pool that is
    /// at least half full, because scarce units are better lent to the nodes that request them first, and only once no
    /// other reserve is left, because a later lease holder counts a single reserve that it does not know of.
    fn standby_share(&self, standby: &Requester, held_share: u32, rate: Rate) -> u32 {
        let mean_call_units = self.held.values().map(|held| held.mean_call_units).max().unwrap_or(1);
        let is_large = share_of_call(rate, mean_call_units) * MIN_CALLS_FOR_STANDBY <= u64::from(FULL_SHARE);
        let is_plentiful = self.free * 2 >= share_capacity(rate, self.unheld_share());
        let may_grow = is_plentiful && standby.knows_lease && self.reserves_of_others(standby.incarnation) == 0;
        match (is_large, may_grow) {
            (false, _) => 0,
            (true, true) => STANDBY_SHARE,
            (true, false) => held_share.min(STANDBY_SHARE),
        }
    }

    /// Grants a share, and lends units to waiting calls. Returns `None` if a later request of the same sender has
    /// already arrived.
    pub fn request(
        &mut self,
        incarnation: (NodeId, Incarnation),
        request_id: u64,
        request: &ShareRequest,
        rate: Rate,
        nodes: u64,
        now: Micros,
    ) -> Option<ShareGrant> {
        let requester = Requester { incarnation, request_id, purpose: SharePurpose::OwnCalls, knows_lease: false };
        self.grant(requester, request, rate, nodes, now)
    }

    /// As [`request`](Self::request), for a node that may be the standby.
    pub fn grant(
        &mut self,
        requester: Requester,
        request: &ShareRequest,
        rate: Rate,
        nodes: u64,
        now: Micros,
    ) -> Option<ShareGrant> {
        let Requester { incarnation, request_id, purpose, knows_lease } = requester;
        self.refill(rate, now);
        let previous = self.held.get(&incarnation).cloned().unwrap_or_default();
        if request_id <= previous.request_id {
            return None;
        }
        self.account_for(&previous, request, rate);
        let is_reserve = purpose != SharePurpose::OwnCalls && request.smallest_call_units == RESERVE_REQUEST_MARKER;
        if previous.is_refilled_here {
            self.reserve_total -= u64::from(previous.share);
        }
        let is_refilled_here = is_reserve && knows_lease;
        if is_refilled_here {
            self.unaccounted_reserve -= self.unaccounted_reserve.min(u64::from(request.held_share));
        }
        let target = self.target_for(&requester, rate, request, nodes);
        let is_returned = purpose == SharePurpose::ReturnReserve;
        let is_far = is_returned || self.is_far_from_target(target, request, rate, now);
        let mut grant = ShareGrant { granted: true, share: request.held_share, ..ShareGrant::default() };
        grant.loaned_units = self.lend(request);
        if target > request.held_share && is_far {
            self.grow(&mut grant, target, rate);
            if grant.share < target && purpose != SharePurpose::StandbyReserve {
                self.shortage_until = now + SHORTAGE_DURATION;
            }
        } else if target < request.held_share && is_far {
            grant.share = target;
        }
        // A share that shrinks counts in full until its holder reports the smaller share.
        let share = grant.share.max(request.held_share);
        self.held_total += u64::from(share - request.held_share);
        self.cap_free(rate);
        let expires_at = now + SHARE_LEASE + EXPIRY_GRACE;
        let (demand_milli, mean_call_units) = (request.demand_milli, request.mean_call_units);
        if is_refilled_here {
            self.reserve_total += u64::from(share);
        }
        let held =
            HeldShare { request_id, share, expires_at, demand_milli, mean_call_units, is_reserve, is_refilled_here };
        self.held.insert(incarnation, held);
        Some(grant)
    }

    /// Replaces the account of a node by the report in its request. The report is exact, because the node accepts no
    /// response to an earlier request.
    fn account_for(&mut self, previous: &HeldShare, request: &ShareRequest, rate: Rate) {
        if request.held_share > previous.share {
            let unknown = u64::from(request.held_share - previous.share);
            self.unaccounted_share -= self.unaccounted_share.min(unknown);
        }
        self.held_total = self.held_total - u64::from(previous.share) + u64::from(request.held_share);
        self.demand_total_milli =
            self.demand_total_milli - previous.demand_milli.min(self.demand_total_milli) + request.demand_milli;
        let shrunk_by = previous.share.saturating_sub(request.held_share);
        self.free += (u128::from(request.returned_milli) * MILLI).min(share_capacity(rate, shrunk_by));
        self.cap_free(rate);
    }

    /// Returns whether a share differs enough from its target to be changed: by an eighth, and by half a usual call;
    /// during a shortage, whether the share exceeds its target at all.
    fn is_far_from_target(&self, target: u32, request: &ShareRequest, rate: Rate, now: Micros) -> bool {
        let difference = u64::from(target.abs_diff(request.held_share));
        if now < self.shortage_until && target < request.held_share {
            return difference >= 1;
        }
        let mean_call_milli = 1_000 * u64::from(request.mean_call_units.max(1));
        let half_a_call = mean_call_milli * u64::from(FULL_SHARE) / rate.burst_milli.max(1) / 2;
        difference >= (u64::from(request.held_share) / 8).max(half_a_call)
    }

    /// Lends units to waiting calls. Lent units count as spent here and expire soon at the node, and so need no share.
    /// Lends only multiples of the smallest call, because a part of a call's units is useless.
    fn lend(&mut self, request: &ShareRequest) -> u32 {
        let smallest_call_units = u64::from(request.smallest_call_units.max(1));
        let whole_calls = u64::try_from(self.free / UNIT).unwrap_or(0) / smallest_call_units * smallest_call_units;
        let lent = u64::from(request.missing_units).min(whole_calls);
        self.free -= u128::from(lent) * UNIT;
        u32::try_from(lent).unwrap_or(0)
    }

    /// Grows a share towards its target as far as the unheld share allows, and adds half of the free units.
    fn grow(&mut self, grant: &mut ShareGrant, target: u32, rate: Rate) {
        let added = (target - grant.share).min(self.unheld_share());
        let burst_milli = (self.free / 2).min(share_capacity(rate, added)) / MILLI;
        self.free -= burst_milli * MILLI;
        grant.share += added;
        grant.burst_milli = u64::try_from(burst_milli).unwrap_or(0);
    }

    /// Clears a suspect, whose requests report its share from now on. The suspect holds `held_share` now, and since
    /// `idle_since` it held the same share and was granted nothing.
    fn clear_suspect(&mut self, suspect: NodeIncarnation, held_share: u32, idle_since: Micros, now: Micros) {
        if !self.suspects.remove(&suspect) {
            return;
        }
        self.idle_since = self.idle_since.max(idle_since);
        if !self.suspects.is_empty() {
            return;
        }
        if self.unaccounted_share > 0 {
            let known = self.held.get(&suspect).map_or(0, |held| held.share);
            let reported = u64::from(held_share.saturating_sub(known));
            let unheld = self.unaccounted_share.saturating_sub(reported + self.unaccounted_reserve);
            let share = u32::try_from(unheld).unwrap_or(0);
            self.idle_share = Some(IdleShare { share, duration: now.saturating_sub(self.idle_since) });
        }
        self.unaccounted_until = self.unaccounted_until.min(now);
    }

    /// Returns, for comparison and in millionths, the sum of the held shares and the unaccounted share.
    pub fn list(&self) -> (u64, u64) {
        (self.held_total, self.unaccounted_share)
    }
}

/// Returns the smallest share whose capacity is a usual call, in millionths.
fn share_of_call(rate: Rate, mean_call_units: u32) -> u64 {
    let whole = u64::from(FULL_SHARE);
    (whole * 1_000 * u64::from(mean_call_units.max(1))).div_ceil(rate.burst_milli.max(1)).min(whole)
}

/// Returns the latest possible start, by this node's clock, of a duration that another node measured.
fn latest_start(measured: Micros, now: Micros) -> Micros {
    now.saturating_sub(measured / (SLOWEST_CLOCK + 1) * SLOWEST_CLOCK)
}

/// Returns `whole` times `part` divided by `total`.
fn proportion(part: u64, whole: u64, total: u64) -> u64 {
    u64::try_from(u128::from(part) * u128::from(whole) / u128::from(total.max(1))).unwrap_or(u64::MAX)
}

/// A lease that this node holds, and what it knows about the shares granted by earlier lease holders.
#[derive(Clone, Debug)]
struct RoleLease {
    /// Whether there was no lease holder before, so that no node holds a share.
    is_first: bool,
    /// When all shares granted by earlier lease holders have expired, or when all suspects were proven dead, if that
    /// is earlier.
    unaccounted_until: Micros,
    /// The nodes, with their addresses, that may have been standbys of earlier lease holders. All shares granted to
    /// them as standbys have expired by `reserve_until`.
    reserve_suspects: BTreeMap<NodeId, String>,
    reserve_until: Micros,
    /// The incarnations, with their addresses, that earlier lease holders may have granted shares to and that
    /// are not proven dead.
    suspects: BTreeMap<NodeIncarnation, String>,
    /// The time since which no incarnation that is proven dead or no longer registered can have held a share.
    idle_since: Micros,
    /// Whether all suspects were proven dead.
    suspects_proven_dead: bool,
}

/// The pool of a tenant's rate, with the role of the tenant.
#[derive(Clone, Debug)]
struct RolePool {
    role: u32,
    pool: SharePool,
}

/// The pools of all roles whose lease this node holds.
#[derive(Clone, Debug, Default)]
pub struct SharePools {
    leases: BTreeMap<u32, RoleLease>,
    /// The pools, by the hash of the tenant's name.
    pools: BTreeMap<u64, RolePool>,
}

impl SharePools {
    /// Starts a lease. Requests that an earlier lease holder may have answered were sent at most
    /// `max_overlap` microseconds after now.
    pub fn begin_lease(&mut self, role: u32, is_first: bool, now: Micros, max_overlap: Micros) {
        self.end_lease(role);
        let unaccounted_until = now + max_overlap + SHARE_LEASE + EXPIRY_GRACE;
        let lease = RoleLease {
            is_first,
            unaccounted_until,
            reserve_suspects: BTreeMap::new(),
            reserve_until: unaccounted_until,
            suspects: BTreeMap::new(),
            idle_since: now.saturating_sub(UNREGISTERED_IDLE),
            suspects_proven_dead: false,
        };
        self.leases.insert(role, lease);
    }

    /// Sets the suspects: the only incarnations to which earlier lease holders can have granted shares. With an empty
    /// list the suspects are unknown, and unaccounted shares end only when they expire.
    pub fn set_suspects(&mut self, role: u32, incarnations: &[RegisteredIncarnation]) {
        if let Some(lease) = self.leases.get_mut(&role) {
            lease.suspects = incarnations
                .iter()
                .map(|suspect| ((suspect.node_id, suspect.incarnation), suspect.addr.clone()))
                .collect();
        }
    }

    /// Sets the only nodes, with their addresses, that may have been standbys of earlier lease holders. With an empty
    /// map, there was no standby.
    pub fn set_reserve_suspects(&mut self, role: u32, nodes: BTreeMap<NodeId, String>) {
        if let Some(lease) = self.leases.get_mut(&role) {
            lease.reserve_suspects = nodes;
        }
    }

    /// Returns the addresses of the nodes that must report before the unaccounted reserve ends early.
    fn reserve_suspect_addresses(&self, role: u32, now: Micros) -> BTreeSet<String> {
        let Some(lease) = self.leases.get(&role).filter(|lease| now < lease.reserve_until && !lease.is_first) else {
            return BTreeSet::new();
        };
        let mut pools = self.pools.values().filter(|entry| entry.role == role).map(|entry| &entry.pool).peekable();
        let is_open = pools.peek().is_none() || pools.any(|pool| pool.has_open_reserve(now));
        if is_open { lease.reserve_suspects.values().cloned().collect() } else { BTreeSet::new() }
    }

    /// Returns the addresses to probe: of all nodes that must report before the unaccounted shares end early.
    pub fn suspect_addresses(&self, role: u32, now: Micros) -> BTreeSet<String> {
        let registered = self.suspects(role, now).into_iter().map(|suspect| suspect.addr);
        registered.chain(self.reserve_suspect_addresses(role, now)).collect()
    }

    /// Returns the incarnations that must report before the unaccounted shares end early.
    pub fn suspects(&self, role: u32, now: Micros) -> Vec<RegisteredIncarnation> {
        let Some(lease) = self.leases.get(&role).filter(|lease| now < lease.unaccounted_until) else {
            return Vec::new();
        };
        let mut pools = self.pools.values().filter(|entry| entry.role == role).map(|entry| &entry.pool).peekable();
        let is_open =
            pools.peek().is_none() || pools.any(|pool| now < pool.unaccounted_until && !pool.suspects.is_empty());
        if !is_open {
            return Vec::new();
        }
        let suspect = |((node_id, incarnation), addr): (&NodeIncarnation, &String)| RegisteredIncarnation {
            node_id: *node_id,
            incarnation: *incarnation,
            addr: addr.clone(),
        };
        lease.suspects.iter().map(suspect).collect()
    }

    /// Records that an incarnation replied under this lease. Suspects at its address, and earlier incarnations of its
    /// node, had ended when the incarnation started, `age` microseconds ago. Returns true if this clears the last
    /// suspect.
    pub fn record_reply(
        &mut self,
        role: u32,
        sender: (NodeId, Incarnation),
        addr: &str,
        age: Micros,
        now: Micros,
    ) -> bool {
        let Some(lease) = self.leases.get_mut(&role) else { return false };
        let is_dead = |suspect: &NodeIncarnation, suspect_addr: &str| {
            *suspect != sender && (suspect_addr == addr || (suspect.0 == sender.0 && suspect.1 < sender.1))
        };
        let dead: Vec<_> = lease
            .suspects
            .iter()
            .filter(|(suspect, addr)| is_dead(suspect, addr))
            .map(|(suspect, _)| *suspect)
            .collect();
        let ended_at = latest_start(age, now);
        for suspect in &dead {
            lease.suspects.remove(suspect);
            lease.idle_since = lease.idle_since.max(ended_at);
            for entry in self.pools.values_mut().filter(|entry| entry.role == role) {
                entry.pool.clear_suspect(*suspect, 0, ended_at, now);
            }
        }
        let is_none_left = !dead.is_empty() && lease.suspects.is_empty();
        if is_none_left {
            lease.unaccounted_until = lease.unaccounted_until.min(now);
            lease.suspects_proven_dead = true;
        }
        is_none_left
    }

    /// Records the report in a request that was sent under this lease: the sender's share of one tenant's rate, and
    /// that for `idle` microseconds the sender held the same share and was granted nothing.
    pub fn record_share_report(
        &mut self,
        role: u32,
        request: &ShareRequest,
        sender: (NodeId, Incarnation),
        rate: Rate,
        idle: Micros,
        now: Micros,
    ) {
        if let Some(pool) = self.pool(role, request.tenant_key, rate, now) {
            pool.refill(rate, now);
            pool.clear_reserve_suspect(sender.0);
            pool.clear_suspect(sender, request.held_share, latest_start(idle, now), now);
            pool.refill(rate, now);
        }
    }

    /// Returns the pool of a tenant's rate, by the hash of the tenant's name, or `None` if this node does not hold the
    /// role's lease.
    pub fn pool(&mut self, role: u32, tenant_key: u64, rate: Rate, now: Micros) -> Option<&mut SharePool> {
        let lease = self.leases.get(&role)?;
        let new_pool = || {
            let unaccounted_until = if lease.suspects_proven_dead { lease.idle_since } else { lease.unaccounted_until };
            let mut pool = if lease.is_first {
                SharePool::full(rate, now)
            } else {
                let suspects = lease.reserve_suspects.keys().copied().collect();
                SharePool::new(rate, unaccounted_until, now).with_unaccounted_reserve(
                    suspects,
                    lease.reserve_until,
                    now,
                )
            };
            pool.suspects = lease.suspects.keys().copied().collect();
            pool.idle_since = lease.idle_since;
            RolePool { role, pool }
        };
        Some(&mut self.pools.entry(tenant_key).or_insert_with(new_pool).pool)
    }

    /// Ends a lease and drops its pools.
    pub fn end_lease(&mut self, role: u32) {
        self.leases.remove(&role);
        self.pools.retain(|_, entry| entry.role != role);
    }

    /// Returns the roles whose lease this node holds.
    pub fn roles(&self) -> Vec<u32> {
        self.leases.keys().copied().collect()
    }

    /// Drops expired shares from all pools. `rate` returns the current rate of a tenant by the hash of its name; the
    /// pool of a tenant without a rate is not refilled.
    pub fn expire(&mut self, rate: impl Fn(u64) -> Option<Rate>, now: Micros) {
        for (key, entry) in &mut self.pools {
            let rate = rate(*key).unwrap_or(Rate { milli_per_second: 0, burst_milli: 0 });
            entry.pool.expire(rate, now);
        }
    }

    /// Returns, for comparison, the hash of each tenant's name with the sum of its held shares and its unaccounted
    /// share in millionths.
    pub fn list(&self) -> Vec<(u64, u64, u64)> {
        let row = |(key, entry): (&u64, &RolePool)| {
            let (held, unaccounted) = entry.pool.list();
            (*key, held, unaccounted)
        };
        self.pools.iter().map(row).collect()
    }
}
