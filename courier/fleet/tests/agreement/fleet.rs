//! A simulated Raft group on a virtual clock, with links that lose, duplicate and delay messages or are cut.

use quillmount_core::store::Memory;
use quillmount_fleet::NodeId;
use quillmount_fleet::agreement::{
    Agreement, AgreementError, AgreementInput, AgreementLimits, AgreementOutput, CommittedCommand,
    MembershipChange, RejectReason,
};
use quillmount_test_support::digest::Counts;
use std::collections::{BTreeMap, BTreeSet};

pub const SECOND: u64 = 1_000_000;

/// The committed commands that one courier has applied: index and command.
pub type State = Vec<(u64, u64)>;

pub fn encode_state(state: &State) -> Vec<u8> {
    state.iter().flat_map(|(i, c)| [i.to_le_bytes(), c.to_le_bytes()].concat()).collect()
}

pub fn decode_state(bytes: &[u8]) -> State {
    let read_u64 = |b: &[u8]| u64::from_le_bytes(b.try_into().unwrap());
    bytes.chunks(16).map(|c| (read_u64(&c[..8]), read_u64(&c[8..]))).collect()
}

pub fn decode_commands(committed: &[CommittedCommand]) -> State {
    let number = |command: &[u8]| u64::from_le_bytes(command.try_into().unwrap());
    committed.iter().map(|entry| (entry.index, number(&entry.command))).collect()
}

/// The text by which the tests identify the reason of a rejection.
fn rejection_label(reason: RejectReason) -> &'static str {
    match reason {
        RejectReason::NotLeader => "not leader",
        RejectReason::Busy => "busy",
        RejectReason::QueueFull => "queue full",
        RejectReason::LearnerBehind => "learner behind",
        RejectReason::QuorumAtRisk => "quorum at risk",
        RejectReason::Halted => "halted",
        _ => "other",
    }
}

pub struct Node {
    /// `None` while the courier is down.
    pub agreement: Option<Agreement<Memory>>,
    pub disk: Memory,
    pub state: State,
    /// Index of the last delivered entry.
    pub applied_index: u64,
    pub restart_at: u64,
}

