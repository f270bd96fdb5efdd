//! One lookup through both layers.

use super::found::{Found, Lock, Look};
use super::l1::L1;
use super::l2::L2;
use super::opts::LookupContext;

/// What a lookup came to.
#[derive(Debug)]
pub enum Step<V> {
    Found(Found<V>),
    /// This caller fetches, then says so with `L2::finish`.
    Fetch(Lock),
    /// Another caller fetches: wait for it, but not for ever.
    Wait,
}

/// L1, then L2 with promotion, then one fetch. A thread calls `update` first.
pub fn get<V: Clone>(l1: &mut L1<V>, l2: &L2<V>, k: &str, c: LookupContext) -> Step<V> {
    if let Some(val) = l1.get(k, c) {
        return Step::Found(Found { value: val, level: 1 });
    }
    match l2.look(k, c, true) {
        Look::Hit { val, end, level } => {
            if level != 4 {
                l1.put(k, val.clone(), end, c.version);
            }
            Step::Found(Found { value: val, level })
        }
        Look::Lead(l) => Step::Fetch(l),
        Look::Wait | Look::None => Step::Wait,
    }
}
