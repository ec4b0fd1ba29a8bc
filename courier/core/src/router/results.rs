//! Processing of the results of delivery calls.

use super::outstanding::EndedCall;
use super::owed::OwedMessage;
use super::stream::StreamEnd;
use super::{Router, RouterAction};
use crate::journal::JournalRecord;
use crate::store::Store;
use crate::{AnswerReport, CallEnd, CallId, Ending};
use quillmount_policy::breaks::{self, Break};
use quillmount_policy::{Completion, Micros, MsgId, Outcome};

/// A delivery that is reported less than this many microseconds before the deadline may have come after it: the time
/// left counts from when the client sent the message, but here it is measured from when the message was read.
const DEADLINE_MARGIN: Micros = 50_000;

impl<S: Store> Router<S> {
    /// Processes a delivery call with the same result for all of its messages.
    pub fn call_ended(&mut self, call: CallId, end: CallEnd, now: Micros) -> Vec<RouterAction> {
        self.call_ended_with_report(call, end, &AnswerReport::default(), now)
    }

    /// Processes a delivery call with the same result for all of its messages and with a report in its answer.
    pub fn call_ended_with_report(
        &mut self,
        call: CallId,
        end: CallEnd,
        report: &AnswerReport,
        now: Micros,
    ) -> Vec<RouterAction> {
        let ends = vec![end; self.outstanding.len_of(call)];
        self.call_ended_each(call, &ends, report, now)
    }

    /// Processes a delivery call with a result for each of its messages, in the order in which they were sent.
    pub fn call_ended_each(
        &mut self,
        call: CallId,
        ends: &[CallEnd],
        report: &AnswerReport,
        now: Micros,
    ) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let mut completions = Vec::new();
        let Some(EndedCall { items, endpoint, dest }) = self.outstanding.remove_call(call) else {
            return actions;
        };
        let wait = ends.iter().map(|end| end.wait()).max().unwrap_or(0).max(report.wait);
        if wait > 0 {
            let until = now.saturating_add(wait);
            let bound = self.endpoints_bound_by(endpoint, dest);
            actions.extend(bound.map(|endpoint| RouterAction::BackOff { endpoint, until }));
        }
        for (item, end) in items.iter().zip(ends) {
            completions.extend(self.message_ended(*item, *end, report.wait, now, &mut actions));
        }
        let load_report = self.load_values(report);
        for completion in &mut completions {
            completion.load_report.clone_from(&load_report);
        }
        // The policy evaluates a call by its last message, and for the destination a success is the most significant
        // result.
        completions.sort_by_key(|completion: &Completion| completion.outcome == Outcome::Ok);
        let instructions = self.policy.report_all(now, completions);
        self.carry_out(instructions, now, &mut actions);
        self.drain_notes(&mut actions);
        actions
    }

    /// Whether the settings define load report fields that are read from answers.
    pub fn reads_load_reports(&self) -> bool {
        !self.config.load_fields.is_empty()
    }

    /// The endpoints to which one endpoint's retry delay applies, as in the policy: only that endpoint if endpoints
    /// are separate routes, otherwise all endpoints of the destination. If the delay applied to more, it would
    /// repeatedly block calls that the policy sends over another route.
    fn endpoints_bound_by(&self, endpoint: u32, dest: u64) -> impl Iterator<Item = u32> {
        let kind = self.endpoints.get(endpoint).map_or(usize::MAX, |endpoint| endpoint.kind);
        let separate_routes = self.config.separate_routes.get(kind).copied().unwrap_or(false);
        self.endpoints.of_dest(dest).filter(move |number| !separate_routes || *number == endpoint)
    }

    /// The values of a load report in the order of the settings; empty if a value is missing, negative or not finite.
    fn load_values(&self, report: &AnswerReport) -> Vec<f64> {
        let value =
            |name: &String| report.load.iter().find(|(field, _)| field == name).map(|(_, value)| *value);
        let values: Option<Vec<f64>> = self.config.load_fields.iter().map(value).collect();
        values.filter(|values| values.iter().all(|v| v.is_finite() && *v >= 0.0)).unwrap_or_default()
    }

    /// Processes the result of one message of a call. Returns its completion for the policy, without a load report, or
    /// `None` if the message had already left the call.
    pub(super) fn message_ended(
        &mut self,
        item: CallId,
        end: CallEnd,
        advised_wait: Micros,
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) -> Option<Completion> {
        let CallId { msg, attempt } = item;
        let Some(message) = self.outstanding.remove(item) else {
            self.delivered_late(msg, end, now, actions);
            return None;
        };
        self.counters.count_call(end);
        let outcome = end.outcome();
        let stream_end = self.owed.get(&msg).filter(|owed| owed.stream.is_some()).map(|owed| owed.end);
        if stream_end.is_some() && end == CallEnd::Gone {
            // The message was withdrawn or its deadline has passed: it was not delivered, and its client waits for
            // an answer.
            self.end(msg, Ending::Undeliverable, now, actions);
        } else if matches!(end, CallEnd::Delivered | CallEnd::Gone) {
            if stream_end == Some(None) {
                actions.push(RouterAction::Answer { msg, end: StreamEnd::Delivered });
            }
            self.delivered(msg, end, now, actions);
        } else if self.owed.contains_key(&msg) {
            let never_ran = matches!(outcome, Outcome::Full | Outcome::Moot | Outcome::ConnectFailed)
                || breaks::is_enabled(Break::OutcomeNever);
            if let Some(attempt) = message.journal_index {
                self.write(&JournalRecord::Outcome { msg, attempt, never_ran }, now);
            }
            self.stream_call_ended(msg, never_ran, now, actions);
        }
        let finished = self.owed.get(&msg).is_none_or(|owed| owed.end.is_some());
        let elapsed = now.saturating_sub(message.written_at.unwrap_or(message.sent_at));
        let wait = end.wait().max(advised_wait);
        Some(Completion { msg, attempt, outcome, elapsed, finished, wait, load_report: Vec::new() })
    }

    /// Handles an endpoint's answer that a message is delivered or has already ended. Whether a delivery close to
    /// the deadline counts depends on whose clock is used, so in that case the message is also reported as
    /// undeliverable, which has no effect if the delivery counts.
    fn delivered(&mut self, msg: MsgId, end: CallEnd, now: Micros, actions: &mut Vec<RouterAction>) {
        let is_late = |owed: &OwedMessage| {
            owed.stream.is_none() && now.saturating_add(DEADLINE_MARGIN) >= owed.deadline
        };
        if end == CallEnd::Delivered && self.owed.get(&msg).is_some_and(is_late) {
            // If the policy has already chosen an end, the message keeps it.
            self.end(msg, Ending::Undeliverable, now, actions);
        } else {
            self.complete(msg, now);
        }
    }

    /// Handles a message that a call delivered after the message had left it; the message's other calls are no longer
    /// needed.
    fn delivered_late(&mut self, msg: MsgId, end: CallEnd, now: Micros, actions: &mut Vec<RouterAction>) {
        let is_open = self.owed.get(&msg).is_some_and(|owed| owed.end.is_none());
        if is_open && matches!(end, CallEnd::Delivered | CallEnd::Gone) {
            self.delivered(msg, end, now, actions);
            actions.extend(self.outstanding.calls_with(msg).map(RouterAction::Ended));
            let instructions = self.policy.ended(now, msg);
            self.carry_out(instructions, now, actions);
        }
    }
}
