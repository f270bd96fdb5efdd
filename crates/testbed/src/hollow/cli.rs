use super::sweep::{Run, csv, csv_fits, fits, sweep};
use super::tally::Role;
use super::{Outcome, SWEEPS, Shape, draw, parts, run};
use getopts::Options;
use std::fmt::Write;
use std::path::PathBuf;

const HELP: &str = "testbed hollow: what a fleet of hollow nodes costs, by sweeps of one size each

Usage:
  testbed hollow sweep NAME...   one sweep each, or all
  testbed hollow parts           tables of places and configurations alone
  testbed hollow one             one fleet of the size that the flags give";

fn print(x: u64, o: &Outcome) {
    for w in &o.rows {
        let g = |c: &str| w.get(c);
        println!(
            "{x:>6} {:5} {:>3}: out {:8.0} B/s in {:8.0} B/s far {:8.0} region {:8.0} | {:7.1} msgs/s | step {:8.0} us/s wire {:8.0} us/s | {:9.0} B held | writes {:6.1}/s",
            format!("{:?}", w.role),
            w.count,
            g("bytes_out"),
            g("bytes_in"),
            g("bytes_far"),
            g("bytes_region"),
            g("msgs_out"),
            g("step_us"),
            g("wire_us"),
            g("memory"),
            g("writes")
        );
    }
    let mut s = o.spread.clone();
    s.sort_unstable();
    println!(
        "       nodes seen {} workers seen {} body {} B | versions everywhere {} p50 {:.1} worst {:.1} ms, not taken {} | calls {} served {} gave up {} | {} ms",
        o.nodes,
        o.workers,
        o.body,
        s.len(),
        s.get(s.len() / 2).map_or(0.0, |u| *u as f64 / 1e3),
        s.last().map_or(0.0, |u| *u as f64 / 1e3),
        o.stale,
        o.calls,
        o.served,
        o.gave_up,
        o.wall_ms
    );
}

/// True if something went wrong.
pub fn cli(a: &[String]) -> Result<(), String> {
    let mut o = Options::new();
    let d = Shape::default();
    let sizes = [
        ("nodes", d.nodes),
        ("cores", d.cores),
        ("voters", d.voters),
        ("zones", d.zones),
        ("regions", d.regions),
        ("workers", d.workers),
        ("pools", d.pools),
        ("tenants", d.tenants),
        ("matches", d.matches),
        ("calls", d.calls),
        ("changes", d.changes),
        ("beat-ms", d.beat / 1_000),
        ("warm", d.warm / 1_000_000),
        ("seconds", d.secs),
        ("seed", d.seed),
    ];
    for (k, v) in sizes {
        o.optopt("", k, &format!("one: {v} where it is not given"), "N");
    }
    o.optopt("", "repeats", "sweep: how often each point is run, with seeds of its own", "N")
        .optopt("", "most", "sweep: leave out points above this", "N")
        .optopt("", "out", "a folder for CSV and pictures", "DIR")
        .optflag("h", "help", "show this help");
    let m = o.parse(a).map_err(|e| format!("{e}; see testbed hollow --help"))?;
    let num = |k: &str, d: u64| match m.opt_str(k) {
        None => Ok(d),
        Some(s) => s.parse().map_err(|_| format!("--{k}: {s} is no whole number")),
    };
    if m.opt_present("help") || m.free.is_empty() {
        println!("{}", o.usage(HELP));
        let all: Vec<_> = SWEEPS.iter().map(|s| s.name).collect();
        println!("Sweeps: {}", all.join(", "));
        return Ok(());
    }
    let out = m.opt_str("out").map(PathBuf::from);
    let save = |name: String, s: &str| match &out {
        None => Ok(()),
        Some(d) => std::fs::create_dir_all(d)
            .and_then(|()| std::fs::write(d.join(&name), s))
            .map_err(|e| format!("--out: {name}: {e}")),
    };
    match m.free[0].as_str() {
        "one" => {
            let s = Shape {
                nodes: num("nodes", d.nodes)?,
                cores: num("cores", d.cores)?,
                voters: num("voters", d.voters)?,
                zones: num("zones", d.zones)?,
                regions: num("regions", d.regions)?,
                workers: num("workers", d.workers)?,
                pools: num("pools", d.pools)?,
                tenants: num("tenants", d.tenants)?,
                matches: num("matches", d.matches)?,
                calls: num("calls", d.calls)?,
                changes: num("changes", d.changes)?,
                beat: num("beat-ms", d.beat / 1_000)? * 1_000,
                warm: num("warm", d.warm / 1_000_000)? * 1_000_000,
                secs: num("seconds", d.secs)?,
                seed: num("seed", d.seed)?,
            };
            s.check()?;
            print(s.nodes, &run(s));
        }
        "sweep" => {
            let names = &m.free[1..];
            let all = names.iter().any(|n| n == "all");
            if let Some(n) = names.iter().find(|n| *n != "all" && !SWEEPS.iter().any(|s| s.name == **n)) {
                return Err(format!("{n}: no such sweep; see testbed hollow --help"));
            }
            let (repeats, most) = (num("repeats", 1)?, num("most", u64::MAX)?);
            for a in SWEEPS.iter().filter(|s| all || names.iter().any(|n| n == s.name)) {
                println!("{} ({})", a.name, a.unit);
                let rs = sweep(a, repeats, most, |r: &Run| print(r.x, &r.out));
                for (role, c, f) in fits(&rs) {
                    if ["bytes_out", "bytes_in", "bytes_far", "step_us", "wire_us", "memory"].contains(&c) {
                        println!(
                            "  {:5} {c:10} {:12.1} + {:10.3} (± {:.3}) for each, power {:.2} (± {:.2})",
                            name(role),
                            f.base,
                            f.slope,
                            f.error,
                            f.power,
                            f.power_error
                        );
                    }
                }
                save(format!("{}.csv", a.name), &csv(a, &rs))?;
                save(format!("{}-fits.csv", a.name), &csv_fits(a, &rs))?;
                if let Some(d) = &out {
                    draw::draw(a, &rs, &d.join(format!("{}.svg", a.name))).map_err(|e| e.to_string())?;
                }
            }
        }
        "parts" => {
            let n = num("repeats", 9)?;
            let mut s = "part,x,us_best,us_middle,us_worst,bytes\n".to_owned();
            let ps = [100, 400, 1_600, 6_000, 12_000].into_iter().flat_map(|x| parts::places(x, n));
            for p in ps.chain([20, 100, 400, 1_600].into_iter().flat_map(|x| parts::plans(x, n))) {
                println!(
                    "{:8} {:>6}: {:10.1} us ({:.1} to {:.1}) {} B",
                    p.name, p.x, p.us[1], p.us[0], p.us[2], p.bytes
                );
                let _ = writeln!(s, "{},{},{:.1},{:.1},{:.1},{}", p.name, p.x, p.us[0], p.us[1], p.us[2], p.bytes);
            }
            save("parts.csv".into(), &s)?;
        }
        w => return Err(format!("{w}: use sweep, parts or one")),
    }
    Ok(())
}

fn name(r: Role) -> String {
    format!("{r:?}")
}
