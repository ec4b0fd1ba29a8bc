//! The records that the dispatcher keeps, which decide nothing, and its state from one process to the next: all but its
//! settings, which every process reads itself.

use super::*;
use quillmount_containers::LatencyEstimate;
use std::collections::VecDeque;

#[rustfmt::skip]
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub enum Execution { InFlight, NeverRan, MayHaveRun }

/// Calls are counted; one carries one message or several.
pub type CallNumber = u64;

#[rustfmt::skip]
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Attempt {
    pub endpoint: EndpointId, pub zone: u32, pub lane: usize, pub call: CallNumber, pub sent: Micros, pub execution: Execution,
    /// It went over a connection that had been idle; it was called off; its body is on its way.
    pub reused_connection: bool, pub cancelled: bool, pub streams_body: bool,
    /// From when its latency counts: a stream's from its last byte on.
    pub latency_from: Micros,
}

#[rustfmt::skip]
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct PendingMessage {
    pub class: usize, pub value: f64, pub key: Option<u64>, pub dest: DestId,
    pub created_at: Micros, pub received_at: Micros, pub latency_target: Micros, pub deadline: Micros,
    /// Owed an answer still; an ended message stays until its attempts are over.
    pub is_open: bool, pub restored: bool, pub stream: bool, pub size: u64, pub attempts: Vec<Attempt>,
    /// Its place among those held.
    pub position: u64,
}

impl Attempt {
    /// One of an earlier life: it holds no slot and its lane is not known any more.
    pub fn from_past(p: &PastAttempt) -> Self {
        let execution = if p.may_have_run { Execution::MayHaveRun } else { Execution::NeverRan };
        let (endpoint, lane, (sent, latency_from)) = (EndpointId::MAX, usize::MAX, (p.sent, p.sent));
        let (zone, reused_connection, cancelled, streams_body) = (p.zone, false, false, false);
        Attempt {
            endpoint,
            zone,
            lane,
            call: CallNumber::MAX,
            sent,
            latency_from,
            execution,
            reused_connection,
            cancelled,
            streams_body,
        }
    }
}

impl PendingMessage {
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.execution == Execution::InFlight)
    }
    /// The first attempt that ran, may have run or still may.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.execution != Execution::NeverRan)
    }
}

#[rustfmt::skip]
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct Endpoint {
    pub dest: DestId, pub lane: usize, pub zone: u32, pub rate: f64, pub listed: bool, pub calls: u32,
    /// When each idle connection was last used.
    pub idle_since: Vec<Micros>,
    /// When it last answered and refused a connection, and until when its table is taken to be full.
    pub last_answer: Micros, pub last_refusal: Micros, pub full_until: Micros,
    /// Drawn anew with each call: decides between equals.
    pub tie_break: f64,
}

/// A call that is out: its messages without an outcome, and whether one of them was not waited for any longer.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct CallInFlight {
    pub pending: Vec<MsgId>,
    pub timed_out: bool,
}

#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct Destination {
    pub kind: usize,
    pub lanes: Vec<usize>,
    /// Messages without an attempt out.
    pub waiting: AgeGroups<ValueGroup>,
}

/// What messages have in common whose worth goes by their age alone, and that may go to the same places.
#[rustfmt::skip]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Deserialize, serde::Serialize)]
pub struct ValueGroup {
    pub class: usize, pub value_bits: u64, pub latency_target: Micros, pub lifetime: Micros, pub zone: Option<u32>, pub stream: bool, pub ordered: bool,
}

#[rustfmt::skip]
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct Lane {
    pub dest: DestId, pub endpoints: Vec<EndpointId>,
    /// Calls out, oldest first, with the time each was sent.
    pub in_flight: VecDeque<(CallNumber, Micros)>,
    /// Streams on their way to their last byte; they are in `live` from there on.
    pub open_streams: u32,
    pub window: f64, pub latency: LatencyEstimate,
    /// Average latency of answered calls, and time-outs in a row: patience comes from these.
    pub answered_latency: f64, pub timeouts_in_row: u32,
    /// When the latest of the calls that succeeded was sent.
    pub last_success_sent: Micros,
    /// Someone was held back by the window since the last update.
    pub window_limited: bool,
    pub last_shrink: Micros, pub wait_until: Micros,
    /// The last eight outcomes, a bit for each that was no success, and for each error; failures and refusals in a row.
    pub recent_failures: u8, pub recent_errors: u8, pub failures_in_row: u32, pub refusals_in_row: u32,
    /// When the first call since the last success was sent that failed or was refused.
    pub first_failure_sent: Micros,
    pub in_outage: bool, pub trial_call: Option<CallNumber>,
    /// Until when the guard binds; when the latest failure was seen, and until when the lane is kept for it.
    pub guard_until: Micros, pub last_failure_seen: Micros, pub keep_until: Micros,
    /// Times of calls within the last `fall` span, and of the last one.
    pub recent_sends: VecDeque<Micros>, pub last_sent: Micros,
    /// When its calls so far would have gone out if they had kept to their gap.
    pub paced_at: Micros,
}

impl Dispatcher {
    /// Goes on from another process's state, under settings that say the same as that one's.
    ///
    /// # Errors
    /// No instance can run under them.
    pub(crate) fn resume(mut self, settings: Settings) -> Result<Self, SettingsError> {
        settings.check()?;
        self.settings = Arc::new(settings);
        Ok(self)
    }
}
