//! A fleet of real couriers between stand-ins, and the faults between them.
//!
//! Each courier is a process of the program with a folder of its own. Its way to each other one is a
//! [`Link`] of the harness, whose script changes at a call; so are its doors to each partner and to the
//! platform. All that is seen is in one [`RunRecord`], in one order. A test waits for what it needs there
//! ([`Fleet::wait_until`]) and never for a time; at its end [`Fleet::history`] goes to the auditor
//! ([`crate::audit`]).
//!
//! Couriers, and the ports at which they listen for consumers and for each other, are known before the
//! start and stay over all restarts: the harness keeps each port bound, without listening, until the fleet
//! is dropped ([`crate::gate::Port`]). The system deals such a port to nobody else, in this process or
//! another, so that no two runs can collide.
//!
//! Couriers are numbered from 0 and named `a`, `b`, ... Where a courier is dead, a link to it accepts and
//! resets at once, in the place of a refusal.
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
//!     // The partner of destination 1 holds each call until it is told to answer.
//!     setup.partner(1, |_| Answer::Pending);
//!     let mut fleet = Fleet::start(setup).await.unwrap();
//!
//!     let debit = MessageRequest::new("fee-debit", "m1", 1, Duration::from_secs(16));
//!     assert_eq!(fleet.submit(0, &debit, b"12.50").await, 202);
//!     fleet.wait_until("the call", WAIT_TIMEOUT, |record| record.calls_of("m1").next().map(|_| ())).await.unwrap();
//!
//!     // The copy's next record is cut in its middle, then the owner is cut off, paused, and taken over.
//!     fleet.link(0, 1).fault_next_request(RequestFault::CutInBody(20));
//!     fleet.link(0, 2).set(LinkMode::Partitioned);
//!     fleet.suspend(0).unwrap();
//!     fleet.wait_until("the taker's word", WAIT_TIMEOUT, |r| r.notices_of("m1").next().map(|_| ())).await.unwrap();
//!     fleet.partner(0).release("m1", Answer::ok());
//!     fleet.heal().await.unwrap();
//!     assert_eq!(audit(&fleet.history(AuditRules::default())), []);
//! });
//! ```

pub mod fault;
pub mod link;
mod process;

use crate::audit::{self, AuditRules, History};
use crate::client::{self, MessageRequest};
use crate::gate::Port;
use crate::listener;
use crate::partner::{Answer, Partner};
use crate::platform::Platform;
use crate::record::{BodyDigest, RecordedCall, RecordedSubmission, Recorder, RunRecord, WaitTimeout};
use fault::{Fault, InjectedFault};
use link::{Link, LinkMode};
use process::Process;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::future::Future;
use std::io::{Error, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::timeout;

/// The example's configuration, with other addresses.
const CONFIG: &str = include_str!("../../../courier/example/config.json");
/// Only a broken program waits for so long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// A whole test.
const TEST: Duration = Duration::from_secs(240);
/// Voters where the setup does not say.
const VOTERS: usize = 3;

/// Plays a test on one thread, as the harness needs it.
///
/// # Panics
/// The test did not come to its end within four minutes, or panicked itself.
pub fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let played = async { timeout(TEST, test()).await };
    let Ok(runtime) = runtime else { panic!("no runtime could be had") };
    let outcome = tokio::task::LocalSet::new().block_on(&runtime, played);
    assert!(outcome.is_ok(), "the test did not come to its end within {TEST:?}");
}

type AnswerScript = Box<dyn Fn(&RecordedCall) -> Answer>;

/// What a fleet is started with.
pub struct FleetSetup {
    /// The program `quillmount`.
    pub program: PathBuf,
    /// Other programs, by courier: a version before beside this one.
    pub programs: BTreeMap<usize, PathBuf>,
    /// Number of couriers.
    pub couriers: usize,
    /// Of the couriers' own generators, and of [`FleetSetup::generator`].
    pub seed: u64,
    /// What goes into the section `fleet` beside `on`, `me`, `listen`, `members` and `voters` (the first
    /// three, or one); it goes before them too. `None`: there is no such section.
    pub fleet: Option<Value>,
    /// Goes into each operator file.
    pub operator: Value,
    /// Goes into each configuration, as in `{"limits": {"disk_mb": 0.1}}`.
    pub config: Value,
    /// Goes into one courier's configuration, after the other.
    pub configs: BTreeMap<usize, Value>,
    /// What RUST_LOG says; empty: it is not set, and the operator file holds.
    pub levels: String,
    partners: Vec<(u64, AnswerScript)>,
}

