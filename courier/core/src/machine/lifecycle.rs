//! A courier's life, from its start to its end: whether it serves, wants clients, hands over or stops.

use super::drain::{self, Drain};
use super::handover::{HandoverSender, SenderInput, SenderOutput, SenderState};
use super::transition_table::Machine;
use quillmount_policy::Micros;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum LifecycleState {
    /// What an earlier life left is taken up.
    #[default]
    Starting,
    Serving,
    /// Another process has asked for all, or has it on its way.
    Handover(HandoverSender),
    /// A planned stop, the graceful shutdown.
    Stopping,
    /// Another process decides, or the planned stop is done.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleInput {
    /// All that an earlier life left is taken up.
    Serve,
    /// What comes of another process that wants to take over.
    Handover(SenderInput),
    /// What operators want of clients, or the time to look.
    Drain(drain::DrainInput),
    /// A signal asks for the planned stop.
    Stop,
    /// The planned stop is done, or a fleet has given all to others.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleOutput {
    Nothing,
    Handover(SenderOutput),
    Drain(drain::DrainOutput),
    /// The planned stop begins.
    Stop,
    /// There is nothing to stop: the process ends.
    Exit,
}

/// The machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lifecycle {
    state: LifecycleState,
    drain: Drain,
    /// When the first signal came that asked for the planned stop. One that comes while all is being handed over waits:
    /// the process that still holds the lock afterwards stops as planned, one that has let go has nothing left to stop.
    stop: Option<Micros>,
}

impl Lifecycle {
    /// It takes clients' messages on, and operators hear that it is ready.
    pub fn is_serving(&self) -> bool {
        matches!(self.state, LifecycleState::Serving | LifecycleState::Handover(_))
    }

    /// Whether the front may send clients here.
    pub fn accepts_clients(&self) -> bool {
        self.is_serving() && self.stop.is_none() && !self.drain.is_drained()
    }

    /// Operators have emptied it: the front is told no.
    pub fn is_drained(&self) -> bool {
        self.drain.is_drained()
    }

    /// Tasks give their parts up to another process, or have.
    pub fn is_releasing(&self) -> bool {
        matches!(self.state, LifecycleState::Handover(_) | LifecycleState::Ended)
    }

    /// Nothing is decided here, for now or for good.
    pub fn is_frozen(&self) -> bool {
        match self.state {
            LifecycleState::Handover(sender) => matches!(sender.state(), SenderState::Sending { .. }),
            state => state == LifecycleState::Ended,
        }
    }

    /// When the signal came whose planned stop is under way.
    pub fn stopping(&self) -> Option<Micros> {
        self.stop.filter(|_| self.state == LifecycleState::Stopping)
    }

    /// What is dropped from here on is taken up by another life.
    pub fn has_ended(&self) -> bool {
        self.state == LifecycleState::Ended
    }

    /// A signal has asked for the process's end.
    pub fn stop_requested(&self) -> bool {
        self.stop.is_some()
    }

    /// When a tick is wanted of the hand-over.
    pub fn handover_deadline(&self) -> Option<Micros> {
        match &self.state {
            LifecycleState::Handover(sender) => sender.wake_at(),
            _ => None,
        }
    }

    /// When a tick is wanted of the drain.
    pub fn drain_check_at(&self) -> Option<Micros> {
        self.drain.wake_at().filter(|_| self.state != LifecycleState::Ended)
    }

