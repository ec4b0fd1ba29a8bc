//! How messages between core members appear in the traces of seeded runs.

use quillmount_wire::messages::{Epoch, RegisterMessage};

/// The label and the epoch of a message. Both are part of the digests of seeded runs.
#[must_use]
pub fn trace_label(message: &RegisterMessage) -> (&'static str, Epoch) {
    match message {
        RegisterMessage::PreVote { epoch } => ("pre_vote_requests", *epoch),
        RegisterMessage::PreVoteGranted { epoch } => ("pre_votes", *epoch),
        RegisterMessage::Prepare { epoch } => ("prepares", *epoch),
        RegisterMessage::Promise { epoch, .. } => ("promises", *epoch),
        RegisterMessage::Accept { accepted } => ("accepts", accepted.epoch),
        RegisterMessage::Acknowledge { epoch, .. } => ("acknowledgements", *epoch),
        RegisterMessage::Heartbeat { epoch, .. } => ("heartbeats", *epoch),
        RegisterMessage::HeartbeatReply { epoch, .. } => ("heartbeat_replies", *epoch),
        RegisterMessage::Reject { promised } => ("rejections", *promised),
        RegisterMessage::Resign { epoch, .. } => ("resignations", *epoch),
    }
}
