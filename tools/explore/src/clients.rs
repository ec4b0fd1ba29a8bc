//! The consumers' connections, in a world of their own: every order of what a few consumers do against a
//! table with room for fewer. The machines and the table are the courier's; the driver's few lines
//! (`courier/program/src/transport/server.rs`) are played here.

use quillmount_core::admission::{Admission, Decision};
use quillmount_core::machine::client::{ClientConnection, ClientInput, ClientOutput, ClientState};
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
struct ModelledConnection {
    machine: ClientConnection,
    output: ClientOutput,
    socket: Socket,
    /// Told to leave, and not heard yet.
    leave_requested: bool,
    /// Told to leave while it asks: what has not come in a moment is not waited for.
    cut: bool,
    /// Requests that it will still send.
    requests_left: u8,
    /// Requests that were answered.
    answered: u8,
    since: u64,
}

#[derive(Clone, Debug)]
struct ClientWorld {
    admission: Admission,
    connections: BTreeMap<u64, ModelledConnection>,
    /// Consumers that are still to come.
    remaining_clients: u8,
    requests: u8,
    now: u64,
    closing: bool,
}

/// One event, by the connection's number where it has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientEvent {
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
pub struct ClientSearch {
    /// Different states visited.
    pub states: usize,
    /// Events of the longest path.
    pub depth: usize,
    /// The events that lead to a request that is lost, and what was lost.
    pub counterexample: Option<(Vec<String>, String)>,
}

/// Explores `clients` connections of `requests` requests each at a table for `max_connections`.
pub fn explore(clients: u8, requests: u8, max_connections: usize) -> ClientSearch {
    let connections = BTreeMap::new();
    let root = ClientWorld {
        admission: Admission::new(max_connections),
        connections,
        remaining_clients: clients,
        requests,
        now: 1,
        closing: false,
    };
    let mut known = HashSet::from([root.key()]);
    let mut queue = VecDeque::from([(root, Vec::<ClientEvent>::new())]);
    let mut depth = 0;
    while let Some((world, path)) = queue.pop_front() {
        depth = depth.max(path.len());
        let events = world.events();
        let describe_path = |path: &[ClientEvent]| path.iter().map(|e| format!("{e:?}")).collect();
        if events.is_empty() && !world.connections.is_empty() {
            let what = format!("left at rest: {:?}", world.connections);
            return ClientSearch {
                states: known.len(),
                depth,
                counterexample: Some((describe_path(&path), what)),
            };
        }
        for event in events {
            let mut next = world.clone();
            let mut path = path.clone();
            path.push(event);
            if let Err(what) = next.perform(event) {
                return ClientSearch {
                    states: known.len(),
                    depth,
                    counterexample: Some((describe_path(&path), what)),
                };
            }
            if known.insert(next.key()) {
                queue.push_back((next, path));
            }
        }
    }
    ClientSearch { states: known.len(), depth, counterexample: None }
}

impl ClientWorld {
    /// All that matters; ages against the present.
    fn key(&self) -> String {
        let connections: Vec<_> = self
            .connections
            .iter()
            .map(|(n, c)| {
                let age = self.now - c.since >= AGE;
                (n, c.machine, c.output, c.socket, c.leave_requested, c.cut, c.requests_left, age)
            })
            .collect();
        // The order in which the connections came to their states ranks them too.
        let mut order: Vec<_> = self.connections.iter().map(|(n, c)| (c.since, *n)).collect();
        order.sort_unstable();
        let order: Vec<u64> = order.into_iter().map(|(_, n)| n).collect();
        format!(
            "{connections:?} {order:?} {} {} {:?}",
            self.remaining_clients,
            self.closing,
            self.admission.asked_to_close()
        )
    }

    fn events(&self) -> Vec<ClientEvent> {
        let mut events = Vec::new();
        let mut idle = true;
        if self.remaining_clients > 0 && !self.closing {
            events.push(ClientEvent::Connects);
        }
        for (n, c) in &self.connections {
            let wants_to_send = c.requests_left > 0 && c.socket != Socket::Whole;
            let can_send =
                matches!(c.output, ClientOutput::Read | ClientOutput::Rest | ClientOutput::AwaitLastRequest);
            if wants_to_send && can_send && c.socket == Socket::Nothing {
                events.push(ClientEvent::Sends(*n, Socket::Part));
            }
            if wants_to_send && can_send {
                events.push(ClientEvent::Sends(*n, Socket::Whole));
            }
            let ready = match c.output {
                ClientOutput::Read => {
                    c.socket == Socket::Whole || (c.leave_requested && !c.cut && c.is_follow_up())
                }
                ClientOutput::Rest => c.socket != Socket::Nothing || c.leave_requested,
                ClientOutput::AwaitLastRequest => c.socket != Socket::Nothing,
                _ => false,
            };
            if ready {
                events.push(ClientEvent::Goes(*n));
                // The driver does not let time pass over what it can do.
                idle = false;
            }
            let waits = match c.output {
                // What is there to be read is read first.
                ClientOutput::Read => c.socket != Socket::Whole,
                ClientOutput::Rest | ClientOutput::AwaitLastRequest => c.socket == Socket::Nothing,
                ClientOutput::Linger => true,
                _ => false,
            };
            if waits {
                events.push(ClientEvent::TimeUp(*n));
            }
            events.push(ClientEvent::Breaks(*n));
        }
        if idle && self.connections.values().any(|c| self.now - c.since < AGE) {
            events.push(ClientEvent::Ages);
        }
        if !self.closing {
            events.push(ClientEvent::Stops);
        }
        events
    }

