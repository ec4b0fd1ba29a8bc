//! The program: its configuration, clock, counters, signals, and the wiring of the layers.

pub mod check;
pub mod cli;
pub mod config;
pub mod demo;
pub mod inspect;
pub mod log;
pub mod run;
