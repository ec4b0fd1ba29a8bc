//! One courier of a fleet: its part in the agreement, its lease, its own book at other couriers, copies of theirs, and what
//! it takes over from those that are lost. Whoever drives it moves messages, keeps time and carries its outputs out in order.

use crate::Token;
use crate::agreement::{self, Agreement, AgreementError, Change};
use crate::book::{Copy, Owner};
use crate::breaks::{self, Break};
use crate::budget::Order;
use crate::lease::{Granted, Held};
use crate::message::{Envelope, Message};
use crate::plan::{Missing, Name, Plan};
use crate::settlement;
use crate::shares::Shares;
use crate::state::{Agreed, BookId, Command, Epoch, Event, Member as Registered, Part, Source};
use bytes::Bytes;
use quillmount_core::journal;
use quillmount_core::store::Store;
use spurshore::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// What is wanted of the fleet is said again after so long, until it is so: a word may be lost, and so may a leader.
const AGAIN: Micros = 250_000;
/// A copy that confirms nothing for so many leases is replaced, and not chosen again for as many more.
const LATE_LEASES: Micros = 2;
/// A page of a sealed book is asked for again after so long, at the next of its copies.
const FETCH_AGAIN: Micros = 300_000;
/// No sealed book is longer, as no copy is.
const BOOK_MOST: u64 = crate::book::COPY_MOST;
/// Settlements' verdicts are looked through for old ones so often.
const FORGET: Micros = 10_000_000;
/// Bytes for copies of others' books, where the driver says nothing else.
const ROOM: u64 = 16 * crate::book::COPY_MOST;
/// Between two looks at what else is to be done: short against a lease.
const LOOK: Micros = 50_000;

/// Where a courier keeps what outlasts its process, by name; names are of letters, digits, `-`, `_` and `.`.
pub trait Stores {
    type Store: Store;

    /// # Errors
    /// It can't be opened or made.
    fn open(&mut self, name: &str) -> io::Result<Self::Store>;

    /// # Errors
    /// It is there and can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// All that are there.
    ///
    /// # Errors
    /// The place can't be read.
    fn names(&mut self) -> io::Result<Vec<String>>;
}

/// Why a courier can't go on as a member of its fleet.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    #[error(transparent)]
    Agreement(#[from] AgreementError),
    #[error(
        "fleet: what is kept of it in the lasting folder can't be read or written: {0}; check the folder's disk and rights"
    )]
    Store(#[from] io::Error),
    #[error(
        "fleet: its state of an earlier process can't be read: {0}; start with an empty fleet folder, as a new member"
    )]
    State(#[from] postcard::Error),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed; wanted at `wake_at` at the latest.
    Tick,
    Heard(Envelope),
    /// What the journal holds now that the courier has joined, and parts in it that it does not say to be settled.
    Book {
        bytes: Vec<u8>,
        unsettled: Vec<Source>,
    },
    /// The journal has grown by these.
    Wrote(Vec<u8>),
    /// The journal is these now.
    Replaced(Vec<u8>),
    /// A part of a sealed book is in the journal, as it was when so much was written.
    Adopted(Source),
    /// The journal says whose the part is.
    Settled(Source),
    /// A planned stop: the book is for others from here on.
    Leave,
    /// Of a settlement's home; said again by whoever wants it, until it is agreed.
    Settlement(settlement::Command),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send(Name, Message),
    /// It is a member under this epoch. Where the book in its folder is not its own any more (`kept` is false), nothing of
    /// what it says may be done.
    Joined {
        epoch: Epoch,
        kept: bool,
    },
    /// It may act until then by its own clock, if nothing else is said.
    Lease(Micros),
    /// All that was written up to this mark is where it has to be.
    Safe(u64),
    /// Records are safe once they are at all of these; not enough: it may not take on (see [`Missing`]).
    Copies {
        at: BTreeSet<Name>,
        enough: bool,
    },
    /// These parts of this sealed book are to be written into the journal, in one piece; of what came to that book from
    /// others only the parts in `settled` were its own.
    Adopt {
        parts: Vec<Source>,
        settled: BTreeSet<Source>,
        bytes: Vec<u8>,
    },
    /// The part is its own: it goes on with it. Or somebody else has it.
    Settle {
        source: Source,
        kept: bool,
    },
    /// Its book is no longer its own: the process has to begin anew.
    Replaced,
    /// The fleet knows that it has left.
    Left,
    /// Connections to partners that are to be closed.
    Orders(Vec<Order>),
    /// What is agreed about a settlement has changed.
    Settlement(settlement::Event),
    /// The agreed state came as a whole: what became of settlements' homes in between is not known.
    Settlements,
    /// Another courier's ask or word about a settlement.
    Heard {
        from: Name,
        message: settlement::Message,
        parcel: Bytes,
    },
    Note(Note),
}

/// What the log is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    Joined {
        epoch: Epoch,
        kept: bool,
    },
    Gone {
        name: Name,
        epoch: Epoch,
    },
    Sealed(BookId),
    TakesOver {
        book: BookId,
        parts: usize,
        bytes: usize,
    },
    NoCopy {
        book: BookId,
    },
    CopyLate {
        name: Name,
    },
    CopyRefused {
        book: BookId,
        what: String,
    },
    Leads(bool),
    Alone(bool),
    Begins,
    /// Those who agree are these from now on.
    Voters(Vec<Name>),
    /// The agreement's own word.
    Agreement(String),
}

impl std::fmt::Display for Note {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Note::Joined { epoch, kept: true } => {
                write!(f, "fleet: member under epoch {epoch}, with the book in the folder")
            }
            Note::Joined { epoch, kept: false } => {
                write!(
                    f,
                    "fleet: member under epoch {epoch}, with a new book: others have what was owed before"
                )
            }
            Note::Gone { name, epoch } => write!(f, "fleet: {name} is gone (epoch {epoch})"),
            Note::Sealed(book) => write!(f, "fleet: book {book} is sealed"),
            Note::TakesOver { book, parts, bytes } => {
                write!(f, "fleet: takes over {parts} parts of book {book} ({bytes} bytes)")
            }
            Note::NoCopy { book } => write!(
                f,
                "fleet: no copy of book {book} answers: start its owner or a holder of a copy with its folder"
            ),
            Note::CopyLate { name } => {
                write!(f, "fleet: the copy at {name} is late and is replaced: look at the link to it")
            }
            Note::CopyRefused { book, what } => {
                write!(f, "fleet: a copy of book {book} can't be kept: {what}; look at the folder's disk")
            }
            Note::Leads(true) => write!(f, "fleet: leads"),
            Note::Leads(false) => write!(f, "fleet: leads no more"),
            Note::Alone(true) => {
                write!(f, "fleet: its lease is over: cut off, or too few voters are up; nothing is begun")
            }
            Note::Alone(false) => write!(f, "fleet: has a lease"),
            Note::Agreement(what) => write!(f, "fleet: {what}"),
            Note::Voters(voters) => write!(f, "fleet: voters are {}", voters.join(", ")),
            Note::Begins => write!(f, "fleet: begins a new one, as its first voter"),
        }
    }
}

