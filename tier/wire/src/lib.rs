//! Formats that the processes of the serving tier read and exchange: the settings of a process, the operator's configuration, and
//! the messages between processes with their frames. The package only encodes and decodes; the one exception is [`settings`], which
//! reads its file.
//!
//! The package also defines [`Micros`], the unit of time of all packages of the tier, because they all depend on it.

pub mod configuration;
pub mod frame;
pub mod messages;
pub mod ranges;
pub mod settings;

/// A point in time on the monotonic clock of a process, or a duration, in microseconds. Points in time of different processes can't
/// be compared.
pub type Micros = u64;
