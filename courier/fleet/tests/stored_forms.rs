//! What couriers of a fleet store and send each other: bytes that an earlier version wrote are read to the same values, and
//! the same values are written as the same bytes. `WRITE_FIXTURES=1` writes the files anew.

#[allow(dead_code)]
mod common;

use bytes::Bytes;
use common::{Disk, SEC, World};
use quillmount_core::journal::{self, JournalContents, JournalRecord};
use quillmount_core::store::{Memory, Store};
use quillmount_fleet::agreement::{
    Agreement, AgreementInput, AgreementLimits, AgreementOutput, MembershipChange,
};
use quillmount_fleet::budget::{self, Budget, BudgetGate, Report, ReportLine, Tenant, TimeBounds};
use quillmount_fleet::member::StoreDirectory;
use quillmount_fleet::message::{Envelope, FleetMessage, ReplicaPosition};
use quillmount_fleet::settlement::journal_lines::{JournalLine, MessagePayload};
use quillmount_fleet::settlement::{
    self, Cause, End, Mode, Outcome, PositionRef, Repeat, Resume, SequencedMessage, SettlementError,
    SettlementId, SettlementProgress, SettlementRecord, SettlementReply, SettlementRequest, Verdict,
};
use quillmount_fleet::shares::BudgetKind;
use quillmount_fleet::state::{FleetCommand, FleetState, JournalId, PARTITIONS, PartitionId, PartitionState};
use quillmount_test_support::fixtures::Fixtures;
use std::collections::{BTreeMap, BTreeSet};

const FIXTURES: Fixtures = Fixtures::of_package(env!("CARGO_MANIFEST_DIR"));

const NOW: u64 = 1_700_000_000_000_000;

fn id() -> SettlementId {
    SettlementId { tenant: "north".into(), name: "evening".into(), dest: 700 }
}

fn sequenced(position: u64, repeat: Repeat) -> SequencedMessage {
    SequencedMessage {
        position,
        total: position.is_multiple_of(2).then_some(300),
        message_id: format!("m{position}"),
        repeat,
        deadline: NOW + position,
        size: 1_000,
        checksum: 0xdead_beef,
    }
}

fn journal_id(owner: &str, epoch: u64) -> JournalId {
    JournalId { owner: owner.into(), epoch }
}

fn source(owner: &str, epoch: u64, partition: usize) -> PartitionId {
    PartitionId { journal: journal_id(owner, epoch), partition }
}

fn verdicts() -> Vec<Verdict> {
    let causes = [
        Cause::MayHaveRun,
        Cause::Failed,
        Cause::OutOfTime,
        Cause::Missing,
        Cause::Idle,
        Cause::SessionLost,
        Cause::Unconfirmed,
        Cause::RecordsLost,
    ];
    let broken = causes.into_iter().map(|cause| Verdict::Broken { at: 200, cause });
    [Verdict::Closed { total: 300 }].into_iter().chain(broken).collect()
}

fn ends() -> Vec<End> {
    vec![End::Delivered, End::MayHaveRun, End::Failed, End::OutOfTime, End::NeverRan { broken_at: 200 }]
}

fn errors() -> Vec<SettlementError> {
    let at = || id().at(200);
    vec![
        SettlementError::Field { at: at(), field: "position".into() },
        SettlementError::Zero(at()),
        SettlementError::Beyond { at: at(), total: 300 },
        SettlementError::TwoCounts { at: at(), total: 300, other: 301 },
        SettlementError::PositionTwice { at: at(), first: "m1".into() },
        SettlementError::Gap { at: at(), total: 300 },
        SettlementError::OtherOpen { at: at(), open: "noon".into() },
        SettlementError::NotOpened(at()),
        SettlementError::AfterClosing(PositionRef::default()),
        SettlementError::TooLong { at: at(), most: 300 },
        SettlementError::Late(at()),
        SettlementError::TooManyWaiting { at: at(), waiting: 1, bytes: 300, after: 1_000 },
        SettlementError::TooManyOpen { at: at(), open: 300, after: 1_000 },
        SettlementError::Busy { at: at(), pending: 300, after: 1_000 },
        SettlementError::StorageFull(at()),
        SettlementError::NoReply(at()),
        SettlementError::Ended { at: at(), verdict: Verdict::Closed { total: 300 } },
        SettlementError::NoPinnableConnection { at: at(), budget: 1, least: 300 },
    ]
}

