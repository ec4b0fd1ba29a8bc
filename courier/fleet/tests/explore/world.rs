//! The world of a run: virtual time, events in flight, the replicated log, and which couriers are connected.

use crate::effects::{Disk, Effects, effect, trace, with_effects};
use crate::process::{Due, Process};
use crate::scenario::{HEAL, LEASE, MS, N, Scenario, index_of, name};
use quillmount_core::journal::{End, JournalRecord};
use quillmount_fleet::NodeId;
use quillmount_fleet::agreement::AgreementOutput;
use quillmount_fleet::member::{AgreementLog, MemberInput};
use quillmount_fleet::message::{Envelope, FleetMessage};
use quillmount_fleet::state::{Epoch, FleetCommand, FleetState};
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub enum Event {
    Deliver { from: usize, to: usize, node_id: NodeId, message: FleetMessage },
    Commit { incarnation: u64, term: u64, command: Vec<u8> },
    Apply(usize),
    Reply { to: usize, incarnation: u64, id: String, msg: u64 },
    Submit(usize),
    Start(usize),
    Resume(usize),
    Elect,
    Heal,
    Tick(usize),
}

#[derive(Clone, Default)]
pub struct Observed {
    pub accepted: BTreeSet<String>,
    pub calls: BTreeMap<String, usize>,
    pub ends: BTreeSet<String>,
    /// Delivered, with a replicated record of it.
    pub delivered: BTreeSet<String>,
    /// Attempts that are in a replica, by owner and message.
    pub recorded: BTreeMap<(String, String), usize>,
    pub called: BTreeMap<(String, String), usize>,
    pub adopted_by: BTreeMap<(String, Epoch, u32), usize>,
}

#[derive(Clone)]
pub struct World<'a> {
    pub scenario: &'a Scenario,
    pub now: Micros,
    pub first_message_at: Micros,
    pub disks: Vec<Disk>,
    pub processes: Vec<Option<Process>>,
    pub queue: BTreeMap<(Micros, u64), Event>,
    pub order: u64,
    pub incarnations: u64,
    pub log: Vec<Vec<u8>>,
    pub state: FleetState,
    pub leader: usize,
    pub term: u64,
    pub cut: BTreeSet<(usize, usize)>,
    pub lost_folder: bool,
    pub healed: bool,
    pub observed: Observed,
    pub violation: Option<String>,
}

impl<'a> World<'a> {
    pub fn new(scenario: &'a Scenario) -> Self {
        let mut world = World {
            scenario,
            now: 1_000_000 * MS,
            first_message_at: Micros::MAX,
            disks: vec![Disk::new(); N],
            processes: vec![None; N],
            queue: BTreeMap::new(),
            order: 0,
            incarnations: 0,
            log: Vec::new(),
            state: FleetState::default(),
            leader: 0,
            term: 1,
            cut: BTreeSet::new(),
            lost_folder: false,
            healed: false,
            observed: Observed::default(),
            violation: None,
        };
        (0..N).for_each(|i| world.at(0, Event::Start(i)));
        while !(0..N).all(|i| world.ready(i)) {
            let next = world.next().unwrap();
            world.process(next, None);
            assert!(world.now < 1_010_000 * MS, "the fleet does not come up");
        }
        world.first_message_at = world.now;
        for n in 0..scenario.messages.len() {
            world.at(scenario.messages[n].2, Event::Submit(n));
        }
        world.at(HEAL, Event::Heal);
        world
    }

