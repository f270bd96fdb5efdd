//! What only the operating system can bring about, tried on small fleets of processes.

// The locals of these long scripts have short names yet, see the roadmap.
#![allow(clippy::many_single_char_names)]

use hyper::Method;
use std::time::{Duration, Instant};
use sumacvale_core::base::sha256_hex;
use sumacvale_testbed::fleet::{
    Fleet, FleetSpec, apply_config, client, config_tree, ensure, judge, run_trial, start_fleet, tenant_key,
    wait_for_workers,
};
use sumacvale_testbed::standin::{ClientObservation, StandInWorker, WorkerLog, WorkerMode, request_text, send_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn small() -> Result<(Fleet, Vec<StandInWorker>, WorkerLog), String> {
    start_fleet(FleetSpec::SMALL, &config_tree(FleetSpec::SMALL, 0, &[])).await
}

#[test]
fn invalid_requests_get_their_typed_error_and_change_nothing() {
    run_trial(async {
        let (fleet, _workers, log) = small().await?;
        let k = format!("Bearer {}", tenant_key(0));
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
            let u = format!("http://{}{path}", fleet.nodes[3].front());
            let m = Method::from_bytes(m.as_bytes()).map_err(|e| e.to_string())?;
            let (s, b) = request_text(&fleet.http, m, &u, &[("authorization", auth)], body)
                .await
                .unwrap_or((413, "\"code\":\"too_large\",\"ran\":\"no\",remedy".into()));
            let ok = s == status
                && b.contains(&format!("\"code\":\"{code}\""))
                && b.contains("remedy")
                && b.contains("\"ran\":\"no\"");
            ensure(ok, format!("{name}: {s} {b}"))?;
        }
        // Heads that are slow or too large are cut; the others go on.
        let mut s = tokio::net::TcpStream::connect(fleet.nodes[3].front()).await.map_err(|e| e.to_string())?;
        let head = format!("POST /v1/chat HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n", "y".repeat(200_000));
        let _ = s.write_all(head.as_bytes()).await;
        let mut b = Vec::new();
        let _ = tokio::time::timeout(Duration::from_secs(5), s.read_to_end(&mut b))
            .await
            .map_err(|_| "a huge head was not cut")?;
        let t = String::from_utf8_lossy(&b).into_owned();
        ensure(b.is_empty() || t.starts_with("HTTP/1.1 431") || t.starts_with("HTTP/1.1 400"), t)?;
        ensure(log.runs().is_empty(), "a bad call reached a worker")?;

        let v = fleet.version(3).await;
        let tag = format!("\"{}\"", v.unwrap_or(0));
        let good = config_tree(FleetSpec::SMALL, 0, &[]);
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
            let (s, b) =
                request_text(&fleet.http, m, &format!("http://{}{path}", fleet.nodes[3].admin()), &h, body).await?;
            let ok = s == status && b.contains(&format!("\"code\":\"{code}\"")) && b.contains("remedy");
            ensure(ok, format!("{name}: {s} {b}"))?;
        }
        let dry = fleet
            .admin_request(3, Method::PUT, "/v1/config?dry_run=true", &[("if-match", tag.as_str())], &good)
            .await?;
        ensure(dry.0 == 200 && dry.1.contains("valid"), format!("dry run: {dry:?}"))?;
        ensure(fleet.version(3).await == v, "a refused change moved the version")?;
        // A change that was lost on the way is sent again with its id: it is one change.
        let h = [("if-match", tag.as_str()), ("change-id", "00000000000000ab")];
        let a = fleet.admin_request(3, Method::PUT, "/v1/config", &h, &config_tree(FleetSpec::SMALL, 1, &[])).await?;
        let b = fleet.admin_request(4, Method::PUT, "/v1/config", &h, &config_tree(FleetSpec::SMALL, 1, &[])).await?;
        ensure(a.0 == 200 && a == b, format!("{a:?} {b:?}"))?;
        let c = fleet.admin_request(4, Method::PUT, "/v1/config", &h, &config_tree(FleetSpec::SMALL, 2, &[])).await?;
        ensure(c.0 == 409, format!("another body under the same id: {c:?}"))?;
        let l = fleet.admin_request(4, Method::GET, "/v1/changes/00000000000000ab", &[], "").await?;
        ensure(l.1.contains("decided"), format!("{l:?}"))?;
        let l = fleet.admin_request(4, Method::GET, "/v1/changes/00000000000000ac?base=1", &[], "").await?;
        ensure(l.1.contains("lost"), format!("{l:?}"))?;
        let e = fleet.admin_request(4, Method::GET, "/v1/effective/tenants/t0", &[], "").await?;
        ensure(e.1.contains("\"calls\":120") && e.1.contains("\"weight\":3"), format!("{e:?}"))
    });
}

