//! Lease requests, renewals, and the start of a lease that a majority has granted.
//!
//! Guarantees that a lease starts only with the grants of a majority of the voters of one set, and that its
//! holder first inherits every grant that these voters recorded. A core requests a vacant role only in its
//! turn by rendezvous hashing, backs off after a rejection for as long as the voter said, and sends no
//! further requests while no majority replies to it.

use super::{LeaseRejection, LeaseRequest, LeaseVote};
use crate::base::{MS, Micros, NodeId, rendezvous_weight};
use crate::consensus::is_majority;
use crate::lease::{LEASE_DURATION, ROLE_COUNT, ReceivedGrant, epoch_base, quota_role};
use crate::node::Node;
use crate::protocol::Message;
use std::cmp::Reverse;

/// The interval at which leases are checked for a due request or renewal, in microseconds.
const CHECK_INTERVAL: Micros = 100 * MS;
/// The delay by which each candidate requests a vacant role after the candidate ranked before it, in
/// microseconds.
const RANK_DELAY: Micros = 100 * MS;
/// The shortest backoff after a rejection, in microseconds. The longest is [`LEASE_DURATION`].
const MIN_BACKOFF: Micros = 20 * MS;

impl Node {
    /// Returns the voters in the order in which rendezvous hashing ranks them for a role.
    pub(in crate::node) fn ranked_voters(&self, role: u32) -> Vec<NodeId> {
        let voters = self.consensus.state.voters().iter().map(|voter| voter.node_id);
        let mut ranked: Vec<_> =
            voters.map(|node| (Reverse(rendezvous_weight(node.0, &role.to_le_bytes())), node)).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, node)| node).collect()
    }

    /// Returns whether this core may request a role now. The voter ranked first may request a vacant role at
    /// once, and each next one [`RANK_DELAY`] later.
    fn is_candidate(&self, role: u32, now: Micros) -> bool {
        let ranked = self.ranked_voters(role);
        let Some(rank) = ranked.iter().position(|node| *node == self.settings.node_id) else { return false };
        let grantor = &self.leases.grantor;
        let vacant_since = grantor.granted.get(&role).map_or(grantor.startup_fence_until, |lease| lease.expires_at);
        now >= vacant_since + RANK_DELAY * rank as u64
    }

    /// Renews the leases that this core holds, and requests the vacant ones for which this core is a
    /// candidate.
    pub(in crate::node) fn tick_leases(&mut self, now: Micros) {
        if !self.is_ready() || now < self.leases.held.renewal_due {
            return;
        }
        self.leases.held.renewal_due = now + CHECK_INTERVAL;
        let is_majority_unresponsive = self.is_majority_unresponsive(now);
        for role in 0..ROLE_COUNT {
            let is_held = self.leases.held.valid_epoch(role, now).is_some();
            if !self.is_draining && (is_held || self.is_candidate(role, now)) {
                self.request_lease_if_due(role, is_held, is_majority_unresponsive, now);
            }
        }
    }

    fn request_lease_if_due(&mut self, role: u32, is_held: bool, is_majority_unresponsive: bool, now: Micros) {
        let voter_set = self.voter_set();
        let highest_granted = self.leases.grantor.epochs.get(&role).copied().unwrap_or(0);
        let held = &mut self.leases.held;
        held.last_request_id += 1;
        let request_id = held.last_request_id;
        let lease = held.by_role.entry(role).or_default();
        if !lease.is_request_due(is_majority_unresponsive, now) {
            return;
        }
        if !is_held {
            lease.start_new_epoch(highest_granted.max(epoch_base(voter_set)));
        }
        lease.record_request(request_id, now);
        let (epoch, is_new_epoch) = (lease.epoch, lease.is_new_epoch);
        self.send_lease_request(LeaseRequest { voter_set, role, epoch, request_id, is_new_epoch }, now);
    }

    fn send_lease_request(&mut self, request: LeaseRequest, now: Micros) {
        let own_id = self.settings.node_id;
        let voters: Vec<_> = self.consensus.state.voters().iter().map(|voter| voter.node_id).collect();
        // A core votes for itself last, so that a failed request blocks no other candidate.
        let includes_self = !request.is_new_epoch || voters.len() == 1;
        for voter in voters {
            if includes_self || voter != own_id {
                self.send(voter, Message::Lease(request.into()), now);
            }
        }
    }

    /// Counts a voter's grant. `delay` is the grant's transit time, by which the granted windows have aged.
    pub(super) fn on_lease_vote(&mut self, from: NodeId, vote: LeaseVote, delay: Micros, now: Micros) {
        let LeaseVote { role, epoch, request_id, .. } = vote;
        let Some(lease) = self.leases.held.by_role.get_mut(&role) else { return };
        let Some(pending_request) = lease.matching_request(request_id, epoch) else { return };
        pending_request.granted_by.insert(from);
        let (sent_at, mut granted_by) = (pending_request.sent_at, pending_request.granted_by.clone());
        let received = vote.grants.into_iter().map(|grant| grant.aged_by(delay));
        lease.inherited_grants.extend(received.map(|grant| ReceivedGrant { received_at: now, grant }));
        lease.registered.extend(vote.registered);
        lease.has_no_predecessor &= vote.has_no_predecessor || !lease.is_new_epoch;
        let is_new_epoch = lease.is_new_epoch;

        let voters = self.consensus.state.voters();
        if is_majority(voters, &granted_by) {
            return self.on_lease_majority(role, sent_at, now);
        }
        let own_id = self.settings.node_id;
        if is_new_epoch && granted_by.insert(own_id) && is_majority(voters, &granted_by) {
            let request = LeaseRequest { voter_set: self.voter_set(), role, epoch, request_id, is_new_epoch };
            self.send(own_id, Message::Lease(request.into()), now);
        }
    }

    /// Starts or extends the lease that a majority has granted; `sent_at` is when the request was sent.
    fn on_lease_majority(&mut self, role: u32, sent_at: Micros, now: Micros) {
        let Some(lease) = self.leases.held.by_role.get_mut(&role) else { return };
        lease.pending_request = None;
        // A renewal that is granted after the lease expired is void: the ledger is gone.
        if !lease.is_new_epoch && !lease.is_valid(now) {
            return;
        }
        lease.extend_from(sent_at);
        if std::mem::take(&mut lease.is_new_epoch) {
            self.on_lease_won(role, now);
        } else if !std::mem::replace(&mut lease.is_renewed, true) {
            self.solicit_share_requests(&[role], now);
        }
    }

    /// Starts a new lease from the state that the granting majority recorded.
    fn on_lease_won(&mut self, role: u32, now: Micros) {
        let voter_set = self.voter_set();
        let Some(lease) = self.leases.held.by_role.get_mut(&role) else { return };
        let inherited_grants = std::mem::take(&mut lease.inherited_grants);
        let registered = std::mem::take(&mut lease.registered);
        let has_no_predecessor = lease.has_no_predecessor && voter_set == 0;
        self.counters.leases_won += 1;
        self.leases.held.holder_hints.insert(role, self.settings.node_id);
        self.forget_windows(role);
        for inherited in inherited_grants {
            self.quota.window_ledger.restore_grant(&inherited.into_current(now), now);
        }
        // A holder under an earlier set of voters may act until its lease expires.
        let overlap = if voter_set > 0 { LEASE_DURATION } else { 0 };
        self.quota.share_pools.begin_lease(role, has_no_predecessor, now, overlap);
        // Every voter of this majority that confirmed a registration did so before it voted.
        self.quota.share_pools.set_suspects(role, &registered);
        let possible_standbys = self.possible_standbys(now);
        self.quota.share_pools.set_reserve_suspects(role, possible_standbys);
        self.leases.held.renewal_due = now;
    }

    /// Drops the windows of a role that an earlier lease of this core recorded.
    fn forget_windows(&mut self, role: u32) {
        let tenants = self.quota.window_ledger.list().into_iter().map(|entry| entry.0);
        for tenant in tenants.filter(|tenant| quota_role(tenant) == role) {
            self.quota.window_ledger.remove_tenant(&tenant);
        }
    }

    /// Records the epoch and holder from a voter's rejection, and backs off unless the lease is still valid.
    pub(super) fn on_lease_rejected(&mut self, rejection: &LeaseRejection, now: Micros) {
        let LeaseRejection { role, epoch, request_id, holder, remaining } = *rejection;
        let Some(lease) = self.leases.held.by_role.get_mut(&role) else { return };
        if lease.pending_request.as_ref().is_none_or(|pending_request| pending_request.request_id != request_id) {
            return;
        }
        self.counters.leases_rejected += 1;
        lease.highest_epoch = lease.highest_epoch.max(epoch);
        if holder != NodeId::default() && holder != self.settings.node_id {
            self.leases.held.holder_hints.insert(role, holder);
        }
        if !lease.is_valid(now) {
            lease.pending_request = None;
            lease.backoff_until = now + remaining.clamp(MIN_BACKOFF, LEASE_DURATION);
        }
    }
}
