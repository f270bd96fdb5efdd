//! An order that was refused with 412 comes into force once a frozen voter wakes.

use crate::Verdict;
use crate::fleet::{Fleet, SIGCONT, SIGSTOP, config, derwent_small, get_config};
use crate::http::{self, describe};
use crate::record::Record;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the voter stands still, in milliseconds.
const FREEZE_MS: u64 = 2_500;

/// Reads `"version":N` of a configuration.
fn version(body: &str) -> Option<u64> {
    let rest = body.split_once("\"version\":")?.1;
    rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}

/// The operator's way with one order: to the first node, and after a second of silence or a 5xx to the next one.
fn send(nodes: &[std::net::SocketAddr], base: u64, body: &str, record: &Record, name: &str) -> Option<u16> {
    for node in nodes {
        let reply = http::call(
            *node,
            "PUT",
            "/config",
            &[("If-Match", &base.to_string()), ("Content-Type", "application/json")],
            body.as_bytes(),
            Duration::from_secs(1),
        );
        record.line(&format!("operator: order {name} at {node}: {}", describe(&reply)));
        match reply {
            Ok(reply) if reply.status < 500 => return Some(reply.status),
            _ => sleep(Duration::from_millis(50)),
        }
    }
    None
}

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut fleet = Fleet::new(derwent_small(), 1, 1).map_err(|error| error.to_string())?;
    record.line(&format!("platform: starts 3 cores and 3 fronts; trouble: {trouble}"));
    fleet.start_all(&config(1, "puxsr7i"), record)?;
    sleep(Duration::from_secs(4));
    let (core, same_zone, other) = (0, 3, 4);
    let addresses: Vec<_> = fleet.machines.iter().map(|machine| machine.control()).collect();
    let frozen_at = Instant::now();
    if trouble {
        fleet.machines[core].signal(SIGSTOP);
        record.line(&format!("trouble: {} freezes", fleet.machines[core].name));
    }
    sleep(Duration::from_millis(100));
    let (first, second) = std::thread::scope(|scope| {
        record.line(&format!("operator: order A (version 3, If-Match 1) goes to {}", fleet.machines[core].name));
        let a = scope.spawn(|| send(&[addresses[core], addresses[other]], 1, &config(3, "lohu930"), record, "A"));
        sleep(Duration::from_millis(100));
        record.line(&format!("operator: order B (version 5, If-Match 3) goes to {}", fleet.machines[same_zone].name));
        let b = scope.spawn(|| send(&[addresses[same_zone], addresses[other]], 3, &config(5, "pule252"), record, "B"));
        (a.join().ok().flatten(), b.join().ok().flatten())
    });
    sleep(Duration::from_millis(FREEZE_MS).saturating_sub(frozen_at.elapsed()));
    if trouble {
        fleet.machines[core].signal(SIGCONT);
        record.line(&format!(
            "trouble: {} wakes after {} ms",
            fleet.machines[core].name,
            frozen_at.elapsed().as_millis()
        ));
    }
    sleep(Duration::from_secs(6));
    let mut in_force = None;
    for address in &addresses {
        let read = get_config(*address);
        record.line(&format!("operator: GET /config at {address} reads {}", describe(&read)));
        in_force = in_force.max(read.ok().and_then(|reply| version(&reply.body)));
    }
    if first != Some(200) {
        return Err(format!("order A ended with {first:?}"));
    }
    Ok(match (second, in_force) {
        (Some(412), Some(5)) => Verdict::Broken("version 5 was refused with 412 and is in force".into()),
        _ => Verdict::Held(format!("order B ended with {second:?}, and version {in_force:?} is in force")),
    })
}
