use crate::sim::checks::safety::Violation;
use crate::sim::faults::profiles::Fault;
use crate::sim::operators::traffic::Operators;
use crate::sim::world::World;
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::node::Event;

/// A machine counts as lost for so long after its return; by then voters are what they must be.
const LOST: Micros = 4 * SEC;
/// A process that was told to stop is killed after this.
const GRACE: Micros = 8 * SEC;

/// In so many of a hundred cases it is the disks that have lasted longest that go.
const OLDEST: u64 = 25;

#[derive(Clone, Copy, Debug)]
enum MembershipAction {
    Begin(usize),
    /// A machine that is gone for good.
    End(usize),
    /// An empty machine in the zone of this one, at a new address.
    Join(usize),
    /// A machine that was frozen or cut off is back by itself.
    Back,
}

/// Machines with disks come, go and lose their disks, and nobody tells the others.
#[derive(Default)]
pub struct MembershipFaults {
    acts: Vec<(Micros, MembershipAction)>,
    /// The last loss or return of a machine that still counts as lost.
    last: Option<Micros>,
    /// Once so many changes are accepted, disks are lost.
    armed: Option<(u64, bool)>,
    /// How long after the last return the voters were all there, and all nodes fresh.
    pub voted: Vec<Micros>,
    pub again: Vec<Micros>,
    /// How long after the loss, and after the last return, each voter lived, held the newest
    /// version and had taken over the grants.
    pub full: Vec<(Micros, Micros)>,
    began: Micros,
    whole: bool,
    /// Cores that were told to stop, and when.
    told: BTreeMap<usize, Micros>,
    /// The machine that came or was back last.
    came: Option<usize>,
    /// When all power went, and when the last machine was back.
    pub dark: Vec<(Micros, Micros)>,
    set: bool,
    fresh: bool,
}

impl MembershipFaults {
    fn at(&mut self, t: Micros, a: MembershipAction) {
        self.acts.push((t, a));
    }

    pub(in crate::sim) fn some(w: &mut World, n: u64) -> Vec<usize> {
        let mut v: Vec<_> =
            (0..w.machines.len()).filter(|i| w.machines[*i].is_core && w.machines[*i].node.is_some()).collect();
        let mut o = Vec::new();
        for _ in 0..n {
            if !v.is_empty() {
                let k = usize::try_from(w.rng.below(v.len() as u64)).unwrap_or(0);
                o.push(v.swap_remove(k));
            }
        }
        o
    }

    /// Some cores by lot, or those whose disks have lasted longest.
    fn some_or_oldest(w: &mut World, n: u64) -> Vec<usize> {
        if !w.rng.chance(OLDEST) {
            return Self::some(w, n);
        }
        let mut oldest = w.oldest_disks();
        oldest.truncate(usize::try_from(n).unwrap_or(0));
        w.log("those whose disks have lasted longest".into());
        oldest
    }

    fn begin(&mut self, now: Micros) {
        self.last = Some(now);
        self.began = now;
        self.set = false;
        self.fresh = false;
        self.whole = false;
    }

    /// Nothing counts as lost, and nothing is to come.
    pub(in crate::sim) fn idle(&self) -> bool {
        self.last.is_none() && self.armed.is_none() && self.acts.is_empty()
    }

    pub(in crate::sim) fn repairs(&self) -> bool {
        self.last.is_some()
    }

    /// The core that came last, if it lives.
    pub(in crate::sim) fn came_last(&self, w: &World) -> Option<usize> {
        self.came.filter(|i| w.machines[*i].is_core && w.machines[*i].node.is_some())
    }

    /// A loss begins that ends by itself.
    pub(in crate::sim) fn back_at(&mut self, now: Micros, until: Micros) {
        self.begin(now);
        self.at(until, MembershipAction::Back);
    }

    /// All processes that run are killed in the midst of a repair.
    pub(in crate::sim) fn blink(&mut self, w: &mut World) {
        let began = self.began;
        self.begin(w.now);
        self.began = began;
        self.power(w, &[]);
    }

    /// Whether a core that was told to stop still waits for what it holds to be held elsewhere.
    fn stays(&self, w: &World, i: usize) -> bool {
        let s = &w.machines[i];
        let waits = s.node.as_ref().is_some_and(|n| !n.may_stop(s.clock(w.now)));
        waits && self.told.get(&i).is_some_and(|t| w.now < t + GRACE)
    }

    /// True if the fault is one of these; it is skipped while a machine still counts as lost.
    pub fn take(&mut self, w: &mut World, o: &mut Operators, f: Fault) -> bool {
        if !matches!(f, Fault::Swap { .. } | Fault::Empty | Fault::AckLoss | Fault::KillAll | Fault::KillCores) {
            return false;
        }
        if self.last.is_some() || self.armed.is_some() || !self.acts.is_empty() {
            return true;
        }
        let now = w.now;
        let n = 1 + w.rng.below(u64::from(w.tolerated_losses));
        match f {
            Fault::Swap { term, before } => {
                self.begin(now);
                for i in Self::some_or_oldest(w, n) {
                    w.log(format!("{} goes for good (told: {term}, successor first: {before})", w.machines[i].addr));
                    let end = now + if term || before { 300 * MS + w.rng.below(SEC) } else { 0 };
                    let join = if before { now } else { end + w.rng.below(2 * SEC) };
                    if term {
                        w.step(i, Event::Shutdown);
                        self.told.insert(i, now);
                    }
                    w.leaving_machines.insert(i);
                    self.at(end, MembershipAction::End(i));
                    self.at(join, MembershipAction::Join(i));
                }
            }
            Fault::Empty => {
                let v = Self::some(w, n);
                self.empty(w, &v);
            }
            Fault::AckLoss => {
                let all = w.rng.chance(50);
                self.armed = Some((o.done, all));
                o.change(w);
            }
            Fault::KillCores => {
                let fronts: Vec<usize> = (0..w.machines.len()).filter(|i| !w.machines[*i].is_core).collect();
                self.begin(now);
                self.power(w, &fronts);
            }
            _ => {
                self.begin(now);
                self.power(w, &[]);
            }
        }
        true
    }

