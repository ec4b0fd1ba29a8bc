//! A courier as a member of a fleet, on sockets: drives the member machine (`quillmount_fleet::member`), sends and receives its
//! messages, and carries its outputs out on the courier. Only where the operator file's section `fleet` is on.

pub mod budget;
mod links;
mod listener;
mod settings;
mod settlements;
mod stores;

use crate::transport::clock::Clock;
use crate::transport::courier::Courier;
use crate::transport::gate::{Gate, JournalWrite};
use actix_rt::net::TcpListener;
use budget::Budgets;
use links::PeerLink;
use quillmount_core::journal::{self, JournalContents, Settlements};
use quillmount_fleet::agreement;
use quillmount_fleet::budget::BudgetProblem;
use quillmount_fleet::config::Name;
use quillmount_fleet::member::{Member, MemberError, MemberInput, MemberNotice, MemberOutput};
use quillmount_fleet::message::Envelope;
use quillmount_fleet::settlement::journal_lines::adopted_lines;
use quillmount_fleet::state::{Epoch, PartitionId, partition_of};
use quillmount_policy::Micros;
use settings::config_from;
pub use settings::problems;
use settlements::SettlementHost;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use stores::FileStores;
use tokio::sync::Notify;

/// Wait before a partition for which the journal had no room is written again: messages end meanwhile.
const TAKEOVER_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Each courier holds as many copies as it has on average; by chance, and after losses, some hold more. Copies take so many
/// times the own journal's part of the disk, for each copy that the operator file wants.
const REPLICA_DISK_FACTOR: u64 = 4;

/// Why a courier can't be a member of its fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    #[error("fleet: listen on {addr}: {source}; is another courier's `listen` the same?")]
    Listen { addr: String, source: std::io::Error },
    #[error("fleet: {what} {value:?} is no address; mend the operator file's section `fleet`")]
    Address { what: &'static str, value: String },
    #[error("operator file: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Budgets(Vec<BudgetProblem>),
    #[error(transparent)]
    Member(#[from] MemberError),
    #[error("fleet: the folder for what its members keep: {0}; check the lasting folder's disk and rights")]
    Folder(#[from] std::io::Error),
    #[error(
        "fleet: the journal of before can't be put aside: {0}; check the lasting folder's disk and rights"
    )]
    Aside(std::io::Error),
    #[error(
        "fleet: {0} is of a member that has not left, and the section is off: others may have its work, which would be done \
         twice; start it with the section on and stop it with SIGTERM, or begin with an empty folder"
    )]
    StillMember(String),
}

/// Time for the last records of a planned stop to reach the replicas: half of what a planned stop allows for the leave.
const FINAL_REPLICATION_TIMEOUT: Duration = Duration::from_millis(100);
/// Descriptors for each peer: a connection to it, one that was given up, and those accepted from it.
const SOCKETS_PER_PEER: usize = 2 + listener::CONNECTIONS_PER_PEER;
/// Descriptors for the agreed state's files, the listener and spare connections. Each replica of a journal has one more.
const BASE_SOCKETS: usize = 8 + listener::SPARE_CONNECTIONS;

/// Descriptors that a courier needs for its fleet.
pub fn sockets(settings: &quillmount_operator::fleet::Fleet) -> usize {
    if settings.on { BASE_SOCKETS + settings.members.len() * (SOCKETS_PER_PEER + settings.copies) } else { 0 }
}

/// What the member wants done on the courier, in order.
enum Task {
    Adopt { partitions: Vec<PartitionId>, settled: BTreeSet<PartitionId>, bytes: Vec<u8> },
    ResolveAdoption { source: PartitionId, adopted: bool },
}

/// This courier's membership of its fleet.
pub struct Fleet {
    clock: Clock,
    member: Rc<RefCell<Member<FileStores>>>,
    /// Partners' connection budgets, where the section has some.
    pub budgets: Option<Rc<Budgets>>,
    links: PeerLinks,
    pub gate: Rc<Gate>,
    tasks: RefCell<VecDeque<Task>>,
    task_added: Notify,
    joined: Cell<Option<(Epoch, bool)>>,
    joined_notify: Notify,
    is_fenced: Cell<bool>,
    /// Notified once the journal is sealed: others have its work, and the process has to start over.
    pub fenced_notify: Notify,
    left: Notify,
    timers_changed: Notify,
    /// Partners whose settlements are carried.
    settlements: BTreeSet<u64>,
    settlement_host: OnceCell<Rc<SettlementHost>>,
}

