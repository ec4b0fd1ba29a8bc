//! What a harness saw, in one order: log lines, calls, connections, notices, consumers' answers, links.
//! Whoever waits for something waits here, for an event and never for a time.

use crate::audit::{self, AuditRules, ConnectionCount, FaultWindow, History, ObservedCall, Submission};
use crate::fleet::fault::{FaultPhase, FaultTarget, InjectedFault};
use crate::fleet::link::LinkEvent;
use crate::http::Head;
use quillmount_policy::Micros;
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
pub struct LogLine {
    pub when: Stamp,
    pub courier: usize,
    /// Which of its processes, from 1.
    pub incarnation: u32,
    pub text: String,
}

/// A body as far as it came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyDigest {
    pub bytes: u64,
    /// CRC-32.
    pub crc: u32,
}

impl BodyDigest {
    pub fn of(bytes: &[u8]) -> BodyDigest {
        BodyDigest { bytes: bytes.len() as u64, crc: crc32fast::hash(bytes) }
    }
}

/// A call as its partner saw it.
#[derive(Clone, Debug)]
pub struct RecordedCall {
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
    pub body: BodyDigest,
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
pub struct ConnectionChange {
    pub when: Stamp,
    pub partner: usize,
    pub connection: u64,
    pub courier: usize,
    /// It came, or it went.
    pub opened: bool,
    /// All that the partner has open now, whosesoever.
    pub open: usize,
}

/// A notice, as a line of JSON.
#[derive(Clone, Debug)]
pub struct RecordedNotice {
    pub when: Stamp,
    /// Whose door it came through.
    pub courier: usize,
    pub id: String,
    pub line: String,
}

/// A message as a consumer handed it in.
#[derive(Clone, Debug)]
pub struct RecordedSubmission {
    /// Before the first byte was sent.
    pub submitted_at: Stamp,
    pub courier: usize,
    pub id: String,
    pub class: String,
    pub key: Option<String>,
    pub dest: u64,
    pub time_left: Micros,
    pub body: BodyDigest,
    /// `None`: no answer came. 0 as status: the connection broke.
    pub answer: Option<(Stamp, u16)>,
}

/// All that was seen, each kind in its order.
#[derive(Debug, Default)]
pub struct RunRecord {
    n: u64,
    pub lines: Vec<LogLine>,
    pub calls: Vec<RecordedCall>,
    pub connection_changes: Vec<ConnectionChange>,
    pub notices: Vec<RecordedNotice>,
    pub submissions: Vec<RecordedSubmission>,
    pub link_events: Vec<LinkEvent>,
    /// What the harness did to couriers, links and doors.
    pub injected_faults: Vec<InjectedFault>,
    /// Couriers' names, and which process of each is the latest that was seen to end.
    pub(crate) names: Vec<String>,
    pub(crate) ended: Vec<u32>,
    pub(crate) connections: u64,
    /// The places of a message's calls and of the notices about it.
    by_message: HashMap<String, (Vec<usize>, Vec<usize>)>,
}

impl RunRecord {
    /// The calls of a message, in their order.
    pub fn calls_of(&self, id: &str) -> impl DoubleEndedIterator<Item = &RecordedCall> {
        let by_message = self.by_message.get(id).map_or(&[][..], |(calls, _)| calls);
        by_message.iter().map(|n| &self.calls[*n])
    }

    /// The notices about a message, in their order.
    pub fn notices_of(&self, id: &str) -> impl DoubleEndedIterator<Item = &RecordedNotice> {
        let by_message = self.by_message.get(id).map_or(&[][..], |(_, notices)| notices);
        by_message.iter().map(|n| &self.notices[*n])
    }

    /// Puts a call in, and returns its place.
    pub(crate) fn call(&mut self, call: RecordedCall) -> usize {
        self.by_message.entry(call.id.clone()).or_default().0.push(self.calls.len());
        self.calls.push(call);
        self.calls.len() - 1
    }

    /// Puts a notice in.
    pub(crate) fn notice(&mut self, notice: RecordedNotice) {
        self.by_message.entry(notice.id.clone()).or_default().1.push(self.notices.len());
        self.notices.push(notice);
    }

    /// The lines of one process of a courier that have these words.
    pub fn log_lines_with<'a>(
        &'a self,
        courier: usize,
        incarnation: u32,
        words: &'a str,
    ) -> impl Iterator<Item = &'a LogLine> {
        let of = move |line: &&LogLine| line.courier == courier && line.incarnation == incarnation;
        self.lines.iter().filter(of).filter(move |line| line.text.contains(words))
    }

    /// A 200 was written for the message, or a notice about it came.
    pub fn has_ended(&self, id: &str) -> bool {
        let delivered = |call: &RecordedCall| call.answered.is_some_and(|(_, status)| status == 200);
        self.calls_of(id).any(delivered) || self.notices_of(id).next().is_some()
    }

    /// Connections that a partner has open, and the most that it ever had.
    pub fn open_connections(&self, partner: usize) -> (usize, usize) {
        let of =
            || self.connection_changes.iter().filter(|open| open.partner == partner).map(|open| open.open);
        (of().next_back().unwrap_or(0), of().max().unwrap_or(0))
    }
}

