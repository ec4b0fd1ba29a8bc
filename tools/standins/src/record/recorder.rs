//! Writes the record of a run, and waits for what appears in it.

use super::{LogLine, RunRecord, Stamp};
use crate::fault::{Fault, InjectedFault};
use quillmount_policy::Micros;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Log lines of each courier, and injected faults, that the error of a wait shows.
const SUMMARY_LINES: usize = 12;

/// Something was not recorded in time.
#[derive(Clone, thiserror::Error)]
pub struct WaitTimeout {
    /// What was waited for.
    pub what: String,
    /// How long it was waited for.
    pub within: Duration,
    /// A summary of the record, with the last log lines of each courier.
    pub tail: String,
}

impl fmt::Display for WaitTimeout {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "not recorded within {:?}: {}\n{}", self.within, self.what, self.tail)
    }
}

/// Shown by the `unwrap` of a test: the lines of the summary are not escaped.
impl fmt::Debug for WaitTimeout {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl From<WaitTimeout> for std::io::Error {
    fn from(error: WaitTimeout) -> Self {
        std::io::Error::new(std::io::ErrorKind::TimedOut, error)
    }
}

/// The record of a run, shared by all that write to it on one thread.
#[derive(Clone, Debug)]
pub struct Recorder(Rc<RecorderState>);

#[derive(Debug)]
struct RecorderState {
    record: RefCell<RunRecord>,
    changed: Notify,
    started: Start,
}

/// The beginning of a record, by both clocks.
#[derive(Debug)]
struct Start {
    monotonic: Instant,
    /// Unix time in microseconds.
    unix: Micros,
}

impl Start {
    fn now() -> Start {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Start { monotonic: Instant::now(), unix: unix.as_micros() as Micros }
    }
}

impl Default for Recorder {
    fn default() -> Self {
        let (record, changed) = (RefCell::default(), Notify::new());
        Recorder(Rc::new(RecorderState { record, changed, started: Start::now() }))
    }
}

impl Recorder {
    /// Unix time in microseconds, by a clock that never goes back.
    pub fn now(&self) -> Micros {
        let started = &self.0.started;
        started.unix + started.monotonic.elapsed().as_micros() as Micros
    }

    /// Writes to the record, and wakes all that wait for a change.
    pub fn write<T>(&self, write: impl FnOnce(&mut RunRecord, Stamp) -> T) -> T {
        let mut record = self.0.record.borrow_mut();
        record.entries += 1;
        let stamp = Stamp { n: record.entries, at: self.now() };
        let written = write(&mut record, stamp);
        drop(record);
        self.0.changed.notify_waiters();
        written
    }

    /// Records that a fault is injected now.
    pub(crate) fn record_fault(&self, what: Fault) {
        self.write(|record, when| record.injected_faults.push(InjectedFault { when, what }));
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
        let deadline = Instant::now() + within;
        loop {
            let changed = self.0.changed.notified();
            tokio::pin!(changed);
            // A change between the look at the record and the wait is not missed.
            changed.as_mut().enable();
            if let Some(found) = self.read(&mut found) {
                return Ok(found);
            }
            if timeout_at(deadline, changed).await.is_err() {
                return Err(WaitTimeout { what: what.into(), within, tail: self.read(summary) });
            }
        }
    }
}

/// The numbers of entries, the last injected faults and the last log lines of each courier.
fn summary(record: &RunRecord) -> String {
    let answered = record.submissions.iter().filter(|submission| submission.answer.is_some());
    let mut text = format!(
        "recorded: {} log lines, {} calls, {} notices, {} answers to clients, {} events on links\n",
        record.lines.len(),
        record.calls.len(),
        record.notices.len(),
        answered.count(),
        record.link_events.len()
    );
    let faults = &record.injected_faults;
    for fault in &faults[faults.len().saturating_sub(SUMMARY_LINES)..] {
        text += &format!("injected: {fault}\n");
    }
    for (courier, name) in record.names.iter().enumerate() {
        text += &format!("the last log lines of {name}:\n");
        for line in last_lines(record, courier) {
            text += &format!("  [incarnation {}] {}\n", line.incarnation, line.text);
        }
    }
    text
}

/// The last log lines of a courier, in their order.
fn last_lines(record: &RunRecord, courier: usize) -> Vec<&LogLine> {
    let from_last = record.lines.iter().rev().filter(|line| line.courier == courier);
    let mut lines: Vec<&LogLine> = from_last.take(SUMMARY_LINES).collect();
    lines.reverse();
    lines
}
