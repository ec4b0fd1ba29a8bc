//! The operator file: what it may say, and its schema.

use quillmount_operator::Operator;
use quillmount_operator::problems::Problem;
use std::path::Path;

fn problems(text: &str) -> Vec<String> {
    Operator::parse(text.as_bytes()).unwrap_err().iter().map(Problem::to_string).collect()
}

#[test]
fn the_least_file_has_everything_off() {
    assert_eq!(Operator::parse(br#"{"version": 1}"#).unwrap(), Operator::default());
}

#[test]
fn what_is_wrong_is_told_with_its_path_and_all_at_once() {
    let lines = problems(r#"{"version": 1, "log": {"format": "xml", "filer": "info"}, "strems": {}}"#);
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines[0].starts_with("$.log.format: unknown variant `xml`"), "{lines:?}");
    assert_eq!(lines[1..], ["$.log.filer: no such field", "$.strems: no such field"]);
    assert_eq!(problems("{}"), ["$: missing field `version`"]);
    assert_eq!(problems(r#"{"version": 2}"#), ["$.version: 2, where this program reads 1"]);
}

#[test]
fn limits_that_can_not_be_are_told_all_at_once() {
    let text = r#"{"version": 1, "streams": {"window": "1 KiB", "memory": "0 B", "share_of_slots": 2,
        "provider": {"stall": "0s"}, "longest": "9 days"}}"#;
    let lines = problems(text);
    let expected = ["share_of_slots", "window", "memory", "longest", "provider.stall"];
    assert_eq!(lines.len(), expected.len(), "{lines:?}");
    for (line, expected) in lines.iter().zip(expected) {
        assert!(line.starts_with(&format!("$.streams.{expected}: ")), "{line}");
    }
}

#[test]
fn a_fleet_that_can_not_be_is_told_all_at_once() {
    let text = r#"{"version": 1, "streams": {"on": true}, "fleet": {"on": true, "me": "x", "listen": "192.0.2.1:1",
        "members": [{"name": "a", "addr": "127.0.0.1:1"}, {"name": "a", "addr": "127.0.0.1:1"},
        {"name": "b/", "addr": "here"}], "voters": ["a", "c"], "lease": "1s", "drift": 0.2, "copies": 3}}"#;
    let lines = problems(text);
    let expected = [
        "members[1].name: \"a\" is there twice",
        "members[1].addr: 127.0.0.1:1 is another member's",
        "members[2].name: \"b/\"",
        "members[2].addr: \"here\" is no address",
        "me: \"x\" is not among the members",
        "listen: 192.0.2.1:1 is off this machine",
        "voters: 2 of them",
        "voters[1]: \"c\" is not among the members",
        "drift: from 0 to 0.05",
        "lease: from 1.5s",
        "copies: 3 copies need 4 members",
    ];
    assert_eq!(lines.len(), expected.len() + 1, "{lines:#?}");
    for (line, expected) in lines.iter().zip(expected) {
        assert!(line.starts_with(&format!("$.fleet.{expected}")), "{line}, not {expected}");
    }
    assert!(lines.last().is_some_and(|line| line.starts_with("$.streams.on: ")), "{lines:#?}");
    // What is off is not looked at.
    assert!(Operator::parse(br#"{"version": 1, "fleet": {"me": "x"}}"#).is_ok());
}

/// Operators read these lines, and `quillmount check` prints them.
#[test]
fn lines_of_problems_have_the_same_texts() {
    let text = r#"{"version": 1,
        "streams": {"on": true, "window": "1 KiB", "memory": "0 B", "share_of_slots": 2, "share_of_window": -0.5,
            "largest": "0 B", "turn": "1 KiB", "longest": "9 days", "consumer": {"stall": "0s"},
            "provider": {"stall": "0s", "over": "0s"}},
        "fleet": {"on": true, "me": "x", "listen": "192.0.2.1:1", "members": [{"name": "a", "addr": "127.0.0.1:1"},
            {"name": "a", "addr": "127.0.0.1:1"}, {"name": "b/", "addr": "here"}], "voters": ["a", "c", "c", "a"],
            "lease": "1s", "drift": 0.2, "copies": 4, "partner_call": "31s",
            "settlements": [{"dest": 1}, {"dest": 1, "mode": "session"}]}}"#;
    assert_eq!(problems(text).join("\n"), include_str!("fixtures/problem_lines.txt").trim_end());
}

/// Numbers at their limit are told like any other that is too large.
#[test]
fn the_largest_number_of_copies_is_told_and_not_calculated_with() {
    let text = r#"{"version": 1, "fleet": {"on": true, "me": "a", "listen": "127.0.0.1:1", "voters": ["a"],
        "members": [{"name": "a", "addr": "127.0.0.1:1"}, {"name": "b", "addr": "127.0.0.1:2"}],
        "copies": 18446744073709551615}}"#;
    let lines = problems(text);
    assert_eq!(lines.len(), 2, "{lines:#?}");
    assert!(lines[0].starts_with("$.fleet.copies: from 1 to "), "{lines:#?}");
    assert!(lines[1].starts_with("$.fleet.copies: 18446744073709551615 copies need"), "{lines:#?}");
}

/// A session would be carried as single messages, which its partner does not take.
#[test]
fn settlements_in_sessions_are_refused() {
    let lines = problems(
        r#"{"version": 1, "fleet": {"on": true, "me": "a", "listen": "127.0.0.1:1", "voters": ["a"],
            "members": [{"name": "a", "addr": "127.0.0.1:1"}, {"name": "b", "addr": "127.0.0.1:2"}],
            "settlements": [{"dest": 1}, {"dest": 1, "mode": "message"}, {"dest": 2, "mode": "session"}]}}"#,
    );
    assert_eq!(lines.len(), 2, "{lines:#?}");
    assert!(lines[0].starts_with("$.fleet.settlements[1].dest: 1 is there twice"), "{lines:#?}");
    assert!(lines[1].starts_with("$.fleet.settlements[2].mode: sessions are not carried"), "{lines:#?}");
}

/// `docs/schema/operator.json` is what `quillmount schema` prints; the example holds to it.
#[test]
fn the_schema_on_the_page_is_fresh_and_the_example_has_everything_off() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/schema/operator.json")).unwrap();
    assert_eq!(page, Operator::schema_text(), "`quillmount schema > docs/schema/operator.json` renews it");
    let example = Operator::load(&root.join("deploy/operator.json")).unwrap();
    assert_eq!(Operator { schema: None, ..example }, Operator::default());
}
