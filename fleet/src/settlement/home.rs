//! The settlements that one courier is home to.
//!
//! What is handed in, in any order and from any courier, is written to the book and then answered; positions
//! go out one at a time, each after its record is in the book; what an outcome means for the settlement is
//! written before anyone is told, together with the next position's release, so that a position costs one
//! write. A home acts only while the agreed state names it under its own epoch and term; a book that refuses
//! a record because it is sealed ends all of it ([`Input::Sealed`]).
//!
//! Writes may be acknowledged in any order but are in the book in the order they were given. Only a hand-in
//! may be refused for want of room ([`Input::Unwritten`]): the book keeps room for what follows from one, as
//! the journal does.

use super::agreed::{self, Agreed, Book, Command, Event};
use super::breaks::{self, Break};
use super::forward::{Ask, Word};
use super::kept::{Kept, Record};
use super::session::{self, Holder, PIN_PART, Pins, SESSIONS_MAX, Session};
use super::{Cause, End, Error, Mode, Outcome, Resume, SettlementId, Verdict, translator};
use spurshore::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Retry interval of what nobody has confirmed: a command, or a call for records.
pub const AGAIN: Micros = 200_000;
/// Backoff after an attempt that is to be repeated, and told no other wait.
pub const REST: Micros = 10_000;
/// No message is handed in with more time than this.
const MESSAGE_LONGEST: Micros = 600_000_000;

/// What a home holds at most, and how long it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
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

impl Default for Limits {
    fn default() -> Self {
        Limits {
            tenant_count: 4_096,
            tenant_bytes: 32 << 20,
            positions: 4_096,
            idle: 60_000_000,
            remember: MESSAGE_LONGEST + MESSAGE_LONGEST / 100,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// What the agreed state has just changed.
    Agreed(Event),
    /// The agreed state came as a whole: what happened in between is not known.
    Snapshot,
    /// What these books hold, in the order of [`Output::Fetch`].
    Fetched {
        id: SettlementId,
        term: u64,
        books: Vec<Vec<Record>>,
    },
    /// No copy of one of these books is left.
    Unreadable {
        id: SettlementId,
        term: u64,
    },
    Ask {
        from: String,
        id: SettlementId,
        ask: Ask,
    },
    Written {
        seq: u64,
    },
    /// No room for a hand-in.
    Unwritten {
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
        takers: Vec<Book>,
        by: Micros,
    },
    /// Keep what is here, and take others again.
    Undrain,
    /// The book takes no records any more, or the lease has lapsed: this registration is over.
    Sealed,
    Tick,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Append these to the book and its copies, in this order, all or none.
    Write {
        seq: u64,
        records: Vec<Record>,
    },
    /// Read what these books hold of it; they take no more records of it.
    Fetch {
        id: SettlementId,
        term: u64,
        books: Vec<Book>,
    },
    Agree(Command),
    /// The answer to what was asked, for the courier that asked.
    Word {
        to: String,
        id: SettlementId,
        ask: Ask,
        word: Word,
    },
    /// One attempt; no byte of it leaves, and no connection is opened for it, from `by` on.
    Send {
        id: SettlementId,
        position: u64,
        msg: String,
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
        msg: String,
        end: End,
    },
    /// Nobody needs this book's records of it any more.
    Forget {
        id: SettlementId,
    },
}

/// What is done once a record is in the book.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Then {
    Go,
    Send { opens: bool },
    Close,
    Tell,
    Up,
}

/// What the settlement does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Head {
    /// The records of earlier homes are asked for.
    Fetching {
        again: Micros,
    },
    Idle,
    Writing {
        seq: u64,
        delivered: Option<u64>,
        then: Then,
    },
    Out {
        attempt: u64,
    },
    /// The partner is to confirm the closing.
    Closing,
    /// The verdict is in the book, and to be agreed on.
    Decided {
        again: Micros,
    },
    /// A move is to be agreed on: nothing more is done here.
    Leaving {
        boundary: bool,
        again: Micros,
    },
}

/// A hand-in, or a count, on its way to the book.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Handing {
    ask: Ask,
    records: Vec<Record>,
    from: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Moving {
    takers: Vec<Book>,
    by: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Settlement {
    id: SettlementId,
    term: u64,
    mode: Mode,
    kept: Kept,
    head: Head,
    handing: BTreeMap<u64, Handing>,
    session: Session,
    /// The number of the session that is open or asked for.
    number: u32,
    /// It is gone, and the book does not say so yet.
    lost: Option<u32>,
    /// No earlier than this in a new session: an earlier home's may be open.
    not_before: Micros,
    /// No attempt before this.
    rest: Micros,
    /// When a message came or ended last.
    touched: Micros,
    moving: Option<Moving>,
    /// The agreed state does not know yet that earlier books are read.
    up: Option<Micros>,
    wake: Option<Micros>,
}

/// What comes next, as far as records and the clock tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plan {
    Wait(Option<Micros>),
    Pin(Option<Micros>),
    Release {
        opens: bool,
    },
    Close {
        opens: bool,
    },
    Decide(Verdict),
    Tell,
    Leave {
        boundary: bool,
    },
    /// Give the session up, to leave at a boundary.
    DropSession,
}

struct Context<'a> {
    limits: &'a Limits,
    me: &'a str,
    now: Micros,
    seq: &'a mut u64,
    /// Connections that the tenant may have at the partner.
    budget: u32,
    /// The tenant may have another message waiting, of this size; else how long until one's time is up.
    room: Result<(), TooMuch>,
    outputs: Vec<Output>,
    pins: Vec<PinStep>,
}

#[derive(Clone, Copy)]
struct TooMuch {
    held: u64,
    bytes: u64,
    after: Micros,
}

enum PinStep {
    Ask(u32),
    Release(u32),
}