    pub fn at(&mut self, after: Micros, event: Event) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), event);
    }

    pub fn fail(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    pub fn ready(&self, i: usize) -> bool {
        let may = |p: &Process| p.joined && p.may_accept && p.member.may_act(self.now) && !p.paused;
        self.processes[i].as_ref().is_some_and(may)
    }

    pub fn is_running(&self, i: usize) -> bool {
        self.processes[i].as_ref().is_some_and(|p| !p.paused)
    }

    pub fn is_connected(&self, from: usize, to: usize) -> bool {
        from == to || !self.cut.contains(&(from, to))
    }

    /// Whether it runs and is connected to a majority, in both directions.
    pub fn reaches_majority(&self, i: usize) -> bool {
        let is_linked =
            |j: &usize| self.is_running(*j) && self.is_connected(i, *j) && self.is_connected(*j, i);
        self.is_running(i) && (0..N).filter(is_linked).count() > N / 2
    }

    pub fn clock(&self, i: usize) -> Micros {
        self.processes[i].as_ref().and_then(|p| p.stale_clock).unwrap_or(self.now)
    }

    pub fn next(&self) -> Option<(Micros, u64, Event)> {
        let first = self.queue.first_key_value().map(|((at, n), e)| (*at, *n, e.clone()));
        let ticks = (0..N).filter(|i| self.is_running(*i)).filter_map(|i| {
            let p = self.processes[i].as_ref()?;
            let at = p.member.wake_at().map_or(p.heartbeat_at, |at| at.min(p.heartbeat_at));
            Some((at.max(self.now), 0, Event::Tick(i)))
        });
        // At equal times messages come before ticks.
        let tick = ticks.min_by_key(|(at, ..)| *at);
        match (first, tick) {
            (Some(first), Some(tick)) if tick.0 < first.0 => Some(tick),
            (None, tick) => tick,
            (first, _) => first,
        }
    }

    /// The process that an event is a step of.
    pub fn process_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Deliver { to, .. } | Event::Reply { to, .. } => Some(*to),
            Event::Apply(i) | Event::Tick(i) | Event::Resume(i) => Some(*i),
            Event::Submit(_) => Some(self.scenario.owner),
            _ => None,
        }
    }

    /// Processes an event; the process dies before the effect `die`, if given. Returns the number of effects, and whether
    /// any of them matters.
    pub fn process(&mut self, (at, n, event): (Micros, u64, Event), die: Option<u32>) -> (u32, bool) {
        self.now = self.now.max(at);
        if n != 0 {
            self.queue.remove(&(at, n));
        }
        let process = self.process_of(&event);
        let disks = std::mem::take(&mut self.disks);
        with_effects(|h| *h = Effects { disks, die_at: die, ..Effects::default() });
        let matters = !matches!(event, Event::Tick(_) | Event::Deliver { .. } | Event::Apply(_));
        self.handle_event(event);
        let h = with_effects(std::mem::take);
        self.disks = h.disks;
        if h.dead
            && let Some(i) = process
        {
            self.processes[i] = None;
        }
        if h.copies {
            self.check_replicas();
        }
        self.check_replica_hosts();
        (h.effects, matters || h.matters)
    }

    pub fn handle_event(&mut self, event: Event) {
        if !matches!(event, Event::Tick(_)) {
            trace(|| format!("{} {event:?}", self.now.saturating_sub(self.first_message_at)));
        }
        match event {
            Event::Deliver { from, to, .. } if !self.is_connected(from, to) => {}
            Event::Deliver { to, .. } | Event::Reply { to, .. }
                if self.processes[to].as_ref().is_some_and(|p| p.paused) =>
            {
                self.processes[to].as_mut().unwrap().inbox.push(event);
            }
            Event::Deliver { from, to, node_id, message } => {
                if let (FleetMessage::LeaseGranted { ticket, .. }, Some(p)) =
                    (&message, &mut self.processes[to])
                    && let Some(sent_at) = p.renewals.get(ticket)
                {
                    p.lease_until = p.lease_until.max(sent_at + p.member.config.member_lease());
                }
                let envelope = Envelope { from: name(from), to: name(to), node_id, messages: vec![message] };
                self.step(to, MemberInput::Received(envelope));
            }
            Event::Commit { incarnation, term, command } => {
                let leads =
                    self.processes[self.leader].as_ref().is_some_and(|p| p.incarnation == incarnation);
                if leads && term == self.term && self.reaches_majority(self.leader) {
                    self.commit(command);
                }
            }
            Event::Apply(i) | Event::Tick(i) => self.heartbeat(i),
            Event::Reply { to, incarnation, id, msg } => {
                if self.processes[to].as_ref().is_some_and(|p| p.incarnation == incarnation) {
                    let end = End::Delivered;
                    // A delivery is not reported: the answer itself is the end.
                    self.observed.ends.insert(id.clone());
                    let written = self.write(to, &[JournalRecord::End { msg, end }]);
                    self.act_when_replicated(to, written, Due::Delivered(id));
                }
            }
            Event::Submit(n) => self.submit(n),
            Event::Start(i) => {
                if self.processes[i].is_none() {
                    self.start(i);
                }
            }
            Event::Resume(i) => self.resume(i),
            Event::Elect => self.elect(false),
            Event::Heal => {
                self.cut.clear();
                self.healed = true;
                for i in 0..N {
                    self.resume(i);
                    if self.processes[i].is_none() {
                        self.start(i);
                    }
                }
                self.elect(false);
            }
        }
    }

    pub fn resume(&mut self, i: usize) {
        let Some(p) = self.processes[i].as_mut().filter(|p| p.paused) else { return };
        p.paused = false;
        let inbox = std::mem::take(&mut p.inbox);
        if inbox.is_empty() {
            self.heartbeat(i);
        }
        for event in inbox {
            self.handle_event(event);
            // Only the interrupted step goes by the old time.
            if let Some(p) = &mut self.processes[i] {
                p.stale_clock = None;
            }
        }
        if let Some(p) = &mut self.processes[i] {
            p.stale_clock = None;
        }
        self.heartbeat(i);
    }

    /// Elects another leader, if the present one has no majority, or `anyway`.
    pub fn elect(&mut self, anyway: bool) {
        if self.reaches_majority(self.leader) && !anyway {
            return;
        }
        let old = self.leader;
        trace(|| format!("{old} leads no more"));
        let Some(new) = (1..=N).map(|n| (old + n) % N).find(|i| *i != old && self.reaches_majority(*i))
        else {
            if !self.reaches_majority(old) && !self.healed {
                self.at(LEASE / 2, Event::Elect);
            }
            return;
        };
        (self.leader, self.term) = (new, self.term + 1);
        // Only a courier with all commits is elected.
        self.processes[new].as_mut().unwrap().apply_paused_until = 0;
        (0..N).for_each(|i| self.heartbeat(i));
    }

    /// Delivers what the leader has sent to a member, and lets it tick.
    pub fn heartbeat(&mut self, i: usize) {
        if !self.is_running(i) {
            return;
        }
        let leader = self.processes[self.leader].as_ref().filter(|p| !p.paused);
        let leader = leader.map(|p| p.member.agreement().node_id());
        let heard_leader = leader.filter(|_| self.is_connected(self.leader, i));
        let Some(p) = &mut self.processes[i] else { return };
        p.heartbeat_at = self.now + 50 * MS;
        let log = p.member.agreement();
        if let Some(node_id) = heard_leader {
            if log.leader.get() != Some(node_id) {
                log.leader.set(Some(node_id));
                let leader = AgreementOutput::LeaderChanged { leader: Some(node_id), term: self.term };
                log.outputs.borrow_mut().push(leader);
            }
            if self.now >= p.apply_paused_until {
                for (n, command) in self.log.iter().enumerate().skip(p.applied) {
                    let (index, command) = (n as u64 + 1, command.clone());
                    log.outputs.borrow_mut().push(AgreementOutput::Committed {
                        index,
                        ticket: None,
                        command,
                    });
                }
                if p.applied < self.log.len() {
                    p.applied = self.log.len();
                    let at = (p.applied as u64).to_le_bytes().to_vec();
                    if effect(true) {
                        with_effects(|h| h.disks[i].insert("applied".into(), at));
                    }
                }
            }
        }
        self.step(i, MemberInput::Tick);
        self.act(i);
    }

    pub fn commit(&mut self, command: Vec<u8>) {
        let read: FleetCommand = postcard::from_bytes(&command).unwrap();
        if let FleetCommand::Deregister { name, epoch } = &read
            && self.state.epoch_of(name) == Some(*epoch)
        {
            let p = self.processes[index_of(name)].as_ref().filter(|p| !p.paused);
            if p.is_some_and(|p| p.member.epoch() == Some(*epoch) && p.lease_until > self.now) {
                self.fail(format!("lease: {name} counts as gone, and has a lease"));
            }
        }
        self.state.apply(read);
        self.log.push(command);
        self.heartbeat(self.leader);
        let leader = self.leader;
        for i in (0..N).filter(|i| *i != leader) {
            self.at(MS, Event::Apply(i));
        }
    }
}
