//! A simulation of fronts that serve calls from their shares, and of a lease holder.

use std::collections::{BTreeMap, VecDeque};
use sumacvale_core::base::{MS, Micros, NodeId, Rng, SEC};
use sumacvale_core::config::Rate;
use sumacvale_core::protocol::{RegisteredIncarnation, ShareGrant, ShareRequest};
use sumacvale_core::quota::{AcquireOutcome, LOAN_DURATION, ShareBucket, SharePools};

/// Returns the allowed excess of an interval over the rate, in thousandths of calls: the burst, and the units lent just
/// before the interval.
pub fn allowed_excess(rate: Rate) -> i128 {
    i128::from(rate.burst_milli) + i128::from(rate.milli_per_second) * i128::from(LOAN_DURATION) / i128::from(SEC)
}

/// The longest time that a call waits for a unit, in microseconds.
const MAX_WAIT: Micros = 500 * MS;

/// A planted fault of the lease holder, which the simulation must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    Nothing,
    /// The lease holder ignores partitioned suspects.
    IgnoresCutOff,
    /// The lease holder assumes that a node that reports used no units for 5 s.
    OverstatesIdleTime,
    /// The lease holder assumes that a replaced incarnation ended 5 s earlier than it did.
    OverstatesAge,
}

/// A message between a front and a lease holder.
pub enum Packet {
    /// A share request, with the age of its sender and the time for which the sender was idle.
    Request((NodeId, u64), u64, ShareRequest, (Micros, Micros)),
    Grant(usize, u64, ShareGrant),
}

/// A node that serves calls from its share.
pub struct Front {
    id: (NodeId, u64),
    bucket: ShareBucket,
    last_request_id: u64,
    sent: BTreeMap<u64, Micros>,
    /// The chance of a call in each millisecond, in millionths.
    load: u64,
    frozen_until: Micros,
    /// The deadlines of calls that wait for a unit.
    waiting: VecDeque<Micros>,
    /// The time by which the front's clock is ahead, in microseconds.
    clock_offset: Micros,
    /// When the front's incarnation started, by its own clock.
    started_at: Micros,
    /// The end of a partition, in which the front keeps running but all its messages are lost.
    cut_off_until: Micros,
}

/// A fleet of fronts and one lease holder over virtual time.
pub struct Simulation {
    pub rng: Rng,
    rate: Rate,
    pub now: Micros,
    fronts: Vec<Front>,
    /// The pools of the current lease holder.
    pools: SharePools,
    /// The pools of an earlier lease holder, and the time until which it still responds.
    previous_pools: Option<(SharePools, Micros)>,
    holder_down_until: Micros,
    in_flight: Vec<(Micros, bool, Packet)>,
    pub ran: Vec<Micros>,
    pub rejected: Vec<Micros>,
    /// The chance that a message is lost, in percent.
    pub loss: u64,
    /// The longest usual delay of a message, in microseconds.
    delay: Micros,
    /// When the lease began.
    lease_began_at: Micros,
    pub planted: Planted,
    /// The chance that only the lease holder loses power, in percent.
    pub holder_alone_chance: u64,
    /// The chance that a front is partitioned instead of losing power, in percent.
    pub partition_chance: u64,
    /// The front and the time of the last use of each registered incarnation; `None` if there are no registrations.
    pub registered: Option<BTreeMap<(NodeId, u64), (usize, Micros)>>,
}

impl Simulation {
    pub fn new(seed: u64, rate: Rate, loads: &[u64], first: bool) -> Self {
        let rng = Rng::new(seed);
        let now = 100 * SEC;
        let mut pools = SharePools::default();
        pools.begin_lease(0, first, now, 0);
        let front = |(index, load): (usize, &u64)| Front {
            id: (NodeId(index as u64 + 1), 1),
            bucket: ShareBucket::first_of_incarnation(rate, now + index as u64 * SEC, now + index as u64 * SEC),
            started_at: now + index as u64 * SEC,
            last_request_id: 0,
            sent: BTreeMap::new(),
            load: *load,
            frozen_until: 0,
            waiting: VecDeque::new(),
            clock_offset: index as u64 * SEC,
            cut_off_until: 0,
        };
        Simulation {
            rng,
            rate,
            now,
            fronts: loads.iter().enumerate().map(front).collect(),
            pools,
            previous_pools: None,
            holder_down_until: 0,
            in_flight: Vec::new(),
            ran: Vec::new(),
            rejected: Vec::new(),
            loss: 0,
            delay: 5 * MS,
            lease_began_at: now,
            planted: Planted::Nothing,
            holder_alone_chance: 0,
            partition_chance: 30,
            registered: None,
        }
    }

