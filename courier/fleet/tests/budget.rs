//! Budgets under faults: the code that runs, with couriers, a leader, a log and a partner on a virtual clock.
//! The partner counts its open connections itself, after every event.

use quillmount_fleet::budget::leader::{MAX_MOVES_PER_SECOND, starvation};
use quillmount_fleet::budget::*;
use quillmount_test_support::digest::{Counts, SEEDS, compare_with_file};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const DEST: u64 = 7;
const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const BOUNDS: TimeBounds = TimeBounds { max_call: S, max_idle: 1_500 * MS, lease: S };

struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }

    fn within(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from + 1)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize, u32),
    /// The answer of a call arrives.
    Answer(usize, u32, u64, u64),
    /// The partner reads the end of a connection, or ends one on which nothing was written since.
    Fin(usize, u32, u64),
    Quiet(usize, u32, u64, u64),
    /// The courier reads the end of a connection.
    Eof(usize, u32, u64),
    Entries(usize, usize),
    Renewed(usize, u32, u64, u64, usize),
    JoinedAs(usize, u32, u64),
    /// To the leader.
    Received(usize, u32, Box<CourierMessage>),
    Commit(u64, usize),
    Lead(u64),
    /// A call begins that its process was held up before.
    Opens(usize, u32, u64, u64),
    Fault,
    Repair(usize, Repair),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Repair {
    Cut,
    Partner,
    Pause,
    Start,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CourierMessage {
    Report(u64),
    Renew(u64, u64),
    Join,
}

#[derive(Clone, Copy, Default)]
struct Load {
    at_once: u32,
    left: u64,
    out: u32,
    served: u64,
}

struct Node {
    local_budget: LocalBudget,
    budget_state: BudgetState,
    applied: usize,
    incarnation: u32,
    epoch: u64,
    /// Its clock: parts in a million fast, and how far ahead it began.
    rate: i64,
    ahead: u64,
    up: bool,
    paused: bool,
    receives: bool,
    sends: bool,
    partner: bool,
    deferred: Vec<Event>,
    loads: BTreeMap<String, Load>,
    calls: BTreeMap<u64, (String, u64)>,
    renewed: u64,
}

struct Sim {
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    rng: Rng,
    loss: u64,
    /// Messages take up to so long.
    slow: u64,
    /// A late entry takes so many times as long as others.
    late: u64,
    /// Calls take from, to; so many in a hundred take up to twice the longest that a call may.
    calls: (u64, u64),
    hang: u64,
    budget: Budget,
    names: Vec<String>,
    nodes: Vec<Node>,
    proposed: Vec<BudgetCommand>,
    log: Vec<BudgetCommand>,
    budget_state: BudgetState,
    leader: BudgetLeader,
    leader_rate: i64,
    term: u64,
    leases: BTreeMap<usize, u64>,
    /// The process that joined with its epoch.
    incarnations: BTreeMap<usize, (u64, u32)>,
    messages: Vec<Report>,
    /// Open at the partner, and when it was last written on.
    open: BTreeMap<(usize, u32, u64), u64>,
    limit: u64,
    /// The partner's new limit, from then on.
    lowered: Option<(u64, u64)>,
    most: usize,
    over: Option<String>,
    /// When each lease changed.
    moved: Vec<u64>,
    faults: bool,
    /// Longest that a tenant wanted a connection and had none in the fleet, by tenant.
    hungry: BTreeMap<String, u64>,
    starved: BTreeMap<String, u64>,
    /// What happened, for the digests.
    counts: Counts,
}

impl Sim {
    fn new(seed: u64, couriers: usize, budget: Budget) -> Sim {
        assert_eq!(check(std::slice::from_ref(&budget), couriers), []);
        let names: Vec<String> = (0..couriers).map(|n| format!("c{n:02}")).collect();
        let mut sim = Sim {
            now: 0,
            events: BinaryHeap::new(),
            count: 0,
            rng: Rng(seed),
            loss: 0,
            slow: 10 * MS,
            late: 80,
            calls: (20 * MS, 200 * MS),
            hang: 0,
            limit: u64::from(budget.connections),
            names,
            nodes: Vec::new(),
            proposed: Vec::new(),
            log: Vec::new(),
            budget_state: BudgetState::default(),
            leader: BudgetLeader::new(BOUNDS),
            leader_rate: 0,
            term: 0,
            leases: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            messages: Vec::new(),
            open: BTreeMap::new(),
            lowered: None,
            most: 0,
            over: None,
            moved: Vec::new(),
            faults: false,
            hungry: BTreeMap::new(),
            starved: BTreeMap::new(),
            counts: Counts::default(),
            budget,
        };
        for n in 0..couriers {
            let (rate, ahead) = (sim.rng.within(0, 19_000) as i64 - 9_500, sim.rng.within(S, 1_000 * S));
            let mut local_budget = LocalBudget::new(&sim.names[n], BOUNDS, ahead);
            local_budget.set_budget(&sim.budget);
            sim.nodes.push(Node {
                local_budget,
                budget_state: BudgetState::default(),
                applied: 0,
                incarnation: 0,
                epoch: 0,
                rate,
                ahead,
                up: true,
                paused: false,
                receives: true,
                sends: true,
                partner: true,
                deferred: Vec::new(),
                loads: BTreeMap::new(),
                calls: BTreeMap::new(),
                renewed: 0,
            });
            sim.after(sim.rng.0 % 10_000, Event::Wake(n, 0));
        }
        sim.lead();
        sim
    }

    fn local(&self, n: usize) -> u64 {
        let node = &self.nodes[n];
        node.ahead + (self.now as i64 + self.now as i64 / 1_000 * node.rate / 1_000) as u64
    }

    fn leads(&self) -> u64 {
        (self.now as i64 + self.now as i64 / 1_000 * self.leader_rate / 1_000) as u64
    }

    fn after(&mut self, span: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + span, self.count, event)));
    }

    /// Over the fleet's network: lost, late, twice.
    fn send(&mut self, event: Event) {
        for _ in 0..1 + u64::from(self.rng.chance(self.loss)) {
            if !self.rng.chance(self.loss) {
                let late = if self.rng.chance(self.loss) { 20 } else { 1 };
                let span = self.rng.within(MS, self.slow * late);
                self.after(span, event.clone());
            }
        }
    }

    /// An entry of the log: now and then lost, late, or there twice, as one is that was handed on to the
    /// leader.
    fn propose(&mut self, command: BudgetCommand) {
        self.proposed.push(command);
        let (term, at) = (self.term, self.proposed.len() - 1);
        for _ in 0..1 + u64::from(self.rng.chance(self.loss)) {
            let late = if self.rng.chance(self.loss) { self.late } else { 1 };
            let span = self.rng.within(2 * MS, 15 * MS * late);
            if !self.rng.chance(self.loss / 2) {
                self.after(span, Event::Commit(term, at));
            }
        }
    }

    /// Another leads: it knows the log, and nothing else.
    fn lead(&mut self) {
        self.term += 1;
        self.leader = BudgetLeader::new(BOUNDS);
        self.leader.set_budget(&self.budget);
        self.leader_rate = self.rng.within(0, 19_000) as i64 - 9_500;
        let until = self.leads() + BOUNDS.lease * 103 / 100;
        self.leases = (0..self.nodes.len()).map(|n| (n, until)).collect();
        self.after(MS, Event::Lead(self.term));
    }

    fn load(&mut self, node: usize, tenant: &str, at_once: u32) {
        let load = self.nodes[node].loads.entry(tenant.into()).or_default();
        (load.at_once, load.left) = (at_once, u64::MAX);
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((at, _, _))) = self.events.peek()
            && *at <= until
            && self.over.is_none()
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else { return };
            self.now = at;
            self.count_event(&event);
            self.take(event);
            if let Some((at, limit)) = self.lowered
                && self.now >= at
            {
                (self.limit, self.lowered) = (limit, None);
            }
            self.most = self.most.max(self.open.len());
            if self.open.len() as u64 > self.limit {
                self.over = Some(format!("{} of {} open at {} us", self.open.len(), self.limit, self.now));
            }
        }
        self.now = until;
    }

    fn count_event(&mut self, event: &Event) {
        let now = self.now;
        let (label, node, number) = match event {
            Event::Wake(node, _) => ("ticks", *node, 0),
            Event::Answer(node, _, _, call) => ("answers", *node, *call),
            Event::Fin(node, _, conn) => ("connections_ended", *node, *conn),
            Event::Quiet(node, _, conn, _) => ("idle_checks", *node, *conn),
            Event::Eof(node, _, conn) => ("ends_read", *node, *conn),
            Event::Entries(node, upto) => ("entries_delivered", *node, *upto as u64),
            Event::Renewed(node, _, epoch, ..) => ("leases_renewed", *node, *epoch),
            Event::JoinedAs(node, _, epoch) => ("joins_confirmed", *node, *epoch),
            Event::Received(node, ..) => ("messages_to_leader", *node, 0),
            Event::Commit(term, at) => ("commits", *at, *term),
            Event::Lead(term) => ("leader_rounds", 0, *term),
            Event::Opens(node, _, conn, _) => ("late_openings", *node, *conn),
            Event::Fault => ("faults", 0, 0),
            Event::Repair(node, _) => ("repairs", *node, 0),
        };
        let open = self.open.len() as u64;
        self.counts.count(label, &[now, node as u64, number, open]);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Wake(n, incarnation)
            | Event::Answer(n, incarnation, ..)
            | Event::Eof(n, incarnation, _)
            | Event::Renewed(n, incarnation, ..)
            | Event::JoinedAs(n, incarnation, _)
            | Event::Opens(n, incarnation, ..) => {
                if self.nodes[n].incarnation != incarnation || !self.nodes[n].up {
                    return;
                }
                if self.nodes[n].paused {
                    self.nodes[n].deferred.push(event);
                    return;
                }
                self.at_node(n, event);
                self.drive(n);
            }
            Event::Entries(n, upto) => {
                if self.nodes[n].up && !self.nodes[n].paused && self.nodes[n].receives {
                    self.entries(n, upto);
                    self.drive(n);
                }
            }
            Event::Fin(n, incarnation, conn) => self.ended(n, incarnation, conn),
            Event::Quiet(n, incarnation, conn, written) => {
                if self.open.get(&(n, incarnation, conn)) == Some(&written) {
                    self.ended(n, incarnation, conn);
                }
            }
            Event::Received(n, incarnation, message) => self.received(n, incarnation, *message),
            Event::Commit(term, at) => {
                if term == self.term {
                    self.commit(self.proposed[at].clone());
                }
            }
            Event::Lead(term) => {
                if term == self.term {
                    let now = self.leads();
                    for (n, until) in self.leases.clone() {
                        let member = self.budget_state.member(&self.names[n]);
                        if let Some(epoch) = member.filter(|m| !m.lapsed && now >= until).map(|m| m.epoch) {
                            self.leader.lapsed(&self.names[n], epoch);
                        }
                    }
                    // The operator's file, until it is agreed on.
                    let (connections, floor) = (self.budget.connections, self.budget.courier_floor);
                    if self.budget_state.partner(DEST).is_none_or(|p| p.connections != connections) {
                        let couriers = self.names.clone();
                        self.propose(BudgetCommand::Budget { dest: DEST, connections, floor, couriers });
                    }
                    for command in self.leader.tick(&self.budget_state, now) {
                        self.propose(command);
                    }
                    self.after(10 * MS, Event::Lead(term));
                }
            }
            Event::Fault => self.fault(),
            Event::Repair(n, repair) => self.repair(n, repair),
        }
    }

    fn commit(&mut self, command: BudgetCommand) {
        let events = self.budget_state.apply(&command);
        if events.iter().any(|e| {
            matches!(
                e,
                quillmount_fleet::budget::BudgetEvent::Granted { .. }
                    | quillmount_fleet::budget::BudgetEvent::Recalled { .. }
            )
        }) {
            self.moved.push(self.now);
        }
        if let BudgetCommand::Joined { courier, epoch } = &command
            && let Some(n) = self.names.iter().position(|name| name == courier)
            && let Some((known, incarnation)) = self.incarnations.get(&n)
            && known == epoch
        {
            self.send(Event::JoinedAs(n, *incarnation, *epoch));
        }
        self.log.push(command);
        for n in 0..self.nodes.len() {
            self.send(Event::Entries(n, self.log.len()));
        }
    }

    fn received(&mut self, n: usize, incarnation: u32, message: CourierMessage) {
        let now = self.leads();
        let member = self.budget_state.member(&self.names[n]).cloned().unwrap_or_default();
        match message {
            CourierMessage::Report(at) => {
                let report = BudgetMessage::Report(self.messages[at as usize].clone());
                let bytes = postcard::to_stdvec(&report).unwrap();
                self.leader.receive(&postcard::from_bytes(&bytes).unwrap(), now);
            }
            CourierMessage::Renew(epoch, sent) => {
                let until = self.leases.entry(n).or_insert(0);
                if member.epoch == epoch && !member.lapsed && now < *until {
                    *until = now + BOUNDS.lease * 103 / 100;
                    self.send(Event::Renewed(n, incarnation, epoch, sent, self.log.len()));
                }
            }
            CourierMessage::Join => {
                let known = self.incarnations.get(&n).copied().unwrap_or_default();
                if known.1 > incarnation {
                    return;
                }
                if known == (member.epoch, incarnation) && member.epoch > 0 && !member.lapsed {
                    self.send(Event::JoinedAs(n, incarnation, member.epoch));
                } else {
                    self.incarnations.insert(n, (member.epoch + 1, incarnation));
                    self.leases.insert(n, now + BOUNDS.lease * 103 / 100);
                    self.propose(BudgetCommand::Joined {
                        courier: self.names[n].clone(),
                        epoch: member.epoch + 1,
                    });
                }
            }
        }
    }

    fn ended(&mut self, n: usize, incarnation: u32, conn: u64) {
        if self.open.remove(&(n, incarnation, conn)).is_some() && self.nodes[n].partner {
            self.after(2 * MS, Event::Eof(n, incarnation, conn));
        }
    }

    fn entries(&mut self, n: usize, upto: usize) {
        let now = self.local(n);
        let node = &mut self.nodes[n];
        if node.applied < upto {
            for command in &self.log[node.applied..upto] {
                node.budget_state.apply(command);
            }
            node.applied = upto;
            let orders = node.local_budget.apply_state(&node.budget_state, now);
            self.orders(n, orders);
        }
    }

    fn orders(&mut self, n: usize, orders: Vec<ConnectionOrder>) {
        for ConnectionOrder::Close { conn, .. } in orders {
            let incarnation = self.nodes[n].incarnation;
            if let Some((tenant, _)) = self.nodes[n].calls.remove(&conn)
                && let Some(load) = self.nodes[n].loads.get_mut(&tenant)
            {
                load.out -= 1;
            }
            if self.nodes[n].partner {
                let span = self.rng.within(MS, 60 * MS);
                self.after(span, Event::Fin(n, incarnation, conn));
            }
        }
    }

    fn at_node(&mut self, n: usize, event: Event) {
        let now = self.local(n);
        let incarnation = self.nodes[n].incarnation;
        match event {
            Event::Wake(..) => {
                let orders = self.nodes[n].local_budget.tick(now);
                self.orders(n, orders);
                let node = &mut self.nodes[n];
                if let Some(report) = node.local_budget.report(now) {
                    let sends = node.sends;
                    self.messages.push(report);
                    let message = CourierMessage::Report(self.messages.len() as u64 - 1);
                    if sends {
                        self.send(Event::Received(n, incarnation, Box::new(message)));
                    }
                }
                if self.nodes[n].local_budget.has_left()
                    && self.nodes[n].budget_state.member(&self.names[n]).is_none_or(|m| m.left)
                {
                    self.crash(n);
                    self.after(100 * MS, Event::Repair(n, Repair::Start));
                    return;
                }
                let node = &mut self.nodes[n];
                if now >= node.renewed + 200 * MS {
                    node.renewed = now;
                    let lapsed = node
                        .budget_state
                        .member(&self.names[n])
                        .is_some_and(|m| m.epoch >= node.epoch && m.lapsed);
                    let message = if node.epoch == 0 || lapsed {
                        CourierMessage::Join
                    } else {
                        CourierMessage::Renew(node.epoch, now)
                    };
                    if node.sends {
                        self.send(Event::Received(n, incarnation, Box::new(message)));
                    }
                }
                self.after(10 * MS, Event::Wake(n, incarnation));
            }
            Event::Answer(_, _, conn, call) => {
                let node = &mut self.nodes[n];
                if node.calls.get(&conn).is_some_and(|(_, c)| *c == call) {
                    let (tenant, _) = node.calls.remove(&conn).unwrap();
                    let load = node.loads.get_mut(&tenant).unwrap();
                    (load.out, load.served) = (load.out - 1, load.served + 1);
                    let permit = Permit { dest: DEST, conn, begin: PermitKind::Reuse };
                    let orders = node.local_budget.released(&permit, now);
                    self.orders(n, orders);
                }
            }
            Event::Eof(_, _, conn) => {
                let node = &mut self.nodes[n];
                node.local_budget.closed(DEST, conn, now);
                if let Some((tenant, _)) = node.calls.remove(&conn) {
                    node.loads.get_mut(&tenant).unwrap().out -= 1;
                }
            }
            Event::Renewed(_, _, epoch, sent, upto) if self.nodes[n].receives => {
                if self.nodes[n].epoch == epoch {
                    self.nodes[n].local_budget.extend_lease(sent + BOUNDS.lease);
                }
                self.entries(n, upto);
            }
            Event::JoinedAs(_, _, epoch) => {
                let node = &mut self.nodes[n];
                if node.receives && epoch > node.epoch {
                    node.epoch = epoch;
                    node.local_budget.joined(epoch);
                    let orders = node.local_budget.apply_state(&node.budget_state, now);
                    self.orders(n, orders);
                }
            }
            Event::Opens(_, _, conn, call) => self.opens(n, conn, call),
            _ => {}
        }
    }

    /// Begins the calls that there are connections for.
    fn drive(&mut self, n: usize) {
        if !self.nodes[n].up || self.nodes[n].paused {
            return;
        }
        let now = self.local(n);
        let tenants: Vec<String> = self.nodes[n].loads.keys().cloned().collect();
        for tenant in tenants {
            loop {
                let node = &mut self.nodes[n];
                let load = node.loads.get_mut(&tenant).unwrap();
                if load.out >= load.at_once || load.left == 0 {
                    node.local_budget.set_waiting(DEST, &tenant, 0, now);
                    break;
                }
                let Ok(permit) = node.local_budget.acquire(DEST, &tenant, now) else {
                    let more = u64::from(load.at_once - load.out).min(load.left) as u32;
                    node.local_budget.set_waiting(DEST, &tenant, more, now);
                    break;
                };
                (load.out, load.left) = (load.out + 1, load.left.saturating_sub(1));
                self.count += 1;
                let call = self.count;
                self.nodes[n].calls.insert(permit.conn, (tenant.clone(), call));
                let incarnation = self.nodes[n].incarnation;
                match permit.begin {
                    PermitKind::Reuse => self.writes(n, permit.conn, call),
                    // Now and then its process is held up in between.
                    PermitKind::Open if self.faults && self.rng.chance(3) => {
                        let span = self.rng.within(0, 30 * MS);
                        self.after(span, Event::Opens(n, incarnation, permit.conn, call));
                    }
                    PermitKind::Open => self.opens(n, permit.conn, call),
                }
            }
            self.hunger(&tenant);
        }
    }

    fn opens(&mut self, n: usize, conn: u64, call: u64) {
        let (now, incarnation) = (self.local(n), self.nodes[n].incarnation);
        if self.nodes[n].local_budget.confirm_open(DEST, conn, now) {
            self.open.insert((n, incarnation, conn), self.now);
            self.writes(n, conn, call);
        } else if let Some((tenant, _)) = self.nodes[n].calls.remove(&conn) {
            self.nodes[n].loads.get_mut(&tenant).unwrap().out -= 1;
        }
    }

    fn writes(&mut self, n: usize, conn: u64, call: u64) {
        let incarnation = self.nodes[n].incarnation;
        // The partner may have ended it; the courier reads that soon.
        let Some(written) = self.open.get_mut(&(n, incarnation, conn)) else { return };
        *written = self.now;
        let now = self.now;
        self.after(BOUNDS.max_idle, Event::Quiet(n, incarnation, conn, now));
        let mut span = self.rng.within(self.calls.0, self.calls.1);
        if self.rng.chance(self.hang) {
            span = self.rng.within(self.calls.1, 2 * BOUNDS.max_call);
        }
        if self.nodes[n].partner {
            self.after(span, Event::Answer(n, incarnation, conn, call));
        }
    }

    /// How long a tenant goes without any connection in the fleet.
    fn hunger(&mut self, tenant: &str) {
        let mine = self.nodes.iter().filter_map(|node| node.loads.get(tenant));
        let (mut wants, mut out) = (false, 0);
        mine.for_each(|l| (wants, out) = (wants | (l.at_once > l.out && l.left > 0), out + l.out));
        if !wants || out > 0 {
            self.hungry.remove(tenant);
        } else {
            let since = *self.hungry.entry(tenant.into()).or_insert(self.now);
            let longest = self.starved.entry(tenant.into()).or_insert(0);
            *longest = (*longest).max(self.now - since);
        }
    }

    fn lower(&mut self, connections: u32) {
        self.budget.connections = connections;
        let (old, new) = (self.limit, u64::from(connections));
        if new < old {
            // Cut off at that moment, a courier is done after the presence's lease and its own time.
            self.lowered =
                Some((self.now + 2 * S + BOUNDS.lease + BOUNDS.drain_time() + BOUNDS.recall_time(), new));
        } else {
            (self.limit, self.lowered) = (new, None);
        }
    }

    fn crash(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        (node.up, node.paused) = (false, false);
        node.deferred.clear();
        node.calls.clear();
        node.loads.values_mut().for_each(|l| l.out = 0);
        // Each connection is open at the partner until it has noticed; some for all their time.
        let incarnation = node.incarnation;
        let open: Vec<u64> =
            self.open.keys().filter(|k| (k.0, k.1) == (n, incarnation)).map(|k| k.2).collect();
        for conn in open {
            if self.rng.chance(50) {
                let span = self.rng.within(MS, 500 * MS);
                self.after(span, Event::Fin(n, incarnation, conn));
            }
        }
    }

    fn fault(&mut self) {
        let n = self.rng.below(self.nodes.len() as u64) as usize;
        let span = self.rng.within(100 * MS, 7 * S);
        let at = self.rng.below(16);
        match at {
            0..=3 => {
                let way = self.rng.below(3);
                (self.nodes[n].receives, self.nodes[n].sends) = (way == 0, way == 1);
                self.after(span, Event::Repair(n, Repair::Cut));
            }
            4..=5 => {
                self.nodes[n].partner = false;
                self.after(span, Event::Repair(n, Repair::Partner));
            }
            6..=8 if self.nodes[n].up && !self.nodes[n].paused => {
                self.nodes[n].paused = true;
                self.after(span, Event::Repair(n, Repair::Pause));
            }
            9 if self.nodes[n].up => self.nodes[n].local_budget.leave(),
            10 if self.nodes[n].up => {
                self.crash(n);
                self.after(span / 4, Event::Repair(n, Repair::Start));
            }
            11 => self.lead(),
            12 if self.lowered.is_none() => {
                let to = if u64::from(self.budget.connections) == 40 { 20 } else { 40 };
                self.lower(to);
            }
            _ => {
                let (tenant, at_once) = (self.rng.below(5), self.rng.below(30) as u32);
                self.load(n, &format!("t{tenant}"), at_once);
            }
        }
        // About one and a half at a time for each four couriers.
        let span = self.rng.within(20 * MS, 18 * S / self.nodes.len() as u64);
        self.after(span, Event::Fault);
    }

    fn repair(&mut self, n: usize, repair: Repair) {
        match repair {
            Repair::Cut => (self.nodes[n].receives, self.nodes[n].sends) = (true, true),
            Repair::Partner => self.nodes[n].partner = true,
            Repair::Pause => {
                self.nodes[n].paused = false;
                for event in std::mem::take(&mut self.nodes[n].deferred) {
                    self.take(event);
                }
            }
            Repair::Start if !self.nodes[n].up => {
                let now = self.local(n);
                let node = &mut self.nodes[n];
                (node.up, node.incarnation, node.epoch) = (true, node.incarnation + 1, 0);
                (node.budget_state, node.applied, node.renewed) = (BudgetState::default(), 0, 0);
                node.local_budget = LocalBudget::new(&self.names[n], BOUNDS, now);
                node.local_budget.set_budget(&self.budget);
                let incarnation = node.incarnation;
                self.after(MS, Event::Wake(n, incarnation));
            }
            Repair::Start => {}
        }
    }

    fn busy(&self, tenant: &str) -> u32 {
        self.nodes.iter().filter_map(|n| n.loads.get(tenant)).map(|l| l.out).sum()
    }

    fn served(&self, tenant: &str) -> u64 {
        self.nodes.iter().filter_map(|n| n.loads.get(tenant)).map(|l| l.served).sum()
    }

    /// Calls that are out, as a mean of looks every 10 ms.
    fn mean(&mut self, span: u64, tenants: &[&str]) -> f64 {
        let (until, mut sum, mut looks) = (self.now + span, 0, 0);
        while self.now < until {
            self.run(self.now + 10 * MS);
            sum += tenants.iter().map(|t| self.busy(t)).sum::<u32>();
            looks += 1;
        }
        f64::from(sum) / f64::from(looks)
    }

    fn sound(&self) {
        assert_eq!(self.over, None, "more open than the budget");
    }
}

