//! What a harness saw, in one order: log lines, calls, connections, notices, consumers' answers, links.
//! Whoever waits for something waits here, for an event and never for a time.

use crate::audit::{self, Connections, Handed, History, Seen, Terms, Trouble};
use crate::fleet::fault::{Harm, Place, Struck};
use crate::fleet::link::Passed;
use crate::http::Head;
use spurshore::Micros;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Lines of each courier that an error tells.
const TAIL: usize = 12;

/// When something was seen: its number among all that was, and the Unix time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    pub n: u64,
    pub at: Micros,
}

/// A line of a courier's log.
#[derive(Clone, Debug)]
pub struct Line {
    pub when: Stamp,
    pub courier: usize,
    /// Which of its processes, from 1.
    pub life: u32,
    pub text: String,
}

/// A body as far as it came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Body {
    pub bytes: u64,
    /// CRC-32.
    pub crc: u32,
}

impl Body {
    pub fn of(bytes: &[u8]) -> Body {
        Body { bytes: bytes.len() as u64, crc: crc32fast::hash(bytes) }
    }
}

/// A call as its partner saw it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its head has come.
    pub began: Stamp,
    pub partner: usize,
    /// Whose door it came through.
    pub courier: usize,
    /// Its connection's number, from 0, over all partners.
    pub connection: u64,
    pub id: String,
    pub key: Option<String>,
    /// `X-Account`.
    pub tenant: Option<String>,
    pub head: Head,
    pub body: Body,
    /// The body has come to its end.
    pub whole: Option<Stamp>,
    /// What it does has been done: it was whole, and the answer does not say otherwise.
    pub ran: bool,
    /// An answer with this status was written, or would have been if the door let it out.
    pub answered: Option<(Stamp, u16)>,
    /// The answer did not leave, by the door's word.
    pub unheard: bool,
    /// The connection ended before it was answered.
    pub abandoned: Option<Stamp>,
}

/// The connections that a partner has open changed to so many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Open {
    pub when: Stamp,
    pub partner: usize,
    pub connection: u64,
    pub courier: usize,
    /// It came, or it went.
    pub came: bool,
    /// All that the partner has open now, whosesoever.
    pub open: usize,
}

/// A notice, as a line of JSON.
#[derive(Clone, Debug)]
pub struct Notice {
    pub when: Stamp,
    /// Whose door it came through.
    pub courier: usize,
    pub id: String,
    pub line: String,
}

/// A message as a consumer handed it in.
#[derive(Clone, Debug)]
pub struct Told {
    /// Before the first byte was sent.
    pub asked: Stamp,
    pub courier: usize,
    pub id: String,
    pub class: String,
    pub key: Option<String>,
    pub dest: u64,
    pub time_left: Micros,
    pub body: Body,
    /// `None`: no answer came. 0 as status: the connection broke.
    pub answer: Option<(Stamp, u16)>,
}

/// All that was seen, each kind in its order.
#[derive(Debug, Default)]
pub struct Record {
    n: u64,
    pub lines: Vec<Line>,
    pub calls: Vec<Call>,
    pub opens: Vec<Open>,
    pub notices: Vec<Notice>,
    pub told: Vec<Told>,
    pub passed: Vec<Passed>,
    /// What the harness did to couriers, links and doors.
    pub struck: Vec<Struck>,
    /// Couriers' names, and which process of each is the latest that was seen to end.
    pub(crate) names: Vec<String>,
    pub(crate) ended: Vec<u32>,
    pub(crate) connections: u64,
    /// The places of a message's calls and of the notices about it.
    places: HashMap<String, (Vec<usize>, Vec<usize>)>,
}

impl Record {
    /// The calls of a message, in their order.
    pub fn calls_of(&self, id: &str) -> impl DoubleEndedIterator<Item = &Call> {
        let places = self.places.get(id).map_or(&[][..], |(calls, _)| calls);
        places.iter().map(|n| &self.calls[*n])
    }

