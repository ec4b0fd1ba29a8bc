//! The watch on discovery at one address: when to request the endpoint list, and when a watch counts as broken.
//!
//! The driver sends the requests, reads the answers and reports what happens. `timing` has the bound within which a change
//! must arrive whatever fails, and the reasons for spreading the requests of a fleet.

mod table;
mod timing;

pub use timing::{
    ANSWER_WITHIN, HEARTBEAT, HEARTBEAT_SLACK, HEED_MAX, NOTIFIED_WITHIN, REQUEST_INTERVAL_MAX, SILENCE,
};

use quillmount_containers::random_unit;
use quillmount_policy::Micros;
use timing::{
    BACKOFF_PER_COURIER, HEDGE_DELAY_MAX, HEDGE_JITTER, HEDGE_PER_COURIER, HEED_MIN, RENEWAL_SPREAD_MAX,
    RETRY_FIRST, RETRY_MAX, SMALL_FLEET, SPREAD_PER_COURIER,
};

/// The state of a [`Watch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WatchState {
    /// Requests are in flight, and none is answered.
    Requesting {
        /// When the next request is sent.
        until: Micros,
        /// When the first of the requests in flight was sent.
        since: Micros,
        /// When the second one was sent, if there is one.
        second: Option<Micros>,
        /// When the last one was sent.
        last: Micros,
    },
    /// A request is answered, and changes are received as they come.
    Following {
        /// When the watch counts as broken if nothing is received.
        until: Micros,
        /// When the answer began.
        since: Micros,
        /// Something was received a while after the answer began.
        lasts: bool,
    },
    /// Broken; the next request waits.
    BackingOff {
        /// When the next request is sent.
        until: Micros,
    },
    /// Discovery has moved from this address, and the watch here has ended.
    Stopped,
}

/// What happens to a [`Watch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchInput {
    /// The head of an answer was received, with status 200.
    Answered,
    /// A list was received, or an empty line between two lists.
    Heard {
        /// Discovery is at another address by now.
        moved: bool,
    },
    /// A request has failed, and others are in flight.
    Lost,
    /// All requests in flight have failed, or the answer ended or can't be read.
    Broken {
        /// Discovery is at another address by now.
        moved: bool,
    },
    /// The time of [`Watch::wake_at`] is reached.
    Tick {
        /// Discovery is at another address by now.
        moved: bool,
    },
}

/// What the driver of a [`Watch`] is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchOutput {
    /// Nothing.
    Nothing,
    /// Request the changes after the current version, and cancel the requests in flight.
    Request,
    /// Send a hedged request.
    Hedge {
        /// How many of the requests in flight go on, the oldest first; the others are cancelled.
        keep: usize,
    },
    /// This address sends the list: end the watches at older addresses.
    EndOlderWatches,
    /// Send no request for this long, in microseconds.
    BackOff(Micros),
    /// End the watch for good.
    Stop,
}

/// The machine of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Watch {
    state: WatchState,
    /// Failed requests since a watch lasted.
    failed: u32,
    /// The couriers of the fleet.
    couriers: u32,
    /// The time within which a drain must be heeded.
    heed: Micros,
    /// The seed of the random draws; 0: there is no jitter.
    seed: u64,
    /// Lists are pushed: requests go to an agent on the courier's own machine, which answers at no cost. The agent's list
    /// counts as received from the time at which it is back after an outage, and it answers the requests that are in flight
    /// then: so one always is.
    pushed: bool,
    /// With pushed lists: the time since which requests have been in flight without any answer.
    unanswered_since: Option<Micros>,
    /// With pushed lists: when the last counted failure of a request was.
    failed_at: Micros,
}

impl Watch {
    /// The watch of a single courier, which sends a request at once and uses no jitter.
    pub fn new(now: Micros) -> Self {
        let mut watch = Watch {
            state: WatchState::Stopped,
            failed: 0,
            couriers: 1,
            heed: HEED_MAX,
            seed: 0,
            pushed: false,
            unanswered_since: None,
            failed_at: 0,
        };
        watch.request(now, None, now);
        watch
    }

    /// The watch of one of several couriers, whose backoffs are spread by draws from `seed`.
    ///
    /// `heed` is the time within which a drain must be heeded: requests come often enough for that even if one fails or is
    /// lost. With `starts`, when other couriers may start at the same time, the first request waits for a quarter of it at
    /// most, and a [`WatchInput::Tick`] is due first.
    pub fn of_fleet(now: Micros, couriers: u32, seed: u64, starts: bool, heed: Micros) -> Self {
        let heed = heed.clamp(HEED_MIN, HEED_MAX);
        let mut watch = Watch { couriers, heed, seed: seed | 1, ..Watch::new(now) };
        if starts {
            watch.state = WatchState::BackingOff { until: now.saturating_add(watch.start_delay()) };
        } else {
            watch.request(now, None, now);
        }
        watch
    }