    fn perform(&mut self, event: ClientEvent) -> Result<(), String> {
        self.now += 1;
        match event {
            ClientEvent::Connects => self.connect()?,
            ClientEvent::Sends(n, what) => {
                self.connections.entry(n).and_modify(|c| c.socket = what);
            }
            ClientEvent::Goes(n) => self.proceed(n)?,
            ClientEvent::TimeUp(n) => self.time_up(n)?,
            ClientEvent::Breaks(n) => self.step(n, ClientInput::Broken, true)?,
            ClientEvent::Ages => self.now += AGE,
            ClientEvent::Stops => {
                self.closing = true;
                self.leave_all();
            }
        }
        if self.closing {
            self.leave_all();
        }
        let open = self.connections.len();
        let leaving = self.connections.values().filter(|c| c.machine.state() == ClientState::Leaving).count();
        if leaving > quillmount_core::admission::LEAVING_MAX {
            return Err(format!("{leaving} of {open} are leaving"));
        }
        Ok(())
    }

    fn leave_all(&mut self) {
        for n in self.admission.close_all_idle() {
            self.connections.entry(n).and_modify(|c| c.leave_requested = true);
        }
    }

    fn connect(&mut self) -> Result<(), String> {
        match self.admission.decide(self.now) {
            Decision::Admit => {}
            Decision::RequestClose(n) => {
                self.connections.entry(n).and_modify(|c| c.leave_requested = true);
            }
            Decision::Evict(n) => {
                if let Some(c) = self.connections.remove(&n) {
                    check_no_request_lost(n, &c)?;
                }
            }
            // It waits until one has left.
            Decision::Wait => return Ok(()),
        }
        self.remaining_clients -= 1;
        let n = self.admission.enter(self.now);
        let fresh = ModelledConnection {
            machine: ClientConnection::default(),
            output: ClientOutput::Read,
            socket: Socket::Nothing,
            leave_requested: false,
            cut: false,
            requests_left: self.requests,
            answered: 0,
            since: self.now,
        };
        self.connections.insert(n, fresh);
        Ok(())
    }

    fn proceed(&mut self, n: u64) -> Result<(), String> {
        let closing = self.closing;
        let Some(c) = self.connections.get_mut(&n) else { return Ok(()) };
        match c.output {
            ClientOutput::Read if c.socket == Socket::Whole => {
                (c.socket, c.requests_left) = (Socket::Nothing, c.requests_left - 1);
                self.step(n, ClientInput::Requested { probe: false, closes: closing }, false)
            }
            ClientOutput::Read => {
                (c.leave_requested, c.cut) = (false, true);
                Ok(())
            }
            _ if c.socket != Socket::Nothing => self.step(n, ClientInput::Readable, false),
            _ => {
                c.leave_requested = false;
                self.step(n, ClientInput::Leave, false)
            }
        }
    }

    fn time_up(&mut self, n: u64) -> Result<(), String> {
        let Some(c) = self.connections.get(&n) else { return Ok(()) };
        let input = match (c.output, c.socket) {
            (ClientOutput::Read, Socket::Nothing) => ClientInput::Silent,
            // Slow: a malformed request is answered, and the connection closed.
            (ClientOutput::Read, _) => ClientInput::Requested { probe: false, closes: true },
            (ClientOutput::Rest, _) => ClientInput::Leave,
            (ClientOutput::AwaitLastRequest, _) => ClientInput::NothingArrived,
            _ => ClientInput::Lingered,
        };
        self.step(n, input, false)
    }

    fn step(&mut self, n: u64, input: ClientInput, broken: bool) -> Result<(), String> {
        let now = self.now;
        let Some(c) = self.connections.get_mut(&n) else { return Ok(()) };
        c.output = c.machine.step(input);
        match c.output {
            ClientOutput::Close => {
                let c = self.connections.remove(&n).ok_or("it was there")?;
                self.admission.remove(n);
                if broken { Ok(()) } else { check_no_request_lost(n, &c) }
            }
            ClientOutput::Read
            | ClientOutput::Rest
            | ClientOutput::AwaitLastRequest
            | ClientOutput::Linger => {
                (c.since, c.cut) = (now, false);
                self.admission.set_state(n, c.machine.state(), now);
                Ok(())
            }
            // The driver writes an answer at once: it is small, and the socket has room for it.
            ClientOutput::Answer { .. } => {
                c.answered += 1;
                self.step(n, ClientInput::Answered, broken)
            }
            ClientOutput::Nothing => Ok(()),
        }
    }
}

impl ModelledConnection {
    fn is_follow_up(&self) -> bool {
        matches!(self.machine.state(), ClientState::Requesting { first: false, .. })
    }
}

/// A request whose last byte had come may go down with its connection only if it was the first.
fn check_no_request_lost(n: u64, c: &ModelledConnection) -> Result<(), String> {
    if c.socket == Socket::Whole && c.answered > 0 {
        return Err(format!("connection {n} is closed under a whole request: {c:?}"));
    }
    Ok(())
}
