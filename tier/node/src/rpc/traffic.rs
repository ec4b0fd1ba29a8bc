//! Bytes that this process exchanges with other processes of the tier.

use std::cell::Cell;

/// Sums since the start of the process, headers of frames included.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl PeerTraffic {
    /// Bytes that were written to peers.
    pub fn sent(&self) -> u64 {
        self.sent.get()
    }

    /// Bytes that were read from peers.
    pub fn received(&self) -> u64 {
        self.received.get()
    }

    pub(super) fn count_sent(&self, bytes: usize) {
        self.sent.set(self.sent.get() + bytes as u64);
    }

    pub(super) fn count_received(&self, bytes: usize) {
        self.received.set(self.received.get() + bytes as u64);
    }
}