#[test]
fn invalid_frames_on_the_peer_port_are_counted_and_harm_nobody() {
    run_trial(async {
        let (fleet, _workers, _log) = small().await?;
        let mut r = sumacvale_core::base::Rng::new(1);
        for k in 0..60u32 {
            let mut s = tokio::net::TcpStream::connect(fleet.nodes[(k % 5) as usize].peer())
                .await
                .map_err(|e| e.to_string())?;
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
            n += fleet.metrics(i).await.get("sumacvale_peer_invalid_frames_total").unwrap_or(0);
        }
        ensure(n == 60, format!("{n} of 60 counted"))?;
        fleet.wait_until_ready(Duration::from_secs(2)).await?;
        apply_config(&fleet, 4, &config_tree(FleetSpec::SMALL, 1, &[])).await.map(|_| ())
    });
}

#[test]
fn failing_workers_run_nothing_twice_and_hide_no_run() {
    run_trial(async {
        let (fleet, workers, log) = small().await?;
        let mut all = Vec::new();
        let mut n = 0;
        // Every worker of a pool behaves alike, so that a second try meets the same.
        type Case = (&'static str, WorkerMode, &'static str, fn(&ClientObservation) -> bool);
        let cases: [Case; 7] = [
            ("well", WorkerMode::Healthy, "/v1/draft", |s| *s == ClientObservation::Complete),
            ("cut, resumed", WorkerMode::Truncate(5), "/v1/draft", |s| {
                matches!(s, ClientObservation::Complete | ClientObservation::Truncated { .. })
            }),
            ("cut, not to be resumed", WorkerMode::Truncate(5), "/v1/chat", |s| {
                matches!(s, ClientObservation::Truncated { events: 5 })
            }),
            ("cut at the first piece", WorkerMode::Truncate(0), "/v1/chat", |s| {
                matches!(s, ClientObservation::Truncated { events: 0 })
            }),
            ("cut before anything could be resumed", WorkerMode::Truncate(0), "/v1/draft", |s| {
                matches!(s, ClientObservation::Truncated { events: 0 })
            }),
            (
                "mute",
                WorkerMode::NoResponse,
                "/v1/chat",
                |s| matches!(s, ClientObservation::Refused { status: 502, ran, .. } if ran == "unknown"),
            ),
            ("well again", WorkerMode::Healthy, "/v1/chat", |s| *s == ClientObservation::Complete),
        ];
        for (name, mode, path, ok) in cases {
            // Some first tries earn second ones.
            for _ in 0..20 {
                n += 1;
                let record =
                    client(&fleet, "/v1/confirm", 1).call(&fleet.nodes[3].front(), &format!("e{n}"), "x").await;
                ensure(record.observation == ClientObservation::Complete, format!("{name}: {:?}", record.observation))?;
                all.push(record);
            }
            for w in &workers[..3] {
                w.set_mode(mode);
            }
            for _ in 0..3 {
                n += 1;
                // A worker that failed is left out until it reports anew.
                let record = loop {
                    let record = client(&fleet, path, 0).call(&fleet.nodes[3].front(), &format!("c{n}"), "x").await;
                    if !matches!(&record.observation, ClientObservation::Refused { code, .. } if code == "full") {
                        break record;
                    }
                };
                ensure(ok(&record.observation), format!("{name}: {:?}", record.observation))?;
                all.push(record);
            }
        }
        let resumed = fleet.metrics(3).await.get("sumacvale_streams_resumed_total").unwrap_or(0);
        ensure(resumed > 0, "nothing was resumed")?;
        // A whole pool goes dark in the middle of its runs.
        let c = client(&fleet, "/v1/draft", 0);
        let at = fleet.nodes[3].front();
        let call = c.call(&at, "dark", "x");
        tokio::pin!(call);
        let crash = async {
            while !log.runs().iter().any(|r| r.call == "dark") {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            for w in &workers[..3] {
                w.crash();
            }
        };
        let (record, ()) = tokio::join!(&mut call, crash);
        let dark = matches!(&record.observation, ClientObservation::Truncated { .. })
            || matches!(&record.observation, ClientObservation::Refused { ran, .. } if ran == "unknown");
        ensure(dark, format!("dark: {:?}", record.observation))?;
        all.push(record);
        wait_for_workers(&fleet, 2).await?;
        let bad = judge(&all, &log.runs(), None);
        ensure(bad.is_empty(), format!("{bad:?}"))
    });
}

#[test]
fn cores_are_replaced_one_by_one_by_empty_machines() {
    run_trial(async {
        let (mut fleet, _workers, _log) = small().await?;
        let mut last = fleet.version(3).await.unwrap_or(0);
        for i in 0..3 {
            let gone = fleet.nodes[i].peer();
            fleet.kill(i).await;
            fleet.replace_machine(i);
            fleet.start(i).map_err(|e| e.to_string())?;
            fleet.wait_until_ready(Duration::from_secs(12)).await?;
            let me = fleet.nodes[i].peer();
            let t = Instant::now();
            loop {
                let (_, nodes) = fleet.admin_request(4, Method::GET, "/v1/nodes", &[], "").await?;
                let (_, cores) = fleet.admin_request(4, Method::GET, "/v1/cores", &[], "").await?;
                let v = fleet.version(4).await.unwrap_or(0);
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
                    let (s, b) =
                        fleet.admin_request(4, Method::PUT, "/v1/cores", &[("if-match", tag.as_str())], &body).await?;
                    if s == 200 {
                        break;
                    }
                    ensure(t.elapsed() < Duration::from_secs(12), format!("{s} {b}"))?;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            let v = apply_config(&fleet, 3, &config_tree(FleetSpec::SMALL, i + 1, &[])).await?;
            ensure(v > last, format!("version {v} after {last}"))?;
            last = v;
            fleet.wait_for_version(v, Duration::from_secs(2)).await?;
        }
        // The new ones carry the fleet: one of them may go as well.
        fleet.kill(1).await;
        let v = apply_config(&fleet, 3, &config_tree(FleetSpec::SMALL, 9, &[])).await?;
        ensure(v > last, "no change with one of the new cores gone")?;
        // All go at once and come back with what was acknowledged.
        fleet.kill(0).await;
        fleet.kill(2).await;
        for i in 0..3 {
            fleet.start(i).map_err(|e| e.to_string())?;
        }
        let t = fleet.wait_until_ready(Duration::from_secs(12)).await?;
        println!("all cores back after {} ms", t.as_millis());
        ensure(fleet.version(0).await == Some(v) && fleet.version(3).await == Some(v), "the last version is not back")?;
        let t = Instant::now();
        loop {
            let record = client(&fleet, "/v1/chat", 0).call(&fleet.nodes[4].front(), "after", "x").await;
            if record.observation == ClientObservation::Complete {
                println!("serving again after {} ms", t.elapsed().as_millis());
                return Ok(());
            }
            ensure(t.elapsed() < Duration::from_secs(12), format!("{:?}", record.observation))?;
        }
    });
}

#[test]
fn a_frozen_front_admits_nothing_by_stale_state_once_it_continues() {
    run_trial(async {
        let (fleet, _workers, log) = small().await?;
        // A call lies in its sockets while it sleeps, and its key is withdrawn meanwhile.
        fleet.freeze(4).await?;
        let c = client(&fleet, "/v1/chat", 1);
        let at = fleet.nodes[4].front();
        let sleeper = tokio::spawn(async move { c.call(&at, "slept", "x").await });
        apply_config(&fleet, 3, &config_tree(FleetSpec::SMALL, 1, &[1])).await?;
        let t = Instant::now();
        tokio::time::sleep_until((t + Duration::from_millis(5_050)).into()).await;
        fleet.signal(4, libc::SIGCONT);
        let record = sleeper.await.map_err(|e| e.to_string())?;
        let slept = format!("{:?} {} ms after it was sent", record.observation, record.total.as_millis());
        ensure(matches!(record.observation, ClientObservation::Refused { status: 401 | 503, .. }), slept)?;
        ensure(log.runs().is_empty(), "the call ran")?;
        fleet.wait_until_ready(Duration::from_secs(12)).await?;
        let record = client(&fleet, "/v1/chat", 0).call(&fleet.nodes[4].front(), "awake", "x").await;
        ensure(record.observation == ClientObservation::Complete, format!("{:?}", record.observation))
    });
}

#[test]
fn without_a_majority_no_change_commits_and_soon_no_call_is_admitted() {
    run_trial(async {
        let (fleet, _workers, _log) = small().await?;
        fleet.freeze(1).await?;
        fleet.freeze(2).await?;
        let v = fleet.version(3).await.unwrap_or(0);
        let tag = format!("\"{v}\"");
        let h = [("if-match", tag.as_str()), ("change-id", "00000000000000cd")];
        let (s, b) =
            fleet.admin_request(3, Method::PUT, "/v1/config", &h, &config_tree(FleetSpec::SMALL, 1, &[])).await?;
        ensure(matches!(s, 503 | 504), format!("{s} {b}"))?;
        let t = Instant::now();
        loop {
            let record = client(&fleet, "/v1/chat", 0)
                .call(&fleet.nodes[3].front(), &format!("m{}", t.elapsed().as_micros()), "x")
                .await;
            if matches!(&record.observation, ClientObservation::Refused { status: 503, code, has_retry_after: true, .. } if code == "stale")
            {
                break;
            }
            ensure(t.elapsed() < Duration::from_secs(5), format!("still {:?}", record.observation))?;
        }
        ensure(!fleet.is_ready(3).await, "ready without freshness")?;
        fleet.signal(1, libc::SIGCONT);
        fleet.signal(2, libc::SIGCONT);
        let t = fleet.wait_until_ready(Duration::from_secs(12)).await?;
        println!("fresh again after {} ms", t.as_millis());
        let (s, b) =
            fleet.admin_request(4, Method::PUT, "/v1/config", &h, &config_tree(FleetSpec::SMALL, 1, &[])).await?;
        ensure(s == 200 || s == 412, format!("{s} {b}"))?;
        let (_, l) =
            fleet.admin_request(4, Method::GET, &format!("/v1/changes/00000000000000cd?base={v}"), &[], "").await?;
        ensure(l.contains(if s == 200 { "decided" } else { "lost" }), l)
    });
}

#[test]
fn quotas_hold_over_all_fronts_and_refuse_nothing_within_them() {
    run_trial(async {
        let body = config_tree(FleetSpec::SMALL, 0, &[]).replace("\"calls\":120", "\"calls\":40");
        let (fleet, _workers, log) = start_fleet(FleetSpec::SMALL, &body).await?;
        let fronts = [fleet.nodes[3].front(), fleet.nodes[4].front()];
        // Within: 25 a second of 40, through both fronts.
        let mut set = tokio::task::JoinSet::new();
        let mut t = tokio::time::interval(Duration::from_millis(40));
        for n in 0..75 {
            t.tick().await;
            let (c, at) = (client(&fleet, "/v1/confirm", 0), fronts[n % 2].clone());
            set.spawn(async move { c.call(&at, &format!("in{n}"), "x").await });
        }
        while let Some(record) = set.join_next().await {
            let record = record.map_err(|e| e.to_string())?;
            ensure(
                record.observation == ClientObservation::Complete,
                format!("within its quota: {:?}", record.observation),
            )?;
        }
        // Beyond: far more than the quota at once, for three windows.
        let begin = Instant::now();
        let mut t = tokio::time::interval(Duration::from_millis(5));
        let mut refused = 0;
        for n in 0..600 {
            t.tick().await;
            let (c, at) = (client(&fleet, "/v1/confirm", 1), fronts[n % 2].clone());
            set.spawn(async move { c.call(&at, &format!("over{n}"), "x").await });
        }
        while let Some(record) = set.join_next().await {
            let record = record.map_err(|e| e.to_string())?;
            match &record.observation {
                ClientObservation::Refused { status: 429, has_retry_after: true, .. } => refused += 1,
                ClientObservation::Complete => {}
                s => return Err(format!("{s:?}")),
            }
        }
        let ran = log.runs().iter().filter(|r| r.call.starts_with("over")).count();
        let windows = usize::try_from(begin.elapsed().as_secs()).unwrap_or(3) + 2;
        ensure(ran <= 40 * windows && refused > 0, format!("{ran} ran in {windows} windows, {refused} refused"))?;
        let mut by = std::collections::BTreeMap::new();
        for r in log.runs() {
            *by.entry((r.tenant, r.quota_window)).or_insert(0) += 1;
        }
        ensure(by.values().all(|n| *n <= 40), format!("more than 40 in one window: {by:?}"))?;
        ensure(ran >= 100, format!("only {ran} of 120 and more were let through"))?;
        let bad = judge(&[], &log.runs(), None);
        ensure(bad.is_empty(), format!("{bad:?}"))
    });
}

#[test]
fn a_core_with_a_full_disk_does_not_vote_until_there_is_room() {
    run_trial(async {
        let (mut fleet, _workers, _log) = small().await?;
        // Nothing can be written at all, not even the log: the core still learns.
        fleet.limit_file_size(0, Some(0));
        let v = apply_config(&fleet, 4, &config_tree(FleetSpec::SMALL, 9, &[])).await?;
        fleet.wait_for_version(v, Duration::from_secs(2)).await?;
        fleet.limit_file_size(0, None);
        let t = Instant::now();
        while !fleet.log_text(0).contains("the disk takes writes again") {
            ensure(t.elapsed() < Duration::from_secs(5), "the disk is not used again")?;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        fleet.limit_file_size(0, Some(fleet.wal_bytes(0)));
        // Now its log has room and its data has none. The other two carry changes and quotas on.
        for n in 1..4 {
            let v = apply_config(&fleet, 3 + n % 2, &config_tree(FleetSpec::SMALL, n, &[])).await?;
            fleet.wait_for_version(v, Duration::from_secs(2)).await?;
            let record = client(&fleet, "/v1/chat", 0).call(&fleet.nodes[3].front(), &format!("f{n}"), "x").await;
            ensure(record.observation == ClientObservation::Complete, format!("{:?}", record.observation))?;
        }
        let t = Instant::now();
        loop {
            let n = fleet.metrics(0).await.get("sumacvale_disk_errors_total").unwrap_or(0);
            if n > 0 {
                break;
            }
            ensure(t.elapsed() < Duration::from_secs(5), "no trouble was counted")?;
        }
        ensure(fleet.log_text(0).contains("the disk takes no writes"), "no trouble was logged")?;
        // With another core gone no majority can write: nothing is accepted.
        fleet.kill(1).await;
        let v = fleet.version(3).await.unwrap_or(0);
        let tag = format!("\"{v}\"");
        let (s, b) = fleet
            .admin_request(
                3,
                Method::PUT,
                "/v1/config",
                &[("if-match", tag.as_str())],
                &config_tree(FleetSpec::SMALL, 5, &[]),
            )
            .await?;
        ensure(matches!(s, 503 | 504), format!("{s} {b}"))?;
        fleet.limit_file_size(0, None);
        let t = Instant::now();
        while apply_config(&fleet, 3, &config_tree(FleetSpec::SMALL, 6, &[])).await.is_err() {
            ensure(t.elapsed() < Duration::from_secs(12), "no change is accepted with room again")?;
        }
        println!("changes again {} ms after there was room", t.elapsed().as_millis());
        ensure(fleet.log_text(0).contains("the disk takes writes again"), "the end of the trouble was not logged")
    });
}

#[test]
fn drained_workers_get_no_calls_and_drained_nodes_are_not_ready() {
    run_trial(async {
        let (fleet, workers, log) = small().await?;
        let body =
            config_tree(FleetSpec::SMALL, 0, &[]).replace("\"llm\":{}", "\"llm\":{\"drain\":[\"llm0\",\"llm2\"]}");
        let v = apply_config(&fleet, 3, &body).await?;
        fleet.wait_for_version(v, Duration::from_secs(2)).await?;
        for n in 0..20 {
            let at = fleet.nodes[3 + n % 2].front();
            let record = client(&fleet, "/v1/chat", 0).call(&at, &format!("d{n}"), &format!("prefix {n}|")).await;
            ensure(record.observation == ClientObservation::Complete, format!("{:?}", record.observation))?;
        }
        ensure(log.runs().iter().all(|r| r.worker == workers[1].id()), "a drained worker got a call")?;
        ensure(fleet.admin_request(4, Method::POST, "/v1/drain", &[], "").await?.0 == 200, "no drain")?;
        ensure(!fleet.is_ready(4).await, "ready while drained")?;
        let record = client(&fleet, "/v1/chat", 0).call(&fleet.nodes[4].front(), "still", "x").await;
        ensure(
            record.observation == ClientObservation::Complete,
            format!("a drained node serves on: {:?}", record.observation),
        )?;
        ensure(fleet.admin_request(4, Method::DELETE, "/v1/drain", &[], "").await?.0 == 200, "no return")?;
        ensure(fleet.is_ready(4).await, "not ready again")
    });
}

/// A crowd of several times what the workers can do, most of it one tenant's drafts.
#[test]
fn an_overload_leaves_small_tenants_their_share_and_is_rejected_at_once() {
    run_trial(async {
        let body = config_tree(FleetSpec::SMALL, 0, &[]).replace("\"calls\":120", "\"calls\":100000");
        let (fleet, _workers, log) = start_fleet(FleetSpec::SMALL, &body).await?;
        let fronts = [fleet.nodes[3].front(), fleet.nodes[4].front()];
        // Three workers of 16 places and 410 ms for a draft: about 117 drafts a second.
        let mut set = tokio::task::JoinSet::new();
        let mut t = tokio::time::interval(Duration::from_millis(10));
        let begin = Instant::now();
        for n in 0..300usize {
            t.tick().await;
            for k in 0..4 {
                let (c, at) = (client(&fleet, "/v1/draft", 0), fronts[(n + k) % 2].clone());
                let id = format!("big{n}-{k}");
                set.spawn(async move { c.call(&at, &id, &format!("same prefix for all, the hot one|{n}")).await });
            }
            if n % 5 == 0 {
                let (c, at) = (client(&fleet, "/v1/chat", 1), fronts[n % 2].clone());
                set.spawn(async move { c.call(&at, &format!("small{n}"), "another").await });
                let (c, at) = (client(&fleet, "/v1/confirm", 1), fronts[n % 2].clone());
                set.spawn(async move { c.call(&at, &format!("quick{n}"), "x").await });
            }
        }
        let crowd = begin.elapsed();
        let mut all = Vec::new();
        while let Some(record) = set.join_next().await {
            all.push(record.map_err(|e| e.to_string())?);
        }
        let of = |p: &str| all.iter().filter(|record| record.call.starts_with(p)).collect::<Vec<_>>();
        let whole = |v: &[&sumacvale_testbed::standin::ClientRecord]| {
            v.iter().filter(|record| record.observation == ClientObservation::Complete).count()
        };
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
        let refusals = |calls: &[&sumacvale_testbed::standin::ClientRecord]| {
            calls
                .iter()
                .filter(|record| record.observation != ClientObservation::Complete)
                .map(|record| {
                    format!(
                        "{} at {} ms after {} ms: {:?}",
                        record.call,
                        (record.sent_at - begin).as_millis(),
                        record.total.as_millis(),
                        record.observation
                    )
                })
                .collect::<Vec<_>>()
                .join("\n")
        };
        println!("chats and lookups that were not served:\n{}\n{}", refusals(&small), refusals(&quick));
        ensure(goodput > 70.0, format!("goodput {goodput}"))?;
        ensure(whole(&small) * 100 >= small.len() * 95, format!("chats {} of {}", whole(&small), small.len()))?;
        ensure(whole(&quick) == quick.len(), format!("lookups {} of {}", whole(&quick), quick.len()))?;
        let mut first: Vec<_> = quick.iter().map(|record| record.first_byte).collect();
        first.sort_unstable();
        ensure(
            first[first.len() * 9 / 10] < Duration::from_millis(150),
            format!("lookups at {:?}", first[first.len() * 9 / 10]),
        )?;
        let mut backs = std::collections::BTreeSet::new();
        let mut late = 0;
        for record in &all {
            match &record.observation {
                ClientObservation::Complete => {}
                // A machine that is loaded with other work may keep a holder's word for a while.
                ClientObservation::Refused { status: 503, code, has_retry_after: true, .. }
                    if code == "quota_unsettled" =>
                {
                    late += 1;
                }
                ClientObservation::Refused { status: 503, code, has_retry_after: true, ran }
                    if code == "full" || code == "worker_full" =>
                {
                    ensure(ran == "no" && record.total < Duration::from_millis(2_600), format!("{record:?}"))?;
                    backs.insert(record.retry_after_ms);
                }
                s => return Err(format!("{}: {s:?}", record.call)),
            }
        }
        ensure(late * 20 < all.len(), format!("{late} calls without a word on their quota"))?;
        ensure(backs.len() > 50, format!("{} different times to return", backs.len()))?;
        let bad = judge(&all, &log.runs(), None);
        ensure(bad.iter().all(|b| b.0.contains("calls ran in window")), format!("{bad:?}"))
    });
}

#[test]
fn without_a_token_the_admin_api_and_the_logs_reveal_nothing() {
    run_trial(async {
        let (fleet, _workers, _log) = small().await?;
        for p in ["/v1/config", "/v1/nodes", "/v1/workers", "/v1/beliefs", "/v1/history", "/v1/cores"] {
            let u = format!("http://{}{p}", fleet.nodes[3].admin());
            let r = send_request(&fleet.http, Method::GET, &u, &[], "").await?;
            ensure(r.status() == 401, format!("{p}: {}", r.status()))?;
        }
        for i in 0..5 {
            let l = fleet.log_text(i);
            for secret in ["operator-token", "worker-token", &tenant_key(0), &sha256_hex(tenant_key(0).as_bytes())] {
                ensure(!l.contains(secret), format!("the log of node {i} holds {secret}"))?;
            }
        }
        Ok(())
    });
}
