//! The signals that the process handles.

use super::error::RunError;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of the signals that end a courier or ask for its counters.
pub struct Signals {
    /// SIGTERM: a planned stop.
    pub terminate: Signal,
    /// SIGINT: a planned stop too.
    pub interrupt: Signal,
    /// SIGUSR1: the counters go to the log.
    pub report: Signal,
}

impl Signals {
    /// Installs all handlers; that of SIGHUP comes apart, for [`super::reload::Reload`]. Called before anything else: without
    /// a handler a signal ends the process, SIGHUP too.
    ///
    /// # Errors
    /// The system refuses a handler.
    pub fn install() -> Result<(Signals, Signal), RunError> {
        let signals = Signals {
            terminate: handler(SignalKind::terminate())?,
            interrupt: handler(SignalKind::interrupt())?,
            report: handler(SignalKind::user_defined1())?,
        };
        Ok((signals, handler(SignalKind::hangup())?))
    }

    /// Waits until a planned stop is requested.
    pub async fn shutdown_requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn handler(kind: SignalKind) -> Result<Signal, RunError> {
    signal(kind).map_err(RunError::Signals)
}
