//! The world of the exploration: the courier's own router, hub, journal and state machines, and models of all that
//! surrounds them (clients, endpoints, discovery, the platform, disk and process).
//!
//! The search asks a [`World`] for its possible actions, applies each to a copy, and recognises states by their hash.
//! `state` has the types, `actions` and `time` say what may happen, `transition` carries out one action with the help of
//! the models (`calls`, `submission`, `discovery`, `notices`, `process`), `invariants` checks the outcome, and `hash` and
//! `description` show a state to the search and to people.

mod actions;
mod calls;
mod description;
mod discovery;
mod hash;
mod invariants;
mod notices;
mod process;
mod state;
mod submission;
mod time;
mod transition;

pub use process::WorldError;
pub use state::{ListedEndpoint, World};
pub use transition::is_benign;
