//! A courier's life, from its start to its end: whether it serves, wants consumers, hands over or stops.

use super::Machine;
use super::drain::{self, Drain};
use super::handover::{Giver, GiverInput, GiverOutput, GiverState};
use spurshore::Micros;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum State {
    /// What an earlier life left is taken up.
    #[default]
    Starting,
    Serving,
    /// Another process has asked for all, or has it on its way.
    HandingOver(Giver),
    /// A planned stop, the graceful shutdown.
    Stopping,
    /// Another process decides, or the planned stop is done.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// All that an earlier life left is taken up.
    Serve,
    /// What comes of another process that wants to take over.
    Give(GiverInput),
    /// What operators want of consumers, or the time to look.
    Drain(drain::Input),
    /// A signal asks for the planned stop.
    Stop,
    /// The planned stop is done, or a fleet has given all to others.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    Nothing,
    Give(GiverOutput),
    Drain(drain::Output),
    /// The planned stop begins.
    Stop,
    /// There is nothing to stop: the process ends.
    Leave,
}

/// The machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Life {
    state: State,
    drain: Drain,
    /// When the first signal came that asked for the planned stop. One that comes while all is being handed over waits:
    /// the process that still holds the lock afterwards stops as planned, one that has let go has nothing left to stop.
    stop: Option<Micros>,
}

impl Life {
    /// It takes consumers' messages on, and operators hear that it is ready.
    pub fn is_serving(&self) -> bool {
        matches!(self.state, State::Serving | State::HandingOver(_))
    }

    /// Whether the front may send consumers here.
    pub fn wants_consumers(&self) -> bool {
        self.is_serving() && self.stop.is_none() && !self.drain.is_drained()
    }

    /// Operators have emptied it: the front is told no.
    pub fn is_drained(&self) -> bool {
        self.drain.is_drained()
    }

    /// Tasks give their parts up to another process, or have.
    pub fn hands_over(&self) -> bool {
        matches!(self.state, State::HandingOver(_) | State::Ended)
    }

    /// Nothing is decided here, for now or for good.
    pub fn is_frozen(&self) -> bool {
        match self.state {
            State::HandingOver(giver) => matches!(giver.state(), GiverState::Sending { .. }),
            state => state == State::Ended,
        }
    }

    /// When the signal came whose planned stop is under way.
    pub fn stopping(&self) -> Option<Micros> {
        self.stop.filter(|_| self.state == State::Stopping)
    }

    /// What is dropped from here on is taken up by another life.
    pub fn has_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// A signal has asked for the process's end.
    pub fn is_told_to_stop(&self) -> bool {
        self.stop.is_some()
    }

    /// When a tick is wanted of the hand-over.
    pub fn give_by(&self) -> Option<Micros> {
        match &self.state {
            State::HandingOver(giver) => giver.wake_at(),
            _ => None,
        }
    }

    /// When a tick is wanted of the drain.
    pub fn look_at(&self) -> Option<Micros> {
        self.drain.wake_at().filter(|_| self.state != State::Ended)
    }

    pub fn step(&mut self, input: Input, now: Micros) -> Output {
        match (self.state, input) {
            (State::Starting, Input::Serve) => {
                self.state = State::Serving;
                Output::Nothing
            }
            (State::Starting | State::Serving | State::HandingOver(_), Input::Stop) => self.stop(now),
            (State::Ended, Input::Stop) => {
                self.stop = self.stop.or(Some(now));
                Output::Leave
            }
            (State::Starting | State::Serving | State::Stopping, Input::End) => {
                self.state = State::Ended;
                Output::Nothing
            }
            (State::Serving, Input::Give(input)) => self.give(Giver::default(), input, now),
            (State::HandingOver(giver), Input::Give(input)) => self.give(giver, input, now),
            (_, Input::Give(GiverInput::Asked)) => Output::Give(GiverOutput::Busy),
            // What changed now would not be among what is handed over.
            (State::HandingOver(_), Input::Drain(drain::Input::Drain | drain::Input::Undrain))
            | (State::Ended, Input::Drain(_)) => Output::Nothing,
            (_, Input::Drain(input)) => match self.drain.step(input, now) {
                drain::Output::Nothing => Output::Nothing,
                output => Output::Drain(output),
            },
            _ => Output::Nothing,
        }
    }

    fn stop(&mut self, now: Micros) -> Output {
        self.stop = self.stop.or(Some(now));
        match self.state {
            State::Starting => {
                self.state = State::Ended;
                Output::Leave
            }
            State::Serving => {
                self.state = State::Stopping;
                Output::Stop
            }
            _ => Output::Nothing,
        }
    }

