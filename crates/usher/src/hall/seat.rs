use super::caches::lookup;
use super::{Counts, Hall};
use crate::clock;
use seating::base::Us;
use seating::cache::{Soft, Ttl};
use seating::config::{Kind, Match};
use seating::node::View;
use seating::place::{Place, Table};
use seating::wait::{Refused, Waitlist};
use std::sync::Arc;
use tokio::sync::oneshot;

/// A call that waits for a place.
#[derive(Debug)]
pub struct Waiter {
    hash: u64,
    skip: Vec<String>,
    back: oneshot::Sender<Seat>,
}

/// A place taken at a worker, free again when this goes.
pub struct Seat {
    hall: Arc<Hall>,
    pub pool: String,
    pub at: Place,
    quiet: bool,
}

impl std::fmt::Debug for Seat {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Seat({})", self.at.wid)
    }
}

impl Seat {
    fn take(h: &Arc<Hall>, pool: &str, at: &Place) -> Seat {
        h.loads.begin(&at.wid);
        Seat { hall: h.clone(), pool: pool.to_owned(), at: at.clone(), quiet: false }
    }

    /// A call failed here: this node deletes the route until the worker reports anew.
    pub fn bad(&self) {
        self.hall.loads.bad(&self.at.wid, self.at.inc, self.at.seq);
        self.hall.caches.routes.delete(&self.pool);
    }

    pub fn full(&self) {
        self.hall.loads.full(&self.at.wid, self.at.slots);
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.hall.loads.end(&self.at.wid);
        if !self.quiet {
            if let Some(w) = self.hall.waits().get_mut(&self.pool) {
                w.freed(clock::now());
            }
            serve_waits(&self.hall, &self.pool);
        }
    }
}

/// The workers of a pool that may take calls, by this node's own view.
fn table_of(v: &View, pool: &str) -> Arc<Table> {
    let p = v.plan.pools.get(pool);
    let rs = v.workers.iter().filter(|r| r.pool == pool && p.is_some_and(|p| p.takes(&r.wid, &r.addr)));
    Arc::new(Table::new(rs))
}

pub async fn table(h: &Hall, v: &View, pool: &str) -> Result<Arc<Table>, Soft> {
    let f = lookup(h, v, pool, |_| Ok((Some(table_of(&h.view.load(), pool)), Ttl::Usual))).await?;
    Ok(f.val.unwrap_or_default())
}

/// Gives free places to those who wait, in fair order.
pub fn serve_waits(h: &Arc<Hall>, pool: &str) {
    let mut undone = Vec::new();
    {
        let mut g = h.waits();
        let Some(w) = g.get_mut(pool) else { return };
        drop(w.expire(clock::now()));
        if w.is_empty() {
            return;
        }
        let t = table_of(&h.view.load(), pool);
        while !w.is_empty() {
            let load = h.loads.of(&t);
            let got = w.pop(|x| t.nominate(x.hash, &h.env.zone, &load, &x.skip));
            let Some((x, i)) = got else { break };
            let s = Seat::take(h, pool, &t.places[i]);
            if let Err(mut s) = x.back.send(s) {
                s.quiet = true;
                undone.push(s);
            }
        }
    }
    drop(undone);
}

/// A place for this call now, or after a wait that is worth it.
#[allow(clippy::too_many_arguments)]
pub async fn seat(
    h: &Arc<Hall>,
    v: &View,
    m: &Match,
    tenant: (&str, u64),
    hash: u64,
    skip: &[String],
    due: Us,
) -> Result<Seat, Refused> {
    let Ok(t) = table(h, v, &m.pool).await else { return Err(Refused { back: 1_000_000 }) };
    let (tx, mut rx) = oneshot::channel();
    {
        let now = clock::now();
        let mut g = h.waits();
        let w = g.entry(m.pool.clone()).or_insert_with(|| Waitlist::new(h.env.waitlist));
        if w.is_empty() {
            let load = h.loads.of(&t);
            if let Some(i) = t.nominate(hash, &h.env.zone, &load, skip) {
                return Ok(Seat::take(h, &m.pool, &t.places[i]));
            }
        }
        let x = Waiter { hash, skip: skip.to_vec(), back: tx };
        let k: (String, Kind) = (tenant.0.to_owned(), m.kind);
        match w.push(k, tenant.1, x, due, now) {
            Ok(out) => drop(out),
            Err((_, r)) => return Err(r),
        }
    }
    let left = due.saturating_sub(clock::now());
    let r = tokio::time::timeout(std::time::Duration::from_micros(left), &mut rx).await;
    match r {
        Ok(Ok(s)) => Ok(s),
        Ok(Err(_)) => Err(refused(h, &m.pool)),
        Err(_) => {
            rx.close();
            match rx.try_recv() {
                Ok(s) => Ok(s),
                Err(_) => Err(refused(h, &m.pool)),
            }
        }
    }
}

fn refused(h: &Hall, pool: &str) -> Refused {
    let now = clock::now();
    Refused { back: h.waits().get(pool).map_or(1_000_000, |w| w.back(now)) }
}

pub fn far(h: &Hall, s: &Seat) -> bool {
    let f = s.at.zone != h.env.zone;
    if f {
        Counts::add(&h.counts.far);
    }
    f
}
