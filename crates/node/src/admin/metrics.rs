//! Metrics in the text format of Prometheus.

use super::responses::{quote, text};
use crate::shared::Shared;
use std::fmt::Write;
use std::sync::atomic::Ordering;
use sumacvale_core::call::{BUCKET_BOUNDS, COUNT_HELP, LatencyHistogram, RejectionCounters, RejectionReason};
use viz::{Response, StatusCode};

/// All metrics of this node.
pub fn all(h: &Shared) -> Response {
    let mut s = String::new();
    let mut put = |n: &str, t: &str, v: u64, help: &str| {
        let _ = writeln!(s, "# HELP sumacvale_{n} {}\n# TYPE sumacvale_{n} {t}\nsumacvale_{n} {v}", help.trim());
    };
    for ((n, v), (_, d)) in h.call_state.counters.list().into_iter().zip(COUNT_HELP) {
        put(&format!("{n}_total"), "counter", v, d);
    }
    let v = h.view.load();
    for (n, c, d) in &v.counters {
        put(&format!("{n}_total"), "counter", *c, d);
    }
    let l = |a: &std::sync::atomic::AtomicU64| a.load(Ordering::Relaxed);
    put("peer_bytes_total", "counter", l(&h.link_counters.bytes_sent), "Bytes sent to other nodes.");
    put(
        "peer_cross_zone_bytes_total",
        "counter",
        l(&h.link_counters.cross_zone_bytes_sent),
        "Bytes sent to nodes of other zones.",
    );
    put(
        "peer_invalid_frames_total",
        "counter",
        l(&h.link_counters.invalid_frames),
        "Peer connections closed for what came on them.",
    );
    put(
        "peer_skipped_frames_total",
        "counter",
        l(&h.link_counters.skipped_frames),
        "Peers' frames skipped, as this release can't read them.",
    );
    put(
        "peer_dropped_frames_total",
        "counter",
        l(&h.link_counters.dropped_frames),
        "Frames dropped for want of room or for age.",
    );
    if let Some(d) = &h.disk_error_count {
        put("disk_errors_total", "counter", l(d), "Writes that the disk refused.");
    }
    put("version", "gauge", v.version.unwrap_or(0), "Version of the configuration in force.");
    put("fresh", "gauge", u64::from(h.may_admit(&v)), "Whether this node may admit calls.");
    put("workers", "gauge", v.workers.len() as u64, "Workers that take calls.");
    put("nodes", "gauge", v.nodes.iter().filter(|n| n.1).count() as u64, "Nodes that are here.");
    put("in_flight", "gauge", h.call_state.worker_loads.total_in_flight(), "Calls at workers.");
    let (places, units) = h.call_state.queue_lengths();
    put("queued_for_slot", "gauge", places, "Calls that wait for a slot at a worker.");
    put("queued_for_quota", "gauge", units, "Calls that wait for a unit of their quota.");
    put("body_bytes", "gauge", h.call_state.body_budget.used() as u64, "Bytes of bodies held at once.");
    put("leases_held", "gauge", v.held_leases.len() as u64, "Leases held by this node.");
    refusals(&mut s, &h.call_state.rejections);
    let _ =
        writeln!(s, "# HELP sumacvale_share_ppm Share of a tenant's rate held here.\n# TYPE sumacvale_share_ppm gauge");
    for (t, share, _) in h.call_state.slices.rates.list() {
        let _ = writeln!(s, "sumacvale_share_ppm{{tenant={}}} {share}", quote(&t));
    }
    let f = &h.call_state;
    times(
        &mut s,
        "time_to_first_byte_seconds",
        "From the head of a call to the head of its response.",
        &f.time_to_first_byte,
    );
    times(&mut s, "quota_wait_seconds", "From the head of a call to its unit of the quota.", &f.quota_wait);
    times(&mut s, "slot_wait_seconds", "From the head of a call to its slot at a worker.", &f.slot_wait);
    text(StatusCode::OK, s)
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