fn report() -> Report {
    let line =
        |n: u64, released| ReportLine { dest: n, tenant: format!("t{n}"), demand: 300, open: 2, released };
    Report {
        courier: "a".into(),
        epoch: 300,
        sequence: 301,
        clear: true,
        left: false,
        lines: vec![line(1, None), line(300, Some(budget::ConfirmedRecall { number: 302, connections: 1 }))],
    }
}

fn budget_commands() -> Vec<budget::BudgetCommand> {
    use budget::BudgetCommand::*;
    let courier = || "a".to_string();
    let (dest, epoch, tenant) = (700, 300, || "north".to_string());
    vec![
        Budget { dest, connections: 400, floor: 2, couriers: vec!["a".into(), "b".into()] },
        Joined { courier: courier(), epoch },
        Lapsed { courier: courier(), epoch },
        Expired { courier: courier(), epoch },
        Aged { courier: courier(), epoch },
        Left { courier: courier(), epoch },
        Ended { dest },
        Removed { courier: courier() },
        Set { dest, tenant: tenant(), courier: courier(), epoch, to: 5 },
        Released { dest, tenant: tenant(), courier: courier(), epoch, number: 301, to: 4 },
    ]
}

fn settlement_commands() -> Vec<settlement::SettlementCommand> {
    use settlement::SettlementCommand::*;
    let verdict = Verdict::Closed { total: 300 };
    vec![
        Open { id: id(), owner: "a".into(), owner_epoch: 300 },
        Move { id: id(), term: 301, to: "b".into(), to_epoch: 302, boundary: true },
        CaughtUp { id: id(), term: 301 },
        Close { id: id(), term: 301, verdict, until: NOW },
        CancelDrain { courier: "a".into(), epoch: 300 },
        Forget { before: NOW },
    ]
}

/// One of each kind of command that couriers agree on.
fn commands() -> Vec<FleetCommand> {
    let replicas = BTreeSet::from(["b".to_string(), "c".to_string()]);
    let mut all = vec![
        FleetCommand::Join { name: "a".into(), node_id: 0xfeed_beef, incarnation: 300, journal: None },
        FleetCommand::Join { name: "a".into(), node_id: 1, incarnation: 2, journal: Some(300) },
        FleetCommand::Deregister { name: "a".into(), epoch: 300 },
        FleetCommand::SetReplicas { journal: journal_id("a", 300), version: 301, replicas },
        FleetCommand::Adopted { source: source("a", 300, 15), by: "b".into(), epoch: 302 },
        FleetCommand::Done { source: source("a", 300, 15), by: "b".into(), epoch: 302 },
    ];
    all.extend(
        budget_commands().into_iter().map(|command| FleetCommand::Budget(BudgetKind::Connections, command)),
    );
    all.extend(budget_commands().into_iter().map(|command| FleetCommand::Budget(BudgetKind::Calls, command)));
    all.extend(settlement_commands().into_iter().map(FleetCommand::Settlement));
    all
}

/// One of each kind of message between couriers.
fn messages() -> Vec<FleetMessage> {
    let position_at = |len| ReplicaPosition { generation: 2, len };
    let bytes = Bytes::from_static(b"bytes");
    let settlement =
        |message| FleetMessage::Settlement { message: Box::new(message), payload: bytes.clone() };
    let mut all = vec![
        FleetMessage::Hello { fresh: true },
        FleetMessage::HelloReply { fresh: false },
        FleetMessage::Agreement(bytes.clone()),
    ];
    all.extend(commands().into_iter().map(FleetMessage::Propose));
    all.extend([
        FleetMessage::RenewLease { epoch: 300, ticket: 301 },
        FleetMessage::LeaseGranted { epoch: 300, ticket: 301 },
        FleetMessage::Append {
            journal: journal_id("a", 300),
            generation: 2,
            complete_len: 400,
            offset: 500,
            bytes: bytes.clone(),
        },
        FleetMessage::AppendAck {
            journal: journal_id("a", 300),
            position: position_at(500),
            staged: position_at(0),
        },
        FleetMessage::Fetch { journal: journal_id("a", 300), offset: 500 },
        FleetMessage::Page { journal: journal_id("a", 300), offset: 500, total: 600, bytes: bytes.clone() },
        FleetMessage::UnknownJournal { journal: journal_id("a", 300) },
        FleetMessage::BudgetReport(BudgetKind::Connections, report()),
        FleetMessage::BudgetReport(BudgetKind::Calls, report()),
    ]);
    let requests = [
        SettlementRequest::Submit(sequenced(1, Repeat::Never)),
        SettlementRequest::Submit(sequenced(200, Repeat::Within(6_000_000))),
        SettlementRequest::Submit(sequenced(201, Repeat::Freely)),
        SettlementRequest::Closing { total: 300 },
    ];
    all.extend(
        requests
            .clone()
            .map(|request| settlement(settlement::SettlementMessage::Request { id: id(), request })),
    );
    let replies =
        [SettlementReply::Accepted].into_iter().chain(ends().into_iter().map(SettlementReply::Ended));
    let replies = replies.chain(errors().into_iter().map(SettlementReply::Rejected));
    all.extend(replies.map(|reply| {
        settlement(settlement::SettlementMessage::Reply { id: id(), request: requests[3].clone(), reply })
    }));
    all
}

