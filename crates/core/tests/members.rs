//! Who votes, who is replaced when, and who proposes it.

use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, NodeId, SEC};
use sumacvale_core::node::membership::voters::{
    Candidate, PROPOSAL_RANK_DELAY, REPLACEMENT_MARGIN, SILENCE_TIMEOUT, VoterSlot, VoterStanding, choose_voters,
    proposal_delay, target_voter_count, voter_standing,
};
use sumacvale_core::peers::{FAILURE_TIMEOUT, PeerEntry};
use sumacvale_core::protocol::{PeerRecord, Voter};

fn core(n: u64) -> Voter {
    Voter { node_id: NodeId(n), addr: format!("10.0.0.{n}:7000") }
}

fn seat(n: u64, zone: &str, state: VoterStanding) -> VoterSlot {
    VoterSlot { voter: core(n), zone: Some(zone.into()), standing: state }
}

fn spare(n: u64, zone: &str) -> Candidate {
    Candidate { node: core(n), zone: zone.into(), is_recent: false }
}

fn young(n: u64, zone: &str) -> Candidate {
    Candidate { is_recent: true, ..spare(n, zone) }
}

fn ids(v: Option<Vec<Voter>>) -> Vec<u64> {
    v.unwrap_or_default().iter().map(|c| c.node_id.0).collect()
}

#[test]
fn as_many_vote_as_bear_the_loss_and_never_an_even_number() {
    for (lose, cores, want) in [(1, 3, 3), (1, 8, 3), (2, 3, 3), (2, 4, 3), (2, 5, 5), (2, 8, 5), (3, 6, 5), (1, 2, 1)]
    {
        assert_eq!(target_voter_count(lose, cores), want, "lose {lose} of {cores}");
    }
}

#[test]
fn voters_are_replaced_one_at_a_time_and_only_by_a_spare() {
    use VoterStanding::{Draining, Failed, Live, Replaced, Silent};
    let three = |s: [VoterStanding; 3]| vec![seat(1, "a", s[0]), seat(2, "b", s[1]), seat(3, "c", s[2])];
    type Case = (&'static str, Vec<VoterSlot>, Vec<Candidate>, u32, &'static [u64]);
    let cases: Vec<Case> = vec![
        ("all live", three([Live; 3]), vec![spare(4, "a")], 1, &[]),
        ("no spare", three([Live, Live, Failed]), vec![], 1, &[]),
        ("wiped, no spare", three([Live, Live, Replaced]), vec![], 1, &[]),
        ("gone", three([Live, Live, Failed]), vec![spare(4, "a")], 1, &[1, 2, 4]),
        ("leaving", three([Live, Draining, Live]), vec![spare(4, "a")], 1, &[1, 3, 4]),
        ("silent, an old spare", three([Live, Silent, Live]), vec![spare(4, "a")], 1, &[]),
        ("silent, a new machine", three([Live, Silent, Live]), vec![young(4, "a")], 1, &[1, 3, 4]),
        (
            "silent, the new one stands in",
            three([Live, Silent, Live]),
            vec![spare(5, "b"), young(4, "a")],
            1,
            &[1, 3, 4],
        ),
        ("wiped before gone", three([Replaced, Failed, Live]), vec![spare(4, "b")], 1, &[2, 3, 4]),
        ("the zone with the fewest", three([Live, Live, Failed]), vec![spare(4, "a"), spare(5, "c")], 1, &[1, 2, 5]),
        ("two grow to three", three([Live; 3])[..2].to_vec(), vec![spare(4, "a")], 1, &[1, 2, 4]),
        ("one stays alone with one more", three([Live; 3])[..1].to_vec(), vec![spare(4, "b")], 1, &[]),
        ("three to four on the way to five", three([Live; 3]), vec![spare(4, "a"), spare(5, "d")], 2, &[1, 2, 3, 5]),
        ("no fourth without a fifth", three([Live; 3]), vec![spare(4, "d")], 2, &[]),
        ("a loss before growth", three([Live, Live, Failed]), vec![spare(4, "a"), spare(5, "d")], 2, &[1, 2, 5]),
    ];
    for (name, seats, spares, lose, want) in cases {
        assert_eq!(ids(choose_voters(&seats, &spares, lose)), want, "{name}");
    }
}

#[test]
fn the_successor_at_the_same_address_goes_before_others_of_its_zone() {
    let seats = vec![
        seat(1, "a", VoterStanding::Live),
        seat(2, "b", VoterStanding::Live),
        seat(3, "c", VoterStanding::Replaced),
    ];
    for n in 4..40 {
        let same = Candidate { node: Voter { node_id: NodeId(n), addr: core(3).addr }, ..spare(n, "c") };
        let got = ids(choose_voters(&seats, &[spare(n + 100, "c"), same, spare(n + 200, "c")], 1));
        assert_eq!(got, [1, 2, n]);
    }
}

