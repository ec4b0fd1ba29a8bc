//! The calls of all operators with their answers, and when each version was committed: checked against one linearizable
//! register.

use quillmount_control::{ControlState, Order};
use std::collections::BTreeMap;

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Applied {
        version: u64,
    },
    VersionMismatch,
    Invalid,
    Shows {
        version: u64,
        text: String,
    },
    /// A 503, a closed connection, or nothing: an order may or may not be applied.
    Unclear,
}

/// One attempt at an order, or one read.
pub struct Call {
    /// `None` for a read.
    pub order: Option<Order>,
    /// When the request arrived.
    pub began: u64,
    /// When the answer was sent.
    pub ended: Option<u64>,
    pub answer: Option<Answer>,
}

/// A version of the configuration that was committed.
struct CommittedVersion {
    /// When it was first committed.
    at: u64,
    version: u64,
    text: String,
}

#[derive(Default)]
pub struct History {
    calls: Vec<Call>,
    /// Versions in the order of their first commit.
    versions: Vec<CommittedVersion>,
    /// The last version that each operator has seen.
    newest_shown: BTreeMap<usize, u64>,
}

impl History {
    /// Records the start of a call; returns its index.
    pub fn record_call(&mut self, call: Call) -> usize {
        self.calls.push(call);
        self.calls.len() - 1
    }

    /// Records the first answer to a call.
    pub fn answered(&mut self, call: usize, answer: &Answer, now: u64) {
        let call = &mut self.calls[call];
        call.ended.get_or_insert(now);
        call.answer.get_or_insert(answer.clone());
    }

    /// Records that an operator has seen an answer.
    pub fn shown(&mut self, operator: usize, answer: &Answer) {
        if let Answer::Applied { version } | Answer::Shows { version, .. } = answer {
            self.newest_shown.insert(operator, *version);
        }
    }

    /// The version on which an operator builds: the last one that it has seen, which may be outdated.
    pub fn newest_shown(&self, operator: usize) -> u64 {
        self.newest_shown.get(&operator).copied().unwrap_or(0)
    }

    /// Records that a state was committed. Its version is known or newer than all others, and its text never changes.
    pub fn committed(&mut self, state: &ControlState, now: u64) {
        if state.version == 0 {
            return;
        }
        if let Some(known) = self.versions.iter().find(|known| known.version == state.version) {
            assert_eq!(known.text, state.configuration, "ORDERS: version {} has two texts", known.version);
            return;
        }
        let newest = self.newest_version();
        assert!(state.version > newest, "ORDERS: version {} came in force after {newest}", state.version);
        let committed =
            CommittedVersion { at: now, version: state.version, text: state.configuration.clone() };
        self.versions.push(committed);
    }

    /// The newest version that was committed, or 0.
    pub fn newest_version(&self) -> u64 {
        self.versions.last().map_or(0, |committed| committed.version)
    }

    /// Number of versions that were committed.
    pub fn versions(&self) -> usize {
        self.versions.len()
    }

    /// Number of calls with a clear answer.
    pub fn clear_answers(&self) -> usize {
        self.calls.iter().filter(|call| !matches!(call.answer, None | Some(Answer::Unclear))).count()
    }

    /// Checks that no order was both applied and rejected, and that reads and rejections are true of some moment between
    /// request and answer.
    pub fn check(&self) {
        let mut confirmed: BTreeMap<u64, &Order> = BTreeMap::new();
        for call in &self.calls {
            let (Some(ended), Some(answer)) = (call.ended, &call.answer) else { continue };
            match answer {
                Answer::Applied { version } => {
                    let order = call.order.as_ref().unwrap();
                    let known = confirmed.entry(*version).or_insert(order);
                    assert_eq!(*known, order, "ORDERS: two orders were confirmed as version {version}");
                    let committed = self.committed_by(*version, ended);
                    assert!(committed, "ORDERS: version {version} was confirmed too soon");
                }
                Answer::Shows { version, .. } => self.check_read(*version, call, ended),
                Answer::VersionMismatch => self.check_rejection(call, ended),
                Answer::Invalid | Answer::Unclear => {}
            }
        }
        for (version, order) in &confirmed {
            let rejected = |call: &&Call| {
                call.order.as_ref() == Some(*order)
                    && matches!(call.answer, Some(Answer::VersionMismatch | Answer::Invalid))
            };
            assert!(
                !self.calls.iter().any(|call| rejected(&call)),
                "ORDERS: {version} was applied and rejected"
            );
        }
    }

    /// A read shows a version that was committed, and none older than the newest when it began.
    fn check_read(&self, version: u64, call: &Call, ended: u64) {
        let before = self.newest_at(call.began);
        assert!(version >= before, "READ: version {version} was shown, {before} was in force before");
        let committed = version == 0 || self.committed_by(version, ended);
        assert!(committed, "READ: {version} was not in force");
    }

    /// A rejection (status 412) is true if another version than the base was in force at some moment of the call.
    fn check_rejection(&self, call: &Call, ended: u64) {
        let base = call.order.as_ref().unwrap().base;
        let changed = self.versions.iter().any(|known| known.version > base && known.at <= ended);
        let outdated = self.newest_at(call.began) != base || changed;
        assert!(outdated, "ORDERS: rejected on {base}, which was in force");
    }

    /// Whether a version was committed by this time.
    fn committed_by(&self, version: u64, time: u64) -> bool {
        self.versions.iter().any(|known| known.version == version && known.at <= time)
    }

    /// The newest version that was committed before this time, or 0.
    fn newest_at(&self, time: u64) -> u64 {
        self.versions.iter().rev().find(|known| known.at < time).map_or(0, |known| known.version)
    }
}
