//! What follows a try that ended in trouble, and what is told of it.

use super::stage::*;

#[test]
fn a_try_ends_as_it_must() {
    check(vec![
        (
            "served",
            "/chat",
            2,
            4,
            9,
            then(vec![(head(false, true), "begin"), (piece("ok"), "pass 2"), (E(Event::ResponseEnd), "end")]),
            8,
        ),
        (
            "the worker vanishes while the connection is made",
            "/chat",
            2,
            4,
            9,
            vec![
                (E(Event::Wake), "read"),
                (Body, "open"),
                (Lose, ""),
                (E(Event::Connected), "close, open other"),
                (E(Event::Connected), "send win 1"),
                (E(Event::ClientDisconnected), ""),
            ],
            8,
        ),
        (
            "nobody there, no budget",
            "/chat",
            2,
            4,
            9,
            vec![
                (E(Event::Wake), "read"),
                (Body, "open"),
                (E(Event::AttemptFailed(FailurePoint::Connect)), "503 worker_gone no"),
            ],
            9,
        ),
        (
            "nobody there, paid",
            "/chat",
            2,
            4,
            9,
            vec![
                (Pay, ""),
                (E(Event::Wake), "read"),
                (Body, "open"),
                (E(Event::AttemptFailed(FailurePoint::Connect)), "open other"),
                (E(Event::Connected), "send win 1"),
                (E(Event::AttemptFailed(FailurePoint::Sent)), "502 worker_trouble unknown"),
            ],
            8,
        ),
        (
            "no connection free from here",
            "/chat",
            2,
            4,
            9,
            vec![
                (Pay, ""),
                (E(Event::Wake), "read"),
                (Body, "open"),
                (E(Event::AttemptFailed(FailurePoint::Declined)), "open other"),
                (E(Event::Connected), "send win 1"),
                (E(Event::AttemptFailed(FailurePoint::Sent)), "502 worker_trouble unknown"),
            ],
            8,
        ),
        (
            "no connection free from here, no budget",
            "/chat",
            2,
            4,
            9,
            vec![
                (E(Event::Wake), "read"),
                (Body, "open"),
                (E(Event::AttemptFailed(FailurePoint::Declined)), "503 worker_full no"),
            ],
            9,
        ),
        (
            "no connection in time",
            "/chat",
            1,
            4,
            9,
            vec![
                (E(Event::Wake), "read"),
                (Body, "open"),
                (Wait(500 * MS), ""),
                (E(Event::Wake), "close, 503 worker_gone no"),
            ],
            9,
        ),
        (
            "a kept connection had ended: the same try, not a second one",
            "/chat",
            2,
            4,
            9,
            then(vec![(E(Event::NotSent), "open again"), (Withdraw, ""), (E(Event::Connected), "close, 401 key no")]),
            9,
        ),
        (
            "it may have run",
            "/chat",
            2,
            4,
            9,
            then(vec![(Pay, ""), (E(Event::AttemptFailed(FailurePoint::Sent)), "502 worker_trouble unknown")]),
            8,
        ),
        (
            "it may have run, and its window ends before the further try: it needs a unit of the next one",
            "/confirm",
            2,
            4,
            9,
            then(vec![
                (Pay, ""),
                (E(Event::AttemptFailed(FailurePoint::Sent)), "open other"),
                (Wait(1_100 * MS), ""),
                (Slice(2), ""),
                (E(Event::Connected), "send win 2"),
                (E(Event::ClientDisconnected), ""),
            ]),
            4,
        ),
        (
            "it may have run, its window ends, and nothing is known of the next one: it is not run again",
            "/confirm",
            2,
            4,
            9,
            then(vec![
                (Pay, ""),
                (E(Event::AttemptFailed(FailurePoint::Sent)), "open other"),
                (Wait(1_100 * MS), ""),
                (E(Event::Connected), "close, 504 worker_slow unknown"),
            ]),
            8,
        ),
        (
            "it may have run and be repeated",
            "/confirm",
            2,
            4,
            9,
            then(vec![
                (Pay, ""),
                (E(Event::AttemptFailed(FailurePoint::Sent)), "open other"),
                (E(Event::Connected), "send win 1"),
                (Pay, ""),
                (E(Event::AttemptFailed(FailurePoint::Sent)), "502 worker_trouble unknown"),
            ]),
            8,
        ),
        (
            "declined without budget: told at once",
            "/chat",
            2,
            4,
            9,
            then(vec![(
                E(Event::ResponseHead(ResponseHead { status: 503, not_run: true, ..ResponseHead::default() })),
                "close, 503 worker_full no",
            )]),
            9,
        ),
        (
            "another call's answer",
            "/chat",
            2,
            4,
            9,
            then(vec![(
                E(Event::ResponseHead(ResponseHead { status: 200, is_foreign: true, ..ResponseHead::default() })),
                "close, 502 worker_trouble unknown",
            )]),
            8,
        ),
        (
            "another call's refusal is no word on this one",
            "/chat",
            2,
            4,
            9,
            then(vec![
                (Pay, ""),
                (
                    E(Event::ResponseHead(ResponseHead {
                        status: 503,
                        is_foreign: true,
                        not_run: true,
                        ..ResponseHead::default()
                    })),
                    "close, 502 worker_trouble unknown",
                ),
            ]),
            8,
        ),
        (
            "no head in time",
            "/chat",
            2,
            4,
            9,
            then(vec![(Wait(15 * SEC), ""), (E(Event::Wake), "close, 504 worker_slow unknown")]),
            8,
        ),
        (
            "cut before its head came",
            "/cut",
            2,
            4,
            9,
            then(vec![(Withdraw, ""), (E(Event::Wake), "close, 401 key unknown")]),
            8,
        ),
    ]);
}

