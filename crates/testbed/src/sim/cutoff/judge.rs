//! Whether a core answered soon enough and truly, by how it stood when it was asked.

use super::Driver;
use super::callers::{OpenRequest, number_of};
use super::seen::{AnswerTimes, Caller};
use crate::sim::checks::safety::Violation;
use std::collections::BTreeSet;
use sumacvale_core::base::{MS, Micros, SEC};

/// An answer that is later than this was not given at once.
const SOON: Micros = 500 * MS;
/// By then a core that is cut off knows it, and answers within `AT_ONCE`.
const KNOWN: Micros = 1_500 * MS;
const AT_ONCE: Micros = 120 * MS;
/// So long after a cut a core may trust its last confirmation.
const TRUSTED: Micros = 800 * MS;
/// So long after the end of a cut a core may not know yet that it is back.
const REJOIN: Micros = SEC;

/// How a core stood to a majority while it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    InTouch,
    /// For so long.
    Cut(Micros),
    /// A cut has just ended.
    Back,
}

impl Driver {
    pub(super) fn standing(&self, core: usize, since: Micros, until: Micros) -> Standing {
        match (self.cut, self.last_cut) {
            (Some(c), _) if c.0 == core && c.1 <= since => Standing::Cut(since - c.1),
            (Some(c), _) if c.0 == core && c.1 <= until => Standing::Back,
            (_, Some(l)) if l.0 == core && since < l.1 + REJOIN => Standing::Back,
            _ => Standing::InTouch,
        }
    }

    pub(super) fn kind(&mut self, s: Standing, c: Caller) -> Option<&mut AnswerTimes> {
        match s {
            Standing::Cut(_) => Some(self.seen.cut_off.entry(c).or_default()),
            Standing::InTouch => Some(self.seen.in_touch.entry(c).or_default()),
            Standing::Back => None,
        }
    }

    /// Judges an answer: acknowledged, sent away, or (none) refused for good.
    pub(super) fn ended(&mut self, o: &OpenRequest, ok: Option<bool>) {
        let now = self.world.now;
        let (s, t) = (self.standing(o.core, o.at, now), now - o.at);
        if let Some(e) = self.kind(s, o.caller) {
            e.calls += 1;
            e.sent_away += u64::from(ok == Some(false));
            e.times.push(t);
        }
        let Standing::Cut(age) = s else { return };
        let beat = o.caller == Caller::Beat;
        // What was taken before may be acknowledged again.
        if ok == Some(true) && o.caller != Caller::Order && (!beat || age > TRUSTED) {
            self.breach(format!("core {} acknowledged {:?} {age} after it was cut off", o.core, o.caller));
        }
        let most = if age > KNOWN { AT_ONCE } else { SOON };
        if t > most {
            self.breach(format!("core {} answered {:?} after {t}, {age} after the cut", o.core, o.caller));
        }
    }

    /// When all is well again every node holds the newest acknowledged document, and none that
    /// was refused.
    pub(super) fn finish(&mut self) {
        self.world.blocked_links.clear();
        self.world.loss = (0, 0);
        let t = self.world.now + 4 * SEC;
        self.world.run(t);
        let newest = self.acked.iter().map(|a| a.1).max().unwrap_or(0);
        let decided: BTreeSet<String> = self.world.safety.committed.values().map(|d| d.body.clone()).collect();
        for (i, s) in self.world.machines.iter().enumerate() {
            let held = s.node.as_ref().and_then(|n| n.consensus.state.newest()).map_or(0, |d| d.revision);
            if held < newest {
                self.seen.breaches.push(Violation(format!("node {i} holds {held} in the end, acknowledged {newest}")));
            }
        }
        for a in &self.acked {
            if !decided.contains(&a.2) {
                self.seen.breaches.push(Violation(format!("{} was acknowledged and nobody holds it", a.1)));
            }
        }
        for r in self.refused.iter().filter(|r| decided.contains(*r)) {
            self.seen.breaches.push(Violation(format!("{} was refused and is in force", number_of(r))));
        }
        self.seen.breaches.extend(self.world.safety.violations.clone());
        self.seen.trace.clone_from(&self.world.trace);
    }
}
