use super::Node;
use crate::agree::Op;
use crate::base::{Nid, Us, Ver};
use crate::peer::{Ballot, Decree, Msg};

impl Node {
    /// Whether this core may vote on `inst`; if not, the asker learns why.
    fn may_vote(&mut self, by: Nid, inst: Ver, now: Us) -> bool {
        let Some(v) = self.ver() else { return false };
        if inst <= v {
            self.teach(by, inst - 1, now);
            return false;
        }
        if inst > v + 1 {
            self.send(by, Msg::Have { ver: v }, now);
            return false;
        }
        self.voter()
    }

    pub(super) fn on_prepare(&mut self, by: Nid, inst: Ver, bal: Ballot, now: Us) {
        if inst == 0 || !self.may_vote(by, inst, now) {
            return;
        }
        if bal < self.agree.prom {
            let bal = self.agree.prom;
            self.send(by, Msg::Refuse { inst, bal }, now);
            return;
        }
        self.agree.prom = bal;
        let acc = self.agree.acc.clone();
        let then = self.mail(by, Msg::Promise { inst, bal, acc }, now);
        self.write(vec![Op::Promise { inst, bal }], then.into_iter().collect());
    }

    pub(super) fn on_accept(&mut self, by: Nid, bal: Ballot, dec: Decree, now: Us) {
        let inst = dec.ver;
        if inst == 0 || !self.may_vote(by, inst, now) {
            return;
        }
        if bal < self.agree.prom {
            let bal = self.agree.prom;
            self.send(by, Msg::Refuse { inst, bal }, now);
            return;
        }
        self.agree.prom = bal;
        if self.agree.acc.is_none() {
            self.agree.acc_at = now;
        }
        self.agree.acc = Some((bal, dec.clone()));
        let then = self.mail(by, Msg::Accepted { inst, bal }, now);
        self.write(vec![Op::Promise { inst, bal }, Op::Accept { bal, dec }], then.into_iter().collect());
    }
}
