//! The watch (long poll) on discovery at one address: when the endpoint list is requested, and when a watch counts as
//! broken.
//!
//! The driver sends the requests, reads the answers and reports events. The module `timing` defines the time within which
//! a change must be received despite failures, and explains why the requests of a fleet are spread over time.

mod table;
mod timing;

pub use timing::{
    ANSWER_TIME_MAX, DRAIN_GRACE_MAX, HEARTBEAT, HEARTBEAT_SLACK, NOTIFICATION_DEADLINE,
    REQUEST_INTERVAL_MAX, SILENCE_TIMEOUT,
};

use quillmount_containers::random_unit;
use quillmount_policy::Micros;
use timing::{
    BACKOFF_PER_COURIER, DRAIN_GRACE_MIN, HEDGE_DELAY_MAX, HEDGE_JITTER, HEDGE_PER_COURIER,
    RENEWAL_SPREAD_MAX, RETRY_FIRST, RETRY_MAX, SMALL_FLEET, SPREAD_PER_COURIER,
};

/// The state of a [`Watch`]. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WatchState {
    /// Requests are in flight, and none of them is answered.
    Requesting {
        /// The time at which a hedged or a new request is sent.
        until: Micros,
        /// The time at which the oldest request in flight was sent.
        first_sent: Micros,
        /// The time at which the second request in flight was sent, if there is one.
        second_sent: Option<Micros>,
        /// The time at which the latest request was sent.
        last_sent: Micros,
    },
    /// The answer to a request has begun, and changes are received as discovery sends them.
    Following {
        /// The time at which the watch counts as broken if no data is received until then.
        until: Micros,
        /// The time at which the head of the answer was received.
        since: Micros,
        /// Data was received at least half a heartbeat interval after the head of the answer.
        is_stable: bool,
    },
    /// The watch is broken, and the next request is delayed.
    BackingOff {
        /// The time at which the next request is sent.
        until: Micros,
    },
    /// Discovery has moved to another address, and the watch at this one has ended.
    Stopped,
}

/// An input of a [`Watch`]: a result of a request, data on an answer, or the timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchInput {
    /// The head of an answer was received, with status 200.
    Answered,
    /// A list or a heartbeat (an empty line) was received.
    Received {
        /// Discovery has moved to another address.
        moved: bool,
    },
    /// A request has failed while others are in flight.
    Lost,
    /// The last request in flight has failed, or the answer ended or can't be parsed.
    Broken {
        /// Discovery has moved to another address.
        moved: bool,
    },
    /// The time returned by [`Watch::wake_at`] is reached.
    Tick {
        /// Discovery has moved to another address.
        moved: bool,
    },
}

/// What the driver of a [`Watch`] must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchOutput {
    /// No action.
    Nothing,
    /// Cancel the requests in flight, and request the changes after the current version.
    Request,
    /// Send a hedged request, for the changes after the current version.
    Hedge {
        /// The number of requests in flight that are kept, the oldest first. The others are cancelled.
        keep: usize,
    },
    /// Discovery at this address sends data: end the watches at older addresses.
    EndOlderWatches,
    /// Cancel all requests, and send none for this time, in microseconds.
    BackOff(Micros),
    /// End the watch permanently.
    Stop,
}

/// The state machine of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Watch {
    state: WatchState,
    /// The number of failures since a watch was last stable.
    failures: u32,
    /// The number of couriers in the fleet.
    couriers: u32,
    /// The time within which sending to a draining endpoint must stop, in microseconds (`stop_sending_within_ms`).
    drain_grace: Micros,
    /// The state of the random number generator; 0 disables jitter.
    seed: u64,
    /// Lists are pushed to an agent on the courier's own machine, which answers the requests. After an outage of the agent,
    /// its list counts as received from the time at which the agent is available again, and it answers the requests that
    /// are in flight at that time. Therefore a request is always kept in flight.
    pushed: bool,
    /// With pushed lists, the time since which requests have been in flight without an answer.
    unanswered_since: Option<Micros>,
    /// With pushed lists, the time of the last request failure that was counted.
    last_failure_at: Micros,
}

