//! Registration of a courier as a member: hello messages until it is registered, then renewals of its lease.

use super::{AgreementLog, Member, MemberError, MemberNotice, MemberOutput, RETRY_INTERVAL, StoreDirectory};
use crate::NodeId;
use crate::agreement::{AgreementInput, MembershipChange};
use crate::config::Name;
use crate::message::FleetMessage;
use crate::state::Epoch;
use quillmount_policy::Micros;
use std::collections::BTreeSet;

/// What this courier knows about whether the fleet exists already. The first configured voter creates a new fleet only
/// if all other voters have replied that their data directories belong to no fleet.
#[derive(Clone, Debug)]
pub(super) struct Discovery {
    /// This courier's data directory belongs to no fleet.
    pub(super) fresh: bool,
    /// Couriers that have replied that their data directories belong to no fleet.
    fresh_voters: BTreeSet<Name>,
    /// Couriers that have replied that they belong to a fleet.
    initialized_peers: BTreeSet<Name>,
    next_hello_at: Micros,
}

impl Discovery {
    pub(super) fn new(fresh: bool, now: Micros) -> Self {
        Discovery {
            fresh,
            fresh_voters: BTreeSet::new(),
            initialized_peers: BTreeSet::new(),
            next_hello_at: now,
        }
    }

    pub(super) fn handle_reply(&mut self, from: Name, fresh: bool) {
        if fresh {
            self.fresh_voters.insert(from);
        } else {
            self.initialized_peers.insert(from);
        }
    }

    /// Whether `local_name` may create a new fleet with these configured voters.
    fn may_bootstrap(&self, local_name: &Name, voters: &[Name]) -> bool {
        self.fresh
            && voters.first() == Some(local_name)
            && self.initialized_peers.is_empty()
            && voters[1..].iter().all(|voter| self.fresh_voters.contains(voter))
    }
}

/// A lease renewal that the leader grants when a majority has confirmed its leadership.
#[derive(Clone, Debug)]
pub(super) struct PendingRenewal {
    pub(super) member: Name,
    pub(super) epoch: Epoch,
    /// The number that the member has given to the renewal.
    pub(super) ticket: u64,
}

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    /// Sends hello messages to the other couriers until this one is registered. The first configured voter may create a
    /// new fleet.
    pub(super) fn send_hello(&mut self, now: Micros, out: &mut Vec<MemberOutput>) -> Result<(), MemberError> {
        self.discovery.fresh &= self.agreement.leader().is_none() && self.agreement.voters().is_empty();
        if self.epoch.is_some() || now < self.discovery.next_hello_at {
            return Ok(());
        }
        self.discovery.next_hello_at = now + RETRY_INTERVAL;
        if self.discovery.may_bootstrap(&self.config.local_name, &self.config.voters) {
            out.push(MemberOutput::Notice(MemberNotice::Bootstrapping));
            self.discovery.fresh = false;
            let outputs = self.agreement.bootstrap(now)?;
            return self.handle_agreement_outputs(outputs, now, out);
        }
        let fresh = self.discovery.fresh;
        let others = self.config.others().cloned();
        out.extend(others.map(|name| MemberOutput::Send(name, FleetMessage::Hello { fresh })));
        Ok(())
    }

    /// Handles the hello message of a courier that is not registered yet. The leader adds it to the Raft group as a
    /// learner.
    pub(super) fn handle_hello(
        &mut self,
        from: &Name,
        node_id: NodeId,
        fresh: bool,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        if fresh && self.discovery.fresh {
            self.discovery.fresh_voters.insert(from.clone());
        }
        let reply = FleetMessage::HelloReply { fresh: self.discovery.fresh };
        out.push(MemberOutput::Send(from.clone(), reply));
        if !self.is_leader || !self.config.peers.iter().any(|peer| peer.name == *from) {
            return Ok(());
        }
        let mut members = self.agreement.voters();
        members.extend(self.agreement.learners());
        if members.contains(&node_id) {
            return Ok(());
        }
        // A known name with another node id has a new data directory, so its former node id will never return.
        let former = members.into_iter().find(|id| self.names_by_node.get(id) == Some(from));
        let change = former.map_or(MembershipChange::AddLearner(node_id), MembershipChange::Remove);
        self.propose_membership_change(change, now, out)
    }

    pub(super) fn renew_lease(
        &mut self,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let Some(epoch) = self.epoch else { return Ok(()) };
        if let Some(leader) = self.leader()
            && let Some(ticket) = self.lease.next_renewal(&self.config, now)
        {
            self.send_to(leader, FleetMessage::RenewLease { epoch, ticket }, now, out)?;
        }
        let lease_lost = !self.lease.is_valid(now);
        if lease_lost != self.lease_lost {
            self.lease_lost = lease_lost;
            out.push(MemberOutput::Notice(MemberNotice::LeaseLost(lease_lost)));
        }
        Ok(())
    }

    /// Handles a lease renewal of a member. The leader grants it when a majority has confirmed its leadership.
    pub(super) fn handle_lease_renewal(
        &mut self,
        renewal: PendingRenewal,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        if !self.is_leader
            || self.state.epoch_of(&renewal.member) != Some(renewal.epoch)
            || !self.granted_leases.renew(&renewal.member, renewal.epoch, now)
        {
            return Ok(());
        }
        let ticket = self.next_ticket();
        self.pending_renewals.insert(ticket, renewal);
        self.step_agreement(AgreementInput::ReadIndex { ticket }, now, out)
    }

    pub(super) fn handle_lease_grant(&mut self, epoch: Epoch, ticket: u64, out: &mut Vec<MemberOutput>) {
        if self.epoch == Some(epoch) && !self.fenced {
            self.lease.granted(ticket, &self.config);
            self.shares.gate.extend_lease(self.lease.expires_at());
            out.push(MemberOutput::Lease(self.lease.expires_at()));
        }
    }
}