impl FleetSetup {
    /// A fleet without partners, and with default settings.
    pub fn new(program: impl Into<PathBuf>, couriers: usize) -> FleetSetup {
        FleetSetup {
            program: program.into(),
            programs: BTreeMap::new(),
            couriers,
            seed: 1,
            fleet: None,
            operator: json!({"version": 1}),
            config: json!({}),
            configs: BTreeMap::new(),
            levels: "info".into(),
            partners: Vec::new(),
        }
    }

    /// A further partner, at this destination; `answers` says what becomes of each call when its body has
    /// come. Its number is that of the partners before it.
    pub fn partner(&mut self, dest: u64, answers: impl Fn(&RecordedCall) -> Answer + 'static) {
        self.partners.push((dest, Box::new(answers)));
    }

    /// The generator for whatever the test chooses.
    pub fn generator(&self) -> fastrand::Rng {
        fastrand::Rng::with_seed(self.seed)
    }
}

struct FleetCourier {
    name: String,
    folder: PathBuf,
    program: PathBuf,
    process: Option<Process>,
    incarnations: u32,
    /// For consumers, for operators, and for the others.
    ports: [Port; 3],
    config: Value,
    operator: Value,
}

impl FleetCourier {
    /// A courier that is not started, with ports of its own and without its configuration.
    fn new(n: usize, root: &Path, setup: &FleetSetup) -> Result<FleetCourier> {
        Ok(FleetCourier {
            name: name(n),
            folder: root.join(name(n)),
            program: setup.programs.get(&n).unwrap_or(&setup.program).clone(),
            process: None,
            incarnations: 0,
            ports: [Port::reserve()?, Port::reserve()?, Port::reserve()?],
            config: Value::Null,
            operator: setup.operator.clone(),
        })
    }
}

/// A running fleet; dropped, its processes are killed and its folders removed.
pub struct Fleet {
    /// The record of the run.
    pub recorder: Recorder,
    /// The platform.
    pub platform: Platform,
    partners: Vec<Partner>,
    members: Vec<FleetCourier>,
    links: BTreeMap<(usize, usize), Link>,
    levels: String,
    _root: TempDir,
}

/// `a` to `z`, then `m26` and so on.
fn name(n: usize) -> String {
    match u8::try_from(n) {
        Ok(n @ 0..26) => char::from(b'a' + n).to_string(),
        _ => format!("m{n}"),
    }
}

/// Puts one value over another, field by field.
pub(crate) fn merge(into: &mut Value, changes: &Value) {
    match (into, changes) {
        (Value::Object(into), Value::Object(changes)) => {
            for (name, value) in changes {
                merge(into.entry(name.clone()).or_insert(Value::Null), value);
            }
        }
        (into, changes) => *into = changes.clone(),
    }
}

impl Fleet {
    /// Starts all, and waits until all serve; must run in a `LocalSet` on one thread ([`run_test`]).
    ///
    /// # Errors
    /// One did not start or serve; the error tells the last lines of each.
    pub async fn start(setup: FleetSetup) -> Result<Fleet> {
        let mut fleet = Fleet::prepare(setup)?;
        (0..fleet.members.len()).try_for_each(|n| fleet.spawn(n))?;
        for n in 0..fleet.members.len() {
            fleet.wait_until_serving(n).await?;
        }
        Ok(fleet)
    }

