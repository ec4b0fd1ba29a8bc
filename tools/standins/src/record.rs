//! The record of a run, in one order: log lines, calls, connections, notices, answers to clients, links, faults. Tests wait
//! for what appears here ([`Recorder::wait_until`]), never for a time.
//!
//! `entries` has the kinds of entries, `recorder` writes them and wakes those that wait, `history` converts the record to the form of
//! the auditor.

mod entries;
mod history;
mod recorder;

pub use crate::stamp::Stamp;
pub use entries::{BodyDigest, ConnectionChange, LogLine, RecordedCall, RecordedNotice, RecordedSubmission};
pub use recorder::{Recorder, WaitTimeout};

use crate::fault::{InjectedFault, LinkEvent};
use std::collections::HashMap;

/// All that was recorded of a run, each kind in its order.
#[derive(Debug, Default)]
pub struct RunRecord {
    /// Number of entries, which is the number of the last stamp.
    entries: u64,
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
    by_message: HashMap<String, MessageIndex>,
}

/// Where the record has the entries of one message.
#[derive(Debug, Default)]
struct MessageIndex {
    /// Indices of its calls.
    calls: Vec<usize>,
    /// Indices of its notices.
    notices: Vec<usize>,
}

impl RunRecord {
    /// The calls of a message, in their order.
    pub fn calls_of(&self, id: &str) -> impl DoubleEndedIterator<Item = &RecordedCall> {
        let indices = self.by_message.get(id).map_or(&[][..], |index| &index.calls);
        indices.iter().map(|index| &self.calls[*index])
    }

    /// The notices about a message, in their order.
    pub fn notices_of(&self, id: &str) -> impl DoubleEndedIterator<Item = &RecordedNotice> {
        let indices = self.by_message.get(id).map_or(&[][..], |index| &index.notices);
        indices.iter().map(|index| &self.notices[*index])
    }

    /// Records a call, and returns its index.
    pub(crate) fn call(&mut self, call: RecordedCall) -> usize {
        self.by_message.entry(call.id.clone()).or_default().calls.push(self.calls.len());
        self.calls.push(call);
        self.calls.len() - 1
    }

    /// Records a notice.
    pub(crate) fn notice(&mut self, notice: RecordedNotice) {
        self.by_message.entry(notice.id.clone()).or_default().notices.push(self.notices.len());
        self.notices.push(notice);
    }

    /// Log lines of one incarnation of a courier that contain this text.
    pub fn log_lines_with<'a>(
        &'a self,
        courier: usize,
        incarnation: u32,
        text: &'a str,
    ) -> impl Iterator<Item = &'a LogLine> {
        self.lines
            .iter()
            .filter(move |line| line.courier == courier && line.incarnation == incarnation)
            .filter(move |line| line.text.contains(text))
    }

    /// Whether the message was answered 200 by a partner, or a notice about it was received.
    pub fn has_ended(&self, id: &str) -> bool {
        let delivered = |call: &RecordedCall| call.answered.is_some_and(|(_, status)| status == 200);
        self.calls_of(id).any(delivered) || self.notices_of(id).next().is_some()
    }

    /// Connections that a partner has open now, and the most that it ever had.
    pub fn open_connections(&self, partner: usize) -> (usize, usize) {
        let changes = self.connection_changes.iter().filter(|change| change.partner == partner);
        let counts = changes.map(|change| change.open);
        (counts.clone().next_back().unwrap_or(0), counts.max().unwrap_or(0))
    }
}
