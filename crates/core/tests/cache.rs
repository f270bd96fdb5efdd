//! Tests of the two-level cache: expiry, stale values, fetch locks, eviction and invalidation.

use std::cell::Cell;
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::cache::{
    CacheLevel, CacheOptions, FetchError, FetchLock, Found, LocalCache, Lookup, LookupContext, SharedCache,
    SharedLookup, Ttl, look_up,
};

/// Returns the context of a lookup of version 1 at this time.
fn at(now: Micros) -> LookupContext {
    LookupContext { now, version: 1 }
}

fn one_shard() -> CacheOptions {
    CacheOptions { shards: 1, ..CacheOptions::default() }
}

type Outcome = Result<Found<u32>, FetchError>;

/// Both layers, as seen by one thread.
struct ThreadView {
    local: LocalCache<u32>,
    shared: SharedCache<u32>,
    fetches: Cell<u32>,
}

impl ThreadView {
    fn new(options: CacheOptions) -> Self {
        ThreadView { local: LocalCache::new(&options), shared: SharedCache::new(options), fetches: Cell::new(0) }
    }

    /// Looks a key up, and fetches `fetched` if there is no valid entry.
    fn get(&mut self, key: &str, context: LookupContext, fetched: Result<Option<u32>, FetchError>) -> Outcome {
        self.get_with_ttl(key, context, fetched, Ttl::Default)
    }

    fn get_with_ttl(
        &mut self,
        key: &str,
        context: LookupContext,
        fetched: Result<Option<u32>, FetchError>,
        ttl: Ttl,
    ) -> Outcome {
        self.local.apply_changes(&self.shared.changes, || context.now);
        match look_up(&mut self.local, &self.shared, key, context) {
            Lookup::Found(found) => Ok(found),
            Lookup::Fetch(lock) => {
                self.fetches.set(self.fetches.get() + 1);
                let result = fetched.map(|value| (value, ttl));
                self.shared.complete_fetch(&mut self.local, key, &lock, result, 10, context)
            }
            Lookup::Wait => Err(FetchError::LockTimeout),
        }
    }
}

// Returns the type of a lookup, for comparison.
#[allow(clippy::unnecessary_wraps)]
fn found(value: Option<u32>, level: CacheLevel) -> Outcome {
    Ok(Found { value, level })
}

fn failed() -> FetchError {
    FetchError::Failed("down".into())
}

fn expect_lock(lookup: Lookup<u32>, why: &str) -> FetchLock {
    let Lookup::Fetch(lock) = lookup else { panic!("{why}") };
    lock
}

#[test]
fn entries_are_found_by_level_until_they_expire() {
    // The result of the first fetch at time zero, the time of the second lookup, the result of its fetch, and what the
    // second lookup returns.
    let absent: Result<Option<u32>, FetchError> = Ok(None);
    let aborted = || FetchError::Aborted("x".into());
    let cases = [
        ("a fetch, then the local layer", Ok(Some(7)), SEC, Ok(Some(8)), found(Some(7), CacheLevel::Local)),
        ("a value expires after ttl", Ok(Some(7)), 30 * SEC, Ok(Some(8)), found(Some(8), CacheLevel::Fetched)),
        ("and not a moment before", Ok(Some(7)), 30 * SEC - 1, Ok(Some(8)), found(Some(7), CacheLevel::Local)),
        ("a negative entry is kept", absent.clone(), 5 * SEC - 1, Ok(Some(8)), found(None, CacheLevel::Local)),
        ("until negative_ttl", absent.clone(), 5 * SEC, Ok(Some(8)), found(Some(8), CacheLevel::Fetched)),
        ("an error is not kept", Err(failed()), 1, Ok(Some(8)), found(Some(8), CacheLevel::Fetched)),
        ("a stale value replaces an error", Ok(Some(7)), 31 * SEC, Err(failed()), found(Some(7), CacheLevel::Stale)),
        ("but not an aborted fetch", Ok(Some(7)), 31 * SEC, Err(aborted()), Err(aborted())),
        ("and a negative entry replaces none", absent, 31 * SEC, Err(failed()), Err(failed())),
    ];
    for (name, first, now, second, expected) in cases {
        let mut cache = ThreadView::new(one_shard());
        let _ = cache.get("k", at(0), first);
        assert_eq!(cache.get("k", at(now), second), expected, "{name}");
    }
}

#[test]
fn the_ttl_of_the_fetch_has_precedence() {
    for (name, ttl, now, expected) in [
        ("its own", Ttl::For(SEC), SEC, found(Some(2), CacheLevel::Fetched)),
        ("zero never expires", Ttl::For(0), 1_000_000 * SEC, found(Some(1), CacheLevel::Local)),
        ("never is not kept", Ttl::Never, 1, found(Some(2), CacheLevel::Fetched)),
    ] {
        let mut cache = ThreadView::new(one_shard());
        let _ = cache.get_with_ttl("k", at(0), Ok(Some(1)), ttl);
        assert_eq!(cache.get("k", at(now), Ok(Some(2))), expected, "{name}");
    }
}