    /// The same without a start of any courier: [`Fleet::spawn`] does that.
    ///
    /// # Errors
    /// The system has no port or folder.
    pub fn prepare(mut setup: FleetSetup) -> Result<Fleet> {
        let (recorder, couriers) = (Recorder::default(), setup.couriers);
        recorder.write(|record, _| {
            record.names = (0..couriers).map(name).collect();
            record.ended = vec![0; couriers];
        });
        let platform = Platform::open(couriers, recorder.clone())?;
        let mut partners = Vec::new();
        for (n, (dest, answers)) in std::mem::take(&mut setup.partners).into_iter().enumerate() {
            partners.push(Partner::open(n, dest, couriers, recorder.clone(), answers)?);
        }
        let root = tempfile::Builder::new().prefix("quillmount-fleet-").tempdir()?;
        let members =
            (0..couriers).map(|n| FleetCourier::new(n, root.path(), &setup)).collect::<Result<Vec<_>>>()?;
        let mut links = BTreeMap::new();
        for (from, to) in (0..couriers).flat_map(|from| (0..couriers).map(move |to| (from, to))) {
            if from != to {
                let link = Link::open(from, to, members[to].ports[2].addr, recorder.clone())?;
                links.insert((from, to), link);
            }
        }
        let levels = std::mem::take(&mut setup.levels);
        let mut fleet = Fleet { recorder, platform, partners, members, links, levels, _root: root };
        for n in 0..couriers {
            fleet.members[n].config = fleet.configuration(n, &setup)?;
            if let Some(more) = &setup.fleet {
                fleet.members[n].operator["fleet"] = fleet.operator_section(n, more);
            }
            std::fs::create_dir_all(fleet.members[n].folder.join("state"))?;
            fleet.members[n].write()?;
        }
        Ok(fleet)
    }

    /// The configuration of a courier: the example's, with the addresses of the harness and what the setup changes.
    fn configuration(&self, n: usize, setup: &FleetSetup) -> Result<Value> {
        let member = &self.members[n];
        let servers = self.partners.iter().enumerate().map(|(p, partner)| {
            json!({"id": format!("partner-{p}"), "addr": partner.addr(n), "zone": "bkk-dc1", "kind": "bank",
                   "cell": partner.dest, "state": "ready", "weight": 1000.0, "started_ms": 0})
        });
        let mut seed = fastrand::Rng::with_seed(setup.seed.wrapping_add(n as u64));
        let [listen, operators, _] = member.ports.each_ref().map(|port| port.addr);
        let own = json!({"name": member.name, "listen": listen, "operator": operators,
            "discovery": self.platform.addr(n), "seed": format!("{:016x}", seed.u64(..)),
            "known": {"servers": servers.collect::<Vec<_>>()},
            "settings": {"me": n, "siblings": self.members.len()}});
        let mut config: Value = serde_json::from_str(CONFIG)?;
        merge(&mut config, &own);
        merge(&mut config, &setup.config);
        if let Some(own) = setup.configs.get(&n) {
            merge(&mut config, own);
        }
        Ok(config)
    }

    /// The section `fleet` of a courier's operator file, with what the setup changes.
    fn operator_section(&self, n: usize, more: &Value) -> Value {
        let member = &self.members[n];
        let listen = member.ports[2].addr;
        let others = self.members.iter().enumerate().map(|(to, other)| {
            let addr = self.links.get(&(n, to)).map_or(listen, Link::addr);
            json!({"name": other.name, "addr": addr, "host": format!("h{to}")})
        });
        let voters = if self.members.len() < VOTERS { 1 } else { VOTERS };
        let voters: Vec<&str> = self.members[..voters].iter().map(|voter| voter.name.as_str()).collect();
        let mut section = json!({"on": true, "me": member.name, "listen": listen,
            "members": others.collect::<Vec<_>>(), "voters": voters});
        merge(&mut section, more);
        section
    }

    /// How many couriers there are, running or not.
    pub fn couriers(&self) -> usize {
        self.members.len()
    }

    /// The name of a courier.
    pub fn name(&self, courier: usize) -> &str {
        &self.members[courier].name
    }

    /// Where consumers reach it, in all its lives.
    pub fn addr(&self, courier: usize) -> SocketAddr {
        self.members[courier].ports[0].addr
    }

    /// Where operators call it, in all its lives.
    pub fn operators(&self, courier: usize) -> SocketAddr {
        self.members[courier].ports[1].addr
    }

    /// Where it listens for the others, without a link between.
    pub fn listen(&self, courier: usize) -> SocketAddr {
        self.members[courier].ports[2].addr
    }

    /// The folder that lasts.
    pub fn folder(&self, courier: usize) -> PathBuf {
        self.members[courier].folder.join("state")
    }

    /// Its journal's bytes as they are now; none where there is none.
    pub fn journal(&self, courier: usize) -> Vec<u8> {
        std::fs::read(self.folder(courier).join("journal")).unwrap_or_default()
    }

    /// Its process, while it runs.
    pub fn id(&self, courier: usize) -> Option<u32> {
        self.members[courier].process.as_ref().map(Process::id)
    }

