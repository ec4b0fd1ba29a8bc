//! Settlements on sockets: a consumer's message of one goes to its home, the home writes it down, and hands
//! its router one position after the other.
//!
//! The machines are `quillmount_fleet::settlement`'s. Whatever they want done waits until all that the
//! journal has by then is at its copies ([`Settling::act`]), in the order in which they want it.

use super::Fleet;
use crate::transport::courier::{Courier, HandIn};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use quillmount_core::journal::{
    End as Ended, JournalError, JournalRecord as Line, SettlementLine, Settlements,
};
use quillmount_core::router::Intake;
use quillmount_core::{Ending, Submission};
use quillmount_fleet::member;
use quillmount_fleet::message::Message as Envelope;
use quillmount_fleet::plan::Name;
use quillmount_fleet::settlement::forward::{self, ASK_AGAIN};
use quillmount_fleet::settlement::home::{AGAIN, Input, Output};
use quillmount_fleet::settlement::lines::{Parcel, Written, name_of, outcome_of, outcomes};
use quillmount_fleet::settlement::{
    Ask, Book, Desk, End, Error, Event, Hand, Homes, Kept, Limits, Message, Outcome, Record, Repeat,
    SettlementId, Word, translator,
};
use quillmount_fleet::state::{BookId, Epoch, Part, Source, part_of};
use quillmount_protocol::submission;
use spurshore::Micros;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};

/// Advice with the notice of a message whose settlement broke before its turn: it may be handed in with
/// another at once.
const BROKEN_WAIT: Micros = 1_000_000;

/// A message that its consumer waits for the home's word on.
struct Asked {
    id: SettlementId,
    ask: Ask,
    parcel: Parcel,
    answer: oneshot::Sender<Word>,
}

/// What is done once the journal is where it has to be.
enum Todo {
    Written(u64),
    Do(Box<Output>),
}

struct State {
    homes: Homes,
    desk: Desk,
    /// What the journal has of settlements.
    lines: Settlements,
    parcels: BTreeMap<(SettlementId, u64), Parcel>,
    todo: VecDeque<Todo>,
    /// Commands that a consumer's message asks for.
    wanted: VecDeque<quillmount_fleet::settlement::Command>,
    /// Records that the store has refused, to be written again.
    unwritten: Vec<(u64, SettlementId, Vec<Line>)>,
    write_at: Micros,
    asked: BTreeMap<u64, Asked>,
    ticket: u64,
    /// Messages that the router has, by id, and whose attempt that is.
    out: BTreeMap<String, (SettlementId, u64)>,
    /// Settlements whose earlier books are not here yet.
    fetching: BTreeMap<SettlementId, (u64, Vec<Book>)>,
}

/// A courier's part in settlements.
pub struct Settling {
    fleet: Rc<Fleet>,
    courier: Rc<Courier>,
    me: Name,
    epoch: Epoch,
    /// Partners whose settlements are carried.
    dests: BTreeSet<u64>,
    state: RefCell<State>,
    more: Notify,
    moved: Notify,
}

impl Settling {
    /// Goes on from what the journal has; the fleet hands in what is agreed and said from here on.
    pub fn start(
        fleet: &Rc<Fleet>,
        courier: &Rc<Courier>,
        me: Name,
        epoch: Epoch,
        dests: BTreeSet<u64>,
        lines: Settlements,
    ) -> Rc<Settling> {
        let state = State {
            homes: Homes::new(&me, epoch, Limits::default()),
            desk: Desk::new(&me, epoch),
            lines,
            parcels: BTreeMap::new(),
            todo: VecDeque::new(),
            wanted: VecDeque::new(),
            unwritten: Vec::new(),
            write_at: Micros::MAX,
            asked: BTreeMap::new(),
            ticket: 0,
            out: BTreeMap::new(),
            fetching: BTreeMap::new(),
        };
        let settling = Rc::new(Settling {
            fleet: fleet.clone(),
            courier: courier.clone(),
            me,
            epoch,
            dests,
            state: RefCell::new(state),
            more: Notify::new(),
            moved: Notify::new(),
        });
        let (hand_in, ends) = (settling.clone(), settling.clone());
        courier.settle_with(
            Box::new(move |submission, addressing| hand_in.clone().hand_in(submission, addressing)),
            Box::new(move |id, end| ends.ended(id, end)),
        );
        settling.homes(Input::Snapshot, None);
        actix_rt::spawn(settling.clone().act());
        actix_rt::spawn(settling.clone().propose());
        actix_rt::spawn(settling.clone().keep_time());
        settling
    }

