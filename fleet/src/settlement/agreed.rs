//! The part of the agreed state that is about settlements: their homes, and the verdicts of those that are
//! over.
//!
//! [`Agreed::apply`] knows no clock: times come in as values. Each home has a term, which no other home ever
//! had, so that a command that comes late or twice changes nothing.

use super::{SettlementId, Verdict};
use serde::{Deserialize, Serialize};
use spurshore::Micros;
use std::collections::BTreeMap;

/// Settlements open at once in the fleet: some 200 bytes each, so 13 MB of state and snapshot at most.
pub const OPEN_MAX: usize = 65_536;
/// Of one tenant: no tenant takes more than a quarter of the table.
pub const OPEN_TENANT_MAX: u32 = 16_384;
/// Verdicts remembered at once. When so many are, nothing new is opened: forgetting one early would let a
/// late message open its settlement anew, after a break.
pub const VERDICTS_MAX: usize = 262_144;

/// One courier's book in one registration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Book {
    pub courier: String,
    pub epoch: u64,
}

/// Where a settlement lives.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Home {
    pub courier: String,
    pub epoch: u64,
    /// Greater with each home of any settlement.
    pub term: u64,
    /// Books of earlier homes whose records the present one has not written into its own yet, oldest first.
    /// One more with each home that was lost before it had.
    pub books: Vec<Book>,
}

impl Home {
    pub fn is(&self, courier: &str, epoch: u64) -> bool {
        self.courier == courier && self.epoch == epoch
    }
}

/// A settlement that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Over {
    pub verdict: Verdict,
    /// No message of it can come later than this.
    pub until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// The first of them makes the home.
    Open { id: SettlementId, home: String, home_epoch: u64 },
    /// The home of this term gives it away; `boundary`: with nothing out and no session open. Who gives one
    /// away is leaving, and is given none: two that are drained at once would hand one to and fro.
    Move { id: SettlementId, term: u64, to: String, to_epoch: u64, boundary: bool },
    /// The home of this term has all that was in earlier books in its own.
    Up { id: SettlementId, term: u64 },
    /// The home of this term has decided; the verdict is kept until then.
    Close { id: SettlementId, term: u64, verdict: Verdict, until: Micros },
    /// This courier is not leaving any more.
    Stay { courier: String, epoch: u64 },
    /// By the leader's clock, less the drift that is allowed for, this time is over.
    Forget { before: Micros },
}

