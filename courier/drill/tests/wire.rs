//! The binary on its own: replies, and plain words on what is malformed.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_quillmount-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

const START: &str = r#"{"msg":"begin_batch","moment_ms":100.0}
{"msg":"init","i":3,"init_seed":7,"env":{"unknown_key":1,"skus":["k"],"categories":[{"name":"c","effect":"retryable","promise_ms":1000,"deadline_ms":8000}],"family_info":{"call_slots":4}}}
{"msg":"pool","ref":0,"records":[{"kind":"k","size":1,"locality":"z","dest":57,"receiver":"10.0.0.1:7000","state":1}]}
{"msg":"endpoints","i":3,"rev":1,"kind":2,"ref":0}
"#;

#[test]
fn a_message_is_passed_on_and_an_empty_batch_gets_an_empty_reply() {
    let input = START.to_string()
        + r#"{"msg":"submit","i":3,"xid":"a","type":"c","client_deadline_ms":8100.0,"far_end":57}
{"msg":"eob"}
{"msg":"begin_batch","moment_ms":105.0}
{"msg":"eob"}
"#;
    let out = run(&input);
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert!(text.contains(r#"{"msg":"pass_on","i":3,"xid":"a","patience_ms":"#), "{text}");
    assert!(text.ends_with("{\"msg\":\"yield\"}\n{\"msg\":\"yield\"}\n"), "{text}");
}

#[test]
fn malformed_input_ends_with_one_plain_line_and_a_non_zero_exit() {
    let cases = [
        ("{\"msg\":\"eob\"}", "outside a batch"),
        ("{\"msg\":\"begin_batch\",\"moment_ms\":1}\n{not json", "line 2"),
        ("{\"msg\":\"begin_batch\",\"moment_ms\":1}\n{\"msg\":\"nonsense\",\"i\":1}", "nonsense"),
        ("{\"msg\":\"begin_batch\",\"moment_ms\":1}\n{\"msg\":\"hangup\",\"i\":1}", "xid"),
        (
            "{\"msg\":\"begin_batch\",\"moment_ms\":1}\n{\"msg\":\"hangup\",\"i\":9,\"xid\":\"a\"}",
            "instance 9",
        ),
        ("{\"msg\":\"begin_batch\",\"moment_ms\":1}\n", "ends inside a batch"),
        (
            "{\"msg\":\"begin_batch\",\"moment_ms\":1}\n{\"msg\":\"init\",\"i\":1,\"init_seed\":1,\"env\":\
             {\"family_info\":{\"call_slots\":0}}}",
            "slot",
        ),
    ];
    for (input, expected) in cases {
        let out = run(input);
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success(), "{input}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(expected) && !text.contains("panicked"), "{text}");
    }
}

#[test]
fn a_sender_may_stop_and_start_again_in_one_batch() {
    let input = START.to_string()
        + "{\"msg\":\"eob\"}\n"
        + &START.replacen("{\"msg\":\"init\"", "{\"msg\":\"down\",\"i\":3}\n{\"msg\":\"init\"", 1)
        + r#"{"msg":"submit","i":3,"xid":"b","type":"c","client_deadline_ms":8100.0,"far_end":57}
{"msg":"hangup","i":3,"xid":"never seen"}
{"msg":"eob"}
"#;
    let out = run(&input);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert!(String::from_utf8(out.stdout).unwrap().contains(r#""xid":"b""#));
}

/// A sender with a late turn among many is refused once: its message is rejected, unless the answer reported
/// a used-up limit. The fields of the report stand in the order of the settings.
#[test]
fn the_senders_number_and_the_reported_limit_reach_the_policy() {
    for (pressure, bounced) in [("[6.0,0.1]", false), ("[6.0,0.95]", true), ("[0.0,0.1]", true)] {
        let extra = r#""me":150,"siblings":270,"weight_source":"rough","load_report":{"fields":["x1","x0"],"via":"answers"},"limits":{"retry_after":true,"max_attempts":6},"#;
        let input = START.replace(r#""unknown_key":1,"#, extra).replace(r#""size":1,"#, r#""size":6,"#)
            + r#"{"msg":"submit","i":3,"xid":"a","type":"c","client_deadline_ms":8100.0,"far_end":57}
{"msg":"eob"}
{"msg":"begin_batch","moment_ms":125.0}
"# + &format!(
            r#"{{"msg":"completed","i":3,"xid":"a","send_no":0,"receiver":"10.0.0.1:7000","reason":302,"cost_time_ms":20,"pressure":{pressure}}}"#
        ) + "\n{\"msg\":\"eob\"}\n";
        let out = run(&input);
        let text = String::from_utf8(out.stdout).unwrap();
        assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
        assert_eq!(text.contains(r#"{"msg":"bounce","i":3,"xid":"a""#), bounced, "{pressure}: {text}");
    }
}