/// Each in an envelope of its own, behind its length.
#[test]
fn messages_between_couriers_are_read_and_written_as_ever() {
    let envelope = |message: &FleetMessage| Envelope {
        from: "a".into(),
        to: "b".into(),
        node_id: 0xfeed_beef,
        messages: vec![message.clone()],
    };
    let written: Vec<Vec<u8>> = messages().iter().map(|message| envelope(message).encode()).collect();
    let stored = FIXTURES.check("envelopes.bin", &postcard::to_stdvec(&written).unwrap());
    let stored: Vec<Vec<u8>> = postcard::from_bytes(&stored).unwrap();
    assert_eq!(stored.len(), messages().len());
    for (bytes, message) in stored.iter().zip(messages()) {
        let read = Envelope::decode(bytes).unwrap();
        assert_eq!(read, envelope(&message));
        assert_eq!(read.encode(), *bytes);
    }
}

/// Each kind of record that a settlement's home writes, and a copy of all that they come to.
fn settlement_records() -> Vec<SettlementRecord> {
    let mut all = vec![
        SettlementRecord::Opened { id: id(), term: 1, mode: Mode::Message },
        SettlementRecord::Opened {
            id: id(),
            term: 2,
            mode: Mode::Session { resume: Resume::Never, linger: 5_000_000 },
        },
        SettlementRecord::Opened {
            id: id(),
            term: 3,
            mode: Mode::Session { resume: Resume::AfterAnswer, linger: 5_000_000 },
        },
    ];
    let repeats = [Repeat::Never, Repeat::Within(6_000_000), Repeat::Freely];
    let hands = (1..).zip(repeats.into_iter().cycle()).take(7);
    all.extend(
        hands.map(|(n, repeat)| SettlementRecord::Submitted { id: id(), sequenced: sequenced(n, repeat) }),
    );
    all.push(SettlementRecord::Count { id: id(), total: 300 });
    all.extend([
        SettlementRecord::Session { id: id(), n: 1 },
        SettlementRecord::SessionEnded { id: id(), n: 1 },
    ]);
    all.push(SettlementRecord::Session { id: id(), n: 300 });
    let outcomes = [
        Outcome::Delivered,
        Outcome::NeverRan { after: 1_000 },
        Outcome::MayHaveRun,
        Outcome::Failed,
        Outcome::OutOfTime,
    ];
    for (position, outcome) in (1..).zip(outcomes) {
        all.push(SettlementRecord::Released { id: id(), position, at: NOW + position });
        all.push(SettlementRecord::Outcome { id: id(), position, outcome });
    }
    all.push(SettlementRecord::Released { id: id(), position: 6, at: NOW + 6 });
    let progress = SettlementProgress::read(&id(), &[all.clone()]);
    all.push(SettlementRecord::Snapshot { id: id(), progress: Box::new(progress) });
    all.push(SettlementRecord::Snapshot { id: id(), progress: Box::default() });
    all.extend(verdicts().into_iter().map(|verdict| SettlementRecord::Verdict { id: id(), verdict }));
    all
}

