//! The state of one settlement at its owner, and the context of one step.
//!
//! Each concern of the state machine is an `impl Settlement` in a sibling module.

use super::interface::{OwnerOutput, RETRY_INTERVAL, SettlementLimits};
use crate::settlement::model::{Mode, SettlementId};
use crate::settlement::progress::{SettlementProgress, SettlementRecord};
use crate::settlement::registry::{JournalRef, SettlementCommand, SettlementOwner};
use crate::settlement::request::SettlementRequest;
use crate::settlement::session::{Session, SessionInput, SessionOutput};
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// The action that follows once a write is in the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum AfterWrite {
    /// Decide on the next step.
    Continue,
    /// Send the next position, and open the connection of its session first if `opens_session`.
    Send { opens_session: bool },
    /// Send the closing of the session.
    Close,
    /// Report the verdict.
    Announce,
    /// Propose the command which confirms that the records of earlier owners are in this journal.
    CaughtUp,
}

/// The current activity of the settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// The records of earlier owners are requested.
    Fetching { retry_at: Micros },
    /// Nothing is in flight: [`Settlement::advance`] decides on the next step.
    Idle,
    /// A write is in progress; `delivered` is the position whose delivery it records.
    Writing { seq: u64, delivered: Option<u64>, after_write: AfterWrite },
    /// An attempt is in flight.
    InFlight { attempt: u64 },
    /// The closing is sent, and the partner has not confirmed it.
    Closing,
    /// The verdict is in the journal, and its command is not yet committed.
    Decided { retry_at: Micros },
    /// A move is proposed: this courier does nothing more for the settlement unless the move is rejected.
    Leaving { at_boundary: bool, retry_at: Micros },
}

/// A submission or closing whose records are not yet in the journal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingSubmission {
    pub(super) request: SettlementRequest,
    pub(super) records: Vec<SettlementRecord>,
    /// The names of the couriers that receive the reply.
    pub(super) reply_to: Vec<String>,
}

/// The parameters of a drain, which moves settlements to other couriers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Handover {
    /// The couriers that may own the settlements next.
    pub(super) successors: Vec<JournalRef>,
    /// Until this time a settlement moves only at a boundary.
    pub(super) graceful_until: Micros,
}

/// The state of one settlement at its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Settlement {
    pub(super) id: SettlementId,
    pub(super) term: u64,
    pub(super) mode: Mode,
    pub(super) progress: SettlementProgress,
    pub(super) phase: Phase,
    /// Submissions and closings that are being written, by the number of the write.
    pub(super) pending: BTreeMap<u64, PendingSubmission>,
    pub(super) session: Session,
    /// The number of the session that is open or requested.
    pub(super) session_number: u32,
    /// The session that is lost or closed, until a record of that is written.
    pub(super) lost_session: Option<u32>,
    /// No session is opened before this time, because the session of an earlier owner may still be open.
    pub(super) session_not_before: Micros,
    /// No attempt starts before this time.
    pub(super) backoff_until: Micros,
    /// When a message was last accepted or an attempt last ended.
    pub(super) last_activity: Micros,
    pub(super) handover: Option<Handover>,
    /// When to repeat the proposal which confirms that earlier journals are copied, until it is committed.
    pub(super) catch_up_retry_at: Option<Micros>,
    pub(super) next_wake: Option<Micros>,
}

/// The state of the courier that one step of a settlement may use, and the results of the step.
pub(super) struct Context<'a> {
    pub(super) limits: &'a SettlementLimits,
    pub(super) local_name: &'a str,
    pub(super) now: Micros,
    /// The number of the last write.
    pub(super) seq: &'a mut u64,
    /// The tenant's budget at the partner, in connections.
    pub(super) budget: u32,
    /// Whether the limits of the tenant allow another pending message of the request's size.
    pub(super) tenant_load: Result<(), TenantOverload>,
    pub(super) outputs: Vec<OwnerOutput>,
    pub(super) pins: Vec<PinChange>,
}

/// Number and size of the messages that are accepted or being written and have not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct PendingLoad {
    pub(super) messages: u64,
    pub(super) bytes: u64,
}

/// The load of a tenant that has reached its limits of pending messages.
#[derive(Clone, Copy)]
pub(super) struct TenantOverload {
    /// The number of pending messages of the tenant.
    pub(super) pending_messages: u64,
    /// Their total size in bytes.
    pub(super) bytes: u64,
    /// The time until the earliest deadline of one of them, in microseconds.
    pub(super) retry_after: Micros,
}

