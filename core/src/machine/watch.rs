//! The watch on discovery at one address.

use super::Machine;
use spurshore::Micros;
use spurshore_tables::draw;

/// By the protocol a watch that has nothing to tell says so that often, with an empty line.
const BEAT: Micros = 2_000_000;
/// How late that line may come.
const LATE: Micros = 500_000;
/// A watch that was silent for so long is broken.
pub const SILENCE: Micros = BEAT + LATE;
/// What a silent watch misses counts as told so long after it fell silent, whether it arrived or not; so
/// does, by the protocol, whatever discovery has to tell.
pub const TOLD: Micros = 6_000_000;
/// Of [`TOLD`], what is left for heeding: the longest `stop_sending_within_ms` that is in use.
const LEFT: Micros = 1_000_000;
/// Within which a question is answered. An agent answers at once; a loaded machine takes longer.
const ANSWER: Micros = 1_000_000;
/// The fleet's questions after a silence, which may befall all of it at one moment, are spread over what
/// remains: the last is answered `LEFT` before what was missed counts as told.
const ROUND: Micros = TOLD - LEFT - ANSWER - SILENCE;
/// A pause after a failed question, and what it grows to in a small fleet.
const RETRY_FIRST: Micros = 100_000;
const RETRY_MAX: Micros = 2_000_000;
/// What it grows to in a large fleet: the next question is answered within `TOLD - LEFT`, as after a silence.
const REST: Micros = TOLD - LEFT - ANSWER;
/// What each courier of a fleet adds to what its questions are spread over, and to the longest pause: all of
/// them lose discovery at one moment, and ask it again. Forty-eight that asked together every 2 s kept it
/// from answering anybody.
const EACH: Micros = 25_000;
const EACH_REST: Micros = 300_000;
/// What each courier adds to the time in which a question stays alone: forty-eight that asked every 2 s, one in 42 ms, were too
/// many.
const EACH_BESIDE: Micros = 50_000;
/// The least time to heed that is reckoned with: an agent that is silent is asked about twice in it.
const HEED_LEAST: Micros = 100_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Asked, and waits for the answer's head; until then with the questions that are out, of which the first
    /// was asked at `since`.
    Asking {
        until: Micros,
        since: Micros,
    },
    /// Answered at `since`, and told of changes as they come; silent until then, it counts as broken.
    /// `lasts`: something has come a while after the answer.
    Following {
        until: Micros,
        since: Micros,
        lasts: bool,
    },
    Pausing {
        until: Micros,
    },
    /// Discovery has moved from here, and the watch there is broken.
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The answer's head has come, and says 200.
    Answered,
    /// Bytes of a list have come, or an empty line between two lists.
    Heard,
    /// It failed, ended, or said what can't be read; `moved`: discovery is elsewhere by now.
    Broken { moved: bool },
    /// The time that the state waits for has come.
    Tick { moved: bool },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    Nothing,
    /// Ask for the changes after the version that is held. Questions that are still out are given up.
    Ask,
    /// The same, while the first question stays out; a second beside it is given up.
    AskBeside,
    /// The answer is here: the watches at older addresses have done their work.
    TakeOver,
    /// Nothing is to be done before this long.
    Pause(Micros),
    /// The watch is over for good.
    Stop,
}

/// The machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Watch {
    state: State,
    /// Questions that failed since a watch was followed for a while.
    failed: u32,
    couriers: u32,
    /// Within which a drain has to be heeded.
    heed: Micros,
    /// Of the pauses' draws; 0: none is drawn.
    seed: u64,
}

impl Watch {
    /// A watch that asks at once.
    pub fn new(now: Micros) -> Self {
        let mut watch = Watch { state: State::Over, failed: 0, couriers: 1, heed: LEFT, seed: 0 };
        watch.ask(now, now);
        watch
    }

