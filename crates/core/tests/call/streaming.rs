//! Event streams: complete ends, broken streams, and resuming at another worker.

use super::fixture::*;

/// Guards against aborted responses of workers whose event numbers rise by more than one.
#[test]
fn a_stream_whose_numbers_rise_with_gaps_is_forwarded_whole() {
    let script = after_send(vec![
        (ok_head(true, true), "forward head"),
        (chunk("id: 0\ndata: a\n\n"), "forward 15"),
        (chunk("id: 7\ndata: b\n\n"), "forward 15"),
        (Deliver(Event::ResponseEnd), "finish"),
    ]);
    check(vec![("rising with gaps", "/draft", 2, 4, 9, script, 8)]);
}

/// Guards against aborted responses of workers that send large events.
#[test]
fn an_event_of_any_size_is_forwarded() {
    let script = after_send(vec![
        (ok_head(true, true), "forward head"),
        (chunk("id: 0\ndata: a\n\n"), "forward 15"),
        (chunk(&"x".repeat(2_000_000)), "forward 2000000"),
        (chunk("\n\n"), "forward 2"),
        (Deliver(Event::ResponseEnd), "finish"),
    ]);
    check(vec![("of two megabytes", "/draft", 2, 4, 9, script, 8)]);
}

#[test]
fn a_stream_is_finished_resumed_or_aborted() {
    let first_event = "id: 0\ndata: a\n\n";
    check(vec![
        (
            "an end that only the close delimits",
            "/chat",
            2,
            4,
            9,
            after_send(vec![
                (ok_head(false, false), "forward head"),
                (chunk("part"), "forward 4"),
                (Deliver(Event::ResponseEnd), "close, abort"),
            ]),
            8,
        ),
        (
            "an end within an event",
            "/chat",
            2,
            4,
            9,
            after_send(vec![
                (ok_head(true, true), "forward head"),
                (chunk("id: 0\nda"), ""),
                (Deliver(Event::ResponseEnd), "close, abort"),
            ]),
            8,
        ),
        (
            "a stream is resumed elsewhere",
            "/draft",
            2,
            4,
            9,
            after_send(vec![
                (FundRetry, ""),
                (ok_head(true, true), "forward head"),
                (chunk(first_event), "forward 15"),
                (chunk("id: 1\nda"), ""),
                (Deliver(Event::ResponseAborted), "close, connect elsewhere"),
                (Deliver(Event::Connected), "send after 0 window 1"),
                (ok_head(true, true), ""),
                (chunk("id: 1\ndata: b\n\n"), "forward 15"),
                (Deliver(Event::ResponseEnd), "finish"),
            ]),
            8,
        ),
        (
            "a stream is not resumed twice after the same event",
            "/draft",
            3,
            4,
            9,
            after_send(vec![
                (FundRetry, ""),
                (ok_head(true, true), "forward head"),
                (chunk(first_event), "forward 15"),
                (Deliver(Event::ResponseAborted), "close, connect elsewhere"),
                (Deliver(Event::Connected), "send after 0 window 1"),
                (ok_head(true, true), ""),
                (FundRetry, ""),
                (Deliver(Event::ResponseAborted), "close, abort"),
            ]),
            8,
        ),
        (
            "a stream whose key is revoked is not resumed elsewhere",
            "/draft",
            2,
            4,
            9,
            after_send(vec![
                (FundRetry, ""),
                (ok_head(true, true), "forward head"),
                (chunk(first_event), "forward 15"),
                (Deliver(Event::ResponseAborted), "close, connect elsewhere"),
                (RevokeKey, ""),
                (Deliver(Event::Connected), "close, abort"),
            ]),
            8,
        ),
        (
            "a stream that broke before its first event is not started anew",
            "/draft",
            2,
            4,
            9,
            after_send(vec![
                (FundRetry, ""),
                (ok_head(true, true), "forward head"),
                (Deliver(Event::ResponseAborted), "close, abort"),
            ]),
            8,
        ),
        (
            "a stream that the match does not allow to resume",
            "/chat",
            2,
            4,
            9,
            after_send(vec![
                (FundRetry, ""),
                (ok_head(true, true), "forward head"),
                (chunk(first_event), "forward 15"),
                (Deliver(Event::ResponseAborted), "close, abort"),
            ]),
            8,
        ),
        (
            "an admitted stream finishes although its key is revoked",
            "/chat",
            2,
            4,
            9,
            after_send(vec![
                (ok_head(true, true), "forward head"),
                (RevokeKey, ""),
                (Deliver(Event::Wake), ""),
                (chunk(first_event), "forward 15"),
                (Deliver(Event::ResponseEnd), "finish"),
            ]),
            8,
        ),
        (
            "or is cut, as the match says",
            "/cut",
            2,
            4,
            9,
            after_send(vec![
                (ok_head(true, true), "forward head"),
                (RevokeKey, ""),
                (Deliver(Event::Wake), "close, abort"),
            ]),
            8,
        ),
    ]);
}

