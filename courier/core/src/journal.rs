//! The journal of what is owed, in a [`Store`] that outlasts the process: append-only records, each with
//! its length and checksum.

use bytes::Bytes;
use quillmount_policy::breaks::{self, Break};
use quillmount_policy::{Micros, MsgId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use crate::Ending;
use crate::disabled::DisabledEndpoints;
use crate::note::Note;
use crate::store::Store;

/// Length and checksum before each record.
const FRAME: u64 = 8;
/// Files count in whole blocks of this size.
const BLOCK: u64 = 512;
/// Room that each owed submission may still need for its attempts, outcomes and end.
const RESERVE: u64 = 512;

#[derive(Clone, Debug, thiserror::Error)]
pub enum JournalError {
    #[error("journal: {what} failed: {source}")]
    Io { what: &'static str, source: Arc<io::Error> },
    #[error("journal: a record could not be encoded: {0}")]
    Encode(#[from] postcard::Error),
    #[error("journal: no room in its share of the disk")]
    Full,
}

/// All times are Unix time in microseconds, so that they hold across a restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalRecord {
    Accept {
        msg: MsgId,
        taken: AcceptedMessage,
    },
    /// An earlier version's word for [`JournalRecord::Sent`]: its zone's number tells nothing under other settings.
    Attempt {
        msg: MsgId,
        zone: u32,
        sent: Micros,
    },
    /// `never_ran`: the outcome proves it.
    Outcome {
        msg: MsgId,
        attempt: u32,
        never_ran: bool,
    },
    End {
        msg: MsgId,
        end: End,
    },
    /// The platform has confirmed the notice.
    Confirmed {
        msg: MsgId,
    },
    /// A submission that is over, remembered until its time is up.
    Ended {
        id: String,
        end: End,
        until: Micros,
    },
    /// Taken on as a stream: its body is never written here, and no other life can send it.
    Stream {
        msg: MsgId,
        taken: AcceptedMessage,
    },
    /// Operators have taken this endpoint out.
    Disable {
        id: String,
    },
    /// They have put it back.
    Enable {
        id: String,
    },
    /// A copy of another courier's journal ends here: its owner writes no more of it.
    Sealed,
    /// The message was in another courier's journal; whether it is this one's is for the fleet to say.
    From {
        msg: MsgId,
        source: Source,
    },
    /// The fleet has said so: what came from there is this courier's (`accepted`), or not.
    Settled {
        source: Source,
        accepted: bool,
    },
    /// A line about a settlement that this courier is home to, in the words of whoever keeps settlements.
    Settlement {
        of: String,
        line: SettlementLine,
    },
    /// Nothing that was written about it matters any more.
    SettlementEnded {
        of: String,
    },
    /// Written before the call's first byte leaves.
    Sent {
        msg: MsgId,
        sent: Micros,
        effect: RepeatEffect,
    },
}

/// What a repeat of an attempt may do, by the settings that it was sent under: another life may have others. Zones go
/// by their names, since numbers come from the settings too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatEffect {
    Safe,
    /// Repeats are dropped for so long; by this zone's endpoints alone, if one is named.
    Keyed {
        span: Micros,
        zone: Option<String>,
    },
    Unsafe,
}

/// What the journal has to know of such a line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettlementLine {
    pub dest: u64,
    /// It stands for all that was written before it.
    pub first: bool,
    pub bytes: Bytes,
    /// It came from there, and the fleet has yet to say whose it is.
    pub source: Option<Source>,
}

/// The lines of each settlement, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settlements(pub BTreeMap<String, Vec<SettlementLine>>);

impl Settlements {
    /// Takes over what a record changes; true if it is about settlements alone.
    pub fn apply(&mut self, record: &JournalRecord) -> bool {
        match record {
            JournalRecord::Settlement { of, line } => {
                let lines = self.0.entry(of.clone()).or_default();
                if line.first && line.source.is_none() {
                    lines.retain(|line| line.source.is_some());
                }
                lines.push(line.clone());
                true
            }
            JournalRecord::SettlementEnded { of } => {
                self.0.remove(of);
                true
            }
            JournalRecord::Settled { source, accepted } => {
                for lines in self.0.values_mut() {
                    if *accepted {
                        let from = lines.iter_mut().filter(|line| line.source.as_ref() == Some(source));
                        from.for_each(|line| line.source = None);
                    } else {
                        lines.retain(|line| line.source.as_ref() != Some(source));
                    }
                }
                self.0.retain(|_, lines| !lines.is_empty());
                false
            }
            _ => false,
        }
    }