    /// One of so many couriers, whose pauses are spread by draws from `seed`. What an agent has counts as
    /// told from the first moment of a process, and it is asked in time to heed a drain (`heed`), even if one
    /// question fails or is lost: at a start (`starts`), when others may start too, the first waits for a
    /// quarter of that at most ([`Input::Tick`] first).
    pub fn of_fleet(now: Micros, couriers: u32, seed: u64, starts: bool, heed: Micros) -> Self {
        let heed = heed.clamp(HEED_LEAST, LEFT);
        let mut watch = Watch { couriers, heed, seed: seed | 1, ..Watch::new(now) };
        if starts {
            watch.state = State::Pausing { until: now.saturating_add(watch.moment()) };
        } else {
            watch.ask(now, now);
        }
        watch
    }

    /// What the fleet's questions are spread over, where there is so much time for it.
    fn over(&self, most: Micros) -> Micros {
        (Micros::from(self.couriers) * EACH).min(most)
    }

    fn draw(&mut self, none: f64) -> f64 {
        if self.seed == 0 { none } else { draw(&mut self.seed) }
    }

    /// Before a question that has to be answered at once.
    fn moment(&mut self) -> Micros {
        let over = self.over(self.heed / 4);
        (self.draw(1.0) * over as f64) as Micros
    }

    /// Before a question that follows one which failed, at least half of the pause: who says no has too much
    /// to do.
    fn rest(&mut self) -> Micros {
        let first = self.over(TOLD / 3).max(RETRY_FIRST);
        let most = (Micros::from(self.couriers) * EACH_REST).clamp(RETRY_MAX, REST);
        let pause = (first << (self.failed.clamp(1, 16) - 1)).min(most);
        ((0.5 + 0.5 * self.draw(1.0)) * pause as f64) as Micros
    }

