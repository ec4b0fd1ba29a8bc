//! Explores the states of the courier's own code: every order of events in small cases, to a proof or a
//! shortest counterexample. `docs/exploration.md` says what is explored and what is abstracted.

pub mod action;
pub mod case;
pub mod clients;
pub mod export;
pub mod fingerprint;
pub mod monitor;
pub mod proof;
pub mod search;
pub mod streams;
pub mod world;
