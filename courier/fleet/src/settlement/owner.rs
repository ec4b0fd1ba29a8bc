//! The settlements that one courier is home to.
//!
//! What is handed in, in any order and from any courier, is written to the book and then answered; positions
//! go out one at a time, each after its record is in the book; what an outcome means for the settlement is
//! written before anyone is told, together with the next position's release, so that a position costs one
//! write. A home acts only while the agreed state names it under its own epoch and term; a book that refuses
//! a record because it is sealed ends all of it ([`OwnerInput::Sealed`]).
//!
//! Writes may be acknowledged in any order but are in the book in the order they were given. Only a hand-in
//! may be refused for want of room ([`OwnerInput::WriteRejected`]): the book keeps room for what follows from one, as
//! the journal does.

use super::breaks::{self, Break};
use super::forward::{SettlementReply, SettlementRequest};
use super::progress::{SettlementProgress, SettlementRecord};
use super::registry::{self, JournalRef, SettlementCommand, SettlementEvent, SettlementRegistry};
use super::session::{self, MAX_SESSIONS, PINNABLE_FRACTION, Pins, Session, SessionKey};
use super::{Cause, End, Mode, Outcome, Resume, SettlementError, SettlementId, Verdict, translator};
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Retry interval of what nobody has confirmed: a command, or a call for records.
pub const RETRY_INTERVAL: Micros = 200_000;
/// Backoff after an attempt that is to be repeated, and told no other wait.
pub const ATTEMPT_BACKOFF: Micros = 10_000;
/// No message is handed in with more time than this.
const MESSAGE_LONGEST: Micros = 600_000_000;

/// What a home holds at most, and how long it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SettlementLimits {
    /// Messages of one tenant that wait for their end. The position that a settlement waits for is taken
    /// beyond it, one for each open settlement, or nothing that waits behind it would ever end.
    pub tenant_count: u64,
    /// Their bytes, with the same exception.
    pub tenant_bytes: u64,
    /// Messages of one settlement, with those that are over: each is remembered till its end, for repeats.
    pub positions: u64,
    /// A settlement that waits for nothing but more messages ends after so long without any.
    pub idle: Micros,
    /// A verdict is remembered so long: no message lives longer, with 1% for clocks.
    pub remember: Micros,
}

impl Default for SettlementLimits {
    fn default() -> Self {
        SettlementLimits {
            tenant_count: 4_096,
            tenant_bytes: 32 << 20,
            positions: 4_096,
            idle: 60_000_000,
            remember: MESSAGE_LONGEST + MESSAGE_LONGEST / 100,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OwnerInput {
    /// What the agreed state has just changed.
    Committed(SettlementEvent),
    /// The agreed state came as a whole: what happened in between is not known.
    Snapshot,
    /// What these books hold, in the order of [`OwnerOutput::Fetch`].
    Fetched {
        id: SettlementId,
        term: u64,
        journals: Vec<Vec<SettlementRecord>>,
    },
    /// No copy of one of these books is left.
    Unreadable {
        id: SettlementId,
        term: u64,
    },
    Request {
        from: String,
        id: SettlementId,
        request: SettlementRequest,
    },
    Written {
        seq: u64,
    },
    /// No room for a hand-in.
    WriteRejected {
        seq: u64,
    },
    /// `lost`: the session's connection is gone as well.
    Outcome {
        id: SettlementId,
        attempt: u64,
        outcome: Outcome,
        lost: bool,
    },
    /// The session's connection is gone, and no attempt was out on it.
    SessionLost {
        id: SettlementId,
        session: u32,
    },
    /// The partner has confirmed the closing; the connection is gone.
    Confirmed {
        id: SettlementId,
        session: u32,
    },
    /// A connection of the budget is this session's.
    Pinned {
        id: SettlementId,
        session: u32,
    },
    /// Give all settlements away: at boundaries until then, and where they stand after.
    Drain {
        successors: Vec<JournalRef>,
        by: Micros,
    },
    /// Keep what is here, and take others again.
    CancelDrain,
    /// The book takes no records any more, or the lease has lapsed: this registration is over.
    Sealed,
    Tick,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OwnerOutput {
    /// Append these to the book and its copies, in this order, all or none.
    Write {
        seq: u64,
        records: Vec<SettlementRecord>,
    },
    /// Read what these books hold of it; they take no more records of it.
    Fetch {
        id: SettlementId,
        term: u64,
        journals: Vec<JournalRef>,
    },
    Propose(SettlementCommand),
    /// The answer to what was asked, for the courier that asked.
    Reply {
        to: String,
        id: SettlementId,
        request: SettlementRequest,
        reply: SettlementReply,
    },
    /// One attempt; no byte of it leaves, and no connection is opened for it, from `by` on.
    Send {
        id: SettlementId,
        position: u64,
        message_id: String,
        attempt: u64,
        by: Micros,
        /// On this session's connection and no other.
        session: Option<u32>,
        /// That connection is opened now.
        opens: bool,
    },
    /// End the session in order; `opens`: on a new connection.
    Close {
        id: SettlementId,
        session: u32,
        opens: bool,
    },
    /// Close the session's connection, and say when it is gone.
    Drop {
        id: SettlementId,
        session: u32,
    },
    /// Take a connection of the tenant's budget for this session, when one is free.
    Pin {
        id: SettlementId,
        session: u32,
    },
    Unpin {
        id: SettlementId,
        session: u32,
    },
    /// A message's end. The same end may be told again after a takeover.
    End {
        id: SettlementId,
        position: u64,
        message_id: String,
        end: End,
    },
    /// Nobody needs this book's records of it any more.
    Forget {
        id: SettlementId,
    },
}

/// What is done once a record is in the book.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum AfterWrite {
    Continue,
    Send { opens: bool },
    Close,
    Announce,
    CaughtUp,
}

/// What the settlement does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The records of earlier homes are asked for.
    Fetching {
        retry_at: Micros,
    },
    Idle,
    Writing {
        seq: u64,
        delivered: Option<u64>,
        then: AfterWrite,
    },
    InFlight {
        attempt: u64,
    },
    /// The partner is to confirm the closing.
    Closing,
    /// The verdict is in the book, and to be agreed on.
    Decided {
        retry_at: Micros,
    },
    /// A move is to be agreed on: nothing more is done here.
    Leaving {
        boundary: bool,
        retry_at: Micros,
    },
}

/// A hand-in, or a count, on its way to the book.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingSubmission {
    request: SettlementRequest,
    records: Vec<SettlementRecord>,
    from: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Handover {
    successors: Vec<JournalRef>,
    by: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Settlement {
    id: SettlementId,
    term: u64,
    mode: Mode,
    progress: SettlementProgress,
    phase: Phase,
    pending: BTreeMap<u64, PendingSubmission>,
    session: Session,
    /// The number of the session that is open or asked for.
    number: u32,
    /// It is gone, and the book does not say so yet.
    lost: Option<u32>,
    /// No earlier than this in a new session: an earlier home's may be open.
    session_not_before: Micros,
    /// No attempt before this.
    backoff_until: Micros,
    /// When a message came or ended last.
    last_activity: Micros,
    handover: Option<Handover>,
    /// The agreed state does not know yet that earlier books are read.
    confirm_at: Option<Micros>,
    wake: Option<Micros>,
}

/// What comes next, as far as records and the clock tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    Wait(Option<Micros>),
    Pin(Option<Micros>),
    Release {
        opens: bool,
    },
    Close {
        opens: bool,
    },
    Decide(Verdict),
    Announce,
    Leave {
        boundary: bool,
    },
    /// Give the session up, to leave at a boundary.
    DropSession,
}

struct Context<'a> {
    limits: &'a SettlementLimits,
    local_name: &'a str,
    now: Micros,
    seq: &'a mut u64,
    /// Connections that the tenant may have at the partner.
    budget: u32,
    /// The tenant may have another message waiting, of this size; else how long until one's time is up.
    tenant_load: Result<(), TenantOverload>,
    outputs: Vec<OwnerOutput>,
    pins: Vec<PinChange>,
}

#[derive(Clone, Copy)]
struct TenantOverload {
    waiting: u64,
    bytes: u64,
    after: Micros,
}

enum PinChange {
    Request(u32),
    Release(u32),
}

impl Context<'_> {
    fn write(&mut self, records: Vec<SettlementRecord>) -> u64 {
        *self.seq += 1;
        self.outputs.push(OwnerOutput::Write { seq: *self.seq, records });
        *self.seq
    }
}

