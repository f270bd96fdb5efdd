use super::judge::{Finding, judge};
use super::nodes::{Fleet, Shape};
use super::traffic::{Done, drive, key, tree};
use crate::standin::{Caller, Log, Outcome, Ran, Seen, Worker, client};
use hyper::Method;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// All that a run saw.
pub struct Outcomes {
    pub shape: Shape,
    pub secs: u64,
    pub begin: Instant,
    pub seen: Vec<Outcome>,
    pub ran: Vec<Ran>,
    pub events: Vec<String>,
    pub sums: Vec<(String, u64)>,
    pub warm: (u64, u64),
    /// Processor time of all processes that still run, in milliseconds.
    pub cpu: u64,
    pub findings: Vec<Finding>,
}

/// Puts a tree in the place of the newest one, through node `i`.
pub async fn change(f: &Fleet, i: usize, body: &str) -> Result<u64, String> {
    for _ in 0..20 {
        let v = f.version(i).await.ok_or("no version")?;
        let tag = format!("\"{v}\"");
        let (s, b) = f.admin(i, Method::PUT, "/v1/config", &[("if-match", tag.as_str())], body).await?;
        match s {
            200 => {
                return b
                    .split("\"version\":")
                    .nth(1)
                    .and_then(|s| s.split(',').next())
                    .and_then(|s| s.parse().ok())
                    .ok_or(b);
            }
            412 | 503 => tokio::time::sleep(Duration::from_millis(50)).await,
            _ => return Err(format!("{s} {b}")),
        }
    }
    Err("no change was accepted".into())
}

/// Starts the workers of a deployment; each reports to the nodes of its zone.
pub async fn workers(f: &Fleet, s: Shape, log: &Log) -> Result<Vec<Worker>, String> {
    let mut ws = Vec::new();
    for k in 0..s.models + s.apps {
        let zone = format!("z{}", k % 3 + 1);
        let to: Vec<_> = f.nodes.iter().filter(|n| n.zone == zone).map(super::nodes::Node::admin).collect();
        let (pool, slots) = if k < s.models { ("llm", 16) } else { ("app", 64) };
        let addr = format!("{}.{}:7200", f.net, 200 + k).parse().map_err(|_| "no address")?;
        let w = Worker::start(&format!("{pool}{k}"), addr, pool, &zone, slots, 1, to, log, &f.http)
            .await
            .map_err(|e| e.to_string())?;
        ws.push(w);
    }
    Ok(ws)
}

/// The platform: checks readiness every second and tells callers where to go.
fn platform(fronts: Vec<String>, mut stop: watch::Receiver<bool>) -> watch::Receiver<Vec<String>> {
    let (tx, rx) = watch::channel(fronts.clone());
    tokio::spawn(async move {
        let http = client();
        let mut t = tokio::time::interval(Duration::from_secs(1));
        loop {
            tokio::select! {
                _ = t.tick() => {}
                _ = stop.wait_for(|s| *s) => return,
            }
            let mut up = Vec::new();
            for a in &fronts {
                let u = format!("http://{a}/readyz");
                let r = tokio::time::timeout(
                    Duration::from_millis(300),
                    crate::standin::text(&http, Method::GET, &u, &[], ""),
                )
                .await;
                if matches!(r, Ok(Ok((200, _)))) {
                    up.push(a.clone());
                }
            }
            if tx.send(up).is_err() {
                return;
            }
        }
    });
    rx
}

/// A fleet that is ready, with a configuration and its workers known on every front.
pub async fn ready(s: Shape, body: &str) -> Result<(Fleet, Vec<Worker>, Log), String> {
    let mut f = Fleet::new(3, s.fronts).map_err(|e| e.to_string())?;
    for i in 0..f.nodes.len() {
        f.start(i).map_err(|e| e.to_string())?;
    }
    f.all_ready(Duration::from_secs(20)).await?;
    let v = change(&f, 3, body).await?;
    f.spread(v, Duration::from_secs(5)).await?;
    let log = Log::default();
    let ws = workers(&f, s, &log).await?;
    known(&f, ws.len() as u64).await?;
    Ok((f, ws, log))
}

