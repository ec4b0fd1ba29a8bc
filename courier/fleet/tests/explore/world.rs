//! The simulated world of a path: virtual time, pending events, the replicated log, and the links between couriers.

use crate::effects::{Disk, Effects, effect, trace, with_effects};
use crate::process::{Action, Process};
use crate::scenario::{COURIER_COUNT, HEAL_AFTER, LEASE, MS, Scenario, courier_name, index_of};
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
    Commit { proposer: u64, term: u64, command: Vec<u8> },
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
    /// Messages that were delivered and whose delivery is recorded in a replicated journal.
    pub delivered: BTreeSet<String>,
    /// Maximum number of attempts that a replica contains, by owner and message.
    pub recorded: BTreeMap<(String, String), usize>,
    /// Calls by owner and message.
    pub called: BTreeMap<(String, String), usize>,
    /// The courier that has adopted each partition, by the journal's owner and epoch.
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
    pub last_event_number: u64,
    pub incarnations: u64,
    pub log: Vec<Vec<u8>>,
    pub state: FleetState,
    pub leader: usize,
    pub term: u64,
    pub cut_links: BTreeSet<(usize, usize)>,
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
            disks: vec![Disk::new(); COURIER_COUNT],
            processes: vec![None; COURIER_COUNT],
            queue: BTreeMap::new(),
            last_event_number: 0,
            incarnations: 0,
            log: Vec::new(),
            state: FleetState::default(),
            leader: 0,
            term: 1,
            cut_links: BTreeSet::new(),
            lost_folder: false,
            healed: false,
            observed: Observed::default(),
            violation: None,
        };
        (0..COURIER_COUNT).for_each(|i| world.schedule(0, Event::Start(i)));
        while !(0..COURIER_COUNT).all(|i| world.is_ready(i)) {
            let next = world.next_event().unwrap();
            world.process_event(next, None);
            assert!(world.now < 1_010_000 * MS, "the fleet does not become ready");
        }
        world.first_message_at = world.now;
        for n in 0..scenario.messages.len() {
            world.schedule(scenario.messages[n].2, Event::Submit(n));
        }
        world.schedule(HEAL_AFTER, Event::Heal);
        world
    }

    pub fn schedule(&mut self, after: Micros, event: Event) {
        self.last_event_number += 1;
        self.queue.insert((self.now + after, self.last_event_number), event);
    }

    pub fn fail(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    pub fn is_ready(&self, i: usize) -> bool {
        let may = |p: &Process| p.joined && p.may_accept && p.member.may_act(self.now) && !p.paused;
        self.processes[i].as_ref().is_some_and(may)
    }

    pub fn is_running(&self, i: usize) -> bool {
        self.processes[i].as_ref().is_some_and(|p| !p.paused)
    }

    pub fn is_connected(&self, from: usize, to: usize) -> bool {
        from == to || !self.cut_links.contains(&(from, to))
    }

    /// Whether the courier runs and is connected to a majority in both directions.
    pub fn reaches_majority(&self, i: usize) -> bool {
        let is_linked =
            |j: &usize| self.is_running(*j) && self.is_connected(i, *j) && self.is_connected(*j, i);
        self.is_running(i) && (0..COURIER_COUNT).filter(is_linked).count() > COURIER_COUNT / 2
    }

    pub fn clock(&self, i: usize) -> Micros {
        self.processes[i].as_ref().and_then(|p| p.stale_clock).unwrap_or(self.now)
    }

    pub fn next_event(&self) -> Option<(Micros, u64, Event)> {
        let first = self.queue.first_key_value().map(|((at, n), e)| (*at, *n, e.clone()));
        let ticks = (0..COURIER_COUNT).filter(|i| self.is_running(*i)).filter_map(|i| {
            let p = self.processes[i].as_ref()?;
            let at = p.member.wake_at().map_or(p.heartbeat_at, |at| at.min(p.heartbeat_at));
            Some((at.max(self.now), 0, Event::Tick(i)))
        });
        // Messages are processed before ticks of the same time.
        let tick = ticks.min_by_key(|(at, ..)| *at);
        match (first, tick) {
            (Some(first), Some(tick)) if tick.0 < first.0 => Some(tick),
            (None, tick) => tick,
            (first, _) => first,
        }
    }

    /// The courier whose process handles the event.
    pub fn process_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Deliver { to, .. } | Event::Reply { to, .. } => Some(*to),
            Event::Apply(i) | Event::Tick(i) | Event::Resume(i) => Some(*i),
            Event::Submit(_) => Some(self.scenario.owner),
            _ => None,
        }
    }

    /// Processes an event. If `kill_before` is given, the process is killed before the effect with this number. Returns
    /// the number of effects, and whether any of them is significant.
    pub fn process_event(
        &mut self,
        (at, n, event): (Micros, u64, Event),
        kill_before: Option<u32>,
    ) -> (u32, bool) {
        self.now = self.now.max(at);
        if n != 0 {
            self.queue.remove(&(at, n));
        }
        let process = self.process_of(&event);
        let disks = std::mem::take(&mut self.disks);
        with_effects(|effects| *effects = Effects { disks, die_at: kill_before, ..Effects::default() });
        let significant = !matches!(event, Event::Tick(_) | Event::Deliver { .. } | Event::Apply(_));
        self.handle_event(event);
        let effects = with_effects(std::mem::take);
        self.disks = effects.disks;
        if effects.dead
            && let Some(i) = process
        {
            self.processes[i] = None;
        }
        if effects.replica_written {
            self.check_replicas();
        }
        self.check_replica_hosts();
        (effects.effects, significant || effects.significant)
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
                let envelope = Envelope {
                    from: courier_name(from),
                    to: courier_name(to),
                    node_id,
                    messages: vec![message],
                };
                self.step(to, MemberInput::Received(envelope));
            }
            Event::Commit { proposer, term, command } => {
                let leads = self.processes[self.leader].as_ref().is_some_and(|p| p.incarnation == proposer);
                if leads && term == self.term && self.reaches_majority(self.leader) {
                    self.commit(command);
                }
            }
            Event::Apply(i) | Event::Tick(i) => self.heartbeat(i),
            Event::Reply { to, incarnation, id, msg } => {
                if self.processes[to].as_ref().is_some_and(|p| p.incarnation == incarnation) {
                    let end = End::Delivered;
                    // A delivery is not reported to the sender: the endpoint's reply is the end of the message.
                    self.observed.ends.insert(id.clone());
                    let written = self.write(to, &[JournalRecord::End { msg, end }]);
                    self.act_when_replicated(to, written, Action::Delivered(id));
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
                self.cut_links.clear();
                self.healed = true;
                for i in 0..COURIER_COUNT {
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
            // Only the interrupted step uses the time that was read before the pause.
            if let Some(p) = &mut self.processes[i] {
                p.stale_clock = None;
            }
        }
        if let Some(p) = &mut self.processes[i] {
            p.stale_clock = None;
        }
        self.heartbeat(i);
    }

    /// Elects another leader if the current one has no majority or `force` is set.
    pub fn elect(&mut self, force: bool) {
        if self.reaches_majority(self.leader) && !force {
            return;
        }
        let old = self.leader;
        trace(|| format!("{old} loses leadership"));
        let Some(new) = (1..=COURIER_COUNT)
            .map(|n| (old + n) % COURIER_COUNT)
            .find(|i| *i != old && self.reaches_majority(*i))
        else {
            if !self.reaches_majority(old) && !self.healed {
                self.schedule(LEASE / 2, Event::Elect);
            }
            return;
        };
        (self.leader, self.term) = (new, self.term + 1);
        // Only a courier with all committed entries can be elected.
        self.processes[new].as_mut().unwrap().apply_paused_until = 0;
        (0..COURIER_COUNT).for_each(|i| self.heartbeat(i));
    }

    /// Delivers the leader's heartbeat and committed commands to a member, and runs a tick of the member.
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
                    let applied = (p.applied as u64).to_le_bytes().to_vec();
                    if effect(true) {
                        with_effects(|effects| effects.disks[i].insert("applied".into(), applied));
                    }
                }
            }
        }
        self.step(i, MemberInput::Tick);
        self.run_pending_actions(i);
    }

    pub fn commit(&mut self, command: Vec<u8>) {
        let decoded: FleetCommand = postcard::from_bytes(&command).unwrap();
        if let FleetCommand::Deregister { name, epoch } = &decoded
            && self.state.epoch_of(name) == Some(*epoch)
        {
            let p = self.processes[index_of(name)].as_ref().filter(|p| !p.paused);
            if p.is_some_and(|p| p.member.epoch() == Some(*epoch) && p.lease_until > self.now) {
                self.fail(format!("lease: {name} is deregistered although its lease is valid"));
            }
        }
        self.state.apply(decoded);
        self.log.push(command);
        self.heartbeat(self.leader);
        let leader = self.leader;
        for i in (0..COURIER_COUNT).filter(|i| *i != leader) {
            self.schedule(MS, Event::Apply(i));
        }
    }
}
