//! Tests of gossip: heartbeats, records, failure detection and replaced nodes.

use std::collections::BTreeSet;
use sumacvale_core::base::{MS, Micros, NodeId, Rng, SEC};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::peers::{FAILURE_TIMEOUT, HeartbeatStamp, PeerTable};
use sumacvale_core::protocol::{
    DisseminationMessage, Frame, Heartbeat, Message, PeerRecord, decode_frame, encode_frame,
};

fn peer(id: u64, incarnation: u64, heartbeat: u64, version: u64) -> PeerRecord {
    PeerRecord {
        node_id: NodeId(id),
        incarnation,
        heartbeat,
        addr: format!("10.0.0.{id}:7000"),
        admin: String::new(),
        zone: "z".to_owned(),
        is_core: false,
        draining: false,
        version,
    }
}

fn peer_table(records: &[PeerRecord], now: Micros) -> PeerTable {
    let mut table = PeerTable::default();
    for record in records {
        table.merge(record, now);
    }
    table
}

fn heartbeat_of(table: &PeerTable, id: u64) -> u64 {
    table.entries[&NodeId(id)].record.heartbeat
}

#[test]
fn compact_heartbeats_never_decrease_a_heartbeat() {
    let large = 0xffff_fff0;
    for (name, known, sent, expected) in [
        ("one ahead", 5, 6, 6),
        ("the same", 5, 5, 5),
        ("an older one", 5, 4, 5),
        ("over the low bytes' end", 0xfffe, 0x1_0003, 0x1_0003),
        ("older over the low bytes' end", 0x1_0003, 0xfffe, 0x1_0003),
        ("far on in a long incarnation", large, large + 0x30, large + 0x30),
        ("the furthest that can be encoded", 1, 0x8000, 0x8000),
        ("further than can be encoded is taken for older", 1, 0x8001, 1),
    ] {
        let mut receiver = peer_table(&[peer(1, 1, 9, 0), peer(2, 1, known, 0)], 0);
        let sender = peer_table(&[peer(1, 1, 9, 0), peer(2, 1, sent, 0)], SEC);
        let (set, compact) = (sender.incarnation_set(SEC), sender.compact_heartbeats(SEC));
        assert_eq!(compact.len(), 4, "{name}");
        assert!(receiver.merge_compact_heartbeats(NodeId(1), set, &compact, SEC), "{name}");
        assert_eq!(heartbeat_of(&receiver, 2), expected, "{name}");
        assert_eq!(receiver.entries[&NodeId(2)].heartbeat_at, if expected > known { SEC } else { 0 }, "{name}");
        let own = (heartbeat_of(&receiver, 1), receiver.entries[&NodeId(1)].heartbeat_at);
        assert_eq!(own, (9, 0), "{name}: only a node itself advances its heartbeat");
    }
}

#[test]
fn compact_heartbeats_are_merged_only_between_equal_incarnation_sets() {
    let both = [peer(1, 1, 9, 0), peer(2, 1, 5, 0)];
    let cases: [(&str, Vec<PeerRecord>, Micros, bool); 6] = [
        ("the same incarnations", vec![peer(1, 1, 1, 0), peer(2, 1, 1, 0)], SEC, true),
        ("other versions are no other incarnations", vec![peer(1, 1, 1, 7), peer(2, 1, 1, 3)], SEC, true),
        ("a later incarnation", vec![peer(1, 1, 1, 0), peer(2, 2, 1, 0)], SEC, false),
        ("one more", vec![peer(1, 1, 1, 0), peer(2, 1, 1, 0), peer(3, 1, 1, 0)], SEC, false),
        ("one less", vec![peer(1, 1, 1, 0)], SEC, false),
        ("all have failed here", vec![peer(1, 1, 1, 0), peer(2, 1, 1, 0)], FAILURE_TIMEOUT, false),
    ];
    for (name, known, now, is_merged) in cases {
        let sender = peer_table(&both, now);
        let mut receiver = peer_table(&known, 0);
        let (set, compact) = (sender.incarnation_set(now), sender.compact_heartbeats(now));
        assert_eq!(receiver.merge_compact_heartbeats(NodeId(1), set, &compact, now), is_merged, "{name}");
        let has_advanced = receiver.entries.get(&NodeId(2)).is_some_and(|entry| entry.record.heartbeat == 5);
        assert_eq!(has_advanced, is_merged, "{name}");
    }
    let mut table = peer_table(&both, 0);
    let (set, compact) = (table.incarnation_set(0), table.compact_heartbeats(0));
    assert!(!table.merge_compact_heartbeats(NodeId(1), set, &compact[..3], 0), "truncated");
    assert!(!table.merge_compact_heartbeats(NodeId(1), set, &[], 0), "empty");
    assert_ne!(PeerTable::default().incarnation_set(0), 0, "0 means that no set is given");
}

