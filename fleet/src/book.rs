//! A courier's book at other couriers: the owner's side, which knows how far each copy is, and the copy's.
//!
//! A book is the owner's journal, byte for byte. Whatever is written to it counts once it is at every copy of the agreed set,
//! so that any one of them has all that counts. A journal that is compacted begins a new generation; a copy puts it in the
//! place of the one before in one step, when it is whole.

use crate::message::{Message, PAGE, Place};
use crate::plan::Name;
use crate::state::BookId;
use bytes::Bytes;
use quillmount_core::journal::{self, JournalRecord, Records};
use quillmount_core::store::Store;
use spurshore::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// A page that is not confirmed is sent again after so long; a connection between couriers answers in milliseconds.
const AGAIN: Micros = 200_000;
/// A page that can never be confirmed is not sent more often than this.
const AGAIN_MOST: Micros = 1_000_000;
/// Bytes of one book at a copy, at most: four times the largest share of a disk that a journal has had.
pub const COPY_MOST: u64 = 64 << 20;

/// Where one copy is, by the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Progress {
    /// Bytes of this generation that it has, staged ones included; sent from here on.
    have: Place,
    /// All up to this point of the owner's count is in its store.
    safe: u64,
    /// Its store has this generation, whole.
    based: bool,
    /// It has had one.
    ever: bool,
    /// A page is out, and sent again then.
    again: Option<Micros>,
    pause: Micros,
    /// It last confirmed anything new then, had all, or was chosen.
    moved: Micros,
}

/// The owner's side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    pub book: BookId,
    /// All of the journal.
    bytes: Vec<u8>,
    generation: u64,
    /// The first bytes of this generation, which are whole or worth nothing.
    whole: u64,
    /// Bytes ever written before this generation, in this life.
    before: u64,
    copies: BTreeMap<Name, Progress>,
}

impl Owner {
    /// The journal as the process found it; none of it counts as written in this life.
    pub fn new(book: BookId, bytes: Vec<u8>) -> Self {
        let whole = bytes.len() as u64;
        Owner { book, bytes, generation: 1, whole, before: 0, copies: BTreeMap::new() }
    }

    /// All that was ever written: a mark that grows with each record.
    pub fn written(&self) -> u64 {
        self.before + self.bytes.len() as u64
    }

    pub fn wrote(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    pub fn replaced(&mut self, bytes: Vec<u8>) {
        self.before = self.written();
        self.whole = bytes.len() as u64;
        self.bytes = bytes;
        self.generation += 1;
    }

    /// Copies to these, and to no other.
    pub fn copy_to(&mut self, names: &BTreeSet<Name>, now: Micros) {
        self.copies.retain(|name, _| names.contains(name));
        for name in names {
            self.copies.entry(name.clone()).or_insert(Progress {
                have: Place::default(),
                safe: 0,
                based: false,
                ever: false,
                again: None,
                pause: AGAIN,
                moved: now,
            });
        }
    }

    /// Its process is another, and perhaps its folder: nothing is known of what it has.
    pub fn forget(&mut self, name: &str) {
        self.copies.remove(name);
    }

    /// All up to this mark is at each of these.
    pub fn safe(&self, needed: &BTreeSet<Name>) -> u64 {
        let at = |name| self.copies.get(name).map_or(0, |copy| copy.safe);
        needed.iter().map(at).min().unwrap_or_else(|| self.written())
    }

    /// A copy has all that is written.
    pub fn in_step(&self, name: &str) -> bool {
        self.copies.get(name).is_some_and(|copy| copy.safe == self.written())
    }

    /// A copy has got the whole book once; what came since is on its way.
    pub fn has_base(&self, name: &str) -> bool {
        self.copies.get(name).is_some_and(|copy| copy.ever)
    }

    /// Something is written that this copy has not confirmed for so long.
    pub fn late(&self, name: &str, now: Micros) -> Micros {
        let done = |copy: &Progress| copy.based && copy.safe == self.written();
        let late = |copy: &Progress| if done(copy) { 0 } else { now.saturating_sub(copy.moved) };
        self.copies.get(name).map_or(0, late)
    }

    pub fn copied(&mut self, from: &str, place: Place, staged: Place, now: Micros) {
        let (generation, whole, before, len) =
            (self.generation, self.whole, self.before, self.bytes.len() as u64);
        let Some(copy) = self.copies.get_mut(from) else { return };
        let have = [staged, place].into_iter().find(|p| p.generation == generation).unwrap_or_default();
        if place.len > len && place.generation == generation || have.len > len {
            // No copy has more than its owner; a word of an earlier life may say so.
            return;
        }
        copy.based = place.generation == generation && place.len >= whole;
        if copy.based {
            let safe = before + place.len;
            if safe > copy.safe || !copy.ever {
                (copy.moved, copy.pause) = (now, AGAIN);
            }
            (copy.safe, copy.ever) = (copy.safe.max(safe), true);
        }
        if have != copy.have {
            (copy.have, copy.moved) = (have, now);
        }
        copy.again = None;
    }

    /// What is to be sent now.
    pub fn send(&mut self, now: Micros) -> Vec<(Name, Message)> {
        let mut messages = Vec::new();
        for (name, copy) in &mut self.copies {
            if copy.have.generation != self.generation {
                copy.have = Place { generation: self.generation, len: 0 };
                (copy.again, copy.based) = (None, false);
            }
            let at = copy.have.len as usize;
            let done = copy.based && at == self.bytes.len();
            if done {
                // It is behind from the next record on, however long there has been none.
                copy.moved = now;
            }
            if done || copy.again.is_some_and(|again| now < again) {
                continue;
            }
            if copy.again.is_some() {
                copy.pause = (copy.pause * 2).min(AGAIN_MOST);
            }
            copy.again = Some(now + copy.pause);
            let page = &self.bytes[at..self.bytes.len().min(at + PAGE)];
            messages.push((
                name.clone(),
                Message::Append {
                    book: self.book.clone(),
                    generation: self.generation,
                    // One that begins anew may have had all of this, and must not have less of it meanwhile.
                    whole: if copy.based { self.whole } else { self.bytes.len() as u64 },
                    at: at as u64,
                    bytes: Bytes::copy_from_slice(page),
                },
            ));
        }
        messages
    }

    pub fn wake_at(&self) -> Option<Micros> {
        self.copies.values().filter_map(|copy| copy.again).min()
    }
}

/// The copy's side: one book of another courier.
#[derive(Clone, Debug)]
pub struct Copy<S> {
    store: S,
    place: Place,
    /// A generation that is not whole yet.
    staged: Vec<u8>,
    staged_generation: u64,
    sealed: bool,
}

impl<S: Store> Copy<S> {
    /// What the store has: from here on only a whole book changes it, since its generation is not known.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn open(mut store: S) -> io::Result<Self> {
        let bytes = store.read()?;
        let sealed = Records::of(&bytes).any(|(_, record)| matches!(record, JournalRecord::Sealed));
        Ok(Copy { store, place: Place::default(), staged: Vec::new(), staged_generation: 0, sealed })
    }