/// A sealed book that is being read.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Fetching {
    bytes: Vec<u8>,
    /// Of its copies, the one that is asked.
    from: usize,
    again: Micros,
    /// Copies that said they have none, one after the other.
    none: usize,
}

/// A part that is in the journal, and not settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pending {
    /// It counts when the journal is safe up to there.
    mark: u64,
    /// The courier goes on with it; `done`: and its journal says so.
    kept: bool,
    done: bool,
}

/// The one log that all couriers agree on, as a member uses it: [`Agreement`], or a model of one where this is explored.
pub trait Log {
    /// # Errors
    /// There is one already, or it can't be written.
    fn begin(&mut self, now: Micros) -> Result<Vec<agreement::Output>, AgreementError>;
    fn step(&mut self, input: agreement::Input, now: Micros) -> Vec<agreement::Output>;
    fn leader(&self) -> Option<Token>;
    fn leads(&self) -> bool;
    fn token(&self) -> Token;
    fn voters(&self) -> Vec<Token>;
    fn learners(&self) -> Vec<Token>;
    fn wake_at(&self) -> Option<Micros>;
}

impl<S: Store> Log for Agreement<S> {
    fn begin(&mut self, now: Micros) -> Result<Vec<agreement::Output>, AgreementError> {
        Agreement::begin(self, now)
    }
    fn step(&mut self, input: agreement::Input, now: Micros) -> Vec<agreement::Output> {
        Agreement::step(self, input, now)
    }
    fn leader(&self) -> Option<Token> {
        Agreement::leader(self)
    }
    fn leads(&self) -> bool {
        Agreement::leads(self)
    }
    fn token(&self) -> Token {
        Agreement::token(self)
    }
    fn voters(&self) -> Vec<Token> {
        Agreement::voters(self)
    }
    fn learners(&self) -> Vec<Token> {
        Agreement::learners(self)
    }
    fn wake_at(&self) -> Option<Micros> {
        Agreement::wake_at(self)
    }
}

/// The machine.
#[derive(Clone)]
pub struct Member<D: Stores, L = Agreement<<D as Stores>::Store>> {
    pub plan: Plan,
    /// Bytes that copies of others' books may take here; a seal is written beyond it.
    pub room: u64,
    stores: D,
    agreement: L,
    agreed: Agreed,
    /// Its own process.
    life: u64,
    line: Option<Epoch>,
    identity: D::Store,
    first: bool,
    fresh: bool,
    /// Other voters whose folders know of no fleet.
    fresh_voters: BTreeSet<Name>,
    names: BTreeMap<Token, Name>,
    /// Other couriers that know of a fleet: none is begun beside it.
    seasoned: BTreeSet<Name>,
    /// What was agreed up to there is in the state.
    through: u64,
    /// Its own registration, from the moment when it was agreed.
    epoch: Option<Epoch>,
    replaced: bool,
    held: Held,
    alone: bool,
    leads: bool,
    granted: Granted,
    reads: BTreeMap<u64, (Name, Epoch, u64)>,
    ticket: u64,
    owner: Option<Owner>,
    proposed: BTreeSet<Name>,
    late: BTreeMap<Name, Micros>,
    safe: u64,
    told_copies: Option<(BTreeSet<Name>, bool)>,
    copies: BTreeMap<BookId, Copy<D::Store>>,
    /// Books of which a copy was last refused here, by the store.
    refused: BTreeSet<BookId>,
    fetching: BTreeMap<BookId, Fetching>,
    pending: BTreeMap<Source, Pending>,
    asked: Vec<(Command, Micros)>,
    leaving: bool,
    left: bool,
    shares: Shares,
    /// Those that were last told to agree.
    voters: Vec<Name>,
    look_at: Micros,
    hello_at: Micros,
    lapse_at: Micros,
    forget_at: Micros,
}

/// What the lasting folder says of the book beside it: the line of the journal, if there is one that counts.
fn read_identity<S: Store>(store: &mut S) -> Result<Option<Epoch>, MemberError> {
    let bytes = store.read()?;
    Ok(if bytes.is_empty() { None } else { postcard::from_bytes(&bytes)? })
}

fn store_name(book: &BookId) -> String {
    format!("copy.{}.{}", book.epoch, book.owner)
}

fn book_of(name: &str) -> Option<BookId> {
    let (epoch, owner) = name.strip_prefix("copy.")?.split_once('.')?;
    Some(BookId { owner: owner.into(), epoch: epoch.parse().ok()? })
}

impl<D: Stores> Member<D> {
    /// Takes up what the folder has; `life` and `token` are drawn at random by the caller, the second for a new folder.
    ///
    /// # Errors
    /// What is there can't be read.
    pub fn open(
        plan: Plan,
        mut stores: D,
        life: u64,
        token: Token,
        limits: agreement::Limits,
        now: Micros,
    ) -> Result<(Self, Vec<Output>), MemberError> {
        let (agreement, opened) = Agreement::open(stores.open("agreement")?, token, limits, now)?;
        Member::with_log(plan, stores, agreement, opened, life, now)
    }
}

