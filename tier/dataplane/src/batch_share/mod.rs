//! How much of the endpoints batch work may use.
//!
//! [`batch_fraction`] computes what live requests leave, [`BatchCapacity`] follows that fraction over time, and
//! [`BatchShare`] divides it among the processes that send batch items.

mod capacity;
mod share;

pub use capacity::{BatchCapacity, batch_fraction};
pub use share::{BatchShare, SenderItems};
