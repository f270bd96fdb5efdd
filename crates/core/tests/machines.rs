//! Case tables for the small state machines: worker table, leases, quota, retries, streams, placement, queue.

use std::collections::BTreeMap;
use sumacvale_core::base::{MS, NodeId, SEC};
use sumacvale_core::config::{Kind, WindowQuota};
use sumacvale_core::lease::{HOLDER_MARGIN, HeldLease, LEASE_DURATION, LeaseDecision, LeaseGrantor};
use sumacvale_core::placement::{PlacementTable, WorkerLoads};
use sumacvale_core::protocol::{
    Frame, FrameError, Message, QuotaMessage, WindowGrant, WorkerReport, decode_frame, encode_frame,
};
use sumacvale_core::queue::FairQueue;
use sumacvale_core::quota::{AcquireOutcome, LedgerAction, SliceRequest, WindowLedger, WindowSlices};
use sumacvale_core::retry::{Execution, FailurePoint, RetryBudget, RetryDecision, decide};
use sumacvale_core::stream::{EventSplitter, StreamError};
use sumacvale_core::workers::{MergeOutcome, WorkerTable};

fn report(w: &str, zone: &str, incarnation: u64, seq: u64) -> WorkerReport {
    let n = w.bytes().map(u32::from).sum::<u32>() % 250 + 1;
    WorkerReport {
        worker_id: w.into(),
        incarnation,
        seq,
        addr: format!("10.0.0.{n}:80"),
        pool: "p".into(),
        zone: zone.into(),
        slots: 4,
        busy: 0,
        draining: false,
        warm_up_left: 0,
        removed: false,
        age: 0,
    }
}

#[test]
fn reports_merge_by_incarnation_and_sequence() {
    for (name, incarnation, seq, at, want, heard) in [
        ("next", 2, 6, 10, MergeOutcome::Applied, 10),
        ("the same again, received later", 2, 5, 9, MergeOutcome::Outdated, 9),
        ("the same again, received earlier", 2, 5, 1, MergeOutcome::Outdated, 5),
        ("an older one", 2, 4, 10, MergeOutcome::Outdated, 5),
        ("of an ended incarnation", 1, 99, 10, MergeOutcome::EndedIncarnation, 5),
        ("of a new incarnation", 3, 1, 10, MergeOutcome::Applied, 10),
        ("from the future", 2, 6, 11, MergeOutcome::FromFuture, 5),
    ] {
        let mut n = WorkerTable::default();
        assert_eq!(n.merge(&report("w", "z", 2, 5), 5, 5), MergeOutcome::Applied);
        assert_eq!(n.merge(&report("w", "z", incarnation, seq), at, 10), want, "{name}");
        assert_eq!(n.entries["w"].reported_at, heard, "{name}");
    }
}

#[test]
fn failed_and_draining_workers_are_not_live() {
    let mut n = WorkerTable::default();
    n.merge(&report("w", "z", 1, 1), 0, 0);
    assert_eq!(n.live(1_499 * MS).count(), 1);
    assert_eq!(n.live(1_500 * MS).count(), 0);
    n.merge(&WorkerReport { draining: true, ..report("w", "z", 1, 2) }, SEC, SEC);
    assert_eq!(n.live(SEC).count(), 0);
}

#[test]
fn leases_are_granted_once_and_fenced() {
    let (a, b) = (NodeId(1), NodeId(2));
    let yes = |w| LeaseDecision::Granted { is_new_epoch: w };
    let mut k = LeaseGrantor { fence_until: SEC, ..LeaseGrantor::default() };
    let no = |x: LeaseDecision| matches!(x, LeaseDecision::Rejected { .. });
    assert!(no(k.request(0, a, 1, true, 0)), "fenced after a start");
    assert_eq!(k.request(0, a, 1, true, SEC), yes(true));
    assert!(no(k.request(0, b, 2, true, SEC + LEASE_DURATION - 1)), "the lease of another holder is valid");
    assert_eq!(k.request(0, a, 1, false, SEC + LEASE_DURATION - 1), yes(false), "a holder renews");
    assert!(no(k.request(0, a, 1, true, SEC + LEASE_DURATION)), "a new lease needs a new epoch");
    assert_eq!(k.request(0, b, 2, true, SEC + 2 * LEASE_DURATION), yes(true), "expired: the next holder");
    assert!(no(k.request(0, a, 1, false, SEC + 3 * LEASE_DURATION)), "an old epoch is not renewed");
    assert!(k.is_fenced(0, 1) && !k.is_fenced(0, 2) && !k.is_fenced(1, 0));
}