fn tenant(name: &str, weight: f64, floor: u32, ceiling: Option<u32>) -> Tenant {
    Tenant { name: name.into(), weight, floor, ceiling }
}

fn budget(connections: u32, courier_floor: u32, tenants: Vec<Tenant>) -> Budget {
    Budget { dest: DEST, connections, calls: None, span_ms: None, courier_floor, tenants }
}

/// Everything at once: what was found over, or the most that was open.
fn under_faults(seed: u64, couriers: usize, span: u64) -> Result<Sim, String> {
    let floor = if couriers <= 10 { 1 } else { 0 };
    let mut sim = Sim::new(seed, couriers, budget(40, floor, vec![tenant("t0", 2.0, 3, None)]));
    (sim.loss, sim.slow, sim.hang, sim.faults) = (8, 30 * MS, 3, true);
    for n in 0..couriers {
        let (tenant, at_once) = (sim.rng.below(5), sim.rng.below(40) as u32);
        sim.load(n, &format!("t{tenant}"), at_once);
    }
    sim.after(S, Event::Fault);
    sim.run(span);
    match sim.over.take() {
        Some(over) => Err(over),
        None => Ok(sim),
    }
}

#[test]
fn never_more_is_open_than_the_budget_under_any_fault() {
    let mut full = 0;
    for (seed, couriers) in [(1, 3), (2, 3), (3, 4), (4, 5), (5, 8), (6, 10), (7, 20), (8, 30)] {
        let sim = under_faults(seed, couriers, 60 * S).unwrap_or_else(|over| panic!("seed {seed}: {over}"));
        full += u32::from(sim.most >= 39);
        let served: u64 = (0..5).map(|t| sim.served(&format!("t{t}"))).sum();
        println!("seed {seed}, {couriers} couriers: {} open at most of 40, {served} calls", sim.most);
    }
    assert!(full >= 6, "only {full} of 8 are a trial of 40");
}