    /// Sends a message that may be lost, delayed, reordered or duplicated.
    pub fn send(&mut self, to_previous: bool, make: impl Fn() -> Packet) {
        for _ in 0..if self.rng.chance_percent(self.loss / 2) { 2 } else { 1 } {
            if !self.rng.chance_percent(self.loss) {
                let longest_delay = if self.rng.chance_percent(self.loss / 4) { 6 * SEC } else { self.delay };
                let at = self.now + 1 + self.rng.next_below(longest_delay);
                self.in_flight.push((at, to_previous, make()));
            }
        }
    }

    /// Advances by a millisecond.
    pub fn step(&mut self) {
        self.now += MS;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|packet| packet.0 <= now);
        self.in_flight = later;
        for (_, to_previous, packet) in due {
            match packet {
                Packet::Request(by, request_id, request, age_and_idle) => {
                    self.on_request(to_previous, by, request_id, request, age_and_idle);
                }
                Packet::Grant(index, request_id, grant) => self.on_grant(index, request_id, grant),
            }
        }
        for index in 0..self.fronts.len() {
            let draw = self.rng.next_below(1_000_000);
            if self.fronts[index].frozen_until <= now {
                self.serve_calls(index, draw);
                self.send_request_if_due(index);
            }
        }
        if now.is_multiple_of(200 * MS) {
            let rate = self.rate;
            self.pools.expire(|_| Some(rate), now);
        }
    }

    pub fn front_of(&self, id: (NodeId, u64)) -> Option<usize> {
        self.fronts.iter().position(|front| front.id == id)
    }

    /// Handles a request at a lease holder.
    pub fn on_request(
        &mut self,
        to_previous: bool,
        by: (NodeId, u64),
        request_id: u64,
        request: ShareRequest,
        age_and_idle: (Micros, Micros),
    ) {
        let now = self.now;
        let nodes = self.fronts.len() as u64;
        if !to_previous && now >= self.holder_down_until && self.registered.is_some() {
            let Some(index) = self.front_of(by) else { return };
            self.record_report(index, request_id, &request, age_and_idle);
        }
        let pools = match &mut self.previous_pools {
            Some((previous, ends_at)) if to_previous && now < *ends_at => Some(previous),
            _ if to_previous || now < self.holder_down_until => None,
            _ => Some(&mut self.pools),
        };
        let pool = pools.and_then(|pools| pools.pool(0, request.tenant_key, self.rate, now));
        let grant = pool.and_then(|pool| pool.request(by, request_id, &request, self.rate, nodes, now));
        if let Some(grant) = grant
            && let Some(index) = self.front_of(by)
        {
            self.send(to_previous, || Packet::Grant(index, request_id, grant));
        }
    }

    /// Registers a front with the current lease holder, and records the front's report under this lease.
    pub fn record_report(
        &mut self,
        index: usize,
        request_id: u64,
        request: &ShareRequest,
        (age, idle): (Micros, Micros),
    ) {
        let now = self.now;
        let front = &self.fronts[index];
        let by = front.id;
        if let Some(registered) = &mut self.registered {
            registered.insert(by, (index, now));
        }
        // The request was sent under this lease, and carries its claim.
        let sent_at = front.sent.get(&request_id);
        if sent_at.is_some_and(|sent_at| sent_at - front.clock_offset >= self.lease_began_at) {
            let age = if self.planted == Planted::OverstatesAge { age + 5 * SEC } else { age };
            let idle = if self.planted == Planted::OverstatesIdleTime { 5 * SEC } else { idle };
            self.pools.record_reply(0, by, &index.to_string(), age, now);
            self.pools.record_share_report(0, request, by, self.rate, idle, now);
        }
    }

    /// Applies a grant at a front, unless the front is frozen or partitioned.
    pub fn on_grant(&mut self, index: usize, request_id: u64, grant: ShareGrant) {
        let now = self.now;
        let front = &mut self.fronts[index];
        if front.frozen_until <= now
            && front.cut_off_until <= now
            && let Some(sent_at) = front.sent.get(&request_id)
        {
            front.bucket.apply_grant(request_id, grant, *sent_at, now + front.clock_offset);
        }
    }

    /// Starts a call at a front by chance; waiting calls take units or time out.
    pub fn serve_calls(&mut self, index: usize, draw: u64) {
        let now = self.now;
        let front = &mut self.fronts[index];
        let local_now = now + front.clock_offset;
        if draw < front.load {
            match front.bucket.acquire_unit(local_now) {
                AcquireOutcome::Acquired { window, .. } => {
                    if self.loss > 0 && self.rng.chance_percent(5) {
                        front.bucket.refund(window, local_now);
                    } else {
                        self.ran.push(now);
                    }
                }
                AcquireOutcome::RateExhausted { wait, may_receive_units, .. }
                    if may_receive_units || wait < MAX_WAIT =>
                {
                    front.bucket.request_units_soon();
                    front.waiting.push_back(now + MAX_WAIT);
                }
                _ => {
                    front.bucket.request_units_soon();
                    self.rejected.push(now);
                }
            }
        }
        while !front.waiting.is_empty()
            && matches!(front.bucket.acquire_for_waiter(1, local_now), AcquireOutcome::Acquired { .. })
        {
            front.waiting.pop_front();
            self.ran.push(now);
        }
        while front.waiting.front().is_some_and(|deadline| *deadline <= now) {
            front.waiting.pop_front();
            self.rejected.push(now);
        }
    }

    pub fn send_request_if_due(&mut self, index: usize) {
        let now = self.now;
        let front = &mut self.fronts[index];
        let local_now = now + front.clock_offset;
        if !front.bucket.is_request_due(true, local_now) {
            return;
        }
        front.last_request_id += 1;
        let (by, request_id) = (front.id, front.last_request_id);
        front.sent.insert(request_id, local_now);
        let age_and_idle = (local_now - front.started_at, front.bucket.idle_for(local_now));
        let request = front.bucket.make_request(7, request_id, 0, local_now);
        let is_cut_off = front.cut_off_until > now;
        let to_previous = self.previous_pools.is_some() && self.rng.chance_percent(30);
        if !is_cut_off {
            self.send(to_previous, || Packet::Request(by, request_id, request, age_and_idle));
        }
    }

    /// Injects a random fault.
    pub fn inject_fault(&mut self) {
        let now = self.now;
        let index = usize::try_from(self.rng.next_below(self.fronts.len() as u64)).unwrap();
        match self.rng.next_below(7) {
            0 => {
                // The lease holder is lost or frozen; the next lease holder starts after the end of the lease.
                self.holder_down_until = now + self.rng.next_below(2 * SEC);
                let mut pools = SharePools::default();
                pools.begin_lease(0, false, self.holder_down_until.max(now), 0);
                let previous = std::mem::replace(&mut self.pools, pools);
                self.previous_pools =
                    Some((previous, now + self.rng.next_below(self.holder_down_until.saturating_sub(now) + 1)));
            }
            1 => self.fronts[index].frozen_until = now + self.rng.next_below(6 * SEC),
            2 => {
                let front = &mut self.fronts[index];
                front.id.1 += 1;
                front.started_at = now + front.clock_offset;
                front.bucket = ShareBucket::first_of_incarnation(self.rate, front.started_at, front.started_at);
                front.sent.clear();
            }
            3 => self.loss = self.rng.next_below(60),
            4 => self.loss = 0,
            5 => self.delay = 1 + self.rng.next_below(400 * MS),
            _ => {
                let load = self.rng.next_below(200_000);
                self.fronts[index].load = load;
            }
        }
    }
}

