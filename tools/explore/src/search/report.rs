//! The bounds of a search, its progress and its result.

use crate::action::Transition;
use crate::property::Violation;
use std::fmt;
use std::time::Duration;

/// Limits of a search beside its case.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Threads that expand states.
    pub threads: usize,
    /// Time after which the search stops.
    pub time: Duration,
    /// Bytes of resident memory at which the search stops.
    pub memory: u64,
    /// States that differ only in numbers of messages and endpoints, or in the zero of the clock, count as one.
    pub reduction: bool,
}

/// The bound that stopped a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// [`Bounds::time`] is over.
    Time,
    /// [`Bounds::memory`] is in use.
    Memory,
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StopReason::Time => "time",
            StopReason::Memory => "memory",
        })
    }
}

/// How a search ended.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Every state was visited, and every property holds.
    Verified,
    /// A property does not hold.
    Broken {
        /// A shortest path to the violation.
        path: Vec<Transition>,
        /// What does not hold.
        violation: Violation,
    },
    /// A bound stopped the search: states that were not reached are unknown.
    Stopped(StopReason),
}

/// The result of a search.
#[derive(Clone, Debug)]
pub struct SearchReport {
    /// How it ended.
    pub verdict: Verdict,
    /// Different states visited.
    pub states: u64,
    /// Transitions applied.
    pub transitions: u64,
    /// Layers beyond the root.
    pub depth: u32,
    /// Time taken, in seconds.
    pub seconds: f64,
    /// Greatest resident memory seen, in bytes.
    pub memory: u64,
}

/// How far a search has come, reported after each layer.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Different states visited.
    pub states: u64,
    /// Layers beyond the root.
    pub depth: u32,
    /// States of the next layer.
    pub queue: usize,
    /// Time taken, in seconds.
    pub seconds: f64,
    /// Greatest resident memory seen, in bytes.
    pub memory: u64,
}
