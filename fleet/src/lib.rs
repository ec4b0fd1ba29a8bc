//! Couriers as one fleet, without I/O: bytes or values in, values out, time handed in.

pub mod agreement;

/// A courier's number in the agreement: drawn at random when its folder is new, and kept in the folder. A
/// lost folder means a new one, so that none votes twice. Never 0.
pub type Token = u64;
