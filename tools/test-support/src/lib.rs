//! What the tests of several packages share. No program uses it.

pub mod digest;
