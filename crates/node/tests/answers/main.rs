//! Each way in which a worker's answer may come, for each kind of route and each point of a
//! call's life: nobody gets another's answer, no success is made up, nothing runs twice that may
//! not, and what is refused has not run. A raw worker, the front of a node, a raw client.

mod front;
mod ways;
mod worker;

use front::{Client, Front, Got, LONG, LOOSE, SEALED, SHORT};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use sumacvale_node::protocol_adapter::ProtocolAdapter;
use ways::{Request, Way, body};
use worker::{Arrival, Cue, Script};

type Res<T = ()> = Result<T, Box<dyn std::error::Error>>;

/// Where in a call's life the answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Point {
    /// On a new connection.
    New,
    /// On a connection that served a call before.
    Kept,
    /// At the second worker, after the first one turned the call away.
    Second,
    /// At the second worker, which takes up a stream that broke.
    Resumed,
}

impl Point {
    const ALL: [Point; 4] = [Point::New, Point::Kept, Point::Second, Point::Resumed];

    /// What happens before.
    fn before(self) -> &'static [Way] {
        match self {
            Point::New => &[],
            Point::Kept => &[Way::Whole],
            Point::Second => &[Way::Refused503],
            Point::Resumed => &[Way::CutBetweenChunks],
        }
    }
}

const KINDS: [&str; 4] = ["safe", "unsafe", "stream", "resume"];

/// More than fits into the buffers on the way to a worker.
const LARGE: usize = 8_000_000;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What must hold of each call, whatever happened to it.
fn judge(kind: &str, id: &str, got: Option<&Got>, seen: &[Arrival]) -> Result<(), String> {
    let runs = seen.iter().filter(|a| a.ran).count();
    let repeatable = matches!(kind, "safe" | "resume");
    let most = if kind == "resume" { 3 } else { 2 };
    let check = |ok: bool, what: &str| if ok { Ok(()) } else { Err(format!("{what}: {got:?} {seen:?}")) };
    check(repeatable || runs <= 1, "it ran twice")?;
    check(seen.len() <= most, "it was sent to more workers than its route allows")?;
    let Some(g) = got else { return Ok(()) };
    check(g.id == id, "an answer that names another request")?;
    check(!PROMISES.contains(&g.status) || runs == 0, "it was refused and ran")?;
    check(g.status >= 200 && g.status != 304, "no answer of a call")?;
    if (200..300).contains(&g.status) {
        let q = Request { id: id.into(), path: format!("/{kind}/x"), ..Request::default() };
        let whole = body(&q).concat();
        check(g.sealed, "a success without a seal")?;
        check(whole.starts_with(&g.body), "a success with another body")?;
        check(!g.whole || g.body == whole, "a body that is cut and looks whole")?;
        check(!g.whole || seen.iter().any(|a| a.success), "a success that no worker gave")?;
    }
    Ok(())
}

/// Shortly: the status, or where it broke off, and how often it ran of how often it came.
fn short(got: Option<&Got>, seen: &[Arrival]) -> String {
    let what = match got {
        None => "closed".to_owned(),
        Some(g) if g.whole => format!("{}{}", g.status, if g.sealed { "" } else { " ours" }),
        Some(g) => format!("{} cut", g.status),
    };
    format!("{what} {}/{}", seen.iter().filter(|a| a.ran).count(), seen.len())
}

struct Stage {
    script: Arc<Script>,
    cue: Cue,
    front: Front,
    client: Client,
}

impl Stage {
    async fn new(dialect: &'static ProtocolAdapter) -> Res<Stage> {
        let (script, cue) = Script::new();
        let front = Front::start(dialect, &[worker::start(&script)?, worker::start(&script)?]).await?;
        let client = front.client().await?;
        front.pay();
        Ok(Stage { script, cue, front, client })
    }