pub struct Fleet {
    pub now: u64,
    pub seed: u64,
    pub limits: AgreementLimits,
    pub nodes: BTreeMap<NodeId, Node>,
    pub in_flight: BTreeMap<(u64, u64), (NodeId, NodeId, Vec<u8>)>,
    pub sent_count: u64,
    /// Messages per thousand that are lost.
    pub loss_permille: u64,
    /// Messages per thousand that are duplicated.
    pub duplicate_permille: u64,
    pub max_delay: u64,
    pub cut_links: BTreeSet<(NodeId, NodeId)>,
    /// Committed command by index, as reported by the first courier.
    pub committed: BTreeMap<u64, u64>,
    /// Leader by term, as reported by the first courier.
    pub leaders_by_term: BTreeMap<u64, NodeId>,
    /// Commands whose commit was reported to the courier that proposed them.
    pub acknowledged: BTreeSet<u64>,
    /// The result of each request, by ticket.
    pub outcomes: Vec<(u64, &'static str)>,
    pub errors: Vec<AgreementError>,
    pub sends_by_node: BTreeMap<NodeId, u64>,
    pub restored: BTreeMap<NodeId, u64>,
    /// Counts and hashes of the couriers' outputs, for the digest files.
    pub counts: Counts,
}

impl Fleet {
    pub fn new(seed: u64, limits: AgreementLimits) -> Self {
        Fleet {
            now: SECOND,
            seed,
            limits,
            nodes: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent_count: 0,
            loss_permille: 0,
            duplicate_permille: 0,
            max_delay: 1_000,
            cut_links: BTreeSet::new(),
            committed: BTreeMap::new(),
            leaders_by_term: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            outcomes: Vec::new(),
            errors: Vec::new(),
            sends_by_node: BTreeMap::new(),
            restored: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// Creates a fleet and adds its members: the voters have ids from 1 on, the learners the ids after them.
    pub fn with_members(seed: u64, limits: AgreementLimits, voters: u64, learners: u64) -> Self {
        let mut fleet = Fleet::new(seed, limits);
        fleet.start(1, Memory::default());
        let out = fleet.agreement(1).bootstrap(SECOND).unwrap();
        fleet.handle(1, out);
        for node_id in 2..=voters + learners {
            fleet.start(node_id, Memory::default());
            fleet.change_membership(MembershipChange::AddLearner(node_id));
            if node_id <= voters {
                fleet.change_membership(MembershipChange::Promote(node_id));
            }
        }
        assert_eq!(fleet.agreement(1).voters().len() as u64, voters);
        assert_eq!(fleet.agreement(1).learners().len() as u64, learners);
        fleet
    }

    pub fn random_below(&mut self, below: u64) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (x ^ (x >> 31)) % below.max(1)
    }

    pub fn agreement(&mut self, node_id: NodeId) -> &mut Agreement<Memory> {
        self.nodes.get_mut(&node_id).unwrap().agreement.as_mut().unwrap()
    }

    pub fn start(&mut self, node_id: NodeId, disk: Memory) {
        let (agreement, opened) = Agreement::open(disk, node_id, self.limits.clone(), self.now).unwrap();
        assert_eq!(agreement.node_id(), node_id);
        let (mut state, mut applied_index) = (decode_state(&opened.state), opened.index);
        for CommittedCommand { index, command } in opened.committed {
            let command = u64::from_le_bytes(command.try_into().unwrap());
            assert_eq!(
                self.committed.get(&index),
                Some(&command),
                "courier {node_id} reports an entry {index} that was not committed"
            );
            state.push((index, command));
            applied_index = index;
        }
        let disk = Memory::default();
        self.nodes
            .insert(node_id, Node { agreement: Some(agreement), disk, state, applied_index, restart_at: 0 });
        self.stop_if_dead(node_id);
    }

    /// Stops the courier if its store has failed in a write with [`Fault::Die`](quillmount_core::store::Fault::Die).
    /// Returns whether the courier is down.
    pub fn stop_if_dead(&mut self, node_id: NodeId) -> bool {
        let now = self.now;
        let node = self.nodes.get_mut(&node_id).unwrap();
        let dead = node.agreement.as_ref().is_none_or(|a| a.store().has_crashed());
        if dead && let Some(agreement) = node.agreement.take() {
            node.disk = Memory::from_bytes(agreement.into_store().bytes().to_vec());
            node.restart_at = now + SECOND / 2;
        }
        dead
    }

    pub fn kill(&mut self, node_id: NodeId) {
        let node = self.nodes.get_mut(&node_id).unwrap();
        node.disk = Memory::from_bytes(node.agreement.take().unwrap().into_store().bytes().to_vec());
        node.restart_at = u64::MAX;
    }

    pub fn step(&mut self, node_id: NodeId, input: AgreementInput) {
        let now = self.now;
        let Some(agreement) = self.nodes.get_mut(&node_id).unwrap().agreement.as_mut() else { return };
        let out = agreement.step(input, now);
        self.handle(node_id, out);
    }

    pub fn handle(&mut self, node_id: NodeId, out: Vec<AgreementOutput>) {
        // The outputs of a killed process are discarded.
        if self.stop_if_dead(node_id) {
            return;
        }
        let mut snapshot_requested = false;
        for output in out {
            self.count_output(node_id, &output);
            match output {
                AgreementOutput::Send { to, bytes } => self.send(node_id, to, &bytes),
                AgreementOutput::Committed { index, ticket, command } => {
                    let command = u64::from_le_bytes(command.try_into().unwrap());
                    self.apply_committed(node_id, index, ticket, command);
                }
                AgreementOutput::Restored { index, state } => {
                    let state = decode_state(&state);
                    assert!(state.iter().all(|(i, c)| *i <= index && self.committed.get(i) == Some(c)));
                    let node = self.nodes.get_mut(&node_id).unwrap();
                    (node.state, node.applied_index) = (state, index);
                    *self.restored.entry(node_id).or_default() += 1;
                }
                AgreementOutput::MembershipChanged { ticket: Some(ticket), .. } => {
                    self.outcomes.push((ticket, "changed"));
                }
                AgreementOutput::MembershipChanged { .. } => {}
                AgreementOutput::ReadReady { ticket } => self.outcomes.push((ticket, "read ready")),
                AgreementOutput::Rejected { ticket, reason, .. } => {
                    self.outcomes.push((ticket, rejection_label(reason)));
                }
                AgreementOutput::Indeterminate { ticket } => self.outcomes.push((ticket, "indeterminate")),
                AgreementOutput::SnapshotRequested => snapshot_requested = true,
                AgreementOutput::LeaderChanged { leader, term } => {
                    if leader == Some(node_id) {
                        let first = *self.leaders_by_term.entry(term).or_insert(node_id);
                        assert_eq!(first, node_id, "two leaders in term {term}");
                    }
                }
                AgreementOutput::Failed(error) | AgreementOutput::Halted(error) => self.errors.push(error),
            }
        }
        if snapshot_requested {
            let node = &self.nodes[&node_id];
            let input =
                AgreementInput::Snapshot { through: node.applied_index, state: encode_state(&node.state) };
            self.step(node_id, input);
        }
    }

    /// Sends a message over a link that may lose, duplicate and delay it.
    fn send(&mut self, from: NodeId, to: NodeId, bytes: &[u8]) {
        *self.sends_by_node.entry(from).or_default() += 1;
        let copies = 1 + u64::from(self.random_below(1000) < self.duplicate_permille);
        for _ in 0..copies {
            if self.random_below(1000) < self.loss_permille || self.cut_links.contains(&(from, to)) {
                continue;
            }
            self.sent_count += 1;
            let arrives_at = self.now + 100 + self.random_below(self.max_delay);
            self.in_flight.insert((arrives_at, self.sent_count), (from, to, bytes.into()));
        }
    }

    /// Applies a committed command, and checks that all couriers apply the same command at this index, and only once.
    fn apply_committed(&mut self, node_id: NodeId, index: u64, ticket: Option<u64>, command: u64) {
        let agreed = *self.committed.entry(index).or_insert(command);
        assert_eq!(agreed, command, "courier {node_id} differs at {index}");
        let node = self.nodes.get_mut(&node_id).unwrap();
        assert!(node.applied_index < index, "courier {node_id} applies {index} twice");
        node.state.push((index, command));
        node.applied_index = index;
        if let Some(ticket) = ticket {
            assert_eq!(ticket, command);
            self.acknowledged.insert(command);
            self.outcomes.push((ticket, "committed"));
        }
    }

    pub fn count_output(&mut self, node_id: NodeId, output: &AgreementOutput) {
        let now = self.now;
        match output {
            AgreementOutput::Send { to, bytes } => {
                self.counts.count("messages", &[now, node_id, *to, bytes.len() as u64]);
            }
            AgreementOutput::Committed { index, .. } => self.counts.count("commits", &[now, node_id, *index]),
            AgreementOutput::Restored { index, .. } => {
                self.counts.count("snapshots_restored", &[now, node_id, *index]);
            }
            AgreementOutput::MembershipChanged { .. } => {
                self.counts.count("membership_changes", &[now, node_id]);
            }
            AgreementOutput::ReadReady { ticket } => {
                self.counts.count("reads_confirmed", &[now, node_id, *ticket]);
            }
            AgreementOutput::Rejected { ticket, .. } => {
                self.counts.count("rejections", &[now, node_id, *ticket]);
            }
            AgreementOutput::Indeterminate { ticket } => {
                self.counts.count("uncertain", &[now, node_id, *ticket]);
            }
            AgreementOutput::SnapshotRequested => self.counts.count("snapshots_requested", &[now, node_id]),
            AgreementOutput::LeaderChanged { leader, term } => {
                self.counts.count("leader_changes", &[now, node_id, leader.unwrap_or(0), *term]);
            }
            AgreementOutput::Failed(_) | AgreementOutput::Halted(_) => {
                self.counts.count("errors", &[now, node_id]);
            }
        }
    }

    /// Processes the next event up to the time `until`. Returns whether there was one.
    pub fn next(&mut self, until: u64) -> bool {
        let message = self.in_flight.first_key_value().map(|((at, _), _)| *at);
        let wake = |(node_id, node): (&NodeId, &Node)| match &node.agreement {
            Some(agreement) => agreement.wake_at().map(|at| (at, *node_id)),
            None => Some((node.restart_at, *node_id)),
        };
        let wake = self.nodes.iter().filter_map(wake).min();
        let at = message.into_iter().chain(wake.map(|(at, _)| at)).min();
        let Some(at) = at.filter(|at| *at <= until) else {
            self.now = until;
            return false;
        };
        self.now = self.now.max(at);
        if message == Some(at) {
            let (_, (from, to, bytes)) = self.in_flight.pop_first().unwrap();
            if self.nodes.contains_key(&to) {
                self.step(to, AgreementInput::Receive { from, bytes });
            }
        } else if let Some((_, node_id)) = wake {
            if self.nodes[&node_id].agreement.is_some() {
                self.step(node_id, AgreementInput::Tick);
            } else {
                let disk = self.nodes[&node_id].disk.clone();
                self.start(node_id, disk);
            }
        }
        true
    }

    pub fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.next(until) {}
    }

