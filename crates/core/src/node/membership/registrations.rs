//! Registrations of the node incarnations that may hold shares of rates. A majority of voters has a registration on
//! disk before a lease holder grants that incarnation any share.
//!
//! Therefore a new lease holder, which queries a majority, knows every incarnation that may hold a share of an
//! earlier lease (the *suspects* of [`SharePools`](crate::quota::SharePools)). The lease holder probes the
//! suspects' addresses every [`PROBE_INTERVAL`]: a suspect that replies reports its share, and a suspect whose
//! address or node id has a later incarnation is dead. Voters drop a registration [`REGISTRATION_RETENTION`] after
//! a lease holder last requested it.

use crate::base::{Incarnation, MS, Micros, NodeId, SEC, Version};
use crate::consensus::{DurableState, DurableWrite, is_majority};
use crate::node::Node;
use crate::node::quota::ShareRequests;
use crate::protocol::{LeaseClaim, MembershipMessage, Message, QuotaMessage, RegisteredIncarnation, ShareRequest};
use crate::quota::{RESERVE_REQUEST_MARKER, STANDBY_SHARE};
use std::collections::{BTreeMap, BTreeSet};

/// The time for which a lease holder relies on a registration, from its request on, in microseconds.
const REGISTRATION_VALIDITY: Micros = 8 * SEC;
/// The age at which a registration is renewed, in microseconds.
const RENEWAL_AGE: Micros = 4 * SEC;
/// The time after which a voter drops a registration, in microseconds. By then every share that was granted by
/// it has expired: shares end one share lease after a lease holder last relied on the registration.
const REGISTRATION_RETENTION: Micros = 20 * SEC;
/// The time after which an unconfirmed registration is sent again, in microseconds.
const RESPONSE_TIMEOUT: Micros = 200 * MS;
/// The interval between probes of suspects, in microseconds.
const PROBE_INTERVAL: Micros = 150 * MS;
/// The interval at which outdated entries are dropped, in microseconds.
const CLEANUP_INTERVAL: Micros = SEC;
/// How long unconfirmed registrations, and share requests that wait for one, are kept, in microseconds.
const PENDING_RETENTION: Micros = SEC;
/// The maximum number of registered incarnations, also for one message and for the requests that wait.
const MAX_INCARNATIONS: usize = 10_000;

/// A node and one of its incarnations.
type NodeIncarnation = (NodeId, Incarnation);

/// A registration request that no majority of voters has confirmed yet.
#[derive(Clone, Debug)]
struct PendingRegistration {
    sent_at: Micros,
    voter_set: Version,
    /// The incarnations to register.
    incarnations: Vec<NodeIncarnation>,
    /// The voters that have the registrations on disk.
    confirmed_by: BTreeSet<NodeId>,
}

/// Share requests that wait for the registration of their sender.
#[derive(Clone, Debug)]
struct WaitingRequests {
    received_at: Micros,
    batch: ShareRequests,
}

/// A registration that is on a voter's disk or is being written to it.
#[derive(Clone, Debug)]
struct Registration {
    /// The address of the incarnation.
    addr: String,
    /// When a lease holder last requested the registration.
    requested_at: Micros,
}

/// The registrations of a node: as a voter those on its disk, as a lease holder those that it relies on.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct Registrations {
    /// As a voter: the registrations that are on its disk or are being written to it.
    registered: BTreeMap<NodeIncarnation, Registration>,
    /// When outdated entries were last dropped.
    cleaned_up_at: Micros,
    /// As a lease holder: the registrations that a majority has confirmed, and when each was requested.
    confirmed: BTreeMap<NodeIncarnation, Micros>,
    /// As a lease holder: the unconfirmed requests, by request identifier.
    pending: BTreeMap<u64, PendingRegistration>,
    /// As a lease holder: the share requests that wait for the registration of their sender.
    waiting: BTreeMap<NodeIncarnation, WaitingRequests>,
    /// As a lease holder: when the suspects were last probed.
    probed_at: Micros,
}

