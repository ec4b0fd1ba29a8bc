//! A fleet of real couriers between stand-ins, and the faults between them.
//!
//! Each courier is a process of the program with a folder of its own. It reaches each other courier by a [`Link`] of the harness,
//! and each partner and the platform by a listener of its own; a test changes what links and listeners do at any moment. All that
//! is observed is in one [`RunRecord`], in one order. A test waits for what it needs there ([`Fleet::wait_until`]) and never for a
//! time; at its end [`Fleet::history`] goes to the auditor ([`crate::audit`]).
//!
//! The ports of couriers are known before the start and stay the same over all restarts: the harness keeps each of them bound,
//! without listening, until the fleet is dropped ([`crate::gate::Port`]). The system assigns such a port to nobody else, in this
//! process or another, so that runs can't collide.
//!
//! Couriers are numbered from 0 and named `a`, `b`, ... While a courier is not running, a link to it accepts and resets at once,
//! in place of a refusal.
//!
//! - `setup` and `prepare`: what a fleet is started with, and its files, ports and links; `member`, `process`: one courier;
//! - `lifecycle`: starts, signals and ends of couriers; [`crate::fault`], [`link`], `injection`: faults, and what carries them out;
//! - `client`: clients of a fleet; `error`: why something could not be done.
//!
//! ```no_run
//! use quillmount_standins::audit::{AuditRules, audit};
//! use quillmount_standins::client::MessageRequest;
//! use quillmount_standins::fleet::link::{RequestFault, LinkMode};
//! use quillmount_standins::fleet::{Fleet, FleetSetup, WAIT_TIMEOUT, run_test};
//! use quillmount_standins::partner::Answer;
//! use serde_json::json;
//! use std::time::Duration;
//!
//! run_test(async || {
//!     let mut setup = FleetSetup::new("target/debug/quillmount", 3);
//!     setup.fleet = Some(json!({"lease": "2s", "copies": 1}));
//!     // The partner of destination 1 answers each call only when the test releases it.
//!     setup.partner(1, |_| Answer::Pending);
//!     let mut fleet = Fleet::start(setup).await.unwrap();
//!
//!     let debit = MessageRequest::new("fee-debit", "m1", 1, Duration::from_secs(16));
//!     assert_eq!(fleet.submit(0, &debit, b"12.50").await, 202);
//!     fleet.wait_until("the call", WAIT_TIMEOUT, |record| record.calls_of("m1").next().map(|_| ())).await.unwrap();
//!
//!     // The next request of the replication is truncated; then the owner is partitioned and suspended, and another takes over.
//!     fleet.link(0, 1).fault_next_request(RequestFault::CutInBody(20));
//!     fleet.link(0, 2).set(LinkMode::Partitioned);
//!     fleet.suspend(0).unwrap();
//!     fleet.wait_until("the notice of the successor", WAIT_TIMEOUT, |r| r.notices_of("m1").next().map(|_| ())).await.unwrap();
//!     fleet.partner(0).release("m1", Answer::ok());
//!     fleet.heal().await.unwrap();
//!     assert_eq!(audit(&fleet.history(AuditRules::default())), []);
//! });
//! ```

mod client;
mod error;
mod injection;
mod lifecycle;
pub mod link;
mod member;
mod prepare;
mod process;
mod setup;

pub use client::FleetClient;
pub use error::FleetError;
pub use setup::FleetSetup;

use crate::audit::{self, AuditRules, History};
use crate::client::MessageRequest;
use crate::partner::Partner;
use crate::platform::Platform;
use crate::record::{Recorder, RunRecord, WaitTimeout};
use crate::runtime;
use link::Link;
use member::Member;
use process::Process;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tempfile::TempDir;

/// How long a test waits for a step of the program; only a faulty one exceeds it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a test may take.
const TEST_TIMEOUT: Duration = Duration::from_secs(240);

/// Runs a test on one thread, in a `LocalSet`.
///
/// # Panics
/// The test did not finish within four minutes, or panicked itself.
pub fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    runtime::run_within(TEST_TIMEOUT, test);
}

