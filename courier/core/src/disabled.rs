//! Endpoints that operators have disabled, independently of the state that discovery lists.

use quillmount_policy::EndpointState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum number of endpoints that may be disabled at once: more than a courier's list has, and at most 90 KB of the
/// journal.
pub const MAX_DISABLED: usize = 512;
/// Maximum length of the id of a disabled endpoint, in bytes; ids from discovery have about ten.
pub const MAX_ID_LEN: usize = 128;

/// An endpoint could not be disabled or enabled; nothing has changed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum DisableError {
    /// No endpoint has this id.
    #[error("no endpoint has the id {0:?}")]
    Unknown(String),
    /// [`MAX_DISABLED`] endpoints are disabled.
    #[error("{MAX_DISABLED} endpoints are out already")]
    TooMany,
    /// The record of the change could not be written to the journal.
    #[error("not written: {0}")]
    NotWritten(#[from] crate::journal::error::JournalError),
}

/// The ids of the disabled endpoints. Encoded by position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DisabledEndpoints {
    ids: BTreeSet<String>,
}

impl DisabledEndpoints {
    /// Whether the endpoint is disabled.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Whether [`MAX_DISABLED`] endpoints are disabled, so that no more may be.
    pub fn is_full(&self) -> bool {
        self.ids.len() >= MAX_DISABLED
    }

    /// Adds the id of an endpoint that was disabled.
    pub fn insert(&mut self, id: &str) {
        self.ids.insert(id.to_string());
    }

    /// Removes the id of an endpoint that was enabled.
    pub fn remove(&mut self, id: &str) {
        self.ids.remove(id);
    }

    /// The ids of the disabled endpoints, in lexicographic order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.ids.iter().map(String::as_str)
    }

    /// The endpoint's state for the policy, given its state in the list: a ready endpoint that is disabled counts as
    /// draining.
    pub fn effective_state(&self, id: &str, listed: EndpointState) -> EndpointState {
        if listed == EndpointState::Ready && self.contains(id) { EndpointState::Draining } else { listed }
    }
}
