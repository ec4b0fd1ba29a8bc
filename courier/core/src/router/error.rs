//! Why a router could not be built, or did not find a message.

use crate::journal::JournalError;
use quillmount_policy::SettingsError;

/// A router can't be built.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// The settings can't be decoded.
    #[error("settings: {0}")]
    Decode(#[from] quillmount_settings::SettingsDecodeError),
    /// The settings are contradictory.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The journal can't be opened.
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// A router can't be resumed from another process's state; it can still be restored from the journal.
#[derive(Debug, thiserror::Error)]
pub enum ResumeError {
    /// The state was made under other settings.
    #[error("the other process runs under other settings")]
    OtherSettings,
    /// The state and the journal differ: a third process has written to the journal in between.
    #[error("the journal does not contain the same messages")]
    OtherJournal,
    /// The router can't be built.
    #[error(transparent)]
    Router(#[from] RouterError),
}

/// No message with this id is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownId;
