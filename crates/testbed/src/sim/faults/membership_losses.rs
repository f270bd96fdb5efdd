//! Losses and replacements of cores in fleets whose cores manage the voters themselves, and how fast they recover.

use crate::sim::checks::safety::Violation;
use crate::sim::faults::profiles::Fault;
use crate::sim::operators::traffic::Operators;
use crate::sim::world::World;
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::node::Event;

/// A machine counts as lost until this long after its return, in microseconds; by then the voter set must be complete
/// and all nodes fresh.
const RECOVERY_TIME: Micros = 4 * SEC;
/// A process that was asked to shut down is killed after this, in microseconds.
const SHUTDOWN_GRACE: Micros = 8 * SEC;

/// The probability, in percent, that the cores with the oldest disks are lost instead of drawn ones.
const OLDEST_DISKS_PERCENT: u64 = 25;

/// An action on a machine, given by its index, that is scheduled for a later moment.
#[derive(Clone, Copy, Debug)]
enum MembershipAction {
    /// Starts the machine again.
    Start(usize),
    /// Removes the machine for good, once its process may stop.
    Remove(usize),
    /// Adds a machine with an empty disk in the zone of this one, at a new address.
    Join(usize),
    /// Marks the end of a freeze or a partition.
    Recovered,
}

/// Injects losses, replacements and wipes of cores of which no node is notified, and measures the recovery.
#[derive(Default)]
pub struct MembershipFaults {
    /// The scheduled actions and when each is due.
    scheduled_actions: Vec<(Micros, MembershipAction)>,
    /// When the last machine was lost or returned, while one still counts as lost.
    last_change_at: Option<Micros>,
    /// Disks are lost once more changes than this are accepted; if true, all other machines lose power as well.
    pending_ack_loss: Option<(u64, bool)>,
    /// The time from the last return until all voters were live, for each loss.
    pub voters_live_after: Vec<Micros>,
    /// The time from the last return until all nodes were fresh, for each loss.
    pub nodes_fresh_after: Vec<Micros>,
    /// The times from the loss, and from the last return, until each voter was live, held the newest version and had
    /// taken over the grants.
    pub voters_ready_after: Vec<(Micros, Micros)>,
    /// When the current loss began.
    loss_began_at: Micros,
    /// Whether all voters held the newest version and were ready since the current loss began.
    are_voters_ready: bool,
    /// Cores that were asked to shut down, and when.
    shutdown_requested_at: BTreeMap<usize, Micros>,
    /// The machine that joined or was restarted last.
    last_started: Option<usize>,
    /// When all machines lost power, and when the last one was restarted.
    pub power_outages: Vec<(Micros, Micros)>,
    /// Whether the voter set was complete and live since the current loss began.
    are_voters_live: bool,
    /// Whether all nodes were fresh since the current loss began.
    are_nodes_fresh: bool,
}

impl MembershipFaults {
    /// Schedules an action for a moment of true time.
    fn schedule(&mut self, due: Micros, action: MembershipAction) {
        self.scheduled_actions.push((due, action));
    }

    /// Draws up to `count` cores that run.
    pub(in crate::sim) fn draw_cores(world: &mut World, count: u64) -> Vec<usize> {
        let mut running: Vec<_> = (0..world.machines.len())
            .filter(|machine| world.machines[*machine].is_core && world.machines[*machine].node.is_some())
            .collect();
        let mut drawn = Vec::new();
        for _ in 0..count {
            if !running.is_empty() {
                let position = usize::try_from(world.rng.next_below(running.len() as u64)).unwrap_or(0);
                drawn.push(running.swap_remove(position));
            }
        }
        drawn
    }

    /// Draws up to `count` cores that run, or returns those with the oldest disks.
    fn draw_cores_or_oldest(world: &mut World, count: u64) -> Vec<usize> {
        if !world.rng.chance_percent(OLDEST_DISKS_PERCENT) {
            return Self::draw_cores(world, count);
        }
        let mut oldest = world.oldest_disks();
        oldest.truncate(usize::try_from(count).unwrap_or(0));
        world.log("the cores with the oldest disks are lost".into());
        oldest
    }

    /// Starts to measure the recovery from a loss.
    fn begin_loss(&mut self, now: Micros) {
        self.last_change_at = Some(now);
        self.loss_began_at = now;
        self.are_voters_live = false;
        self.are_nodes_fresh = false;
        self.are_voters_ready = false;
    }

    /// Returns true while no machine counts as lost and no action or loss is pending.
    pub(in crate::sim) fn is_idle(&self) -> bool {
        self.last_change_at.is_none() && self.pending_ack_loss.is_none() && self.scheduled_actions.is_empty()
    }

    /// Returns true while a machine counts as lost.
    pub(in crate::sim) fn is_repairing(&self) -> bool {
        self.last_change_at.is_some()
    }

