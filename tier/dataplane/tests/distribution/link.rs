//! One direction of a machine's network connection, which sends messages one at a time.

use quillmount_test_support::simulation::{MILLI, SECOND, Time};

/// Propagation delay of a message, independent of its length.
const LATENCY: Time = MILLI;
/// Number of bits per byte.
const BITS_PER_BYTE: u64 = 8;

/// A link with limited bandwidth, which delivers messages in FIFO order.
pub struct Link {
    bits_per_second: u64,
    /// Time at which the transmission of the last queued message ends.
    busy_until: Time,
}

impl Link {
    /// An idle link with this bandwidth.
    pub const fn new(bits_per_second: u64) -> Link {
        Link { bits_per_second, busy_until: 0 }
    }

    /// Queues a message of this length; returns the time at which the receiver has all of it.
    pub fn transmit(&mut self, bytes: usize, now: Time) -> Time {
        let transmission_time = (bytes as u64 * BITS_PER_BYTE * SECOND).div_ceil(self.bits_per_second);
        self.busy_until = self.busy_until.max(now) + transmission_time;
        self.busy_until + LATENCY
    }
}
