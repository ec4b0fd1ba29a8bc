//! Every order of the steps of a handover between two processes, with a crash of each between any two steps.
//!
//! The machines are the courier's own; the lock, the socket and the journal are modelled here.

use quillmount_core::machine::handover::*;
use std::collections::{BTreeSet, HashSet};

/// Decisions that are written in one run of the world.
const WRITES: u8 = 2;

/// An injected fault, which the search has to find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The receiver resumes although the journal has grown since: a third process may have had the lock.
    JournalUnread,
    /// The sender resumes its parts although the receiver has confirmed them.
    TakesBackConfirmed,
    /// The receiver resumes although the sender has not released the lock.
    ResumesUnreleased,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Message {
    Request,
    /// The state of the decisions, as their count.
    State(u8),
    Received,
    Released,
    Busy,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Process {
    NotStarted,
    /// `has`: the state that was handed over.
    Receiving {
        machine: HandoverReceiver,
        has: Option<u8>,
    },
    /// `known`: the decisions that it knows of.
    Deciding {
        machine: HandoverSender,
        known: u8,
    },
    Killed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    all: [Process; 3],
    lock: Option<usize>,
    written: u8,
    /// Receiver and sender of the connection, and the messages in transit.
    connection: Option<(usize, usize)>,
    to_sender: Vec<Message>,
    to_receiver: Vec<Message>,
}

impl World {
    fn new() -> World {
        let first = Process::Deciding { machine: HandoverSender::default(), known: 0 };
        let all = [first, Process::NotStarted, Process::NotStarted];
        World {
            all,
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
            if let Process::Deciding { known, .. } = self.all[*n]
                && known != self.written
            {
                return Some(format!("process {n} decides and knows {known} of {} decisions", self.written));
            }
        }
        None
    }

    fn decides(&self, n: usize) -> bool {
        let Process::Deciding { machine, .. } = self.all[n] else { return false };
        matches!(machine.state(), SenderState::Deciding | SenderState::Collecting { .. })
    }

    /// All that may happen next.
    fn next(&self, fault: Fault) -> Vec<World> {
        let mut all = Vec::new();
        for n in 0..3 {
            match self.all[n] {
                // The second process starts at any time, and so does the third: an upgrade during another one.
                Process::NotStarted if n > 0 => {
                    let mut w = self.clone();
                    w.all[n] = Process::Receiving { machine: HandoverReceiver::new(0), has: None };
                    all.push(w);
                }
                Process::NotStarted | Process::Killed => {}
                Process::Receiving { machine, has } => {
                    all.push(self.killed(n));
                    all.extend(self.tick_receiver(n, machine, has, fault));
                }
                Process::Deciding { machine, known } => {
                    all.push(self.killed(n));
                    if self.decides(n) && self.written < WRITES {
                        let mut w = self.clone();
                        w.written += 1;
                        w.all[n] = Process::Deciding { machine, known: known + 1 };
                        all.push(w);
                    }
                    if matches!(machine.state(), SenderState::Collecting { .. }) {
                        all.push(self.step_sender(n, machine, known, SenderInput::Collected, 0, fault));
                    }
                    if let Some(until) = machine.wake_at() {
                        all.push(self.step_sender(n, machine, known, SenderInput::Tick, until, fault));
                    }
                }
            }
        }
        all.extend(self.deliveries(fault));
        all
    }

    fn killed(&self, n: usize) -> World {
        let mut w = self.clone();
        w.all[n] = Process::Killed;
        if w.lock == Some(n) {
            w.lock = None;
        }
        w.disconnect(n);
        w
    }

    /// The connection of a process ends; the other side receives the messages in transit, then the end.
    fn disconnect(&mut self, n: usize) {
        let Some((receiver, sender)) = self.connection.filter(|(t, g)| n == *t || n == *g) else { return };
        self.connection = None;
        self.to_sender.clear();
        let messages = std::mem::take(&mut self.to_receiver);
        if n == receiver {
            if let Process::Deciding { machine, known } = self.all[sender] {
                *self = self.step_sender(sender, machine, known, SenderInput::Lost, 0, Fault::None);
            }
        } else if let Process::Receiving { .. } = self.all[receiver] {
            for message in messages {
                self.deliver_to_receiver(receiver, message, Fault::None);
            }
            if let Process::Receiving { machine, .. } = self.all[receiver] {
                self.step_receiver(receiver, machine, None, ReceiverInput::Lost, 0, Fault::None);
            }
        }
    }

    /// The sender makes a step.
    #[expect(clippy::too_many_arguments, reason = "a step of one process with all that it depends on")]
    fn step_sender(
        &self,
        n: usize,
        mut machine: HandoverSender,
        known: u8,
        input: SenderInput,
        now: u64,
        fault: Fault,
    ) -> World {
        let mut w = self.clone();
        if fault == Fault::TakesBackConfirmed && input == SenderInput::Received {
            // Its answer is lost, and it continues as before.
            w.lock = None;
            w.to_receiver.push(Message::Released);
            w.all[n] = Process::Deciding { machine: HandoverSender::default(), known };
            return w;
        }
        let output = machine.step(input, now);
        w.all[n] = Process::Deciding { machine, known };
        match output {
            SenderOutput::Send => w.to_receiver.push(Message::State(known)),
            SenderOutput::Release => {
                w.lock = None;
                w.to_receiver.push(Message::Released);
            }
            SenderOutput::ResumeParts => {
                if let Some((receiver, _)) = w.connection.filter(|(_, g)| *g == n) {
                    w.connection = None;
                    w.to_sender.clear();
                    w.to_receiver.clear();
                    if let Process::Receiving { machine, .. } = w.all[receiver] {
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
        has: Option<u8>,
        fault: Fault,
    ) -> Vec<World> {
        let Some(until) = machine.wake_at() else { return Vec::new() };
        let mut w = self.clone();
        w.step_receiver(n, machine, has, ReceiverInput::Tick, until, fault);
        vec![w]
    }

    /// The receiver makes a step, and carries out its output.
    #[expect(clippy::too_many_arguments, reason = "a step of one process with all that it depends on")]
    fn step_receiver(
        &mut self,
        n: usize,
        mut machine: HandoverReceiver,
        has: Option<u8>,
        input: ReceiverInput,
        now: u64,
        fault: Fault,
    ) {
        if fault == Fault::ResumesUnreleased && input == ReceiverInput::Complete {
            self.all[n] = Process::Deciding { machine: HandoverSender::default(), known: has.unwrap_or(0) };
            return;
        }
        let mut todo = machine.step(input, now);
        let mut has = has;
        if matches!(machine.state(), ReceiverState::Locking { .. }) && input == ReceiverInput::Tick {
            // Its messages in transit are lost.
            self.disconnect_receiver(n);
        }
        loop {
            self.all[n] = Process::Receiving { machine, has };
            todo = match todo {
                ReceiverOutput::Nothing => return,
                ReceiverOutput::Lock if self.lock.is_none() => {
                    self.lock = Some(n);
                    machine.step(ReceiverInput::Locked, 0)
                }
                ReceiverOutput::Lock => machine.step(ReceiverInput::LockTaken, 0),
                ReceiverOutput::Request => match self.lock {
                    Some(holder)
                        if self.connection.is_none()
                            && matches!(self.all[holder], Process::Deciding { .. }) =>
                    {
                        has = None;
                        self.connection = Some((n, holder));
                        self.to_sender.push(Message::Request);
                        ReceiverOutput::Nothing
                    }
                    // It serves another process, is starting, or has ended meanwhile.
                    _ => machine.step(ReceiverInput::Busy, 0),
                },
                ReceiverOutput::Confirm => {
                    self.to_sender.push(Message::Received);
                    ReceiverOutput::Nothing
                }
                ReceiverOutput::KillOwner => {
                    if let Some(holder) = self.lock {
                        *self = self.killed(holder);
                    }
                    ReceiverOutput::Nothing
                }
                ReceiverOutput::Resume => {
                    // The journal shows whether anything was decided since.
                    let stale = has != Some(self.written) && fault != Fault::JournalUnread;
                    let known = if stale { self.written } else { has.expect("the state was handed over") };
                    self.all[n] = Process::Deciding { machine: HandoverSender::default(), known };
                    return;
                }
                ReceiverOutput::Restore => {
                    self.all[n] =
                        Process::Deciding { machine: HandoverSender::default(), known: self.written };
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
            if let Process::Deciding { machine, known } = self.all[sender] {
                *self = self.step_sender(sender, machine, known, SenderInput::Lost, 0, Fault::None);
            }
        }
    }

    fn deliver_to_receiver(&mut self, n: usize, message: Message, fault: Fault) {
        let Process::Receiving { machine, has } = self.all[n] else { return };
        match message {
            Message::State(known) => {
                self.step_receiver(n, machine, Some(known), ReceiverInput::Complete, 0, fault);
            }
            Message::Released => {
                self.connection = None;
                self.to_sender.clear();
                self.step_receiver(n, machine, has, ReceiverInput::Released, 0, fault);
            }
            Message::Busy => self.step_receiver(n, machine, has, ReceiverInput::Busy, 0, fault),
            Message::Request | Message::Received => {}
        }
    }

    /// One message arrives, on either side.
    fn deliveries(&self, fault: Fault) -> Vec<World> {
        let (mut all, Some((receiver, sender))) = (Vec::new(), self.connection) else { return Vec::new() };
        if let (Some(message), Process::Deciding { machine, known }) =
            (self.to_sender.first(), self.all[sender])
        {
            let mut w = self.clone();
            w.to_sender.remove(0);
            let input =
                if *message == Message::Request { SenderInput::Requested } else { SenderInput::Received };
            all.push(w.step_sender(sender, machine, known, input, 0, fault));
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

/// The states that can be reached, and what is violation in one of them.
fn search(fault: Fault) -> (HashSet<World>, Option<String>) {
    let (mut seen, mut todo) = (HashSet::from([World::new()]), vec![World::new()]);
    while let Some(world) = todo.pop() {
        if let Some(violation) = world.violation() {
            return (seen, Some(violation));
        }
        for next in world.next(fault) {
            if seen.insert(next.clone()) {
                todo.push(next);
            }
        }
    }
    (seen, None)
}

#[test]
fn at_any_time_one_process_decides_and_knows_all_earlier_decisions() {
    let (seen, violation) = search(Fault::None);
    assert_eq!(violation, None);
    // All outcomes were reached, and more than a few states.
    let met: BTreeSet<&str> = seen
        .iter()
        .flat_map(|w| w.all)
        .filter_map(|process| match process {
            Process::Deciding { machine, .. } if machine.state() == SenderState::Gone => Some("gone"),
            Process::Receiving { machine, .. } => match machine.state() {
                ReceiverState::Requesting { .. } => Some("asking"),
                ReceiverState::Confirming { .. } => Some("confirming"),
                _ => None,
            },
            _ => None,
        })
        .collect();
    assert_eq!(met.into_iter().collect::<Vec<_>>(), ["asking", "confirming", "gone"]);
    assert!(seen.len() > 1_000, "{} states", seen.len());
    println!("{} states", seen.len());
}

#[test]
fn each_injected_fault_is_found() {
    for fault in [Fault::JournalUnread, Fault::TakesBackConfirmed, Fault::ResumesUnreleased] {
        assert!(search(fault).1.is_some(), "{fault:?} is not found");
    }
}

/// The owner is killed, or hands over to a third process, which takes the lock: that one gets a request like any other,
/// however long the receiver has waited by then.
#[test]
fn a_new_owner_of_the_lock_is_asked_before_it_is_killed() {
    let mut receiver = HandoverReceiver::new(0);
    let mut now = 0;
    let look = |receiver: &mut HandoverReceiver, now: u64| {
        assert_eq!(receiver.step(ReceiverInput::Tick, now), ReceiverOutput::Lock);
        receiver.step(ReceiverInput::LockTaken, now)
    };
    // Busy until the end, like one that starts slowly or serves another process.
    let mut ended = 0;
    while ended == 0 {
        match look(&mut receiver, now) {
            ReceiverOutput::Request => {
                assert_eq!(receiver.step(ReceiverInput::Busy, now), ReceiverOutput::Nothing);
            }
            output => {
                assert_eq!((output, now >= KILL_OWNER_AFTER), (ReceiverOutput::KillOwner, true));
                ended += 1;
            }
        }
        now += LOCK_RETRY_INTERVAL;
    }
    assert_eq!(look(&mut receiver, now), ReceiverOutput::Request, "another holds the lock by now");
    assert_eq!(receiver.step(ReceiverInput::Complete, now), ReceiverOutput::Confirm);
    assert_eq!(receiver.step(ReceiverInput::Released, now), ReceiverOutput::Lock);
    assert_eq!(receiver.step(ReceiverInput::Locked, now), ReceiverOutput::Resume);
}
