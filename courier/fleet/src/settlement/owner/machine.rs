//! One settlement at its owner: its state, and the context in which one step of it runs.
//!
//! The concerns of the state machine are in the sibling modules, each an `impl Settlement` of its own.

use super::interface::{OwnerOutput, RETRY_INTERVAL, SettlementLimits};
use crate::settlement::model::{Mode, SettlementId};
use crate::settlement::progress::{SettlementProgress, SettlementRecord};
use crate::settlement::registry::{JournalRef, SettlementCommand, SettlementOwner};
use crate::settlement::request::SettlementRequest;
use crate::settlement::session::{Session, SessionInput, SessionOutput};
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// What is done once a write is in the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum AfterWrite {
    /// Whatever comes next.
    Continue,
    /// Send the next position; `opens`: on a session that is opened now.
    Send { opens: bool },
    /// Close the session.
    Close,
    /// Announce the verdict.
    Announce,
    /// Confirm that the records of earlier owners are in this journal.
    CaughtUp,
}

/// What the settlement does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// The records of earlier owners are requested.
    Fetching { retry_at: Micros },
    /// Nothing is in flight: [`Settlement::advance`] decides what comes next.
    Idle,
    /// A write is under way; `delivered` is the position whose delivery it records.
    Writing { seq: u64, delivered: Option<u64>, then: AfterWrite },
    /// An attempt is in flight.
    InFlight { attempt: u64 },
    /// The partner is to confirm the closing.
    Closing,
    /// The verdict is in the journal, and not yet agreed on.
    Decided { retry_at: Micros },
    /// A move is proposed: nothing more is done here.
    Leaving { boundary: bool, retry_at: Micros },
}

/// A submission, or a closing's count, whose records are not yet in the journal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingSubmission {
    pub(super) request: SettlementRequest,
    pub(super) records: Vec<SettlementRecord>,
    /// The couriers to reply to.
    pub(super) from: Vec<String>,
}

/// The order to move settlements away.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Handover {
    /// The couriers that may own them next.
    pub(super) successors: Vec<JournalRef>,
    /// Until then only at a boundary.
    pub(super) by: Micros,
}

/// One settlement at its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Settlement {
    pub(super) id: SettlementId,
    pub(super) term: u64,
    pub(super) mode: Mode,
    pub(super) progress: SettlementProgress,
    pub(super) phase: Phase,
    /// By the number of the write.
    pub(super) pending: BTreeMap<u64, PendingSubmission>,
    pub(super) session: Session,
    /// The number of the session that is open or requested.
    pub(super) number: u32,
    /// The session that is lost, while the journal does not say so.
    pub(super) lost: Option<u32>,
    /// No new session opens before this: an earlier owner's may still be open.
    pub(super) session_not_before: Micros,
    /// No attempt is made before this.
    pub(super) backoff_until: Micros,
    /// When a message was accepted or ended last.
    pub(super) last_activity: Micros,
    pub(super) handover: Option<Handover>,
    /// When to repeat that earlier journals are read, until the agreed state knows it.
    pub(super) confirm_at: Option<Micros>,
    pub(super) wake: Option<Micros>,
}

/// What one step of a settlement may use of its courier's state, and what it leads to.
pub(super) struct Context<'a> {
    pub(super) limits: &'a SettlementLimits,
    pub(super) local_name: &'a str,
    pub(super) now: Micros,
    /// The number of the last write.
    pub(super) seq: &'a mut u64,
    /// Connections that the tenant may have at the partner.
    pub(super) budget: u32,
    /// Whether the tenant may have another pending message of the request's size.
    pub(super) tenant_load: Result<(), TenantOverload>,
    pub(super) outputs: Vec<OwnerOutput>,
    pub(super) pins: Vec<PinChange>,
}

/// Messages that are accepted or being written, and have not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct PendingLoad {
    pub(super) messages: u64,
    pub(super) bytes: u64,
}

/// A tenant has as many pending messages as it may.
#[derive(Clone, Copy)]
pub(super) struct TenantOverload {
    /// Its pending messages.
    pub(super) waiting: u64,
    /// Their bytes.
    pub(super) bytes: u64,
    /// How long until the earliest deadline of one.
    pub(super) after: Micros,
}

/// A session, by its number, requests a connection of the budget or returns it.
pub(super) enum PinChange {
    Request(u32),
    Release(u32),
}

