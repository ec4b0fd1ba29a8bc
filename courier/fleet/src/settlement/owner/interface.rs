//! The limits, inputs and outputs of the owner of settlements.

use crate::settlement::model::{End, Outcome, SettlementId};
use crate::settlement::progress::SettlementRecord;
use crate::settlement::registry::{JournalRef, SettlementCommand, SettlementEvent};
use crate::settlement::request::{SettlementReply, SettlementRequest};
use crate::settlement::session::SessionKey;
use quillmount_policy::Micros;

/// Interval at which an unconfirmed command or an unanswered fetch of records is repeated, in microseconds.
pub const RETRY_INTERVAL: Micros = 200_000;
/// Minimum backoff before an attempt is repeated, in microseconds.
pub const ATTEMPT_BACKOFF: Micros = 10_000;
/// Maximum time from the submission of a message to its deadline, in microseconds.
const MAX_MESSAGE_LIFETIME: Micros = 600_000_000;

/// The limits of an owner for pending messages, positions and times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SettlementLimits {
    /// Maximum number of pending messages of one tenant. The next position of a settlement is accepted even above
    /// this limit, one for each open settlement: if it were rejected, the later positions could never be sent.
    pub max_tenant_messages: u64,
    /// Maximum total size of the pending messages of one tenant in bytes, with the same exception.
    pub max_tenant_bytes: u64,
    /// Maximum number of messages of one settlement, ended ones included: each is stored until the settlement ends,
    /// to detect repeated submissions.
    pub max_positions: u64,
    /// A settlement that only waits for further messages breaks after this time without one, in microseconds.
    pub idle_timeout: Micros,
    /// How long a verdict is retained, in microseconds: the maximum lifetime of a message plus 1% for clock drift.
    pub verdict_retention: Micros,
}

impl Default for SettlementLimits {
    fn default() -> Self {
        SettlementLimits {
            max_tenant_messages: 4_096,
            max_tenant_bytes: 32 << 20,
            max_positions: 4_096,
            idle_timeout: 60_000_000,
            verdict_retention: MAX_MESSAGE_LIFETIME + MAX_MESSAGE_LIFETIME / 100,
        }
    }
}

/// One input of [`OwnedSettlements::step`](crate::settlement::OwnedSettlements::step).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OwnerInput {
    /// A change of the replicated state that this courier has just applied.
    Committed(SettlementEvent),
    /// A snapshot has replaced the replicated state, and the individual changes are unknown.
    Snapshot,
    /// The records requested by [`OwnerOutput::Fetch`].
    Fetched {
        /// The settlement that the records belong to.
        id: SettlementId,
        /// The term of the request, which detects outdated answers.
        term: u64,
        /// The records of each requested journal, in the order of the request.
        journals: Vec<Vec<SettlementRecord>>,
    },
    /// The records requested by [`OwnerOutput::Fetch`] are lost: one of the journals has no replica left.
    Unreadable {
        /// The settlement whose records are lost.
        id: SettlementId,
        /// The term of the request, which detects outdated answers.
        term: u64,
    },
    /// A courier has forwarded a submission or a closing.
    Request {
        /// The name of the courier that receives the reply.
        from: String,
        /// The settlement that the request belongs to.
        id: SettlementId,
        /// The request of the client.
        request: SettlementRequest,
    },
    /// The records of a write are in the journal and its replicas.
    Written {
        /// The number of the [`OwnerOutput::Write`].
        seq: u64,
    },
    /// The journal has no space for a submission and contains none of the records of the write.
    WriteRejected {
        /// The number of the [`OwnerOutput::Write`].
        seq: u64,
    },
    /// The attempt in flight has ended.
    Outcome {
        /// The settlement that the attempt belongs to.
        id: SettlementId,
        /// The number of the attempt from [`OwnerOutput::Send`], which detects outdated outcomes.
        attempt: u64,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// True if the connection of the session is lost as well.
        session_lost: bool,
    },
    /// The connection of the session is lost while no attempt is in flight on it.
    SessionLost {
        /// The settlement that the session belongs to.
        id: SettlementId,
        /// The number of the session in its settlement.
        session: u32,
    },
    /// The partner has confirmed the closing, and the connection is closed.
    Confirmed {
        /// The settlement that the session belongs to.
        id: SettlementId,
        /// The number of the session in its settlement.
        session: u32,
    },
    /// The caller has reserved the connection that [`OwnerOutput::Pin`] requested.
    Pinned {
        /// The settlement that the session belongs to.
        id: SettlementId,
        /// The number of the session in its settlement.
        session: u32,
    },
    /// Move all settlements to other couriers. Until `graceful_until` a settlement moves only at a boundary, with
    /// nothing in flight and no session open; afterwards it moves immediately.
    Drain {
        /// The couriers that may own the settlements next.
        successors: Vec<JournalRef>,
        /// The end of the graceful phase, in microseconds.
        graceful_until: Micros,
    },
    /// Cancel the drain: keep the remaining settlements and accept new ones.
    CancelDrain,
    /// The journal is sealed or the lease has expired: this registration has ended.
    Sealed,
    /// The time that [`OwnedSettlements::wake_at`](crate::settlement::OwnedSettlements::wake_at) returned is reached.
    Tick,
}

