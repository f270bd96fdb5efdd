//! A canonical digest of a node's state, by which the model checker recognizes visited states.
//!
//! Guarantees that two nodes with the same digest behave alike from then on, as far as the [`Scope`] covers
//! their state and apart from collisions of a 64-bit hash.

use super::Node;
use std::fmt::{Debug, Write};
use xxhash_rust::xxh3::xxh3_64;

/// The initial capacity of the buffer for the `Debug` forms of a node's state, in bytes.
const INITIAL_BYTES: usize = 4_096;

/// The part of a node's state that a digest covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The state that decides on versions: consensus, freshness, the set of voters and its takeover.
    Agreement,
    /// All state that affects any decision. Counters, the last published view and the compiled configuration,
    /// which follows from the version, are left out.
    Full,
}

/// The concatenated `Debug` forms of values. They are canonical, since all maps and sets of these types are
/// ordered.
struct DigestInput(String);

impl DigestInput {
    fn new() -> Self {
        DigestInput(String::with_capacity(INITIAL_BYTES))
    }

    fn add(&mut self, value: &dyn Debug) {
        // Writing to a string can't fail.
        let _ = write!(self.0, "{value:?};");
    }

    fn digest(&self) -> u64 {
        xxh3_64(self.0.as_bytes())
    }
}

/// Returns the digest of any value by its `Debug` form.
#[must_use]
pub fn digest_of(value: &dyn Debug) -> u64 {
    let mut input = DigestInput::new();
    input.add(value);
    input.digest()
}

impl Node {
    /// Returns the digest of this node's state. Tokens of writes are left out: only their order matters.
    #[must_use]
    pub fn digest(&self, scope: Scope) -> u64 {
        let mut input = DigestInput::new();
        let settings = &self.settings;
        input.add(&(settings.node_id.0, settings.incarnation, &settings.addr, self.is_draining));
        self.add_consensus(&mut input);
        input.add(&(
            self.consensus.freshness.confirmed,
            self.consensus.freshness.next_probe_at,
            &self.consensus.freshness.open_probes,
        ));
        input.add(&(self.consensus.synced_version, self.membership.ready_set, self.membership.synced_ready_set));
        input.add(&self.membership.takeover);
        input.add(&(&self.membership.bootstrap_peers, self.membership.bootstrap_due));
        input.add(&(&self.consensus.forwards, &self.dissemination.contact, &self.consensus.reads));
        for effects in self.outbox.deferred_effects() {
            input.add(effects);
        }
        input.add(&self.consensus.digest_sync);
        input.add(self.outbox.loopback());
        input.add(&(&self.rng, self.clock.last_step, self.clock.resumed_at, self.clock.started_at));
        if scope == Scope::Full {
            input.add(&(&self.membership.planned_change, &self.dissemination.peers, &self.leases.grantor));
            input.add(&(&self.leases.held, &self.dissemination.workers, &self.dissemination.frame_delays));
            input.add(&(&self.quota.grants, &self.quota.windows, &self.membership.registrations));
            input.add(&(
                &self.quota.window_ledger,
                &self.quota.share_pools,
                &self.quota.slice_requests,
                &self.quota.pending_grants,
            ));
            input.add(&(
                &self.quota.share_client,
                self.last_request_id,
                self.consensus.freshness.last_probe,
                self.dissemination.heartbeat,
                &self.dissemination.pending_acks,
                &self.dissemination.removal_catch_up,
            ));
        }
        input.digest()
    }

    fn add_consensus(&self, input: &mut DigestInput) {
        let state = &self.consensus.state;
        // The change id identifies a decided version.
        for entry in state.history.values() {
            input.add(&(entry.version, entry.change_id.0));
        }
        input.add(&(state.digests.len(), state.digests.newest_gap(), &state.bootstrap_vote));
        let accepted = state.accepted.as_ref().map(|accepted| (accepted.0, accepted.1.version, accepted.1.change_id.0));
        input.add(&(state.promised_ballot, accepted, state.accepted_at, state.backoff_until, state.ballot_number));
        input.add(&state.yield_until);
        if let Some(proposal) = &state.proposal {
            let highest_accepted = proposal.highest_accepted.as_ref().map(|highest| (highest.0, highest.1.change_id.0));
            let value = proposal.value.as_ref().map(|entry| entry.change_id.0);
            input.add(&(
                proposal.instance,
                proposal.ballot,
                proposal.phase,
                &proposal.responders,
                highest_accepted,
                value,
                proposal.deadline,
            ));
        }
        for pending in &state.pending_changes {
            input.add(&(
                pending.requester,
                pending.change_id.0,
                pending.is_first_send,
                pending.base,
                pending.deadline,
                pending.was_proposed,
                pending.decided_version,
            ));
        }
        input.add(&(&state.synced_versions, &state.ready_sets, &state.digests));
    }
}
