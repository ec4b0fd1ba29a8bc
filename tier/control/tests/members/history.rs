//! History of a run: the calls of all operators with their answers, and when each version was committed. It is
//! checked for linearizability as the history of a single register.

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
    /// A status 503, a closed connection, or no answer: an order may or may not have been applied.
    Unclear,
}

/// One attempt at an order, or one read.
pub struct Call {
    /// `None` for a read.
    pub order: Option<Order>,
    /// When the request arrived.
    pub started_at: u64,
    /// When the answer was sent.
    pub ended_at: Option<u64>,
    pub answer: Option<Answer>,
}

/// A version of the configuration that was committed.
struct CommittedVersion {
    /// When it was first committed.
    committed_at: u64,
    version: u64,
    text: String,
}

#[derive(Default)]
pub struct History {
    calls: Vec<Call>,
    /// Versions in the order of their first commit.
    versions: Vec<CommittedVersion>,
    /// The last version that was shown to each operator.
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
        call.ended_at.get_or_insert(now);
        call.answer.get_or_insert(answer.clone());
    }

    /// Records that an answer arrived at an operator.
    pub fn shown(&mut self, operator: usize, answer: &Answer) {
        if let Answer::Applied { version } | Answer::Shows { version, .. } = answer {
            self.newest_shown.insert(operator, *version);
        }
    }

    /// The base version for an operator's next order: the last one that was shown to it, which may be outdated.
    pub fn newest_shown(&self, operator: usize) -> u64 {
        self.newest_shown.get(&operator).copied().unwrap_or(0)
    }

    /// Records that a state was committed. Asserts that its version is already recorded with the same text, or is
    /// newer than all others.
    pub fn committed(&mut self, state: &ControlState, now: u64) {
        if state.version == 0 {
            return;
        }
        if let Some(recorded) = self.versions.iter().find(|recorded| recorded.version == state.version) {
            assert_eq!(
                recorded.text, state.configuration,
                "ORDERS: version {} has two texts",
                recorded.version
            );
            return;
        }
        let newest = self.newest_version();
        assert!(state.version > newest, "ORDERS: version {} was committed after {newest}", state.version);
        let committed =
            CommittedVersion { committed_at: now, version: state.version, text: state.configuration.clone() };
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

    /// Number of calls whose answer is not [`Answer::Unclear`].
    pub fn clear_answers(&self) -> usize {
        self.calls.iter().filter(|call| !matches!(call.answer, None | Some(Answer::Unclear))).count()
    }

    /// Checks that no order was both applied and rejected, and that the answers to reads and rejected orders were
    /// correct at some time between request and answer.
    pub fn check(&self) {
        let mut confirmed: BTreeMap<u64, &Order> = BTreeMap::new();
        for call in &self.calls {
            let (Some(ended), Some(answer)) = (call.ended_at, &call.answer) else { continue };
            match answer {
                Answer::Applied { version } => {
                    let order = call.order.as_ref().unwrap();
                    let first_order = confirmed.entry(*version).or_insert(order);
                    assert_eq!(*first_order, order, "ORDERS: two orders were confirmed as version {version}");
                    let committed = self.committed_by(*version, ended);
                    assert!(committed, "ORDERS: version {version} was confirmed before it was committed");
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
                "ORDERS: the order of version {version} was both applied and rejected"
            );
        }
    }

    /// Checks that a read returned a committed version, and none older than the newest one when the read started.
    fn check_read(&self, version: u64, call: &Call, ended: u64) {
        let before = self.newest_at(call.started_at);
        assert!(
            version >= before,
            "READ: version {version} was returned, but version {before} was committed before"
        );
        let committed = version == 0 || self.committed_by(version, ended);
        assert!(committed, "READ: version {version} was returned but not committed");
    }

    /// Checks that a rejection (status 412) was correct: at some time during the call, the version in force was not
    /// the base.
    fn check_rejection(&self, call: &Call, ended: u64) {
        let base = call.order.as_ref().unwrap().base;
        let changed =
            self.versions.iter().any(|committed| committed.version > base && committed.committed_at <= ended);
        let outdated = self.newest_at(call.started_at) != base || changed;
        assert!(outdated, "ORDERS: an order on version {base} was rejected while that version was in force");
    }

    /// Whether a version was committed at or before `time`.
    fn committed_by(&self, version: u64, time: u64) -> bool {
        self.versions.iter().any(|committed| committed.version == version && committed.committed_at <= time)
    }

    /// The newest version that was committed before `time`, or 0.
    fn newest_at(&self, time: u64) -> u64 {
        self.versions
            .iter()
            .rev()
            .find(|committed| committed.committed_at < time)
            .map_or(0, |committed| committed.version)
    }
}