impl Context<'_> {
    fn write(&mut self, records: Vec<Record>) -> u64 {
        *self.seq += 1;
        self.outputs.push(Output::Write { seq: *self.seq, records });
        *self.seq
    }
}

fn earlier(a: Option<Micros>, b: Option<Micros>) -> Option<Micros> {
    a.into_iter().chain(b).min()
}

impl Settlement {
    fn new(id: SettlementId, term: u64, mode: Mode, head: Head, now: Micros) -> Settlement {
        Settlement {
            id,
            term,
            mode,
            kept: Kept::default(),
            head,
            handing: BTreeMap::new(),
            session: Session::default(),
            number: 0,
            lost: None,
            not_before: 0,
            rest: 0,
            touched: now,
            moving: None,
            up: None,
            wake: None,
        }
    }

    /// Messages that wait, and their bytes.
    fn load(&self) -> (u64, u64) {
        let hands = self.handing.values().filter_map(|handing| handing.ask.hand());
        hands.fold((self.kept.waiting, self.kept.bytes), |(n, bytes), hand| (n + 1, bytes + hand.size))
    }

    fn earliest_deadline(&self) -> Option<Micros> {
        let waiting = self.kept.hands.values().filter(|held| held.end.is_none());
        waiting.map(|held| held.hand.deadline).min()
    }

    fn session_step(&mut self, input: session::Input, cx: &mut Context) -> session::Output {
        let output = self.session.step(input, cx.now);
        let (id, n) = (self.id.clone(), self.number);
        match output {
            session::Output::Pin => cx.pins.push(PinStep::Ask(n)),
            session::Output::Unpin => cx.pins.push(PinStep::Release(n)),
            session::Output::Drop => cx.outputs.push(Output::Drop { id, session: n }),
            session::Output::Close => cx.outputs.push(Output::Close { id, session: n, opens: false }),
            session::Output::OpenAndClose => cx.outputs.push(Output::Close { id, session: n, opens: true }),
            session::Output::Nothing | session::Output::Open | session::Output::Send => {}
        }
        output
    }

    fn ask(&mut self, from: &str, ask: Ask, cx: &mut Context) {
        let word = match self.known(&ask) {
            Some(word) => word,
            None => match self.check(&ask, cx) {
                Err(error) => Word::Refused(error),
                Ok(()) => return self.hand_in(from, ask, cx),
            },
        };
        cx.outputs.push(Output::Word { to: from.into(), id: self.id.clone(), ask, word });
    }

    /// The word on what the book has already.
    fn known(&self, ask: &Ask) -> Option<Word> {
        let word = match ask {
            Ask::Hand(hand) => {
                let held = self.kept.hands.get(&hand.position)?;
                let at = self.id.at(hand.position);
                match held.end {
                    _ if held.hand.msg != hand.msg || held.hand.print != hand.print => {
                        Word::Refused(Error::PositionTwice { at, first: held.hand.msg.clone() })
                    }
                    // The count is news, or a contradiction: it is checked.
                    None if hand.of.is_some() && hand.of != self.kept.of => return None,
                    Some(end) => Word::Ended(end),
                    None => Word::TakenOn,
                }
            }
            Ask::Closing { of } if self.kept.of == Some(*of) && self.kept.verdict.is_none() => Word::TakenOn,
            Ask::Closing { .. } => return None,
        };
        Some(word)
    }

    fn check(&self, ask: &Ask, cx: &Context) -> Result<(), Error> {
        let (position, of) = ask.place();
        let at = self.id.at(position);
        if let Some(verdict) = self.kept.verdict {
            return Err(Error::Over { at, verdict });
        }
        let handed = self.handing.values().map(|handing| handing.ask.place());
        let known = self.kept.of.or(handed.clone().find_map(|(_, of)| of));
        let greatest = self.kept.hands.keys().next_back().copied().max(handed.map(|(p, _)| p).max());
        translator::check(&at, of, known, greatest)?;
        let most = cx.limits.positions;
        if position > most || of.is_some_and(|of| of > most) {
            return Err(Error::TooLong { at, most });
        }
        let Ask::Hand(hand) = ask else { return Ok(()) };
        let twice = self.handing.values().filter_map(|handing| handing.ask.hand());
        if let Some(first) = twice.into_iter().find(|first| first.position == position)
            && (first.msg != hand.msg || first.print != hand.print)
        {
            return Err(Error::PositionTwice { at, first: first.msg.clone() });
        }
        if cx.now >= hand.deadline {
            return Err(Error::Late(at));
        }
        if matches!(self.mode, Mode::Session { .. }) && self.kept.sessions == 0 && cx.budget < PIN_PART {
            return Err(Error::NoPin { at, budget: cx.budget, least: PIN_PART });
        }
        match cx.room {
            Err(TooMuch { held, bytes, after }) if position != self.kept.next => {
                Err(Error::TooMuch { at, held, bytes, after })
            }
            _ => Ok(()),
        }
    }

    fn hand_in(&mut self, from: &str, ask: Ask, cx: &mut Context) {
        // Who asks again is answered by the home that is there then.
        if matches!(self.head, Head::Fetching { .. } | Head::Leaving { .. }) {
            return;
        }
        let key = ask.key();
        if let Some(handing) = self.handing.values_mut().find(|handing| handing.ask.key() == key) {
            if !handing.from.iter().any(|one| one == from) {
                handing.from.push(from.into());
            }
            return;
        }
        let id = self.id.clone();
        let record = match &ask {
            Ask::Hand(hand) => Record::HandIn { id, hand: hand.clone() },
            Ask::Closing { of } => Record::Count { id, of: *of },
        };
        let records: Vec<Record> = self.opening().into_iter().chain([record]).collect();
        let seq = cx.write(records.clone());
        if breaks::on(Break::WordUnwritten) {
            let (to, id, ask) = (from.into(), self.id.clone(), ask.clone());
            cx.outputs.push(Output::Word { to, id, ask, word: Word::TakenOn });
        }
        self.handing.insert(seq, Handing { ask, records, from: vec![from.into()] });
    }

