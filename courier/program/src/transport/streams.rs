//! The sockets of a streamed submission: one task reads the client's body, another writes it to an endpoint, and both
//! go by the same [`Flow`](quillmount_core::flow::Flow).
//!
//! `pipe` is the body between the two tasks, `receive` the client's side, `send` the endpoint's side. This file has
//! what all streams of a courier share: the rules and the turns in which they may move bytes.

mod pipe;
mod receive;
mod send;

pub use pipe::Pipe;
pub use receive::{BodyReceiver, StreamFailure};
pub use send::StreamCall;

use quillmount_core::flow::Pace;
use quillmount_core::turns::TurnBudget;
use quillmount_policy::Micros;
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// Bytes of a body that are read, or written, at once.
const CHUNK: usize = 64 * 1024;

/// What may be streamed, and how.
#[derive(Clone, Debug)]
pub struct StreamRules {
    /// The classes that may stream; none: every class.
    pub classes: Vec<String>,
    /// The largest body, in bytes.
    pub largest: u64,
    /// The longest time that a message may ask for.
    pub longest: Micros,
    /// Bytes of a body that are kept at most, between what the client has sent and what the endpoint has taken.
    pub window: u64,
    /// Bytes that all streams together may move in one turn of the event loop.
    pub turn: u64,
    /// How fast a client has to send.
    pub client: Pace,
    /// How fast an endpoint has to read.
    pub endpoint: Pace,
}

impl StreamRules {
    /// Whether a class may stream.
    #[must_use]
    pub fn allow(&self, class: &str) -> bool {
        self.classes.is_empty() || self.classes.iter().any(|allowed| allowed == class)
    }
}

/// The turns in which the streams of a courier move bytes, so that they leave the event loop to all else.
pub struct Streams {
    turns: RefCell<TurnBudget>,
    turn_pending: Cell<bool>,
    turned: Notify,
}

impl Streams {
    /// `quantum`: bytes that all streams together may move in one turn of the event loop.
    pub fn new(quantum: u64) -> Self {
        Streams {
            turns: RefCell::new(TurnBudget::new(quantum)),
            turn_pending: Cell::new(false),
            turned: Notify::new(),
        }
    }

    /// Waits for a turn in which something may be moved.
    async fn turn(&self) {
        while !self.turns.borrow().has_budget() {
            if self.turn_pending.replace(true) {
                self.turned.notified().await;
            } else {
                let guard = TurnGuard(self);
                // All other tasks that are ready run first.
                tokio::task::yield_now().await;
                self.turns.borrow_mut().begin_turn();
                drop(guard);
            }
        }
    }

    /// Counts bytes that were moved in this turn.
    fn spend(&self, bytes: usize) {
        self.turns.borrow_mut().spend(bytes as u64);
    }
}

/// Owned by the task that waits for the next turn; dropped, also where the task was aborted, it wakes the others.
struct TurnGuard<'a>(&'a Streams);

impl Drop for TurnGuard<'_> {
    fn drop(&mut self) {
        self.0.turn_pending.set(false);
        self.0.turned.notify_waiters();
    }
}
