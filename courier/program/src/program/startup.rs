//! The steps of a start before the courier serves: sockets, the state folder, the fleet and the router.

use super::config::Config;
use super::error::RunError;
use super::signals::Signals;
use crate::fleet::{self, Fleet, FleetSetup};
use crate::transport::clock::Clock;
use crate::transport::gate::Gate;
use crate::transport::handle::ReleasedPart;
use crate::transport::handover::{self, AcquiredFolder, ReceivedState};
use crate::transport::inherited;
use crate::transport::journal_file::JournalFile;
use crate::transport::operators;
use crate::transport::server::{BACKLOG, BACKLOG_IN_FLEET, listen};
use crate::transport::streams::StreamRules;
use actix_rt::net::TcpListener;
use quillmount_core::pool::EndpointBackoff;
use quillmount_core::router::{Router, RouterAction, RouterOptions, StreamLimits};
use quillmount_core::{flow, hub};
use quillmount_operator::Operator;
use quillmount_policy::Micros;
use rustix::process::{Resource, getrlimit};
use std::convert::Infallible;
use std::os::fd::OwnedFd;
use std::rc::Rc;

/// Descriptors for all but the connections of clients and endpoints: some twenty, and a reserve for connections that are
/// closed but not released yet.
const OWN_SOCKETS: usize = 32;

/// A router that is open on its journal, with its first actions.
pub struct OpenedRouter {
    /// The router.
    pub router: Router<JournalFile>,
    /// The router's first actions.
    pub actions: Vec<RouterAction>,
    /// Present where the router resumes the state of another process.
    pub resumed: Option<ResumedParts>,
}

/// What another process handed over beside the router's state.
pub struct ResumedParts {
    /// Endpoints in backoff, each with the time in microseconds at which it ends.
    pub backoffs: Vec<EndpointBackoff>,
    /// An operator has drained the courier.
    pub drained: bool,
    /// Sockets, and what they are in the middle of.
    pub parts: Vec<ReleasedPart<OwnedFd>>,
}

/// Connections that clients may have at once, and endpoints as many: half of the descriptors each that nothing else needs.
/// A third of them is for clients with requests, the rest for those without.
pub fn connection_limit(config: &Config, operator: &Operator) -> usize {
    let operator_calls = if config.operator.is_some() { operators::CALLERS } else { 0 };
    let reserved = OWN_SOCKETS + operator_calls + fleet::sockets(&operator.fleet);
    available_descriptors(config.sockets).saturating_sub(reserved) / 2
}

/// Descriptors that the process may open: the configured number, or what the system allows if that is less.
fn available_descriptors(configured: usize) -> usize {
    let allowed =
        getrlimit(Resource::Nofile).current.map_or(usize::MAX, |n| usize::try_from(n).unwrap_or(usize::MAX));
    if allowed < configured {
        tracing::warn!(
            configured,
            allowed,
            "limits: the system allows fewer descriptors than configured: raise ulimit -n"
        );
    }
    configured.min(allowed)
}

/// The clients' listening socket that the platform passed in, where `GW_INHERITED_FD` names one.
///
/// # Errors
/// The descriptor is no socket that listens at the configured address.
pub fn inherited_listener(config: &Config) -> Result<Option<std::net::TcpListener>, RunError> {
    match std::env::var("GW_INHERITED_FD") {
        Ok(number) => Ok(Some(inherited::listener(&number, config.listen)?)),
        Err(_) => Ok(None),
    }
}

/// Binds the operators' address, where there is one.
///
/// # Errors
/// The address can't be bound.
pub async fn bind_operators(config: &Config) -> Result<Option<TcpListener>, RunError> {
    let Some(addr) = config.operator else { return Ok(None) };
    let bound = TcpListener::bind(addr).await;
    let listener = bound.map_err(|source| RunError::Operators { addr, source })?;
    tracing::info!("operators: listening on {}", listener.local_addr().unwrap_or(addr));
    Ok(Some(listener))
}

/// Locks the state folder, and takes over from the process that has it locked. `None`: a stop was requested first. Operators
/// are answered meanwhile, as a lock owner that hangs is waited for.
///
/// # Errors
/// The lock can't be had.
pub async fn acquire_folder(
    config: &Config,
    clock: &Clock,
    signals: &mut Signals,
    operators: Option<&TcpListener>,
) -> Result<Option<AcquiredFolder>, RunError> {
    let acquired = tokio::select! {
        acquired = handover::take(&config.state, clock, signals.shutdown_requested()) => acquired,
        never = answer_operators_early(operators) => match never {},
    };
    acquired.map_err(RunError::Folder)
}