    /// The first record, where it is not in the book yet.
    fn opening(&self) -> Option<Record> {
        let first = Record::Opened { id: self.id.clone(), term: self.term, mode: self.mode };
        self.kept.mode.is_none().then_some(first)
    }

    fn written(&mut self, seq: u64, cx: &mut Context) {
        if let Some(handing) = self.handing.remove(&seq) {
            if matches!(self.head, Head::Leaving { .. }) && !breaks::on(Break::ReleaseInMove) {
                return;
            }
            handing.records.iter().for_each(|record| self.kept.apply(record));
            self.touched = cx.now;
            let position = handing.ask.place().0;
            let word = match (self.known(&handing.ask), self.kept.verdict) {
                (Some(word), _) => word,
                (None, Some(verdict)) => Word::Refused(Error::Over { at: self.id.at(position), verdict }),
                (None, None) => return,
            };
            for to in handing.from {
                let (id, ask, word) = (self.id.clone(), handing.ask.clone(), word.clone());
                cx.outputs.push(Output::Word { to, id, ask, word });
            }
            return self.go(Vec::new(), cx);
        }
        let Head::Writing { seq: wanted, delivered, then } = self.head else { return };
        if wanted != seq {
            return;
        }
        self.head = Head::Idle;
        delivered.into_iter().for_each(|position| self.tell(position, cx));
        match then {
            Then::Go => self.go(Vec::new(), cx),
            Then::Send { opens } => self.send(seq, opens, cx),
            Then::Close => {
                self.session_step(session::Input::Close, cx);
                self.head = Head::Closing;
                self.wake = self.session.wake_at();
            }
            Then::Tell => self.decided(cx),
            Then::Up => {
                self.up = Some(cx.now.saturating_add(AGAIN));
                // The lost home may have written them and told nobody.
                let over = self.kept.hands.iter().filter(|(_, held)| held.end == Some(End::Delivered));
                let over: Vec<u64> = over.map(|(position, _)| *position).collect();
                over.into_iter().for_each(|position| self.tell(position, cx));
                cx.outputs.push(Output::Agree(Command::Up { id: self.id.clone(), term: self.term }));
                self.go(Vec::new(), cx);
            }
        }
    }

    fn unwritten(&mut self, seq: u64, cx: &mut Context) {
        let Some(handing) = self.handing.remove(&seq) else { return };
        for to in handing.from {
            let word = Word::Refused(Error::NoRoom(self.id.at(handing.ask.place().0)));
            let (id, ask) = (self.id.clone(), handing.ask.clone());
            cx.outputs.push(Output::Word { to, id, ask, word });
        }
        self.go(Vec::new(), cx);
    }

    fn tell(&self, position: u64, cx: &mut Context) {
        let Some(held) = self.kept.hands.get(&position) else { return };
        if let Some(end) = held.end {
            let msg = held.hand.msg.clone();
            cx.outputs.push(Output::End { id: self.id.clone(), position, msg, end });
        }
    }

    /// The position's record is in the book: out with it, unless its time is up.
    fn send(&mut self, seq: u64, opens: bool, cx: &mut Context) {
        let position = self.kept.next;
        let Some(held) = self.kept.hands.get(&position) else { return };
        let mut by = self.kept.by(held);
        if opens {
            by = by.min(held.out.unwrap_or(cx.now).saturating_add(session::OPEN_BY));
        }
        let (msg, deadline) = (held.hand.msg.clone(), held.hand.deadline);
        let is_session = matches!(self.mode, Mode::Session { .. });
        // The session may have been lost while the record was written.
        let has_line = !is_session || self.session_step(session::Input::Send, cx) != session::Output::Nothing;
        if cx.now >= by || !has_line {
            let outcome =
                if cx.now >= deadline { Outcome::OutOfTime } else { Outcome::NeverRan { after: 0 } };
            if opens && has_line {
                self.forget_session(cx);
            }
            return self.outcome(outcome, cx);
        }
        self.head = Head::Out { attempt: seq };
        self.wake = self.moving.as_ref().map(|moving| moving.by);
        let session = is_session.then_some(self.number);
        cx.outputs.push(Output::Send {
            id: self.id.clone(),
            position,
            msg,
            attempt: seq,
            by,
            session,
            opens,
        });
    }

    /// The session that was to be opened never was.
    fn forget_session(&mut self, cx: &mut Context) {
        self.session_step(session::Input::Lost, cx);
        self.lost = Some(self.number);
    }

    fn outcome(&mut self, outcome: Outcome, cx: &mut Context) {
        let position = self.kept.next;
        self.touched = cx.now;
        let wait = match outcome {
            Outcome::NeverRan { after } => after.max(REST),
            Outcome::MayHaveRun => REST,
            Outcome::Delivered | Outcome::Failed | Outcome::OutOfTime => 0,
        };
        self.rest = cx.now.saturating_add(wait);
        self.head = Head::Idle;
        self.go(vec![Record::Outcome { id: self.id.clone(), position, outcome }], cx);
    }

