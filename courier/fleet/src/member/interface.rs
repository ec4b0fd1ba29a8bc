//! Inputs and outputs of [`Member::step`](super::Member::step).

use super::MemberNotice;
use crate::budget::ConnectionOrder;
use crate::config::Name;
use crate::message::{Envelope, FleetMessage};
use crate::settlement;
use crate::state::{Epoch, PartitionId};
use bytes::Bytes;
use quillmount_policy::Micros;
use std::collections::BTreeSet;

/// An input of [`Member::step`](super::Member::step).
#[derive(Clone, Debug, PartialEq)]
pub enum MemberInput {
    /// The deadline of [`Member::wake_at`](super::Member::wake_at) has passed.
    Tick,
    /// An envelope from another courier has arrived.
    Received(Envelope),
    /// The courier's own journal was opened, after [`MemberOutput::Joined`].
    JournalOpened {
        /// The complete contents of the journal.
        bytes: Vec<u8>,
        /// Adopted partitions in the journal whose adoption it does not record as resolved.
        unsettled: Vec<PartitionId>,
    },
    /// The contained bytes were appended to the journal.
    JournalAppended(Vec<u8>),
    /// The journal was compacted. The value is its new contents.
    JournalReplaced(Vec<u8>),
    /// The records of the adopted partition were written to the journal. [`MemberInput::JournalAppended`] has reported
    /// them before.
    Adopted(PartitionId),
    /// The journal contains a record of how the partition's adoption was resolved.
    AdoptionResolved(PartitionId),
    /// The courier leaves the fleet for a planned stop, and other couriers take over its journal.
    Leave,
    /// A command about a settlement that the member sends to the leader as a proposal. The driver repeats the input
    /// until the command is committed.
    Settlement(settlement::SettlementCommand),
}

/// An output of [`Member::step`](super::Member::step). The driver carries out the outputs in order.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberOutput {
    /// A message to another courier. The message may be lost, duplicated or delayed.
    Send(Name, FleetMessage),
    /// The courier was registered as a member.
    Joined {
        /// The epoch of the registration.
        epoch: Epoch,
        /// Whether the courier still owns the journal in its data directory. If not, other couriers have taken the
        /// journal over, and its messages must not be processed.
        retained: bool,
    },
    /// The lease was extended: the courier may act until this time of its own clock.
    Lease(Micros),
    /// The journal is replicated up to this offset in bytes. The offset counts all bytes ever written, also those that
    /// compactions have removed.
    Replicated(u64),
    /// The agreed replicas of the journal have changed.
    Replicas {
        /// The couriers that must have a record before it counts as replicated.
        replicas: BTreeSet<Name>,
        /// Whether these replicas are enough to accept messages (see
        /// [`MissingReplicas`](crate::config::MissingReplicas)).
        enough: bool,
    },
    /// The driver has to carry out a step of a takeover.
    Takeover(TakeoverTask),
    /// The registration is void, and other couriers may take over the journal. The process has to restart.
    Fenced,
    /// The fleet has committed that this courier left.
    Left,
    /// The driver has to close these connections to partners, to stay within the courier's budget shares.
    CloseConnections(Vec<ConnectionOrder>),
    /// A committed command has changed the agreed state of a settlement.
    Settlement(settlement::SettlementEvent),
    /// A snapshot has replaced the agreed state. The changes of settlements that it contains are not reported one by
    /// one.
    SettlementsRestored,
    /// A message about a settlement has arrived from another courier.
    SettlementReceived {
        /// The sender.
        from: Name,
        /// The message.
        message: settlement::SettlementMessage,
        /// The message body; empty if the message has none.
        payload: Bytes,
    },
    /// An occurrence for the log of the process.
    Notice(MemberNotice),
}

/// A step of a takeover, which the driver carries out on the courier's journal and router. The order of the steps must
/// not be changed.
#[derive(Clone, Debug, PartialEq)]
pub enum TakeoverTask {
    /// The driver writes the partitions of a sealed journal into the own journal, in one append.
    Adopt {
        /// The assigned partitions, all of the same journal.
        partitions: Vec<PartitionId>,
        /// Partitions that the owner of the sealed journal had itself adopted. Records of all other foreign partitions
        /// in that journal are ignored, as the owner did not own them.
        settled: BTreeSet<PartitionId>,
        /// The complete contents of the sealed journal.
        bytes: Vec<u8>,
    },
    /// The fleet has decided about the adoption of a partition.
    ResolveAdoption {
        /// The partition of the sealed journal.
        source: PartitionId,
        /// Whether this courier owns the partition and processes its records from now on. If not, another courier
        /// owns it.
        adopted: bool,
    },
}