    pub fn step(&mut self, input: LifecycleInput, now: Micros) -> LifecycleOutput {
        match (self.state, input) {
            (LifecycleState::Starting, LifecycleInput::Serve) => {
                self.state = LifecycleState::Serving;
                LifecycleOutput::Nothing
            }
            (
                LifecycleState::Starting | LifecycleState::Serving | LifecycleState::Handover(_),
                LifecycleInput::Stop,
            ) => self.stop(now),
            (LifecycleState::Ended, LifecycleInput::Stop) => {
                self.stop = self.stop.or(Some(now));
                LifecycleOutput::Exit
            }
            (
                LifecycleState::Starting | LifecycleState::Serving | LifecycleState::Stopping,
                LifecycleInput::End,
            ) => {
                self.state = LifecycleState::Ended;
                LifecycleOutput::Nothing
            }
            (LifecycleState::Serving, LifecycleInput::Handover(input)) => {
                self.step_handover(HandoverSender::default(), input, now)
            }
            (LifecycleState::Handover(sender), LifecycleInput::Handover(input)) => {
                self.step_handover(sender, input, now)
            }
            (_, LifecycleInput::Handover(SenderInput::Requested)) => {
                LifecycleOutput::Handover(SenderOutput::Busy)
            }
            // What changed now would not be among what is handed over.
            (
                LifecycleState::Handover(_),
                LifecycleInput::Drain(drain::DrainInput::Drain | drain::DrainInput::Undrain),
            )
            | (LifecycleState::Ended, LifecycleInput::Drain(_)) => LifecycleOutput::Nothing,
            (_, LifecycleInput::Drain(input)) => match self.drain.step(input, now) {
                drain::DrainOutput::Nothing => LifecycleOutput::Nothing,
                output => LifecycleOutput::Drain(output),
            },
            _ => LifecycleOutput::Nothing,
        }
    }

    fn stop(&mut self, now: Micros) -> LifecycleOutput {
        self.stop = self.stop.or(Some(now));
        match self.state {
            LifecycleState::Starting => {
                self.state = LifecycleState::Ended;
                LifecycleOutput::Exit
            }
            LifecycleState::Serving => {
                self.state = LifecycleState::Stopping;
                LifecycleOutput::Stop
            }
            _ => LifecycleOutput::Nothing,
        }
    }

    fn step_handover(
        &mut self,
        mut sender: HandoverSender,
        input: SenderInput,
        now: Micros,
    ) -> LifecycleOutput {
        let output = sender.step(input, now);
        self.state = match sender.state() {
            SenderState::Deciding if self.stop.is_some() => LifecycleState::Stopping,
            SenderState::Deciding => LifecycleState::Serving,
            SenderState::Collecting { .. } | SenderState::Sending { .. } => LifecycleState::Handover(sender),
            SenderState::Gone => LifecycleState::Ended,
        };
        if output == SenderOutput::Nothing {
            LifecycleOutput::Nothing
        } else {
            LifecycleOutput::Handover(output)
        }
    }
}

/// A life that these inputs lead to, all of them at one moment.
fn after(inputs: &[LifecycleInput]) -> Lifecycle {
    let mut lifecycle = Lifecycle::default();
    for input in inputs {
        lifecycle.step(*input, 0);
    }
    lifecycle
}

impl Machine for Lifecycle {
    type Input = (LifecycleInput, Micros);
    const NAME: &'static str = "A courier's lifecycle";
    const ABOUT: &'static str = "`courier/core/src/machine/lifecycle.rs`: from its start to its end. It holds the courier's drain and \
        the sender of an upgrade, whose own tables follow; a drain goes along through a hand-over, a stop and back.";

