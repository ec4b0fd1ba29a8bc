//! What is explored: the size of the world, and the faults that may occur in it.

use quillmount_policy::Micros;
use quillmount_settings::SenderSettings;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A kind of fault that a world may contain. Names and help are those of the option `--events`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, clap::ValueEnum,
)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A connection to an endpoint is refused.
    #[value(help = "A connection to a provider is refused")]
    Refuse,
    /// A connection to an endpoint is never established.
    #[serde(rename = "never")]
    #[value(name = "never", help = "A connection to a provider never comes up")]
    NeverConnects,
    /// An endpoint does not answer, and the call times out.
    #[value(help = "A provider says nothing, and the call times out")]
    Timeout,
    /// A request is written in two parts, with anything in between.
    #[serde(rename = "part")]
    #[value(name = "part")]
    PartialWrite,
    /// A connection breaks before the request's last byte.
    Break,
    /// An endpoint answers 500: the call may have run.
    #[value(help = "500: it may have run")]
    Error,
    /// An endpoint answers 503: the call is rejected.
    #[value(help = "503: turned away")]
    Full,
    /// An endpoint answers 429 with a wait.
    #[value(help = "429 with a wait")]
    Wait,
    /// An endpoint answers 503 with `X-Over-Slots`.
    #[value(help = "503 with X-Over-Slots")]
    Slots,
    /// An endpoint answers 504: all attempts are used up.
    #[value(help = "504: all attempts are used up")]
    Exhausted,
    /// An endpoint answers 410: nothing more is owed for the message.
    #[serde(rename = "over")]
    #[value(name = "over", help = "410: the message is over")]
    MessageGone,
    /// An answer that breaks off, after a 200 or after something else.
    #[serde(rename = "spoilt")]
    #[value(name = "spoilt")]
    TruncatedAnswer,
    /// An interim answer first.
    Interim,
    /// A second copy of a 200 behind the first.
    #[serde(rename = "copy")]
    #[value(name = "copy")]
    DuplicateAnswer,
    /// A reset after the request's last byte.
    Reset,
    /// An answer arrives, and something else happens before it is read.
    #[value(help = "An answer stands in the socket, and something else happens before it is read")]
    Race,
    /// An endpoint closes an idle connection.
    #[value(help = "A provider closes a connection that rests")]
    Idle,
    /// An endpoint drains.
    #[value(help = "A provider drains")]
    Drain,
    /// An endpoint leaves the list.
    #[value(help = "A provider is gone")]
    Gone,
    /// An endpoint that drained or left is ready again, under the same id.
    #[value(help = "A provider that drained or went is ready again, under the same id")]
    Ready,
    /// A new endpoint, under a new id, appears at the address of one that is gone.
    #[value(help = "A new provider, under a new id, stands at the address of one that is gone")]
    Replace,
    /// Discovery sends the full list.
    #[serde(rename = "whole")]
    #[value(name = "whole", help = "The whole list is told")]
    FullList,
    /// The watch on discovery breaks, and resumes.
    Watch,
    /// A notice or its confirmation is lost.
    Lose,
    /// A confirmation arrives twice.
    #[serde(rename = "twice")]
    #[value(name = "twice", help = "A confirmation counts twice")]
    ConfirmedTwice,
    /// A client submits the same id again.
    #[serde(rename = "again")]
    #[value(name = "again", help = "A consumer hands the same id in again")]
    Resubmit,
    /// A client submits the same key again under a new id.
    #[serde(rename = "key")]
    #[value(name = "key", help = "A consumer hands the same key in again under a fresh id")]
    SubmitSameKey,
    /// The disk refuses writes for a while.
    Disk,
    /// SIGTERM: a graceful shutdown.
    #[value(help = "SIGTERM: a planned stop")]
    Term,
    /// SIGKILL, between any two writes.
    Kill,
    /// SIGKILL inside a record.
    #[serde(rename = "tear")]
    #[value(name = "tear")]
    TornWrite,
}

/// The size of a world, its faults and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// Endpoints on the first list.
    pub endpoints: u8,
    /// Destinations, to which the endpoints belong in turn.
    pub destinations: u8,
    /// Messages that clients submit.
    pub messages: u8,
    /// Incarnations of the process: kills and graceful shutdowns are one less.
    #[serde(rename = "lives")]
    pub incarnations: u8,
    /// Attempts for a message at most.
    pub attempts: u32,
    /// Calls in flight at most.
    pub slots: u32,
    /// Messages pending at most.
    pub open_cap: u32,
    /// Faults that may occur.
    pub events: BTreeSet<FaultKind>,
    /// Faults on one path at most; `None`: any number.
    pub faults: Option<u32>,
    /// All messages are submitted before the clock goes on.
    pub at_once: bool,
    /// The clock also stops a microsecond before and after each moment that matters.
    pub edges: bool,
    /// Milliseconds that a message may take.
    pub time_left: u32,
    /// Milliseconds for which the platform drops a repeated notice by its key.
    pub span: u32,
    /// Seed of the random draws of the router, set at the start of each transition.
    pub seed: u64,
}