impl RunRecord {
    /// What was seen, as the auditor takes it; `dests` are the partners' destinations. What was done to a
    /// courier troubles it until all is well with it again: it runs, its links pass, its doors are open.
    pub fn history(&self, rules: AuditRules, at: Micros, dests: &[u64]) -> History {
        let submission = self.submissions.iter().map(|submission| Submission {
            id: submission.id.clone(),
            class: submission.class.clone(),
            key: submission.key.clone(),
            dest: submission.dest,
            body: submission.body,
            courier: submission.courier,
            submitted_at: submission.submitted_at.at,
            time_left: submission.time_left,
            answered: submission.answer.map(|(when, status)| (when.at, status)),
        });
        let observed = self.calls.iter().map(|call| ObservedCall {
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
        let connections = self.connection_changes.iter().map(|o| ConnectionCount {
            partner: o.partner,
            at: o.when.at,
            open: o.open,
        });
        History {
            rules,
            at,
            submissions: submission.collect(),
            calls: observed.collect(),
            notices: notices.collect(),
            connections: connections.collect(),
            fault_windows: (0..self.names.len()).flat_map(|courier| self.fault_windows(courier)).collect(),
            ..History::default()
        }
    }

    fn fault_windows(&self, courier: usize) -> Vec<FaultWindow> {
        let (mut fault_windows, mut open): (Vec<FaultWindow>, BTreeMap<FaultTarget, Stamp>) =
            (Vec::new(), BTreeMap::new());
        for InjectedFault { when, what } in &self.injected_faults {
            let Some((target, phase)) = what.effect_on(courier) else { continue };
            match phase {
                FaultPhase::Begins => drop(open.entry(target).or_insert(*when)),
                FaultPhase::Moment => {
                    fault_windows.push(FaultWindow { courier, from: when.at, to: Some(when.at) })
                }
                FaultPhase::Ends => fault_windows.extend(open.remove(&target).map(|from| FaultWindow {
                    courier,
                    from: from.at,
                    to: Some(when.at),
                })),
            }
        }
        fault_windows.extend(open.into_values().map(|from| FaultWindow { courier, from: from.at, to: None }));
        fault_windows
    }
}

/// Something did not happen in time.
#[derive(Clone, thiserror::Error)]
pub struct WaitTimeout {
    /// What was waited for.
    pub what: String,
    pub within: Duration,
    /// The last lines of each courier's log, and a word on what else was seen.
    pub tail: String,
}

impl fmt::Display for WaitTimeout {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "not seen within {:?}: {}\n{}", self.within, self.what, self.tail)
    }
}

/// As a test's `unwrap` shows it.
impl fmt::Debug for WaitTimeout {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl From<WaitTimeout> for std::io::Error {
    fn from(late: WaitTimeout) -> Self {
        std::io::Error::new(std::io::ErrorKind::TimedOut, late)
    }
}

/// The record, shared by all that write to it on one thread.
#[derive(Clone, Debug)]
pub struct Recorder(Rc<RecorderState>);

#[derive(Debug)]
struct RecorderState {
    record: RefCell<RunRecord>,
    changed: Notify,
    begun: (Instant, Micros),
}

impl Default for Recorder {
    fn default() -> Self {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let begun = (Instant::now(), unix.as_micros() as Micros);
        Recorder(Rc::new(RecorderState { record: RefCell::default(), changed: Notify::new(), begun }))
    }
}

impl Recorder {
    /// Unix time, in microseconds.
    pub fn now(&self) -> Micros {
        self.0.begun.1 + self.0.begun.0.elapsed().as_micros() as Micros
    }

    /// Writes to the record, and wakes who waits.
    pub fn write<T>(&self, write: impl FnOnce(&mut RunRecord, Stamp) -> T) -> T {
        let mut record = self.0.record.borrow_mut();
        record.n += 1;
        let stamp = Stamp { n: record.n, at: self.now() };
        let written = write(&mut record, stamp);
        drop(record);
        self.0.changed.notify_waiters();
        written
    }

    pub fn read<T>(&self, read: impl FnOnce(&RunRecord) -> T) -> T {
        read(&self.0.record.borrow())
    }

    /// Waits until `found` finds something in the record; it is asked again after each change.
    ///
    /// # Errors
    /// It was not found in time; the error tells the last lines of each courier.
    pub async fn wait_until<T>(
        &self,
        what: &str,
        within: Duration,
        mut found: impl FnMut(&RunRecord) -> Option<T>,
    ) -> Result<T, WaitTimeout> {
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
                return Err(WaitTimeout { what: what.into(), within, tail: self.read(tail) });
            }
        }
    }
}

fn tail(record: &RunRecord) -> String {
    let RunRecord { lines, calls, notices, submissions, link_events, injected_faults, .. } = record;
    let mut text = format!(
        "seen: {} lines, {} calls, {} notices, {} answers to consumers, {} events on links\n",
        lines.len(),
        calls.len(),
        notices.len(),
        submissions.iter().filter(|submission| submission.answer.is_some()).count(),
        link_events.len()
    );
    for fault in injected_faults.iter().rev().take(TAIL).rev() {
        text += &format!("done: {fault}\n");
    }
    for (n, name) in record.names.iter().enumerate() {
        let mut last: Vec<&LogLine> =
            lines.iter().rev().filter(|line| line.courier == n).take(TAIL).collect();
        last.reverse();
        text += &format!("the last lines of {name}:\n");
        for line in last {
            text += &format!("  [life {}] {}\n", line.incarnation, line.text);
        }
    }
    text
}