#[test]
fn records_of_settlements_are_read_and_written_as_ever() {
    let records = settlement_records();
    let written: Vec<Vec<u8>> = records.iter().map(|record| record.encode().unwrap()).collect();
    let stored = FIXTURES.check("settlement_records.bin", &postcard::to_stdvec(&written).unwrap());
    let stored: Vec<Vec<u8>> = postcard::from_bytes(&stored).unwrap();
    let read: Vec<SettlementRecord> =
        stored.iter().map(|bytes| SettlementRecord::decode(bytes).unwrap()).collect();
    assert_eq!(read, records);
    // What they come to before the copy, in detail.
    let copy = records.iter().position(|record| matches!(record, SettlementRecord::Snapshot { .. })).unwrap();
    let progress = SettlementProgress::read(&id(), &[read[..copy].to_vec()]);
    assert_eq!((progress.term, progress.total, progress.next), (3, Some(300), 2));
    assert_eq!(progress.mode, Some(Mode::Session { resume: Resume::AfterAnswer, linger: 5_000_000 }));
    assert_eq!((progress.sessions, progress.session, progress.verdict), (300, Some(300), None));
    assert_eq!((progress.waiting, progress.bytes), (4, 4_000));
    let held = |n: u64| {
        (progress.positions[&n].sent_at, progress.positions[&n].first_attempt, progress.positions[&n].end)
    };
    assert_eq!(held(1), (None, None, Some(End::Delivered)));
    assert_eq!(held(2), (None, None, None));
    assert_eq!(held(3), (None, Some(NOW + 3), None));
    assert_eq!(held(4), (None, None, Some(End::Failed)));
    assert_eq!(held(5), (None, None, Some(End::OutOfTime)));
    assert_eq!(held(6), (Some(NOW + 6), None, None));
    assert_eq!(held(7), (None, None, None));
    assert_eq!(progress.positions[&2].sequenced, sequenced(2, Repeat::Within(6_000_000)));
}

/// The same as lines of a courier's journal, some with the message that is to be sent.
#[test]
fn lines_of_settlements_are_read_and_written_as_ever() {
    let payload = |key: Option<&str>, tenant: Option<&str>| MessagePayload {
        class: "fee-debit".into(),
        key: key.map(Into::into),
        tenant: tenant.map(Into::into),
        body: Bytes::from_static(b"body"),
    };
    let payloads = [payload(None, None), payload(Some("k"), Some("north"))];
    assert_eq!(payloads.each_ref().map(MessagePayload::checksum), CHECKSUMS, "one position has one checksum");
    let record = settlement_records().remove(3);
    let mut all: Vec<JournalLine> = settlement_records().into_iter().map(JournalLine::Record).collect();
    all.push(JournalLine::Submitted(record.clone(), payloads[0].clone()));
    all.push(JournalLine::Submitted(record, payloads[1].clone()));
    all.push(JournalLine::Payload { position: 300, payload: payloads[1].clone() });
    let lines: Vec<JournalRecord> = all.iter().map(|one| one.line(&id()).unwrap()).collect();
    let written: Vec<u8> = lines.iter().flat_map(|line| journal::frame(line).unwrap()).collect();
    let stored = FIXTURES.check("settlement_journal.bin", &written);
    let (book, sound) = JournalContents::read(&stored);
    assert_eq!((sound, book.settlements.0.len()), (stored.len(), 1));
    let (of, progress) = book.settlements.0.first_key_value().unwrap();
    assert_eq!(of, "north\u{1f}evening\u{1f}700");
    // The last copy stands for all before it.
    let last = all
        .iter()
        .rposition(|one| matches!(one, JournalLine::Record(SettlementRecord::Snapshot { .. })))
        .unwrap();
    assert_eq!(progress.len(), all.len() - last);
    for (line, one) in progress.iter().zip(&all[last..]) {
        let read = JournalLine::read(line).unwrap();
        assert_eq!(read.line(&id()), one.line(&id()));
        assert_eq!(read.record(), one.clone().record());
    }
    let Some(JournalLine::Payload { position, payload }) = JournalLine::read(&progress[progress.len() - 1])
    else {
        panic!()
    };
    assert_eq!((position, &payload), (300, &payloads[1]));
}

const CHECKSUMS: [u64; 2] = [2_978_035_951, 4_073_335_627];

