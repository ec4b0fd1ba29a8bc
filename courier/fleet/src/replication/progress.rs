//! The progress of one replica as tracked by the owner: the next page, the replicated offset, and the retry time.

use crate::message::ReplicaPosition;
use quillmount_policy::Micros;

/// The first backoff before an unacknowledged page is sent again. Couriers normally acknowledge within milliseconds.
const INITIAL_BACKOFF: Micros = 200_000;
/// The longest backoff, and so the interval at which a page that can't be acknowledged is sent again.
const MAX_BACKOFF: Micros = 1_000_000;

/// The current generation and length of the owner's journal.
#[derive(Clone, Copy)]
pub(super) struct JournalExtent {
    pub(super) generation: u64,
    /// The number of bytes that a replica needs of this generation before it replaces the previous one.
    pub(super) complete_len: u64,
    /// Bytes written in earlier generations since the process started.
    pub(super) previous_bytes: u64,
    /// The length of this generation in bytes.
    pub(super) len: u64,
}

impl JournalExtent {
    /// The offset of the journal's end, which grows with each record.
    pub(super) fn written(&self) -> u64 {
        self.previous_bytes + self.len
    }
}

/// The replication progress of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Progress {
    /// The end of the bytes that the replica has of this generation, including staged ones. The next page begins here.
    next: ReplicaPosition,
    /// The offset up to which the replica's store has everything.
    pub(super) replicated: u64,
    /// Whether the replica's store has this generation completely.
    has_generation: bool,
    /// Whether the replica's store has ever had a complete generation.
    pub(super) ever_complete: bool,
    /// When the page in flight is sent again; `None` if no page is in flight.
    pub(super) retry_at: Option<Micros>,
    backoff: Micros,
    /// When the replica last acknowledged new bytes, was caught up, or was added.
    progressed_at: Micros,
}

/// The page to send to a replica.
pub(super) struct NextPage {
    /// The offset of the page in the generation.
    pub(super) offset: u64,
    /// The number of bytes that the replica needs before this generation replaces the previous one.
    pub(super) complete_len: u64,
}

impl Progress {
    /// The progress of a replica that has not acknowledged anything yet.
    pub(super) fn new(now: Micros) -> Progress {
        Progress {
            next: ReplicaPosition::default(),
            replicated: 0,
            has_generation: false,
            ever_complete: false,
            retry_at: None,
            backoff: INITIAL_BACKOFF,
            progressed_at: now,
        }
    }

    /// The time since the replica last made progress; 0 if it is caught up.
    pub(super) fn lag(&self, written: u64, now: Micros) -> Micros {
        let is_caught_up = self.has_generation && self.replicated == written;
        if is_caught_up { 0 } else { now.saturating_sub(self.progressed_at) }
    }

    /// Handles an acknowledgement of the stored and the staged position.
    pub(super) fn acknowledged(
        &mut self,
        position: ReplicaPosition,
        staged: ReplicaPosition,
        extent: JournalExtent,
        now: Micros,
    ) {
        let is_current = |position: &ReplicaPosition| position.generation == extent.generation;
        let next = [staged, position].into_iter().find(is_current).unwrap_or_default();
        if (is_current(&position) && position.len > extent.len) || next.len > extent.len {
            // A replica can't have more bytes than its owner, so this acknowledgement was meant for an earlier
            // process.
            return;
        }
        self.has_generation = is_current(&position) && position.len >= extent.complete_len;
        if self.has_generation {
            let replicated = extent.previous_bytes + position.len;
            if replicated > self.replicated || !self.ever_complete {
                (self.progressed_at, self.backoff) = (now, INITIAL_BACKOFF);
            }
            self.replicated = self.replicated.max(replicated);
            self.ever_complete = true;
        }
        if next != self.next {
            (self.next, self.progressed_at) = (next, now);
        }
        self.retry_at = None;
    }

    /// Returns the page to send now, if any, and marks it as in flight.
    pub(super) fn next_page(&mut self, extent: JournalExtent, now: Micros) -> Option<NextPage> {
        if self.next.generation != extent.generation {
            self.next = ReplicaPosition { generation: extent.generation, len: 0 };
            (self.retry_at, self.has_generation) = (None, false);
        }
        let is_complete = self.has_generation && self.next.len == extent.len;
        if is_complete {
            // The lag is measured from the next record, however long ago the last one was written.
            self.progressed_at = now;
        }
        if is_complete || self.retry_at.is_some_and(|retry_at| now < retry_at) {
            return None;
        }
        if self.retry_at.is_some() {
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
        self.retry_at = Some(now + self.backoff);
        // A replica that starts a new generation may have had the previous one completely. It retains that one until
        // it has all of the new one, so that it never has less than before.
        let complete_len = if self.has_generation { extent.complete_len } else { extent.len };
        Some(NextPage { offset: self.next.len, complete_len })
    }
}
