//! The last tables that were published, so that a subscriber with one of them gets only the difference.

use crate::state::ControlState;
use quillmount_wire::messages::{Delta, encode};
use std::cell::OnceCell;
use std::collections::VecDeque;

/// Versions of each table that are remembered, the newest included.
const HISTORY_LIMIT: usize = 8;
/// Bytes of all versions of a table that are remembered; the newest is, whatever its size.
const HISTORY_BYTES: usize = 4 << 20;
/// A difference is sent if it is smaller than the table by this factor.
const WORTHWHILE: usize = 2;

/// A version of a table.
#[derive(Debug)]
struct PastVersion {
    version: u64,
    content: Vec<u8>,
    /// What leads from it to the newest version, once it was asked for; `None` if that saves little.
    to_newest: OnceCell<Option<Delta>>,
}

/// The last versions of one table, oldest first.
#[derive(Debug, Default)]
struct VersionHistory {
    versions: VecDeque<PastVersion>,
}

impl VersionHistory {
    /// Records the newest version. Versions that are not older than it were proposed by a primary that lost its epoch.
    fn record(&mut self, version: u64, content: &[u8]) {
        if self.versions.back().is_some_and(|newest| newest.version == version && newest.content == content) {
            return;
        }
        self.versions.retain(|past| past.version < version);
        for past in &mut self.versions {
            past.to_newest = OnceCell::new();
        }
        let newest = PastVersion { version, content: content.to_vec(), to_newest: OnceCell::new() };
        self.versions.push_back(newest);
        while self.versions.len() > HISTORY_LIMIT || (self.versions.len() > 1 && self.bytes() > HISTORY_BYTES)
        {
            self.versions.pop_front();
        }
    }

    fn bytes(&self) -> usize {
        self.versions.iter().map(|past| past.content.len()).sum()
    }

    /// The difference from a version to the newest content; `None` if one of them is not known, or the difference saves little.
    fn delta(&self, known: u64, newest: &[u8]) -> Option<&Delta> {
        let target = self.versions.back().filter(|target| target.content == newest)?;
        let past = self.versions.iter().find(|past| past.version == known)?;
        let delta = past.to_newest.get_or_init(|| {
            let delta = Delta::between(&past.content, &target.content);
            (delta.size() * WORTHWHILE < target.content.len()).then_some(delta)
        });
        delta.as_ref()
    }
}

/// The last versions of the configuration and of the placement that a member of the core has seen.
///
/// A follower records what it accepted, which need not have been committed, so that a new primary knows what subscribers have. A
/// difference to a version that was never committed does not lead subscribers to the newest one: they notice by its checksum.
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

    /// The difference of the configuration from a version to that of the state.
    #[must_use]
    pub fn configuration_delta(&self, known: u64, state: &ControlState) -> Option<&Delta> {
        self.configuration.delta(known, state.configuration.as_bytes())
    }

    /// The difference of the encoded placement from a version to that of the state.
    #[must_use]
    pub fn placement_delta(&self, known: u64, state: &ControlState) -> Option<&Delta> {
        self.placement.delta(known, &encode(&state.placement))
    }
}
