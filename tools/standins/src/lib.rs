//! Stand-ins for what a courier communicates with, written from the platform's protocol: endpoints with scripts, the platform's
//! discovery and notices, and clients. They listen on loopback only, on ports that the system assigns, and report what they
//! observe as events, so that no test has to wait for a time.
//!
//! - [`courier`] and [`test_bed`]: one courier, with [`endpoint`], [`platform`], [`client`] and [`operator`] around it;
//! - [`fleet`]: several couriers with [`partner`]s, with faults between them, and one [`record`] of the run for the [`audit`];
//! - [`gate`], [`listener`], [`http`]: what the stand-ins are built from.

pub mod audit;
pub mod client;
mod config;
pub mod courier;
pub mod endpoint;
pub mod fault;
pub mod fleet;
pub mod gate;
pub mod http;
pub mod listener;
pub mod operator;
pub mod partner;
pub mod platform;
mod process;
pub mod record;
pub mod runtime;
mod stamp;
pub mod test_bed;

use std::time::Instant;
use tokio::sync::mpsc;

/// Observations that wait for the test; while there are as many, the stand-ins wait.
const OBSERVATIONS_MAX: usize = 4_096;

/// Something that a stand-in observed.
#[derive(Clone, Debug)]
pub struct Observation {
    /// When it was observed.
    pub at: Instant,
    /// The id of the message; empty if the observation is about none.
    pub id: String,
    /// What was observed.
    pub what: ObservationKind,
}

/// The kind of an [`Observation`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObservationKind {
    /// The head of a call was received.
    CallBegan,
    /// The body of a call has ended.
    Body {
        /// Bytes received.
        bytes: u64,
        /// Their CRC-32.
        crc: u32,
        /// Whether it was complete, as its head has it.
        whole: bool,
    },
    /// An answer was written: its first line and headers, separated by commas.
    Answered(String),
    /// The courier closed the call's connection before it was answered.
    Abandoned,
    /// A notice to the platform was received: a line of JSON.
    Notice(String),
    /// A watch on discovery was requested.
    Watched,
}

/// Sends what a stand-in observes to the test.
#[derive(Clone)]
pub struct Observer(mpsc::Sender<Observation>);

impl Observer {
    /// An observer, and the receiver of its observations.
    pub fn channel() -> (Observer, mpsc::Receiver<Observation>) {
        let (to, from) = mpsc::channel(OBSERVATIONS_MAX);
        (Observer(to), from)
    }

    /// Reports an observation; does nothing if the receiver has been dropped.
    pub async fn observe(&self, id: &str, what: ObservationKind) {
        let _ = self.0.send(Observation { at: Instant::now(), id: id.to_string(), what }).await;
    }
}
