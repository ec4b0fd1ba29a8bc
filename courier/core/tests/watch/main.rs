//! The watch on discovery: when it sends requests, how often a fleet does, and that a list arrives in time once discovery can
//! be reached, whatever failed before.

mod failures;
mod fleet;
mod hedging;
mod pushed;
mod timing;
