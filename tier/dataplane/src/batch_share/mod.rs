//! Limits on the endpoint slots that batch work may occupy.
//!
//! [`batch_fraction`] computes the fraction that live requests leave, [`BatchCapacity`] limits its growth, and
//! [`BatchShare`] divides it among the processes that send batch items.

mod capacity;
mod share;

pub use capacity::{BatchCapacity, batch_fraction};
pub use share::{BatchShare, SenderItems};
