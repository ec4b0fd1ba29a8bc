//! Stand-ins for what a courier meets, written from the platform's protocol: providers with scripted habits, the
//! platform's discovery and notices, and consumers. They listen on loopback alone, on ports that the system
//! deals, and tell what they see as events, so that nobody has to wait for a time.

pub mod audit;
pub mod client;
mod config;
pub mod courier;
pub mod endpoint;
pub mod fleet;
pub mod gate;
pub mod http;
pub mod listener;
pub mod operator;
pub mod partner;
pub mod platform;
mod process;
pub mod record;
mod runtime;
pub mod test_bed;

use std::time::Instant;
use tokio::sync::mpsc;

/// Events that may wait to be heard; a stand-in that is not listened to stops here.
const EVENTS_MAX: usize = 4_096;

/// Something that a stand-in saw.
#[derive(Clone, Debug)]
pub struct Observation {
    /// When it was observed.
    pub at: Instant,
    /// The message's id, where one is known.
    pub id: String,
    /// What was observed.
    pub what: ObservationKind,
}

/// What a stand-in observes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObservationKind {
    /// A call's head has come.
    CallBegan,
    /// A call's body: its bytes, their CRC-32, and whether it came to its end as its head has it.
    Body {
        /// Bytes received.
        bytes: u64,
        /// Their CRC-32.
        crc: u32,
        /// Whether it was complete.
        whole: bool,
    },
    /// The first line of an answer that was written, with the wait that it told.
    Answered(String),
    /// The courier closed the call's connection before it was answered.
    Abandoned,
    /// A notice to the platform, as it was written.
    Notice(String),
    /// Discovery is watched.
    Watched,
}

/// Where events go.
#[derive(Clone)]
pub struct Observer(mpsc::Sender<Observation>);

impl Observer {
    /// An observer, and the receiver of its observations.
    pub fn channel() -> (Observer, mpsc::Receiver<Observation>) {
        let (to, from) = mpsc::channel(EVENTS_MAX);
        (Observer(to), from)
    }

    /// Tells of it; a listener that has gone misses nothing.
    pub async fn observe(&self, id: &str, what: ObservationKind) {
        let _ = self.0.send(Observation { at: Instant::now(), id: id.to_string(), what }).await;
    }
}
