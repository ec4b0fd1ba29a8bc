//! What a member takes and gives, why it can fail, and what its log is told.

use super::*;

/// Why a courier can't go on as a member of its fleet.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    #[error(transparent)]
    Agreement(#[from] AgreementError),
    #[error(
        "fleet: what is kept of it in the lasting folder can't be read or written: {0}; check the folder's disk and rights"
    )]
    Store(#[from] io::Error),
    #[error(
        "fleet: its state of an earlier process can't be read: {0}; start with an empty fleet folder, as a new member"
    )]
    State(#[from] postcard::Error),
}

#[derive(Clone, Debug, PartialEq)]
pub enum MemberInput {
    /// Time has passed; wanted at `wake_at` at the latest.
    Tick,
    Received(Envelope),
    /// What the journal holds now that the courier has joined, and parts in it that it does not say to be settled.
    JournalOpened {
        bytes: Vec<u8>,
        unsettled: Vec<PartitionId>,
    },
    /// The journal has grown by these.
    JournalAppended(Vec<u8>),
    /// The journal is these now.
    JournalReplaced(Vec<u8>),
    /// A part of a sealed book is in the journal, as it was when so much was written.
    Adopted(PartitionId),
    /// The journal says whose the part is.
    AdoptionResolved(PartitionId),
    /// A planned stop: the book is for others from here on.
    Leave,
    /// Of a settlement's home; said again by whoever wants it, until it is agreed.
    Settlement(settlement::SettlementCommand),
}

#[derive(Clone, Debug, PartialEq)]
pub enum MemberOutput {
    Send(Name, FleetMessage),
    /// It is a member under this epoch. Where the book in its folder is not its own any more (`retained` is false), nothing of
    /// what it says may be done.
    Joined {
        epoch: Epoch,
        retained: bool,
    },
    /// It may act until then by its own clock, if nothing else is said.
    Lease(Micros),
    /// All that was written up to this mark is where it has to be.
    Replicated(u64),
    /// Records are safe once they are at all of these; not enough: it may not take on (see [`MissingReplicas`]).
    Replicas {
        at: BTreeSet<Name>,
        enough: bool,
    },
    /// These parts of this sealed book are to be written into the journal, in one piece; of what came to that book from
    /// others only the parts in `settled` were its own.
    Adopt {
        partitions: Vec<PartitionId>,
        settled: BTreeSet<PartitionId>,
        bytes: Vec<u8>,
    },
    /// The part is its own: it goes on with it. Or somebody else has it.
    ResolveAdoption {
        source: PartitionId,
        adopted: bool,
    },
    /// Its book is no longer its own: the process has to begin anew.
    Fenced,
    /// The fleet knows that it has left.
    Left,
    /// Connections to partners that are to be closed.
    CloseConnections(Vec<ConnectionOrder>),
    /// What is agreed about a settlement has changed.
    Settlement(settlement::SettlementEvent),
    /// The agreed state came as a whole: what became of settlements' homes in between is not known.
    SettlementsRestored,
    /// Another courier's ask or word about a settlement.
    SettlementReceived {
        from: Name,
        message: settlement::SettlementMessage,
        payload: Bytes,
    },
    Notice(MemberNotice),
}

/// What the log is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberNotice {
    Joined {
        epoch: Epoch,
        retained: bool,
    },
    Deregistered {
        name: Name,
        epoch: Epoch,
    },
    Sealed(JournalId),
    TakeoverStarted {
        journal: JournalId,
        partitions: usize,
        bytes: usize,
    },
    ReplicaUnavailable {
        journal: JournalId,
    },
    ReplicaLagging {
        name: Name,
    },
    ReplicaRejected {
        journal: JournalId,
        what: String,
    },
    Leading(bool),
    LeaseLost(bool),
    Bootstrapping,
    /// Those who agree are these from now on.
    Voters(Vec<Name>),
    /// The agreement's own word.
    Agreement(String),
}

impl std::fmt::Display for MemberNotice {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            MemberNotice::Joined { epoch, retained: true } => {
                write!(f, "fleet: member under epoch {epoch}, with the book in the folder")
            }
            MemberNotice::Joined { epoch, retained: false } => {
                write!(
                    f,
                    "fleet: member under epoch {epoch}, with a new book: others have what was owed before"
                )
            }
            MemberNotice::Deregistered { name, epoch } => write!(f, "fleet: {name} is gone (epoch {epoch})"),
            MemberNotice::Sealed(journal) => write!(f, "fleet: book {journal} is sealed"),
            MemberNotice::TakeoverStarted { journal, partitions, bytes } => {
                write!(f, "fleet: takes over {partitions} parts of book {journal} ({bytes} bytes)")
            }
            MemberNotice::ReplicaUnavailable { journal } => write!(
                f,
                "fleet: no copy of book {journal} answers: start its owner or a holder of a copy with its folder"
            ),
            MemberNotice::ReplicaLagging { name } => {
                write!(f, "fleet: the copy at {name} is late and is replaced: look at the link to it")
            }
            MemberNotice::ReplicaRejected { journal, what } => {
                write!(f, "fleet: a copy of book {journal} can't be kept: {what}; look at the folder's disk")
            }
            MemberNotice::Leading(true) => write!(f, "fleet: leads"),
            MemberNotice::Leading(false) => write!(f, "fleet: leads no more"),
            MemberNotice::LeaseLost(true) => {
                write!(f, "fleet: its lease is over: cut off, or too few voters are up; nothing is begun")
            }
            MemberNotice::LeaseLost(false) => write!(f, "fleet: has a lease"),
            MemberNotice::Agreement(what) => write!(f, "fleet: {what}"),
            MemberNotice::Voters(voters) => write!(f, "fleet: voters are {}", voters.join(", ")),
            MemberNotice::Bootstrapping => write!(f, "fleet: begins a new one, as its first voter"),
        }
    }
}
