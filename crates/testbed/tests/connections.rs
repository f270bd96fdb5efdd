//! Wires that break, processes that die while they write, and what comes on the wire itself.

use hyper::Method;
use std::time::{Duration, Instant};
use sumacvale_core::base::Rng;
use sumacvale_testbed::fleet::{Fleet, Shape, caller, change, judge, key, known, ready, tree, trial, want};
use sumacvale_testbed::standin::{Log, Relay, Seen, Wire, Worker, raw};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends one call on a connection and reads until `end` or the close.
async fn talk(s: &mut TcpStream, path: &str, version: &str, body: &str, end: &str) -> Result<String, String> {
    let k = key(0);
    let n = body.len();
    let head =
        format!("POST {path} HTTP/{version}\r\nhost: x\r\nauthorization: Bearer {k}\r\ncontent-length: {n}\r\n\r\n");
    s.write_all((head + body).as_bytes()).await.map_err(|e| e.to_string())?;
    let mut out = Vec::new();
    let mut b = [0; 4096];
    let go = async {
        loop {
            match s.read(&mut b).await {
                Ok(n) if n > 0 => out.extend_from_slice(&b[..n]),
                _ => break,
            }
            if !end.is_empty() && String::from_utf8_lossy(&out).contains(end) {
                break;
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(8), go).await.map_err(|_| "no end in 8 s".to_owned())?;
    Ok(String::from_utf8_lossy(&out).into_owned())
}

#[test]
fn what_only_the_close_ends_is_a_break_and_no_answer_is_lost_while_stopping() {
    trial(async {
        let more = "\"app\":{},\"bare\":{},\"events\":{}";
        let ms = "\"matches\":{\"bare\":{\"path\":\"/v1/bare/{id}\",\"pool\":\"bare\"},\"events\":{\"path\":\"/v1/events\",\"pool\":\"events\"},";
        let body = tree(Shape::SMALL, 0, &[]).replace("\"app\":{}", more).replace("\"matches\":{", ms);
        let (mut f, _ws, _log) = ready(Shape::SMALL, &body).await?;
        let at = |k: u32| format!("{}.{k}:7300", f.net).parse().map_err(|_| "no address".to_owned());
        let bare = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{\"half\":";
        let events = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 0\ndata: a\n\n";
        for (id, pool, at, say) in [("b", "bare", at(240)?, &bare[..]), ("e", "events", at(241)?, &events[..])] {
            raw(id, pool, at, say, f.nodes[3].admin(), f.http.clone()).await.map_err(|e| e.to_string())?;
        }
        known(&f, 7).await?;
        let front = f.nodes[3].front();
        let open = async || TcpStream::connect(&front).await.map_err(|e| e.to_string());
        for (path, part) in [("/v1/bare/7", "half"), ("/v1/events", "data: a")] {
            let t = talk(&mut open().await?, path, "1.1", "{\"prompt\":\"x\"}", "").await?;
            let ok =
                t.contains(part) && t.to_lowercase().contains("transfer-encoding: chunked") && !t.contains("\r\n0\r\n");
            want(ok, format!("{path} must not look whole: {t}"))?;
        }
        let t = talk(&mut open().await?, "/v1/chat", "1.0", "{\"prompt\":\"x\"}", "").await?;
        want(t.contains(" 505 ") && t.contains("\"ran\":\"no\""), t)?;
        // A connection that is kept: the next call on it is answered while the node stops.
        let mut s = open().await?;
        let whole = "\"ok\":true}";
        let t = talk(&mut s, "/v1/confirm", "1.1", "{\"prompt\":\"x\"}", whole).await?;
        want(t.contains(" 200 ") && !t.to_lowercase().contains("connection: close"), t)?;
        f.signal(3, libc::SIGTERM);
        let begin = Instant::now();
        while f.ready(3).await {
            want(begin.elapsed() < Duration::from_secs(2), "ready while stopping")?;
        }
        let t = talk(&mut s, "/v1/confirm", "1.1", "{\"prompt\":\"x\"}", whole).await?;
        want(t.contains(" 200 ") && t.to_lowercase().contains("connection: close"), t)?;
        // A long one that was read before the listener closed is finished.
        let c = caller(&f, "/v1/draft", 0);
        let o = c.call(&front, "last", "x").await;
        want(o.seen == Seen::Whole, format!("{:?}", o.seen))?;
        want(f.wait(3).await == Some(0), "no clean end")
    });
}

#[test]
fn wires_to_workers_are_cut_stalled_and_half_open() {
    trial(async {
        let body = tree(Shape::SMALL, 0, &[])
            .replace("\"prefix_chars\":32", "\"prefix_chars\":32,\"first_ms\":900,\"idle_ms\":900");
        let (f, ws, log) = ready(Shape::SMALL, &body).await?;
        let mut relays = Vec::new();
        for (k, w) in ws.iter().enumerate() {
            let at = format!("{}.{}:7400", f.net, 200 + k).parse().map_err(|_| "no address")?;
            let r = Relay::start(at, w.addr()).await.map_err(|e| e.to_string())?;
            w.behind(r.addr);
            relays.push(r);
        }
        let t = Instant::now();
        loop {
            let (_, s) = f.admin(3, Method::GET, "/v1/workers", &[], "").await?;
            let (_, u) = f.admin(4, Method::GET, "/v1/workers", &[], "").await?;
            if !s.contains(":7200") && !u.contains(":7200") && s.matches(":7400").count() == ws.len() {
                break;
            }
            want(t.elapsed() < Duration::from_secs(5), s)?;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // Whole responses are counted as such, also those whose length is announced.
        for n in 0..6 {
            let path = ["/v1/confirm", "/v1/chat"][n % 2];
            let o = caller(&f, path, 0).call(&f.nodes[3].front(), &format!("s{n}"), "x").await;
            want(o.seen == Seen::Whole, format!("{:?}", o.seen))?;
        }
        let m = f.metrics(3).await;
        let count = |k: &str| m.iter().find(|x| x.0 == k).map_or(0, |x| x.1);
        want(count("sumacvale_served_total") == 6 && count("sumacvale_clients_gone_total") == 0, format!("{m:?}"))?;
        let (_, t) = f.admin(3, Method::GET, "/metrics", &[], "").await?;
        let p = prometheus_parse::Scrape::parse(t.lines().map(|l| Ok(l.to_owned()))).map_err(|e| e.to_string())?;
        let first = |kind: &str| {
            p.samples.iter().find_map(|s| match &s.value {
                prometheus_parse::Value::Histogram(h) if s.metric == "sumacvale_time_to_first_byte_seconds" => {
                    (s.labels.get("kind") == Some(kind)).then(|| h.last().map_or(0.0, |b| b.count))
                }
                _ => None,
            })
        };
        want(first("lookup") == Some(3.0) && first("chat") == Some(3.0), t.clone())?;
        want(
            p.docs.len() > 40 && p.samples.len() > 60,
            format!("{} texts, {} samples", p.docs.len(), p.samples.len()),
        )?;
        let mut all = Vec::new();
        let mut set = tokio::task::JoinSet::new();
        let mut n = 0;
        for wire in [Wire::Whole, Wire::Stalled, Wire::Whole, Wire::Cut, Wire::Whole, Wire::HalfOpen, Wire::Whole] {
            for r in &relays {
                r.set(wire);
            }
            let mut t = tokio::time::interval(Duration::from_millis(8));
            for _ in 0..80 {
                t.tick().await;
                n += 1;
                let path = ["/v1/confirm", "/v1/book", "/v1/chat", "/v1/draft"][n % 4];
                let (c, at) = (caller(&f, path, 0), f.nodes[3 + n % 2].front());
                set.spawn(async move { c.call(&at, &format!("w{n}"), &format!("prefix {}|", n % 7)).await });
            }
        }
        while let Some(o) = set.join_next().await {
            all.push(o.map_err(|e| e.to_string())?);
        }
        for o in all.iter().filter(|o| matches!(o.seen, Seen::Wrong(_))) {
            println!("{o:?}");
            for i in 3..5 {
                let m = f.metrics(i).await;
                println!("{:?}", m.iter().filter(|x| x.1 > 0).collect::<Vec<_>>());
            }
        }
        let of = |f: fn(&Seen) -> bool| all.iter().filter(|o| f(&o.seen)).count();
        let (whole, broken) = (of(|s| *s == Seen::Whole), of(|s| matches!(s, Seen::Broken { .. })));
        let unknown = of(|s| matches!(s, Seen::Refused { ran, .. } if ran == "unknown"));
        println!("{whole} whole, {broken} broken off, {unknown} of which nobody knows, of {}", all.len());
        want(whole > 150 && broken > 0 && unknown > 0, "the wires were not in trouble")?;
        let bad = judge(&all, &log.all(), None);
        want(bad.is_empty(), format!("{bad:?}"))?;
        // Whole again: every worker serves.
        let t = Instant::now();
        loop {
            let o = caller(&f, "/v1/chat", 0)
                .call(&f.nodes[3].front(), &format!("z{}", t.elapsed().as_micros()), "x")
                .await;
            if o.seen == Seen::Whole {
                return Ok(());
            }
            want(t.elapsed() < Duration::from_secs(12), format!("{:?}", o.seen))?;
        }
    });
}

/// Cores die while they write; whatever was acknowledged is there after it.
#[test]
fn cores_die_at_any_point_of_a_change_and_many_at_once() {
    trial(async {
        let (mut f, _ws, _log): (Fleet, Vec<Worker>, Log) = ready(Shape::SMALL, &tree(Shape::SMALL, 0, &[])).await?;
        let mut r = Rng::new(5);
        let mut acked = f.version(3).await.unwrap_or(0);
        for n in 1..=12usize {
            let i = n % 3;
            let body = tree(Shape::SMALL, n, &[]);
            let after = Duration::from_micros(r.below(9_000));
            let (got, ()) = {
                let put = change(&f, 3 + n % 2, &body);
                let kill = async {
                    tokio::time::sleep(after).await;
                    f.signal(i, libc::SIGKILL);
                };
                tokio::join!(put, kill)
            };
            f.wait(i).await;
            if let Ok(v) = got {
                want(v > acked, format!("version {v} after {acked}"))?;
                acked = v;
            }
            f.start(i).map_err(|e| e.to_string())?;
            // The next one may go while this one comes back.
            if n % 4 == 0 {
                f.all_ready(Duration::from_secs(12)).await?;
                f.spread(acked, Duration::from_secs(2)).await?;
            }
        }
        for i in 0..5 {
            f.signal(i, libc::SIGKILL);
        }
        for i in 0..5 {
            f.wait(i).await;
            f.start(i).map_err(|e| e.to_string())?;
        }
        let t = f.all_ready(Duration::from_secs(12)).await?;
        println!("all five back after {} ms", t.as_millis());
        for i in 0..5 {
            let v = f.version(i).await.unwrap_or(0);
            want(v >= acked, format!("node {i} is at {v}, {acked} was acknowledged"))?;
        }
        let v = change(&f, 3, &tree(Shape::SMALL, 20, &[])).await?;
        want(v > acked, "an older version")
    });
}

/// Thousands of matches come with one change; calls go on meanwhile.
#[test]
fn a_configuration_grows_by_thousands_of_matches_at_once() {
    trial(async {
        let (f, _ws, log) = ready(Shape::SMALL, &tree(Shape::SMALL, 0, &[])).await?;
        let mut set = tokio::task::JoinSet::new();
        let (tx, rx) = tokio::sync::watch::channel(false);
        for k in 0..2 {
            let (c, at, rx) = (caller(&f, "/v1/confirm", 0), f.nodes[3 + k].front(), rx.clone());
            set.spawn(async move {
                let mut v = Vec::new();
                while !*rx.borrow() {
                    v.push(c.call(&at, &format!("g{k}-{}", v.len()), "x").await);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
                v
            });
        }
        for n in [5_000, 10_000, 3] {
            let t = Instant::now();
            let v = change(&f, 4, &tree(Shape::SMALL, n, &[])).await?;
            let acked = t.elapsed();
            let s = f.spread(v, Duration::from_secs(2)).await?;
            println!("{n} matches: acknowledged after {} ms, everywhere {} ms later", acked.as_millis(), s.as_millis());
        }
        let _ = tx.send(true);
        let mut all = Vec::new();
        while let Some(v) = set.join_next().await {
            all.extend(v.map_err(|e| e.to_string())?);
        }
        let bad: Vec<_> = all.iter().filter(|o| o.seen != Seen::Whole).collect();
        want(bad.is_empty() && all.len() > 20, format!("{} calls, {bad:?}", all.len()))?;
        let bad = judge(&all, &log.all(), None);
        want(bad.is_empty(), format!("{bad:?}"))
    });
}
