//! The state machines of the courier: one delivery attempt, a connection on either side, the watch on discovery, the
//! notices, and the process's lifecycle with its drain and handover.
//!
//! Each machine is given what happened and when, and returns what is to be done; its driver moves the bytes and keeps the
//! time. `docs/states.md` has the tables of their transitions, printed from the code by [`tables`].

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

/// The tables of all machines.
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
