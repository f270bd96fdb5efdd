//! Nodes that ask the cores for units of one tenant's window: never more than its limit is given out.

use crate::machine::address;
use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, NodeId};
use sumacvale_core::protocol::{DisseminationMessage, Frame, Message, PeerRecord, QuotaMessage};

/// One tenant with a window that is longer than any run of a model.
pub const CONFIGURATION: &str = r#"{"defaults":{"quota":{"calls":12,"window_ms":600000}},"pools":{"llm":{}},
    "matches":{"chat":{"path":"/v1/chat","pool":"llm","kind":"chat"}},
    "tenants":{"home":{"keys":["sha256:0000000000000000000000000000000000000000000000000000000000000000"]}}}"#;
const TENANT: &str = "home";
const CALLS: u64 = 12;

/// Addresses from this one on are those of askers.
pub const FIRST_ADDRESS: usize = 100;
const ASKERS: usize = 2;
const FLEET: u64 = 7;
const EVERY: Micros = 150 * MS;
const BEAT: Micros = 500 * MS;
/// The first asks for so long, then the second: what a successor does not know to be given shows
/// where it goes to somebody else.
const TURN: Micros = 1_200 * MS;

#[derive(Clone, Debug, Default)]
struct Asker {
    /// The core that is asked next.
    to: usize,
    /// The number of the last ask, and whether it was answered with units.
    number: u64,
    served: bool,
    due: Micros,
}

/// All askers, and what they were given.
#[derive(Clone, Debug)]
pub struct Askers {
    from: Micros,
    beat: u64,
    beat_due: Micros,
    all: Vec<Asker>,
    /// The most that each was told to have been given in each window.
    given: BTreeMap<(u64, usize), u64>,
}

fn node_id(asker: usize) -> NodeId {
    NodeId(9_000 + asker as u64)
}

impl Askers {
    /// They make themselves known at once and ask from then on.
    pub fn new(from: Micros) -> Self {
        let all = vec![Asker::default(); ASKERS];
        Askers { from, beat: 0, beat_due: 0, all, given: BTreeMap::new() }
    }

    /// All units that were given, in all windows: one alone runs in the time of a model.
    fn total(&self) -> u64 {
        self.given.values().sum()
    }

    fn frame(asker: usize, msg: Message, now: Micros) -> Frame {
        Frame {
            from: node_id(asker),
            to: NodeId::default(),
            incarnation: 1,
            fleet_id: FLEET,
            sent_at: now,
            message: msg,
        }
    }

    fn row(&self, asker: usize) -> PeerRecord {
        PeerRecord {
            node_id: node_id(asker),
            incarnation: 1,
            heartbeat: self.beat,
            addr: address(FIRST_ADDRESS + asker),
            admin: String::new(),
            zone: "z".into(),
            is_core: false,
            draining: false,
            version: 0,
        }
    }

    /// The frames that go to cores now.
    pub fn asks(&mut self, cores: usize, now: Micros) -> Vec<(usize, Frame)> {
        let mut frames = Vec::new();
        if now >= self.beat_due {
            self.beat_due = now + BEAT;
            self.beat += 1;
            for asker in 0..ASKERS {
                for core in 0..cores {
                    let rows = vec![self.row(asker)];
                    let gossip = Message::Dissemination(DisseminationMessage::Gossip {
                        heartbeats: vec![],
                        records: rows,
                        unknown_nodes: vec![],
                        wants_reply: false,
                        incarnation_set: 0,
                        compact_heartbeats: vec![],
                    });
                    frames.push((core, Self::frame(asker, gossip, now)));
                }
            }
        }
        let turn = usize::from(now >= self.from + TURN);
        for (asker, a) in self.all.iter_mut().enumerate().filter(|(i, a)| *i == turn && now >= self.from.max(a.due)) {
            if !a.served {
                a.to = (a.to + 1) % cores;
            }
            a.due = now + EVERY;
            a.number += 1;
            a.served = false;
            let ask = Message::Quota(QuotaMessage::SliceRequest {
                request_id: a.number,
                tenant: TENANT.into(),
                wanted_units: 1,
                window: 0,
                returned: 0,
            });
            frames.push((a.to, Self::frame(asker, ask, now)));
        }
        frames
    }

    /// An asker hears a core. What it was given counts from here on.
    pub fn hears(&mut self, asker: usize, frame: &Frame, now: Micros) -> Result<(), String> {
        let Message::Quota(QuotaMessage::SliceGranted { window, granted_total, .. }) = &frame.message else {
            return Ok(());
        };
        if let Some(a) = self.all.get_mut(asker) {
            a.served = true;
        }
        let known = self.given.entry((*window, asker)).or_insert(0);
        *known = (*known).max(*granted_total);
        if self.total() > CALLS {
            return Err(format!("no more than the limit is given: {:?} of {CALLS} at {now}", self.given));
        }
        Ok(())
    }

    /// Whether all units were given but for so many, which were lost on their way.
    pub fn spent_but(&self, lost: u64) -> bool {
        self.total() + lost >= CALLS
    }
}