    fn now(&self) -> Micros {
        self.courier.clock.now()
    }

    /// What is agreed has changed.
    pub fn agreed(&self, event: Event) {
        match &event {
            Event::Opened { id, home, .. } if home.courier == self.me => {
                tracing::info!("settlement: {} has its home here", id.at(0));
            }
            Event::Closed { id, home, verdict } if home.courier == self.me => {
                tracing::info!("settlement: {} is {verdict}", id.at(0));
            }
            _ => {}
        }
        self.homes(Input::Agreed(event.clone()), None);
        self.desk(forward::Input::Agreed(event));
    }

    /// What is agreed came as a whole.
    pub fn snapshot(&self) {
        self.homes(Input::Snapshot, None);
    }

    /// The book is another's: nothing more is done here.
    pub fn replaced(&self) {
        self.homes(Input::Sealed, None);
        self.state.borrow_mut().todo.clear();
    }

    /// Another courier asks, or answers.
    pub fn heard(&self, from: Name, message: Message, parcel: &Bytes) {
        match message {
            Message::Ask { id, ask } => {
                // One that can't be read is of another version, and its consumer is told to come again.
                let Ok(parcel) = postcard::from_bytes::<Option<Parcel>>(parcel) else { return };
                self.homes(Input::Ask { from, id, ask }, parcel);
            }
            Message::Word { id, ask, word } => self.desk(forward::Input::Word { id, ask, word }),
        }
    }

    /// A consumer's message; `None`: it is of no settlement that is carried.
    fn hand_in(self: Rc<Self>, submission: &Submission, addressing: &str) -> Option<HandIn> {
        if !self.dests.contains(&submission.dest) {
            return None;
        }
        let now_refused =
            |response: Response<Bytes>| -> Option<HandIn> { Some(Box::pin(std::future::ready(response))) };
        let tenant = submission.tenant.clone().unwrap_or_default();
        let mark = match translator::read(&tenant, addressing) {
            Ok(mark) => mark?,
            Err(error) => return now_refused(refusal(&error)),
        };
        let id = SettlementId { tenant, name: mark.settlement, dest: submission.dest };
        let Some(position) = mark.position else {
            return now_refused(refusal(&Error::Field { at: id.at(0), field: "position".into() }));
        };
        if let Some(intake) = self.courier.refuses(submission) {
            return now_refused(submission::answer(intake));
        }
        if let Some(Err(after)) = self.courier.gate.as_ref().map(|gate| gate.takes_on()) {
            self.courier.count(|c| c.rejected += 1);
            return now_refused(submission::answer(Intake::Rejected { after }));
        }
        let parcel = Parcel::of(submission);
        let hand = Hand {
            position,
            of: mark.of,
            msg: submission.id.clone(),
            // An attempt here is the handing to the router, which knows the message by its id, and its rules:
            // it repeats no debit that may have run, however often it is handed one.
            repeat: Repeat::Freely,
            deadline: self.now().saturating_add(submission.time_left),
            size: parcel.body.len() as u64,
            print: parcel.print(),
        };
        let ask = Ask::Hand(hand);
        let (answer, word) = oneshot::channel();
        let ticket = {
            let mut state = self.state.borrow_mut();
            state.ticket += 1;
            let ticket = state.ticket;
            state.asked.insert(ticket, Asked { id: id.clone(), ask: ask.clone(), parcel, answer });
            ticket
        };
        self.desk(forward::Input::Ask { ticket, id, ask });
        Some(Box::pin(async move {
            let word = word.await;
            let refused = |after| {
                self.courier.count(|c| c.rejected += 1);
                submission::answer(Intake::Rejected { after })
            };
            match word {
                Ok(Word::TakenOn) => submission::answer(Intake::Accepted),
                Ok(Word::Ended(End::Delivered)) => submission::answer(Intake::Delivered),
                Ok(Word::Ended(_)) => submission::answer(Intake::Failed),
                Ok(Word::Refused(error)) => refusal(&error),
                Err(_) => refused(ASK_AGAIN),
            }
        }))
    }

