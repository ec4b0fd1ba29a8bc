//! The watch on discovery at one address.

use super::transition_table::Machine;
use quillmount_containers::random_unit;
use quillmount_policy::Micros;

/// By the protocol a watch that has nothing to tell says so that often, with an empty line.
pub const HEARTBEAT: Micros = 2_000_000;
/// How late that line may come.
pub const HEARTBEAT_SLACK: Micros = 500_000;
/// A watch that was silent for so long is broken.
pub const SILENCE: Micros = HEARTBEAT + HEARTBEAT_SLACK;
/// What a silent watch misses counts as told so long after it fell silent, whether it arrived or not; so
/// does, by the protocol, whatever discovery has to tell.
pub const NOTIFIED_WITHIN: Micros = 6_000_000;
/// Of [`TOLD`], what is left for heeding: the longest `stop_sending_within_ms` that is in use.
pub const HEED_MAX: Micros = 1_000_000;
/// Within which a question is answered. An agent answers at once; a loaded machine takes longer.
pub const ANSWER_WITHIN: Micros = 1_000_000;
/// The fleet's questions after a silence, which may befall all of it at one moment, are spread over what
/// remains: the last is answered `LEFT` before what was missed counts as told.
const RENEWAL_SPREAD_MAX: Micros = NOTIFIED_WITHIN - HEED_MAX - ANSWER_WITHIN - SILENCE;
/// A pause after a failed question, and what it grows to in a small fleet.
const RETRY_FIRST: Micros = 100_000;
const RETRY_MAX: Micros = 2_000_000;
/// No two questions are further apart, nor is one from the last sign of life: whatever became of those before,
/// one that is asked so long after discovery can be reached is answered within `TOLD - LEFT`.
pub const REQUEST_INTERVAL_MAX: Micros = NOTIFIED_WITHIN - HEED_MAX - ANSWER_WITHIN;
/// What each courier of a fleet adds to what its questions are spread over, and to the longest pause: all of
/// them lose discovery at one moment, and ask it again. Forty-eight that asked together every 2 s kept it
/// from answering anybody.
const SPREAD_PER_COURIER: Micros = 25_000;
const BACKOFF_PER_COURIER: Micros = 300_000;
/// What each courier adds to the time in which a question stays alone: forty-eight that asked every 2 s, one in 42 ms, were too
/// many.
const HEDGE_PER_COURIER: Micros = 50_000;
/// What that is spread by, to either side, and the most that it may come to: drawn a quarter longer it is `REST`.
const HEDGE_JITTER: f64 = 0.25;
const HEDGE_DELAY_MAX: Micros = REQUEST_INTERVAL_MAX * 4 / 5;
/// So few couriers may ask as often as `heed` wants it.
const SMALL_FLEET: u32 = 10;
/// The least time to heed that is reckoned with: an agent that is silent is asked about twice in it.
const HEED_MIN: Micros = 100_000;

