//! Every order of the steps of a handover between two processes, with a crash of each between any two steps.
//!
//! The machines are the courier's own; the lock, the socket and the journal are modelled here.

use quillmount_core::machine::handover::*;
use std::collections::{BTreeSet, HashSet};

/// Decisions that are written in one run of the world.
const WRITES: u8 = 2;

/// An injected fault, which the search has to find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    Nothing,
    /// The receiver resumes although the journal has grown since: a third process may have had the lock.
    JournalUnread,
    /// The sender resumes its parts although the receiver has confirmed them.
    TakesBackLate,
    /// The receiver resumes although the sender has not released the lock.
    ResumesUnasked,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Word {
    Ask,
    /// The state of the decisions, as their count.
    All(u8),
    Got,
    LetGo,
    Busy,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Process {
    Unborn,
    /// `has`: the state that was handed over.
    Taking {
        machine: HandoverReceiver,
        has: Option<u8>,
    },
    /// `knows`: the decisions that it knows of.
    Deciding {
        machine: HandoverSender,
        knows: u8,
    },
    Dead,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    all: [Process; 3],
    lock: Option<usize>,
    written: u8,
    /// The sides of each connection, and the messages in transit.
    talk: Option<(usize, usize)>,
    to_giver: Vec<Word>,
    to_taker: Vec<Word>,
}

impl World {
    fn new() -> World {
        let first = Process::Deciding { machine: HandoverSender::default(), knows: 0 };
        let all = [first, Process::Unborn, Process::Unborn];
        World { all, lock: Some(0), written: 0, talk: None, to_giver: Vec::new(), to_taker: Vec::new() }
    }

    fn wrong(&self) -> Option<String> {
        let deciders: Vec<usize> = (0..3).filter(|n| self.decides(*n)).collect();
        for n in &deciders {
            if self.lock != Some(*n) {
                return Some(format!("process {n} decides without the lock"));
            }
            if let Process::Deciding { knows, .. } = self.all[*n]
                && knows != self.written
            {
                return Some(format!("process {n} decides and knows {knows} of {} decisions", self.written));
            }
        }
        None
    }

    fn decides(&self, n: usize) -> bool {
        let Process::Deciding { machine, .. } = self.all[n] else { return false };
        matches!(machine.state(), SenderState::Deciding | SenderState::Collecting { .. })
    }

    /// All that may happen next.
    fn next(&self, broken: Broken) -> Vec<World> {
        let mut all = Vec::new();
        for n in 0..3 {
            match self.all[n] {
                // The second process starts at any time, and so does the third: an upgrade during another one.
                Process::Unborn if n > 0 => {
                    let mut w = self.clone();
                    w.all[n] = Process::Taking { machine: HandoverReceiver::new(0), has: None };
                    all.push(w);
                }
                Process::Unborn | Process::Dead => {}
                Process::Taking { machine, has } => {
                    all.push(self.killed(n));
                    all.extend(self.take_ticks(n, machine, has, broken));
                }
                Process::Deciding { machine, knows } => {
                    all.push(self.killed(n));
                    if self.decides(n) && self.written < WRITES {
                        let mut w = self.clone();
                        w.written += 1;
                        w.all[n] = Process::Deciding { machine, knows: knows + 1 };
                        all.push(w);
                    }
                    if matches!(machine.state(), SenderState::Collecting { .. }) {
                        all.push(self.given(n, machine, knows, SenderInput::Collected, 0, broken));
                    }
                    if let Some(until) = machine.wake_at() {
                        all.push(self.given(n, machine, knows, SenderInput::Tick, until, broken));
                    }
                }
            }
        }
        all.extend(self.hears(broken));
        all
    }

    fn killed(&self, n: usize) -> World {
        let mut w = self.clone();
        w.all[n] = Process::Dead;
        if w.lock == Some(n) {
            w.lock = None;
        }
        w.breaks(n);
        w
    }

    /// The connection of a process ends; the other side receives the messages in transit, then the end.
    fn breaks(&mut self, n: usize) {
        let Some((taker, giver)) = self.talk.filter(|(t, g)| n == *t || n == *g) else { return };
        self.talk = None;
        self.to_giver.clear();
        let words = std::mem::take(&mut self.to_taker);
        if n == taker {
            if let Process::Deciding { machine, knows } = self.all[giver] {
                *self = self.given(giver, machine, knows, SenderInput::Lost, 0, Broken::Nothing);
            }
        } else if let Process::Taking { .. } = self.all[taker] {
            for word in words {
                self.taker_hears(taker, word, Broken::Nothing);
            }
            if let Process::Taking { machine, .. } = self.all[taker] {
                self.took(taker, machine, None, ReceiverInput::Lost, 0, Broken::Nothing);
            }
        }
    }

    /// The sender makes a step.
    #[expect(clippy::too_many_arguments, reason = "a step of one process with all that it depends on")]
    fn given(
        &self,
        n: usize,
        mut machine: HandoverSender,
        knows: u8,
        input: SenderInput,
        now: u64,
        broken: Broken,
    ) -> World {
        let mut w = self.clone();
        if broken == Broken::TakesBackLate && input == SenderInput::Received {
            // Its answer is lost, and it continues as before.
            w.lock = None;
            w.to_taker.push(Word::LetGo);
            w.all[n] = Process::Deciding { machine: HandoverSender::default(), knows };
            return w;
        }
        let output = machine.step(input, now);
        w.all[n] = Process::Deciding { machine, knows };
        match output {
            SenderOutput::Send => w.to_taker.push(Word::All(knows)),
            SenderOutput::Release => {
                w.lock = None;
                w.to_taker.push(Word::LetGo);
            }
            SenderOutput::TakeBack => {
                if let Some((taker, _)) = w.talk.filter(|(_, g)| *g == n) {
                    w.talk = None;
                    w.to_giver.clear();
                    w.to_taker.clear();
                    if let Process::Taking { machine, .. } = w.all[taker] {
                        w.took(taker, machine, None, ReceiverInput::Lost, 0, broken);
                    }
                }
            }
            SenderOutput::Busy => w.to_taker.push(Word::Busy),
            SenderOutput::Nothing | SenderOutput::Collect => {}
        }
        w
    }

    fn take_ticks(&self, n: usize, machine: HandoverReceiver, has: Option<u8>, broken: Broken) -> Vec<World> {
        let Some(until) = machine.wake_at() else { return Vec::new() };
        let mut w = self.clone();
        w.took(n, machine, has, ReceiverInput::Tick, until, broken);
        vec![w]
    }

    /// The receiver makes a step, and carries out its output.
    #[expect(clippy::too_many_arguments, reason = "a step of one process with all that it depends on")]
    fn took(
        &mut self,
        n: usize,
        mut machine: HandoverReceiver,
        has: Option<u8>,
        input: ReceiverInput,
        now: u64,
        broken: Broken,
    ) {
        if broken == Broken::ResumesUnasked && input == ReceiverInput::Complete {
            self.all[n] = Process::Deciding { machine: HandoverSender::default(), knows: has.unwrap_or(0) };
            return;
        }
        let mut todo = machine.step(input, now);
        let mut has = has;
        if matches!(machine.state(), ReceiverState::Locking { .. }) && input == ReceiverInput::Tick {
            // Its messages in transit are lost.
            self.hangs_up(n);
        }
        loop {
            self.all[n] = Process::Taking { machine, has };
            todo = match todo {
                ReceiverOutput::Nothing => return,
                ReceiverOutput::Lock if self.lock.is_none() => {
                    self.lock = Some(n);
                    machine.step(ReceiverInput::Locked, 0)
                }
                ReceiverOutput::Lock => machine.step(ReceiverInput::LockTaken, 0),
                ReceiverOutput::Request => match self.lock {
                    Some(holder)
                        if self.talk.is_none() && matches!(self.all[holder], Process::Deciding { .. }) =>
                    {
                        has = None;
                        self.talk = Some((n, holder));
                        self.to_giver.push(Word::Ask);
                        ReceiverOutput::Nothing
                    }
                    // It serves another process, is starting, or has ended meanwhile.
                    _ => machine.step(ReceiverInput::Busy, 0),
                },
                ReceiverOutput::Confirm => {
                    self.to_giver.push(Word::Got);
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
                    let stale = has != Some(self.written) && broken != Broken::JournalUnread;
                    let knows = if stale { self.written } else { has.expect("it came over") };
                    self.all[n] = Process::Deciding { machine: HandoverSender::default(), knows };
                    return;
                }
                ReceiverOutput::Restore => {
                    self.all[n] =
                        Process::Deciding { machine: HandoverSender::default(), knows: self.written };
                    return;
                }
            };
        }
    }

    fn hangs_up(&mut self, n: usize) {
        if let Some((_, giver)) = self.talk.filter(|(taker, _)| *taker == n) {
            self.talk = None;
            self.to_giver.clear();
            self.to_taker.clear();
            if let Process::Deciding { machine, knows } = self.all[giver] {
                *self = self.given(giver, machine, knows, SenderInput::Lost, 0, Broken::Nothing);
            }
        }
    }

    fn taker_hears(&mut self, n: usize, word: Word, broken: Broken) {
        let Process::Taking { machine, has } = self.all[n] else { return };
        match word {
            Word::All(knows) => self.took(n, machine, Some(knows), ReceiverInput::Complete, 0, broken),
            Word::LetGo => {
                self.talk = None;
                self.to_giver.clear();
                self.took(n, machine, has, ReceiverInput::Released, 0, broken);
            }
            Word::Busy => self.took(n, machine, has, ReceiverInput::Busy, 0, broken),
            Word::Ask | Word::Got => {}
        }
    }

    /// One message arrives, on either side.
    fn hears(&self, broken: Broken) -> Vec<World> {
        let (mut all, Some((taker, giver))) = (Vec::new(), self.talk) else { return Vec::new() };
        if let (Some(word), Process::Deciding { machine, knows }) = (self.to_giver.first(), self.all[giver]) {
            let mut w = self.clone();
            w.to_giver.remove(0);
            let input = if *word == Word::Ask { SenderInput::Requested } else { SenderInput::Received };
            all.push(w.given(giver, machine, knows, input, 0, broken));
        }
        if let Some(word) = self.to_taker.first() {
            let mut w = self.clone();
            w.to_taker.remove(0);
            w.taker_hears(taker, *word, broken);
            all.push(w);
        }
        all
    }
}

/// The states that can be reached, and what is wrong in one of them.
fn search(broken: Broken) -> (HashSet<World>, Option<String>) {
    let (mut seen, mut todo) = (HashSet::from([World::new()]), vec![World::new()]);
    while let Some(world) = todo.pop() {
        if let Some(wrong) = world.wrong() {
            return (seen, Some(wrong));
        }
        for next in world.next(broken) {
            if seen.insert(next.clone()) {
                todo.push(next);
            }
        }
    }
    (seen, None)
}

#[test]
fn at_any_time_one_process_decides_and_knows_all_earlier_decisions() {
    let (seen, wrong) = search(Broken::Nothing);
    assert_eq!(wrong, None);
    // All outcomes were reached, and more than a few states.
    let met: BTreeSet<&str> = seen
        .iter()
        .flat_map(|w| w.all)
        .filter_map(|process| match process {
            Process::Deciding { machine, .. } if machine.state() == SenderState::Gone => Some("gone"),
            Process::Taking { machine, .. } => match machine.state() {
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
    for broken in [Broken::JournalUnread, Broken::TakesBackLate, Broken::ResumesUnasked] {
        assert!(search(broken).1.is_some(), "{broken:?} is not found");
    }
}

/// The owner is killed, or hands over to a third process, which takes the lock: that one gets a request like any other,
/// however long the receiver has waited by then.
#[test]
fn a_new_owner_of_the_lock_is_asked_before_it_is_killed() {
    let mut taker = HandoverReceiver::new(0);
    let mut now = 0;
    let look = |taker: &mut HandoverReceiver, now: u64| {
        assert_eq!(taker.step(ReceiverInput::Tick, now), ReceiverOutput::Lock);
        taker.step(ReceiverInput::LockTaken, now)
    };
    // Busy until the end, like one that starts slowly or serves another process.
    let mut ended = 0;
    while ended == 0 {
        match look(&mut taker, now) {
            ReceiverOutput::Request => {
                assert_eq!(taker.step(ReceiverInput::Busy, now), ReceiverOutput::Nothing);
            }
            output => {
                assert_eq!((output, now >= KILL_OWNER_AFTER), (ReceiverOutput::KillOwner, true));
                ended += 1;
            }
        }
        now += LOCK_RETRY_INTERVAL;
    }
    assert_eq!(look(&mut taker, now), ReceiverOutput::Request, "another holds the lock by now");
    assert_eq!(taker.step(ReceiverInput::Complete, now), ReceiverOutput::Confirm);
    assert_eq!(taker.step(ReceiverInput::Released, now), ReceiverOutput::Lock);
    assert_eq!(taker.step(ReceiverInput::Locked, now), ReceiverOutput::Resume);
}
