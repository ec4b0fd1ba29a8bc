//! What callers asked, what they were told, and which versions were committed when: checked against one register.

use quillmount_control::{ControlState, Order};
use std::collections::BTreeMap;

/// What a caller is told.
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
    /// A 503, a closed connection, or nothing.
    Unclear,
}

/// One sending of an order, or one read.
pub struct Call {
    /// `None`: a read.
    pub order: Option<Order>,
    pub began: u64,
    pub ended: Option<u64>,
    pub answer: Option<Answer>,
}

#[derive(Default)]
pub struct History {
    calls: Vec<Call>,
    /// Versions in the order in which they were first committed: when, and their text.
    versions: Vec<(u64, u64, String)>,
    newest_shown: BTreeMap<usize, u64>,
}

impl History {
    pub fn record_call(&mut self, call: Call) -> usize {
        self.calls.push(call);
        self.calls.len() - 1
    }

    pub fn answered(&mut self, call: usize, answer: &Answer, now: u64) {
        let call = &mut self.calls[call];
        call.ended.get_or_insert(now);
        call.answer.get_or_insert(answer.clone());
    }

    /// The caller has seen an answer.
    pub fn shown(&mut self, operator: usize, answer: &Answer) {
        if let Answer::Applied { version } | Answer::Shows { version, .. } = answer {
            self.newest_shown.insert(operator, *version);
        }
    }

    /// The version on which an operator builds: what it saw last, be that old or not.
    pub fn newest_shown(&self, operator: usize) -> u64 {
        self.newest_shown.get(&operator).copied().unwrap_or(0)
    }

    /// A state was committed: its version is the newest or one known, and its text never changes.
    pub fn committed(&mut self, state: &ControlState, now: u64) {
        if state.version == 0 {
            return;
        }
        match self.versions.iter().find(|(_, version, _)| *version == state.version) {
            Some((_, version, text)) => {
                assert_eq!(*text, state.configuration, "ORDERS: version {version} has two texts");
            }
            None => {
                let newest = self.versions.last().map_or(0, |(_, version, _)| *version);
                assert!(
                    state.version > newest,
                    "ORDERS: version {} came in force after {newest}",
                    state.version
                );
                self.versions.push((now, state.version, state.configuration.clone()));
            }
        }
    }

    pub fn newest_version(&self) -> u64 {
        self.versions.last().map_or(0, |(_, version, _)| *version)
    }

    /// How many versions came in force.
    pub fn versions(&self) -> usize {
        self.versions.len()
    }

    /// Answers that were clear.
    pub fn clear_answers(&self) -> usize {
        self.calls.iter().filter(|call| !matches!(call.answer, None | Some(Answer::Unclear))).count()
    }

    /// Orders that were refused after they had been taken, or taken after they had been refused, are none; reads and refusals
    /// fit one register between question and answer.
    pub fn check(&self) {
        let mut confirmed: BTreeMap<u64, &Order> = BTreeMap::new();
        for call in &self.calls {
            let (Some(ended), Some(answer)) = (call.ended, &call.answer) else { continue };
            match answer {
                Answer::Applied { version } => {
                    let order = call.order.as_ref().unwrap();
                    let known = confirmed.entry(*version).or_insert(order);
                    assert_eq!(*known, order, "ORDERS: two orders were confirmed as version {version}");
                    assert!(
                        self.committed_by(*version, ended),
                        "ORDERS: version {version} was confirmed too soon"
                    );
                }
                Answer::Shows { version, .. } => {
                    let before = self.newest_at(call.began);
                    assert!(
                        *version >= before,
                        "READ: version {version} was shown, {before} was in force before"
                    );
                    assert!(
                        *version == 0 || self.committed_by(*version, ended),
                        "READ: {version} was not in force"
                    );
                }
                Answer::VersionMismatch => self.check_refusal(call, ended),
                Answer::Invalid | Answer::Unclear => {}
            }
        }
        for (version, order) in &confirmed {
            let refused = |call: &&Call| {
                call.order.as_ref() == Some(*order)
                    && matches!(call.answer, Some(Answer::VersionMismatch | Answer::Invalid))
            };
            assert!(!self.calls.iter().any(|call| refused(&call)), "ORDERS: {version} was taken and refused");
        }
    }

    /// A 412 is true if another version than the base was in force at some moment between question and answer.
    fn check_refusal(&self, call: &Call, ended: u64) {
        let base = call.order.as_ref().unwrap().base;
        let changed = self.versions.iter().any(|(at, version, _)| *version > base && *at <= ended);
        assert!(
            self.newest_at(call.began) != base || changed,
            "ORDERS: refused on {base}, which was in force"
        );
    }

    fn committed_by(&self, version: u64, time: u64) -> bool {
        self.versions.iter().any(|(at, known, _)| *known == version && *at <= time)
    }

    fn newest_at(&self, time: u64) -> u64 {
        self.versions.iter().rev().find(|(at, ..)| *at < time).map_or(0, |(_, version, _)| *version)
    }
}