/// Joins the fleet. `None`: a stop was requested before the courier was a member.
///
/// # Errors
/// The fleet can't be started, or the journal can't be begun.
pub async fn join_fleet(
    config: &Config,
    operator: &Operator,
    clock: &Clock,
    signals: &mut Signals,
    operators: Option<&TcpListener>,
) -> Result<Option<Rc<Fleet>>, RunError> {
    let deduplicating = config.env.classes.iter().filter(|c| c.effect.as_deref() == Some("dedup"));
    let memory_span = deduplicating.map(|c| (c.memory_span_ms * 1e3) as Micros).min();
    let setup = FleetSetup {
        settings: &operator.fleet,
        folder: &config.state,
        seed: config.seed,
        clock: clock.clone(),
        memory_span,
        disk: config.disk,
    };
    let fleet = Fleet::start(setup).await?;
    let joined = tokio::select! {
        joined = fleet.joined() => joined,
        never = answer_operators_early(operators) => match never {},
        () = signals.shutdown_requested() => return Ok(None),
    };
    fleet.begin_journal(&config.state, joined.retained)?;
    Ok(Some(fleet))
}

/// Answers operators while the courier starts. It never ends, whether there is a listener or not.
async fn answer_operators_early(operators: Option<&TcpListener>) -> Infallible {
    if let Some(operators) = operators {
        operators::serve(operators, None).await;
    }
    std::future::pending().await
}

/// Opens the router: with the received state if that can be resumed, else from the journal.
///
/// # Errors
/// The journal can't be opened, or the settings are wrong.
pub fn open_router(
    config: &Config,
    limits: Option<StreamLimits>,
    gate: Option<&Rc<Gate>>,
    received: Option<ReceivedState>,
    now: Micros,
) -> Result<OpenedRouter, RunError> {
    let options = RouterOptions {
        settings: &config.env,
        streams: limits,
        seed: config.seed,
        journal_limit: config.disk,
    };
    if let Some(received) = received {
        let ReceivedState { state: hub::HubState { router: state, backoffs }, drained, parts, .. } = received;
        let journal = open_journal(config, gate)?;
        match Router::resume(&options, state, journal, now) {
            Ok((router, actions)) => {
                let resumed = Some(ResumedParts { backoffs, drained, parts });
                return Ok(OpenedRouter { router, actions, resumed });
            }
            Err(error) => tracing::error!(
                %error,
                "upgrade: the received state can't be resumed: the journal is read instead"
            ),
        }
    }
    let journal = open_journal(config, gate)?;
    let (router, actions) = Router::open(&options, config.known.clone(), journal, now)?;
    Ok(OpenedRouter { router, actions, resumed: None })
}

fn open_journal(config: &Config, gate: Option<&Rc<Gate>>) -> Result<JournalFile, RunError> {
    let journal = JournalFile::open(&config.state).map_err(RunError::Folder)?;
    Ok(match gate {
        Some(gate) => journal.with_gate(gate.clone()),
        None => journal,
    })
}

/// The clients' listening socket: the platform's, else that of the process before, else a new one.
///
/// # Errors
/// The address can't be bound.
pub fn client_listener(
    config: &Config,
    in_fleet: bool,
    inherited: Option<std::net::TcpListener>,
    resumed: Option<&mut ResumedParts>,
) -> Result<TcpListener, RunError> {
    let backlog = if in_fleet { BACKLOG_IN_FLEET } else { BACKLOG };
    let existing = inherited.or_else(|| handover::listener(&mut resumed?.parts));
    let listener = match existing {
        Some(listener) => TcpListener::from_std(listener),
        None => listen(config.listen, backlog),
    };
    listener.map_err(|source| RunError::Listen { addr: config.listen, source })
}

/// What the operator file lets be streamed; nothing while its section is off.
pub fn stream_rules(section: &quillmount_operator::Streams) -> Option<(StreamLimits, StreamRules)> {
    let limits = StreamLimits {
        max_open: section.max_concurrent(),
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

fn pace(pace: &quillmount_operator::Pace) -> flow::Pace {
    flow::Pace { stall_timeout: micros(pace.stall), span: micros(pace.interval), min_bytes: pace.least.0 }
}

fn micros(span: quillmount_operator::units::Span) -> Micros {
    u64::try_from(span.0.as_micros()).unwrap_or(u64::MAX)
}
