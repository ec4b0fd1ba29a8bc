//! The transition table of the watch.

use super::{NOTIFICATION_DEADLINE, Watch, WatchInput, WatchOutput, WatchState};
use crate::machine::transition_table::{Example, Machine, examples};
use quillmount_policy::Micros;

impl Machine for Watch {
    type Input = (WatchInput, Micros);
    const NAME: &'static str = "The watch on discovery";
    const ABOUT: &'static str = "`courier/core/src/machine/watch.rs`: the watch on discovery at one address.\n\n\
        - **Timeout.** An empty line is due every 2 s; after 2.5 s without data the watch counts as broken. It is renewed \
        after a random delay of up to 25 ms for each courier of the fleet, at most 1.5 s: so the answer arrives 1 s before \
        the missed changes must have taken effect, 6 s after the last data. Where lists are pushed it is renewed at once: \
        the list of the agent on the courier's own machine counts as received as soon as the agent is available again, and \
        the agent answers the requests that are in flight at that time. Therefore a request is always kept in flight.\n\
        - **Start.** A process that starts, and a watch that ended, wait for at most a quarter of `drain_grace` \
        (the setting `stop_sending_within_ms`, limited to 1 s).\n\
        - **Hedged requests.** A request without an answer stays in flight, and a hedged one follows after 3 to 5 eighths of \
        `drain_grace`, in a fleet after about 50 ms for each courier (at most 4 s; three quarters of `drain_grace` for up to \
        ten couriers or where lists are pushed). The first request stays in flight for 6 s, and one more for the 1 s that an \
        answer may take.\n\
        - **Backoff.** After a failed request, or a watch that ended before it was stable, the backoff is 25 ms for each courier, at least \
        0.1 s and at most 2 s. It doubles up to 2 s, in a fleet up to 4 s; half of it is random, and after a late failure it \
        counts from the request. It also applies between requests without an answer, until a watch is stable. Where lists are \
        pushed, the first failed request, and one that fails after 1 s without an answer, are followed by the delay of a \
        start, at least 50 ms: an agent that is available again resets the requests of the time before.\n\n\
        So no two requests are more than 4 s apart, and while discovery can be reached, a change arrives within 5 s. The last \
        list stays in effect all the time.";

    fn states() -> Vec<Example<Self>> {
        let watch = |state| Watch { state, ..Watch::new(0) };
        examples([
            (
                "Requesting",
                "requests are in flight",
                watch(WatchState::Requesting { until: 10, first_sent: 0, second_sent: None, last_sent: 0 }),
            ),
            (
                "Following",
                "the answer has begun; it ends after 2.5 s without data",
                watch(WatchState::Following { until: 10, since: 0, is_stable: true }),
            ),
            (
                "BackingOff",
                "broken; the next request is delayed",
                watch(WatchState::BackingOff { until: 10 }),
            ),
            ("Stopped", "discovery has moved to another address", watch(WatchState::Stopped)),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        examples([
            ("answered", "the head of an answer with status 200", (WatchInput::Answered, 1)),
            ("received", "a list or an empty line was received", (WatchInput::Received { moved: false }, 1)),
            (
                "received, moved",
                "the same, after discovery has moved",
                (WatchInput::Received { moved: true }, 1),
            ),
            ("lost", "a request failed, and another is in flight", (WatchInput::Lost, 1)),
            (
                "broken",
                "the last request in flight failed, or the answer ended or can't be parsed",
                (WatchInput::Broken { moved: false }, 1),
            ),
            ("broken, moved", "the same, after discovery has moved", (WatchInput::Broken { moved: true }, 1)),
            ("tick", "the time that the state waits for is reached", (WatchInput::Tick { moved: false }, 10)),
            (
                "tick, late",
                "the same, 6 s after the first request in flight was sent",
                (WatchInput::Tick { moved: false }, NOTIFICATION_DEADLINE),
            ),
            ("tick, moved", "the same, after discovery has moved", (WatchInput::Tick { moved: true }, 10)),
        ])
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
            WatchOutput::Request => "request",
            WatchOutput::Hedge { .. } => "send a hedged request",
            WatchOutput::EndOlderWatches => "end older watches",
            WatchOutput::BackOff(_) => "back off",
            WatchOutput::Stop => "stop",
        }
        .to_string()
    }
}