#[test]
fn a_stale_value_is_kept_for_its_own_time_and_then_fetched_again() {
    let mut cache = ThreadView::new(one_shard());
    let _ = cache.get("k", at(0), Ok(Some(1)));
    assert_eq!(cache.get("k", at(31 * SEC), Err(failed())), found(Some(1), CacheLevel::Stale));
    assert_eq!(cache.get("k", at(36 * SEC - 1), Ok(Some(2))), found(Some(1), CacheLevel::Local));
    assert_eq!(cache.get("k", at(36 * SEC), Err(failed())), found(Some(1), CacheLevel::Stale));
    assert_eq!(cache.get("k", at(41 * SEC), Ok(Some(2))), found(Some(2), CacheLevel::Fetched));
    let mut cache = ThreadView::new(CacheOptions { stale_ttl: None, ..one_shard() });
    let _ = cache.get("k", at(0), Ok(Some(1)));
    assert_eq!(cache.get("k", at(31 * SEC), Err(failed())), Err(failed()));
}

#[test]
fn no_entry_of_another_version_is_returned_stale_or_not() {
    let mut cache = ThreadView::new(one_shard());
    let _ = cache.get("k", at(0), Ok(Some(1)));
    let next_version = LookupContext { now: 1, version: 2 };
    assert_eq!(cache.get("k", next_version, Err(failed())), Err(failed()));
    assert!(cache.shared.stale("k", next_version).is_err());
    assert!(cache.shared.peek("k", true, next_version).is_none());
    assert_eq!(cache.get("k", next_version, Ok(Some(2))), found(Some(2), CacheLevel::Fetched));
}

#[test]
fn each_key_has_one_fetch_at_a_time_and_a_bounded_wait() {
    let options = one_shard();
    let (mut first, mut second) = (LocalCache::<u32>::new(&options), LocalCache::new(&options));
    let shared = SharedCache::new(options);
    let lock = expect_lock(look_up(&mut first, &shared, "k", at(0)), "the first caller fetches");
    assert!(matches!(look_up(&mut second, &shared, "k", at(1)), Lookup::Wait));
    assert!(matches!(look_up(&mut second, &shared, "other", at(1)), Lookup::Fetch(_)), "another key waits for none");
    assert_eq!(shared.stale("k", at(2)), Err(FetchError::LockTimeout), "nothing stale: the waiter gets an error");
    let _ = shared.complete_fetch(&mut first, "k", &lock, Ok((Some(1), Ttl::Default)), 1, at(3));
    let promoted = look_up(&mut second, &shared, "k", at(4));
    assert!(matches!(promoted, Lookup::Found(Found { value: Some(1), level: CacheLevel::Shared })));
    let local = look_up(&mut second, &shared, "k", at(5));
    assert!(matches!(local, Lookup::Found(Found { level: CacheLevel::Local, .. })), "promoted");

    // A waiting caller gets a stale value, which is not stored again for other callers.
    let expired = 31 * SEC;
    let lock = expect_lock(look_up(&mut first, &shared, "k", at(expired)), "expired: fetch");
    assert_eq!(shared.stale("k", at(expired)), found(Some(1), CacheLevel::Stale));
    assert!(matches!(look_up(&mut second, &shared, "k", at(expired)), Lookup::Wait));
    // A fetch whose lock expired writes nothing.
    let after = expired + 6 * SEC;
    let newer_lock = expect_lock(look_up(&mut second, &shared, "k", at(after)), "the lock expired");
    let _ = shared.complete_fetch(&mut second, "k", &newer_lock, Ok((Some(3), Ttl::Default)), 1, at(after));
    let _ = shared.complete_fetch(&mut first, "k", &lock, Ok((Some(2), Ttl::Default)), 1, at(after + 1));
    let kept = look_up(&mut first, &shared, "k", at(after + 2));
    assert!(matches!(kept, Lookup::Found(Found { value: Some(3), .. })));
}

