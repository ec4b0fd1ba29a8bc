//! Counterexamples as they are recorded, in JSON.

use quillmount_explore::action::Transition;
use quillmount_explore::case::{Case, CaseError};
use quillmount_explore::property::Violation;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// The version of the files: those of another one mean other transitions.
const FILE_VERSION: u32 = 1;

/// A recorded counterexample.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CounterexampleFile {
    version: u32,
    /// The deliberate break that was enabled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub broken: Option<String>,
    pub case: Case,
    /// What does not hold at the end of the path.
    pub violation: Violation,
    pub path: Vec<Transition>,
}

/// A recorded counterexample can't be read or written.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", .path.display())]
pub struct FileError {
    path: PathBuf,
    source: FileErrorCause,
}

/// Why a file can't be read or written.
#[derive(Debug, thiserror::Error)]
enum FileErrorCause {
    /// The file can't be opened, read or written.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Its text is not that of a counterexample.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Another version of the program has written it.
    #[error("version: {0}, where this program writes {FILE_VERSION}")]
    OtherVersion(u64),
    /// It names no version.
    #[error("version: missing")]
    NoVersion,
    /// Its case can't be explored.
    #[error("case: {0}")]
    Case(#[from] CaseError),
}

impl CounterexampleFile {
    /// A counterexample of this version of the program.
    pub fn new(
        broken: Option<String>,
        case: Case,
        violation: Violation,
        path: Vec<Transition>,
    ) -> CounterexampleFile {
        CounterexampleFile { version: FILE_VERSION, broken, case, violation, path }
    }

    /// Reads a file, and checks its case.
    ///
    /// # Errors
    /// The file can't be read, or has another version, another form or an impossible case.
    pub fn read(path: &Path) -> Result<CounterexampleFile, FileError> {
        Self::read_checked(path).map_err(|source| FileError { path: path.to_owned(), source })
    }

    fn read_checked(path: &Path) -> Result<CounterexampleFile, FileErrorCause> {
        let text = std::fs::read_to_string(path)?;
        let value: serde_json::Value = serde_json::from_str(&text)?;
        let version = value.get("version").and_then(serde_json::Value::as_u64);
        let version = version.ok_or(FileErrorCause::NoVersion)?;
        if version != u64::from(FILE_VERSION) {
            return Err(FileErrorCause::OtherVersion(version));
        }
        let file: CounterexampleFile = serde_json::from_value(value)?;
        file.case.check()?;
        Ok(file)
    }

    /// Writes the file, and prints where.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write(&self, path: &Path) -> Result<(), FileError> {
        self.write_text(path).map_err(|source| FileError { path: path.to_owned(), source })?;
        println!("written to {}", path.display());
        Ok(())
    }

    fn write_text(&self, path: &Path) -> Result<(), FileErrorCause> {
        let text = serde_json::to_string_pretty(self)?;
        std::fs::write(path, text + "\n")?;
        Ok(())
    }
}