fn earlier(a: Option<Micros>, b: Option<Micros>) -> Option<Micros> {
    a.into_iter().chain(b).min()
}

impl Settlement {
    fn new(id: SettlementId, term: u64, mode: Mode, phase: Phase, now: Micros) -> Settlement {
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

    /// Messages that wait, and their bytes.
    fn load(&self) -> (u64, u64) {
        let sequenced_messages = self.pending.values().filter_map(|pending| pending.request.sequenced());
        sequenced_messages.fold((self.progress.waiting, self.progress.bytes), |(n, bytes), sequenced| {
            (n + 1, bytes + sequenced.size)
        })
    }

    fn earliest_deadline(&self) -> Option<Micros> {
        let waiting = self.progress.positions.values().filter(|state| state.end.is_none());
        waiting.map(|state| state.sequenced.deadline).min()
    }

    fn session_step(&mut self, input: session::SessionInput, cx: &mut Context) -> session::SessionOutput {
        let output = self.session.step(input, cx.now);
        let (id, n) = (self.id.clone(), self.number);
        match output {
            session::SessionOutput::Pin => cx.pins.push(PinChange::Request(n)),
            session::SessionOutput::Unpin => cx.pins.push(PinChange::Release(n)),
            session::SessionOutput::Drop => cx.outputs.push(OwnerOutput::Drop { id, session: n }),
            session::SessionOutput::Close => {
                cx.outputs.push(OwnerOutput::Close { id, session: n, opens: false })
            }
            session::SessionOutput::OpenAndClose => {
                cx.outputs.push(OwnerOutput::Close { id, session: n, opens: true })
            }
            session::SessionOutput::Nothing | session::SessionOutput::Open | session::SessionOutput::Send => {
            }
        }
        output
    }

    fn handle_request(&mut self, from: &str, request: SettlementRequest, cx: &mut Context) {
        let reply = match self.known_reply(&request) {
            Some(reply) => reply,
            None => match self.check(&request, cx) {
                Err(error) => SettlementReply::Rejected(error),
                Ok(()) => return self.submit(from, request, cx),
            },
        };
        cx.outputs.push(OwnerOutput::Reply { to: from.into(), id: self.id.clone(), request, reply });
    }

    /// The word on what the book has already.
    fn known_reply(&self, request: &SettlementRequest) -> Option<SettlementReply> {
        let reply = match request {
            SettlementRequest::Submit(sequenced) => {
                let state = self.progress.positions.get(&sequenced.position)?;
                let at = self.id.at(sequenced.position);
                match state.end {
                    _ if state.sequenced.message_id != sequenced.message_id
                        || state.sequenced.checksum != sequenced.checksum =>
                    {
                        SettlementReply::Rejected(SettlementError::PositionTwice {
                            at,
                            first: state.sequenced.message_id.clone(),
                        })
                    }
                    // The count is news, or a contradiction: it is checked.
                    None if sequenced.total.is_some() && sequenced.total != self.progress.total => {
                        return None;
                    }
                    Some(end) => SettlementReply::Ended(end),
                    None => SettlementReply::Accepted,
                }
            }
            SettlementRequest::Closing { total }
                if self.progress.total == Some(*total) && self.progress.verdict.is_none() =>
            {
                SettlementReply::Accepted
            }
            SettlementRequest::Closing { .. } => return None,
        };
        Some(reply)
    }

    fn check(&self, request: &SettlementRequest, cx: &Context) -> Result<(), SettlementError> {
        let (position, total) = request.position_and_total();
        let at = self.id.at(position);
        if let Some(verdict) = self.progress.verdict {
            return Err(SettlementError::Ended { at, verdict });
        }
        let handed = self.pending.values().map(|pending| pending.request.position_and_total());
        let known = self.progress.total.or(handed.clone().find_map(|(_, total)| total));
        let greatest = self.progress.positions.keys().next_back().copied().max(handed.map(|(p, _)| p).max());
        translator::check(&at, total, known, greatest)?;
        let most = cx.limits.positions;
        if position > most || total.is_some_and(|total| total > most) {
            return Err(SettlementError::TooLong { at, most });
        }
        let SettlementRequest::Submit(sequenced) = request else { return Ok(()) };
        let twice = self.pending.values().filter_map(|pending| pending.request.sequenced());
        if let Some(first) = twice.into_iter().find(|first| first.position == position)
            && (first.message_id != sequenced.message_id || first.checksum != sequenced.checksum)
        {
            return Err(SettlementError::PositionTwice { at, first: first.message_id.clone() });
        }
        if cx.now >= sequenced.deadline {
            return Err(SettlementError::Late(at));
        }
        if matches!(self.mode, Mode::Session { .. })
            && self.progress.sessions == 0
            && cx.budget < PINNABLE_FRACTION
        {
            return Err(SettlementError::NoPinnableConnection {
                at,
                budget: cx.budget,
                least: PINNABLE_FRACTION,
            });
        }
        match cx.tenant_load {
            Err(TenantOverload { waiting, bytes, after }) if position != self.progress.next => {
                Err(SettlementError::TooManyWaiting { at, waiting, bytes, after })
            }
            _ => Ok(()),
        }
    }

    fn submit(&mut self, from: &str, request: SettlementRequest, cx: &mut Context) {
        // Who asks again is answered by the home that is there then.
        if matches!(self.phase, Phase::Fetching { .. } | Phase::Leaving { .. }) {
            return;
        }
        let key = request.key();
        if let Some(pending) = self.pending.values_mut().find(|pending| pending.request.key() == key) {
            if !pending.from.iter().any(|one| one == from) {
                pending.from.push(from.into());
            }
            return;
        }
        let id = self.id.clone();
        let record = match &request {
            SettlementRequest::Submit(sequenced) => {
                SettlementRecord::Submitted { id, sequenced: sequenced.clone() }
            }
            SettlementRequest::Closing { total } => SettlementRecord::Count { id, total: *total },
        };
        let records: Vec<SettlementRecord> = self.opening_record().into_iter().chain([record]).collect();
        let seq = cx.write(records.clone());
        if breaks::on(Break::ReplyUnwritten) {
            let (to, id, request) = (from.into(), self.id.clone(), request.clone());
            cx.outputs.push(OwnerOutput::Reply { to, id, request, reply: SettlementReply::Accepted });
        }
        self.pending.insert(seq, PendingSubmission { request, records, from: vec![from.into()] });
    }

    /// The first record, where it is not in the book yet.
    fn opening_record(&self) -> Option<SettlementRecord> {
        let first = SettlementRecord::Opened { id: self.id.clone(), term: self.term, mode: self.mode };
        self.progress.mode.is_none().then_some(first)
    }

    fn written(&mut self, seq: u64, cx: &mut Context) {
        if let Some(pending) = self.pending.remove(&seq) {
            if matches!(self.phase, Phase::Leaving { .. }) && !breaks::on(Break::ReleaseInMove) {
                return;
            }
            pending.records.iter().for_each(|record| self.progress.apply(record));
            self.last_activity = cx.now;
            let position = pending.request.position_and_total().0;
            let reply = match (self.known_reply(&pending.request), self.progress.verdict) {
                (Some(reply), _) => reply,
                (None, Some(verdict)) => {
                    SettlementReply::Rejected(SettlementError::Ended { at: self.id.at(position), verdict })
                }
                (None, None) => return,
            };
            for to in pending.from {
                let (id, request, reply) = (self.id.clone(), pending.request.clone(), reply.clone());
                cx.outputs.push(OwnerOutput::Reply { to, id, request, reply });
            }
            return self.advance(Vec::new(), cx);
        }
        let Phase::Writing { seq: wanted, delivered, then } = self.phase else { return };
        if wanted != seq {
            return;
        }
        self.phase = Phase::Idle;
        delivered.into_iter().for_each(|position| self.report_end(position, cx));
        match then {
            AfterWrite::Continue => self.advance(Vec::new(), cx),
            AfterWrite::Send { opens } => self.send_attempt(seq, opens, cx),
            AfterWrite::Close => {
                self.session_step(session::SessionInput::Close, cx);
                self.phase = Phase::Closing;
                self.wake = self.session.wake_at();
            }
            AfterWrite::Announce => self.announce_verdict(cx),
            AfterWrite::CaughtUp => {
                self.confirm_at = Some(cx.now.saturating_add(RETRY_INTERVAL));
                // The lost home may have written them and told nobody.
                let over =
                    self.progress.positions.iter().filter(|(_, state)| state.end == Some(End::Delivered));
                let over: Vec<u64> = over.map(|(position, _)| *position).collect();
                over.into_iter().for_each(|position| self.report_end(position, cx));
                cx.outputs.push(OwnerOutput::Propose(SettlementCommand::CaughtUp {
                    id: self.id.clone(),
                    term: self.term,
                }));
                self.advance(Vec::new(), cx);
            }
        }
    }

    fn write_rejected(&mut self, seq: u64, cx: &mut Context) {
        let Some(pending) = self.pending.remove(&seq) else { return };
        for to in pending.from {
            let reply = SettlementReply::Rejected(SettlementError::StorageFull(
                self.id.at(pending.request.position_and_total().0),
            ));
            let (id, request) = (self.id.clone(), pending.request.clone());
            cx.outputs.push(OwnerOutput::Reply { to, id, request, reply });
        }
        self.advance(Vec::new(), cx);
    }

    fn report_end(&self, position: u64, cx: &mut Context) {
        let Some(state) = self.progress.positions.get(&position) else { return };
        if let Some(end) = state.end {
            let message_id = state.sequenced.message_id.clone();
            cx.outputs.push(OwnerOutput::End { id: self.id.clone(), position, message_id, end });
        }
    }

    /// The position's record is in the book: out with it, unless its time is up.
    fn send_attempt(&mut self, seq: u64, opens: bool, cx: &mut Context) {
        let position = self.progress.next;
        let Some(state) = self.progress.positions.get(&position) else { return };
        let mut by = self.progress.send_deadline(state);
        if opens {
            by = by.min(state.sent_at.unwrap_or(cx.now).saturating_add(session::SESSION_OPEN_TIMEOUT));
        }
        let (message_id, deadline) = (state.sequenced.message_id.clone(), state.sequenced.deadline);
        let is_session = matches!(self.mode, Mode::Session { .. });
        // The session may have been lost while the record was written.
        let has_line = !is_session
            || self.session_step(session::SessionInput::Send, cx) != session::SessionOutput::Nothing;
        if cx.now >= by || !has_line {
            let outcome =
                if cx.now >= deadline { Outcome::OutOfTime } else { Outcome::NeverRan { after: 0 } };
            if opens && has_line {
                self.abandon_session(cx);
            }
            return self.apply_outcome(outcome, cx);
        }
        self.phase = Phase::InFlight { attempt: seq };
        self.wake = self.handover.as_ref().map(|handover| handover.by);
        let session = is_session.then_some(self.number);
        cx.outputs.push(OwnerOutput::Send {
            id: self.id.clone(),
            position,
            message_id,
            attempt: seq,
            by,
            session,
            opens,
        });
    }

    /// The session that was to be opened never was.
    fn abandon_session(&mut self, cx: &mut Context) {
        self.session_step(session::SessionInput::Lost, cx);
        self.lost = Some(self.number);
    }

    fn apply_outcome(&mut self, outcome: Outcome, cx: &mut Context) {
        let position = self.progress.next;
        self.last_activity = cx.now;
        let wait = match outcome {
            Outcome::NeverRan { after } => after.max(ATTEMPT_BACKOFF),
            Outcome::MayHaveRun => ATTEMPT_BACKOFF,
            Outcome::Delivered | Outcome::Failed | Outcome::OutOfTime => 0,
        };
        self.backoff_until = cx.now.saturating_add(wait);
        self.phase = Phase::Idle;
        self.advance(vec![SettlementRecord::Outcome { id: self.id.clone(), position, outcome }], cx);
    }

    /// Writes what has to be written, and with it what comes next.
    fn advance(&mut self, mut records: Vec<SettlementRecord>, cx: &mut Context) {
        if self.phase != Phase::Idle {
            return;
        }
        let n = self.lost.take();
        records.extend(n.map(|n| SettlementRecord::SessionEnded { id: self.id.clone(), n }));
        let first = self.progress.next;
        records.iter().for_each(|record| self.progress.apply(record));
        let outcome_records = records.len();
        let delivered = (self.progress.next > first).then_some(first);
        let id = self.id.clone();
        let mut step = self.next_step(cx);
        if step == NextStep::DropSession {
            self.session_step(session::SessionInput::Leave, cx);
            // One that was not opened yet is gone at once: nobody will say so.
            step = self.next_step(cx);
        }
        let then = match step {
            NextStep::Wait(wake) => {
                self.wake = wake;
                AfterWrite::Continue
            }
            NextStep::Pin(wake) => {
                self.number = self.progress.sessions + 1;
                self.session_step(session::SessionInput::Want, cx);
                self.wake = wake;
                AfterWrite::Continue
            }
            NextStep::DropSession => AfterWrite::Continue,
            NextStep::Release { opens } => {
                let n = self.number;
                records.extend(opens.then(|| SettlementRecord::Session { id: id.clone(), n }));
                records.push(SettlementRecord::Released { id, position: self.progress.next, at: cx.now });
                AfterWrite::Send { opens }
            }
            NextStep::Decide(verdict) => {
                records.push(SettlementRecord::Verdict { id, verdict });
                AfterWrite::Announce
            }
            // What was answered is in the book before the closing goes out.
            NextStep::Close { opens: true } if records.is_empty() => {
                records.push(SettlementRecord::Session { id, n: self.number });
                AfterWrite::Close
            }
            NextStep::Close { .. } | NextStep::Announce | NextStep::Leave { .. } if !records.is_empty() => {
                AfterWrite::Continue
            }
            NextStep::Close { .. } => {
                self.session_step(session::SessionInput::Close, cx);
                self.phase = Phase::Closing;
                self.wake = self.session.wake_at();
                return;
            }
            NextStep::Announce => return self.announce_verdict(cx),
            NextStep::Leave { boundary } => return self.propose_move(boundary, cx),
        };
        if records.is_empty() {
            return;
        }
        records[outcome_records..].iter().for_each(|record| self.progress.apply(record));
        let opening = self.opening_record();
        (self.progress.term, self.progress.mode) = (self.term, Some(self.mode));
        let seq = cx.write(opening.into_iter().chain(records).collect());
        self.phase = Phase::Writing { seq, delivered, then };
        if then != AfterWrite::Continue {
            self.wake = None;
        }
        if breaks::on(Break::SendUnwritten) && matches!(then, AfterWrite::Send { .. }) {
            self.written(seq, cx);
        }
    }

    fn next_step(&mut self, cx: &Context) -> NextStep {
        let now = cx.now;
        if self.progress.verdict.is_some() {
            return NextStep::Announce;
        }
        if let Some(step) = self.handover_step(now) {
            return step;
        }
        let by = self.handover.as_ref().map(|handover| handover.by);
        match self.delivery_step(cx) {
            NextStep::Wait(wake) => NextStep::Wait(earlier(wake, by)),
            NextStep::Pin(wake) => NextStep::Pin(earlier(wake, by)),
            step => step,
        }
    }

    /// Whether this is a boundary at which the settlement can leave; `None`: it goes on here for now.
    fn handover_step(&self, now: Micros) -> Option<NextStep> {
        let handover = self.handover.as_ref()?;
        if now >= handover.by {
            return Some(NextStep::Leave { boundary: false });
        }
        let stays = match self.mode {
            Mode::Session { resume: Resume::Never, .. } => self.progress.has_started(),
            _ => false,
        };
        match self.session.state() {
            _ if stays => None,
            session::SessionState::None if self.pending.is_empty() => {
                Some(NextStep::Leave { boundary: true })
            }
            session::SessionState::None | session::SessionState::Dropping => {
                Some(NextStep::Wait(Some(handover.by)))
            }
            _ => Some(NextStep::DropSession),
        }
    }

    fn delivery_step(&mut self, cx: &Context) -> NextStep {
        let now = cx.now;
        let at = self.progress.next;
        let broken = |cause| NextStep::Decide(Verdict::Broken { at, cause });
        let is_whole = at > 1 && self.progress.total == Some(at - 1);
        if let Some(state) = self.progress.positions.get(&at) {
            let cause = match state.end {
                Some(End::Failed) => Some(Cause::Failed),
                Some(End::OutOfTime) => Some(Cause::OutOfTime),
                Some(End::MayHaveRun) => Some(Cause::MayHaveRun),
                _ if !self.progress.may_send(state, now) => Some(Cause::MayHaveRun),
                _ if now >= state.sequenced.deadline && state.first_attempt.is_some() => {
                    Some(Cause::MayHaveRun)
                }
                _ if now >= state.sequenced.deadline => Some(Cause::OutOfTime),
                _ => None,
            };
            if let Some(cause) = cause {
                if breaks::on(Break::AfterBreak) && self.progress.positions.contains_key(&(at + 1)) {
                    self.progress.next += 1;
                    return self.delivery_step(cx);
                }
                return broken(cause);
            }
        }
        if self.has_no_more_sessions() {
            return broken(if is_whole { Cause::Unconfirmed } else { Cause::SessionLost });
        }
        if is_whole {
            return match self.mode {
                Mode::Message => NextStep::Decide(Verdict::Closed { total: at - 1 }),
                _ if breaks::on(Break::ClosedEarly) => NextStep::Decide(Verdict::Closed { total: at - 1 }),
                Mode::Session { .. } => match self.last_activity.saturating_add(cx.limits.idle) {
                    idle if now >= idle && !self.session.is_open() => broken(Cause::Unconfirmed),
                    idle => match self.session_next_step(now, None) {
                        NextStep::Wait(wake) => NextStep::Wait(earlier(wake, Some(idle))),
                        NextStep::Pin(wake) => NextStep::Pin(earlier(wake, Some(idle))),
                        step => step,
                    },
                },
            };
        }
        let Some(state) = self.progress.positions.get(&at) else { return self.missing_step(cx) };
        let by = self.progress.send_deadline(state);
        if now < self.backoff_until {
            return NextStep::Wait(Some(self.backoff_until.min(by)));
        }
        match self.mode {
            Mode::Message => NextStep::Release { opens: false },
            Mode::Session { .. } => self.session_next_step(now, Some(by)),
        }
    }

    /// A session was lost, and the partner takes no other.
    fn has_no_more_sessions(&self) -> bool {
        let Mode::Session { resume, .. } = self.mode else { return false };
        let is_refused = resume == Resume::Never && self.progress.has_started();
        let is_none =
            matches!(self.session.state(), session::SessionState::None | session::SessionState::Dropping);
        is_none && self.progress.sessions > 0 && (is_refused || self.progress.sessions >= MAX_SESSIONS)
    }

    /// `by`: a position is to be sent until then; `None`: the closing is.
    fn session_next_step(&self, now: Micros, by: Option<Micros>) -> NextStep {
        let send_or_close = |opens| match by {
            Some(_) => NextStep::Release { opens },
            None => NextStep::Close { opens },
        };
        match self.session.state() {
            session::SessionState::Open => send_or_close(false),
            session::SessionState::Pinned => send_or_close(true),
            session::SessionState::Waiting
            | session::SessionState::Closing { .. }
            | session::SessionState::Dropping => NextStep::Wait(by),
            session::SessionState::None
                if self.progress.session.is_some() && now < self.session_not_before =>
            {
                NextStep::Wait(earlier(Some(self.session_not_before), by))
            }
            session::SessionState::None => NextStep::Pin(by),
        }
    }

    /// The next position is not there.
    fn missing_step(&mut self, cx: &Context) -> NextStep {
        let at = self.progress.next;
        let handed = self.pending.values().filter_map(|pending| pending.request.sequenced());
        if handed.into_iter().any(|sequenced| sequenced.position == at) {
            return NextStep::Wait(None);
        }
        let broken = |cause| NextStep::Decide(Verdict::Broken { at, cause });
        match self.earliest_deadline() {
            Some(_) if breaks::on(Break::SkipHole) => {
                let first = self.progress.positions.iter().find(|(_, state)| state.end.is_none());
                self.progress.next = first.map_or(at, |(position, _)| *position);
                self.delivery_step(cx)
            }
            Some(deadline) if cx.now >= deadline => broken(Cause::Missing),
            Some(deadline) => NextStep::Wait(Some(deadline)),
            None if !self.pending.is_empty() => NextStep::Wait(None),
            None => match self.last_activity.saturating_add(cx.limits.idle) {
                idle if cx.now >= idle => broken(Cause::Idle),
                idle => NextStep::Wait(Some(idle)),
            },
        }
    }

    /// The verdict is in the book: everyone is told.
    fn announce_verdict(&mut self, cx: &mut Context) {
        let ended = self.progress.positions.iter().filter(|(_, state)| state.end != Some(End::Delivered));
        let ended: Vec<u64> = ended.map(|(position, _)| *position).collect();
        ended.into_iter().for_each(|position| self.report_end(position, cx));
        self.session_step(session::SessionInput::Leave, cx);
        self.propose_close(cx);
    }

    fn propose_close(&mut self, cx: &mut Context) {
        let Some(verdict) = self.progress.verdict else { return };
        let retry_at = cx.now.saturating_add(RETRY_INTERVAL);
        self.phase = Phase::Decided { retry_at };
        self.wake = Some(retry_at);
        let until = cx.now.saturating_add(cx.limits.remember);
        let id = self.id.clone();
        cx.outputs.push(OwnerOutput::Propose(SettlementCommand::Close {
            id,
            term: self.term,
            verdict,
            until,
        }));
    }

    /// Asks for the move; nothing is done here from now on, or the taker's records would not be all.
    fn propose_move(&mut self, boundary: bool, cx: &mut Context) {
        let successor =
            self.handover.as_ref().and_then(|handover| registry::successor(&self.id, &handover.successors));
        let Some(JournalRef { courier, epoch }) = successor.cloned() else {
            self.handover = None;
            return self.advance(Vec::new(), cx);
        };
        self.session_step(session::SessionInput::Leave, cx);
        let retry_at = cx.now.saturating_add(RETRY_INTERVAL);
        self.wake = Some(retry_at);
        if !breaks::on(Break::ReleaseInMove) {
            self.phase = Phase::Leaving { boundary, retry_at };
        }
        let (id, term) = (self.id.clone(), self.term);
        cx.outputs.push(OwnerOutput::Propose(SettlementCommand::Move {
            id,
            term,
            to: courier,
            to_epoch: epoch,
            boundary,
        }));
        if breaks::on(Break::ReleaseInMove) {
            self.handover = None;
            self.advance(Vec::new(), cx);
        }
    }

    fn session_lost(&mut self, cx: &mut Context) {
        let was_out = matches!(self.phase, Phase::InFlight { .. });
        self.session_step(session::SessionInput::Lost, cx);
        self.lost = Some(self.number);
        match self.phase {
            _ if was_out => self.apply_outcome(Outcome::MayHaveRun, cx),
            Phase::Closing => {
                self.phase = Phase::Idle;
                self.advance(Vec::new(), cx);
            }
            _ => self.advance(Vec::new(), cx),
        }
    }

    fn fetched(&mut self, progress: SettlementProgress, cx: &mut Context) {
        if !matches!(self.phase, Phase::Fetching { .. }) {
            return;
        }
        self.progress = progress;
        self.progress.term = self.term;
        self.progress.take_over();
        self.mode = *self.progress.mode.get_or_insert(self.mode);
        if let (Mode::Session { linger, .. }, Some(_)) = (self.mode, self.progress.session)
            && !breaks::on(Break::NoLinger)
        {
            self.session_not_before = cx.now.saturating_add(linger);
        }
        self.last_activity = cx.now;
        let progress = Box::new(self.progress.clone());
        let seq = cx.write(vec![SettlementRecord::Snapshot { id: self.id.clone(), progress }]);
        self.phase = Phase::Writing { seq, delivered: None, then: AfterWrite::CaughtUp };
        self.wake = None;
    }

    fn tick(&mut self, owner: &registry::SettlementOwner, cx: &mut Context) {
        let retry_at = cx.now.saturating_add(RETRY_INTERVAL);
        if self.confirm_at.is_some_and(|at| cx.now >= at) {
            self.confirm_at = (!owner.earlier_journals.is_empty()).then_some(retry_at);
            if self.confirm_at.is_some() {
                cx.outputs.push(OwnerOutput::Propose(SettlementCommand::CaughtUp {
                    id: self.id.clone(),
                    term: self.term,
                }));
            }
        }
        match self.phase {
            Phase::Fetching { retry_at } if cx.now >= retry_at => self.fetch(owner, cx),
            Phase::Decided { retry_at } if cx.now >= retry_at => self.propose_close(cx),
            Phase::Leaving { boundary, retry_at } if cx.now >= retry_at => self.propose_move(boundary, cx),
            Phase::InFlight { .. } if self.is_overdue(cx.now) => self.propose_move(false, cx),
            Phase::Closing => {
                self.session_step(session::SessionInput::Tick, cx);
                self.wake = self.session.wake_at();
            }
            Phase::Idle => self.advance(Vec::new(), cx),
            _ => {}
        }
    }

    fn is_overdue(&self, now: Micros) -> bool {
        self.handover.as_ref().is_some_and(|handover| now >= handover.by)
    }

    fn fetch(&mut self, owner: &registry::SettlementOwner, cx: &mut Context) {
        let retry_at = cx.now.saturating_add(RETRY_INTERVAL);
        self.phase = Phase::Fetching { retry_at };
        self.wake = Some(retry_at);
        // This book has what an earlier life as its home wrote, or an earlier try to read the others.
        let own = JournalRef { courier: cx.local_name.into(), epoch: owner.epoch };
        let journals = owner.earlier_journals.iter().cloned().chain([own]).collect();
        cx.outputs.push(OwnerOutput::Fetch { id: self.id.clone(), term: self.term, journals });
    }

    /// Tries another taker; true: there is none, and the settlement has to go on here.
    fn not_moved(&mut self, to: &JournalRef, cx: &mut Context) -> bool {
        if let Some(handover) = &mut self.handover {
            handover.successors.retain(|successor| successor != to);
        }
        let Phase::Leaving { boundary, .. } = self.phase else { return false };
        let is_last = self.handover.as_ref().is_none_or(|handover| handover.successors.is_empty());
        if !is_last {
            self.propose_move(boundary, cx);
        }
        is_last
    }

    fn drain(&mut self, successors: &[JournalRef], by: Micros, cx: &mut Context) {
        self.handover = Some(Handover { successors: successors.to_vec(), by });
        match self.phase {
            Phase::Idle => self.advance(Vec::new(), cx),
            Phase::InFlight { .. } => self.wake = Some(by),
            _ => {}
        }
    }

    fn wake_at(&self) -> Option<Micros> {
        let wake = match self.phase {
            Phase::Writing { .. } => None,
            _ => self.wake,
        };
        earlier(wake, self.confirm_at)
    }
}

/// The settlements of one courier in one registration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnedSettlements {
    local_name: String,
    epoch: u64,
    limits: SettlementLimits,
    modes: BTreeMap<u64, Mode>,
    budgets: BTreeMap<(String, u64), u32>,
    settlements: BTreeMap<SettlementId, Settlement>,
    /// By tenant: messages that wait, and their bytes.
    loads: BTreeMap<String, (u64, u64)>,
    pins: BTreeMap<(String, u64), Pins>,
    /// Sessions of settlements that are over or elsewhere, until their connections are gone.
    dropping: BTreeSet<SessionKey>,
    due: BTreeSet<(Micros, SettlementId)>,
    writes: BTreeMap<u64, SettlementId>,
    seq: u64,
    draining: Option<Handover>,
    /// That this courier stays is to be agreed on.
    cancel_drain_at: Option<Micros>,
    is_sealed: bool,
}

