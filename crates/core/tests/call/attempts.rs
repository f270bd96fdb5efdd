//! Failed attempts: whether they are retried, and the response to the client otherwise.

use super::fixture::*;
use sumacvale_core::protocol::WorkerReport;

#[test]
fn a_failed_attempt_is_retried_or_answered() {
    check(vec![
        (
            "served",
            "/chat",
            2,
            4,
            9,
            after_send(vec![
                (ok_head(false, true), "forward head"),
                (chunk("ok"), "forward 2"),
                (Deliver(Event::ResponseEnd), "finish"),
            ]),
            8,
        ),
        (
            "the worker is removed while connecting",
            "/chat",
            2,
            4,
            9,
            vec![
                (Deliver(Event::Wake), "read body"),
                (DeliverBody, "connect"),
                (RemoveWorker, ""),
                (Deliver(Event::Connected), "close, connect elsewhere"),
                (Deliver(Event::Connected), "send window 1"),
                (Deliver(Event::ClientDisconnected), ""),
            ],
            8,
        ),
        (
            "no connection, no retry budget",
            "/chat",
            2,
            4,
            9,
            vec![
                (Deliver(Event::Wake), "read body"),
                (DeliverBody, "connect"),
                (Deliver(Event::AttemptFailed(FailurePoint::Connect)), "503 worker_gone no"),
            ],
            9,
        ),
        (
            "no connection, the budget pays for a retry",
            "/chat",
            2,
            4,
            9,
            vec![
                (FundRetry, ""),
                (Deliver(Event::Wake), "read body"),
                (DeliverBody, "connect"),
                (Deliver(Event::AttemptFailed(FailurePoint::Connect)), "connect elsewhere"),
                (Deliver(Event::Connected), "send window 1"),
                (Deliver(Event::AttemptFailed(FailurePoint::Sent)), "502 worker_trouble unknown"),
            ],
            8,
        ),
        (
            "no free connection on this node",
            "/chat",
            2,
            4,
            9,
            vec![
                (FundRetry, ""),
                (Deliver(Event::Wake), "read body"),
                (DeliverBody, "connect"),
                (Deliver(Event::AttemptFailed(FailurePoint::Declined)), "connect elsewhere"),
                (Deliver(Event::Connected), "send window 1"),
                (Deliver(Event::AttemptFailed(FailurePoint::Sent)), "502 worker_trouble unknown"),
            ],
            8,
        ),
        (
            "no free connection on this node, no retry budget",
            "/chat",
            2,
            4,
            9,
            vec![
                (Deliver(Event::Wake), "read body"),
                (DeliverBody, "connect"),
                (Deliver(Event::AttemptFailed(FailurePoint::Declined)), "503 worker_full no"),
            ],
            9,
        ),
        (
            "connecting times out",
            "/chat",
            1,
            4,
            9,
            vec![
                (Deliver(Event::Wake), "read body"),
                (DeliverBody, "connect"),
                (Advance(500 * MS), ""),
                (Deliver(Event::Wake), "close, 503 worker_gone no"),
            ],
            9,
        ),
        (
            "a kept connection was closed: the same attempt, no retry",
            "/chat",
            2,
            4,
            9,
            after_send(vec![
                (Deliver(Event::NotSent), "connect again"),
                (RevokeKey, ""),
                (Deliver(Event::Connected), "close, 401 key no"),
            ]),
            9,
        ),
        (
            "it may have run",
            "/chat",
            2,
            4,
            9,
            after_send(vec![
                (FundRetry, ""),
                (Deliver(Event::AttemptFailed(FailurePoint::Sent)), "502 worker_trouble unknown"),
            ]),
            8,
        ),
        (
            "it may have run, and its window ends before the retry: the retry needs a unit of the next window",
            "/confirm",
            2,
            4,
            9,
            after_send(vec![
                (FundRetry, ""),
                (Deliver(Event::AttemptFailed(FailurePoint::Sent)), "connect elsewhere"),
                (Advance(1_100 * MS), ""),
                (GrantUnits(2), ""),
                (Deliver(Event::Connected), "send window 2"),
                (Deliver(Event::ClientDisconnected), ""),
            ]),
            4,
        ),
        (
            "it may have run, its window ends, and the next one is unknown: it is not run again",
            "/confirm",
            2,
            4,
            9,
            after_send(vec![
                (FundRetry, ""),
                (Deliver(Event::AttemptFailed(FailurePoint::Sent)), "connect elsewhere"),
                (Advance(1_100 * MS), ""),
                (Deliver(Event::Connected), "close, 504 worker_slow unknown"),
            ]),
            8,
        ),
        (
            "it may have run and is idempotent",
            "/confirm",
            2,
            4,
            9,
            after_send(vec![
                (FundRetry, ""),
                (Deliver(Event::AttemptFailed(FailurePoint::Sent)), "connect elsewhere"),
                (Deliver(Event::Connected), "send window 1"),
                (FundRetry, ""),
                (Deliver(Event::AttemptFailed(FailurePoint::Sent)), "502 worker_trouble unknown"),
            ]),
            8,
        ),
        (
            "declined without retry budget",
            "/chat",
            2,
            4,
            9,
            after_send(vec![(
                Deliver(Event::ResponseHead(ResponseHead { status: 503, not_run: true, ..ResponseHead::default() })),
                "close, 503 worker_full no",
            )]),
            9,
        ),
        (
            "the response of another call",
            "/chat",
            2,
            4,
            9,
            after_send(vec![(
                Deliver(Event::ResponseHead(ResponseHead { status: 200, is_foreign: true, ..ResponseHead::default() })),
                "close, 502 worker_trouble unknown",
            )]),
            8,
        ),
        (
            "a decline of another call proves nothing about this one",
            "/chat",
            2,
            4,
            9,
            after_send(vec![
                (FundRetry, ""),
                (
                    Deliver(Event::ResponseHead(ResponseHead {
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
            after_send(vec![(Advance(15 * SEC), ""), (Deliver(Event::Wake), "close, 504 worker_slow unknown")]),
            8,
        ),
        (
            "cut before its head came",
            "/cut",
            2,
            4,
            9,
            after_send(vec![(RevokeKey, ""), (Deliver(Event::Wake), "close, 401 key unknown")]),
            8,
        ),
    ]);
}

#[test]
fn a_failed_attempt_with_a_latency_target_is_retried_or_answered() {
    let other = "close, connect elsewhere";
    let mut cases = vec![
        (
            "the deadline is sent to the worker",
            "/once/x",
            "key",
            3_000,
            2,
            followed_by(until_sent_with("send window 1 until 3000"), complete_response()),
            8,
        ),
        (
            "and it is the same at the next worker",
            "/safe/x",
            "key",
            3_000,
            2,
            followed_by(
                until_sent_with("send window 1 until 3000"),
                vec![
                    (FundRetry, ""),
                    (Advance(300 * MS), ""),
                    (declined_head(503), other),
                    (Deliver(Event::Connected), "send window 1 until 3000"),
                    (Deliver(Event::ClientDisconnected), ""),
                ],
            ),
            8,
        ),
        (
            "the deadline of the client has passed",
            "/once/x",
            "key",
            3_000,
            2,
            followed_by(
                until_sent_with("send window 1 until 3000"),
                vec![
                    (Advance(2_999 * MS), ""),
                    (Deliver(Event::Wake), ""),
                    (Advance(MS), ""),
                    (Deliver(Event::Wake), "close, 504 worker_slow unknown"),
                ],
            ),
            8,
        ),
        (
            "the urgency of a match",
            "/rank/x",
            "key",
            0,
            2,
            followed_by(until_sent_with("send window 1 urgency 7"), complete_response()),
            8,
        ),
        (
            "the urgency of a tenant has precedence",
            "/rank/x",
            "urgent",
            0,
            2,
            followed_by(until_sent_with("send window 1 urgency 2"), complete_response()),
            9,
        ),
        (
            "a worker's statement that it did not run is passed on",
            "/once/x",
            "key",
            0,
            2,
            followed_by(until_sent_with("send window 1"), vec![(declined_head(503), "close, 503 worker_full no")]),
            9,
        ),
        (
            "and allows a retry that the budget pays for",
            "/once/x",
            "key",
            0,
            2,
            followed_by(
                until_sent_with("send window 1"),
                followed_by(
                    vec![(FundRetry, ""), (declined_head(421), other), (Deliver(Event::Connected), "send window 1")],
                    complete_response(),
                ),
            ),
            8,
        ),
        (
            "a server error is forwarded",
            "/once/x",
            "key",
            0,
            2,
            followed_by(
                until_sent_with("send window 1"),
                vec![(status_head(500), "forward head"), (Deliver(Event::ResponseEnd), "finish")],
            ),
            8,
        ),
        (
            "so is a time-out of the worker",
            "/safe/x",
            "key",
            0,
            2,
            followed_by(
                until_sent_with("send window 1"),
                vec![(FundRetry, ""), (status_head(504), "forward head"), (Deliver(Event::ResponseEnd), "finish")],
            ),
            8,
        ),
        (
            "a server error is retried where that is safe and paid for",
            "/safe/x",
            "key",
            0,
            2,
            followed_by(
                until_sent_with("send window 1"),
                followed_by(
                    vec![(FundRetry, ""), (status_head(500), other), (Deliver(Event::Connected), "send window 1")],
                    complete_response(),
                ),
            ),
            8,
        ),
        (
            "or forwarded",
            "/safe/x",
            "key",
            0,
            2,
            followed_by(
                until_sent_with("send window 1"),
                vec![(status_head(500), "forward head"), (Deliver(Event::ResponseEnd), "finish")],
            ),
            8,
        ),
        (
            "no unbacked promise from two workers",
            "/safe/x",
            "key",
            0,
            3,
            followed_by(
                until_sent_with("send window 1"),
                vec![
                    (FundRetry, ""),
                    (status_head(503), other),
                    (FundRetry, ""),
                    (Deliver(Event::Connected), "send window 1"),
                    (status_head(503), "close, 502 worker_trouble unknown"),
                ],
            ),
            8,
        ),
        (
            "one attempt at most",
            "/one/x",
            "key",
            0,
            3,
            followed_by(
                until_sent_with("send window 1"),
                vec![(FundRetry, ""), (declined_head(503), "close, 503 worker_full no")],
            ),
            9,
        ),
        (
            "two attempts at most",
            "/two/x",
            "key",
            0,
            4,
            followed_by(
                until_sent_with("send window 1"),
                vec![
                    (FundRetry, ""),
                    (declined_head(503), other),
                    (Deliver(Event::Connected), "send window 1"),
                    (FundRetry, ""),
                    (FundRetry, ""),
                    (declined_head(503), "close, 503 worker_full no"),
                ],
            ),
            9,
        ),
        (
            "a worker that can't be reached counts as no attempt",
            "/one/x",
            "key",
            0,
            3,
            followed_by(
                until_connecting(),
                followed_by(
                    vec![
                        (Deliver(Event::AttemptFailed(FailurePoint::Connect)), "connect elsewhere"),
                        (Deliver(Event::Connected), "send window 1"),
                    ],
                    complete_response(),
                ),
            ),
            8,
        ),
    ];
    for status in [408, 421, 429, 503] {
        let name = "an unbacked promise of a worker is not forwarded";
        let steps = vec![(status_head(status), "close, 502 worker_trouble unknown")];
        cases.push((name, "/once/x", "key", 0, 2, followed_by(until_sent_with("send window 1"), steps), 8));
        let steps = vec![(FundRetry, ""), (status_head(status), other), (Deliver(Event::Connected), "send window 1")];
        cases.push((
            "or the call is retried elsewhere",
            "/safe/x",
            "key",
            0,
            2,
            followed_by(until_sent_with("send window 1"), followed_by(steps, complete_response())),
            8,
        ));
    }
    check_with_latency_target(cases);
}

#[test]
fn a_call_that_was_not_written_is_resent_as_the_same_attempt() {
    let mut call = CallFixture::new("/chat", 2, 4, 9);
    let again = vec![
        (Deliver(Event::NotSent), "connect again"),
        (Deliver(Event::Connected), "send window 1"),
        (Deliver(Event::ClientDisconnected), ""),
    ];
    run("not written", &mut call, after_send(again));
    assert_eq!((call.shared.counters.attempts_first.get(), call.shared.counters.retries.get()), (1, 0));
}

#[test]
fn a_request_that_was_not_written_on_a_new_connection_is_no_retry() {
    let mut call = CallFixture::with_latency_target("/one/x", "key", 0, 2);
    let elsewhere = vec![
        (Deliver(Event::AttemptFailed(FailurePoint::Connect)), "connect elsewhere"),
        (Deliver(Event::Connected), "send window 1"),
        (Deliver(Event::ClientDisconnected), ""),
    ];
    run("not written", &mut call, after_send(elsewhere));
    assert_eq!((call.shared.counters.attempts_first.get(), call.shared.counters.retries.get()), (1, 0));
}

#[test]
fn a_retry_that_was_held_up_is_not_sent_beyond_the_budget_of_its_time() {
    for (held_up, expected) in
        [(400 * MS, "send window 1"), (600 * MS, "send window 1"), (25 * SEC, "close, 503 worker_full no")]
    {
        let mut call = CallFixture::new("/chat", 2, 4, 9);
        let steps = vec![
            (FundRetry, ""),
            (declined_head(503), "close, connect elsewhere"),
            (Advance(held_up), ""),
            (GrantUnits(1), ""),
            (Deliver(Event::Connected), expected),
            (Deliver(Event::ClientDisconnected), ""),
        ];
        run("held up", &mut call, after_send(steps));
        assert!(!call.shared.retry_budget.allows_retry("p", call.now), "{held_up}: one retry is counted once");
    }
}

/// Sends a new report of each worker, which makes declined workers available again, and serves the queues.
fn report_all_workers(call: &mut CallFixture) -> String {
    call.update_view(|view| {
        let reports = view.workers.iter().cloned().map(|report| WorkerReport { seq: report.seq + 1, ..report });
        view.workers = reports.collect::<Vec<_>>().into();
    });
    call.shared.caches.routes.delete("p");
    call.expire_waiters().into_iter().map(|wakeup| call.step(wakeup.event)).collect()
}

#[test]
fn a_call_that_every_worker_declined_waits_for_a_slot() {
    let other = "close, connect elsewhere";
    let again = || Deliver(Event::Connected);
    let declined_by_all = || {
        after_send(vec![
            (FundRetry, ""),
            (FundRetry, ""),
            (declined_head(503), other),
            (again(), "send window 1"),
            (declined_head(503), "close"),
        ])
    };
    let failed_then_declined = || {
        after_send(vec![
            (FundRetry, ""),
            (FundRetry, ""),
            (Deliver(Event::AttemptFailed(FailurePoint::Sent)), "connect elsewhere"),
            (again(), "send window 1"),
            (declined_head(503), "close"),
        ])
    };
    let served = || followed_by(vec![(again(), "send window 1")], complete_response());
    let over_budget = || vec![(again(), "send window 1"), (declined_head(503), "close, 503 worker_full no")];
    let timed_out = || vec![(Advance(60 * SEC), ""), (Deliver(Event::Wake), "503 full no")];
    // Name, path; the steps; whether the workers report; the following steps; units left; first attempts and retries.
    let cases = vec![
        ("served when a worker has capacity", "/chat", declined_by_all(), true, served(), 8, (1, 2)),
        ("no retry beyond the budget", "/chat", declined_by_all(), true, over_budget(), 9, (1, 2)),
        ("only until its slot deadline", "/chat", declined_by_all(), false, timed_out(), 9, (1, 1)),
        (
            "never again at a worker where it may have run",
            "/confirm",
            failed_then_declined(),
            true,
            served(),
            8,
            (1, 2),
        ),
    ];
    for (name, path, steps, reports, more, units_left, attempts) in cases {
        let mut call = CallFixture::new(path, 2, 4, 9);
        run(name, &mut call, steps);
        let last = call.last_endpoint.as_ref().map(|endpoint| endpoint.worker_id.clone());
        assert_eq!(call.holdings().waiting, (1, 0), "{name}: it waits for a slot");
        assert!(call.expire_waiters().is_empty(), "{name}: a worker that declined gets no call before it reports");
        if reports {
            assert!(report_all_workers(&mut call).starts_with("connect "), "{name}");
        }
        if path == "/confirm" {
            assert_eq!(call.last_endpoint.as_ref().map(|endpoint| endpoint.worker_id.clone()), last, "{name}");
        }
        run(name, &mut call, more);
        assert!(call.machine.is_finished(), "{name}: has not ended");
        assert_eq!((call.holdings().in_flight, call.holdings().waiting), (0, (0, 0)), "{name}: slots and queues");
        assert_eq!(call.holdings().free_units, units_left, "{name}: units left");
        let counts = &call.shared.counters;
        assert_eq!((counts.attempts_first.get(), counts.retries.get()), attempts, "{name}: attempts");
    }
}