    /// How often it has been started: the latest of its lives.
    pub fn incarnation(&self, courier: usize) -> u32 {
        self.members[courier].incarnations
    }

    /// The way from one courier to another.
    pub fn link(&self, from: usize, to: usize) -> &Link {
        &self.links[&(from, to)]
    }

    /// A partner, by its number.
    pub fn partner(&self, number: usize) -> &Partner {
        &self.partners[number]
    }

    /// Waits until something is found in the record.
    ///
    /// # Errors
    /// It was not found in time; the error tells the last lines of each courier.
    pub async fn wait_until<T>(
        &self,
        what: &str,
        within: Duration,
        found: impl FnMut(&RunRecord) -> Option<T>,
    ) -> std::result::Result<T, WaitTimeout> {
        self.recorder.wait_until(what, within, found).await
    }

    /// Waits until the latest life of a courier has said these words, and returns the line.
    ///
    /// # Errors
    /// It did not in time.
    pub async fn wait_for_log(&self, courier: usize, text: &str) -> std::result::Result<String, WaitTimeout> {
        let (incarnation, name) = (self.incarnation(courier), self.name(courier));
        let what = format!("{name}, life {incarnation}, says {text:?}");
        self.wait_until(&what, WAIT_TIMEOUT, |record| {
            Some(record.log_lines_with(courier, incarnation, text).next()?.text.clone())
        })
        .await
    }

    /// Waits until its latest life serves.
    ///
    /// # Errors
    /// It ended, or did not serve in time.
    pub async fn wait_until_serving(&self, courier: usize) -> Result<()> {
        let (incarnation, name) = (self.incarnation(courier), self.name(courier));
        let what = format!("{name}, life {incarnation}, serves");
        let serving = |record: &RunRecord| {
            let serves = record.log_lines_with(courier, incarnation, "serving on ").next().is_some();
            (serves || record.ended[courier] >= incarnation).then_some(serves)
        };
        if self.wait_until(&what, WAIT_TIMEOUT, serving).await? {
            return Ok(());
        }
        let last = |record: &RunRecord| {
            record.lines.iter().rfind(|line| line.courier == courier).map(|line| line.text.clone())
        };
        let last = self.recorder.read(last).unwrap_or_default();
        Err(Error::other(format!("{name}, life {incarnation}, did not start: {last}")))
    }

    /// Starts it with its folder as it is, and does not wait.
    ///
    /// # Errors
    /// It runs already, or can't be started.
    pub fn spawn(&mut self, courier: usize) -> Result<()> {
        let member = &mut self.members[courier];
        if member.process.is_some() {
            return Err(Error::other(format!("{} runs already", member.name)));
        }
        member.incarnations += 1;
        InjectedFault::note(&self.recorder, Fault::Start(courier));
        let (program, folder) = (&member.program, &member.folder);
        let process =
            Process::start(program, folder, &self.levels, courier, member.incarnations, &self.recorder)?;
        member.process = Some(process);
        Ok(())
    }

    /// SIGKILL; returns when it is gone and its log is on record. Nothing where it does not run.
    ///
    /// # Errors
    /// Its end was not told.
    pub async fn kill(&mut self, courier: usize) -> Result<()> {
        let Some(mut process) = self.members[courier].process.take() else { return Ok(()) };
        InjectedFault::note(&self.recorder, Fault::Kill(courier));
        process.kill()?;
        Ok(self.log_ends(courier).await?)
    }

    /// Kills it where it runs, starts it with its folder, and waits until it serves.
    ///
    /// # Errors
    /// It did not serve in time.
    pub async fn restart(&mut self, courier: usize) -> Result<()> {
        self.kill(courier).await?;
        self.spawn(courier)?;
        self.wait_until_serving(courier).await
    }

    /// The same without its folder, and does not wait: a courier that lost it may have to ask before it
    /// serves.
    ///
    /// # Errors
    /// The folder can't be emptied, or it can't be started.
    pub async fn lose_folder(&mut self, courier: usize) -> Result<()> {
        self.kill(courier).await?;
        let folder = self.folder(courier);
        std::fs::remove_dir_all(&folder)?;
        std::fs::create_dir_all(&folder)?;
        InjectedFault::note(&self.recorder, Fault::LoseFolder(courier));
        self.spawn(courier)
    }

