//! What the serving tier reads and speaks: settings of a process, the operator's configuration, and the messages and
//! frames between couriers. Decoding only; no I/O.

pub mod configuration;
pub mod frame;
pub mod messages;
pub mod settings;
