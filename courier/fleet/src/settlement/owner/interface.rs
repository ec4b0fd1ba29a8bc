//! What the owner of settlements is given and what it wants done: limits, inputs and outputs.

use crate::settlement::model::{End, Outcome, SettlementId};
use crate::settlement::progress::SettlementRecord;
use crate::settlement::registry::{JournalRef, SettlementCommand, SettlementEvent};
use crate::settlement::request::{SettlementReply, SettlementRequest};
use crate::settlement::session::SessionKey;
use quillmount_policy::Micros;

/// Interval at which an unconfirmed command, or an unanswered fetch of records, is repeated.
pub const RETRY_INTERVAL: Micros = 200_000;
/// Least backoff after an attempt that is to be repeated.
pub const ATTEMPT_BACKOFF: Micros = 10_000;
/// No message is submitted with more time left than this.
const MAX_MESSAGE_LIFETIME: Micros = 600_000_000;

/// What an owner keeps at most, and how long it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SettlementLimits {
    /// Pending messages of one tenant. The position that a settlement waits for is accepted beyond it, one for
    /// each open settlement, as otherwise nothing that waits behind it would ever end.
    pub tenant_count: u64,
    /// Bytes of the pending messages of one tenant, with the same exception.
    pub tenant_bytes: u64,
    /// Messages of one settlement, ended ones included: each is remembered until the settlement ends, to recognise
    /// repeated submissions.
    pub positions: u64,
    /// A settlement that waits only for more messages is broken after so long without one.
    pub idle: Micros,
    /// How long a verdict is remembered: the longest lifetime of a message, with 1% for clock drift.
    pub remember: Micros,
}

impl Default for SettlementLimits {
    fn default() -> Self {
        SettlementLimits {
            tenant_count: 4_096,
            tenant_bytes: 32 << 20,
            positions: 4_096,
            idle: 60_000_000,
            remember: MAX_MESSAGE_LIFETIME + MAX_MESSAGE_LIFETIME / 100,
        }
    }
}

/// One input of [`OwnedSettlements::step`](crate::settlement::OwnedSettlements::step).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OwnerInput {
    /// What the agreed state has just changed.
    Committed(SettlementEvent),
    /// The agreed state was replaced by a snapshot: the changes in between are not known.
    Snapshot,
    /// The answer to [`OwnerOutput::Fetch`].
    Fetched {
        /// The settlement whose records these are.
        id: SettlementId,
        /// The term under which they were requested.
        term: u64,
        /// The records of each requested journal, in the order of the request.
        journals: Vec<Vec<SettlementRecord>>,
    },
    /// The answer to [`OwnerOutput::Fetch`] when no replica of one of the journals is left.
    Unreadable {
        /// The settlement whose records are lost.
        id: SettlementId,
        /// The term under which they were requested.
        term: u64,
    },
    /// A submission or closing, forwarded by a courier.
    Request {
        /// The courier to reply to.
        from: String,
        /// The settlement that it is about.
        id: SettlementId,
        /// What is requested.
        request: SettlementRequest,
    },
    /// A write is in the journal and its replicas.
    Written {
        /// The number of the [`OwnerOutput::Write`].
        seq: u64,
    },
    /// The journal has no space for a submission; nothing of the write is in it.
    WriteRejected {
        /// The number of the [`OwnerOutput::Write`].
        seq: u64,
    },
    /// An attempt has ended.
    Outcome {
        /// The settlement of the attempt.
        id: SettlementId,
        /// The attempt's number, from [`OwnerOutput::Send`].
        attempt: u64,
        /// How it ended.
        outcome: Outcome,
        /// The session's connection is lost as well.
        lost: bool,
    },
    /// The session's connection is lost, and no attempt was in flight on it.
    SessionLost {
        /// The settlement of the session.
        id: SettlementId,
        /// The session's number.
        session: u32,
    },
    /// The partner has confirmed the closing; the connection is closed.
    Confirmed {
        /// The settlement of the session.
        id: SettlementId,
        /// The session's number.
        session: u32,
    },
    /// A connection of the budget is reserved for this session.
    Pinned {
        /// The settlement of the session.
        id: SettlementId,
        /// The session's number.
        session: u32,
    },
    /// Move all settlements to other couriers: at boundaries before `by`, afterwards wherever they stand.
    Drain {
        /// The couriers that may own them next.
        successors: Vec<JournalRef>,
        /// The end of the graceful phase.
        by: Micros,
    },
    /// Keep the settlements that are still here, and own new ones.
    CancelDrain,
    /// The journal accepts no more records, or the lease has expired: this registration has ended.
    Sealed,
    /// The time of [`OwnedSettlements::wake_at`](crate::settlement::OwnedSettlements::wake_at) has come.
    Tick,
}

/// One thing for the caller to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OwnerOutput {
    /// Append these records to the journal and its replicas, in this order, all or none.
    Write {
        /// The write's number; it grows with each.
        seq: u64,
        /// The records to append.
        records: Vec<SettlementRecord>,
    },
    /// Read the records of a settlement from these journals; they accept no more records of it.
    Fetch {
        /// The settlement whose records are wanted.
        id: SettlementId,
        /// The owner's term, to be repeated in the answer.
        term: u64,
        /// The journals to read, earliest owner first.
        journals: Vec<JournalRef>,
    },
    /// Propose a command to the agreement.
    Propose(SettlementCommand),
    /// The reply to a request, for the courier that forwarded it.
    Reply {
        /// The courier that forwarded the request.
        to: String,
        /// The settlement that it was about.
        id: SettlementId,
        /// The request.
        request: SettlementRequest,
        /// The reply to it.
        reply: SettlementReply,
    },
    /// Make one attempt. No byte of it leaves, and no connection is opened for it, from `by` on.
    Send {
        /// The settlement.
        id: SettlementId,
        /// The message's position in it.
        position: u64,
        /// The message's id.
        message_id: String,
        /// The attempt's number, to be repeated in [`OwnerInput::Outcome`].
        attempt: u64,
        /// The end of the time in which it may be sent.
        by: Micros,
        /// Use this session's connection and no other.
        session: Option<u32>,
        /// Open that connection now.
        opens: bool,
    },
    /// Close the session in order.
    Close {
        /// The settlement of the session.
        id: SettlementId,
        /// The session's number.
        session: u32,
        /// Open its connection first.
        opens: bool,
    },
    /// Drop the session's connection, and report [`OwnerInput::SessionLost`] when it is gone.
    Drop {
        /// The settlement of the session.
        id: SettlementId,
        /// The session's number.
        session: u32,
    },
    /// Reserve a connection of the tenant's budget for this session, when one is free.
    Pin {
        /// The settlement of the session.
        id: SettlementId,
        /// The session's number.
        session: u32,
    },
    /// Release the session's reserved connection.
    Unpin {
        /// The settlement of the session.
        id: SettlementId,
        /// The session's number.
        session: u32,
    },
    /// How a message ended. The same end may be reported again after a takeover.
    End {
        /// The settlement.
        id: SettlementId,
        /// The message's position in it.
        position: u64,
        /// The message's id.
        message_id: String,
        /// How it ended.
        end: End,
    },
    /// This journal's records of the settlement are no longer needed.
    Forget {
        /// The settlement.
        id: SettlementId,
    },
}

/// The outputs that notify sessions of the connections they were granted.
pub(super) fn pin_outputs(granted: Vec<SessionKey>) -> impl Iterator<Item = OwnerOutput> {
    granted.into_iter().map(|SessionKey { settlement: id, session }| OwnerOutput::Pin { id, session })
}
