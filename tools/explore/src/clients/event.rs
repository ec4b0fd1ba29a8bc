//! The events of the world of clients, which make up the paths of its exploration.

/// What a client has sent of its next request, and the courier has not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestArrival {
    /// No byte.
    Nothing,
    /// Some bytes, not all.
    Partial,
    /// All bytes.
    Complete,
}

/// One event; most name their connection by its number in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// One more client connects.
    Connects,
    /// A client sends its next request, or a part of it.
    Sends(u64, RequestArrival),
    /// The driver goes on with a connection: it reads, or receives a request to close.
    DriverProceeds(u64),
    /// What the driver waits for takes too long: a request, the end of an idle time, a last read, a lingering.
    TimedOut(u64),
    /// The connection breaks.
    ConnectionBroken(u64),
    /// Time passes, until all connections have been in their states for longer than the grace time.
    TimePasses,
    /// The courier stops.
    CourierStops,
}
