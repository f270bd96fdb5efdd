//! Machines of a simulated world begin, end, stand still, come and go.

use crate::sim::calls::call_registry::CallRegistry;
use crate::sim::event::SimEvent;
use crate::sim::machines::disk::{Disk, RETRY};
use crate::sim::machines::slot::{Machine, SlowMode};
use crate::sim::world::{TICK, World};
use sumacvale_core::base::{MS, Micros, NodeId, SEC};
use sumacvale_core::call::SharedCallState;
use sumacvale_core::node::{Node, NodeSettings};

impl World {
    /// The address of the next new machine.
    pub fn address(&mut self) -> String {
        self.next_ip += 1;
        format!("10.0.{}.{}:7000", self.next_ip / 250, self.next_ip % 250 + 1)
    }

    fn seeds(&self) -> Vec<String> {
        self.machines.iter().filter(|s| s.is_core).take(3).map(|s| s.addr.clone()).collect()
    }

    /// What an operator's list named at some time: one core that is or will be up and does not go for good, the
    /// others as it comes. Who is told of such alone as are gone can't find the fleet.
    fn drawn(&mut self, i: usize) -> Vec<String> {
        let all: Vec<_> = self.machines.iter().filter(|s| s.is_core).map(|s| s.addr.clone()).collect();
        let stays = |j: &usize| {
            *j != i && self.machines[*j].is_core && !self.machines[*j].is_removed && !self.leaving_machines.contains(j)
        };
        let (up, down): (Vec<_>, Vec<_>) =
            (0..self.machines.len()).filter(stays).partition(|j| self.machines[*j].node.is_some());
        let up = if up.is_empty() { down } else { up };
        let mut v = Vec::new();
        if !up.is_empty() {
            v.push(self.machines[up[usize::try_from(self.rng.below(up.len() as u64)).unwrap_or(0)]].addr.clone());
        }
        while v.len() < 3 {
            v.push(all[usize::try_from(self.rng.below(all.len() as u64)).unwrap_or(0)].clone());
        }
        v.sort();
        v.dedup();
        v
    }

    /// All nodes begin anew, with the world's settings of now and nothing on their disks.
    pub fn renew(&mut self) {
        if self.tolerated_losses > 0 {
            for i in 0..self.machines.len() {
                self.lose_disk(i);
                self.start(i);
            }
        }
    }

    /// A machine with an empty disk comes.
    pub fn join(&mut self, zone: &str) {
        let addr = self.address();
        let off = self.rng.below(1_000 * SEC);
        self.machines.push(Machine {
            addr,
            calls: Machine::empty_registry(zone),
            is_ready: false,
            zone: zone.to_owned(),
            is_core: true,
            is_removed: false,
            node: None,
            disk: Disk::default(),
            disk_since: self.now,
            incarnation: 0,
            clock_offset: off,
            clock_drift_ppm: 500,
            frozen_until: 0,
            slow_mode: None,
            deferred_events: Vec::new(),
            last_version: None,
        });
        self.log(format!("joins {}", self.machines[self.machines.len() - 1].addr));
        self.start(self.machines.len() - 1);
    }

    /// A machine goes for good.
    pub fn retire(&mut self, i: usize) {
        self.kill(i);
        self.machines[i].is_removed = true;
    }