fn seen(n: u64, at: u64, since: Micros, heard: Micros, spoke: Micros) -> (NodeId, PeerEntry) {
    let p = PeerRecord {
        node_id: NodeId(n),
        incarnation: 1,
        heartbeat: 1,
        addr: core(at).addr,
        admin: String::new(),
        zone: "a".into(),
        is_core: true,
        draining: false,
        version: 0,
    };
    (NodeId(n), PeerEntry { record: p, heard_at: heard, first_heard_at: since, contacted_at: spoke, changed_at: since })
}

#[test]
fn how_a_voter_stands() {
    let now = 100 * SEC;
    let ago = |t: Micros| now - t;
    let own = |t: Micros| seen(1, 1, SEC, ago(t), ago(t));
    let leaving = || {
        let mut s = own(0);
        s.1.record.draining = true;
        s
    };
    let front = || {
        let mut s = seen(2, 1, ago(SEC), ago(0), ago(0));
        s.1.record.is_core = false;
        s
    };
    let cases = [
        ("heard now", vec![own(0)], VoterStanding::Live),
        ("just before silent", vec![own(SILENCE_TIMEOUT - 1)], VoterStanding::Live),
        ("silent", vec![own(SILENCE_TIMEOUT)], VoterStanding::Silent),
        ("just before gone", vec![own(FAILURE_TIMEOUT - 1)], VoterStanding::Silent),
        ("gone", vec![own(FAILURE_TIMEOUT)], VoterStanding::Failed),
        ("never heard of", vec![], VoterStanding::Failed),
        ("told by others only", vec![seen(1, 1, SEC, ago(0), 0)], VoterStanding::Live),
        ("says that it leaves", vec![leaving()], VoterStanding::Draining),
        ("another at its address", vec![own(SEC), seen(2, 1, ago(500 * MS), now, now)], VoterStanding::Replaced),
        ("another, hardly later", vec![own(REPLACEMENT_MARGIN), seen(2, 1, ago(0), now, now)], VoterStanding::Live),
        (
            "another, just late enough",
            vec![own(REPLACEMENT_MARGIN + 1), seen(2, 1, ago(0), now, now)],
            VoterStanding::Replaced,
        ),
        ("another known longer than it", vec![own(SEC), seen(2, 1, 0, now, now)], VoterStanding::Live),
        ("another, by hearsay", vec![own(SEC), seen(2, 1, ago(500 * MS), now, 0)], VoterStanding::Live),
        (
            "another that is gone too",
            vec![own(9 * SEC), seen(2, 1, ago(8 * SEC), ago(FAILURE_TIMEOUT), ago(FAILURE_TIMEOUT))],
            VoterStanding::Failed,
        ),
        (
            "told by others after its successor was met",
            vec![
                seen(1, 1, ago(REPLACEMENT_MARGIN + 1), now, 0),
                seen(2, 1, ago(REPLACEMENT_MARGIN + 20 * MS), now, now),
            ],
            VoterStanding::Replaced,
        ),
        (
            "told by others, its successor not long enough",
            vec![seen(1, 1, ago(REPLACEMENT_MARGIN), now, 0), seen(2, 1, ago(REPLACEMENT_MARGIN + 20 * MS), now, now)],
            VoterStanding::Live,
        ),
        ("a front there", vec![own(SEC), front()], VoterStanding::Live),
        ("a core elsewhere", vec![own(SEC), seen(2, 2, ago(500 * MS), now, now)], VoterStanding::Live),
    ];
    for (name, v, want) in cases {
        assert_eq!(voter_standing(&core(1), &v.into_iter().collect::<BTreeMap<_, _>>(), now), want, "{name}");
    }
}

#[test]
fn live_voters_propose_one_after_the_other() {
    use VoterStanding::{Draining, Failed, Live, Replaced, Silent};
    for version in 0..20 {
        let s = [Live, Silent, Live, Failed, Live, Draining, Replaced];
        let seats: Vec<_> = s.iter().enumerate().map(|(i, s)| seat(i as u64 + 1, "a", *s)).collect();
        let at = |n: u64| proposal_delay(NodeId(n), &seats, version);
        let mut live = [at(1), at(3), at(5)];
        live.sort_unstable();
        assert_eq!(live, [0, PROPOSAL_RANK_DELAY, 2 * PROPOSAL_RANK_DELAY], "version {version}");
        assert_eq!(at(2), 3 * PROPOSAL_RANK_DELAY, "the silent one comes last");
        assert!([4, 6, 7].iter().all(|n| at(*n) > 3 * PROPOSAL_RANK_DELAY), "who is lost comes after all");
    }
    let all: Vec<_> = (1..4).map(|n| seat(n, "a", Live)).collect();
    let first = |v: u64| (1..4).find(|n| proposal_delay(NodeId(*n), &all, v) == 0);
    assert!((0..50).map(first).collect::<std::collections::BTreeSet<_>>().len() > 1, "it goes round by version");
}
