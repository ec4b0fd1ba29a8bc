//! How the program exits.

use std::process::ExitCode;

/// The exit status of the program; `docs/explore.md` has the codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Every property holds, or the command is done.
    Verified,
    /// A property does not hold.
    Violated,
    /// The command or a file can't be used.
    Unusable,
    /// A bound stopped the search before its end.
    Stopped,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(match status {
            ExitStatus::Verified => 0,
            ExitStatus::Violated => 1,
            ExitStatus::Unusable => 2,
            ExitStatus::Stopped => 3,
        })
    }
}