impl<D: Stores, L: Log> Member<D, L> {
    /// Takes up what the folder has beside the log, which was opened already.
    ///
    /// # Errors
    /// What is there can't be read.
    pub fn with_log(
        plan: Plan,
        mut stores: D,
        agreement: L,
        opened: agreement::Opened,
        life: u64,
        now: Micros,
    ) -> Result<(Self, Vec<Output>), MemberError> {
        let mut identity = stores.open("identity")?;
        let (first, line) = (identity.is_empty(), read_identity(&mut identity)?);
        let mut copies = BTreeMap::new();
        for name in stores.names()? {
            if let Some(book) = book_of(&name) {
                copies.insert(book, Copy::open(stores.open(&name)?)?);
            }
        }
        let shares = Shares::new(&plan.me, plan.terms(), plan.budgets.clone(), plan.couriers(), now);
        let mut member = Member {
            shares,
            plan,
            room: ROOM,
            stores,
            agreement,
            agreed: Agreed::default(),
            life,
            line,
            identity,
            first,
            fresh: opened.new,
            fresh_voters: BTreeSet::new(),
            names: BTreeMap::new(),
            seasoned: BTreeSet::new(),
            through: 0,
            epoch: None,
            replaced: false,
            held: Held::default(),
            alone: true,
            leads: false,
            granted: Granted::default(),
            reads: BTreeMap::new(),
            ticket: 0,
            owner: None,
            proposed: BTreeSet::new(),
            late: BTreeMap::new(),
            safe: 0,
            told_copies: None,
            copies,
            refused: BTreeSet::new(),
            fetching: BTreeMap::new(),
            pending: BTreeMap::new(),
            asked: Vec::new(),
            leaving: false,
            left: false,
            voters: Vec::new(),
            look_at: now,
            hello_at: now,
            lapse_at: now,
            forget_at: now,
        };
        let mut out = Vec::new();
        member.restore(&opened.state)?;
        for (_, command) in opened.committed {
            member.apply(&command, now, &mut out)?;
        }
        // A log that was begun and tells nothing yet: it is none of a new folder all the same.
        member.fresh &= member.agreement.voters().is_empty();
        member.names_known();
        Ok((member, out))
    }

    pub fn agreed(&self) -> &Agreed {
        &self.agreed
    }

    pub fn agreement(&self) -> &L {
        &self.agreement
    }

    /// The epoch under which it serves.
    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// It is a member, and may act.
    pub fn may_act(&self, now: Micros) -> bool {
        self.epoch.is_some() && !self.replaced && (self.held.holds(now) || breaks::on(Break::LeaseIgnored))
    }

    pub fn wake_at(&self) -> Option<Micros> {
        // One that is replaced or has left copies nothing more: a page that is due would be so for ever.
        let owner = self.owner.as_ref().filter(|_| !self.replaced && !self.left);
        let times = [Some(self.look_at), self.agreement.wake_at(), owner.and_then(Owner::wake_at)];
        times.into_iter().flatten().min()
    }

    /// No process with this folder was ever one of a fleet: a journal that is there is nobody else's.
    pub fn is_first(&self) -> bool {
        self.first
    }

    /// Notes the line of the journal that is in the folder from now on; `None`: what is there is worth nothing.
    ///
    /// # Errors
    /// The folder refuses it.
    pub fn note_line(&mut self, line: Option<Epoch>) -> Result<(), MemberError> {
        self.identity.replace(&postcard::to_allocvec(&line)?)?;
        self.line = line;
        Ok(())
    }

    /// The line of the book under which it serves.
    pub fn agreed_line(&self) -> Option<Epoch> {
        self.agreed.books.get(&self.book()?).map(|book| book.line)
    }

    /// Its book is sealed, or over: all that it owed is others' by now.
    pub fn has_left(&self) -> bool {
        let own = self.book().and_then(|book| self.agreed.books.get(&book));
        self.left && own.is_none_or(|book| book.sealed.is_some())
    }

    fn book(&self) -> Option<BookId> {
        Some(BookId { owner: self.plan.me.clone(), epoch: self.epoch? })
    }

    /// # Errors
    /// What has to outlast the process can't be written: the member says nothing more, and its lease runs out.
    pub fn step(&mut self, input: Input, now: Micros) -> Result<Vec<Output>, MemberError> {
        let mut out = Vec::new();
        match input {
            Input::Tick => self.agree(agreement::Input::Tick, now, &mut out)?,
            Input::Heard(envelope) => self.heard(envelope, now, &mut out)?,
            Input::Book { bytes, unsettled } => {
                if let Some(book) = self.book() {
                    let owner = Owner::new(book, bytes);
                    let pending = Pending { mark: owner.written(), kept: false, done: false };
                    self.pending = unsettled.into_iter().map(|source| (source, pending)).collect();
                    self.owner = Some(owner);
                }
            }
            Input::Wrote(bytes) => {
                if let Some(owner) = &mut self.owner {
                    owner.wrote(&bytes);
                }
            }
            Input::Replaced(bytes) => {
                if let Some(owner) = &mut self.owner {
                    owner.replaced(bytes);
                }
            }
            Input::Adopted(source) => {
                let mark = self.owner.as_ref().map_or(0, Owner::written);
                self.pending.insert(source, Pending { mark, kept: false, done: false });
            }
            Input::Settled(source) => {
                let mark = self.owner.as_ref().map_or(0, Owner::written);
                if let Some(pending) = self.pending.get_mut(&source) {
                    (pending.mark, pending.done) = (mark, true);
                }
            }
            Input::Leave => {
                self.leaving = true;
                self.shares.gate.leave();
            }
            Input::Settlement(command) => {
                if let Some(leader) = self.leader().filter(|_| self.epoch.is_some()) {
                    self.tell(leader, Message::Propose(Command::Settlement(command)), now, &mut out)?;
                }
            }
        }
        self.look(now, &mut out)?;
        Ok(out)
    }

    fn agree(
        &mut self,
        input: agreement::Input,
        now: Micros,
        out: &mut Vec<Output>,
    ) -> Result<(), MemberError> {
        let outputs = self.agreement.step(input, now);
        self.agreed_on(outputs, now, out)
    }