#[test]
fn a_version_is_merged_after_a_compact_heartbeat_that_arrived_first() {
    let mut table = peer_table(&[peer(2, 1, 5, 3)], 0);
    for (name, received, version, expected_version, outcome) in [
        ("an older heartbeat with a newer version", 4, 9, 3, Some(false)),
        ("the known heartbeat with a newer version", 5, 4, 4, Some(true)),
        ("again", 5, 4, 4, Some(false)),
        ("the known heartbeat with an older version", 5, 3, 4, Some(false)),
        ("a newer heartbeat", 6, 5, 5, Some(true)),
    ] {
        let heartbeat = Heartbeat { node_id: NodeId(2), incarnation: 1, counter: received, version, draining: false };
        assert_eq!(table.merge_heartbeat(&heartbeat, SEC), outcome, "{name}");
        assert_eq!(table.entries[&NodeId(2)].record.version, expected_version, "{name}");
    }
    assert_eq!(table.recent_changes(SEC).len(), 1);
    assert_eq!(table.recent_changes(5 * SEC).len(), 0, "sent in full for a while only");
}

#[test]
fn what_a_peer_sent_is_not_sent_back() {
    for (name, received, expected) in [("the same", 5, 0), ("an older heartbeat", 4, 1), ("a newer one", 6, 0)] {
        let mut table = peer_table(&[peer(2, 1, 5, 0)], 0);
        table.record_received(
            NodeId(9),
            [(NodeId(2), HeartbeatStamp { incarnation: 1, counter: received })].into_iter(),
        );
        let delta = table.delta(NodeId(9), 0);
        assert_eq!((delta.heartbeats.len(), delta.records.len()), (expected, 0), "{name}");
    }
}

/// Nodes without a configuration that exchange gossip, stepped every 25 ms of virtual time.
struct GossipNet {
    nodes: Vec<Option<Node>>,
    /// The frames in transit: the address of the receiver and the bytes.
    frames: Vec<(String, Vec<u8>)>,
    sent_bytes: usize,
    now: Micros,
}

impl GossipNet {
    fn node(machine: u64, incarnation: u64, now: Micros) -> Node {
        GossipNet::node_with_id(NodeId(machine + 1), machine, incarnation, now)
    }

    fn node_with_id(node_id: NodeId, machine: u64, incarnation: u64, now: Micros) -> Node {
        let settings = NodeSettings {
            node_id,
            incarnation,
            addr: format!("10.0.0.{machine}:7000"),
            admin_addr: String::new(),
            zone: format!("z{}", machine % 3),
            seeds: vec!["10.0.0.0:7000".into()],
            is_core: false,
            config_reader: sumacvale_core::config::validate,
            may_bootstrap: true,
            manages_voters: false,
            tolerated_losses: 1,
            report_interval: 500 * MS,
            workers_report_to_cores_only: false,
        };
        Node::new(settings, &DurableState::default(), machine + 1, now)
    }

    fn new(size: u64) -> GossipNet {
        let nodes = (0..size).map(|machine| Some(GossipNet::node(machine, 1, SEC))).collect();
        GossipNet { nodes, frames: Vec::new(), sent_bytes: 0, now: SEC }
    }

    /// Runs until this virtual time; `is_lost` decides by the number of a frame whether the frame is lost.
    fn run(&mut self, until: Micros, is_lost: impl Fn(usize) -> bool) {
        let mut frame_number = 0;
        while self.now < until {
            self.now += 25 * MS;
            let mut events: Vec<(String, Event)> = Vec::new();
            for (to, bytes) in std::mem::take(&mut self.frames) {
                frame_number += 1;
                if !is_lost(frame_number) {
                    events.push((to, Event::Frame(Box::new(decode_frame(&bytes).expect("a frame")))));
                }
            }
            for node in self.nodes.iter().flatten() {
                events.push((node.settings.addr.clone(), Event::Tick));
            }
            for (to, event) in events {
                self.step(&to, event);
            }
        }
    }

    fn step(&mut self, address: &str, event: Event) {
        let mut nodes = self.nodes.iter_mut().flatten();
        let Some(node) = nodes.find(|node| node.settings.addr == address) else { return };
        for effect in node.step(event, self.now) {
            if let Effect::Send { to, frame } = effect {
                let bytes = encode_frame(&frame).expect("a frame");
                self.sent_bytes += bytes.len();
                self.frames.push((to, bytes));
            }
        }
    }

    fn expect_live(&self, name: &str, count: usize) {
        for node in self.nodes.iter().flatten() {
            let live: Vec<_> =
                node.dissemination.peers.live(self.now).map(|record| (record.node_id, record.incarnation)).collect();
            assert_eq!(live.len(), count, "{name}, at {}: {:?} has {live:?}", self.now, node.settings.node_id);
        }
    }
}

#[test]
fn all_nodes_agree_on_the_live_nodes_despite_frame_loss_failures_and_restarts() {
    for (name, loss_percent) in [("no loss", 0), ("a tenth of the frames lost", 10), ("a third", 33)] {
        let mut net = GossipNet::new(12);
        let lost = |frame_number: usize| Rng::new(frame_number as u64).chance_percent(loss_percent);
        net.run(8 * SEC, lost);
        net.expect_live(name, 12);
        net.nodes[5] = None;
        net.run(8 * SEC + 5 * SEC, lost);
        net.expect_live(name, 11);
        assert!(
            net.nodes.iter().flatten().all(|node| !node.dissemination.peers.is_alive(NodeId(6), net.now)),
            "{name}"
        );
        net.nodes[5] = Some(GossipNet::node(5, 2, net.now));
        net.run(net.now + 4 * SEC, lost);
        net.expect_live(name, 12);
        net.run(net.now + 20 * SEC, lost);
        net.expect_live(name, 12);
    }
}

