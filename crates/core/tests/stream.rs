//! Streams of events: every line end, every split, every break.

use sumacvale_core::base::Rng;
use sumacvale_core::stream::{EventSplitter, StreamError};

/// What a reader of the stream gets: the lines of each event that has any.
fn read(b: &[u8]) -> Vec<Vec<String>> {
    let t = String::from_utf8_lossy(b).replace("\r\n", "\n").replace('\r', "\n");
    let t = t.strip_prefix('\u{feff}').unwrap_or(&t).to_owned();
    t.split("\n\n")
        .map(|p| p.split('\n').filter(|l| !l.is_empty() && !l.starts_with(':')).map(str::to_owned).collect())
        .filter(|v: &Vec<String>| !v.is_empty())
        .collect()
}

fn stream(from: u64, to: u64, end: &str, bom: bool, r: &mut Rng) -> Vec<u8> {
    let mut s = if bom { "\u{feff}".to_owned() } else { String::new() };
    for n in from..to {
        if r.chance(20) {
            s += &format!(": hold{end}{end}");
        }
        // The number may come after the data, and twice: the last one counts.
        let id = if r.chance(30) { format!("id: 0{end}id:{n}") } else { format!("id: {n}") };
        let data = format!("data: piece {n}{end}data: of many");
        s += &if r.chance(50) { format!("{id}{end}{data}{end}{end}") } else { format!("{data}{end}{id}{end}{end}") };
    }
    s.into_bytes()
}

#[test]
fn whatever_the_line_ends_and_splits_nothing_is_lost_or_held() {
    let mut r = Rng::new(1);
    for end in ["\n", "\r\n", "\r"] {
        for bom in [false, true] {
            let s = stream(0, 6, end, bom, &mut r);
            for strict in [false, true] {
                for at in 0..s.len() {
                    let mut p = EventSplitter::new(strict, None);
                    let mut o = p.push(&s[..at]).expect("reads").concat();
                    assert_eq!(read(&o), read(&s)[..read(&o).len()], "{end:?} {at}: only whole pieces");
                    o.extend(p.push(&s[at..]).expect("reads").concat());
                    assert_eq!(o, s, "{end:?} {at}");
                    assert!(p.is_between_events());
                }
                let mut p = EventSplitter::new(strict, None);
                let o: Vec<u8> = s.iter().flat_map(|b| p.push(&[*b]).expect("reads").concat()).collect();
                assert_eq!(o, s, "{end:?} byte by byte");
            }
        }
    }
}

#[test]
fn a_stream_broken_at_any_byte_goes_on_exactly_after_its_last_piece() {
    let mut r = Rng::new(2);
    for end in ["\n", "\r\n", "\r"] {
        for bom in [false, true] {
            let s = stream(0, 5, end, bom, &mut r);
            let whole = read(&stream(0, 5, "\n", false, &mut Rng::new(0)));
            for at in 0..=s.len() {
                let mut p = EventSplitter::new(true, None);
                let mut o = p.push(&s[..at]).expect("reads").concat();
                let from = p.resume_point().expect("all pieces have numbers").map_or(0, |n| n + 1);
                p.resume();
                // A worker may begin a little before the piece that is due.
                let rest = stream(from.saturating_sub(r.below(2)), 5, end, bom, &mut r);
                o.extend(p.push(&rest).expect("reads").concat());
                let data = |v: Vec<Vec<String>>| -> Vec<String> {
                    v.into_iter().flatten().filter(|l| l.starts_with("data")).collect()
                };
                assert_eq!(data(read(&o)), data(whole.clone()), "{end:?} broken at {at}");
            }
        }
    }
}

#[test]
fn what_can_not_be_gone_on_from_exactly_is_not() {
    let a = "id: 0\ndata: a\n\n";
    for (name, s, from) in [
        ("nothing yet", "", Some(None)),
        ("a piece", a, Some(Some(0))),
        ("a comment after it", "id: 0\ndata: a\n\n: hold\n\n", Some(Some(0))),
        ("a piece without a number after it", "id: 0\ndata: a\n\ndata: b\n\n", None),
        ("and one with a number after that", "id: 0\ndata: a\n\ndata: b\n\nid: 1\ndata: c\n\n", Some(Some(1))),
        ("a number that is none", "id: x\ndata: a\n\n", None),
        ("a number with a sign", "id: +1\ndata: a\n\n", None),
        ("a number of an event without data", "id: 7\n\n", Some(Some(7))),
    ] {
        let mut p = EventSplitter::new(true, None);
        p.push(s.as_bytes()).expect(name);
        assert_eq!(p.resume_point(), from, "{name}");
    }
    assert_eq!(EventSplitter::new(false, None).resume_point(), None, "the match does not allow it");
    for (name, s, want) in [
        ("a gap", "id: 0\ndata: a\n\nid: 2\ndata: c\n\n", StreamError::EventGap { got: 2, want: 1 }),
        ("a repeat", "id: 0\ndata: a\n\nid: 0\ndata: a\n\n", StreamError::EventGap { got: 0, want: 1 }),
        ("a step back", "id: 3\ndata: a\n\nid: 2\ndata: a\n\n", StreamError::EventGap { got: 2, want: 4 }),
    ] {
        assert_eq!(EventSplitter::new(true, None).push(s.as_bytes()), Err(want), "{name} within one worker's stream");
        assert!(EventSplitter::new(false, None).push(s.as_bytes()).is_ok(), "{name} where nobody counts");
    }
    // The downstream itself says what it had last: the stream goes on from there.
    let mut p = EventSplitter::new(true, Some(3));
    assert_eq!(p.push(b"id: 3\ndata: a\n\nid: 4\ndata: b\n\n").expect("reads").concat(), b"id: 4\ndata: b\n\n");
    assert_eq!(
        EventSplitter::new(true, Some(3)).push(b"id: 5\ndata: a\n\n"),
        Err(StreamError::EventGap { got: 5, want: 4 }),
        "what the downstream did not have is not skipped"
    );
}
