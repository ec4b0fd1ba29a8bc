//! What several couriers agree on and decide together, without I/O.

pub mod budget;
