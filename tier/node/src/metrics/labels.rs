//! Labels of the counters.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use quillmount_dataplane::batch_item::GiveUpReason;
use quillmount_dataplane::dispatch::CallOutcome;
use quillmount_wire::messages::Phase;

/// How a request of a client ended.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub enum RequestOutcome {
    /// With the complete answer of an endpoint, or of the batch interface.
    Answered,
    /// It was not run: 503 or 429.
    Refused,
    /// It is not proper, or the configuration does not allow it: 4xx.
    Denied,
    /// It may have run: 502, 504, or a stream that broke off.
    Failed,
    /// The client left, or its connection broke.
    Abandoned,
}

impl RequestOutcome {
    /// The outcome of a request that was answered here, with this status.
    pub fn of_own_answer(status: u16) -> RequestOutcome {
        match status {
            200..300 => RequestOutcome::Answered,
            429 | 503 => RequestOutcome::Refused,
            400..500 => RequestOutcome::Denied,
            _ => RequestOutcome::Failed,
        }
    }
}

/// How a poll of the core was answered.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub enum PollResult {
    /// By the primary or a relay.
    Answered,
    /// By the primary, which has newer tables than its link carries at present.
    Busy,
    /// By a process that is not the primary.
    Redirected,
    /// Not at all.
    Failed,
}

/// A table, or an update of it, in the answer to a poll.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub enum TableKind {
    /// The operator's configuration.
    Configuration,
    /// Changes of the configuration.
    ConfigurationChanges,
    /// The placement.
    Placement,
    /// Changes of the placement.
    PlacementChanges,
    /// The complete list of endpoints.
    EndpointList,
    /// Changes of the list of endpoints.
    EndpointChanges,
}

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub(super) enum CallKind {
    /// It succeeded.
    Succeeded,
    /// It continued a stream.
    Resumed,
    /// The endpoint was full; it did not run.
    Refused,
    /// Another endpoint has the address.
    Replaced,
    /// The connection broke, or could not be made.
    Lost,
    /// The endpoint answered with an error.
    Error,
    /// The endpoint was silent.
    TimedOut,
    /// The caller ended it.
    Abandoned,
}

impl From<CallOutcome> for CallKind {
    fn from(outcome: CallOutcome) -> CallKind {
        match outcome {
            CallOutcome::FirstEvent(_) => CallKind::Succeeded,
            CallOutcome::Resumed => CallKind::Resumed,
            CallOutcome::Refused => CallKind::Refused,
            CallOutcome::Replaced => CallKind::Replaced,
            CallOutcome::Lost => CallKind::Lost,
            CallOutcome::Error => CallKind::Error,
            CallOutcome::TimedOut(_) => CallKind::TimedOut,
            CallOutcome::Abandoned => CallKind::Abandoned,
        }
    }
}

/// Labels of requests.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct RequestLabels {
    pub(super) outcome: RequestOutcome,
}

/// Labels of calls to endpoints.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct CallLabels {
    pub(super) outcome: CallKind,
}

/// Labels of batch items.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct ItemLabels {
    phase: &'static str,
}

impl From<Phase> for ItemLabels {
    fn from(phase: Phase) -> ItemLabels {
        let phase = match phase {
            Phase::Done => "done",
            Phase::DeadLetter => "dead_letter",
        };
        ItemLabels { phase }
    }
}

/// Why an item of a batch job was given up.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub(super) enum GiveUpKind {
    /// The route of its job ended.
    RouteEnded,
    /// Its retention time passed.
    Expired,
    /// Endpoints failed it as often as the route allows.
    Failed,
    /// An endpoint answered that it can't be processed.
    Unprocessable,
    /// Its path or id can't be part of a request.
    Malformed,
}

impl From<GiveUpReason> for GiveUpKind {
    fn from(reason: GiveUpReason) -> GiveUpKind {
        match reason {
            GiveUpReason::RouteEnded => GiveUpKind::RouteEnded,
            GiveUpReason::Expired => GiveUpKind::Expired,
            GiveUpReason::Failed => GiveUpKind::Failed,
            GiveUpReason::Unprocessable => GiveUpKind::Unprocessable,
            GiveUpReason::Malformed => GiveUpKind::Malformed,
        }
    }
}

/// Labels of batch items that were given up.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct GiveUpLabels {
    pub(super) reason: GiveUpKind,
}

/// Labels of polls.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct PollLabels {
    pub(super) result: PollResult,
}

/// Labels of tables in answers to polls.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct TableLabels {
    pub(super) kind: TableKind,
}

/// Labels of calls to the platform.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct StatusLabels {
    pub(super) status: u16,
}

/// Labels of what is counted by service.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct ServiceLabels {
    pub(super) service: String,
}
