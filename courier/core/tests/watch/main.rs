//! The watch on discovery: the times of its requests, the request rate of a fleet, and the time until a list is received once
//! discovery is reachable, whatever failed before.

mod failures;
mod fleet;
mod hedging;
mod pushed;
mod timing;
