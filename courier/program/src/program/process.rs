//! A courier that serves: its tasks, what ends them, and the planned stop.

use super::config::Config;
use super::signals::Signals;
use super::startup::ResumedParts;
use crate::fleet::Fleet;
use crate::transport::clock::Clock;
use crate::transport::courier::Courier;
use crate::transport::handover::{ActiveProcess, Tasks};
use crate::transport::operators::{self, OperatorService};
use crate::transport::platform;
use crate::transport::server::{Connections, serve};
use actix_rt::net::TcpListener;
use actix_rt::time::{sleep, timeout};
use quillmount_core::machine::lifecycle::LifecycleInput;
use quillmount_core::router::RouterAction;
use quillmount_policy::Micros;
use std::rc::Rc;
use std::time::Duration;

/// After SIGTERM the platform's load balancer goes on passing connections for up to 0.4 s.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(500);
/// Calls end so long after SIGTERM: SIGKILL comes 3.7 s after it at the soonest.
const CALLS_END: Duration = Duration::from_millis(3_200);
/// Clients' connections end so long after SIGTERM.
const CONNECTIONS_END: Duration = Duration::from_millis(3_400);
/// The fleet has so long after SIGTERM to confirm the leave: 0.1 s before SIGKILL comes at the soonest.
const LEAVE_END: Duration = Duration::from_millis(3_600);
/// Operators may still call a process that has handed over: they learn late where the next one listens.
const FORWARD_OPERATORS: Duration = Duration::from_secs(10);
/// Between two checks of a stopping courier whether its work is done.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How a courier's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// As planned: the process exits.
    Stopped,
    /// Its fleet has given its work to others: the process starts over, with nothing of it.
    Restart,
}

/// A courier that serves.
pub struct Process {
    pub config: Config,
    pub clock: Clock,
    pub courier: Rc<Courier>,
    pub connections: Rc<Connections>,
    pub service: Rc<OperatorService>,
    pub active: Rc<ActiveProcess>,
    pub fleet: Option<Rc<Fleet>>,
}

/// What ended the serving.
enum ServeEnd {
    /// A planned stop, requested at this time in microseconds.
    StopRequested(Micros),
    /// The rest of the fleet has taken over the courier's work.
    Replaced,
    /// Another process has taken over by an upgrade.
    Transferred,
}

impl Process {
    /// Starts the work: that of the process before where there is some, else the router's first actions.
    pub fn resume(&self, actions: Vec<RouterAction>, resumed: Option<ResumedParts>) {
        let Some(ResumedParts { backoffs, drained, parts }) = resumed else {
            self.courier.begin(actions);
            return;
        };
        tracing::info!("upgrade: {} parts received", parts.len());
        self.courier.resume(&backoffs, actions);
        self.active.adopt(parts);
        if drained {
            self.service.resume_drain();
        }
    }

    /// Starts to serve clients, the next process of an upgrade, and operators.
    pub fn begin(&self, operators: Option<TcpListener>) {
        self.active.begin();
        self.courier.handle.step_lifecycle(LifecycleInput::Serve);
        // In a fleet the next process joins with the same folder: it is a member of its own.
        if self.fleet.is_none()
            && let Err(error) = self.active.listen()
        {
            tracing::error!(%error, "upgrade: listening for the next process failed: it can't take over from this one");
        }
        // Both last as long as the process.
        actix_rt::spawn(self.service.clone().keep_time());
        if let Some(operators) = operators {
            let service = self.service.clone();
            actix_rt::spawn(async move { operators::serve(&operators, Some(service)).await });
        }
    }

    /// Serves until a planned stop, or until another process or the fleet has the work.
    pub async fn run(&self, signals: &mut Signals) -> RunEnd {
        match self.serve(signals).await {
            ServeEnd::StopRequested(at) => {
                self.stop(at).await;
                RunEnd::Stopped
            }
            ServeEnd::Replaced => {
                tracing::error!(
                    "fleet: others have taken over its work: the process restarts; {}",
                    self.courier.report()
                );
                self.courier.handle.step_lifecycle(LifecycleInput::End);
                RunEnd::Restart
            }
            ServeEnd::Transferred => {
                self.forward_operators(signals).await;
                RunEnd::Stopped
            }
        }
    }

    async fn serve(&self, signals: &mut Signals) -> ServeEnd {
        loop {
            tokio::select! {
                _ = signals.terminate.recv() => self.request_stop(),
                _ = signals.interrupt.recv() => self.request_stop(),
                requested_at = self.courier.handle.wait_for_stop() => return ServeEnd::StopRequested(requested_at),
                () = replaced(self.fleet.as_deref()) => return ServeEnd::Replaced,
                () = self.active.gone.notified() => return ServeEnd::Transferred,
                _ = signals.report.recv() => {
                    tracing::info!("{}: {}", self.config.name, self.courier.report());
                }
            }
        }
    }