#[test]
fn the_first_fifty_seeded_days_give_the_same_counts() {
    let day = |seed: u64| {
        let couriers = 3 + (seed % 6) as usize;
        let sim = under_faults(seed, couriers, 20 * S).unwrap_or_else(|over| panic!("seed {seed}: {over}"));
        let served: u64 = (0..5).map(|t| sim.served(&format!("t{t}"))).sum();
        let mut counts = sim.counts;
        counts.set("calls_served", served);
        counts.set("most_open", sim.most as u64);
        counts.set("commands_proposed", sim.proposed.len() as u64);
        counts.set("log_entries", sim.log.len() as u64);
        counts.set("leases_moved", sim.moved.len() as u64);
        counts.set("reports", sim.messages.len() as u64);
        counts.set("newest_term", sim.term);
        counts.line(seed)
    };
    let lines: String = SEEDS.map(day).collect();
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests/budget.txt");
    compare_with_file(&file, &lines);
}

#[test]
fn demand_is_met_and_converges_to_the_fair_allocation() {
    let mut sim =
        Sim::new(11, 6, budget(60, 1, vec![tenant("big", 2.0, 0, None), tenant("low", 1.0, 0, Some(9))]));
    sim.calls = (20 * MS, 200 * MS);
    for n in 0..6 {
        sim.load(n, "big", 40);
        sim.load(n, "low", 40);
        sim.load(n, "one", if n == 0 { 40 } else { 0 });
    }
    sim.run(12 * S);
    let all = ["big", "low", "one"];
    let used = sim.mean(5 * S, &all);
    println!("in use: {used:.2} of 60");
    assert!(used >= 0.95 * 60.0, "{used}");
    let parts = all.map(|t| sim.mean(2 * S, &[t]));
    println!("parts {parts:.2?}, fair 34, 9, 17");
    assert!(parts.iter().zip([34.0, 9.0, 17.0]).all(|(is, fair)| (is - fair).abs() <= 1.0), "{parts:?}");
    // All of the demand moves to another courier and tenant.
    for n in 0..6 {
        all.iter().for_each(|t| sim.load(n, t, 0));
    }
    sim.load(5, "one", 70);
    let from = sim.now;
    // Each other courier's floor is its own, and idle.
    while sim.busy("one") < 55 && sim.now < from + 20 * S {
        sim.run(sim.now + 10 * MS);
    }
    println!("all of it after {} ms", (sim.now - from) / MS);
    assert!(sim.now - from <= S, "{} us", sim.now - from);
    sim.sound();
}

