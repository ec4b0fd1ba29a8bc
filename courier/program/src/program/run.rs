//! The process from its start to its end: `startup` opens what the courier needs, `process` serves and stops.

use super::config::Config;
use super::error::RunError;
use super::log::Levels;
use super::process::{Process, RunEnd, start_tasks};
use super::reload::Reload;
use super::signals::Signals;
use super::startup::{self, OpenedRouter, ResumedParts};
use crate::fleet::{self, Fleet};
use crate::transport::clock::Clock;
use crate::transport::courier::{Courier, CourierSetup};
use crate::transport::handover::{AcquiredFolder, ActiveProcess, Lock, ReceivedState};
use crate::transport::operators::OperatorService;
use crate::transport::platform;
use crate::transport::server::Connections;
use actix_rt::net::TcpListener;
use quillmount_core::pool::Pool;
use quillmount_core::router::{self, RouterAction, RouterError};
use quillmount_operator::Operator;
use quillmount_policy::Micros;
use quillmount_settings::{NameTable, decode_settings};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use tokio::sync::{Notify, watch};

/// Clients' bodies in flight may take the memory divided by this.
const MEMORY_PER_BODIES: u64 = 4;

/// Runs until a planned stop. `operator` came from `path`, where there is such a file.
///
/// # Errors
/// The courier can't start.
pub async fn run(operator: Operator, path: Option<PathBuf>, levels: Levels) -> Result<RunEnd, RunError> {
    let (mut signals, hangup) = Signals::install()?;
    let config = Config::load(|name| std::env::var(name).ok())?;
    let clock = Clock::start();
    let connection_limit = startup::connection_limit(&config, &operator);
    let inherited = startup::inherited_listener(&config)?;
    let operators = startup::bind_operators(&config).await?;

    let acquired = acquire(&config, &operator, clock, &mut signals, operators.as_ref()).await?;
    let Some(mut acquired) = acquired else { return Ok(RunEnd::Stopped) };
    let opened = open_courier(&config, &operator, connection_limit, &mut acquired)?;
    let OpenedCourier { courier, actions, mut resumed, settings_fingerprint } = opened;
    let Acquired { lock, clock, fleet, .. } = acquired;
    let listener = startup::client_listener(&config, fleet.is_some(), inherited, resumed.as_mut())?;
    log_serving(&config, &listener, &courier);

    let connections =
        Rc::new(Connections::new(clock.clone(), connection_limit, config.memory / MEMORY_PER_BODIES));
    let (discovery_changes, discovery) = watch::channel(config.discovery);
    let service = OperatorService::new(courier.clone(), connections.clone(), config.state.clone());
    let watch_options = watch_options(&config, resumed.is_none())?;
    let begin = {
        let (courier, connections) = (courier.clone(), connections.clone());
        move |listener| start_tasks(listener, &courier, &connections, &discovery, watch_options)
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
    let reload = Reload::new(&config, path, levels, discovery_changes, fleet.clone());

    let process = Process { config, clock, courier, connections, service, active, fleet };
    process.resume(actions, resumed);
    // Through a planned stop too: the last notices go where the platform is by then.
    actix_rt::spawn(reload.run(hangup, process.courier.clone()));
    process.begin(operators);
    Ok(process.run(&mut signals).await)
}

/// What the process has before it opens its journal.
struct Acquired {
    /// The state folder's lock.
    lock: Lock,
    /// What another process has handed over.
    received: Option<ReceivedState>,
    /// Ahead of the system's clock as far as that of the process before.
    clock: Clock,
    fleet: Option<Rc<Fleet>>,
}

/// Acquires the state folder and joins the fleet. `None`: a stop was requested first.
///
/// # Errors
/// The folder can't be had, or the fleet can't be joined.
async fn acquire(
    config: &Config,
    operator: &Operator,
    clock: Clock,
    signals: &mut Signals,
    operators: Option<&TcpListener>,
) -> Result<Option<Acquired>, RunError> {
    let acquired = startup::acquire_folder(config, &clock, signals, operators).await?;
    let Some(AcquiredFolder { lock, received }) = acquired else {
        tracing::info!("{}: stopped before it took anything over; the other process continues", config.name);
        return Ok(None);
    };
    let clock = received.as_ref().map_or(clock, |received| Clock::start_ahead(received.ahead));
    let fleet = if operator.fleet.on {
        match startup::join_fleet(config, operator, &clock, signals, operators).await? {
            Some(fleet) => Some(fleet),
            None => return Ok(None),
        }
    } else {
        fleet::may_be_off(&config.state)?;
        None
    };
    Ok(Some(Acquired { lock, received, clock, fleet }))
}

/// A courier whose journal is open, and that does not serve yet.
struct OpenedCourier {
    courier: Rc<Courier>,
    /// The router's first actions.
    actions: Vec<RouterAction>,
    /// Present where the courier resumes the state of another process.
    resumed: Option<ResumedParts>,
    /// The fingerprint of the settings that it decides under.
    settings_fingerprint: u32,
}

/// Opens the journal and the router, and connects the fleet.
///
/// # Errors
/// The journal can't be opened, or the settings are wrong.
fn open_courier(
    config: &Config,
    operator: &Operator,
    connection_limit: usize,
    acquired: &mut Acquired,
) -> Result<OpenedCourier, RunError> {
    let (clock, fleet) = (&acquired.clock, &acquired.fleet);
    let gate = fleet.as_ref().map(|fleet| fleet.gate.clone());
    let (limits, rules) = startup::stream_rules(&operator.streams).unzip();
    let settings_fingerprint = router::settings_fingerprint(&config.env, limits)?;
    let received = acquired.received.take();
    let opened = startup::open_router(config, limits, gate.as_ref(), received, clock.now())?;
    let OpenedRouter { router, actions, resumed } = opened;
    let courier = Courier::new(CourierSetup {
        clock: clock.clone(),
        connect_timeout: config.connect_timeout(),
        router,
        pool: Pool::new(config.idle_timeout().as_micros() as Micros, connection_limit),
        rules,
        gate,
        budgets: fleet.as_ref().and_then(|fleet| fleet.connection_budget()),
    });
    if let Some(fleet) = fleet {
        fleet.attach(&courier, &config.state)?;
    }
    Ok(OpenedCourier { courier, actions, resumed, settings_fingerprint })
}

fn log_serving(config: &Config, listener: &TcpListener, courier: &Courier) {
    tracing::info!(
        "{}: serving on {}; discovery at {}; {}",
        config.name,
        listener.local_addr().unwrap_or(config.listen),
        config.discovery,
        courier.report()
    );
}

/// How discovery is to be watched. `delays_first`: this process resumes no other's work, and other couriers may start at the
/// same time.
///
/// # Errors
/// The settings can't be read.
fn watch_options(config: &Config, delays_first: bool) -> Result<platform::WatchOptions, RouterError> {
    let settings = decode_settings(&config.env, &mut NameTable::default())?;
    Ok(platform::WatchOptions {
        couriers: settings.sender_count,
        seed: config.seed,
        delays_first,
        drain_grace: settings.drain_grace,
        pushed: !settings.subscription_required,
    })
}