impl Registrations {
    /// Creates the registrations from the durable state, as if a lease holder had requested them now.
    pub fn new(durable: &DurableState, now: Micros) -> Self {
        let registered = durable
            .registered
            .iter()
            .map(|(incarnation, addr)| (*incarnation, Registration { addr: addr.clone(), requested_at: now }))
            .collect();
        Registrations { registered, cleaned_up_at: now, ..Registrations::default() }
    }

    /// Returns whether a majority confirmed a registration that was requested less than `age` microseconds
    /// ago.
    fn is_confirmed(&self, incarnation: NodeIncarnation, age: Micros, now: Micros) -> bool {
        self.confirmed.get(&incarnation).is_some_and(|requested_at| now < requested_at + age)
    }

    fn record(&mut self, incarnation: &RegisteredIncarnation, now: Micros) {
        let registration = Registration { addr: incarnation.addr.clone(), requested_at: now };
        self.registered.insert((incarnation.node_id, incarnation.incarnation), registration);
    }

    /// Drops the registrations that no lease holder requested within [`REGISTRATION_RETENTION`], and returns
    /// them.
    fn remove_outdated(&mut self, now: Micros) -> Vec<NodeIncarnation> {
        let is_outdated = |registration: &Registration| now > registration.requested_at + REGISTRATION_RETENTION;
        let outdated: Vec<_> = self
            .registered
            .iter()
            .filter(|(_, registration)| is_outdated(registration))
            .map(|(incarnation, _)| *incarnation)
            .collect();
        if !outdated.is_empty() {
            self.registered.retain(|incarnation, _| !outdated.contains(incarnation));
        }
        outdated
    }
}

/// The voter's side.
impl Node {
    /// Returns all incarnations that this voter has registered.
    pub(in crate::node) fn registered_incarnations(&self) -> Vec<RegisteredIncarnation> {
        let to_registered = |((node_id, incarnation), registration): (&NodeIncarnation, &Registration)| {
            RegisteredIncarnation { node_id: *node_id, incarnation: *incarnation, addr: registration.addr.clone() }
        };
        self.membership.registrations.registered.iter().map(to_registered).collect()
    }

    /// Records the registrations among writes that another voter handed over.
    pub(in crate::node) fn record_registrations(&mut self, writes: &[DurableWrite], now: Micros) {
        for write in writes {
            if let DurableWrite::Register(incarnations) = write {
                for incarnation in incarnations {
                    self.membership.registrations.record(incarnation, now);
                }
            }
        }
    }

    /// Registers incarnations for a lease holder. A voter that knows a later set of voters confirms nothing to a
    /// lease holder of an earlier set: the state that it handed over to the later set would lack the
    /// registration.
    pub(in crate::node) fn on_register(
        &mut self,
        from: NodeId,
        voter_set: Version,
        request_id: u64,
        incarnations: Vec<RegisteredIncarnation>,
        now: Micros,
    ) {
        if !self.is_voter() || voter_set != self.voter_set() {
            return;
        }
        let registrations = &mut self.membership.registrations;
        let is_known =
            |new: &RegisteredIncarnation| registrations.registered.contains_key(&(new.node_id, new.incarnation));
        let (known, new): (Vec<_>, Vec<_>) = incarnations.into_iter().partition(is_known);
        if registrations.registered.len() + new.len() > MAX_INCARNATIONS {
            return;
        }
        known.iter().chain(&new).for_each(|incarnation| registrations.record(incarnation, now));
        let message = Message::Membership(MembershipMessage::Registered { voter_set, request_id });
        if new.is_empty() {
            // A known registration may not be synced to disk yet.
            self.send_after_sync(from, message, now);
        } else {
            let then = self.send_effect(from, message, now).into_iter().collect();
            self.persist(vec![DurableWrite::Register(new)], then);
        }
    }
}