    fn agreed_on(
        &mut self,
        outputs: Vec<agreement::Output>,
        now: Micros,
        out: &mut Vec<Output>,
    ) -> Result<(), MemberError> {
        let mut shorten = false;
        for output in outputs {
            match output {
                agreement::Output::Send { to, bytes } => {
                    if let Some(name) = self.names.get(&to) {
                        out.push(Output::Send(name.clone(), Message::Agree(Bytes::from(bytes))));
                    }
                }
                agreement::Output::Committed { index, command, .. } => {
                    self.through = index;
                    self.apply(&command, now, out)?;
                }
                agreement::Output::Restored { index, state } => {
                    self.through = index;
                    let before = std::mem::take(&mut self.agreed);
                    self.restore(&state)?;
                    self.caught_up(&before, now, out)?;
                }
                agreement::Output::Readable { ticket } => {
                    if let Some((name, epoch, ticket)) = self.reads.remove(&ticket) {
                        self.tell(name, Message::Granted { epoch, ticket }, now, out)?;
                    }
                }
                agreement::Output::Refused { ticket, .. } | agreement::Output::Unsure { ticket } => {
                    self.reads.remove(&ticket);
                }
                agreement::Output::SnapshotWanted => shorten = true,
                agreement::Output::Changed { .. } => self.voters_changed(out),
                agreement::Output::Leader { .. } => {
                    let leads = self.agreement.leads();
                    if leads && !self.leads {
                        self.shares.lead_anew(self.plan.terms());
                        self.granted.begin(if breaks::on(Break::NoGrace) { 0 } else { now });
                    }
                    if leads != self.leads {
                        out.push(Output::Note(Note::Leads(leads)));
                    }
                    self.leads = leads;
                    self.reads.clear();
                }
                agreement::Output::Failed(e) => out.push(Output::Note(Note::Agreement(e.to_string()))),
                agreement::Output::Silent(e) => return Err(e.into()),
            }
        }
        if shorten {
            let state = postcard::to_allocvec(&self.agreed)?;
            self.agree(agreement::Input::Snapshot { through: self.through, state }, now, out)?;
        }
        Ok(())
    }

    fn voters_changed(&mut self, out: &mut Vec<Output>) {
        let name = |token: &Token| self.names.get(token).cloned().unwrap_or_else(|| format!("{token:x}"));
        let mut voters: Vec<Name> = self.agreement.voters().iter().map(name).collect();
        voters.sort_unstable();
        if voters != self.voters {
            self.voters.clone_from(&voters);
            out.push(Output::Note(Note::Voters(voters)));
        }
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), MemberError> {
        self.agreed = if bytes.is_empty() { Agreed::default() } else { postcard::from_bytes(bytes)? };
        self.names_known();
        Ok(())
    }

    /// The state is a later one, and what led there was not told: what matters is in the difference.
    fn caught_up(&mut self, before: &Agreed, now: Micros, out: &mut Vec<Output>) -> Result<(), MemberError> {
        let mut events = Vec::new();
        if let Some(owner) = &mut self.owner {
            let other =
                |(name, m): &(&Name, &Registered)| before.members.get(*name).is_none_or(|b| b.life != m.life);
            self.agreed.members.iter().filter(other).for_each(|(name, _)| owner.forget(name));
        }
        for id in before.books.keys().filter(|id| !self.agreed.books.contains_key(id)) {
            let line = before.books[id].line;
            let renamed = self.agreed.books.iter().find(|(to, b)| to.owner == id.owner && b.line == line);
            events.push(match renamed {
                Some((to, _)) => Event::Renamed { from: id.clone(), to: to.clone() },
                None => Event::Over(id.clone()),
            });
        }
        for (id, book) in self.agreed.books.iter().filter(|(_, b)| b.sealed.is_some()) {
            events.push(Event::Sealed(id.clone()));
            let parts = 0..book.sealed.as_ref().map_or(0, Vec::len);
            events.extend(parts.map(|part| Event::Given(Source { book: id.clone(), part })));
        }
        if let Some(m) = self.agreed.members.get(&self.plan.me).filter(|m| m.life == self.life && m.serving) {
            // Its own line is known: it is the same where the book in its folder is still its own.
            let line = self
                .agreed
                .books
                .get(&BookId { owner: self.plan.me.clone(), epoch: m.epoch })
                .map(|b| b.line);
            let (name, epoch, life) = (self.plan.me.clone(), m.epoch, m.life);
            if self.epoch.is_none() {
                events.push(Event::Joined { name, epoch, life, kept: line.is_some() && line == self.line });
            }
        }
        events.into_iter().try_for_each(|event| self.event(event, now, out))?;
        out.push(Output::Settlements);
        Ok(())
    }

    fn apply(&mut self, command: &[u8], now: Micros, out: &mut Vec<Output>) -> Result<(), MemberError> {
        // One that can't be read is of a later version: all of this version skip it alike.
        let Ok(command) = postcard::from_bytes::<Command>(command) else { return Ok(()) };
        let known = self.agreed.members.get(&self.plan.me);
        // Another folder's process had this name: what it owed is others', wherever it is read from.
        self.first &= known.is_none_or(|m| m.token == self.agreement.token());
        let events = self.agreed.apply(command);
        if !events.is_empty() {
            self.names_known();
        }
        events.into_iter().try_for_each(|event| self.event(event, now, out))
    }

    fn names_known(&mut self) {
        for (name, m) in &self.agreed.members {
            self.names.insert(m.token, name.clone());
        }
    }

