//! The command line and the settings file: all errors are reported together, before anything is opened.

use std::process::Command;
use sumacvale_node::settings::{
    CommandLineAction, MembershipSettings, SettingsError, SettingsOverrides, parse_command_line, read,
};

/// A valid settings file.
const VALID_SETTINGS: &str = r#"{"peer":"127.0.0.1:7000","admin":"127.0.0.1:7001","downstream":"127.0.0.1:7002","zone":"z1",
 "seeds":["127.0.0.1:7000","127.0.0.2:7000","127.0.0.3:7000"],
 "operators":["sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]}"#;

const SEEDS: &str = r#""127.0.0.1:7000","127.0.0.2:7000","127.0.0.3:7000""#;

/// The valid settings file with this value of the setting `members`.
fn with_members(members: &str) -> String {
    VALID_SETTINGS.replacen('{', &format!("{{\"members\":{members},"), 1)
}

/// The messages of all errors that reading this settings file reports.
fn error_messages(settings: &str) -> Vec<String> {
    match read(Some(settings), &SettingsOverrides::default()) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn all_errors_of_the_settings_are_reported() {
    assert_eq!(error_messages(VALID_SETTINGS), Vec::<String>::new());
    let cases = [
        ("unknown", VALID_SETTINGS.replacen("\"zone\"", "\"zoned\":1,\"zone\"", 1), vec!["/zoned: unknown"]),
        ("bad address", VALID_SETTINGS.replacen("127.0.0.1:7001", "localhost:7001", 1), vec!["/admin: localhost:7001"]),
        ("no port", VALID_SETTINGS.replacen("127.0.0.1:7001", "127.0.0.1", 1), vec!["/admin: 127.0.0.1"]),
        ("any address", VALID_SETTINGS.replacen("127.0.0.1:7001", "0.0.0.0:7001", 1), vec!["/admin: 0.0.0.0"]),
        ("the same twice", VALID_SETTINGS.replacen("7001", "7000", 1), vec!["/admin: the same address as /peer"]),
        (
            "seed twice",
            VALID_SETTINGS.replacen("127.0.0.3:7000", "127.0.0.2:7000", 1),
            vec!["/seeds/2: stands there twice"],
        ),
        ("no seeds", VALID_SETTINGS.replacen(SEEDS, "", 1), vec!["/seeds: 0 seeds are named; name one to three"]),
        (
            "four seeds",
            VALID_SETTINGS.replacen("3:7000\"", "3:7000\",\"127.0.0.4:7000\"", 1),
            vec!["/seeds: 4 seeds are named; name one to three"],
        ),
        ("members, no object", with_members("true"), vec!["/members: true is no object such as"]),
        (
            "members, unknown",
            with_members("{\"votes\":3}"),
            vec!["/members/votes: unknown setting; known are auto, lose, first"],
        ),
        (
            "members, wrong",
            with_members("{\"auto\":1,\"lose\":0,\"first\":\"no\"}"),
            vec!["/members/auto: 1 is no true", "/members/lose: 0 is no whole number", "/members/first: \"no\" is no"],
        ),
        ("members, too many", with_members("{\"lose\":5}"), vec!["/members/lose: 5 is no whole number from 1 to 4"]),
        ("plain token", VALID_SETTINGS.replacen("sha256:", "", 1), vec!["/operators/0: this (not shown"]),
        ("no object", "[1]".into(), vec!["settings file: it is no object"]),
        ("not JSON", "{".into(), vec!["settings file: the body is not JSON"]),
        (
            "name twice",
            VALID_SETTINGS.replacen("\"zone\"", "\"zone\":\"a\",\"zone\"", 1),
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
            VALID_SETTINGS.replacen("\"z1\"", "\"z 1\"", 1).replacen('{', "{\"threads\":0,", 1),
            vec!["/zone: z 1", "/threads: 0"],
        ),
        (
            "no folder",
            VALID_SETTINGS.replacen('{', "{\"data\":\"/no/such/place/at/all\",", 1),
            vec!["/data: /no/such/place/at/all does not exist"],
        ),
        ("a file", VALID_SETTINGS.replacen('{', "{\"data\":\"/dev/null\",", 1), vec!["/data: /dev/null is no folder"]),
    ];
    for (name, settings, expected) in cases {
        let messages = error_messages(&settings);
        for message in &expected {
            assert!(messages.iter().any(|g| g.starts_with(message)), "{name}: {message} not in {messages:?}");
        }
        if name == "unknown" || name == "two at once" {
            assert_eq!(messages.len(), expected.len(), "{name}: {messages:?}");
        }
    }
}

#[test]
fn one_to_three_seeds_are_accepted_and_members_are_read() {
    let read_settings = |s: &str| read(Some(s), &SettingsOverrides::default()).expect("good");
    for n in 1..=3 {
        let seeds: Vec<_> = SEEDS.split(',').take(n).collect();
        assert_eq!(read_settings(&VALID_SETTINGS.replacen(SEEDS, &seeds.join(","), 1)).seeds.len(), n);
    }
    assert_eq!(
        read_settings(VALID_SETTINGS).membership,
        MembershipSettings { manages_voters: false, tolerated_losses: 1, may_bootstrap: true }
    );
    let membership = read_settings(&with_members("{\"auto\":true,\"lose\":2,\"first\":false}")).membership;
    assert_eq!(membership, MembershipSettings { manages_voters: true, tolerated_losses: 2, may_bootstrap: false });
}

#[test]
fn flags_override_the_file() {
    let overrides = SettingsOverrides {
        zone: Some("z9".into()),
        seeds: vec!["127.0.0.9:1".into(), "127.0.0.9:2".into(), "127.0.0.9:3".into()],
        ..SettingsOverrides::default()
    };
    let settings = read(Some(VALID_SETTINGS), &overrides).expect("good");
    assert_eq!((settings.zone.as_str(), settings.seeds[2].port()), ("z9", 3));
    assert!(
        matches!(parse_command_line(&["--nonsense".into()]), CommandLineAction::Invalid(v) if matches!(v[..], [SettingsError::Flag(_)]))
    );
}

#[test]
fn an_openapi_file_is_imported_as_matches() {
    let api = r#"{"openapi":"3.0.3","info":{"title":"t","version":"1"},"paths":{
      "/v1/slots":{"get":{"operationId":"slots","responses":{}},"post":{"responses":{},"x-kind":"lookup"}},
      "/v1/slots/{id}":{"get":{"responses":{}}},
      "/v1/draft":{"post":{"operationId":"draft","responses":{},"x-kind":"draft","x-resume":true}}}}"#;
    let (document, left_out) = sumacvale_node::import::generate_config(api, "app").expect("imports");
    let config = sumacvale_core::config::validate(&document).expect("a good tree");
    let imported = config.find_match("GET", "", "/v1/slots").expect("a match");
    assert!(imported.name == "slots" && imported.idempotent && imported.pool == "app");
    assert!(
        config
            .find_match("POST", "", "/v1/slots")
            .is_some_and(|imported| imported.name == "post-v1-slots" && !imported.idempotent)
    );
    assert!(config.find_match("POST", "", "/v1/draft").is_some_and(|imported| imported.resumable));
    assert!(config.find_match("GET", "", "/v1/slots/7").is_some_and(|imported| imported.path == "/v1/slots/{id}"));
    assert!(
        config.find_match("GET", "", "/v1/slots/7/no").is_none()
            && config.find_match("PUT", "", "/v1/slots/7").is_none()
    );
    assert!(config.matches.len() == 4 && left_out.is_empty(), "{left_out:?}");
    for bad in ["{", "{}", &api.replace("\"draft\",\"x", "\"long\",\"x")] {
        assert!(sumacvale_node::import::generate_config(bad, "app").is_err(), "{bad}");
    }
}

#[test]
fn the_program_exits_with_2_and_prints_all_errors() {
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_sumacvale")).args(arguments).output().expect("runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (output.status.code(), text(&output.stdout), text(&output.stderr))
    };
    let (code, stdout, _) = run(&["--help"]);
    assert!(code == Some(0) && stdout.contains("--env") && stdout.contains("--check"));
    let (code, stdout, _) = run(&["--version"]);
    assert!(code == Some(0) && stdout.starts_with("sumacvale 0."));
    let (code, _, stderr) = run(&["--env", "/no/such/file"]);
    assert!(code == Some(2) && stderr.contains("name a file that can be read"), "{stderr}");
    let (code, _, stderr) = run(&["--check", "--zone", "z1", "--peer", "nowhere"]);
    assert!(code == Some(2) && stderr.lines().count() >= 4, "{stderr}");
    let file = std::env::temp_dir().join(format!("sumacvale-settings-{}", std::process::id()));
    std::fs::write(&file, VALID_SETTINGS).expect("writes");
    let (code, stdout, stderr) = run(&["--check", "--env", &file.display().to_string()]);
    assert_eq!((code, stdout.trim()), (Some(0), "the settings are good"), "{stderr}");
    std::fs::remove_file(file).expect("removes");
}
