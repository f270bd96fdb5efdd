//! Which match takes a call, and which of its pools.

use sumacvale_core::config::{CompiledConfig, validate};

fn plan(matches: &str) -> CompiledConfig {
    let t = format!("{{\"pools\":{{\"p\":{{}},\"q\":{{}},\"r\":{{}}}},\"matches\":{{{matches}}}}}");
    validate(&t).unwrap_or_else(|e| panic!("{t}\n{e:?}"))
}

fn named(p: &CompiledConfig, method: &str, host: &str, path: &str) -> String {
    p.find(method, host, path).map_or_else(String::new, |m| m.name.clone())
}

#[test]
fn a_call_is_taken_by_its_path_then_its_host_then_the_longest_beginning() {
    let p = plan(concat!(
        r#""exact":{"path":"/v1/chat","pool":"p"},"got":{"path":"/v1/chat","method":"GET","pool":"p"},"#,
        r#""part":{"path":"/v1/{id}/x","pool":"p"},"#,
        r#""one":{"host":"one.test","under":"/","pool":"p"},"one-v1":{"host":"one.test","under":"/v1/","pool":"p"},"#,
        r#""one-deep":{"host":"one.test","under":"/v1/a/b/","pool":"p"},"#,
        r#""two":{"host":"Two.Test","under":"/v1/","pool":"p"},"any":{"under":"/v1/a/","pool":"p"}"#
    ));
    for (method, host, path, want) in [
        ("POST", "one.test", "/v1/chat", "exact"),
        ("GET", "one.test", "/v1/chat", "got"),
        ("PUT", "one.test", "/v1/chat", "one-v1"),
        ("POST", "one.test", "/v1/7/x", "part"),
        ("POST", "one.test", "/v1/chat/", "one-v1"),
        ("POST", "one.test", "/v1/a/b/c", "one-deep"),
        ("POST", "one.test", "/v1/a/b", "one-v1"),
        ("POST", "one.test", "/v1", "one"),
        ("POST", "one.test", "/", "one"),
        ("POST", "one.test", "", ""),
        ("POST", "one.test", "//", "one"),
        ("POST", "two.test", "/v1/z", "two"),
        // The host's own before those of every host, also where these are longer.
        ("POST", "two.test", "/v1/a/z", "two"),
        ("POST", "six.test", "/v1/a/z", "any"),
        ("POST", "", "/v1/a/z", "any"),
        ("POST", "six.test", "/v1/z", ""),
        ("POST", "Two.Test", "/v1/z", ""),
    ] {
        assert_eq!(named(&p, method, host, path), want, "{method} {host} {path}");
    }
}

#[test]
fn a_match_with_a_host_takes_no_calls_of_another() {
    let t = r#"{"pools":{"p":{}},"matches":{"m":{"host":"one.test","path":"/x","pool":"p"}}}"#;
    // Refused or kept, but never taken without effect.
    let Ok(p) = validate(t) else { return };
    assert_eq!(named(&p, "POST", "one.test", "/x"), "m");
    assert_eq!(named(&p, "POST", "two.test", "/x"), "", "it names one.test");
}

#[test]
fn pools_share_calls_by_weight() {
    // The split; how many of a round go to p, q and r.
    for (split, round, want) in [
        (r#"{"p":1}"#, 1, [1, 0, 0]),
        (r#"{"p":9,"q":1}"#, 10, [9, 1, 0]),
        (r#"{"p":0,"q":2}"#, 2, [0, 2, 0]),
        (r#"{"p":1,"q":0,"r":1}"#, 2, [1, 0, 1]),
        (r#"{"p":2,"q":3,"r":5}"#, 10, [2, 3, 5]),
        (r#"{"p":1000000,"q":1000000}"#, 2_000_000, [1_000_000, 1_000_000, 0]),
    ] {
        let p = plan(&format!("\"m\":{{\"under\":\"/\",\"split\":{split}}}"));
        let m = p.find("GET", "h", "/").expect("found");
        let mut got = [0; 3];
        for n in 0..round {
            let i = ["p", "q", "r"].iter().position(|p| *p == m.pool_for(n)).expect("one of them");
            got[i] += 1;
        }
        assert_eq!(got, want, "{split}");
        let may: Vec<_> = m.pools().collect();
        let some: Vec<_> = ["p", "q", "r"].into_iter().zip(want).filter(|x| x.1 > 0).map(|x| x.0).collect();
        assert_eq!(may, some, "{split}: what has no weight may not serve");
    }
    let p = plan(r#""m":{"under":"/","pool":"q"}"#);
    let m = p.find("GET", "h", "/").expect("found");
    assert!([0, 1, u64::MAX].iter().all(|n| m.pool_for(*n) == "q"));
}
