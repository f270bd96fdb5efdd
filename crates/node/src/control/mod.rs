//! The thread that steps the node: frames, timers, writes and pictures.

use crate::clock;
use crate::disk::WriteJob;
use crate::link::{LinkCounters, OutboundLinks, listen};
use crate::shared::{Command, Shared};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use sumacvale_core::base::{MS, NodeId, Version};
use sumacvale_core::call::RejectionLog;
use sumacvale_core::node::{Effect, Event, Node};
use sumacvale_core::protocol::{ChangeOutcome, Frame, encode_frame};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

/// The task that steps the core's node.
pub struct Brain {
    pub node: Node,
    pub shared: Arc<Shared>,
    pub inbox: mpsc::Receiver<Command>,
    pub synced: mpsc::UnboundedReceiver<u64>,
    pub disk: Option<std::sync::mpsc::Sender<WriteJob>>,
    pub version: watch::Sender<Option<Version>>,
    pub tally: Arc<LinkCounters>,
}

struct Open {
    waits: HashMap<u64, oneshot::Sender<ChangeOutcome>>,
    tells: HashMap<u64, oneshot::Sender<bool>>,
    n: u64,
    links: OutboundLinks,
    workers: Arc<Vec<sumacvale_core::protocol::WorkerReport>>,
    known: HashMap<NodeId, bool>,
    refusals: RejectionLog,
}

const TICK: Duration = Duration::from_millis(25);

impl Brain {
    /// Steps the node until the process stops.
    pub async fn run(mut self, l: TcpListener) {
        let (ftx, mut frx) = mpsc::channel::<Frame>(4096);
        let got = async move |f: Frame| {
            let _ = ftx.send(f).await;
        };
        tokio::task::spawn_local(listen(l, self.tally.clone(), got));
        let mut o = Open {
            waits: HashMap::new(),
            tells: HashMap::new(),
            n: 0,
            links: OutboundLinks::new(self.tally.clone()),
            workers: Arc::default(),
            known: HashMap::new(),
            refusals: RejectionLog::default(),
        };
        let mut t = tokio::time::interval(TICK);
        t.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let e = tokio::select! {
                biased;
                _ = t.tick() => Event::Tick,
                Some(n) = self.synced.recv() => Event::Synced(n),
                Some(f) = frx.recv() => Event::Frame(Box::new(f)),
                i = self.inbox.recv() => match i {
                    None => return,
                    Some(Command::Report(r)) => Event::Report(r),
                    Some(Command::ReportWithAck { report: row, reply: back }) => {
                        o.n += 1;
                        o.tells.insert(o.n, back);
                        Event::ReportWithAck { request_id: o.n, report: row }
                    }
                    Some(Command::QuotaNeeded { tenant, waiting }) => Event::QuotaNeeded { tenant, waiting },
                    Some(Command::Shutdown) => Event::Shutdown,
                    Some(Command::SeedsChanged(s)) => Event::SeedsChanged(s),
                    Some(Command::SubmitChange { change_id, is_first_send: fresh, base, change, reply: back }) => {
                        o.n += 1;
                        o.waits.insert(o.n, back);
                        Event::SubmitChange { request_id: o.n, change_id, is_first_send: fresh, base, change }
                    }
                },
            };
            let tick = matches!(e, Event::Tick);
            self.step(e, &mut o);
            if tick {
                self.log_refusals(&mut o.refusals);
                for (tenant, waiting) in self.shared.expire_waiters() {
                    self.step(Event::QuotaNeeded { tenant, waiting }, &mut o);
                }
            }
        }
    }

    fn step(&mut self, e: Event, o: &mut Open) {
        for e in self.node.step(e, clock::now()) {
            self.carry(e, o);
        }
    }

    fn carry(&mut self, e: Effect, o: &mut Open) {
        match e {
            Effect::Send { to, frame } => match encode_frame(&frame) {
                Ok(b) => {
                    let far = self
                        .node
                        .dissemination
                        .peers
                        .entries
                        .values()
                        .any(|s| s.record.addr == to && s.record.zone != self.node.settings.zone);
                    o.links.send(&to, b, far);
                }
                Err(e) => tracing::error!(trouble = %e, "a frame was not sent"),
            },
            Effect::Reconnect { to } => o.links.reconnect(&to),
            Effect::Write { token, writes: ops } => {
                if let Some(d) = &self.disk {
                    let _ = d.send(WriteJob { token, writes: ops });
                }
            }
            Effect::CompleteChange { request_id: req, outcome: fate } => {
                if let Some(b) = o.waits.remove(&req) {
                    let _ = b.send(fate);
                }
            }
            Effect::AcknowledgeReport { request_id: req, is_accepted: ok } => {
                if let Some(b) = o.tells.remove(&req) {
                    let _ = b.send(ok);
                }
            }
            Effect::WakeTenant { tenant } => {
                for r in self.shared.call_state.serve_quota_queue(&tenant, clock::now()) {
                    self.shared.deliver_wakeup(r);
                }
            }
            Effect::Publish(v) => {
                let before = *self.version.borrow();
                let news = !Arc::ptr_eq(&o.workers, &v.workers);
                let version = v.version;
                self.log(&v, o);
                o.workers = v.workers.clone();
                self.shared.view.store(v);
                if before != version {
                    tracing::info!(version = version, "a version is in force");
                    let _ = self.version.send(version);
                }
                if news {
                    for p in self.node.config.pools.keys() {
                        self.shared.call_state.caches.routes.delete(p);
                    }
                    self.shared.expire_waiters();
                }
            }
        }
    }

    /// Once a second while calls are refused: how many, by reason, and what this node stands on.
    fn log_refusals(&self, log: &mut RejectionLog) {
        let now = clock::now();
        let Some(counts) = log.line(&self.shared.call_state.rejections, now) else { return };
        let view = self.shared.view.load();
        let stamp_age_ms = view.confirmed_at.map(|at| now.saturating_sub(at) / MS);
        let (workers, version) = (view.workers.len(), view.version);
        tracing::warn!(%counts, ?version, ?stamp_age_ms, workers, "calls are refused");
    }

    fn log(&self, v: &sumacvale_core::node::View, o: &mut Open) {
        for (p, alive) in &v.nodes {
            if o.known.insert(p.node_id, *alive) != Some(*alive) {
                if *alive {
                    tracing::info!(node = %p.node_id, addr = %p.addr, zone = %p.zone, "a node is here");
                } else {
                    tracing::warn!(node = %p.node_id, addr = %p.addr, "a node is gone");
                }
            }
        }
        if o.known.len() > v.nodes.len() {
            o.known.retain(|n, _| v.nodes.iter().any(|x| x.0.node_id == *n));
        }
        let ids =
            |ws: &[sumacvale_core::protocol::WorkerReport]| ws.iter().map(|r| r.worker_id.clone()).collect::<Vec<_>>();
        if !Arc::ptr_eq(&o.workers, &v.workers) {
            let (a, b) = (ids(&o.workers), ids(&v.workers));
            for w in b.iter().filter(|w| !a.contains(w)) {
                tracing::info!(worker = %w, "a worker takes calls");
            }
            for w in a.iter().filter(|w| !b.contains(w)) {
                tracing::warn!(worker = %w, "a worker takes no calls");
            }
        }
    }
}
