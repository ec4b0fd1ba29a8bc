//! The leader of the simulated fleet, and the replicated log to which it proposes commands.

use crate::courier::Clock;
use crate::event::{CourierEvent, CourierMessage, Event};
use crate::simulation::{BOUNDS, DEST, MS, Simulation};
use quillmount_fleet::budget::{BudgetCommand, BudgetEvent, BudgetLeader, BudgetMessage};
use std::collections::BTreeMap;

/// The duration of a lease by the leader's clock, with a margin for the drift of the clocks.
const GRANTED_LEASE: u64 = BOUNDS.lease * 103 / 100;
const ROUND_INTERVAL: u64 = 10 * MS;

/// A process that has joined, or is joining, under an epoch.
#[derive(Clone, Copy, Default, PartialEq)]
struct Registration {
    epoch: u64,
    incarnation: u32,
}

/// The leader of the current term.
pub struct Leader {
    pub term: u64,
    budget_leader: BudgetLeader,
    clock: Clock,
    /// When each courier's lease ends, by the leader's clock.
    leases: BTreeMap<usize, u64>,
    registrations: BTreeMap<usize, Registration>,
}

impl Leader {
    pub fn new() -> Leader {
        Leader {
            term: 0,
            budget_leader: BudgetLeader::new(BOUNDS),
            clock: Clock { drift: 0, offset: 0 },
            leases: BTreeMap::new(),
            registrations: BTreeMap::new(),
        }
    }
}

impl Simulation {
    /// Starts the term of a new leader, which has only the log of the previous terms.
    pub fn elect_leader(&mut self) {
        self.leader.term += 1;
        self.leader.budget_leader = BudgetLeader::new(BOUNDS);
        self.leader.budget_leader.set_budget(&self.budget);
        self.leader.clock.drift = self.random_drift();
        let until = self.leader.clock.read(self.now) + GRANTED_LEASE;
        self.leader.leases = (0..self.couriers.len()).map(|courier| (courier, until)).collect();
        self.schedule(MS, Event::LeaderRound { term: self.leader.term });
    }

    pub fn run_leader_round(&mut self) {
        let now = self.leader.clock.read(self.now);
        for (courier, until) in &self.leader.leases {
            let name = &self.names[*courier];
            let lapsed = self.replicated.member(name).filter(|member| !member.lapsed && now >= *until);
            if let Some(member) = lapsed {
                self.leader.budget_leader.lapsed(name, member.epoch);
            }
        }
        // The configured budget is proposed until it is committed.
        let (connections, floor) = (self.budget.connections, self.budget.courier_floor);
        if self.replicated.partner(DEST).is_none_or(|partner| partner.connections != connections) {
            let couriers = self.names.clone();
            self.propose(BudgetCommand::Budget { dest: DEST, connections, floor, couriers });
        }
        for command in self.leader.budget_leader.tick(&self.replicated, now) {
            self.propose(command);
        }
        self.schedule(ROUND_INTERVAL, Event::LeaderRound { term: self.leader.term });
    }

    /// Proposes a log entry. Some entries are lost, delayed, or committed twice, as happens with entries that were
    /// forwarded to the leader.
    fn propose(&mut self, command: BudgetCommand) {
        self.proposed.push(command);
        let commit = Event::Commit { term: self.leader.term, proposal: self.proposed.len() - 1 };
        let loss = self.conditions.loss;
        for _ in 0..1 + u64::from(self.random.chance(loss)) {
            let factor = if self.random.chance(loss) { self.conditions.late_entry_factor } else { 1 };
            let delay = self.random.within(2 * MS, 15 * MS * factor);
            if !self.random.chance(loss / 2) {
                self.schedule(delay, commit.clone());
            }
        }
    }

    pub fn commit(&mut self, command: BudgetCommand) {
        let events = self.replicated.apply(&command);
        let changes_share =
            |event: &BudgetEvent| matches!(event, BudgetEvent::Granted { .. } | BudgetEvent::Recalled { .. });
        if events.iter().any(changes_share) {
            self.share_changes.push(self.now);
        }
        if let BudgetCommand::Joined { courier, epoch } = &command {
            self.confirm_join(courier, *epoch);
        }
        self.log.push(command);
        for courier in 0..self.couriers.len() {
            self.send(Event::EntriesDelivered { courier, up_to: self.log.len() });
        }
    }

    fn confirm_join(&mut self, name: &str, epoch: u64) {
        let Some(courier) = self.names.iter().position(|courier_name| courier_name == name) else { return };
        if let Some(registration) = self.leader.registrations.get(&courier)
            && registration.epoch == epoch
        {
            let incarnation = registration.incarnation;
            let event = CourierEvent::JoinConfirmed { epoch };
            self.send(Event::AtCourier { courier, incarnation, event });
        }
    }

    pub fn receive_at_leader(&mut self, courier: usize, incarnation: u32, message: CourierMessage) {
        match message {
            CourierMessage::Report(index) => {
                let report = BudgetMessage::Report(self.reports[index].clone());
                let bytes = postcard::to_stdvec(&report).unwrap();
                let now = self.leader.clock.read(self.now);
                self.leader.budget_leader.receive(&postcard::from_bytes(&bytes).unwrap(), now);
            }
            CourierMessage::Renew { epoch, sent } => self.renew_lease_of(courier, incarnation, epoch, sent),
            CourierMessage::Join => self.register(courier, incarnation),
        }
    }

    fn renew_lease_of(&mut self, courier: usize, incarnation: u32, epoch: u64, sent: u64) {
        let now = self.leader.clock.read(self.now);
        let member = self.replicated.member(&self.names[courier]).cloned().unwrap_or_default();
        let until = self.leader.leases.entry(courier).or_insert(0);
        if member.epoch == epoch && !member.lapsed && now < *until {
            *until = now + GRANTED_LEASE;
            let event = CourierEvent::LeaseRenewed { epoch, sent, log_length: self.log.len() };
            self.send(Event::AtCourier { courier, incarnation, event });
        }
    }

    /// Handles a registration request: the process gets the next epoch, or its existing epoch is confirmed again.
    fn register(&mut self, courier: usize, incarnation: u32) {
        let member = self.replicated.member(&self.names[courier]).cloned().unwrap_or_default();
        let registration = self.leader.registrations.get(&courier).copied().unwrap_or_default();
        if registration.incarnation > incarnation {
            return;
        }
        if registration == (Registration { epoch: member.epoch, incarnation })
            && member.epoch > 0
            && !member.lapsed
        {
            let event = CourierEvent::JoinConfirmed { epoch: member.epoch };
            return self.send(Event::AtCourier { courier, incarnation, event });
        }
        let epoch = member.epoch + 1;
        let until = self.leader.clock.read(self.now) + GRANTED_LEASE;
        self.leader.registrations.insert(courier, Registration { epoch, incarnation });
        self.leader.leases.insert(courier, until);
        self.propose(BudgetCommand::Joined { courier: self.names[courier].clone(), epoch });
    }
}
