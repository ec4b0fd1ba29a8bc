//! The program: its command line, configuration, log and signals, and how the layers are connected.

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
