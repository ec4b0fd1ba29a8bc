//! Capacity: tracks the connections that sessions reserve, and the pending messages of each tenant.

use super::interface::{ATTEMPT_BACKOFF, OwnerOutput, pin_outputs};
use super::machine::{PendingLoad, TenantOverload};
use super::owned::OwnedSettlements;
use crate::settlement::model::SettlementId;
use crate::settlement::session::{Pins, SessionKey};
use quillmount_policy::Micros;

impl OwnedSettlements {
    /// Requests a connection of the tenant's budget for a session.
    pub(super) fn pin(&mut self, id: &SettlementId, session: u32, outputs: &mut Vec<OwnerOutput>) {
        let key = (id.tenant.clone(), id.dest);
        let budget = self.budgets.get(&key).copied().unwrap_or(0);
        let pins = self.pins.entry(key).or_insert_with(|| Pins::new(budget));
        let granted = pins.request(SessionKey { settlement: id.clone(), session });
        outputs.extend(pin_outputs(granted));
    }

    /// Releases the connection of a session, or cancels its request for one.
    pub(super) fn unpin(&mut self, id: &SettlementId, session: u32, outputs: &mut Vec<OwnerOutput>) {
        let key = (id.tenant.clone(), id.dest);
        let session_key = SessionKey { settlement: id.clone(), session };
        let Some(pins) = self.pins.get_mut(&key) else { return };
        let was_pinned = pins.is_pinned(&session_key);
        let granted = pins.release(&session_key);
        if pins.is_unused() {
            self.pins.remove(&key);
        }
        if was_pinned {
            outputs.push(OwnerOutput::Unpin { id: id.clone(), session });
        }
        outputs.extend(pin_outputs(granted));
    }

    /// Updates the load of the tenant after the load of one of its settlements has changed from `old` to `new`.
    pub(super) fn change_load(&mut self, id: &SettlementId, old: PendingLoad, new: PendingLoad) {
        if old == new {
            return;
        }
        let load = self.loads.entry(id.tenant.clone()).or_default();
        load.messages = load.messages + new.messages - old.messages;
        load.bytes = load.bytes + new.bytes - old.bytes;
        if *load == PendingLoad::default() {
            self.loads.remove(&id.tenant);
        }
    }

    /// Checks whether the limits of the tenant allow one more pending message of this size.
    pub(super) fn check_tenant_load(
        &self,
        id: &SettlementId,
        size: u64,
        now: Micros,
    ) -> Result<(), TenantOverload> {
        let PendingLoad { messages: pending_messages, bytes } =
            self.loads.get(&id.tenant).copied().unwrap_or_default();
        if pending_messages < self.limits.max_tenant_messages && bytes + size <= self.limits.max_tenant_bytes
        {
            return Ok(());
        }
        let first_id = SettlementId { tenant: id.tenant.clone(), name: String::new(), dest: 0 };
        let of_tenant = self.settlements.range(first_id..).take_while(|(other, _)| other.tenant == id.tenant);
        let earliest_deadline = of_tenant.filter_map(|(_, settlement)| settlement.earliest_deadline()).min();
        let retry_after = earliest_deadline.unwrap_or(now).saturating_sub(now).max(ATTEMPT_BACKOFF);
        Err(TenantOverload { pending_messages, bytes, retry_after })
    }
}