#[test]
fn a_full_shard_evicts_its_thirty_least_recently_used_entries_at_an_attempt() {
    let mut cache = ThreadView::new(CacheOptions { shard_capacity: 1_000, negative_capacity: 100, ..one_shard() });
    for i in 0..100 {
        let _ = cache.get(&format!("k{i}"), at(0), Ok(Some(i)));
    }
    assert_eq!(cache.shared.size(), (100, 0));
    let _ = cache.shared.look_up("k0", at(1), false);
    let _ = cache.get("new", at(1), Ok(Some(0)));
    assert_eq!(cache.shared.size(), (71, 0), "thirty were evicted for one");
    assert!(matches!(cache.shared.look_up("k0", at(1), false), SharedLookup::Hit { .. }), "recently used stays");
    assert!(matches!(cache.shared.look_up("k1", at(1), false), SharedLookup::Miss), "the oldest was evicted");
    assert!(!cache.shared.set("large", Some(1), Ttl::Default, 1_001, at(1)), "three attempts and no room");
    for i in 0..50 {
        let _ = cache.get(&format!("m{i}"), at(1), Ok(None));
    }
    assert!(cache.shared.size().1 <= 10, "negative entries have a capacity of their own");
    assert!(matches!(cache.shared.look_up("m49", at(1), false), SharedLookup::Hit { value: None, .. }));
}

#[test]
fn the_local_layer_holds_a_hundred_entries() {
    let mut cache = ThreadView::new(one_shard());
    for i in 0..150 {
        let _ = cache.get(&format!("k{i}"), at(0), Ok(Some(i)));
    }
    assert_eq!(cache.local.len(), 100);
    let evicted = cache.get("k0", at(1), Ok(Some(9)));
    assert_eq!(evicted, found(Some(0), CacheLevel::Shared), "the shared layer still has what the local one evicted");
}

#[test]
fn changes_are_applied_before_the_next_lookup() {
    type Modify = fn(&SharedCache<u32>);
    let cases: [(&str, Modify, Outcome); 4] = [
        ("set", |shared| assert!(shared.set("k", Some(5), Ttl::Default, 1, at(1))), found(Some(5), CacheLevel::Shared)),
        ("delete", |shared| shared.delete("k"), found(Some(9), CacheLevel::Fetched)),
        ("purge", |shared| shared.purge(), found(Some(9), CacheLevel::Fetched)),
        ("another key", |shared| shared.delete("j"), found(Some(1), CacheLevel::Local)),
    ];
    for (name, modify, expected) in cases {
        let mut cache = ThreadView::new(one_shard());
        let _ = cache.get("k", at(0), Ok(Some(1)));
        modify(&cache.shared);
        assert_eq!(cache.get("k", at(1), Ok(Some(9))), expected, "{name}");
    }
}

#[test]
fn applying_changes_has_a_bounded_time_and_loses_none() {
    let options = one_shard();
    let mut local = LocalCache::<u32>::new(&options);
    let shared = SharedCache::<u32>::new(options);
    local.put("k", Some(1), Micros::MAX, 1);
    for i in 0..200 {
        shared.delete(&format!("x{i}"));
    }
    shared.delete("k");
    let time = Cell::new(0);
    let slow_clock = || {
        time.set(time.get() + 200 * MS);
        time.get()
    };
    assert!(!local.apply_changes(&shared.changes, slow_clock), "time ran out");
    assert!(local.apply_changes(&shared.changes, || 0), "the rest is applied before the next lookup");
    assert!(local.get("k", at(1)).is_none());
    local.put("k", Some(1), Micros::MAX, 1);
    for i in 0..5_000 {
        shared.delete(&format!("x{i}"));
    }
    local.apply_changes(&shared.changes, || 0);
    assert!(local.get("k", at(1)).is_none(), "too far behind: all entries are removed");
}

#[test]
fn peek_neither_promotes_nor_counts_as_a_use() {
    let mut cache = ThreadView::new(one_shard());
    let _ = cache.get("k", at(0), Ok(Some(1)));
    let peeked = cache.shared.peek("k", false, at(10 * SEC)).expect("there is an entry");
    assert_eq!((peeked.remaining, peeked.value), (i128::from(20 * SEC), Some(1)));
    assert!(cache.shared.peek("k", false, at(31 * SEC)).is_none());
    assert_eq!(cache.shared.peek("k", true, at(31 * SEC)).expect("a stale entry").remaining, -i128::from(SEC));
    assert!(matches!(cache.shared.look_up("none", at(0), false), SharedLookup::Miss), "a lookup without a fetch");
}

#[test]
fn a_delete_during_a_fetch_has_precedence() {
    let options = one_shard();
    let mut local = LocalCache::<u32>::new(&options);
    let shared = SharedCache::new(options);
    let lock = expect_lock(look_up(&mut local, &shared, "k", at(0)), "the first caller fetches");
    shared.delete("k");
    let _ = shared.complete_fetch(&mut local, "k", &lock, Ok((Some(1), Ttl::Default)), 1, at(1));
    let next = look_up(&mut local, &shared, "k", at(2));
    assert!(matches!(next, Lookup::Fetch(_)), "what was fetched before the delete is not kept");
}
