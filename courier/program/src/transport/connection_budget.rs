//! The limits of a fleet's connections to a destination, as the courier sees them; `fleet::budget` implements them.

use super::connection::ConnectionPermit;
use super::endpoints::TimedCall;
use super::handle::Handle;
use super::signals::CallSignals;
use futures_util::future::LocalBoxFuture;
use quillmount_core::Submission;
use quillmount_policy::Micros;
use std::rc::Rc;

/// Limits the connections of a fleet's couriers to some destinations: a call to one of these has a permit before its first
/// byte.
pub trait ConnectionBudget {
    /// Whether the destination's connections are limited.
    fn is_budgeted(&self, dest: u64) -> bool;

    /// How long to wait, if a message is to be rejected: so many of its tenant's calls wait that its time would be over
    /// before its turn.
    fn rejects(&self, submission: &Submission) -> Option<Micros>;

    /// Waits for a permit for this call, as long as the call's time allows; `None`: it is held back, and has not run.
    /// The call's remaining time is shortened by the wait.
    fn acquire<'a>(
        self: Rc<Self>,
        handle: &'a Handle,
        timed: &'a mut TimedCall,
        signals: &'a CallSignals,
    ) -> LocalBoxFuture<'a, Option<Box<ConnectionPermit>>>;

    /// The call is over; its connection is idle, or has reported its end.
    fn release(&self, permit: ConnectionPermit);
}
