//! The failed attempts of an item.

use std::collections::VecDeque;

/// Largest number of endpoints that are remembered, the last ones.
const MAX_REMEMBERED_ENDPOINTS: usize = 8;

/// Attempts of an item that an endpoint answered with status 500.
#[derive(Clone, Debug, Default)]
pub struct FailedAttempts {
    count: u32,
    endpoints: VecDeque<String>,
}

impl FailedAttempts {
    /// Returns the number of failed attempts.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the ids of the endpoints that failed the last attempts, the newest last.
    pub fn endpoints(&self) -> &VecDeque<String> {
        &self.endpoints
    }

    /// Adds an attempt that this endpoint failed.
    pub fn add(&mut self, endpoint: &str) {
        self.count = self.count.saturating_add(1);
        if self.endpoints.len() >= MAX_REMEMBERED_ENDPOINTS {
            self.endpoints.pop_front();
        }
        self.endpoints.push_back(endpoint.to_owned());
    }
}
