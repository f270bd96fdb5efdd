//! One case for each rule of the layered cache.

use std::cell::Cell;
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::cache::{
    CacheLevel, CacheOptions, FetchError, Found, LocalCache, Lookup, LookupContext, SharedCache, SharedLookup, Ttl,
    look_up,
};

fn at(now: Micros) -> LookupContext {
    LookupContext { now, version: 1 }
}

fn opts() -> CacheOptions {
    CacheOptions { shards: 1, ..CacheOptions::default() }
}

struct One {
    l1: LocalCache<u32>,
    l2: SharedCache<u32>,
    fetched: Cell<u32>,
}

type R = Result<Found<u32>, FetchError>;

impl One {
    fn new(o: CacheOptions) -> Self {
        One { l1: LocalCache::new(&o), l2: SharedCache::new(o), fetched: Cell::new(0) }
    }

    fn get(&mut self, k: &str, c: LookupContext, f: Result<Option<u32>, FetchError>) -> R {
        self.get_ttl(k, c, f, Ttl::Default)
    }

    fn get_ttl(&mut self, k: &str, c: LookupContext, f: Result<Option<u32>, FetchError>, t: Ttl) -> R {
        self.l1.apply_changes(&self.l2.changes, || c.now);
        match look_up(&mut self.l1, &self.l2, k, c) {
            Lookup::Found(f) => Ok(f),
            Lookup::Fetch(l) => {
                self.fetched.set(self.fetched.get() + 1);
                self.l2.complete_fetch(&mut self.l1, k, &l, f.map(|v| (v, t)), 10, c)
            }
            Lookup::Wait => Err(FetchError::LockTimeout),
        }
    }
}

fn ok(val: Option<u32>, level: CacheLevel) -> R {
    Ok(Found { value: val, level })
}

fn soft() -> FetchError {
    FetchError::Failed("down".into())
}

#[test]
fn levels_and_lives() {
    // What was set at nought, when it is asked for, and what it must be answered with.
    let none: Result<Option<u32>, FetchError> = Ok(None);
    let cases = [
        ("a fetch, then the thread's own layer", Ok(Some(7)), SEC, Ok(Some(8)), ok(Some(7), CacheLevel::Local)),
        ("a value ends after ttl", Ok(Some(7)), 30 * SEC, Ok(Some(8)), ok(Some(8), CacheLevel::Fetched)),
        ("and not a moment before", Ok(Some(7)), 30 * SEC - 1, Ok(Some(8)), ok(Some(7), CacheLevel::Local)),
        ("a miss is kept for neg_ttl", none.clone(), 5 * SEC - 1, Ok(Some(8)), ok(None, CacheLevel::Local)),
        ("and no longer", none.clone(), 5 * SEC, Ok(Some(8)), ok(Some(8), CacheLevel::Fetched)),
        ("a trouble is not kept", Err(soft()), 1, Ok(Some(8)), ok(Some(8), CacheLevel::Fetched)),
        ("a stale value stands in for a trouble", Ok(Some(7)), 31 * SEC, Err(soft()), ok(Some(7), CacheLevel::Stale)),
        (
            "but not for a fetch that broke off",
            Ok(Some(7)),
            31 * SEC,
            Err(FetchError::Aborted("x".into())),
            Err(FetchError::Aborted("x".into())),
        ),
        ("and a miss does not stand in", none, 31 * SEC, Err(soft()), Err(soft())),
    ];
    for (name, first, t, second, want) in cases {
        let mut c = One::new(opts());
        let _ = c.get("k", at(0), first);
        assert_eq!(c.get("k", at(t), second), want, "{name}");
    }
}

#[test]
fn ttl_of_the_fetch_goes_first() {
    for (name, t, after, want) in [
        ("its own", Ttl::For(SEC), SEC, ok(Some(2), CacheLevel::Fetched)),
        ("nought never ends", Ttl::For(0), 1_000_000 * SEC, ok(Some(1), CacheLevel::Local)),
        ("never is not kept", Ttl::Never, 1, ok(Some(2), CacheLevel::Fetched)),
    ] {
        let mut c = One::new(opts());
        let _ = c.get_ttl("k", at(0), Ok(Some(1)), t);
        assert_eq!(c.get("k", at(after), Ok(Some(2))), want, "{name}");
    }
}