    fn give(&mut self, mut giver: Giver, input: GiverInput, now: Micros) -> Output {
        let output = giver.step(input, now);
        self.state = match giver.state() {
            GiverState::Deciding if self.stop.is_some() => State::Stopping,
            GiverState::Deciding => State::Serving,
            GiverState::Collecting { .. } | GiverState::Sending { .. } => State::HandingOver(giver),
            GiverState::Gone => State::Ended,
        };
        if output == GiverOutput::Nothing { Output::Nothing } else { Output::Give(output) }
    }
}

/// A life that these inputs lead to, all of them at one moment.
fn after(inputs: &[Input]) -> Life {
    let mut life = Life::default();
    for input in inputs {
        life.step(*input, 0);
    }
    life
}

impl Machine for Life {
    type Input = (Input, Micros);
    const NAME: &'static str = "A courier's life";
    const ABOUT: &'static str = "`core/src/machine/life.rs`: from its start to its end. It holds the courier's drain and \
        the giver of an upgrade, whose own tables follow; a drain goes along through a hand-over, a stop and back.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        use GiverInput::{Asked, Collected, Got};
        use Input::{Give, Serve, Stop};
        let drain = Input::Drain(drain::Input::Drain);
        vec![
            ("Starting", "what an earlier life left is taken up", after(&[])),
            ("Serving", "messages are taken on", after(&[Serve])),
            ("Drained", "the same, and the front is told no", after(&[Serve, drain])),
            ("Collecting", "tasks give up their parts to another process", after(&[Serve, Give(Asked)])),
            ("CollectingTold", "the same, and it is to stop", after(&[Serve, Give(Asked), Stop])),
            (
                "Sending",
                "nothing is decided; all is on its way",
                after(&[Serve, Give(Asked), Give(Collected)]),
            ),
            (
                "SendingTold",
                "the same, and it is to stop",
                after(&[Serve, Give(Asked), Give(Collected), Stop]),
            ),
            ("Stopping", "the planned stop", after(&[Serve, Stop])),
            (
                "Ended",
                "another process decides, or the planned stop is done",
                after(&[Serve, Give(Asked), Give(Collected), Give(Got)]),
            ),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        use super::handover::PATIENCE;
        vec![
            ("serve", "all that an earlier life left is taken up", (Input::Serve, 0)),
            ("DRAIN", "the operators' call", (Input::Drain(drain::Input::Drain), 0)),
            ("UNDRAIN", "the operators' call", (Input::Drain(drain::Input::Undrain), 0)),
            (
                "look",
                "the time to look for connections that rest",
                (Input::Drain(drain::Input::Tick), drain::FRONT),
            ),
            ("stop", "SIGTERM or SIGINT", (Input::Stop, 0)),
            ("asked", "another process wants to take over", (Input::Give(GiverInput::Asked), 0)),
            ("collected", "each task has given up its part", (Input::Give(GiverInput::Collected), 0)),
            ("got", "the other process has all of it", (Input::Give(GiverInput::Got), 0)),
            ("lost", "the other process's connection broke", (Input::Give(GiverInput::Lost), 0)),
            ("tick", "the hand-over's time is up", (Input::Give(GiverInput::Tick), PATIENCE)),
            ("end", "the planned stop is done, or its fleet has given all to others", (Input::End, 0)),
        ]
    }

    fn state(&self) -> &'static str {
        match self.state {
            State::Starting => "Starting",
            State::Serving if self.drain.is_drained() => "Drained",
            State::Serving => "Serving",
            State::HandingOver(giver) => match (giver.state(), self.stop) {
                (GiverState::Sending { .. }, None) => "Sending",
                (GiverState::Sending { .. }, Some(_)) => "SendingTold",
                (_, None) => "Collecting",
                (_, Some(_)) => "CollectingTold",
            },
            State::Stopping => "Stopping",
            State::Ended => "Ended",
        }
    }

    fn take(&mut self, (input, now): Self::Input) -> String {
        match self.step(input, now) {
            Output::Nothing => "",
            Output::Give(GiverOutput::Nothing) => "",
            Output::Give(GiverOutput::Collect) => "collect",
            Output::Give(GiverOutput::Send) => "send all",
            Output::Give(GiverOutput::TakeBack) => "take back",
            Output::Give(GiverOutput::LetGo) => "let go of the lock, say so",
            Output::Give(GiverOutput::Busy) => "say busy",
            Output::Drain(drain::Output::Nothing) => "",
            Output::Drain(drain::Output::LastAnswers) => "answers end their connections",
            Output::Drain(drain::Output::Empty) => "connections at rest are to leave",
            Output::Drain(drain::Output::Keep) => "connections are kept",
            Output::Stop => "begin the planned stop",
            Output::Leave => "end the process",
        }
        .to_string()
    }
}
