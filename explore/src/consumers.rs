//! The consumers' connections, in a world of their own: every order of what a few consumers do against a
//! table with room for fewer. The machines and the table are the courier's; the driver's few lines
//! (`courier/src/transport/server.rs`) are played here.

use quillmount_core::crowd::{Crowd, Room};
use quillmount_core::machine::consumer::{Consumer, Input, Output, State};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// A little longer than a consumer that came to ask may take before others go first.
const AGE: u64 = 300_000;

/// What a consumer has sent of its next request, and the courier has not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Socket {
    Nothing,
    Part,
    Whole,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Conversation {
    machine: Consumer,
    todo: Output,
    socket: Socket,
    /// Told to leave, and not heard yet.
    word: bool,
    /// Told to leave while it asks: what has not come in a moment is not waited for.
    cut: bool,
    /// Requests that it will still send.
    left: u8,
    /// Requests that were answered.
    answered: u8,
    since: u64,
}

#[derive(Clone, Debug)]
struct World {
    crowd: Crowd,
    all: BTreeMap<u64, Conversation>,
    /// Consumers that are still to come.
    coming: u8,
    requests: u8,
    now: u64,
    closing: bool,
}

/// One event, by the connection's number where it has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Connects,
    Sends(u64, Socket),
    /// The driver goes on: reads, writes, or hears its word.
    Goes(u64),
    /// What it waits for takes too long: a request, a rest, a last look, a lingering.
    TimeUp(u64),
    Breaks(u64),
    Ages,
    Stops,
}

/// What came of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    pub states: usize,
    pub depth: usize,
    /// The events that lead to a request that is lost, and what was lost.
    pub broken: Option<(Vec<String>, String)>,
}

/// Explores `consumers` connections of `requests` requests each at a table for `most`.
pub fn explore(consumers: u8, requests: u8, most: usize) -> Found {
    let all = BTreeMap::new();
    let root = World { crowd: Crowd::new(most), all, coming: consumers, requests, now: 1, closing: false };
    let mut known = HashSet::from([root.key()]);
    let mut queue = VecDeque::from([(root, Vec::<Event>::new())]);
    let mut depth = 0;
    while let Some((world, path)) = queue.pop_front() {
        depth = depth.max(path.len());
        let events = world.events();
        let tell = |path: &[Event]| path.iter().map(|e| format!("{e:?}")).collect();
        if events.is_empty() && !world.all.is_empty() {
            let what = format!("left at rest: {:?}", world.all);
            return Found { states: known.len(), depth, broken: Some((tell(&path), what)) };
        }
        for event in events {
            let mut next = world.clone();
            let mut path = path.clone();
            path.push(event);
            if let Err(what) = next.happens(event) {
                return Found { states: known.len(), depth, broken: Some((tell(&path), what)) };
            }
            if known.insert(next.key()) {
                queue.push_back((next, path));
            }
        }
    }
    Found { states: known.len(), depth, broken: None }
}

