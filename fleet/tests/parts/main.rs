//! The machines of a fleet, each by itself.

mod agreed;
mod budget;
mod calls;
mod divide;
mod forward;
mod holder;
mod home;
mod kept;
mod leader;
mod lease;
mod lines;
mod plan;
mod session;
mod translator;
