//! The fixtures helper: equal bytes pass, and any difference fails. With `WRITE_FIXTURES=1`, which writes before it compares,
//! the tests of differences fail.

use quillmount_test_support::fixtures::{Fixtures, TableRow};
use quillmount_test_support::temporary::TemporaryFolder;
use std::fs;

/// Fixtures in a temporary folder: one file, one table and one folder.
fn fixtures(folder: &TemporaryFolder) -> Fixtures {
    let stored = folder.0.join("tests/fixtures");
    fs::create_dir_all(stored.join("folder")).unwrap();
    fs::write(stored.join("bytes.bin"), [1, 2, 3]).unwrap();
    fs::write(stored.join("table.txt"), "first 0aff\nsecond \n").unwrap();
    fs::write(stored.join("folder/segment"), [7, 8]).unwrap();
    // A test's fixtures live as long as the test program.
    Fixtures::of_package(folder.0.to_str().unwrap().to_owned().leak())
}

fn rows(first: &[u8]) -> Vec<TableRow> {
    vec![("first".to_owned(), first.to_vec()), ("second".to_owned(), Vec::new())]
}

#[test]
fn equal_bytes_are_returned() {
    let folder = TemporaryFolder::new();
    assert_eq!(fixtures(&folder).check("bytes.bin", &[1, 2, 3]), [1, 2, 3]);
}

#[test]
#[should_panic(expected = "3 bytes are stored and 3 written now; from byte 2 on\nstored  03\nwritten 04")]
fn another_byte_fails() {
    let folder = TemporaryFolder::new();
    fixtures(&folder).check("bytes.bin", &[1, 2, 4]);
}

#[test]
#[should_panic(expected = "3 bytes are stored and 4 written now; from byte 3 on\nstored  \nwritten 00")]
fn another_length_fails() {
    let folder = TemporaryFolder::new();
    fixtures(&folder).check("bytes.bin", &[1, 2, 3, 0]);
}

#[test]
fn equal_rows_are_returned() {
    let folder = TemporaryFolder::new();
    assert_eq!(fixtures(&folder).check_table("table.txt", &rows(&[0x0a, 0xff])), rows(&[0x0a, 0xff]));
}

#[test]
#[should_panic(expected = "first of table.txt")]
fn another_row_fails() {
    let folder = TemporaryFolder::new();
    fixtures(&folder).check_table("table.txt", &rows(&[0x0a, 0xfe]));
}

#[test]
#[should_panic(expected = "rows of table.txt")]
fn a_missing_row_fails() {
    let folder = TemporaryFolder::new();
    fixtures(&folder).check_table("table.txt", &rows(&[0x0a, 0xff])[..1]);
}

#[test]
fn a_folder_is_equal_but_for_zeros_at_the_end_of_its_files() {
    let (folder, written) = (TemporaryFolder::new(), TemporaryFolder::new());
    fs::write(written.0.join("segment"), [7, 8, 0, 0]).unwrap();
    let copy = fixtures(&folder).check_folder("folder", &written.0);
    assert_eq!(fs::read(copy.0.join("segment")).unwrap(), [7, 8, 0, 0]);
}

#[test]
#[should_panic(expected = "files of folder")]
fn a_missing_file_of_a_folder_fails() {
    let (folder, written) = (TemporaryFolder::new(), TemporaryFolder::new());
    fixtures(&folder).check_folder("folder", &written.0);
}
