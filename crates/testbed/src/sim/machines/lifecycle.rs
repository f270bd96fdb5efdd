//! The lifecycle of simulated machines: processes start, stop and freeze, and machines join and are removed.

use crate::sim::calls::call_registry::CallRegistry;
use crate::sim::event::SimEvent;
use crate::sim::machines::disk::{Disk, RETRY_INTERVAL};
use crate::sim::machines::slot::{Machine, SlowMode};
use crate::sim::world::{TICK_INTERVAL, World};
use std::cmp::Reverse;
use sumacvale_core::base::{MS, Micros, NodeId, SEC};
use sumacvale_core::call::SharedCallState;
use sumacvale_core::node::{Node, NodeSettings};

impl World {
    /// Returns the address of the next new machine.
    pub fn address(&mut self) -> String {
        self.next_ip += 1;
        format!("10.0.{}.{}:7000", self.next_ip / 250, self.next_ip % 250 + 1)
    }

    /// Returns the first three cores as seeds.
    fn seeds(&self) -> Vec<String> {
        self.machines.iter().filter(|s| s.is_core).take(3).map(|s| s.addr.clone()).collect()
    }

    /// Draws the seeds of a machine, as an operator's list that is partly outdated.
    ///
    /// One seed is a core that is up, or will be, and is not removed for good; the others are any cores. A node whose
    /// seeds are all removed can't find the fleet.
    fn draw_seeds(&mut self, index: usize) -> Vec<String> {
        let all: Vec<_> = self.machines.iter().filter(|s| s.is_core).map(|s| s.addr.clone()).collect();
        let is_staying = |other: &usize| {
            *other != index
                && self.machines[*other].is_core
                && !self.machines[*other].is_removed
                && !self.leaving_machines.contains(other)
        };
        let (up, down): (Vec<_>, Vec<_>) =
            (0..self.machines.len()).filter(is_staying).partition(|other| self.machines[*other].node.is_some());
        let up = if up.is_empty() { down } else { up };
        let mut seeds = Vec::new();
        if !up.is_empty() {
            seeds.push(
                self.machines[up[usize::try_from(self.rng.next_below(up.len() as u64)).unwrap_or(0)]].addr.clone(),
            );
        }
        while seeds.len() < 3 {
            seeds.push(all[usize::try_from(self.rng.next_below(all.len() as u64)).unwrap_or(0)].clone());
        }
        seeds.sort();
        seeds.dedup();
        seeds
    }

    /// Restarts all nodes with empty disks and the current settings of the world, where cores manage the voters.
    pub fn restart_with_empty_disks(&mut self) {
        if self.tolerated_losses > 0 {
            for index in 0..self.machines.len() {
                self.lose_disk(index);
                self.start(index);
            }
        }
    }

    /// Adds a core with an empty disk and starts it.
    pub fn join(&mut self, zone: &str) {
        let addr = self.address();
        let clock_offset = self.rng.next_below(1_000 * SEC);
        self.machines.push(Machine {
            addr,
            calls: Machine::empty_registry(zone),
            is_ready: false,
            zone: zone.to_owned(),
            is_core: true,
            is_removed: false,
            node: None,
            disk: Disk::default(),
            disk_installed_at: self.now,
            incarnation: 0,
            clock_offset,
            clock_drift_ppm: 500,
            frozen_until: 0,
            slow_mode: None,
            deferred_events: Vec::new(),
            last_version: None,
        });
        self.log(format!("{} joins the fleet", self.machines[self.machines.len() - 1].addr));
        self.start(self.machines.len() - 1);
    }

    /// Kills the process of a machine and removes the machine for good.
    pub fn retire(&mut self, index: usize) {
        self.kill(index);
        self.machines[index].is_removed = true;
    }

