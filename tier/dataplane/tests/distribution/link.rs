//! A direction of a machine's connection to the network, which sends one message after the other.

use quillmount_test_support::simulation::{MILLI, SECOND, Time};

/// Time that a message takes on its way, whatever its length.
const LATENCY: Time = MILLI;
/// Bits of a byte.
const BITS: u64 = 8;

/// A link: messages pass in the order in which they were handed over.
pub struct Link {
    bits_per_second: u64,
    /// When the last message handed over has left.
    busy_until: Time,
}

impl Link {
    /// An idle link of this rate.
    pub const fn new(bits_per_second: u64) -> Link {
        Link { bits_per_second, busy_until: 0 }
    }

    /// Hands over a message of this length; returns when all of it has come out at the other end.
    pub fn transmit(&mut self, bytes: usize, now: Time) -> Time {
        let span = (bytes as u64 * BITS * SECOND).div_ceil(self.bits_per_second);
        self.busy_until = self.busy_until.max(now) + span;
        self.busy_until + LATENCY
    }
}
