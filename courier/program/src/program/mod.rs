//! The program: its configuration, clock, counters, signals, and the wiring of the layers.

pub mod check;
pub mod cli;
pub mod config;
pub mod demo;
mod error;
pub mod inspect;
pub mod log;
mod process;
mod reload;
pub mod run;
mod signals;
mod startup;