    fn event(&mut self, event: Event, now: Micros, out: &mut Vec<Output>) -> Result<(), MemberError> {
        match event {
            Event::Joined { name, epoch, life, kept } => {
                self.granted.joined(&name, epoch, now);
                self.shares_agreed(now, out);
                if let Some(owner) = &mut self.owner {
                    owner.forget(&name);
                }
                // A word that was said again may register the same process twice: what it has begun on is over then.
                if name == self.plan.me && life == self.life && self.epoch.is_none() {
                    self.epoch = Some(epoch);
                    self.shares.gate.joined(epoch);
                    self.drop_unknown()?;
                    out.push(Output::Note(Note::Joined { epoch, kept }));
                    out.push(Output::Joined { epoch, kept });
                } else if name == self.plan.me && self.epoch.is_some() {
                    self.is_replaced(out);
                }
            }
            Event::Shares => self.shares_agreed(now, out),
            Event::Settlement(event) => out.push(Output::Settlement(event)),
            Event::Gone { name, epoch } => {
                self.shares_agreed(now, out);
                out.push(Output::Note(Note::Gone { name: name.clone(), epoch }));
                if name == self.plan.me && self.epoch == Some(epoch) {
                    if self.leaving {
                        self.left = true;
                        out.push(Output::Left);
                    } else {
                        self.is_replaced(out);
                    }
                }
            }
            Event::Renamed { from, to } => {
                if let Some(copy) = self.copies.remove(&from) {
                    if !self.copies.contains_key(&to) {
                        let store = self.stores.open(&store_name(&to))?;
                        self.copies.insert(to, copy.rename(store)?);
                    }
                    self.stores.remove(&store_name(&from))?;
                }
            }
            Event::Sealed(book) => {
                let holds = self.agreed.books.get(&book).is_some_and(|b| b.copies.contains(&self.plan.me));
                if holds && let Some(copy) = self.copies.get_mut(&book) {
                    copy.seal()?;
                } else if !holds {
                    self.forget(&book)?;
                }
                out.push(Output::Note(Note::Sealed(book)));
            }
            Event::Copies(book) => {
                if self.book() == Some(book) {
                    self.proposed.clear();
                }
            }
            Event::Given(source) => {
                if self.pending.get(&source).is_some_and(|p| !p.kept) && !self.is_mine(&source) {
                    self.pending.remove(&source);
                    out.push(Output::Settle { source, kept: false });
                }
            }
            Event::Taken(source, name, epoch) => {
                let mine = name == self.plan.me && self.epoch == Some(epoch);
                match self.pending.get_mut(&source) {
                    Some(pending) if mine => {
                        let before = std::mem::replace(&mut pending.kept, true);
                        out.extend((!before).then_some(Output::Settle { source, kept: true }));
                    }
                    Some(_) => {
                        self.pending.remove(&source);
                        out.push(Output::Settle { source, kept: false });
                    }
                    None => {}
                }
            }
            Event::Over(book) => {
                self.forget(&book)?;
                self.fetching.remove(&book);
                let lost: Vec<_> = self.pending.keys().filter(|s| s.book == book).cloned().collect();
                for source in lost {
                    if self.pending.remove(&source).is_some_and(|p| !p.kept) {
                        out.push(Output::Settle { source, kept: false });
                    }
                }
            }
        }
        Ok(())
    }

    /// What this courier may use of partners' budgets.
    pub fn shares(&mut self) -> &mut Shares {
        &mut self.shares
    }

    fn shares_agreed(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.shares.any() {
            let orders = self.shares.agreed(&self.agreed.shared, now);
            out.extend((!orders.is_empty()).then_some(Output::Orders(orders)));
        }
    }

    /// Tells the leader what is used and wanted; whoever leads moves what is to be moved.
    fn keep_shares(&mut self, now: Micros, out: &mut Vec<Output>) -> Result<(), MemberError> {
        if !self.shares.any() {
            return Ok(());
        }
        let orders = self.shares.gate.tick(now);
        out.extend((!orders.is_empty()).then_some(Output::Orders(orders)));
        if let Some(leader) = self.leader().filter(|_| self.epoch.is_some()) {
            for (count, report) in self.shares.reports(now) {
                self.tell(leader.clone(), Message::Shares(count, report), now, out)?;
            }
        }
        if self.leads {
            for (count, command) in self.shares.lead(&self.agreed.shared, now) {
                self.propose(Command::Share(count, command), now, out)?;
            }
        }
        Ok(())
    }

    fn is_replaced(&mut self, out: &mut Vec<Output>) {
        if !self.replaced {
            self.replaced = true;
            self.shares.lease_over();
            self.held.drop_all();
            out.push(Output::Replaced);
        }
    }

    fn forget(&mut self, book: &BookId) -> Result<(), MemberError> {
        self.refused.remove(book);
        if self.copies.remove(book).is_some() {
            self.stores.remove(&store_name(book))?;
        }
        Ok(())
    }

    /// Copies of books that nobody knows any more: what was agreed up to the own registration is all that was before it.
    fn drop_unknown(&mut self) -> Result<(), MemberError> {
        let gone: Vec<_> =
            self.copies.keys().filter(|id| !self.agreed.books.contains_key(id)).cloned().collect();
        gone.iter().try_for_each(|id| self.forget(id))
    }

    fn is_mine(&self, source: &Source) -> bool {
        let mine = |name: &Name, epoch: Epoch| *name == self.plan.me && self.epoch == Some(epoch);
        match self.agreed.part(source) {
            Some(Part::Given(name, epoch) | Part::Taken(name, epoch)) => mine(name, *epoch),
            _ => false,
        }
    }

    fn tell(
        &mut self,
        to: Name,
        message: Message,
        now: Micros,
        out: &mut Vec<Output>,
    ) -> Result<(), MemberError> {
        if to == self.plan.me {
            let me = to.clone();
            return self.take(me, message, now, out);
        }
        out.push(Output::Send(to, message));
        Ok(())
    }

    fn heard(&mut self, envelope: Envelope, now: Micros, out: &mut Vec<Output>) -> Result<(), MemberError> {
        if envelope.to != self.plan.me || envelope.from == self.plan.me {
            return Ok(());
        }
        self.names.insert(envelope.token, envelope.from.clone());
        for message in envelope.messages {
            if let Message::Agree(bytes) = &message {
                let input = agreement::Input::Heard { from: envelope.token, bytes: bytes.to_vec() };
                self.agree(input, now, out)?;
                continue;
            }
            if let Message::Hello { fresh } = message {
                self.hello(&envelope.from, envelope.token, fresh, now, out)?;
                continue;
            }
            self.take(envelope.from.clone(), message, now, out)?;
        }
        Ok(())
    }

    /// Somebody who is no member yet asks who is there.
    fn hello(
        &mut self,
        from: &Name,
        token: Token,
        fresh: bool,
        now: Micros,
        out: &mut Vec<Output>,
    ) -> Result<(), MemberError> {
        if fresh && self.fresh {
            self.fresh_voters.insert(from.clone());
        }
        out.push(Output::Send(from.clone(), Message::Here { fresh: self.fresh }));
        if !self.leads || !self.plan.peers.iter().any(|peer| peer.name == *from) {
            return Ok(());
        }
        let known = |tokens: Vec<Token>| tokens.contains(&token);
        if known(self.agreement.voters()) || known(self.agreement.learners()) {
            return Ok(());
        }
        // Its folder is a new one: whatever it was before does not come back.
        let all = self.agreement.voters().into_iter().chain(self.agreement.learners());
        let old = all.into_iter().find(|t| *t != token && self.names.get(t) == Some(from));
        let change = old.map_or(Change::AddLearner(token), Change::Remove);
        self.change(change, now, out)
    }

