//! The command: its verdicts, its files, and its messages for bad input.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn explore(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_quillmount-explore")).args(arguments).output().unwrap()
}

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/found").join(name)
}

fn temporary_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("quillmount-explore-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn a_verified_case_exits_0_and_a_stopped_search_never_claims_to_be_verified() {
    let verified = explore(&["check", "--messages", "1", "--events", "refuse,timeout"]);
    assert_eq!(verified.status.code(), Some(0), "{verified:?}");
    assert!(stdout(&verified).contains("holds"));
    let stopped = explore(&["check", "--messages", "3", "--time", "1ms"]);
    assert_eq!(stopped.status.code(), Some(3), "{stopped:?}");
    assert!(!stdout(&stopped).contains("holds") && stdout(&stopped).contains("the time was up"));
    let full = explore(&["check", "--messages", "3", "--memory", "1"]);
    assert_eq!(full.status.code(), Some(3), "{full:?}");
    assert!(!stdout(&full).contains("holds") && stdout(&full).contains("the memory was up"));
}

#[test]
fn a_search_has_the_same_result_on_any_number_of_threads() {
    let figures = |threads: &str| {
        let output = explore(&["check", "--messages", "1", "--threads", threads]);
        let text = stdout(&output);
        let mut parts = text.split(", ").map(str::to_string);
        (parts.next(), parts.next(), parts.next())
    };
    assert_eq!(figures("1"), figures("4"));
}

#[test]
fn bad_input_is_reported_on_one_line_with_exit_2() {
    let wrong_version = std::fs::read_to_string(fixture_path("lost_wake.json")).unwrap();
    let wrong_version = wrong_version.replacen("\"version\": 1", "\"version\": 7", 1);
    let other = temporary_file("other.json", &wrong_version);
    let half = temporary_file("half.json", "{\"version\": 1, \"case\"");
    let none = temporary_file("none.json", "{}");
    let field = temporary_file("field.json", "{\"version\": 1, \"way\": []}");
    let text = |path: &PathBuf| path.display().to_string();
    let cases: [(&[&str], &str); 9] = [
        (&["check", "--events", "drain,fog"], "no event is named \"fog\""),
        (&["check", "--messages", "0"], "messages: from 1 to 8 are possible, not 0"),
        (&["check", "--endpoints", "1", "--destinations", "2"], "endpoints: from 2 to 8"),
        (&["check", "--break", "no-such"], "no break is named \"no-such\""),
        (&["replay", "no-such-file.json"], "no-such-file.json: "),
        (&["replay", &text(&half)], "half.json: "),
        (&["replay", &text(&none)], "version: missing"),
        (&["replay", &text(&other)], "version: 7, where this program writes 1"),
        (&["shrink", &text(&field)], "unknown field `way`"),
    ];
    for (arguments, message) in cases {
        let output = explore(arguments);
        let line = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {line}");
        assert!(line.contains(message) && line.trim_end().lines().count() == 1, "{arguments:?}: {line}");
    }
    [other, half, none, field].iter().for_each(|path| std::fs::remove_file(path).unwrap());
}

#[test]
fn a_path_without_a_violation_exits_0_or_names_the_move_that_is_not_enabled() {
    let output = explore(&["replay", &fixture_path("lost_wake.json").display().to_string()]);
    assert_eq!(output.status.code(), Some(2), "its ninth transition is not enabled any more: {output:?}");
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("move 9: the module is woken: is not open there")
    );
}

/// With a break in the code: a counterexample is printed, written, replayed, and shrunk.
#[cfg(feature = "breaks")]
#[test]
fn a_counterexample_is_written_replayed_and_shrunk() {
    let path = temporary_file("broken.json", "");
    let name = path.display().to_string();
    let case = ["--messages", "1", "--endpoints", "1", "--events", "reset", "--break", "retry-after-reset"];
    let check = explore(&[&["check", "--json", &name][..], &case].concat());
    assert_eq!(check.status.code(), Some(1), "{check:?}");
    let trace = stdout(&check);
    assert!(trace.contains("broken at move 6: no-repeat: call 1 of m0, a debit"), "{trace}");
    for command in ["replay", "shrink", "replay"] {
        let output = explore(&[command, &name]);
        assert_eq!(output.status.code(), Some(1), "{output:?}");
        assert!(stdout(&output).contains("no-repeat"));
    }
    std::fs::remove_file(path).unwrap();
}

/// The output goes to a pipe that nobody reads, as after `head`: the program ends by the signal, without a panic.
#[test]
fn a_command_whose_output_is_closed_ends_without_a_panic() {
    use std::os::unix::process::ExitStatusExt;
    const SIGPIPE: i32 = 13;
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillmount-explore"));
    let output = command.arg("list").stdout(writer).output().unwrap();
    assert_eq!(output.status.signal(), Some(SIGPIPE), "{output:?}");
    assert!(output.stderr.is_empty(), "{output:?}");
}