    /// Writes what has to be written, and with it what comes next.
    fn go(&mut self, mut records: Vec<Record>, cx: &mut Context) {
        if self.head != Head::Idle {
            return;
        }
        let n = self.lost.take();
        records.extend(n.map(|n| Record::SessionEnded { id: self.id.clone(), n }));
        let first = self.kept.next;
        records.iter().for_each(|record| self.kept.apply(record));
        let told = records.len();
        let delivered = (self.kept.next > first).then_some(first);
        let id = self.id.clone();
        let mut plan = self.plan(cx);
        if plan == Plan::DropSession {
            self.session_step(session::Input::Leave, cx);
            // One that was not opened yet is gone at once: nobody will say so.
            plan = self.plan(cx);
        }
        let then = match plan {
            Plan::Wait(wake) => {
                self.wake = wake;
                Then::Go
            }
            Plan::Pin(wake) => {
                self.number = self.kept.sessions + 1;
                self.session_step(session::Input::Want, cx);
                self.wake = wake;
                Then::Go
            }
            Plan::DropSession => Then::Go,
            Plan::Release { opens } => {
                let n = self.number;
                records.extend(opens.then(|| Record::Session { id: id.clone(), n }));
                records.push(Record::Released { id, position: self.kept.next, at: cx.now });
                Then::Send { opens }
            }
            Plan::Decide(verdict) => {
                records.push(Record::Verdict { id, verdict });
                Then::Tell
            }
            // What was answered is in the book before the closing goes out.
            Plan::Close { opens: true } if records.is_empty() => {
                records.push(Record::Session { id, n: self.number });
                Then::Close
            }
            Plan::Close { .. } | Plan::Tell | Plan::Leave { .. } if !records.is_empty() => Then::Go,
            Plan::Close { .. } => {
                self.session_step(session::Input::Close, cx);
                self.head = Head::Closing;
                self.wake = self.session.wake_at();
                return;
            }
            Plan::Tell => return self.decided(cx),
            Plan::Leave { boundary } => return self.leave(boundary, cx),
        };
        if records.is_empty() {
            return;
        }
        records[told..].iter().for_each(|record| self.kept.apply(record));
        let opening = self.opening();
        (self.kept.term, self.kept.mode) = (self.term, Some(self.mode));
        let seq = cx.write(opening.into_iter().chain(records).collect());
        self.head = Head::Writing { seq, delivered, then };
        if then != Then::Go {
            self.wake = None;
        }
        if breaks::on(Break::SendUnwritten) && matches!(then, Then::Send { .. }) {
            self.written(seq, cx);
        }
    }

    fn plan(&mut self, cx: &Context) -> Plan {
        let now = cx.now;
        if self.kept.verdict.is_some() {
            return Plan::Tell;
        }
        if let Some(plan) = self.plan_move(now) {
            return plan;
        }
        let by = self.moving.as_ref().map(|moving| moving.by);
        match self.plan_next(cx) {
            Plan::Wait(wake) => Plan::Wait(earlier(wake, by)),
            Plan::Pin(wake) => Plan::Pin(earlier(wake, by)),
            plan => plan,
        }
    }

    /// Whether this is a boundary at which the settlement can leave; `None`: it goes on here for now.
    fn plan_move(&self, now: Micros) -> Option<Plan> {
        let moving = self.moving.as_ref()?;
        if now >= moving.by {
            return Some(Plan::Leave { boundary: false });
        }
        let stays = match self.mode {
            Mode::Session { resume: Resume::Never, .. } => self.kept.is_under_way(),
            _ => false,
        };
        match self.session.state() {
            _ if stays => None,
            session::State::None if self.handing.is_empty() => Some(Plan::Leave { boundary: true }),
            session::State::None | session::State::Dropping => Some(Plan::Wait(Some(moving.by))),
            _ => Some(Plan::DropSession),
        }
    }

    fn plan_next(&mut self, cx: &Context) -> Plan {
        let now = cx.now;
        let at = self.kept.next;
        let broken = |cause| Plan::Decide(Verdict::Broken { at, cause });
        let is_whole = at > 1 && self.kept.of == Some(at - 1);
        if let Some(held) = self.kept.hands.get(&at) {
            let cause = match held.end {
                Some(End::Failed) => Some(Cause::Failed),
                Some(End::OutOfTime) => Some(Cause::OutOfTime),
                Some(End::MayHaveRun) => Some(Cause::MayHaveRun),
                _ if !self.kept.may_go(held, now) => Some(Cause::MayHaveRun),
                _ if now >= held.hand.deadline && held.first.is_some() => Some(Cause::MayHaveRun),
                _ if now >= held.hand.deadline => Some(Cause::OutOfTime),
                _ => None,
            };
            if let Some(cause) = cause {
                if breaks::on(Break::AfterBreak) && self.kept.hands.contains_key(&(at + 1)) {
                    self.kept.next += 1;
                    return self.plan_next(cx);
                }
                return broken(cause);
            }
        }
        if self.has_no_more_sessions() {
            return broken(if is_whole { Cause::Unconfirmed } else { Cause::SessionLost });
        }
        if is_whole {
            return match self.mode {
                Mode::Message => Plan::Decide(Verdict::Closed { of: at - 1 }),
                _ if breaks::on(Break::ClosedEarly) => Plan::Decide(Verdict::Closed { of: at - 1 }),
                Mode::Session { .. } => match self.touched.saturating_add(cx.limits.idle) {
                    idle if now >= idle && !self.session.is_open() => broken(Cause::Unconfirmed),
                    idle => match self.plan_session(now, None) {
                        Plan::Wait(wake) => Plan::Wait(earlier(wake, Some(idle))),
                        Plan::Pin(wake) => Plan::Pin(earlier(wake, Some(idle))),
                        plan => plan,
                    },
                },
            };
        }
        let Some(held) = self.kept.hands.get(&at) else { return self.plan_missing(cx) };
        let by = self.kept.by(held);
        if now < self.rest {
            return Plan::Wait(Some(self.rest.min(by)));
        }
        match self.mode {
            Mode::Message => Plan::Release { opens: false },
            Mode::Session { .. } => self.plan_session(now, Some(by)),
        }
    }

    /// A session was lost, and the partner takes no other.
    fn has_no_more_sessions(&self) -> bool {
        let Mode::Session { resume, .. } = self.mode else { return false };
        let is_refused = resume == Resume::Never && self.kept.is_under_way();
        let is_none = matches!(self.session.state(), session::State::None | session::State::Dropping);
        is_none && self.kept.sessions > 0 && (is_refused || self.kept.sessions >= SESSIONS_MAX)
    }