    fn request_stop(&self) {
        let handle = &self.courier.handle;
        handle.step_lifecycle(LifecycleInput::Stop);
        if handle.lifecycle().stopping_since().is_none() {
            tracing::info!("upgrade: stop requested during a handover: it waits for the handover's end");
        }
    }

    /// Another process has the folder: operators' calls are forwarded to it until this one is to end.
    async fn forward_operators(&self, signals: &mut Signals) {
        if self.config.operator.is_some() && !self.courier.handle.lifecycle().stop_requested() {
            // Without a request to stop the time is up.
            let _ = timeout(FORWARD_OPERATORS, signals.shutdown_requested()).await;
        }
        tracing::info!("{}: stopped; another process has taken over", self.config.name);
    }

    /// The planned stop, all of whose times count from the request.
    async fn stop(&self, requested_at: Micros) {
        tracing::info!("{}: stopping; {}", self.config.name, self.courier.report());
        self.courier.stop(requested_at + CALLS_END.as_micros() as Micros);
        self.connections.close_after_answers(true);
        sleep(self.left(requested_at, ACCEPT_AFTER_STOP)).await;
        let closed = timeout(self.left(requested_at, CONNECTIONS_END), self.active.close_listener()).await;
        if closed.is_err() {
            tracing::warn!(
                courier = self.config.name,
                "stop: closing the listener took too long: connections waiting in it were not accepted"
            );
        }
        self.finish_calls(requested_at).await;
        if let Some(fleet) = &self.fleet {
            self.leave(fleet, requested_at).await;
        }
        tracing::info!("{}: stopped; {}", self.config.name, self.courier.report());
        self.courier.handle.step_lifecycle(LifecycleInput::End);
    }

    /// What is left of a span that began with the request: a handover that was in progress then has taken a part of it.
    fn left(&self, requested_at: Micros, span: Duration) -> Duration {
        self.clock.until(requested_at + span.as_micros() as Micros)
    }

    /// Waits until no work is in progress, or the time is up.
    async fn finish_calls(&self, requested_at: Micros) {
        while self.left(requested_at, CONNECTIONS_END) > Duration::ZERO {
            if self.left(requested_at, CALLS_END) == Duration::ZERO {
                self.courier.end_streams();
                self.courier.keep_unsent();
            }
            let open = self.connections.close_idle();
            // In a fleet, messages without a call in flight are delivered by the other members: only calls are waited for.
            let quiet = match &self.fleet {
                None => self.courier.is_quiet(),
                Some(_) => !self.courier.has_calls_out(),
            };
            if !open && quiet {
                break;
            }
            sleep(STOP_CHECK_INTERVAL.min(self.left(requested_at, CONNECTIONS_END))).await;
        }
    }

    /// Gives the journal to the rest of the fleet.
    async fn leave(&self, fleet: &Fleet, requested_at: Micros) {
        match timeout(self.left(requested_at, LEAVE_END), fleet.leave(&self.config.state)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => tracing::error!("{e}"),
            Err(_) => tracing::warn!(
                "fleet: it did not confirm the leave in time: its journal is taken over when the lease lapses"
            ),
        }
    }
}

/// Starts the tasks that a process runs while it decides; a handover ends them, and starts them again if it fails.
pub fn start_tasks(
    listener: Option<Rc<TcpListener>>,
    courier: &Rc<Courier>,
    connections: &Rc<Connections>,
    discovery: &platform::Discovery,
    watch_options: platform::WatchOptions,
) -> Tasks {
    vec![
        actix_rt::spawn(accept(listener, courier.clone(), connections.clone())),
        actix_rt::spawn(courier.clone().keep_time()),
        actix_rt::spawn(courier.clone().sweep()),
        actix_rt::spawn(platform::watch(courier.clone(), discovery.clone(), watch_options)),
        actix_rt::spawn(platform::notify(courier.clone(), discovery.clone())),
    ]
}

/// Accepts clients, for as long as there is a listener.
async fn accept(listener: Option<Rc<TcpListener>>, courier: Rc<Courier>, connections: Rc<Connections>) {
    if let Some(listener) = listener {
        serve(listener, courier, connections).await;
    }
}

/// Waits until the rest of the fleet has the courier's work; without a fleet for ever.
async fn replaced(fleet: Option<&Fleet>) {
    match fleet {
        Some(fleet) => fleet.fenced_notify.notified().await,
        None => std::future::pending().await,
    }
}