#[test]
fn a_raised_value_lives_for_its_own_time_and_then_fetches_again() {
    let mut c = One::new(opts());
    let _ = c.get("k", at(0), Ok(Some(1)));
    assert_eq!(c.get("k", at(31 * SEC), Err(soft())), ok(Some(1), CacheLevel::Stale));
    assert_eq!(c.get("k", at(36 * SEC - 1), Ok(Some(2))), ok(Some(1), CacheLevel::Local));
    assert_eq!(c.get("k", at(36 * SEC), Err(soft())), ok(Some(1), CacheLevel::Stale));
    assert_eq!(c.get("k", at(41 * SEC), Ok(Some(2))), ok(Some(2), CacheLevel::Fetched));
    let mut c = One::new(CacheOptions { stale_ttl: None, ..opts() });
    let _ = c.get("k", at(0), Ok(Some(1)));
    assert_eq!(c.get("k", at(31 * SEC), Err(soft())), Err(soft()));
}

#[test]
fn nothing_of_another_version_is_given_stale_or_not() {
    let mut c = One::new(opts());
    let _ = c.get("k", at(0), Ok(Some(1)));
    let next = LookupContext { now: 1, version: 2 };
    assert_eq!(c.get("k", next, Err(soft())), Err(soft()));
    assert!(c.l2.stale("k", next).is_err());
    assert!(c.l2.peek("k", true, next).is_none());
    assert_eq!(c.get("k", next, Ok(Some(2))), ok(Some(2), CacheLevel::Fetched));
}

#[test]
fn one_fetch_for_each_key_and_a_bounded_wait() {
    let o = opts();
    let (mut a, mut b) = (LocalCache::<u32>::new(&o), LocalCache::new(&o));
    let l2 = SharedCache::new(o);
    let Lookup::Fetch(l) = look_up(&mut a, &l2, "k", at(0)) else { panic!("the first fetches") };
    assert!(matches!(look_up(&mut b, &l2, "k", at(1)), Lookup::Wait));
    assert!(matches!(look_up(&mut b, &l2, "other", at(1)), Lookup::Fetch(_)), "another key waits for nobody");
    assert_eq!(l2.stale("k", at(2)), Err(FetchError::LockTimeout), "nothing stale: the waiter is told");
    let _ = l2.complete_fetch(&mut a, "k", &l, Ok((Some(1), Ttl::Default)), 1, at(3));
    assert!(matches!(
        look_up(&mut b, &l2, "k", at(4)),
        Lookup::Found(Found { value: Some(1), level: CacheLevel::Shared })
    ));
    assert!(
        matches!(look_up(&mut b, &l2, "k", at(5)), Lookup::Found(Found { level: CacheLevel::Local, .. })),
        "promoted"
    );

    // A waiter gets a stale value, which is not raised for others.
    let late = 31 * SEC;
    let Lookup::Fetch(l) = look_up(&mut a, &l2, "k", at(late)) else { panic!("ended: fetch") };
    assert_eq!(l2.stale("k", at(late)), Ok(Found { value: Some(1), level: CacheLevel::Stale }));
    assert!(matches!(look_up(&mut b, &l2, "k", at(late)), Lookup::Wait));
    // A fetch that outlives its lock writes nothing.
    let after = late + 6 * SEC;
    let Lookup::Fetch(m) = look_up(&mut b, &l2, "k", at(after)) else { panic!("the lock ended") };
    let _ = l2.complete_fetch(&mut b, "k", &m, Ok((Some(3), Ttl::Default)), 1, at(after));
    let _ = l2.complete_fetch(&mut a, "k", &l, Ok((Some(2), Ttl::Default)), 1, at(after + 1));
    assert!(matches!(look_up(&mut a, &l2, "k", at(after + 2)), Lookup::Found(Found { value: Some(3), .. })));
}

