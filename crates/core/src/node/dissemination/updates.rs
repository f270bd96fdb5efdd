//! Updates: snapshots and deltas of the workers and of the configuration, sent to subscribers.
//!
//! Each node subscribes to the home nodes of its topics: the two nodes of its zone that rendezvous hashing
//! selects for each pool and for the configuration. The home nodes of the configuration subscribe to a core.
//! A subscriber names the change index up to which it has its upstream's changes, and receives later ones. If
//! the upstream restarted, or the subscriber requests more topics, the subscriber receives a snapshot.

use crate::base::{Incarnation, MS, Micros, NodeId, SEC, Version, rendezvous_weight};
use crate::freshness;
use crate::node::Node;
use crate::protocol::{DisseminationMessage, LogEntry, Message, PeerRecord, WorkerReport};
use crate::workers::{Subscriber, Upstream};
use std::collections::BTreeMap;

/// The interval at which changes of workers are sent to subscribers, in microseconds.
const PUSH_INTERVAL: Micros = 100 * MS;
/// The maximum size of a new version for all its receivers together in one tick, in bytes.
const MAX_PUSH_BYTES: usize = 512 << 10;
/// The time without a renewal after which a subscriber is sent no more changes of workers, in microseconds.
const SUBSCRIPTION_TIMEOUT: Micros = 2 * SEC;
/// The age of its last confirmation above which a version may be outdated and another core is requested, in
/// microseconds.
const STALENESS_THRESHOLD: Micros = 1_500 * MS;
/// The maximum number of subscription requests to an upstream that are remembered so that late answers count.
const MAX_REMEMBERED_REQUESTS: usize = 8;
/// The topic of the configuration. All other topics are names of pools.
const CONFIG_TOPIC: &str = "config";

/// A subscription from a peer; see [`DisseminationMessage::Subscribe`].
#[derive(Clone, Debug)]
pub(super) struct Subscription {
    /// The sequence number of the request.
    pub seq: u64,
    /// The version after the one that the subscriber holds; 0 if it holds none.
    pub next_version: Version,
    /// The change index up to which the subscriber has this node's changes.
    pub from_index: u64,
    /// The incarnation of this node to which the change index belongs.
    pub incarnation: Incarnation,
    /// The topics that the subscriber requests.
    pub topics: Vec<String>,
}

/// An update from an upstream, apart from its log entries; see [`DisseminationMessage::Update`].
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedUpdate<'a> {
    /// The sequence number of the subscription that the update answers.
    pub request_seq: u64,
    /// The time from the receipt of that subscription to this update, in microseconds.
    pub answered_after: Micros,
    /// The age of the version's last confirmation by a majority when the update was sent, in microseconds.
    pub confirmed_age: Option<Micros>,
    /// The upstream's version.
    pub version: Version,
    /// The change index up to which this node has the upstream's changes after this update.
    pub change_index: u64,
    /// Whether every live worker has reported to the upstream.
    pub is_complete: bool,
    /// The reports that changed.
    pub reports: &'a [WorkerReport],
}

/// The entries that bring a subscriber to the newest version: either patches, or the whole version alone.
#[derive(Clone, Debug, Default)]
struct EntryChain {
    preceding: Vec<LogEntry>,
    newest: Option<LogEntry>,
}

impl Node {
    fn topics(&self) -> Vec<String> {
        let mut topics = vec![CONFIG_TOPIC.to_owned()];
        topics.extend(self.config.pools.keys().cloned());
        topics
    }

    /// Returns the nodes that this node subscribes to, and their topics: the home nodes in its zone, and for
    /// the configuration also a core if this node is a home node or its version may be outdated.
    fn desired_upstreams(&self, now: Micros) -> BTreeMap<NodeId, Vec<String>> {
        let mut upstreams: BTreeMap<NodeId, Vec<String>> = BTreeMap::new();
        for topic in self.topics() {
            let is_config = topic == CONFIG_TOPIC;
            if is_config && self.is_voter() {
                continue;
            }
            let home_nodes = self.dissemination.peers.home_nodes(&topic, &self.settings.zone, now);
            if is_config && let Some(core) = self.config_core(&home_nodes, now) {
                upstreams.entry(core).or_default().push(topic.clone());
            }
            for home in home_nodes {
                let topics = upstreams.entry(home).or_default();
                if !topics.contains(&topic) {
                    topics.push(topic.clone());
                }
            }
        }
        upstreams.remove(&self.settings.node_id);
        upstreams
    }

    /// Returns the core that this node subscribes to for the configuration, if this node is one of the
    /// configuration's home nodes or its version may be outdated.
    fn config_core(&self, home_nodes: &[NodeId], now: Micros) -> Option<NodeId> {
        if !self.is_version_stale(now) && !home_nodes.contains(&self.settings.node_id) {
            return None;
        }
        self.nearest_core(now, self.last_request_id)
    }