/// The fence of all roles may end early; a role with a fence of its own waits for the end of that.
#[test]
fn a_role_with_a_fence_of_its_own_is_granted_only_after_it() {
    let (a, b) = (NodeId(1), NodeId(2));
    let mut grantor = LeaseGrantor {
        fence_until: LEASE_DURATION,
        role_fences: BTreeMap::from([(3, LEASE_DURATION)]),
        ..LeaseGrantor::default()
    };
    grantor.fence_until = 0;
    assert_eq!(grantor.request(4, a, 1, true, MS), LeaseDecision::Granted { is_new_epoch: true }, "another role");
    let refused = grantor.request(3, a, 1, true, LEASE_DURATION - MS);
    assert!(
        matches!(refused, LeaseDecision::Rejected { holder, remaining: MS, .. } if holder == NodeId::default()),
        "{refused:?}"
    );
    assert_eq!(
        grantor.request(3, b, 1, false, LEASE_DURATION - MS),
        LeaseDecision::Granted { is_new_epoch: true },
        "a holder renews meanwhile"
    );
    grantor.granted.clear();
    assert_eq!(
        grantor.request(3, a, 2, true, LEASE_DURATION),
        LeaseDecision::Granted { is_new_epoch: true },
        "its fence has ended"
    );
}

#[test]
fn a_lease_ends_at_its_holder_before_it_ends_at_its_grantors() {
    let mut h = HeldLease::default();
    h.extend_from(100);
    assert!(h.is_valid(100 + LEASE_DURATION - HOLDER_MARGIN - 1));
    assert!(!h.is_valid(100 + LEASE_DURATION - HOLDER_MARGIN));
}

const QUOTA: WindowQuota = WindowQuota { calls: 10, window: SEC };

fn slice_request(n: u64, want: u64) -> SliceRequest {
    SliceRequest { node_id: NodeId(n), request_id: 0, wanted_units: want, received_at: 0 }
}

fn granted_units(v: &[LedgerAction]) -> u64 {
    v.iter().map(|t| if let LedgerAction::Grant { grant: g, .. } = t { g.granted_total } else { 0 }).sum()
}

#[test]
fn a_ledger_grants_no_more_than_the_quota_and_recalls_before_it_rejects() {
    let mut l = WindowLedger::default();
    let mut sum = 0;
    for k in 0..10 {
        sum += granted_units(&l.request("t", QUOTA, slice_request(k, 1), (0, 0), 1, 0));
    }
    assert_eq!(sum, 10);
    let v = l.request("t", QUOTA, slice_request(99, 1), (0, 0), 1, 1);
    assert!(matches!(&v[..], [LedgerAction::Recall { to, .. }] if to.len() == 10), "{v:?}");
    let v = l.return_units("t", QUOTA, NodeId(3), 1, 1, 1, 2);
    assert!(matches!(&v[..], [LedgerAction::Grant { grant: g, .. }] if g.node_id == NodeId(99)), "{v:?}");
    let v = l.request("t", QUOTA, slice_request(98, 1), (0, 0), 1, 3);
    assert!(matches!(&v[..], [LedgerAction::Recall { .. }]), "{v:?}");
    let v = l.tick("t", QUOTA, 1, 3 + 150 * MS);
    assert!(matches!(&v[..], [LedgerAction::Spent { remaining: left, .. }] if *left == SEC - 3 - 150 * MS), "{v:?}");
    let v = l.request("t", QUOTA, slice_request(98, 1), (0, 0), 1, SEC);
    assert!(matches!(&v[..], [LedgerAction::Grant { grant: g, .. }] if g.window == 2), "a new window: {v:?}");
}

#[test]
fn a_successor_counts_what_it_does_not_know_as_spent() {
    for (name, age, now, want) in [
        ("within the window", 0, 500 * MS, 2),
        ("its beginning is known", 900 * MS, 200 * MS, 10),
        ("it ends by the successor's clock", 0, SEC, 10),
    ] {
        let mut l = WindowLedger::default();
        for (n, granted_total) in [(1, 5), (2, 3)] {
            l.inherit(&WindowGrant { tenant: "t".into(), window: 7, node_id: NodeId(n), granted_total, age }, 10 * SEC);
        }
        let mut sum = 0;
        for k in 10..30 {
            sum += granted_units(&l.request("t", QUOTA, slice_request(k, 1), (0, 0), 1, 10 * SEC + now));
        }
        assert_eq!(sum, want, "{name}");
    }
}

