//! Identifiers of messages, endpoints and destinations that the policy and its host share, and the unit of the clock.

/// A time of the clock or a duration, in whole microseconds.
pub type Micros = u64;

/// Number of a message, chosen by the host and used once in an instance's lifetime.
pub type MsgId = u64;

/// Number of an endpoint of a destination, chosen by the host.
pub type EndpointId = u32;

/// Number of a destination: a receiver of messages with one or more endpoints.
pub type DestId = u64;