impl Watch {
    /// Creates the watch of a single courier, which sends the first request at once and uses no jitter.
    pub fn new(now: Micros) -> Self {
        let mut watch = Watch {
            state: WatchState::Stopped,
            failures: 0,
            couriers: 1,
            drain_grace: DRAIN_GRACE_MAX,
            seed: 0,
            pushed: false,
            unanswered_since: None,
            last_failure_at: 0,
        };
        watch.request(now, None, now);
        watch
    }

    /// Creates the watch of one of several couriers, with jitter that is derived from `seed`.
    ///
    /// `drain_grace` is the time within which sending to a draining endpoint must stop, in microseconds. Requests are frequent
    /// enough for that even if one of them fails or is lost. `delay_first` is set if other couriers may start at the same
    /// time: the first request is then sent at a [`WatchInput::Tick`] after a random delay of at most a quarter of
    /// `drain_grace`.
    pub fn of_fleet(now: Micros, couriers: u32, seed: u64, delay_first: bool, drain_grace: Micros) -> Self {
        let drain_grace = drain_grace.clamp(DRAIN_GRACE_MIN, DRAIN_GRACE_MAX);
        let mut watch = Watch { couriers, drain_grace, seed: seed | 1, ..Watch::new(now) };
        if delay_first {
            watch.state = WatchState::BackingOff { until: now.saturating_add(watch.start_delay()) };
        } else {
            watch.request(now, None, now);
        }
        watch
    }

    /// Sets whether lists are pushed to an agent on the courier's own machine. Otherwise all couriers of the fleet send their
    /// requests to the same discovery service.
    pub fn with_pushed_lists(self, pushed: bool) -> Self {
        let mut watch = Watch { pushed, unanswered_since: None, ..self };
        if let WatchState::Requesting { first_sent, second_sent, last_sent, .. } = watch.state
            && pushed
        {
            watch.request(first_sent, second_sent, last_sent);
        }
        watch
    }

    /// The current state; [`WatchState::Stopped`] is final.
    pub fn state(&self) -> WatchState {
        self.state
    }