    fn take(
        &mut self,
        from: Name,
        message: Message,
        now: Micros,
        out: &mut Vec<Output>,
    ) -> Result<(), MemberError> {
        match message {
            Message::Hello { .. } | Message::Agree(_) => {}
            Message::Here { fresh } => {
                if fresh {
                    self.fresh_voters.insert(from);
                } else {
                    self.seasoned.insert(from);
                }
            }
            Message::Propose(command) => self.propose(command, now, out)?,
            Message::Renew { epoch, ticket } => {
                if self.leads
                    && self.agreed.epoch_of(&from) == Some(epoch)
                    && self.granted.hear(&from, epoch, now)
                {
                    self.ticket += 1;
                    self.reads.insert(self.ticket, (from, epoch, ticket));
                    self.agree(agreement::Input::Read { ticket: self.ticket }, now, out)?;
                }
            }
            Message::Granted { epoch, ticket } => {
                if self.epoch == Some(epoch) && !self.replaced {
                    self.held.granted(ticket, &self.plan);
                    self.shares.gate.leased(self.held.until());
                    out.push(Output::Lease(self.held.until()));
                }
            }
            Message::Append { book, generation, whole, at, bytes } => {
                let known = self.agreed.books.get(&book).is_some_and(|b| b.sealed.is_none());
                if !known || book.owner != from {
                    return Ok(());
                }
                if !self.copies.contains_key(&book) {
                    let store = self.stores.open(&store_name(&book))?;
                    self.copies.insert(book.clone(), Copy::open(store)?);
                }
                let used = self.copies.values().map(Copy::takes).sum::<u64>() + bytes.len() as u64;
                let Some(copy) = self.copies.get_mut(&book) else { return Ok(()) };
                let full = || {
                    io::Error::new(
                        io::ErrorKind::StorageFull,
                        format!("{used} bytes of copies, where {} are the most (limits.disk_mb)", self.room),
                    )
                };
                let done =
                    if used > self.room { Err(full()) } else { copy.append(generation, whole, at, &bytes) };
                match done {
                    Ok(Some((place, staged))) => {
                        self.refused.remove(&book);
                        out.push(Output::Send(from, Message::Copied { book, place, staged }));
                    }
                    Ok(None) => {}
                    Err(e) => {
                        if self.refused.insert(book.clone()) {
                            out.push(Output::Note(Note::CopyRefused { book, what: e.to_string() }));
                        }
                    }
                }
            }
            Message::Copied { book, place, staged } => {
                if let Some(owner) = self.owner.as_mut().filter(|owner| owner.book == book) {
                    owner.copied(&from, place, staged, now);
                }
            }
            Message::Fetch { book, at } => {
                let answer = match self.copies.get_mut(&book) {
                    None => Message::NoBook { book },
                    Some(copy) => {
                        // Whoever asks knows that it is sealed; nothing may come to it after the first page.
                        copy.seal()?;
                        let (total, bytes) = copy.page(at)?;
                        Message::Page { book, at, total, bytes }
                    }
                };
                self.tell(from, answer, now, out)?;
            }
            Message::Page { book, at, total, bytes } => {
                let copies = self.agreed.books.get(&book).map(|b| &b.copies);
                let Some(fetching) = self.fetching.get_mut(&book) else { return Ok(()) };
                let asked = copies.and_then(|c| c.iter().nth(fetching.from % c.len().max(1)));
                if asked != Some(&from) || total > BOOK_MOST || fetching.bytes.len() as u64 != at {
                    return Ok(());
                }
                fetching.bytes.extend_from_slice(&bytes);
                (fetching.again, fetching.none) = (now, 0);
                if fetching.bytes.len() as u64 >= total {
                    self.fetched(book, out);
                }
            }
            Message::Shares(count, report) => {
                if self.leads && report.courier == from {
                    self.shares.hears(count, report, now);
                }
            }
            Message::Settlement { message, parcel } => {
                out.push(Output::Heard { from, message: *message, parcel });
            }
            Message::NoBook { book } => {
                if let Some(fetching) = self.fetching.get_mut(&book) {
                    fetching.none += 1;
                    let copies = self.agreed.books.get(&book).map_or(0, |b| b.copies.len());
                    if fetching.none == copies.max(1) {
                        out.push(Output::Note(Note::NoCopy { book }));
                    }
                }
            }
        }
        Ok(())
    }

    /// All of a sealed book is here: the parts that are this courier's go into its journal.
    fn fetched(&mut self, book: BookId, out: &mut Vec<Output>) {
        let Some(fetching) = self.fetching.remove(&book) else { return };
        let Some(epoch) = self.epoch else { return };
        let parts: Vec<_> = self
            .agreed
            .given_to(&self.plan.me, epoch)
            .filter(|source| source.book == book && !self.pending.contains_key(source))
            .collect();
        if parts.is_empty() {
            return;
        }
        // What had come to that book from others, and was settled as its own before it was sealed.
        let settled = self.agreed.books.iter().flat_map(|(id, b)| {
            let parts = b.sealed.iter().flatten().enumerate();
            let taken = Part::Taken(book.owner.clone(), book.epoch);
            parts.filter(move |(_, p)| **p == taken).map(|(part, _)| Source { book: id.clone(), part })
        });
        let settled = settled.collect();
        let bytes = fetching.bytes;
        for source in &parts {
            // Not in the journal yet.
            self.pending.insert(source.clone(), Pending { mark: u64::MAX, kept: false, done: false });
        }
        out.push(Output::Note(Note::TakesOver { book, parts: parts.len(), bytes: bytes.len() }));
        out.push(Output::Adopt { parts, settled, bytes });
    }

    fn propose(&mut self, command: Command, now: Micros, out: &mut Vec<Output>) -> Result<(), MemberError> {
        if !self.leads {
            return Ok(());
        }
        let command = postcard::to_allocvec(&command)?;
        self.ticket += 1;
        self.agree(agreement::Input::Propose { ticket: self.ticket, command }, now, out)
    }