/// A state in which something of each kind is agreed.
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn fleet_state() -> FleetState {
    let mut agreed = FleetState::default();
    let join = |name: &str, incarnation, journal| FleetCommand::Join {
        name: name.into(),
        node_id: 7 + incarnation,
        incarnation,
        journal,
    };
    for (name, life) in [("a", 300), ("b", 301), ("c", 302)] {
        agreed.apply(join(name, life, None));
    }
    let copies = |owner: &str, epoch, copy: &str| FleetCommand::SetReplicas {
        journal: journal_id(owner, epoch),
        version: 0,
        replicas: BTreeSet::from([copy.to_string()]),
    };
    agreed.apply(copies("a", 1, "b"));
    agreed.apply(copies("b", 2, "c"));
    for count in [BudgetKind::Connections, BudgetKind::Calls] {
        let set = |tenant: &str, courier: &str, epoch, to| budget::BudgetCommand::Set {
            dest: 700,
            tenant: tenant.into(),
            courier: courier.into(),
            epoch,
            to,
        };
        let couriers = vec!["a".into(), "b".into(), "c".into()];
        for command in [
            budget::BudgetCommand::Budget {
                dest: 700,
                connections: 18,
                floor: 2,
                couriers: couriers.clone(),
            },
            budget::BudgetCommand::Aged { courier: "a".into(), epoch: 1 },
            set("north", "a", 1, 5),
            set("north", "b", 2, 4),
            set("south", "b", 2, 3),
            // Recalled, and not confirmed.
            set("north", "b", 2, 1),
            // Raised, without room for it.
            budget::BudgetCommand::Budget { dest: 700, connections: 18, floor: 6, couriers },
        ] {
            agreed.apply(FleetCommand::Budget(count, command));
        }
    }
    let name = |n: u64| SettlementId { name: format!("s{n}"), dest: n, ..id() };
    for n in 0..20 {
        let home = (["a", "b"][n as usize % 2], 1 + n % 2);
        let open =
            settlement::SettlementCommand::Open { id: name(n), owner: home.0.into(), owner_epoch: home.1 };
        agreed.apply(FleetCommand::Settlement(open));
    }
    for (n, verdict) in (0..).zip(verdicts()) {
        let term = agreed.settlements.owner(&name(n)).unwrap().term;
        let close = settlement::SettlementCommand::Close { id: name(n), term, verdict, until: NOW + n };
        agreed.apply(FleetCommand::Settlement(close));
    }
    let moved = name(10);
    let term = agreed.settlements.owner(&moved).unwrap().term;
    let to =
        settlement::SettlementCommand::Move { id: moved, term, to: "c".into(), to_epoch: 3, boundary: true };
    agreed.apply(FleetCommand::Settlement(to));
    // Its book is sealed, and parts of it are at each step of their way.
    agreed.apply(FleetCommand::Deregister { name: "b".into(), epoch: 2 });
    let given: Vec<(PartitionId, String, u64)> = ["a", "c"]
        .into_iter()
        .zip([1, 3])
        .flat_map(|(name, epoch)| {
            agreed
                .assigned_to(name, epoch)
                .map(move |source| (source, name.to_string(), epoch))
                .collect::<Vec<_>>()
        })
        .collect();
    for (n, (source, by, epoch)) in given.into_iter().enumerate().filter(|(n, _)| n % 3 > 0) {
        agreed.apply(FleetCommand::Adopted { source: source.clone(), by: by.clone(), epoch });
        if n % 3 == 2 {
            agreed.apply(FleetCommand::Done { source, by, epoch });
        }
    }
    // It is back, and its old book is others'.
    agreed.apply(join("b", 400, Some(2)));
    agreed
}

#[test]
fn the_agreed_state_is_read_and_written_as_ever() {
    let state = fleet_state();
    let stored = FIXTURES.check("agreed_state.bin", &postcard::to_stdvec(&state).unwrap());
    let read: FleetState = postcard::from_bytes(&stored).unwrap();
    assert_eq!(read, state);
    assert_eq!(read.epoch, 4);
    let member = |name: &str| {
        let m = &read.members[name];
        (m.node_id, m.incarnation, m.epoch, m.serving)
    };
    assert_eq!(member("a"), (307, 300, 1, true));
    assert_eq!(member("b"), (407, 400, 4, true));
    assert_eq!(member("c"), (309, 302, 3, true));
    let sealed = &read.journals[&journal_id("b", 2)];
    let parts = sealed.sealed.as_ref().unwrap();
    assert_eq!((sealed.lineage, parts.len()), (2, PARTITIONS));
    let done = parts.iter().filter(|part| **part == PartitionState::Done).count();
    let taken = parts.iter().filter(|part| matches!(part, PartitionState::Adopted(..))).count();
    let given = parts.iter().filter(|part| matches!(part, PartitionState::Assigned(..))).count();
    assert_eq!((given, taken, done), (6, 5, 5));
    let own = &read.journals[&journal_id("a", 1)];
    assert_eq!((own.lineage, own.sealed.is_none()), (1, true));
    for shared in [&read.shared.connections, &read.shared.calls] {
        let partner = shared.partner(700).unwrap();
        assert_eq!(partner.connections, 18);
        let held = |courier: &str, epoch| {
            let held = partner.shares(courier, epoch);
            held.map(|(t, h)| (t.to_string(), h.granted, h.recalled, h.number)).collect::<Vec<_>>()
        };
        assert_eq!(held("a", 1), [("north".into(), 5, None, 1)]);
        assert_eq!(held("b", 2), [("north".into(), 4, Some(1), 4), ("south".into(), 3, None, 3)]);
        let floors = ["a", "b", "c"].map(|c| (partner.floor(c), partner.target_floor(c)));
        assert_eq!(floors, [(6, 6), (6, 6), (2, 6)], "one has no room yet");
    }
    let name = |n: u64| SettlementId { name: format!("s{n}"), dest: n, ..id() };
    let home = read.settlements.owner(&name(10)).unwrap();
    assert_eq!((home.courier.as_str(), home.epoch), ("c", 3));
    assert_eq!(read.settlements.owner(&name(0)), None, "it is over");
    // An earlier version's state goes on as this one's.
    let (mut one, mut other) = (read, state);
    for command in commands() {
        assert_eq!(one.apply(command.clone()), other.apply(command));
    }
    assert_eq!(one, other);
}