    /// Bytes that it takes, on the disk and before that.
    pub fn takes(&self) -> u64 {
        self.store.len() + self.staged.len() as u64
    }

    pub fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Takes bytes of the owner's; says how far it is. `None`: the book is sealed, and nothing is said.
    ///
    /// # Errors
    /// The store refuses them: nothing is confirmed.
    pub fn append(
        &mut self,
        generation: u64,
        whole: u64,
        at: u64,
        bytes: &[u8],
    ) -> io::Result<Option<(Place, Place)>> {
        if self.sealed && !crate::breaks::on(crate::breaks::Break::SealIgnored) {
            return Ok(None);
        }
        if at + bytes.len() as u64 > COPY_MOST {
            return Ok(Some(self.told()));
        }
        if generation == self.place.generation && generation != 0 {
            let old = self.place.len.saturating_sub(at) as usize;
            if at <= self.place.len && old < bytes.len() {
                self.store.append(&bytes[old..])?;
                self.place.len += (bytes.len() - old) as u64;
            }
        } else if generation > self.place.generation {
            if generation != self.staged_generation {
                (self.staged_generation, self.staged) = (generation, Vec::new());
            }
            let follows = at <= self.staged.len() as u64;
            let old = (self.staged.len() as u64).saturating_sub(at) as usize;
            if follows && old < bytes.len() {
                self.staged.extend_from_slice(&bytes[old..]);
            }
            if follows && self.staged.len() as u64 >= whole {
                self.store.replace(&self.staged)?;
                self.place = Place { generation, len: self.staged.len() as u64 };
                (self.staged, self.staged_generation) = (Vec::new(), 0);
            }
        }
        Ok(Some(self.told()))
    }

    fn told(&self) -> (Place, Place) {
        (self.place, Place { generation: self.staged_generation, len: self.staged.len() as u64 })
    }

    /// Nothing of the owner's is taken from here on, whatever becomes of this process.
    ///
    /// # Errors
    /// The store refuses the record: it is not sealed.
    pub fn seal(&mut self) -> io::Result<()> {
        if !self.sealed {
            let frame = journal::frame(&JournalRecord::Sealed).map_err(io::Error::other)?;
            self.store.append(&frame)?;
            self.place.len += frame.len() as u64;
            self.sealed = true;
            (self.staged, self.staged_generation) = (Vec::new(), 0);
        }
        Ok(())
    }

    /// A page of a sealed book, and how long the book is.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn page(&mut self, at: u64) -> io::Result<(u64, Bytes)> {
        let bytes = self.store.read()?;
        let from = (at as usize).min(bytes.len());
        let to = bytes.len().min(from + PAGE);
        Ok((bytes.len() as u64, Bytes::copy_from_slice(&bytes[from..to])))
    }

    /// The book goes on under another epoch, in another store; what it has stays until the owner has sent it anew.
    ///
    /// # Errors
    /// A store can't be read or written.
    pub fn rename(mut self, mut store: S) -> io::Result<Copy<S>> {
        let bytes = self.store.read()?;
        let end =
            Records::of(&bytes).find(|(_, record)| matches!(record, JournalRecord::Sealed)).map(|(at, _)| at);
        store.replace(&bytes[..end.unwrap_or(bytes.len())])?;
        Copy::open(store)
    }
}