impl World {
    /// All that matters; ages against the present.
    fn key(&self) -> String {
        let all: Vec<_> = self
            .all
            .iter()
            .map(|(n, c)| {
                let age = self.now - c.since >= AGE;
                (n, c.machine, c.todo, c.socket, c.word, c.cut, c.left, age)
            })
            .collect();
        // The order in which the connections came to their states ranks them too.
        let mut order: Vec<_> = self.all.iter().map(|(n, c)| (c.since, *n)).collect();
        order.sort_unstable();
        let order: Vec<u64> = order.into_iter().map(|(_, n)| n).collect();
        format!("{all:?} {order:?} {} {} {:?}", self.coming, self.closing, self.crowd.asked())
    }

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let mut idle = true;
        if self.coming > 0 && !self.closing {
            events.push(Event::Connects);
        }
        for (n, c) in &self.all {
            let asks = c.left > 0 && c.socket != Socket::Whole;
            let may = matches!(c.todo, Output::Read | Output::Rest | Output::Look);
            if asks && may && c.socket == Socket::Nothing {
                events.push(Event::Sends(*n, Socket::Part));
            }
            if asks && may {
                events.push(Event::Sends(*n, Socket::Whole));
            }
            let ready = match c.todo {
                Output::Read => c.socket == Socket::Whole || (c.word && !c.cut && c.asks_more()),
                Output::Rest => c.socket != Socket::Nothing || c.word,
                Output::Look => c.socket != Socket::Nothing,
                _ => false,
            };
            if ready {
                events.push(Event::Goes(*n));
                // The driver does not let time pass over what it can do.
                idle = false;
            }
            let waits = match c.todo {
                // What is there to be read is read first.
                Output::Read => c.socket != Socket::Whole,
                Output::Rest | Output::Look => c.socket == Socket::Nothing,
                Output::Linger => true,
                _ => false,
            };
            if waits {
                events.push(Event::TimeUp(*n));
            }
            events.push(Event::Breaks(*n));
        }
        if idle && self.all.values().any(|c| self.now - c.since < AGE) {
            events.push(Event::Ages);
        }
        if !self.closing {
            events.push(Event::Stops);
        }
        events
    }

    fn happens(&mut self, event: Event) -> Result<(), String> {
        self.now += 1;
        match event {
            Event::Connects => self.connects()?,
            Event::Sends(n, what) => {
                self.all.entry(n).and_modify(|c| c.socket = what);
            }
            Event::Goes(n) => self.goes(n)?,
            Event::TimeUp(n) => self.time_up(n)?,
            Event::Breaks(n) => self.step(n, Input::Broken, true)?,
            Event::Ages => self.now += AGE,
            Event::Stops => {
                self.closing = true;
                self.leave_all();
            }
        }
        if self.closing {
            self.leave_all();
        }
        let most = self.all.len();
        let leaving = self.all.values().filter(|c| c.machine.state() == State::Leaving).count();
        if leaving > quillmount_core::crowd::LEAVING_MAX {
            return Err(format!("{leaving} of {most} are leaving"));
        }
        Ok(())
    }

    fn leave_all(&mut self) {
        for n in self.crowd.all_leave() {
            self.all.entry(n).and_modify(|c| c.word = true);
        }
    }

    fn connects(&mut self) -> Result<(), String> {
        match self.crowd.make_room(self.now) {
            Room::Free => {}
            Room::Leave(n) => {
                self.all.entry(n).and_modify(|c| c.word = true);
            }
            Room::End(n) => {
                if let Some(c) = self.all.remove(&n) {
                    is_lost(n, &c)?;
                }
            }
            // It waits until one has left.
            Room::Wait => return Ok(()),
        }
        self.coming -= 1;
        let n = self.crowd.enter(self.now);
        let fresh = Conversation {
            machine: Consumer::default(),
            todo: Output::Read,
            socket: Socket::Nothing,
            word: false,
            cut: false,
            left: self.requests,
            answered: 0,
            since: self.now,
        };
        self.all.insert(n, fresh);
        Ok(())
    }

    fn goes(&mut self, n: u64) -> Result<(), String> {
        let closing = self.closing;
        let Some(c) = self.all.get_mut(&n) else { return Ok(()) };
        match c.todo {
            Output::Read if c.socket == Socket::Whole => {
                (c.socket, c.left) = (Socket::Nothing, c.left - 1);
                self.step(n, Input::Asked { probe: false, closes: closing }, false)
            }
            Output::Read => {
                (c.word, c.cut) = (false, true);
                Ok(())
            }
            _ if c.socket != Socket::Nothing => self.step(n, Input::Readable, false),
            _ => {
                c.word = false;
                self.step(n, Input::Leave, false)
            }
        }
    }

    fn time_up(&mut self, n: u64) -> Result<(), String> {
        let Some(c) = self.all.get(&n) else { return Ok(()) };
        let input = match (c.todo, c.socket) {
            (Output::Read, Socket::Nothing) => Input::Silent,
            // Slow: a malformed request is answered, and the connection closed.
            (Output::Read, _) => Input::Asked { probe: false, closes: true },
            (Output::Rest, _) => Input::Leave,
            (Output::Look, _) => Input::Looked,
            _ => Input::Lingered,
        };
        self.step(n, input, false)
    }

    fn step(&mut self, n: u64, input: Input, broken: bool) -> Result<(), String> {
        let now = self.now;
        let Some(c) = self.all.get_mut(&n) else { return Ok(()) };
        c.todo = c.machine.step(input);
        match c.todo {
            Output::Close => {
                let c = self.all.remove(&n).ok_or("it was there")?;
                self.crowd.left(n);
                if broken { Ok(()) } else { is_lost(n, &c) }
            }
            Output::Read | Output::Rest | Output::Look | Output::Linger => {
                (c.since, c.cut) = (now, false);
                self.crowd.is(n, c.machine.state(), now);
                Ok(())
            }
            // The driver writes an answer at once: it is small, and the socket has room for it.
            Output::Answer { .. } => {
                c.answered += 1;
                self.step(n, Input::Answered, broken)
            }
            Output::Nothing => Ok(()),
        }
    }
}

impl Conversation {
    fn asks_more(&self) -> bool {
        matches!(self.machine.state(), State::Asking { first: false, .. })
    }
}

/// A request whose last byte had come may go down with its connection only if it was the first.
fn is_lost(n: u64, c: &Conversation) -> Result<(), String> {
    if c.socket == Socket::Whole && c.answered > 0 {
        return Err(format!("connection {n} is closed under a whole request: {c:?}"));
    }
    Ok(())
}
