//! The machines of a fleet, each by itself.

mod budget;
mod calls;
mod config;
mod divide;
mod forward;
mod journal_lines;
mod leader;
mod lease;
mod local;
mod owner;
mod progress;
mod registry;
mod session;
mod translator;
