//! Tests of small fleets of real processes: faults and limits that only the operating system can provide.

// Loop indices and call numbers of these long scripts have names of one letter.
#![allow(clippy::many_single_char_names)]

use hyper::Method;
use std::time::{Duration, Instant};
use sumacvale_core::base::sha256_hex;
use sumacvale_testbed::fleet::{
    Fleet, FleetSpec, apply_config, check_invariants, client, config_tree, ensure, run_async_test, start_fleet,
    tenant_key, wait_for_workers,
};
use sumacvale_testbed::standin::{ClientObservation, StandInWorker, WorkerLog, WorkerMode, request_text, send_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Starts a fleet of three cores and two fronts with its workers.
async fn start_small_fleet() -> Result<(Fleet, Vec<StandInWorker>, WorkerLog), String> {
    start_fleet(FleetSpec::SMALL, &config_tree(FleetSpec::SMALL, 0, &[])).await
}

/// Guards against invalid requests that reach a worker, change the configuration, or get an error without its code
/// and remedy.
#[test]
fn invalid_requests_get_their_typed_error_and_change_nothing() {
    run_async_test(async {
        let (fleet, _workers, log) = start_small_fleet().await?;
        let bearer = format!("Bearer {}", tenant_key(0));
        let key = bearer.as_str();
        let large_body = format!("{{\"prompt\":\"{}\"}}", "x".repeat(2 << 20));
        let cases = [
            ("no key", "POST", "/v1/chat", "", "{}", 401, "key"),
            ("unknown key", "POST", "/v1/chat", "Bearer nobody", "{}", 401, "key"),
            ("not a bearer", "POST", "/v1/chat", "Basic eDp5", "{}", 401, "key"),
            ("no match", "POST", "/v1/none", key, "{}", 404, "no_match"),
            ("other method", "GET", "/v1/chat", key, "", 404, "no_match"),
            ("not JSON", "POST", "/v1/chat", key, "{\"prompt\":", 400, "body"),
            ("no prompt", "POST", "/v1/chat", key, "{}", 400, "body"),
            ("prompt of a wrong type", "POST", "/v1/chat", key, "{\"prompt\":[1]}", 400, "body"),
            ("too large", "POST", "/v1/chat", key, large_body.as_str(), 413, "too_large"),
        ];
        for (name, method, path, auth, body, status, code) in cases {
            let url = format!("http://{}{path}", fleet.nodes[3].front());
            let method = Method::from_bytes(method.as_bytes()).map_err(|e| e.to_string())?;
            let (got_status, got_body) = request_text(&fleet.http, method, &url, &[("authorization", auth)], body)
                .await
                .unwrap_or((413, "\"code\":\"too_large\",\"ran\":\"no\",remedy".into()));
            let is_expected = got_status == status
                && got_body.contains(&format!("\"code\":\"{code}\""))
                && got_body.contains("remedy")
                && got_body.contains("\"ran\":\"no\"");
            ensure(is_expected, format!("{name}: {got_status} {got_body}"))?;
        }
        // A connection with an oversized request head is closed; other connections are still served.
        let mut stream = tokio::net::TcpStream::connect(fleet.nodes[3].front()).await.map_err(|e| e.to_string())?;
        let head = format!("POST /v1/chat HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n", "y".repeat(200_000));
        let _ = stream.write_all(head.as_bytes()).await;
        let mut bytes = Vec::new();
        let _ = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut bytes))
            .await
            .map_err(|_| "the connection with an oversized head stayed open")?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        ensure(bytes.is_empty() || text.starts_with("HTTP/1.1 431") || text.starts_with("HTTP/1.1 400"), text)?;
        ensure(log.runs().is_empty(), "an invalid call reached a worker")?;

        let version = fleet.version(3).await;
        let tag = format!("\"{}\"", version.unwrap_or(0));
        let valid_config = config_tree(FleetSpec::SMALL, 0, &[]);
        let operator = "Bearer operator-token";
        let deep_body = "[".repeat(200);
        let admin_cases = [
            ("no token", "PUT", "/v1/config", "", tag.as_str(), valid_config.as_str(), 401, "token"),
            ("a tenant's key", "GET", "/v1/config", bearer.as_str(), "", "", 401, "token"),
            ("no base", "PUT", "/v1/config", operator, "", valid_config.as_str(), 428, "no_base"),
            ("bad base", "PUT", "/v1/config", operator, "x", valid_config.as_str(), 400, "base"),
            ("stale base", "PUT", "/v1/config", operator, "\"0\"", valid_config.as_str(), 412, "stale_base"),
            ("future base", "PUT", "/v1/config", operator, "\"99\"", valid_config.as_str(), 412, "stale_base"),
            ("not JSON", "PUT", "/v1/config", operator, tag.as_str(), "{", 400, "not_json"),
            ("too deep", "PUT", "/v1/config", operator, tag.as_str(), deep_body.as_str(), 422, "too_deep"),
            ("unknown field", "PUT", "/v1/config", operator, tag.as_str(), "{\"a\":1}", 422, "unknown_name"),
            (
                "no such core",
                "PUT",
                "/v1/cores",
                operator,
                tag.as_str(),
                "[{\"id\":\"00000000000000aa\",\"peer\":\"127.0.0.1:1\"}]",
                422,
                "invalid",
            ),
            ("core of a wrong form", "PUT", "/v1/cores", operator, tag.as_str(), "[1]", 422, "wrong_value"),
            ("bad change id", "GET", "/v1/changes/zz", operator, "", "", 400, "change_id"),
            ("no such tenant", "GET", "/v1/effective/tenants/no", operator, "", "", 404, "not_found"),
            ("report without token", "POST", "/v1/report", operator, "", "{}", 401, "token"),
            ("report of a wrong form", "POST", "/v1/report", "Bearer worker-token", "", "{\"id\":1}", 422, "report"),
        ];
        for (name, method, path, auth, tag, body, status, code) in admin_cases {
            let mut headers = vec![("authorization", auth)];
            if !tag.is_empty() {
                headers.push(("if-match", tag));
            }
            let method = Method::from_bytes(method.as_bytes()).map_err(|e| e.to_string())?;
            let url = format!("http://{}{path}", fleet.nodes[3].admin());
            let (got, text) = request_text(&fleet.http, method, &url, &headers, body).await?;
            let is_expected =
                got == status && text.contains(&format!("\"code\":\"{code}\"")) && text.contains("remedy");
            ensure(is_expected, format!("{name}: {got} {text}"))?;
        }
        let base = [("if-match", tag.as_str())];
        let dry_run = fleet.admin_request(3, Method::PUT, "/v1/config?dry_run=true", &base, &valid_config).await?;
        ensure(dry_run.0 == 200 && dry_run.1.contains("valid"), format!("dry run: {dry_run:?}"))?;
        ensure(fleet.version(3).await == version, "a rejected change changed the version")?;
        // A change that is sent again with the same change id, as after a lost response, is committed once.
        let headers = [("if-match", tag.as_str()), ("change-id", "00000000000000ab")];
        let changed_config = config_tree(FleetSpec::SMALL, 1, &[]);
        let first = fleet.admin_request(3, Method::PUT, "/v1/config", &headers, &changed_config).await?;
        let repeated = fleet.admin_request(4, Method::PUT, "/v1/config", &headers, &changed_config).await?;
        ensure(first.0 == 200 && first == repeated, format!("{first:?} {repeated:?}"))?;
        let reused =
            fleet.admin_request(4, Method::PUT, "/v1/config", &headers, &config_tree(FleetSpec::SMALL, 2, &[])).await?;
        ensure(reused.0 == 409, format!("another body under the same id: {reused:?}"))?;
        let known = fleet.admin_request(4, Method::GET, "/v1/changes/00000000000000ab", &[], "").await?;
        ensure(known.1.contains("decided"), format!("{known:?}"))?;
        let unknown = fleet.admin_request(4, Method::GET, "/v1/changes/00000000000000ac?base=1", &[], "").await?;
        ensure(unknown.1.contains("lost"), format!("{unknown:?}"))?;
        let effective = fleet.admin_request(4, Method::GET, "/v1/effective/tenants/t0", &[], "").await?;
        ensure(effective.1.contains("\"calls\":120") && effective.1.contains("\"weight\":3"), format!("{effective:?}"))
    });
}