/// What a courier may use of partners' budgets, with connections in each state.
#[test]
fn what_a_courier_holds_of_budgets_is_read_and_written_as_ever() {
    let terms = TimeBounds { max_call: 2_000_000, max_idle: 1_000_000, lease: 2_000_000 };
    let tenant = |name: &str| Tenant { name: name.into(), weight: 2.5, floor: 1, ceiling: Some(9) };
    let budget = Budget {
        dest: 700,
        connections: 20,
        calls: Some(300),
        span_ms: Some(1_000),
        courier_floor: 2,
        tenants: vec![tenant("north")],
    };
    let mut gate = BudgetGate::new("a", terms, &[budget], NOW);
    let state = fleet_state();
    gate.joined(1);
    gate.extend_lease(NOW + 60_000_000);
    gate.apply_state(&state.shared.connections, &state.shared.calls, NOW + 1);
    gate.set_waiting(700, "north", 9, NOW + 2);
    let mut permits = Vec::new();
    for n in 0..8 {
        let now = NOW + 10 + n;
        if let Ok(permit) = gate.acquire(700, "north", now) {
            gate.connections.confirm_open(700, permit.conn, now);
            permits.push(permit);
        }
    }
    assert_eq!(permits.len(), 5);
    gate.connections.released(&permits[0], NOW + 30);
    gate.connections.closing(700, permits[1].conn, NOW + 31);
    gate.reports(NOW + 300_000);
    let stored = FIXTURES.check("budget_gate.bin", &postcard::to_stdvec(&gate).unwrap());
    let mut read: BudgetGate = postcard::from_bytes(&stored).unwrap();
    assert_eq!(read, gate);
    assert_eq!((read.connections.open(700), read.connections.open_for(700, "north")), (5, 5));
    for now in [NOW + 400_000, NOW + 900_000, NOW + 9_000_000] {
        assert_eq!(read.tick(now), gate.tick(now));
        assert_eq!(read.reports(now), gate.reports(now));
        assert_eq!(read.acquire(700, "north", now), gate.acquire(700, "north", now));
    }
    assert_eq!(read, gate);
}

/// The agreement of three couriers over reliable links: all messages that they send, in order, and their logs.
#[derive(Default)]
struct AgreementRun {
    now: u64,
    nodes: BTreeMap<u64, Agreement<Memory>>,
    state: BTreeMap<u64, (u64, Vec<u8>)>,
    sent: Vec<(u64, u64, Vec<u8>)>,
    read: usize,
    cut: Option<u64>,
}

impl AgreementRun {
    fn start(&mut self, node_id: u64) {
        let limits = AgreementLimits { seed: 7, ..AgreementLimits::default() };
        let (node, _) = Agreement::open(Memory::default(), node_id, limits, self.now).unwrap();
        self.nodes.insert(node_id, node);
        self.state.insert(node_id, Default::default());
    }

    fn handle(&mut self, node_id: u64, out: Vec<AgreementOutput>) {
        let mut snapshot_wanted = false;
        for output in out {
            match output {
                AgreementOutput::Send { to, bytes } => self.sent.push((node_id, to, bytes)),
                AgreementOutput::Committed { index, command, .. } => {
                    let (through, state) = self.state.get_mut(&node_id).unwrap();
                    *through = index;
                    state.extend(command);
                }
                AgreementOutput::Restored { index, state } => {
                    drop(self.state.insert(node_id, (index, state)));
                }
                AgreementOutput::SnapshotWanted => snapshot_wanted = true,
                _ => {}
            }
        }
        if snapshot_wanted {
            self.snapshot(node_id);
        }
    }