    pub(in crate::sim) fn empty(&mut self, w: &mut World, v: &[usize]) {
        self.begin(w.now);
        for i in v {
            w.log(format!("{} loses its disk", w.machines[*i].addr));
            w.lose_power(*i);
            w.lose_disk(*i);
            let t = w.now + 150 * MS + w.rng.below(850 * MS);
            self.at(t, MembershipAction::Begin(*i));
        }
    }

    /// Power goes for all that are up but these.
    fn power(&mut self, w: &mut World, but: &[usize]) {
        w.log(if but.is_empty() { "all power goes" } else { "power goes for others" }.into());
        let from = w.now;
        let mut back = from;
        for i in 0..w.machines.len() {
            if w.machines[i].node.is_some() && !but.contains(&i) {
                w.lose_power(i);
                let t = w.now + 150 * MS + w.rng.below(850 * MS);
                back = back.max(t);
                self.at(t, MembershipAction::Begin(i));
            }
        }
        if but.is_empty() {
            self.dark.push((from, back));
        }
    }

    pub fn tick(&mut self, w: &mut World, o: &Operators) {
        let now = w.now;
        w.may_bootstrap = w.safety.committed.is_empty();
        if let Some((n, all)) = self.armed
            && o.done > n
        {
            self.armed = None;
            let v = Self::some_or_oldest(w, u64::from(w.tolerated_losses));
            self.empty(w, &v);
            if all {
                self.power(w, &v);
            }
        }
        let (due, later) =
            std::mem::take(&mut self.acts).into_iter().partition(|a: &(Micros, MembershipAction)| a.0 <= now);
        self.acts = later;
        for (_, a) in due {
            match a {
                MembershipAction::Begin(i) if w.machines[i].is_removed => {}
                MembershipAction::Begin(i) => {
                    w.start(i);
                    self.came = Some(i);
                }
                MembershipAction::End(i) if self.stays(w, i) => self.at(now + 50 * MS, a),
                MembershipAction::End(i) => w.retire(i),
                MembershipAction::Join(i) => {
                    let z = w.machines[i].zone.clone();
                    w.join(&z);
                    self.came = Some(w.machines.len() - 1);
                }
                MembershipAction::Back => {}
            }
            self.last = Some(now);
        }
        let Some(at) = self.last.filter(|_| self.acts.is_empty()) else { return };
        let live: BTreeSet<_> = w
            .machines
            .iter()
            .filter(|s| s.is_core)
            .filter_map(|s| s.node.as_ref().map(|n| n.settings.node_id))
            .collect();
        let cores = w.safety.committed.values().next_back().map(|d| d.voters.clone()).unwrap_or_default();
        if !self.set
            && cores.len() == 2 * w.tolerated_losses as usize + 1
            && cores.iter().all(|c| live.contains(&c.node_id))
        {
            self.set = true;
            self.voted.push(now - at);
        }
        let fresh = |s: &crate::sim::machines::slot::Machine| s.node.as_ref().is_none_or(|n| n.is_fresh(s.clock(now)));
        if !self.fresh && w.machines.iter().all(fresh) {
            self.fresh = true;
            self.again.push(now - at);
        }
        let newest = w.safety.committed.keys().next_back().copied();
        let ready = |c: &sumacvale_core::protocol::Voter| {
            let mut nodes =
                w.machines.iter().filter_map(|s| s.node.as_ref()).filter(|n| n.settings.node_id == c.node_id);
            nodes.any(|n| n.version() == newest && n.is_ready())
        };
        if !self.whole && self.set && cores.iter().all(ready) {
            self.whole = true;
            self.full.push((now - self.began, now - at));
        }
        // A machine whose disk is slow counts as lost too.
        let slow = w.machines.iter().filter(|s| s.node.is_some()).map(|s| s.disk.slow_until).max().unwrap_or(0);
        if now < at.max(slow.min(now)) + LOST || slow > now {
            return;
        }
        self.last = None;
        if !self.set || !self.fresh || !self.whole {
            let stale: Vec<String> = w.machines.iter().filter(|s| !fresh(s)).map(|s| stands(w, s)).collect();
            let t = format!(
                "{now}: not all voters live ({}), are ready ({}) or not all are fresh ({}) 4 s after: {stale:?}",
                self.set, self.whole, self.fresh
            );
            w.safety.violations.push(Violation(t));
        }
    }
}

/// A machine with its version and the cores that its list names, for a breach.
fn stands(w: &World, s: &crate::sim::machines::slot::Machine) -> String {
    let Some(n) = &s.node else { return s.addr.clone() };
    let gone = |a: &String| w.machines.iter().any(|s| s.addr == *a && s.is_removed);
    let list: Vec<String> =
        n.settings.seeds.iter().map(|a| format!("{a}{}", if gone(a) { " (gone)" } else { "" })).collect();
    format!("{} version {:?} list {list:?}", s.addr, n.version())
}
