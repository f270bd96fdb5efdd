//! Waiting for a unit of the quota or a place at a worker, and what is given back.

use super::stage::*;

#[test]
fn a_call_waits_and_what_it_held_goes_back() {
    check(vec![
        (
            "the window ends while the connection is made, the next one has units",
            "/chat",
            2,
            4,
            9,
            vec![
                (E(Event::Wake), "read"),
                (Body, "open"),
                (Wait(1_100 * MS), ""),
                (Slice(2), ""),
                (E(Event::Connected), "send win 2"),
                (E(Event::ClientDisconnected), ""),
            ],
            4,
        ),
        (
            "the window ends while the connection is made, the next one is not known",
            "/chat",
            2,
            4,
            9,
            vec![
                (E(Event::Wake), "read"),
                (Body, "open"),
                (Wait(1_100 * MS), ""),
                (E(Event::Connected), "close, need"),
                (Refill(2), "open again"),
                (E(Event::Connected), "send win 2"),
                (E(Event::ClientDisconnected), ""),
            ],
            4,
        ),
        (
            "withdrawn while it waits for a unit",
            "/chat",
            2,
            4,
            0,
            vec![
                (E(Event::Wake), "read"),
                (Body, "need"),
                (E(Event::Wake), ""),
                (Withdraw, ""),
                (E(Event::Wake), "401 key no"),
            ],
            0,
        ),
        (
            "no word on its quota",
            "/chat",
            2,
            4,
            0,
            vec![
                (E(Event::Wake), "read"),
                (Body, "need"),
                (Wait(1_400 * MS), ""),
                (E(Event::Wake), ""),
                (Wait(100 * MS), ""),
                (E(Event::Wake), "503 quota_unsettled no"),
            ],
            0,
        ),
        (
            "the window is spent",
            "/chat",
            2,
            4,
            0,
            vec![(E(Event::Wake), "read"), (Body, "need"), (Refill(0), "429 quota no")],
            0,
        ),
        (
            "no worker: nothing to wait for",
            "/chat",
            0,
            4,
            9,
            vec![(E(Event::Wake), "read"), (Body, "503 no_worker no")],
            9,
        ),
        (
            "leaves before it was sent",
            "/chat",
            2,
            4,
            9,
            vec![(E(Event::Wake), "read"), (Body, "open"), (E(Event::ClientDisconnected), "")],
            9,
        ),
        ("leaves after it was sent", "/chat", 2, 4, 9, then(vec![(E(Event::ClientDisconnected), "")]), 8),
    ]);
}

#[test]
fn a_call_that_waits_for_a_place_is_rung_in_turn() {
    let mut s = Stage::new("/chat", 1, 1, 9);
    run("first", &mut s, sent());
    let mut next = |n: u64| {
        let head = RequestHead {
            method: "POST".into(),
            path: "/chat".into(),
            api_key: Some("key".into()),
            ..RequestHead::default()
        };
        std::mem::replace(&mut s.life, CallMachine::new(n, head, s.view.clone(), s.now))
    };
    let first = next(2);
    assert_eq!(s.step(Event::Wake), "read");
    assert_eq!(s.step(Event::RequestBody(Ok(Bytes::from_static(b"{\"prompt\":\"x\"}")))), "", "it waits");
    assert_eq!(s.held(), (1, (1, 0), 7));
    // The first one ends, which rings the second one.
    let second = std::mem::replace(&mut s.life, first);
    let p = s.at.clone().expect("a place");
    assert_eq!(s.step(Event::ClientDisconnected), "ring 2");
    assert_eq!(s.held(), (1, (0, 0), 7), "the place is taken for it");
    // It left meanwhile: the place and the unit are free again.
    s.life = second;
    assert_eq!(s.step(Event::ClientDisconnected), "");
    assert_eq!(s.step(Event::SlotAssigned(p)), "");
    assert_eq!(s.held(), (0, (0, 0), 8));
}

/// A first call has the only place, and a second one waits for it.
fn one_waits() -> (Stage, CallMachine) {
    let mut s = Stage::new("/chat", 1, 1, 2);
    run("first", &mut s, sent());
    let head = RequestHead {
        method: "POST".into(),
        path: "/chat".into(),
        api_key: Some("key".into()),
        ..RequestHead::default()
    };
    let first = std::mem::replace(&mut s.life, CallMachine::new(2, head, s.view.clone(), s.now));
    run("second", &mut s, vec![(E(Event::Wake), "read"), (Body, "need")]);
    assert_eq!(s.held(), (1, (1, 0), 0), "it waits");
    (s, first)
}

#[test]
fn a_unit_is_recalled_from_a_call_that_waits_for_a_place() {
    let recall = |s: &Stage| s.floor.slices.return_idle("t", 1, s.now);
    let (mut s, first) = one_waits();
    assert_eq!(recall(&s), Some(1), "the one of the call that waits, not of the one that was sent");
    assert_eq!(recall(&s), Some(1), "once");
    // The first one ends: the second one has the place, and is without a unit.
    let second = std::mem::replace(&mut s.life, first);
    let place = s.at.clone().expect("a place");
    assert_eq!(s.step(Event::ClientDisconnected), "ring 2");
    s.life = second;
    run("no unit", &mut s, vec![(E(Event::SlotAssigned(place.clone())), "need")]);
    assert_eq!(s.held(), (0, (0, 1), 0), "the place is free for others while it waits for a unit");
    run(
        "a unit",
        &mut s,
        vec![(Refill(2), "open again"), (E(Event::Connected), "send win 2"), (E(Event::ClientDisconnected), "")],
    );

    let (mut s, first) = one_waits();
    recall(&s);
    s.floor.slices.add_granted("t", 1, 4, BEGIN + SEC);
    let second = std::mem::replace(&mut s.life, first);
    assert_eq!(s.step(Event::ClientDisconnected), "ring 2");
    s.life = second;
    run(
        "another unit",
        &mut s,
        vec![(E(Event::SlotAssigned(place)), "open again"), (E(Event::Connected), "send win 1")],
    );
    assert_eq!(s.held().2, 1);

    let (mut s, _first) = one_waits();
    recall(&s);
    assert_eq!(s.step(Event::ClientDisconnected), "");
    assert_eq!(s.held().2, 0, "what was recalled does not come back twice");
}

#[test]
fn a_call_that_leaves_while_it_waits_for_a_place_gives_its_unit_back() {
    let (mut s, _first) = one_waits();
    assert_eq!(s.step(Event::ClientDisconnected), "");
    assert_eq!(s.held().2, 1);
    assert_eq!(s.floor.slices.return_idle("t", 1, s.now), Some(1));
}

#[test]
fn a_full_list_rings_whom_it_lets_go() {
    // Eight wait for a unit; a lookup comes, which weighs more than the drafts before it.
    let mut s = Stage::new("/draft", 1, 1, 0);
    let mut lives = Vec::new();
    for n in 1..=9 {
        let path = if n == 9 { "/confirm" } else { "/draft" };
        let head = RequestHead {
            method: "POST".into(),
            path: path.into(),
            api_key: Some("key".into()),
            ..RequestHead::default()
        };
        let old = std::mem::replace(&mut s.life, CallMachine::new(n, head, s.view.clone(), s.now));
        lives.push(old);
        assert_eq!(s.step(Event::Wake), "read");
        let got = s.step(Event::RequestBody(Ok(Bytes::from_static(b"{\"prompt\":\"x\"}"))));
        assert_eq!(got, if n == 9 { "ring 8, need" } else { "need" }, "{n}");
    }
    assert_eq!(s.held().1, (0, 8));
}
