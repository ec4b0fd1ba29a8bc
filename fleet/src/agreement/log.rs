//! The agreement's part of the lasting folder: append-only records, each with its length and checksums, and
//! the same in memory, as the engine reads it.

use quillmount_core::store::Store;
use raft::prelude::{ConfState, Entry as RaftEntry, EntryType, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::cell::Cell;
use std::io;
use std::sync::Arc;

use super::{AgreementError, Change};
use crate::Token;

/// Before each record: its length, the checksum of that, and the checksum of the record. The length has its
/// own, so that a damaged one is told from a record that a kill has cut short.
const HEAD: usize = 12;
/// The file's form; another one is refused.
const FORM: u16 = 1;

/// What a voter may never take back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Vow {
    pub term: u64,
    /// Whom it has voted for in this term; 0 for none.
    pub vote: Token,
    /// At least so far all is agreed.
    pub commit: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum Payload {
    /// A new leader's mark, which carries nothing.
    Mark,
    Command(Vec<u8>),
    Change(Change),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Entry {
    pub term: u64,
    pub index: u64,
    pub payload: Payload,
}

/// The agreed state after `index`, in the place of all entries up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Image {
    pub index: u64,
    pub term: u64,
    pub voters: Vec<Token>,
    pub learners: Vec<Token>,
    pub state: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
enum Record<'a> {
    Who {
        form: u16,
        token: Token,
    },
    /// `entries` take the place of those from the first one's index on. One record, so that no entry is there
    /// without the commit that came with it: a change of voters is looked for by that.
    Wrote {
        vow: Vow,
        entries: Cow<'a, [Entry]>,
    },
    Image(Cow<'a, Image>),
}

/// What a file tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Told {
    /// 0: the file has yet to be begun.
    pub token: Token,
    pub vow: Vow,
    pub image: Image,
    pub entries: Vec<Entry>,
}

impl Told {
    fn last(&self) -> u64 {
        self.image.index + self.entries.len() as u64
    }

    /// `None`: this can't follow what was there.
    fn add(&mut self, record: Record) -> Option<()> {
        if (self.token == 0) != matches!(record, Record::Who { .. }) {
            return None;
        }
        match record {
            Record::Who { form, token } if form == FORM && token != 0 => self.token = token,
            Record::Who { .. } => return None,
            Record::Wrote { vow, entries } => {
                if let Some(first) = entries.first() {
                    let at = first
                        .index
                        .checked_sub(self.image.index + 1)
                        .filter(|_| first.index <= self.last() + 1)?;
                    self.entries.truncate(usize::try_from(at).ok()?);
                    self.entries.extend(entries.into_owned());
                }
                self.vow = vow;
            }
            Record::Image(image) => {
                self.image = image.into_owned();
                self.entries.clear();
            }
        }
        Some(())
    }
}

/// What the bytes tell up to a record that a kill has cut short, and how many of them are sound.
pub(super) fn read(bytes: &[u8]) -> Result<(Told, usize), AgreementError> {
    let (mut told, mut at) = (Told::default(), 0);
    while let Some((head, rest)) = bytes[at..].split_at_checked(HEAD) {
        let word = |n: usize| u32::from_le_bytes([head[n], head[n + 1], head[n + 2], head[n + 3]]);
        let damaged = || AgreementError::Damaged { at: at as u64 };
        if crc32fast::hash(&head[..4]) != word(4) {
            return Err(damaged());
        }
        let Some(body) = rest.get(..word(0) as usize) else { break };
        if crc32fast::hash(body) != word(8) {
            return Err(damaged());
        }
        let record = postcard::from_bytes(body).map_err(|_| damaged())?;
        told.add(record).ok_or_else(damaged)?;
        at += HEAD + body.len();
    }
    // Entries and the commit that they came with are one record.
    if told.vow.commit > told.last() {
        return Err(AgreementError::Damaged { at: at as u64 });
    }
    Ok((told, at))
}

fn frame(record: &Record, into: &mut Vec<u8>) -> Result<(), AgreementError> {
    let body = postcard::to_stdvec(record).map_err(|_| AgreementError::Unwritable)?;
    let len = u32::try_from(body.len()).map_err(|_| AgreementError::Unwritable)?.to_le_bytes();
    into.extend(len);
    into.extend(crc32fast::hash(&len).to_le_bytes());
    into.extend(crc32fast::hash(&body).to_le_bytes());
    into.extend(body);
    Ok(())
}

fn failed(what: &'static str, source: io::Error) -> AgreementError {
    AgreementError::Store { what, source: Arc::new(source) }
}

/// The file, with the length that it had when it was last written anew.
#[derive(Clone, Debug)]
pub(super) struct File<S> {
    pub store: S,
    pub base: u64,
}

impl<S: Store> File<S> {
    /// Reads it, drops what a kill has cut short, and begins it under `fresh` if it is empty.
    pub fn open(store: S, fresh: Token) -> Result<(Self, Told, bool), AgreementError> {
        let mut file = File { store, base: 0 };
        let bytes = file.store.read().map_err(|e| failed("reading", e))?;
        let (mut told, sound) = read(&bytes)?;
        let new = told.token == 0;
        if new {
            if fresh == 0 {
                return Err(AgreementError::NoToken);
            }
            told.token = fresh;
            file.anew(&told)?;
        } else if sound < bytes.len() {
            // A record behind a torn one would never be read again.
            file.store.replace(&bytes[..sound]).map_err(|e| failed("cutting off a torn record", e))?;
        }
        Ok((file, told, new))
    }

    pub fn append(&mut self, vow: Vow, entries: &[Entry]) -> Result<(), AgreementError> {
        let mut bytes = Vec::new();
        frame(&Record::Wrote { vow, entries: entries.into() }, &mut bytes)?;
        self.store.append(&bytes).map_err(|e| failed("writing", e))
    }

    /// Puts this in the place of all that was there.
    pub fn anew(&mut self, told: &Told) -> Result<(), AgreementError> {
        let mut bytes = Vec::new();
        frame(&Record::Who { form: FORM, token: told.token }, &mut bytes)?;
        if told.image.index > 0 {
            frame(&Record::Image(Cow::Borrowed(&told.image)), &mut bytes)?;
        }
        if told.vow != Vow::default() || !told.entries.is_empty() {
            frame(&Record::Wrote { vow: told.vow, entries: Cow::Borrowed(&told.entries) }, &mut bytes)?;
        }
        self.store.replace(&bytes).map_err(|e| failed("writing anew", e))?;
        self.base = bytes.len() as u64;
        Ok(())
    }
}

/// The log in memory, as the engine reads it.
#[derive(Clone, Debug, Default)]
pub(super) struct Mem {
    pub vow: Vow,
    pub image: Image,
    /// Those who take part after what was last applied.
    pub conf: ConfState,
    pub entries: Vec<RaftEntry>,
    /// A snapshot was asked for that the image can't serve: it knows nothing of the one who is to get it.
    pub wanted: Cell<bool>,
}

impl Mem {
    pub fn of(told: &Told) -> Self {
        Mem {
            vow: told.vow,
            conf: told.image.conf(),
            image: told.image.clone(),
            entries: told.entries.iter().map(Entry::to_raft).collect(),
            wanted: Cell::new(false),
        }
    }

    pub fn last(&self) -> u64 {
        self.image.index + self.entries.len() as u64
    }

    /// Written entries; they follow what is there.
    pub fn add(&mut self, entries: &[RaftEntry]) {
        let Some(first) = entries.first() else { return };
        let at = first.index.saturating_sub(self.image.index + 1);
        self.entries.truncate(usize::try_from(at).unwrap_or(usize::MAX));
        self.entries.extend_from_slice(entries);
    }

    /// The image takes the place of entries up to its index.
    pub fn compact(&mut self, image: Image) {
        let gone = image.index.saturating_sub(self.image.index).min(self.entries.len() as u64);
        self.entries.drain(..usize::try_from(gone).unwrap_or(usize::MAX));
        self.image = image;
    }

    /// Another's image takes the place of everything.
    pub fn restore(&mut self, image: Image) {
        self.conf = image.conf();
        self.image = image;
        self.entries.clear();
    }

    pub fn at(&self, index: u64) -> Option<&RaftEntry> {
        self.entries.get(usize::try_from(index.checked_sub(self.image.index + 1)?).ok()?)
    }
}

impl Storage for Mem {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.vow.to_raft(), self.conf.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<RaftEntry>> {
        let first = self.image.index + 1;
        if low < first {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let most = max_size.into().unwrap_or(u64::MAX);
        let (mut size, mut found) = (0, Vec::new());
        for entry in (low..high).filter_map(|i| self.at(i)) {
            size += (entry.data.len() + entry.context.len()) as u64 + 16;
            if size > most && !found.is_empty() {
                break;
            }
            found.push(entry.clone());
        }
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.image.index {
            return Ok(self.image.term);
        }
        if index < self.image.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        self.at(index).map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.image.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, least: u64, to: u64) -> raft::Result<Snapshot> {
        // One who is not in it would not take it.
        let knows = self.image.voters.contains(&to) || self.image.learners.contains(&to);
        if self.image.index == 0 || self.image.index < least || !knows {
            self.wanted.set(true);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.image.to_raft())
    }
}

impl Vow {
    pub fn of(state: &raft::prelude::HardState) -> Self {
        Vow { term: state.term, vote: state.vote, commit: state.commit }
    }

    fn to_raft(self) -> raft::prelude::HardState {
        let mut state = raft::prelude::HardState::default();
        (state.term, state.vote, state.commit) = (self.term, self.vote, self.commit);
        state
    }
}

impl Image {
    pub fn conf(&self) -> ConfState {
        ConfState::from((self.voters.clone(), self.learners.clone()))
    }

    pub fn to_raft(&self) -> Snapshot {
        let mut snapshot = Snapshot { data: self.state.clone().into(), ..Snapshot::default() };
        let about = snapshot.mut_metadata();
        (about.index, about.term) = (self.index, self.term);
        about.set_conf_state(self.conf());
        snapshot
    }

    pub fn of(snapshot: &Snapshot) -> Self {
        let about = snapshot.get_metadata();
        let (voters, learners) = parts(about.get_conf_state());
        Image { index: about.index, term: about.term, voters, learners, state: snapshot.data.to_vec() }
    }
}

/// Voters and learners, each in order.
pub(super) fn parts(conf: &ConfState) -> (Vec<Token>, Vec<Token>) {
    let (mut voters, mut learners) = (conf.voters.clone(), conf.learners.clone());
    voters.sort_unstable();
    learners.sort_unstable();
    (voters, learners)
}

impl Entry {
    /// A change rides in the engine's context: its own form of it is read by nobody.
    pub fn to_raft(&self) -> RaftEntry {
        let mut entry = RaftEntry::default();
        (entry.term, entry.index) = (self.term, self.index);
        match &self.payload {
            Payload::Mark => {}
            Payload::Command(command) => entry.data = command.clone().into(),
            Payload::Change(change) => {
                entry.set_entry_type(EntryType::EntryConfChange);
                entry.context = change.encoded().into();
            }
        }
        entry
    }

    pub fn of(entry: &RaftEntry) -> Self {
        let payload = match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => Payload::Mark,
            EntryType::EntryNormal => Payload::Command(entry.data.to_vec()),
            // The engine puts a mark in the place of a change that it does not take.
            _ => Change::decoded(&entry.context).map_or(Payload::Mark, Payload::Change),
        };
        Entry { term: entry.term, index: entry.index, payload }
    }
}
