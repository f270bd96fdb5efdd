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
    pub fn address(&mut self) -> String {
        self.next_ip += 1;
        format!("10.0.{}.{}:7000", self.next_ip / 250, self.next_ip % 250 + 1)
    }

    fn seeds(&self) -> Vec<String> {
        self.slots.iter().filter(|s| s.core).take(3).map(|s| s.addr.clone()).collect()
    }

    /// What an operator's list named at some time: one core that is or will be up and does not go for good, the
    /// others as it comes. Who is told of such alone as are gone can't find the fleet.
    fn drawn(&mut self, i: usize) -> Vec<String> {
        let all: Vec<_> = self.slots.iter().filter(|s| s.core).map(|s| s.addr.clone()).collect();
        let stays = |j: &usize| *j != i && self.slots[*j].core && !self.slots[*j].gone && !self.leaving.contains(j);
        let (up, down): (Vec<_>, Vec<_>) =
            (0..self.slots.len()).filter(stays).partition(|j| self.slots[*j].node.is_some());
        let up = if up.is_empty() { down } else { up };
        let mut v = Vec::new();
        if !up.is_empty() {
            v.push(self.slots[up[usize::try_from(self.rng.below(up.len() as u64)).unwrap_or(0)]].addr.clone());
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
        if self.lose > 0 {
            for i in 0..self.slots.len() {
                self.lose_disk(i);
                self.start(i);
            }
        }
    }

    /// A machine with an empty disk comes.
    pub fn join(&mut self, zone: &str) {
        let addr = self.address();
        let off = self.rng.below(1_000 * SEC);
        self.slots.push(Machine {
            addr,
            hall: Machine::empty(zone),
            ready: false,
            zone: zone.to_owned(),
            core: true,
            gone: false,
            node: None,
            disk: Disk::default(),
            disk_since: self.now,
            life: 0,
            off,
            fast: 500,
            frozen: 0,
            slow: None,
            pend: Vec::new(),
            shown: None,
        });
        self.say(format!("joins {}", self.slots[self.slots.len() - 1].addr));
        self.start(self.slots.len() - 1);
    }

    /// A machine goes for good.
    pub fn retire(&mut self, i: usize) {
        self.kill(i);
        self.slots[i].gone = true;
    }

    /// A core whose disk is full waits for room before it does anything, as the real one does.
    pub fn start(&mut self, i: usize) {
        if self.slots[i].core && self.slots[i].disk.full > self.now {
            let life = self.slots[i].life;
            self.say(format!("{} finds its disk full and waits", self.slots[i].addr));
            return self.push(self.now + RETRY, SimEvent::Room(i, life));
        }
        let seeds = if self.first { self.seeds() } else { self.drawn(i) };
        let seed = self.rng.next_u64();
        let fresh = NodeId(self.rng.next_u64().max(1));
        let now = self.now;
        let s = &mut self.slots[i];
        s.life += 1;
        if s.core && s.disk.kept.node_id == NodeId::default() {
            s.disk.kept.node_id = fresh;
        }
        let node_id = if s.core { s.disk.kept.node_id } else { fresh };
        let me = NodeSettings {
            node_id,
            incarnation: s.life,
            addr: s.addr.clone(),
            admin: String::new(),
            zone: s.zone.clone(),
            seeds,
            is_core: s.core,
            config_reader: sumacvale_core::config::validate,
            may_bootstrap: self.first,
            manages_voters: self.lose > 0,
            tolerated_losses: self.lose.max(1),
            report_interval: self.beat,
            reports_to_cores_only: self.beat > 500 * MS,
        };
        s.frozen = 0;
        s.pend.clear();
        s.shown = None;
        let kept = if s.core { s.disk.kept.clone() } else { Default::default() };
        let n = Node::new(me, &kept, seed, s.clock(now));
        s.hall = CallRegistry::new(SharedCallState::new(&s.zone, 256, 64 << 20, n.quota.slices.clone()));
        s.node = Some(n);
        let life = s.life;
        let d = self.rng.below(TICK);
        self.push(now + d, SimEvent::Tick(i, life));
    }

    pub(in crate::sim) fn look_for_room(&mut self, i: usize, life: u64) {
        let s = &self.slots[i];
        if s.node.is_some() || s.gone || s.life != life {
            return;
        }
        if s.disk.full > self.now {
            return self.push(self.now + RETRY, SimEvent::Room(i, life));
        }
        self.start(i);
    }

    /// The machine stands still until then, with all its processes.
    pub fn freeze(&mut self, i: usize, until: Micros) {
        self.slots[i].frozen = until;
        self.slept.push((i, self.now, until));
        self.push(until, SimEvent::Thaw(i));
    }

    /// Whether a slow machine can't do now what comes; all of it is done in order in its next turn.
    pub(in crate::sim) fn waits_for_its_turn(&mut self, i: usize) -> bool {
        let s = &self.slots[i];
        if s.node.is_none() {
            return false;
        }
        let turn = s.runs_at(self.now);
        if s.pend.is_empty() && turn > self.now {
            self.push(turn, SimEvent::Resume(i));
            return true;
        }
        !s.pend.is_empty()
    }

    /// It goes on, and finds all that came waiting.
    pub fn thaw(&mut self, i: usize) {
        self.slots[i].frozen = 0;
        for h in std::mem::take(&mut self.slots[i].pend) {
            self.push(self.now, h);
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
        self.what.retain(|_, h| !matches!(h, SimEvent::Frame { to, .. } if *to == i));
        self.end_process(i);
    }

    fn end_process(&mut self, i: usize) {
        self.slots[i].node = None;
        self.drop_calls(i);
        self.slots[i].disk.cut(self.now, &mut self.rng);
    }

    /// The machine is lost with its disk; an empty one comes at a new address, to which nobody has a connection.
    pub fn wipe(&mut self, i: usize) {
        self.kill(i);
        let a = self.address();
        self.lose_disk(i);
        self.slots[i].addr = a;
    }

    /// The machine has an empty disk from now on.
    pub fn lose_disk(&mut self, i: usize) {
        self.slots[i].disk = Disk::default();
        self.slots[i].disk_since = self.now;
    }

    /// The cores that run, those whose disks have lasted longest first.
    pub fn oldest_disks(&self) -> Vec<usize> {
        let mut cores: Vec<usize> = (0..self.slots.len()).filter(|i| self.slots[*i].core && self.alive(*i)).collect();
        cores.sort_by_key(|i| (self.slots[*i].disk_since, *i));
        cores
    }

    /// The machine runs several times slower until then.
    pub fn slow_down(&mut self, i: usize, until: Micros, period: Micros) {
        self.say(format!("{} runs slowly until {until}, in periods of {period}", self.slots[i].addr));
        self.slots[i].slow = Some(SlowMode { until, period });
    }
}
