//! The record of a run, in one order: log lines, calls, connections, notices, answers to clients, links, faults. Tests wait
//! for what appears here ([`Recorder::wait_until`]), never for a time.

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

/// Log lines of each courier that an error shows.
const TAIL: usize = 12;

/// When something was recorded. Stamps are in the order of recording.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// Its number in the whole record, from 1.
    pub n: u64,
    /// Unix time in microseconds.
    pub at: Micros,
}

/// A line of a courier's log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// When it was read.
    pub when: Stamp,
    /// The courier that wrote it.
    pub courier: usize,
    /// The incarnation of its process, from 1.
    pub incarnation: u32,
    /// The line without its end.
    pub text: String,
}

/// Length and checksum of a body, or of what was received of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyDigest {
    /// Its length.
    pub bytes: u64,
    /// CRC-32.
    pub crc: u32,
}

impl BodyDigest {
    /// The digest of these bytes.
    pub fn of(bytes: &[u8]) -> BodyDigest {
        BodyDigest { bytes: bytes.len() as u64, crc: crc32fast::hash(bytes) }
    }
}

/// A call as its partner received it.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    /// When its head was received.
    pub began: Stamp,
    /// The number of the partner.
    pub partner: usize,
    /// The courier whose listener it came through.
    pub courier: usize,
    /// The number of its connection, from 0, over all partners.
    pub connection: u64,
    /// The id of its message.
    pub id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// `X-Account`.
    pub tenant: Option<String>,
    /// Its head.
    pub head: Head,
    /// What was received of its body.
    pub body: BodyDigest,
    /// When its body was complete.
    pub whole: Option<Stamp>,
    /// Whether it has run: it was complete, and the answer does not say otherwise.
    pub ran: bool,
    /// When it was answered and with which status, even if the listener let no answer out.
    pub answered: Option<(Stamp, u16)>,
    /// The listener let no answer out.
    pub unheard: bool,
    /// When its connection ended before the answer.
    pub abandoned: Option<Stamp>,
}

/// A connection to a partner was opened or closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionChange {
    /// When.
    pub when: Stamp,
    /// The partner.
    pub partner: usize,
    /// The number of the connection.
    pub connection: u64,
    /// The courier.
    pub courier: usize,
    /// Whether it was opened.
    pub opened: bool,
    /// Connections that are open at the partner now, from all couriers.
    pub open: usize,
}

/// A notice as the platform received it.
#[derive(Clone, Debug)]
pub struct RecordedNotice {
    /// When it was received.
    pub when: Stamp,
    /// The courier whose listener it came through.
    pub courier: usize,
    /// The id of its message.
    pub id: String,
    /// The notice, a line of JSON.
    pub line: String,
}

/// A message as a client submitted it.
#[derive(Clone, Debug)]
pub struct RecordedSubmission {
    /// Before its first byte was sent.
    pub submitted_at: Stamp,
    /// The courier.
    pub courier: usize,
    /// The id of the message.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its destination.
    pub dest: u64,
    /// The time that it may take, in microseconds.
    pub time_left: Micros,
    /// Its body.
    pub body: BodyDigest,
    /// When it was answered and with which status; 0: the connection broke. `None`: no answer yet.
    pub answer: Option<(Stamp, u16)>,
}

/// All that was recorded of a run, each kind in its order.
#[derive(Debug, Default)]
pub struct RunRecord {
    n: u64,
    /// Log lines of all couriers.
    pub lines: Vec<LogLine>,
    /// Calls to all partners.
    pub calls: Vec<RecordedCall>,
    /// Connections to all partners.
    pub connection_changes: Vec<ConnectionChange>,
    /// Notices to the platform.
    pub notices: Vec<RecordedNotice>,
    /// Submissions by clients.
    pub submissions: Vec<RecordedSubmission>,
    /// Events on links between couriers.
    pub link_events: Vec<LinkEvent>,
    /// Faults that the harness injected.
    pub injected_faults: Vec<InjectedFault>,
    /// Names of the couriers.
    pub(crate) names: Vec<String>,
    /// The last incarnation of each courier whose end was seen.
    pub(crate) ended: Vec<u32>,
    /// Connections to partners so far.
    pub(crate) connections: u64,
    /// Indices of the calls and of the notices of each message.
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

    /// Records a call, and returns its index.
    pub(crate) fn call(&mut self, call: RecordedCall) -> usize {
        self.by_message.entry(call.id.clone()).or_default().0.push(self.calls.len());
        self.calls.push(call);
        self.calls.len() - 1
    }

    /// Records a notice.
    pub(crate) fn notice(&mut self, notice: RecordedNotice) {
        self.by_message.entry(notice.id.clone()).or_default().1.push(self.notices.len());
        self.notices.push(notice);
    }

    /// Log lines of one incarnation of a courier that contain this text.
    pub fn log_lines_with<'a>(
        &'a self,
        courier: usize,
        incarnation: u32,
        text: &'a str,
    ) -> impl Iterator<Item = &'a LogLine> {
        let of = move |line: &&LogLine| line.courier == courier && line.incarnation == incarnation;
        self.lines.iter().filter(of).filter(move |line| line.text.contains(text))
    }

    /// Whether the message was answered 200 by a partner, or a notice about it was received.
    pub fn has_ended(&self, id: &str) -> bool {
        let delivered = |call: &RecordedCall| call.answered.is_some_and(|(_, status)| status == 200);
        self.calls_of(id).any(delivered) || self.notices_of(id).next().is_some()
    }

    /// Connections that a partner has open now, and the most that it ever had.
    pub fn open_connections(&self, partner: usize) -> (usize, usize) {
        let of =
            || self.connection_changes.iter().filter(|open| open.partner == partner).map(|open| open.open);
        (of().next_back().unwrap_or(0), of().max().unwrap_or(0))
    }
}

impl RunRecord {
    /// The record in the form of the auditor. `dests` are the destinations of the partners. A fault window of a courier lasts until
    /// the fault is repaired: it runs, its links pass, its listeners are open.
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

/// Something was not recorded in time.
#[derive(Clone, thiserror::Error)]
pub struct WaitTimeout {
    /// What was waited for.
    pub what: String,
    /// How long it was waited for.
    pub within: Duration,
    /// The last log lines of each courier, and a summary of the record.
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

/// The record of a run, shared by all that write to it on one thread.
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
    /// Unix time in microseconds, by a clock that never goes back.
    pub fn now(&self) -> Micros {
        self.0.begun.1 + self.0.begun.0.elapsed().as_micros() as Micros
    }

    /// Writes to the record, and wakes all that wait for a change.
    pub fn write<T>(&self, write: impl FnOnce(&mut RunRecord, Stamp) -> T) -> T {
        let mut record = self.0.record.borrow_mut();
        record.n += 1;
        let stamp = Stamp { n: record.n, at: self.now() };
        let written = write(&mut record, stamp);
        drop(record);
        self.0.changed.notify_waiters();
        written
    }

    /// Reads the record.
    pub fn read<T>(&self, read: impl FnOnce(&RunRecord) -> T) -> T {
        read(&self.0.record.borrow())
    }

    /// Waits until `found` finds something in the record; it is called again after each change.
    ///
    /// # Errors
    /// Nothing was found in time; the error shows the last log lines of each courier.
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
            // A change between the look at the record and the wait is not missed.
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
