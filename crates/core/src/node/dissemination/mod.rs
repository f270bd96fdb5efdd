//! How updates spread and failures are detected: gossip among nodes, reports of workers, contact to voters.
//!
//! - [`gossip`]: heartbeats and records of nodes;
//! - [`reports`] and [`updates`]: what workers report, passed on to the nodes that subscribe to it;
//! - [`removals`]: workers that drain or leave, acknowledged once a majority of the voters knows;
//! - [`contact`] and [`reachability`]: whether this node exchanges messages with a majority of the voters;
//! - [`peer_clocks`]: bounds on the clocks of peers, so that no report is taken for younger than it is;
//! - [`peer_incarnations`]: restarted peers, whose old connections are dead.

mod contact;
mod frame_delay;
mod gossip;
mod peer_clocks;
mod peer_incarnations;
mod reachability;
mod removals;
mod reports;
mod updates;

pub(in crate::node) use contact::QUORUM_TIMEOUT;

use super::{Envelope, Node};
use crate::base::Micros;
use crate::peers::PeerTable;
use crate::protocol::DisseminationMessage;
use crate::workers::WorkerTable;

/// What a node keeps of other nodes and of workers.
#[derive(Clone, Debug)]
pub struct Dissemination {
    /// The nodes of the fleet.
    pub peers: PeerTable,
    /// The workers, and who subscribes to whom for them.
    pub workers: WorkerTable,
    /// This node's own heartbeat counter.
    pub(in crate::node) heartbeat: u64,
    pub(in crate::node) contact: contact::Contact,
    /// Reports of workers that wait until a majority of the voters is in contact: the request that is to
    /// be acknowledged, and since when it waits.
    pub(in crate::node) pending_acks: Vec<(u64, Micros)>,
    pub(in crate::node) frame_delays: frame_delay::FrameDelays,
    pub(in crate::node) peer_clocks: peer_clocks::PeerClocks,
    pub(in crate::node) peer_incarnations: peer_incarnations::PeerIncarnations,
}

impl Dissemination {
    /// The state after a start; `first_request` numbers the first subscription.
    pub(super) fn new(report_interval: Micros, first_request: u64, now: Micros) -> Self {
        Dissemination {
            peers: PeerTable::default(),
            workers: WorkerTable { last_request_seq: first_request, report_interval, ..WorkerTable::default() },
            heartbeat: 0,
            contact: contact::Contact::new(now),
            pending_acks: Vec::new(),
            frame_delays: frame_delay::FrameDelays::default(),
            peer_clocks: peer_clocks::PeerClocks::default(),
            peer_incarnations: peer_incarnations::PeerIncarnations::default(),
        }
    }
}

impl Node {
    /// Handles a message of gossip, of workers or of clocks.
    pub(super) fn on_dissemination_message(&mut self, envelope: &Envelope, message: DisseminationMessage, now: Micros) {
        let by = envelope.from;
        match message {
            DisseminationMessage::Gossip {
                heartbeats: beats,
                records: rows,
                unknown_nodes: ask,
                wants_reply: reply,
                incarnation_set: set,
                compact_heartbeats: pulse,
            } => {
                if envelope.is_greeting {
                    self.on_greeting(by);
                }
                self.on_gossip(by, (&beats, &rows), &ask, reply, (set, &pulse), now);
            }
            DisseminationMessage::Subscribe {
                seq,
                next_version: version,
                from_index: idx,
                incarnation: of,
                topics: svcs,
            } => self.on_subscribe(by, seq, version, idx, of, svcs, now),
            DisseminationMessage::Update {
                request_seq: ask,
                answered_after: since,
                confirmed_age: stamp,
                version,
                preceding: before,
                entry: decree,
                change_index: idx,
                is_complete: whole,
                reports: rows,
            } => {
                self.apply_update_entries(before, decree, now);
                self.on_update(
                    envelope.incarnation_of_sender(),
                    (ask, since, stamp),
                    version,
                    (idx, whole),
                    &rows,
                    now,
                );
            }
            DisseminationMessage::Removals { reports: rows } => self.on_removals(by, &rows, envelope.delay, now),
            DisseminationMessage::RemovalsReceived { keys } => self.on_removals_received(by, &keys, now),
            DisseminationMessage::RemovalsKnownByAll { keys } => self.on_removals_known_by_all(&keys),
            DisseminationMessage::Reports { reports: rows } => {
                self.on_reports(envelope.incarnation_of_sender(), envelope.sent_at, &rows, now)
            }
            DisseminationMessage::ClockRequest { request_id: n } => self.on_clock_request(by, n, now),
            DisseminationMessage::ClockReply { request_id: n } => {
                self.on_clock_reply(envelope.incarnation_of_sender(), n, envelope.sent_at, now)
            }
        }
    }
}
