//! Metrics in the text format of Prometheus.

use super::responses::{quote, text};
use crate::shared::Shared;
use std::fmt::Write;
use std::sync::atomic::Ordering;
use sumacvale_core::call::{BUCKET_BOUNDS, COUNT_HELP, LatencyHistogram, RejectionCounters, RejectionReason};
use viz::{Response, StatusCode};

/// All metrics of this node.
pub fn all(shared: &Shared) -> Response {
    let mut output = String::new();
    let mut put = |name: &str, kind: &str, value: u64, help: &str| {
        let _ = writeln!(
            output,
            "# HELP sumacvale_{name} {}\n# TYPE sumacvale_{name} {kind}\nsumacvale_{name} {value}",
            help.trim()
        );
    };
    for ((name, value), (_, help)) in shared.call_state.counters.list().into_iter().zip(COUNT_HELP) {
        put(&format!("{name}_total"), "counter", value, help);
    }
    let view = shared.view.load();
    for (name, count, help) in &view.counters {
        put(&format!("{name}_total"), "counter", *count, help);
    }
    let load = |a: &std::sync::atomic::AtomicU64| a.load(Ordering::Relaxed);
    put("peer_bytes_total", "counter", load(&shared.link_counters.bytes_sent), "Bytes sent to other nodes.");
    put(
        "peer_cross_zone_bytes_total",
        "counter",
        load(&shared.link_counters.cross_zone_bytes_sent),
        "Bytes sent to nodes of other zones.",
    );
    put(
        "peer_invalid_frames_total",
        "counter",
        load(&shared.link_counters.invalid_frames),
        "Peer connections closed for what came on them.",
    );
    put(
        "peer_skipped_frames_total",
        "counter",
        load(&shared.link_counters.skipped_frames),
        "Peers' frames skipped, as this release can't read them.",
    );
    put(
        "peer_dropped_frames_total",
        "counter",
        load(&shared.link_counters.dropped_frames),
        "Frames dropped for want of room or for age.",
    );
    if let Some(d) = &shared.disk_error_count {
        put("disk_errors_total", "counter", load(d), "Writes that the disk refused.");
    }
    put("version", "gauge", view.version.unwrap_or(0), "Version of the configuration in force.");
    put("fresh", "gauge", u64::from(shared.may_admit(&view)), "Whether this node may admit calls.");
    put("workers", "gauge", view.workers.len() as u64, "Workers that take calls.");
    put("nodes", "gauge", view.nodes.iter().filter(|n| n.1).count() as u64, "Nodes that are here.");
    put("in_flight", "gauge", shared.call_state.worker_loads.total_in_flight(), "Calls at workers.");
    let (places, units) = shared.call_state.queue_lengths();
    put("queued_for_slot", "gauge", places, "Calls that wait for a slot at a worker.");
    put("queued_for_quota", "gauge", units, "Calls that wait for a unit of their quota.");
    put("body_bytes", "gauge", shared.call_state.body_budget.used() as u64, "Bytes of bodies held at once.");
    put("leases_held", "gauge", view.held_leases.len() as u64, "Leases held by this node.");
    refusals(&mut output, &shared.call_state.rejections);
    let _ = writeln!(
        output,
        "# HELP sumacvale_share_ppm Share of a tenant's rate held here.\n# TYPE sumacvale_share_ppm gauge"
    );
    for (t, share, _) in shared.call_state.slices.rates.list() {
        let _ = writeln!(output, "sumacvale_share_ppm{{tenant={}}} {share}", quote(&t));
    }
    let f = &shared.call_state;
    times(
        &mut output,
        "time_to_first_byte_seconds",
        "From the head of a call to the head of its response.",
        &f.time_to_first_byte,
    );
    times(&mut output, "quota_wait_seconds", "From the head of a call to its unit of the quota.", &f.quota_wait);
    times(&mut output, "slot_wait_seconds", "From the head of a call to its slot at a worker.", &f.slot_wait);
    text(StatusCode::OK, output)
}

/// One counter for each reason, those of nought too, so that they can be watched from the start.
fn refusals(s: &mut String, refusals: &RejectionCounters) {
    let help = "Calls that got an answer of this node's own, by reason.";
    let _ = writeln!(s, "# HELP sumacvale_rejected_total {help}\n# TYPE sumacvale_rejected_total counter");
    for reason in RejectionReason::ALL {
        let count = refusals.get(*reason);
        let _ = writeln!(s, "sumacvale_rejected_total{{reason=\"{}\"}} {count}", reason.name());
    }
}

/// One histogram, by the kinds of traffic.
fn times(s: &mut String, n: &str, help: &str, t: &LatencyHistogram) {
    let secs = |us: u64| format!("{}.{:06}", us / 1_000_000, us % 1_000_000);
    let _ = writeln!(s, "# HELP sumacvale_{n} {help}\n# TYPE sumacvale_{n} histogram");
    for x in t.snapshot() {
        let k = x.kind;
        for (e, c) in BUCKET_BOUNDS.iter().zip(&x.cumulative) {
            let _ = writeln!(s, "sumacvale_{n}_bucket{{kind=\"{k}\",le=\"{}\"}} {c}", secs(*e));
        }
        let _ = writeln!(s, "sumacvale_{n}_bucket{{kind=\"{k}\",le=\"+Inf\"}} {}", x.count);
        let _ = writeln!(s, "sumacvale_{n}_sum{{kind=\"{k}\"}} {}", secs(x.sum));
        let _ = writeln!(s, "sumacvale_{n}_count{{kind=\"{k}\"}} {}", x.count);
    }
}
