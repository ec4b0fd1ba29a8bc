//! The lifecycle of a courier's process: whether it serves, wants clients, hands over or shuts down.
//!
//! It composes the [`Drain`] and the [`HandoverSender`], whose outputs it passes on.

use super::drain::{self, Drain};
use super::handover::{HandoverSender, SenderInput, SenderOutput, SenderState};
use super::transition_table::{Example, Machine, examples};
use quillmount_policy::Micros;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum LifecycleState {
    /// What an earlier process left is being restored.
    #[default]
    Starting,
    Serving,
    /// Another process has requested a handover, which is under way.
    Handover(HandoverSender),
    /// The graceful shutdown.
    Stopping,
    /// Another process decides, or the graceful shutdown is done.
    Ended,
}

/// What happens to a [`Lifecycle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleInput {
    /// All that an earlier process left is restored.
    Serve,
    /// Something happened in the handover to another process.
    Handover(SenderInput),
    /// Operators drain the courier or end the drain, or the drain's timer is due.
    Drain(drain::DrainInput),
    /// A signal requests the graceful shutdown.
    Stop,
    /// The graceful shutdown is done, or the fleet has given all to other couriers.
    End,
}

/// What the driver of a [`Lifecycle`] is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleOutput {
    /// Nothing.
    Nothing,
    /// This, for the handover.
    Handover(SenderOutput),
    /// This, for the drain.
    Drain(drain::DrainOutput),
    /// Begin the graceful shutdown.
    Stop,
    /// End the process: there is nothing to shut down.
    Exit,
}

/// The machine of the lifecycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lifecycle {
    state: LifecycleState,
    drain: Drain,
    /// When the first signal arrived that requested the graceful shutdown. During a handover it waits: a process that still has
    /// the lock afterwards shuts down, one that has released it has nothing left to shut down.
    stop: Option<Micros>,
}

impl Lifecycle {
    /// It accepts messages, and operators see that it is ready.
    pub fn is_serving(&self) -> bool {
        matches!(self.state, LifecycleState::Serving | LifecycleState::Handover(_))
    }

    /// The front may send clients here.
    pub fn accepts_clients(&self) -> bool {
        self.is_serving() && self.stop.is_none() && !self.drain.is_drained()
    }

    /// Operators have drained it: the front is notified that it is not ready.
    pub fn is_drained(&self) -> bool {
        self.drain.is_drained()
    }

    /// Tasks release their parts to another process, or have done so.
    pub fn is_releasing(&self) -> bool {
        matches!(self.state, LifecycleState::Handover(_) | LifecycleState::Ended)
    }

    /// No decisions are made here, temporarily or permanently.
    pub fn is_frozen(&self) -> bool {
        match self.state {
            LifecycleState::Handover(sender) => matches!(sender.state(), SenderState::Sending { .. }),
            state => state == LifecycleState::Ended,
        }
    }

    /// When the signal arrived whose graceful shutdown is under way.
    pub fn stopping(&self) -> Option<Micros> {
        self.stop.filter(|_| self.state == LifecycleState::Stopping)
    }

    /// Another process restores what is dropped from now on.
    pub fn has_ended(&self) -> bool {
        self.state == LifecycleState::Ended
    }

    /// A signal has requested the graceful shutdown.
    pub fn stop_requested(&self) -> bool {
        self.stop.is_some()
    }

    /// When a tick of the handover is due.
    pub fn handover_deadline(&self) -> Option<Micros> {
        match &self.state {
            LifecycleState::Handover(sender) => sender.wake_at(),
            _ => None,
        }
    }

    /// When a tick of the drain is due.
    pub fn drain_check_at(&self) -> Option<Micros> {
        self.drain.wake_at().filter(|_| self.state != LifecycleState::Ended)
    }

    /// Applies an input at the time `now`.
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
            // A change would not be in the state that is handed over.
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

/// The lifecycle that these inputs lead to, all of them at one time.
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
    const ABOUT: &'static str = "`courier/core/src/machine/lifecycle.rs`: from its start to its end. It contains the courier's drain \
        and the sender of a handover, whose own tables follow; a drain stays in effect through a handover, a stop and back.";

