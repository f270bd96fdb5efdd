//! Reading the newest configuration: nothing that was acknowledged before the question is
//! missing in the answer.
//!
//! A voter answers once a majority has confirmed, on a question sent after the reader came,
//! that nothing newer was voted for. Other nodes hand the question on to a voter.

use crate::base::{MS, Micros};
use crate::consensus::Requester;
use crate::node::Node;
use crate::protocol::ChangeOutcome;

/// The longest that a reader waits, also while a newer version is being decided.
const PATIENCE: Micros = 900 * MS;

/// Somebody who waits for the newest configuration.
#[derive(Clone, Copy, Debug)]
pub(in crate::node) struct Read {
    from: Requester,
    pub since: Micros,
}

impl Node {
    /// Takes a question for the newest configuration, as a voter.
    pub(in crate::node) fn read_newest(&mut self, from: Requester, now: Micros) {
        self.consensus.reads.push(Read { from, since: now });
        self.tick_freshness(now);
    }

    /// Answers readers whose configuration is confirmed, and sends away those for whom that
    /// can't be.
    pub(in crate::node) fn complete_reads(&mut self, now: Micros) {
        if self.consensus.reads.is_empty() {
            return;
        }
        let confirmed = self.consensus.freshness.confirmed_at(self.version());
        for r in std::mem::take(&mut self.consensus.reads) {
            let newest = self.consensus.state.newest().filter(|_| confirmed.is_some_and(|t| t >= r.since));
            if let Some(d) = newest {
                let text = d.body.clone();
                self.complete_change(r.from, ChangeOutcome::Content { text }, now);
            } else if !self.voter() || self.should_redirect(r.since, now) || now >= r.since + PATIENCE {
                self.complete_change(r.from, ChangeOutcome::NoQuorum, now);
            } else {
                self.consensus.reads.push(r);
            }
        }
    }
}
