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

use crate::base::Micros;
use crate::peers::PeerTable;
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