    /// The notices about a message, in their order.
    pub fn notices_of(&self, id: &str) -> impl DoubleEndedIterator<Item = &Notice> {
        let places = self.places.get(id).map_or(&[][..], |(_, notices)| notices);
        places.iter().map(|n| &self.notices[*n])
    }

    /// Puts a call in, and returns its place.
    pub(crate) fn call(&mut self, call: Call) -> usize {
        self.places.entry(call.id.clone()).or_default().0.push(self.calls.len());
        self.calls.push(call);
        self.calls.len() - 1
    }

    /// Puts a notice in.
    pub(crate) fn notice(&mut self, notice: Notice) {
        self.places.entry(notice.id.clone()).or_default().1.push(self.notices.len());
        self.notices.push(notice);
    }

    /// The lines of one process of a courier that have these words.
    pub fn said<'a>(&'a self, courier: usize, life: u32, words: &'a str) -> impl Iterator<Item = &'a Line> {
        let of = move |line: &&Line| line.courier == courier && line.life == life;
        self.lines.iter().filter(of).filter(move |line| line.text.contains(words))
    }

    /// A 200 was written for the message, or a notice about it came.
    pub fn has_ended(&self, id: &str) -> bool {
        let delivered = |call: &Call| call.answered.is_some_and(|(_, status)| status == 200);
        self.calls_of(id).any(delivered) || self.notices_of(id).next().is_some()
    }

    /// Connections that a partner has open, and the most that it ever had.
    pub fn open_at(&self, partner: usize) -> (usize, usize) {
        let of = || self.opens.iter().filter(|open| open.partner == partner).map(|open| open.open);
        (of().next_back().unwrap_or(0), of().max().unwrap_or(0))
    }
}

impl Record {
    /// What was seen, as the auditor takes it; `dests` are the partners' destinations. What was done to a
    /// courier troubles it until all is well with it again: it runs, its links pass, its doors are open.
    pub fn history(&self, terms: Terms, at: Micros, dests: &[u64]) -> History {
        let handed = self.told.iter().map(|told| Handed {
            id: told.id.clone(),
            class: told.class.clone(),
            key: told.key.clone(),
            dest: told.dest,
            body: told.body,
            courier: told.courier,
            asked: told.asked.at,
            time_left: told.time_left,
            answered: told.answer.map(|(when, status)| (when.at, status)),
        });
        let seen = self.calls.iter().map(|call| Seen {
            id: call.id.clone(),
            key: call.key.clone(),
            dest: dests.get(call.partner).copied().unwrap_or_default(),
            body: call.body,
            courier: call.courier,
            connection: call.connection,
            began: call.began.at,
            whole: call.whole.is_some(),
            ran: call.ran,
            answered: call.answered.map(|(when, status)| (when.at, status)),
            unheard: call.unheard,
        });
        let notices = self.notices.iter().map(|notice| {
            let line: serde_json::Value = serde_json::from_str(&notice.line).unwrap_or_default();
            let status = line["status"].as_str().unwrap_or_default().to_string();
            audit::Notice { id: notice.id.clone(), status, courier: notice.courier, at: notice.when.at }
        });
        let connections =
            self.opens.iter().map(|o| Connections { partner: o.partner, at: o.when.at, open: o.open });
        History {
            terms,
            at,
            handed: handed.collect(),
            seen: seen.collect(),
            notices: notices.collect(),
            connections: connections.collect(),
            troubles: (0..self.names.len()).flat_map(|courier| self.troubles(courier)).collect(),
            ..History::default()
        }
    }

