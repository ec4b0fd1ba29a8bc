//! Files under `tests/fixtures` of a package: bytes that an earlier version wrote. A test compares what the code writes now
//! with them byte for byte, and reads the stored bytes back. With `WRITE_FIXTURES=1` in the environment the files are written
//! first, after a change that is meant to add or alter a form.

use crate::temporary::TemporaryFolder;
use std::fs;
use std::path::{Path, PathBuf};

/// The variable that, set to `1`, lets tests write their files before they compare them.
const WRITE_VARIABLE: &str = "WRITE_FIXTURES";
/// Bytes of each side that are printed from the first difference on.
const SHOWN_BYTES: usize = 32;

/// Whether tests write their files before they compare them.
pub(crate) fn are_written() -> bool {
    std::env::var(WRITE_VARIABLE).is_ok_and(|value| value == "1")
}

/// One row of a table of fixtures: its name, and the bytes that stand behind it in hexadecimal digits.
pub type TableRow = (String, Vec<u8>);

/// The fixtures of one package.
#[derive(Clone, Copy, Debug)]
pub struct Fixtures {
    package: &'static str,
}

impl Fixtures {
    /// The fixtures of the package in this folder, which a test names as `env!("CARGO_MANIFEST_DIR")`.
    #[must_use]
    pub const fn of_package(package: &'static str) -> Fixtures {
        Fixtures { package }
    }

    /// The path of a fixture.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        Path::new(self.package).join("tests/fixtures").join(name)
    }

    /// The stored bytes of a fixture, which have to equal those that the code writes now.
    ///
    /// # Panics
    /// They differ, or the file can't be read or written.
    #[track_caller]
    pub fn check(&self, name: &str, written: &[u8]) -> Vec<u8> {
        let path = self.path(name);
        if are_written() {
            fs::create_dir_all(path.parent().unwrap()).unwrap();
            fs::write(&path, written).unwrap();
        }
        let stored = fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        assert!(stored == written, "{name}: {}", difference(&stored, written));
        stored
    }

    /// The stored rows of a table, a row a line, which have to equal those that the code writes now.
    ///
    /// # Panics
    /// They differ, a line isn't a name with hexadecimal digits, or the file can't be read or written.
    #[track_caller]
    pub fn check_table(&self, name: &str, written: &[TableRow]) -> Vec<TableRow> {
        let lines: String = written.iter().map(|(row, bytes)| format!("{row} {}\n", hex(bytes))).collect();
        if are_written() {
            self.check(name, lines.as_bytes());
        }
        let path = self.path(name);
        let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        let stored: Vec<TableRow> = text.lines().map(parse_row).collect();
        // The rows one by one first: their names say more than a position in the file.
        assert_eq!(row_names(&stored), row_names(written), "rows of {name}");
        for ((row, stored), (_, written)) in stored.iter().zip(written) {
            assert_eq!(hex(stored), hex(written), "{row} of {name}");
        }
        assert!(text == lines, "{name}: {}", difference(text.as_bytes(), lines.as_bytes()));
        stored
    }

    /// Compares a folder of fixtures with a folder that the code has written, but for zeros at the end of its files, which
    /// are not stored. Returns a copy of the fixtures with these zeros, which the test may change.
    ///
    /// # Panics
    /// Names or contents of files differ, or a file can't be read or written.
    #[track_caller]
    pub fn check_folder(&self, name: &str, written: &Path) -> TemporaryFolder {
        let copy = TemporaryFolder::new();
        let written_files = file_names(written);
        for file in &written_files {
            let bytes = fs::read(written.join(file)).unwrap();
            let length = bytes.iter().rposition(|byte| *byte != 0).map_or(0, |last| last + 1);
            let stored = self.check(&format!("{name}/{file}"), &bytes[..length]);
            fs::write(copy.0.join(file), stored).unwrap();
            let padded = fs::OpenOptions::new().write(true).open(copy.0.join(file)).unwrap();
            padded.set_len(bytes.len() as u64).unwrap();
        }
        assert_eq!(file_names(&self.path(name)), written_files, "files of {name}");
        copy
    }
}

/// Names of the files of a folder, in alphabetical order.
///
/// # Panics
/// The folder can't be read, or a name isn't UTF-8.
#[must_use]
pub fn file_names(folder: &Path) -> Vec<String> {
    let name = |entry: std::io::Result<fs::DirEntry>| entry.unwrap().file_name().into_string().unwrap();
    let mut names: Vec<String> = fs::read_dir(folder).unwrap().map(name).collect();
    names.sort();
    names
}

fn row_names(rows: &[TableRow]) -> Vec<&str> {
    rows.iter().map(|(row, _)| row.as_str()).collect()
}

fn parse_row(line: &str) -> TableRow {
    let (row, digits) = line.split_once(' ').unwrap();
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
    (row.to_owned(), (0..digits.len()).step_by(2).map(byte).collect())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Both lengths, and both sides from the first byte that differs on.
fn difference(stored: &[u8], written: &[u8]) -> String {
    let shorter = stored.len().min(written.len());
    let first = stored.iter().zip(written).position(|(a, b)| a != b).unwrap_or(shorter);
    let shown = |bytes: &[u8]| hex(&bytes[first..bytes.len().min(first + SHOWN_BYTES)]);
    format!(
        "{} bytes are stored and {} written now; from byte {first} on\nstored  {}\nwritten {}",
        stored.len(),
        written.len(),
        shown(stored),
        shown(written)
    )
}
