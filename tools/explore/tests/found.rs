//! Counterexamples that the exploration found in the program: their paths must violate no property any more,
//! and must violate it where the deliberate break brings the defect back.

use quillmount_explore::action::Transition;
use quillmount_explore::case::Case;
use quillmount_explore::property::Violation;
use quillmount_explore::search::play;
use std::sync::Arc;

/// Each path, and the break that brings its defect back.
const COUNTEREXAMPLES: [(&str, &str); 6] = [
    ("lost_wake", "lost-wake"),
    ("repeat_past_its_span", "repeat-late"),
    ("sent_after_its_end", "send-after-end"),
    ("two_ends", "end-unwritten"),
    ("wait_unread", "answer-unread"),
    ("wait_while_written", "write-on-in-wait"),
];

#[derive(serde::Deserialize)]
struct CounterexampleFile {
    case: Case,
    violation: Violation,
    path: Vec<Transition>,
}

#[test]
fn recorded_counterexamples_no_longer_violate_a_property() {
    for (name, defect) in COUNTEREXAMPLES {
        let path = format!("{}/tests/found/{name}.json", env!("CARGO_MANIFEST_DIR"));
        let file: CounterexampleFile = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
        let case = Arc::new(file.case);
        // A transition that is not enabled any more ends the path: the fix has removed it.
        if let Ok(Some(found)) = play(&case, &file.path, |_, _, _| {}) {
            panic!("{path}: move {}: {}", found.index + 1, found.violation);
        }
        if cfg!(feature = "breaks") {
            quillmount_policy::breaks::enable(defect).unwrap();
            let broken = play(&case, &file.path, |_, _, _| {}).unwrap().map(|found| found.violation);
            quillmount_policy::breaks::disable();
            assert_eq!(broken.as_ref(), Some(&file.violation), "{path} with {defect}");
        }
    }
}
