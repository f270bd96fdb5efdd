//! What only the operating system can bring about, tried on small fleets of processes.

use hyper::Method;
use std::time::{Duration, Instant};
use sumacvale_core::base::sha256_hex;
use sumacvale_testbed::fleet::{Fleet, Shape, caller, change, judge, key, known, ready, tree, trial, want};
use sumacvale_testbed::standin::{Log, Mode, Seen, Worker, ask, text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn small() -> Result<(Fleet, Vec<Worker>, Log), String> {
    ready(Shape::SMALL, &tree(Shape::SMALL, 0, &[])).await
}

#[test]
fn bad_calls_get_their_typed_answer_and_change_nothing() {
    trial(async {
        let (f, _ws, log) = small().await?;
        let k = format!("Bearer {}", key(0));
        let good = k.as_str();
        let big = format!("{{\"prompt\":\"{}\"}}", "x".repeat(2 << 20));
        let cases = [
            ("no key", "POST", "/v1/chat", "", "{}", 401, "key"),
            ("unknown key", "POST", "/v1/chat", "Bearer nobody", "{}", 401, "key"),
            ("not a bearer", "POST", "/v1/chat", "Basic eDp5", "{}", 401, "key"),
            ("no match", "POST", "/v1/none", good, "{}", 404, "no_match"),
            ("other method", "GET", "/v1/chat", good, "", 404, "no_match"),
            ("not JSON", "POST", "/v1/chat", good, "{\"prompt\":", 400, "body"),
            ("no prompt", "POST", "/v1/chat", good, "{}", 400, "body"),
            ("prompt of a wrong type", "POST", "/v1/chat", good, "{\"prompt\":[1]}", 400, "body"),
            ("too large", "POST", "/v1/chat", good, big.as_str(), 413, "too_large"),
        ];
        for (name, m, path, auth, body, status, code) in cases {
            let u = format!("http://{}{path}", f.nodes[3].front());
            let m = Method::from_bytes(m.as_bytes()).map_err(|e| e.to_string())?;
            let (s, b) = text(&f.http, m, &u, &[("authorization", auth)], body)
                .await
                .unwrap_or((413, "\"code\":\"too_large\",\"ran\":\"no\",remedy".into()));
            let ok = s == status
                && b.contains(&format!("\"code\":\"{code}\""))
                && b.contains("remedy")
                && b.contains("\"ran\":\"no\"");
            want(ok, format!("{name}: {s} {b}"))?;
        }
        // Heads that are slow or too large are cut; the others go on.
        let mut s = tokio::net::TcpStream::connect(f.nodes[3].front()).await.map_err(|e| e.to_string())?;
        let head = format!("POST /v1/chat HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n", "y".repeat(200_000));
        let _ = s.write_all(head.as_bytes()).await;
        let mut b = Vec::new();
        let _ = tokio::time::timeout(Duration::from_secs(5), s.read_to_end(&mut b))
            .await
            .map_err(|_| "a huge head was not cut")?;
        let t = String::from_utf8_lossy(&b).into_owned();
        want(b.is_empty() || t.starts_with("HTTP/1.1 431") || t.starts_with("HTTP/1.1 400"), t)?;
        want(log.all().is_empty(), "a bad call reached a worker")?;

        let v = f.version(3).await;
        let tag = format!("\"{}\"", v.unwrap_or(0));
        let good = tree(Shape::SMALL, 0, &[]);
        let op = "Bearer operator-token";
        let deep = "[".repeat(200);
        let admin = [
            ("no token", "PUT", "/v1/config", "", tag.as_str(), good.as_str(), 401, "token"),
            ("a tenant's key", "GET", "/v1/config", k.as_str(), "", "", 401, "token"),
            ("no base", "PUT", "/v1/config", op, "", good.as_str(), 428, "no_base"),
            ("bad base", "PUT", "/v1/config", op, "x", good.as_str(), 400, "base"),
            ("stale base", "PUT", "/v1/config", op, "\"0\"", good.as_str(), 412, "stale_base"),
            ("future base", "PUT", "/v1/config", op, "\"99\"", good.as_str(), 412, "stale_base"),
            ("not JSON", "PUT", "/v1/config", op, tag.as_str(), "{", 400, "not_json"),
            ("too deep", "PUT", "/v1/config", op, tag.as_str(), deep.as_str(), 422, "too_deep"),
            ("unknown field", "PUT", "/v1/config", op, tag.as_str(), "{\"a\":1}", 422, "unknown_name"),
            (
                "no such core",
                "PUT",
                "/v1/cores",
                op,
                tag.as_str(),
                "[{\"id\":\"00000000000000aa\",\"peer\":\"127.0.0.1:1\"}]",
                422,
                "invalid",
            ),
            ("core of a wrong form", "PUT", "/v1/cores", op, tag.as_str(), "[1]", 422, "wrong_value"),
            ("bad change id", "GET", "/v1/changes/zz", op, "", "", 400, "change_id"),
            ("no such tenant", "GET", "/v1/effective/tenants/no", op, "", "", 404, "not_found"),
            ("report without token", "POST", "/v1/report", op, "", "{}", 401, "token"),
            ("report of a wrong form", "POST", "/v1/report", "Bearer worker-token", "", "{\"id\":1}", 422, "report"),
        ];
        for (name, m, path, auth, tag, body, status, code) in admin {
            let mut h = vec![("authorization", auth)];
            if !tag.is_empty() {
                h.push(("if-match", tag));
            }
            let m = Method::from_bytes(m.as_bytes()).map_err(|e| e.to_string())?;
            let (s, b) = text(&f.http, m, &format!("http://{}{path}", f.nodes[3].admin()), &h, body).await?;
            let ok = s == status && b.contains(&format!("\"code\":\"{code}\"")) && b.contains("remedy");
            want(ok, format!("{name}: {s} {b}"))?;
        }
        let dry = f.admin(3, Method::PUT, "/v1/config?dry_run=true", &[("if-match", tag.as_str())], &good).await?;
        want(dry.0 == 200 && dry.1.contains("valid"), format!("dry run: {dry:?}"))?;
        want(f.version(3).await == v, "a refused change moved the version")?;
        // A change that was lost on the way is sent again with its id: it is one change.
        let h = [("if-match", tag.as_str()), ("change-id", "00000000000000ab")];
        let a = f.admin(3, Method::PUT, "/v1/config", &h, &tree(Shape::SMALL, 1, &[])).await?;
        let b = f.admin(4, Method::PUT, "/v1/config", &h, &tree(Shape::SMALL, 1, &[])).await?;
        want(a.0 == 200 && a == b, format!("{a:?} {b:?}"))?;
        let c = f.admin(4, Method::PUT, "/v1/config", &h, &tree(Shape::SMALL, 2, &[])).await?;
        want(c.0 == 409, format!("another body under the same id: {c:?}"))?;
        let l = f.admin(4, Method::GET, "/v1/changes/00000000000000ab", &[], "").await?;
        want(l.1.contains("decided"), format!("{l:?}"))?;
        let l = f.admin(4, Method::GET, "/v1/changes/00000000000000ac?base=1", &[], "").await?;
        want(l.1.contains("lost"), format!("{l:?}"))?;
        let e = f.admin(4, Method::GET, "/v1/effective/tenants/t0", &[], "").await?;
        want(e.1.contains("\"calls\":120") && e.1.contains("\"weight\":3"), format!("{e:?}"))
    });
}

#[test]
fn strangers_on_the_peer_port_harm_nobody() {
    trial(async {
        let (f, _ws, _log) = small().await?;
        let mut r = sumacvale_core::base::Rng::new(1);
        for k in 0..60u32 {
            let mut s =
                tokio::net::TcpStream::connect(f.nodes[(k % 5) as usize].peer()).await.map_err(|e| e.to_string())?;
            let mut b = match k % 4 {
                0 => vec![255; 64],
                1 => (3u32.to_le_bytes().into_iter()).chain([77, 1, 2]).collect(),
                2 => (0u32.to_le_bytes()).to_vec(),
                _ => {
                    let n = 20 + r.below(200);
                    let mut v = u32::try_from(n).unwrap_or(20).to_le_bytes().to_vec();
                    v.push(1);
                    v.extend((1..n).map(|_| u8::try_from(r.below(256)).unwrap_or(0)));
                    v
                }
            };
            let _ = s.write_all(&b).await;
            b.clear();
            let _ = tokio::time::timeout(Duration::from_secs(3), s.read_to_end(&mut b))
                .await
                .map_err(|_| format!("{k}: a stranger's connection stayed open"))?;
        }
        let mut n = 0;
        for i in 0..5 {
            n += f
                .metrics(i)
                .await
                .into_iter()
                .find(|x| x.0 == "sumacvale_peer_invalid_frames_total")
                .map_or(0, |x| x.1);
        }
        want(n == 60, format!("{n} of 60 counted"))?;
        f.all_ready(Duration::from_secs(2)).await?;
        change(&f, 4, &tree(Shape::SMALL, 1, &[])).await.map(|_| ())
    });
}

#[test]
fn workers_in_trouble_run_nothing_twice_and_hide_no_run() {
    trial(async {
        let (f, ws, log) = small().await?;
        let mut all = Vec::new();
        let mut n = 0;
        // Every worker of a pool behaves alike, so that a second try meets the same.
        type Case = (&'static str, Mode, &'static str, fn(&Seen) -> bool);
        let cases: [Case; 7] = [
            ("well", Mode::Well, "/v1/draft", |s| *s == Seen::Whole),
            ("cut, resumed", Mode::Cut(5), "/v1/draft", |s| matches!(s, Seen::Whole | Seen::Broken { .. })),
            ("cut, not to be resumed", Mode::Cut(5), "/v1/chat", |s| matches!(s, Seen::Broken { pieces: 5 })),
            ("cut at the first piece", Mode::Cut(0), "/v1/chat", |s| matches!(s, Seen::Broken { pieces: 0 })),
            ("cut before anything could be resumed", Mode::Cut(0), "/v1/draft", |s| {
                matches!(s, Seen::Broken { pieces: 0 })
            }),
            (
                "mute",
                Mode::Mute,
                "/v1/chat",
                |s| matches!(s, Seen::Refused { status: 502, ran, .. } if ran == "unknown"),
            ),
            ("well again", Mode::Well, "/v1/chat", |s| *s == Seen::Whole),
        ];
        for (name, mode, path, ok) in cases {
            // Some first tries earn second ones.
            for _ in 0..20 {
                n += 1;
                let o = caller(&f, "/v1/confirm", 1).call(&f.nodes[3].front(), &format!("e{n}"), "x").await;
                want(o.seen == Seen::Whole, format!("{name}: {:?}", o.seen))?;
                all.push(o);
            }
            for w in &ws[..3] {
                w.mode(mode);
            }
            for _ in 0..3 {
                n += 1;
                // A worker that failed is left out until it reports anew.
                let o = loop {
                    let o = caller(&f, path, 0).call(&f.nodes[3].front(), &format!("c{n}"), "x").await;
                    if !matches!(&o.seen, Seen::Refused { code, .. } if code == "full") {
                        break o;
                    }
                };
                want(ok(&o.seen), format!("{name}: {:?}", o.seen))?;
                all.push(o);
            }
        }
        let resumed =
            f.metrics(3).await.into_iter().find(|x| x.0 == "sumacvale_streams_resumed_total").map_or(0, |x| x.1);
        want(resumed > 0, "nothing was resumed")?;
        // A whole pool goes dark in the middle of its runs.
        let c = caller(&f, "/v1/draft", 0);
        let at = f.nodes[3].front();
        let call = c.call(&at, "dark", "x");
        tokio::pin!(call);
        let crash = async {
            while !log.all().iter().any(|r| r.call == "dark") {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            for w in &ws[..3] {
                w.crash();
            }
        };
        let (o, ()) = tokio::join!(&mut call, crash);
        let dark =
            matches!(&o.seen, Seen::Broken { .. }) || matches!(&o.seen, Seen::Refused { ran, .. } if ran == "unknown");
        want(dark, format!("dark: {:?}", o.seen))?;
        all.push(o);
        known(&f, 2).await?;
        let bad = judge(&all, &log.all(), None);
        want(bad.is_empty(), format!("{bad:?}"))
    });
}

#[test]
fn cores_are_replaced_one_by_one_by_empty_machines() {
    trial(async {
        let (mut f, _ws, _log) = small().await?;
        let mut last = f.version(3).await.unwrap_or(0);
        for i in 0..3 {
            let gone = f.nodes[i].peer();
            f.kill(i).await;
            f.replace(i);
            f.start(i).map_err(|e| e.to_string())?;
            f.all_ready(Duration::from_secs(12)).await?;
            let me = f.nodes[i].peer();
            let t = Instant::now();
            loop {
                let (_, nodes) = f.admin(4, Method::GET, "/v1/nodes", &[], "").await?;
                let (_, cores) = f.admin(4, Method::GET, "/v1/cores", &[], "").await?;
                let v = f.version(4).await.unwrap_or(0);
                let id = nodes
                    .split("{\"id\":\"")
                    .find(|s| s.contains(&format!("\"peer\":\"{me}\"")))
                    .map(|s| s[..16].to_owned());
                let kept: Vec<_> = cores
                    .trim_matches(['[', ']'])
                    .split("},")
                    .filter(|c| !c.contains(&gone))
                    .map(|c| format!("{}}}", c.trim_end_matches('}')))
                    .collect();
                if let Some(id) = id {
                    let body = format!("[{},{{\"id\":\"{id}\",\"peer\":\"{me}\"}}]", kept.join(","));
                    let tag = format!("\"{v}\"");
                    let (s, b) = f.admin(4, Method::PUT, "/v1/cores", &[("if-match", tag.as_str())], &body).await?;
                    if s == 200 {
                        break;
                    }
                    want(t.elapsed() < Duration::from_secs(12), format!("{s} {b}"))?;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            let v = change(&f, 3, &tree(Shape::SMALL, i + 1, &[])).await?;
            want(v > last, format!("version {v} after {last}"))?;
            last = v;
            f.spread(v, Duration::from_secs(2)).await?;
        }
        // The new ones carry the fleet: one of them may go as well.
        f.kill(1).await;
        let v = change(&f, 3, &tree(Shape::SMALL, 9, &[])).await?;
        want(v > last, "no change with one of the new cores gone")?;
        // All go at once and come back with what was acknowledged.
        f.kill(0).await;
        f.kill(2).await;
        for i in 0..3 {
            f.start(i).map_err(|e| e.to_string())?;
        }
        let t = f.all_ready(Duration::from_secs(12)).await?;
        println!("all cores back after {} ms", t.as_millis());
        want(f.version(0).await == Some(v) && f.version(3).await == Some(v), "the last version is not back")?;
        let t = Instant::now();
        loop {
            let o = caller(&f, "/v1/chat", 0).call(&f.nodes[4].front(), "after", "x").await;
            if o.seen == Seen::Whole {
                println!("serving again after {} ms", t.elapsed().as_millis());
                return Ok(());
            }
            want(t.elapsed() < Duration::from_secs(12), format!("{:?}", o.seen))?;
        }
    });
}

#[test]
fn a_frozen_front_wakes_and_admits_nothing_by_what_it_knew() {
    trial(async {
        let (f, _ws, log) = small().await?;
        // A call lies in its sockets while it sleeps, and its key is withdrawn meanwhile.
        f.freeze(4).await?;
        let c = caller(&f, "/v1/chat", 1);
        let at = f.nodes[4].front();
        let sleeper = tokio::spawn(async move { c.call(&at, "slept", "x").await });
        change(&f, 3, &tree(Shape::SMALL, 1, &[1])).await?;
        let t = Instant::now();
        tokio::time::sleep_until((t + Duration::from_millis(5_050)).into()).await;
        f.signal(4, libc::SIGCONT);
        let o = sleeper.await.map_err(|e| e.to_string())?;
        let slept = format!("{:?} {} ms after it was sent", o.seen, o.total.as_millis());
        want(matches!(o.seen, Seen::Refused { status: 401 | 503, .. }), slept)?;
        want(log.all().is_empty(), "the call ran")?;
        f.all_ready(Duration::from_secs(12)).await?;
        let o = caller(&f, "/v1/chat", 0).call(&f.nodes[4].front(), "awake", "x").await;
        want(o.seen == Seen::Whole, format!("{:?}", o.seen))
    });
}

#[test]
fn without_a_majority_nothing_changes_and_soon_nothing_is_admitted() {
    trial(async {
        let (f, _ws, _log) = small().await?;
        f.freeze(1).await?;
        f.freeze(2).await?;
        let v = f.version(3).await.unwrap_or(0);
        let tag = format!("\"{v}\"");
        let h = [("if-match", tag.as_str()), ("change-id", "00000000000000cd")];
        let (s, b) = f.admin(3, Method::PUT, "/v1/config", &h, &tree(Shape::SMALL, 1, &[])).await?;
        want(matches!(s, 503 | 504), format!("{s} {b}"))?;
        let t = Instant::now();
        loop {
            let o = caller(&f, "/v1/chat", 0)
                .call(&f.nodes[3].front(), &format!("m{}", t.elapsed().as_micros()), "x")
                .await;
            if matches!(&o.seen, Seen::Refused { status: 503, code, back: true, .. } if code == "stale") {
                break;
            }
            want(t.elapsed() < Duration::from_secs(5), format!("still {:?}", o.seen))?;
        }
        want(!f.ready(3).await, "ready without freshness")?;
        f.signal(1, libc::SIGCONT);
        f.signal(2, libc::SIGCONT);
        let t = f.all_ready(Duration::from_secs(12)).await?;
        println!("fresh again after {} ms", t.as_millis());
        let (s, b) = f.admin(4, Method::PUT, "/v1/config", &h, &tree(Shape::SMALL, 1, &[])).await?;
        want(s == 200 || s == 412, format!("{s} {b}"))?;
        let (_, l) = f.admin(4, Method::GET, &format!("/v1/changes/00000000000000cd?base={v}"), &[], "").await?;
        want(l.contains(if s == 200 { "decided" } else { "lost" }), l)
    });
}

#[test]
fn quotas_hold_over_all_fronts_and_refuse_nothing_within_them() {
    trial(async {
        let body = tree(Shape::SMALL, 0, &[]).replace("\"calls\":120", "\"calls\":40");
        let (f, _ws, log) = ready(Shape::SMALL, &body).await?;
        let fronts = [f.nodes[3].front(), f.nodes[4].front()];
        // Within: 25 a second of 40, through both fronts.
        let mut set = tokio::task::JoinSet::new();
        let mut t = tokio::time::interval(Duration::from_millis(40));
        for n in 0..75 {
            t.tick().await;
            let (c, at) = (caller(&f, "/v1/confirm", 0), fronts[n % 2].clone());
            set.spawn(async move { c.call(&at, &format!("in{n}"), "x").await });
        }
        while let Some(o) = set.join_next().await {
            let o = o.map_err(|e| e.to_string())?;
            want(o.seen == Seen::Whole, format!("within its quota: {:?}", o.seen))?;
        }
        // Beyond: far more than the quota at once, for three windows.
        let begin = Instant::now();
        let mut t = tokio::time::interval(Duration::from_millis(5));
        let mut refused = 0;
        for n in 0..600 {
            t.tick().await;
            let (c, at) = (caller(&f, "/v1/confirm", 1), fronts[n % 2].clone());
            set.spawn(async move { c.call(&at, &format!("over{n}"), "x").await });
        }
        while let Some(o) = set.join_next().await {
            let o = o.map_err(|e| e.to_string())?;
            match &o.seen {
                Seen::Refused { status: 429, back: true, .. } => refused += 1,
                Seen::Whole => {}
                s => return Err(format!("{s:?}")),
            }
        }
        let ran = log.all().iter().filter(|r| r.call.starts_with("over")).count();
        let windows = usize::try_from(begin.elapsed().as_secs()).unwrap_or(3) + 2;
        want(ran <= 40 * windows && refused > 0, format!("{ran} ran in {windows} windows, {refused} refused"))?;
        let mut by = std::collections::BTreeMap::new();
        for r in log.all() {
            *by.entry((r.tenant, r.window)).or_insert(0) += 1;
        }
        want(by.values().all(|n| *n <= 40), format!("more than 40 in one window: {by:?}"))?;
        want(ran >= 100, format!("only {ran} of 120 and more were let through"))?;
        let bad = judge(&[], &log.all(), None);
        want(bad.is_empty(), format!("{bad:?}"))
    });
}

#[test]
fn a_full_disk_takes_a_core_out_of_the_votes_until_there_is_room() {
    trial(async {
        let (mut f, _ws, _log) = small().await?;
        // Nothing can be written at all, not even the log: the core still learns.
        f.limit(0, Some(0));
        let v = change(&f, 4, &tree(Shape::SMALL, 9, &[])).await?;
        f.spread(v, Duration::from_secs(2)).await?;
        f.limit(0, None);
        let t = Instant::now();
        while !f.log(0).contains("the disk takes writes again") {
            want(t.elapsed() < Duration::from_secs(5), "the disk is not used again")?;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        f.limit(0, Some(f.written(0)));
        // Now its log has room and its data has none. The other two carry changes and quotas on.
        for n in 1..4 {
            let v = change(&f, 3 + n % 2, &tree(Shape::SMALL, n, &[])).await?;
            f.spread(v, Duration::from_secs(2)).await?;
            let o = caller(&f, "/v1/chat", 0).call(&f.nodes[3].front(), &format!("f{n}"), "x").await;
            want(o.seen == Seen::Whole, format!("{:?}", o.seen))?;
        }
        let t = Instant::now();
        loop {
            let n = f.metrics(0).await.into_iter().find(|x| x.0 == "sumacvale_disk_errors_total").map_or(0, |x| x.1);
            if n > 0 {
                break;
            }
            want(t.elapsed() < Duration::from_secs(5), "no trouble was counted")?;
        }
        want(f.log(0).contains("the disk takes no writes"), "no trouble was logged")?;
        // With another core gone no majority can write: nothing is accepted.
        f.kill(1).await;
        let v = f.version(3).await.unwrap_or(0);
        let tag = format!("\"{v}\"");
        let (s, b) =
            f.admin(3, Method::PUT, "/v1/config", &[("if-match", tag.as_str())], &tree(Shape::SMALL, 5, &[])).await?;
        want(matches!(s, 503 | 504), format!("{s} {b}"))?;
        f.limit(0, None);
        let t = Instant::now();
        while change(&f, 3, &tree(Shape::SMALL, 6, &[])).await.is_err() {
            want(t.elapsed() < Duration::from_secs(12), "no change is accepted with room again")?;
        }
        println!("changes again {} ms after there was room", t.elapsed().as_millis());
        want(f.log(0).contains("the disk takes writes again"), "the end of the trouble was not logged")
    });
}

#[test]
fn operators_drain_workers_and_nodes() {
    trial(async {
        let (f, ws, log) = small().await?;
        let body = tree(Shape::SMALL, 0, &[]).replace("\"llm\":{}", "\"llm\":{\"drain\":[\"llm0\",\"llm2\"]}");
        let v = change(&f, 3, &body).await?;
        f.spread(v, Duration::from_secs(2)).await?;
        for n in 0..20 {
            let at = f.nodes[3 + n % 2].front();
            let o = caller(&f, "/v1/chat", 0).call(&at, &format!("d{n}"), &format!("prefix {n}|")).await;
            want(o.seen == Seen::Whole, format!("{:?}", o.seen))?;
        }
        want(log.all().iter().all(|r| r.worker == ws[1].id()), "a drained worker got a call")?;
        want(f.admin(4, Method::POST, "/v1/drain", &[], "").await?.0 == 200, "no drain")?;
        want(!f.ready(4).await, "ready while drained")?;
        let o = caller(&f, "/v1/chat", 0).call(&f.nodes[4].front(), "still", "x").await;
        want(o.seen == Seen::Whole, format!("a drained node serves on: {:?}", o.seen))?;
        want(f.admin(4, Method::DELETE, "/v1/drain", &[], "").await?.0 == 200, "no return")?;
        want(f.ready(4).await, "not ready again")
    });
}

/// A crowd of several times what the workers can do, most of it one tenant's drafts.
#[test]
fn a_crowd_leaves_the_small_their_share_and_is_refused_at_once() {
    trial(async {
        let body = tree(Shape::SMALL, 0, &[]).replace("\"calls\":120", "\"calls\":100000");
        let (f, _ws, log) = ready(Shape::SMALL, &body).await?;
        let fronts = [f.nodes[3].front(), f.nodes[4].front()];
        // Three workers of 16 places and 410 ms for a draft: about 117 drafts a second.
        let mut set = tokio::task::JoinSet::new();
        let mut t = tokio::time::interval(Duration::from_millis(10));
        let begin = Instant::now();
        for n in 0..300usize {
            t.tick().await;
            for k in 0..4 {
                let (c, at) = (caller(&f, "/v1/draft", 0), fronts[(n + k) % 2].clone());
                let id = format!("big{n}-{k}");
                set.spawn(async move { c.call(&at, &id, &format!("same prefix for all, the hot one|{n}")).await });
            }
            if n % 5 == 0 {
                let (c, at) = (caller(&f, "/v1/chat", 1), fronts[n % 2].clone());
                set.spawn(async move { c.call(&at, &format!("small{n}"), "another").await });
                let (c, at) = (caller(&f, "/v1/confirm", 1), fronts[n % 2].clone());
                set.spawn(async move { c.call(&at, &format!("quick{n}"), "x").await });
            }
        }
        let crowd = begin.elapsed();
        let mut all = Vec::new();
        while let Some(o) = set.join_next().await {
            all.push(o.map_err(|e| e.to_string())?);
        }
        let of = |p: &str| all.iter().filter(|o| o.call.starts_with(p)).collect::<Vec<_>>();
        let whole = |v: &[&sumacvale_testbed::standin::Outcome]| v.iter().filter(|o| o.seen == Seen::Whole).count();
        let (big, small, quick) = (of("big"), of("small"), of("quick"));
        let goodput = whole(&big) as f64 / (crowd.as_secs_f64() + 2.0);
        println!(
            "drafts {} of {} ({goodput:.0} a second), chats {} of {}, lookups {} of {}",
            whole(&big),
            big.len(),
            whole(&small),
            small.len(),
            whole(&quick),
            quick.len()
        );
        let refusals = |calls: &[&sumacvale_testbed::standin::Outcome]| {
            calls
                .iter()
                .filter(|o| o.seen != Seen::Whole)
                .map(|o| {
                    format!(
                        "{} at {} ms after {} ms: {:?}",
                        o.call,
                        (o.at - begin).as_millis(),
                        o.total.as_millis(),
                        o.seen
                    )
                })
                .collect::<Vec<_>>()
                .join("\n")
        };
        println!("chats and lookups that were not served:\n{}\n{}", refusals(&small), refusals(&quick));
        want(goodput > 70.0, format!("goodput {goodput}"))?;
        want(whole(&small) * 100 >= small.len() * 95, format!("chats {} of {}", whole(&small), small.len()))?;
        want(whole(&quick) == quick.len(), format!("lookups {} of {}", whole(&quick), quick.len()))?;
        let mut first: Vec<_> = quick.iter().map(|o| o.first).collect();
        first.sort_unstable();
        want(
            first[first.len() * 9 / 10] < Duration::from_millis(150),
            format!("lookups at {:?}", first[first.len() * 9 / 10]),
        )?;
        let mut backs = std::collections::BTreeSet::new();
        let mut late = 0;
        for o in &all {
            match &o.seen {
                Seen::Whole => {}
                // A machine that is loaded with other work may keep a holder's word for a while.
                Seen::Refused { status: 503, code, back: true, .. } if code == "quota_unsettled" => late += 1,
                Seen::Refused { status: 503, code, back: true, ran } if code == "full" || code == "worker_full" => {
                    want(ran == "no" && o.total < Duration::from_millis(2_600), format!("{o:?}"))?;
                    backs.insert(o.back_ms);
                }
                s => return Err(format!("{}: {s:?}", o.call)),
            }
        }
        want(late * 20 < all.len(), format!("{late} calls without a word on their quota"))?;
        want(backs.len() > 50, format!("{} different times to return", backs.len()))?;
        let bad = judge(&all, &log.all(), None);
        want(bad.iter().all(|b| b.0.contains("calls ran in window")), format!("{bad:?}"))
    });
}

#[test]
fn a_front_without_a_token_tells_nothing() {
    trial(async {
        let (f, _ws, _log) = small().await?;
        for p in ["/v1/config", "/v1/nodes", "/v1/workers", "/v1/beliefs", "/v1/history", "/v1/cores"] {
            let u = format!("http://{}{p}", f.nodes[3].admin());
            let r = ask(&f.http, Method::GET, &u, &[], "").await?;
            want(r.status() == 401, format!("{p}: {}", r.status()))?;
        }
        for i in 0..5 {
            let l = f.log(i);
            for secret in ["operator-token", "worker-token", &key(0), &sha256_hex(key(0).as_bytes())] {
                want(!l.contains(secret), format!("the log of node {i} holds {secret}"))?;
            }
        }
        Ok(())
    });
}
