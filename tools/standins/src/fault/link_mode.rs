//! What a link does with connections and bytes until its mode is changed.

use std::time::Duration;

/// Delays of a random mode, in milliseconds.
const RANDOM_DELAY_MS: std::ops::Range<u64> = 1..200;
/// Rates of a random mode, in bytes per second.
const RANDOM_RATE: std::ops::Range<u64> = 2_000..200_000;

/// What a link does until its mode is changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Bytes pass at once.
    #[default]
    Pass,
    /// Nothing passes in either direction, not even the end of a connection. Existing connections stay silent, and their
    /// bytes arrive when the link passes again, as with TCP; new ones are not established.
    Partitioned,
    /// The same, and new connections are refused.
    PartitionedRefusing,
    /// Requests arrive, answers do not. A connection that lost bytes is closed when the link passes again.
    AnswersLost,
    /// Answers arrive, requests do not; otherwise as [`LinkMode::AnswersLost`].
    RequestsLost,
    /// Each direction is delayed by this time.
    Delay(Duration),
    /// Each direction carries this many bytes per second.
    Slow(u64),
}

/// A direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    Requests,
    Answers,
}

impl LinkMode {
    /// Whether no byte is read or written.
    pub(crate) fn is_stalled(self) -> bool {
        matches!(self, LinkMode::Partitioned | LinkMode::PartitionedRefusing)
    }

    /// Whether the bytes of this direction are dropped.
    pub(crate) fn drops(self, direction: Direction) -> bool {
        matches!(
            (self, direction),
            (LinkMode::AnswersLost, Direction::Answers) | (LinkMode::RequestsLost, Direction::Requests)
        )
    }

    /// A random mode, drawn from the generator.
    pub fn random(seed: &mut fastrand::Rng) -> LinkMode {
        match seed.u8(0..7) {
            0 => LinkMode::Pass,
            1 => LinkMode::Partitioned,
            2 => LinkMode::PartitionedRefusing,
            3 => LinkMode::AnswersLost,
            4 => LinkMode::RequestsLost,
            5 => LinkMode::Delay(Duration::from_millis(seed.u64(RANDOM_DELAY_MS))),
            _ => LinkMode::Slow(seed.u64(RANDOM_RATE)),
        }
    }
}