    /// Returns the core that joined or was restarted last, if its process runs.
    pub(in crate::sim) fn last_started_core(&self, world: &World) -> Option<usize> {
        self.last_started.filter(|machine| world.machines[*machine].is_core && world.machines[*machine].node.is_some())
    }

    /// Records the loss of a machine that recovers by itself at `until`.
    pub(in crate::sim) fn begin_transient_loss(&mut self, now: Micros, until: Micros) {
        self.begin_loss(now);
        self.schedule(until, MembershipAction::Recovered);
    }

    /// Cuts the power of all machines during a repair; its duration still counts from the first loss.
    pub(in crate::sim) fn cut_power_during_repair(&mut self, world: &mut World) {
        let began = self.loss_began_at;
        self.begin_loss(world.now);
        self.loss_began_at = began;
        self.cut_power(world, &[]);
    }

    /// Returns true while a core that was asked to shut down must run on until other nodes hold its state, within the
    /// grace period.
    fn must_keep_running(&self, world: &World, machine: usize) -> bool {
        let state = &world.machines[machine];
        let waits = state.node.as_ref().is_some_and(|node| !node.may_stop(state.clock(world.now)));
        waits && self.shutdown_requested_at.get(&machine).is_some_and(|t| world.now < t + SHUTDOWN_GRACE)
    }

    /// Injects a membership fault; returns false for faults of other kinds.
    ///
    /// The fault is skipped while a machine still counts as lost.
    pub fn inject(&mut self, world: &mut World, operators: &mut Operators, fault: Fault) -> bool {
        if !matches!(
            fault,
            Fault::ReplaceCore { .. }
                | Fault::WipeCores
                | Fault::WipeAfterAck
                | Fault::PowerLossAll
                | Fault::PowerLossCores
        ) {
            return false;
        }
        if self.last_change_at.is_some() || self.pending_ack_loss.is_some() || !self.scheduled_actions.is_empty() {
            return true;
        }
        let now = world.now;
        let count = 1 + world.rng.next_below(u64::from(world.tolerated_losses));
        match fault {
            Fault::ReplaceCore { requests_shutdown, starts_successor_first } => {
                self.begin_loss(now);
                for machine in Self::draw_cores_or_oldest(world, count) {
                    world.log(format!(
                        "{} is removed for good (shutdown requested: {requests_shutdown}, successor starts first: {starts_successor_first})",
                        world.machines[machine].addr
                    ));
                    let end = now
                        + if requests_shutdown || starts_successor_first {
                            300 * MS + world.rng.next_below(SEC)
                        } else {
                            0
                        };
                    let join = if starts_successor_first { now } else { end + world.rng.next_below(2 * SEC) };
                    if requests_shutdown {
                        world.step(machine, Event::Shutdown);
                        self.shutdown_requested_at.insert(machine, now);
                    }
                    world.leaving_machines.insert(machine);
                    self.schedule(end, MembershipAction::Remove(machine));
                    self.schedule(join, MembershipAction::Join(machine));
                }
            }
            Fault::WipeCores => {
                let drawn = Self::draw_cores(world, count);
                self.lose_disks(world, &drawn);
            }
            Fault::WipeAfterAck => {
                let all = world.rng.chance_percent(50);
                self.pending_ack_loss = Some((operators.committed, all));
                operators.submit_config(world);
            }
            Fault::PowerLossCores => {
                let fronts: Vec<usize> =
                    (0..world.machines.len()).filter(|machine| !world.machines[*machine].is_core).collect();
                self.begin_loss(now);
                self.cut_power(world, &fronts);
            }
            _ => {
                self.begin_loss(now);
                self.cut_power(world, &[]);
            }
        }
        true
    }

    /// Cuts the power of these machines, which restart with empty disks within a second.
    pub(in crate::sim) fn lose_disks(&mut self, world: &mut World, targets: &[usize]) {
        self.begin_loss(world.now);
        for machine in targets {
            world.log(format!("{} loses its disk", world.machines[*machine].addr));
            world.lose_power(*machine);
            world.lose_disk(*machine);
            let restart_at = world.now + 150 * MS + world.rng.next_below(850 * MS);
            self.schedule(restart_at, MembershipAction::Start(*machine));
        }
    }

    /// Cuts the power of all machines that run, except for these; each restarts within a second.
    fn cut_power(&mut self, world: &mut World, spared: &[usize]) {
        world.log(if spared.is_empty() { "all machines lose power" } else { "all other machines lose power" }.into());
        let from = world.now;
        let mut back = from;
        for machine in 0..world.machines.len() {
            if world.machines[machine].node.is_some() && !spared.contains(&machine) {
                world.lose_power(machine);
                let restart_at = world.now + 150 * MS + world.rng.next_below(850 * MS);
                back = back.max(restart_at);
                self.schedule(restart_at, MembershipAction::Start(machine));
            }
        }
        if spared.is_empty() {
            self.power_outages.push((from, back));
        }
    }

