//! The transition table of the watch.

use super::{NOTIFIED_WITHIN, Watch, WatchInput, WatchOutput, WatchState};
use crate::machine::transition_table::Machine;
use quillmount_policy::Micros;

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
