//! The replicated log, as a member uses it.

use crate::NodeId;
use crate::agreement::{Agreement, AgreementError, AgreementInput, AgreementOutput};
use quillmount_core::store::Store;
use quillmount_policy::Micros;

/// The replicated log that all couriers agree on: [`Agreement`], or a model of it in explorations of a fleet.
pub trait AgreementLog {
    /// See [`Agreement::bootstrap`].
    ///
    /// # Errors
    /// The log is not empty, or can't be written.
    fn bootstrap(&mut self, now: Micros) -> Result<Vec<AgreementOutput>, AgreementError>;
    /// See [`Agreement::step`].
    fn step(&mut self, input: AgreementInput, now: Micros) -> Vec<AgreementOutput>;
    /// The leader, as far as it is known here.
    fn leader(&self) -> Option<NodeId>;
    /// Whether this courier believes to lead.
    fn leads(&self) -> bool;
    /// This courier's id.
    fn node_id(&self) -> NodeId;
    /// The voters, in the order of their ids.
    fn voters(&self) -> Vec<NodeId>;
    /// The learners, in the order of their ids.
    fn learners(&self) -> Vec<NodeId>;
    /// When it wants [`AgreementInput::Tick`] at the latest.
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
    fn leads(&self) -> bool {
        Agreement::leads(self)
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
