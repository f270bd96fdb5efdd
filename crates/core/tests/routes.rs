//! Routing: the match that a call is routed by, and the pool that serves the call.

use sumacvale_core::config::{CompiledConfig, validate};

fn config(matches: &str) -> CompiledConfig {
    let document = format!("{{\"pools\":{{\"p\":{{}},\"q\":{{}},\"r\":{{}}}},\"matches\":{{{matches}}}}}");
    validate(&document).unwrap_or_else(|errors| panic!("{document}\n{errors:?}"))
}

fn matched_name(config: &CompiledConfig, method: &str, host: &str, path: &str) -> String {
    config.find_match(method, host, path).map_or_else(String::new, |matched| matched.name.clone())
}

#[test]
fn a_call_is_routed_by_its_path_then_its_host_then_the_longest_prefix() {
    let config = config(concat!(
        r#""exact":{"path":"/v1/chat","pool":"p"},"got":{"path":"/v1/chat","method":"GET","pool":"p"},"#,
        r#""part":{"path":"/v1/{id}/x","pool":"p"},"#,
        r#""one":{"host":"one.test","under":"/","pool":"p"},"one-v1":{"host":"one.test","under":"/v1/","pool":"p"},"#,
        r#""one-deep":{"host":"one.test","under":"/v1/a/b/","pool":"p"},"#,
        r#""two":{"host":"Two.Test","under":"/v1/","pool":"p"},"any":{"under":"/v1/a/","pool":"p"}"#
    ));
    for (method, host, path, expected) in [
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
        // Matches of the call's host have precedence over matches of all hosts, even with longer prefixes.
        ("POST", "two.test", "/v1/a/z", "two"),
        ("POST", "six.test", "/v1/a/z", "any"),
        ("POST", "", "/v1/a/z", "any"),
        ("POST", "six.test", "/v1/z", ""),
        ("POST", "Two.Test", "/v1/z", ""),
    ] {
        assert_eq!(matched_name(&config, method, host, path), expected, "{method} {host} {path}");
    }
}

#[test]
fn a_match_with_a_host_routes_no_calls_of_another_host() {
    let document = r#"{"pools":{"p":{}},"matches":{"m":{"host":"one.test","path":"/x","pool":"p"}}}"#;
    // The document may be rejected, but if it is valid, its host is not ignored.
    let Ok(config) = validate(document) else { return };
    assert_eq!(matched_name(&config, "POST", "one.test", "/x"), "m");
    assert_eq!(matched_name(&config, "POST", "two.test", "/x"), "", "the match names one.test");
}

#[test]
fn calls_are_split_between_pools_by_weight() {
    // The split, the number of calls, and how many of these calls go to p, q and r.
    for (split, round, expected) in [
        (r#"{"p":1}"#, 1, [1, 0, 0]),
        (r#"{"p":9,"q":1}"#, 10, [9, 1, 0]),
        (r#"{"p":0,"q":2}"#, 2, [0, 2, 0]),
        (r#"{"p":1,"q":0,"r":1}"#, 2, [1, 0, 1]),
        (r#"{"p":2,"q":3,"r":5}"#, 10, [2, 3, 5]),
        (r#"{"p":1000000,"q":1000000}"#, 2_000_000, [1_000_000, 1_000_000, 0]),
    ] {
        let config = config(&format!("\"m\":{{\"under\":\"/\",\"split\":{split}}}"));
        let matched = config.find_match("GET", "h", "/").expect("found");
        let mut calls = [0; 3];
        for hash in 0..round {
            let pool = ["p", "q", "r"].iter().position(|pool| *pool == matched.pool_for(hash)).expect("a known pool");
            calls[pool] += 1;
        }
        assert_eq!(calls, expected, "{split}");
        let allowed: Vec<_> = matched.pools().collect();
        let weighted: Vec<_> =
            ["p", "q", "r"].into_iter().zip(expected).filter(|(_, calls)| *calls > 0).map(|(pool, _)| pool).collect();
        assert_eq!(allowed, weighted, "{split}: a pool without weight gets no calls");
    }
    let config = config(r#""m":{"under":"/","pool":"q"}"#);
    let matched = config.find_match("GET", "h", "/").expect("found");
    assert!([0, 1, u64::MAX].iter().all(|hash| matched.pool_for(*hash) == "q"));
}