/// The ends of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LinkEnds {
    /// The courier that calls.
    from: usize,
    /// The courier that is called.
    to: usize,
}

/// A running fleet; dropped, its processes are killed and its folders removed.
pub struct Fleet {
    /// The record of the run.
    pub recorder: Recorder,
    /// The platform.
    pub platform: Platform,
    partners: Vec<Partner>,
    members: Vec<Member>,
    links: BTreeMap<LinkEnds, Link>,
    /// The value of `RUST_LOG` for each courier; empty: it is not set.
    levels: String,
    _root: TempDir,
}

impl Fleet {
    /// How many couriers there are, running or not.
    pub fn couriers(&self) -> usize {
        self.members.len()
    }

    /// The name of a courier.
    pub fn name(&self, courier: usize) -> &str {
        &self.members[courier].name
    }

    /// The address at which clients reach a courier, in all its incarnations.
    pub fn addr(&self, courier: usize) -> SocketAddr {
        self.members[courier].ports.clients.addr
    }

    /// The address at which operators call a courier, in all its incarnations.
    pub fn operators(&self, courier: usize) -> SocketAddr {
        self.members[courier].ports.operators.addr
    }

    /// The address at which a courier listens for the others, without a link in between.
    pub fn listen(&self, courier: usize) -> SocketAddr {
        self.members[courier].ports.peers.addr
    }

    /// The folder of a courier that survives restarts.
    pub fn folder(&self, courier: usize) -> PathBuf {
        self.members[courier].state_folder()
    }

    /// The current bytes of a courier's journal; empty if there is no journal.
    pub fn journal(&self, courier: usize) -> Vec<u8> {
        std::fs::read(self.folder(courier).join("journal")).unwrap_or_default()
    }

    /// The id of a courier's process, while it runs.
    pub fn id(&self, courier: usize) -> Option<u32> {
        self.members[courier].process.as_ref().map(Process::id)
    }

    /// How often a courier has been started, which is the number of its latest incarnation.
    pub fn incarnation(&self, courier: usize) -> u32 {
        self.members[courier].incarnations
    }

    /// The link from one courier to another.
    pub fn link(&self, from: usize, to: usize) -> &Link {
        &self.links[&LinkEnds { from, to }]
    }

    /// A partner, by its number.
    pub fn partner(&self, number: usize) -> &Partner {
        &self.partners[number]
    }

    /// Waits until `found` finds something in the record.
    ///
    /// # Errors
    /// Nothing was found in time; the error shows the last log lines of each courier.
    pub async fn wait_until<T>(
        &self,
        what: &str,
        within: Duration,
        found: impl FnMut(&RunRecord) -> Option<T>,
    ) -> Result<T, WaitTimeout> {
        self.recorder.wait_until(what, within, found).await
    }

    /// The history of the run for the auditor, except for budgets, seals and settlements, which the test adds.
    pub fn history(&self, rules: AuditRules) -> History {
        let journal = |courier| audit::Journal { courier, copy: false, bytes: self.journal(courier) };
        let journals = (0..self.members.len()).map(journal).collect();
        let dests: Vec<u64> = self.partners.iter().map(|partner| partner.dest).collect();
        let at = self.recorder.now();
        self.recorder.read(|record| History { journals, ..record.history(rules, at, &dests) })
    }

    /// Submits a message at a courier, and returns the status of the answer; 0: the connection broke. [`Fleet::client`] does the
    /// same from another task.
    pub async fn submit(&self, courier: usize, message: &MessageRequest, body: &[u8]) -> u16 {
        self.client(courier).submit(message, body).await
    }

    /// A client of a courier, for a task of its own.
    pub fn client(&self, courier: usize) -> FleetClient {
        FleetClient { courier, addr: self.addr(courier), recorder: self.recorder.clone() }
    }

    /// The status and the body of the answer to a GET, as of `/-/ready`.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn get(&self, courier: usize, path: &str) -> std::io::Result<(u16, String)> {
        crate::client::get(self.addr(courier), path).await
    }
}