/// The links to the other members, by name.
type PeerLinks = BTreeMap<Name, Rc<PeerLink>>;
/// The address to which each link leads.
type PeerAddresses = Vec<(Rc<PeerLink>, SocketAddr)>;

/// A link to each other member, and the address to which each is to lead.
fn peer_links(
    settings: &quillmount_operator::fleet::Fleet,
) -> Result<(PeerLinks, PeerAddresses), FleetError> {
    let mut links = BTreeMap::new();
    let mut addresses = Vec::new();
    for peer in settings.members.iter().filter(|peer| peer.name != settings.me) {
        let link = PeerLink::new(peer.name.clone());
        addresses.push((link.clone(), address("members", &peer.addr)?));
        links.insert(peer.name.clone(), link);
    }
    Ok((links, addresses))
}

fn address(what: &'static str, value: &str) -> Result<SocketAddr, FleetError> {
    value.parse().map_err(|_| FleetError::Address { what, value: value.into() })
}

impl Fleet {
    /// Opens the member's files in `folder`, listens, and exchanges messages with the others from now on. `span`: the shortest
    /// time in microseconds that a partner remembers an idempotency key; `disk`: bytes that the own journal may take.
    ///
    /// # Errors
    /// The folder or the address can't be had.
    pub async fn start(
        settings: &quillmount_operator::fleet::Fleet,
        folder: &Path,
        seed: u64,
        clock: Clock,
        span: Option<Micros>,
        disk: u64,
    ) -> Result<Rc<Fleet>, FleetError> {
        let problems = problems(settings);
        if !problems.is_empty() {
            return Err(FleetError::Budgets(problems));
        }
        let listen = |source| FleetError::Listen { addr: settings.listen.clone(), source };
        let listener = TcpListener::bind(address("listen", &settings.listen)?).await.map_err(listen)?;
        let files = FileStores::open(folder.join("fleet"))?;
        let (incarnation, fresh_node_id) = (random_id(seed), random_id(seed).max(1));
        let identity = quillmount_fleet::member::ProcessIdentity { incarnation, fresh_node_id };
        let limits = agreement::AgreementLimits { seed: incarnation, ..Default::default() };
        let (mut member, out) = Member::open(config_from(settings), files, identity, limits, clock.now())?;
        member.replica_capacity =
            disk.saturating_mul(settings.copies as u64).saturating_mul(REPLICA_DISK_FACTOR);
        let (links, addresses) = peer_links(settings)?;
        let node_id = member.agreement().node_id();
        let member = Rc::new(RefCell::new(member));
        let dests: BTreeSet<u64> = settings.budgets.iter().map(|budget| budget.dest).collect();
        let budgets =
            (!dests.is_empty()).then(|| Rc::new(Budgets::new(clock.clone(), member.clone(), dests)));
        let fleet = Rc::new(Fleet {
            gate: Rc::new(Gate::new(clock.clone(), span)),
            clock,
            member,
            budgets,
            links,
            tasks: RefCell::default(),
            task_added: Notify::new(),
            joined: Cell::new(None),
            joined_notify: Notify::new(),
            is_fenced: Cell::new(false),
            fenced_notify: Notify::new(),
            left: Notify::new(),
            timers_changed: Notify::new(),
            settlements: settings.settlements.iter().map(|settlement| settlement.dest).collect(),
            settlement_host: OnceCell::new(),
        });
        tracing::info!("fleet: {} listens on {}", settings.me, listener.local_addr().map_err(listen)?);
        for (link, addr) in addresses {
            let peer_fleet = fleet.clone();
            actix_rt::spawn(link.run(addr, settings.me.clone(), node_id, move |envelope| {
                peer_fleet.step(MemberInput::Received(envelope));
            }));
        }
        actix_rt::spawn(listener::serve(listener, fleet.clone()));
        actix_rt::spawn(fleet.clone().run_timers());
        actix_rt::spawn(fleet.clone().replicate());
        fleet.carry_out(out, None);
        Ok(fleet)
    }

    /// Waits until it is a member; returns its epoch, and whether the journal in the folder is still its own.
    pub async fn joined(&self) -> (Epoch, bool) {
        loop {
            let joined_notify = self.joined_notify.notified();
            if let Some(joined) = self.joined.get() {
                return joined;
            }
            joined_notify.await;
        }
    }

