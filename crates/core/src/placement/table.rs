//! The workers of a pool on a ring of virtual places.

use crate::base::hash64;
use crate::protocol::WorkerReport;
use smallvec::SmallVec;
use std::net::SocketAddr;

/// Virtual places of one worker on the ring.
const VIRTUAL: u32 = 64;
/// How far above its even share a worker may be loaded, in hundredths.
const BOUND: u64 = 125;

/// One worker of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    pub worker_id: String,
    pub incarnation: u64,
    pub seq: u64,
    pub addr: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub busy: u32,
}

/// The workers of one pool and their ring; never changed, swapped whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementTable {
    pub endpoints: Vec<Endpoint>,
    ring: Vec<(u64, u32)>,
    /// A hash of each worker's id, and the number of its zone among so many.
    pub(super) ids: Vec<u64>,
    pub(super) zone: Vec<u16>,
    pub(super) zones: u16,
    /// Where each worker stands among those of its zone by its hash, from 0 to 1.
    pub(super) standing: Vec<f64>,
}

impl PlacementTable {
    /// The table of these workers.
    pub fn new<'a>(rows: impl Iterator<Item = &'a WorkerReport>) -> PlacementTable {
        let mut places: Vec<_> = rows
            .filter_map(|r| {
                Some(Endpoint {
                    worker_id: r.worker_id.clone(),
                    incarnation: r.incarnation,
                    seq: r.seq,
                    addr: r.addr.parse().ok()?,
                    zone: r.zone.clone(),
                    slots: r.slots,
                    busy: r.busy,
                })
            })
            .collect();
        places.sort_by(|a, b| a.worker_id.cmp(&b.worker_id));
        let mut ring = Vec::with_capacity(places.len() * VIRTUAL as usize);
        for (i, p) in places.iter().enumerate() {
            for v in 0..VIRTUAL {
                let mut k = p.worker_id.clone().into_bytes();
                k.extend(v.to_le_bytes());
                ring.push((hash64(&k), u32::try_from(i).unwrap_or(0)));
            }
        }
        ring.sort_unstable();
        let ids: Vec<u64> = places.iter().map(|p| hash64(p.worker_id.as_bytes())).collect();
        let mut names: Vec<&str> = places.iter().map(|p| p.zone.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        let zone: Vec<u16> =
            places.iter().map(|p| number(names.binary_search(&p.zone.as_str()).unwrap_or(0))).collect();
        let zones = number(names.len());
        let standing = standing(&ids, &zone);
        PlacementTable { endpoints: places, ring, ids, zone, zones, standing }
    }

    /// Who serves this prefix: along the ring, the own zone first, past those
    /// above their bound, then past those that are full. None: all are full.
    pub fn nominate(&self, h: u64, zone: &str, load: &[u32], skip: &[String]) -> Option<usize> {
        let ok = |i: usize| {
            let p = &self.endpoints[i];
            !skip.contains(&p.worker_id) && load.get(i).copied().unwrap_or(0) < p.slots
        };
        let order = self.walk(h);
        for own in [true, false] {
            let near = |i: usize| (self.endpoints[i].zone == zone) == own;
            let (mut sum, mut slots) = (1u64, 0u64);
            for (i, p) in self.endpoints.iter().enumerate().filter(|x| near(x.0)) {
                sum += u64::from(load.get(i).copied().unwrap_or(0));
                slots += u64::from(p.slots);
            }
            let under = |i: usize| {
                let l = u64::from(load.get(i).copied().unwrap_or(0));
                l * slots * 100 < sum * u64::from(self.endpoints[i].slots) * BOUND
            };
            let mut it = order.iter().copied().filter(|i| near(*i) && ok(*i));
            if let Some(i) = it.clone().find(|i| under(*i)).or_else(|| it.next()) {
                return Some(i);
            }
        }
        None
    }

    /// Every worker once, in the order that the ring gives from `h` on.
    fn walk(&self, h: u64) -> SmallVec<[usize; 32]> {
        let at = self.ring.partition_point(|x| x.0 < h);
        let mut seen = vec![false; self.endpoints.len()];
        let mut out = SmallVec::new();
        for (_, i) in self.ring[at..].iter().chain(&self.ring[..at]) {
            let i = *i as usize;
            if !seen[i] {
                seen[i] = true;
                out.push(i);
                if out.len() == self.endpoints.len() {
                    break;
                }
            }
        }
        out
    }
}

/// The place of each among those of its zone, in the middle of its part of 0 to 1.
fn standing(ids: &[u64], zone: &[u16]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..ids.len()).collect();
    order.sort_unstable_by_key(|i| (zone[*i], ids[*i]));
    let mut out = vec![0.0; ids.len()];
    for of_zone in order.chunk_by(|a, b| zone[*a] == zone[*b]) {
        for (at, i) in of_zone.iter().enumerate() {
            out[*i] = (at as f64 + 0.5) / of_zone.len() as f64;
        }
    }
    out
}

fn number(n: usize) -> u16 {
    u16::try_from(n).unwrap_or(u16::MAX)
}
