//! What the fleet agrees on: who is a member under which epoch, whose book is whose, who holds copies of it, and who takes
//! over what of it. Every courier applies the same commands in the same order; nothing here knows the time.

use crate::Token;
use crate::breaks::{self, Break};
use crate::budget;
use crate::plan::{Name, weight};
use crate::settlement;
use crate::shares::{Count, Shared};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Grows with each registration of any courier: whoever acts under an older one has been replaced.
pub type Epoch = u64;

/// A sealed book is taken over in so many parts, by destination: a dozen takers share one loss, and the state stays small.
pub const PARTS: usize = 16;
/// Sealed books at once: beyond, no new member is registered until takers have done their work, since each loss adds one.
pub const BOOKS_MOST: usize = 4_096;

/// The part of a book that a destination's messages are in.
pub fn part_of(dest: u64) -> usize {
    (weight(&dest.to_le_bytes(), "") % PARTS as u64) as usize
}

/// A book's name: the courier that writes it, and the epoch under which it does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BookId {
    pub owner: Name,
    pub epoch: Epoch,
}

impl std::fmt::Display for BookId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.owner, self.epoch)
    }
}

/// A part of a sealed book.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    pub book: BookId,
    pub part: usize,
}

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} part {}", self.book, self.part)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub token: Token,
    /// Drawn by its process.
    pub life: u64,
    pub epoch: Epoch,
    /// Its lease has not lapsed, and it has not left.
    pub serving: bool,
}

/// Who has a part of a sealed book.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// Nobody is there to take it.
    Waiting,
    /// To be copied into this courier's book.
    Given(Name, Epoch),
    /// It is in this courier's book, and its.
    Taken(Name, Epoch),
    /// That book says so itself: nothing more is to be remembered here.
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    /// The epoch under which it began: the same as long as its owner goes on with the same journal.
    pub line: Epoch,
    /// Those at which each record has to be before it counts.
    pub copies: BTreeSet<Name>,
    /// Grows with each change of `copies`, and with each folder that a copy may have been lost with. Where it is 0, nothing
    /// that was written there counts.
    pub version: u64,
    /// `None`: its owner writes it.
    pub sealed: Option<Vec<Part>>,
}

/// Everything that is agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreed {
    pub epoch: Epoch,
    pub members: BTreeMap<Name, Member>,
    pub books: BTreeMap<BookId, Book>,
    /// Partners' budgets, and who holds what of them.
    pub shared: Shared,
    /// Settlements' homes, and the verdicts of those that are over.
    pub settlements: settlement::Agreed,
}

/// One change of it. Each says under which circumstances it holds, so that a late or repeated one changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A courier's process has started; `book`: the line of the book in its folder.
    Join { name: Name, token: Token, life: u64, book: Option<Epoch> },
    /// Its lease has lapsed, or it has left: its book is sealed.
    Gone { name: Name, epoch: Epoch },
    /// The owner wants these copies; `version`: the one that it knows.
    Copies { book: BookId, version: u64, copies: BTreeSet<Name> },
    /// The part is in the taker's book.
    Taken { source: Source, by: Name, epoch: Epoch },
    /// The taker's book says so.
    Done { source: Source, by: Name, epoch: Epoch },
    /// Of a partner's budget.
    Share(Count, budget::Command),
    /// Of a settlement's home.
    Settlement(settlement::Command),
}

/// What a command has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It serves under this epoch; `kept`: the book in its folder is still its own.
    Joined {
        name: Name,
        epoch: Epoch,
        life: u64,
        kept: bool,
    },
    Gone {
        name: Name,
        epoch: Epoch,
    },
    /// The same book under a new epoch, since its owner's process is another.
    Renamed {
        from: BookId,
        to: BookId,
    },
    Sealed(BookId),
    /// Its copies are others.
    Copies(BookId),
    /// Somebody else has it, or somebody at all.
    Given(Source),
    Taken(Source, Name, Epoch),
    /// All of a book is in others.
    Over(BookId),
    /// What couriers may use of partners' budgets is another.
    Shares,
    Settlement(settlement::Event),
}

impl Agreed {
    /// Those that serve.
    pub fn serving(&self) -> BTreeSet<Name> {
        self.members.iter().filter(|(_, m)| m.serving).map(|(name, _)| name.clone()).collect()
    }

    /// The epoch under which a courier serves.
    pub fn epoch_of(&self, name: &str) -> Option<Epoch> {
        self.members.get(name).filter(|m| m.serving).map(|m| m.epoch)
    }

    pub fn part(&self, source: &Source) -> Option<&Part> {
        self.books.get(&source.book)?.sealed.as_ref()?.get(source.part)
    }

