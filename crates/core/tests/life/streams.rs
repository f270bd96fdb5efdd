//! Streams of events: their proper end, their breaks, and going on elsewhere.

use super::stage::*;

#[test]
fn a_stream_ends_as_it_must() {
    let a = "id: 0\ndata: a\n\n";
    check(vec![
        (
            "an end that only the close tells",
            "/chat",
            2,
            4,
            9,
            then(vec![
                (head(false, false), "begin"),
                (piece("part"), "pass 4"),
                (E(Event::ResponseEnd), "close, abort"),
            ]),
            8,
        ),
        (
            "an end within a piece",
            "/chat",
            2,
            4,
            9,
            then(vec![(head(true, true), "begin"), (piece("id: 0\nda"), ""), (E(Event::ResponseEnd), "close, abort")]),
            8,
        ),
        (
            "a stream goes on elsewhere",
            "/draft",
            2,
            4,
            9,
            then(vec![
                (Pay, ""),
                (head(true, true), "begin"),
                (piece(a), "pass 15"),
                (piece("id: 1\nda"), ""),
                (E(Event::ResponseAborted), "close, open other"),
                (E(Event::Connected), "send after 0 win 1"),
                (head(true, true), ""),
                (piece("id: 1\ndata: b\n\n"), "pass 15"),
                (E(Event::ResponseEnd), "end"),
            ]),
            8,
        ),
        (
            "a stream that goes on is not begun twice at one piece",
            "/draft",
            3,
            4,
            9,
            then(vec![
                (Pay, ""),
                (head(true, true), "begin"),
                (piece(a), "pass 15"),
                (E(Event::ResponseAborted), "close, open other"),
                (E(Event::Connected), "send after 0 win 1"),
                (head(true, true), ""),
                (Pay, ""),
                (E(Event::ResponseAborted), "close, abort"),
            ]),
            8,
        ),
        (
            "a stream whose key is withdrawn does not go on elsewhere",
            "/draft",
            2,
            4,
            9,
            then(vec![
                (Pay, ""),
                (head(true, true), "begin"),
                (piece(a), "pass 15"),
                (E(Event::ResponseAborted), "close, open other"),
                (Withdraw, ""),
                (E(Event::Connected), "close, abort"),
            ]),
            8,
        ),
        (
            "a stream that broke before its first piece is not begun anew",
            "/draft",
            2,
            4,
            9,
            then(vec![(Pay, ""), (head(true, true), "begin"), (E(Event::ResponseAborted), "close, abort")]),
            8,
        ),
        (
            "a stream where the match does not allow it",
            "/chat",
            2,
            4,
            9,
            then(vec![
                (Pay, ""),
                (head(true, true), "begin"),
                (piece(a), "pass 15"),
                (E(Event::ResponseAborted), "close, abort"),
            ]),
            8,
        ),
        (
            "an admitted stream finishes",
            "/chat",
            2,
            4,
            9,
            then(vec![
                (head(true, true), "begin"),
                (Withdraw, ""),
                (E(Event::Wake), ""),
                (piece(a), "pass 15"),
                (E(Event::ResponseEnd), "end"),
            ]),
            8,
        ),
        (
            "or is cut",
            "/cut",
            2,
            4,
            9,
            then(vec![(head(true, true), "begin"), (Withdraw, ""), (E(Event::Wake), "close, abort")]),
            8,
        ),
    ]);
}

#[test]
fn a_stream_of_a_match_with_an_aim_ends_as_it_must() {
    let a = "id: 0\ndata: a\n\n";
    let other = "close, open other";
    check_aimed(vec![
        (
            "a stream that may go on and is silent for a second",
            "/flow/x",
            "key",
            0,
            2,
            and(
                put("send win 1"),
                vec![
                    (Pay, ""),
                    (head(true, true), "begin"),
                    (piece(a), "pass 15"),
                    (Wait(999 * MS), ""),
                    (E(Event::Wake), ""),
                    (Wait(MS), ""),
                    (E(Event::Wake), other),
                    (E(Event::Connected), "send after 0 win 1"),
                    (head(true, true), ""),
                    (piece("id: 1\ndata: b\n\n"), "pass 15"),
                    (E(Event::ResponseEnd), "end"),
                ],
            ),
            8,
        ),
        (
            "four of its pauses, where these are longer",
            "/slow/x",
            "key",
            0,
            2,
            and(
                put("send win 1"),
                vec![
                    (Pay, ""),
                    (head(true, true), "begin"),
                    (piece(a), "pass 15"),
                    (Wait(2_399 * MS), ""),
                    (E(Event::Wake), ""),
                    (Wait(MS), ""),
                    (E(Event::Wake), other),
                    (E(Event::ClientDisconnected), ""),
                ],
            ),
            8,
        ),
        (
            "silent before its first piece, and safe to run again",
            "/flow/x",
            "key",
            0,
            2,
            and(
                put("send win 1"),
                vec![
                    (Pay, ""),
                    (head(true, true), "begin"),
                    (Wait(SEC), ""),
                    (E(Event::Wake), other),
                    (E(Event::Connected), "send win 1"),
                    (head(true, true), ""),
                    (piece(a), "pass 15"),
                    (E(Event::ResponseEnd), "end"),
                ],
            ),
            8,
        ),
        (
            "silence is no reason to cut one that can't go on",
            "/flow-once/x",
            "key",
            0,
            2,
            and(
                put("send win 1"),
                vec![
                    (Pay, ""),
                    (head(true, true), "begin"),
                    (piece(a), "pass 15"),
                    (Wait(8_999 * MS), ""),
                    (E(Event::Wake), ""),
                    (piece("id: 1\ndata: b\n\n"), "pass 15"),
                    (E(Event::ResponseEnd), "end"),
                ],
            ),
            8,
        ),
    ]);
}