    fn step(&mut self, node_id: u64, input: AgreementInput) {
        let out = self.nodes.get_mut(&node_id).unwrap().step(input, self.now);
        self.handle(node_id, out);
    }

    /// Delivers all messages in flight, and lets this time pass.
    fn run(&mut self, span: u64) {
        let until = self.now + span;
        loop {
            while self.read < self.sent.len() {
                let (from, to, bytes) = self.sent[self.read].clone();
                self.read += 1;
                if self.nodes.contains_key(&to) && ![Some(from), Some(to)].contains(&self.cut) {
                    self.step(to, AgreementInput::Receive { from, bytes });
                }
            }
            let wake =
                self.nodes.iter().filter_map(|(node_id, node)| Some((node.wake_at()?, *node_id))).min();
            let Some((at, node_id)) = wake.filter(|(at, _)| *at <= until) else { break };
            self.now = self.now.max(at);
            self.step(node_id, AgreementInput::Tick);
        }
        self.now = until;
    }

    fn snapshot(&mut self, node_id: u64) {
        let (through, state) = self.state[&node_id].clone();
        self.step(node_id, AgreementInput::Snapshot { through, state });
    }

    /// An election, commands, membership changes of each kind, a snapshot for a courier that lags, and a transfer of
    /// leadership.
    fn play() -> AgreementRun {
        let mut all = AgreementRun { now: SEC, ..AgreementRun::default() };
        all.start(1);
        let out = all.nodes.get_mut(&1).unwrap().bootstrap(SEC).unwrap();
        all.handle(1, out);
        all.run(SEC);
        for (ticket, node_id) in [(10, 2), (20, 3), (30, 4)] {
            all.start(node_id);
            all.step(
                1,
                AgreementInput::ChangeMembership { ticket, change: MembershipChange::AddLearner(node_id) },
            );
            all.run(SEC / 2);
            if node_id < 4 {
                all.step(
                    1,
                    AgreementInput::ChangeMembership {
                        ticket: ticket + 1,
                        change: MembershipChange::Promote(node_id),
                    },
                );
                all.run(SEC / 2);
            }
        }
        for (n, command) in (0..).zip(commands()) {
            let command = postcard::to_stdvec(&command).unwrap();
            all.step(1, AgreementInput::Propose { ticket: 100 + n, command });
        }
        all.run(SEC / 2);
        all.step(1, AgreementInput::ReadIndex { ticket: 200 });
        all.run(SEC / 2);
        // One is cut off while the others go on and shorten their logs.
        all.cut = Some(3);
        all.step(1, AgreementInput::ChangeMembership { ticket: 40, change: MembershipChange::Remove(4) });
        all.run(SEC / 2);
        all.nodes.remove(&4);
        all.step(1, AgreementInput::Propose { ticket: 300, command: b"behind".to_vec() });
        all.run(SEC / 2);
        [1, 2].into_iter().for_each(|node_id| all.snapshot(node_id));
        all.step(1, AgreementInput::Propose { ticket: 301, command: b"after the snapshot".to_vec() });
        all.run(3 * SEC);
        all.cut = None;
        all.run(2 * SEC);
        let leader = *all.nodes.iter().find(|(_, node)| node.leads()).unwrap().0;
        all.step(leader, AgreementInput::TransferLeadership { to: leader % 3 + 1 });
        all.run(2 * SEC);
        // The leader is cut off, and the others elect one of them.
        all.cut = all.nodes.iter().find(|(_, node)| node.leads()).map(|(node_id, _)| *node_id);
        all.run(5 * SEC);
        all.cut = None;
        all.run(2 * SEC);
        all
    }
}

#[test]
fn messages_of_the_agreement_are_read_and_answered_as_ever() {
    let all = AgreementRun::play();
    let stored = FIXTURES.check("agreement_messages.bin", &postcard::to_stdvec(&all.sent).unwrap());
    let stored: Vec<(u64, u64, Vec<u8>)> = postcard::from_bytes(&stored).unwrap();
    assert_eq!(stored, all.sent);
    // Behind form and checksum each has its kind's number: all ten are there.
    let kinds: BTreeSet<u8> = stored.iter().map(|(.., bytes)| bytes[5]).collect();
    assert_eq!(kinds, (0..10).collect());
    assert!(stored.iter().all(|(.., bytes)| bytes[0] == 1));
}

