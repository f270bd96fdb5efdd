//! One node: the state machines of all concerns over one state, stepped by events.
//!
//! [`Node::step`] takes an [`Event`] and the time, and returns [`Effect`]s; it does no I/O itself. Each
//! concern has a folder with its own state: [`consensus`], [`membership`], [`lease`], [`quota`] and
//! [`dissemination`]. `dispatch` hands each event to its concern, `outbox` collects what is sent and what
//! waits for the disk, and `publisher` publishes the [`View`] that the data plane reads.

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
/// A clone shares [`Quota::slices`] with its original: clones are for the model checker, which copies
/// the slices as well.
#[derive(Clone)]
pub struct Node {
    /// How the node was started.
    pub settings: NodeSettings,
    /// The source of all random draws of the node.
    pub rng: Rng,
    /// The log of configuration versions, and what decides on them.
    pub consensus: Consensus,
    /// The set of voters, its bootstrap and its changes.
    pub membership: Membership,
    /// Leases that the node holds or granted.
    pub leases: Leases,
    /// Quota windows and rate shares.
    pub quota: Quota,
    /// What the node knows of peers and of workers.
    pub dissemination: Dissemination,
    /// The configuration that is in force here, compiled.
    pub config: Arc<CompiledConfig>,
    /// The counters for metrics.
    pub counters: Counters,
    /// Whether this node shuts down, and has told the others so.
    pub draining: bool,
    outbox: outbox::Outbox,
    publisher: publisher::Publisher,
    clock: StepClock,
    /// The number of the newest request of this incarnation.
    last_request_id: u64,
}

/// Moments of this incarnation, in microseconds by the node's own clock.
#[derive(Clone, Copy, Debug)]
struct StepClock {
    /// When the node was stepped last. Time never goes back between two steps.
    last_step: Micros,
    /// When it was stepped again after a stall: messages may have waited while it stood still.
    resumed_at: Micros,
    /// When this incarnation started.
    started_at: Micros,
}

impl Node {
    /// A node that starts now with what its disk holds. The same `seed` gives the same random draws.
    pub fn new(settings: NodeSettings, durable: &DurableState, seed: u64, now: Micros) -> Self {
        let mut rng = Rng::new(seed);
        // Requests of a new incarnation never match answers to an earlier one.
        let last_request_id = rng.next_u64() >> 16;
        let consensus = Consensus::new(durable, last_request_id);
        let newest = consensus.state.newest();
        let config = newest
            .map(|entry| CompiledConfig::parse_with(settings.config_reader, entry.version, &entry.body))
            .unwrap_or_default();
        let may_miss_leases = membership::takeover::may_miss_leases(&consensus.state, settings.node_id);
        let earlier_sets_until = if may_miss_leases { now + LEASE_DURATION } else { 0 };
        Node {
            rng,
            consensus,
            membership: Membership::new(durable, now),
            leases: Leases::new(durable, last_request_id, earlier_sets_until, now),
            quota: Quota::new(durable, &config, now),
            dissemination: Dissemination::new(settings.report_interval, last_request_id, now),
            config: Arc::new(config),
            counters: Counters::default(),
            draining: false,
            outbox: outbox::Outbox::default(),
            publisher: publisher::Publisher::new(),
            clock: StepClock { last_step: now, resumed_at: now, started_at: now },
            last_request_id,
            settings,
        }
    }

    /// The newest version of the configuration that the node holds.
    pub fn version(&self) -> Option<Version> {
        self.consensus.state.version()
    }

    /// Whether that version was confirmed so lately that the node may serve by it.
    pub fn is_fresh(&self, now: Micros) -> bool {
        self.consensus.freshness.is_fresh(self.version(), now)
    }

    /// Whether the node is one of the voters of the version that it holds.
    pub fn voter(&self) -> bool {
        self.settings.is_core && self.consensus.state.is_voter(self.settings.node_id)
    }

    /// This node as one of the voters.
    fn as_voter(&self) -> Voter {
        Voter { node_id: self.settings.node_id, addr: self.settings.addr.clone() }
    }

    /// The fleet that the node belongs to; 0 while it knows none.
    fn fleet_id(&self) -> u64 {
        self.consensus.state.newest().map_or(0, |entry| entry.fleet_id)
    }

    /// The next number for a request of this incarnation.
    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }
}