    pub fn run_until(&mut self, condition: &str, done: impl Fn(&Fleet) -> bool) {
        let until = self.now + 60 * SECOND;
        while !done(self) {
            assert!(self.next(until), "condition was not met: {condition}");
        }
    }

    /// The courier that is leader in the highest term according to its own state.
    pub fn leader(&self) -> Option<NodeId> {
        let running = self.nodes.values().filter_map(|n| n.agreement.as_ref());
        running.filter(|a| a.is_leader()).max_by_key(|a| a.term()).map(|a| a.node_id())
    }

    /// Proposes a change of the members to the leader until it is committed.
    pub fn change_membership(&mut self, change: MembershipChange) {
        for ticket in 1_000_000.. {
            self.run_until("a leader", |f| f.leader().is_some());
            let leader = self.leader().unwrap();
            let before = self.outcomes.len();
            self.step(leader, AgreementInput::ChangeMembership { ticket, change });
            self.run_until("the result of the change", |f| {
                f.outcomes[before..].iter().any(|(t, _)| *t == ticket)
            });
            if self.outcomes[before..].contains(&(ticket, "changed")) {
                return;
            }
            assert!(ticket < 1_000_500, "{change:?} was never committed: {:?}", &self.outcomes[before..]);
            self.run(SECOND / 10);
        }
    }