#[test]
fn a_slice_ends_inside_its_window() {
    let s = WindowSlices::default();
    assert_eq!(s.acquire_unit("t", 0), AcquireOutcome::Empty);
    s.add_granted("t", 1, 2, SEC);
    assert!(matches!(s.acquire_unit("t", 0), AcquireOutcome::Acquired { window: 1, .. }));
    s.refund("t", 1);
    assert!(matches!(s.acquire_unit("t", 1), AcquireOutcome::Acquired { .. }));
    assert!(matches!(s.acquire_unit("t", 2), AcquireOutcome::Acquired { .. }));
    assert_eq!(s.acquire_unit("t", 3), AcquireOutcome::Empty);
    s.add_granted("t", 1, 3, SEC);
    assert_eq!(s.acquire_unit("t", SEC), AcquireOutcome::Empty, "the window is over");
    s.add_granted("t", 1, 3, SEC);
    assert!(matches!(s.acquire_unit("t", SEC - 1), AcquireOutcome::Acquired { .. }), "granted twice, counted once");
    assert_eq!(s.acquire_unit("t", SEC - 1), AcquireOutcome::Empty);
    s.add_granted("t", 2, 5, 2 * SEC);
    s.refund("t", 1);
    assert_eq!(s.return_idle("t", 2, SEC), Some(5), "a refund of an older window adds nothing");
    assert_eq!(s.return_idle("t", 2, SEC), Some(5), "returned once");
    assert_eq!(s.acquire_unit("t", SEC), AcquireOutcome::Empty);
    s.add_granted("t", 1, 9, 3 * SEC);
    assert_eq!(s.acquire_unit("t", SEC), AcquireOutcome::Empty, "an older window comes too late");
}

#[test]
fn retry_decisions_by_failure_point() {
    for (failure_point, repeat, down, budget, want) in [
        (FailurePoint::Connect, false, false, true, RetryDecision::Retry),
        (FailurePoint::Connect, false, false, false, RetryDecision::Stop(Execution::NotRun)),
        (FailurePoint::Declined, false, false, true, RetryDecision::Retry),
        (FailurePoint::Sent, false, false, true, RetryDecision::Stop(Execution::Unknown)),
        (FailurePoint::Sent, true, false, true, RetryDecision::Retry),
        (FailurePoint::Sent, true, true, true, RetryDecision::Stop(Execution::Unknown)),
        (FailurePoint::Body, true, true, true, RetryDecision::Stop(Execution::Ran)),
        (FailurePoint::Body, false, false, true, RetryDecision::Stop(Execution::Ran)),
    ] {
        assert_eq!(decide(failure_point, repeat, down, || budget), want, "{failure_point:?} {repeat} {down} {budget}");
    }
}

#[test]
fn retries_are_a_fifth_of_first_attempts_from_the_start() {
    let b = RetryBudget::default();
    assert!(!b.withdraw(), "no initial budget");
    let mut n = 0;
    for _ in 0..1_000 {
        b.deposit();
        n += u64::from(b.withdraw());
    }
    assert_eq!(n, 200);
}

#[test]
fn streams_are_split_into_whole_events_and_resumed_exactly() {
    let feed = |p: &mut EventSplitter, s: &str| p.push(s.as_bytes()).map(|v| v.concat());
    let ok = |s: &str| Ok::<_, StreamError>(s.as_bytes().to_vec());
    let new = || EventSplitter::new(true, None);
    let mut p = new();
    assert_eq!(feed(&mut p, "id: 0\ndata: a\n\nid: 1\nda"), ok("id: 0\ndata: a\n\n"));
    assert!(!p.is_between_events());
    assert_eq!(feed(&mut p, "ta: b\n\n: hold\n\n"), ok("id: 1\ndata: b\n\n: hold\n\n"));
    assert_eq!(feed(&mut p, "id: 2\nda"), ok(""));
    assert_eq!(p.resume_point(), Some(Some(1)));
    for (name, s, want) in [
        ("goes on", "id: 2\ndata: c\n\n", ok("id: 2\ndata: c\n\n")),
        ("repeats what was sent", "id: 1\ndata: b\n\nid: 2\ndata: c\n\n", ok("id: 2\ndata: c\n\n")),
        ("skips", "id: 3\ndata: d\n\n", Err(StreamError::EventGap { received: 3, expected: 2 })),
        ("has no number", "data: c\n\n", Err(StreamError::MissingEventId)),
        ("ends lines another way", "id: 2\r\ndata: c\r\n\r\n", ok("id: 2\r\ndata: c\r\n\r\n")),
    ] {
        let mut p = new();
        let _ = feed(&mut p, "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\nda");
        p.resume();
        assert_eq!(feed(&mut p, s), want, "{name}");
    }
    assert_eq!(new().push(&vec![b'x'; 2 << 20]), Err(StreamError::EventTooLarge));
}

