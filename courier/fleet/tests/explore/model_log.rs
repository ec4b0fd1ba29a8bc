//! A model of the replicated log: the world sets the leader, delivers commits and collects proposals.

use quillmount_fleet::NodeId;
use quillmount_fleet::agreement::{AgreementError, AgreementInput, AgreementOutput};
use quillmount_fleet::member::AgreementLog;
use quillmount_policy::Micros;
use std::cell::{Cell, RefCell};

/// One member's view of the modelled replicated log.
#[derive(Clone, Default)]
pub struct ModelLog {
    pub node_id: NodeId,
    pub leader: Cell<Option<NodeId>>,
    /// Whether a majority would confirm the member's leadership.
    pub confirmed: Cell<bool>,
    pub outputs: RefCell<Vec<AgreementOutput>>,
    pub proposed: RefCell<Vec<Vec<u8>>>,
}

impl AgreementLog for ModelLog {
    fn bootstrap(&mut self, _: Micros) -> Result<Vec<AgreementOutput>, AgreementError> {
        Ok(Vec::new())
    }
    fn step(&mut self, input: AgreementInput, _: Micros) -> Vec<AgreementOutput> {
        match input {
            AgreementInput::Tick => self.outputs.take(),
            AgreementInput::ReadIndex { ticket } if self.confirmed.get() => {
                vec![AgreementOutput::ReadReady { ticket }]
            }
            AgreementInput::Propose { command, .. } => {
                self.proposed.borrow_mut().push(command);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }
    fn leader(&self) -> Option<NodeId> {
        self.leader.get()
    }
    fn is_leader(&self) -> bool {
        self.leader.get() == Some(self.node_id)
    }
    fn node_id(&self) -> NodeId {
        self.node_id
    }
    fn voters(&self) -> Vec<NodeId> {
        Vec::new()
    }
    fn learners(&self) -> Vec<NodeId> {
        Vec::new()
    }
    fn wake_at(&self) -> Option<Micros> {
        None
    }
}
