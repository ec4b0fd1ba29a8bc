//! Errors of the router.

use crate::journal::JournalError;
use quillmount_policy::SettingsError;

/// The reason why a router can't be created.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// The settings can't be decoded for the policy.
    #[error("can't decode the settings: {0}")]
    Decode(#[from] quillmount_settings::SettingsDecodeError),
    /// The settings are contradictory.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The journal can't be opened.
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// The reason why a router can't resume from another process's state. It can still be restored from the journal.
#[derive(Debug, thiserror::Error)]
pub enum ResumeError {
    /// The state was created under other settings.
    #[error("the other process runs with different settings")]
    OtherSettings,
    /// The state and the journal differ because a third process has written to the journal in between.
    #[error("the journal and the state of the other process contain different messages")]
    OtherJournal,
    /// The router can't be created.
    #[error(transparent)]
    Router(#[from] RouterError),
}

/// No owed, unsettled or remembered message has this id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownId;
