//! What is judged before a call is sent, and again when the connection stands.

use super::stage::*;

#[test]
fn a_call_is_judged_until_it_is_sent() {
    check(vec![
        ("no match", "/none", 2, 4, 9, vec![(E(Event::Wake), "404 no_match no")], 9),
        ("stale", "/chat", 2, 4, 9, vec![(Stale, ""), (E(Event::Wake), "503 stale no")], 9),
        ("withdrawn", "/chat", 2, 4, 9, vec![(Withdraw, ""), (E(Event::Wake), "401 key no")], 9),
        (
            "too many bodies",
            "/chat",
            2,
            4,
            9,
            vec![(E(Event::Wake), "read"), (E(Event::RequestBody(Err(BodyError::NoCapacity))), "503 crowded no")],
            9,
        ),
        (
            "withdrawn while the body came",
            "/chat",
            2,
            4,
            9,
            vec![(E(Event::Wake), "read"), (Withdraw, ""), (Body, "401 key no")],
            9,
        ),
        (
            "withdrawn while the connection was made",
            "/chat",
            2,
            4,
            9,
            vec![(E(Event::Wake), "read"), (Body, "open"), (Withdraw, ""), (E(Event::Connected), "close, 401 key no")],
            9,
        ),
        (
            "frozen while the connection was made",
            "/chat",
            2,
            4,
            9,
            vec![(E(Event::Wake), "read"), (Body, "open"), (Stale, ""), (E(Event::Connected), "close, 503 stale no")],
            9,
        ),
    ]);
}

#[test]
fn a_call_of_a_match_with_an_aim_is_judged_until_it_is_sent() {
    let moved = "\"pool\":\"q\"";
    check_aimed(vec![
        ("open, without a key", "/open/x", "", 0, 2, and(put("send win 0"), whole()), 9),
        ("open, with a key that nobody has", "/open/x", "none", 0, 2, and(put("send win 0"), whole()), 9),
        ("open, with a tenant's key", "/open/x", "key", 0, 2, and(put("send win 1"), whole()), 8),
        ("not open, without a key", "/safe/x", "", 0, 2, vec![(E(Event::Wake), "401 key no")], 9),
        (
            "no longer open when the body came",
            "/shut/x",
            "",
            0,
            2,
            vec![(E(Event::Wake), "read"), (Move("\"pool\":\"p\""), ""), (Body, "401 key no")],
            9,
        ),
        (
            "no longer open when the connection was made",
            "/shut/x",
            "",
            0,
            2,
            and(came(), vec![(Move("\"pool\":\"p\""), ""), (E(Event::Connected), "close, 401 key no")]),
            9,
        ),
        (
            "moved while it waits for a place",
            "/once/x",
            "key",
            0,
            1,
            vec![(Fill, ""), (E(Event::Wake), "read"), (Body, ""), (Move(moved), ""), (E(Event::Wake), "503 moved no")],
            9,
        ),
        (
            "moved while the connection was made",
            "/once/x",
            "key",
            0,
            2,
            and(came(), vec![(Move(moved), ""), (E(Event::Connected), "close, 503 moved no")]),
            9,
        ),
        (
            "shared from now on, and this pool still may",
            "/once/x",
            "key",
            0,
            2,
            and(
                came(),
                and(vec![(Move("\"split\":{\"p\":1,\"q\":9}"), ""), (E(Event::Connected), "send win 1")], whole()),
            ),
            8,
        ),
        (
            "shared from now on, and this pool has no weight",
            "/once/x",
            "key",
            0,
            2,
            and(came(), vec![(Move("\"split\":{\"p\":0,\"q\":9}"), ""), (E(Event::Connected), "close, 503 moved no")]),
            9,
        ),
        (
            "moved after it was sent: it ends where it is",
            "/once/x",
            "key",
            0,
            2,
            and(put("send win 1"), and(vec![(Move(moved), ""), (E(Event::Wake), "")], whole())),
            8,
        ),
    ]);
}
