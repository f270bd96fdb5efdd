//! The authorization of a call at its admission, after each wait and once the connection is open.

use super::fixture::*;

#[test]
fn a_call_is_authorized_again_until_it_is_sent() {
    check(vec![
        ("no match", "/none", 2, 4, 9, vec![(Deliver(Event::Wake), "404 no_match no")], 9),
        ("the view is stale", "/chat", 2, 4, 9, vec![(ExpireView, ""), (Deliver(Event::Wake), "503 stale no")], 9),
        ("the key is revoked", "/chat", 2, 4, 9, vec![(RevokeKey, ""), (Deliver(Event::Wake), "401 key no")], 9),
        (
            "the body budget is used up",
            "/chat",
            2,
            4,
            9,
            vec![
                (Deliver(Event::Wake), "read body"),
                (Deliver(Event::RequestBody(Err(BodyError::NoCapacity))), "503 crowded no"),
            ],
            9,
        ),
        (
            "the key is revoked while the body is read",
            "/chat",
            2,
            4,
            9,
            vec![(Deliver(Event::Wake), "read body"), (RevokeKey, ""), (DeliverBody, "401 key no")],
            9,
        ),
        (
            "the key is revoked while connecting",
            "/chat",
            2,
            4,
            9,
            vec![
                (Deliver(Event::Wake), "read body"),
                (DeliverBody, "connect"),
                (RevokeKey, ""),
                (Deliver(Event::Connected), "close, 401 key no"),
            ],
            9,
        ),
        (
            "the view becomes stale while connecting",
            "/chat",
            2,
            4,
            9,
            vec![
                (Deliver(Event::Wake), "read body"),
                (DeliverBody, "connect"),
                (ExpireView, ""),
                (Deliver(Event::Connected), "close, 503 stale no"),
            ],
            9,
        ),
    ]);
}

#[test]
fn a_call_with_a_latency_target_is_authorized_again_until_it_is_sent() {
    let moved = "\"pool\":\"q\"";
    check_with_latency_target(vec![
        (
            "an anonymous match, without a key",
            "/open/x",
            "",
            0,
            2,
            followed_by(until_sent_with("send window 0"), complete_response()),
            9,
        ),
        (
            "an anonymous match, with an unknown key",
            "/open/x",
            "none",
            0,
            2,
            followed_by(until_sent_with("send window 0"), complete_response()),
            9,
        ),
        (
            "an anonymous match, with a tenant's key",
            "/open/x",
            "key",
            0,
            2,
            followed_by(until_sent_with("send window 1"), complete_response()),
            8,
        ),
        ("a match that needs a key, without one", "/safe/x", "", 0, 2, vec![(Deliver(Event::Wake), "401 key no")], 9),
        (
            "the match needs a key once the body is read",
            "/shut/x",
            "",
            0,
            2,
            vec![(Deliver(Event::Wake), "read body"), (MoveRoute("\"pool\":\"p\""), ""), (DeliverBody, "401 key no")],
            9,
        ),
        (
            "the match needs a key once the connection is open",
            "/shut/x",
            "",
            0,
            2,
            followed_by(
                until_connecting(),
                vec![(MoveRoute("\"pool\":\"p\""), ""), (Deliver(Event::Connected), "close, 401 key no")],
            ),
            9,
        ),
        (
            "the route is moved while the call waits for a slot",
            "/once/x",
            "key",
            0,
            1,
            vec![
                (OccupySlots, ""),
                (Deliver(Event::Wake), "read body"),
                (DeliverBody, ""),
                (MoveRoute(moved), ""),
                (Deliver(Event::Wake), "503 moved no"),
            ],
            9,
        ),
        (
            "the route is moved while connecting",
            "/once/x",
            "key",
            0,
            2,
            followed_by(
                until_connecting(),
                vec![(MoveRoute(moved), ""), (Deliver(Event::Connected), "close, 503 moved no")],
            ),
            9,
        ),
        (
            "the match is split between pools, and this pool keeps a weight",
            "/once/x",
            "key",
            0,
            2,
            followed_by(
                until_connecting(),
                followed_by(
                    vec![(MoveRoute("\"split\":{\"p\":1,\"q\":9}"), ""), (Deliver(Event::Connected), "send window 1")],
                    complete_response(),
                ),
            ),
            8,
        ),
        (
            "the match is split between pools, and this pool has no weight",
            "/once/x",
            "key",
            0,
            2,
            followed_by(
                until_connecting(),
                vec![
                    (MoveRoute("\"split\":{\"p\":0,\"q\":9}"), ""),
                    (Deliver(Event::Connected), "close, 503 moved no"),
                ],
            ),
            9,
        ),
        (
            "the route is moved after the call was sent: it ends where it is",
            "/once/x",
            "key",
            0,
            2,
            followed_by(
                until_sent_with("send window 1"),
                followed_by(vec![(MoveRoute(moved), ""), (Deliver(Event::Wake), "")], complete_response()),
            ),
            8,
        ),
    ]);
}