/// Guards against foreign or broken frames that keep a connection open or disturb the nodes.
#[test]
fn invalid_frames_on_the_peer_port_are_counted_and_their_connections_closed() {
    run_async_test(async {
        let (fleet, _workers, _log) = start_small_fleet().await?;
        let mut rng = sumacvale_core::base::Rng::new(1);
        for attempt in 0..60u32 {
            let mut stream = tokio::net::TcpStream::connect(fleet.nodes[(attempt % 5) as usize].peer())
                .await
                .map_err(|e| e.to_string())?;
            let mut bytes = match attempt % 4 {
                0 => vec![255; 64],
                1 => (3u32.to_le_bytes().into_iter()).chain([77, 1, 2]).collect(),
                2 => (0u32.to_le_bytes()).to_vec(),
                _ => {
                    let length = 20 + rng.next_below(200);
                    let mut frame = u32::try_from(length).unwrap_or(20).to_le_bytes().to_vec();
                    frame.push(1);
                    frame.extend((1..length).map(|_| u8::try_from(rng.next_below(256)).unwrap_or(0)));
                    frame
                }
            };
            let _ = stream.write_all(&bytes).await;
            bytes.clear();
            let _ = tokio::time::timeout(Duration::from_secs(3), stream.read_to_end(&mut bytes))
                .await
                .map_err(|_| format!("{attempt}: the connection with an invalid frame stayed open"))?;
        }
        let mut counted = 0;
        for i in 0..5 {
            counted += fleet.metrics(i).await.get("sumacvale_peer_invalid_frames_total").unwrap_or(0);
        }
        ensure(counted == 60, format!("{counted} of 60 counted"))?;
        fleet.wait_until_ready(Duration::from_secs(2)).await?;
        apply_config(&fleet, 4, &config_tree(FleetSpec::SMALL, 1, &[])).await.map(|_| ())
    });
}

