//! The command line: what is wrong is named, and the exit code says so.

use std::process::{Command, Output};

fn run(arguments: &[&str], settings: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillmount-node"));
    command.args(arguments).env_remove("QUILLMOUNT_NODE_FILE").env_remove("RUST_LOG");
    if let Some(path) = settings {
        command.env("QUILLMOUNT_NODE_FILE", path);
    }
    command.output().unwrap()
}

fn file(name: &str, content: &str) -> String {
    let path = std::env::temp_dir().join(format!("quillmount-command-{}-{name}", std::process::id()));
    std::fs::write(&path, content).unwrap();
    path.display().to_string()
}

fn errors(output: &Output) -> String {
    // miette wraps lines: compare without line ends.
    String::from_utf8_lossy(&output.stderr).split_whitespace().collect::<Vec<_>>().join(" ")
}

#[test]
fn a_role_without_settings_says_what_is_missing() {
    let output = run(&["courier"], None);
    assert!(!output.status.success());
    assert!(errors(&output).contains("QUILLMOUNT_NODE_FILE"), "{}", errors(&output));
    let output = run(&["store"], Some("/nowhere/node.toml"));
    assert!(!output.status.success());
    assert!(errors(&output).contains("/nowhere/node.toml"), "{}", errors(&output));
}

#[test]
fn check_names_the_field_of_settings_that_is_missing() {
    let path = file("settings.toml", "Hostname = \"a\"\n");
    let output = run(&["check", "--settings", &path], None);
    assert!(!output.status.success());
    assert!(errors(&output).contains("BindIp"), "{}", errors(&output));
}

#[test]
fn check_reports_what_is_wrong_with_a_configuration() {
    let path = file("good.json", r#"{"Gen":1,"Routes":[],"Backends":[]}"#);
    assert!(run(&["check", "--configuration", &path], None).status.success());
    let bad = r#"{"Gen":1,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/","DeadlineMs":5,"Backend":"gone"}],"Backends":[]}"#;
    let output = run(&["check", "--configuration", &file("bad.json", bad)], None);
    assert!(!output.status.success());
    assert!(errors(&output).contains("there is no service gone"), "{}", errors(&output));
}

#[test]
fn inspect_reads_an_empty_folder_and_changes_nothing() {
    let folder = std::env::temp_dir().join(format!("quillmount-command-{}-folder", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let output = run(&["inspect", &folder.display().to_string()], None);
    assert!(output.status.success() && output.stdout.is_empty());
    assert_eq!(std::fs::read_dir(&folder).unwrap().count(), 0);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// The output goes to a pipe that nobody reads, as after `head`: the command ends by the signal, without a panic.
#[test]
fn a_command_whose_output_is_closed_ends_without_a_panic() {
    use std::os::unix::process::ExitStatusExt;
    const SIGPIPE: i32 = 13;
    let configuration = file("closed.json", r#"{"Gen":1,"Routes":[],"Backends":[]}"#);
    for arguments in [vec!["version"], vec!["check", "--configuration", &configuration]] {
        let (reader, writer) = std::io::pipe().unwrap();
        drop(reader);
        let mut command = Command::new(env!("CARGO_BIN_EXE_quillmount-node"));
        let output = command.args(&arguments).stdout(writer).output().unwrap();
        assert_eq!(output.status.signal(), Some(SIGPIPE), "{arguments:?}: {}", errors(&output));
        assert_eq!(errors(&output), "");
    }
}

/// A store over a ring whose identity is lost must not start as a new disk: it says so and leaves the folder as it is.
#[test]
fn a_role_does_not_start_over_a_ring_without_its_identity() {
    let folder = std::env::temp_dir().join(format!("quillmount-command-{}-lost", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("segment-001"), "").unwrap();
    let settings = format!(
        "Hostname = \"s\"\nBindIp = \"127.0.0.1\"\nAz = \"a\"\nPortRange = [1, 1]\nVarDir = \"{}\"\n[Limits]\nRamMb = 64\nNofile = 64\n[Survive]\nBoxes = 1\n[Slo]\n",
        folder.display()
    );
    let output = run(&["store"], Some(&file("lost.toml", &settings)));
    assert_eq!(output.status.code(), Some(1));
    assert!(errors(&output).contains("missing or damaged beside a ring"), "{}", errors(&output));
    assert_eq!(std::fs::read_dir(&folder).unwrap().count(), 1);
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn an_address_of_metrics_that_is_none_is_told() {
    for address in ["9464", "port/metrics", "99999/metrics", "/metrics"] {
        let output = run(&["courier", "--metrics", address], None);
        assert!(!output.status.success());
        assert!(errors(&output).contains("is no PORT/PATH"), "{}", errors(&output));
    }
}