    /// Runs the actions that are due, and checks the recovery from the current loss.
    pub fn tick(&mut self, world: &mut World, operators: &Operators) {
        let now = world.now;
        world.may_bootstrap = world.safety.committed.is_empty();
        if let Some((accepted, all)) = self.pending_ack_loss
            && operators.committed > accepted
        {
            self.pending_ack_loss = None;
            let lost = Self::draw_cores_or_oldest(world, u64::from(world.tolerated_losses));
            self.lose_disks(world, &lost);
            if all {
                self.cut_power(world, &lost);
            }
        }
        let (due, later) = std::mem::take(&mut self.scheduled_actions)
            .into_iter()
            .partition(|scheduled: &(Micros, MembershipAction)| scheduled.0 <= now);
        self.scheduled_actions = later;
        for (_, action) in due {
            match action {
                MembershipAction::Start(machine) if world.machines[machine].is_removed => {}
                MembershipAction::Start(machine) => {
                    world.start(machine);
                    self.last_started = Some(machine);
                }
                MembershipAction::Remove(machine) if self.must_keep_running(world, machine) => {
                    self.schedule(now + 50 * MS, action);
                }
                MembershipAction::Remove(machine) => world.retire(machine),
                MembershipAction::Join(machine) => {
                    let zone = world.machines[machine].zone.clone();
                    world.join(&zone);
                    self.last_started = Some(world.machines.len() - 1);
                }
                MembershipAction::Recovered => {}
            }
            self.last_change_at = Some(now);
        }
        let Some(last_change_at) = self.last_change_at.filter(|_| self.scheduled_actions.is_empty()) else { return };
        let live: BTreeSet<_> = world
            .machines
            .iter()
            .filter(|s| s.is_core)
            .filter_map(|s| s.node.as_ref().map(|n| n.settings.node_id))
            .collect();
        let voters = world.safety.committed.values().next_back().map(|d| d.voters.clone()).unwrap_or_default();
        if !self.are_voters_live
            && voters.len() == 2 * world.tolerated_losses as usize + 1
            && voters.iter().all(|voter| live.contains(&voter.node_id))
        {
            self.are_voters_live = true;
            self.voters_live_after.push(now - last_change_at);
        }
        let fresh = |s: &crate::sim::machines::slot::Machine| s.node.as_ref().is_none_or(|n| n.is_fresh(s.clock(now)));
        if !self.are_nodes_fresh && world.machines.iter().all(fresh) {
            self.are_nodes_fresh = true;
            self.nodes_fresh_after.push(now - last_change_at);
        }
        let newest = world.safety.committed.keys().next_back().copied();
        let ready = |voter: &sumacvale_core::protocol::Voter| {
            let mut nodes =
                world.machines.iter().filter_map(|s| s.node.as_ref()).filter(|n| n.settings.node_id == voter.node_id);
            nodes.any(|n| n.version() == newest && n.is_ready())
        };
        if !self.are_voters_ready && self.are_voters_live && voters.iter().all(ready) {
            self.are_voters_ready = true;
            self.voters_ready_after.push((now - self.loss_began_at, now - last_change_at));
        }
        // A machine with a slow disk counts as lost, too.
        let slow_until =
            world.machines.iter().filter(|s| s.node.is_some()).map(|s| s.disk.slow_until).max().unwrap_or(0);
        if now < last_change_at.max(slow_until.min(now)) + RECOVERY_TIME || slow_until > now {
            return;
        }
        self.last_change_at = None;
        if !self.are_voters_live || !self.are_nodes_fresh || !self.are_voters_ready {
            let stale: Vec<String> =
                world.machines.iter().filter(|s| !fresh(s)).map(|s| describe_node(world, s)).collect();
            let text = format!(
                "{now}: not recovered 4 s after the last return: voters live {}, voters ready {}, all nodes fresh {}; stale: {stale:?}",
                self.are_voters_live, self.are_voters_ready, self.are_nodes_fresh
            );
            world.safety.violations.push(Violation(text));
        }
    }
}

/// Describes a machine for a violation: its address, its version and its seeds, with those that were removed.
fn describe_node(world: &World, machine: &crate::sim::machines::slot::Machine) -> String {
    let Some(node) = &machine.node else { return machine.addr.clone() };
    let is_removed = |addr: &String| world.machines.iter().any(|s| s.addr == *addr && s.is_removed);
    let seeds: Vec<String> = node
        .settings
        .seeds
        .iter()
        .map(|addr| format!("{addr}{}", if is_removed(addr) { " (removed)" } else { "" }))
        .collect();
    format!("{} version {:?} seeds {seeds:?}", machine.addr, node.version())
}
