//! Connections of clients, in a world of their own: every order of what a few clients do against a connection table with
//! capacity for fewer. The state machines and the table are the courier's; the driver's few lines
//! (`courier/program/src/transport/server.rs`) are played here.
//!
//! `event` names the events; `world` has the state, `enabled` the events that are possible in it, and `perform` carries one
//! out and checks that no request is lost; `search` visits every state.

mod enabled;
mod event;
mod perform;
mod search;
mod world;

pub use event::{ClientEvent, RequestArrival};
pub use perform::ClientViolation;
pub use search::{ClientCounterexample, ClientSearch, explore};