    /// What is to be done by what is known.
    fn look(&mut self, now: Micros, out: &mut Vec<Output>) -> Result<(), MemberError> {
        self.look_at = now + LOOK;
        self.greet(now, out)?;
        if self.replaced || self.left {
            return Ok(());
        }
        self.keep_lease(now, out)?;
        self.keep_copies(now, out);
        self.keep_shares(now, out)?;
        self.fetch(now, out)?;
        self.say_wants(now, out)?;
        if self.leads {
            self.lead(now, out)?;
        }
        Ok(())
    }

    /// Says hello until it is a member; a fleet's first voter begins it.
    fn greet(&mut self, now: Micros, out: &mut Vec<Output>) -> Result<(), MemberError> {
        self.fresh &= self.agreement.leader().is_none() && self.agreement.voters().is_empty();
        if self.epoch.is_some() || now < self.hello_at {
            return Ok(());
        }
        self.hello_at = now + AGAIN;
        let others: Vec<_> = self.plan.others().cloned().collect();
        let (fresh, voters) = (self.fresh, &self.plan.voters);
        let first = voters.first() == Some(&self.plan.me);
        if fresh
            && first
            && self.seasoned.is_empty()
            && voters[1..].iter().all(|voter| self.fresh_voters.contains(voter))
        {
            out.push(Output::Note(Note::Begins));
            self.fresh = false;
            let begun = self.agreement.begin(now)?;
            return self.agreed_on(begun, now, out);
        }
        out.extend(others.into_iter().map(|name| Output::Send(name, Message::Hello { fresh })));
        Ok(())
    }

    fn keep_lease(&mut self, now: Micros, out: &mut Vec<Output>) -> Result<(), MemberError> {
        let Some(epoch) = self.epoch else { return Ok(()) };
        if let Some(leader) = self.leader()
            && let Some(ticket) = self.held.ask(&self.plan, now)
        {
            self.tell(leader, Message::Renew { epoch, ticket }, now, out)?;
        }
        let alone = !self.held.holds(now);
        if alone != self.alone {
            self.alone = alone;
            out.push(Output::Note(Note::Alone(alone)));
        }
        Ok(())
    }

    fn leader(&self) -> Option<Name> {
        self.agreement.leader().and_then(|token| {
            if token == self.agreement.token() {
                Some(self.plan.me.clone())
            } else {
                self.names.get(&token).cloned()
            }
        })
    }

    /// The copies that this courier's book should have.
    fn wanted_copies(&self) -> BTreeSet<Name> {
        let serving = self.agreed.serving();
        let order = self.plan.copy_order(&serving);
        order.into_iter().filter(|name| !self.late.contains_key(name)).take(self.plan.copies).collect()
    }

    fn agreed_copies(&self) -> Option<(u64, &BTreeSet<Name>)> {
        let book = self.agreed.books.get(&self.book()?)?;
        Some((book.version, &book.copies))
    }

    fn keep_copies(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.late.retain(|_, until| now < *until);
        let Some((version, agreed)) = self.agreed_copies() else { return };
        let (agreed, span) = (agreed.clone(), self.plan.lease * LATE_LEASES);
        let Some(owner) = &self.owner else { return };
        let wanted = self.wanted_copies();
        // One that is not a copy yet, too: another is to be one instead.
        for name in agreed.union(&wanted) {
            if owner.late(name, now) > span && !self.late.contains_key(name) {
                self.late.insert(name.clone(), now + span);
                out.push(Output::Note(Note::CopyLate { name: name.clone() }));
            }
        }
        let wanted = self.wanted_copies();
        let all: BTreeSet<Name> = agreed.iter().chain(&wanted).chain(&self.proposed).cloned().collect();
        let Some(owner) = &mut self.owner else { return };
        owner.copy_to(&all, now);
        out.extend(owner.send(now).into_iter().map(|(name, message)| Output::Send(name, message)));
        let needed: BTreeSet<Name> = agreed.iter().chain(&self.proposed).cloned().collect();
        let counts = match self.plan.missing {
            Missing::Require => !agreed.is_empty(),
            Missing::Prefer => version > 0,
        };
        let safe = if breaks::on(Break::SafeAtOnce) {
            owner.written()
        } else if counts {
            owner.safe(&needed)
        } else {
            self.safe
        };
        if safe > self.safe {
            self.safe = safe;
            out.push(Output::Safe(safe));
        }
        let told = Some((agreed, counts));
        if self.told_copies != told {
            self.told_copies = told;
            out.extend(self.told_copies.clone().map(|(at, enough)| Output::Copies { at, enough }));
        }
    }

    /// Reads sealed books of which parts are this courier's, from any copy.
    fn fetch(&mut self, now: Micros, out: &mut Vec<Output>) -> Result<(), MemberError> {
        let Some(epoch) = self.epoch.filter(|_| self.owner.is_some()) else { return Ok(()) };
        let given = self.agreed.given_to(&self.plan.me, epoch);
        let wanted: BTreeSet<BookId> =
            given.filter(|source| !self.pending.contains_key(source)).map(|source| source.book).collect();
        self.fetching.retain(|book, _| wanted.contains(book));
        for book in wanted {
            let copies: Vec<Name> =
                self.agreed.books.get(&book).map(|b| b.copies.iter().cloned().collect()).unwrap_or_default();
            let fetching = self.fetching.entry(book.clone()).or_insert(Fetching {
                bytes: Vec::new(),
                from: 0,
                again: now,
                none: 0,
            });
            if now < fetching.again || copies.is_empty() {
                continue;
            }
            if fetching.again != now {
                // It did not answer in time: the next, from the beginning, as copies differ behind what counts.
                fetching.from += 1;
                fetching.bytes.clear();
            }
            fetching.again = now + FETCH_AGAIN;
            let (at, from) = (fetching.bytes.len() as u64, copies[fetching.from % copies.len()].clone());
            self.tell(from, Message::Fetch { book, at }, now, out)?;
        }
        Ok(())
    }