    /// The time at which a [`WatchInput::Tick`] is due; `None` if the watch is stopped.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            WatchState::Requesting { until, .. }
            | WatchState::Following { until, .. }
            | WatchState::BackingOff { until } => Some(until),
            WatchState::Stopped => None,
        }
    }

    /// Applies an input at the time `now`, in microseconds.
    pub fn step(&mut self, input: WatchInput, now: Micros) -> WatchOutput {
        match (self.state, input) {
            (WatchState::Stopped, _) => WatchOutput::Nothing,
            (WatchState::Requesting { .. }, WatchInput::Answered) => self.answered(now),
            (WatchState::Requesting { .. }, WatchInput::Lost) => {
                self.request_failed(now);
                self.unanswered_since = self.pushed.then_some(now);
                WatchOutput::Nothing
            }
            (WatchState::Following { since, .. }, WatchInput::Received { moved }) => {
                self.received(since, moved, now)
            }
            (_, WatchInput::Tick { .. }) if self.wake_at().is_some_and(|until| now < until) => {
                WatchOutput::Nothing
            }
            (_, WatchInput::Tick { moved: true })
            | (
                WatchState::Requesting { .. } | WatchState::Following { .. },
                WatchInput::Broken { moved: true },
            ) => {
                self.state = WatchState::Stopped;
                WatchOutput::Stop
            }
            (WatchState::Requesting { first_sent, second_sent, .. }, WatchInput::Tick { .. })
                if now < first_sent.saturating_add(NOTIFICATION_DEADLINE) =>
            {
                self.hedge(first_sent, second_sent, now)
            }
            (WatchState::Requesting { .. } | WatchState::BackingOff { .. }, WatchInput::Tick { .. }) => {
                self.request(now, None, now);
                WatchOutput::Request
            }
            (WatchState::Following { is_stable, .. }, WatchInput::Tick { .. }) => {
                self.timed_out(is_stable, now)
            }
            (WatchState::Following { until, is_stable, .. }, WatchInput::Broken { .. }) => {
                self.follow_broken(until, is_stable, now)
            }
            (WatchState::Requesting { last_sent, .. }, WatchInput::Broken { .. }) => {
                self.request_broken(last_sent, now)
            }
            _ => WatchOutput::Nothing,
        }
    }

    fn answered(&mut self, now: Micros) -> WatchOutput {
        self.unanswered_since = None;
        self.state = WatchState::Following {
            until: now.saturating_add(SILENCE_TIMEOUT),
            since: now,
            is_stable: false,
        };
        WatchOutput::Nothing
    }

    fn received(&mut self, since: Micros, moved: bool, now: Micros) -> WatchOutput {
        let is_stable = now >= since.saturating_add(HEARTBEAT / 2);
        self.state = WatchState::Following { until: now.saturating_add(SILENCE_TIMEOUT), since, is_stable };
        // Data from an old address must not end the watch at the current one.
        if moved { WatchOutput::Nothing } else { WatchOutput::EndOlderWatches }
    }

    fn timed_out(&mut self, was_stable: bool, now: Micros) -> WatchOutput {
        // If the watch was stable, its timeout does not count as a failure, and it is renewed without backoff.
        if was_stable {
            self.failures = 0;
        }
        // An agent may become available at any time, and a request must be in flight then.
        let spread = if self.pushed { 0 } else { self.spread(RENEWAL_SPREAD_MAX) };
        let wait = (self.random_fraction(1.0) * spread as f64) as Micros;
        self.back_off(wait, now)
    }

    fn follow_broken(&mut self, until: Micros, was_stable: bool, now: Micros) -> WatchOutput {
        self.count_failure(was_stable);
        let last_received_at = until.saturating_sub(SILENCE_TIMEOUT);
        let wait = if was_stable { self.start_delay() } else { self.backoff_after(last_received_at, now) };
        self.back_off(wait, now)
    }

    fn request_broken(&mut self, last_sent: Micros, now: Micros) -> WatchOutput {
        self.request_failed(now);
        let is_agent_back = self.pushed && self.failures == 1;
        let wait = if is_agent_back {
            self.start_delay().max(RETRY_FIRST / 2)
        } else {
            self.backoff_after(last_sent, now)
        };
        self.back_off(wait, now)
    }

    /// The time over which the requests of the fleet are spread, at most `max_spread`.
    fn spread(&self, max_spread: Micros) -> Micros {
        (Micros::from(self.couriers) * SPREAD_PER_COURIER).min(max_spread)
    }

    /// A random number from 0 to 1, or `default` if jitter is disabled.
    fn random_fraction(&mut self, default: f64) -> f64 {
        if self.seed == 0 { default } else { random_unit(&mut self.seed) }
    }

    /// The delay of the first request after a start, or after a stable watch ended: at most a quarter of the drain grace
    /// period.
    fn start_delay(&mut self) -> Micros {
        let spread = self.spread(self.drain_grace / 4);
        (self.random_fraction(1.0) * spread as f64) as Micros
    }

    /// The exponential backoff after a failed request. At least half of it is always waited, because a server that rejects
    /// requests is overloaded.
    fn backoff(&mut self) -> Micros {
        let first = self.spread(NOTIFICATION_DEADLINE / 3).max(RETRY_FIRST);
        let max_backoff =
            (Micros::from(self.couriers) * BACKOFF_PER_COURIER).clamp(RETRY_MAX, REQUEST_INTERVAL_MAX);
        let backoff = (first << (self.failures.clamp(1, 16) - 1)).min(max_backoff);
        ((0.5 + 0.5 * self.random_fraction(1.0)) * backoff as f64) as Micros
    }

    /// The backoff, shortened to end no later than [`REQUEST_INTERVAL_MAX`] after the last request or heartbeat. The time
    /// until a request failed counts as a part of its backoff.
    fn backoff_after(&mut self, last_contact: Micros, now: Micros) -> Micros {
        self.backoff().min(last_contact.saturating_add(REQUEST_INTERVAL_MAX).saturating_sub(now))
    }

    /// Records that a request is sent, and schedules the hedged one.
    ///
    /// An agent does not answer while discovery is unavailable. It may get a list at any time after that, and a drain in the
    /// list takes effect from then on. Until the agent answers, requests are frequent enough to stop sending in time, and
    /// less frequent if it has rejected one.
    fn request(&mut self, first_sent: Micros, second_sent: Option<Micros>, now: Micros) {
        let mut interval = ((0.375 + 0.25 * self.random_fraction(0.5)) * self.drain_grace as f64) as Micros;
        if self.failures > 0 {
            interval = self.backoff().max(interval);
        }
        // A discovery service with many clients may be slow because of their requests. The whole fleet sends at most one
        // hedged request in each `HEDGE_PER_COURIER`, or one from each courier in `REQUEST_INTERVAL_MAX`.
        let fleet_interval = (Micros::from(self.couriers) * HEDGE_PER_COURIER).min(HEDGE_DELAY_MAX);
        let fleet_interval = ((1.0 - HEDGE_JITTER + 2.0 * HEDGE_JITTER * self.random_fraction(0.5))
            * fleet_interval as f64) as Micros;
        // An agent serves a single courier, so that frequent requests cost little, as in a small fleet. A quarter of
        // `drain_grace` remains for the answer.
        let is_low_load = self.pushed || self.couriers <= SMALL_FLEET;
        interval = interval.max(if is_low_load {
            fleet_interval.min(self.drain_grace / 4 * 3)
        } else {
            fleet_interval
        });
        self.unanswered_since = self.unanswered_since.or(self.pushed.then_some(now));
        self.state = WatchState::Requesting {
            until: now.saturating_add(interval),
            first_sent,
            second_sent,
            last_sent: now,
        };
    }

    /// Sends a hedged request.
    ///
    /// If each new request cancelled the previous one, none would be answered where an answer takes longer than the interval
    /// between requests. Therefore the first request stays in flight, and the second one for [`ANSWER_TIME_MAX`].
    fn hedge(&mut self, first_sent: Micros, second_sent: Option<Micros>, now: Micros) -> WatchOutput {
        let second = second_sent.filter(|sent| now < sent.saturating_add(ANSWER_TIME_MAX));
        self.request(first_sent, second.or(Some(now)), now);
        WatchOutput::Hedge { keep: 1 + usize::from(second.is_some()) }
    }

    fn back_off(&mut self, wait: Micros, now: Micros) -> WatchOutput {
        self.state = WatchState::BackingOff { until: now.saturating_add(wait) };
        WatchOutput::BackOff(wait)
    }

    /// Counts a failure. A watch that ended before it was stable is one: if it were renewed without backoff, it might end
    /// immediately again and again.
    fn count_failure(&mut self, was_stable: bool) {
        self.failures = if was_stable { 0 } else { self.failures.saturating_add(1) };
    }

    /// Counts a failed request. With pushed lists, an agent that is available again after an outage may reset all requests of
    /// the time before at once: they count as a single first failure.
    fn request_failed(&mut self, now: Micros) {
        if !self.pushed {
            return self.count_failure(false);
        }
        let was_silent =
            self.unanswered_since.take().is_some_and(|since| now >= since.saturating_add(ANSWER_TIME_MAX));
        if was_silent {
            self.failures = 1;
        } else if self.failures == 0 || now >= self.last_failure_at.saturating_add(RETRY_FIRST) {
            self.count_failure(false);
        } else {
            return;
        }
        self.last_failure_at = now;
    }
}