/// Guards against calls that run twice after a worker failed, and against responses that deny a run.
#[test]
fn failing_workers_run_nothing_twice_and_hide_no_run() {
    run_async_test(async {
        let (fleet, workers, log) = start_small_fleet().await?;
        let mut records = Vec::new();
        let mut calls = 0;
        // All workers of a pool behave alike, so that a retry gets the same behaviour.
        type Case = (&'static str, WorkerMode, &'static str, fn(&ClientObservation) -> bool);
        let cases: [Case; 7] = [
            ("healthy", WorkerMode::Healthy, "/v1/draft", |observation| *observation == ClientObservation::Complete),
            ("truncated, resumed", WorkerMode::Truncate(5), "/v1/draft", |observation| {
                matches!(observation, ClientObservation::Complete | ClientObservation::Truncated { .. })
            }),
            ("truncated, not resumable", WorkerMode::Truncate(5), "/v1/chat", |observation| {
                matches!(observation, ClientObservation::Truncated { events: 5 })
            }),
            ("truncated before the first event", WorkerMode::Truncate(0), "/v1/chat", |observation| {
                matches!(observation, ClientObservation::Truncated { events: 0 })
            }),
            ("truncated before anything could be resumed", WorkerMode::Truncate(0), "/v1/draft", |observation| {
                matches!(observation, ClientObservation::Truncated { events: 0 })
            }),
            (
                "no response",
                WorkerMode::NoResponse,
                "/v1/chat",
                |observation| matches!(observation, ClientObservation::Rejected { status: 502, ran, .. } if ran == "unknown"),
            ),
            ("healthy again", WorkerMode::Healthy, "/v1/chat", |observation| {
                *observation == ClientObservation::Complete
            }),
        ];
        for (name, mode, path, is_expected) in cases {
            // First attempts raise the retry budget.
            for _ in 0..20 {
                calls += 1;
                let record =
                    client(&fleet, "/v1/confirm", 1).call(&fleet.nodes[3].front(), &format!("e{calls}"), "x").await;
                ensure(record.observation == ClientObservation::Complete, format!("{name}: {:?}", record.observation))?;
                records.push(record);
            }
            for worker in &workers[..3] {
                worker.set_mode(mode);
            }
            for _ in 0..3 {
                calls += 1;
                // A worker that failed gets no calls until its next report.
                let record = loop {
                    let record = client(&fleet, path, 0).call(&fleet.nodes[3].front(), &format!("c{calls}"), "x").await;
                    if !matches!(&record.observation, ClientObservation::Rejected { code, .. } if code == "full") {
                        break record;
                    }
                };
                ensure(is_expected(&record.observation), format!("{name}: {:?}", record.observation))?;
                records.push(record);
            }
        }
        let resumed = fleet.metrics(3).await.get("sumacvale_streams_resumed_total").unwrap_or(0);
        ensure(resumed > 0, "no stream was resumed")?;
        // All workers of a pool crash while they run calls.
        let client = client(&fleet, "/v1/draft", 0);
        let front = fleet.nodes[3].front();
        let call = client.call(&front, "dark", "x");
        tokio::pin!(call);
        let crash = async {
            while !log.runs().iter().any(|run| run.call_id == "dark") {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            for worker in &workers[..3] {
                worker.crash();
            }
        };
        let (record, ()) = tokio::join!(&mut call, crash);
        let is_expected = matches!(&record.observation, ClientObservation::Truncated { .. })
            || matches!(&record.observation, ClientObservation::Rejected { ran, .. } if ran == "unknown");
        ensure(is_expected, format!("crash of all workers: {:?}", record.observation))?;
        records.push(record);
        wait_for_workers(&fleet, 2).await?;
        let violations = check_invariants(&records, &log.runs(), None);
        ensure(violations.is_empty(), format!("{violations:?}"))
    });
}

/// Guards against a replaced core that does not become a voter, so that later losses cost acknowledged versions.
#[test]
fn cores_are_replaced_one_by_one_by_empty_machines() {
    run_async_test(async {
        let (mut fleet, _workers, _log) = start_small_fleet().await?;
        let mut last_version = fleet.version(3).await.unwrap_or(0);
        for i in 0..3 {
            let old_address = fleet.nodes[i].peer();
            fleet.kill(i).await;
            fleet.replace_machine(i);
            fleet.start(i).map_err(|e| e.to_string())?;
            fleet.wait_until_ready(Duration::from_secs(12)).await?;
            let new_address = fleet.nodes[i].peer();
            let begin = Instant::now();
            loop {
                let (_, nodes) = fleet.admin_request(4, Method::GET, "/v1/nodes", &[], "").await?;
                let (_, cores) = fleet.admin_request(4, Method::GET, "/v1/cores", &[], "").await?;
                let version = fleet.version(4).await.unwrap_or(0);
                let id = nodes
                    .split("{\"id\":\"")
                    .find(|node| node.contains(&format!("\"peer\":\"{new_address}\"")))
                    .map(|node| node[..16].to_owned());
                let kept: Vec<_> = cores
                    .trim_matches(['[', ']'])
                    .split("},")
                    .filter(|core| !core.contains(&old_address))
                    .map(|core| format!("{}}}", core.trim_end_matches('}')))
                    .collect();
                if let Some(id) = id {
                    let body = format!("[{},{{\"id\":\"{id}\",\"peer\":\"{new_address}\"}}]", kept.join(","));
                    let tag = format!("\"{version}\"");
                    let (status, response) =
                        fleet.admin_request(4, Method::PUT, "/v1/cores", &[("if-match", tag.as_str())], &body).await?;
                    if status == 200 {
                        break;
                    }
                    ensure(begin.elapsed() < Duration::from_secs(12), format!("{status} {response}"))?;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            let version = apply_config(&fleet, 3, &config_tree(FleetSpec::SMALL, i + 1, &[])).await?;
            ensure(version > last_version, format!("version {version} after {last_version}"))?;
            last_version = version;
            fleet.wait_for_version(version, Duration::from_secs(2)).await?;
        }
        // The new cores are full voters: the fleet tolerates the loss of one.
        fleet.kill(1).await;
        let version = apply_config(&fleet, 3, &config_tree(FleetSpec::SMALL, 9, &[])).await?;
        ensure(version > last_version, "no change is committed with one of the new cores down")?;
        // All cores stop and start again with the last acknowledged version.
        fleet.kill(0).await;
        fleet.kill(2).await;
        for i in 0..3 {
            fleet.start(i).map_err(|e| e.to_string())?;
        }
        let elapsed = fleet.wait_until_ready(Duration::from_secs(12)).await?;
        println!("all cores back after {} ms", elapsed.as_millis());
        ensure(
            fleet.version(0).await == Some(version) && fleet.version(3).await == Some(version),
            "the last version is not back",
        )?;
        let begin = Instant::now();
        loop {
            let record = client(&fleet, "/v1/chat", 0).call(&fleet.nodes[4].front(), "after", "x").await;
            if record.observation == ClientObservation::Complete {
                println!("serving again after {} ms", begin.elapsed().as_millis());
                return Ok(());
            }
            ensure(begin.elapsed() < Duration::from_secs(12), format!("{:?}", record.observation))?;
        }
    });
}

/// Guards against a front that continues after a freeze and admits a call by the key of a revoked version.
#[test]
fn a_frozen_front_admits_nothing_by_stale_state_once_it_continues() {
    run_async_test(async {
        let (fleet, _workers, log) = start_small_fleet().await?;
        // A call waits in the sockets of the frozen front while its key is revoked.
        fleet.freeze(4).await?;
        let tenant_client = client(&fleet, "/v1/chat", 1);
        let front = fleet.nodes[4].front();
        let waiting_call = tokio::spawn(async move { tenant_client.call(&front, "slept", "x").await });
        apply_config(&fleet, 3, &config_tree(FleetSpec::SMALL, 1, &[1])).await?;
        let revoked_at = Instant::now();
        tokio::time::sleep_until((revoked_at + Duration::from_millis(5_050)).into()).await;
        fleet.signal(4, libc::SIGCONT);
        let record = waiting_call.await.map_err(|e| e.to_string())?;
        let message = format!("{:?} {} ms after it was sent", record.observation, record.total.as_millis());
        ensure(matches!(record.observation, ClientObservation::Rejected { status: 401 | 503, .. }), message)?;
        ensure(log.runs().is_empty(), "the call ran")?;
        fleet.wait_until_ready(Duration::from_secs(12)).await?;
        let record = client(&fleet, "/v1/chat", 0).call(&fleet.nodes[4].front(), "awake", "x").await;
        let message = format!("{:?} after {} ms", record.observation, record.total.as_millis());
        ensure(record.observation == ClientObservation::Complete, message)
    });
}

/// Guards against changes that commit, or calls that are admitted by stale state, while a majority of the cores is
/// frozen.
#[test]
fn without_a_majority_no_change_commits_and_soon_no_call_is_admitted() {
    run_async_test(async {
        let (fleet, _workers, _log) = start_small_fleet().await?;
        fleet.freeze(1).await?;
        fleet.freeze(2).await?;
        let version = fleet.version(3).await.unwrap_or(0);
        let tag = format!("\"{version}\"");
        let headers = [("if-match", tag.as_str()), ("change-id", "00000000000000cd")];
        let (status, body) =
            fleet.admin_request(3, Method::PUT, "/v1/config", &headers, &config_tree(FleetSpec::SMALL, 1, &[])).await?;
        ensure(matches!(status, 503 | 504), format!("{status} {body}"))?;
        let begin = Instant::now();
        loop {
            let record = client(&fleet, "/v1/chat", 0)
                .call(&fleet.nodes[3].front(), &format!("m{}", begin.elapsed().as_micros()), "x")
                .await;
            if matches!(&record.observation, ClientObservation::Rejected { status: 503, code, has_retry_after: true, .. } if code == "stale")
            {
                break;
            }
            ensure(begin.elapsed() < Duration::from_secs(5), format!("still {:?}", record.observation))?;
        }
        ensure(!fleet.is_ready(3).await, "ready without freshness")?;
        fleet.signal(1, libc::SIGCONT);
        fleet.signal(2, libc::SIGCONT);
        let elapsed = fleet.wait_until_ready(Duration::from_secs(12)).await?;
        println!("fresh again after {} ms", elapsed.as_millis());
        let (status, body) =
            fleet.admin_request(4, Method::PUT, "/v1/config", &headers, &config_tree(FleetSpec::SMALL, 1, &[])).await?;
        ensure(status == 200 || status == 412, format!("{status} {body}"))?;
        let (_, outcome) = fleet
            .admin_request(4, Method::GET, &format!("/v1/changes/00000000000000cd?base={version}"), &[], "")
            .await?;
        ensure(outcome.contains(if status == 200 { "decided" } else { "lost" }), outcome)
    });
}

/// Guards against fronts that together admit more than a quota, or reject calls within it.
#[test]
fn quotas_hold_over_all_fronts_and_reject_nothing_within_them() {
    run_async_test(async {
        let body = config_tree(FleetSpec::SMALL, 0, &[]).replace("\"calls\":120", "\"calls\":40");
        let (fleet, _workers, log) = start_fleet(FleetSpec::SMALL, &body).await?;
        let fronts = [fleet.nodes[3].front(), fleet.nodes[4].front()];
        // Within the quota: 25 calls a second of 40, through both fronts.
        let mut tasks = tokio::task::JoinSet::new();
        let mut ticks = tokio::time::interval(Duration::from_millis(40));
        for n in 0..75 {
            ticks.tick().await;
            let (tenant_client, front) = (client(&fleet, "/v1/confirm", 0), fronts[n % 2].clone());
            tasks.spawn(async move { tenant_client.call(&front, &format!("in{n}"), "x").await });
        }
        while let Some(record) = tasks.join_next().await {
            let record = record.map_err(|e| e.to_string())?;
            ensure(
                record.observation == ClientObservation::Complete,
                format!("within its quota: {:?}", record.observation),
            )?;
        }
        // Beyond the quota: far more calls than it admits, for three windows.
        let begin = Instant::now();
        let mut ticks = tokio::time::interval(Duration::from_millis(5));
        let mut rejected = 0;
        for n in 0..600 {
            ticks.tick().await;
            let (tenant_client, front) = (client(&fleet, "/v1/confirm", 1), fronts[n % 2].clone());
            tasks.spawn(async move { tenant_client.call(&front, &format!("over{n}"), "x").await });
        }
        while let Some(record) = tasks.join_next().await {
            let record = record.map_err(|e| e.to_string())?;
            match &record.observation {
                ClientObservation::Rejected { status: 429, has_retry_after: true, .. } => rejected += 1,
                ClientObservation::Complete => {}
                other => return Err(format!("{other:?}")),
            }
        }
        let ran = log.runs().iter().filter(|run| run.call_id.starts_with("over")).count();
        let windows = usize::try_from(begin.elapsed().as_secs()).unwrap_or(3) + 2;
        ensure(ran <= 40 * windows && rejected > 0, format!("{ran} ran in {windows} windows, {rejected} rejected"))?;
        let mut by_window = std::collections::BTreeMap::new();
        for run in log.runs() {
            *by_window.entry((run.tenant, run.quota_window)).or_insert(0) += 1;
        }
        ensure(by_window.values().all(|calls| *calls <= 40), format!("more than 40 in one window: {by_window:?}"))?;
        ensure(ran >= 100, format!("only {ran} of 120 and more were admitted"))?;
        let violations = check_invariants(&[], &log.runs(), None);
        ensure(violations.is_empty(), format!("{violations:?}"))
    });
}

/// Guards against a core that votes without a durable write because its disk is full.
#[test]
fn a_core_with_a_full_disk_does_not_vote_until_there_is_room() {
    run_async_test(async {
        let (mut fleet, _workers, _log) = start_small_fleet().await?;
        // The core can write no file, not even its log file, and still learns new versions.
        fleet.set_file_size_limit(0, Some(0));
        let version = apply_config(&fleet, 4, &config_tree(FleetSpec::SMALL, 9, &[])).await?;
        fleet.wait_for_version(version, Duration::from_secs(2)).await?;
        fleet.set_file_size_limit(0, None);
        let begin = Instant::now();
        while !fleet.log_text(0).contains("the disk takes writes again") {
            ensure(begin.elapsed() < Duration::from_secs(5), "the disk is not used again")?;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        fleet.set_file_size_limit(0, Some(fleet.wal_bytes(0)));
        // The log file can grow now, the data files cannot. The other two cores still commit changes and grant quotas.
        for n in 1..4 {
            let version = apply_config(&fleet, 3 + n % 2, &config_tree(FleetSpec::SMALL, n, &[])).await?;
            fleet.wait_for_version(version, Duration::from_secs(2)).await?;
            let record = client(&fleet, "/v1/chat", 0).call(&fleet.nodes[3].front(), &format!("f{n}"), "x").await;
            ensure(record.observation == ClientObservation::Complete, format!("{:?}", record.observation))?;
        }
        let begin = Instant::now();
        loop {
            let disk_errors = fleet.metrics(0).await.get("sumacvale_disk_errors_total").unwrap_or(0);
            if disk_errors > 0 {
                break;
            }
            ensure(begin.elapsed() < Duration::from_secs(5), "no disk error was counted")?;
        }
        ensure(fleet.log_text(0).contains("the disk takes no writes"), "the disk error was not logged")?;
        // With another core down no majority can write: no change is committed.
        fleet.kill(1).await;
        let version = fleet.version(3).await.unwrap_or(0);
        let tag = format!("\"{version}\"");
        let (status, body) = fleet
            .admin_request(
                3,
                Method::PUT,
                "/v1/config",
                &[("if-match", tag.as_str())],
                &config_tree(FleetSpec::SMALL, 5, &[]),
            )
            .await?;
        ensure(matches!(status, 503 | 504), format!("{status} {body}"))?;
        fleet.set_file_size_limit(0, None);
        let begin = Instant::now();
        while apply_config(&fleet, 3, &config_tree(FleetSpec::SMALL, 6, &[])).await.is_err() {
            ensure(begin.elapsed() < Duration::from_secs(12), "no change is committed with room again")?;
        }
        println!("changes committed again {} ms after there was room", begin.elapsed().as_millis());
        ensure(fleet.log_text(0).contains("the disk takes writes again"), "the end of the disk error was not logged")
    });
}

/// Guards against calls to drained workers, and against drained nodes that stay ready or stop serving.
#[test]
fn drained_workers_get_no_calls_and_drained_nodes_are_not_ready() {
    run_async_test(async {
        let (fleet, workers, log) = start_small_fleet().await?;
        let body =
            config_tree(FleetSpec::SMALL, 0, &[]).replace("\"llm\":{}", "\"llm\":{\"drain\":[\"llm0\",\"llm2\"]}");
        let version = apply_config(&fleet, 3, &body).await?;
        fleet.wait_for_version(version, Duration::from_secs(2)).await?;
        for n in 0..20 {
            let front = fleet.nodes[3 + n % 2].front();
            let record = client(&fleet, "/v1/chat", 0).call(&front, &format!("d{n}"), &format!("prefix {n}|")).await;
            ensure(record.observation == ClientObservation::Complete, format!("{:?}", record.observation))?;
        }
        ensure(log.runs().iter().all(|run| run.worker == workers[1].id()), "a drained worker got a call")?;
        ensure(
            fleet.admin_request(4, Method::POST, "/v1/drain", &[], "").await?.0 == 200,
            "the node can't be drained",
        )?;
        ensure(!fleet.is_ready(4).await, "ready while drained")?;
        let record = client(&fleet, "/v1/chat", 0).call(&fleet.nodes[4].front(), "still", "x").await;
        ensure(
            record.observation == ClientObservation::Complete,
            format!("a drained node must still serve: {:?}", record.observation),
        )?;
        ensure(
            fleet.admin_request(4, Method::DELETE, "/v1/drain", &[], "").await?.0 == 200,
            "the drain of the node can't be ended",
        )?;
        ensure(fleet.is_ready(4).await, "not ready again")
    });
}

/// Guards against one tenant that crowds out the others, with several times the load that the workers can serve, and
/// against rejections that come late or all name the same time to retry.
#[test]
fn an_overload_leaves_small_tenants_their_share_and_is_rejected_at_once() {
    run_async_test(async {
        let body = config_tree(FleetSpec::SMALL, 0, &[]).replace("\"calls\":120", "\"calls\":100000");
        let (fleet, _workers, log) = start_fleet(FleetSpec::SMALL, &body).await?;
        let fronts = [fleet.nodes[3].front(), fleet.nodes[4].front()];
        // Three workers of 16 slots and 410 ms for a draft: about 117 drafts a second.
        let mut tasks = tokio::task::JoinSet::new();
        let mut ticks = tokio::time::interval(Duration::from_millis(10));
        let begin = Instant::now();
        for n in 0..300usize {
            ticks.tick().await;
            for k in 0..4 {
                let (tenant_client, front) = (client(&fleet, "/v1/draft", 0), fronts[(n + k) % 2].clone());
                let id = format!("big{n}-{k}");
                tasks.spawn(async move {
                    tenant_client.call(&front, &id, &format!("same prefix for all, the hot one|{n}")).await
                });
            }
            if n % 5 == 0 {
                let (tenant_client, front) = (client(&fleet, "/v1/chat", 1), fronts[n % 2].clone());
                tasks.spawn(async move { tenant_client.call(&front, &format!("small{n}"), "another").await });
                let (tenant_client, front) = (client(&fleet, "/v1/confirm", 1), fronts[n % 2].clone());
                tasks.spawn(async move { tenant_client.call(&front, &format!("quick{n}"), "x").await });
            }
        }
        let arrival_time = begin.elapsed();
        let mut records = Vec::new();
        while let Some(record) = tasks.join_next().await {
            records.push(record.map_err(|e| e.to_string())?);
        }
        let calls_of =
            |prefix: &str| records.iter().filter(|record| record.call_id.starts_with(prefix)).collect::<Vec<_>>();
        let complete = |calls: &[&sumacvale_testbed::standin::ClientRecord]| {
            calls.iter().filter(|record| record.observation == ClientObservation::Complete).count()
        };
        let (big, small, quick) = (calls_of("big"), calls_of("small"), calls_of("quick"));
        let goodput = complete(&big) as f64 / (arrival_time.as_secs_f64() + 2.0);
        println!(
            "drafts {} of {} ({goodput:.0} a second), chats {} of {}, lookups {} of {}",
            complete(&big),
            big.len(),
            complete(&small),
            small.len(),
            complete(&quick),
            quick.len()
        );
        let failures = |calls: &[&sumacvale_testbed::standin::ClientRecord]| {
            calls
                .iter()
                .filter(|record| record.observation != ClientObservation::Complete)
                .map(|record| {
                    format!(
                        "{} at {} ms after {} ms: {:?}",
                        record.call_id,
                        (record.sent_at - begin).as_millis(),
                        record.total.as_millis(),
                        record.observation
                    )
                })
                .collect::<Vec<_>>()
                .join("\n")
        };
        println!("chats and lookups that were not served:\n{}\n{}", failures(&small), failures(&quick));
        ensure(goodput > 70.0, format!("goodput {goodput}"))?;
        ensure(complete(&small) * 100 >= small.len() * 95, format!("chats {} of {}", complete(&small), small.len()))?;
        ensure(complete(&quick) == quick.len(), format!("lookups {} of {}", complete(&quick), quick.len()))?;
        let mut first_bytes: Vec<_> = quick.iter().map(|record| record.first_byte).collect();
        first_bytes.sort_unstable();
        ensure(
            first_bytes[first_bytes.len() * 9 / 10] < Duration::from_millis(150),
            format!("lookups at {:?}", first_bytes[first_bytes.len() * 9 / 10]),
        )?;
        let mut retry_delays = std::collections::BTreeSet::new();
        let mut unsettled = 0;
        for record in &records {
            match &record.observation {
                ClientObservation::Complete => {}
                // On a machine with other load the response of a lease holder may come late.
                ClientObservation::Rejected { status: 503, code, has_retry_after: true, .. }
                    if code == "quota_unsettled" =>
                {
                    unsettled += 1;
                }
                ClientObservation::Rejected { status: 503, code, has_retry_after: true, ran }
                    if code == "full" || code == "worker_full" =>
                {
                    ensure(ran == "no" && record.total < Duration::from_millis(2_600), format!("{record:?}"))?;
                    retry_delays.insert(record.retry_after_ms);
                }
                other => return Err(format!("{}: {other:?}", record.call_id)),
            }
        }
        ensure(unsettled * 20 < records.len(), format!("{unsettled} calls whose quota was not settled"))?;
        ensure(retry_delays.len() > 50, format!("{} different retry delays", retry_delays.len()))?;
        let violations = check_invariants(&records, &log.runs(), None);
        ensure(
            violations.iter().all(|violation| violation.0.contains("calls ran in window")),
            format!("{violations:?}"),
        )
    });
}

/// Guards against admin routes that serve without the operator's token, and against tokens or keys in the log files.
#[test]
fn without_a_token_the_admin_api_reveals_nothing_and_logs_hold_no_secret() {
    run_async_test(async {
        let (fleet, _workers, _log) = start_small_fleet().await?;
        for path in ["/v1/config", "/v1/nodes", "/v1/workers", "/v1/beliefs", "/v1/history", "/v1/cores"] {
            let url = format!("http://{}{path}", fleet.nodes[3].admin());
            let response = send_request(&fleet.http, Method::GET, &url, &[], "").await?;
            ensure(response.status() == 401, format!("{path}: {}", response.status()))?;
        }
        for i in 0..5 {
            let log = fleet.log_text(i);
            for secret in ["operator-token", "worker-token", &tenant_key(0), &sha256_hex(tenant_key(0).as_bytes())] {
                ensure(!log.contains(secret), format!("the log of node {i} holds {secret}"))?;
            }
        }
        Ok(())
    });
}