#[test]
fn lent_budget_returns_and_a_lowered_budget_is_met_in_time() {
    let mut sim = Sim::new(19, 5, budget(40, 0, vec![]));
    sim.calls = (600 * MS, 990 * MS);
    (0..5).for_each(|n| sim.load(n, "lent", 40));
    sim.run(6 * S);
    assert!(sim.busy("lent") >= 38, "{}", sim.busy("lent"));
    // A report, a round and an entry of the log there and back, and the calls' own time.
    let moved = 2 * (local::REPORT_INTERVAL + leader::ROUND_INTERVAL + 50 * MS) + BOUNDS.recall_time();
    sim.load(2, "owner", 40);
    let from = sim.now;
    while sim.busy("owner") < 20 && sim.now < from + 20 * S {
        sim.run(sim.now + 10 * MS);
    }
    println!("lent budget is back after {} ms of {}", (sim.now - from) / MS, moved / MS);
    assert!(sim.now - from <= moved);
    sim.lower(12);
    sim.lowered = Some((sim.now + moved, 12));
    sim.run(sim.now + moved + S);
    assert_eq!(sim.limit, 12);
    sim.lower(36);
    let from = sim.now;
    while sim.busy("lent") + sim.busy("owner") < 36 && sim.now < from + 20 * S {
        sim.run(sim.now + 10 * MS);
    }
    println!("a raised budget is used after {} ms", (sim.now - from) / MS);
    assert!(sim.now - from <= leader::ROUND_INTERVAL + 100 * MS);
    sim.sound();
}