#[test]
fn a_try_of_a_match_with_an_aim_ends_as_it_must() {
    let other = "close, open other";
    let mut cases = vec![
        ("a deadline is handed on", "/once/x", "key", 3_000, 2, and(put("send win 1 until 3000"), whole()), 8),
        (
            "and it is the same at the next worker",
            "/safe/x",
            "key",
            3_000,
            2,
            and(
                put("send win 1 until 3000"),
                vec![
                    (Pay, ""),
                    (Wait(300 * MS), ""),
                    (declined(503), other),
                    (E(Event::Connected), "send win 1 until 3000"),
                    (E(Event::ClientDisconnected), ""),
                ],
            ),
            8,
        ),
        (
            "nobody waits any more",
            "/once/x",
            "key",
            3_000,
            2,
            and(
                put("send win 1 until 3000"),
                vec![
                    (Wait(2_999 * MS), ""),
                    (E(Event::Wake), ""),
                    (Wait(MS), ""),
                    (E(Event::Wake), "close, 504 worker_slow unknown"),
                ],
            ),
            8,
        ),
        ("a match's rank", "/rank/x", "key", 0, 2, and(put("send win 1 rank 7"), whole()), 8),
        ("a tenant's rank before it", "/rank/x", "urgent", 0, 2, and(put("send win 1 rank 2"), whole()), 9),
        (
            "a worker's word that it did not run is a promise",
            "/once/x",
            "key",
            0,
            2,
            and(put("send win 1"), vec![(declined(503), "close, 503 worker_full no")]),
            9,
        ),
        (
            "and lets another one try, where that is paid for",
            "/once/x",
            "key",
            0,
            2,
            and(
                put("send win 1"),
                and(vec![(Pay, ""), (declined(421), other), (E(Event::Connected), "send win 1")], whole()),
            ),
            8,
        ),
        (
            "a failure of its own is passed on",
            "/once/x",
            "key",
            0,
            2,
            and(put("send win 1"), vec![(status(500), "begin"), (E(Event::ResponseEnd), "end")]),
            8,
        ),
        (
            "so is what it gave up",
            "/safe/x",
            "key",
            0,
            2,
            and(put("send win 1"), vec![(Pay, ""), (status(504), "begin"), (E(Event::ResponseEnd), "end")]),
            8,
        ),
        (
            "a failure is tried elsewhere where that is safe and paid for",
            "/safe/x",
            "key",
            0,
            2,
            and(
                put("send win 1"),
                and(vec![(Pay, ""), (status(500), other), (E(Event::Connected), "send win 1")], whole()),
            ),
            8,
        ),
        (
            "or passed on",
            "/safe/x",
            "key",
            0,
            2,
            and(put("send win 1"), vec![(status(500), "begin"), (E(Event::ResponseEnd), "end")]),
            8,
        ),
        (
            "no promise from two workers",
            "/safe/x",
            "key",
            0,
            3,
            and(
                put("send win 1"),
                vec![
                    (Pay, ""),
                    (status(503), other),
                    (Pay, ""),
                    (E(Event::Connected), "send win 1"),
                    (status(503), "close, 502 worker_trouble unknown"),
                ],
            ),
            8,
        ),
        (
            "one worker at most",
            "/one/x",
            "key",
            0,
            3,
            and(put("send win 1"), vec![(Pay, ""), (declined(503), "close, 503 worker_full no")]),
            9,
        ),
        (
            "two at most",
            "/two/x",
            "key",
            0,
            4,
            and(
                put("send win 1"),
                vec![
                    (Pay, ""),
                    (declined(503), other),
                    (E(Event::Connected), "send win 1"),
                    (Pay, ""),
                    (Pay, ""),
                    (declined(503), "close, 503 worker_full no"),
                ],
            ),
            9,
        ),
        (
            "one that is not there has no try",
            "/one/x",
            "key",
            0,
            3,
            and(
                came(),
                and(
                    vec![
                        (E(Event::AttemptFailed(FailurePoint::Connect)), "open other"),
                        (E(Event::Connected), "send win 1"),
                    ],
                    whole(),
                ),
            ),
            8,
        ),
    ];
    for n in [408, 421, 429, 503] {
        let one = "without its word no promise of a worker is passed on";
        let steps = vec![(status(n), "close, 502 worker_trouble unknown")];
        cases.push((one, "/once/x", "key", 0, 2, and(put("send win 1"), steps), 8));
        let steps = vec![(Pay, ""), (status(n), other), (E(Event::Connected), "send win 1")];
        cases.push((
            "or it is tried elsewhere",
            "/safe/x",
            "key",
            0,
            2,
            and(put("send win 1"), and(steps, whole())),
            8,
        ));
    }
    check_aimed(cases);
}

