//! One node: the state machines of all concerns over one shared state, stepped by events.
//!
//! [`Node::step`] takes an [`Event`] and the current time and returns [`Effect`]s; the node does no I/O
//! itself. Each concern has a folder with its own state: [`consensus`], [`membership`], [`lease`], [`quota`]
//! and [`dissemination`]. `dispatch` routes each event to its concern, `outbox` collects the messages to send
//! and the effects that wait for the disk, and `publisher` publishes the [`View`] that the data plane reads.

pub mod consensus;
mod counters;
mod dispatch;
pub mod dissemination;
mod io;
pub mod lease;
pub mod membership;
mod outbox;
mod publisher;
pub mod quota;
mod state_digest;

pub use consensus::{Consensus, MAX_BODY_BYTES};
pub use counters::Counters;
pub use dissemination::Dissemination;
pub use io::{Effect, Event, NodeSettings};
pub use lease::Leases;
pub use membership::Membership;
pub use outbox::MAX_UNSYNCED_BYTES;
pub use publisher::View;
pub use quota::Quota;
pub use state_digest::{Scope, digest_of};

use crate::base::{Micros, Rng, Version};
use crate::config::CompiledConfig;
use crate::consensus::DurableState;
use crate::lease::LEASE_DURATION;
use crate::protocol::Voter;
use dispatch::Envelope;
use std::sync::Arc;

/// The state of one node, by concern.
///
/// A clone shares [`Quota::slices`] with its original: only the model checker clones nodes, and it copies the
/// slices as well.
#[derive(Clone)]
pub struct Node {
    /// The settings that the node was started with.
    pub settings: NodeSettings,
    /// The random number generator for all random choices of the node.
    pub rng: Rng,
    /// The log of configuration versions, and the Paxos state that decides on them.
    pub consensus: Consensus,
    /// The set of voters, its bootstrap and its changes.
    pub membership: Membership,
    /// Leases that the node holds or granted.
    pub leases: Leases,
    /// Quota windows and rate shares.
    pub quota: Quota,
    /// The peers and workers that the node knows, and how updates about them spread.
    pub dissemination: Dissemination,
    /// The compiled configuration that is in force on this node.
    pub config: Arc<CompiledConfig>,
    /// The counters for metrics.
    pub counters: Counters,
    /// True once this node has started to shut down and has notified the live nodes.
    pub is_draining: bool,
    /// The effects of the current step, and those that wait for the disk.
    outbox: outbox::Outbox,
    /// The last published view.
    publisher: publisher::Publisher,
    /// The times of the last step, the last resumption and the start.
    clock: StepClock,
    /// The identifier of the newest request of this incarnation.
    last_request_id: u64,
}

/// Times of this incarnation, in microseconds by the node's own clock.
#[derive(Clone, Copy, Debug)]
struct StepClock {
    /// When the last step ran. Invariant: never decreases.
    last_step: Micros,
    /// When the node resumed after its last stall. Messages received shortly after this time may have been
    /// queued during the stall.
    resumed_at: Micros,
    /// When this incarnation started.
    started_at: Micros,
}

impl Node {
    /// Creates a node that starts at `now` from its durable state. The same `seed` gives the same random
    /// choices.
    pub fn new(settings: NodeSettings, durable: &DurableState, seed: u64, now: Micros) -> Self {
        let mut rng = Rng::new(seed);
        // A random start keeps requests of a new incarnation from matching replies to an earlier one.
        let last_request_id = rng.next_u64() >> 16;
        let consensus = Consensus::new(durable, last_request_id);
        let newest = consensus.state.newest();
        let config = newest
            .map(|entry| CompiledConfig::compile_with(settings.config_reader, entry.version, &entry.body))
            .unwrap_or_default();
        let may_miss_leases = membership::takeover::may_miss_leases(&consensus.state, settings.node_id);
        let earlier_sets_fence_until = if may_miss_leases { now + LEASE_DURATION } else { 0 };
        Node {
            rng,
            consensus,
            membership: Membership::new(durable, now),
            leases: Leases::new(durable, last_request_id, earlier_sets_fence_until, now),
            quota: Quota::new(durable, &config, now),
            dissemination: Dissemination::new(&settings, durable, last_request_id, now),
            config: Arc::new(config),
            counters: Counters::default(),
            is_draining: false,
            outbox: outbox::Outbox::default(),
            publisher: publisher::Publisher::new(),
            clock: StepClock { last_step: now, resumed_at: now, started_at: now },
            last_request_id,
            settings,
        }
    }

    /// Returns the newest version of the configuration that the node holds.
    pub fn version(&self) -> Option<Version> {
        self.consensus.state.version()
    }

    /// Returns whether the newest version was confirmed recently enough for the node to serve by it.
    pub fn is_fresh(&self, now: Micros) -> bool {
        self.consensus.freshness.is_fresh(self.version(), now)
    }

    /// Returns whether this core is one of the voters of the version that it holds.
    pub fn is_voter(&self) -> bool {
        self.settings.is_core && self.consensus.state.is_voter(self.settings.node_id)
    }

    /// Returns this node's entry for a set of voters.
    fn as_voter(&self) -> Voter {
        Voter { node_id: self.settings.node_id, addr: self.settings.addr.clone() }
    }

    /// Returns the identifier of the fleet that the node belongs to; 0 if the node knows none.
    fn fleet_id(&self) -> u64 {
        self.consensus.state.newest().map_or(0, |entry| entry.fleet_id)
    }

    /// Returns the identifier for the next request of this incarnation.
    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }
}