/// What a command changed, or why it did not.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Event {
    Opened {
        id: SettlementId,
        home: Book,
        term: u64,
    },
    /// There are too many; so many are open.
    NotOpened {
        id: SettlementId,
        open: u64,
    },
    Moved {
        id: SettlementId,
        from: Book,
        to: Book,
        term: u64,
        boundary: bool,
    },
    /// The courier that was to have it is no member any more, or is leaving itself.
    NotMoved {
        id: SettlementId,
        term: u64,
        to: Book,
    },
    /// Nobody needs the records in these books any more.
    Up {
        id: SettlementId,
        books: Vec<Book>,
    },
    Closed {
        id: SettlementId,
        home: Book,
        verdict: Verdict,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Agreed {
    open: BTreeMap<SettlementId, Home>,
    tenants: BTreeMap<String, u32>,
    over: BTreeMap<SettlementId, Over>,
    /// By courier: the last epoch that is gone. As many as the fleet ever had names.
    gone: BTreeMap<String, u64>,
    /// Couriers that are leaving, each in this epoch.
    leaving: BTreeMap<String, u64>,
    terms: u64,
}

impl Agreed {
    pub fn home(&self, id: &SettlementId) -> Option<&Home> {
        self.open.get(id)
    }

    pub fn verdict(&self, id: &SettlementId) -> Option<Verdict> {
        self.over.get(id).map(|over| over.verdict)
    }

    /// Settlements that are open, with their homes.
    pub fn homes(&self) -> impl Iterator<Item = (&SettlementId, &Home)> {
        self.open.iter()
    }

    /// How many are open, and how many verdicts are remembered.
    pub fn sizes(&self) -> (usize, usize) {
        (self.open.len(), self.over.len())
    }

    pub fn is_leaving(&self, courier: &str, epoch: u64) -> bool {
        self.leaving.get(courier) == Some(&epoch)
    }

    fn is_gone(&self, courier: &str, epoch: u64) -> bool {
        self.gone.get(courier).is_some_and(|gone| epoch <= *gone)
    }

    fn term(&mut self) -> u64 {
        self.terms += 1;
        self.terms
    }

    /// The home, if it is of this term.
    fn of_term(&mut self, id: &SettlementId, term: u64) -> Option<&mut Home> {
        self.open.get_mut(id).filter(|home| home.term == term)
    }

    pub fn apply(&mut self, command: &Command) -> Vec<Event> {
        match command {
            Command::Open { id, home, home_epoch } => self.open(id, home, *home_epoch),
            Command::Move { id, term, to, to_epoch, boundary } => {
                let to = Book { courier: to.clone(), epoch: *to_epoch };
                let is_refused =
                    self.is_gone(&to.courier, to.epoch) || self.is_leaving(&to.courier, to.epoch);
                let Some(home) = self.of_term(id, *term) else { return Vec::new() };
                let (from, epoch) = (home.courier.clone(), home.epoch);
                if is_refused {
                    return vec![Event::NotMoved { id: id.clone(), term: *term, to }];
                }
                if from != to.courier {
                    self.leaving.insert(from, epoch);
                }
                self.move_to(id, to, *boundary).into_iter().collect()
            }
            Command::Up { id, term } => {
                let books = self.of_term(id, *term).map(|home| std::mem::take(&mut home.books));
                let books = books.filter(|books| !books.is_empty());
                books.map(|books| Event::Up { id: id.clone(), books }).into_iter().collect()
            }
            Command::Close { id, term, verdict, until } => {
                if self.of_term(id, *term).is_none() {
                    return Vec::new();
                }
                let Some(home) = self.open.remove(id) else { return Vec::new() };
                if let Some(open) = self.tenants.get_mut(&id.tenant) {
                    *open -= 1;
                    if *open == 0 {
                        self.tenants.remove(&id.tenant);
                    }
                }
                self.over.insert(id.clone(), Over { verdict: *verdict, until: *until });
                let books = (!home.books.is_empty()).then(|| Event::Up { id: id.clone(), books: home.books });
                let home = Book { courier: home.courier, epoch: home.epoch };
                let closed = Event::Closed { id: id.clone(), home, verdict: *verdict };
                std::iter::once(closed).chain(books).collect()
            }
            Command::Stay { courier, epoch } => {
                if self.is_leaving(courier, *epoch) {
                    self.leaving.remove(courier);
                }
                Vec::new()
            }
            Command::Forget { before } => {
                self.over.retain(|_, over| over.until >= *before);
                Vec::new()
            }
        }
    }

    fn open(&mut self, id: &SettlementId, home: &str, epoch: u64) -> Vec<Event> {
        let is_known = self.open.contains_key(id) || self.over.contains_key(id);
        if is_known || self.is_gone(home, epoch) {
            return Vec::new();
        }
        let tenant = self.tenants.get(&id.tenant).copied().unwrap_or(0);
        let is_full = self.open.len() >= OPEN_MAX || self.open.len() + self.over.len() >= VERDICTS_MAX;
        if is_full || tenant >= OPEN_TENANT_MAX {
            return vec![Event::NotOpened { id: id.clone(), open: self.open.len() as u64 }];
        }
        let term = self.term();
        self.tenants.insert(id.tenant.clone(), tenant + 1);
        let made = Home { courier: home.to_string(), epoch, term, books: Vec::new() };
        self.open.insert(id.clone(), made);
        vec![Event::Opened { id: id.clone(), home: Book { courier: home.to_string(), epoch }, term }]
    }

    fn move_to(&mut self, id: &SettlementId, to: Book, boundary: bool) -> Option<Event> {
        let term = self.term();
        let home = self.open.get_mut(id)?;
        let from = Book { courier: home.courier.clone(), epoch: home.epoch };
        home.books.push(from.clone());
        (home.courier, home.epoch, home.term) = (to.courier.clone(), to.epoch, term);
        Some(Event::Moved { id: id.clone(), from, to, term, boundary })
    }

    /// A courier's registration is over and its book sealed: each of its settlements goes to one of the
    /// takers, by rendezvous hashing. Without a taker they stay where they are until there is one.
    pub fn gone(&mut self, courier: &str, epoch: u64, takers: &[Book]) -> Vec<Event> {
        let last = self.gone.entry(courier.to_string()).or_insert(epoch);
        *last = (*last).max(epoch);
        if self.leaving.get(courier).is_some_and(|leaving| *leaving <= epoch) {
            self.leaving.remove(courier);
        }
        let theirs = self.open.iter().filter(|(_, home)| home.courier == courier && home.epoch <= epoch);
        let theirs: Vec<SettlementId> = theirs.map(|(id, _)| id.clone()).collect();
        let takers: Vec<Book> =
            takers.iter().filter(|taker| !self.is_gone(&taker.courier, taker.epoch)).cloned().collect();
        // One that is leaving takes what nobody else can.
        let staying = takers.iter().filter(|t| !self.is_leaving(&t.courier, t.epoch)).cloned();
        let staying: Vec<Book> = staying.collect();
        let takers = if staying.is_empty() { takers } else { staying };
        let moved = theirs.into_iter().filter_map(|id| {
            let to = taker(&id, &takers)?.clone();
            self.move_to(&id, to, false)
        });
        moved.collect()
    }
}

impl Agreed {
    /// Settlements whose home serves no more (`serves` says so) go to whoever has the part of the lost book that their
    /// destination is in. Without a taker they stay where they are until there is one.
    pub fn rehome(
        &mut self,
        serves: impl Fn(&str, u64) -> bool,
        taker: impl Fn(u64) -> Option<Book>,
    ) -> Vec<Event> {
        let lost = self.open.iter().filter(|(_, home)| !serves(&home.courier, home.epoch));
        let lost: Vec<SettlementId> = lost.map(|(id, _)| id.clone()).collect();
        lost.into_iter().filter_map(|id| self.move_to(&id, taker(id.dest)?, false)).collect()
    }

    /// A courier's registration is over: it is given none any more.
    pub fn over(&mut self, courier: &str, epoch: u64) {
        let last = self.gone.entry(courier.to_string()).or_insert(epoch);
        *last = (*last).max(epoch);
        if self.leaving.get(courier).is_some_and(|leaving| *leaving <= epoch) {
            self.leaving.remove(courier);
        }
    }

    /// A courier goes on with its book under another epoch: what it was home to is its own again, and so is what others
    /// were to take over, as nobody has read that book. `read(book, dest)`: that book's part is in another by now.
    pub fn back(
        &mut self,
        courier: &str,
        from: u64,
        to: u64,
        read: impl Fn(&Book, u64) -> bool,
    ) -> Vec<Event> {
        self.over(courier, from);
        let (old, new) =
            (Book { courier: courier.into(), epoch: from }, Book { courier: courier.into(), epoch: to });
        let mut moved = Vec::new();
        let ids: Vec<SettlementId> = self.open.keys().cloned().collect();
        for id in ids {
            let Some(home) = self.open.get_mut(&id) else { continue };
            if home.is(&old.courier, old.epoch) {
                moved.extend(self.move_to(&id, new.clone(), false));
                continue;
            }
            let Some(n) = home.books.iter().position(|book| *book == old) else { continue };
            // It was home too, and never came to read what was before it: then it has written nothing.
            if n > 0 && !read(&home.books[n - 1], id.dest) {
                home.books.remove(n);
                continue;
            }
            home.books.truncate(n);
            moved.extend(self.move_to(&id, new.clone(), false));
            if let Some(home) = self.open.get_mut(&id) {
                // Whoever was to have it has written nothing.
                home.books.truncate(n);
                home.books.push(old.clone());
            }
        }
        moved
    }
}

/// Whom this settlement goes to: the same for everybody, and spread over all of them.
pub fn taker<'a>(id: &SettlementId, takers: &'a [Book]) -> Option<&'a Book> {
    takers.iter().max_by_key(|taker| (weight(id, &taker.courier), *taker))
}

/// FNV-1a, written out: couriers of different builds have to agree on it.
fn weight(id: &SettlementId, courier: &str) -> u64 {
    let fields = [id.tenant.as_bytes(), id.name.as_bytes(), &id.dest.to_le_bytes(), courier.as_bytes()];
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    let hash =
        fields.iter().fold(0xcbf2_9ce4_8422_2325, |hash, field| step(field.iter().fold(hash, step), &0xff));
    // The last bytes alone would decide: names often differ there only.
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
