//! Streamed bodies, in a world of their own: every order of what a client, an endpoint, the platform and a kill do to a
//! body of a few units in a window for fewer, or to two bodies for one destination. Hub, router, journal, attempt and
//! flow are the courier's; the driver's few lines (`courier/program/src/transport/streams.rs`) are played here. The properties
//! are checked by the bytes that an endpoint has received, and by the answers and notices of client and platform.
//!
//! `case` says what is explored and `event` what may happen; `world` has the state, `enabled` the events that are
//! possible in it, and `perform` carries one out with the help of `driver`. `invariants` checks the outcome, and `search`
//! visits every state.

mod case;
mod driver;
mod enabled;
mod event;
mod invariants;
mod perform;
mod proof;
mod search;
mod world;

pub use case::{StreamCase, StreamCaseError, VERIFIED_CASES};
pub use event::{BodyEvent, StreamEvent};
pub use proof::{BREAKS, StreamBreak};
pub use search::{StreamCounterexample, StreamSearch, explore};
