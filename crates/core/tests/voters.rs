//! Changes of the set of voters: when a voter is replaced, by which candidate, and which voter proposes the
//! change.

use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, NodeId, SEC};
use sumacvale_core::node::membership::voters::{
    Candidate, PROPOSAL_RANK_DELAY, REPLACEMENT_MARGIN, SUSPECT_TIMEOUT, VoterSlot, VoterStatus, choose_voters,
    proposal_delay, target_voter_count, voter_status,
};
use sumacvale_core::peers::{FAILURE_TIMEOUT, PeerEntry};
use sumacvale_core::protocol::{PeerRecord, Voter};

fn voter(number: u64) -> Voter {
    Voter { node_id: NodeId(number), addr: format!("10.0.0.{number}:7000") }
}

fn slot(number: u64, zone: &str, status: VoterStatus) -> VoterSlot {
    VoterSlot { voter: voter(number), zone: Some(zone.into()), status }
}

fn candidate(number: u64, zone: &str) -> Candidate {
    Candidate { node: voter(number), zone: zone.into(), is_recent: false }
}

fn recent_candidate(number: u64, zone: &str) -> Candidate {
    Candidate { is_recent: true, ..candidate(number, zone) }
}

fn node_ids(voters: Option<Vec<Voter>>) -> Vec<u64> {
    voters.unwrap_or_default().iter().map(|voter| voter.node_id.0).collect()
}

#[test]
fn the_voter_count_tolerates_the_losses_and_is_odd() {
    for (losses, cores, expected) in
        [(1, 3, 3), (1, 8, 3), (2, 3, 3), (2, 4, 3), (2, 5, 5), (2, 8, 5), (3, 6, 5), (1, 2, 1)]
    {
        assert_eq!(target_voter_count(losses, cores), expected, "{losses} losses of {cores}");
    }
}

#[test]
fn voters_are_replaced_one_at_a_time_and_only_by_a_candidate() {
    use VoterStatus::{Draining, Failed, Live, Replaced, Suspect};
    let three = |standings: [VoterStatus; 3]| {
        let [first, second, third] = standings;
        vec![slot(1, "a", first), slot(2, "b", second), slot(3, "c", third)]
    };
    type Case = (&'static str, Vec<VoterSlot>, Vec<Candidate>, u32, &'static [u64]);
    let cases: Vec<Case> = vec![
        ("all live", three([Live; 3]), vec![candidate(4, "a")], 1, &[]),
        ("no candidate", three([Live, Live, Failed]), vec![], 1, &[]),
        ("replaced, no candidate", three([Live, Live, Replaced]), vec![], 1, &[]),
        ("failed", three([Live, Live, Failed]), vec![candidate(4, "a")], 1, &[1, 2, 4]),
        ("draining", three([Live, Draining, Live]), vec![candidate(4, "a")], 1, &[1, 3, 4]),
        ("silent, a candidate known for long", three([Live, Suspect, Live]), vec![candidate(4, "a")], 1, &[]),
        ("silent, a recent candidate", three([Live, Suspect, Live]), vec![recent_candidate(4, "a")], 1, &[1, 3, 4]),
        (
            "silent, the recent one of two candidates",
            three([Live, Suspect, Live]),
            vec![candidate(5, "b"), recent_candidate(4, "a")],
            1,
            &[1, 3, 4],
        ),
        ("replaced before failed", three([Replaced, Failed, Live]), vec![candidate(4, "b")], 1, &[2, 3, 4]),
        (
            "the zone with the fewest",
            three([Live, Live, Failed]),
            vec![candidate(4, "a"), candidate(5, "c")],
            1,
            &[1, 2, 5],
        ),
        ("two grow to three", three([Live; 3])[..2].to_vec(), vec![candidate(4, "a")], 1, &[1, 2, 4]),
        ("one stays one with one candidate", three([Live; 3])[..1].to_vec(), vec![candidate(4, "b")], 1, &[]),
        (
            "three to four on the way to five",
            three([Live; 3]),
            vec![candidate(4, "a"), candidate(5, "d")],
            2,
            &[1, 2, 3, 5],
        ),
        ("no fourth without a fifth", three([Live; 3]), vec![candidate(4, "d")], 2, &[]),
        (
            "a loss before growth",
            three([Live, Live, Failed]),
            vec![candidate(4, "a"), candidate(5, "d")],
            2,
            &[1, 2, 5],
        ),
    ];
    for (name, slots, candidates, losses, expected) in cases {
        assert_eq!(node_ids(choose_voters(&slots, &candidates, losses)), expected, "{name}");
    }
}

/// A machine that lost its disk restarts as a new node at the same address: that node, not another candidate
/// of the zone, must replace the old one.
#[test]
fn the_candidate_at_the_removed_address_is_preferred_within_its_zone() {
    let slots =
        vec![slot(1, "a", VoterStatus::Live), slot(2, "b", VoterStatus::Live), slot(3, "c", VoterStatus::Replaced)];
    for number in 4..40 {
        let at_same_address =
            Candidate { node: Voter { node_id: NodeId(number), addr: voter(3).addr }, ..candidate(number, "c") };
        let chosen = node_ids(choose_voters(
            &slots,
            &[candidate(number + 100, "c"), at_same_address, candidate(number + 200, "c")],
            1,
        ));
        assert_eq!(chosen, [1, 2, number]);
    }
}