#[test]
fn a_flooding_tenant_does_not_reduce_the_others() {
    let served = |flood: bool| {
        let mut sim = Sim::new(12, 5, budget(50, 1, vec![]));
        for n in 0..5 {
            sim.load(n, "a", 3);
            sim.load(n, "b", 1);
            sim.load(n, "c", if n == 2 { 8 } else { 0 });
            sim.load(n, "flood", if flood { 500 } else { 0 });
        }
        sim.run(30 * S);
        sim.sound();
        ["a", "b", "c"].map(|t| sim.served(t))
    };
    let (without, with) = (served(false), served(true));
    println!("without {without:?}, with {with:?}");
    for (with, without) in with.iter().zip(without) {
        assert!(without > 500, "no trial");
        assert!(*with as f64 >= 0.95 * without as f64, "{with} of {without}");
    }
}

#[test]
fn a_tenant_at_all_couriers_gets_no_more_than_one_at_a_single_one() {
    let mut sim = Sim::new(13, 20, budget(40, 0, vec![]));
    (0..20).for_each(|n| sim.load(n, "wide", 50));
    sim.load(3, "narrow", 50);
    sim.run(10 * S);
    let (wide, narrow) = (sim.mean(4 * S, &["wide"]), sim.mean(4 * S, &["narrow"]));
    println!("at twenty couriers {wide:.2}, at one {narrow:.2}");
    assert!((wide - narrow).abs() <= 1.0 && wide + narrow > 38.0, "{wide} {narrow}");
    sim.sound();
}

