//! Simulated nodes that request units of one tenant's window and check that the limit is never exceeded.
//!
//! Requesters are not whole nodes: they gossip their records, send requests, and count the received grants.

use crate::frames::AddressedFrame;
use crate::machine::{FLEET_ID, address};
use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, NodeId};
use sumacvale_core::protocol::{DisseminationMessage, Frame, Message, PeerRecord, QuotaMessage};

/// A configuration with one tenant, whose window is longer than any run of a model.
pub const CONFIGURATION: &str = r#"{"defaults":{"quota":{"calls":12,"window_ms":600000}},"pools":{"llm":{}},
    "matches":{"chat":{"path":"/v1/chat","pool":"llm","kind":"chat"}},
    "tenants":{"home":{"keys":["sha256:0000000000000000000000000000000000000000000000000000000000000000"]}}}"#;
/// The tenant's name in [`CONFIGURATION`].
const TENANT: &str = "home";
/// The tenant's limit in [`CONFIGURATION`], in units per window.
const WINDOW_UNITS: u64 = 12;

/// The index of the first requester's address; all higher indexes are requesters, too.
pub const FIRST_ADDRESS: usize = 100;
/// The number of requesters.
const REQUESTER_COUNT: usize = 2;
/// The identifier of the first requester's node.
const FIRST_NODE_ID: u64 = 9_000;
/// The time between two requests, in microseconds.
const REQUEST_INTERVAL: Micros = 150 * MS;
/// The time between two heartbeats, in microseconds.
const HEARTBEAT_INTERVAL: Micros = 500 * MS;
/// The time for which the first requester sends requests, in microseconds; then the second requester does. The
/// change of requesters reveals units that a new lease holder grants a second time because it doesn't know of
/// the first grant.
const TURN_DURATION: Micros = 1_200 * MS;

/// A simulated node that requests units from one core at a time.
#[derive(Clone, Debug, Default)]
struct Requester {
    /// The core that receives the next request.
    core: usize,
    /// The identifier of the last request.
    request_id: u64,
    /// True if a grant was received since the last request.
    is_served: bool,
    /// The time of the next request, in microseconds.
    due: Micros,
}

/// All requesters and their grants.
#[derive(Clone, Debug)]
pub struct Requesters {
    /// The time of the first request, in microseconds.
    started_at: Micros,
    heartbeat: u64,
    heartbeat_due: Micros,
    requesters: Vec<Requester>,
    /// The highest granted total, by window and requester. The sum must not exceed `WINDOW_UNITS`.
    granted_totals: BTreeMap<(u64, usize), u64>,
}

fn node_id(requester: usize) -> NodeId {
    NodeId(FIRST_NODE_ID + requester as u64)
}

fn frame(requester: usize, message: Message, now: Micros) -> Frame {
    Frame { from: node_id(requester), to: NodeId::default(), incarnation: 1, fleet_id: FLEET_ID, sent_at: now, message }
}

impl Requesters {
    /// Creates requesters that gossip their records at once and send requests from this time on.
    #[must_use]
    pub fn new(started_at: Micros) -> Self {
        let requesters = vec![Requester::default(); REQUESTER_COUNT];
        Requesters { started_at, heartbeat: 0, heartbeat_due: 0, requesters, granted_totals: BTreeMap::new() }
    }

    /// Returns the number of units granted in all windows. A run of a model has only one window.
    fn granted_units(&self) -> u64 {
        self.granted_totals.values().sum()
    }

    fn record(&self, requester: usize) -> PeerRecord {
        PeerRecord {
            node_id: node_id(requester),
            incarnation: 1,
            heartbeat: self.heartbeat,
            addr: address(FIRST_ADDRESS + requester),
            admin: String::new(),
            zone: "z".into(),
            is_core: false,
            draining: false,
            version: 0,
        }
    }

    /// Returns the heartbeats and the request that are due now.
    #[must_use]
    pub fn due_frames(&mut self, cores: usize, now: Micros) -> Vec<AddressedFrame> {
        let mut frames = Vec::new();
        if now >= self.heartbeat_due {
            self.heartbeat_due = now + HEARTBEAT_INTERVAL;
            self.heartbeat += 1;
            frames.extend((0..REQUESTER_COUNT).flat_map(|requester| self.heartbeats(requester, cores, now)));
        }
        frames.extend(self.due_request(cores, now));
        frames
    }

    fn heartbeats(&self, requester: usize, cores: usize, now: Micros) -> Vec<AddressedFrame> {
        let gossip = Message::Dissemination(DisseminationMessage::Gossip {
            heartbeats: vec![],
            records: vec![self.record(requester)],
            unknown_nodes: vec![],
            wants_reply: false,
            incarnation_set: 0,
            compact_heartbeats: vec![],
        });
        let frame = frame(requester, gossip, now);
        (0..cores).map(|to| AddressedFrame { to, frame: frame.clone() }).collect()
    }

    /// Returns the current requester's next request, if due. The request goes to the next core if the last
    /// request was not served.
    fn due_request(&mut self, cores: usize, now: Micros) -> Option<AddressedFrame> {
        let turn = usize::from(now >= self.started_at + TURN_DURATION);
        let requester = &mut self.requesters[turn];
        if now < self.started_at.max(requester.due) {
            return None;
        }
        if !requester.is_served {
            requester.core = (requester.core + 1) % cores;
        }
        requester.due = now + REQUEST_INTERVAL;
        requester.request_id += 1;
        requester.is_served = false;
        let request = Message::Quota(QuotaMessage::SliceRequest {
            request_id: requester.request_id,
            tenant: TENANT.into(),
            wanted_units: 1,
            window: 0,
            returned: 0,
        });
        Some(AddressedFrame { to: requester.core, frame: frame(turn, request, now) })
    }

    /// Records the grant in a frame that a requester receives.
    ///
    /// # Errors
    /// The rule that the grant violates.
    pub fn on_frame(&mut self, requester: usize, frame: &Frame, now: Micros) -> Result<(), String> {
        let Message::Quota(QuotaMessage::SliceGranted { window, granted_total, .. }) = &frame.message else {
            return Ok(());
        };
        if let Some(requester) = self.requesters.get_mut(requester) {
            requester.is_served = true;
        }
        let known = self.granted_totals.entry((*window, requester)).or_insert(0);
        *known = (*known).max(*granted_total);
        if self.granted_units() > WINDOW_UNITS {
            let totals = &self.granted_totals;
            return Err(format!("no more than the limit is granted: {totals:?} of {WINDOW_UNITS} at {now}"));
        }
        Ok(())
    }

    /// Returns true if all units were granted, except at most `lost` units whose grants were lost.
    #[must_use]
    pub fn has_granted_all_but(&self, lost: u64) -> bool {
        self.granted_units() + lost >= WINDOW_UNITS
    }
}