/// A machine that restarts without its disk is another node at the same address. The node that it replaced must
/// not return through the gossip of peers that still know it.
#[test]
fn a_node_replaced_at_its_address_does_not_return() {
    for (name, loss_percent) in [("no loss", 0), ("a tenth of the frames lost", 10), ("a third", 33)] {
        for downtime in [500 * MS, 1_500 * MS, 3 * SEC] {
            let mut net = GossipNet::new(12);
            let lost = |frame_number: usize| Rng::new(frame_number as u64).chance_percent(loss_percent);
            net.run(8 * SEC, lost);
            net.nodes[5] = None;
            net.run(8 * SEC + downtime, lost);
            net.nodes[5] = Some(GossipNet::node_with_id(NodeId(106), 5, 1, net.now));
            let mut failed_at: BTreeSet<NodeId> = BTreeSet::new();
            while net.now < 28 * SEC {
                net.run(net.now + 100 * MS, lost);
                for node in net.nodes.iter().flatten() {
                    let is_known = node.dissemination.peers.entries.contains_key(&NodeId(6));
                    if !node.dissemination.peers.is_alive(NodeId(6), net.now) && is_known {
                        failed_at.insert(node.settings.node_id);
                    }
                    let is_back = failed_at.contains(&node.settings.node_id)
                        && node.dissemination.peers.is_alive(NodeId(6), net.now);
                    assert!(
                        !is_back,
                        "{name}, {downtime}: {:?} has the replaced node as alive again at {}",
                        node.settings.node_id, net.now
                    );
                }
            }
            net.expect_live(name, 12);
        }
    }
}

#[test]
fn a_replaced_node_returns_only_if_its_heartbeat_advanced() {
    for (name, record, is_known_again) in [
        ("the heartbeat that was known", peer(2, 1, 5, 0), false),
        ("an older heartbeat", peer(2, 1, 4, 0), false),
        ("a version with the heartbeat that was known", peer(2, 1, 5, 9), false),
        ("a newer heartbeat", peer(2, 1, 6, 0), true),
        ("a later incarnation", peer(2, 2, 1, 0), true),
        ("an earlier incarnation", peer(2, 0, 9, 0), false),
    ] {
        let mut table = peer_table(&[peer(2, 1, 5, 0)], 0);
        let replacement = PeerRecord { node_id: NodeId(7), ..peer(2, 1, 1, 0) };
        table.merge(&replacement, FAILURE_TIMEOUT);
        table.expire(FAILURE_TIMEOUT);
        assert!(!table.entries.contains_key(&NodeId(2)), "{name}: the newer node at its address replaced it");
        let mut other_table = table.clone();
        assert_eq!(table.merge(&record, FAILURE_TIMEOUT), is_known_again, "{name}, its record");
        assert_eq!(table.is_alive(NodeId(2), FAILURE_TIMEOUT), is_known_again, "{name}, its record");
        let heartbeat = Heartbeat {
            node_id: record.node_id,
            incarnation: record.incarnation,
            counter: record.heartbeat,
            version: record.version,
            draining: false,
        };
        // The record is requested only if the heartbeat shows that the node is alive.
        let outcome = if is_known_again { None } else { Some(false) };
        assert_eq!(other_table.merge_heartbeat(&heartbeat, FAILURE_TIMEOUT), outcome, "{name}, its heartbeat");
        table.merge(&PeerRecord { heartbeat: 9, ..replacement.clone() }, 70 * SEC);
        table.expire(70 * SEC);
        assert!(table.merge(&record, 70 * SEC) || is_known_again, "{name}: after a minute it is forgotten");
    }
}

#[test]
fn gossip_among_settled_nodes_takes_few_bytes() {
    let mut net = GossipNet::new(12);
    net.run(10 * SEC, |_| false);
    net.sent_bytes = 0;
    net.run(20 * SEC, |_| false);
    // Each link carries, both ways, a frame of some 40 bytes plus two bytes for each node.
    let bytes_per_second = net.sent_bytes / 12 / 10;
    assert!(bytes_per_second < 2_200, "{bytes_per_second} bytes a second for each node");
    let frame = |message| Frame { from: NodeId(1), to: NodeId(2), incarnation: 1, fleet_id: 1, sent_at: 1, message };
    let gossip = |count: usize| {
        frame(Message::Dissemination(DisseminationMessage::Gossip {
            heartbeats: Vec::new(),
            records: Vec::new(),
            unknown_nodes: Vec::new(),
            wants_reply: true,
            incarnation_set: 1,
            compact_heartbeats: vec![200; count],
        }))
    };
    let size = |count| encode_frame(&gossip(count)).expect("a frame").len();
    assert_eq!(size(264) - size(200), 64, "bytes are encoded as bytes");
}