#[test]
fn a_halved_budget_is_met_while_a_courier_with_half_is_isolated() {
    let mut sim = Sim::new(14, 4, budget(40, 1, vec![]));
    sim.load(0, "a", 40);
    (1..4).for_each(|n| sim.load(n, "b", 7));
    sim.run(6 * S);
    let open = sim.nodes[0].local_budget.open(DEST);
    assert!(open >= 19, "{open} of 40 are at the courier that is cut off");
    (sim.nodes[0].receives, sim.nodes[0].sends) = (false, false);
    sim.lower(20);
    let (at, _) = sim.lowered.unwrap();
    sim.run(at + 3 * S);
    sim.sound();
    let cut = sim.nodes[0].local_budget.open(DEST);
    let others = sim.busy("b");
    println!("cut off {cut}, others {others} of 20");
    assert_eq!(cut, 1, "its floor");
    assert!(others >= 18, "{others} of 19");
    // Back in the fleet, it has its part again.
    (sim.nodes[0].receives, sim.nodes[0].sends) = (true, true);
    sim.run(sim.now + 4 * S);
    assert!(sim.busy("a") >= 9, "{}", sim.busy("a"));
    sim.sound();
}

#[test]
fn a_thousand_tenants_with_one_message_each_are_all_served() {
    let mut sim = Sim::new(15, 5, budget(100, 0, vec![]));
    sim.run(2 * S);
    for t in 0..1000 {
        let name = format!("t{t:04}");
        sim.load(t % 5, &name, 1);
        sim.nodes[t % 5].loads.get_mut(&name).unwrap().left = 1;
    }
    let from = sim.now;
    while sim.nodes.iter().any(|n| n.loads.values().any(|l| l.served == 0)) && sim.now < from + 60 * S {
        sim.run(sim.now + 100 * MS);
    }
    println!("all after {} ms", (sim.now - from) / MS);
    assert!(sim.now - from <= 15 * S);
    sim.sound();
}

