//! Case tables for what nodes tell each other of beats.

use std::collections::BTreeSet;
use sumacvale_core::base::{MS, Micros, NodeId, Rng, SEC};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::peers::{FAILURE_TIMEOUT, HeartbeatStamp, PeerTable};
use sumacvale_core::protocol::{
    DisseminationMessage, Frame, Heartbeat, Message, PeerRecord, decode_frame, encode_frame,
};

fn peer(n: u64, incarnation: u64, beat: u64, version: u64) -> PeerRecord {
    let s = String::new();
    let (zone, addr) = ("z".to_owned(), format!("10.0.0.{n}:7000"));
    PeerRecord {
        node_id: NodeId(n),
        incarnation,
        heartbeat: beat,
        addr,
        admin: s,
        zone,
        is_core: false,
        draining: false,
        version,
    }
}

fn ring(ps: &[PeerRecord], now: Micros) -> PeerTable {
    let mut r = PeerTable::default();
    for p in ps {
        r.merge(p, now);
    }
    r
}

fn beat(r: &PeerTable, n: u64) -> u64 {
    r.entries[&NodeId(n)].record.heartbeat
}

#[test]
fn a_pulse_moves_beats_forward_only() {
    let big = 0xffff_fff0;
    for (name, have, told, want) in [
        ("one on", 5, 6, 6),
        ("the same", 5, 5, 5),
        ("an older one", 5, 4, 5),
        ("over the low bytes' end", 0xfffe, 0x1_0003, 0x1_0003),
        ("older over the low bytes' end", 0x1_0003, 0xfffe, 0x1_0003),
        ("far on in a long life", big, big + 0x30, big + 0x30),
        ("the furthest that can be told", 1, 0x8000, 0x8000),
        ("further than can be told is taken for older", 1, 0x8001, 1),
    ] {
        let mut a = ring(&[peer(1, 1, 9, 0), peer(2, 1, have, 0)], 0);
        let b = ring(&[peer(1, 1, 9, 0), peer(2, 1, told, 0)], SEC);
        let (set, p) = (b.incarnation_set(SEC), b.compact_heartbeats(SEC));
        assert_eq!(p.len(), 4, "{name}");
        assert!(a.merge_compact_heartbeats(NodeId(1), set, &p, SEC), "{name}");
        assert_eq!(beat(&a, 2), want, "{name}");
        assert_eq!(a.entries[&NodeId(2)].heard_at, if want > have { SEC } else { 0 }, "{name}");
        assert_eq!((beat(&a, 1), a.entries[&NodeId(1)].heard_at), (9, 0), "{name}: its own beat is its own");
    }
}

#[test]
fn a_pulse_is_taken_only_where_both_know_the_same_lives() {
    let both = [peer(1, 1, 9, 0), peer(2, 1, 5, 0)];
    let cases: [(&str, Vec<PeerRecord>, Micros, bool); 6] = [
        ("the same lives", vec![peer(1, 1, 1, 0), peer(2, 1, 1, 0)], SEC, true),
        ("other versions are no other lives", vec![peer(1, 1, 1, 7), peer(2, 1, 1, 3)], SEC, true),
        ("a later life", vec![peer(1, 1, 1, 0), peer(2, 2, 1, 0)], SEC, false),
        ("one more", vec![peer(1, 1, 1, 0), peer(2, 1, 1, 0), peer(3, 1, 1, 0)], SEC, false),
        ("one less", vec![peer(1, 1, 1, 0)], SEC, false),
        ("all are gone here", vec![peer(1, 1, 1, 0), peer(2, 1, 1, 0)], FAILURE_TIMEOUT, false),
    ];
    for (name, mine, now, want) in cases {
        let b = ring(&both, now);
        let mut a = ring(&mine, 0);
        let (set, p) = (b.incarnation_set(now), b.compact_heartbeats(now));
        assert_eq!(a.merge_compact_heartbeats(NodeId(1), set, &p, now), want, "{name}");
        assert_eq!(a.entries.get(&NodeId(2)).is_some_and(|s| s.record.heartbeat == 5), want, "{name}");
    }
    let mut a = ring(&both, 0);
    let (set, p) = (a.incarnation_set(0), a.compact_heartbeats(0));
    assert!(!a.merge_compact_heartbeats(NodeId(1), set, &p[..3], 0), "a pulse that was cut");
    assert!(!a.merge_compact_heartbeats(NodeId(1), set, &[], 0), "no pulse");
    assert_ne!(PeerTable::default().incarnation_set(0), 0, "nought says nothing");
}

