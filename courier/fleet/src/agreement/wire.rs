//! What couriers tell each other about the agreement, as it goes over the fleet's connections.

use raft::prelude::{Message, MessageType};
use serde::{Deserialize, Serialize};

use super::log::{LogEntry, StateSnapshot};
use super::{AgreementError, DecodeError};
use crate::NodeId;

/// The form of these values; others are refused.
const FORMAT_VERSION: u8 = 1;

/// The engine's messages between couriers; it has others, which stay within one process.
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

/// `None`: not one that leaves this courier.
pub(super) fn encode(message: &Message) -> Option<Vec<u8>> {
    let kind = MESSAGE_KINDS.iter().find(|(_, of)| *of == message.get_msg_type())?.0;
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

/// Reads what `from` has sent to `to`, and sees to it that no value in it is one that the engine would end
/// the process for.
pub(super) fn decode(bytes: &[u8], from: NodeId, to: NodeId) -> Result<Message, AgreementError> {
    let malformed = |what| AgreementError::Malformed { from, what };
    let [form, a, b, c, d, body @ ..] = bytes else { return Err(malformed(DecodeError::Short)) };
    if *form != FORMAT_VERSION {
        return Err(malformed(DecodeError::Version(*form)));
    }
    if crc32fast::hash(body) != u32::from_le_bytes([*a, *b, *c, *d]) {
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
    validate(&wire).ok_or_else(|| malformed(DecodeError::Value))?;
    let mut message = Message::default();
    let kind = MESSAGE_KINDS.iter().find(|(kind, _)| *kind == wire.kind);
    message.set_msg_type(kind.ok_or_else(|| malformed(DecodeError::Value))?.1);
    (message.from, message.to, message.term) = (wire.from, wire.to, wire.term);
    (message.log_term, message.index) = (wire.log_term, wire.index);
    (message.commit, message.commit_term) = (wire.commit, wire.commit_term);
    (message.reject, message.reject_hint) = (wire.reject, wire.hint);
    message.set_entries(wire.entries.iter().map(LogEntry::to_raft).collect());
    if let Some(snapshot) = &wire.snapshot {
        message.set_snapshot(snapshot.to_raft());
    }
    message.context = wire.context.into();
    Ok(message)
}

/// Entries in their order, of terms that only grow; an image with those who take part.
fn validate(wire: &WireMessage) -> Option<()> {
    let (mut term, mut index) = (wire.log_term, wire.index);
    for entry in &wire.entries {
        index = index.checked_add(1)?;
        if entry.index != index || entry.term < term || entry.term > wire.term {
            return None;
        }
        term = entry.term;
    }
    let sound = match &wire.snapshot {
        Some(snapshot) => {
            let mut all: Vec<NodeId> = snapshot.voters.iter().chain(&snapshot.learners).copied().collect();
            all.sort_unstable();
            let once = all.windows(2).all(|two| two[0] != two[1]) && all.first() != Some(&0);
            once && snapshot.index > 0
                && snapshot.term > 0
                && snapshot.term <= wire.term
                && !snapshot.voters.is_empty()
        }
        None => wire.kind != MessageKind::Snapshot,
    };
    sound.then_some(())
}
