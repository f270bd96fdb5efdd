use getopts::Options;
use sumacvale_core::config::PlacementWeights;
use sumacvale_testbed::bounds::Bound;
use sumacvale_testbed::engines;
use sumacvale_testbed::fleet::{Shape, rehearse};
use sumacvale_testbed::sim::{Day, Profile, Run, run};

const HELP: &str = "testbed: tries a sumacvale fleet on this machine

Usage:
  testbed fleet [flags]   processes of sumacvale on loopback, with traffic and troubles
  testbed sim [flags]     the core in virtual time, from seeds
  testbed lookups         what a lookup in the layered cache costs
  testbed bounds          what ways to bound a quota admit and refuse
  testbed place [flags]   model workers in virtual time, by ways to choose among them
  testbed hollow ...      what hundreds of nodes cost (see testbed hollow --help)";

#[global_allocator]
static ALLOC: sumacvale_testbed::hollow::Counting = sumacvale_testbed::hollow::Counting;

fn main() {
    let a: Vec<String> = std::env::args().skip(1).collect();
    if a.first().is_some_and(|w| w == "hollow") {
        return sumacvale_testbed::hollow::cli(&a[1..]).unwrap_or_else(|e| stop(&e));
    }
    let mut o = Options::new();
    o.optopt("", "deployment", "mtatsminda or derwent (sim: its whole day, with --profile day)", "NAME")
        .optopt("", "seconds", "how long traffic runs", "N")
        .optopt("", "seed", "the first seed", "N")
        .optopt("", "seeds", "how many seeds", "N")
        .optopt("", "profile", "one kind of faults only", "NAME")
        .optopt("", "scale", "percent of the deployment's traffic", "N")
        .optopt("", "fronts", "sim: how many fronts", "N")
        .optopt("", "quota", "sim: window or rate, the form of the tenants' quotas", "FORM")
        .optopt("", "way", "place: one way only", "NAME")
        .optopt("", "near", "place: the weight against bytes between zones, in hundredths", "N")
        .optopt("", "reread", "place: the weight against reading shared parts again", "N")
        .optopt("", "spread", "place: the weight against late first pieces", "N")
        .optopt("", "hot", "place: percent of the summaries that are about one subject", "N")
        .optopt("", "burst", "place: percent of the usual chats in the middle third", "N")
        .optopt("", "workers", "place: how many workers instead of the deployment's", "N")
        .optflag("", "lose", "place: a third of the workers is lost for a third of the time")
        .optflag("", "calm", "fleet: no troubles")
        .optflag("", "trace", "sim: print what was done to the fleet")
        .optflag("h", "help", "show this help");
    let m = match o.parse(&a) {
        Ok(m) => m,
        Err(e) => stop(&format!("{e}; see testbed --help")),
    };
    if m.opt_present("help") || m.free.is_empty() {
        println!("{}", o.usage(HELP));
        return;
    }
    let num = |k: &str, d: u64| match m.opt_str(k) {
        None => d,
        Some(s) => s.parse().unwrap_or_else(|_| stop(&format!("--{k}: {s} is no whole number"))),
    };
    let bad = match m.free[0].as_str() {
        "fleet" => {
            let n = m.opt_str("deployment").unwrap_or_else(|| "mtatsminda".into());
            let s = Shape::named(&n).unwrap_or_else(|| stop("--deployment: use mtatsminda or derwent"));
            fleet(
                s,
                num("seconds", 30).clamp(5, 600),
                num("seed", 1),
                !m.opt_present("calm"),
                num("scale", 100).clamp(1, 1000),
            )
        }
        "sim" => {
            let p = m.opt_str("profile");
            if let Some(p) = &p
                && Profile::named(p).is_none()
            {
                let all: Vec<_> = Profile::ALL.iter().map(|p| p.name).collect();
                stop(&format!("--profile: use one of {}", all.join(", ")));
            }
            sim(
                num("seed", 1),
                num("seeds", 5),
                p.as_deref(),
                m.opt_str("deployment").map(|n| match n.as_str() {
                    "mtatsminda" => Day::MTATSMINDA,
                    "derwent" => Day::DERWENT,
                    _ => stop("--deployment: use mtatsminda or derwent"),
                }),
                usize::try_from(num("fronts", 6)).unwrap_or(6),
                match m.opt_str("quota").as_deref() {
                    None | Some("window") => false,
                    Some("rate") => true,
                    _ => stop("--quota: use window or rate"),
                },
                m.opt_present("trace"),
            )
        }
        "place" => {
            let n = m.opt_str("deployment").unwrap_or_else(|| "mtatsminda".into());
            let mut s = engines::Shape::named(&n).unwrap_or_else(|| stop("--deployment: use mtatsminda or derwent"));
            s.workers = usize::try_from(num("workers", s.workers as u64)).unwrap_or(s.workers);
            s.fronts = usize::try_from(num("fronts", s.fronts as u64)).unwrap_or(s.fronts);
            let w = m.opt_str("way");
            let pct = |k: &str| u32::try_from(num(k, 100).min(10_000)).unwrap_or(100);
            for way in engines::Way::ALL.into_iter().filter(|x| w.as_deref().is_none_or(|n| n == x.name())) {
                let mut c = engines::Case::new(s, way, num("seed", 1));
                c.seconds = num("seconds", 34).clamp(2, 3_600);
                c.load = num("scale", 100) as f64 / 100.0;
                c.hot = num("hot", 0) as f64 / 100.0;
                c.burst = num("burst", 100) as f64 / 100.0;
                c.lose = m.opt_present("lose");
                c.set = PlacementWeights {
                    zone_locality: pct("near"),
                    prefix_affinity: pct("reread"),
                    load_spread: pct("spread"),
                    ..c.set
                };
                engines::run(&c).print(way.name());
            }
            false
        }
        "lookups" => {
            for strange in [0, 2, 20, 90] {
                let c = sumacvale_testbed::lookups::run(4, 500_000, strange, 50_000);
                let pct = |n: u64| n as f64 * 100.0 / c.by.iter().sum::<u64>() as f64;
                println!(
                    "{strange:2} % unknown keys: L1 {:6.3} %  L2 {:6.3} %  fetched {:6.3} %  {} ns a lookup  held {} and {} misses",
                    pct(c.by[0]),
                    pct(c.by[1]),
                    pct(c.by[2]),
                    c.ns,
                    c.held.0,
                    c.held.1
                );
            }
            false
        }
        "bounds" => {
            for (pct, bursts) in
                [(50, false), (75, false), (90, false), (100, false), (200, false), (50, true), (100, true)]
            {
                for b in [Bound::Fixed, Bound::Parts(5), Bound::Parts(10), Bound::Exact] {
                    let s = sumacvale_testbed::bounds::run(b, pct, bursts, 1);
                    println!(
                        "{} {pct:3} % of the quota, {b:?}: refused {:5.1} %, worst interval {} of 60",
                        if bursts { "bursts" } else { "steady" },
                        s.refused as f64 * 100.0 / s.calls as f64,
                        s.worst
                    );
                }
            }
            false
        }
        w => stop(&format!("{w}: use fleet, sim, lookups, bounds, place or hollow")),
    };
    if bad {
        std::process::exit(1);
    }
}

