//! The section `streams`: bodies that are forwarded while they arrive.

use crate::units::{Size, Span};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bodies that are passed on as they arrive: those of more than 64 KiB, and those in chunks. Off by default; on the
/// platform, where no body is larger, it stays off. Read at the start only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct Streams {
    /// Whether the section is in force.
    #[schemars(description = "")]
    pub on: bool,
    /// The classes that may stream; none: all of them.
    pub classes: Vec<String>,
    /// The largest body.
    pub largest: Size,
    /// The longest `X-Time-Left`: a stream ends by then, however it ends.
    pub longest: Span,
    /// Bytes of each body that are buffered between client and endpoint, and for a retry.
    #[schemars(
        description = "Bytes kept of each body between its consumer and its provider, and for another attempt."
    )]
    pub window: Size,
    /// Bytes that are buffered of all bodies together: each stream reserves its complete window.
    #[schemars(description = "Bytes kept of all bodies together: each stream sets its whole window aside.")]
    pub memory: Size,
    /// The streams' part of the slots; one slot at least.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub share_of_slots: f64,
    /// The streams' part of each destination's window; one call at least.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub share_of_window: f64,
    /// Bytes that all streams together move in one turn of the loop.
    pub turn: Size,
    /// The least speed of a client while there is space for its bytes.
    #[serde(rename = "consumer")]
    #[schemars(description = "What a consumer has to keep to while there is room for its bytes.")]
    pub client: Pace,
    /// The least speed of an endpoint while there are bytes for it.
    #[serde(rename = "provider")]
    #[schemars(description = "What a provider has to keep to while there are bytes for it.")]
    pub endpoint: Pace,
}

impl Default for Streams {
    fn default() -> Self {
        Streams {
            on: false,
            classes: Vec::new(),
            largest: Size(4 << 30),
            longest: seconds(3_600),
            window: Size(256 << 10),
            memory: Size(16 << 20),
            share_of_slots: 0.5,
            share_of_window: 0.5,
            turn: Size(1 << 20),
            client: Pace::default(),
            endpoint: Pace::default(),
        }
    }
}

impl Streams {
    /// The number of streams at once: as many windows as fit into `memory`.
    pub fn max_concurrent(&self) -> usize {
        usize::try_from(self.memory.0 / self.window.0.max(1)).unwrap_or(usize::MAX)
    }
}

/// How slow one side of a stream may be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct Pace {
    /// It is given up after so long without a byte.
    pub stall: Span,
    /// The bytes that it moves at least in each interval.
    #[schemars(description = "It moves so much at least in each span of `over`.")]
    pub least: Size,
    /// The interval in which `least` has to be moved.
    #[serde(rename = "over")]
    #[schemars(description = "")]
    pub interval: Span,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { stall: seconds(30), least: Size(1 << 10), interval: seconds(60) }
    }
}

const fn seconds(count: u64) -> Span {
    Span(Duration::from_secs(count))
}