    /// Sources whose lines wait for the fleet's word.
    pub fn unsettled(&self) -> impl Iterator<Item = &Source> {
        self.0.values().flatten().filter_map(|line| line.source.as_ref())
    }

    fn records(self) -> impl Iterator<Item = JournalRecord> {
        let records = |(of, lines): (String, Vec<SettlementLine>)| {
            lines.into_iter().map(move |line| JournalRecord::Settlement { of: of.clone(), line })
        };
        self.0.into_iter().flat_map(records)
    }

    /// Bytes that they take in a journal, at most.
    fn len(&self) -> u64 {
        let len = |(of, line): (&String, &SettlementLine)| line_len(of, line);
        self.0.iter().flat_map(|(of, lines)| lines.iter().map(move |line| (of, line))).map(len).sum()
    }
}

/// At most what the record of a line takes.
fn line_len(of: &str, line: &SettlementLine) -> u64 {
    let source = line.source.as_ref().map_or(0, |source| source.owner.len() + 32);
    (of.len() + line.bytes.len() + source) as u64 + 48
}

/// Where a message was before: a part of a journal whose courier is lost.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    pub owner: String,
    /// Of the owner's registration in its fleet.
    pub epoch: u64,
    pub part: u32,
}

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{} part {}", self.owner, self.epoch, self.part)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    pub id: String,
    pub class: String,
    pub key: Option<String>,
    pub dest: u64,
    pub deadline: Micros,
    pub body: Bytes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    Delivered,
    Undeliverable,
    Deferred { after: Micros },
}

impl From<Ending> for End {
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Undeliverable => End::Undeliverable,
            Ending::Deferred(after) => End::Deferred { after },
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PastCall {
    pub sent: Micros,
    /// `None`: an earlier version sent it, and did not say.
    pub effect: Option<RepeatEffect>,
    /// `None`: it was out when the process ended.
    pub never_ran: Option<bool>,
}

/// One submission as the journal tells of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalEntry {
    pub taken: AcceptedMessage,
    pub calls: Vec<PastCall>,
    pub end: Option<End>,
    pub stream: bool,
    /// It came from there, and the fleet has yet to say whose it is.
    pub source: Option<Source>,
}

impl JournalEntry {
    /// The records that say the same in the fewest words.
    fn records(self, msg: MsgId) -> impl Iterator<Item = JournalRecord> {
        let JournalEntry { taken, calls, end, stream, source } = self;
        let calls = calls.into_iter().enumerate().flat_map(move |(n, call)| {
            let PastCall { sent, effect, .. } = call;
            let attempt = match effect {
                Some(effect) => JournalRecord::Sent { msg, sent, effect },
                None => JournalRecord::Attempt { msg, zone: 0, sent },
            };
            let outcome =
                call.never_ran.map(|never_ran| JournalRecord::Outcome { msg, attempt: n as u32, never_ran });
            std::iter::once(attempt).chain(outcome)
        });
        let end = end.map(|end| JournalRecord::End { msg, end });
        let first =
            if stream { JournalRecord::Stream { msg, taken } } else { JournalRecord::Accept { msg, taken } };
        let source = source.map(|source| JournalRecord::From { msg, source });
        std::iter::once(first).chain(source).chain(calls).chain(end)
    }
}

/// What the journal holds: what is owed, and what is over but remembered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JournalContents {
    pub owed: BTreeMap<MsgId, JournalEntry>,
    pub ended: Vec<(String, End, Micros)>,
    /// Endpoints that are out.
    pub disabled: DisabledEndpoints,
    /// Settlements that the courier is home to.
    pub settlements: Settlements,
    /// Greater than every number ever used.
    pub next: MsgId,
}

impl JournalContents {
    /// What these bytes tell, up to the first record that is not sound, and the length of that part.
    pub fn read(bytes: &[u8]) -> (JournalContents, usize) {
        let mut contents = JournalContents::default();
        let sound = decode(bytes, &mut contents);
        (contents, sound)
    }

