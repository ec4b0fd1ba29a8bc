//! Calls to providers on sockets, in the moments where two things fall together: answers that are cut or never end,
//! connections that come up late, and connections at rest that are closed as a call is written.

mod answers;
mod connects;
mod reuse;
#[path = "../../src/transport/socket.rs"]
mod socket;
mod sockets;
mod test_bed;