    /// `by`: a position is to be sent until then; `None`: the closing is.
    fn plan_session(&self, now: Micros, by: Option<Micros>) -> Plan {
        let go = |opens| match by {
            Some(_) => Plan::Release { opens },
            None => Plan::Close { opens },
        };
        match self.session.state() {
            session::State::Open => go(false),
            session::State::Pinned => go(true),
            session::State::Waiting | session::State::Closing { .. } | session::State::Dropping => {
                Plan::Wait(by)
            }
            session::State::None if self.kept.session.is_some() && now < self.not_before => {
                Plan::Wait(earlier(Some(self.not_before), by))
            }
            session::State::None => Plan::Pin(by),
        }
    }

    /// The next position is not there.
    fn plan_missing(&mut self, cx: &Context) -> Plan {
        let at = self.kept.next;
        let handed = self.handing.values().filter_map(|handing| handing.ask.hand());
        if handed.into_iter().any(|hand| hand.position == at) {
            return Plan::Wait(None);
        }
        let broken = |cause| Plan::Decide(Verdict::Broken { at, cause });
        match self.earliest_deadline() {
            Some(_) if breaks::on(Break::SkipHole) => {
                let first = self.kept.hands.iter().find(|(_, held)| held.end.is_none());
                self.kept.next = first.map_or(at, |(position, _)| *position);
                self.plan_next(cx)
            }
            Some(deadline) if cx.now >= deadline => broken(Cause::Missing),
            Some(deadline) => Plan::Wait(Some(deadline)),
            None if !self.handing.is_empty() => Plan::Wait(None),
            None => match self.touched.saturating_add(cx.limits.idle) {
                idle if cx.now >= idle => broken(Cause::Idle),
                idle => Plan::Wait(Some(idle)),
            },
        }
    }

    /// The verdict is in the book: everyone is told.
    fn decided(&mut self, cx: &mut Context) {
        let ended = self.kept.hands.iter().filter(|(_, held)| held.end != Some(End::Delivered));
        let ended: Vec<u64> = ended.map(|(position, _)| *position).collect();
        ended.into_iter().for_each(|position| self.tell(position, cx));
        self.session_step(session::Input::Leave, cx);
        self.close(cx);
    }

    fn close(&mut self, cx: &mut Context) {
        let Some(verdict) = self.kept.verdict else { return };
        let again = cx.now.saturating_add(AGAIN);
        self.head = Head::Decided { again };
        self.wake = Some(again);
        let until = cx.now.saturating_add(cx.limits.remember);
        let id = self.id.clone();
        cx.outputs.push(Output::Agree(Command::Close { id, term: self.term, verdict, until }));
    }

    /// Asks for the move; nothing is done here from now on, or the taker's records would not be all.
    fn leave(&mut self, boundary: bool, cx: &mut Context) {
        let taker = self.moving.as_ref().and_then(|moving| agreed::taker(&self.id, &moving.takers));
        let Some(Book { courier, epoch }) = taker.cloned() else {
            self.moving = None;
            return self.go(Vec::new(), cx);
        };
        self.session_step(session::Input::Leave, cx);
        let again = cx.now.saturating_add(AGAIN);
        self.wake = Some(again);
        if !breaks::on(Break::ReleaseInMove) {
            self.head = Head::Leaving { boundary, again };
        }
        let (id, term) = (self.id.clone(), self.term);
        cx.outputs.push(Output::Agree(Command::Move { id, term, to: courier, to_epoch: epoch, boundary }));
        if breaks::on(Break::ReleaseInMove) {
            self.moving = None;
            self.go(Vec::new(), cx);
        }
    }

    fn session_lost(&mut self, cx: &mut Context) {
        let was_out = matches!(self.head, Head::Out { .. });
        self.session_step(session::Input::Lost, cx);
        self.lost = Some(self.number);
        match self.head {
            _ if was_out => self.outcome(Outcome::MayHaveRun, cx),
            Head::Closing => {
                self.head = Head::Idle;
                self.go(Vec::new(), cx);
            }
            _ => self.go(Vec::new(), cx),
        }
    }

    fn fetched(&mut self, kept: Kept, cx: &mut Context) {
        if !matches!(self.head, Head::Fetching { .. }) {
            return;
        }
        self.kept = kept;
        self.kept.term = self.term;
        self.kept.take_over();
        self.mode = *self.kept.mode.get_or_insert(self.mode);
        if let (Mode::Session { linger, .. }, Some(_)) = (self.mode, self.kept.session)
            && !breaks::on(Break::NoLinger)
        {
            self.not_before = cx.now.saturating_add(linger);
        }
        self.touched = cx.now;
        let kept = Box::new(self.kept.clone());
        let seq = cx.write(vec![Record::Copy { id: self.id.clone(), kept }]);
        self.head = Head::Writing { seq, delivered: None, then: Then::Up };
        self.wake = None;
    }

    fn tick(&mut self, home: &agreed::Home, cx: &mut Context) {
        let again = cx.now.saturating_add(AGAIN);
        if self.up.is_some_and(|up| cx.now >= up) {
            self.up = (!home.books.is_empty()).then_some(again);
            if self.up.is_some() {
                cx.outputs.push(Output::Agree(Command::Up { id: self.id.clone(), term: self.term }));
            }
        }
        match self.head {
            Head::Fetching { again } if cx.now >= again => self.fetch(home, cx),
            Head::Decided { again } if cx.now >= again => self.close(cx),
            Head::Leaving { boundary, again } if cx.now >= again => self.leave(boundary, cx),
            Head::Out { .. } if self.is_overdue(cx.now) => self.leave(false, cx),
            Head::Closing => {
                self.session_step(session::Input::Tick, cx);
                self.wake = self.session.wake_at();
            }
            Head::Idle => self.go(Vec::new(), cx),
            _ => {}
        }
    }