#[test]
fn a_tenant_below_its_share_is_served_within_the_bound() {
    // 29 heavy tenants and a light one at 3 connections: its part is a hundredth of a connection at most.
    let mut tenants: Vec<Tenant> = (0..29).map(|n| tenant(&format!("t{n:02}"), 10.0, 0, None)).collect();
    tenants.push(tenant("light", 3.0, 0, None));
    let mut sim = Sim::new(16, 3, budget(3, 0, tenants.clone()));
    for (n, tenant) in tenants.iter().enumerate() {
        sim.load(n % 3, &tenant.name, 2);
    }
    sim.run(400 * S);
    sim.sound();
    for (tenant, waited) in &sim.starved {
        let weight = if tenant == "light" { 3 } else { 10 };
        let bound = starvation(&BOUNDS, 3 * 1_000_000 * weight / 293, 30, 3);
        assert!(*waited <= bound, "{tenant} waited {waited} of {bound} us");
    }
    println!(
        "light waited {} s, the heavy ones {} s at most; bound {} s",
        sim.starved["light"] / S,
        sim.starved.values().max().unwrap() / S,
        starvation(&BOUNDS, 3 * 3_000_000 / 293, 30, 3) / S
    );
    assert_eq!(sim.starved.len(), 30);
    let served = |t: &str| sim.served(t) as f64;
    println!("calls: light {}, a heavy one {}", served("light"), served("t00"));
    assert!(served("light") > 0.0 && served("t00") > 0.0);
}

