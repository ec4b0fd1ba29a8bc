//! The wire format of the Raft messages between couriers.
//!
//! A message consists of one byte with the format version, the CRC-32 of the body as a little-endian `u32`, and the
//! body, which is encoded by postcard. [`decode`] rejects all values on which the Raft library would panic.

use raft::prelude::{Message, MessageType};
use serde::{Deserialize, Serialize};

use super::log::{LogEntry, StateSnapshot};
use super::{AgreementError, DecodeError};
use crate::NodeId;

/// Version of the message format. Messages of another version are rejected.
const FORMAT_VERSION: u8 = 1;

/// The types of Raft messages between couriers. The library's other message types are local to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum MessageKind {
    Append,
    AppendResponse,
    Vote,
    VoteResponse,
    PreVote,
    PreVoteResponse,
    Snapshot,
    Heartbeat,
    HeartbeatResponse,
    TimeoutNow,
}

const MESSAGE_KINDS: [(MessageKind, MessageType); 10] = [
    (MessageKind::Append, MessageType::MsgAppend),
    (MessageKind::AppendResponse, MessageType::MsgAppendResponse),
    (MessageKind::Vote, MessageType::MsgRequestVote),
    (MessageKind::VoteResponse, MessageType::MsgRequestVoteResponse),
    (MessageKind::PreVote, MessageType::MsgRequestPreVote),
    (MessageKind::PreVoteResponse, MessageType::MsgRequestPreVoteResponse),
    (MessageKind::Snapshot, MessageType::MsgSnapshot),
    (MessageKind::Heartbeat, MessageType::MsgHeartbeat),
    (MessageKind::HeartbeatResponse, MessageType::MsgHeartbeatResponse),
    (MessageKind::TimeoutNow, MessageType::MsgTimeoutNow),
];

/// The body of a message: the fields of the library's [`Message`] that are sent to other couriers.
#[derive(Debug, Serialize, Deserialize)]
struct WireMessage {
    kind: MessageKind,
    from: NodeId,
    to: NodeId,
    term: u64,
    log_term: u64,
    index: u64,
    commit: u64,
    commit_term: u64,
    reject: bool,
    hint: u64,
    entries: Vec<LogEntry>,
    snapshot: Option<StateSnapshot>,
    context: Vec<u8>,
}

/// Encodes a message; `None` if its type is not sent to other couriers.
pub(super) fn encode(message: &Message) -> Option<Vec<u8>> {
    let (kind, _) = *MESSAGE_KINDS.iter().find(|(_, raft_type)| *raft_type == message.get_msg_type())?;
    let wire = WireMessage {
        kind,
        from: message.from,
        to: message.to,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        commit: message.commit,
        commit_term: message.commit_term,
        reject: message.reject,
        hint: message.reject_hint,
        entries: message.entries.iter().map(LogEntry::from_raft).collect(),
        snapshot: (kind == MessageKind::Snapshot).then(|| StateSnapshot::from_raft(message.get_snapshot())),
        context: message.context.to_vec(),
    };
    let body = postcard::to_stdvec(&wire).ok()?;
    let mut bytes = vec![FORMAT_VERSION];
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    Some(bytes)
}

/// Decodes a message that the courier `from` sent to the courier `to`.
///
/// # Errors
///
/// The bytes are not a message of this version between these couriers, or the message contains a value on which the
/// Raft library would panic.
pub(super) fn decode(bytes: &[u8], from: NodeId, to: NodeId) -> Result<Message, AgreementError> {
    let malformed = |reason| AgreementError::Malformed { from, reason };
    let [version, c0, c1, c2, c3, body @ ..] = bytes else { return Err(malformed(DecodeError::Short)) };
    if *version != FORMAT_VERSION {
        return Err(malformed(DecodeError::Version(*version)));
    }
    if crc32fast::hash(body) != u32::from_le_bytes([*c0, *c1, *c2, *c3]) {
        return Err(malformed(DecodeError::Checksum));
    }
    let (wire, rest) =
        postcard::take_from_bytes::<WireMessage>(body).map_err(|_| malformed(DecodeError::Value))?;
    if !rest.is_empty() || wire.term == 0 {
        return Err(malformed(DecodeError::Value));
    }
    if wire.from != from || wire.to != to || from == to || from == 0 {
        return Err(malformed(DecodeError::Misaddressed));
    }
    if !entries_are_valid(&wire) || !snapshot_is_valid(&wire) {
        return Err(malformed(DecodeError::Value));
    }
    let (_, raft_type) = *MESSAGE_KINDS
        .iter()
        .find(|(kind, _)| *kind == wire.kind)
        .ok_or_else(|| malformed(DecodeError::Value))?;
    let mut message = Message::default();
    message.set_msg_type(raft_type);
    message.from = wire.from;
    message.to = wire.to;
    message.term = wire.term;
    message.log_term = wire.log_term;
    message.index = wire.index;
    message.commit = wire.commit;
    message.commit_term = wire.commit_term;
    message.reject = wire.reject;
    message.reject_hint = wire.hint;
    message.set_entries(wire.entries.iter().map(LogEntry::to_raft).collect());
    if let Some(snapshot) = &wire.snapshot {
        message.set_snapshot(snapshot.to_raft());
    }
    message.context = wire.context.into();
    Ok(message)
}

/// Whether the entries follow the message's index without gaps and their terms never decrease.
fn entries_are_valid(wire: &WireMessage) -> bool {
    let (mut term, mut index) = (wire.log_term, wire.index);
    for entry in &wire.entries {
        let Some(next) = index.checked_add(1) else { return false };
        if entry.index != next || entry.term < term || entry.term > wire.term {
            return false;
        }
        (term, index) = (entry.term, next);
    }
    true
}

/// Whether a snapshot is present in a snapshot message, and whether a present snapshot has at least one voter and lists
/// each member once.
fn snapshot_is_valid(wire: &WireMessage) -> bool {
    let Some(snapshot) = &wire.snapshot else {
        return wire.kind != MessageKind::Snapshot;
    };
    let mut members: Vec<NodeId> = snapshot.voters.iter().chain(&snapshot.learners).copied().collect();
    members.sort_unstable();
    let unique = members.windows(2).all(|pair| pair[0] != pair[1]) && members.first() != Some(&0);
    unique
        && snapshot.index > 0
        && snapshot.term > 0
        && snapshot.term <= wire.term
        && !snapshot.voters.is_empty()
}
