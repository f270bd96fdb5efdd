//! Exports metrics in the text format of Prometheus.

use super::responses::{quote, text};
use crate::shared::Shared;
use std::fmt::Write;
use std::sync::atomic::Ordering;
use sumacvale_core::call::{
    AbortCause, AbortCounters, BUCKET_BOUNDS, COUNTER_HELP_TEXTS, LatencyHistogram, RejectionCounters, RejectionReason,
};
use sumacvale_core::retry::{AttemptCounters, FailurePoint};
use viz::{Response, StatusCode};

/// Returns all metrics of this node.
pub fn render(shared: &Shared) -> Response {
    let mut output = String::new();
    let mut write_metric = |name: &str, kind: &str, value: u64, help: &str| {
        let _ = writeln!(
            output,
            "# HELP sumacvale_{name} {}\n# TYPE sumacvale_{name} {kind}\nsumacvale_{name} {value}",
            help.trim()
        );
    };
    for ((name, value), (_, help)) in shared.call_state.counters.list().into_iter().zip(COUNTER_HELP_TEXTS) {
        write_metric(&format!("{name}_total"), "counter", value, help);
    }
    let view = shared.view.load();
    for (name, count, help) in &view.counters {
        write_metric(&format!("{name}_total"), "counter", *count, help);
    }
    let load = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
    write_metric("peer_bytes_total", "counter", load(&shared.link_counters.bytes_sent), "Bytes sent to other nodes.");
    write_metric(
        "peer_cross_zone_bytes_total",
        "counter",
        load(&shared.link_counters.cross_zone_bytes_sent),
        "Bytes sent to nodes of other zones.",
    );
    write_metric(
        "peer_invalid_frames_total",
        "counter",
        load(&shared.link_counters.invalid_frames),
        "Peer connections closed for what came on them.",
    );
    write_metric(
        "peer_skipped_frames_total",
        "counter",
        load(&shared.link_counters.skipped_frames),
        "Peers' frames skipped, as this release can't read them.",
    );
    write_metric(
        "peer_dropped_frames_total",
        "counter",
        load(&shared.link_counters.dropped_frames),
        "Frames dropped for want of room or for age.",
    );
    if let Some(error_count) = &shared.disk_error_count {
        write_metric("disk_errors_total", "counter", load(error_count), "Writes that the disk refused.");
    }
    write_metric("version", "gauge", view.version.unwrap_or(0), "Version of the configuration in force.");
    write_metric("fresh", "gauge", u64::from(shared.may_admit(&view)), "Whether this node may admit calls.");
    write_metric("workers", "gauge", view.workers.len() as u64, "Workers that take calls.");
    write_metric("nodes", "gauge", view.nodes.iter().filter(|n| n.1).count() as u64, "Nodes that are here.");
    write_metric("in_flight", "gauge", shared.call_state.worker_loads.total_in_flight(), "Calls at workers.");
    let (waiting_for_slot, waiting_for_quota) = shared.call_state.queue_lengths();
    write_metric("queued_for_slot", "gauge", waiting_for_slot, "Calls that wait for a slot at a worker.");
    write_metric("queued_for_quota", "gauge", waiting_for_quota, "Calls that wait for a unit of their quota.");
    write_metric("body_bytes", "gauge", shared.call_state.body_budget.used() as u64, "Bytes of bodies held at once.");
    write_metric("leases_held", "gauge", view.held_leases.len() as u64, "Leases held by this node.");
    write_rejections(&mut output, &shared.call_state.rejections);
    write_aborts(&mut output, &shared.call_state.aborts);
    write_attempts(&mut output, &shared.call_state.attempt_counters);
    let _ = writeln!(
        output,
        "# HELP sumacvale_share_ppm Share of a tenant's rate held here.\n# TYPE sumacvale_share_ppm gauge"
    );
    for (tenant, share, _) in shared.call_state.slices.rates.list() {
        let _ = writeln!(output, "sumacvale_share_ppm{{tenant={}}} {share}", quote(&tenant));
    }
    let call_state = &shared.call_state;
    write_histogram(
        &mut output,
        "time_to_first_byte_seconds",
        "From the head of a call to the head of its response.",
        &call_state.time_to_first_byte,
    );
    write_histogram(
        &mut output,
        "quota_wait_seconds",
        "From the head of a call to its unit of the quota.",
        &call_state.quota_wait,
    );
    write_histogram(
        &mut output,
        "slot_wait_seconds",
        "From the head of a call to its slot at a worker.",
        &call_state.slot_wait,
    );
    text(StatusCode::OK, output)
}

