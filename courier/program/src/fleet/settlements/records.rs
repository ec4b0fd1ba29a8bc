//! The owner's records in the courier's journal: writes them together with the messages that they are about, and writes them
//! again where that fails.

use super::pending_action::PendingAction;
use super::{HostState, LOG_TARGET, SettlementHost};
use quillmount_core::journal::JournalRecord;
use quillmount_fleet::settlement::journal_lines::{JournalLine, MessagePayload, settlement_key};
use quillmount_fleet::settlement::owner::{OwnerInput, RETRY_INTERVAL};
use quillmount_fleet::settlement::{End, SettlementId, SettlementProgress, SettlementRecord};
use quillmount_policy::Micros;

/// Records whose write has failed.
pub(super) struct UnwrittenRecords {
    /// The write's number, by which the owner's machine knows it.
    seq: u64,
    records: Vec<JournalRecord>,
}

impl SettlementHost {
    /// Writes records of one settlement. `payload`: the message that they submit, if they submit one.
    pub(super) fn write(&self, seq: u64, records: Vec<SettlementRecord>, payload: Option<&MessagePayload>) {
        let Some(id) = records.first().map(|record| record.id().clone()) else { return };
        let may_reject = records.iter().all(may_be_rejected);
        let lines: Vec<JournalLine> = {
            let mut state = self.state.borrow_mut();
            records.into_iter().flat_map(|record| state.lines_of(record, payload)).collect()
        };
        let records: Vec<JournalRecord> = lines.iter().filter_map(|line| line.line(&id)).collect();
        match self.courier.write_settlement(&records, may_reject) {
            Ok(()) => self.records_written(seq, &records),
            Err(e) if may_reject => {
                tracing::warn!(
                    target: LOG_TARGET,
                    error = %e,
                    "settlement: a message is rejected: its record can't be written"
                );
                self.step_owned(OwnerInput::WriteRejected { seq }, None);
            }
            Err(e) => {
                tracing::error!(target: LOG_TARGET, "settlement: {e}; written again in {RETRY_INTERVAL} us");
                self.write_later(UnwrittenRecords { seq, records });
            }
        }
    }

    /// Records stand in the journal: the machine may go on once they are replicated.
    fn records_written(&self, seq: u64, records: &[JournalRecord]) {
        let mut state = self.state.borrow_mut();
        for record in records {
            state.lines.apply(record);
        }
        state.pending_actions.push_back(PendingAction::Written(seq));
    }

    fn write_later(&self, unwritten: UnwrittenRecords) {
        let mut state = self.state.borrow_mut();
        state.unwritten.push(unwritten);
        state.write_at = self.now().saturating_add(RETRY_INTERVAL);
    }

    /// Writes records again whose write has failed, if it is time.
    pub(super) fn retry_writes(&self) {
        let unwritten = {
            let mut state = self.state.borrow_mut();
            if self.now() < state.write_at {
                return;
            }
            state.write_at = Micros::MAX;
            std::mem::take(&mut state.unwritten)
        };
        for unwritten in unwritten {
            match self.courier.write_settlement(&unwritten.records, false) {
                Ok(()) => self.records_written(unwritten.seq, &unwritten.records),
                Err(_) => self.write_later(unwritten),
            }
        }
    }

    /// Forgets a settlement that has ended.
    pub(super) fn forget(&self, id: &SettlementId) {
        let ended = JournalRecord::SettlementEnded { settlement_id: settlement_key(id) };
        // Where it can't be written the next process finds the settlement ended, and forgets it then.
        if let Err(e) = self.courier.write_settlement(std::slice::from_ref(&ended), false) {
            tracing::warn!(target: LOG_TARGET, "settlement: {e}");
        }
        let mut state = self.state.borrow_mut();
        state.lines.apply(&ended);
        state.fetches.remove(id);
        state.payloads.retain(|(of, _), _| of != id);
    }
}

impl HostState {
    /// The journal's lines for a record, with the messages that belong to it.
    fn lines_of(&mut self, record: SettlementRecord, payload: Option<&MessagePayload>) -> Vec<JournalLine> {
        match (record, payload) {
            (SettlementRecord::Submitted { id, sequenced }, Some(payload)) => {
                // The first one submitted stands.
                self.payloads.entry((id.clone(), sequenced.position)).or_insert_with(|| payload.clone());
                let record = SettlementRecord::Submitted { id, sequenced };
                vec![JournalLine::Submitted(record, payload.clone())]
            }
            (SettlementRecord::Snapshot { id, progress }, _) => self.lines_of_snapshot(id, progress),
            (record, _) => vec![JournalLine::Record(record)],
        }
    }

    /// The lines for a settlement as a snapshot: its progress, and the messages that have not been delivered.
    fn lines_of_snapshot(&self, id: SettlementId, progress: Box<SettlementProgress>) -> Vec<JournalLine> {
        let undelivered = progress.positions.iter().filter(|(_, state)| state.end != Some(End::Delivered));
        let payloads = undelivered.filter_map(|(position, _)| {
            let payload = self.payloads.get(&(id.clone(), *position))?.clone();
            Some(JournalLine::Payload { position: *position, payload })
        });
        let payloads: Vec<JournalLine> = payloads.collect();
        let mut lines = vec![JournalLine::Record(SettlementRecord::Snapshot { id, progress })];
        lines.extend(payloads);
        lines
    }
}

/// Whether a record may be left unwritten: the message that it is about is rejected then.
fn may_be_rejected(record: &SettlementRecord) -> bool {
    matches!(
        record,
        SettlementRecord::Opened { .. } | SettlementRecord::Submitted { .. } | SettlementRecord::Count { .. }
    )
}
