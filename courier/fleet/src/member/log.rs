//! The agreed log, as a member uses it.

use super::*;

/// The one log that all couriers agree on, as a member uses it: [`Agreement`], or a model of one where this is explored.
pub trait AgreementLog {
    /// # Errors
    /// There is one already, or it can't be written.
    fn bootstrap(&mut self, now: Micros) -> Result<Vec<agreement::AgreementOutput>, AgreementError>;
    fn step(&mut self, input: agreement::AgreementInput, now: Micros) -> Vec<agreement::AgreementOutput>;
    fn leader(&self) -> Option<NodeId>;
    fn leads(&self) -> bool;
    fn node_id(&self) -> NodeId;
    fn voters(&self) -> Vec<NodeId>;
    fn learners(&self) -> Vec<NodeId>;
    fn wake_at(&self) -> Option<Micros>;
}

impl<S: Store> AgreementLog for Agreement<S> {
    fn bootstrap(&mut self, now: Micros) -> Result<Vec<agreement::AgreementOutput>, AgreementError> {
        Agreement::bootstrap(self, now)
    }
    fn step(&mut self, input: agreement::AgreementInput, now: Micros) -> Vec<agreement::AgreementOutput> {
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