    /// Asks. An agent is silent while discovery is down, and may have a list at any moment from then on,
    /// which is told then: until it answers, it is asked again in time to heed that. One that said no before
    /// is asked less often.
    fn ask(&mut self, since: Micros, now: Micros) {
        let mut again = ((0.375 + 0.25 * self.draw(0.5)) * self.heed as f64) as Micros;
        if self.failed > 0 {
            again = self.rest().max(again);
        }
        // A discovery that many ask may be silent because they do: no more than one question in each `EACH_BESIDE` is asked of
        // it beside those that it has, over the whole fleet.
        let fleet = (Micros::from(self.couriers) * EACH_BESIDE).min(TOLD);
        again = again.max(((0.75 + 0.5 * self.draw(0.5)) * fleet as f64) as Micros);
        self.state = State::Asking { until: now.saturating_add(again), since };
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// When a [`Input::Tick`] is wanted.
    pub fn wake_at(&self) -> Option<Micros> {
        match self.state {
            State::Asking { until, .. } | State::Following { until, .. } | State::Pausing { until } => {
                Some(until)
            }
            State::Over => None,
        }
    }

    pub fn step(&mut self, input: Input, now: Micros) -> Output {
        match (self.state, input) {
            (State::Over, _) => Output::Nothing,
            (State::Asking { .. }, Input::Answered) => {
                self.state =
                    State::Following { until: now.saturating_add(SILENCE), since: now, lasts: false };
                Output::TakeOver
            }
            (State::Following { since, .. }, Input::Heard) => {
                let lasts = now >= since.saturating_add(BEAT / 2);
                self.state = State::Following { until: now.saturating_add(SILENCE), since, lasts };
                Output::Nothing
            }
            (
                State::Asking { until, .. } | State::Following { until, .. } | State::Pausing { until },
                Input::Tick { .. },
            ) if now < until => Output::Nothing,
            (_, Input::Tick { moved: true })
            | (State::Asking { .. } | State::Following { .. }, Input::Broken { moved: true }) => {
                self.state = State::Over;
                Output::Stop
            }
            (State::Asking { since, .. }, Input::Tick { .. }) if now < since.saturating_add(TOLD) => {
                self.ask(since, now);
                Output::AskBeside
            }
            (State::Asking { .. } | State::Pausing { .. }, Input::Tick { .. }) => {
                self.ask(now, now);
                Output::Ask
            }
            (State::Following { lasts, .. }, Input::Tick { .. }) => {
                self.count(lasts);
                let over = self.over(ROUND);
                let wait = (self.draw(1.0) * over as f64) as Micros;
                self.pause(wait, now)
            }
            (State::Following { lasts, .. }, Input::Broken { .. }) => {
                self.count(lasts);
                let wait = if lasts { self.moment() } else { self.rest() };
                self.pause(wait, now)
            }
            (State::Asking { .. }, Input::Broken { .. }) => {
                self.count(false);
                let wait = self.rest();
                self.pause(wait, now)
            }
            _ => Output::Nothing,
        }
    }

    /// Counts what failed. A watch that did not last is a failure: asked again at once, it might end at once
    /// for ever.
    fn count(&mut self, lasted: bool) {
        self.failed = if lasted { 0 } else { self.failed.saturating_add(1) };
    }

    fn pause(&mut self, wait: Micros, now: Micros) -> Output {
        self.state = State::Pausing { until: now.saturating_add(wait) };
        Output::Pause(wait)
    }
}

impl Machine for Watch {
    type Input = (Input, Micros);
    const NAME: &'static str = "The watch on discovery";
    const ABOUT: &'static str = "`core/src/machine/watch.rs`: one address's watch. \
        An empty line is due every 2 s; after 2.5 s of \
        silence the watch is broken, and is asked for anew 25 ms later for each courier of the fleet, 1.5 \
        s at most, at a time that is drawn: the answer is there 1 s before what was missed counts as told, \
        6 s after the silence began. A start, and a watch that ended, wait for a quarter of \
        `stop_sending_within_ms` (`heed`, of 1 s at most) at most. A question that is not answered stays \
        out, and another is asked beside it after 3 to 5 eighths of `heed`, in a fleet after some 50 ms a courier \
        (6 s at most); after 6 s all are given up for a new one. After a question that failed (or a watch that did not last) the pause is 25 ms a \
        courier, from 0.1 s to 2 s, and doubles up to 2 s, in a fleet up to 4 s, of which half \
        is drawn; it holds between questions without an answer too, until a watch lasts. Whatever it does, \
        the last list goes on to hold.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        let at = |state| Watch { state, ..Watch::new(0) };
        vec![
            ("Asking", "the request is out", at(State::Asking { until: 10, since: 0 })),
            (
                "Following",
                "the answer has begun; 2.5 s of silence end it",
                at(State::Following { until: 10, since: 0, lasts: true }),
            ),
            ("Pausing", "broken, until the next try", at(State::Pausing { until: 10 })),
            ("Over", "discovery is elsewhere", at(State::Over)),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        vec![
            ("answered", "the answer's head, with 200", (Input::Answered, 1)),
            ("heard", "bytes of a list, or an empty line between lists", (Input::Heard, 1)),
            (
                "broken",
                "no answer, another status, an end, or what can't be read",
                (Input::Broken { moved: false }, 1),
            ),
            ("broken, moved", "the same, after discovery has moved", (Input::Broken { moved: true }, 1)),
            ("tick", "the time that the state waits for has come", (Input::Tick { moved: false }, 10)),
            (
                "tick, late",
                "the same, 6 s after the first question that is out",
                (Input::Tick { moved: false }, TOLD),
            ),
            ("tick, moved", "the same, after discovery has moved", (Input::Tick { moved: true }, 10)),
        ]
    }

    fn state(&self) -> &'static str {
        match self.state {
            State::Asking { .. } => "Asking",
            State::Following { .. } => "Following",
            State::Pausing { .. } => "Pausing",
            State::Over => "Over",
        }
    }

