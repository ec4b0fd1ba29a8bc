//! The command line, as it is called: what it prints, how it exits, what it says of bad input.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn quillmount(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillmount"));
    for name in ["GW_CONFIG", "GW_STATE", "GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "RUST_LOG"] {
        command.env_remove(name);
    }
    command.args(arguments).output().unwrap()
}

fn said(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A file of its own for each test, in the folder that cargo keeps for them.
fn scratch(name: &str, text: &[u8]) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("command-{name}"));
    std::fs::create_dir_all(path.parent().unwrap()).unwrap();
    std::fs::write(&path, text).unwrap();
    path
}

fn root(path: &str) -> String {
    format!("{}/../../{path}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn check_tells_all_problems_of_both_files_with_their_paths() {
    let sound = quillmount(&[
        "check",
        "--config",
        &root("courier/example/config.json"),
        "--operator",
        &root("deploy/operator.json"),
    ]);
    assert!(sound.status.success(), "{}", said(&sound.stderr));
    assert_eq!(said(&sound.stdout).matches(": sound").count(), 2);

    let config =
        br#"{"listen": "nowhere", "settings": {"limits": {"open_cap": "many"}, "categories": [{"name": 7}]},
        "known": {"version": 1, "servers": [{"id": "a", "cell": 1, "state": "odd"}]}}"#;
    let config = scratch("config.json", config);
    let operator = scratch("operator.json", br#"{"version": 1, "log": {"format": "xml", "levels": "info"}}"#);
    let (config, operator) = (config.display().to_string(), operator.display().to_string());
    let wrong = quillmount(&["check", "--config", &config, "--operator", &operator]);
    let told = said(&wrong.stderr);
    assert_eq!(wrong.status.code(), Some(1), "{told}");
    for wanted in [
        format!("{config}: $.settings.limits.open_cap: invalid type"),
        format!("{config}: $.settings.categories[0].name: invalid type"),
        format!("{operator}: $.log.format: unknown variant `xml`"),
        format!("{operator}: $.log.levels: no such field"),
        "quillmount: 4 problems".into(),
    ] {
        assert!(told.contains(&wanted), "{wanted} is not in {told}");
    }
    // Types that fit can still make no courier.
    let config = br#"{"listen": "nowhere", "settings": {}, "known": {"version": 1,
        "servers": [{"id": "a", "cell": 1, "state": "odd"}, {"id": "b", "cell": 1, "addr": "x", "state": "ready"}]}}"#;
    let config = scratch("values.json", config).display().to_string();
    let told = said(&quillmount(&["check", "--config", &config]).stderr);
    for wanted in ["$.listen: ", "$.discovery: ", "$.known.servers[0]: ", "$.known.servers[1]: "] {
        assert!(told.contains(wanted), "{wanted} is not in {told}");
    }
}