    /// Starts the process of a machine; a core with a full disk waits for room first, as the real one does.
    pub fn start(&mut self, index: usize) {
        if self.machines[index].is_core && self.machines[index].disk.full_until > self.now {
            let incarnation = self.machines[index].incarnation;
            self.log(format!("{} finds its disk full and waits", self.machines[index].addr));
            return self.schedule(self.now + RETRY_INTERVAL, SimEvent::RetryStart(index, incarnation));
        }
        let seeds = if self.may_bootstrap { self.seeds() } else { self.draw_seeds(index) };
        let seed = self.rng.next_u64();
        let new_node_id = NodeId(self.rng.next_u64().max(1));
        let now = self.now;
        let machine = &mut self.machines[index];
        machine.incarnation += 1;
        if machine.is_core && machine.disk.durable.node_id == NodeId::default() {
            machine.disk.durable.node_id = new_node_id;
        }
        let node_id = if machine.is_core { machine.disk.durable.node_id } else { new_node_id };
        let settings = NodeSettings {
            node_id,
            incarnation: machine.incarnation,
            addr: machine.addr.clone(),
            admin_addr: String::new(),
            zone: machine.zone.clone(),
            seeds,
            is_core: machine.is_core,
            config_reader: sumacvale_core::config::validate,
            may_bootstrap: self.may_bootstrap,
            manages_voters: self.tolerated_losses > 0,
            tolerated_losses: self.tolerated_losses.max(1),
            report_interval: self.report_interval,
            workers_report_to_cores_only: self.report_interval > 500 * MS,
        };
        machine.frozen_until = 0;
        machine.deferred_events.clear();
        machine.last_version = None;
        let durable = if machine.is_core {
            machine.disk.durable.clone()
        } else {
            sumacvale_core::consensus::DurableState::default()
        };
        let node = Node::new(settings, &durable, seed, machine.clock(now));
        machine.calls =
            CallRegistry::new(SharedCallState::new(&machine.zone, 256, 64 << 20, node.quota.slices.clone()));
        machine.node = Some(node);
        let incarnation = machine.incarnation;
        let delay = self.rng.next_below(TICK_INTERVAL);
        self.schedule(now + delay, SimEvent::Tick(index, incarnation));
    }

    /// Retries the start of a core that found its disk full.
    pub(in crate::sim) fn retry_start(&mut self, index: usize, incarnation: u64) {
        let machine = &self.machines[index];
        if machine.node.is_some() || machine.is_removed || machine.incarnation != incarnation {
            return;
        }
        if machine.disk.full_until > self.now {
            return self.schedule(self.now + RETRY_INTERVAL, SimEvent::RetryStart(index, incarnation));
        }
        self.start(index);
    }

    /// Freezes a machine with all its processes until then.
    pub fn freeze(&mut self, index: usize, until: Micros) {
        self.machines[index].frozen_until = until;
        self.freezes.push((index, self.now, until));
        self.schedule(until, SimEvent::Unfreeze(index));
    }

    /// Returns true while a slow machine can't handle events; its next running part then handles them in order.
    pub(in crate::sim) fn must_wait_for_slow_period(&mut self, index: usize) -> bool {
        let machine = &self.machines[index];
        if machine.node.is_none() {
            return false;
        }
        let next_run = machine.next_run_time(self.now);
        if machine.deferred_events.is_empty() && next_run > self.now {
            self.schedule(next_run, SimEvent::SlowPeriodBegin(index));
            return true;
        }
        !machine.deferred_events.is_empty()
    }

    /// Ends the freeze of a machine, and schedules its deferred events for now. They keep their numbers, so that they
    /// are handled before events of this moment that were scheduled after them.
    pub fn unfreeze(&mut self, index: usize) {
        self.machines[index].frozen_until = 0;
        for (number, event) in std::mem::take(&mut self.machines[index].deferred_events) {
            self.pending_events.insert(number, event);
            self.event_queue.push(Reverse((self.now, number, 0)));
        }
    }

    /// Kills the process of a machine, whose kernel closes the connections.
    pub fn kill(&mut self, index: usize) {
        self.connections.process_ended(index);
        self.end_process(index);
    }

    /// Cuts the power of a machine: frames in flight to it are lost, and no peer is notified.
    pub fn lose_power(&mut self, index: usize) {
        self.connections.power_lost(index, self.now);
        self.pending_events.retain(|_, event| !matches!(event, SimEvent::Frame { to, .. } if *to == index));
        self.end_process(index);
    }

    /// Drops the node of a machine, its calls and the writes that are not synced.
    fn end_process(&mut self, index: usize) {
        self.machines[index].node = None;
        self.drop_calls(index);
        self.machines[index].disk.lose_power(self.now, &mut self.rng);
    }

    /// Replaces a machine by one with an empty disk at a new address, to which no peer has a connection.
    pub fn wipe(&mut self, index: usize) {
        self.kill(index);
        let addr = self.address();
        self.lose_disk(index);
        self.machines[index].addr = addr;
    }

    /// Replaces the disk of a machine by an empty one.
    pub fn lose_disk(&mut self, index: usize) {
        self.machines[index].disk = Disk::default();
        self.machines[index].disk_installed_at = self.now;
    }

    /// Returns the cores that run, those with the oldest disks first.
    pub fn oldest_disks(&self) -> Vec<usize> {
        let mut cores: Vec<usize> =
            (0..self.machines.len()).filter(|index| self.machines[*index].is_core && self.is_running(*index)).collect();
        cores.sort_by_key(|index| (self.machines[*index].disk_installed_at, *index));
        cores
    }

    /// Makes a machine run several times slower until then.
    pub fn slow_down(&mut self, index: usize, until: Micros, period: Micros) {
        self.log(format!("{} runs slowly until {until}, in periods of {period}", self.machines[index].addr));
        self.machines[index].slow_mode = Some(SlowMode { until, period });
    }
}
