//! What a driver hands to [`Member::step`](super::Member::step) and what it gets back.

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
    /// Time has passed. Wanted at [`Member::wake_at`](super::Member::wake_at) at the latest.
    Tick,
    /// An envelope of another courier has arrived.
    Received(Envelope),
    /// The courier's own journal is open, after [`MemberOutput::Joined`].
    JournalOpened {
        /// The journal's contents.
        bytes: Vec<u8>,
        /// Adopted partitions in it whose adoption the journal does not record as resolved.
        unsettled: Vec<PartitionId>,
    },
    /// These bytes were appended to the journal.
    JournalAppended(Vec<u8>),
    /// The journal was compacted: its contents are these now.
    JournalReplaced(Vec<u8>),
    /// The partition's records are in the journal, at the end of what was reported as appended.
    Adopted(PartitionId),
    /// The journal records how the partition's adoption was resolved.
    AdoptionResolved(PartitionId),
    /// A planned stop: the courier leaves the fleet, and its journal is for others to take over.
    Leave,
    /// A command about a settlement, to be proposed. Its sender repeats it until it is committed.
    Settlement(settlement::SettlementCommand),
}

/// An output of [`Member::step`](super::Member::step); the driver carries them out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberOutput {
    /// A message to another courier. It may be lost, duplicated or late.
    Send(Name, FleetMessage),
    /// The courier is registered.
    Joined {
        /// The epoch of its registration.
        epoch: Epoch,
        /// Whether the journal in its folder is still its own. If not, others have taken it over, and nothing
        /// in it may be acted on.
        retained: bool,
    },
    /// The courier may act until this time of its own clock, unless the lease is extended or revoked.
    Lease(Micros),
    /// The journal is replicated up to this offset in bytes, counted over all that was ever written.
    Replicated(u64),
    /// The replicas of the journal have changed.
    Replicas {
        /// The couriers that have to have a record before it counts as written.
        at: BTreeSet<Name>,
        /// Whether these are enough to accept messages (see [`MissingReplicas`](crate::config::MissingReplicas)).
        enough: bool,
    },
    /// A step of a takeover is due.
    Takeover(TakeoverTask),
    /// The registration is void, and others may take over the journal: the process has to start again.
    Fenced,
    /// The fleet has agreed that this courier has left.
    Left,
    /// Connections to partners that have to be closed.
    CloseConnections(Vec<ConnectionOrder>),
    /// The agreed state of a settlement has changed.
    Settlement(settlement::SettlementEvent),
    /// The agreed state was replaced by a snapshot: changes of settlements on the way to it are not reported.
    SettlementsRestored,
    /// Another courier's message about a settlement.
    SettlementReceived {
        /// The sender.
        from: Name,
        /// The message.
        message: settlement::SettlementMessage,
        /// The body that goes with it.
        payload: Bytes,
    },
    /// Something for the process's log.
    Notice(MemberNotice),
}

/// A step of a takeover, to be carried out on the courier's journal and router. The steps keep their order.
#[derive(Clone, Debug, PartialEq)]
pub enum TakeoverTask {
    /// Partitions of a sealed journal are to be written into the own journal, at once.
    Adopt {
        /// The partitions, all of the same journal.
        partitions: Vec<PartitionId>,
        /// Partitions that the owner of the sealed journal had itself adopted. Of other partitions' records in
        /// that journal nothing was its own.
        settled: BTreeSet<PartitionId>,
        /// The sealed journal's contents.
        bytes: Vec<u8>,
    },
    /// The adoption of a partition is decided.
    ResolveAdoption {
        /// The partition.
        source: PartitionId,
        /// Whether it belongs to this courier, which acts on its records from now on. If not, another courier
        /// has it.
        adopted: bool,
    },
}
