//! Why the simulator's input cannot be served. The texts name the field of the message that is wrong.

use quillmount_policy::SettingsError;
use quillmount_settings::{EndpointStateError, SettingsDecodeError, TimeError};
use std::io;
use std::str::Utf8Error;
use thiserror::Error;

/// The program cannot go on.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The input cannot be read.
    #[error("input: {0}")]
    Input(#[source] io::Error),
    /// The output cannot be written.
    #[error("output: {0}")]
    Output(#[source] io::Error),
    /// The input ends before a batch does.
    #[error("line {line}: the input ends inside a batch")]
    UnfinishedBatch {
        /// Number of the line behind the last, from 1.
        line: u64,
    },
    /// A line is not text.
    #[error("line {line}: not UTF-8: {source}")]
    NotUtf8 {
        /// Its number, from 1.
        line: u64,
        /// What is wrong.
        source: Utf8Error,
    },
    /// A line is no message that can be served.
    #[error("line {line}: {source}")]
    Message {
        /// Its number, from 1.
        line: u64,
        /// What is wrong.
        source: MessageError,
    },
}

/// A message that cannot be served.
#[derive(Debug, Error)]
pub enum MessageError {
    /// It is not JSON, or has not the fields of its kind.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A batch begins inside another one.
    #[error("begin_batch inside a batch")]
    NestedBatch,
    /// A message stands outside any batch.
    #[error("a message outside a batch")]
    OutsideBatch,
    /// It names an instance that is not running.
    #[error("i: no instance {0} is up")]
    UnknownInstance(i64),
    /// It names an unknown outcome.
    #[error("reason: no outcome has the code {0}")]
    UnknownOutcome(u32),
    /// It names an unknown kind of endpoint list.
    #[error("kind: no list has the code {0}")]
    UnknownListKind(u8),
    /// An endpoint list names no pool.
    #[error("missing field `ref`")]
    MissingPool,
    /// An endpoint list names a pool that was not sent.
    #[error("ref: no pool {0} was sent")]
    UnknownPool(u32),
    /// It names a class or tenant that the settings lack.
    #[error("{field}: {name:?} is not in the settings")]
    NotInSettings {
        /// Field of the message.
        field: &'static str,
        /// The name.
        name: String,
    },
    /// The body of a note is not Base64.
    #[error("body: {0}")]
    Body(#[from] base64::DecodeError),
    /// The settings cannot be decoded.
    #[error(transparent)]
    DecodeSettings(#[from] SettingsDecodeError),
    /// A number is no time.
    #[error(transparent)]
    Time(#[from] TimeError),
    /// The state of an endpoint is not known.
    #[error(transparent)]
    EndpointState(#[from] EndpointStateError),
    /// No instance can run under the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