fn peer(
    number: u64,
    machine: u64,
    discovered_at: Micros,
    heartbeat_at: Micros,
    last_contact_at: Micros,
) -> (NodeId, PeerEntry) {
    let record = PeerRecord {
        node_id: NodeId(number),
        incarnation: 1,
        heartbeat: 1,
        addr: voter(machine).addr,
        admin: String::new(),
        zone: "a".into(),
        is_core: true,
        draining: false,
        version: 0,
    };
    (NodeId(number), PeerEntry { record, heartbeat_at, discovered_at, last_contact_at, last_change_at: discovered_at })
}

/// A voter that is judged too early would be replaced while it lives; a stale report by other nodes must not
/// hide its successor.
#[test]
fn a_voters_status_follows_from_when_it_and_its_successor_were_in_contact() {
    let now = 100 * SEC;
    let ago = |t: Micros| now - t;
    let own = |t: Micros| peer(1, 1, SEC, ago(t), ago(t));
    let draining = || {
        let mut entry = own(0);
        entry.1.record.draining = true;
        entry
    };
    let front = || {
        let mut entry = peer(2, 1, ago(SEC), ago(0), ago(0));
        entry.1.record.is_core = false;
        entry
    };
    let cases = [
        ("seen now", vec![own(0)], VoterStatus::Live),
        ("just before silent", vec![own(SUSPECT_TIMEOUT - 1)], VoterStatus::Live),
        ("silent", vec![own(SUSPECT_TIMEOUT)], VoterStatus::Suspect),
        ("just before failed", vec![own(FAILURE_TIMEOUT - 1)], VoterStatus::Suspect),
        ("failed", vec![own(FAILURE_TIMEOUT)], VoterStatus::Failed),
        ("unknown", vec![], VoterStatus::Failed),
        ("reported by others only", vec![peer(1, 1, SEC, ago(0), 0)], VoterStatus::Live),
        ("draining", vec![draining()], VoterStatus::Draining),
        ("another at its address", vec![own(SEC), peer(2, 1, ago(500 * MS), now, now)], VoterStatus::Replaced),
        ("another, hardly later", vec![own(REPLACEMENT_MARGIN), peer(2, 1, ago(0), now, now)], VoterStatus::Live),
        (
            "another, just late enough",
            vec![own(REPLACEMENT_MARGIN + 1), peer(2, 1, ago(0), now, now)],
            VoterStatus::Replaced,
        ),
        ("another known for longer than it", vec![own(SEC), peer(2, 1, 0, now, now)], VoterStatus::Live),
        ("another, reported by others only", vec![own(SEC), peer(2, 1, ago(500 * MS), now, 0)], VoterStatus::Live),
        (
            "another that failed too",
            vec![own(9 * SEC), peer(2, 1, ago(8 * SEC), ago(FAILURE_TIMEOUT), ago(FAILURE_TIMEOUT))],
            VoterStatus::Failed,
        ),
        (
            "reported by others after its successor was in contact",
            vec![
                peer(1, 1, ago(REPLACEMENT_MARGIN + 1), now, 0),
                peer(2, 1, ago(REPLACEMENT_MARGIN + 20 * MS), now, now),
            ],
            VoterStatus::Replaced,
        ),
        (
            "reported by others, its successor not in contact for long enough",
            vec![peer(1, 1, ago(REPLACEMENT_MARGIN), now, 0), peer(2, 1, ago(REPLACEMENT_MARGIN + 20 * MS), now, now)],
            VoterStatus::Live,
        ),
        ("a front there", vec![own(SEC), front()], VoterStatus::Live),
        ("a core elsewhere", vec![own(SEC), peer(2, 2, ago(500 * MS), now, now)], VoterStatus::Live),
    ];
    for (name, entries, expected) in cases {
        let peers = entries.into_iter().collect::<BTreeMap<_, _>>();
        assert_eq!(voter_status(&voter(1), &peers, now), expected, "{name}");
    }
}

/// Voters that propose at the same time would preempt each other's ballots.
#[test]
fn live_voters_propose_one_after_the_other() {
    use VoterStatus::{Draining, Failed, Live, Replaced, Suspect};
    for version in 0..20 {
        let standings = [Live, Suspect, Live, Failed, Live, Draining, Replaced];
        let slots: Vec<_> = standings.iter().enumerate().map(|(i, s)| slot(i as u64 + 1, "a", *s)).collect();
        let delay = |number: u64| proposal_delay(NodeId(number), &slots, version);
        let mut live = [delay(1), delay(3), delay(5)];
        live.sort_unstable();
        assert_eq!(live, [0, PROPOSAL_RANK_DELAY, 2 * PROPOSAL_RANK_DELAY], "version {version}");
        assert_eq!(delay(2), 3 * PROPOSAL_RANK_DELAY, "the silent one comes last");
        assert!(
            [4, 6, 7].iter().all(|number| delay(*number) > 3 * PROPOSAL_RANK_DELAY),
            "voters that are lost come after all"
        );
    }
    let all_live: Vec<_> = (1..4).map(|number| slot(number, "a", Live)).collect();
    let first = |version: u64| (1..4).find(|number| proposal_delay(NodeId(*number), &all_live, version) == 0);
    assert!((0..50).map(first).collect::<std::collections::BTreeSet<_>>().len() > 1, "the order differs by version");
}
