//! Endpoints that operators have taken out: a set of ids, laid over whatever discovery lists.

use quillmount_policy::EndpointState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Ids that may be held at once: more than a courier's list has, and 90 KB of the journal at most.
pub const DISABLED_MAX: usize = 512;
/// The longest id that is held; discovery's take some ten bytes.
pub const ID_MAX: usize = 128;

/// Why a call for an endpoint is turned down; nothing has changed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum DisableError {
    #[error("no endpoint has the id {0:?}")]
    Unknown(String),
    #[error("{DISABLED_MAX} endpoints are out already")]
    TooMany,
    #[error("not written: {0}")]
    NotWritten(#[from] crate::journal::error::JournalError),
}

/// The set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DisabledEndpoints {
    ids: BTreeSet<String>,
}

impl DisabledEndpoints {
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    pub fn is_full(&self) -> bool {
        self.ids.len() >= DISABLED_MAX
    }

    pub fn insert(&mut self, id: &str) {
        self.ids.insert(id.to_string());
    }

    pub fn remove(&mut self, id: &str) {
        self.ids.remove(id);
    }

    /// The ids, in their order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.ids.iter().map(String::as_str)
    }

    /// What the module is shown of an endpoint that discovery lists so.
    pub fn effective_state(&self, id: &str, listed: EndpointState) -> EndpointState {
        if listed == EndpointState::Ready && self.contains(id) { EndpointState::Draining } else { listed }
    }
}