#[test]
fn full_zones_free_their_oldest_thirty_at_a_try() {
    let mut c = One::new(CacheOptions { shard_capacity: 1_000, negative_capacity: 100, ..opts() });
    for i in 0..100 {
        let _ = c.get(&format!("k{i}"), at(0), Ok(Some(i)));
    }
    assert_eq!(c.l2.size(), (100, 0));
    let _ = c.l2.look_up("k0", at(1), false);
    let _ = c.get("new", at(1), Ok(Some(0)));
    assert_eq!(c.l2.size(), (71, 0), "thirty went for one");
    assert!(matches!(c.l2.look_up("k0", at(1), false), SharedLookup::Hit { .. }), "lately used stays");
    assert!(matches!(c.l2.look_up("k1", at(1), false), SharedLookup::Miss), "the oldest went");
    assert!(!c.l2.set("large", Some(1), Ttl::Default, 1_001, at(1)), "three tries and no room");
    for i in 0..50 {
        let _ = c.get(&format!("m{i}"), at(1), Ok(None));
    }
    assert!(c.l2.size().1 <= 10, "misses have their own room");
    assert!(matches!(c.l2.look_up("m49", at(1), false), SharedLookup::Hit { value: None, .. }));
}

#[test]
fn l1_holds_a_hundred() {
    let mut c = One::new(opts());
    for i in 0..150 {
        let _ = c.get(&format!("k{i}"), at(0), Ok(Some(i)));
    }
    assert_eq!(c.l1.len(), 100);
    assert_eq!(c.get("k0", at(1), Ok(Some(9))), ok(Some(0), CacheLevel::Shared), "L2 still has what L1 let go");
}

#[test]
fn events_come_before_the_next_lookup() {
    for (name, f, want) in [
        (
            "set",
            (|l| assert!(l.set("k", Some(5), Ttl::Default, 1, at(1)))) as fn(&SharedCache<u32>),
            ok(Some(5), CacheLevel::Shared),
        ),
        ("delete", |l| l.delete("k"), ok(Some(9), CacheLevel::Fetched)),
        ("purge", |l| l.purge(), ok(Some(9), CacheLevel::Fetched)),
        ("another key", |l| l.delete("j"), ok(Some(1), CacheLevel::Local)),
    ] {
        let mut c = One::new(opts());
        let _ = c.get("k", at(0), Ok(Some(1)));
        f(&c.l2);
        assert_eq!(c.get("k", at(1), Ok(Some(9))), want, "{name}");
    }
}

#[test]
fn events_have_a_bounded_time_and_none_is_lost() {
    let o = opts();
    let mut l1 = LocalCache::<u32>::new(&o);
    let l2 = SharedCache::<u32>::new(o);
    l1.put("k", Some(1), Micros::MAX, 1);
    for i in 0..200 {
        l2.delete(&format!("x{i}"));
    }
    l2.delete("k");
    let t = Cell::new(0);
    let slow = || {
        t.set(t.get() + 200 * MS);
        t.get()
    };
    assert!(!l1.apply_changes(&l2.changes, slow), "time ran out");
    assert!(l1.apply_changes(&l2.changes, || 0), "the rest comes before the next lookup");
    assert!(l1.get("k", at(1)).is_none());
    l1.put("k", Some(1), Micros::MAX, 1);
    for i in 0..5_000 {
        l2.delete(&format!("x{i}"));
    }
    l1.apply_changes(&l2.changes, || 0);
    assert!(l1.get("k", at(1)).is_none(), "too far behind: all goes");
}

#[test]
fn peek_neither_promotes_nor_counts() {
    let mut c = One::new(opts());
    let _ = c.get("k", at(0), Ok(Some(1)));
    let p = c.l2.peek("k", false, at(10 * SEC)).expect("there");
    assert_eq!((p.remaining, p.value), (i128::from(20 * SEC), Some(1)));
    assert!(c.l2.peek("k", false, at(31 * SEC)).is_none());
    assert_eq!(c.l2.peek("k", true, at(31 * SEC)).expect("stale").remaining, -i128::from(SEC));
    assert!(matches!(c.l2.look_up("none", at(0), false), SharedLookup::Miss), "a lookup without a fetch");
}

#[test]
fn a_delete_during_a_fetch_wins() {
    let o = opts();
    let mut a = LocalCache::<u32>::new(&o);
    let l2 = SharedCache::new(o);
    let Lookup::Fetch(l) = look_up(&mut a, &l2, "k", at(0)) else { panic!() };
    l2.delete("k");
    let _ = l2.complete_fetch(&mut a, "k", &l, Ok((Some(1), Ttl::Default)), 1, at(1));
    assert!(matches!(look_up(&mut a, &l2, "k", at(2)), Lookup::Fetch(_)), "what was fetched before it is not kept");
}
