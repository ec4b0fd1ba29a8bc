//! The life of the process: start, signals, planned stop.

use super::config::{Config, ConfigError, ConfigOwner};
use super::log::{Levels, LevelsError};
use crate::fleet::{self, Fleet, FleetError};
use crate::transport::clock::Clock;
use crate::transport::courier::Courier;
use crate::transport::handover::{self, ActiveProcess, ReceivedState};
use crate::transport::inherited::{self, InheritedError};
use crate::transport::journal_file::JournalFile;
use crate::transport::operators::{self, OperatorService};
use crate::transport::platform;
use crate::transport::server::{BACKLOG, BACKLOG_IN_FLEET, Connections, listen, serve};
use crate::transport::streams::StreamRules;
use actix_rt::net::TcpListener;
use actix_rt::time::{sleep, timeout};
use quillmount_core::machine::lifecycle::LifecycleInput;
use quillmount_core::pool::Pool;
use quillmount_core::router::{self, Router, RouterError, StreamLimits};
use quillmount_core::{flow, hub};
use quillmount_operator::{Operator, OperatorError};
use quillmount_settings::{NameTable, decode_settings};
use rustix::process::{Resource, getrlimit};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};

/// After SIGTERM the front goes on dealing out connections for up to 0.4 s.
const ACCEPT_ON: Duration = Duration::from_millis(500);
/// SIGKILL comes 3.7 s after SIGTERM at the soonest: calls end before this, and the process.
const CALLS_END: Duration = Duration::from_millis(3_200);
const STOP: Duration = Duration::from_millis(3_400);
/// Operators may still call a process that has handed over: they learn late where the next one listens.
const PASS_ON: Duration = Duration::from_secs(10);
const LOOK: Duration = Duration::from_millis(20);
/// Descriptors for what is neither a client's connection nor an endpoint's: some twenty, and as many
/// that a closed connection still holds for a moment.
const OWN_SOCKETS: usize = 32;
/// The part of the memory that clients' bodies under way may take.
const BODIES: u64 = 4;

