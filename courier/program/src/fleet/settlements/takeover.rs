//! Settlements that had other owners before: reads what those wrote, once all of their journals' records about the settlement
//! are in this courier's journal.

use super::{HostState, LOG_TARGET, SettlementHost};
use quillmount_core::journal::{JournalRecord, SettlementLine, Settlements};
use quillmount_fleet::settlement::journal_lines::{
    JournalLine, MessagePayload, known_outcomes, settlement_key,
};
use quillmount_fleet::settlement::owner::OwnerInput;
use quillmount_fleet::settlement::{JournalRef, SettlementId, SettlementProgress, SettlementRecord};
use quillmount_fleet::state::{JournalId, PartitionId, PartitionState, partition_of};

/// A settlement whose earlier owners' journals are not here yet.
pub(super) struct PendingFetch {
    /// The owner's term, to be repeated in the answer.
    pub(super) term: u64,
    /// The journals, earliest owner first.
    pub(super) journals: Vec<JournalRef>,
}

impl SettlementHost {
    /// Reads what earlier owners wrote, for settlements of which all is in this journal by now.
    pub(super) fn fetch(&self) {
        let ready: Vec<(SettlementId, u64)> = {
            let state = self.state.borrow();
            let is_here =
                |(id, fetch): &(&SettlementId, &PendingFetch)| self.is_here(&state, id, &fetch.journals);
            state.fetches.iter().filter(is_here).map(|(id, fetch)| (id.clone(), fetch.term)).collect()
        };
        for (id, term) in ready {
            let mut records = self.state.borrow_mut().take_up(&id);
            let known_end = |message_id: &str| self.courier.fate(message_id).ok().flatten();
            records.extend(known_outcomes(&id, &records, known_end));
            let positions = SettlementProgress::read(&id, std::slice::from_ref(&records)).positions.len();
            tracing::info!(
                target: LOG_TARGET,
                "settlement: {} continues here, with {positions} positions",
                id.position_ref(0)
            );
            self.step_owned(OwnerInput::Fetched { id, term, journals: vec![records] }, None);
        }
    }

    /// Whether all that these journals have of a settlement is in this courier's journal.
    fn is_here(&self, state: &HostState, id: &SettlementId, journals: &[JournalRef]) -> bool {
        let is_own =
            |journal: &&JournalRef| journal.courier == self.local_name && journal.epoch == self.epoch;
        journals.iter().filter(|journal| !is_own(journal)).all(|journal| self.is_adopted(state, id, journal))
    }

    /// Whether nothing that another journal has of a settlement is still to come.
    fn is_adopted(&self, state: &HostState, id: &SettlementId, journal: &JournalRef) -> bool {
        let source = PartitionId {
            journal: JournalId { owner: journal.courier.clone(), epoch: journal.epoch },
            partition: partition_of(id.dest),
        };
        let member = self.member.borrow();
        match member.state().partition(&source) {
            Some(PartitionState::Unassigned | PartitionState::Assigned(..)) => false,
            Some(PartitionState::Adopted(name, epoch))
                if *name == self.local_name && *epoch == self.epoch =>
            {
                // Its lines count once the adoption is resolved in the journal.
                let is_unresolved = |line: &SettlementLine| {
                    line.source.as_ref().is_some_and(|from| PartitionId::from(from) == source)
                };
                let lines = state.lines.0.get(&settlement_key(id));
                !lines.is_some_and(|lines| lines.iter().any(is_unresolved))
            }
            // Adopted by another journal of the list, or by this one long ago.
            Some(PartitionState::Adopted(..) | PartitionState::Done) | None => true,
        }
    }

    /// Partitions of a sealed journal have been adopted into this one, with these lines about settlements.
    pub fn adopted(&self, lines: &Settlements) {
        let mut state = self.state.borrow_mut();
        for (of, more) in &lines.0 {
            state.lines.0.entry(of.clone()).or_default().extend(more.iter().cloned());
        }
    }

    /// The journal records whether a partition was adopted.
    pub fn adoption_resolved(&self, source: &PartitionId, adopted: bool) {
        let record = JournalRecord::Settled { source: source.into(), accepted: adopted };
        self.state.borrow_mut().lines.apply(&record);
        self.fetch();
    }
}

impl HostState {
    /// Reads what the journal has of a settlement: takes up its messages, and returns its records.
    fn take_up(&mut self, id: &SettlementId) -> Vec<SettlementRecord> {
        self.fetches.remove(id);
        let lines = self.lines.0.get(&settlement_key(id)).cloned().unwrap_or_default();
        let mut records = Vec::new();
        for line in lines.iter().filter_map(JournalLine::read) {
            if let Some((position, payload)) = message_of(&line) {
                self.payloads.insert((id.clone(), position), payload.clone());
            }
            records.extend(line.record());
        }
        records
    }
}

/// The message that a line has, with its position.
fn message_of(line: &JournalLine) -> Option<(u64, &MessagePayload)> {
    match line {
        JournalLine::Submitted(SettlementRecord::Submitted { sequenced, .. }, payload) => {
            Some((sequenced.position, payload))
        }
        JournalLine::Payload { position, payload } => Some((*position, payload)),
        _ => None,
    }
}
