//! Numbers by which the policy and its host identify messages, endpoints and destinations, and the unit of the clock.

/// A time of the clock or a span: whole microseconds.
pub type Micros = u64;

/// A message, numbered by the host. A number is used once in an instance's lifetime.
pub type MsgId = u64;

/// One endpoint of a destination, numbered by the host.
pub type EndpointId = u32;

/// A destination: a receiver of messages with one endpoint or several.
pub type DestId = u64;