/// Writes one counter for each rejection reason. Counters of 0 are included, so that every series exists from
/// the start.
fn write_rejections(output: &mut String, rejections: &RejectionCounters) {
    let help = "Calls that got an answer of this node's own, by reason.";
    let _ = writeln!(output, "# HELP sumacvale_rejected_total {help}\n# TYPE sumacvale_rejected_total counter");
    for reason in RejectionReason::ALL {
        let count = rejections.get(*reason);
        let _ = writeln!(output, "sumacvale_rejected_total{{reason=\"{}\"}} {count}", reason.name());
    }
}

/// Writes one counter for each cause of an abort, also those that are 0.
fn write_aborts(output: &mut String, aborts: &AbortCounters) {
    let help = "Responses that were aborted after their head, by cause.";
    let _ = writeln!(output, "# HELP sumacvale_aborted_total {help}\n# TYPE sumacvale_aborted_total counter");
    for cause in AbortCause::ALL {
        let _ = writeln!(output, "sumacvale_aborted_total{{cause=\"{}\"}} {}", cause.name(), aborts.get(cause));
    }
}

/// Writes the attempts of each pool: first attempts, retries by what preceded them, and retries over the budget.
fn write_attempts(output: &mut String, counters: &AttemptCounters) {
    let counts = counters.list();
    let mut write_series = |name: &str, help: &str, rows: Vec<(String, u64)>| {
        let _ = writeln!(output, "# HELP sumacvale_{name} {help}\n# TYPE sumacvale_{name} counter");
        for (labels, count) in rows {
            let _ = writeln!(output, "sumacvale_{name}{{{labels}}} {count}");
        }
    };
    let first = counts.iter().map(|(pool, attempts)| (format!("pool={}", quote(pool)), attempts.first));
    write_series("pool_attempts_first_total", "First attempts sent to workers of a pool.", first.collect());
    let retries = counts.iter().flat_map(|(pool, attempts)| {
        let row =
            |(point, count): (&FailurePoint, u64)| (format!("pool={},after=\"{}\"", quote(pool), point.name()), count);
        FailurePoint::ALL.iter().zip(attempts.retries).map(row).collect::<Vec<_>>()
    });
    write_series("pool_retries_total", "Retries at a pool, by how the attempt before failed.", retries.collect());
    let denied = counts.iter().map(|(pool, attempts)| (format!("pool={}", quote(pool)), attempts.over_budget));
    write_series("pool_retries_over_budget_total", "Retries that the budget did not allow.", denied.collect());
}

/// Writes one histogram, with a series for each kind of traffic.
fn write_histogram(output: &mut String, name: &str, help: &str, histogram: &LatencyHistogram) {
    let seconds = |micros: u64| format!("{}.{:06}", micros / 1_000_000, micros % 1_000_000);
    let _ = writeln!(output, "# HELP sumacvale_{name} {help}\n# TYPE sumacvale_{name} histogram");
    for series in histogram.snapshot() {
        let kind = series.kind;
        for (bound, count) in BUCKET_BOUNDS.iter().zip(&series.cumulative) {
            let _ = writeln!(output, "sumacvale_{name}_bucket{{kind=\"{kind}\",le=\"{}\"}} {count}", seconds(*bound));
        }
        let _ = writeln!(output, "sumacvale_{name}_bucket{{kind=\"{kind}\",le=\"+Inf\"}} {}", series.count);
        let _ = writeln!(output, "sumacvale_{name}_sum{{kind=\"{kind}\"}} {}", seconds(series.sum));
        let _ = writeln!(output, "sumacvale_{name}_count{{kind=\"{kind}\"}} {}", series.count);
    }
}
