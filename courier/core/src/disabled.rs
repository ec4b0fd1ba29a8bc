//! Endpoints that operators have disabled, whatever discovery lists.

use quillmount_policy::EndpointState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The most endpoints that may be disabled at once: more than a courier's list has, and 90 KB of the journal at most.
pub const DISABLED_MAX: usize = 512;
/// The longest id of a disabled endpoint, in bytes; discovery's ids have about ten.
pub const ID_MAX: usize = 128;

/// An endpoint could not be disabled or enabled; nothing has changed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum DisableError {
    /// No endpoint has this id.
    #[error("no endpoint has the id {0:?}")]
    Unknown(String),
    /// [`DISABLED_MAX`] endpoints are disabled.
    #[error("{DISABLED_MAX} endpoints are out already")]
    TooMany,
    /// The record could not be written.
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

    /// Whether no more endpoints may be disabled.
    pub fn is_full(&self) -> bool {
        self.ids.len() >= DISABLED_MAX
    }

    /// Disables an endpoint.
    pub fn insert(&mut self, id: &str) {
        self.ids.insert(id.to_string());
    }

    /// Enables an endpoint.
    pub fn remove(&mut self, id: &str) {
        self.ids.remove(id);
    }

    /// The ids in order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.ids.iter().map(String::as_str)
    }

    /// The state of an endpoint as the policy is shown it, given its state in the list.
    pub fn effective_state(&self, id: &str, listed: EndpointState) -> EndpointState {
        if listed == EndpointState::Ready && self.contains(id) { EndpointState::Draining } else { listed }
    }
}
