//! A canonical digest of a node's state, by which the model checker knows two states as one.

use super::Node;
use std::fmt::{Debug, Write};
use xxhash_rust::xxh3::xxh3_64;

/// How much of a node's state a digest covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// What decides on versions: agreement, freshness, the set of voters and its takeover.
    Agreement,
    /// All that decides anything; left out are counters, what was last shown, and what follows
    /// from the version (the plan).
    Whole,
}

/// Gathers the debug forms of values. Debug forms of all types here are canonical: their maps
/// and sets are ordered.
struct Feed(String);

impl Feed {
    fn new() -> Self {
        Feed(String::with_capacity(4_096))
    }

    fn add(&mut self, value: &dyn Debug) {
        // Writing to a string can't fail.
        let _ = write!(self.0, "{value:?};");
    }

    fn digest(&self) -> u64 {
        xxh3_64(self.0.as_bytes())
    }
}

/// The digest of anything by its debug form.
pub fn digest_of(value: &dyn Debug) -> u64 {
    let mut feed = Feed::new();
    feed.add(value);
    feed.digest()
}

impl Node {
    /// The same for two nodes that behave alike from here on, as far as `scope` goes. Tokens of
    /// writes are left out: only their order counts.
    pub fn digest(&self, scope: Scope) -> u64 {
        let mut feed = Feed::new();
        let me = &self.settings;
        feed.add(&(me.node_id.0, me.incarnation, &me.addr, self.draining));
        self.feed_agreement(&mut feed);
        feed.add(&(
            self.consensus.freshness.confirmed,
            self.consensus.freshness.probe_due,
            &self.consensus.freshness.open_probes,
        ));
        feed.add(&(self.consensus.synced_version, self.membership.ready_set, self.membership.synced_ready_set));
        feed.add(&self.membership.takeover);
        feed.add(&(&self.membership.bootstrap_peers, self.membership.bootstrap_due));
        feed.add(&(&self.consensus.forwards, &self.dissemination.contact, &self.consensus.reads));
        for effects in self.outbox.deferred_effects() {
            feed.add(effects);
        }
        feed.add(&self.consensus.digest_sync);
        feed.add(self.outbox.loopback());
        feed.add(&(&self.rng, self.clock.last_step, self.clock.resumed_at, self.clock.started_at));
        if scope == Scope::Whole {
            feed.add(&(&self.membership.planned_change, &self.dissemination.peers, &self.leases.grantor));
            feed.add(&(&self.leases.held, &self.dissemination.workers, &self.dissemination.frame_delays));
            feed.add(&(&self.quota.grants, &self.quota.windows, &self.membership.registrations));
            feed.add(&(
                &self.quota.window_ledger,
                &self.quota.share_pools,
                &self.quota.slice_requests,
                &self.quota.pending_grants,
            ));
            feed.add(&(
                &self.quota.share_client,
                self.last_request_id,
                self.consensus.freshness.last_probe,
                self.dissemination.heartbeat,
                &self.dissemination.pending_acks,
            ));
        }
        feed.digest()
    }

    fn feed_agreement(&self, feed: &mut Feed) {
        let agree = &self.consensus.state;
        // Versions that are decided are told apart by their changes.
        for decree in agree.history.values() {
            feed.add(&(decree.version, decree.change_id.0));
        }
        feed.add(&(agree.digests.len(), agree.digests.newest_gap(), &agree.bootstrap_vote));
        let accepted = agree.accepted.as_ref().map(|a| (a.0, a.1.version, a.1.change_id.0));
        feed.add(&(agree.promised_ballot, accepted, agree.accepted_at, agree.backoff_until, agree.ballot_number));
        feed.add(&agree.yields_until);
        if let Some(proposal) = &agree.proposal {
            let best = proposal.highest_accepted.as_ref().map(|b| (b.0, b.1.change_id.0));
            let value = proposal.value.as_ref().map(|v| v.change_id.0);
            feed.add(&(
                proposal.instance,
                proposal.ballot,
                proposal.phase,
                &proposal.answered,
                best,
                value,
                proposal.deadline,
            ));
        }
        for pending in &agree.pending_changes {
            feed.add(&(
                pending.requester,
                pending.change_id.0,
                pending.is_first_send,
                pending.base,
                pending.deadline,
                pending.was_proposed,
                pending.decided_version,
            ));
        }
        feed.add(&(&agree.synced_versions, &agree.ready_sets, &agree.digests));
    }
}