#[test]
fn placement_keeps_prefixes_steps_past_the_full_and_stays_in_its_zone() {
    let rs: Vec<_> = (0..9).map(|i| report(&format!("w{i}"), &format!("z{}", i % 3), 1, 1)).collect();
    let t = PlacementTable::new(rs.iter());
    let none = vec![0; 9];
    let zone = |i: usize| t.endpoints[i].zone.clone();
    let mut moved = 0;
    for h in (0..500u64).map(|k| k.wrapping_mul(0x9E37_79B9_7F4A_7C15)) {
        let i = t.nominate(h, "z1", &none, &[]).expect("room");
        assert_eq!(zone(i), "z1");
        assert_eq!(t.nominate(h, "z1", &none, &[]), Some(i), "the same again");
        let mut load = none.clone();
        load[i] = 4;
        let j = t.nominate(h, "z1", &load, &[]).expect("room");
        assert!(j != i && zone(j) == "z1", "past a full one");
        let skip = [t.endpoints[i].worker_id.clone()];
        assert!(t.nominate(h, "z1", &none, &skip) != Some(i));
        let full: Vec<_> = (0..9).map(|k| if zone(k) == "z1" { 4 } else { 0 }).collect();
        assert!(zone(t.nominate(h, "z1", &full, &[]).expect("room elsewhere")) != "z1");
        // The removal of a worker moves only its own prefixes.
        let less = PlacementTable::new(rs.iter().filter(|r| r.worker_id != "w4"));
        let k = less.nominate(h, "z1", &[0; 8], &[]).expect("room");
        if t.endpoints[i].worker_id != "w4" {
            moved += usize::from(less.endpoints[k].worker_id != t.endpoints[i].worker_id);
        }
    }
    assert_eq!(moved, 0);
    assert_eq!(t.nominate(1, "z1", &[4; 9], &[]), None);
    assert_eq!(PlacementTable::default().nominate(1, "z1", &[], &[]), None);
}

#[test]
fn a_hot_prefix_is_spread_by_the_load_bound() {
    let rs: Vec<_> = (0..4).map(|i| WorkerReport { slots: 100, ..report(&format!("w{i}"), "z", 1, 1) }).collect();
    let t = PlacementTable::new(rs.iter());
    let mut load = vec![0u32; 4];
    for _ in 0..200 {
        let i = t.nominate(42, "z", &load, &[]).expect("room");
        load[i] += 1;
    }
    assert!(load.iter().all(|l| *l <= 63), "{load:?}");
}

#[test]
fn a_failed_worker_is_excluded_until_it_reports_again() {
    let l = WorkerLoads::default();
    let t = PlacementTable::new([report("w", "z", 1, 5)].iter());
    l.begin("w");
    assert_eq!(l.current(&t), [1]);
    l.mark_failed("w", 1, 5);
    assert_eq!(l.current(&t), [u32::MAX]);
    assert_eq!(l.current(&PlacementTable::new([report("w", "z", 1, 6)].iter())), [1]);
    let busy = WorkerReport { busy: 3, ..report("w", "z", 1, 7) };
    assert_eq!(l.current(&PlacementTable::new([busy.clone()].iter())), [3], "one own and two of others");
    l.begin("w");
    l.mark_full("w", 4);
    assert_eq!(l.current(&PlacementTable::new([busy.clone()].iter())), [5], "it reported that it is full");
    l.end("w");
    l.end("w");
    assert_eq!(l.current(&PlacementTable::new([busy].iter())), [3], "room where own calls ended");
    assert_eq!(l.current(&PlacementTable::new([report("w", "z", 1, 8)].iter())), [0]);
}