impl Default for Case {
    fn default() -> Self {
        Case {
            endpoints: 2,
            destinations: 1,
            messages: 2,
            incarnations: 1,
            attempts: 2,
            slots: 4,
            open_cap: 20,
            events: BTreeSet::from([FaultKind::Refuse, FaultKind::Timeout, FaultKind::Drain]),
            faults: None,
            at_once: false,
            edges: true,
            time_left: 16_000,
            span: 6_000,
            seed: 1,
        }
    }
}

/// A case that can't be explored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CaseError {
    /// A size is out of its range.
    #[error("{option}: from {least} to {greatest} are possible, not {value}")]
    OutOfRange {
        /// The option of the size, without its hyphens.
        option: &'static str,
        /// The least value.
        least: u64,
        /// The greatest value.
        greatest: u64,
        /// The value of the case.
        value: u64,
    },
}

impl Case {
    /// Checks each size against its range.
    ///
    /// # Errors
    /// A size that no world can have, or whose search would not end.
    pub fn check(&self) -> Result<(), CaseError> {
        let within = |option, value: u64, least: u64, greatest: u64| {
            if (least..=greatest).contains(&value) {
                Ok(())
            } else {
                Err(CaseError::OutOfRange { option, least, greatest, value })
            }
        };
        within("destinations", self.destinations.into(), 1, 4)?;
        within("endpoints", self.endpoints.into(), self.destinations.into(), 8)?;
        within("messages", self.messages.into(), 1, 8)?;
        within("lives", self.incarnations.into(), 1, 4)?;
        within("attempts", self.attempts.into(), 1, 8)?;
        within("slots", self.slots.into(), 1, 64)?;
        within("open-cap", self.open_cap.into(), 1, 64)?;
        within("time-left", self.time_left.into(), 100, 60_000)?;
        within("span", self.span.into(), 100, 60_000)
    }

    /// Whether this fault may occur.
    pub fn allows(&self, event: FaultKind) -> bool {
        self.events.contains(&event)
    }

    /// Time that a message may take, in microseconds.
    pub fn time_left(&self) -> Micros {
        Micros::from(self.time_left) * 1_000
    }

    /// Time for which the platform drops repeated notices, in microseconds.
    pub fn span(&self) -> Micros {
        Micros::from(self.span) * 1_000
    }

    /// The settings of the courier, read by the same decoder as those of the platform.
    ///
    /// # Errors
    /// The settings can't be decoded.
    pub fn settings(&self) -> Result<SenderSettings, serde_json::Error> {
        serde_json::from_value(serde_json::json!({
            "me": 0, "siblings": 1, "discovery": "automatic", "skus": ["bank"], "weight_source": "rough",
            "failure_domains": ["a"], "zone": "a",
            "family_info": {"call_slots": self.slots, "decay": "halving", "separate_routes": [false]},
            "limits": {
                "cancel": true, "retry_after": true, "max_attempts": self.attempts, "max_retry_after_ms": 3000,
                "open_cap": self.open_cap, "keepalive_ms": 15000, "dial_timeout_ms": 1000, "streams_per_conn": 1
            },
            "rules": {"cold_from": 0.22, "cold_ms": 9200, "fall_ms": 3000, "fall_multiple": 2},
            "categories": [
                {"name": CLASSES[0], "effect": "fragile", "promise_ms": 3000, "deadline_ms": self.time_left,
                 "worth": 1, "late_worth": 0.4},
                {"name": CLASSES[1], "effect": "dedup", "dedup_scope": "all", "memory_span_ms": self.span,
                 "promise_ms": 3000, "deadline_ms": self.time_left, "worth": 1, "late_worth": 0.4}
            ]
        }))
    }
}

/// The message classes by number: the first may run once only, the second is dropped by its key when repeated within a span.
pub const CLASSES: [&str; 2] = ["fee-debit", "paid-notice"];
/// The class of debits, which may run once only; an index into [`CLASSES`].
pub const DEBIT: u8 = 0;
/// The class of notices, which are dropped by their key when repeated within a span; an index into [`CLASSES`].
pub const NOTICE: u8 = 1;
