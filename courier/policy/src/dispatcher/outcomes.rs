//! The end of an attempt and of its call: the updates of the state, and what happens to the message.

use super::message::{Attempt, Execution};
use super::state::Dispatcher;
use crate::breaks::{self, Break};
use crate::events::{Completion, Outcome};
use crate::ids::MsgId;
use quillmount_containers::remove_timed;

/// Whether the end of an attempt is the first or the last one of its call.
struct CallProgress {
    /// It gives information about the call that was not known yet.
    is_first_result: bool,
    /// No other message of the call is without an outcome.
    is_last: bool,
}

impl Dispatcher {
    /// The last byte of a stream was written: its latency counts from now on.
    ///
    /// DEPARTURE: until then it occupies a slot but does not count in the window. Counted from the first byte, a slow
    /// client would appear as latency of the receiver.
    pub(super) fn on_written(&mut self, id: MsgId, attempt: u32) {
        let message = self.messages.get_mut(&id);
        let attempt = message.and_then(|message| message.attempts.get_mut(attempt as usize));
        let is_streaming =
            |attempt: &&mut Attempt| attempt.streams_body && attempt.execution == Execution::InFlight;
        let Some(attempt) = attempt.filter(is_streaming) else {
            return;
        };
        attempt.streams_body = false;
        attempt.latency_from = self.now;
        let route = &mut self.routes[attempt.route];
        route.open_streams -= 1;
        route.in_flight.push_back((attempt.call, self.now));
        self.ready_destinations.extend(&self.waiting_destinations);
    }

    /// An attempt ended. Ignored where it is not known or has ended before.
    pub(super) fn on_completed(&mut self, completion: &Completion) {
        let Some(attempt) = self.end_attempt(completion) else {
            return;
        };
        let progress = self.update_call(&attempt, completion);
        let is_stale = attempt.latency_from < self.routes[attempt.route].last_success_sent
            && !matches!(completion.outcome, Outcome::Ok | Outcome::Full);
        let wait = if breaks::is_enabled(Break::IgnoreWait) { 0 } else { completion.wait };
        let route = &mut self.routes[attempt.route];
        route.wait_until = route.wait_until.max(self.now + wait);
        if progress.is_last {
            self.release_call(&attempt);
            self.update_connections(attempt.endpoint, completion, attempt.reused_connection);
        }
        // A call that was sent before one that succeeded gives no new information, nor does a stream that its client cut.
        let client_left = attempt.streams_body && completion.outcome == Outcome::Cancelled;
        if !is_stale && progress.is_first_result && !client_left {
            if attempt.reused_connection && completion.outcome == Outcome::Reset {
                // It does not indicate the destination's health, but the rule counts it as a failure seen.
                self.note_failure_seen(attempt.route, false);
            } else {
                self.update_health(&attempt, completion);
            }
        }
        if completion.finished || !self.messages[&completion.msg].is_open {
            self.finish(completion.msg);
        } else {
            self.enqueue(completion.msg);
        }
    }

    /// Records the outcome of an attempt in flight and returns a copy of it.
    fn end_attempt(&mut self, completion: &Completion) -> Option<Attempt> {
        let message = self.messages.get_mut(&completion.msg)?;
        let attempt = message.attempts.get_mut(completion.attempt as usize)?;
        if attempt.execution != Execution::InFlight {
            return None;
        }
        let never_ran = matches!(completion.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
            || (breaks::is_enabled(Break::RetryAfterReset) && completion.outcome == Outcome::Reset)
            || (breaks::is_enabled(Break::RetryAfterGiveUp) && completion.outcome == Outcome::Cancelled);
        attempt.execution = if never_ran { Execution::NeverRan } else { Execution::MayHaveRun };
        let ended = attempt.clone();
        let key = message.key;
        self.cool_down_key(key, completion.outcome);
        Some(ended)
    }

    /// Removes the message from its call. The messages of one call share its outcome, which counts with the last of them; a
    /// time-out counts with the first.
    fn update_call(&mut self, attempt: &Attempt, completion: &Completion) -> CallProgress {
        let call = self.calls_in_flight.get_mut(&attempt.call).expect("an attempt in flight has its call");
        call.pending.retain(|message| *message != completion.msg);
        let is_last = call.pending.is_empty();
        let is_first_result = if completion.outcome == Outcome::Timeout {
            !std::mem::replace(&mut call.timed_out, true)
        } else {
            is_last
        };
        CallProgress { is_first_result, is_last }
    }

    /// Frees the slot of a call that has ended, and its place in the window.
    fn release_call(&mut self, attempt: &Attempt) {
        self.calls_in_flight.remove(&attempt.call);
        let route = &mut self.routes[attempt.route];
        route.trial_call = route.trial_call.filter(|trial| *trial != attempt.call);
        remove_timed(&mut route.in_flight, attempt.call, attempt.latency_from);
        route.open_streams -= u32::from(attempt.streams_body);
        self.ready_destinations.insert(route.dest);
        if attempt.streams_body {
            self.ready_destinations.extend(&self.waiting_destinations);
        }
        self.endpoints.get_mut(&attempt.endpoint).expect("an attempt's endpoint is known").calls -= 1;
    }
}