    fn running(&mut self, courier: usize) -> Result<&mut Process> {
        let member = &mut self.members[courier];
        member.process.as_mut().ok_or_else(|| Error::other(format!("{} does not run", member.name)))
    }

    /// SIGSTOP; returns when it has stopped.
    ///
    /// # Errors
    /// It does not run.
    pub fn suspend(&mut self, courier: usize) -> Result<()> {
        self.running(courier)?.suspend()?;
        InjectedFault::note(&self.recorder, Fault::Suspend(courier));
        Ok(())
    }

    /// SIGCONT.
    ///
    /// # Errors
    /// It does not run.
    pub fn resume(&mut self, courier: usize) -> Result<()> {
        InjectedFault::note(&self.recorder, Fault::Resume(courier));
        self.running(courier)?.resume()
    }

    /// SIGTERM.
    ///
    /// # Errors
    /// It does not run.
    pub fn send_sigterm(&mut self, courier: usize) -> Result<()> {
        InjectedFault::note(&self.recorder, Fault::Sigterm(courier));
        self.running(courier)?.signal(Signal::TERM)
    }

    /// SIGHUP.
    ///
    /// # Errors
    /// It does not run.
    pub fn send_sighup(&mut self, courier: usize) -> Result<()> {
        InjectedFault::note(&self.recorder, Fault::Sighup(courier));
        self.running(courier)?.signal(Signal::HUP)
    }

    /// Waits for its end, after SIGTERM or of its own accord.
    ///
    /// # Errors
    /// It does not run, or did not end in time.
    pub async fn wait_for_exit(&mut self, courier: usize) -> Result<ExitStatus> {
        self.running(courier)?;
        self.log_ends(courier).await?;
        let mut process = self.members[courier].process.take();
        process.as_mut().ok_or_else(|| Error::other("it does not run"))?.wait()
    }

    async fn log_ends(&self, courier: usize) -> std::result::Result<(), WaitTimeout> {
        let incarnation = self.incarnation(courier);
        let what = format!("the end of {}, life {incarnation}", self.name(courier));
        self.wait_until(&what, WAIT_TIMEOUT, |record| (record.ended[courier] >= incarnation).then_some(()))
            .await
    }