    /// Puts a journal aside that others have taken over, and records the lineage under which the courier has joined: the folder's
    /// journal belongs to that from here on.
    ///
    /// # Errors
    /// The folder refuses it.
    pub fn begin_journal(&self, folder: &Path, retained: bool) -> Result<(), FleetError> {
        let mut member = self.member.borrow_mut();
        if !retained && member.is_first() {
            tracing::info!("fleet: a journal of before it was a member is its own: nobody else has it");
        } else if !retained {
            put_aside(&mut member, folder)?;
        }
        let line = member.agreed_lineage();
        member.record_lineage(line)?;
        Ok(())
    }

    /// Connects the courier, whose journal is open: it is replicated from here on, and messages taken over come to the courier.
    ///
    /// # Errors
    /// The journal can't be read.
    pub fn attach(self: &Rc<Self>, courier: &Rc<Courier>, folder: &Path) -> Result<(), FleetError> {
        let bytes = std::fs::read(folder.join("journal"))?;
        let lines = JournalContents::read(&bytes).0.settlements;
        let unsettled: BTreeSet<_> =
            courier.unsettled().iter().chain(lines.unsettled()).map(PartitionId::from).collect();
        let unsettled: Vec<_> = unsettled.into_iter().collect();
        self.gate.add_taking(unsettled.len() as isize);
        self.gate.begin(bytes.len() as u64);
        self.step(MemberInput::JournalOpened { bytes, unsettled });
        let (local_name, epoch) = {
            let member = self.member.borrow();
            (member.config.local_name.clone(), member.epoch())
        };
        if let Some(epoch) = epoch {
            let host =
                SettlementHost::start(self, courier, local_name, epoch, self.settlements.clone(), lines);
            let _ = self.settlement_host.set(host);
        }
        actix_rt::spawn(self.clone().run_takeovers(courier.clone()));
        if let Some(budgets) = &self.budgets {
            actix_rt::spawn(budgets.clone().run(courier.clone()));
        }
        Ok(())
    }

    /// A planned stop: gives the journal to others without waiting for the lease to lapse, and puts its file aside.
    ///
    /// # Errors
    /// The folder refuses it.
    pub async fn leave(&self, folder: &Path) -> Result<(), FleetError> {
        let left = self.left.notified();
        self.flush();
        // Records that are not replicated are lost to those who take over: a message that has ended would be open.
        let _ = actix_rt::time::timeout(FINAL_REPLICATION_TIMEOUT, self.gate.copied()).await;
        self.step(MemberInput::Leave);
        left.await;
        let mut member = self.member.borrow_mut();
        if member.has_left() {
            put_aside(&mut member, folder)?;
        }
        Ok(())
    }

    /// Applies an operator file that was read again: its voters count from now on.
    pub fn reload(&self, settings: &quillmount_operator::fleet::Fleet) {
        let config = config_from(settings);
        let mut member = self.member.borrow_mut();
        member.config.voters = config.voters.clone();
        if member.config != config || !settings.on {
            tracing::warn!(
                "fleet: only the voters are read while serving: start again for the rest of the section"
            );
        }
    }

    /// Handles another courier's messages; returns the messages that go back in the same exchange.
    pub fn receive(&self, envelope: Envelope) -> Option<Envelope> {
        let from = envelope.from.clone();
        let out = self.member.borrow_mut().step(MemberInput::Received(envelope), self.clock.now());
        let messages = self.carry_out_result(out, Some(&from));
        if messages.is_empty() {
            return None;
        }
        let member = self.member.borrow();
        let node_id = member.agreement().node_id();
        Some(Envelope { from: member.config.local_name.clone(), to: from, node_id, messages })
    }

    fn step(&self, input: MemberInput) {
        let out = self.member.borrow_mut().step(input, self.clock.now());
        self.carry_out_result(out, None);
    }

    fn carry_out_result(
        &self,
        out: Result<Vec<MemberOutput>, MemberError>,
        to: Option<&str>,
    ) -> Vec<quillmount_fleet::message::FleetMessage> {
        match out {
            Ok(out) => self.carry_out(out, to),
            Err(e) => {
                // Its lease runs out, and others take over: nothing that it sends could be relied on.
                tracing::error!("{e}");
                Vec::new()
            }
        }
    }