/// The bound: from the last sign of life over the silence and the spread, from a question that failed over the
/// longest pause, and from one that stays out to the one beside it, the next answer is there within
/// `TOLD - LEFT`.
const _: () = {
    assert!(SILENCE + RENEWAL_SPREAD_MAX <= REQUEST_INTERVAL_MAX);
    assert!(RETRY_MAX <= REQUEST_INTERVAL_MAX && NOTIFIED_WITHIN / 3 <= REQUEST_INTERVAL_MAX);
    assert!(HEDGE_DELAY_MAX * 5 / 4 <= REQUEST_INTERVAL_MAX && HEED_MAX <= REQUEST_INTERVAL_MAX);
    assert!(REQUEST_INTERVAL_MAX + ANSWER_WITHIN <= NOTIFIED_WITHIN - HEED_MAX);
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WatchState {
    /// Asked, and waits for the answer's head; until then with the questions that are out, of which the first
    /// was asked at `since`, the next at `second`, and the last at `last`.
    Requesting {
        until: Micros,
        since: Micros,
        second: Option<Micros>,
        last: Micros,
    },
    /// Answered at `since`, and told of changes as they come; silent until then, it counts as broken.
    /// `lasts`: something has come a while after the answer.
    Following {
        until: Micros,
        since: Micros,
        lasts: bool,
    },
    BackingOff {
        until: Micros,
    },
    /// Discovery has moved from here, and the watch there is broken.
    Stopped,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchInput {
    /// The answer's head has come, and says 200.
    Answered,
    /// A list has come, or an empty line between two lists; `moved`: discovery is elsewhere by now.
    Heard { moved: bool },
    /// One of the questions that are out has failed, and others still are out.
    Lost,
    /// All that were out have failed, or the answer ended, or said what can't be read.
    Broken { moved: bool },
    /// The time that the state waits for has come.
    Tick { moved: bool },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchOutput {
    Nothing,
    /// Ask for the changes after the version that is held. Questions that are still out are given up.
    Request,
    /// The same, while so many of the questions that are out stay so, those that were asked first.
    Hedge {
        keep: usize,
    },
    /// It is told of the list here: the watches at older addresses have done their work.
    EndOlderWatches,
    /// Nothing is to be done before this long.
    BackOff(Micros),
    /// The watch is over for good.
    Stop,
}

/// The machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Watch {
    state: WatchState,
    /// Questions that failed since a watch was followed for a while.
    failed: u32,
    couriers: u32,
    /// Within which a drain has to be heeded.
    heed: Micros,
    /// Of the pauses' draws; 0: none is drawn.
    seed: u64,
    /// Lists are pushed: it asks an agent of its own machine, which answers at no cost. What that has counts as told
    /// in the moment in which it is back from a silence, and what is out then is answered: one always is.
    pushed: bool,
    /// There, since when questions are out to which not a word came, and when one that counts failed.
    unanswered_since: Option<Micros>,
    failed_at: Micros,
}

impl Watch {
    /// A watch that asks at once.
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

    /// One of so many couriers, whose pauses are spread by draws from `seed`. What an agent has counts as
    /// told from the first moment of a process, and it is asked in time to heed a drain (`heed`), even if one
    /// question fails or is lost: at a start (`starts`), when others may start too, the first waits for a
    /// quarter of that at most ([`Input::Tick`] first).
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

    /// Whether lists are pushed; where they are not, each question is the whole fleet's discovery's to answer.
    pub fn where_pushed(self, pushed: bool) -> Self {
        let mut watch = Watch { pushed, unanswered_since: None, ..self };
        if let WatchState::Requesting { since, second, last, .. } = watch.state
            && pushed
        {
            watch.request(since, second, last);
        }
        watch
    }

    /// What the fleet's questions are spread over, where there is so much time for it.
    fn spread(&self, most: Micros) -> Micros {
        (Micros::from(self.couriers) * SPREAD_PER_COURIER).min(most)
    }

    fn draw(&mut self, none: f64) -> f64 {
        if self.seed == 0 { none } else { random_unit(&mut self.seed) }
    }

    /// Before a question that has to be answered at once.
    fn start_delay(&mut self) -> Micros {
        let spread = self.spread(self.heed / 4);
        (self.draw(1.0) * spread as f64) as Micros
    }

    /// Before a question that follows one which failed, at least half of the pause: who says no has too much
    /// to do.
    fn backoff(&mut self) -> Micros {
        let first = self.spread(NOTIFIED_WITHIN / 3).max(RETRY_FIRST);
        let most = (Micros::from(self.couriers) * BACKOFF_PER_COURIER).clamp(RETRY_MAX, REQUEST_INTERVAL_MAX);
        let backoff = (first << (self.failed.clamp(1, 16) - 1)).min(most);
        ((0.5 + 0.5 * self.draw(1.0)) * backoff as f64) as Micros
    }

    /// The same, no longer than up to `REST` after the last question or sign of life: what failed late has
    /// taken a part of the pause.
    fn backoff_after(&mut self, last: Micros, now: Micros) -> Micros {
        self.backoff().min(last.saturating_add(REQUEST_INTERVAL_MAX).saturating_sub(now))
    }

    /// Asks. An agent is silent while discovery is down, and may have a list at any moment from then on,
    /// which is told then: until it answers, it is asked again in time to heed that. One that said no before
    /// is asked less often.
    fn request(&mut self, since: Micros, second: Option<Micros>, now: Micros) {
        let mut interval = ((0.375 + 0.25 * self.draw(0.5)) * self.heed as f64) as Micros;
        if self.failed > 0 {
            interval = self.backoff().max(interval);
        }
        // A discovery that many ask may be silent because they do: no more than one question in each `EACH_BESIDE` is asked of
        // it beside those that it has, over the whole fleet, or by each courier in `REST`.
        let fleet = (Micros::from(self.couriers) * HEDGE_PER_COURIER).min(HEDGE_DELAY_MAX);
        let fleet = ((1.0 - HEDGE_JITTER + 2.0 * HEDGE_JITTER * self.draw(0.5)) * fleet as f64) as Micros;
        // An agent is asked by one courier, at no cost: as by few. A quarter of `heed` is left for the answer.
        let few = self.pushed || self.couriers <= SMALL_FLEET;
        interval = interval.max(if few { fleet.min(self.heed / 4 * 3) } else { fleet });
        self.unanswered_since = self.unanswered_since.or(self.pushed.then_some(now));
        self.state = WatchState::Requesting { until: now.saturating_add(interval), since, second, last: now };
    }

    /// Asks beside the questions that are out. One that is given up each time that another is asked would
    /// never have its answer, where that takes longer than the time between two: beside the first the next one
    /// stays too, for as long as an answer may take.
    fn hedge(&mut self, since: Micros, second: Option<Micros>, now: Micros) -> WatchOutput {
        let second = second.filter(|asked| now < asked.saturating_add(ANSWER_WITHIN));
        self.request(since, second.or(Some(now)), now);
        WatchOutput::Hedge { keep: 1 + usize::from(second.is_some()) }
    }

    pub fn state(&self) -> WatchState {
        self.state
    }

    /// When a [`Input::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            WatchState::Requesting { until, .. }
            | WatchState::Following { until, .. }
            | WatchState::BackingOff { until } => Some(until),
            WatchState::Stopped => None,
        }
    }

    pub fn step(&mut self, input: WatchInput, now: Micros) -> WatchOutput {
        match (self.state, input) {
            (WatchState::Stopped, _) => WatchOutput::Nothing,
            (WatchState::Requesting { .. }, WatchInput::Answered) => {
                self.unanswered_since = None;
                self.state =
                    WatchState::Following { until: now.saturating_add(SILENCE), since: now, lasts: false };
                WatchOutput::Nothing
            }
            (WatchState::Requesting { .. }, WatchInput::Lost) => {
                self.request_failed(now);
                self.unanswered_since = self.pushed.then_some(now);
                WatchOutput::Nothing
            }
            (WatchState::Following { since, .. }, WatchInput::Heard { moved }) => {
                let lasts = now >= since.saturating_add(HEARTBEAT / 2);
                self.state = WatchState::Following { until: now.saturating_add(SILENCE), since, lasts };
                // Whoever watches where discovery is now is not ended from where it was.
                if moved { WatchOutput::Nothing } else { WatchOutput::EndOlderWatches }
            }
            (
                WatchState::Requesting { until, .. }
                | WatchState::Following { until, .. }
                | WatchState::BackingOff { until },
                WatchInput::Tick { .. },
            ) if now < until => WatchOutput::Nothing,
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
            (WatchState::Following { lasts, .. }, WatchInput::Tick { .. }) => {
                // Silence is no failure: it has lasted long enough to be asked anew at once.
                if lasts {
                    self.failed = 0;
                }
                // An agent may be back at any moment, and has to find a question then.
                let spread = if self.pushed { 0 } else { self.spread(RENEWAL_SPREAD_MAX) };
                let wait = (self.draw(1.0) * spread as f64) as Micros;
                self.back_off(wait, now)
            }
            (WatchState::Following { until, lasts, .. }, WatchInput::Broken { .. }) => {
                self.count_failure(lasts);
                let heard = until.saturating_sub(SILENCE);
                let wait = if lasts { self.start_delay() } else { self.backoff_after(heard, now) };
                self.back_off(wait, now)
            }
            (WatchState::Requesting { last, .. }, WatchInput::Broken { .. }) => {
                self.request_failed(now);
                let back = self.pushed && self.failed == 1;
                let wait = if back {
                    self.start_delay().max(RETRY_FIRST / 2)
                } else {
                    self.backoff_after(last, now)
                };
                self.back_off(wait, now)
            }
            _ => WatchOutput::Nothing,
        }
    }

    /// Counts what failed. A watch that did not last is a failure: asked again at once, it might end at once
    /// for ever.
    fn count_failure(&mut self, lasted: bool) {
        self.failed = if lasted { 0 } else { self.failed.saturating_add(1) };
    }

    /// Counts a question that failed. Where lists are pushed: an agent that is back from a silence may reset what it
    /// no longer knows, all of it in one moment: that is the first no.
    fn request_failed(&mut self, now: Micros) {
        if !self.pushed {
            return self.count_failure(false);
        }
        let silent =
            self.unanswered_since.take().is_some_and(|since| now >= since.saturating_add(ANSWER_WITHIN));
        if silent {
            self.failed = 1;
        } else if self.failed == 0 || now >= self.failed_at.saturating_add(RETRY_FIRST) {
            self.count_failure(false);
        } else {
            return;
        }
        self.failed_at = now;
    }

    fn back_off(&mut self, wait: Micros, now: Micros) -> WatchOutput {
        self.state = WatchState::BackingOff { until: now.saturating_add(wait) };
        WatchOutput::BackOff(wait)
    }
}