    /// Sets whether lists are pushed by an agent; otherwise each request is answered by the discovery of the whole fleet.
    pub fn where_pushed(self, pushed: bool) -> Self {
        let mut watch = Watch { pushed, unanswered_since: None, ..self };
        if let WatchState::Requesting { since, second, last, .. } = watch.state
            && pushed
        {
            watch.request(since, second, last);
        }
        watch
    }

    /// The current state.
    pub fn state(&self) -> WatchState {
        self.state
    }

    /// When a [`WatchInput::Tick`] is due.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            WatchState::Requesting { until, .. }
            | WatchState::Following { until, .. }
            | WatchState::BackingOff { until } => Some(until),
            WatchState::Stopped => None,
        }
    }

    /// Applies an input at the time `now`.
    pub fn step(&mut self, input: WatchInput, now: Micros) -> WatchOutput {
        match (self.state, input) {
            (WatchState::Stopped, _) => WatchOutput::Nothing,
            (WatchState::Requesting { .. }, WatchInput::Answered) => self.answered(now),
            (WatchState::Requesting { .. }, WatchInput::Lost) => {
                self.request_failed(now);
                self.unanswered_since = self.pushed.then_some(now);
                WatchOutput::Nothing
            }
            (WatchState::Following { since, .. }, WatchInput::Heard { moved }) => {
                self.heard(since, moved, now)
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
            (WatchState::Requesting { since, second, .. }, WatchInput::Tick { .. })
                if now < since.saturating_add(NOTIFIED_WITHIN) =>
            {
                self.hedge(since, second, now)
            }
            (WatchState::Requesting { .. } | WatchState::BackingOff { .. }, WatchInput::Tick { .. }) => {
                self.request(now, None, now);
                WatchOutput::Request
            }
            (WatchState::Following { lasts, .. }, WatchInput::Tick { .. }) => self.fell_silent(lasts, now),
            (WatchState::Following { until, lasts, .. }, WatchInput::Broken { .. }) => {
                self.follow_broken(until, lasts, now)
            }
            (WatchState::Requesting { last, .. }, WatchInput::Broken { .. }) => {
                self.request_broken(last, now)
            }
            _ => WatchOutput::Nothing,
        }
    }

    fn answered(&mut self, now: Micros) -> WatchOutput {
        self.unanswered_since = None;
        self.state = WatchState::Following { until: now.saturating_add(SILENCE), since: now, lasts: false };
        WatchOutput::Nothing
    }

    fn heard(&mut self, since: Micros, moved: bool, now: Micros) -> WatchOutput {
        let lasts = now >= since.saturating_add(HEARTBEAT / 2);
        self.state = WatchState::Following { until: now.saturating_add(SILENCE), since, lasts };
        // A watch at discovery's present address is not ended from an older address.
        if moved { WatchOutput::Nothing } else { WatchOutput::EndOlderWatches }
    }

    fn fell_silent(&mut self, lasted: bool, now: Micros) -> WatchOutput {
        // A time-out is no failure if the watch lasted: it is renewed at once.
        if lasted {
            self.failed = 0;
        }
        // An agent may be back at any time, and a request must be in flight then.
        let spread = if self.pushed { 0 } else { self.spread(RENEWAL_SPREAD_MAX) };
        let wait = (self.draw(1.0) * spread as f64) as Micros;
        self.back_off(wait, now)
    }

    fn follow_broken(&mut self, until: Micros, lasted: bool, now: Micros) -> WatchOutput {
        self.count_failure(lasted);
        let last_heard = until.saturating_sub(SILENCE);
        let wait = if lasted { self.start_delay() } else { self.backoff_after(last_heard, now) };
        self.back_off(wait, now)
    }

    fn request_broken(&mut self, last: Micros, now: Micros) -> WatchOutput {
        self.request_failed(now);
        let is_agent_back = self.pushed && self.failed == 1;
        let wait = if is_agent_back {
            self.start_delay().max(RETRY_FIRST / 2)
        } else {
            self.backoff_after(last, now)
        };
        self.back_off(wait, now)
    }

    /// The time over which the fleet's requests are spread, `most` at most.
    fn spread(&self, most: Micros) -> Micros {
        (Micros::from(self.couriers) * SPREAD_PER_COURIER).min(most)
    }

    /// A random number from 0 to 1; `fixed` where there is no jitter.
    fn draw(&mut self, fixed: f64) -> f64 {
        if self.seed == 0 { fixed } else { random_unit(&mut self.seed) }
    }

    /// The delay of a request that must be answered soon.
    fn start_delay(&mut self) -> Micros {
        let spread = self.spread(self.heed / 4);
        (self.draw(1.0) * spread as f64) as Micros
    }

    /// The delay of a request after one that failed: half of the backoff at least, since a server that rejects requests is
    /// overloaded.
    fn backoff(&mut self) -> Micros {
        let first = self.spread(NOTIFIED_WITHIN / 3).max(RETRY_FIRST);
        let most = (Micros::from(self.couriers) * BACKOFF_PER_COURIER).clamp(RETRY_MAX, REQUEST_INTERVAL_MAX);
        let backoff = (first << (self.failed.clamp(1, 16) - 1)).min(most);
        ((0.5 + 0.5 * self.draw(1.0)) * backoff as f64) as Micros
    }

    /// The same, but ending no later than [`REQUEST_INTERVAL_MAX`] after the last request or heartbeat: a late failure has
    /// used up a part of the backoff.
    fn backoff_after(&mut self, last: Micros, now: Micros) -> Micros {
        self.backoff().min(last.saturating_add(REQUEST_INTERVAL_MAX).saturating_sub(now))
    }

    /// Sends a request, and plans the hedged one.
    ///
    /// An agent does not answer while discovery is down, and may have a list at any time after that, which counts from then
    /// on: until it answers, it gets requests often enough to heed that list in time, fewer if it has rejected one.
    fn request(&mut self, since: Micros, second: Option<Micros>, now: Micros) {
        let mut interval = ((0.375 + 0.25 * self.draw(0.5)) * self.heed as f64) as Micros;
        if self.failed > 0 {
            interval = self.backoff().max(interval);
        }
        // A discovery with many clients may be slow to answer because of them: over the whole fleet it gets no more than one hedged
        // request in each `HEDGE_PER_COURIER`, or one from each courier in `REQUEST_INTERVAL_MAX`.
        let fleet = (Micros::from(self.couriers) * HEDGE_PER_COURIER).min(HEDGE_DELAY_MAX);
        let fleet = ((1.0 - HEDGE_JITTER + 2.0 * HEDGE_JITTER * self.draw(0.5)) * fleet as f64) as Micros;
        // An agent has one courier as its client, and requests to it cost little, as in a small fleet. A quarter of
        // `heed` is left for the answer.
        let is_small = self.pushed || self.couriers <= SMALL_FLEET;
        interval = interval.max(if is_small { fleet.min(self.heed / 4 * 3) } else { fleet });
        self.unanswered_since = self.unanswered_since.or(self.pushed.then_some(now));
        self.state = WatchState::Requesting { until: now.saturating_add(interval), since, second, last: now };
    }

    /// Sends a hedged request.
    ///
    /// A request that is cancelled for each new one would never be answered where answers take longer than the time between
    /// two requests: so the first one goes on, and the next one too, for as long as an answer may take.
    fn hedge(&mut self, since: Micros, second: Option<Micros>, now: Micros) -> WatchOutput {
        let second = second.filter(|sent| now < sent.saturating_add(ANSWER_WITHIN));
        self.request(since, second.or(Some(now)), now);
        WatchOutput::Hedge { keep: 1 + usize::from(second.is_some()) }
    }

    fn back_off(&mut self, wait: Micros, now: Micros) -> WatchOutput {
        self.state = WatchState::BackingOff { until: now.saturating_add(wait) };
        WatchOutput::BackOff(wait)
    }

    /// Counts a failure. A watch that did not last is one: renewed at once, it might end at once again and again.
    fn count_failure(&mut self, lasted: bool) {
        self.failed = if lasted { 0 } else { self.failed.saturating_add(1) };
    }

    /// Counts a request that failed. With pushed lists, an agent that is back after an outage may reset at once all requests
    /// that it no longer knows: these count as one failure, the first.
    fn request_failed(&mut self, now: Micros) {
        if !self.pushed {
            return self.count_failure(false);
        }
        let was_silent =
            self.unanswered_since.take().is_some_and(|since| now >= since.saturating_add(ANSWER_WITHIN));
        if was_silent {
            self.failed = 1;
        } else if self.failed == 0 || now >= self.failed_at.saturating_add(RETRY_FIRST) {
            self.count_failure(false);
        } else {
            return;
        }
        self.failed_at = now;
    }
}