    fn is_overdue(&self, now: Micros) -> bool {
        self.moving.as_ref().is_some_and(|moving| now >= moving.by)
    }

    fn fetch(&mut self, home: &agreed::Home, cx: &mut Context) {
        let again = cx.now.saturating_add(AGAIN);
        self.head = Head::Fetching { again };
        self.wake = Some(again);
        // This book has what an earlier life as its home wrote, or an earlier try to read the others.
        let own = Book { courier: cx.me.into(), epoch: home.epoch };
        let books = home.books.iter().cloned().chain([own]).collect();
        cx.outputs.push(Output::Fetch { id: self.id.clone(), term: self.term, books });
    }

    /// Tries another taker; true: there is none, and the settlement has to go on here.
    fn not_moved(&mut self, to: &Book, cx: &mut Context) -> bool {
        if let Some(moving) = &mut self.moving {
            moving.takers.retain(|taker| taker != to);
        }
        let Head::Leaving { boundary, .. } = self.head else { return false };
        let is_last = self.moving.as_ref().is_none_or(|moving| moving.takers.is_empty());
        if !is_last {
            self.leave(boundary, cx);
        }
        is_last
    }

    fn drain(&mut self, takers: &[Book], by: Micros, cx: &mut Context) {
        self.moving = Some(Moving { takers: takers.to_vec(), by });
        match self.head {
            Head::Idle => self.go(Vec::new(), cx),
            Head::Out { .. } => self.wake = Some(by),
            _ => {}
        }
    }

    fn wake_at(&self) -> Option<Micros> {
        let wake = match self.head {
            Head::Writing { .. } => None,
            _ => self.wake,
        };
        earlier(wake, self.up)
    }
}

/// The settlements of one courier in one registration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Homes {
    me: String,
    epoch: u64,
    limits: Limits,
    modes: BTreeMap<u64, Mode>,
    budgets: BTreeMap<(String, u64), u32>,
    settlements: BTreeMap<SettlementId, Settlement>,
    /// By tenant: messages that wait, and their bytes.
    loads: BTreeMap<String, (u64, u64)>,
    pins: BTreeMap<(String, u64), Pins>,
    /// Sessions of settlements that are over or elsewhere, until their connections are gone.
    dropping: BTreeSet<Holder>,
    due: BTreeSet<(Micros, SettlementId)>,
    writes: BTreeMap<u64, SettlementId>,
    seq: u64,
    draining: Option<Moving>,
    /// That this courier stays is to be agreed on.
    staying: Option<Micros>,
    is_sealed: bool,
}

impl Homes {
    pub fn new(me: &str, epoch: u64, limits: Limits) -> Homes {
        Homes {
            me: me.into(),
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
            staying: None,
            is_sealed: false,
        }
    }

    /// How a partner wants the settlements that are opened from now on.
    pub fn set_mode(&mut self, dest: u64, mode: Mode) {
        self.modes.insert(dest, mode);
    }

    /// Connections that a tenant may have at a partner, here; half of them may be pinned.
    pub fn set_budget(&mut self, tenant: &str, dest: u64, budget: u32) -> Vec<Output> {
        let key = (tenant.to_string(), dest);
        self.budgets.insert(key.clone(), budget);
        let granted = self.pins.get_mut(&key).map(|pins| pins.set_budget(budget)).unwrap_or_default();
        granted.into_iter().map(|(id, session)| Output::Pin { id, session }).collect()
    }

    /// When an [`Input::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        earlier(self.due.first().map(|(at, _)| *at), self.staying)
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

    pub fn step(&mut self, agreed: &Agreed, input: Input, now: Micros) -> Vec<Output> {
        if self.is_sealed {
            return self.after_seal(input);
        }
        let mut outputs = Vec::new();
        match input {
            Input::Agreed(event) => self.agreed(agreed, event, now, &mut outputs),
            Input::Snapshot => self.snapshot(agreed, now, &mut outputs),
            Input::Fetched { id, term, books } => {
                let kept = Kept::read(&id, &books);
                self.run(agreed, &id, now, &mut outputs, |s, _, cx| {
                    if s.term == term {
                        s.fetched(kept, cx);
                    }
                });
            }
            Input::Unreadable { id, term } => self.run(agreed, &id, now, &mut outputs, |s, _, cx| {
                let lost = Verdict::Broken { at: 0, cause: Cause::RecordsLost };
                if s.term == term {
                    s.fetched(Kept { verdict: Some(lost), ..Kept::default() }, cx);
                }
            }),
            Input::Ask { from, id, ask } => {
                let room = self.room(&id, ask.hand().map_or(0, |hand| hand.size), now);
                self.run(agreed, &id, now, &mut outputs, |s, _, cx| {
                    cx.room = room;
                    s.ask(&from, ask, cx);
                });
            }
            Input::Written { seq } => {
                if let Some(id) = self.writes.remove(&seq) {
                    self.run(agreed, &id, now, &mut outputs, |s, _, cx| s.written(seq, cx));
                }
            }
            Input::Unwritten { seq } => {
                if let Some(id) = self.writes.remove(&seq) {
                    self.run(agreed, &id, now, &mut outputs, |s, _, cx| s.unwritten(seq, cx));
                }
            }
            Input::Outcome { id, attempt, outcome, lost } => {
                self.run(agreed, &id, now, &mut outputs, |s, _, cx| {
                    if s.head != (Head::Out { attempt }) {
                        return;
                    }
                    if lost && s.session.is_open() {
                        s.forget_session(cx);
                    }
                    s.outcome(outcome, cx);
                });
            }
            Input::SessionLost { id, session } => {
                if self.dropping.remove(&(id.clone(), session)) {
                    self.unpin(&id, session, &mut outputs);
                }
                self.run(agreed, &id, now, &mut outputs, |s, _, cx| {
                    let is_live = s.session.is_open() || s.session.state() == session::State::Dropping;
                    if s.number == session && is_live {
                        s.session_lost(cx);
                    }
                });
            }
            Input::Confirmed { id, session } => self.run(agreed, &id, now, &mut outputs, |s, _, cx| {
                if s.number == session && s.head == Head::Closing && s.session.is_open() {
                    s.session_step(session::Input::Confirmed, cx);
                    s.lost = Some(session);
                    s.head = Head::Idle;
                    let verdict = Verdict::Closed { of: s.kept.next - 1 };
                    s.go(vec![Record::Verdict { id: s.id.clone(), verdict }], cx);
                }
            }),
            Input::Pinned { id, session } => {
                let mut is_wanted = false;
                self.run(agreed, &id, now, &mut outputs, |s, _, cx| {
                    is_wanted = s.number == session && s.session.state() == session::State::Waiting;
                    if is_wanted {
                        s.session_step(session::Input::Pinned, cx);
                        s.go(Vec::new(), cx);
                    }
                });
                let holder = (id, session);
                let key = (holder.0.tenant.clone(), holder.0.dest);
                let is_known = self.pins.get(&key).is_some_and(|pins| pins.holds(&holder));
                if !is_wanted && !is_known {
                    outputs.push(Output::Unpin { id: holder.0, session });
                }
            }
            Input::Drain { takers, by } => {
                self.draining = Some(Moving { takers: takers.clone(), by });
                let ids: Vec<SettlementId> = self.settlements.keys().cloned().collect();
                for id in ids {
                    self.run(agreed, &id, now, &mut outputs, |s, _, cx| s.drain(&takers, by, cx));
                }
            }
            Input::Undrain => {
                self.draining = None;
                for settlement in self.settlements.values_mut() {
                    if !matches!(settlement.head, Head::Leaving { .. }) {
                        settlement.moving = None;
                    }
                }
                self.stay(agreed, now, &mut outputs);
            }
            Input::Sealed => self.seal(&mut outputs),
            Input::Tick => self.tick(agreed, now, &mut outputs),
        }
        outputs
    }