    /// Changes its configuration file, field by field; a restart or SIGHUP reads it.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn configure(&mut self, courier: usize, change: &Value) -> Result<()> {
        let member = &mut self.members[courier];
        merge(&mut member.config, change);
        member.write()
    }

    /// The same with its operator file.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn configure_operator(&mut self, courier: usize, change: &Value) -> Result<()> {
        let member = &mut self.members[courier];
        merge(&mut member.operator, change);
        member.write()
    }

    /// Another program from its next start on.
    pub fn set_program(&mut self, courier: usize, program: &Path) {
        self.members[courier].program = program.into();
    }

    /// Sets all its links, both directions.
    pub fn set_links(&self, courier: usize, mode: LinkMode) {
        let of = |(from, to): &(usize, usize)| *from == courier || *to == courier;
        self.links.iter().filter(|(ends, _)| of(ends)).for_each(|(_, link)| link.set(mode));
    }

    /// Nothing that `from` sends gets to `to`, requests or answers; what `to` sends gets to `from`.
    pub fn partition_one_way(&self, from: usize, to: usize) {
        self.link(from, to).set(LinkMode::RequestsLost);
        self.link(to, from).set(LinkMode::AnswersLost);
    }

    /// Sets all links between couriers of one half and of the other.
    pub fn partition(&self, half: &[usize], mode: LinkMode) {
        let between = |(from, to): &(usize, usize)| half.contains(from) != half.contains(to);
        self.links.iter().filter(|(ends, _)| between(ends)).for_each(|(_, link)| link.set(mode));
    }

    /// All that the auditor needs, but budgets, seals and settlements, which the test knows: it puts them in.
    pub fn history(&self, rules: AuditRules) -> History {
        let journal = |courier| audit::Journal { courier, copy: false, bytes: self.journal(courier) };
        let journals = (0..self.members.len()).map(journal).collect();
        let dests: Vec<u64> = self.partners.iter().map(|partner| partner.dest).collect();
        let at = self.recorder.now();
        self.recorder.read(|record| History { journals, ..record.history(rules, at, &dests) })
    }

    /// Does what a strike says, and does not wait for what comes of it. One at a courier that does not run
    /// does nothing.
    ///
    /// # Errors
    /// It could not be done.
    pub async fn inject(&mut self, fault: Fault) -> Result<()> {
        let runs = |n: usize| self.members[n].process.is_some();
        match fault {
            Fault::Kill(n) => self.kill(n).await?,
            Fault::Start(n) if !runs(n) => self.spawn(n)?,
            Fault::LoseFolder(n) => self.lose_folder(n).await?,
            Fault::Suspend(n) if runs(n) => self.suspend(n)?,
            Fault::Resume(n) if runs(n) => self.resume(n)?,
            Fault::Sigterm(n) if runs(n) => self.send_sigterm(n)?,
            Fault::Sighup(n) if runs(n) => self.send_sighup(n)?,
            Fault::Link { from, to, mode } => self.link(from, to).set(mode),
            Fault::Request { from, to, fault } => self.link(from, to).fault_next_request(fault),
            Fault::Close { from, to } => self.link(from, to).close(),
            Fault::Partner { courier, partner, mode } => self.partner(partner).set(courier, mode),
            Fault::Platform { courier, mode } => self.platform.set(courier, mode),
            _ => {}
        }
        Ok(())
    }

    /// Ends all faults: links pass, doors are open, who was paused goes on, who is dead starts with its
    /// folder; then all serve.
    ///
    /// # Errors
    /// One did not serve in time.
    pub async fn heal(&mut self) -> Result<()> {
        for link in self.links.values().filter(|link| link.mode() != LinkMode::Pass) {
            link.set(LinkMode::Pass);
        }
        for n in 0..self.members.len() {
            if !self.platform.is_open(n) {
                self.platform.set(n, listener::ListenerMode::Open);
            }
            for partner in self.partners.iter().filter(|partner| !partner.is_open(n)) {
                partner.set(n, listener::ListenerMode::Open);
            }
            match &self.members[n].process {
                Some(process) if process.paused => self.resume(n)?,
                Some(_) => {}
                None => self.spawn(n)?,
            }
        }
        for n in 0..self.members.len() {
            self.wait_until_serving(n).await?;
        }
        Ok(())
    }

    /// Hands a message in at a courier, and returns the answer's status, 0 where the connection broke. To
    /// do so beside other things, see [`Fleet::client`].
    pub async fn submit(&self, courier: usize, message: &MessageRequest, body: &[u8]) -> u16 {
        self.client(courier).submit(message, body).await
    }

    /// A consumer at a courier, for a task of its own.
    pub fn client(&self, courier: usize) -> FleetClient {
        FleetClient { courier, addr: self.addr(courier), recorder: self.recorder.clone() }
    }

    /// The answer's status and body to a GET, as of `/-/ready`.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn get(&self, courier: usize, path: &str) -> Result<(u16, String)> {
        client::get(self.addr(courier), path).await
    }
}

impl FleetCourier {
    fn write(&self) -> Result<()> {
        std::fs::write(self.folder.join("config.json"), self.config.to_string())?;
        std::fs::write(self.folder.join("operator.json"), self.operator.to_string())
    }
}

/// Hands in messages at one courier, and records what it is told.
#[derive(Clone, Debug)]
pub struct FleetClient {
    /// The courier, by its number.
    pub courier: usize,
    addr: SocketAddr,
    recorder: Recorder,
}

impl FleetClient {
    /// Hands a message in, and returns the answer's status, 0 where the connection broke.
    pub async fn submit(&self, message: &MessageRequest, body: &[u8]) -> u16 {
        let MessageRequest { class, id, key, dest, time_left, .. } = message.clone();
        let (courier, time_left, body_of) =
            (self.courier, time_left.as_micros() as u64, BodyDigest::of(body));
        let n = self.recorder.write(|record, submitted_at| {
            let submission = RecordedSubmission {
                submitted_at,
                courier,
                id,
                class,
                key,
                dest,
                time_left,
                body: body_of,
                answer: None,
            };
            record.submissions.push(submission);
            record.submissions.len() - 1
        });
        let answer = client::submit(self.addr, message, body).await;
        let status = answer.map_or(0, |head| head.status());
        self.recorder.write(|record, when| record.submissions[n].answer = Some((when, status)));
        status
    }
}
