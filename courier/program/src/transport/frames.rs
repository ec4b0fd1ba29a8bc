//! What two processes of a courier say to each other.

use super::channel::{self, Channel};
use actix_rt::time::timeout;
use quillmount_core::hub;
use quillmount_protocol::operator::OperatorCall;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::Path;
use std::time::Duration;

/// An operator's call that is passed on is answered within this: it is owed an answer within 1 s.
pub const PASS_ON: Duration = Duration::from_millis(800);

#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// The first word of a process that starts.
    Request,
    /// The first word of one that has handed over: an operator's call.
    Call(OperatorCall),
    /// The answer to that.
    Said(String),
    Busy,
    /// So many parts follow, each with a word whether a descriptor comes with it.
    State {
        state: Box<hub::HubState>,
        drained: bool,
        parts: usize,
        /// How far the clock that all times are told by runs ahead of the system's.
        ahead: i64,
    },
    Got,
    LetGo,
}

/// Passes an operator's call on to the process that has taken over.
pub async fn pass_on(folder: &Path, call: &OperatorCall) -> io::Result<String> {
    let passed = async {
        let mut channel = Channel::open(channel::reach(folder).await?).await?;
        channel.send(&Frame::Call(call.clone()), None).await?;
        match channel.recv().await? {
            Frame::Said(said) => Ok(said),
            _ => Err(io::Error::other("no answer")),
        }
    };
    timeout(PASS_ON, passed).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
