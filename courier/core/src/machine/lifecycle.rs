//! The lifecycle of a courier's process: start, service, drain, handover and shutdown.
//!
//! It contains the [`Drain`] and the [`HandoverSender`], and returns their outputs as its own.

use super::drain::{self, Drain};
use super::handover::{HandoverSender, SenderInput, SenderOutput, SenderState};
use super::transition_table::{Example, Machine, examples};
use quillmount_policy::Micros;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum LifecycleState {
    /// The state of an earlier process is being restored.
    #[default]
    Starting,
    Serving,
    /// A handover to another process is in progress.
    Handover(HandoverSender),
    /// The graceful shutdown is in progress.
    Stopping,
    /// Another process makes the decisions, or the graceful shutdown is complete.
    Ended,
}

/// An input of a [`Lifecycle`]: progress of the start or the shutdown, a signal, or an event of the handover or drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleInput {
    /// The state of an earlier process is completely restored.
    Serve,
    /// An event of the handover to another process.
    Handover(SenderInput),
    /// An operator drains the courier or ends the drain, or the timer of the drain is due.
    Drain(drain::DrainInput),
    /// A signal requests the graceful shutdown.
    Stop,
    /// The graceful shutdown is complete, or the fleet has transferred all messages to other couriers.
    End,
}

/// What the driver of a [`Lifecycle`] must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleOutput {
    /// No action.
    Nothing,
    /// An output of the handover.
    Handover(SenderOutput),
    /// An output of the drain.
    Drain(drain::DrainOutput),
    /// Begin the graceful shutdown.
    Stop,
    /// Exit at once, without a graceful shutdown.
    Exit,
}

/// The state machine of the lifecycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lifecycle {
    state: LifecycleState,
    drain: Drain,
    /// The time of the first signal that requested the graceful shutdown. During a handover the shutdown is deferred: if the
    /// handover is abandoned, the process still holds the lock and shuts down afterwards; if it is completed, the process
    /// has nothing left to shut down.
    stop_requested_at: Option<Micros>,
}

impl Lifecycle {
    /// Whether the process accepts messages and reports to operators that it is ready.
    pub fn is_serving(&self) -> bool {
        matches!(self.state, LifecycleState::Serving | LifecycleState::Handover(_))
    }

    /// Whether the load balancer may assign clients to this process.
    pub fn accepts_clients(&self) -> bool {
        self.is_serving() && self.stop_requested_at.is_none() && !self.drain.is_drained()
    }

    /// Whether operators have drained the courier, so that readiness checks of the load balancer fail.
    pub fn is_drained(&self) -> bool {
        self.drain.is_drained()
    }

    /// Whether tasks must release their parts to another process, or have released them.
    pub fn is_releasing(&self) -> bool {
        matches!(self.state, LifecycleState::Handover(_) | LifecycleState::Ended)
    }

    /// Whether this process must make no decisions, because the receiver of a handover may already make them.
    pub fn is_frozen(&self) -> bool {
        match self.state {
            LifecycleState::Handover(sender) => matches!(sender.state(), SenderState::Sending { .. }),
            state => state == LifecycleState::Ended,
        }
    }

    /// The time of the signal that requested the shutdown, while the graceful shutdown is in progress.
    pub fn stopping_since(&self) -> Option<Micros> {
        self.stop_requested_at.filter(|_| self.state == LifecycleState::Stopping)
    }

    /// Whether the process has ended its work. State that it drops from now on is restored by another process.
    pub fn has_ended(&self) -> bool {
        self.state == LifecycleState::Ended
    }

    /// Whether a signal has requested the graceful shutdown, which may still be deferred by a handover.
    pub fn stop_requested(&self) -> bool {
        self.stop_requested_at.is_some()
    }

    /// The time at which a tick of the handover is due, if a handover is in progress.
    pub fn handover_deadline(&self) -> Option<Micros> {
        match &self.state {
            LifecycleState::Handover(sender) => sender.wake_at(),
            _ => None,
        }
    }

    /// The time at which a tick of the drain is due, if the courier is drained.
    pub fn drain_check_at(&self) -> Option<Micros> {
        self.drain.wake_at().filter(|_| self.state != LifecycleState::Ended)
    }

    /// Applies an input at the time `now`, in microseconds.
    pub fn step(&mut self, input: LifecycleInput, now: Micros) -> LifecycleOutput {
        match (self.state, input) {
            (LifecycleState::Starting, LifecycleInput::Serve) => {
                self.state = LifecycleState::Serving;
                LifecycleOutput::Nothing
            }
            (
                LifecycleState::Starting | LifecycleState::Serving | LifecycleState::Handover(_),
                LifecycleInput::Stop,
            ) => self.request_stop(now),
            (LifecycleState::Ended, LifecycleInput::Stop) => {
                self.stop_requested_at = self.stop_requested_at.or(Some(now));
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
            // A change now would not be part of the transferred state.
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

    fn request_stop(&mut self, now: Micros) -> LifecycleOutput {
        self.stop_requested_at = self.stop_requested_at.or(Some(now));
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
            SenderState::Deciding if self.stop_requested_at.is_some() => LifecycleState::Stopping,
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

/// The lifecycle after these inputs, all applied at time 0.
fn lifecycle_after(inputs: &[LifecycleInput]) -> Lifecycle {
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
        and the sender of a handover, whose own tables follow; a drain stays in effect during a handover and a stop, and after an abandoned handover.";

    fn states() -> Vec<Example<Self>> {
        use LifecycleInput::{Handover, Serve, Stop};
        use SenderInput::{Collected, Received, Requested};
        let drain = LifecycleInput::Drain(drain::DrainInput::Drain);
        examples([
            ("Starting", "the state of an earlier process is restored", lifecycle_after(&[])),
            ("Serving", "messages are accepted", lifecycle_after(&[Serve])),
            (
                "Drained",
                "the same, and readiness checks of the load balancer fail",
                lifecycle_after(&[Serve, drain]),
            ),
            (
                "Collecting",
                "tasks release their parts to another process",
                lifecycle_after(&[Serve, Handover(Requested)]),
            ),
            (
                "CollectingStopRequested",
                "the same, and a stop was requested",
                lifecycle_after(&[Serve, Handover(Requested), Stop]),
            ),
            (
                "Sending",
                "all parts are sent; no decisions are made",
                lifecycle_after(&[Serve, Handover(Requested), Handover(Collected)]),
            ),
            (
                "SendingStopRequested",
                "the same, and a stop was requested",
                lifecycle_after(&[Serve, Handover(Requested), Handover(Collected), Stop]),
            ),
            ("Stopping", "graceful shutdown", lifecycle_after(&[Serve, Stop])),
            (
                "Ended",
                "another process makes the decisions, or the shutdown is complete",
                lifecycle_after(&[Serve, Handover(Requested), Handover(Collected), Handover(Received)]),
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
                (LifecycleInput::Drain(drain::DrainInput::Tick), drain::LOAD_BALANCER_GRACE),
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
                "the timeout of the handover has expired",
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
            LifecycleState::Handover(sender) => match (sender.state(), self.stop_requested_at) {
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
            LifecycleOutput::Handover(SenderOutput::ResumeParts) => "resume the parts",
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
