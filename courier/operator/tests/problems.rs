//! Everything that is wrong in a text is reported with its path.

use quillmount_operator::problems::{UnknownFields, read};
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[allow(dead_code)]
struct Inner {
    n: u8,
    #[serde(default)]
    text: String,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code)]
struct Outer {
    name: String,
    all: Vec<Inner>,
    #[serde(default)]
    flag: bool,
}

fn paths(text: &str, unknown_fields: UnknownFields) -> Vec<String> {
    let problems = read::<Outer>(text.as_bytes(), unknown_fields).unwrap_err();
    problems.into_iter().map(|p| format!("{p}")).collect()
}

#[test]
fn all_that_is_wrong_is_told_with_its_path() {
    let lines = paths(
        r#"{"all": [{"n": 300, "odd": 1}, {"text": 7}], "flag": "yes", "more": {}}"#,
        UnknownFields::Reject,
    );
    let expected = [
        "$.all[0].n: invalid value",
        "$.all[1].text: invalid type",
        "$.all[1]: missing field `n`",
        "$.flag: invalid type",
        "$: missing field `name`",
        "$.all[0].odd: no such field",
        "$.more: no such field",
    ];
    assert_eq!(lines.len(), expected.len(), "{lines:?}");
    for (line, expected) in lines.iter().zip(expected) {
        assert!(line.starts_with(expected), "{line:?} for {expected:?}");
    }
}

#[test]
fn a_text_that_is_no_json_is_one_problem_and_unknown_fields_may_pass() {
    assert_eq!(paths("{\"name\": ", UnknownFields::Reject).len(), 1);
    assert_eq!(
        paths("[]", UnknownFields::Reject),
        ["$: invalid length 0, expected struct Outer with 3 elements"]
    );
    assert!(read::<Outer>(br#"{"name": "", "all": [], "odd": 1}"#, UnknownFields::Ignore).is_ok());
}