/// The lease holder's side.
impl Node {
    /// Returns the requests if they may be answered now. Otherwise they wait for the registration of their
    /// sender.
    pub(in crate::node) fn admit_share_requests(
        &mut self,
        from: (NodeId, Incarnation),
        batch: ShareRequests,
        now: Micros,
    ) -> Option<ShareRequests> {
        let rates = self.tenant_rates();
        let is_granted_here =
            |key: &u64| rates.get(key).is_some_and(|tenant| self.share_epoch(tenant.role, now).is_some());
        let any_is_granted_here = batch.requests.iter().any(|request| is_granted_here(&request.tenant_key));
        // Every later lease holder counts the reserves of standbys without calls of their own, registered or not;
        // other nodes are granted no reserve.
        let is_reserve = |request: &ShareRequest| {
            request.smallest_call_units == RESERVE_REQUEST_MARKER && request.held_share <= STANDBY_SHARE
        };
        let is_for_reserves = batch.requests.iter().all(is_reserve);
        let registrations = &mut self.membership.registrations;
        if !any_is_granted_here || is_for_reserves || registrations.is_confirmed(from, REGISTRATION_VALIDITY, now) {
            return Some(batch);
        }
        let waiting = &mut registrations.waiting;
        if waiting.get(&from).is_none_or(|older| older.batch.request_id < batch.request_id)
            && waiting.len() < MAX_INCARNATIONS
        {
            waiting.insert(from, WaitingRequests { received_at: now, batch });
        }
        self.register_incarnations(now);
        None
    }

    /// Registers, in one message, the senders of waiting requests and all nodes that will send requests.
    fn register_incarnations(&mut self, now: Micros) {
        let incarnations = self.unregistered_incarnations(now);
        if incarnations.is_empty() {
            return;
        }
        let request_id = self.next_request_id();
        let voter_set = self.voter_set();
        let pending = PendingRegistration {
            sent_at: now,
            voter_set,
            incarnations: incarnations.iter().map(|new| (new.node_id, new.incarnation)).collect(),
            confirmed_by: BTreeSet::new(),
        };
        self.membership.registrations.pending.insert(request_id, pending);
        let message = MembershipMessage::Register { voter_set, request_id, incarnations };
        self.broadcast_to_voters(&Message::Membership(message), now);
    }

    /// Returns the incarnations whose registration is due and not pending.
    fn unregistered_incarnations(&self, now: Micros) -> Vec<RegisteredIncarnation> {
        let voter_set = self.voter_set();
        let registrations = &self.membership.registrations;
        let is_fresh = |p: &&PendingRegistration| p.voter_set == voter_set && now < p.sent_at + RESPONSE_TIMEOUT;
        let pending: BTreeSet<_> =
            registrations.pending.values().filter(is_fresh).flat_map(|p| &p.incarnations).copied().collect();
        let is_due = |incarnation: &NodeIncarnation| {
            !pending.contains(incarnation) && !registrations.is_confirmed(*incarnation, RENEWAL_AGE, now)
        };
        let with_addr = |(node_id, incarnation): NodeIncarnation| {
            let addr = self.dissemination.peers.address(node_id)?.to_owned();
            Some(RegisteredIncarnation { node_id, incarnation, addr })
        };
        let peers = self.dissemination.peers.live(now).map(|peer| (peer.is_core, (peer.node_id, peer.incarnation)));
        let requesters = peers.filter(|(is_core, peer)| !is_core || registrations.confirmed.contains_key(peer));
        let all: BTreeSet<_> =
            requesters.map(|(_, incarnation)| incarnation).chain(registrations.waiting.keys().copied()).collect();
        all.into_iter().filter(is_due).filter_map(with_addr).take(MAX_INCARNATIONS).collect()
    }

    /// Handles a voter's confirmation that registrations are on its disk. Once a majority has confirmed, the
    /// requests that wait for these registrations are answered.
    pub(in crate::node) fn on_registered(&mut self, from: NodeId, voter_set: Version, request_id: u64, now: Micros) {
        let current_set = self.voter_set();
        let pending = self.membership.registrations.pending.get_mut(&request_id);
        let Some(pending) = pending.filter(|p| p.voter_set == voter_set && voter_set == current_set) else { return };
        pending.confirmed_by.insert(from);
        if !is_majority(self.consensus.state.voters(), &pending.confirmed_by) {
            return;
        }
        let Some(pending) = self.membership.registrations.pending.remove(&request_id) else { return };
        for incarnation in pending.incarnations {
            let registrations = &mut self.membership.registrations;
            let requested_at = registrations.confirmed.entry(incarnation).or_insert(pending.sent_at);
            *requested_at = (*requested_at).max(pending.sent_at);
            if let Some(waiting) = registrations.waiting.remove(&incarnation) {
                self.on_share_requests(incarnation, waiting.batch, now);
            }
        }
    }