#[test]
fn logs_of_the_agreement_are_read_as_ever() {
    let all = AgreementRun::play();
    for (node_id, node) in all.nodes {
        let name = format!("agreement_log_{node_id}.bin");
        let (term, voters, through) = (node.term(), node.voters(), all.state[&node_id].clone());
        let stored = FIXTURES.check(&name, node.into_store().bytes());
        for torn in [0, 1, 5] {
            let bytes = [&stored[..], &stored[..torn]].concat();
            let opened = Agreement::open(Memory::of(bytes), 99, AgreementLimits::default(), SEC);
            let (read, opened) = opened.unwrap();
            assert_eq!((read.node_id(), opened.new), (node_id, false));
            assert_eq!((read.term(), read.voters()), (term, voters.clone()));
            assert_eq!(voters, [1, 2, 3]);
            let state: Vec<u8> = [opened.state]
                .into_iter()
                .chain(opened.committed.into_iter().map(|committed| committed.command))
                .flatten()
                .collect();
            assert_eq!(state, through.1);
            assert_eq!(read.into_store().bytes(), stored, "a torn end is cut off, all else is left as it is");
        }
    }
}

/// The folders of a fleet of three after messages, a loss and a takeover: the agreement's log, the identity, journals and
/// replicas.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn folders_of_a_fleet_are_read_and_written_as_ever() {
    let mut world = World::new(3, 7);
    world.budgets = vec![Budget {
        dest: 1,
        connections: 20,
        calls: Some(300),
        span_ms: Some(1_000),
        courier_floor: 2,
        tenants: Vec::new(),
    }];
    world.start_all();
    assert!(world.run_until(world.now + 10 * SEC, |w| (0..3).all(|i| w.ready(i))));
    world.call_duration = 60 * SEC;
    for n in 0..12 {
        assert!(world.submit(n % 3, &format!("m{n}"), n as u64, n % 2 == 0));
    }
    world.run(SEC);
    world.kill(2);
    world.run(10 * SEC);
    let dump = |disks: &mut [Disk]| -> Vec<BTreeMap<String, Vec<u8>>> {
        let files = |disk: &mut Disk| {
            let names = disk.names().unwrap();
            names.into_iter().map(|name| (name.clone(), disk.open(&name).unwrap().read().unwrap())).collect()
        };
        disks.iter_mut().map(files).collect()
    };
    let stored = FIXTURES.check("fleet_folders.bin", &postcard::to_stdvec(&dump(&mut world.disks)).unwrap());
    let folders: Vec<BTreeMap<String, Vec<u8>>> = postcard::from_bytes(&stored).unwrap();
    let names: Vec<&str> = folders[0].keys().map(String::as_str).collect();
    assert_eq!(names, ["agreement", "copy.2.c001", "identity", "journal"]);
    let owed: Vec<usize> =
        folders.iter().map(|folder| JournalContents::read(&folder["journal"]).0.owed.len()).collect();
    assert_eq!(owed, [6, 4, 4], "two of the lost courier's are at the first");
    let known = world.processes[0].as_ref().unwrap().member.state().clone();
    // New processes go on with these folders.
    let mut next = World::new(3, 8);
    next.now = world.now + SEC;
    next.budgets = world.budgets.clone();
    for (disk, folder) in next.disks.iter_mut().zip(&folders) {
        for (name, bytes) in folder {
            disk.open(name).unwrap().replace(bytes).unwrap();
        }
    }
    // In another order: each process draws a number of its own.
    [2, 0, 1].into_iter().for_each(|i| next.start(i));
    for i in 0..2 {
        let process = next.processes[i].as_ref().unwrap();
        // The last that was agreed need not be known for agreed at once.
        let read = process.member.state();
        assert_eq!(
            (read.epoch, &read.members, &read.journals),
            (known.epoch, &known.members, &known.journals)
        );
        assert_eq!(read.shared.connections.partner(1), known.shared.connections.partner(1));
        assert_eq!(read.shared.calls.partner(1), known.shared.calls.partner(1));
        assert!(!process.member.is_first(), "courier {i}");
    }
    assert!(
        next.run_until(next.now + 10 * SEC, |w| (0..3).all(|i| w.ready(i))),
        "{:#?}",
        next.observed.notices
    );
    let tokens = |w: &World, i: usize| w.processes[i].as_ref().unwrap().member.agreement().node_id();
    assert_eq!([tokens(&next, 0), tokens(&next, 1)], [tokens(&world, 0), tokens(&world, 1)]);
    next.run(10 * SEC);
    let ended = |n: usize| {
        let id = format!("m{n}");
        next.observed.ends.contains_key(&id) || world.observed.ends.contains_key(&id)
    };
    let open: Vec<usize> = (0..12).filter(|n| !ended(*n)).collect();
    assert_eq!(open, []);
}
