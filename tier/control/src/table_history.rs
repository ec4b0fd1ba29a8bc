//! Recent versions of the published tables, so that a subscriber with one of them gets only the difference.

use crate::state::ControlState;
use quillmount_wire::messages::{Delta, encode};
use std::cell::OnceCell;
use std::collections::VecDeque;

/// Number of versions retained of each table, including the newest.
const HISTORY_LIMIT: usize = 8;
/// Upper bound on the bytes of all retained versions of a table. The newest version is retained even if it is larger.
const HISTORY_BYTES: usize = 4 << 20;
/// A difference is sent only if the table is more than this many times as large.
const MIN_SIZE_RATIO: usize = 2;

/// A retained version of a table.
#[derive(Debug)]
struct RetainedVersion {
    version: u64,
    content: Vec<u8>,
    /// Difference to the newest version, computed on first use; `None` if it is too large to be useful.
    delta_to_newest: OnceCell<Option<Delta>>,
}

/// The last versions of one table, oldest first.
#[derive(Debug, Default)]
struct VersionHistory {
    versions: VecDeque<RetainedVersion>,
}

impl VersionHistory {
    /// Records the newest version. Retained versions that are not older are dropped: they were proposed by a primary that
    /// lost its epoch, and were never committed.
    fn record(&mut self, version: u64, content: &[u8]) {
        if self.versions.back().is_some_and(|newest| newest.version == version && newest.content == content) {
            return;
        }
        self.versions.retain(|retained| retained.version < version);
        for retained in &mut self.versions {
            retained.delta_to_newest = OnceCell::new();
        }
        let newest = RetainedVersion { version, content: content.to_vec(), delta_to_newest: OnceCell::new() };
        self.versions.push_back(newest);
        while self.versions.len() > HISTORY_LIMIT || (self.versions.len() > 1 && self.bytes() > HISTORY_BYTES)
        {
            self.versions.pop_front();
        }
    }

    fn bytes(&self) -> usize {
        self.versions.iter().map(|retained| retained.content.len()).sum()
    }

    /// The difference from a version to the newest content; `None` if either is not retained, or if the difference is too
    /// large to be useful.
    fn delta(&self, known_version: u64, newest: &[u8]) -> Option<&Delta> {
        let target = self.versions.back().filter(|target| target.content == newest)?;
        let retained = self.versions.iter().find(|retained| retained.version == known_version)?;
        let delta = retained.delta_to_newest.get_or_init(|| {
            let delta = Delta::between(&retained.content, &target.content);
            (delta.estimated_bytes() * MIN_SIZE_RATIO < target.content.len()).then_some(delta)
        });
        delta.as_ref()
    }
}

/// Recent versions of the configuration and the placement at a core member.
///
/// A follower records every value that it accepts, so that it has the versions of the subscribers when it becomes
/// primary. Some of these values may never have been committed. A subscriber that applies a difference computed from
/// such a version detects the mismatch by the checksum of the result.
#[derive(Debug, Default)]
pub struct TableHistory {
    configuration: VersionHistory,
    placement: VersionHistory,
}

impl TableHistory {
    /// Records the tables of a state that was accepted or committed.
    pub fn record(&mut self, state: &ControlState) {
        self.configuration.record(state.version, state.configuration.as_bytes());
        self.placement.record(state.placement_version, &encode(&state.placement));
    }

    /// The difference from version `known_version` of the configuration to that of `state`; `None` if the whole table
    /// has to be sent.
    #[must_use]
    pub fn configuration_delta(&self, known_version: u64, state: &ControlState) -> Option<&Delta> {
        self.configuration.delta(known_version, state.configuration.as_bytes())
    }

    /// The difference from version `known_version` of the encoded placement to that of `state`; `None` if the whole
    /// table has to be sent.
    #[must_use]
    pub fn placement_delta(&self, known_version: u64, state: &ControlState) -> Option<&Delta> {
        self.placement.delta(known_version, &encode(&state.placement))
    }
}