    fn desk(&self, input: forward::Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let outputs = {
                let member = self.fleet.member.borrow();
                self.state.borrow_mut().desk.step(&member.agreed().settlements, input, self.now())
            };
            for output in outputs {
                match output {
                    forward::Output::Send { to, message } => self.ask(to, message),
                    forward::Output::Agree(command) => self.state.borrow_mut().wanted.push_back(command),
                    forward::Output::Answer { ticket, word } => {
                        let asked = self.state.borrow_mut().asked.remove(&ticket);
                        // A consumer that has gone hears nothing.
                        asked.map(|asked| asked.answer.send(word));
                    }
                }
            }
        }
        self.more.notify_waiters();
        self.moved.notify_one();
    }

    /// Asks a settlement's home, which may be this courier.
    fn ask(&self, to: Name, message: Message) {
        let Message::Ask { id, ask } = &message else { return };
        let parcel = {
            let state = self.state.borrow();
            let mine = state.asked.values().find(|asked| asked.id == *id && asked.ask.key() == ask.key());
            mine.map(|asked| asked.parcel.clone())
        };
        if to == self.me {
            return self.homes(Input::Ask { from: to, id: id.clone(), ask: ask.clone() }, parcel);
        }
        let parcel = Bytes::from(postcard::to_allocvec(&parcel).unwrap_or_default());
        self.send(&to, message, parcel);
    }

    fn send(&self, to: &str, message: Message, parcel: Bytes) {
        if let Some(link) = self.fleet.links.get(to) {
            link.send(Envelope::Settlement { message: Box::new(message), parcel });
        }
    }

    /// `parcel`: of the message that is asked about.
    fn homes(&self, input: Input, parcel: Option<Parcel>) {
        let outputs = {
            let member = self.fleet.member.borrow();
            self.state.borrow_mut().homes.step(&member.agreed().settlements, input, self.now())
        };
        for output in outputs {
            match output {
                Output::Write { seq, records } => self.write(seq, records, parcel.as_ref()),
                output => self.state.borrow_mut().todo.push_back(Todo::Do(Box::new(output))),
            }
        }
        self.more.notify_waiters();
        self.moved.notify_one();
    }

    fn write(&self, seq: u64, records: Vec<Record>, parcel: Option<&Parcel>) {
        let Some(id) = records.first().map(|record| record.id().clone()) else { return };
        let may_wait = records.iter().all(|record| {
            matches!(record, Record::Opened { .. } | Record::HandIn { .. } | Record::Count { .. })
        });
        let mut written = Vec::new();
        for record in records {
            match (record, parcel) {
                (Record::HandIn { id, hand }, Some(parcel)) => {
                    let mut state = self.state.borrow_mut();
                    // The first one handed in stands.
                    state.parcels.entry((id.clone(), hand.position)).or_insert_with(|| parcel.clone());
                    written.push(Written::HandIn(Record::HandIn { id, hand }, parcel.clone()));
                }
                (Record::Copy { id, kept }, _) => {
                    let state = self.state.borrow();
                    let open = kept.hands.iter().filter(|(_, held)| held.end != Some(End::Delivered));
                    let open: Vec<u64> = open.map(|(position, _)| *position).collect();
                    written.push(Written::Record(Record::Copy { id: id.clone(), kept }));
                    written.extend(open.into_iter().filter_map(|position| {
                        let parcel = state.parcels.get(&(id.clone(), position))?.clone();
                        Some(Written::Parcel { position, parcel })
                    }));
                }
                (record, _) => written.push(Written::Record(record)),
            }
        }
        let lines: Vec<Line> = written.iter().filter_map(|written| written.line(&id)).collect();
        match self.courier.write_settlement(&lines, may_wait) {
            Ok(()) => self.is_written(seq, &lines),
            Err(e) if may_wait => {
                tracing::warn!("settlement: a message is refused: {e}");
                self.homes(Input::Unwritten { seq }, None);
            }
            Err(e) => {
                tracing::error!("settlement: {e}; written again in {AGAIN} us");
                let mut state = self.state.borrow_mut();
                state.unwritten.push((seq, id, lines));
                state.write_at = self.now().saturating_add(AGAIN);
            }
        }
    }

    fn is_written(&self, seq: u64, lines: &[Line]) {
        let mut state = self.state.borrow_mut();
        lines.iter().for_each(|line| _ = state.lines.apply(line));
        state.todo.push_back(Todo::Written(seq));
    }

    /// The store has refused these before.
    fn write_again(&self) {
        let unwritten = {
            let mut state = self.state.borrow_mut();
            if self.now() < state.write_at {
                return;
            }
            state.write_at = Micros::MAX;
            std::mem::take(&mut state.unwritten)
        };
        for (seq, id, lines) in unwritten {
            if self.courier.write_settlement(&lines, false).is_ok() {
                self.is_written(seq, &lines);
                continue;
            }
            let mut state = self.state.borrow_mut();
            state.unwritten.push((seq, id, lines));
            state.write_at = self.now().saturating_add(AGAIN);
        }
    }

    /// Does what the machine wants, each once all that is written by then is at the copies.
    async fn act(self: Rc<Self>) {
        let Some(gate) = self.courier.gate.clone() else { return };
        loop {
            let more = self.more.notified();
            let todo = self.state.borrow_mut().todo.pop_front();
            let Some(todo) = todo else {
                more.await;
                continue;
            };
            gate.pass(gate.written(), Micros::MAX).await;
            match todo {
                Todo::Written(seq) => self.homes(Input::Written { seq }, None),
                Todo::Do(output) => {
                    if let Err(e) = self.carry_out(*output) {
                        tracing::error!("settlement: an end can't be written: {e}; again in {AGAIN} us");
                        let again = self.now().saturating_add(AGAIN);
                        actix_rt::time::sleep(self.courier.clock.until(again)).await;
                    }
                }
            }
        }
    }

    /// Hands the leader what consumers' messages ask for, outside of whatever brought them.
    async fn propose(self: Rc<Self>) {
        loop {
            let more = self.more.notified();
            let command = self.state.borrow_mut().wanted.pop_front();
            match command {
                Some(command) => self.fleet.step(member::Input::Settlement(command)),
                None => more.await,
            }
        }
    }

    async fn keep_time(self: Rc<Self>) {
        loop {
            let wake = {
                let state = self.state.borrow();
                let write = Some(state.write_at).filter(|at| *at < Micros::MAX);
                [state.homes.wake_at(), state.desk.wake_at(), write].into_iter().flatten().min()
            };
            let moved = self.moved.notified();
            match wake {
                None => moved.await,
                Some(at) if at > self.now() => tokio::select! {
                    () = actix_rt::time::sleep(self.courier.clock.until(at)) => {}
                    () = moved => {}
                },
                Some(_) => {
                    self.write_again();
                    self.homes(Input::Tick, None);
                    self.desk(forward::Input::Tick);
                    // What is due stays so until it is done: others have their turn meanwhile.
                    actix_rt::task::yield_now().await;
                }
            }
        }
    }

    fn carry_out(&self, output: Output) -> Result<(), JournalError> {
        match output {
            Output::Word { to, id, ask, word } if to == self.me => {
                self.desk(forward::Input::Word { id, ask, word });
            }
            Output::Word { to, id, ask, word } => {
                self.send(&to, Message::Word { id, ask, word }, Bytes::new());
            }
            Output::Agree(command) => self.fleet.step(member::Input::Settlement(command)),
            Output::Fetch { id, term, books } => {
                self.state.borrow_mut().fetching.insert(id, (term, books));
                self.fetch();
            }
            Output::Send { id, position, msg, attempt, by, .. } => {
                self.release(id, position, &msg, attempt, by)
            }
            Output::End { id, position, msg, end } => self.tell(id, position, &msg, end)?,
            Output::Forget { id } => self.forget(&id),
            // Message mode has no session.
            Output::Write { .. }
            | Output::Close { .. }
            | Output::Drop { .. }
            | Output::Pin { .. }
            | Output::Unpin { .. } => {}
        }
        Ok(())
    }

    /// A position's turn: from here on the message is the router's, as any other.
    fn release(&self, id: SettlementId, position: u64, msg: &str, attempt: u64, by: Micros) {
        let parcel = self.state.borrow().parcels.get(&(id.clone(), position)).cloned();
        let Some(parcel) = parcel else {
            tracing::error!("settlement: {}: nothing is left of its message", id.at(position));
            return self.outcome(id, attempt, Outcome::Failed);
        };
        let fate = self.courier.watch(msg);
        match fate {
            Ok(Some(end)) => return self.outcome(id, attempt, outcome_of(end)),
            Ok(None) => {
                self.state.borrow_mut().out.insert(msg.into(), (id, attempt));
                return;
            }
            Err(_) => {}
        }
        let now = self.now();
        if now >= by {
            return self.outcome(id, attempt, Outcome::OutOfTime);
        }
        self.state.borrow_mut().out.insert(msg.into(), (id.clone(), attempt));
        let intake = self.courier.submit_promised(parcel.invocation(msg, id.dest, by - now));
        let outcome = match intake {
            Intake::Accepted | Intake::Open => return,
            Intake::Delivered => Outcome::Delivered,
            Intake::Rejected { after } => Outcome::NeverRan { after },
            Intake::Failed | Intake::UnknownClass | Intake::UnknownDest => Outcome::Failed,
        };
        self.courier.unwatch(msg);
        // Its end may have been told already.
        if self.state.borrow_mut().out.remove(msg).is_some() {
            self.outcome(id, attempt, outcome);
        }
    }

    fn outcome(&self, id: SettlementId, attempt: u64, outcome: Outcome) {
        self.homes(Input::Outcome { id, attempt, outcome, lost: false }, None);
    }

    /// The router has ended a message.
    fn ended(&self, msg: &str, end: Ended) {
        let out = self.state.borrow_mut().out.remove(msg);
        if let Some((id, attempt)) = out {
            self.outcome(id, attempt, outcome_of(end));
        }
    }

    /// A message's end: what the router never had gets its notice from here.
    fn tell(&self, id: SettlementId, position: u64, msg: &str, end: End) -> Result<(), JournalError> {
        let ending = match end {
            End::Delivered => {
                self.state.borrow_mut().parcels.remove(&(id, position));
                return Ok(());
            }
            End::NeverRan { .. } | End::OutOfTime => Ending::Deferred(BROKEN_WAIT),
            End::Failed | End::MayHaveRun => Ending::Undeliverable,
        };
        let parcel = self.state.borrow().parcels.get(&(id.clone(), position)).cloned();
        let Some(parcel) = parcel else { return Ok(()) };
        let written = self.courier.end_unsent(parcel.invocation(msg, id.dest, 0), ending);
        if written.is_err() {
            // Told again before anything behind it.
            let again = Output::End { id, position, msg: msg.into(), end };
            self.state.borrow_mut().todo.push_front(Todo::Do(Box::new(again)));
        }
        written
    }

    fn forget(&self, id: &SettlementId) {
        let over = Line::SettlementEnded { of: name_of(id) };
        // Where it can't be written the next life finds the settlement over, and forgets it then.
        if let Err(e) = self.courier.write_settlement(std::slice::from_ref(&over), false) {
            tracing::warn!("settlement: {e}");
        }
        let mut state = self.state.borrow_mut();
        state.lines.apply(&over);
        state.fetching.remove(id);
        state.parcels.retain(|(of, _), _| of != id);
    }

    /// Reads what earlier homes wrote, where all of it is in this journal by now.
    fn fetch(&self) {
        let ready: Vec<(SettlementId, u64)> = {
            let state = self.state.borrow();
            let is_here =
                |(id, (_, books)): &(&SettlementId, &(u64, Vec<Book>))| self.is_here(&state, id, books);
            state.fetching.iter().filter(is_here).map(|(id, (term, _))| (id.clone(), *term)).collect()
        };
        for (id, term) in ready {
            let mut records = Vec::new();
            {
                let mut state = self.state.borrow_mut();
                state.fetching.remove(&id);
                let lines = state.lines.0.get(&name_of(&id)).cloned().unwrap_or_default();
                for written in lines.iter().filter_map(Written::read) {
                    let parcel = match &written {
                        Written::HandIn(Record::HandIn { hand, .. }, parcel) => Some((hand.position, parcel)),
                        Written::Parcel { position, parcel } => Some((*position, parcel)),
                        _ => None,
                    };
                    if let Some((position, parcel)) = parcel {
                        state.parcels.insert((id.clone(), position), parcel.clone());
                    }
                    records.extend(written.record());
                }
            }
            let fate = |msg: &str| self.courier.fate(msg).ok().flatten();
            records.extend(outcomes(&id, &records, fate));
            let positions = Kept::read(&id, std::slice::from_ref(&records)).hands.len();
            tracing::info!("settlement: {} goes on here, with {positions} positions", id.at(0));
            self.homes(Input::Fetched { id, term, books: vec![records] }, None);
        }
    }

    /// All that these books have of a settlement is in this journal.
    fn is_here(&self, state: &State, id: &SettlementId, books: &[Book]) -> bool {
        let part = part_of(id.dest);
        let member = self.fleet.member.borrow();
        let of = state.lines.0.get(&name_of(id));
        books.iter().filter(|book| book.courier != self.me || book.epoch != self.epoch).all(|book| {
            let source = Source { book: BookId { owner: book.courier.clone(), epoch: book.epoch }, part };
            match member.agreed().part(&source) {
                Some(Part::Waiting | Part::Given(..)) => false,
                Some(Part::Taken(name, epoch)) if *name == self.me && *epoch == self.epoch => {
                    // Its lines count once the journal says so.
                    let waits = |line: &SettlementLine| {
                        line.source.as_ref().is_some_and(|s| Source::from(s) == source)
                    };
                    !of.is_some_and(|lines| lines.iter().any(waits))
                }
                // In another book of the list, or in this one since long.
                Some(Part::Taken(..) | Part::Done) | None => true,
            }
        })
    }

    /// Parts of a sealed book are in the journal.
    pub fn adopted(&self, lines: &Settlements) {
        let mut state = self.state.borrow_mut();
        for (of, more) in &lines.0 {
            state.lines.0.entry(of.clone()).or_default().extend(more.iter().cloned());
        }
    }

    /// The journal says whose a part is.
    pub fn settled(&self, source: &Source, kept: bool) {
        self.state.borrow_mut().lines.apply(&Line::Settled { source: source.into(), accepted: kept });
        self.fetch();
    }
}

/// The answer to a message that its settlement does not have.
fn refusal(error: &Error) -> Response<Bytes> {
    let after = match error {
        Error::TooMuch { after, .. } | Error::TooManyOpen { after, .. } | Error::Busy { after, .. } => {
            Some(*after)
        }
        Error::NoRoom(_) | Error::NoPin { .. } => Some(quillmount_core::router::OVERLOAD_RETRY_AFTER),
        Error::NoWord(_) => Some(ASK_AGAIN),
        _ => None,
    };
    let status = match error {
        _ if after.is_some() => StatusCode::SERVICE_UNAVAILABLE,
        Error::Over { .. } | Error::PositionTwice { .. } => StatusCode::CONFLICT,
        _ => StatusCode::BAD_REQUEST,
    };
    submission::answer_with(status, &format!("{error}\n"), after)
}
