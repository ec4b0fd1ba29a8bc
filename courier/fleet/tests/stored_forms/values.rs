//! Example values of each kind that the couriers of a fleet store and send.

use quillmount_fleet::budget::{self, Report, ReportLine};
use quillmount_fleet::settlement::{
    self, Cause, End, PositionRef, Repeat, SequencedMessage, SettlementError, SettlementId, Verdict,
};
use quillmount_fleet::shares::BudgetKind;
use quillmount_fleet::state::{FleetCommand, JournalId, PartitionId};
use quillmount_test_support::fixtures::Fixtures;
use std::collections::BTreeSet;

pub const FIXTURES: Fixtures = Fixtures::of_package(env!("CARGO_MANIFEST_DIR"));
/// A fixed time in microseconds since the Unix epoch.
pub const NOW: u64 = 1_700_000_000_000_000;

pub fn id() -> SettlementId {
    SettlementId { tenant: "north".into(), name: "evening".into(), dest: 700 }
}

pub fn sequenced(position: u64, repeat: Repeat) -> SequencedMessage {
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

pub fn journal_id(owner: &str, epoch: u64) -> JournalId {
    JournalId { owner: owner.into(), epoch }
}

fn source(owner: &str, epoch: u64, partition: usize) -> PartitionId {
    PartitionId { journal: journal_id(owner, epoch), partition }
}

pub fn verdicts() -> Vec<Verdict> {
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
    let broken = causes.into_iter().map(|cause| Verdict::Broken { break_position: 200, cause });
    [Verdict::Closed { total: 300 }].into_iter().chain(broken).collect()
}

pub fn ends() -> Vec<End> {
    vec![End::Delivered, End::MayHaveRun, End::Failed, End::OutOfTime, End::NeverRan { broken_at: 200 }]
}

pub fn errors() -> Vec<SettlementError> {
    let at = || id().position_ref(200);
    vec![
        SettlementError::Field { position_ref: at(), field: "position".into() },
        SettlementError::ZeroPosition(at()),
        SettlementError::BeyondTotal { position_ref: at(), total: 300 },
        SettlementError::TotalMismatch { position_ref: at(), total: 300, other_total: 301 },
        SettlementError::PositionConflict { position_ref: at(), first_id: "m1".into() },
        SettlementError::MissingPosition { position_ref: at(), total: 300 },
        SettlementError::OtherOpen { position_ref: at(), open_settlement: "noon".into() },
        SettlementError::NotOpened(at()),
        SettlementError::AfterClosing(PositionRef::default()),
        SettlementError::TooLong { position_ref: at(), max_positions: 300 },
        SettlementError::DeadlinePassed(at()),
        SettlementError::TooManyWaiting {
            position_ref: at(),
            pending_messages: 1,
            bytes: 300,
            retry_after: 1_000,
        },
        SettlementError::TooManyOpen { position_ref: at(), open_settlements: 300, retry_after: 1_000 },
        SettlementError::Busy { position_ref: at(), pending_requests: 300, retry_after: 1_000 },
        SettlementError::StorageFull(at()),
        SettlementError::NoReply(at()),
        SettlementError::Ended { position_ref: at(), verdict: Verdict::Closed { total: 300 } },
        SettlementError::NoPinnableConnection { position_ref: at(), budget: 1, min_budget: 300 },
    ]
}

pub fn report() -> Report {
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
        Move { id: id(), term: 301, to: "b".into(), to_epoch: 302, at_boundary: true },
        CaughtUp { id: id(), term: 301 },
        Close { id: id(), term: 301, verdict, retain_until: NOW },
        CancelDrain { courier: "a".into(), epoch: 300 },
        Forget { retained_before: NOW },
    ]
}

/// At least one command of each kind that the fleet commits.
pub fn commands() -> Vec<FleetCommand> {
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