impl Simulation {
    /// Returns the times of all calls that ran, sorted.
    pub fn sorted_runs(&self) -> Vec<Micros> {
        let mut times = self.ran.clone();
        times.sort_unstable();
        times
    }

    /// Simulates a power loss of the lease holder and most fronts; other fronts are partitioned and keep spending
    /// units.
    pub fn lose_power(&mut self) {
        let now = self.now;
        let ignores_cut_off = self.planted == Planted::IgnoresCutOff;
        self.previous_pools = None;
        self.in_flight.clear();
        let front_count = if self.rng.chance_percent(self.holder_alone_chance) { 0 } else { self.fronts.len() };
        for index in 0..front_count {
            let cut_off_until = now + self.rng.next_below(8 * SEC);
            let front = &mut self.fronts[index];
            if self.rng.chance_percent(self.partition_chance) {
                front.cut_off_until = cut_off_until;
            } else {
                front.id.0.0 += 100;
                front.started_at = now + front.clock_offset;
                front.bucket = ShareBucket::first_of_incarnation(self.rate, front.started_at, front.started_at);
                front.sent.clear();
                front.waiting.clear();
            }
        }
        // The time in which restarted voters grant no lease, the first lease request and its renewal.
        self.holder_down_until = now + SEC;
        self.lease_began_at = self.holder_down_until;
        let registered = self.registered.get_or_insert_default();
        registered.retain(|_, incarnation| now < incarnation.1 + 20 * SEC);
        let is_known = |incarnation: &(NodeId, u64), index: usize| {
            !ignores_cut_off || self.fronts[index].id != *incarnation || self.fronts[index].cut_off_until <= now
        };
        let all = registered.iter().filter(|incarnation| is_known(incarnation.0, incarnation.1.0));
        let suspects: Vec<_> = all
            .map(|(incarnation, front_and_use)| RegisteredIncarnation {
                node_id: incarnation.0,
                incarnation: incarnation.1,
                addr: front_and_use.0.to_string(),
            })
            .collect();
        self.pools = SharePools::default();
        self.pools.begin_lease(0, false, self.holder_down_until, 0);
        self.pools.set_suspects(0, &suspects);
    }
}