#[test]
fn a_version_is_told_beside_a_pulse_that_ran_ahead() {
    let mut a = ring(&[peer(2, 1, 5, 3)], 0);
    for (name, beat, version, want, news) in [
        ("an older beat with a newer version", 4, 9, 3, Some(false)),
        ("the beat that is known, with a newer version", 5, 4, 4, Some(true)),
        ("again", 5, 4, 4, Some(false)),
        ("the beat that is known, with an older version", 5, 3, 4, Some(false)),
        ("a newer beat", 6, 5, 5, Some(true)),
    ] {
        let b = Heartbeat { node_id: NodeId(2), incarnation: 1, heartbeat: beat, version, draining: false };
        assert_eq!(a.merge_heartbeat(&b, SEC), news, "{name}");
        assert_eq!(a.entries[&NodeId(2)].record.version, want, "{name}");
    }
    assert_eq!(a.recent_changes(SEC).len(), 1);
    assert_eq!(a.recent_changes(5 * SEC).len(), 0, "told in full for a while only");
}

#[test]
fn what_a_peer_told_is_not_told_back() {
    for (name, told, want) in [("the same", 5, 0), ("an older beat", 4, 1), ("a newer one", 6, 0)] {
        let mut a = ring(&[peer(2, 1, 5, 0)], 0);
        a.record_received(NodeId(9), [(NodeId(2), HeartbeatStamp { incarnation: 1, heartbeat: told })].into_iter());
        let delta = a.delta(NodeId(9), 0);
        assert_eq!((delta.heartbeats.len(), delta.records.len()), (want, 0), "{name}");
    }
}

/// Some nodes without versions that hear each other, stepped each 25 ms.
struct Few {
    nodes: Vec<Option<Node>>,
    frames: Vec<(Micros, String, Vec<u8>)>,
    bytes: usize,
    now: Micros,
}

impl Few {
    fn node(i: u64, incarnation: u64, now: Micros) -> Node {
        Few::named(NodeId(i + 1), i, incarnation, now)
    }

    fn named(node_id: NodeId, i: u64, incarnation: u64, now: Micros) -> Node {
        let me = NodeSettings {
            node_id,
            incarnation,
            addr: format!("10.0.0.{i}:7000"),
            admin: String::new(),
            zone: format!("z{}", i % 3),
            seeds: vec!["10.0.0.0:7000".into()],
            is_core: false,
            config_reader: sumacvale_core::config::validate,
            may_bootstrap: true,
            manages_voters: false,
            tolerated_losses: 1,
            report_interval: 500 * MS,
            reports_to_cores_only: false,
        };
        Node::new(me, &DurableState::default(), i + 1, now)
    }

    fn new(n: u64) -> Few {
        let nodes = (0..n).map(|i| Some(Few::node(i, 1, SEC))).collect();
        Few { nodes, frames: Vec::new(), bytes: 0, now: SEC }
    }

    fn run(&mut self, until: Micros, lost: impl Fn(usize) -> bool) {
        let mut n = 0;
        while self.now < until {
            self.now += 25 * MS;
            let fs = std::mem::take(&mut self.frames);
            let mut evs: Vec<(String, Event)> = Vec::new();
            for (_, to, b) in fs {
                n += 1;
                if !lost(n) {
                    evs.push((to, Event::Frame(Box::new(decode_frame(&b).expect("a frame")))));
                }
            }
            for x in self.nodes.iter().flatten() {
                evs.push((x.settings.addr.clone(), Event::Tick));
            }
            for (to, e) in evs {
                let Some(x) = self.nodes.iter_mut().flatten().find(|x| x.settings.addr == to) else { continue };
                for e in x.step(e, self.now) {
                    if let Effect::Send { to, frame } = e {
                        let b = encode_frame(&frame).expect("a frame");
                        self.bytes += b.len();
                        self.frames.push((self.now, to, b));
                    }
                }
            }
        }
    }

    fn agree(&self, name: &str, n: usize) {
        for x in self.nodes.iter().flatten() {
            let live: Vec<_> = x.dissemination.peers.live(self.now).map(|p| (p.node_id, p.incarnation)).collect();
            assert_eq!(live.len(), n, "{name}, at {}: {:?} holds {live:?}", self.now, x.settings.node_id);
        }
    }
}

#[test]
fn all_know_who_lives_through_losses_ends_and_returns() {
    for (name, pct) in [("no loss", 0), ("a tenth of the frames lost", 10), ("a third", 33)] {
        let mut f = Few::new(12);
        let lost = |n: usize| Rng::new(n as u64).chance(pct);
        f.run(8 * SEC, lost);
        f.agree(name, 12);
        f.nodes[5] = None;
        f.run(8 * SEC + 5 * SEC, lost);
        f.agree(name, 11);
        assert!(f.nodes.iter().flatten().all(|x| !x.dissemination.peers.is_alive(NodeId(6), f.now)), "{name}");
        f.nodes[5] = Some(Few::node(5, 2, f.now));
        f.run(f.now + 4 * SEC, lost);
        f.agree(name, 12);
        f.run(f.now + 20 * SEC, lost);
        f.agree(name, 12);
    }
}

