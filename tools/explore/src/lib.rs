//! Explores the states of the courier's own code: every order of events in small cases, to a proof or a
//! shortest counterexample. `docs/exploration.md` says what is explored and what is abstracted.
//!
//! `search` visits every state of a `world` that a `case` allows, and recognises states by their `fingerprint`; a
//! `monitor` checks each `property`. `streams` and `clients` are worlds of their own, which `breadth_first` searches.

pub mod action;
mod breadth_first;
pub mod case;
pub mod clients;
pub mod courier;
pub mod export;
pub mod fingerprint;
pub mod monitor;
pub mod proof;
pub mod property;
pub mod search;
pub mod streams;
pub mod world;

pub use breadth_first::Counterexample;