    fn troubles(&self, courier: usize) -> Vec<Trouble> {
        let (mut troubles, mut open): (Vec<Trouble>, BTreeMap<Place, Stamp>) = (Vec::new(), BTreeMap::new());
        for Struck { when, what } in &self.struck {
            let Some((place, harmed)) = what.harms(courier) else { continue };
            match harmed {
                Harm::Begins => drop(open.entry(place).or_insert(*when)),
                Harm::Moment => troubles.push(Trouble { courier, from: when.at, to: Some(when.at) }),
                Harm::Ends => troubles.extend(open.remove(&place).map(|from| Trouble {
                    courier,
                    from: from.at,
                    to: Some(when.at),
                })),
            }
        }
        troubles.extend(open.into_values().map(|from| Trouble { courier, from: from.at, to: None }));
        troubles
    }
}

/// Something did not happen in time.
#[derive(Clone, thiserror::Error)]
pub struct Late {
    /// What was waited for.
    pub what: String,
    pub within: Duration,
    /// The last lines of each courier's log, and a word on what else was seen.
    pub tail: String,
}

impl fmt::Display for Late {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "not seen within {:?}: {}\n{}", self.within, self.what, self.tail)
    }
}

/// As a test's `unwrap` shows it.
impl fmt::Debug for Late {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl From<Late> for std::io::Error {
    fn from(late: Late) -> Self {
        std::io::Error::new(std::io::ErrorKind::TimedOut, late)
    }
}

/// The record, shared by all that write to it on one thread.
#[derive(Clone, Debug)]
pub struct Witness(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    record: RefCell<Record>,
    changed: Notify,
    begun: (Instant, Micros),
}

impl Default for Witness {
    fn default() -> Self {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let begun = (Instant::now(), unix.as_micros() as Micros);
        Witness(Rc::new(Inner { record: RefCell::default(), changed: Notify::new(), begun }))
    }
}

impl Witness {
    /// Unix time, in microseconds.
    pub fn now(&self) -> Micros {
        self.0.begun.1 + self.0.begun.0.elapsed().as_micros() as Micros
    }

    /// Writes to the record, and wakes who waits.
    pub fn write<T>(&self, write: impl FnOnce(&mut Record, Stamp) -> T) -> T {
        let mut record = self.0.record.borrow_mut();
        record.n += 1;
        let stamp = Stamp { n: record.n, at: self.now() };
        let written = write(&mut record, stamp);
        drop(record);
        self.0.changed.notify_waiters();
        written
    }

    pub fn read<T>(&self, read: impl FnOnce(&Record) -> T) -> T {
        read(&self.0.record.borrow())
    }

    /// Waits until `found` finds something in the record; it is asked again after each change.
    ///
    /// # Errors
    /// It was not found in time; the error tells the last lines of each courier.
    pub async fn until<T>(
        &self,
        what: &str,
        within: Duration,
        mut found: impl FnMut(&Record) -> Option<T>,
    ) -> Result<T, Late> {
        let by = Instant::now() + within;
        loop {
            let changed = self.0.changed.notified();
            tokio::pin!(changed);
            // From here on a change is not missed.
            changed.as_mut().enable();
            if let Some(found) = self.read(&mut found) {
                return Ok(found);
            }
            if timeout_at(by, changed).await.is_err() {
                return Err(Late { what: what.into(), within, tail: self.read(tail) });
            }
        }
    }
}

fn tail(record: &Record) -> String {
    let Record { lines, calls, notices, told, passed, struck, .. } = record;
    let mut text = format!(
        "seen: {} lines, {} calls, {} notices, {} answers to consumers, {} events on links\n",
        lines.len(),
        calls.len(),
        notices.len(),
        told.iter().filter(|told| told.answer.is_some()).count(),
        passed.len()
    );
    for struck in struck.iter().rev().take(TAIL).rev() {
        text += &format!("done: {struck}\n");
    }
    for (n, name) in record.names.iter().enumerate() {
        let mut last: Vec<&Line> = lines.iter().rev().filter(|line| line.courier == n).take(TAIL).collect();
        last.reverse();
        text += &format!("the last lines of {name}:\n");
        for line in last {
            text += &format!("  [life {}] {}\n", line.life, line.text);
        }
    }
    text
}
