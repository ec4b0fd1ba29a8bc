//! Explores the states of the courier's own code: every order of events in small cases, to a proof or a
//! shortest counterexample. `docs/exploration.md` says what is explored and what is abstracted.

pub mod case;
pub mod choice;
pub mod consumers;
pub mod export;
pub mod finger;
pub mod monitor;
pub mod proof;
pub mod search;
pub mod streams;
pub mod world;
