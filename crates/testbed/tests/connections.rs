//! Wires that break, processes that die while they write, and what comes on the wire itself.

// The locals of these long scripts have short names yet, see the roadmap.
#![allow(clippy::many_single_char_names)]

use hyper::Method;
use std::time::{Duration, Instant};
use sumacvale_core::base::Rng;
use sumacvale_testbed::fleet::{
    Fleet, FleetSpec, apply_config, client, config_tree, ensure, judge, run_trial, start_fleet, tenant_key,
    wait_for_workers,
};
use sumacvale_testbed::standin::{ClientObservation, LinkState, Relay, StandInWorker, WorkerLog, start_raw_worker};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends one call on a connection and reads until `end` or the close.
async fn talk(s: &mut TcpStream, path: &str, version: &str, body: &str, end: &str) -> Result<String, String> {
    let k = tenant_key(0);
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
fn a_body_ended_by_the_close_is_truncated_and_no_response_is_lost_while_stopping() {
    run_trial(async {
        let more = "\"app\":{},\"bare\":{},\"events\":{}";
        let ms = "\"matches\":{\"bare\":{\"path\":\"/v1/bare/{id}\",\"pool\":\"bare\"},\"events\":{\"path\":\"/v1/events\",\"pool\":\"events\"},";
        let body = config_tree(FleetSpec::SMALL, 0, &[]).replace("\"app\":{}", more).replace("\"matches\":{", ms);
        let (mut fleet, _workers, _log) = start_fleet(FleetSpec::SMALL, &body).await?;
        let at = |k: u32| format!("{}.{k}:7300", fleet.net).parse().map_err(|_| "no address".to_owned());
        let bare = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{\"half\":";
        let events = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 0\ndata: a\n\n";
        for (id, pool, at, say) in [("b", "bare", at(240)?, &bare[..]), ("e", "events", at(241)?, &events[..])] {
            start_raw_worker(id, pool, at, say, fleet.nodes[3].admin(), fleet.http.clone())
                .await
                .map_err(|e| e.to_string())?;
        }
        wait_for_workers(&fleet, 7).await?;
        let front = fleet.nodes[3].front();
        let open = async || TcpStream::connect(&front).await.map_err(|e| e.to_string());
        for (path, part) in [("/v1/bare/7", "half"), ("/v1/events", "data: a")] {
            let t = talk(&mut open().await?, path, "1.1", "{\"prompt\":\"x\"}", "").await?;
            let ok =
                t.contains(part) && t.to_lowercase().contains("transfer-encoding: chunked") && !t.contains("\r\n0\r\n");
            ensure(ok, format!("{path} must not look whole: {t}"))?;
        }
        let t = talk(&mut open().await?, "/v1/chat", "1.0", "{\"prompt\":\"x\"}", "").await?;
        ensure(t.contains(" 505 ") && t.contains("\"ran\":\"no\""), t)?;
        // A connection that is kept: the next call on it is answered while the node stops.
        let mut s = open().await?;
        let whole = "\"ok\":true}";
        let t = talk(&mut s, "/v1/confirm", "1.1", "{\"prompt\":\"x\"}", whole).await?;
        ensure(t.contains(" 200 ") && !t.to_lowercase().contains("connection: close"), t)?;
        fleet.signal(3, libc::SIGTERM);
        let begin = Instant::now();
        while fleet.is_ready(3).await {
            ensure(begin.elapsed() < Duration::from_secs(2), "ready while stopping")?;
        }
        let t = talk(&mut s, "/v1/confirm", "1.1", "{\"prompt\":\"x\"}", whole).await?;
        ensure(t.contains(" 200 ") && t.to_lowercase().contains("connection: close"), t)?;
        // A long one that was read before the listener closed is finished.
        let c = client(&fleet, "/v1/draft", 0);
        let record = c.call(&front, "last", "x").await;
        ensure(record.observation == ClientObservation::Complete, format!("{:?}", record.observation))?;
        ensure(fleet.wait_for_exit(3).await == Some(0), "no clean end")
    });
}

#[test]
fn calls_survive_links_to_workers_that_are_cut_stalled_or_half_open() {
    run_trial(async {
        let body = config_tree(FleetSpec::SMALL, 0, &[])
            .replace("\"prefix_chars\":32", "\"prefix_chars\":32,\"first_ms\":900,\"idle_ms\":900");
        let (fleet, workers, log) = start_fleet(FleetSpec::SMALL, &body).await?;
        let mut relays = Vec::new();
        for (k, w) in workers.iter().enumerate() {
            let at = format!("{}.{}:7400", fleet.net, 200 + k).parse().map_err(|_| "no address")?;
            let r = Relay::start(at, w.addr()).await.map_err(|e| e.to_string())?;
            w.report_addr(r.addr);
            relays.push(r);
        }
        let t = Instant::now();
        loop {
            let (_, s) = fleet.admin_request(3, Method::GET, "/v1/workers", &[], "").await?;
            let (_, u) = fleet.admin_request(4, Method::GET, "/v1/workers", &[], "").await?;
            if !s.contains(":7200") && !u.contains(":7200") && s.matches(":7400").count() == workers.len() {
                break;
            }
            ensure(t.elapsed() < Duration::from_secs(5), s)?;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // Whole responses are counted as such, also those whose length is announced.
        for n in 0..6 {
            let path = ["/v1/confirm", "/v1/chat"][n % 2];
            let record = client(&fleet, path, 0).call(&fleet.nodes[3].front(), &format!("s{n}"), "x").await;
            ensure(record.observation == ClientObservation::Complete, format!("{:?}", record.observation))?;
        }
        let m = fleet.metrics(3).await;
        let count = |name: &str| m.get(name).unwrap_or(0);
        ensure(count("sumacvale_served_total") == 6 && count("sumacvale_clients_gone_total") == 0, format!("{m:?}"))?;
        let (_, t) = fleet.admin_request(3, Method::GET, "/metrics", &[], "").await?;
        let p = prometheus_parse::Scrape::parse(t.lines().map(|l| Ok(l.to_owned()))).map_err(|e| e.to_string())?;
        let first = |kind: &str| {
            p.samples.iter().find_map(|s| match &s.value {
                prometheus_parse::Value::Histogram(h) if s.metric == "sumacvale_time_to_first_byte_seconds" => {
                    (s.labels.get("kind") == Some(kind)).then(|| h.last().map_or(0.0, |b| b.count))
                }
                _ => None,
            })
        };
        ensure(first("lookup") == Some(3.0) && first("chat") == Some(3.0), t.clone())?;
        ensure(
            p.docs.len() > 40 && p.samples.len() > 60,
            format!("{} texts, {} samples", p.docs.len(), p.samples.len()),
        )?;
        let mut all = Vec::new();
        let mut set = tokio::task::JoinSet::new();
        let mut n = 0;
        for wire in [
            LinkState::Healthy,
            LinkState::Stalled,
            LinkState::Healthy,
            LinkState::Cut,
            LinkState::Healthy,
            LinkState::HalfOpen,
            LinkState::Healthy,
        ] {
            for r in &relays {
                r.set(wire);
            }
            let mut t = tokio::time::interval(Duration::from_millis(8));
            for _ in 0..80 {
                t.tick().await;
                n += 1;
                let path = ["/v1/confirm", "/v1/book", "/v1/chat", "/v1/draft"][n % 4];
                let (c, at) = (client(&fleet, path, 0), fleet.nodes[3 + n % 2].front());
                set.spawn(async move { c.call(&at, &format!("w{n}"), &format!("prefix {}|", n % 7)).await });
            }
        }
        while let Some(record) = set.join_next().await {
            all.push(record.map_err(|e| e.to_string())?);
        }
        for record in all.iter().filter(|record| matches!(record.observation, ClientObservation::Violation(_))) {
            println!("{record:?}");
            for i in 3..5 {
                let m = fleet.metrics(i).await;
                println!("{:?}", m.iter().filter(|x| x.1 > 0).collect::<Vec<_>>());
            }
        }
        let of = |f: fn(&ClientObservation) -> bool| all.iter().filter(|record| f(&record.observation)).count();
        let (whole, broken) =
            (of(|s| *s == ClientObservation::Complete), of(|s| matches!(s, ClientObservation::Truncated { .. })));
        let unknown = of(|s| matches!(s, ClientObservation::Refused { ran, .. } if ran == "unknown"));
        println!("{whole} whole, {broken} broken off, {unknown} of which nobody knows, of {}", all.len());
        ensure(whole > 150 && broken > 0 && unknown > 0, "the wires were not in trouble")?;
        let bad = judge(&all, &log.runs(), None);
        ensure(bad.is_empty(), format!("{bad:?}"))?;
        // Whole again: every worker serves.
        let t = Instant::now();
        loop {
            let record = client(&fleet, "/v1/chat", 0)
                .call(&fleet.nodes[3].front(), &format!("z{}", t.elapsed().as_micros()), "x")
                .await;
            if record.observation == ClientObservation::Complete {
                return Ok(());
            }
            ensure(t.elapsed() < Duration::from_secs(12), format!("{:?}", record.observation))?;
        }
    });
}

/// Cores die while they write; whatever was acknowledged is there after it.
#[test]
fn acknowledged_changes_survive_cores_killed_at_any_point_and_all_at_once() {
    run_trial(async {
        let (mut fleet, _workers, _log): (Fleet, Vec<StandInWorker>, WorkerLog) =
            start_fleet(FleetSpec::SMALL, &config_tree(FleetSpec::SMALL, 0, &[])).await?;
        let mut r = Rng::new(5);
        let mut acked = fleet.version(3).await.unwrap_or(0);
        for n in 1..=12usize {
            let i = n % 3;
            let body = config_tree(FleetSpec::SMALL, n, &[]);
            let after = Duration::from_micros(r.below(9_000));
            let (got, ()) = {
                let put = apply_config(&fleet, 3 + n % 2, &body);
                let kill = async {
                    tokio::time::sleep(after).await;
                    fleet.signal(i, libc::SIGKILL);
                };
                tokio::join!(put, kill)
            };
            fleet.wait_for_exit(i).await;
            if let Ok(v) = got {
                ensure(v > acked, format!("version {v} after {acked}"))?;
                acked = v;
            }
            fleet.start(i).map_err(|e| e.to_string())?;
            // The next one may go while this one comes back.
            if n % 4 == 0 {
                fleet.wait_until_ready(Duration::from_secs(12)).await?;
                fleet.wait_for_version(acked, Duration::from_secs(2)).await?;
            }
        }
        for i in 0..5 {
            fleet.signal(i, libc::SIGKILL);
        }
        for i in 0..5 {
            fleet.wait_for_exit(i).await;
            fleet.start(i).map_err(|e| e.to_string())?;
        }
        let t = fleet.wait_until_ready(Duration::from_secs(12)).await?;
        println!("all five back after {} ms", t.as_millis());
        for i in 0..5 {
            let v = fleet.version(i).await.unwrap_or(0);
            ensure(v >= acked, format!("node {i} is at {v}, {acked} was acknowledged"))?;
        }
        let v = apply_config(&fleet, 3, &config_tree(FleetSpec::SMALL, 20, &[])).await?;
        ensure(v > acked, "an older version")
    });
}

/// Thousands of matches come with one change; calls go on meanwhile.
#[test]
fn calls_continue_while_a_configuration_grows_by_thousands_of_matches() {
    run_trial(async {
        let (fleet, _workers, log) = start_fleet(FleetSpec::SMALL, &config_tree(FleetSpec::SMALL, 0, &[])).await?;
        let mut set = tokio::task::JoinSet::new();
        let (tx, rx) = tokio::sync::watch::channel(false);
        for k in 0..2 {
            let (c, at, rx) = (client(&fleet, "/v1/confirm", 0), fleet.nodes[3 + k].front(), rx.clone());
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
            let v = apply_config(&fleet, 4, &config_tree(FleetSpec::SMALL, n, &[])).await?;
            let acked = t.elapsed();
            let s = fleet.wait_for_version(v, Duration::from_secs(2)).await?;
            println!("{n} matches: acknowledged after {} ms, everywhere {} ms later", acked.as_millis(), s.as_millis());
        }
        let _ = tx.send(true);
        let mut all = Vec::new();
        while let Some(v) = set.join_next().await {
            all.extend(v.map_err(|e| e.to_string())?);
        }
        let bad: Vec<_> = all.iter().filter(|record| record.observation != ClientObservation::Complete).collect();
        ensure(bad.is_empty() && all.len() > 20, format!("{} calls, {bad:?}", all.len()))?;
        let bad = judge(&all, &log.runs(), None);
        ensure(bad.is_empty(), format!("{bad:?}"))
    });
}