    /// Drops outdated entries, renews registrations, and probes suspects.
    pub(in crate::node) fn tick_registrations(&mut self, now: Micros) {
        if now >= self.membership.registrations.cleaned_up_at + CLEANUP_INTERVAL {
            self.clean_up_registrations(now);
        }
        let roles = self.quota.share_pools.roles();
        if roles.is_empty() {
            return;
        }
        self.register_incarnations(now);
        if now >= self.membership.registrations.probed_at + PROBE_INTERVAL {
            self.probe_suspects(&roles, now);
        }
    }

    fn clean_up_registrations(&mut self, now: Micros) {
        let registrations = &mut self.membership.registrations;
        registrations.cleaned_up_at = now;
        let outdated = registrations.remove_outdated(now);
        registrations.confirmed.retain(|_, requested_at| now < *requested_at + REGISTRATION_VALIDITY);
        registrations.pending.retain(|_, pending| now < pending.sent_at + PENDING_RETENTION);
        registrations.waiting.retain(|_, waiting| now < waiting.received_at + PENDING_RETENTION);
        if !outdated.is_empty() {
            self.persist(vec![DurableWrite::Deregister(outdated)], Vec::new());
        }
    }

    /// Probes the addresses of the incarnations that may hold shares of earlier leases.
    fn probe_suspects(&mut self, roles: &[u32], now: Micros) {
        self.membership.registrations.probed_at = now;
        let mut claims_by_addr: BTreeMap<String, Vec<LeaseClaim>> = BTreeMap::new();
        for role in roles {
            let Some(claim) = self.lease_claim(*role, now) else { continue };
            for addr in self.quota.share_pools.suspect_addresses(*role, now) {
                claims_by_addr.entry(addr).or_default().push(claim);
            }
        }
        for (addr, claims) in claims_by_addr {
            self.send_to_address(&addr, Message::Quota(QuotaMessage::ShareProbe { claims }), now);
        }
    }

    /// This node's claim to the lease of a role, where it may grant shares under it.
    fn lease_claim(&self, role: u32, now: Micros) -> Option<LeaseClaim> {
        let epoch = self.share_epoch(role, now)?;
        Some(LeaseClaim { role, voter_set: self.voter_set(), epoch, holder: self.settings.node_id })
    }

    /// Requests all nodes except the cores to send their share requests for these roles now.
    pub(in crate::node) fn solicit_share_requests(&mut self, roles: &[u32], now: Micros) {
        let claims: Vec<_> = roles.iter().filter_map(|role| self.lease_claim(*role, now)).collect();
        if claims.is_empty() {
            return;
        }
        let peers = self.dissemination.peers.live(now).filter(|peer| !peer.is_core);
        let to: Vec<_> = peers.map(|peer| peer.node_id).collect();
        for node_id in to {
            self.send(node_id, Message::Quota(QuotaMessage::ShareProbe { claims: claims.clone() }), now);
        }
        self.membership.registrations.probed_at = 0;
    }

    /// Handles the reply of an incarnation to a probe: it was alive under the leases that it claims.
    pub(in crate::node) fn on_share_probe_reply(
        &mut self,
        from: (NodeId, Incarnation),
        addr: &str,
        claims: &[LeaseClaim],
        age: Micros,
        now: Micros,
    ) {
        let mut accounted_roles = Vec::new();
        for claim in claims {
            let epoch = self.share_epoch(claim.role, now);
            if claim.voter_set == self.voter_set()
                && epoch == Some(claim.epoch)
                && self.quota.share_pools.record_reply(claim.role, from, addr, age, now)
            {
                accounted_roles.push(claim.role);
            }
        }
        self.solicit_share_requests(&accounted_roles, now);
    }
}
