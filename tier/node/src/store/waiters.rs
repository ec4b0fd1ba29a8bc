//! Callers that wait for an outcome that another task provides.

use std::cell::RefCell;
use std::collections::HashMap;
use tokio::sync::oneshot;

/// Waiting callers by the id of the operation that they wait for.
pub struct Waiters<T> {
    senders: RefCell<HashMap<u64, oneshot::Sender<T>>>,
}

impl<T> Default for Waiters<T> {
    fn default() -> Self {
        Waiters { senders: RefCell::default() }
    }
}

impl<T> Waiters<T> {
    /// Registers a caller and returns the receiver for the outcome of the operation `id`.
    pub fn register(&self, id: u64) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().insert(id, sender);
        receiver
    }

    /// Passes the outcome of the operation `id` to its caller, if the caller still waits.
    pub fn complete(&self, id: u64, outcome: T) {
        let sender = self.senders.borrow_mut().remove(&id);
        if let Some(sender) = sender {
            // The caller may have stopped waiting.
            let _ = sender.send(outcome);
        }
    }
}