    /// What this courier wants the fleet to agree on.
    fn wants(&mut self) -> Vec<Command> {
        let (me, mut wants) = (self.plan.me.clone(), Vec::new());
        let Some(epoch) = self.epoch else {
            if self.agreement.leader().is_some() {
                let (token, life) = (self.agreement.token(), self.life);
                wants.push(Command::Join { name: me, token, life, book: self.line });
            }
            return wants;
        };
        if self.leaving {
            wants.push(Command::Gone { name: me, epoch });
            return wants;
        }
        for (source, pending) in &self.pending {
            let (source, by) = (source.clone(), me.clone());
            match self.agreed.part(&source) {
                Some(Part::Given(..)) if pending.mark <= self.safe => {
                    wants.push(Command::Taken { source, by, epoch });
                }
                Some(Part::Taken(..)) if pending.done && pending.mark <= self.safe => {
                    wants.push(Command::Done { source, by, epoch });
                }
                _ => {}
            }
        }
        if self.owner.is_some() {
            // Settled in the journal, by this process or the one before.
            let taken = Part::Taken(me.clone(), epoch);
            for (id, b) in &self.agreed.books {
                for (part, _) in b.sealed.iter().flatten().enumerate().filter(|(_, p)| **p == taken) {
                    let source = Source { book: id.clone(), part };
                    if !self.pending.contains_key(&source) {
                        wants.push(Command::Done { source, by: me.clone(), epoch });
                    }
                }
            }
        }
        let wanted = self.wanted_copies();
        let (Some((version, agreed)), Some(owner), Some(book)) =
            (self.agreed_copies(), &self.owner, self.book())
        else {
            return wants;
        };
        // One that has the book, and all that counts by now: what is safe at the copies of now may be on its way to it.
        let has_all = |name: &&Name| {
            owner.has_base(name) && owner.safe(&BTreeSet::from([(*name).clone()])) >= self.safe
        };
        let based: BTreeSet<Name> = wanted.iter().filter(has_all).cloned().collect();
        let all_based = based.len() == wanted.len();
        let mut next: BTreeSet<Name> = agreed.union(&based).cloned().collect();
        if all_based && !wanted.is_empty() {
            next = wanted;
        }
        if self.plan.missing == Missing::Prefer {
            next.retain(|name| !self.late.contains_key(name));
        }
        let alone = next.is_empty() && self.plan.missing == Missing::Prefer && version == 0;
        if next != *agreed || alone {
            self.proposed.extend(next.iter().cloned());
            wants.push(Command::Copies { book, version, copies: next });
        }
        wants
    }

    fn say_wants(&mut self, now: Micros, out: &mut Vec<Output>) -> Result<(), MemberError> {
        let wants = self.wants();
        self.settle_pending(out);
        self.asked.retain(|(command, at)| wants.contains(command) && now < *at);
        for command in wants {
            if self.asked.iter().any(|(asked, _)| *asked == command) {
                continue;
            }
            let Some(leader) = self.leader() else { continue };
            self.asked.push((command.clone(), now + AGAIN));
            self.tell(leader, Message::Propose(command), now, out)?;
        }
        Ok(())
    }

    /// Parts that were in the journal at the start, or whose end was agreed meanwhile.
    fn settle_pending(&mut self, out: &mut Vec<Output>) {
        if self.epoch.is_none() {
            return;
        }
        let sources: Vec<_> = self.pending.keys().cloned().collect();
        for source in sources {
            let taken = matches!(self.agreed.part(&source), Some(Part::Taken(..)));
            let mine = self.is_mine(&source);
            let Some(pending) = self.pending.get_mut(&source) else { continue };
            if pending.kept {
                let over = !mine;
                if over && pending.done {
                    self.pending.remove(&source);
                }
            } else if !mine {
                self.pending.remove(&source);
                out.push(Output::Settle { source, kept: false });
            } else if taken || breaks::on(Break::TakenAtOnce) {
                pending.kept = true;
                out.push(Output::Settle { source, kept: true });
            }
        }
    }

    /// Whoever leads says who is gone, and sees to it that those vote whom the operators named.
    fn lead(&mut self, now: Micros, out: &mut Vec<Output>) -> Result<(), MemberError> {
        let serving = self.agreed.members.iter().filter(|(_, m)| m.serving);
        let lapsed: Vec<_> = serving
            .filter(|(name, m)| now >= self.granted.lapses(name, m.epoch, &self.plan))
            .map(|(name, m)| Command::Gone { name: name.clone(), epoch: m.epoch })
            .collect();
        if !lapsed.is_empty() && now >= self.lapse_at {
            self.lapse_at = now + AGAIN;
            for command in &lapsed {
                if let Command::Gone { name, epoch } = command {
                    self.granted.lapsed(name, *epoch);
                }
            }
            lapsed.into_iter().try_for_each(|command| self.propose(command, now, out))?;
        }
        if now >= self.forget_at && self.agreed.settlements.sizes().1 > 0 {
            self.forget_at = now + FORGET;
            let command = settlement::Command::Forget { before: now };
            self.propose(Command::Settlement(command), now, out)?;
        }
        let voters = self.agreement.voters();
        let named = |token: &Token| self.names.get(token).is_some_and(|name| self.plan.is_voter(name));
        let serves = |token: &Token| self.agreed.members.values().any(|m| m.token == *token && m.serving);
        let learners = self.agreement.learners();
        if !named(&self.agreement.token())
            && let Some(to) = voters.iter().copied().find(|t| named(t) && serves(t))
            && !learners.iter().any(|t| named(t) && serves(t))
        {
            // Nobody takes its own vote away: the next leader does.
            return self.agree(agreement::Input::HandOver { to }, now, out);
        }
        let promote = learners.iter().find(|t| named(t) && serves(t)).copied().map(Change::Promote);
        let demote = || voters.iter().find(|t| !named(t) && self.names.contains_key(t)).copied();
        match promote.or_else(|| demote().map(Change::AddLearner)) {
            Some(change) => self.change(change, now, out),
            None => Ok(()),
        }
    }

    fn change(&mut self, change: Change, now: Micros, out: &mut Vec<Output>) -> Result<(), MemberError> {
        self.ticket += 1;
        self.agree(agreement::Input::Change { ticket: self.ticket, change }, now, out)
    }
}

impl From<&Source> for journal::Source {
    fn from(source: &Source) -> Self {
        journal::Source {
            owner: source.book.owner.clone(),
            epoch: source.book.epoch,
            part: source.part as u32,
        }
    }
}

impl From<&journal::Source> for Source {
    fn from(source: &journal::Source) -> Self {
        let book = BookId { owner: source.owner.clone(), epoch: source.epoch };
        Source { book, part: source.part as usize }
    }
}
