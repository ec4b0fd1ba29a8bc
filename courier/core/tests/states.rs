//! The documentation of the state machines, `docs/states.md`.

use quillmount_core::machine::{Table, tables};

/// The page must match the tables that the code generates. `UPDATE_STATES=1` rewrites it.
#[test]
fn the_documented_tables_are_those_of_the_code() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/states.md");
    let text = std::fs::read_to_string(page).unwrap();
    let (head, _) = text.split_once("\n## ").unwrap();
    let tables: Vec<String> = tables().iter().map(Table::markdown).collect();
    let fresh = format!("{head}\n{}", tables.join("\n"));
    if std::env::var_os("UPDATE_STATES").is_some() {
        std::fs::write(page, &fresh).unwrap();
        return;
    }
    assert!(
        text == fresh,
        "docs/states.md differs from the state machines: run this test with UPDATE_STATES=1 to rewrite it"
    );
}