    /// Only connections that still are to go matter then.
    fn after_seal(&mut self, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::SessionLost { id, session } if self.dropping.remove(&(id.clone(), session)) => {
                outputs.push(Output::Unpin { id, session });
            }
            Input::Pinned { id, session } => outputs.push(Output::Unpin { id, session }),
            _ => {}
        }
        outputs
    }

    fn seal(&mut self, outputs: &mut Vec<Output>) {
        self.is_sealed = true;
        let ids: Vec<SettlementId> = self.settlements.keys().cloned().collect();
        ids.iter().for_each(|id| self.remove(id, outputs));
        self.writes.clear();
        self.staying = None;
    }

    fn tick(&mut self, agreed: &Agreed, now: Micros, outputs: &mut Vec<Output>) {
        let due: Vec<SettlementId> =
            self.due.iter().take_while(|(at, _)| *at <= now).map(|(_, id)| id.clone()).collect();
        for id in due {
            self.run(agreed, &id, now, outputs, |s, home, cx| s.tick(home, cx));
        }
        if self.staying.is_some_and(|at| now >= at) {
            self.stay(agreed, now, outputs);
        }
    }

    /// Says so until it is agreed on.
    fn stay(&mut self, agreed: &Agreed, now: Micros, outputs: &mut Vec<Output>) {
        let is_leaving = self.draining.is_none() && agreed.is_leaving(&self.me, self.epoch);
        self.staying = is_leaving.then(|| now.saturating_add(AGAIN));
        if is_leaving {
            let (courier, epoch) = (self.me.clone(), self.epoch);
            outputs.push(Output::Agree(Command::Stay { courier, epoch }));
        }
    }

    fn is_me(&self, book: &Book) -> bool {
        book.courier == self.me && book.epoch == self.epoch
    }

    fn agreed(&mut self, agreed: &Agreed, event: Event, now: Micros, outputs: &mut Vec<Output>) {
        match event {
            Event::Opened { id, home, term } if self.is_me(&home) => {
                let mode = self.modes.get(&id.dest).copied().unwrap_or_default();
                let mut fresh = Settlement::new(id.clone(), term, mode, Head::Idle, now);
                fresh.moving = self.draining.clone();
                self.settlements.entry(id.clone()).or_insert(fresh);
                self.run(agreed, &id, now, outputs, |s, _, cx| s.go(Vec::new(), cx));
            }
            Event::Moved { id, from, to, .. } => {
                if self.is_me(&from) {
                    self.remove(&id, outputs);
                }
                if self.is_me(&to) {
                    self.take(agreed, &id, now, outputs);
                }
            }
            Event::NotMoved { id, term, to } => {
                if let Some(draining) = &mut self.draining {
                    draining.takers.retain(|taker| *taker != to);
                }
                let mut stays = false;
                self.run(agreed, &id, now, outputs, |s, _, cx| {
                    stays = s.term == term && s.not_moved(&to, cx);
                });
                // The book has all that is known here, and what was ignored since may be in it too.
                if stays {
                    self.remove(&id, outputs);
                    self.take(agreed, &id, now, outputs);
                }
            }
            Event::Up { id, books } => {
                let was_here = books.iter().any(|book| self.is_me(book));
                let is_here = agreed.home(&id).is_some_and(|home| home.is(&self.me, self.epoch));
                if was_here && !is_here {
                    outputs.push(Output::Forget { id });
                }
            }
            Event::Closed { id, home, .. } if self.is_me(&home) => {
                self.remove(&id, outputs);
                outputs.push(Output::Forget { id });
            }
            Event::Opened { .. } | Event::NotOpened { .. } | Event::Closed { .. } => {}
        }
    }

    /// This courier is home now, and reads what earlier ones wrote.
    fn take(&mut self, agreed: &Agreed, id: &SettlementId, now: Micros, outputs: &mut Vec<Output>) {
        let Some(home) = agreed.home(id).filter(|home| home.is(&self.me, self.epoch)) else { return };
        self.remove(id, outputs);
        let mode = self.modes.get(&id.dest).copied().unwrap_or_default();
        let mut taken = Settlement::new(id.clone(), home.term, mode, Head::Fetching { again: now }, now);
        taken.moving = self.draining.clone();
        self.settlements.insert(id.clone(), taken);
        self.run(agreed, id, now, outputs, |s, home, cx| s.fetch(home, cx));
    }

    fn snapshot(&mut self, agreed: &Agreed, now: Micros, outputs: &mut Vec<Output>) {
        let (me, epoch) = (self.me.clone(), self.epoch);
        let is_here = |id: &SettlementId, term| {
            agreed.home(id).is_some_and(|home| home.is(&me, epoch) && home.term == term)
        };
        let gone: Vec<SettlementId> = self
            .settlements
            .iter()
            .filter(|(id, s)| !is_here(id, s.term))
            .map(|(id, _)| id.clone())
            .collect();
        gone.iter().for_each(|id| self.remove(id, outputs));
        let theirs = agreed.homes().filter(|(_, home)| home.is(&me, epoch));
        let new: Vec<SettlementId> =
            theirs.map(|(id, _)| id.clone()).filter(|id| !self.settlements.contains_key(id)).collect();
        new.iter().for_each(|id| self.take(agreed, id, now, outputs));
    }

    fn remove(&mut self, id: &SettlementId, outputs: &mut Vec<Output>) {
        let Some(mut settlement) = self.settlements.remove(id) else { return };
        settlement.wake_at().into_iter().for_each(|at| {
            self.due.remove(&(at, id.clone()));
        });
        let head = match settlement.head {
            Head::Writing { seq, .. } => Some(seq),
            _ => None,
        };
        settlement.handing.keys().copied().chain(head).for_each(|seq| {
            self.writes.remove(&seq);
        });
        self.change_load(id, settlement.load(), (0, 0));
        let n = settlement.number;
        match settlement.session.state() {
            session::State::None => {}
            session::State::Dropping => {
                self.dropping.insert((id.clone(), n));
            }
            _ => match settlement.session.step(session::Input::Leave, 0) {
                session::Output::Drop => {
                    outputs.push(Output::Drop { id: id.clone(), session: n });
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

    fn pin(&mut self, id: &SettlementId, session: u32, outputs: &mut Vec<Output>) {
        let key = (id.tenant.clone(), id.dest);
        let budget = self.budgets.get(&key).copied().unwrap_or(0);
        let pins = self.pins.entry(key).or_insert_with(|| Pins::new(budget));
        let granted = pins.ask((id.clone(), session));
        outputs.extend(granted.into_iter().map(|(id, session)| Output::Pin { id, session }));
    }

    fn unpin(&mut self, id: &SettlementId, session: u32, outputs: &mut Vec<Output>) {
        let key = (id.tenant.clone(), id.dest);
        let holder = (id.clone(), session);
        let Some(pins) = self.pins.get_mut(&key) else { return };
        let was_held = pins.holds(&holder);
        let granted = pins.release(&holder);
        if pins.is_unused() {
            self.pins.remove(&key);
        }
        if was_held {
            outputs.push(Output::Unpin { id: id.clone(), session });
        }
        outputs.extend(granted.into_iter().map(|(id, session)| Output::Pin { id, session }));
    }

    /// Whether the tenant may have one more message waiting, of this size.
    fn room(&self, id: &SettlementId, size: u64, now: Micros) -> Result<(), TooMuch> {
        let (held, bytes) = self.loads.get(&id.tenant).copied().unwrap_or_default();
        if held < self.limits.tenant_count && bytes + size <= self.limits.tenant_bytes {
            return Ok(());
        }
        let first = SettlementId { tenant: id.tenant.clone(), name: String::new(), dest: 0 };
        let theirs = self.settlements.range(first..).take_while(|(one, _)| one.tenant == id.tenant);
        let soonest = theirs.filter_map(|(_, s)| s.earliest_deadline()).min();
        Err(TooMuch { held, bytes, after: soonest.unwrap_or(now).saturating_sub(now).max(REST) })
    }

    /// Lets one settlement act, if this courier is its home.
    fn run(
        &mut self,
        agreed: &Agreed,
        id: &SettlementId,
        now: Micros,
        outputs: &mut Vec<Output>,
        act: impl FnOnce(&mut Settlement, &agreed::Home, &mut Context),
    ) {
        let Some(home) = agreed.home(id).filter(|home| home.is(&self.me, self.epoch)) else { return };
        let Some(settlement) = self.settlements.get_mut(id).filter(|s| s.term == home.term) else { return };
        let (was, woke) = (settlement.load(), settlement.wake_at());
        let mut cx = Context {
            limits: &self.limits,
            me: &self.me,
            now,
            seq: &mut self.seq,
            budget: self.budgets.get(&(id.tenant.clone(), id.dest)).copied().unwrap_or(0),
            room: Ok(()),
            outputs: Vec::new(),
            pins: Vec::new(),
        };
        act(settlement, home, &mut cx);
        let (is, wakes) = (settlement.load(), settlement.wake_at());
        let Context { outputs: done, pins, .. } = cx;
        if woke != wakes {
            woke.into_iter().for_each(|at| {
                self.due.remove(&(at, id.clone()));
            });
            self.due.extend(wakes.map(|at| (at, id.clone())));
        }
        for output in &done {
            if let Output::Write { seq, .. } = output {
                self.writes.insert(*seq, id.clone());
            }
        }
        outputs.extend(done);
        self.change_load(id, was, is);
        for step in pins {
            match step {
                PinStep::Ask(n) => self.pin(id, n, outputs),
                PinStep::Release(n) => self.unpin(id, n, outputs),
            }
        }
    }
}
