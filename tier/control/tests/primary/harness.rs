//! A primary of the core whose messages to the other members are answered when a test says so.

use quillmount_control::{ControlState, Member, MemberAction, Ticket, WriteOutcome};
use quillmount_wire::messages::{DiskId, NodeInfo, NodeRole, Register, RegisterMessage};

const OWN: DiskId = 1;
const OTHERS: [DiskId; 2] = [2, 3];

/// A primary, its time, and what its actions were so far.
pub struct Primary {
    pub member: Member,
    pub now: u64,
    /// Tickets that were confirmed.
    pub confirmed: Vec<Ticket>,
    /// Acknowledgement of its last proposal, and the round of its last heartbeat.
    acknowledgement: Option<RegisterMessage>,
    reply: Option<RegisterMessage>,
}

impl Primary {
    /// A member that bootstrapped a core of three and serves.
    pub fn serving() -> Primary {
        let mut state = ControlState::default();
        state.placement.core = [OWN, 2, 3].map(core_member).to_vec();
        let mut primary = Primary {
            member: Member::new(OWN, 1, Register::default(), 0),
            now: 0,
            confirmed: Vec::new(),
            acknowledgement: None,
            reply: None,
        };
        let actions = primary.member.bootstrap(&state, 0);
        primary.perform(actions);
        primary.acknowledge();
        assert!(primary.member.serving().is_some());
        primary
    }

    /// Syncs all writes at once, and notes what the other members would answer.
    fn perform(&mut self, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Persist { write, .. } => {
                    let actions = self.member.write_ended(write, WriteOutcome::Synced, self.now);
                    self.perform(actions);
                }
                MemberAction::Confirmed { ticket } => self.confirmed.push(ticket),
                MemberAction::Send { message: RegisterMessage::Accept { accepted }, .. } => {
                    let (epoch, sequence) = (accepted.epoch, accepted.sequence);
                    self.acknowledgement = Some(RegisterMessage::Acknowledge { epoch, sequence });
                }
                MemberAction::Send { message: RegisterMessage::Heartbeat { epoch, round }, .. } => {
                    let (accepted_epoch, accepted_sequence) = (u64::MAX, 0);
                    self.reply = Some(RegisterMessage::HeartbeatReply {
                        epoch,
                        round,
                        accepted_epoch,
                        accepted_sequence,
                    });
                }
                _ => {}
            }
        }
    }

    /// Delivers the acknowledgements of the last proposal.
    pub fn acknowledge(&mut self) {
        let message = self.acknowledgement.take().expect("there is a proposal");
        self.deliver(&message);
    }

    /// Delivers the replies to the last heartbeat.
    pub fn reply(&mut self) {
        let message = self.reply.take().expect("there is a heartbeat");
        self.deliver(&message);
    }

    fn deliver(&mut self, message: &RegisterMessage) {
        for from in OTHERS {
            let actions = self.member.receive(from, message.clone(), self.now);
            self.perform(actions);
        }
    }

    /// Advances the time by `span` microseconds, and lets the primary do what is due then.
    pub fn tick_after(&mut self, span: u64) {
        self.now += span;
        let actions = self.member.tick(self.now);
        self.perform(actions);
    }

    /// Submits a change that sets the configuration's version.
    pub fn set_version(&mut self, version: u64) -> Ticket {
        let submitted = self.member.change(|state| state.version = version, self.now).unwrap();
        self.perform(submitted.actions);
        submitted.ticket
    }
}

fn core_member(disk: DiskId) -> NodeInfo {
    NodeInfo {
        name: format!("core-{disk}"),
        disk,
        internal: format!("10.0.0.{disk}:7360"),
        admin: None,
        zone: "z".to_owned(),
        role: NodeRole::Core,
    }
}
