//! What the processes of the serving tier read and exchange: the settings of a process, the operator's configuration, and the
//! messages between processes with their frames. Encoding and decoding only; apart from [`settings`], which reads its file, no I/O.

pub mod configuration;
pub mod frame;
pub mod messages;
pub mod settings;
