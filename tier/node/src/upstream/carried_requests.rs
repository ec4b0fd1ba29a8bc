//! The requests that a connection has carried.
//!
//! An answer is matched to its request by the request's id. An endpoint may send one answer more than expected, in the place where
//! the next answer is due (PROTOCOL.md, "Endpoints"). Therefore a connection carries no second request with the same id: a late copy
//! of the first answer would pass as the answer to the second request.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Largest number of requests that are remembered, the last ones; several times as many as an answer may be late by.
const MAX_REMEMBERED: usize = 16;

/// Ids of the last requests that were sent on a connection, as hashes. Two ids with the same hash cost a new connection.
#[derive(Debug, Default)]
pub(super) struct CarriedRequests {
    id_hashes: VecDeque<u64>,
}

impl CarriedRequests {
    /// Whether no request was sent yet.
    pub(super) fn is_empty(&self) -> bool {
        self.id_hashes.is_empty()
    }

    /// Whether a request with this id was sent.
    pub(super) fn contains(&self, request_id: &str) -> bool {
        self.id_hashes.contains(&hash(request_id))
    }

    /// Records that a request with this id is sent.
    pub(super) fn add(&mut self, request_id: &str) {
        if self.id_hashes.len() >= MAX_REMEMBERED {
            self.id_hashes.pop_front();
        }
        self.id_hashes.push_back(hash(request_id));
    }
}

fn hash(request_id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish()
}
