//! Calls of a primary to the other members, and the handling of missing answers.

use super::primary::CallPurpose;
use super::state::ShardReplica;
use crate::action::ShardAction;
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, ShardMessage};

/// Delay before a failed call or read round is retried, microseconds.
pub const RETRY_DELAY: Micros = 40_000;
/// Time without an answer after which a member is reported to the core as unresponsive, microseconds.
pub const MEMBER_TIMEOUT: Micros = 400_000;

impl ShardReplica {
    /// Calls a member, if this replica is primary.
    pub(super) fn call(
        &mut self,
        member: DiskId,
        message: ShardMessage,
        timeout: Micros,
        purpose: CallPurpose,
    ) {
        let call = self.allocate_id();
        let Some(primary) = &mut self.primary else { return };
        primary.calls.insert(call, purpose);
        let epoch = primary.epoch();
        self.actions.push(ShardAction::Call { call, member, epoch, message, timeout });
    }

    /// Postpones further calls to a member until the retry delay has passed.
    pub(super) fn retry_later(&mut self, member: DiskId, now: Micros) {
        if let Some(primary) = &mut self.primary {
            primary.retry_at.insert(member, now + RETRY_DELAY);
        }
    }

    /// Marks a member that did not answer or failed as unresponsive; a report to the core is due if it was
    /// responsive before.
    pub(super) fn mark_unresponsive(&mut self, member: DiskId, now: Micros) {
        self.retry_later(member, now);
        let is_new = self.primary.as_mut().is_some_and(|primary| primary.group.mark_unresponsive(member));
        if is_new {
            self.actions.push(ShardAction::ReportDue);
        }
    }
}
