//! Couriers as one fleet: what they agree on and decide together; no I/O.

pub mod settlement;
