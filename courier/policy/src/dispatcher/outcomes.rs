//! Processes the end of an attempt and of its call, and then ends or queues the message.

use super::message::{Attempt, Execution};
use super::state::Dispatcher;
use crate::breaks::{self, Break};
use crate::events::{Completion, Outcome};
use crate::ids::MsgId;
use quillmount_containers::remove_timed;

/// Position of the end of an attempt among the ends of its call's attempts.
struct CallProgress {
    /// Whether it gives new information about the call.
    is_first_result: bool,
    /// Whether all other messages of the call already have an outcome.
    is_last: bool,
}

impl Dispatcher {
    /// Starts the latency measurement of a stream, whose last byte was written.
    ///
    /// DEPARTURE: until then the stream occupies a slot but does not count against the window. If its latency were
    /// measured from the first byte, a slow client would appear as latency of the receiver.
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

    /// Processes the end of an attempt. An unknown attempt or one that has already ended is ignored.
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
        // A failure of a call sent before one that succeeded gives no new information, nor does a stream cut off by
        // its client.
        let cut_by_client = attempt.streams_body && completion.outcome == Outcome::Cancelled;
        if !is_stale && progress.is_first_result && !cut_by_client {
            if attempt.reused_connection && completion.outcome == Outcome::Reset {
                // Such a reset does not indicate the destination's health, but it counts as a failure for the
                // slow-start guard.
                self.record_failure(attempt.route, false);
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

    /// Records the outcome of an attempt in flight and returns a copy of the attempt; `None` if it is not in flight.
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

    /// Removes the message from its call. The messages of a call share its outcome, which counts once: with the last
    /// message, or with the first for a time-out.
    fn update_call(&mut self, attempt: &Attempt, completion: &Completion) -> CallProgress {
        let call = self.calls_in_flight.get_mut(&attempt.call).expect("an attempt in flight has a call");
        call.pending.retain(|message| *message != completion.msg);
        let is_last = call.pending.is_empty();
        let is_first_result = if completion.outcome == Outcome::Timeout {
            !std::mem::replace(&mut call.timed_out, true)
        } else {
            is_last
        };
        CallProgress { is_first_result, is_last }
    }

    /// Frees the slot of a call that has ended and removes it from the window.
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