    /// Takes in what a record tells: for whoever goes through [`Records`] and wants to know what they come to so far.
    pub fn apply(&mut self, record: JournalRecord) {
        if self.settlements.apply(&record) {
            return;
        }
        match record {
            JournalRecord::Accept { msg, taken } => {
                self.next = self.next.max(msg + 1);
                self.owed.insert(
                    msg,
                    JournalEntry { taken, calls: Vec::new(), end: None, stream: false, source: None },
                );
            }
            JournalRecord::Stream { msg, taken } => {
                self.next = self.next.max(msg + 1);
                self.owed.insert(
                    msg,
                    JournalEntry { taken, calls: Vec::new(), end: None, stream: true, source: None },
                );
            }
            JournalRecord::Attempt { msg, zone: _, sent } => {
                if let Some(entry) = self.owed.get_mut(&msg) {
                    entry.calls.push(PastCall { sent, effect: None, never_ran: None });
                }
            }
            JournalRecord::Sent { msg, sent, effect } => {
                if let Some(entry) = self.owed.get_mut(&msg) {
                    entry.calls.push(PastCall { sent, effect: Some(effect), never_ran: None });
                }
            }
            JournalRecord::Outcome { msg, attempt, never_ran } => {
                let calls = self.owed.get_mut(&msg).map(|entry| &mut entry.calls);
                if let Some(call) = calls.and_then(|calls| calls.get_mut(attempt as usize)) {
                    call.never_ran = Some(never_ran);
                }
            }
            JournalRecord::End { msg, end: End::Delivered } => self.settle(msg, End::Delivered),
            JournalRecord::End { msg, end } => {
                if let Some(entry) = self.owed.get_mut(&msg) {
                    entry.end = Some(end);
                }
            }
            JournalRecord::Confirmed { msg } => {
                if let Some(end) = self.owed.get(&msg).and_then(|entry| entry.end) {
                    self.settle(msg, end);
                }
            }
            JournalRecord::Ended { id, end, until } => self.ended.push((id, end, until)),
            JournalRecord::Disable { id } => self.disabled.insert(&id),
            JournalRecord::Enable { id } => self.disabled.remove(&id),
            JournalRecord::Sealed
            | JournalRecord::Settlement { .. }
            | JournalRecord::SettlementEnded { .. } => {}
            JournalRecord::From { msg, source } => {
                if let Some(entry) = self.owed.get_mut(&msg) {
                    entry.source = Some(source);
                }
            }
            JournalRecord::Settled { source, accepted } => {
                let from = |entry: &JournalEntry| entry.source.as_ref() == Some(&source);
                if accepted {
                    self.owed.values_mut().filter(|entry| from(entry)).for_each(|entry| entry.source = None);
                } else {
                    self.owed.retain(|_, entry| !from(entry));
                }
            }
        }
    }

    fn settle(&mut self, msg: MsgId, end: End) {
        if let Some(entry) = self.owed.remove(&msg) {
            self.ended.push((entry.taken.id, end, entry.taken.deadline));
        }
    }

    /// The records that say the same in the fewest words.
    fn records(self, now: Micros) -> impl Iterator<Item = JournalRecord> {
        let ended = self.ended.into_iter().filter(move |(.., until)| *until > now);
        let ended = ended.map(|(id, end, until)| JournalRecord::Ended { id, end, until });
        let owed = self.owed.into_iter().flat_map(|(msg, entry)| entry.records(msg));
        let disabled: Vec<_> =
            self.disabled.iter().map(|id| JournalRecord::Disable { id: id.into() }).collect();
        disabled.into_iter().chain(ended).chain(self.settlements.records()).chain(owed)
    }
}

/// A record as it stands in a journal.
///
/// # Errors
/// It can't be encoded.
pub fn frame(record: &JournalRecord) -> Result<Vec<u8>, JournalError> {
    let payload = postcard::to_allocvec(record)?;
    let mut frame = Vec::with_capacity(payload.len() + FRAME as usize);
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// Several, one behind the other.
fn frames(records: &[JournalRecord]) -> Result<Vec<u8>, JournalError> {
    let mut frames = Vec::new();
    for record in records {
        frames.extend(frame(record)?);
    }
    Ok(frames)
}

/// The records in these bytes, each with the place where it begins, up to the first that is not sound.
#[derive(Clone, Debug)]
pub struct Records<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Records<'a> {
    pub fn of(bytes: &'a [u8]) -> Self {
        Records { bytes, at: 0 }
    }
}

impl Iterator for Records<'_> {
    type Item = (usize, JournalRecord);

    fn next(&mut self) -> Option<Self::Item> {
        let at = self.at;
        let (head, rest) = self.bytes[at..].split_first_chunk::<8>()?;
        let len = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let sum = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
        let payload = rest.get(..len).filter(|p| crc32fast::hash(p) == sum)?;
        let record = postcard::from_bytes(payload).ok()?;
        self.at = at + FRAME as usize + len;
        Some((at, record))
    }
}