#[test]
fn a_stream_with_a_latency_target_is_finished_resumed_or_aborted() {
    let first_event = "id: 0\ndata: a\n\n";
    let other = "suspend, connect elsewhere";
    check_with_latency_target(vec![
        (
            "a resumable stream that is idle for a second",
            "/flow/x",
            "key",
            0,
            2,
            followed_by(
                until_sent_with("send window 1"),
                vec![
                    (FundRetry, ""),
                    (ok_head(true, true), "forward head"),
                    (chunk(first_event), "forward 15"),
                    (Advance(999 * MS), ""),
                    (Deliver(Event::Wake), ""),
                    (Advance(MS), ""),
                    (Deliver(Event::Wake), other),
                    (Deliver(Event::Connected), "send after 0 window 1"),
                    (ok_head(true, true), ""),
                    (chunk("id: 1\ndata: b\n\n"), "close suspended, forward 15"),
                    (Deliver(Event::ResponseEnd), "finish"),
                ],
            ),
            8,
        ),
        (
            "four of its gaps, where these are longer",
            "/slow/x",
            "key",
            0,
            2,
            followed_by(
                until_sent_with("send window 1"),
                vec![
                    (FundRetry, ""),
                    (ok_head(true, true), "forward head"),
                    (chunk(first_event), "forward 15"),
                    (Advance(2_399 * MS), ""),
                    (Deliver(Event::Wake), ""),
                    (Advance(MS), ""),
                    (Deliver(Event::Wake), other),
                    (Deliver(Event::ClientDisconnected), ""),
                ],
            ),
            8,
        ),
        (
            "idle before its first event, and idempotent",
            "/flow/x",
            "key",
            0,
            2,
            followed_by(
                until_sent_with("send window 1"),
                vec![
                    (FundRetry, ""),
                    (ok_head(true, true), "forward head"),
                    (Advance(SEC), ""),
                    (Deliver(Event::Wake), other),
                    (Deliver(Event::Connected), "send window 1"),
                    (ok_head(true, true), ""),
                    (chunk(first_event), "close suspended, forward 15"),
                    (Deliver(Event::ResponseEnd), "finish"),
                ],
            ),
            8,
        ),
        (
            "a stream that can't be resumed is not cut for being idle",
            "/flow-once/x",
            "key",
            0,
            2,
            followed_by(
                until_sent_with("send window 1"),
                vec![
                    (FundRetry, ""),
                    (ok_head(true, true), "forward head"),
                    (chunk(first_event), "forward 15"),
                    (Advance(8_999 * MS), ""),
                    (Deliver(Event::Wake), ""),
                    (chunk("id: 1\ndata: b\n\n"), "forward 15"),
                    (Deliver(Event::ResponseEnd), "finish"),
                ],
            ),
            8,
        ),
    ]);
}
