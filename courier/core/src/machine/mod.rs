//! The state machines of the courier: a delivery attempt, client and endpoint connections, the watch on discovery, the
//! notices, and the lifecycle of the process with its drain and handover.
//!
//! Each machine receives an input with a time and returns an output. Its driver does the I/O and provides the time.
//! `docs/states.md` contains the transition tables, which [`tables`] generates from the code.

pub mod attempt;
pub mod client;
pub mod connection;
pub mod drain;
pub mod handover;
pub mod lifecycle;
pub mod notices;
pub mod transition_table;
pub mod watch;

pub use transition_table::{Cell, Example, Machine, Table, Term, examples};

/// The transition tables of all machines, in the order of `docs/states.md`.
pub fn tables() -> Vec<Table> {
    vec![
        attempt::Attempt::table(),
        attempt::Streamed::table(),
        crate::flow::Flow::table(),
        connection::EndpointConnection::table(),
        client::ClientConnection::table(),
        watch::Watch::table(),
        notices::Notices::table(),
        lifecycle::Lifecycle::table(),
        drain::Drain::table(),
        handover::HandoverSender::table(),
        handover::HandoverReceiver::table(),
    ]
}