    fn states() -> Vec<(&'static str, &'static str, Self)> {
        use LifecycleInput::{Handover, Serve, Stop};
        use SenderInput::{Collected, Received, Requested};
        let drain = LifecycleInput::Drain(drain::DrainInput::Drain);
        vec![
            ("Starting", "what an earlier life left is taken up", after(&[])),
            ("Serving", "messages are taken on", after(&[Serve])),
            ("Drained", "the same, and the front is told no", after(&[Serve, drain])),
            (
                "Collecting",
                "tasks give up their parts to another process",
                after(&[Serve, Handover(Requested)]),
            ),
            (
                "CollectingStopRequested",
                "the same, and it is to stop",
                after(&[Serve, Handover(Requested), Stop]),
            ),
            (
                "Sending",
                "nothing is decided; all is on its way",
                after(&[Serve, Handover(Requested), Handover(Collected)]),
            ),
            (
                "SendingStopRequested",
                "the same, and it is to stop",
                after(&[Serve, Handover(Requested), Handover(Collected), Stop]),
            ),
            ("Stopping", "the planned stop", after(&[Serve, Stop])),
            (
                "Ended",
                "another process decides, or the planned stop is done",
                after(&[Serve, Handover(Requested), Handover(Collected), Handover(Received)]),
            ),
        ]
    }

    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)> {
        use super::handover::TRANSFER_TIMEOUT;
        vec![
            ("serve", "all that an earlier life left is taken up", (LifecycleInput::Serve, 0)),
            ("DRAIN", "the operators' call", (LifecycleInput::Drain(drain::DrainInput::Drain), 0)),
            ("UNDRAIN", "the operators' call", (LifecycleInput::Drain(drain::DrainInput::Undrain), 0)),
            (
                "look",
                "the time to look for connections that rest",
                (LifecycleInput::Drain(drain::DrainInput::Tick), drain::FRONT_GRACE),
            ),
            ("stop", "SIGTERM or SIGINT", (LifecycleInput::Stop, 0)),
            (
                "asked",
                "another process wants to take over",
                (LifecycleInput::Handover(SenderInput::Requested), 0),
            ),
            (
                "collected",
                "each task has given up its part",
                (LifecycleInput::Handover(SenderInput::Collected), 0),
            ),
            ("got", "the other process has all of it", (LifecycleInput::Handover(SenderInput::Received), 0)),
            (
                "lost",
                "the other process's connection broke",
                (LifecycleInput::Handover(SenderInput::Lost), 0),
            ),
            (
                "tick",
                "the hand-over's time is up",
                (LifecycleInput::Handover(SenderInput::Tick), TRANSFER_TIMEOUT),
            ),
            (
                "end",
                "the planned stop is done, or its fleet has given all to others",
                (LifecycleInput::End, 0),
            ),
        ]
    }

    fn state(&self) -> &'static str {
        match self.state {
            LifecycleState::Starting => "Starting",
            LifecycleState::Serving if self.drain.is_drained() => "Drained",
            LifecycleState::Serving => "Serving",
            LifecycleState::Handover(sender) => match (sender.state(), self.stop) {
                (SenderState::Sending { .. }, None) => "Sending",
                (SenderState::Sending { .. }, Some(_)) => "SendingStopRequested",
                (_, None) => "Collecting",
                (_, Some(_)) => "CollectingStopRequested",
            },
            LifecycleState::Stopping => "Stopping",
            LifecycleState::Ended => "Ended",
        }
    }

    fn apply(&mut self, (input, now): Self::Input) -> String {
        match self.step(input, now) {
            LifecycleOutput::Nothing => "",
            LifecycleOutput::Handover(SenderOutput::Nothing) => "",
            LifecycleOutput::Handover(SenderOutput::Collect) => "collect",
            LifecycleOutput::Handover(SenderOutput::Send) => "send all",
            LifecycleOutput::Handover(SenderOutput::TakeBack) => "take back",
            LifecycleOutput::Handover(SenderOutput::Release) => "let go of the lock, say so",
            LifecycleOutput::Handover(SenderOutput::Busy) => "say busy",
            LifecycleOutput::Drain(drain::DrainOutput::Nothing) => "",
            LifecycleOutput::Drain(drain::DrainOutput::CloseAfterAnswers) => "answers end their connections",
            LifecycleOutput::Drain(drain::DrainOutput::CloseIdle) => "connections at rest are to leave",
            LifecycleOutput::Drain(drain::DrainOutput::KeepConnections) => "connections are kept",
            LifecycleOutput::Stop => "begin the planned stop",
            LifecycleOutput::Exit => "end the process",
        }
        .to_string()
    }
}