    fn states() -> Vec<Example<Self>> {
        use LifecycleInput::{Handover, Serve, Stop};
        use SenderInput::{Collected, Received, Requested};
        let drain = LifecycleInput::Drain(drain::DrainInput::Drain);
        examples([
            ("Starting", "the state of an earlier process is restored", after(&[])),
            ("Serving", "messages are accepted", after(&[Serve])),
            (
                "Drained",
                "the same, and the front is notified that the courier is not ready",
                after(&[Serve, drain]),
            ),
            (
                "Collecting",
                "tasks release their parts to another process",
                after(&[Serve, Handover(Requested)]),
            ),
            (
                "CollectingStopRequested",
                "the same, and a stop was requested",
                after(&[Serve, Handover(Requested), Stop]),
            ),
            (
                "Sending",
                "all parts are sent; no decisions are made",
                after(&[Serve, Handover(Requested), Handover(Collected)]),
            ),
            (
                "SendingStopRequested",
                "the same, and a stop was requested",
                after(&[Serve, Handover(Requested), Handover(Collected), Stop]),
            ),
            ("Stopping", "graceful shutdown", after(&[Serve, Stop])),
            (
                "Ended",
                "another process decides, or the shutdown is complete",
                after(&[Serve, Handover(Requested), Handover(Collected), Handover(Received)]),
            ),
        ])
    }

    fn inputs() -> Vec<Example<Self::Input>> {
        use super::handover::TRANSFER_TIMEOUT;
        examples([
            ("serve", "the state of an earlier process is restored completely", (LifecycleInput::Serve, 0)),
            ("DRAIN", "the operators' command", (LifecycleInput::Drain(drain::DrainInput::Drain), 0)),
            ("UNDRAIN", "the operators' command", (LifecycleInput::Drain(drain::DrainInput::Undrain), 0)),
            (
                "drain tick",
                "the time to close idle connections",
                (LifecycleInput::Drain(drain::DrainInput::Tick), drain::FRONT_GRACE),
            ),
            ("stop", "SIGTERM or SIGINT", (LifecycleInput::Stop, 0)),
            (
                "requested",
                "another process requests a handover",
                (LifecycleInput::Handover(SenderInput::Requested), 0),
            ),
            (
                "collected",
                "each task has released its part",
                (LifecycleInput::Handover(SenderInput::Collected), 0),
            ),
            (
                "received",
                "the other process has all parts",
                (LifecycleInput::Handover(SenderInput::Received), 0),
            ),
            (
                "lost",
                "the other process's connection broke",
                (LifecycleInput::Handover(SenderInput::Lost), 0),
            ),
            (
                "tick",
                "the time-out of the handover has passed",
                (LifecycleInput::Handover(SenderInput::Tick), TRANSFER_TIMEOUT),
            ),
            (
                "end",
                "the shutdown is complete, or the fleet has transferred all messages to other couriers",
                (LifecycleInput::End, 0),
            ),
        ])
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
            LifecycleOutput::Handover(SenderOutput::Collect) => "collect parts",
            LifecycleOutput::Handover(SenderOutput::Send) => "send all parts",
            LifecycleOutput::Handover(SenderOutput::TakeBack) => "resume the parts",
            LifecycleOutput::Handover(SenderOutput::Release) => "release the lock and report it",
            LifecycleOutput::Handover(SenderOutput::Busy) => "answer that it is busy",
            LifecycleOutput::Drain(drain::DrainOutput::Nothing) => "",
            LifecycleOutput::Drain(drain::DrainOutput::CloseAfterAnswers) => {
                "close connections after answers"
            }
            LifecycleOutput::Drain(drain::DrainOutput::CloseIdle) => "close idle connections",
            LifecycleOutput::Drain(drain::DrainOutput::KeepConnections) => "keep connections",
            LifecycleOutput::Stop => "begin the shutdown",
            LifecycleOutput::Exit => "end the process",
        }
        .to_string()
    }
}