/// Reads records up to the first that is torn; returns the length of the sound part.
fn decode(bytes: &[u8], contents: &mut JournalContents) -> usize {
    let mut records = Records::of(bytes);
    records.by_ref().for_each(|(_, record)| contents.apply(record));
    records.at
}

#[derive(Clone, Debug)]
pub struct Journal<S> {
    store: S,
    /// Bytes that all files together may take.
    budget: u64,
    /// What the owed submissions would take after compaction, at most.
    live: BTreeMap<MsgId, u64>,
    live_sum: u64,
    /// Bytes of records that tell of what is over.
    ended: u64,
    /// Bytes of records that tell of endpoints that are out.
    disabled: u64,
    /// Bytes of records that tell of settlements, with those that came since the last copy and matter no more.
    settlements: u64,
}

fn io(what: &'static str) -> impl Fn(io::Error) -> JournalError {
    move |source| JournalError::Io { what, source: Arc::new(source) }
}

impl<S: Store> Journal<S> {
    /// Reads what the store holds, up to the first record that is not sound, and drops the rest.
    ///
    /// # Errors
    /// The store can't be read, or does not take the copy without the torn record.
    pub fn open(
        store: S,
        budget: u64,
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(Self, JournalContents), JournalError> {
        let mut journal = Journal {
            store,
            budget,
            live: BTreeMap::new(),
            live_sum: 0,
            ended: 0,
            disabled: 0,
            settlements: 0,
        };
        let bytes = journal.store.read().map_err(io("read"))?;
        let mut contents = JournalContents::default();
        let sound = decode(&bytes, &mut contents);
        if sound < bytes.len() && !breaks::is_enabled(Break::TornKept) {
            notes.push(Note::Torn(bytes.len() - sound));
            // A record behind a torn one would never be read again.
            journal.compact(now, notes)?;
        }
        contents.ended.retain(|(.., until)| *until > now);
        for (msg, entry) in &contents.owed {
            journal
                .count(*msg, encoded_len(&JournalRecord::Accept { msg: *msg, taken: entry.taken.clone() })?);
        }
        journal.disabled = contents.disabled.iter().map(ended_len).sum();
        journal.settlements = contents.settlements.len();
        journal.ended = contents.ended.iter().map(|(id, ..)| ended_len(id)).sum();
        Ok((journal, contents))
    }

    /// The store below, for whoever explores or inspects it.
    pub fn store(&self) -> &S {
        &self.store
    }

    pub fn store_mut(&mut self) -> &mut S {
        &mut self.store
    }

    fn count(&mut self, msg: MsgId, len: u64) {
        self.live.insert(msg, len + RESERVE);
        self.live_sum += len + RESERVE;
    }

    /// Records that a submission was taken on; fails where its share of the disk is full.
    ///
    /// # Errors
    /// Its share is full, or the store refused the record: then nothing of it is there.
    pub fn submit(
        &mut self,
        msg: MsgId,
        taken: AcceptedMessage,
        stream: bool,
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(), JournalError> {
        let record =
            if stream { JournalRecord::Stream { msg, taken } } else { JournalRecord::Accept { msg, taken } };
        let frame = frame(&record)?;
        let len = frame.len() as u64;
        if self.exceeds_budget(len + RESERVE) {
            return Err(JournalError::Full);
        }
        self.append(&frame, now, notes)?;
        self.count(msg, len);
        Ok(())
    }

    /// Records that an endpoint is out, or back.
    ///
    /// # Errors
    /// Its share is full, or the store refused the record: then nothing of it is there.
    pub fn set_disabled(
        &mut self,
        id: &str,
        is_disabled: bool,
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(), JournalError> {
        if is_disabled && self.exceeds_budget(ended_len(id)) {
            return Err(JournalError::Full);
        }
        let id = id.to_string();
        let len = ended_len(&id);
        let frame =
            frame(&if is_disabled { JournalRecord::Disable { id } } else { JournalRecord::Enable { id } })?;
        self.append(&frame, now, notes)?;
        self.disabled = if is_disabled { self.disabled + len } else { self.disabled.saturating_sub(len) };
        Ok(())
    }

    /// No room for so many more bytes that are to stay: the old file and its compacted copy stand side by side for a
    /// moment.
    fn exceeds_budget(&self, more: u64) -> bool {
        2 * (self.fixed() + more) + 4 * BLOCK > self.budget
    }

    /// What a copy would take, at most.
    fn fixed(&self) -> u64 {
        self.live_sum + self.ended + self.disabled + self.settlements
    }

    /// Records lines about a settlement, together; `may_wait`: it is refused where its share of the disk is full.
    ///
    /// # Errors
    /// Its share is full, or the store refused them: then nothing of them is there.
    pub fn settlement(
        &mut self,
        records: &[JournalRecord],
        may_wait: bool,
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(), JournalError> {
        let frames = frames(records)?;
        let len = frames.len() as u64;
        if may_wait && self.exceeds_budget(len + RESERVE) {
            // What counts as room that is taken may matter no more.
            self.compact(now, notes)?;
            if self.exceeds_budget(len + RESERVE) {
                return Err(JournalError::Full);
            }
        }
        self.append(&frames, now, notes)?;
        self.settlements += len;
        Ok(())
    }

    /// Records steps of submissions that are owed, together.
    ///
    /// # Errors
    /// The store refused them: then nothing of them is there.
    pub fn append_all(
        &mut self,
        records: &[JournalRecord],
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(), JournalError> {
        let frames = frames(records)?;
        self.append(&frames, now, notes)
    }

    /// The submission is over and needs no room any more, save the memory of its id.
    pub fn settled(&mut self, msg: MsgId, id: &str) {
        self.live_sum -= self.live.remove(&msg).unwrap_or(0);
        self.ended += ended_len(id);
    }

    /// The id of a submission that was over is forgotten.
    pub fn forgotten(&mut self, id: &str) {
        self.ended = self.ended.saturating_sub(ended_len(id));
    }

    /// Records entries of another courier's book under numbers of this one, all of them or none: a kill that left a
    /// take-on without its attempts would have the next life send again what may have run. So they are not appended,
    /// but go with a copy that takes the place of the whole.
    ///
    /// # Errors
    /// Its share is full, or the store refused the copy: then nothing of them is there.
    pub fn adopt(
        &mut self,
        entries: BTreeMap<MsgId, JournalEntry>,
        lines: &Settlements,
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(), JournalError> {
        let mut lens = Vec::with_capacity(entries.len());
        for (msg, entry) in &entries {
            let mut len = 0;
            for record in entry.clone().records(*msg) {
                len += encoded_len(&record)?;
            }
            lens.push((*msg, len));
        }
        let more = lens.iter().map(|(_, len)| len + RESERVE).sum::<u64>() + lines.len();
        if self.exceeds_budget(more) {
            return Err(JournalError::Full);
        }
        if self.store.len() + self.fixed() + more + 4 * BLOCK > self.budget {
            self.compact(now, notes)?;
        }
        self.rewrite(entries, lines, now, notes)?;
        lens.into_iter().for_each(|(msg, len)| self.count(msg, len));
        Ok(())
    }

    /// Bytes on disk, as the platform counts them.
    pub fn disk(&self) -> u64 {
        self.store.len().next_multiple_of(BLOCK)
    }

    fn append(&mut self, frame: &[u8], now: Micros, notes: &mut Vec<Note>) -> Result<(), JournalError> {
        let len = frame.len() as u64;
        let copy = self.fixed() + len + RESERVE;
        if self.store.len() + len + copy + 4 * BLOCK > self.budget {
            self.compact(now, notes)?;
        }
        self.store.append(frame).map_err(io("write"))
    }

    /// Puts what still matters in the place of all that was written.
    fn compact(&mut self, now: Micros, notes: &mut Vec<Note>) -> Result<(), JournalError> {
        self.rewrite(BTreeMap::new(), &Settlements::default(), now, notes)
    }

    /// The same, with these entries beside it.
    fn rewrite(
        &mut self,
        more: BTreeMap<MsgId, JournalEntry>,
        lines: &Settlements,
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(), JournalError> {
        let mut contents = JournalContents::default();
        decode(&self.store.read().map_err(io("read for a copy"))?, &mut contents);
        contents.owed.extend(more);
        for (of, more) in &lines.0 {
            contents.settlements.0.entry(of.clone()).or_default().extend(more.iter().cloned());
        }
        let settlements = contents.settlements.len();
        let mut bytes = Vec::new();
        for record in contents.records(now) {
            bytes.extend(frame(&record)?);
        }
        let from = self.store.len();
        self.store.replace(&bytes).map_err(io("write of a copy"))?;
        self.settlements = settlements;
        notes.push(Note::Compacted { from, to: bytes.len() as u64 });
        Ok(())
    }
}

fn encoded_len(record: &JournalRecord) -> Result<u64, JournalError> {
    Ok(frame(record)?.len() as u64)
}

/// At most what the record of an id that is over takes.
fn ended_len(id: &str) -> u64 {
    id.len() as u64 + 48
}
