//! Files under `tests/fixtures` of the package that is tested. Tests compare what they make with them byte for byte; the
//! files are written only where `WRITE_FIXTURES=1` is set.

#![allow(dead_code)]

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// Where the fixtures of the tested package are.
pub fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn are_written() -> bool {
    std::env::var("WRITE_FIXTURES").is_ok_and(|value| value == "1")
}

/// The bytes of a fixture; `made`, which the code of today makes, has to equal them.
pub fn fixture(name: &str, made: &[u8]) -> Vec<u8> {
    let path = fixture_path(name);
    if are_written() {
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(&path, made).unwrap();
    }
    let stored = fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    assert!(stored == made, "{name} differs from what is made now:\n{}\n{}", hex(&stored), hex(made));
    stored
}

/// The rows of a table of names and hexadecimal bytes, a row a line; `made` has to equal them.
pub fn fixture_table(name: &str, made: &[(String, Vec<u8>)]) -> Vec<(String, Vec<u8>)> {
    let lines: String = made.iter().map(|(row, bytes)| format!("{row} {}\n", hex(bytes))).collect();
    if are_written() {
        fixture(name, lines.as_bytes());
    }
    let text = fs::read_to_string(fixture_path(name)).unwrap();
    let stored: Vec<(String, Vec<u8>)> = text.lines().map(parse_row).collect();
    let names = |rows: &[(String, Vec<u8>)]| rows.iter().map(|(row, _)| row.clone()).collect::<Vec<_>>();
    assert_eq!(names(&stored), names(made), "rows of {name}");
    for ((row, stored), (_, made)) in stored.iter().zip(made) {
        assert_eq!(hex(stored), hex(made), "{row} of {name}");
    }
    stored
}

fn parse_row(line: &str) -> (String, Vec<u8>) {
    let (row, digits) = line.split_once(' ').unwrap();
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
    (row.to_owned(), (0..digits.len()).step_by(2).map(byte).collect())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// An empty folder of its own, removed at the end.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn new() -> TemporaryFolder {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("quillmount-fixtures-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        TemporaryFolder(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The folder of fixtures `name` has to equal `made`, but for zeros at the end of its files, which are left out. Returns a
/// copy of the fixtures with these zeros, which may be changed.
pub fn fixture_folder(name: &str, made: &Path) -> TemporaryFolder {
    let copy = TemporaryFolder::new();
    let made_files = file_names(made);
    for file in &made_files {
        let bytes = fs::read(made.join(file)).unwrap();
        let length = bytes.iter().rposition(|byte| *byte != 0).map_or(0, |last| last + 1);
        let stored = fixture(&format!("{name}/{file}"), &bytes[..length]);
        fs::write(copy.0.join(file), stored).unwrap();
        let whole = fs::OpenOptions::new().write(true).open(copy.0.join(file)).unwrap();
        whole.set_len(bytes.len() as u64).unwrap();
    }
    assert_eq!(file_names(&fixture_path(name)), made_files, "files of {name}");
    copy
}

/// Names of the files of a folder, in order.
pub fn file_names(folder: &Path) -> Vec<String> {
    let name = |entry: std::io::Result<fs::DirEntry>| entry.unwrap().file_name().into_string().unwrap();
    let mut names: Vec<String> = fs::read_dir(folder).unwrap().map(name).collect();
    names.sort();
    names
}
