//! Assembles a call: its messages, its time-out, and its weight in the window and under the slow-start guard.

use super::message::{Attempt, CallInFlight, CallNumber, Execution};
use super::state::Dispatcher;
use super::time::NEVER;
use crate::actions::DispatchAction;
use crate::ids::{EndpointId, Micros, MsgId};
use crate::settings::{Effect, MAX_CALL_BYTES};

/// Weight that each further message adds to a call under the slow-start guard.
const EXTRA_MESSAGE_WEIGHT: f64 = 0.25;
/// Factor by which the time-out of a message that is not idempotent is longer, since a time-out ends such a message.
pub const NON_IDEMPOTENT_TIMEOUT_FACTOR: f64 = 2.0;

/// A call that is being assembled.
#[derive(Clone, Copy)]
struct NewCall {
    number: CallNumber,
    endpoint: EndpointId,
    /// Whether the call uses a connection that was idle.
    reused_connection: bool,
}

impl Dispatcher {
    /// Makes a call with this message and as many other waiting messages as one call may carry.
    pub(super) fn send(&mut self, id: MsgId, endpoint: EndpointId) {
        let now = self.now;
        let jitter = self.jitter();
        let number = self.next_call;
        self.next_call += 1;
        let receiver = self.endpoints.get_mut(&endpoint).expect("the endpoint was chosen from the table");
        let route = receiver.route;
        receiver.idle_since.retain(|since| since + self.settings.keepalive > now);
        let reused_connection = receiver.idle_since.pop().is_some();
        receiver.calls += 1;
        receiver.tie_break = (jitter - 1.0).abs();
        self.calls_in_flight.insert(number, CallInFlight::default());
        let call = NewCall { number, endpoint, reused_connection };
        self.add_to_call(id, call);
        let gap = self.call_gap(route);
        let size = self.fill_call(id, call);
        self.count_call(route, number, self.messages[&id].stream, gap, size);
    }

    /// Adds further messages to the call of `id`, within the limits on messages and bytes. Returns its number of
    /// messages.
    fn fill_call(&mut self, id: MsgId, call: NewCall) -> u32 {
        let route = self.endpoints[&call.endpoint].route;
        let max_size = self.batch_limit(route);
        let first = &self.messages[&id];
        let is_sent_alone = first.stream
            || self.routes[route].in_outage
            || first.deadline < self.now + self.routes[route].call_timeout(self.min_timeout);
        let mut size = 1;
        let mut bytes = first.size;
        while size < max_size && !is_sent_alone {
            // The caller, `dispatch`, records when the destination may send again.
            let mut ignored_wake_at = NEVER;
            let next = self.best_message(route, Some(call.endpoint), &mut ignored_wake_at);
            let Some(next) = next.filter(|next| bytes + self.messages[&next.message].size <= MAX_CALL_BYTES)
            else {
                break;
            };
            bytes += self.messages[&next.message].size;
            self.add_to_call(next.message, call);
            size += 1;
        }
        size
    }

    /// Counts a call of `size` messages against its route's window and under the slow-start guard.
    ///
    /// DEPARTURE: a call counts as one against the window and occupies one slot, however many messages it carries.
    /// Under the guard, each further message adds [`EXTRA_MESSAGE_WEIGHT`] to its weight.
    fn count_call(&mut self, index: usize, call: CallNumber, stream: bool, gap: Micros, size: u32) {
        let now = self.now;
        let route = &mut self.routes[index];
        if stream {
            route.open_streams += 1;
        } else {
            route.in_flight.push_back((call, now));
        }
        route.paced_at = route.paced_at.max(now) + gap;
        route.last_sent = now;
        let weight = 1 + (f64::from(size) * EXTRA_MESSAGE_WEIGHT) as usize;
        route.recent_sends.extend(std::iter::repeat_n(now, weight));
        while route.recent_sends.front().is_some_and(|sent| sent + self.settings.overload_span < now) {
            route.recent_sends.pop_front();
        }
        route.window_limited |= route.in_flight.len() >= (route.window as usize).max(1);
        route.trial_call = route.in_outage.then_some(call);
    }

    /// Starts an attempt of a message as part of a call.
    fn add_to_call(&mut self, id: MsgId, call: NewCall) {
        self.dequeue(id);
        let receiver = &self.endpoints[&call.endpoint];
        let (zone, route) = (receiver.zone, receiver.route);
        let timeout = self.attempt_timeout(id, route);
        let send_before = self.send_before(&self.messages[&id]);
        let in_flight = self.calls_in_flight.get_mut(&call.number).expect("the caller has added the call");
        let joins_previous = !in_flight.pending.is_empty();
        in_flight.pending.push(id);
        let message = self.messages.get_mut(&id).expect("the message was chosen from the waiting ones");
        message.attempts.push(Attempt {
            endpoint: call.endpoint,
            zone,
            route,
            call: call.number,
            sent: self.now,
            execution: Execution::InFlight,
            reused_connection: call.reused_connection,
            cancelled: false,
            streams_body: message.stream,
            latency_from: self.now,
        });
        self.message_expiries.set(id, self.expiry(&self.messages[&id], 0));
        let endpoint = call.endpoint;
        self.actions.push(DispatchAction::Send { msg: id, endpoint, timeout, send_before, joins_previous });
    }

    /// Time-out of the next attempt of a message, microseconds: not beyond its deadline, and at least one.
    fn attempt_timeout(&self, id: MsgId, route: usize) -> Micros {
        let message = &self.messages[&id];
        let call_timeout = self.routes[route].call_timeout(self.min_timeout);
        let timeout = match self.settings.classes[message.class].effect {
            Effect::NonIdempotent if self.settings.cancel => message.deadline,
            Effect::NonIdempotent => (call_timeout as f64 * NON_IDEMPOTENT_TIMEOUT_FACTOR) as Micros,
            _ => call_timeout,
        };
        timeout.min(message.deadline.saturating_sub(self.now)).max(1)
    }
}