impl Machine for Watch {
    type Input = (WatchInput, Micros);
    const NAME: &'static str = "The watch on discovery";
    const ABOUT: &'static str = "`courier/core/src/machine/watch.rs`: one address's watch. \
        An empty line is due every 2 s; after 2.5 s of \
        silence the watch is broken, and is asked for anew 25 ms later for each courier of the fleet, 1.5 \
        s at most, at a time that is drawn: the answer is there 1 s before what was missed counts as told, \
        6 s after the silence began. Where lists are pushed it is asked for at once, since what the agent of the \
        courier's own machine has counts as told when that is back, and what is out then is answered: from here on \
        a question always is. A start, and a watch that ended, wait for a quarter of \
        `stop_sending_within_ms` (`heed`, of 1 s at most) at most. A question that is not answered stays \
        out, and another is asked beside it after 3 to 5 eighths of `heed`, in a fleet after some 50 ms a courier \
        (4 s at most, and three quarters of `heed` up to ten couriers, or where lists are pushed); the first stays out for 6 s, and one more \
        for the 1 s that an answer may take. After a question that failed (or a watch that did not last) the pause is 25 ms a \
        courier, from 0.1 s to 2 s, and doubles up to 2 s, in a fleet up to 4 s, of which half \
        is drawn, and that counts from the question where it failed late; it holds between questions without an answer too, until a watch lasts; where lists are pushed, the first that \
        fails, and one that fails after 1 s without a word, are followed as a start is, after 50 ms at least: who is back resets \
        what it no longer knows. So no two questions are \
        more than 4 s apart, and what discovery has and can be reached for is here 5 s later. Whatever it does, \
        the last list goes on to hold.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let at = |state| Watch { state, ..Watch::new(0) };
        vec![
            (
                "Requesting",
                "the request is out",
                at(WatchState::Requesting { until: 10, since: 0, second: None, last: 0 }),
            ),
            (
                "Following",
                "the answer has begun; 2.5 s of silence end it",
                at(WatchState::Following { until: 10, since: 0, lasts: true }),
            ),
            ("BackingOff", "broken, until the next try", at(WatchState::BackingOff { until: 10 })),
            ("Stopped", "discovery is elsewhere", at(WatchState::Stopped)),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("answered", "the answer's head, with 200", (WatchInput::Answered, 1)),
            (
                "heard",
                "a list is whole, or an empty line between lists",
                (WatchInput::Heard { moved: false }, 1),
            ),
            ("heard, moved", "the same, after discovery has moved", (WatchInput::Heard { moved: true }, 1)),
            ("lost", "a question failed, and another is out", (WatchInput::Lost, 1)),
            (
                "broken",
                "no question is out any more, an end, or what can't be read",
                (WatchInput::Broken { moved: false }, 1),
            ),
            ("broken, moved", "the same, after discovery has moved", (WatchInput::Broken { moved: true }, 1)),
            ("tick", "the time that the state waits for has come", (WatchInput::Tick { moved: false }, 10)),
            (
                "tick, late",
                "the same, 6 s after the first question that is out",
                (WatchInput::Tick { moved: false }, NOTIFIED_WITHIN),
            ),
            ("tick, moved", "the same, after discovery has moved", (WatchInput::Tick { moved: true }, 10)),
        ]
    }

    fn state(&self) -> &'static str {
        match self.state {
            WatchState::Requesting { .. } => "Requesting",
            WatchState::Following { .. } => "Following",
            WatchState::BackingOff { .. } => "BackingOff",
            WatchState::Stopped => "Stopped",
        }
    }

    fn apply(&mut self, (input, now): Self::Input) -> String {
        match self.step(input, now) {
            WatchOutput::Nothing => "",
            WatchOutput::Request => "ask",
            WatchOutput::Hedge { .. } => "ask beside",
            WatchOutput::EndOlderWatches => "end older watches",
            WatchOutput::BackOff(_) => "pause",
            WatchOutput::Stop => "stop",
        }
        .to_string()
    }
}