    fn is_version_stale(&self, now: Micros) -> bool {
        let confirmed_at = self.consensus.freshness.confirmed_at(self.version());
        confirmed_at.is_none_or(|confirmed_at| now.saturating_sub(confirmed_at) > STALENESS_THRESHOLD)
    }

    /// Returns a live core, preferably in this node's zone. While the version may be outdated, `attempt`
    /// rotates among all live cores.
    pub(in crate::node) fn nearest_core(&self, now: Micros, attempt: u64) -> Option<NodeId> {
        let own_id = self.settings.node_id;
        let consensus = &self.consensus.state;
        let is_candidate = |record: &PeerRecord| {
            record.is_core
                && record.node_id != own_id
                && (consensus.voters().is_empty() || consensus.is_voter(record.node_id))
        };
        let rank = |record: &PeerRecord| {
            let weight = rendezvous_weight(record.node_id.0, &own_id.0.to_le_bytes());
            (record.zone != self.settings.zone, std::cmp::Reverse(weight), record.node_id)
        };
        let mut ranked: Vec<_> =
            self.dissemination.peers.live(now).filter(|record| is_candidate(record)).map(rank).collect();
        ranked.sort_unstable();
        let index = if !ranked.is_empty() && self.is_version_stale(now) {
            usize::try_from(attempt % ranked.len() as u64).unwrap_or(0)
        } else {
            0
        };
        ranked.get(index).map(|candidate| candidate.2)
    }

    /// Renews this node's subscriptions, if that is due.
    pub(in crate::node) fn tick_subscribe(&mut self, now: Micros) {
        if now < self.dissemination.workers.next_subscribe_at {
            return;
        }
        self.dissemination.workers.next_subscribe_at = now + freshness::PROBE_INTERVAL;
        self.last_request_id += 1;
        let desired = self.desired_upstreams(now);
        self.dissemination.workers.upstreams.retain(|node_id, _| desired.contains_key(node_id));
        for (upstream, topics) in desired {
            self.subscribe(upstream, topics, now);
        }
    }

    fn subscribe(&mut self, to: NodeId, topics: Vec<String>, now: Micros) {
        let next_version = self.next_version();
        let workers = &mut self.dissemination.workers;
        workers.last_request_seq += 1;
        let seq = workers.last_request_seq;
        let upstream = workers.upstreams.entry(to).or_default();
        upstream.sent_requests.insert(seq, now);
        while upstream.sent_requests.len() > MAX_REMEMBERED_REQUESTS {
            upstream.sent_requests.pop_first();
        }
        let subscribe = DisseminationMessage::Subscribe {
            seq,
            next_version,
            from_index: upstream.change_index,
            incarnation: upstream.incarnation,
            topics,
        };
        self.send(to, Message::Dissemination(subscribe), now);
    }

    /// Returns the version after the one that this node holds; 0 if it holds none.
    fn next_version(&self) -> Version {
        self.version().map_or(0, |version| version + 1)
    }

    /// Records a subscription, and answers it at once.
    pub(super) fn on_subscribe(&mut self, from: NodeId, subscription: Subscription, now: Micros) {
        let workers = &mut self.dissemination.workers;
        let topics = &subscription.topics;
        // The subscriber needs a snapshot of a topic that it did not request before.
        let has_new_topics = workers
            .subscribers
            .get(&from)
            .is_some_and(|known| topics.iter().any(|topic| !known.topics.contains(topic)));
        let sent_index = if subscription.incarnation == self.settings.incarnation && !has_new_topics {
            subscription.from_index.min(workers.change_index)
        } else {
            0
        };
        let subscriber = Subscriber {
            request_seq: subscription.seq,
            subscribed_at: now,
            sent_index,
            next_version: subscription.next_version,
            topics: subscription.topics,
        };
        workers.subscribers.insert(from, subscriber);
        self.send_update(from, now);
    }

    /// Sends a subscriber the changes since its last update.
    fn send_update(&mut self, to: NodeId, now: Micros) {
        let Some(subscriber) = self.dissemination.workers.subscribers.get(&to).cloned() else { return };
        let reports = self.dissemination.workers.changes_after(subscriber.sent_index, &subscriber.topics, now);
        let own_version = self.version();
        let next_version = self.next_version();
        // Home nodes of pools only name the version; the home nodes of the configuration send its entry.
        let wants_config = subscriber.topics.iter().any(|topic| topic == CONFIG_TOPIC);
        let chain = if wants_config && subscriber.next_version < next_version {
            self.entries_after(subscriber.next_version.checked_sub(1))
        } else {
            EntryChain::default()
        };
        let confirmed_at = self.consensus.freshness.confirmed_at(own_version).filter(|_| wants_config);
        let change_index = self.dissemination.workers.change_index;
        let update = DisseminationMessage::Update {
            request_seq: subscriber.request_seq,
            answered_after: now.saturating_sub(subscriber.subscribed_at),
            confirmed_age: confirmed_at.map(|confirmed_at| now.saturating_sub(confirmed_at)),
            version: own_version.unwrap_or(0),
            preceding: chain.preceding,
            entry: chain.newest,
            change_index,
            is_complete: now >= self.workers_complete_at(),
            reports,
        };
        if let Some(subscriber) = self.dissemination.workers.subscribers.get_mut(&to) {
            subscriber.sent_index = change_index;
            subscriber.next_version = subscriber.next_version.max(next_version);
        }
        self.send(to, Message::Dissemination(update), now);
    }