/// Waits until every front knows of so many workers.
pub async fn known(f: &Fleet, want: u64) -> Result<Duration, String> {
    let t = Instant::now();
    loop {
        let mut bad = Vec::new();
        for i in (3..f.nodes.len()).filter(|i| f.nodes[*i].up()) {
            let n = f.metrics(i).await.into_iter().find(|x| x.0 == "sumacvale_workers").map_or(0, |x| x.1);
            if n != want {
                bad.push(n);
            }
        }
        if bad.is_empty() {
            return Ok(t.elapsed());
        }
        if t.elapsed() > Duration::from_secs(10) {
            return Err(format!("{bad:?} of {want} workers known after 10 s"));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// One deployment for a bounded time, with the brief's ordinary troubles in the middle.
pub async fn rehearse(s: Shape, secs: u64, seed: u64, faults: bool, scale: u64) -> Result<Outcomes, String> {
    let mut events = Vec::new();
    let mut findings = Vec::new();
    let t = Instant::now();
    let (mut f, ws, log) = ready(s, &tree(s, 1, &[])).await?;
    events.push(format!("{} nodes and {} workers ready after {} ms", f.nodes.len(), ws.len(), t.elapsed().as_millis()));
    let (stx, stop) = watch::channel(false);
    let fronts: Vec<_> = f.nodes[3..].iter().map(super::nodes::Node::front).collect();
    let rx = platform(fronts, stop.clone());
    let done: Done = Arc::default();
    let begin = Instant::now();
    let going = tokio::spawn(drive(s, client(), rx, seed, stop, done.clone(), scale));
    let step = Duration::from_millis(secs * 100);
    let rest = |n: u32| {
        let at = begin + step * n;
        tokio::time::sleep_until(at.into())
    };
    let mut revoked = None;
    let lost = s.tenants - 1;
    if faults {
        rest(1).await;
        let v = change(&f, 4, &tree(s, 5, &[])).await?;
        match f.spread(v, Duration::from_secs(2)).await {
            Ok(t) => events.push(format!("a configuration change everywhere after {} ms", t.as_millis())),
            Err(e) => findings.push(Finding(e)),
        }
        rest(2).await;
        let v = change(&f, 5, &tree(s, 6, &[lost])).await?;
        revoked = Some((format!("t{lost}"), Instant::now()));
        match f.spread(v, Duration::from_secs(5)).await {
            Ok(t) => events.push(format!("a key withdrawn everywhere after {} ms", t.as_millis())),
            Err(e) => findings.push(Finding(e)),
        }
        rest(3).await;
        ws[0].drain();
        events.push(format!("{} drains", ws[0].id()));
        rest(4).await;
        f.kill(3).await;
        events.push("a front is killed".into());
        rest(5).await;
        f.kill(0).await;
        events.push("a core is killed".into());
        ws[1].crash();
        events.push(format!("{} crashes", ws[1].id()));
        rest(6).await;
        f.start(0).map_err(|e| e.to_string())?;
        f.start(3).map_err(|e| e.to_string())?;
        match f.all_ready(Duration::from_secs(12)).await {
            Ok(t) => events.push(format!("core and front ready again after {} ms", t.as_millis())),
            Err(e) => findings.push(Finding(e)),
        }
        let top = f.version(1).await.unwrap_or(0);
        if f.version(0).await != Some(top) || top < v {
            findings.push(Finding(format!("the core came back with another version than {top}")));
        }
        rest(8).await;
        f.signal(4, libc::SIGTERM);
        match f.wait(4).await {
            Some(0) => events.push("a front was told to stop and stopped cleanly".into()),
            c => findings.push(Finding(format!("a front that was told to stop ended with {c:?}"))),
        }
        f.start(4).map_err(|e| e.to_string())?;
    }
    rest(10).await;
    let _ = stx.send(true);
    going.await.map_err(|e| e.to_string())?;
    let key = key(lost);
    if faults {
        for i in 3..f.nodes.len() {
            let c = Caller {
                http: f.http.clone(),
                kind: "lookup",
                path: "/v1/confirm",
                tenant: format!("t{lost}"),
                key: key.clone(),
            };
            let o = c.call(&f.nodes[i].front(), &format!("late-{i}"), "x").await;
            if !matches!(&o.seen, Seen::Refused { status: 401 | 503, .. }) {
                findings.push(Finding(format!("a withdrawn key got {:?} from {}", o.seen, o.front)));
            }
        }
    }
    let mut sums: BTreeMap<String, u64> = BTreeMap::new();
    for i in 0..f.nodes.len() {
        for (k, v) in f.metrics(i).await {
            if k.ends_with("_total") {
                *sums.entry(k.trim_start_matches("sumacvale_").trim_end_matches("_total").to_owned()).or_default() += v;
            }
        }
    }
    let cpu = f.nodes.iter().map(super::nodes::Node::cpu).sum::<u64>();
    let seen = done.lock().map(|g| g.clone()).unwrap_or_default();
    let ran = log.all();
    let r = revoked.as_ref().map(|x| (x.0.as_str(), x.1));
    findings.extend(judge(&seen, &ran, r));
    let (one, two) = (sums.get("attempts_first").copied().unwrap_or(0), sums.get("retries").copied().unwrap_or(0));
    if two * 4 > one + 40 {
        findings.push(Finding(format!("{two} second tries for {one} first ones")));
    }
    if faults {
        let front = f.nodes[4].front();
        for o in seen.iter().filter(|o| o.front == front && matches!(o.seen, Seen::None)) {
            findings.push(Finding(format!("{}: no answer from a front that was told to stop", o.call)));
        }
    }
    let whole = seen.iter().filter(|o| o.seen == Seen::Whole).count();
    if whole * 2 < seen.len() {
        findings.push(Finding(format!("only {whole} of {} calls were served whole", seen.len())));
    }
    let warm = warm(&ran);
    let sums = sums.into_iter().filter(|x| x.1 > 0).collect();
    Ok(Outcomes { shape: s, secs, begin, seen, ran, events, sums, warm, cpu, findings })
}

fn warm(ran: &[Ran]) -> (u64, u64) {
    let mut met: BTreeSet<(String, String)> = BTreeSet::new();
    let (mut hit, mut all) = (0, 0);
    let mut v: Vec<_> = ran.iter().filter(|r| r.worker.starts_with("llm")).collect();
    v.sort_by_key(|r| r.at);
    for r in v {
        all += 1;
        if !met.insert((r.path.clone() + &r.prefix, r.worker.clone())) {
            hit += 1;
        }
    }
    (hit, all)
}