#[test]
fn a_call_that_was_not_written_is_the_same_try() {
    let mut s = Stage::new("/chat", 2, 4, 9);
    let again = vec![
        (E(Event::NotSent), "open again"),
        (E(Event::Connected), "send win 1"),
        (E(Event::ClientDisconnected), ""),
    ];
    run("not written", &mut s, then(again));
    assert_eq!((s.floor.counters.attempts_first.get(), s.floor.counters.retries.get()), (1, 0));
}

/// Each worker reports anew that it has room, and the waitlists are looked through.
fn report(s: &mut Stage) -> String {
    s.look(|v| {
        let rows = v.workers.iter().cloned().map(|mut r| {
            r.seq += 1;
            r
        });
        v.workers = rows.collect::<Vec<_>>().into();
    });
    s.floor.caches.routes.delete("p");
    s.sweep().into_iter().map(|r| s.step(r.event)).collect()
}

#[test]
fn a_call_that_every_worker_declined_waits_for_a_place() {
    let other = "close, open other";
    let again = || E(Event::Connected);
    let declined_by_all =
        || then(vec![(Pay, ""), (Pay, ""), (declined(503), other), (again(), "send win 1"), (declined(503), "close")]);
    let failed_then_declined = || {
        then(vec![
            (Pay, ""),
            (Pay, ""),
            (E(Event::AttemptFailed(FailurePoint::Sent)), "open other"),
            (again(), "send win 1"),
            (declined(503), "close"),
        ])
    };
    let served = || and(vec![(again(), "send win 1")], whole());
    let unpaid = || vec![(again(), "send win 1"), (declined(503), "close, 503 worker_full no")];
    let patience = || vec![(Wait(60 * SEC), ""), (E(Event::Wake), "503 full no")];
    // Name, path; the steps; whether workers report, what follows then; units left, first and second tries.
    let cases = vec![
        ("served when one has room", "/chat", declined_by_all(), true, served(), 8, (1, 2)),
        ("nothing runs unpaid", "/chat", declined_by_all(), true, unpaid(), 9, (1, 2)),
        ("only while its patience lasts", "/chat", declined_by_all(), false, patience(), 9, (1, 1)),
        ("never again where it may have run", "/confirm", failed_then_declined(), true, served(), 8, (1, 2)),
    ];
    for (name, path, steps, reports, more, units, tries) in cases {
        let mut s = Stage::new(path, 2, 4, 9);
        run(name, &mut s, steps);
        let last = s.at.as_ref().map(|p| p.worker_id.clone());
        assert_eq!(s.held().1, (1, 0), "{name}: it waits for a place");
        assert!(s.sweep().is_empty(), "{name}: who said that it is full has no place before it reports");
        if reports {
            assert!(report(&mut s).starts_with("open "), "{name}");
        }
        if path == "/confirm" {
            assert_eq!(s.at.as_ref().map(|p| p.worker_id.clone()), last, "{name}");
        }
        run(name, &mut s, more);
        assert!(s.life.is_finished(), "{name}: is not over");
        assert_eq!((s.held().0, s.held().1), (0, (0, 0)), "{name}: places and waits");
        assert_eq!(s.held().2, units, "{name}: units left");
        let counts = &s.floor.counters;
        assert_eq!((counts.attempts_first.get(), counts.retries.get()), tries, "{name}: tries");
    }
}