/// An action that the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OwnerOutput {
    /// Append these records to the journal and its replicas, in this order and atomically.
    Write {
        /// The number of the write, which grows with each write of the courier.
        seq: u64,
        /// The records to append.
        records: Vec<SettlementRecord>,
    },
    /// Read the records of a settlement from these journals; they accept no more records of it.
    Fetch {
        /// The settlement whose records are requested.
        id: SettlementId,
        /// The term of the owner, which the answer repeats.
        term: u64,
        /// The journals to read, earliest owner first.
        journals: Vec<JournalRef>,
    },
    /// Propose a command to the replicated log.
    Propose(SettlementCommand),
    /// Send the reply to a request to the courier that forwarded it.
    Reply {
        /// The name of the courier that forwarded the request.
        to: String,
        /// The settlement that the request belongs to.
        id: SettlementId,
        /// The request that the reply answers.
        request: SettlementRequest,
        /// The result for the client.
        reply: SettlementReply,
    },
    /// Start one attempt. From `send_deadline` on no byte of it is sent and no connection is opened for it.
    Send {
        /// The settlement that the message belongs to.
        id: SettlementId,
        /// The position of the message in its settlement.
        position: u64,
        /// The message id, under which the payload is stored.
        message_id: String,
        /// The number of the attempt, which [`OwnerInput::Outcome`] repeats.
        attempt: u64,
        /// The end of the time in which the message may be sent, in microseconds.
        send_deadline: Micros,
        /// The session whose connection must be used; `None` in message mode.
        session: Option<u32>,
        /// True if the connection of the session is opened for this attempt.
        opens_session: bool,
    },
    /// Send the closing of the session and close its connection in order.
    Close {
        /// The settlement that the session belongs to.
        id: SettlementId,
        /// The number of the session in its settlement.
        session: u32,
        /// True if the connection must be opened first.
        opens_session: bool,
    },
    /// Drop the connection of the session, and report [`OwnerInput::SessionLost`] once it is closed.
    Drop {
        /// The settlement that the session belongs to.
        id: SettlementId,
        /// The number of the session in its settlement.
        session: u32,
    },
    /// Reserve a connection of the tenant's budget for this session as soon as one is free.
    Pin {
        /// The settlement that the session belongs to.
        id: SettlementId,
        /// The number of the session in its settlement.
        session: u32,
    },
    /// Release the connection that is reserved for the session.
    Unpin {
        /// The settlement that the session belongs to.
        id: SettlementId,
        /// The number of the session in its settlement.
        session: u32,
    },
    /// Report the end of a message. A later owner may report the same end again after a takeover.
    End {
        /// The settlement that the message belongs to.
        id: SettlementId,
        /// The position of the message in its settlement.
        position: u64,
        /// The message id, under which the payload is stored.
        message_id: String,
        /// The final result of the message.
        end: End,
    },
    /// Delete the records of the settlement in this journal: they are no longer needed.
    Forget {
        /// The settlement whose records can be deleted.
        id: SettlementId,
    },
}

/// Returns the outputs that request a connection from the caller for each session that was granted one.
pub(super) fn pin_outputs(granted: Vec<SessionKey>) -> impl Iterator<Item = OwnerOutput> {
    granted.into_iter().map(|SessionKey { settlement: id, session }| OwnerOutput::Pin { id, session })
}
