//! What the processes of the serving tier read and exchange: the settings of a process, the operator's configuration, and the
//! messages between processes with their frames. Encoding and decoding only; apart from [`settings`], which reads its file, no I/O.
//!
//! The tier's packages that follow time all build on this one, so that it also defines their unit of time, [`Micros`].

pub mod configuration;
pub mod frame;
pub mod messages;
pub mod ranges;
pub mod settings;

/// A moment on the steady clock of a process, or a span of time, in microseconds. Moments of different processes can't be compared.
pub type Micros = u64;