    /// What a courier is to take over: parts that are given to it under this epoch.
    pub fn given_to<'a>(&'a self, name: &'a str, epoch: Epoch) -> impl Iterator<Item = Source> + 'a {
        self.books.iter().flat_map(move |(book, b)| {
            let parts = b.sealed.iter().flatten().enumerate();
            parts.filter_map(move |(part, p)| match p {
                Part::Given(to, at) if to == name && *at == epoch => {
                    Some(Source { book: book.clone(), part })
                }
                _ => None,
            })
        })
    }

    /// Applies a command; one that does not hold any more changes nothing and tells nothing.
    pub fn apply(&mut self, command: Command) -> Vec<Event> {
        let mut events = Vec::new();
        match command {
            Command::Join { name, token, life, book } => self.join(name, token, life, book, &mut events),
            Command::Gone { name, epoch } => {
                if self.epoch_of(&name) == Some(epoch) {
                    self.gone(&name, epoch, &mut events);
                }
            }
            Command::Copies { book, version, copies } => {
                let serving = self.serving();
                if let Some(b) = self.books.get_mut(&book)
                    && b.sealed.is_none()
                    && b.version == version
                    && copies.is_subset(&serving)
                    && !copies.contains(&book.owner)
                {
                    (b.copies, b.version) = (copies, version + 1);
                    events.push(Event::Copies(book));
                }
            }
            Command::Taken { source, by, epoch } => {
                let holds = self.epoch_of(&by) == Some(epoch);
                if let Some(part) = self.part_mut(&source)
                    && holds
                    && *part == Part::Given(by.clone(), epoch)
                {
                    *part = Part::Taken(by.clone(), epoch);
                    events.push(Event::Taken(source, by, epoch));
                }
            }
            Command::Done { source, by, epoch } => {
                if let Some(part) = self.part_mut(&source)
                    && *part == Part::Taken(by, epoch)
                {
                    *part = Part::Done;
                    self.clear(&mut events);
                }
            }
            Command::Share(count, command) => {
                if self.shared.apply(count, &command) {
                    events.push(Event::Shares);
                }
            }
            Command::Settlement(command) => {
                // Only a member that serves is home to any.
                let holds = match &command {
                    settlement::Command::Open { home, home_epoch, .. } => {
                        self.epoch_of(home) == Some(*home_epoch)
                    }
                    settlement::Command::Move { to, to_epoch, .. } => self.epoch_of(to) == Some(*to_epoch),
                    _ => true,
                };
                if holds {
                    events.extend(self.settlements.apply(&command).into_iter().map(Event::Settlement));
                }
            }
        }
        events
    }

    fn part_mut(&mut self, source: &Source) -> Option<&mut Part> {
        self.books.get_mut(&source.book)?.sealed.as_mut()?.get_mut(source.part)
    }

    fn join(&mut self, name: Name, token: Token, life: u64, book: Option<Epoch>, events: &mut Vec<Event>) {
        // Asked twice, since the first word may have been lost: the same life keeps what it got.
        if self.members.get(&name).is_some_and(|m| m.serving && m.token == token && m.life == life) {
            return;
        }
        if self.books.len() >= BOOKS_MOST {
            return;
        }
        self.epoch += 1;
        let epoch = self.epoch;
        let old = self.members.get(&name).cloned();
        if let Some(m) = &old
            && m.token != token
            && !breaks::on(Break::EmptyCopyKept)
        {
            // Its folder is lost, and with it all copies that it held for others.
            self.no_copies_at(&name, true, events);
        }
        let from = old.map(|m| BookId { owner: name.clone(), epoch: m.epoch });
        // Its own book is still its own if nobody has taken any of it.
        let kept = from.filter(|from| {
            let untaken = |p: &Part| matches!(p, Part::Waiting | Part::Given(..));
            let own = |b: &Book| book == Some(b.line) && b.sealed.iter().flatten().all(untaken);
            self.books.get(from).is_some_and(own)
        });
        let to = BookId { owner: name.clone(), epoch };
        match &kept {
            Some(from) => {
                if let Some(b) = self.books.remove(from) {
                    let serving = self.serving();
                    let copies = b.copies.into_iter().filter(|copy| serving.contains(copy)).collect();
                    let b = Book { sealed: None, version: b.version + 1, copies, ..b };
                    self.books.insert(to.clone(), b);
                }
                self.rename_parts(&name, from.epoch, epoch);
                events.push(Event::Renamed { from: from.clone(), to });
            }
            None => {
                if let Some(m) = self.members.get(&name).cloned() {
                    if m.serving {
                        self.gone(&name, m.epoch, events);
                    }
                    let id = BookId { owner: name.clone(), epoch: m.epoch };
                    if self.books.get(&id).is_some_and(|b| b.version == 0) {
                        self.books.remove(&id);
                        events.push(Event::Over(id));
                    }
                }
                self.books
                    .insert(to, Book { line: epoch, copies: BTreeSet::new(), version: 0, sealed: None });
            }
        }
        self.members.insert(name.clone(), Member { token, life, epoch, serving: true });
        self.shared.joined(&name, epoch);
        events.push(Event::Joined { name: name.clone(), epoch, life, kept: kept.is_some() });
        if let Some(from) = kept {
            self.settlements_back(&name, from.epoch, epoch, events);
        }
        self.give(events);
    }