#[test]
fn the_queue_is_fair_and_bounded_and_rejects_at_once() {
    let k = |t: &str, x: Kind| (t.to_owned(), x);
    let mut w = FairQueue::new(100);
    for i in 0..50 {
        assert!(w.push(k("big", Kind::Chat), 1, ("big", i), SEC, 0).is_ok());
    }
    for i in 0..5 {
        assert!(w.push(k("small", Kind::Chat), 1, ("small", i), SEC, 0).is_ok());
    }
    let first: Vec<_> = (0..10).filter_map(|_| w.pop(|_| Some(())).map(|x| x.0.0)).collect();
    assert_eq!(first.iter().filter(|t| **t == "small").count(), 5, "{first:?}");
    assert_eq!(w.drain_where(|_, due| due <= SEC).len(), 45);
    assert!(w.is_empty());

    // Lookups are not blocked by drafts of the same tenant.
    for i in 0..20 {
        let _ = w.push(k("t", Kind::Draft), 1, ("draft", i), 9 * SEC, SEC);
    }
    let _ = w.push(k("t", Kind::Lookup), 1, ("lookup", 0), 9 * SEC, SEC);
    let got: Vec<_> = (0..2).filter_map(|_| w.pop(|_| Some(())).map(|x| x.0.0)).collect();
    assert!(got.contains(&"lookup"), "{got:?}");

    // A full queue evicts the last of the longest flow, never one of a short flow.
    let mut w = FairQueue::new(3);
    for i in 0..3 {
        assert!(matches!(w.push(k("big", Kind::Chat), 1, i, SEC, 0), Ok(None)));
    }
    assert!(matches!(w.push(k("small", Kind::Chat), 1, 9, SEC, 0), Ok(Some(2))));
    assert!(w.push(k("big", Kind::Chat), 1, 8, SEC, 0).is_err());
    // What cannot be served before its deadline is rejected at once.
    let mut w = FairQueue::new(100);
    for t in 0..10 {
        w.record_freed(t * 100 * MS);
    }
    for _ in 0..5 {
        assert!(w.push(k("t", Kind::Chat), 1, 0, SEC + 500 * MS, SEC).is_ok());
    }
    let r = w.push(k("t", Kind::Chat), 1, 0, SEC + 500 * MS, SEC);
    assert!(matches!(r, Err((_, r)) if r.retry_after >= 500 * MS), "{r:?}");
}

#[test]
fn invalid_frames_are_typed_errors() {
    let f = Frame {
        from: NodeId(1),
        to: NodeId(2),
        incarnation: 3,
        fleet_id: 4,
        sent_at: 5,
        message: Message::Quota(QuotaMessage::SliceRequest {
            request_id: 1,
            tenant: "t".into(),
            wanted_units: 2,
            window: 3,
            returned: 4,
        }),
    };
    let b = encode_frame(&f).expect("packs");
    assert_eq!(decode_frame(&b), Ok(f));
    assert_eq!(decode_frame(&[]), Err(FrameError::Empty));
    assert_eq!(decode_frame(&[9, 1, 2]), Err(FrameError::Version(9)));
    assert!(matches!(decode_frame(&vec![1; 17 << 20]), Err(FrameError::TooLarge(_))));
    // Any change of any byte is decoded as some frame or rejected, without a panic.
    let mut rng = sumacvale_core::base::Rng::new(7);
    for _ in 0..20_000 {
        let mut c = b.clone();
        for _ in 0..=rng.below(3) {
            let i = usize::try_from(rng.below(c.len() as u64)).expect("small");
            c[i] = u8::try_from(rng.below(256)).expect("byte");
        }
        c.truncate(usize::try_from(rng.below(c.len() as u64 + 1)).expect("small"));
        let _ = decode_frame(&c);
    }
}

#[test]
fn times_fall_into_the_buckets_that_they_are_within() {
    use sumacvale_core::call::{BUCKET_BOUNDS, LatencyHistogram};
    let t = LatencyHistogram::default();
    for us in [1, 5 * MS, 5 * MS + 1, 99 * MS, 11 * SEC] {
        t.record(Kind::Chat, us);
    }
    let v = t.snapshot();
    let chat = v.iter().find(|s| s.kind == "chat").expect("a kind");
    assert_eq!(chat.cumulative, [2, 3, 3, 3, 4, 4, 4, 4, 4, 4, 4]);
    assert_eq!((chat.count, chat.sum), (5, 11 * SEC + 109 * MS + 2));
    assert!(v.iter().filter(|s| s.kind != "chat").all(|s| s.count == 0 && s.cumulative.len() == BUCKET_BOUNDS.len()));
}
