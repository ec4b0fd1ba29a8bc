//! What happens in a simulated fleet, in the order of its virtual clock.

use std::cmp::Ordering;

/// An event and its time, in microseconds of the virtual clock. At the same time the one that was scheduled first is first.
pub struct Scheduled {
    pub at: u64,
    pub sequence: u64,
    pub event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A connection at the partner: the courier that opened it, the run of its process, and the connection's number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionKey {
    pub courier: usize,
    pub incarnation: u32,
    pub conn: u64,
}

/// One event. Couriers are given by their index.
#[derive(Clone, Debug)]
pub enum Event {
    /// Something for one run of a courier's process; it waits while the process is paused.
    AtCourier {
        courier: usize,
        incarnation: u32,
        event: CourierEvent,
    },
    /// Entries of the log reach a courier, up to this number.
    EntriesDelivered {
        courier: usize,
        upto: usize,
    },
    /// The partner reads the end of a connection.
    ConnectionEnded(ConnectionKey),
    /// The partner ends a connection on which nothing was written since.
    IdleCheck {
        connection: ConnectionKey,
        written_at: u64,
    },
    /// A courier's message reaches the leader.
    MessageToLeader {
        courier: usize,
        incarnation: u32,
        message: CourierMessage,
    },
    /// A proposed command, by its index, is committed if the leader that proposed it still leads.
    Commit {
        term: u64,
        proposal: usize,
    },
    LeaderRound {
        term: u64,
    },
    /// Something goes wrong.
    Fault,
    Repair {
        courier: usize,
        repair: Repair,
    },
}

/// What happens at a courier's process.
#[derive(Clone, Debug)]
pub enum CourierEvent {
    Tick,
    /// The answer of a call arrives.
    Answer {
        conn: u64,
        call: u64,
    },
    /// The courier reads the end of a connection.
    EndRead {
        conn: u64,
    },
    /// The leader has renewed a lease; `sent`: when the courier asked for it, by its own clock.
    LeaseRenewed {
        epoch: u64,
        sent: u64,
        log_length: usize,
    },
    JoinConfirmed {
        epoch: u64,
    },
    /// A connection is opened for a call; the process was suspended in between.
    LateOpening {
        conn: u64,
        call: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repair {
    Network,
    Partner,
    Pause,
    Start,
}

/// A courier's message to the leader.
#[derive(Clone, Debug)]
pub enum CourierMessage {
    /// A report, by its index.
    Report(usize),
    Renew {
        epoch: u64,
        sent: u64,
    },
    Join,
}
