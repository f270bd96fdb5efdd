use std::collections::BTreeMap;
use sumacvale_core::base::{ChangeId, Micros, SEC, Version};
use sumacvale_core::protocol::LogEntry;

/// One thing that must never happen, and did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation(pub String);

#[derive(Clone, Copy, Debug)]
pub struct Acknowledgement {
    pub change_id: ChangeId,
    pub base: Version,
    pub version: Version,
    pub asked: Micros,
    pub at: Micros,
}

/// Judges from outside: what operators were told and what nodes would admit. It knows nothing of how nodes decide.
#[derive(Clone, Debug, Default)]
pub struct SafetyChecker {
    pub breaches: Vec<Violation>,
    pub chosen: BTreeMap<Version, LogEntry>,
    pub acks: Vec<Acknowledgement>,
    pub refused: Vec<ChangeId>,
    /// When each version was first held by anyone.
    pub first: BTreeMap<Version, Micros>,
    /// Workers that ended or began to drain, and when.
    pub gone: BTreeMap<String, Micros>,
}

/// A revocation holds everywhere after this; real time may run a little faster than any clock.
pub const REVOKE: Micros = 5 * SEC;
pub const GONE: Micros = 2 * SEC;

impl SafetyChecker {
    fn breach(&mut self, s: String) {
        if self.breaches.len() < 20 {
            self.breaches.push(Violation(s));
        }
    }

    /// A node holds this as decided.
    pub fn holds(&mut self, who: &str, d: &LogEntry, at: Micros) {
        match self.chosen.get(&d.version) {
            Some(o) if o == d => {}
            Some(o) => {
                let t = format!(
                    "{at}: {who} holds version {} of change {:?}, others of {:?}",
                    d.version, d.change_id, o.change_id
                );
                self.breach(t);
            }
            None => {
                if let Some(r) = self.refused.iter().find(|r| **r == d.change_id) {
                    let t = format!("{at}: change {r:?} was refused and is in force on {who}");
                    self.breach(t);
                }
                self.chosen.insert(d.version, d.clone());
                self.first.insert(d.version, at);
            }
        }
    }

    pub fn ack(&mut self, a: Acknowledgement) {
        for o in self.acks.clone() {
            if o.base == a.base && o.change_id != a.change_id {
                self.breach(format!(
                    "{}: changes {:?} and {:?} on base {} were both accepted",
                    a.at, o.change_id, a.change_id, a.base
                ));
            }
            if o.at < a.asked && o.version >= a.version && o.change_id != a.change_id {
                self.breach(format!(
                    "{}: a change asked for after version {} was acknowledged became {}",
                    a.at, o.version, a.version
                ));
            }
        }
        if self.refused.contains(&a.change_id) {
            self.breach(format!("{}: change {:?} was refused and then accepted", a.at, a.change_id));
        }
        self.acks.push(a);
    }

    pub fn refuse(&mut self, c: ChangeId, at: Micros) {
        if self.chosen.values().any(|d| d.change_id == c) || self.acks.iter().any(|a| a.change_id == c) {
            self.breach(format!("{at}: change {c:?} was refused and is decided"));
        }
        self.refused.push(c);
    }

    /// A node would admit calls now with this version.
    pub fn admits(&mut self, who: &str, version: Version, at: Micros) {
        let late = self.acks.iter().filter(|a| a.at + REVOKE < at).map(|a| a.version).max();
        if let Some(v) = late
            && version < v
        {
            self.breach(format!("{at}: {who} admits calls by version {version}, {v} was acknowledged over 5 s ago"));
        }
    }

    /// A node went from one version to another.
    pub fn moves(&mut self, who: &str, from: Version, to: Version, at: Micros) {
        if to < from {
            self.breach(format!("{at}: {who} slipped from version {from} back to {to}"));
        }
    }

    /// A node would send calls to this worker now.
    pub fn routes(&mut self, who: &str, w: &str, at: Micros) {
        if let Some(t) = self.gone.get(w)
            && at > t + GONE
        {
            self.breach(format!("{at}: {who} sends calls to {w}, which was gone at {t}"));
        }
    }

    /// At the end: every acknowledged version is the one that was decided.
    pub fn end(&mut self) {
        for a in self.acks.clone() {
            match self.chosen.get(&a.version) {
                Some(d) if d.change_id == a.change_id => {}
                Some(d) => self.breach(format!(
                    "version {} was acknowledged for {:?} and is {:?}",
                    a.version, a.change_id, d.change_id
                )),
                None => self.breach(format!("version {} was acknowledged and no node holds it", a.version)),
            }
        }
        for c in self.refused.clone() {
            if self.chosen.values().any(|d| d.change_id == c) {
                self.breach(format!("change {c:?} was refused and is decided"));
            }
        }
    }
}
