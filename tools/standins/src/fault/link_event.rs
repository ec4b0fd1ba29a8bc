//! What happens on a link, as the record of a run has it.

use crate::stamp::Stamp;

/// Something that happened on a link.
#[derive(Clone, Debug)]
pub struct LinkEvent {
    /// When it happened.
    pub when: Stamp,
    /// The courier that calls.
    pub from: usize,
    /// The courier that is called.
    pub to: usize,
    /// The number of the connection on this link, from 0.
    pub connection: u64,
    /// What happened.
    pub what: LinkEventKind,
}

/// The kind of a [`LinkEvent`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEventKind {
    /// A connection was accepted.
    ConnectionOpened,
    /// The head of a request was read.
    Request {
        /// The path of the request.
        path: String,
        /// Bytes of the body, which follow.
        body: u64,
    },
    /// A request is blocked at its first byte.
    RequestBlocked,
    /// The last byte of a request was written to the target.
    Sent,
    /// The first bytes of an answer since the request were written back.
    AnswerBegan,
    /// Bytes were dropped, for the first time on this direction of the connection.
    BytesDropped,
    /// The request was truncated after this many of its bytes.
    CutAt(usize),
    /// A request was delivered once more, and answered with this status; 0: it was not answered.
    Redelivered(u16),
    /// The connection ended.
    ConnectionClosed,
}
