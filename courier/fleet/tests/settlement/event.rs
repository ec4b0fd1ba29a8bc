//! The events in flight in the modelled fleet, and the entries of its replicated log.

use crate::world::Micros;
use quillmount_fleet::settlement::{
    JournalRef, Outcome, SettlementCommand, SettlementId, SettlementMessage, SettlementRecord,
    SettlementRequest,
};

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogEntry {
    Command(SettlementCommand),
    /// The registration of a courier has ended, and the successors take over its settlements.
    CourierGone {
        journal: JournalRef,
        successors: Vec<JournalRef>,
    },
}

/// An event that will arrive. Its time of arrival is 0 until the event is scheduled.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct InFlight {
    pub arrives_at: Micros,
    pub event: WorldEvent,
}

/// An event between clients, couriers, journals, the log and the partner. Couriers are identified by their index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WorldEvent {
    /// A request of a client to any courier.
    Submit { to: usize, ticket: u64, id: SettlementId, request: SettlementRequest },
    /// A message between couriers.
    Message { to: usize, message: SettlementMessage, from: usize },
    /// A command for the replicated log.
    Propose(SettlementCommand),
    /// Records for the courier's journal.
    Write { courier: usize, epoch: u64, seq: u64, records: Vec<SettlementRecord> },
    /// The answer of the journal to a write.
    Written { courier: usize, epoch: u64, seq: u64, is_stored: bool },
    /// A request for the records of a settlement.
    Fetch { courier: usize, epoch: u64, id: SettlementId, term: u64, journals: Vec<JournalRef> },
    /// An attempt on its way to the partner.
    Call { courier: usize, epoch: u64, call: Call },
    /// The outcome of an attempt; `session_lost` is true if the connection of its session is lost as well.
    Answer {
        courier: usize,
        epoch: u64,
        id: SettlementId,
        attempt: u64,
        outcome: Outcome,
        session_lost: bool,
    },
    /// The closing of a session on its way to the partner.
    CloseSession { courier: usize, epoch: u64, id: SettlementId, session: u32, opens_session: bool },
    /// The partner has confirmed a closing.
    CloseConfirmed { courier: usize, epoch: u64, id: SettlementId, session: u32 },
    /// The courier drops a session's connection.
    DropSession { courier: usize, epoch: u64, id: SettlementId, session: u32 },
    /// The courier is notified that a session's connection is lost.
    SessionLost { courier: usize, epoch: u64, id: SettlementId, session: u32 },
}

/// The courier that receives an event, with the epoch if only that registration can receive it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Recipient {
    pub courier: usize,
    pub epoch: Option<u64>,
}

impl WorldEvent {
    /// Returns the courier that receives the event; `None` for an event of the replicated log.
    pub fn recipient(&self) -> Option<Recipient> {
        match self {
            WorldEvent::Submit { to, .. } | WorldEvent::Message { to, .. } => {
                Some(Recipient { courier: *to, epoch: None })
            }
            WorldEvent::Propose(_) => None,
            WorldEvent::Write { courier, epoch, .. }
            | WorldEvent::Written { courier, epoch, .. }
            | WorldEvent::Fetch { courier, epoch, .. }
            | WorldEvent::Call { courier, epoch, .. }
            | WorldEvent::Answer { courier, epoch, .. }
            | WorldEvent::CloseSession { courier, epoch, .. }
            | WorldEvent::CloseConfirmed { courier, epoch, .. }
            | WorldEvent::DropSession { courier, epoch, .. }
            | WorldEvent::SessionLost { courier, epoch, .. } => {
                Some(Recipient { courier: *courier, epoch: Some(*epoch) })
            }
        }
    }

    /// Returns whether the event is bound to one registration of this courier.
    pub fn belongs_to(&self, courier: usize) -> bool {
        self.recipient().is_some_and(|recipient| recipient.courier == courier && recipient.epoch.is_some())
    }

    /// Returns whether the event goes to the partner, where it may fail.
    pub fn is_for_partner(&self) -> bool {
        matches!(self, WorldEvent::Call { .. } | WorldEvent::CloseSession { .. })
    }
}

/// One attempt as the owner has requested it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Call {
    pub id: SettlementId,
    pub position: u64,
    pub attempt: u64,
    /// From this time on no byte of the attempt is sent.
    pub send_deadline: Micros,
    pub session: Option<u32>,
    /// Whether the attempt opens the connection of its session.
    pub opens_session: bool,
}

/// The fault of a call or of the closing of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallFault {
    /// The call ran, and the connection was reset before the answer.
    Reset,
    /// The call ran, and the partner answered with status 500.
    ServerError,
    /// The partner rejects the call permanently.
    Refused,
    NotReached,
}