    /// Returns the newest version for a node that holds `held`: as patches if those are smaller.
    fn entries_after(&mut self, held: Option<Version>) -> EntryChain {
        let body_bytes = self.consensus.state.newest().map_or(0, |entry| entry.body.len());
        let patches = held.and_then(|version| self.consensus.state.patch_chain.after(version));
        let is_smaller = |chain: &Vec<LogEntry>| chain.iter().map(LogEntry::size).sum::<usize>() < body_bytes;
        match patches.filter(is_smaller) {
            Some(mut chain) => {
                let newest = chain.pop();
                EntryChain { preceding: chain, newest }
            }
            None => EntryChain { preceding: Vec::new(), newest: self.consensus.state.newest_self_contained() },
        }
    }

    /// Applies the version of an update. Only the patches of the versions that lead to it are kept.
    pub(super) fn apply_update_entries(&mut self, preceding: Vec<LogEntry>, newest: Option<LogEntry>, now: Micros) {
        let Some(newest) = newest else { return };
        let held = self.version();
        let is_later = |entry: &LogEntry| held.is_none_or(|version| entry.version > version);
        let preceding: Vec<_> = preceding.into_iter().filter(is_later).filter_map(LogEntry::decompress).collect();
        if !is_later(&newest) {
            return;
        }
        let version = newest.version;
        let mut chain = preceding.clone();
        chain.push(newest);
        let restored = self.restore_bodies(chain).pop().filter(|entry| entry.version == version);
        let Some(restored) = restored else { return };
        for entry in &preceding {
            self.consensus.state.patch_chain.append(entry);
        }
        self.apply_entry(restored, now);
    }

    /// Sends the newest version to subscribers that lack it; a large version goes to a few of them at a time.
    pub(in crate::node) fn push_versions(&mut self, now: Micros) {
        let next_version = self.next_version();
        let entry_bytes = self.consensus.state.newest().map_or(0, |entry| entry.without_body().size());
        let limit = (MAX_PUSH_BYTES / entry_bytes.max(1)).max(1);
        let targets: Vec<_> = self
            .dissemination
            .workers
            .subscribers
            .iter()
            .filter(|(_, subscriber)| subscriber.next_version < next_version)
            .map(|(node_id, _)| *node_id)
            .take(limit)
            .collect();
        for target in targets {
            self.send_update(target, now);
        }
    }

    /// Sends new versions at every tick, and changes of workers if those are due.
    pub(in crate::node) fn tick_push(&mut self, now: Micros) {
        self.push_versions(now);
        if now < self.dissemination.workers.next_push_at {
            return;
        }
        self.dissemination.workers.next_push_at = now + PUSH_INTERVAL;
        self.flush_reports(now);
        let targets: Vec<_> = self
            .dissemination
            .workers
            .subscribers
            .iter()
            .filter(|(_, subscriber)| self.has_changes_for(subscriber, now))
            .map(|(node_id, _)| *node_id)
            .collect();
        for target in targets {
            self.send_update(target, now);
        }
    }

    fn has_changes_for(&self, subscriber: &Subscriber, now: Micros) -> bool {
        let workers = &self.dissemination.workers;
        now.saturating_sub(subscriber.subscribed_at) < SUBSCRIPTION_TIMEOUT
            && subscriber.sent_index < workers.change_index
            && workers.entries.values().any(|entry| {
                entry.change_index > subscriber.sent_index && subscriber.topics.contains(&entry.report.pool)
            })
    }

    /// Merges an update of an upstream. An update that answers no remembered request is dropped, since its
    /// age is unknown.
    pub(super) fn on_update(
        &mut self,
        (from, incarnation): (NodeId, Incarnation),
        update: &ReceivedUpdate<'_>,
        now: Micros,
    ) {
        let Some(upstream) = self.dissemination.workers.upstreams.get_mut(&from) else { return };
        let Some(requested_at) = upstream.sent_requests.get(&update.request_seq).copied() else { return };
        if upstream.incarnation != incarnation {
            let sent_requests = std::mem::take(&mut upstream.sent_requests);
            *upstream = Upstream { incarnation, sent_requests, ..Upstream::default() };
        }
        upstream.change_index = upstream.change_index.max(update.change_index);
        upstream.is_complete = update.is_complete;
        // The update cannot have been sent before this time, whatever the upstream's clock shows.
        let sent_at = requested_at.saturating_add(update.answered_after).min(now);
        if let Some(age) = update.confirmed_age {
            self.consensus.freshness.confirm(update.version, sent_at.saturating_sub(age));
            self.publisher.is_dirty = true;
        }
        self.apply_reports(update.reports, sent_at, now);
        self.update_completeness(now);
    }
}