    /// Carries outputs out; those for `to` are returned.
    fn carry_out(
        &self,
        out: Vec<MemberOutput>,
        to: Option<&str>,
    ) -> Vec<quillmount_fleet::message::FleetMessage> {
        let mut replies = Vec::new();
        for output in out {
            match output {
                MemberOutput::Send(name, message) if to == Some(name.as_str()) => replies.push(message),
                MemberOutput::Send(name, message) => {
                    if let Some(link) = self.links.get(&name) {
                        link.send(message);
                    }
                }
                MemberOutput::Joined { epoch, retained } => {
                    self.joined.set(Some((epoch, retained)));
                    self.gate.set_epoch(epoch);
                    self.joined_notify.notify_waiters();
                }
                MemberOutput::Lease(until) => self.gate.set_until(until),
                MemberOutput::Replicated(mark) => self.gate.set_safe(mark),
                MemberOutput::Replicas { at, enough } => {
                    log_replicas(&at, enough);
                    self.gate.set_copies(at.len(), enough);
                }
                MemberOutput::Adopt { partitions, settled, bytes } => {
                    self.gate.add_taking(partitions.len() as isize);
                    self.add_task(Task::Adopt { partitions, settled, bytes });
                }
                MemberOutput::ResolveAdoption { source, adopted } => {
                    self.gate.add_taking(-1);
                    self.add_task(Task::ResolveAdoption { source, adopted });
                }
                MemberOutput::Fenced => self.fenced(),
                MemberOutput::Left => self.left.notify_waiters(),
                // A host that starts later reads earlier events from the agreed state.
                MemberOutput::Settlement(event) => {
                    self.settlement_host.get().into_iter().for_each(|host| host.committed(event.clone()));
                }
                MemberOutput::SettlementsRestored => {
                    self.settlement_host.get().into_iter().for_each(|host| host.snapshot());
                }
                MemberOutput::SettlementReceived { from, message, payload } => {
                    if let Some(host) = self.settlement_host.get() {
                        host.receive(from, message, &payload);
                    }
                }
                MemberOutput::CloseConnections(orders) => {
                    self.budgets.iter().for_each(|budgets| budgets.queue_orders(orders.clone()));
                }
                MemberOutput::Notice(note) => log_notice(&note),
            }
        }
        self.budgets.iter().for_each(|budgets| budgets.serve());
        self.timers_changed.notify_one();
        replies
    }

    /// The fleet has sealed this courier's journal: nothing more is done here.
    fn fenced(&self) {
        self.gate.set_until(0);
        self.is_fenced.set(true);
        if let Some(host) = self.settlement_host.get() {
            host.fenced();
        }
        self.fenced_notify.notify_one();
    }

    fn add_task(&self, task: Task) {
        self.tasks.borrow_mut().push_back(task);
        self.task_added.notify_one();
    }

    /// Calls the member's timers at the times that it asks for.
    async fn run_timers(self: Rc<Self>) {
        loop {
            let wake = self.member.borrow().wake_at();
            let changed = self.timers_changed.notified();
            match wake {
                None => changed.await,
                Some(at) if at > self.clock.now() => {
                    tokio::select! {
                        () = actix_rt::time::sleep(self.clock.until(at)) => {}
                        () = changed => {}
                    }
                }
                Some(_) => self.step(MemberInput::Tick),
            }
        }
    }

    /// Passes what was written to the journal on to its replicas: all of one turn of the event loop together.
    async fn replicate(self: Rc<Self>) {
        loop {
            self.gate.wrote.notified().await;
            self.flush();
        }
    }

    fn flush(&self) {
        let mut bytes = Vec::new();
        for wrote in self.gate.take_writes() {
            match wrote {
                JournalWrite::Bytes(more) => bytes.extend(more),
                JournalWrite::Whole(whole) => {
                    if !bytes.is_empty() {
                        self.step(MemberInput::JournalAppended(std::mem::take(&mut bytes)));
                    }
                    self.step(MemberInput::JournalReplaced(whole));
                }
            }
        }
        if !bytes.is_empty() {
            self.step(MemberInput::JournalAppended(bytes));
        }
    }