/// A machine that comes back without its disk is another node at the same address.
#[test]
fn a_life_whose_address_a_newer_one_has_does_not_come_back() {
    for (name, pct) in [("no loss", 0), ("a tenth of the frames lost", 10), ("a third", 33)] {
        for down in [500 * MS, 1_500 * MS, 3 * SEC] {
            let mut f = Few::new(12);
            let lost = |n: usize| Rng::new(n as u64).chance(pct);
            f.run(8 * SEC, lost);
            f.nodes[5] = None;
            f.run(8 * SEC + down, lost);
            f.nodes[5] = Some(Few::named(NodeId(106), 5, 1, f.now));
            let mut gone: BTreeSet<NodeId> = BTreeSet::new();
            while f.now < 28 * SEC {
                f.run(f.now + 100 * MS, lost);
                for x in f.nodes.iter().flatten() {
                    let known = x.dissemination.peers.entries.contains_key(&NodeId(6));
                    if !x.dissemination.peers.is_alive(NodeId(6), f.now) && known {
                        gone.insert(x.settings.node_id);
                    }
                    let back = gone.contains(&x.settings.node_id) && x.dissemination.peers.is_alive(NodeId(6), f.now);
                    assert!(!back, "{name}, {down}: {:?} has it back at {}", x.settings.node_id, f.now);
                }
            }
            f.agree(name, 12);
        }
    }
}

#[test]
fn an_ended_life_is_news_only_if_it_spoke_since() {
    for (name, p, want) in [
        ("the beat that was known", peer(2, 1, 5, 0), false),
        ("an older beat", peer(2, 1, 4, 0), false),
        ("a version beside the beat that was known", peer(2, 1, 5, 9), false),
        ("a newer beat", peer(2, 1, 6, 0), true),
        ("a later life", peer(2, 2, 1, 0), true),
        ("an earlier life", peer(2, 0, 9, 0), false),
    ] {
        let mut r = ring(&[peer(2, 1, 5, 0)], 0);
        let new = PeerRecord { node_id: NodeId(7), ..peer(2, 1, 1, 0) };
        r.merge(&new, FAILURE_TIMEOUT);
        r.expire(FAILURE_TIMEOUT);
        assert!(!r.entries.contains_key(&NodeId(2)), "{name}: the newer life at its address ended it");
        let mut s = r.clone();
        assert_eq!(r.merge(&p, FAILURE_TIMEOUT), want, "{name}, told whole");
        assert_eq!(r.is_alive(NodeId(2), FAILURE_TIMEOUT), want, "{name}, told whole");
        let b = Heartbeat {
            node_id: p.node_id,
            incarnation: p.incarnation,
            heartbeat: p.heartbeat,
            version: p.version,
            draining: false,
        };
        // Who speaks again is asked for; what was known before is not asked for either.
        assert_eq!(s.merge_heartbeat(&b, FAILURE_TIMEOUT), if want { None } else { Some(false) }, "{name}, its beat");
        r.merge(&PeerRecord { heartbeat: 9, ..new.clone() }, 70 * SEC);
        r.expire(70 * SEC);
        assert!(r.merge(&p, 70 * SEC) || want, "{name}: after a minute nothing of it is kept");
    }
}

#[test]
fn settled_nodes_tell_beats_in_few_bytes() {
    let mut f = Few::new(12);
    f.run(10 * SEC, |_| false);
    f.bytes = 0;
    f.run(20 * SEC, |_| false);
    // Each link carries a frame of some 40 bytes and two for each node, both ways.
    let each = f.bytes / 12 / 10;
    assert!(each < 2_200, "{each} bytes a second for each node");
    let frame = |m| Frame { from: NodeId(1), to: NodeId(2), incarnation: 1, fleet_id: 1, sent_at: 1, message: m };
    let gossip = |n: usize| {
        let pulse = vec![200; n];
        frame(Message::Dissemination(DisseminationMessage::Gossip {
            heartbeats: Vec::new(),
            records: Vec::new(),
            unknown_nodes: Vec::new(),
            wants_reply: true,
            incarnation_set: 1,
            compact_heartbeats: pulse,
        }))
    };
    let size = |n| encode_frame(&gossip(n)).expect("a frame").len();
    assert_eq!(size(264) - size(200), 64, "bytes go as bytes");
}
