//! The frames between two processes of a courier, and how an operator's call is passed on.
//!
//! They are encoded by postcard, by position: variants and fields are never reordered.

use super::channel::{self, Channel, ChannelError};
use actix_rt::time::timeout;
use quillmount_core::hub;
use quillmount_protocol::operator::OperatorCall;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;

/// An operator's call that is passed on is answered within this time: operators get an answer within 1 s.
pub const PASS_ON_TIMEOUT: Duration = Duration::from_millis(800);

/// One frame between two processes of a courier.
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of a process that starts: it requests the handover.
    Request,
    /// The first frame of a process that has handed over: an operator's call.
    Call(OperatorCall),
    /// The answer to an operator's call.
    Said(String),
    /// No handover is possible now.
    Busy,
    /// The state; the parts follow, each with a flag whether a descriptor comes with it.
    State {
        /// The state of the decisions.
        state: Box<hub::HubState>,
        /// Whether the courier is drained.
        drained: bool,
        /// How many parts follow.
        parts: usize,
        /// How far the clock of all times in the state runs ahead of the system's, in microseconds.
        ahead: i64,
    },
    /// All parts were received.
    Confirmed,
    /// The sender has released everything; the folder's lock comes with it.
    Released,
}

/// Why an operator's call could not be passed on.
#[derive(Debug, thiserror::Error)]
pub enum PassOnError {
    /// The process can't be reached, or its connection broke.
    #[error(transparent)]
    Channel(#[from] ChannelError),
    /// The process sent another frame.
    #[error("no answer")]
    NoAnswer,
    /// The process did not answer within [`PASS_ON_TIMEOUT`].
    #[error("timed out")]
    TimedOut,
}

/// Passes an operator's call on to the process that has taken over; returns the line that it answers.
///
/// # Errors
/// The process can't be reached, or does not answer within [`PASS_ON_TIMEOUT`].
pub async fn pass_on(folder: &Path, call: &OperatorCall) -> Result<String, PassOnError> {
    let exchange = async {
        let stream = channel::reach(folder).await.map_err(ChannelError::Io)?;
        let mut channel = Channel::open(stream).await?;
        channel.send(&Frame::Call(call.clone()), None).await?;
        match channel.recv().await? {
            Frame::Said(answer) => Ok(answer),
            _ => Err(PassOnError::NoAnswer),
        }
    };
    timeout(PASS_ON_TIMEOUT, exchange).await.unwrap_or(Err(PassOnError::TimedOut))
}
