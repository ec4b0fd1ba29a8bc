//! Why a command can't be carried out.

use super::file::FileError;
use quillmount_explore::case::CaseError;
use quillmount_explore::courier::OpenError;
use quillmount_explore::export::ExportError;
use quillmount_explore::search::PlayError;
use quillmount_explore::streams::StreamCaseError;
use quillmount_explore::world::WorldError;
use quillmount_policy::breaks::BreakError;

/// A command can't be carried out; its text is printed on one line.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// No class has the name.
    #[error("--class: no class is named {0:?}")]
    UnknownClass(String),
    /// No event has the name.
    #[error("--events: no event is named {0:?}")]
    UnknownEvent(String),
    /// A size of the case is out of its range.
    #[error("--{0}")]
    Case(#[from] CaseError),
    /// A number of the streams is out of its range.
    #[error("--{0}")]
    StreamCase(#[from] StreamCaseError),
    /// The break can't be enabled.
    #[error("--break: {0}")]
    Break(#[from] BreakError),
    /// Arguments of a case in the proof are not those of `check`.
    #[error("{0:?} is no case")]
    NoCase(String),
    /// Arguments of a case in the proof can't be parsed.
    #[error(transparent)]
    CaseArguments(#[from] clap::Error),
    /// A recorded counterexample can't be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The world of a case can't be made.
    #[error(transparent)]
    World(#[from] WorldError),
    /// The courier of a case of streams can't be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// A path can't be played.
    #[error(transparent)]
    Play(#[from] PlayError),
    /// A path can't be exported.
    #[error(transparent)]
    Export(#[from] ExportError),
}