impl Context<'_> {
    /// Writes these records; returns the write's number.
    pub(super) fn write(&mut self, records: Vec<SettlementRecord>) -> u64 {
        *self.seq += 1;
        self.outputs.push(OwnerOutput::Write { seq: *self.seq, records });
        *self.seq
    }

    /// When something that is started now is repeated if unconfirmed.
    pub(super) fn retry_at(&self) -> Micros {
        self.now.saturating_add(RETRY_INTERVAL)
    }
}

/// The earlier of two times that may be absent.
pub(super) fn earlier(a: Option<Micros>, b: Option<Micros>) -> Option<Micros> {
    a.into_iter().chain(b).min()
}

impl Settlement {
    pub(super) fn new(id: SettlementId, term: u64, mode: Mode, phase: Phase, now: Micros) -> Settlement {
        Settlement {
            id,
            term,
            mode,
            progress: SettlementProgress::default(),
            phase,
            pending: BTreeMap::new(),
            session: Session::default(),
            number: 0,
            lost: None,
            session_not_before: 0,
            backoff_until: 0,
            last_activity: now,
            handover: None,
            confirm_at: None,
            wake: None,
        }
    }

    /// The messages that are accepted or being written, and have not ended.
    pub(super) fn load(&self) -> PendingLoad {
        let mut load = PendingLoad { messages: self.progress.waiting, bytes: self.progress.bytes };
        for unwritten in self.pending.values().filter_map(|pending| pending.request.sequenced()) {
            load.messages += 1;
            load.bytes += unwritten.size;
        }
        load
    }

    /// The earliest deadline of an accepted message that has not ended.
    pub(super) fn earliest_deadline(&self) -> Option<Micros> {
        let waiting = self.progress.positions.values().filter(|state| state.end.is_none());
        waiting.map(|state| state.sequenced.deadline).min()
    }

    /// Steps the session, and does what it calls for, except for opening and sending: those are the caller's.
    pub(super) fn step_session(&mut self, input: SessionInput, cx: &mut Context) -> SessionOutput {
        let output = self.session.step(input, cx.now);
        let id = self.id.clone();
        let session = self.number;
        match output {
            SessionOutput::Pin => cx.pins.push(PinChange::Request(session)),
            SessionOutput::Unpin => cx.pins.push(PinChange::Release(session)),
            SessionOutput::Drop => cx.outputs.push(OwnerOutput::Drop { id, session }),
            SessionOutput::Close => cx.outputs.push(OwnerOutput::Close { id, session, opens: false }),
            SessionOutput::OpenAndClose => cx.outputs.push(OwnerOutput::Close { id, session, opens: true }),
            SessionOutput::Nothing | SessionOutput::Open | SessionOutput::Send => {}
        }
        output
    }

    /// When [`Settlement::tick`] is wanted.
    pub(super) fn wake_at(&self) -> Option<Micros> {
        let wake = match self.phase {
            Phase::Writing { .. } => None,
            _ => self.wake,
        };
        earlier(wake, self.confirm_at)
    }

    /// Repeats what is unconfirmed, and does what its time has come for.
    pub(super) fn tick(&mut self, owner: &SettlementOwner, cx: &mut Context) {
        if self.confirm_at.is_some_and(|at| cx.now >= at) {
            self.confirm_at = (!owner.earlier_journals.is_empty()).then_some(cx.retry_at());
            if self.confirm_at.is_some() {
                self.propose_caught_up(cx);
            }
        }
        match self.phase {
            Phase::Fetching { retry_at } if cx.now >= retry_at => self.fetch(owner, cx),
            Phase::Decided { retry_at } if cx.now >= retry_at => self.propose_close(cx),
            Phase::Leaving { boundary, retry_at } if cx.now >= retry_at => self.propose_move(boundary, cx),
            Phase::InFlight { .. } if self.is_handover_overdue(cx.now) => self.propose_move(false, cx),
            Phase::Closing => {
                self.step_session(SessionInput::Tick, cx);
                self.wake = self.session.wake_at();
            }
            Phase::Idle => self.advance(Vec::new(), cx),
            _ => {}
        }
    }

    /// Proposes that the records of earlier owners are in this journal.
    pub(super) fn propose_caught_up(&self, cx: &mut Context) {
        let (id, term) = (self.id.clone(), self.term);
        cx.outputs.push(OwnerOutput::Propose(SettlementCommand::CaughtUp { id, term }));
    }
}