#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error("configuration: {0}")]
    Config(#[from] ConfigError),
    #[error("operator file: {0}")]
    Operator(#[from] OperatorError),
    #[error("log: {0}")]
    Log(LevelsError),
    #[error(transparent)]
    Router(#[from] RouterError),
    #[error("listen on {addr}: {source}")]
    Listen { addr: SocketAddr, source: std::io::Error },
    #[error("listen for operators on {addr}: {source}")]
    Operators { addr: SocketAddr, source: std::io::Error },
    #[error("journal: {0}")]
    Folder(std::io::Error),
    #[error("GW_INHERITED_FD: {0}")]
    Inherited(#[from] InheritedError),
    #[error("signals: {0}")]
    Signals(std::io::Error),
    #[error(transparent)]
    Fleet(#[from] FleetError),
}

/// How a courier's life ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    Stopped,
    /// Its fleet has given its work to others: the process begins anew, with nothing of it.
    Restart,
}

/// A planned stop waits until then for its fleet's word, 0.1 s before SIGKILL comes at the soonest.
const LEAVE: Duration = Duration::from_millis(3_600);

/// Runs until a planned stop. `operator` came from `path`, where there is such a file.
///
/// # Errors
/// The courier can't start.
pub async fn run(operator: Operator, path: Option<PathBuf>, levels: Levels) -> Result<RunEnd, RunError> {
    // Before anything else: until then a signal ends the process, and SIGHUP too.
    let mut stop = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let mut report_requested = signal(SignalKind::user_defined1()).map_err(RunError::Signals)?;
    let hangup = signal(SignalKind::hangup()).map_err(RunError::Signals)?;
    let config = Config::load(|name| std::env::var(name).ok())?;

    let clock = Clock::start();
    // Half of the descriptors each: clients hold a third with requests, the rest is for those who do
    // not ask.
    let callers = if config.operator.is_some() { operators::CALLERS } else { 0 };
    let most = descriptors(config.sockets)
        .saturating_sub(OWN_SOCKETS + callers + fleet::sockets(&operator.fleet))
        / 2;
    let inherited = match std::env::var("GW_INHERITED_FD") {
        Ok(number) => Some(inherited::listener(&number, config.listen)?),
        Err(_) => None,
    };
    let early = match config.operator {
        None => None,
        Some(addr) => {
            let bound = TcpListener::bind(addr).await;
            let listener = bound.map_err(|source| RunError::Operators { addr, source })?;
            tracing::info!("operators: listening on {}", listener.local_addr().unwrap_or(addr));
            Some(listener)
        }
    };
    let shutdown_requested = async {
        tokio::select! {
            _ = stop.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    let taken = tokio::select! {
        taken = handover::take(&config.state, &clock, shutdown_requested) => taken,
        // A holder that hangs is waited for; operators are answered meanwhile.
        never = early_calls(early.as_ref()) => match never {},
    };
    let Some((lock, handed)) = taken.map_err(RunError::Folder)? else {
        tracing::info!("{}: stopped; it had taken nothing over, and the other process goes on", config.name);
        return Ok(RunEnd::Stopped);
    };
    let clock = handed.as_ref().map_or(clock, |handed| Clock::start_ahead(handed.ahead));
    let fleet = match operator.fleet.on {
        false => {
            fleet::may_be_off(&config.state)?;
            None
        }
        true => {
            let keyed = config.env.categories.iter().filter(|c| c.effect.as_deref() == Some("dedup"));
            let span = keyed.map(|c| (c.memory_span_ms * 1e3) as u64).min();
            let fleet =
                Fleet::start(&operator.fleet, &config.state, config.seed, clock.clone(), span, config.disk)
                    .await?;
            let joined = tokio::select! {
                joined = fleet.joined() => joined,
                never = early_calls(early.as_ref()) => match never {},
                _ = stop.recv() => return Ok(RunEnd::Stopped),
                _ = interrupt.recv() => return Ok(RunEnd::Stopped),
            };
            fleet.begin_journal(&config.state, joined.1)?;
            Some(fleet)
        }
    };
    let budgets = fleet.as_ref().and_then(|fleet| fleet.budgets.clone());
    let gate = fleet.as_ref().map(|fleet| fleet.gate.clone());
    let pool = Pool::new(config.idle().as_micros() as u64, most);
    let (limits, rules) = streams(&operator.streams).unzip();
    let settings_fingerprint = router::settings_fingerprint(&config.env, limits)?;
    let store = || {
        let folder = JournalFile::open(&config.state).map_err(RunError::Folder)?;
        Ok::<_, RunError>(match &gate {
            Some(gate) => folder.with_gate(gate.clone()),
            None => folder,
        })
    };
    let resumed = match handed {
        None => None,
        Some(ReceivedState { state: hub::HubState { router: state, backoffs }, drained, parts, .. }) => {
            match Router::resume(&config.env, limits, state, store()?, config.disk, clock.now()) {
                Ok(first) => Some((first, (backoffs, drained, parts))),
                Err(e) => {
                    tracing::error!("upgrade: what was handed over is of no use, the journal is read: {e}");
                    None
                }
            }
        }
    };
    // What was handed over, but for the state.
    let ((router, steps), mut resumed_parts) = match resumed {
        Some((first, rest)) => (first, Some(rest)),
        None => {
            let (seed, known) = (config.seed, config.known.clone());
            (Router::open_with(&config.env, limits, seed, known, store()?, config.disk, clock.now())?, None)
        }
    };
    let courier = Courier::new(clock.clone(), config.connect(), router, pool, rules, gate.clone(), budgets);
    if let Some(fleet) = &fleet {
        fleet.attach(&courier, &config.state)?;
    }
    let backlog = if fleet.is_some() { BACKLOG_IN_FLEET } else { BACKLOG };
    let listener = match (inherited, resumed_parts.as_mut()) {
        (Some(listener), _) => TcpListener::from_std(listener),
        // Bound by the process before, which has handed it over too.
        (None, Some((.., parts))) => match handover::listener(parts) {
            Some(listener) => TcpListener::from_std(listener),
            None => listen(config.listen, backlog),
        },
        (None, None) => listen(config.listen, backlog),
    };
    let addr = config.listen;
    let listener = listener.map_err(|source| RunError::Listen { addr, source })?;
    let bound = listener.local_addr().unwrap_or(addr);
    tracing::info!(
        "{}: serving on {bound}; discovery at {}; {}",
        config.name,
        config.discovery,
        courier.report()
    );

    let connections = Rc::new(Connections::new(clock.clone(), most, config.memory / BODIES));
    let (moves, discovery) = watch::channel(config.discovery);
    let service = OperatorService::new(courier.clone(), connections.clone(), config.state.clone());
    let settings = decode_settings(&config.env, &mut NameTable::default()).map_err(RouterError::Decode)?;
    let others = platform::Fleet {
        couriers: settings.sender_count,
        seed: config.seed,
        starts: resumed_parts.is_none(),
        heed: settings.drain_grace,
        pushed: !settings.subscription_required,
    };
    let begin = {
        let (courier, connections) = (courier.clone(), connections.clone());
        move |listener| {
            vec![
                actix_rt::spawn(accept(listener, courier.clone(), connections.clone())),
                actix_rt::spawn(courier.clone().keep_time()),
                actix_rt::spawn(courier.clone().sweep()),
                actix_rt::spawn(platform::watch(courier.clone(), discovery.clone(), others)),
                actix_rt::spawn(platform::notify(courier.clone(), discovery.clone())),
            ]
        }
    };
    let active = Rc::new(ActiveProcess {
        courier: courier.clone(),
        connections: connections.clone(),
        service: service.clone(),
        folder: config.state.clone(),
        settings_fingerprint,
        listener: RefCell::new(Some(Rc::new(listener))),
        lock: Cell::new(Some(lock)),
        begin: Box::new(begin),
        tasks: RefCell::default(),
        gone: Notify::new(),
    });
    match resumed_parts {
        None => courier.begin(steps),
        Some((backoffs, drained, parts)) => {
            tracing::info!("upgrade: {} parts came over", parts.len());
            courier.resume(&backoffs, steps);
            active.adopt(parts);
            if drained {
                service.drained();
            }
        }
    }
    // Through a planned stop too: the last notices go where the platform is by then.
    let reload = Reload {
        owner: config.owner.clone(),
        path: config.path.clone(),
        operator: path,
        levels,
        discovery: moves,
        fleet: fleet.clone(),
    };
    actix_rt::spawn(reload.on(hangup, courier.clone()));
    active.begin();
    courier.handle.step_lifecycle(LifecycleInput::Serve);
    // In a fleet the next process joins with the same folder: it is a member of its own.
    if fleet.is_none()
        && let Err(e) = active.listen()
    {
        tracing::error!("upgrade: the next process will not be heard: {e}");
    }
    actix_rt::spawn(service.clone().keep_time());
    if let Some(operators) = early {
        actix_rt::spawn(async move { operators::serve(&operators, Some(service)).await });
    }

    let stop_requested_at = loop {
        tokio::select! {
            _ = stop.recv() => request_stop(&courier),
            _ = interrupt.recv() => request_stop(&courier),
            requested_at = courier.handle.stops() => break requested_at,
            () = replaced(fleet.as_deref()) => {
                tracing::error!("fleet: others have its work by now: the process begins anew; {}", courier.report());
                courier.handle.step_lifecycle(LifecycleInput::End);
                return Ok(RunEnd::Restart);
            }
            () = active.gone.notified() => return gone(&config, &courier, &mut stop).await,
            _ = report_requested.recv() => tracing::info!("{}: {}", config.name, courier.report()),
        }
    };
    // A hand-over that was under way when it was asked for has taken a part of its time.
    let left = |of: Duration| clock.until(stop_requested_at + of.as_micros() as u64);
    tracing::info!("{}: stopping; {}", config.name, courier.report());
    courier.stop(stop_requested_at + CALLS_END.as_micros() as u64);
    connections.close_after_answers(true);
    sleep(left(ACCEPT_ON)).await;
    if timeout(left(STOP), active.close_listener()).await.is_err() {
        tracing::warn!("{}: consumers that had just come were not let in", config.name);
    }
    while left(STOP) > Duration::ZERO {
        if left(CALLS_END) == Duration::ZERO {
            courier.end_streams();
            courier.keep_unsent();
        }
        let open = connections.close_idle();
        // In a fleet what waits for its next call goes on elsewhere: calls that are out alone are waited for.
        let quiet = match &fleet {
            None => courier.is_quiet(),
            Some(_) => !courier.has_calls_out(),
        };
        if !open && quiet {
            break;
        }
        sleep(LOOK.min(left(STOP))).await;
    }
    if let Some(fleet) = &fleet {
        match timeout(left(LEAVE), fleet.leave(&config.state)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => tracing::error!("{e}"),
            Err(_) => tracing::warn!(
                "fleet: it did not confirm the leave in time: its book is taken over when the lease lapses"
            ),
        }
    }
    tracing::info!("{}: stopped; {}", config.name, courier.report());
    courier.handle.step_lifecycle(LifecycleInput::End);
    Ok(RunEnd::Stopped)
}

/// How many descriptors there are: what the system lets the process have goes before what the platform tells.
fn descriptors(configured: usize) -> usize {
    let had =
        getrlimit(Resource::Nofile).current.map_or(usize::MAX, |n| usize::try_from(n).unwrap_or(usize::MAX));
    if had < configured {
        tracing::warn!(
            "limits: {configured} descriptors are told, and the system lets the process have {had}: raise ulimit -n"
        );
    }
    configured.min(had)
}

/// Accepts clients, for as long as there is a listener.
async fn accept(listener: Option<Rc<TcpListener>>, courier: Rc<Courier>, connections: Rc<Connections>) {
    if let Some(listener) = listener {
        serve(listener, courier, connections).await;
    }
}

/// Waits until others have its work, if it is one of a fleet.
async fn replaced(fleet: Option<&Fleet>) {
    match fleet {
        Some(fleet) => fleet.fenced_notify.notified().await,
        None => std::future::pending().await,
    }
}

/// Answers operators before there is anything to ask; for ever, as listeners do.
async fn early_calls(operators: Option<&TcpListener>) -> std::convert::Infallible {
    if let Some(operators) = operators {
        operators::serve(operators, None).await;
    }
    std::future::pending().await
}

fn request_stop(courier: &Courier) {
    courier.handle.step_lifecycle(LifecycleInput::Stop);
    if courier.handle.lifecycle().stopping().is_none() {
        tracing::info!("upgrade: told to stop while all is being handed over: its end is waited for");
    }
}

/// Another process decides: operators' calls are passed on to it, until this one is told to end.
async fn gone(config: &Config, courier: &Courier, stop: &mut Signal) -> Result<RunEnd, RunError> {
    if config.operator.is_some() && !courier.handle.lifecycle().stop_requested() {
        let _ = timeout(PASS_ON, stop.recv()).await;
    }
    tracing::info!("{}: stopped; another process has taken over", config.name);
    Ok(RunEnd::Stopped)
}

/// What the operator file lets be streamed.
fn streams(section: &quillmount_operator::Streams) -> Option<(StreamLimits, StreamRules)> {
    let micros =
        |span: quillmount_operator::units::Span| u64::try_from(span.0.as_micros()).unwrap_or(u64::MAX);
    let pace = |pace: &quillmount_operator::Pace| flow::Pace {
        stall: micros(pace.stall),
        span: micros(pace.interval),
        least: pace.least.0,
    };
    let limits = StreamLimits {
        most: section.most(),
        share_of_slots: section.share_of_slots,
        share_of_window: section.share_of_window,
    };
    let rules = StreamRules {
        classes: section.classes.clone(),
        largest: section.largest.0,
        longest: micros(section.longest),
        window: section.window.0,
        turn: section.turn.0,
        client: pace(&section.client),
        endpoint: pace(&section.endpoint),
    };
    section.on.then_some((limits, rules))
}

/// What a SIGHUP reads again.
struct Reload {
    path: String,
    owner: ConfigOwner,
    operator: Option<PathBuf>,
    levels: Levels,
    discovery: watch::Sender<SocketAddr>,
    fleet: Option<Rc<Fleet>>,
}

impl Reload {
    /// Reads both files again on each SIGHUP; what can't be read changes nothing.
    async fn on(self, mut hangup: Signal, courier: Rc<Courier>) {
        while hangup.recv().await.is_some() {
            courier.count(|c| c.reloads += 1);
            match Config::discovery_now(&self.path, &self.owner) {
                Ok(addr) => {
                    tracing::info!("configuration: read again; discovery at {addr}");
                    self.discovery.send_if_modified(|known| std::mem::replace(known, addr) != addr);
                }
                Err(e) => tracing::error!("configuration: not read again, the old values hold: {e}"),
            }
            let Some(path) = &self.operator else { continue };
            let read = Operator::load(path).map_err(RunError::from);
            let set = |operator: Operator| {
                self.levels.set(&operator.log).map_err(RunError::Log)?;
                self.fleet.iter().for_each(|fleet| fleet.reload(&operator.fleet));
                Ok(())
            };
            match read.and_then(set) {
                Ok(()) => tracing::info!("operator file: read again"),
                Err(e) => tracing::error!("operator file: not read again, the old values hold: {e}"),
            }
        }
    }
}
