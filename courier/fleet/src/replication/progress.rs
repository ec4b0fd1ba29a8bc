//! The progress of one replica, as the owner knows it: what was sent, what is replicated, and when to send again.

use crate::message::ReplicaPosition;
use quillmount_policy::Micros;

/// Backoff before a page that is not acknowledged is sent again; connections between couriers answer in milliseconds.
const INITIAL_BACKOFF: Micros = 200_000;
/// The longest backoff: a page that can never be acknowledged is sent this often.
const MAX_BACKOFF: Micros = 1_000_000;

/// The journal as it stands at the owner.
#[derive(Clone, Copy)]
pub(super) struct JournalExtent {
    pub(super) generation: u64,
    /// The first bytes of this generation, which replace the generation before once they are complete.
    pub(super) complete_len: u64,
    /// Bytes written before this generation, since the process started.
    pub(super) previous_bytes: u64,
    /// Bytes of this generation.
    pub(super) len: u64,
}

impl JournalExtent {
    /// The offset of the end: it grows with each record.
    pub(super) fn written(&self) -> u64 {
        self.previous_bytes + self.len
    }
}

/// One replica's progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Progress {
    /// Bytes of this generation that it has, staged ones included; the next page begins here.
    next: ReplicaPosition,
    /// All up to this offset is in its store.
    pub(super) replicated: u64,
    /// Its store has this generation, complete.
    has_generation: bool,
    /// Its store has had a complete generation.
    pub(super) ever_complete: bool,
    /// A page is in flight, and is sent again at this time.
    pub(super) retry_at: Option<Micros>,
    backoff: Micros,
    /// When it last acknowledged anything new, had everything, or became a replica.
    progressed_at: Micros,
}

/// The page to send to a replica.
pub(super) struct NextPage {
    /// Where in the generation it begins.
    pub(super) offset: u64,
    /// How many bytes the generation has to have before it replaces the one before.
    pub(super) complete_len: u64,
}

impl Progress {
    /// A replica of which nothing is known.
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

    /// For how long it has not acknowledged anything new, though something is written that it does not have.
    pub(super) fn lag(&self, written: u64, now: Micros) -> Micros {
        let is_caught_up = self.has_generation && self.replicated == written;
        if is_caught_up { 0 } else { now.saturating_sub(self.progressed_at) }
    }

    /// The replica has acknowledged what its store has, and what is staged.
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
            // No replica has more than its owner; an acknowledgement to an earlier process may say so.
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

    /// The page to send now, if any; it is in flight then.
    pub(super) fn next_page(&mut self, extent: JournalExtent, now: Micros) -> Option<NextPage> {
        if self.next.generation != extent.generation {
            self.next = ReplicaPosition { generation: extent.generation, len: 0 };
            (self.retry_at, self.has_generation) = (None, false);
        }
        let is_complete = self.has_generation && self.next.len == extent.len;
        if is_complete {
            // It lags from the next record on, however long there has been none.
            self.progressed_at = now;
        }
        if is_complete || self.retry_at.is_some_and(|retry_at| now < retry_at) {
            return None;
        }
        if self.retry_at.is_some() {
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
        self.retry_at = Some(now + self.backoff);
        // A replica that begins a generation may have had all of the one before, and must not have less meanwhile.
        let complete_len = if self.has_generation { extent.complete_len } else { extent.len };
        Some(NextPage { offset: self.next.len, complete_len })
    }
}
