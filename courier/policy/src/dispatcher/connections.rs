//! Updates the state of an endpoint's connections at the end of a call: which idle ones to close, and which endpoints
//! have a full connection table.

use super::state::{ConnectRefusal, Dispatcher};
use super::time::SECOND;
use crate::actions::DispatchAction;
use crate::events::{Completion, Outcome};
use crate::ids::{EndpointId, Micros};
use std::ops::RangeInclusive;

/// A connect that fails within this time was refused because of a full connection table rather than by an endpoint
/// that is down, microseconds.
const QUICK_CONNECT_FAILURE: Micros = SECOND / 2;
/// Two such failures within this time, at two destinations or with an answer in between, indicate full connection
/// tables, microseconds.
const CONNECT_REFUSAL_SPAN: Micros = 10 * SECOND;
/// How long a connection table is considered full after that, microseconds.
const CONNECTIONS_SCARCE_SPAN: Micros = 10 * SECOND;

impl Dispatcher {
    /// Closes the idle connections to an endpoint after a quick connect failure or the reset of an idle connection,
    /// since an endpoint that went down has lost all of them. An endpoint that refuses new connections but answers on
    /// existing ones has a full connection table: for [`CONNECTIONS_SCARCE_SPAN`] each connection to it is closed
    /// after its call. Also takes the rate limit from the answer's load report.
    pub(super) fn update_connections(
        &mut self,
        id: EndpointId,
        completion: &Completion,
        reused_connection: bool,
    ) {
        // Evaluated with the rate that was known before this answer.
        let sparsely_served = self.is_sparsely_served(self.endpoints[&id].route);
        self.update_reported_rate(id, completion);
        match completion.outcome {
            Outcome::Ok | Outcome::Error | Outcome::Full => self.record_answer(id),
            Outcome::ConnectFailed if completion.elapsed < QUICK_CONNECT_FAILURE => {
                self.record_connect_refusal(id, sparsely_served);
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
            self.endpoints.get_mut(&id).expect("the caller has looked up the endpoint").rate = *rate;
        }
    }

    /// Records that the call's connection is idle now. Closes it if the endpoint's connection table is considered
    /// full and no message waits for the destination.
    fn record_answer(&mut self, id: EndpointId) {
        let endpoint = self.endpoints.get_mut(&id).expect("the caller has looked up the endpoint");
        endpoint.idle_since.push(self.now);
        endpoint.last_answer = self.now;
        let destination = self.destinations.get(&endpoint.dest);
        let is_needed = destination.is_some_and(|destination| !destination.waiting.is_empty());
        if !is_needed && self.now < endpoint.full_until {
            self.close_idle(id..=id, 0);
        }
    }

    /// Records a quick connect failure. After a recent one at another destination, the sender's own connection table
    /// is considered full (only if the route is sparsely served). After a recent one at the same endpoint, with an
    /// answer in between, the endpoint's table is considered full.
    fn record_connect_refusal(&mut self, id: EndpointId, sparsely_served: bool) {
        let now = self.now;
        let previous = self.last_connect_refusal;
        let endpoint = self.endpoints.get_mut(&id).expect("the caller has looked up the endpoint");
        let at_two_destinations = sparsely_served
            && endpoint.dest != previous.dest
            && now < previous.refused_at + CONNECT_REFUSAL_SPAN;
        let is_full = at_two_destinations
            || endpoint.last_answer > endpoint.last_refusal
                && now < endpoint.last_refusal + CONNECT_REFUSAL_SPAN;
        endpoint.last_refusal = now;
        self.last_connect_refusal = ConnectRefusal { dest: endpoint.dest, refused_at: now };
        let endpoints = if at_two_destinations { 0..=EndpointId::MAX } else { id..=id };
        self.close_idle(endpoints, if is_full { now + CONNECTIONS_SCARCE_SPAN } else { 0 });
    }

    /// Closes the idle connections to these endpoints, whose connection tables are considered full until `full_until`
    /// at least.
    fn close_idle(&mut self, endpoints: RangeInclusive<EndpointId>, full_until: Micros) {
        for (id, endpoint) in self.endpoints.range_mut(endpoints) {
            endpoint.full_until = endpoint.full_until.max(full_until);
            if !std::mem::take(&mut endpoint.idle_since).is_empty() {
                self.actions.push(DispatchAction::CloseIdle { endpoint: *id });
            }
        }
    }
}
