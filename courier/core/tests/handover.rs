//! Explores every order of the steps of handovers among three processes, with a crash of any process between any two steps.
//!
//! The state machines are those of the courier. The lock, the connection and the journal are modelled here.

use quillmount_core::machine::handover::*;
use std::collections::{BTreeSet, HashSet};

/// The maximum number of decisions that are written to the journal in a run.
const MAX_DECISIONS: u8 = 2;

/// An injected fault, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The receiver resumes although the journal has grown, because a third process has held the lock meanwhile.
    JournalUnread,
    /// The sender resumes its parts although the receiver has confirmed them.
    ResumesPartsConfirmed,
    /// The receiver resumes although the sender has not released the lock.
    ResumesUnreleased,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Message {
    Request,
    /// The transferred state: the number of decisions.
    State(u8),
    Received,
    Released,
    Busy,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Process {
    NotStarted,
    /// Has not resumed; `received_state` is the transferred state, if it was received.
    Receiving {
        machine: HandoverReceiver,
        received_state: Option<u8>,
    },
    /// Makes the decisions or hands over; `decisions` is the number of decisions in its state.
    Deciding {
        machine: HandoverSender,
        decisions: u8,
    },
    Killed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    processes: [Process; 3],
    lock: Option<usize>,
    written: u8,
    /// Receiver and sender of the connection, and the messages in transit.
    connection: Option<(usize, usize)>,
    to_sender: Vec<Message>,
    to_receiver: Vec<Message>,
}

impl World {
    fn new() -> World {
        let first = Process::Deciding { machine: HandoverSender::default(), decisions: 0 };
        let processes = [first, Process::NotStarted, Process::NotStarted];
        World {
            processes,
            lock: Some(0),
            written: 0,
            connection: None,
            to_sender: Vec::new(),
            to_receiver: Vec::new(),
        }
    }

    fn violation(&self) -> Option<String> {
        let deciders: Vec<usize> = (0..3).filter(|n| self.decides(*n)).collect();
        for n in &deciders {
            if self.lock != Some(*n) {
                return Some(format!("process {n} decides without the lock"));
            }
            if let Process::Deciding { decisions, .. } = self.processes[*n]
                && decisions != self.written
            {
                return Some(format!(
                    "process {n} decides and knows {decisions} of {} decisions",
                    self.written
                ));
            }
        }
        None
    }

    fn decides(&self, n: usize) -> bool {
        let Process::Deciding { machine, .. } = self.processes[n] else { return false };
        matches!(machine.state(), SenderState::Deciding | SenderState::Collecting { .. })
    }

    /// All worlds that can follow this one.
    fn successors(&self, fault: Fault) -> Vec<World> {
        let mut all = Vec::new();
        for n in 0..3 {
            match self.processes[n] {
                // The second and the third process start at any time: an upgrade during another one.
                Process::NotStarted if n > 0 => {
                    let mut w = self.clone();
                    w.processes[n] =
                        Process::Receiving { machine: HandoverReceiver::new(0), received_state: None };
                    all.push(w);
                }
                Process::NotStarted | Process::Killed => {}
                Process::Receiving { machine, received_state } => {
                    all.push(self.killed(n));
                    all.extend(self.tick_receiver(n, machine, received_state, fault));
                }
                Process::Deciding { machine, decisions } => {
                    all.push(self.killed(n));
                    if self.decides(n) && self.written < MAX_DECISIONS {
                        let mut w = self.clone();
                        w.written += 1;
                        w.processes[n] = Process::Deciding { machine, decisions: decisions + 1 };
                        all.push(w);
                    }
                    if matches!(machine.state(), SenderState::Collecting { .. }) {
                        all.push(self.step_sender(n, machine, decisions, SenderInput::Collected, 0, fault));
                    }
                    if let Some(until) = machine.wake_at() {
                        all.push(self.step_sender(n, machine, decisions, SenderInput::Tick, until, fault));
                    }
                }
            }
        }
        all.extend(self.deliveries(fault));
        all
    }

    fn killed(&self, n: usize) -> World {
        let mut w = self.clone();
        w.processes[n] = Process::Killed;
        if w.lock == Some(n) {
            w.lock = None;
        }
        w.disconnect(n);
        w
    }

    /// Closes the connection of a process. Its peer receives the messages in transit, then the end.
    fn disconnect(&mut self, n: usize) {
        let Some((receiver, sender)) =
            self.connection.filter(|(receiver, sender)| n == *receiver || n == *sender)
        else {
            return;
        };
        self.connection = None;
        self.to_sender.clear();
        let messages = std::mem::take(&mut self.to_receiver);
        if n == receiver {
            if let Process::Deciding { machine, decisions } = self.processes[sender] {
                *self = self.step_sender(sender, machine, decisions, SenderInput::Lost, 0, Fault::None);
            }
        } else if let Process::Receiving { .. } = self.processes[receiver] {
            for message in messages {
                self.deliver_to_receiver(receiver, message, Fault::None);
            }
            if let Process::Receiving { machine, .. } = self.processes[receiver] {
                self.step_receiver(receiver, machine, None, ReceiverInput::Lost, 0, Fault::None);
            }
        }
    }

    /// Applies an input to the sender and carries out its output.
    #[expect(clippy::too_many_arguments, reason = "a step of one process with all that it depends on")]
    fn step_sender(
        &self,
        n: usize,
        mut machine: HandoverSender,
        decisions: u8,
        input: SenderInput,
        now: u64,
        fault: Fault,
    ) -> World {
        let mut w = self.clone();
        if fault == Fault::ResumesPartsConfirmed && input == SenderInput::Received {
            // It releases the lock, but continues to decide as before.
            w.lock = None;
            w.to_receiver.push(Message::Released);
            w.processes[n] = Process::Deciding { machine: HandoverSender::default(), decisions };
            return w;
        }
        let output = machine.step(input, now);
        w.processes[n] = Process::Deciding { machine, decisions };
        match output {
            SenderOutput::Send => w.to_receiver.push(Message::State(decisions)),
            SenderOutput::Release => {
                w.lock = None;
                w.to_receiver.push(Message::Released);
            }
            SenderOutput::ResumeParts => {
                if let Some((receiver, _)) = w.connection.filter(|(_, sender)| *sender == n) {
                    w.connection = None;
                    w.to_sender.clear();
                    w.to_receiver.clear();
                    if let Process::Receiving { machine, .. } = w.processes[receiver] {
                        w.step_receiver(receiver, machine, None, ReceiverInput::Lost, 0, fault);
                    }
                }
            }
            SenderOutput::Busy => w.to_receiver.push(Message::Busy),
            SenderOutput::Nothing | SenderOutput::Collect => {}
        }
        w
    }

    fn tick_receiver(
        &self,
        n: usize,
        machine: HandoverReceiver,
        received_state: Option<u8>,
        fault: Fault,
    ) -> Vec<World> {
        let Some(until) = machine.wake_at() else { return Vec::new() };
        let mut w = self.clone();
        w.step_receiver(n, machine, received_state, ReceiverInput::Tick, until, fault);
        vec![w]
    }

    /// Applies an input to the receiver and carries out its output.
    #[expect(clippy::too_many_arguments, reason = "a step of one process with all that it depends on")]
    fn step_receiver(
        &mut self,
        n: usize,
        mut machine: HandoverReceiver,
        received_state: Option<u8>,
        input: ReceiverInput,
        now: u64,
        fault: Fault,
    ) {
        if fault == Fault::ResumesUnreleased && input == ReceiverInput::Complete {
            self.processes[n] = Process::Deciding {
                machine: HandoverSender::default(),
                decisions: received_state.unwrap_or(0),
            };
            return;
        }
        let mut output = machine.step(input, now);
        let mut received_state = received_state;
        if matches!(machine.state(), ReceiverState::Locking { .. }) && input == ReceiverInput::Tick {
            // The messages in transit to the receiver are lost.
            self.disconnect_receiver(n);
        }
        loop {
            self.processes[n] = Process::Receiving { machine, received_state };
            output = match output {
                ReceiverOutput::Nothing => return,
                ReceiverOutput::Lock if self.lock.is_none() => {
                    self.lock = Some(n);
                    machine.step(ReceiverInput::Locked, 0)
                }
                ReceiverOutput::Lock => machine.step(ReceiverInput::LockTaken, 0),
                ReceiverOutput::Request => match self.lock {
                    Some(owner)
                        if self.connection.is_none()
                            && matches!(self.processes[owner], Process::Deciding { .. }) =>
                    {
                        received_state = None;
                        self.connection = Some((n, owner));
                        self.to_sender.push(Message::Request);
                        ReceiverOutput::Nothing
                    }
                    // The owner serves another process, is starting, or has ended.
                    _ => machine.step(ReceiverInput::Busy, 0),
                },
                ReceiverOutput::Confirm => {
                    self.to_sender.push(Message::Received);
                    ReceiverOutput::Nothing
                }
                ReceiverOutput::KillOwner => {
                    if let Some(owner) = self.lock {
                        *self = self.killed(owner);
                    }
                    ReceiverOutput::Nothing
                }
                ReceiverOutput::Resume => {
                    // The journal shows whether decisions were written after the transfer.
                    let stale = received_state != Some(self.written) && fault != Fault::JournalUnread;
                    let decisions =
                        if stale { self.written } else { received_state.expect("the state was handed over") };
                    self.processes[n] = Process::Deciding { machine: HandoverSender::default(), decisions };
                    return;
                }
                ReceiverOutput::Restore => {
                    self.processes[n] =
                        Process::Deciding { machine: HandoverSender::default(), decisions: self.written };
                    return;
                }
            };
        }
    }

    fn disconnect_receiver(&mut self, n: usize) {
        if let Some((_, sender)) = self.connection.filter(|(receiver, _)| *receiver == n) {
            self.connection = None;
            self.to_sender.clear();
            self.to_receiver.clear();
            if let Process::Deciding { machine, decisions } = self.processes[sender] {
                *self = self.step_sender(sender, machine, decisions, SenderInput::Lost, 0, Fault::None);
            }
        }
    }

    fn deliver_to_receiver(&mut self, n: usize, message: Message, fault: Fault) {
        let Process::Receiving { machine, received_state } = self.processes[n] else { return };
        match message {
            Message::State(decisions) => {
                self.step_receiver(n, machine, Some(decisions), ReceiverInput::Complete, 0, fault);
            }
            Message::Released => {
                self.connection = None;
                self.to_sender.clear();
                self.step_receiver(n, machine, received_state, ReceiverInput::Released, 0, fault);
            }
            Message::Busy => self.step_receiver(n, machine, received_state, ReceiverInput::Busy, 0, fault),
            Message::Request | Message::Received => {}
        }
    }

    /// Delivers one message on either side.
    fn deliveries(&self, fault: Fault) -> Vec<World> {
        let (mut all, Some((receiver, sender))) = (Vec::new(), self.connection) else { return Vec::new() };
        if let (Some(message), Process::Deciding { machine, decisions }) =
            (self.to_sender.first(), self.processes[sender])
        {
            let mut w = self.clone();
            w.to_sender.remove(0);
            let input =
                if *message == Message::Request { SenderInput::Requested } else { SenderInput::Received };
            all.push(w.step_sender(sender, machine, decisions, input, 0, fault));
        }
        if let Some(message) = self.to_receiver.first() {
            let mut w = self.clone();
            w.to_receiver.remove(0);
            w.deliver_to_receiver(receiver, *message, fault);
            all.push(w);
        }
        all
    }
}

/// Explores the reachable worlds. Returns those visited, and a violation if one was found.
fn search(fault: Fault) -> (HashSet<World>, Option<String>) {
    let (mut visited, mut pending) = (HashSet::from([World::new()]), vec![World::new()]);
    while let Some(world) = pending.pop() {
        if let Some(violation) = world.violation() {
            return (visited, Some(violation));
        }
        for next in world.successors(fault) {
            if visited.insert(next.clone()) {
                pending.push(next);
            }
        }
    }
    (visited, None)
}

#[test]
fn at_any_time_one_process_decides_and_knows_all_earlier_decisions() {
    let (visited, violation) = search(Fault::None);
    assert_eq!(violation, None);
    // All outcomes were reached.
    let outcomes: BTreeSet<&str> = visited
        .iter()
        .flat_map(|w| w.processes)
        .filter_map(|process| match process {
            Process::Deciding { machine, .. } if machine.state() == SenderState::Gone => Some("gone"),
            Process::Receiving { machine, .. } => match machine.state() {
                ReceiverState::Requesting { .. } => Some("requesting"),
                ReceiverState::Confirming { .. } => Some("confirming"),
                _ => None,
            },
            _ => None,
        })
        .collect();
    assert_eq!(outcomes.into_iter().collect::<Vec<_>>(), ["confirming", "gone", "requesting"]);
    assert!(visited.len() > 1_000, "{} states", visited.len());
    println!("{} states", visited.len());
}

#[test]
fn each_injected_fault_is_found() {
    for fault in [Fault::JournalUnread, Fault::ResumesPartsConfirmed, Fault::ResumesUnreleased] {
        assert!(search(fault).1.is_some(), "{fault:?} is not found");
    }
}

/// If the owner is killed or hands over to a third process, the new owner of the lock gets a request before it is killed,
/// however long the receiver has waited before.
#[test]
fn a_new_owner_of_the_lock_is_asked_before_it_is_killed() {
    let mut receiver = HandoverReceiver::new(0);
    let mut now = 0;
    let try_lock = |receiver: &mut HandoverReceiver, now: u64| {
        assert_eq!(receiver.step(ReceiverInput::Tick, now), ReceiverOutput::Lock);
        receiver.step(ReceiverInput::LockTaken, now)
    };
    // The owner answers that it is busy until it is killed, as if it started slowly or served another process.
    let mut kills = 0;
    while kills == 0 {
        match try_lock(&mut receiver, now) {
            ReceiverOutput::Request => {
                assert_eq!(receiver.step(ReceiverInput::Busy, now), ReceiverOutput::Nothing);
            }
            output => {
                assert_eq!((output, now >= KILL_OWNER_AFTER), (ReceiverOutput::KillOwner, true));
                kills += 1;
            }
        }
        now += LOCK_RETRY_INTERVAL;
    }
    assert_eq!(try_lock(&mut receiver, now), ReceiverOutput::Request, "another process holds the lock");
    assert_eq!(receiver.step(ReceiverInput::Complete, now), ReceiverOutput::Confirm);
    assert_eq!(receiver.step(ReceiverInput::Released, now), ReceiverOutput::Lock);
    assert_eq!(receiver.step(ReceiverInput::Locked, now), ReceiverOutput::Resume);
}
