//! What couriers tell each other about the agreement, as it goes over the fleet's connections.

use raft::prelude::{Message, MessageType};
use serde::{Deserialize, Serialize};

use super::log::{Entry, Image};
use super::{AgreementError, Garbled};
use crate::Token;

/// The form of these values; others are refused.
const FORM: u8 = 1;

/// The engine's messages between couriers; it has others, which stay within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Kind {
    Append,
    Appended,
    Vote,
    Voted,
    PreVote,
    PreVoted,
    Snapshot,
    Beat,
    Beaten,
    TimeoutNow,
}

const KINDS: [(Kind, MessageType); 10] = [
    (Kind::Append, MessageType::MsgAppend),
    (Kind::Appended, MessageType::MsgAppendResponse),
    (Kind::Vote, MessageType::MsgRequestVote),
    (Kind::Voted, MessageType::MsgRequestVoteResponse),
    (Kind::PreVote, MessageType::MsgRequestPreVote),
    (Kind::PreVoted, MessageType::MsgRequestPreVoteResponse),
    (Kind::Snapshot, MessageType::MsgSnapshot),
    (Kind::Beat, MessageType::MsgHeartbeat),
    (Kind::Beaten, MessageType::MsgHeartbeatResponse),
    (Kind::TimeoutNow, MessageType::MsgTimeoutNow),
];

#[derive(Debug, Serialize, Deserialize)]
struct Wire {
    kind: Kind,
    from: Token,
    to: Token,
    term: u64,
    log_term: u64,
    index: u64,
    commit: u64,
    commit_term: u64,
    reject: bool,
    hint: u64,
    entries: Vec<Entry>,
    image: Option<Image>,
    context: Vec<u8>,
}

/// `None`: not one that leaves this courier.
pub(super) fn encode(message: &Message) -> Option<Vec<u8>> {
    let kind = KINDS.iter().find(|(_, of)| *of == message.get_msg_type())?.0;
    let wire = Wire {
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
        entries: message.entries.iter().map(Entry::of).collect(),
        image: (kind == Kind::Snapshot).then(|| Image::of(message.get_snapshot())),
        context: message.context.to_vec(),
    };
    let body = postcard::to_stdvec(&wire).ok()?;
    let mut bytes = vec![FORM];
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    Some(bytes)
}

/// Reads what `from` has sent to `to`, and sees to it that no value in it is one that the engine would end
/// the process for.
pub(super) fn decode(bytes: &[u8], from: Token, to: Token) -> Result<Message, AgreementError> {
    let garbled = |what| AgreementError::Garbled { from, what };
    let [form, a, b, c, d, body @ ..] = bytes else { return Err(garbled(Garbled::Short)) };
    if *form != FORM {
        return Err(garbled(Garbled::Form(*form)));
    }
    if crc32fast::hash(body) != u32::from_le_bytes([*a, *b, *c, *d]) {
        return Err(garbled(Garbled::Checksum));
    }
    let (wire, rest) = postcard::take_from_bytes::<Wire>(body).map_err(|_| garbled(Garbled::Value))?;
    if !rest.is_empty() || wire.term == 0 {
        return Err(garbled(Garbled::Value));
    }
    if wire.from != from || wire.to != to || from == to || from == 0 {
        return Err(garbled(Garbled::Addressed));
    }
    check(&wire).ok_or_else(|| garbled(Garbled::Value))?;
    let mut message = Message::default();
    let kind = KINDS.iter().find(|(kind, _)| *kind == wire.kind);
    message.set_msg_type(kind.ok_or_else(|| garbled(Garbled::Value))?.1);
    (message.from, message.to, message.term) = (wire.from, wire.to, wire.term);
    (message.log_term, message.index) = (wire.log_term, wire.index);
    (message.commit, message.commit_term) = (wire.commit, wire.commit_term);
    (message.reject, message.reject_hint) = (wire.reject, wire.hint);
    message.set_entries(wire.entries.iter().map(Entry::to_raft).collect());
    if let Some(image) = &wire.image {
        message.set_snapshot(image.to_raft());
    }
    message.context = wire.context.into();
    Ok(message)
}

/// Entries in their order, of terms that only grow; an image with those who take part.
fn check(wire: &Wire) -> Option<()> {
    let (mut term, mut index) = (wire.log_term, wire.index);
    for entry in &wire.entries {
        index = index.checked_add(1)?;
        if entry.index != index || entry.term < term || entry.term > wire.term {
            return None;
        }
        term = entry.term;
    }
    let sound = match &wire.image {
        Some(image) => {
            let mut all: Vec<Token> = image.voters.iter().chain(&image.learners).copied().collect();
            all.sort_unstable();
            let once = all.windows(2).all(|two| two[0] != two[1]) && all.first() != Some(&0);
            once && image.index > 0 && image.term > 0 && image.term <= wire.term && !image.voters.is_empty()
        }
        None => wire.kind != Kind::Snapshot,
    };
    sound.then_some(())
}
