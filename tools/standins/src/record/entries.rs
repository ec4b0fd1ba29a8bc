//! The entries of a record, by what was observed.

use crate::http::Head;
use crate::stamp::Stamp;
use quillmount_policy::Micros;

/// A line of a courier's log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// When it was read.
    pub when: Stamp,
    /// The courier that wrote it.
    pub courier: usize,
    /// The incarnation of its process, from 1.
    pub incarnation: u32,
    /// The line without its end.
    pub text: String,
}

/// Length and checksum of a body, or of what was received of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyDigest {
    /// Its length.
    pub bytes: u64,
    /// CRC-32.
    pub crc: u32,
}

impl BodyDigest {
    /// The digest of these bytes.
    pub fn of(bytes: &[u8]) -> BodyDigest {
        BodyDigest { bytes: bytes.len() as u64, crc: crc32fast::hash(bytes) }
    }
}

/// A call as its partner received it.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    /// When its head was received.
    pub began: Stamp,
    /// The number of the partner.
    pub partner: usize,
    /// The courier whose listener it came through.
    pub courier: usize,
    /// The number of its connection, from 0, over all partners.
    pub connection: u64,
    /// The id of its message.
    pub id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// `X-Account`.
    pub tenant: Option<String>,
    /// Its head.
    pub head: Head,
    /// What was received of its body.
    pub body: BodyDigest,
    /// When its body was complete.
    pub completed: Option<Stamp>,
    /// Whether it has run: it was complete, and the answer does not say otherwise.
    pub ran: bool,
    /// When it was answered and with which status, even if the listener let no answer out.
    pub answered: Option<(Stamp, u16)>,
    /// The listener let no answer out.
    pub unheard: bool,
    /// When its connection ended before the answer.
    pub abandoned: Option<Stamp>,
}

/// A connection to a partner was opened or closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionChange {
    /// When.
    pub when: Stamp,
    /// The partner.
    pub partner: usize,
    /// The number of the connection.
    pub connection: u64,
    /// The courier.
    pub courier: usize,
    /// Whether it was opened.
    pub opened: bool,
    /// Connections that are open at the partner now, from all couriers.
    pub open: usize,
}

/// A notice as the platform received it.
#[derive(Clone, Debug)]
pub struct RecordedNotice {
    /// When it was received.
    pub when: Stamp,
    /// The courier whose listener it came through.
    pub courier: usize,
    /// The id of its message.
    pub id: String,
    /// The notice, a line of JSON.
    pub line: String,
}

/// A message as a client submitted it.
#[derive(Clone, Debug)]
pub struct RecordedSubmission {
    /// Before its first byte was sent.
    pub submitted_at: Stamp,
    /// The courier.
    pub courier: usize,
    /// The id of the message.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its destination.
    pub dest: u64,
    /// The time that it may take, in microseconds.
    pub time_left: Micros,
    /// Its body.
    pub body: BodyDigest,
    /// When it was answered and with which status; 0: the connection broke. `None`: no answer yet.
    pub answer: Option<(Stamp, u16)>,
}