    /// A core whose disk is full waits for room before it does anything, as the real one does.
    pub fn start(&mut self, i: usize) {
        if self.machines[i].is_core && self.machines[i].disk.full_until > self.now {
            let life = self.machines[i].incarnation;
            self.log(format!("{} finds its disk full and waits", self.machines[i].addr));
            return self.schedule(self.now + RETRY, SimEvent::RetryStart(i, life));
        }
        let seeds = if self.may_bootstrap { self.seeds() } else { self.drawn(i) };
        let seed = self.rng.next_u64();
        let fresh = NodeId(self.rng.next_u64().max(1));
        let now = self.now;
        let s = &mut self.machines[i];
        s.incarnation += 1;
        if s.is_core && s.disk.durable.node_id == NodeId::default() {
            s.disk.durable.node_id = fresh;
        }
        let node_id = if s.is_core { s.disk.durable.node_id } else { fresh };
        let me = NodeSettings {
            node_id,
            incarnation: s.incarnation,
            addr: s.addr.clone(),
            admin: String::new(),
            zone: s.zone.clone(),
            seeds,
            is_core: s.is_core,
            config_reader: sumacvale_core::config::validate,
            may_bootstrap: self.may_bootstrap,
            manages_voters: self.tolerated_losses > 0,
            tolerated_losses: self.tolerated_losses.max(1),
            report_interval: self.report_interval,
            reports_to_cores_only: self.report_interval > 500 * MS,
        };
        s.frozen_until = 0;
        s.deferred_events.clear();
        s.last_version = None;
        let kept = if s.is_core { s.disk.durable.clone() } else { sumacvale_core::consensus::DurableState::default() };
        let n = Node::new(me, &kept, seed, s.clock(now));
        s.calls = CallRegistry::new(SharedCallState::new(&s.zone, 256, 64 << 20, n.quota.slices.clone()));
        s.node = Some(n);
        let life = s.incarnation;
        let d = self.rng.below(TICK);
        self.schedule(now + d, SimEvent::Tick(i, life));
    }

    pub(in crate::sim) fn retry_start(&mut self, i: usize, life: u64) {
        let s = &self.machines[i];
        if s.node.is_some() || s.is_removed || s.incarnation != life {
            return;
        }
        if s.disk.full_until > self.now {
            return self.schedule(self.now + RETRY, SimEvent::RetryStart(i, life));
        }
        self.start(i);
    }

    /// The machine stands still until then, with all its processes.
    pub fn freeze(&mut self, i: usize, until: Micros) {
        self.machines[i].frozen_until = until;
        self.freezes.push((i, self.now, until));
        self.schedule(until, SimEvent::Unfreeze(i));
    }

    /// Whether a slow machine can't do now what comes; all of it is done in order in its next turn.
    pub(in crate::sim) fn waits_for_slow_period(&mut self, i: usize) -> bool {
        let s = &self.machines[i];
        if s.node.is_none() {
            return false;
        }
        let turn = s.next_run_time(self.now);
        if s.deferred_events.is_empty() && turn > self.now {
            self.schedule(turn, SimEvent::SlowPeriodBegin(i));
            return true;
        }
        !s.deferred_events.is_empty()
    }

    /// It goes on, and finds all that came waiting.
    pub fn unfreeze(&mut self, i: usize) {
        self.machines[i].frozen_until = 0;
        for h in std::mem::take(&mut self.machines[i].deferred_events) {
            self.schedule(self.now, h);
        }
    }

    /// The process ends; the machine closes its connections.
    pub fn kill(&mut self, i: usize) {
        self.connections.process_ended(i);
        self.end_process(i);
    }

    /// The machine loses power: what is on its way to it is lost, and nobody is told.
    pub fn lose_power(&mut self, i: usize) {
        self.connections.power_lost(i, self.now);
        self.pending_events.retain(|_, h| !matches!(h, SimEvent::Frame { to, .. } if *to == i));
        self.end_process(i);
    }

    fn end_process(&mut self, i: usize) {
        self.machines[i].node = None;
        self.drop_calls(i);
        self.machines[i].disk.lose_power(self.now, &mut self.rng);
    }

    /// The machine is lost with its disk; an empty one comes at a new address, to which nobody has a connection.
    pub fn wipe(&mut self, i: usize) {
        self.kill(i);
        let a = self.address();
        self.lose_disk(i);
        self.machines[i].addr = a;
    }

    /// The machine has an empty disk from now on.
    pub fn lose_disk(&mut self, i: usize) {
        self.machines[i].disk = Disk::default();
        self.machines[i].disk_since = self.now;
    }

    /// The cores that run, those whose disks have lasted longest first.
    pub fn oldest_disks(&self) -> Vec<usize> {
        let mut cores: Vec<usize> =
            (0..self.machines.len()).filter(|i| self.machines[*i].is_core && self.is_running(*i)).collect();
        cores.sort_by_key(|i| (self.machines[*i].disk_since, *i));
        cores
    }

    /// The machine runs several times slower until then.
    pub fn slow_down(&mut self, i: usize, until: Micros, period: Micros) {
        self.log(format!("{} runs slowly until {until}, in periods of {period}", self.machines[i].addr));
        self.machines[i].slow_mode = Some(SlowMode { until, period });
    }
}
