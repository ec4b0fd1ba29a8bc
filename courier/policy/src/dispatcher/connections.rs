//! What the end of a call says about an endpoint's connections: which idle ones to close, and where connections are scarce.

use super::state::{ConnectRefusal, Dispatcher};
use super::time::SECOND;
use crate::actions::DispatchAction;
use crate::events::{Completion, Outcome};
use crate::ids::{EndpointId, Micros};
use std::ops::RangeInclusive;

/// A connect that fails within this was refused by a full table rather than by an endpoint that is down, microseconds.
const QUICK_CONNECT_FAILURE: Micros = SECOND / 2;
/// Two such failures within this, at two destinations or with an answer between, mean full tables, microseconds.
const CONNECT_REFUSAL_SPAN: Micros = 10 * SECOND;
/// How long after that connections are considered scarce there, microseconds.
const CONNECTIONS_SCARCE_SPAN: Micros = 10 * SECOND;

impl Dispatcher {
    /// Closes idle connections where a connect failed quickly or an idle connection was reset: an endpoint that went down
    /// has lost all of them. An endpoint that refuses connections, yet answers on those it has, has a full table: for a
    /// while each connection there is closed after its call. Takes the rate from the answer's load report.
    pub(super) fn update_connections(
        &mut self,
        id: EndpointId,
        completion: &Completion,
        reused_connection: bool,
    ) {
        // Judged by the rate that was known before this answer.
        let sparsely_served = self.is_sparsely_served(self.endpoints[&id].route);
        self.update_reported_rate(id, completion);
        match completion.outcome {
            Outcome::Ok | Outcome::Error | Outcome::Full => self.note_answer(id),
            Outcome::ConnectFailed if completion.elapsed < QUICK_CONNECT_FAILURE => {
                self.note_connect_refusal(id, sparsely_served);
            }
            Outcome::Reset if reused_connection => self.close_idle(id..=id, 0),
            _ => {}
        }
    }

    fn update_reported_rate(&mut self, id: EndpointId, completion: &Completion) {
        if self.settings.weight_is_rate {
            return;
        }
        let reported = self.settings.limit_report.and_then(|fields| completion.load_report.get(fields.rate));
        if let Some(rate) = reported.filter(|rate| **rate > 0.0) {
            self.endpoints.get_mut(&id).expect("the caller knows the endpoint").rate = *rate;
        }
    }

    /// The call's connection is idle now. It is closed where connections are scarce and no message waits for it.
    fn note_answer(&mut self, id: EndpointId) {
        let endpoint = self.endpoints.get_mut(&id).expect("the caller knows the endpoint");
        endpoint.idle_since.push(self.now);
        endpoint.last_answer = self.now;
        let destination = self.destinations.get(&endpoint.dest);
        let is_wanted = destination.is_some_and(|destination| !destination.waiting.is_empty());
        if !is_wanted && self.now < endpoint.full_until {
            self.close_idle(id..=id, 0);
        }
    }

    /// A connect failed quickly. After such a failure at another destination the sender's own table is considered full (where
    /// routes are sparsely served); after one at this endpoint, with an answer in between, the endpoint's table is.
    fn note_connect_refusal(&mut self, id: EndpointId, sparsely_served: bool) {
        let now = self.now;
        let previous = self.last_connect_refusal;
        let endpoint = self.endpoints.get_mut(&id).expect("the caller knows the endpoint");
        let at_two_destinations =
            sparsely_served && endpoint.dest != previous.dest && now < previous.at + CONNECT_REFUSAL_SPAN;
        let is_full = at_two_destinations
            || endpoint.last_answer > endpoint.last_refusal
                && now < endpoint.last_refusal + CONNECT_REFUSAL_SPAN;
        endpoint.last_refusal = now;
        self.last_connect_refusal = ConnectRefusal { dest: endpoint.dest, at: now };
        let endpoints = if at_two_destinations { 0..=EndpointId::MAX } else { id..=id };
        self.close_idle(endpoints, if is_full { now + CONNECTIONS_SCARCE_SPAN } else { 0 });
    }

    /// Closes the idle connections to these endpoints, where connections are scarce up to `full_until` at least.
    fn close_idle(&mut self, endpoints: RangeInclusive<EndpointId>, full_until: Micros) {
        for (id, endpoint) in self.endpoints.range_mut(endpoints) {
            endpoint.full_until = endpoint.full_until.max(full_until);
            if !std::mem::take(&mut endpoint.idle_since).is_empty() {
                self.actions.push(DispatchAction::CloseIdle { endpoint: *id });
            }
        }
    }
}
