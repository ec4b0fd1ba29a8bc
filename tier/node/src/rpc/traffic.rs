//! Counters of the bytes that this process exchanges with other processes of the tier.

use std::cell::Cell;

/// Byte counts since the start of the process, including frame headers.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl PeerTraffic {
    /// Returns the number of bytes sent to peers.
    pub fn sent_bytes(&self) -> u64 {
        self.sent.get()
    }

    /// Returns the number of bytes received from peers.
    pub fn received_bytes(&self) -> u64 {
        self.received.get()
    }

    pub(super) fn count_sent(&self, bytes: usize) {
        self.sent.set(self.sent.get() + bytes as u64);
    }

    pub(super) fn count_received(&self, bytes: usize) {
        self.received.set(self.received.get() + bytes as u64);
    }
}
