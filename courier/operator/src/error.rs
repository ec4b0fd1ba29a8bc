//! The error of loading an operator file.

use crate::problems::Problem;

/// An operator file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The file can't be read, or is too long.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The system's error, or the length.
        source: std::io::Error,
    },
    /// The file was read, and something in it is wrong.
    #[error("{path}: {}", joined(.problems))]
    Problems {
        /// The file.
        path: String,
        /// Everything that is wrong; never empty.
        problems: Vec<Problem>,
    },
}

fn joined(problems: &[Problem]) -> String {
    let texts: Vec<String> = problems.iter().map(Problem::to_string).collect();
    texts.join("; ")
}
