//! What callers hear, and what they do then.

use super::callers::{OpenRequest, Reporter, State, number_of};
use super::judge::Standing;
use super::seen::Caller;
use super::{CORES, Driver};
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::protocol::ChangeOutcome;

/// A caller that hears nothing for so long goes on to another node.
const SILENCE: Micros = SEC;

impl Driver {
    pub(super) fn answers(&mut self) {
        for (req, fate) in std::mem::take(&mut self.world.change_outcomes) {
            let Some(o) = self.open.remove(&req) else { continue };
            match o.caller {
                Caller::Read => self.was_read(req, &o, fate),
                _ => self.was_ordered(&o, fate),
            }
        }
        for (req, ok) in std::mem::take(&mut self.world.report_acknowledgements) {
            let Some(o) = self.open.remove(&req) else { continue };
            self.ended(&o, Some(ok));
            self.was_told(&o, ok);
        }
    }

    pub(super) fn was_read(&mut self, req: u64, o: &OpenRequest, fate: ChangeOutcome) {
        let newest = self.readers.remove(&req).unwrap_or(0);
        let ChangeOutcome::Content { text } = fate else {
            return self.ended(o, Some(false));
        };
        self.ended(o, Some(true));
        if number_of(&text) < newest {
            let t = format!("core {} read out {} when {newest} was acknowledged", o.core, number_of(&text));
            self.breach(t);
        }
    }

    pub(super) fn was_ordered(&mut self, o: &OpenRequest, fate: ChangeOutcome) {
        let now = self.world.now;
        let Some((base, number, body)) = self.operators[o.by].order.clone() else { return };
        match fate {
            ChangeOutcome::Committed { .. } => {
                self.ended(o, Some(true));
                if self.acked.iter().any(|a| a.0 == base && a.2 != body) {
                    self.breach(format!("two documents on {base} were acknowledged"));
                }
                self.acked.push((base, number, body));
                self.acted = o.core;
                self.seen.acknowledged += 1;
            }
            ChangeOutcome::Stale { .. } => {
                self.ended(o, None);
                self.refused.insert(body);
                self.seen.refused += 1;
            }
            ChangeOutcome::NoQuorum | ChangeOutcome::Unknown => {
                self.ended(o, Some(false));
                return self.again(o.by, now);
            }
            f => return self.breach(format!("an order that is valid was answered {f:?}")),
        }
        self.operators[o.by].order = None;
        self.operators[o.by].due = now + 50 * MS + self.world.rng.below(400 * MS);
    }

    /// The same order once more after a pause that grows.
    pub(super) fn again(&mut self, by: usize, now: Micros) {
        let p = &mut self.operators[by];
        p.due = now + p.pause;
        p.pause = (p.pause * 2).min(800 * MS);
    }

    pub(super) fn was_told(&mut self, o: &OpenRequest, ok: bool) {
        let now = self.world.now;
        let r = &mut self.reporters[o.by];
        if !ok {
            r.core = (r.core + 1) % CORES;
            r.tries += 1;
            r.due = now + 50 * MS;
            return;
        }
        r.tries = 0;
        match o.caller {
            Caller::Drain => {
                r.state = State::Leaves;
                r.due = now + 2 * SEC;
            }
            Caller::Leave => {
                self.serial += 1;
                *r = Reporter::new(format!("v{}", self.serial), r.core, now + SEC);
            }
            _ => {}
        }
    }

    /// Callers that heard nothing for a second.
    pub(super) fn give_up(&mut self) {
        let now = self.world.now;
        let late: Vec<_> = self.open.iter().filter(|o| now >= o.1.at + SILENCE).map(|o| *o.0).collect();
        for req in late {
            let Some(o) = self.open.remove(&req) else { continue };
            let cut = self.standing(o.core, o.at, now);
            if matches!(cut, Standing::Cut(_)) {
                self.breach(format!("core {} said nothing to {:?} for a second: {cut:?}", o.core, o.caller));
            }
            if let Some(e) = self.kind(cut, o.caller) {
                e.calls += 1;
                e.silent += 1;
            }
            match o.caller {
                Caller::Order => self.again(o.by, now),
                Caller::Read => {}
                _ => self.was_told(&o, false),
            }
        }
    }
}
