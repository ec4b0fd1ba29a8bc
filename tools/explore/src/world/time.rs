//! The clock: it goes on to the next moment at which something may turn out another way, never beyond.

use crate::case::NOTICE;
use crate::monitor::{Acceptance, DRAIN_GRACE};
use crate::world::state::{ProcessState, START, World};
use quillmount_core::machine::attempt::AttemptState;
use quillmount_core::machine::watch::WatchState;
use quillmount_policy::Micros;

/// Moments later than this after the beginning stand for "never"; in microseconds.
const TIME_SPAN: Micros = 1 << 40;

impl World {
    /// The next moment at which an action may turn out another way.
    pub(super) fn next_time_point(&self) -> Option<Micros> {
        let mut points = Vec::new();
        self.courier_time_points(&mut points);
        self.monitor_time_points(&mut points);
        let edges = |at: Micros| [at - 1, at, at + 1];
        let stops = points.into_iter().filter(|at| (START..START + TIME_SPAN).contains(at));
        let stops = stops.flat_map(|at| if self.case.edges { edges(at) } else { [at; 3] });
        stops.filter(|at| *at > self.now).min()
    }

    /// Moments that the courier's own timers wait for.
    fn courier_time_points(&self, points: &mut Vec<Micros>) {
        points.extend(self.hub.router.wake_at());
        points.extend(self.notices.wake_at());
        if let WatchState::BackingOff { until } = self.watch.state() {
            points.push(until);
        }
        if let ProcessState::Stopping { end } = self.process {
            points.push(end);
        }
        for outstanding in self.calls.values() {
            points.extend(outstanding.call.attempt().wake_at());
            if !matches!(outstanding.call.state(), AttemptState::Closing { .. }) {
                points.push(outstanding.deadline);
            }
            if outstanding.call.state() == AttemptState::Connecting {
                points.push(outstanding.dial_deadline);
                points.extend(
                    self.monitor
                        .drains
                        .get(&outstanding.endpoint)
                        .map(|announced_at| announced_at + DRAIN_GRACE),
                );
            }
        }
    }

    /// Moments at which a property or the choice of an endpoint changes.
    fn monitor_time_points(&self, points: &mut Vec<Micros>) {
        for message in &self.monitor.messages {
            if message.acceptance == Acceptance::Rejected || message.is_final() {
                continue;
            }
            points.extend([message.deadline, self.monitor.overdue_at(message) + 1]);
            if message.class == NOTICE {
                points.extend(message.first_possible_run().map(|call| call.first + self.case.span()));
            }
        }
        let owed = self.hub.router.load().owed > 0;
        if owed || self.monitor.messages.len() < self.case.messages as usize {
            points.extend(self.hub.pool.gates().into_iter().map(|gate| gate.backoff_until));
            points.extend(self.monitor.drains.values().map(|announced_at| announced_at + DRAIN_GRACE));
        }
    }
}