    /// One call, judged; and its short form.
    async fn call(&mut self, kind: &str, id: &str, size: usize) -> Res<String> {
        let limit = Duration::from_secs(10);
        let got = tokio::time::timeout(limit, self.client.call(&format!("/{kind}/x"), id, size)).await??;
        let seen = self.script.of(id);
        judge(kind, id, got.as_ref(), &seen)?;
        Ok(short(got.as_ref(), &seen))
    }
}

/// One cell of the matrix: what came before, the call itself, and the calls after it.
async fn cell(way: Way, kind: &str, point: Point) -> Res<String> {
    let mut s = Stage::new(&SEALED).await?;
    s.script.then(point.before());
    if point == Point::Kept {
        let first = s.call(kind, "first", 1).await?;
        assert_eq!(first, "200 1/1");
    }
    s.script.then(&[way]);
    s.front.report(2, if way.silent() { SHORT } else { LONG });
    let got = s.call(kind, "second", if way.large() { LARGE } else { 1 }).await?;
    if way.later() {
        s.cue.give()?;
    }
    // Whatever is left on a connection reaches nobody: those who come next get their own.
    s.front.report(3, LONG);
    for id in ["third", "fourth"] {
        let next = s.call(kind, id, 1).await?;
        if next != "200 1/1" {
            return Err(format!("after it, {id}: {next}").into());
        }
    }
    let strangers = s.script.strangers(&["first", "second", "third", "fourth"]);
    assert!(strangers.is_empty(), "{strangers:?}");
    Ok(got)
}

/// Runs a cell in a thread of its own, since a thread's caches outlive a front.
fn run(way: Way, kind: &str, point: Point) -> Result<String, String> {
    let go = || -> Res<String> {
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let got = rt.block_on(cell(way, kind, point));
        rt.shutdown_background();
        got
    };
    let alone = std::thread::scope(|s| s.spawn(|| go().map_err(|e| e.to_string())).join());
    alone.unwrap_or_else(|_| Err("a check of the test itself failed".into()))
}

/// One line of the matrix, and what broke an invariant.
fn row(way: Way, kind: &str) -> (String, Vec<String>) {
    let (mut cells, mut faults) = (Vec::new(), Vec::new());
    for point in Point::ALL.into_iter().filter(|p| *p != Point::Resumed || kind == "resume") {
        match run(way, kind, point) {
            Ok(_) if way.racy() => cells.push("as the kernel likes".into()),
            Ok(got) => cells.push(got),
            Err(e) => {
                faults.push(format!("{way:?} {kind} {point:?}: {e}"));
                cells.push("FAULT".into());
            }
        }
    }
    (format!("{way:?} {kind}: {}", cells.join("; ")), faults)
}

/// The matrix as it was judged right, one line for each way and kind of route.
const EXPECTED: &str = include_str!("matrix.txt");

#[test]
fn every_way_of_an_answer_at_every_point_of_a_call() -> Res {
    let (mut matrix, mut faults) = (String::new(), Vec::new());
    let columns: Vec<_> = std::thread::scope(|s| {
        let all = KINDS.map(|kind| s.spawn(move || Way::ALL.iter().map(|way| row(*way, kind)).collect::<Vec<_>>()));
        all.into_iter().map(|t| t.join().expect("a kind of route")).collect()
    });
    for i in 0..Way::ALL.len() {
        for (line, wrong) in columns.iter().map(|c| &c[i]) {
            writeln!(matrix, "{line}")?;
            faults.extend(wrong.clone());
        }
    }
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
    let differ: Vec<_> = matrix.lines().zip(EXPECTED.lines()).filter(|(a, b)| a != b).collect();
    assert!(matrix == EXPECTED, "{differ:#?}\n{matrix}");
    Ok(())
}

#[test]
fn a_refusal_that_names_no_call_is_not_believed_where_names_are_free() -> Res {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    rt.block_on(async {
        let mut s = Stage::new(&LOOSE).await?;
        s.script.then(&[Way::NamelessRefusalFirst]);
        assert_eq!(s.call("unsafe", "first", 1).await?, "502 ours 1/1");
        Ok(())
    })
}