impl OwnedSettlements {
    pub fn new(local_name: &str, epoch: u64, limits: SettlementLimits) -> OwnedSettlements {
        OwnedSettlements {
            local_name: local_name.into(),
            epoch,
            limits,
            modes: BTreeMap::new(),
            budgets: BTreeMap::new(),
            settlements: BTreeMap::new(),
            loads: BTreeMap::new(),
            pins: BTreeMap::new(),
            dropping: BTreeSet::new(),
            due: BTreeSet::new(),
            writes: BTreeMap::new(),
            seq: 0,
            draining: None,
            cancel_drain_at: None,
            is_sealed: false,
        }
    }

    /// How a partner wants the settlements that are opened from now on.
    pub fn set_mode(&mut self, dest: u64, mode: Mode) {
        self.modes.insert(dest, mode);
    }

    /// Connections that a tenant may have at a partner, here; half of them may be pinned.
    pub fn set_budget(&mut self, tenant: &str, dest: u64, budget: u32) -> Vec<OwnerOutput> {
        let key = (tenant.to_string(), dest);
        self.budgets.insert(key.clone(), budget);
        let granted = self.pins.get_mut(&key).map(|pins| pins.set_budget(budget)).unwrap_or_default();
        granted.into_iter().map(|(id, session)| OwnerOutput::Pin { id, session }).collect()
    }