fn stop(s: &str) -> ! {
    eprintln!("testbed: {s}");
    std::process::exit(2)
}

fn fleet(s: Shape, secs: u64, seed: u64, faults: bool, scale: u64) -> bool {
    let rt = match tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build() {
        Ok(r) => r,
        Err(e) => stop(&e.to_string()),
    };
    match rt.block_on(rehearse(s, secs, seed, faults, scale)) {
        Ok(o) => {
            o.print();
            !o.findings.is_empty()
        }
        Err(e) => stop(&e),
    }
}

fn sim(from: u64, n: u64, only: Option<&str>, day: Option<Day>, fronts: usize, rates: bool, trace: bool) -> bool {
    let mut bad = false;
    for p in Profile::ALL.iter().filter(|p| only.is_none_or(|o| o == p.name)) {
        for seed in from..from + n {
            let t = std::time::Instant::now();
            let s = run(match day.filter(|_| p.name == "day") {
                Some(d) => Run { rates, ..Run::day(seed, d) },
                None => Run { fronts, rates, ..Run::new(seed, p) },
            });
            let at = |v: &[u64], q: usize| {
                let mut v = v.to_vec();
                v.sort_unstable();
                if v.is_empty() { 0 } else { v[(v.len() - 1) * q / 100] / 1000 }
            };
            println!(
                "{:8} seed {seed}: version {} done {} stale {} unknown {} none {} | calls {} ran {} to the worker p50 {} p99 {} ms | tries {}+{} resumed {} reseated {} units ended {} worst {} needless {} | spread p99 {} worst {} ms | frames {} bytes {} | {} ms | breaches {} refused {}",
                p.name,
                s.versions,
                s.done,
                s.stale,
                s.unknown,
                s.none,
                s.calls,
                s.taken,
                at(&s.held, 50),
                at(&s.held, 99),
                s.tries.0,
                s.tries.1,
                s.resumed,
                s.reseated,
                s.units_ended,
                s.worst,
                s.needless,
                at(&s.spread, 99),
                at(&s.spread, 100),
                s.frames,
                s.bytes,
                t.elapsed().as_millis(),
                s.breaches.len(),
                s.refused.len()
            );
            for (first, usual) in &s.lit {
                println!(
                    "after all power was back: a call ran in {} ms, 95 % were let in from {} ms",
                    first / 1_000,
                    usual / 1_000
                );
            }
            if !s.voted.is_empty() {
                let ms = |v: &[u64]| (v.len(), at(v, 50), at(v, 100));
                println!(
                    "    after a loss: voters there (n, p50, worst ms) {:?}, all fresh {:?}",
                    ms(&s.voted),
                    ms(&s.again)
                );
                let (loss, back): (Vec<_>, Vec<_>) = s.full.iter().copied().unzip();
                println!("    full strength: from the loss {:?}, from the last return {:?}", ms(&loss), ms(&back));
            }
            if let Some(c) = &s.control {
                println!(
                    "    orders: taken {} in p50 {} p99 {} ms repeated {} read {} answers lost {} bad refused {} workers acknowledged {} {:?} {:?}",
                    c.taken,
                    at(&c.took, 50),
                    at(&c.took, 99),
                    c.repeated,
                    c.reads,
                    c.lost,
                    c.refused,
                    c.left,
                    c.troubles,
                    c.variants
                );
            }
            println!("    ends: {:?} serving again after {:?} ms", s.ends, s.serving.map(|t| t / 1_000));
            if trace {
                // By size, so that the order does not hang on what the kinds of messages are called.
                let mut kinds: Vec<_> = s.far.iter().collect();
                kinds.sort_by_key(|(_, (n, b))| std::cmp::Reverse((*b, *n)));
                for (k, (n, b)) in kinds {
                    println!("    between zones: {k:10} {n:7} frames {b:9} bytes");
                }
            }
            if trace || !s.breaches.is_empty() {
                for l in &s.trace {
                    println!("    {l}");
                }
            }
            for refusal in &s.refused {
                println!("    needless refusal: {refusal}");
            }
            for b in &s.breaches {
                println!("    breach: {}", b.0);
                bad = true;
            }
        }
    }
    bad
}