    fn take(&mut self, (input, now): Self::Input) -> String {
        match self.step(input, now) {
            Output::Nothing => "",
            Output::Ask => "ask",
            Output::AskBeside => "ask beside",
            Output::TakeOver => "end older watches",
            Output::Pause(_) => "pause",
            Output::Stop => "stop",
        }
        .to_string()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FLEETS: [u32; 4] = [3, 100, 300, 5_000];
    const HEEDS: [Micros; 2] = [500_000, 1_000_000];
    /// In larger fleets a question that is lost costs more time, so that discovery can answer the others.
    const FEW: u32 = 10;
    const TICK: Input = Input::Tick { moved: false };
    const BROKEN: Input = Input::Broken { moved: false };

    fn courier(fleet: u32, me: u32, starts: bool, heed: Micros) -> Watch {
        Watch::of_fleet(0, fleet, u64::from(me) * 77, starts, heed)
    }

    /// Waits for as long as the machine does; true: it asks, at the time returned.
    fn tick(watch: &mut Watch) -> (Micros, bool) {
        let now = watch.wake_at().unwrap();
        (now, matches!(watch.step(TICK, now), Output::Ask | Output::AskBeside))
    }

    fn next_ask(watch: &mut Watch) -> Micros {
        loop {
            if let (at, true) = tick(watch) {
                return at;
            }
        }
    }

    /// Followed from 0 on, with a line every 2 s, of which the last came at the time returned.
    fn followed(watch: &mut Watch) -> Micros {
        watch.step(Input::Answered, 0);
        for beat in 0..=3 {
            watch.step(Input::Heard, beat * BEAT);
        }
        3 * BEAT
    }

    /// The most questions within any second.
    fn busiest(mut asked: Vec<Micros>) -> usize {
        asked.sort_unstable();
        let begun = |end: usize| asked.partition_point(|at| at + 1_000_000 <= asked[end]);
        (0..asked.len()).map(|end| end + 1 - begun(end)).max().unwrap_or(0)
    }

    /// The silence may begin at any time from the last line to where the next is due; if the new question is
    /// lost, the one beside it is in time too.
    #[test]
    fn a_silent_watch_is_asked_anew_and_answered_before_what_it_missed_counts_as_told() {
        for (fleet, heed) in FLEETS.into_iter().flat_map(|fleet| HEEDS.map(|heed| (fleet, heed))) {
            let mut asked = Vec::new();
            for me in 0..fleet {
                let mut watch = courier(fleet, me, false, heed);
                let last = followed(&mut watch);
                // A line that is half a second late is waited for.
                assert_eq!(watch.step(TICK, last + BEAT + LATE - 1), Output::Nothing);
                let first = next_ask(&mut watch);
                let beside = next_ask(&mut watch);
                asked.push(first);
                for phase in 0..=20 {
                    let told = last + phase * BEAT / 20 + 6_000_000;
                    assert!(first + ANSWER <= told - 1_000_000, "{fleet} couriers, {heed}: {first}");
                    let in_time = beside + heed * 3 / 8 <= told - 1_000_000;
                    assert!(in_time || fleet > FEW, "{fleet} couriers, {heed}: {beside}");
                }
            }
            // All of them fell silent at one moment.
            let (most, even) = (busiest(asked), fleet as usize * 2 / 3);
            assert!(fleet < 100 || most <= even * 6 / 5, "{fleet} couriers: {most} a second");
        }
    }

    /// An agent that is silent while discovery is down may have a list from any moment on: whether it answers
    /// what was asked before or only what is asked from then on, a courier has the list in time to heed it.
    #[test]
    fn after_an_outage_of_any_length_an_agent_is_asked_in_time_to_heed_what_it_has() {
        for (fleet, heed) in FLEETS.into_iter().flat_map(|fleet| HEEDS.map(|heed| (fleet, heed))) {
            let mut all = Vec::new();
            for me in 0..fleet {
                let mut watch = courier(fleet, me, false, heed);
                let lost = followed(&mut watch);
                let mut asked = vec![next_ask(&mut watch)];
                while asked.last().is_some_and(|at| *at < lost + 16_000_000) {
                    asked.push(next_ask(&mut watch));
                }
                for pair in asked.windows(2) {
                    // Three eighths of it are left for the answer.
                    let most = if fleet > FEW { TOLD * 5 / 4 } else { heed * 5 / 8 };
                    assert!(pair[1] - pair[0] <= most, "{fleet} couriers, {heed}: {pair:?}");
                }
                // The first of each came when the silence was found.
                all.extend(asked.into_iter().skip(1));
            }
            let most = busiest(all);
            let each = 8 * 1_000_000 / (3 * heed) + 1;
            let all = if fleet > FEW { fleet as usize * 4 / 5 } else { fleet as usize * each as usize };
            assert!(most <= all, "{fleet} couriers: {most} a second");
        }
    }

    /// Its list counts as told from the first moment, and one question may fail or be lost; after discovery
    /// has moved it counts 4 s later, and three may fail.
    #[test]
    fn a_process_that_starts_asks_in_time_to_heed_what_its_agent_has() {
        for (fleet, heed) in FLEETS.into_iter().flat_map(|fleet| HEEDS.map(|heed| (fleet, heed))) {
            for me in 0..fleet {
                let mut watch = courier(fleet, me, true, heed);
                let first = next_ask(&mut watch);
                assert!(first <= heed / 4, "{fleet} couriers, {heed}: {first}");
                let mut lost = watch;
                let beside = next_ask(&mut lost);
                if fleet > FEW {
                    assert!(beside <= first + TOLD * 5 / 4, "{fleet} couriers, {heed}: {beside}");
                    continue;
                }
                assert!(beside <= heed * 7 / 8, "{fleet} couriers, {heed}: {beside}");
                watch.step(BROKEN, first);
                let second = next_ask(&mut watch);
                assert!(second <= first + heed / 2, "{fleet}, {heed}: {second}");
                let (mut moved, mut asked) = (courier(fleet, me, false, heed), 0);
                for _ in 0..3 {
                    moved.step(BROKEN, asked);
                    asked = next_ask(&mut moved);
                }
                assert!(asked + heed / 2 <= 4_000_000, "{fleet} couriers, {heed}: {asked}");
            }
        }
    }

    /// A fleet that loses discovery at one moment, and is told no each time: how often it asks within any
    /// second, at first and later. No pause is so long that the answer would come later than 5 s after the
    /// last one.
    #[test]
    fn a_fleet_that_is_told_no_asks_ever_less_often() {
        let ask_on = |fleet: u32| {
            let (mut early, mut late) = (Vec::new(), Vec::new());
            for me in 0..fleet {
                let mut watch = courier(fleet, me, false, 1_000_000);
                let mut before = followed(&mut watch);
                watch.step(BROKEN, before);
                while before < 60_000_000 {
                    let at = next_ask(&mut watch);
                    assert!(at - before <= 4_000_000, "{fleet} couriers: {}", at - before);
                    if at < 16_000_000 {
                        early.push(at)
                    } else {
                        late.push(at)
                    }
                    watch.step(BROKEN, at);
                    before = at;
                }
            }
            (busiest(early), busiest(late))
        };
        for (fleet, first, later) in [(48, 108, 32), (100, 225, 60), (300, 675, 140), (5_000, 11_250, 1_900)]
        {
            let (early, late) = ask_on(fleet);
            assert!(early <= first && late <= later, "{fleet}: {early} in the busiest second, {late} later");
        }
        // A small fleet asks as often as before.
        assert!(ask_on(3).1 >= 2);
    }

    /// What was told no is overloaded, and is not asked more often for answering late.
    #[test]
    fn an_agent_that_said_no_is_not_pressed_while_it_is_silent() {
        let mut watch = courier(300, 7, false, 1_000_000);
        for _ in 0..8 {
            watch.step(BROKEN, watch.wake_at().unwrap());
            next_ask(&mut watch);
        }
        let first = next_ask(&mut watch);
        let beside = next_ask(&mut watch);
        assert!(beside - first >= 2_000_000, "{}", beside - first);
    }

    /// Each watch ends at once, with a list: it does not count as one that lasted.
    #[test]
    fn watches_that_end_at_once_are_asked_for_ever_less_often() {
        let mut watch = courier(300, 7, false, 1_000_000);
        let (mut now, mut asked) = (0, 0);
        while now < 30_000_000 {
            watch.step(Input::Answered, now);
            watch.step(Input::Heard, now);
            watch.step(BROKEN, now);
            now = next_ask(&mut watch);
            asked += 1;
        }
        assert!(asked <= 14, "{asked} questions in 30 s");
    }
}
