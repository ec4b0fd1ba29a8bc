//! The events of a simulated fleet, ordered by the time of its virtual clock.

use std::cmp::Ordering;

/// An event and its time in microseconds of the virtual clock. Events at the same time are handled in the order in
/// which they were scheduled.
pub struct Scheduled {
    pub time: u64,
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
        (self.time, self.sequence).cmp(&(other.time, other.sequence))
    }
}

/// Identifies a connection at the partner: the courier, the incarnation of its process, and the connection's number
/// there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionKey {
    pub courier: usize,
    pub incarnation: u32,
    pub conn: u64,
}

/// An event of the simulation. Couriers are identified by their index.
#[derive(Clone, Debug)]
pub enum Event {
    /// An event for one incarnation of a courier's process; it is deferred while the process is suspended.
    AtCourier {
        courier: usize,
        incarnation: u32,
        event: CourierEvent,
    },
    /// Log entries reach a courier, up to this number.
    EntriesDelivered {
        courier: usize,
        up_to: usize,
    },
    /// The partner reads the end of a connection that the courier closed.
    ConnectionEnded(ConnectionKey),
    /// The partner ends the connection if nothing was written on it since `written_at`.
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
    /// The proposed command with this index is committed if the term of its leader hasn't ended.
    Commit {
        term: u64,
        proposal: usize,
    },
    LeaderRound {
        term: u64,
    },
    /// The simulation injects a random fault.
    Fault,
    Repair {
        courier: usize,
        repair: Repair,
    },
}

/// An event at a courier's process.
#[derive(Clone, Debug)]
pub enum CourierEvent {
    Tick,
    /// The response to a call arrives.
    Answer {
        conn: u64,
        call: u64,
    },
    /// The courier reads the end of a connection that the partner closed.
    EndRead {
        conn: u64,
    },
    /// The leader has renewed a lease. `sent` is the time of the courier's request, by its own clock.
    LeaseRenewed {
        epoch: u64,
        sent: u64,
        log_length: usize,
    },
    JoinConfirmed {
        epoch: u64,
    },
    /// The process opens a connection for a call after a suspension since the permit.
    LateOpening {
        conn: u64,
        call: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repair {
    Network,
    Partner,
    Suspension,
    Start,
}

/// A courier's message to the leader.
#[derive(Clone, Debug)]
pub enum CourierMessage {
    /// The report with this index.
    Report(usize),
    Renew {
        epoch: u64,
        sent: u64,
    },
    Join,
}
