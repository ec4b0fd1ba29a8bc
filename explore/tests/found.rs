//! Counterexamples that the exploration found in the program: their paths must lead to no break any more.

use quillmount_explore::case::Case;
use quillmount_explore::choice::Move;
use quillmount_explore::search::play;
use std::sync::Arc;

#[derive(serde::Deserialize)]
struct File {
    case: Case,
    path: Vec<Move>,
}

#[test]
fn what_was_found_is_broken_no_more() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/found");
    let mut files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    assert!(!files.is_empty());
    for path in files {
        let file: File = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
        // A move that is not open any more ends the path: the fix has taken it away.
        if let Ok(Some((n, violation))) = play(&Arc::new(file.case), &file.path, |_, _, _| {}) {
            panic!("{}: move {}: {violation}", path.display(), n + 1);
        }
    }
}
