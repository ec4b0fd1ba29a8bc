//! Carries out what the member machine asks for: messages to peers, the state of the courier's gate, tasks for takeovers,
//! events for settlements and budgets.

use super::{Fleet, Joined};
use crate::fleet::LOG_TARGET;
use quillmount_fleet::config::Name;
use quillmount_fleet::member::{MemberError, MemberNotice, MemberOutput};
use quillmount_fleet::message::FleetMessage;
use std::collections::BTreeSet;

impl Fleet {
    /// Carries out the outputs of one step; returns the messages for `to`, which go back in the same exchange.
    pub(super) fn carry_out_result(
        &self,
        outputs: Result<Vec<MemberOutput>, MemberError>,
        to: Option<&str>,
    ) -> Vec<FleetMessage> {
        match outputs {
            Ok(outputs) => self.carry_out(outputs, to),
            Err(e) => {
                // Its lease runs out, and others take over: nothing that it sends could be relied on.
                tracing::error!(target: LOG_TARGET, "{e}");
                Vec::new()
            }
        }
    }

    /// Carries out outputs in order; returns the messages for `to`.
    pub(super) fn carry_out(&self, outputs: Vec<MemberOutput>, to: Option<&str>) -> Vec<FleetMessage> {
        let mut replies = Vec::new();
        for output in outputs {
            match output {
                MemberOutput::Send(name, message) if to == Some(name.as_str()) => replies.push(message),
                output => self.perform(output),
            }
        }
        self.budgets.iter().for_each(|budgets| budgets.serve());
        self.timers_changed.notify_one();
        replies
    }

    /// Carries out one output.
    fn perform(&self, output: MemberOutput) {
        match output {
            MemberOutput::Send(name, message) => self.links.send(&name, message),
            MemberOutput::Joined { epoch, retained } => {
                self.gate.set_epoch(epoch);
                self.set_joined(Joined { retained });
            }
            MemberOutput::Lease(until) => self.gate.set_lease_end(until),
            MemberOutput::Replicated(mark) => self.gate.set_replicated(mark),
            MemberOutput::Replicas { replicas, enough } => {
                log_replicas(&replicas, enough);
                self.gate.set_replicas(replicas.len(), enough);
            }
            MemberOutput::Takeover(task) => self.add_takeover(task),
            MemberOutput::Fenced => self.fence(),
            MemberOutput::Left => self.left.notify_waiters(),
            // A host that starts later reads earlier events from the agreed state.
            MemberOutput::Settlement(event) => {
                self.settlement_host().into_iter().for_each(|host| host.committed(event.clone()));
            }
            MemberOutput::SettlementsRestored => {
                self.settlement_host().into_iter().for_each(|host| host.snapshot());
            }
            MemberOutput::SettlementReceived { from, message, payload } => {
                if let Some(host) = self.settlement_host() {
                    host.receive(from, message, &payload);
                }
            }
            MemberOutput::CloseConnections(orders) => {
                self.budgets.iter().for_each(|budgets| budgets.queue_orders(orders.clone()));
            }
            MemberOutput::Notice(notice) => log_notice(&notice),
        }
    }
}

fn log_replicas(at: &BTreeSet<Name>, enough: bool) {
    let at: Vec<&str> = at.iter().map(Name::as_str).collect();
    match (at.is_empty(), enough) {
        (false, _) => {
            tracing::info!(target: LOG_TARGET, "fleet: the journal is replicated to {}", at.join(", "));
        }
        (true, true) => {
            tracing::warn!(
                target: LOG_TARGET,
                "fleet: no replica of the journal is left: it continues without one"
            );
        }
        (true, false) => {
            tracing::warn!(
                target: LOG_TARGET,
                "fleet: no replica of the journal yet: nothing is accepted"
            );
        }
    }
}

fn log_notice(notice: &MemberNotice) {
    match notice {
        MemberNotice::ReplicaUnavailable { .. }
        | MemberNotice::ReplicaRejected { .. }
        | MemberNotice::LeaseLost(true)
        | MemberNotice::ReplicaLagging { .. } => {
            tracing::warn!(target: LOG_TARGET, "{notice}");
        }
        _ => tracing::info!(target: LOG_TARGET, "{notice}"),
    }
}