    /// Carries out the member's tasks on the courier's journal and router.
    async fn run_takeovers(self: Rc<Self>, courier: Rc<Courier>) {
        loop {
            let task = self.tasks.borrow_mut().pop_front();
            let Some(task) = task else {
                self.task_added.notified().await;
                continue;
            };
            if self.is_fenced.get() {
                return;
            }
            let mut lines = Settlements::default();
            let done = match &task {
                Task::Adopt { partitions, settled, bytes } => {
                    let (contents, _) = JournalContents::read(bytes);
                    lines = adopted_lines(partitions, settled, &contents);
                    courier.adopt(adopted_entries(partitions, settled, contents), &lines)
                }
                Task::ResolveAdoption { source, adopted } => courier.settle_from(&source.into(), *adopted),
            };
            if let Err(e) = done {
                tracing::error!(
                    "fleet: what is taken over can't be written: {e}; again in {TAKEOVER_RETRY_INTERVAL:?}"
                );
                self.tasks.borrow_mut().push_front(task);
                actix_rt::time::sleep(TAKEOVER_RETRY_INTERVAL).await;
                continue;
            }
            self.flush();
            match task {
                Task::Adopt { partitions, .. } => {
                    self.settlement_host.get().into_iter().for_each(|host| host.adopted(&lines));
                    partitions.into_iter().for_each(|part| self.step(MemberInput::Adopted(part)))
                }
                Task::ResolveAdoption { source, adopted } => {
                    self.step(MemberInput::AdoptionResolved(source.clone()));
                    self.settlement_host
                        .get()
                        .into_iter()
                        .for_each(|host| host.adoption_resolved(&source, adopted));
                }
            }
        }
    }
}

/// Puts the journal's file aside, as others have its contents.
fn put_aside(member: &mut Member<FileStores>, folder: &Path) -> Result<(), FleetError> {
    // A kill in between must not leave a journal that counts as the own one.
    member.record_lineage(None)?;
    match std::fs::rename(folder.join("journal"), folder.join("journal.sealed")) {
        Err(e) if e.kind() != std::io::ErrorKind::NotFound => Err(FleetError::Aside(e)),
        _ => Ok(()),
    }
}

/// Whether a courier may start with this folder while the section is off.
///
/// # Errors
/// The folder is of a member that has not left: others have its work, or are to have it.
pub fn may_be_off(folder: &Path) -> Result<(), FleetError> {
    let path = folder.join("fleet").join("identity");
    let bytes = match std::fs::read(&path) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(()),
        read => read?,
    };
    match postcard::from_bytes::<Option<Epoch>>(&bytes) {
        Ok(None) => Ok(()),
        _ if bytes.is_empty() => Ok(()),
        _ => Err(FleetError::StillMember(folder.display().to_string())),
    }
}

/// The messages of these partitions of a sealed journal, each with its source.
fn adopted_entries(
    partitions: &[PartitionId],
    settled: &BTreeSet<PartitionId>,
    contents: JournalContents,
) -> Vec<journal::JournalEntry> {
    let owed = contents.owed.into_values().filter_map(|entry| {
        let partition = partition_of(entry.taken.dest);
        let source = partitions.iter().find(|source| source.partition == partition)?;
        // A message that this journal adopted from another, without the adoption being agreed, belongs to somebody else.
        let own = entry.source.as_ref().is_none_or(|from| settled.contains(&PartitionId::from(from)));
        own.then(|| journal::JournalEntry { source: Some(source.into()), ..entry })
    });
    owed.collect()
}

fn log_replicas(at: &BTreeSet<Name>, enough: bool) {
    let at: Vec<&str> = at.iter().map(Name::as_str).collect();
    match (at.is_empty(), enough) {
        (false, _) => tracing::info!("fleet: the journal is copied to {}", at.join(", ")),
        (true, true) => tracing::warn!("fleet: no copy of the journal is left: it goes on alone"),
        (true, false) => tracing::warn!("fleet: no copy of the journal yet: nothing is taken on"),
    }
}

fn log_notice(note: &MemberNotice) {
    match note {
        MemberNotice::ReplicaUnavailable { .. }
        | MemberNotice::ReplicaRejected { .. }
        | MemberNotice::LeaseLost(true)
        | MemberNotice::ReplicaLagging { .. } => {
            tracing::warn!("{note}");
        }
        _ => tracing::info!("{note}"),
    }
}

/// A number that no other process draws: a hash of the seed with the process's random keys.
fn random_id(seed: u64) -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u64(seed);
    hasher.finish()
}
