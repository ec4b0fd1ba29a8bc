//! What is in flight in the modelled fleet, and the log that its couriers apply.

use crate::world::Micros;
use quillmount_fleet::settlement::{
    JournalRef, Outcome, SettlementCommand, SettlementId, SettlementMessage, SettlementRecord,
    SettlementRequest,
};

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogEntry {
    Command(SettlementCommand),
    /// A courier's registration has ended, and these take over from it.
    CourierGone {
        journal: JournalRef,
        successors: Vec<JournalRef>,
    },
}

/// An event that will arrive, at a time that is 0 until it is scheduled.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct InFlight {
    pub at: Micros,
    pub event: WorldEvent,
}

/// Something in flight: between clients, couriers, journals, the log and the partner. A courier is given by its index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WorldEvent {
    /// A client's request, to any courier.
    Submit { to: usize, ticket: u64, id: SettlementId, request: SettlementRequest },
    /// A message between couriers.
    Message { to: usize, message: SettlementMessage, from: usize },
    /// A command, to the replicated log.
    Propose(SettlementCommand),
    /// Records, to the courier's journal.
    Write { courier: usize, epoch: u64, seq: u64, records: Vec<SettlementRecord> },
    /// The journal's answer to a write.
    Written { courier: usize, epoch: u64, seq: u64, is_stored: bool },
    /// A request for the records of a settlement.
    Fetch { courier: usize, epoch: u64, id: SettlementId, term: u64, journals: Vec<JournalRef> },
    /// An attempt, to the partner.
    Call { courier: usize, epoch: u64, call: Call },
    /// How an attempt ended; `lost`: the session's connection is lost as well.
    Answer { courier: usize, epoch: u64, id: SettlementId, attempt: u64, outcome: Outcome, lost: bool },
    /// The closing of a session, to the partner.
    CloseSession { courier: usize, epoch: u64, id: SettlementId, session: u32, opens: bool },
    /// The partner has confirmed a closing.
    CloseConfirmed { courier: usize, epoch: u64, id: SettlementId, session: u32 },
    /// The courier drops a session's connection.
    DropSession { courier: usize, epoch: u64, id: SettlementId, session: u32 },
    /// The courier learns that a session's connection is lost.
    SessionLost { courier: usize, epoch: u64, id: SettlementId, session: u32 },
}

/// The courier that an event needs, and its registration if only that one can take the event.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Recipient {
    pub courier: usize,
    pub epoch: Option<u64>,
}

impl WorldEvent {
    /// The courier that has to be there for this event.
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

    /// Whether the event belongs to a registration of this courier, not to whichever process serves under its name.
    pub fn belongs_to(&self, courier: usize) -> bool {
        self.recipient().is_some_and(|recipient| recipient.courier == courier && recipient.epoch.is_some())
    }

    /// Whether it goes to the partner, which may answer it with a fault.
    pub fn is_for_partner(&self) -> bool {
        matches!(self, WorldEvent::Call { .. } | WorldEvent::CloseSession { .. })
    }
}

/// One attempt at the partner, as the owner requested it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Call {
    pub id: SettlementId,
    pub position: u64,
    pub attempt: u64,
    /// No byte of it leaves from then on.
    pub by: Micros,
    pub session: Option<u32>,
    /// Whether it opens the session's connection.
    pub opens: bool,
}

/// What goes wrong with a call or with the closing of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallFault {
    /// It ran, and the connection broke.
    Reset,
    /// It ran, and 500 came back.
    ServerError,
    /// The partner will never accept it.
    Refused,
    NotReached,
}
