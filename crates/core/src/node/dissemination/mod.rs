//! Dissemination of updates and failure detection: gossip among nodes, reports of workers, and contact with
//! the voters.
//!
//! Nothing here is needed for the safety of decisions. This concern guarantees that updates reach all live
//! nodes in time, and that no data is taken for younger than it is. While no majority of the voters replies,
//! callers are redirected and reports are not acknowledged.
//!
//! - [`gossip`]: heartbeats and records of nodes;
//! - [`reports`] and [`updates`]: reports of workers, passed on to the nodes that subscribe to them;
//! - [`removals`]: workers that drain or leave, acknowledged once a majority of the voters has the removal on disk;
//! - [`removal_catch_up`]: the same removals for nodes that join or return later;
//! - [`contact`] and [`reachability`]: whether this node exchanges messages with a majority of the voters;
//! - [`peer_clocks`]: bounds on the clocks of peers, so that no report is taken for younger than it is;
//! - [`peer_incarnations`]: restarted peers, whose old connections are dead.

mod contact;
mod frame_delay;
mod gossip;
mod peer_clocks;
mod peer_incarnations;
mod reachability;
mod removal_catch_up;
mod removals;
mod reports;
mod updates;

pub(in crate::node) use contact::QUORUM_TIMEOUT;

use super::{Envelope, Node, NodeSettings};
use crate::base::Micros;
use crate::consensus::DurableState;
use crate::peers::PeerTable;
use crate::protocol::DisseminationMessage;
use crate::workers::{WaitingRequest, WorkerTable};

/// The dissemination state of a node: the other nodes and the workers that it knows.
#[derive(Clone, Debug)]
pub struct Dissemination {
    /// The nodes of the fleet.
    pub peers: PeerTable,
    /// The workers, and the subscriptions to their reports.
    pub workers: WorkerTable,
    /// This node's own heartbeat counter.
    pub(in crate::node) heartbeat: u64,
    /// The contact with the voters, from probes and their replies.
    pub(in crate::node) contact: contact::Contact,
    /// Reports of workers whose acknowledgement waits until a majority of the voters is in contact.
    pub(in crate::node) pending_acks: Vec<WaitingRequest>,
    /// The smallest clock offset to each peer, for the delays of frames.
    pub(in crate::node) frame_delays: frame_delay::FrameDelays,
    /// The bounds on the clocks of peers that pass on reports.
    pub(in crate::node) peer_clocks: peer_clocks::PeerClocks,
    /// The newest incarnation of each peer that sent a frame.
    pub(in crate::node) peer_incarnations: peer_incarnations::PeerIncarnations,
    /// The nodes that need not be sent earlier removals.
    pub(in crate::node) removal_catch_up: removal_catch_up::RemovalCatchUp,
}

impl Dissemination {
    /// Creates the state after a start. The first subscription has the number after `first_request`.
    pub(super) fn new(settings: &NodeSettings, durable: &DurableState, first_request: u64, now: Micros) -> Self {
        let report_interval = settings.report_interval;
        let mut workers = WorkerTable { last_request_seq: first_request, report_interval, ..WorkerTable::default() };
        for report in durable.removals.values() {
            workers.restore_removal(report, settings.node_id, now);
        }
        Dissemination {
            peers: PeerTable::default(),
            workers,
            heartbeat: 0,
            contact: contact::Contact::new(now),
            pending_acks: Vec::new(),
            frame_delays: frame_delay::FrameDelays::default(),
            peer_clocks: peer_clocks::PeerClocks::default(),
            peer_incarnations: peer_incarnations::PeerIncarnations::default(),
            removal_catch_up: removal_catch_up::RemovalCatchUp::default(),
        }
    }

    /// Drops peers and workers without recent contact.
    pub(super) fn expire(&mut self, now: Micros) {
        self.peers.expire(now);
        self.workers.expire(now);
        self.peer_clocks.expire(now);
        self.peer_incarnations.expire(&self.peers);
    }
}

impl Node {
    /// Handles a message of gossip, of workers or of clocks.
    pub(super) fn on_dissemination_message(&mut self, envelope: &Envelope, message: DisseminationMessage, now: Micros) {
        let from = envelope.from;
        match message {
            DisseminationMessage::Gossip {
                heartbeats,
                records,
                unknown_nodes,
                wants_reply,
                incarnation_set,
                compact_heartbeats,
            } => {
                if envelope.is_greeting {
                    self.on_greeting(from);
                }
                let gossip = gossip::ReceivedGossip {
                    from,
                    heartbeats: &heartbeats,
                    records: &records,
                    unknown_nodes: &unknown_nodes,
                    wants_reply,
                    incarnation_set,
                    compact_heartbeats: &compact_heartbeats,
                };
                self.on_gossip(&gossip, now);
            }
            DisseminationMessage::Subscribe { seq, next_version, from_index, incarnation, topics } => {
                let subscription = updates::Subscription { seq, next_version, from_index, incarnation, topics };
                self.on_subscribe(from, subscription, now);
            }
            DisseminationMessage::Update {
                request_seq,
                answered_after,
                confirmed_age,
                version,
                preceding,
                entry,
                change_index,
                is_complete,
                reports,
            } => {
                self.apply_update_entries(preceding, entry, now);
                let update = updates::ReceivedUpdate {
                    request_seq,
                    answered_after,
                    confirmed_age,
                    version,
                    change_index,
                    is_complete,
                    reports: &reports,
                };
                self.on_update(envelope.incarnation_of_sender(), &update, now);
            }
            DisseminationMessage::Removals { reports } => self.on_removals(from, &reports, envelope.delay, now),
            DisseminationMessage::RemovalsReceived { keys } => self.on_removals_received(from, &keys, now),
            DisseminationMessage::RemovalsKnownByAll { keys } => self.on_removals_known_by_all(&keys),
            DisseminationMessage::Reports { reports } => {
                self.on_reports(envelope.incarnation_of_sender(), envelope.sent_at, &reports, now);
            }
            DisseminationMessage::ClockRequest { request_id } => self.on_clock_request(from, request_id, now),
            DisseminationMessage::ClockReply { request_id } => {
                self.on_clock_reply(envelope.incarnation_of_sender(), request_id, envelope.sent_at, now);
            }
        }
    }
}