    /// Proposes a command to the leader until its commit is reported.
    pub fn commit(&mut self, command: u64) {
        for _ in 0..200 {
            self.run_until("a leader", |f| f.leader().is_some());
            let leader = self.leader().unwrap();
            self.step(
                leader,
                AgreementInput::Propose { ticket: command, command: command.to_le_bytes().to_vec() },
            );
            let until = self.now + SECOND;
            while !self.acknowledged.contains(&command) && self.next(until) {}
            if self.acknowledged.contains(&command) {
                return;
            }
        }
        panic!("command {command} was never committed");
    }

    /// Asserts that all couriers reach the same state, which contains all acknowledged commands.
    pub fn assert_converged(&mut self) {
        self.run(5 * SECOND);
        let expected: State = self.committed.iter().map(|(i, c)| (*i, *c)).collect();
        for (node_id, node) in &self.nodes {
            assert!(node.agreement.is_some(), "courier {node_id} is down");
            assert_eq!(node.state, expected, "courier {node_id} {:?}", self.errors);
        }
        let present: BTreeSet<u64> = expected.iter().map(|(_, c)| *c).collect();
        assert!(self.acknowledged.is_subset(&present));
    }
}

/// Runs a fleet over faulty links until it converges. Commands are proposed to any courier that considers itself
/// leader.
pub fn run_over_faulty_links(seed: u64) -> Fleet {
    let limits = AgreementLimits { seed, log_bytes: 2_000, ..AgreementLimits::default() };
    let mut fleet = Fleet::with_members(seed, limits, 3 + 2 * (seed % 2), 1);
    (fleet.loss_permille, fleet.duplicate_permille, fleet.max_delay) = (50, 50, 40_000);
    let all: Vec<NodeId> = fleet.nodes.keys().copied().collect();
    for round in 0..15 {
        fleet.cut_links.clear();
        for from in &all {
            for to in &all {
                // Links are cut in one direction or in both.
                if fleet.random_below(4) == 0 {
                    fleet.cut_links.insert((*from, *to));
                }
            }
        }
        for n in 0..20 {
            let (command, node_id) = (1 + round * 20 + n, all[fleet.random_below(all.len() as u64) as usize]);
            // The receiver may be a stale leader.
            let proposer = if fleet.agreement(node_id).is_leader() {
                node_id
            } else {
                fleet.leader().unwrap_or(node_id)
            };
            fleet.step(
                proposer,
                AgreementInput::Propose { ticket: command, command: command.to_le_bytes().to_vec() },
            );
            let span = fleet.random_below(SECOND / 5);
            fleet.run(span);
        }
    }
    fleet.cut_links.clear();
    (fleet.loss_permille, fleet.duplicate_permille) = (0, 0);
    fleet.commit(10_000);
    fleet.assert_converged();
    fleet
}
