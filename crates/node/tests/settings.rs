//! The command line and the settings: every trouble is listed before anything opens.

use std::process::Command;
use sumacvale_node::settings::{
    CommandLineAction, MembershipSettings, SettingsError, SettingsOverrides, parse_command_line, read,
};

const GOOD: &str = r#"{"peer":"127.0.0.1:7000","admin":"127.0.0.1:7001","downstream":"127.0.0.1:7002","zone":"z1",
 "seeds":["127.0.0.1:7000","127.0.0.2:7000","127.0.0.3:7000"],
 "operators":["sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]}"#;

const SEEDS: &str = r#""127.0.0.1:7000","127.0.0.2:7000","127.0.0.3:7000""#;

fn with(members: &str) -> String {
    GOOD.replacen('{', &format!("{{\"members\":{members},"), 1)
}

fn troubles(s: &str) -> Vec<String> {
    match read(Some(s), &SettingsOverrides::default()) {
        Ok(_) => Vec::new(),
        Err(v) => v.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn settings_are_judged_whole() {
    assert_eq!(troubles(GOOD), Vec::<String>::new());
    let cases = [
        ("unknown", GOOD.replacen("\"zone\"", "\"zoned\":1,\"zone\"", 1), vec!["/zoned: unknown"]),
        ("bad address", GOOD.replacen("127.0.0.1:7001", "localhost:7001", 1), vec!["/admin: localhost:7001"]),
        ("no port", GOOD.replacen("127.0.0.1:7001", "127.0.0.1", 1), vec!["/admin: 127.0.0.1"]),
        ("any address", GOOD.replacen("127.0.0.1:7001", "0.0.0.0:7001", 1), vec!["/admin: 0.0.0.0"]),
        ("the same twice", GOOD.replacen("7001", "7000", 1), vec!["/admin: the same address as /peer"]),
        ("seed twice", GOOD.replacen("127.0.0.3:7000", "127.0.0.2:7000", 1), vec!["/seeds/2: stands there twice"]),
        ("no seeds", GOOD.replacen(SEEDS, "", 1), vec!["/seeds: 0 seeds are named; name one to three"]),
        (
            "four seeds",
            GOOD.replacen("3:7000\"", "3:7000\",\"127.0.0.4:7000\"", 1),
            vec!["/seeds: 4 seeds are named; name one to three"],
        ),
        ("members, no object", with("true"), vec!["/members: true is no object such as"]),
        (
            "members, unknown",
            with("{\"votes\":3}"),
            vec!["/members/votes: unknown setting; known are auto, lose, first"],
        ),
        (
            "members, wrong",
            with("{\"auto\":1,\"lose\":0,\"first\":\"no\"}"),
            vec!["/members/auto: 1 is no true", "/members/lose: 0 is no whole number", "/members/first: \"no\" is no"],
        ),
        ("members, too many", with("{\"lose\":5}"), vec!["/members/lose: 5 is no whole number from 1 to 4"]),
        ("plain token", GOOD.replacen("sha256:", "", 1), vec!["/operators/0: this (not shown"]),
        ("no object", "[1]".into(), vec!["settings file: it is no object"]),
        ("not JSON", "{".into(), vec!["settings file: the body is not JSON"]),
        (
            "name twice",
            GOOD.replacen("\"zone\"", "\"zone\":\"a\",\"zone\"", 1),
            vec!["settings file: /zone: duplicate name"],
        ),
        (
            "nothing",
            "{}".into(),
            vec![
                "/peer: is missing",
                "/admin: is missing",
                "/downstream: is missing",
                "/zone: is missing",
                "/seeds: is missing",
                "/operators: is missing",
            ],
        ),
        (
            "two at once",
            GOOD.replacen("\"z1\"", "\"z 1\"", 1).replacen('{', "{\"threads\":0,", 1),
            vec!["/zone: z 1", "/threads: 0"],
        ),
        (
            "no folder",
            GOOD.replacen('{', "{\"data\":\"/no/such/place/at/all\",", 1),
            vec!["/data: /no/such/place/at/all does not exist"],
        ),
        ("a file", GOOD.replacen('{', "{\"data\":\"/dev/null\",", 1), vec!["/data: /dev/null is no folder"]),
    ];
    for (name, s, want) in cases {
        let got = troubles(&s);
        for w in &want {
            assert!(got.iter().any(|g| g.starts_with(w)), "{name}: {w} not in {got:?}");
        }
        if name == "unknown" || name == "two at once" {
            assert_eq!(got.len(), want.len(), "{name}: {got:?}");
        }
    }
}

#[test]
fn one_to_three_seeds_and_what_members_do() {
    let get = |s: &str| read(Some(s), &SettingsOverrides::default()).expect("good");
    for n in 1..=3 {
        let few: Vec<_> = SEEDS.split(',').take(n).collect();
        assert_eq!(get(&GOOD.replacen(SEEDS, &few.join(","), 1)).seeds.len(), n);
    }
    assert_eq!(
        get(GOOD).membership,
        MembershipSettings { manages_voters: false, tolerated_losses: 1, may_bootstrap: true }
    );
    let m = get(&with("{\"auto\":true,\"lose\":2,\"first\":false}")).membership;
    assert_eq!(m, MembershipSettings { manages_voters: true, tolerated_losses: 2, may_bootstrap: false });
}

#[test]
fn flags_go_before_the_file() {
    let f = SettingsOverrides {
        zone: Some("z9".into()),
        seeds: vec!["127.0.0.9:1".into(), "127.0.0.9:2".into(), "127.0.0.9:3".into()],
        ..SettingsOverrides::default()
    };
    let e = read(Some(GOOD), &f).expect("good");
    assert_eq!((e.zone.as_str(), e.seeds[2].port()), ("z9", 3));
    assert!(
        matches!(parse_command_line(&["--nonsense".into()]), CommandLineAction::Invalid(v) if matches!(v[..], [SettingsError::Flag(_)]))
    );
}

#[test]
fn openapi_files_become_matches() {
    let api = r#"{"openapi":"3.0.3","info":{"title":"t","version":"1"},"paths":{
      "/v1/slots":{"get":{"operationId":"slots","responses":{}},"post":{"responses":{},"x-kind":"lookup"}},
      "/v1/slots/{id}":{"get":{"responses":{}}},
      "/v1/draft":{"post":{"operationId":"draft","responses":{},"x-kind":"draft","x-resume":true}}}}"#;
    let (s, out) = sumacvale_node::import::import(api, "app").expect("imports");
    let p = sumacvale_core::config::validate(&s).expect("a good tree");
    let m = p.find("GET", "", "/v1/slots").expect("a match");
    assert!(m.name == "slots" && m.idempotent && m.pool == "app");
    assert!(p.find("POST", "", "/v1/slots").is_some_and(|m| m.name == "post-v1-slots" && !m.idempotent));
    assert!(p.find("POST", "", "/v1/draft").is_some_and(|m| m.resumable));
    assert!(p.find("GET", "", "/v1/slots/7").is_some_and(|m| m.path == "/v1/slots/{id}"));
    assert!(p.find("GET", "", "/v1/slots/7/no").is_none() && p.find("PUT", "", "/v1/slots/7").is_none());
    assert!(p.matches.len() == 4 && out.is_empty(), "{out:?}");
    for bad in ["{", "{}", &api.replace("\"draft\",\"x", "\"long\",\"x")] {
        assert!(sumacvale_node::import::import(bad, "app").is_err(), "{bad}");
    }
}

#[test]
fn the_program_ends_with_two_and_lists_all() {
    let run = |a: &[&str]| {
        let o = Command::new(env!("CARGO_BIN_EXE_sumacvale")).args(a).output().expect("runs");
        let t = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
        (o.status.code(), t(&o.stdout), t(&o.stderr))
    };
    let (c, out, _) = run(&["--help"]);
    assert!(c == Some(0) && out.contains("--env") && out.contains("--check"));
    let (c, out, _) = run(&["--version"]);
    assert!(c == Some(0) && out.starts_with("sumacvale 0."));
    let (c, _, err) = run(&["--env", "/no/such/file"]);
    assert!(c == Some(2) && err.contains("name a file that can be read"), "{err}");
    let (c, _, err) = run(&["--check", "--zone", "z1", "--peer", "nowhere"]);
    assert!(c == Some(2) && err.lines().count() >= 4, "{err}");
    let d = std::env::temp_dir().join(format!("sumacvale-settings-{}", std::process::id()));
    std::fs::write(&d, GOOD).expect("writes");
    let (c, out, err) = run(&["--check", "--env", &d.display().to_string()]);
    assert_eq!((c, out.trim()), (Some(0), "the settings are good"), "{err}");
    std::fs::remove_file(d).expect("removes");
}