    /// A process that goes on with its book goes on with what it had to take over, too.
    fn rename_parts(&mut self, name: &str, from: Epoch, to: Epoch) {
        let parts = self.books.values_mut().filter_map(|b| b.sealed.as_mut()).flatten();
        for part in parts {
            match part {
                Part::Given(by, epoch) | Part::Taken(by, epoch) if by == name && *epoch == from => {
                    *epoch = to
                }
                _ => {}
            }
        }
    }

    /// A sealed book's copy may be needed when its holder is back; one whose folder is lost (`lost`) will not.
    fn no_copies_at(&mut self, name: &str, lost: bool, events: &mut Vec<Event>) {
        for (id, book) in self.books.iter_mut().filter(|(_, b)| lost || b.sealed.is_none()) {
            // An owner that has not heard of it yet may ask for the copy that was lost: that word is void.
            let asked = lost && book.sealed.is_none() && book.version > 0;
            if book.copies.remove(name) || asked {
                book.version += 1;
                events.push(Event::Copies(id.clone()));
            }
        }
    }

    fn gone(&mut self, name: &str, epoch: Epoch, events: &mut Vec<Event>) {
        if let Some(m) = self.members.get_mut(name) {
            m.serving = false;
        }
        self.shared.gone(name, epoch);
        self.settlements.over(name, epoch);
        events.push(Event::Gone { name: name.into(), epoch });
        self.no_copies_at(name, false, events);
        let id = BookId { owner: name.into(), epoch };
        // Of a book that never had a copy nothing can be taken over: it stays its owner's, as it is.
        if let Some(book) = self.books.get_mut(&id).filter(|book| book.version > 0) {
            book.sealed = Some(vec![Part::Waiting; PARTS]);
            events.push(Event::Sealed(id));
        }
        for book in self.books.values_mut() {
            for part in book.sealed.iter_mut().flatten() {
                if *part == Part::Given(name.into(), epoch) {
                    *part = Part::Waiting;
                }
            }
        }
        self.give(events);
    }

    /// A courier goes on with its book: it is home to its settlements again.
    fn settlements_back(&mut self, name: &str, from: Epoch, to: Epoch, events: &mut Vec<Event>) {
        let books = &self.books;
        let read = |book: &settlement::Book, dest: u64| {
            let id = BookId { owner: book.courier.clone(), epoch: book.epoch };
            let part = books.get(&id).and_then(|b| b.sealed.as_ref()?.get(part_of(dest)));
            !matches!(part, Some(Part::Waiting | Part::Given(..)))
        };
        events.extend(self.settlements.back(name, from, to, read).into_iter().map(Event::Settlement));
    }

    /// Names takers for what waits: by part, so that each message has exactly one and the work spreads.
    fn give(&mut self, events: &mut Vec<Event>) {
        let serving: Vec<(Name, Epoch)> =
            self.members.iter().filter(|(_, m)| m.serving).map(|(name, m)| (name.clone(), m.epoch)).collect();
        for (id, book) in &mut self.books {
            for (n, part) in book.sealed.iter_mut().flatten().enumerate() {
                let best = serving.iter().max_by_key(|(name, _)| weight(&n.to_le_bytes(), name));
                if let (Part::Waiting, Some((name, epoch))) = (&*part, best) {
                    *part = Part::Given(name.clone(), *epoch);
                    events.push(Event::Given(Source { book: id.clone(), part: n }));
                }
            }
        }
        // A settlement's records are in the part of its destination.
        let members = &self.members;
        let serves =
            |name: &str, epoch: Epoch| members.get(name).is_some_and(|m| m.serving && m.epoch == epoch);
        let taker = |dest: u64| {
            let part = part_of(dest).to_le_bytes();
            let best = serving.iter().max_by_key(|(name, _)| weight(&part, name));
            best.map(|(name, epoch)| settlement::Book { courier: name.clone(), epoch: *epoch })
        };
        events.extend(self.settlements.rehome(serves, taker).into_iter().map(Event::Settlement));
    }

    /// Forgets books of which all is in others; what was in those, is in their takers' by now.
    fn clear(&mut self, events: &mut Vec<Event>) {
        loop {
            let done =
                |b: &Book| b.sealed.as_ref().is_some_and(|parts| parts.iter().all(|p| *p == Part::Done));
            let Some(id) = self.books.iter().find(|(_, b)| done(b)).map(|(id, _)| id.clone()) else { return };
            self.books.remove(&id);
            let parts = self.books.values_mut().filter_map(|b| b.sealed.as_mut()).flatten();
            for part in parts.filter(|p| **p == Part::Taken(id.owner.clone(), id.epoch)) {
                *part = Part::Done;
            }
            events.push(Event::Over(id));
        }
    }
}