/// A session, given by its number, requests a connection of the budget or releases it.
pub(super) enum PinChange {
    Request(u32),
    Release(u32),
}

impl Context<'_> {
    /// Requests a write of these records; returns the number of the write.
    pub(super) fn write(&mut self, records: Vec<SettlementRecord>) -> u64 {
        *self.seq += 1;
        self.outputs.push(OwnerOutput::Write { seq: *self.seq, records });
        *self.seq
    }

    /// Returns when an operation that starts now is repeated if it is not confirmed.
    pub(super) fn retry_at(&self) -> Micros {
        self.now.saturating_add(RETRY_INTERVAL)
    }
}

/// Returns the earlier of two optional times.
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
            session_number: 0,
            lost_session: None,
            session_not_before: 0,
            backoff_until: 0,
            last_activity: now,
            handover: None,
            catch_up_retry_at: None,
            next_wake: None,
        }
    }

    /// Returns the load of the messages that are accepted or being written and have not ended.
    pub(super) fn load(&self) -> PendingLoad {
        let mut load =
            PendingLoad { messages: self.progress.pending_messages, bytes: self.progress.pending_bytes };
        for unwritten in self.pending.values().filter_map(|pending| pending.request.sequenced()) {
            load.messages += 1;
            load.bytes += unwritten.size;
        }
        load
    }

    /// Returns the earliest deadline of the accepted messages that have not ended.
    pub(super) fn earliest_deadline(&self) -> Option<Micros> {
        let waiting = self.progress.positions.values().filter(|state| state.end.is_none());
        waiting.map(|state| state.sequenced.deadline).min()
    }

    /// Steps the session and carries out the required action, except for opening and sending, which the caller does.
    pub(super) fn step_session(&mut self, input: SessionInput, cx: &mut Context) -> SessionOutput {
        let output = self.session.step(input, cx.now);
        let id = self.id.clone();
        let session = self.session_number;
        match output {
            SessionOutput::Pin => cx.pins.push(PinChange::Request(session)),
            SessionOutput::Unpin => cx.pins.push(PinChange::Release(session)),
            SessionOutput::Drop => cx.outputs.push(OwnerOutput::Drop { id, session }),
            SessionOutput::Close => cx.outputs.push(OwnerOutput::Close { id, session, opens_session: false }),
            SessionOutput::OpenAndClose => {
                cx.outputs.push(OwnerOutput::Close { id, session, opens_session: true });
            }
            SessionOutput::Nothing | SessionOutput::Open | SessionOutput::Send => {}
        }
        output
    }

    /// Returns when [`Settlement::tick`] is due.
    pub(super) fn wake_at(&self) -> Option<Micros> {
        let wake = match self.phase {
            Phase::Writing { .. } => None,
            _ => self.next_wake,
        };
        earlier(wake, self.catch_up_retry_at)
    }

    /// Repeats unconfirmed operations, and handles timeouts that have expired.
    pub(super) fn tick(&mut self, owner: &SettlementOwner, cx: &mut Context) {
        if self.catch_up_retry_at.is_some_and(|at| cx.now >= at) {
            self.catch_up_retry_at = (!owner.earlier_journals.is_empty()).then_some(cx.retry_at());
            if self.catch_up_retry_at.is_some() {
                self.propose_caught_up(cx);
            }
        }
        match self.phase {
            Phase::Fetching { retry_at } if cx.now >= retry_at => self.fetch(owner, cx),
            Phase::Decided { retry_at } if cx.now >= retry_at => self.propose_close(cx),
            Phase::Leaving { at_boundary, retry_at } if cx.now >= retry_at => {
                self.propose_move(at_boundary, cx);
            }
            Phase::InFlight { .. } if self.is_handover_overdue(cx.now) => self.propose_move(false, cx),
            Phase::Closing => {
                self.step_session(SessionInput::Tick, cx);
                self.next_wake = self.session.wake_at();
            }
            Phase::Idle => self.advance(Vec::new(), cx),
            _ => {}
        }
    }

    /// Proposes the command which confirms that the records of earlier owners are in this journal.
    pub(super) fn propose_caught_up(&self, cx: &mut Context) {
        let (id, term) = (self.id.clone(), self.term);
        cx.outputs.push(OwnerOutput::Propose(SettlementCommand::CaughtUp { id, term }));
    }
}