#[test]
fn flapping_demand_stays_within_the_move_limit() {
    let mut sim = Sim::new(17, 10, budget(200, 0, vec![]));
    for turn in 0..40 {
        for n in 0..10 {
            for t in 0..60 {
                sim.load(n, &format!("t{t:02}"), if (n + t + turn) % 3 == 0 { 5 } else { 0 });
            }
        }
        sim.run(sim.now + 400 * MS);
    }
    sim.sound();
    let most =
        sim.moved.iter().map(|at| sim.moved.iter().filter(|m| (*at..at + S).contains(*m)).count()).max();
    println!("at most {most:?} leases moved in a second, {} in all", sim.moved.len());
    // An entry of the log may be late by its round.
    assert!(most.unwrap() <= MAX_MOVES_PER_SECOND as usize * 105 / 100);
    assert!(most.unwrap() > MAX_MOVES_PER_SECOND as usize / 2, "no trial of the limit");
}

#[test]
fn a_tenants_floor_holds_against_a_flood() {
    let mut sim = Sim::new(18, 4, budget(20, 0, vec![tenant("kept", 0.1, 5, None)]));
    for n in 0..4 {
        sim.load(n, "flood", 100);
        sim.load(n, "kept", 2);
    }
    sim.run(8 * S);
    let kept = sim.mean(4 * S, &["kept"]);
    println!("floor 5: {kept:.2} in use");
    assert!(kept > 4.5, "{kept}");
    sim.sound();
}

/// Demand that comes and goes while calls are long and the log is late: recalls are taken back and told
/// again.
fn under_flapping(seed: u64) -> Result<Sim, String> {
    let mut sim = Sim::new(seed, 3, budget(12, 0, vec![]));
    (sim.loss, sim.late, sim.calls) = (20, 300, (20 * MS, 900 * MS));
    for turn in 0..60 {
        for n in 0..3 {
            sim.load(n, "a", if turn % 3 == n { 12 } else { 1 });
            sim.load(n, "b", if turn % 2 == 0 { 3 } else { 0 });
        }
        sim.run(sim.now + 700 * MS);
    }
    sim.over.take().map_or(Ok(sim), Err)
}

#[test]
fn no_late_or_repeated_entry_lets_more_be_open() {
    for seed in 1..=6 {
        let sim = under_flapping(seed).unwrap_or_else(|over| panic!("seed {seed}: {over}"));
        assert_eq!(sim.most, 12, "seed {seed} is no trial of 12");
    }
}

/// The simulation finds each deliberate break of what keeps the sum within the budget.
#[cfg(feature = "breaks")]
#[test]
fn each_deliberate_break_is_found() {
    use quillmount_fleet::budget::breaks::{ALL, Break, set};
    let mut not_found = Vec::new();
    for one in ALL.iter().filter(|b| !matches!(b, Break::FloorForgotten | Break::TurnsForgotten)) {
        set(Some(*one));
        let found = (1..=40).find_map(|seed| {
            let over = match one {
                Break::NumberIgnored => under_flapping(seed),
                _ => under_faults(seed, 3 + seed as usize % 6, 60 * S),
            };
            over.err().map(|over| (seed, over))
        });
        match found {
            Some((seed, over)) => println!("{one:?}: seed {seed}: {over}"),
            None => not_found.push(*one),
        }
    }
    set(None);
    assert_eq!(not_found, [], "not found");
}

#[cfg(feature = "breaks")]
fn broken(one: breaks::Break, scenario: fn()) {
    breaks::set(Some(one));
    let verdict = std::panic::catch_unwind(scenario);
    breaks::set(None);
    assert!(verdict.is_err(), "{one:?} was not found");
}

#[cfg(feature = "breaks")]
#[test]
fn a_forgotten_floor_and_forgotten_turns_are_found() {
    broken(breaks::Break::FloorForgotten, a_tenants_floor_holds_against_a_flood);
    broken(breaks::Break::TurnsForgotten, a_tenant_below_its_share_is_served_within_the_bound);
}