#[test]
fn a_file_that_is_none_is_named_with_the_reason() {
    let half = scratch("half.json", b"{\"version\": 1,").display().to_string();
    for (arguments, words) in [
        (vec!["check"], "neither GW_CONFIG nor --config nor --operator"),
        (vec!["check", "--operator", "no-such-file.json"], "no-such-file.json: $: No such file"),
        (vec!["check", "--operator", &half], "half.json: $: EOF while parsing"),
        (vec!["run", "--operator", &half], "operator file: "),
        (vec!["run"], "configuration: GW_CONFIG is not set"),
        (vec!["journal", "verify", "no-such-folder"], "no-such-folder/journal: No such file"),
    ] {
        let output = quillmount(&arguments);
        let told = said(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{arguments:?}: {told}");
        assert!(told.contains(words), "{arguments:?}: {told}");
    }
    assert_eq!(quillmount(&["no-such-command"]).status.code(), Some(2));
}

#[test]
fn a_journal_is_shown_and_verified_and_not_changed() {
    // What a courier wrote that took one message on and ended it; a kill tore the record behind.
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("command-journal");
    std::fs::create_dir_all(&folder).unwrap();
    let sound = journal();
    let verify = |bytes: &[u8]| {
        std::fs::write(folder.join("journal"), bytes).unwrap();
        let output = quillmount(&["journal", "verify", folder.to_str().unwrap()]);
        assert_eq!(std::fs::read(folder.join("journal")).unwrap(), bytes, "it is only read");
        (output.status.code(), said(&output.stdout) + &said(&output.stderr))
    };
    let (code, told) = verify(&sound);
    assert_eq!(code, Some(0), "{told}");
    assert!(told.contains("2 records") && told.contains("1 owed: sound"), "{told}");
    let shown = said(&quillmount(&["journal", "show", folder.to_str().unwrap()]).stdout);
    assert!(shown.contains("take-on  msg=1 id=m-1 class=fee-debit dest=7 body=3B"), "{shown}");
    let json = said(&quillmount(&["journal", "show", "--json", folder.to_str().unwrap()]).stdout);
    let line: serde_json::Value = serde_json::from_str(json.lines().next().unwrap()).unwrap();
    assert_eq!((&line["record"], &line["id"]), (&"take-on".into(), &"m-1".into()));

    for cut in 1..sound.len() {
        let (code, told) = verify(&sound[..cut]);
        let whole = cut == first_length();
        assert_eq!(code, Some(i32::from(!whole)), "cut at {cut}: {told}");
    }
    let mut flipped = sound.clone();
    let last = flipped.len() - 1;
    flipped[last] ^= 1;
    let (code, told) = verify(&flipped);
    assert!(code == Some(1) && told.contains(&format!("byte {}: ", first_length())), "{told}");
}

/// Two records, as the core writes them.
fn journal() -> Vec<u8> {
    use quillmount_core::journal::{AcceptedMessage, Journal, JournalRecord};
    use quillmount_core::store::Memory;
    let (mut journal, _) = Journal::open(Memory::default(), 1_000_000, 0, &mut Vec::new()).unwrap();
    let taken = AcceptedMessage {
        id: "m-1".into(),
        class: "fee-debit".into(),
        key: None,
        dest: 7,
        deadline: 1_000_000,
        body: b"fee".to_vec().into(),
    };
    journal.submit(1, taken, false, 0, &mut Vec::new()).unwrap();
    journal
        .append_all(&[JournalRecord::Attempt { msg: 1, zone: 0, sent_at: 5 }], 0, &mut Vec::new())
        .unwrap();
    journal.store().bytes().to_vec()
}

fn first_length() -> usize {
    let bytes = journal();
    8 + u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize
}

#[test]
fn schema_version_and_completions_are_printed() {
    let schema = quillmount(&["schema"]);
    assert_eq!(said(&schema.stdout), std::fs::read_to_string(root("docs/schema/operator.json")).unwrap());
    let version = said(&quillmount(&["--version"]).stdout);
    assert_eq!(version.trim(), concat!("quillmount ", env!("CARGO_PKG_VERSION")));
    for shell in ["bash", "zsh", "fish"] {
        let script = quillmount(&["completions", shell]);
        assert!(script.status.success() && said(&script.stdout).contains("journal"), "{shell}");
    }
}

#[test]
fn the_demonstration_ends_well_with_one_end_for_each_message() {
    let demo = quillmount(&["demo"]);
    let told = said(&demo.stdout);
    assert!(demo.status.success(), "{told}{}", said(&demo.stderr));
    assert_eq!(told.matches(": delivered\n").count(), 4, "{told}");
    assert_eq!(told.matches("the courier tells the platform").count(), 4, "{told}");
    assert!(told.contains("8 messages, one final answer each"), "{told}");
}

/// The output goes to a pipe that nobody reads, as after `head`: the command ends by the signal, without a panic.
#[test]
fn a_command_whose_output_is_closed_ends_without_a_panic() {
    use std::os::unix::process::ExitStatusExt;
    const SIGPIPE: i32 = 13;
    let config = root("courier/example/config.json");
    for arguments in [vec!["schema"], vec!["completions", "bash"], vec!["check", "--config", &config]] {
        let (reader, writer) = std::io::pipe().unwrap();
        drop(reader);
        let mut command = Command::new(env!("CARGO_BIN_EXE_quillmount"));
        let output = command.args(&arguments).stdout(writer).output().unwrap();
        assert_eq!(output.status.signal(), Some(SIGPIPE), "{arguments:?}: {}", said(&output.stderr));
        assert_eq!(said(&output.stderr), "");
    }
}
