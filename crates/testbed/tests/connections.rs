//! Network faults between fronts and workers, processes that are killed while they write, and the exact
//! bytes of HTTP responses.

#![allow(clippy::many_single_char_names)]

use hyper::Method;
use prometheus_parse::{Scrape, Value};
use std::time::{Duration, Instant};
use sumacvale_core::base::Rng;
use sumacvale_testbed::fleet::{
    Fleet, FleetSpec, apply_config, check_invariants, client, config_tree, ensure, run_async_test, start_fleet,
    tenant_key, wait_for_workers,
};
use sumacvale_testbed::standin::{
    ClientObservation, ConnectionEnd, LinkState, RawResponse, Relay, StandInWorker, WorkerLog, start_raw_worker,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends one call on a connection. Returns what was received until `end` or until the close.
async fn exchange(stream: &mut TcpStream, path: &str, version: &str, body: &str, end: &str) -> Result<String, String> {
    let key = tenant_key(0);
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/{version}\r\nhost: x\r\nauthorization: Bearer {key}\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all((head + body).as_bytes()).await.map_err(|error| error.to_string())?;
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    let read = async {
        loop {
            match stream.read(&mut buffer).await {
                Ok(length) if length > 0 => received.extend_from_slice(&buffer[..length]),
                _ => break,
            }
            if !end.is_empty() && String::from_utf8_lossy(&received).contains(end) {
                break;
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(8), read)
        .await
        .map_err(|_| "no complete response within 8 s".to_owned())?;
    Ok(String::from_utf8_lossy(&received).into_owned())
}

/// Guards against three faults: a body that ends with its connection is cut, a reset one looks complete, and a call on
/// an open connection of a stopping front gets no response.
#[test]
fn a_body_without_a_length_ends_as_its_connection_does_and_a_stopping_front_loses_no_response() {
    run_async_test(async {
        let paths = ["/v1/bare", "/v1/events", "/v1/bare-reset", "/v1/events-reset"];
        let pools: String = (0..paths.len()).map(|index| format!(",\"raw{index}\":{{}}")).collect();
        let matches: String = (0..paths.len())
            .map(|index| format!("\"raw{index}\":{{\"path\":\"{}\",\"pool\":\"raw{index}\"}},", paths[index]))
            .collect();
        let body = config_tree(FleetSpec::SMALL, 0, &[])
            .replace("\"app\":{}", &format!("\"app\":{{}}{pools}"))
            .replace("\"matches\":{", &format!("\"matches\":{{{matches}"));
        let (mut fleet, _workers, _log) = start_fleet(FleetSpec::SMALL, &body).await?;
        let address = |host: u32| format!("{}.{host}:7300", fleet.subnet).parse().map_err(|_| "no address".to_owned());
        let bare = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{\"half\":";
        let events = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 0\ndata: a\n\n";
        let responses = [
            RawResponse { bytes: bare, end: ConnectionEnd::Close },
            RawResponse { bytes: events, end: ConnectionEnd::Close },
            RawResponse { bytes: bare, end: ConnectionEnd::Reset },
            RawResponse { bytes: events, end: ConnectionEnd::Reset },
        ];
        for (host, (index, response)) in (240..).zip(responses.into_iter().enumerate()) {
            let (id, listen) = (format!("raw{index}"), address(host)?);
            start_raw_worker(&id, &id, listen, response, fleet.nodes[3].admin(), fleet.http.clone())
                .await
                .map_err(|error| error.to_string())?;
        }
        wait_for_workers(&fleet, 9).await?;
        let front = fleet.nodes[3].front();
        let connect = async || TcpStream::connect(&front).await.map_err(|error| error.to_string());
        for (path, response) in paths.into_iter().zip(responses) {
            let received = exchange(&mut connect().await?, path, "1.1", "{\"prompt\":\"x\"}", "\r\n0\r\n").await?;
            let has_body = received.contains(if response.bytes == bare { "half" } else { "data: a" })
                && received.to_lowercase().contains("transfer-encoding: chunked");
            ensure(has_body, format!("{path}: the body is missing: {received}"))?;
            let is_complete = received.contains("\r\n0\r\n");
            let must_be_complete = response.end == ConnectionEnd::Close;
            ensure(is_complete == must_be_complete, format!("{path}: complete: {is_complete}: {received}"))?;
        }
        let response = exchange(&mut connect().await?, "/v1/chat", "1.0", "{\"prompt\":\"x\"}", "").await?;
        ensure(response.contains(" 505 ") && response.contains("\"ran\":\"no\""), response)?;
        // A kept-alive connection: its next call gets a response while the node is stopping.
        let mut kept_alive = connect().await?;
        let complete_body = "\"ok\":true}";
        let response = exchange(&mut kept_alive, "/v1/confirm", "1.1", "{\"prompt\":\"x\"}", complete_body).await?;
        ensure(response.contains(" 200 ") && !response.to_lowercase().contains("connection: close"), response)?;
        fleet.signal(3, libc::SIGTERM);
        let begin = Instant::now();
        while fleet.is_ready(3).await {
            ensure(begin.elapsed() < Duration::from_secs(2), "the front is still ready 2 s after SIGTERM")?;
        }
        let response = exchange(&mut kept_alive, "/v1/confirm", "1.1", "{\"prompt\":\"x\"}", complete_body).await?;
        ensure(response.contains(" 200 ") && response.to_lowercase().contains("connection: close"), response)?;
        // A long call that was read before the listener closed is completed.
        let draft_client = client(&fleet, "/v1/draft", 0);
        let record = draft_client.call(&front, "last", "x").await;
        ensure(record.observation == ClientObservation::Complete, format!("{:?}", record.observation))?;
        ensure(fleet.wait_for_exit(3).await == Some(0), "the front did not exit with code 0")
    });
}

/// Guards against links that fail in the middle of calls: a call must not run twice, a truncated response
/// must not end as complete, and all workers must serve again once the links are healthy.
#[test]
fn link_faults_break_no_invariant_and_workers_serve_again() {
    run_async_test(async {
        let body = config_tree(FleetSpec::SMALL, 0, &[])
            .replace("\"prefix_chars\":32", "\"prefix_chars\":32,\"first_ms\":900,\"idle_ms\":900");
        let (fleet, workers, log) = start_fleet(FleetSpec::SMALL, &body).await?;
        let mut relays = Vec::new();
        for (index, worker) in workers.iter().enumerate() {
            let listen = format!("{}.{}:7400", fleet.subnet, 200 + index).parse().map_err(|_| "no address")?;
            let relay = Relay::start(listen, worker.addr()).await.map_err(|error| error.to_string())?;
            worker.report_addr(relay.addr);
            relays.push(relay);
        }
        let begin = Instant::now();
        loop {
            let (_, list) = fleet.admin_request(3, Method::GET, "/v1/workers", &[], "").await?;
            let (_, other) = fleet.admin_request(4, Method::GET, "/v1/workers", &[], "").await?;
            if !list.contains(":7200") && !other.contains(":7200") && list.matches(":7400").count() == workers.len() {
                break;
            }
            ensure(begin.elapsed() < Duration::from_secs(5), list)?;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // Complete responses are counted as served, also those with a content-length.
        for number in 0..6 {
            let path = ["/v1/confirm", "/v1/chat"][number % 2];
            let record = client(&fleet, path, 0).call(&fleet.nodes[3].front(), &format!("s{number}"), "x").await;
            ensure(record.observation == ClientObservation::Complete, format!("{:?}", record.observation))?;
        }
        let metrics = fleet.metrics(3).await;
        let get = |name: &str| metrics.get(name).unwrap_or(0);
        ensure(get("sumacvale_served_total") == 6 && get("sumacvale_clients_gone_total") == 0, format!("{metrics:?}"))?;
        let (_, text) = fleet.admin_request(3, Method::GET, "/metrics", &[], "").await?;
        let scrape = Scrape::parse(text.lines().map(|line| Ok(line.to_owned()))).map_err(|error| error.to_string())?;
        let first_byte_count = |kind: &str| {
            scrape.samples.iter().find_map(|sample| match &sample.value {
                Value::Histogram(buckets) if sample.metric == "sumacvale_time_to_first_byte_seconds" => {
                    (sample.labels.get("kind") == Some(kind)).then(|| buckets.last().map_or(0.0, |bucket| bucket.count))
                }
                _ => None,
            })
        };
        ensure(first_byte_count("lookup") == Some(3.0) && first_byte_count("chat") == Some(3.0), text.clone())?;
        ensure(
            scrape.docs.len() > 40 && scrape.samples.len() > 60,
            format!("{} help texts, {} samples", scrape.docs.len(), scrape.samples.len()),
        )?;
        let mut records = Vec::new();
        let mut calls = tokio::task::JoinSet::new();
        let mut seq = 0;
        for state in [
            LinkState::Healthy,
            LinkState::Stalled,
            LinkState::Healthy,
            LinkState::Reset,
            LinkState::Healthy,
            LinkState::HalfOpen,
            LinkState::Healthy,
        ] {
            for relay in &relays {
                relay.set(state);
            }
            let mut interval = tokio::time::interval(Duration::from_millis(8));
            for _ in 0..80 {
                interval.tick().await;
                seq += 1;
                let path = ["/v1/confirm", "/v1/book", "/v1/chat", "/v1/draft"][seq % 4];
                let (client, to) = (client(&fleet, path, 0), fleet.nodes[3 + seq % 2].front());
                calls.spawn(async move { client.call(&to, &format!("w{seq}"), &format!("prefix {}|", seq % 7)).await });
            }
        }
        while let Some(record) = calls.join_next().await {
            records.push(record.map_err(|error| error.to_string())?);
        }
        for record in records.iter().filter(|record| matches!(record.observation, ClientObservation::Violation(_))) {
            println!("{record:?}");
            for index in 3..5 {
                let metrics = fleet.metrics(index).await;
                println!("{:?}", metrics.iter().filter(|(_, value)| *value > 0).collect::<Vec<_>>());
            }
        }
        let count = |test: fn(&ClientObservation) -> bool| records.iter().filter(|r| test(&r.observation)).count();
        let (complete, truncated) = (
            count(|seen| *seen == ClientObservation::Complete),
            count(|seen| matches!(seen, ClientObservation::Truncated { .. })),
        );
        let unknown = count(|seen| matches!(seen, ClientObservation::Rejected { ran, .. } if ran == "unknown"));
        println!("{complete} complete, {truncated} truncated, {unknown} with unknown outcome, of {}", records.len());
        ensure(complete > 150 && truncated > 0 && unknown > 0, "the link faults had no effect on calls")?;
        let findings = check_invariants(&records, &log.runs(), None);
        ensure(findings.is_empty(), format!("{findings:?}"))?;
        // The links are healthy again, so calls must be served.
        let begin = Instant::now();
        loop {
            let record = client(&fleet, "/v1/chat", 0)
                .call(&fleet.nodes[3].front(), &format!("z{}", begin.elapsed().as_micros()), "x")
                .await;
            if record.observation == ClientObservation::Complete {
                return Ok(());
            }
            ensure(begin.elapsed() < Duration::from_secs(12), format!("{:?}", record.observation))?;
        }
    });
}

/// Guards against acknowledged changes that are lost when cores are killed while they write, one at a time
/// or all at once.
#[test]
fn acknowledged_changes_survive_cores_killed_at_any_point_and_all_at_once() {
    run_async_test(async {
        let (mut fleet, _workers, _log): (Fleet, Vec<StandInWorker>, WorkerLog) =
            start_fleet(FleetSpec::SMALL, &config_tree(FleetSpec::SMALL, 0, &[])).await?;
        let mut rng = Rng::new(5);
        let mut acknowledged = fleet.version(3).await.unwrap_or(0);
        for round in 1..=12usize {
            let core = round % 3;
            let body = config_tree(FleetSpec::SMALL, round, &[]);
            let kill_delay = Duration::from_micros(rng.next_below(9_000));
            let (result, ()) = {
                let change = apply_config(&fleet, 3 + round % 2, &body);
                let kill = async {
                    tokio::time::sleep(kill_delay).await;
                    fleet.signal(core, libc::SIGKILL);
                };
                tokio::join!(change, kill)
            };
            fleet.wait_for_exit(core).await;
            if let Ok(version) = result {
                ensure(version > acknowledged, format!("version {version} after {acknowledged}"))?;
                acknowledged = version;
            }
            fleet.start(core).map_err(|error| error.to_string())?;
            // In other rounds, the next core may be killed while this one is starting.
            if round % 4 == 0 {
                fleet.wait_until_ready(Duration::from_secs(12)).await?;
                fleet.wait_for_version(acknowledged, Duration::from_secs(2)).await?;
            }
        }
        for index in 0..5 {
            fleet.signal(index, libc::SIGKILL);
        }
        for index in 0..5 {
            fleet.wait_for_exit(index).await;
            fleet.start(index).map_err(|error| error.to_string())?;
        }
        let elapsed = fleet.wait_until_ready(Duration::from_secs(12)).await?;
        println!("all five nodes ready after {} ms", elapsed.as_millis());
        for index in 0..5 {
            let version = fleet.version(index).await.unwrap_or(0);
            ensure(
                version >= acknowledged,
                format!("node {index} has version {version}, but {acknowledged} was acknowledged"),
            )?;
        }
        let version = apply_config(&fleet, 3, &config_tree(FleetSpec::SMALL, 20, &[])).await?;
        ensure(version > acknowledged, "a change after the restart got an older version")
    });
}

/// Guards against calls that fail or wait while one change adds thousands of matches.
#[test]
fn calls_continue_while_a_configuration_grows_by_thousands_of_matches() {
    run_async_test(async {
        let (fleet, _workers, log) = start_fleet(FleetSpec::SMALL, &config_tree(FleetSpec::SMALL, 0, &[])).await?;
        let mut clients = tokio::task::JoinSet::new();
        let (stop_sender, stop) = tokio::sync::watch::channel(false);
        for index in 0..2 {
            let (client, front, stop) =
                (client(&fleet, "/v1/confirm", 0), fleet.nodes[3 + index].front(), stop.clone());
            clients.spawn(async move {
                let mut records = Vec::new();
                while !*stop.borrow() {
                    records.push(client.call(&front, &format!("g{index}-{}", records.len()), "x").await);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
                records
            });
        }
        for match_count in [5_000, 10_000, 3] {
            let begin = Instant::now();
            let version = apply_config(&fleet, 4, &config_tree(FleetSpec::SMALL, match_count, &[])).await?;
            let acknowledged = begin.elapsed();
            let applied = fleet.wait_for_version(version, Duration::from_secs(2)).await?;
            println!(
                "{match_count} matches: acknowledged after {} ms, applied on all nodes {} ms later",
                acknowledged.as_millis(),
                applied.as_millis()
            );
        }
        let _ = stop_sender.send(true);
        let mut records = Vec::new();
        while let Some(client_records) = clients.join_next().await {
            records.extend(client_records.map_err(|error| error.to_string())?);
        }
        let incomplete: Vec<_> =
            records.iter().filter(|record| record.observation != ClientObservation::Complete).collect();
        ensure(incomplete.is_empty() && records.len() > 20, format!("{} calls, {incomplete:?}", records.len()))?;
        let findings = check_invariants(&records, &log.runs(), None);
        ensure(findings.is_empty(), format!("{findings:?}"))
    });
}

#[test]
fn a_node_that_gets_sighup_ends_with_its_calls() {
    run_async_test(async {
        let (fleet, _workers, log) = start_fleet(FleetSpec::SMALL, &config_tree(FleetSpec::SMALL, 0, &[])).await?;
        let front = fleet.nodes[3].front();
        let draft_client = client(&fleet, "/v1/draft", 0);
        let call = tokio::spawn(async move { draft_client.call(&front, "during", "x").await });
        while log.runs().is_empty() {
            tokio::task::yield_now().await;
        }
        for node in 0..fleet.nodes.len() {
            fleet.signal(node, libc::SIGHUP);
        }
        let record = call.await.map_err(|error| error.to_string())?;
        ensure(record.observation == ClientObservation::Complete, format!("{:?}", record.observation))?;
        for node in 0..fleet.nodes.len() {
            ensure(fleet.version(node).await.is_some(), format!("node {node} has ended"))?;
        }
        Ok(())
    });
}