    /// When an [`OwnerInput::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        earlier(self.due.first().map(|(at, _)| *at), self.cancel_drain_at)
    }

    /// Settlements, messages that wait, and their bytes.
    pub fn sizes(&self) -> (usize, u64, u64) {
        let sum = self.loads.values().fold((0, 0), |(n, b), (count, bytes)| (n + count, b + bytes));
        (self.settlements.len(), sum.0, sum.1)
    }

    /// Connections that are pinned for a tenant at a partner.
    pub fn pinned(&self, tenant: &str, dest: u64) -> usize {
        self.pins.get(&(tenant.to_string(), dest)).map_or(0, Pins::pinned)
    }

    pub fn step(
        &mut self,
        registry: &SettlementRegistry,
        input: OwnerInput,
        now: Micros,
    ) -> Vec<OwnerOutput> {
        if self.is_sealed {
            return self.after_seal(input);
        }
        let mut outputs = Vec::new();
        match input {
            OwnerInput::Committed(event) => self.committed(registry, event, now, &mut outputs),
            OwnerInput::Snapshot => self.snapshot(registry, now, &mut outputs),
            OwnerInput::Fetched { id, term, journals } => {
                let progress = SettlementProgress::read(&id, &journals);
                self.with_settlement(registry, &id, now, &mut outputs, |s, _, cx| {
                    if s.term == term {
                        s.fetched(progress, cx);
                    }
                });
            }
            OwnerInput::Unreadable { id, term } => {
                self.with_settlement(registry, &id, now, &mut outputs, |s, _, cx| {
                    let lost = Verdict::Broken { at: 0, cause: Cause::RecordsLost };
                    if s.term == term {
                        s.fetched(
                            SettlementProgress { verdict: Some(lost), ..SettlementProgress::default() },
                            cx,
                        );
                    }
                })
            }
            OwnerInput::Request { from, id, request } => {
                let tenant_load = self.check_tenant_load(
                    &id,
                    request.sequenced().map_or(0, |sequenced| sequenced.size),
                    now,
                );
                self.with_settlement(registry, &id, now, &mut outputs, |s, _, cx| {
                    cx.tenant_load = tenant_load;
                    s.handle_request(&from, request, cx);
                });
            }
            OwnerInput::Written { seq } => {
                if let Some(id) = self.writes.remove(&seq) {
                    self.with_settlement(registry, &id, now, &mut outputs, |s, _, cx| s.written(seq, cx));
                }
            }
            OwnerInput::WriteRejected { seq } => {
                if let Some(id) = self.writes.remove(&seq) {
                    self.with_settlement(registry, &id, now, &mut outputs, |s, _, cx| {
                        s.write_rejected(seq, cx)
                    });
                }
            }
            OwnerInput::Outcome { id, attempt, outcome, lost } => {
                self.with_settlement(registry, &id, now, &mut outputs, |s, _, cx| {
                    if s.phase != (Phase::InFlight { attempt }) {
                        return;
                    }
                    if lost && s.session.is_open() {
                        s.abandon_session(cx);
                    }
                    s.apply_outcome(outcome, cx);
                });
            }
            OwnerInput::SessionLost { id, session } => {
                if self.dropping.remove(&(id.clone(), session)) {
                    self.unpin(&id, session, &mut outputs);
                }
                self.with_settlement(registry, &id, now, &mut outputs, |s, _, cx| {
                    let is_live = s.session.is_open() || s.session.state() == session::SessionState::Dropping;
                    if s.number == session && is_live {
                        s.session_lost(cx);
                    }
                });
            }
            OwnerInput::Confirmed { id, session } => {
                self.with_settlement(registry, &id, now, &mut outputs, |s, _, cx| {
                    if s.number == session && s.phase == Phase::Closing && s.session.is_open() {
                        s.session_step(session::SessionInput::Confirmed, cx);
                        s.lost = Some(session);
                        s.phase = Phase::Idle;
                        let verdict = Verdict::Closed { total: s.progress.next - 1 };
                        s.advance(vec![SettlementRecord::Verdict { id: s.id.clone(), verdict }], cx);
                    }
                })
            }
            OwnerInput::Pinned { id, session } => {
                let mut is_wanted = false;
                self.with_settlement(registry, &id, now, &mut outputs, |s, _, cx| {
                    is_wanted = s.number == session && s.session.state() == session::SessionState::Waiting;
                    if is_wanted {
                        s.session_step(session::SessionInput::Pinned, cx);
                        s.advance(Vec::new(), cx);
                    }
                });
                let session_key = (id, session);
                let key = (session_key.0.tenant.clone(), session_key.0.dest);
                let is_known = self.pins.get(&key).is_some_and(|pins| pins.is_pinned(&session_key));
                if !is_wanted && !is_known {
                    outputs.push(OwnerOutput::Unpin { id: session_key.0, session });
                }
            }
            OwnerInput::Drain { successors, by } => {
                self.draining = Some(Handover { successors: successors.clone(), by });
                let ids: Vec<SettlementId> = self.settlements.keys().cloned().collect();
                for id in ids {
                    self.with_settlement(registry, &id, now, &mut outputs, |s, _, cx| {
                        s.drain(&successors, by, cx)
                    });
                }
            }
            OwnerInput::CancelDrain => {
                self.draining = None;
                for settlement in self.settlements.values_mut() {
                    if !matches!(settlement.phase, Phase::Leaving { .. }) {
                        settlement.handover = None;
                    }
                }
                self.propose_cancel_drain(registry, now, &mut outputs);
            }
            OwnerInput::Sealed => self.seal(&mut outputs),
            OwnerInput::Tick => self.tick(registry, now, &mut outputs),
        }
        outputs
    }

    /// Only connections that still are to go matter then.
    fn after_seal(&mut self, input: OwnerInput) -> Vec<OwnerOutput> {
        let mut outputs = Vec::new();
        match input {
            OwnerInput::SessionLost { id, session } if self.dropping.remove(&(id.clone(), session)) => {
                outputs.push(OwnerOutput::Unpin { id, session });
            }
            OwnerInput::Pinned { id, session } => outputs.push(OwnerOutput::Unpin { id, session }),
            _ => {}
        }
        outputs
    }

    fn seal(&mut self, outputs: &mut Vec<OwnerOutput>) {
        self.is_sealed = true;
        let ids: Vec<SettlementId> = self.settlements.keys().cloned().collect();
        ids.iter().for_each(|id| self.remove(id, outputs));
        self.writes.clear();
        self.cancel_drain_at = None;
    }

    fn tick(&mut self, registry: &SettlementRegistry, now: Micros, outputs: &mut Vec<OwnerOutput>) {
        let due: Vec<SettlementId> =
            self.due.iter().take_while(|(at, _)| *at <= now).map(|(_, id)| id.clone()).collect();
        for id in due {
            self.with_settlement(registry, &id, now, outputs, |s, owner, cx| s.tick(owner, cx));
        }
        if self.cancel_drain_at.is_some_and(|at| now >= at) {
            self.propose_cancel_drain(registry, now, outputs);
        }
    }

    /// Says so until it is agreed on.
    fn propose_cancel_drain(
        &mut self,
        registry: &SettlementRegistry,
        now: Micros,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        let is_leaving = self.draining.is_none() && registry.is_leaving(&self.local_name, self.epoch);
        self.cancel_drain_at = is_leaving.then(|| now.saturating_add(RETRY_INTERVAL));
        if is_leaving {
            let (courier, epoch) = (self.local_name.clone(), self.epoch);
            outputs.push(OwnerOutput::Propose(SettlementCommand::CancelDrain { courier, epoch }));
        }
    }

    fn is_me(&self, journal: &JournalRef) -> bool {
        journal.courier == self.local_name && journal.epoch == self.epoch
    }

    fn committed(
        &mut self,
        registry: &SettlementRegistry,
        event: SettlementEvent,
        now: Micros,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        match event {
            SettlementEvent::Opened { id, owner, term } if self.is_me(&owner) => {
                let mode = self.modes.get(&id.dest).copied().unwrap_or_default();
                let mut fresh = Settlement::new(id.clone(), term, mode, Phase::Idle, now);
                fresh.handover = self.draining.clone();
                self.settlements.entry(id.clone()).or_insert(fresh);
                self.with_settlement(registry, &id, now, outputs, |s, _, cx| s.advance(Vec::new(), cx));
            }
            SettlementEvent::Moved { id, from, to, .. } => {
                if self.is_me(&from) {
                    self.remove(&id, outputs);
                }
                if self.is_me(&to) {
                    self.take_ownership(registry, &id, now, outputs);
                }
            }
            SettlementEvent::NotMoved { id, term, to } => {
                if let Some(draining) = &mut self.draining {
                    draining.successors.retain(|successor| *successor != to);
                }
                let mut stays = false;
                self.with_settlement(registry, &id, now, outputs, |s, _, cx| {
                    stays = s.term == term && s.not_moved(&to, cx);
                });
                // The book has all that is known here, and what was ignored since may be in it too.
                if stays {
                    self.remove(&id, outputs);
                    self.take_ownership(registry, &id, now, outputs);
                }
            }
            SettlementEvent::CaughtUp { id, journals } => {
                let was_here = journals.iter().any(|journal| self.is_me(journal));
                let is_here =
                    registry.owner(&id).is_some_and(|owner| owner.is_at(&self.local_name, self.epoch));
                if was_here && !is_here {
                    outputs.push(OwnerOutput::Forget { id });
                }
            }
            SettlementEvent::Closed { id, owner, .. } if self.is_me(&owner) => {
                self.remove(&id, outputs);
                outputs.push(OwnerOutput::Forget { id });
            }
            SettlementEvent::Opened { .. }
            | SettlementEvent::NotOpened { .. }
            | SettlementEvent::Closed { .. } => {}
        }
    }

    /// This courier is home now, and reads what earlier ones wrote.
    fn take_ownership(
        &mut self,
        registry: &SettlementRegistry,
        id: &SettlementId,
        now: Micros,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        let Some(owner) = registry.owner(id).filter(|owner| owner.is_at(&self.local_name, self.epoch)) else {
            return;
        };
        self.remove(id, outputs);
        let mode = self.modes.get(&id.dest).copied().unwrap_or_default();
        let mut taken = Settlement::new(id.clone(), owner.term, mode, Phase::Fetching { retry_at: now }, now);
        taken.handover = self.draining.clone();
        self.settlements.insert(id.clone(), taken);
        self.with_settlement(registry, id, now, outputs, |s, owner, cx| s.fetch(owner, cx));
    }

    fn snapshot(&mut self, registry: &SettlementRegistry, now: Micros, outputs: &mut Vec<OwnerOutput>) {
        let (local_name, epoch) = (self.local_name.clone(), self.epoch);
        let is_here = |id: &SettlementId, term| {
            registry.owner(id).is_some_and(|owner| owner.is_at(&local_name, epoch) && owner.term == term)
        };
        let gone: Vec<SettlementId> = self
            .settlements
            .iter()
            .filter(|(id, s)| !is_here(id, s.term))
            .map(|(id, _)| id.clone())
            .collect();
        gone.iter().for_each(|id| self.remove(id, outputs));
        let theirs = registry.owners().filter(|(_, owner)| owner.is_at(&local_name, epoch));
        let new: Vec<SettlementId> =
            theirs.map(|(id, _)| id.clone()).filter(|id| !self.settlements.contains_key(id)).collect();
        new.iter().for_each(|id| self.take_ownership(registry, id, now, outputs));
    }

    fn remove(&mut self, id: &SettlementId, outputs: &mut Vec<OwnerOutput>) {
        let Some(mut settlement) = self.settlements.remove(id) else { return };
        settlement.wake_at().into_iter().for_each(|at| {
            self.due.remove(&(at, id.clone()));
        });
        let write = match settlement.phase {
            Phase::Writing { seq, .. } => Some(seq),
            _ => None,
        };
        settlement.pending.keys().copied().chain(write).for_each(|seq| {
            self.writes.remove(&seq);
        });
        self.change_load(id, settlement.load(), (0, 0));
        let n = settlement.number;
        match settlement.session.state() {
            session::SessionState::None => {}
            session::SessionState::Dropping => {
                self.dropping.insert((id.clone(), n));
            }
            _ => match settlement.session.step(session::SessionInput::Leave, 0) {
                session::SessionOutput::Drop => {
                    outputs.push(OwnerOutput::Drop { id: id.clone(), session: n });
                    self.dropping.insert((id.clone(), n));
                }
                _ => self.unpin(id, n, outputs),
            },
        }
    }

    fn change_load(&mut self, id: &SettlementId, was: (u64, u64), is: (u64, u64)) {
        if was == is {
            return;
        }
        let load = self.loads.entry(id.tenant.clone()).or_default();
        *load = (load.0 + is.0 - was.0, load.1 + is.1 - was.1);
        if *load == (0, 0) {
            self.loads.remove(&id.tenant);
        }
    }

    fn pin(&mut self, id: &SettlementId, session: u32, outputs: &mut Vec<OwnerOutput>) {
        let key = (id.tenant.clone(), id.dest);
        let budget = self.budgets.get(&key).copied().unwrap_or(0);
        let pins = self.pins.entry(key).or_insert_with(|| Pins::new(budget));
        let granted = pins.request((id.clone(), session));
        outputs.extend(granted.into_iter().map(|(id, session)| OwnerOutput::Pin { id, session }));
    }

    fn unpin(&mut self, id: &SettlementId, session: u32, outputs: &mut Vec<OwnerOutput>) {
        let key = (id.tenant.clone(), id.dest);
        let session_key = (id.clone(), session);
        let Some(pins) = self.pins.get_mut(&key) else { return };
        let was_pinned = pins.is_pinned(&session_key);
        let granted = pins.release(&session_key);
        if pins.is_unused() {
            self.pins.remove(&key);
        }
        if was_pinned {
            outputs.push(OwnerOutput::Unpin { id: id.clone(), session });
        }
        outputs.extend(granted.into_iter().map(|(id, session)| OwnerOutput::Pin { id, session }));
    }

    /// Whether the tenant may have one more message waiting, of this size.
    fn check_tenant_load(&self, id: &SettlementId, size: u64, now: Micros) -> Result<(), TenantOverload> {
        let (waiting, bytes) = self.loads.get(&id.tenant).copied().unwrap_or_default();
        if waiting < self.limits.tenant_count && bytes + size <= self.limits.tenant_bytes {
            return Ok(());
        }
        let first = SettlementId { tenant: id.tenant.clone(), name: String::new(), dest: 0 };
        let theirs = self.settlements.range(first..).take_while(|(one, _)| one.tenant == id.tenant);
        let soonest = theirs.filter_map(|(_, s)| s.earliest_deadline()).min();
        Err(TenantOverload {
            waiting,
            bytes,
            after: soonest.unwrap_or(now).saturating_sub(now).max(ATTEMPT_BACKOFF),
        })
    }

    /// Lets one settlement act, if this courier is its home.
    fn with_settlement(
        &mut self,
        registry: &SettlementRegistry,
        id: &SettlementId,
        now: Micros,
        outputs: &mut Vec<OwnerOutput>,
        act: impl FnOnce(&mut Settlement, &registry::SettlementOwner, &mut Context),
    ) {
        let Some(owner) = registry.owner(id).filter(|owner| owner.is_at(&self.local_name, self.epoch)) else {
            return;
        };
        let Some(settlement) = self.settlements.get_mut(id).filter(|s| s.term == owner.term) else { return };
        let (was, woke) = (settlement.load(), settlement.wake_at());
        let mut cx = Context {
            limits: &self.limits,
            local_name: &self.local_name,
            now,
            seq: &mut self.seq,
            budget: self.budgets.get(&(id.tenant.clone(), id.dest)).copied().unwrap_or(0),
            tenant_load: Ok(()),
            outputs: Vec::new(),
            pins: Vec::new(),
        };
        act(settlement, owner, &mut cx);
        let (is, wakes) = (settlement.load(), settlement.wake_at());
        let Context { outputs: done, pins, .. } = cx;
        if woke != wakes {
            woke.into_iter().for_each(|at| {
                self.due.remove(&(at, id.clone()));
            });
            self.due.extend(wakes.map(|at| (at, id.clone())));
        }
        for output in &done {
            if let OwnerOutput::Write { seq, .. } = output {
                self.writes.insert(*seq, id.clone());
            }
        }
        outputs.extend(done);
        self.change_load(id, was, is);
        for step in pins {
            match step {
                PinChange::Request(n) => self.pin(id, n, outputs),
                PinChange::Release(n) => self.unpin(id, n, outputs),
            }
        }
    }
}
