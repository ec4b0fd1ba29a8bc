//! The interface of the replicated log that a member uses.

use crate::NodeId;
use crate::agreement::{Agreement, AgreementError, AgreementInput, AgreementOutput};
use quillmount_core::store::Store;
use quillmount_policy::Micros;

/// The replicated log of the fleet: [`Agreement`], or a model of it in tests that explore the states of a fleet.
pub trait AgreementLog {
    /// See [`Agreement::bootstrap`].
    ///
    /// # Errors
    /// The log is not empty, or can't be written.
    fn bootstrap(&mut self, now: Micros) -> Result<Vec<AgreementOutput>, AgreementError>;
    /// See [`Agreement::step`].
    fn step(&mut self, input: AgreementInput, now: Micros) -> Vec<AgreementOutput>;
    /// The leader that this courier knows of.
    fn leader(&self) -> Option<NodeId>;
    /// Whether this courier is leader according to its own state. See [`Agreement::is_leader`].
    fn is_leader(&self) -> bool;
    /// This courier's id in the Raft group. See [`NodeId`].
    fn node_id(&self) -> NodeId;
    /// The voters in ascending order of their ids.
    fn voters(&self) -> Vec<NodeId>;
    /// The learners in ascending order of their ids.
    fn learners(&self) -> Vec<NodeId>;
    /// Deadline of the next [`AgreementInput::Tick`]; `None` if no tick is needed.
    fn wake_at(&self) -> Option<Micros>;
}

impl<S: Store> AgreementLog for Agreement<S> {
    fn bootstrap(&mut self, now: Micros) -> Result<Vec<AgreementOutput>, AgreementError> {
        Agreement::bootstrap(self, now)
    }
    fn step(&mut self, input: AgreementInput, now: Micros) -> Vec<AgreementOutput> {
        Agreement::step(self, input, now)
    }
    fn leader(&self) -> Option<NodeId> {
        Agreement::leader(self)
    }
    fn is_leader(&self) -> bool {
        Agreement::is_leader(self)
    }
    fn node_id(&self) -> NodeId {
        Agreement::node_id(self)
    }
    fn voters(&self) -> Vec<NodeId> {
        Agreement::voters(self)
    }
    fn learners(&self) -> Vec<NodeId> {
        Agreement::learners(self)
    }
    fn wake_at(&self) -> Option<Micros> {
        Agreement::wake_at(self)
    }
}
