//! The program: its configuration, clock, counters, signals, and the wiring of the layers.

pub mod config;
pub mod run;
