//! A courier as one of a fleet, on sockets: its member machine, the ways to the others, and what the machine's words come to
//! for the courier. All of it is there only where the operator file's section `fleet` is on.

pub mod budget;
mod homes;
mod links;
mod listener;
mod stores;

use crate::transport::clock::Clock;
use crate::transport::courier::Courier;
use crate::transport::gate::{Gate, JournalWrite};
use actix_rt::net::TcpListener;
use budget::Budgets;
use homes::Settling;
use links::Link;
use quillmount_core::journal::{self, JournalContents, Settlements};
use quillmount_fleet::agreement;
use quillmount_fleet::budget::{Budget, Problem, Tenant};
use quillmount_fleet::member::{Input, Member, MemberError, Note, Output};
use quillmount_fleet::message::Envelope;
use quillmount_fleet::plan::{Missing, Name, Peer, Plan};
use quillmount_fleet::settlement::lines::lines as lines_of;
use quillmount_fleet::state::{Epoch, Source, part_of};
use quillmount_operator::fleet::{FleetBudget, FleetTenant, OnMissing};
use spurshore::Micros;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use stores::Files;
use tokio::sync::Notify;

/// A part that the journal had no room for is written again after so long: what is owed here ends meanwhile.
const AGAIN: Duration = Duration::from_secs(1);

/// Each courier holds as many copies as it has on average; by chance, and after losses, some hold more. Copies take so many
/// times the own journal's part of the disk, for each copy that the operator file wants.
const COPIES_DISK: u64 = 4;

/// Why a courier is not one of its fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    #[error("fleet: listen on {addr}: {source}; is another courier's `listen` the same?")]
    Listen { addr: String, source: std::io::Error },
    #[error("fleet: {what} {value:?} is no address; mend the operator file's section `fleet`")]
    Address { what: &'static str, value: String },
    #[error("operator file: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Budgets(Vec<Problem>),
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

/// The last records of a planned stop are given so long to get to the copies: half of what the stop waits for in all.
const LAST_COPY: Duration = Duration::from_millis(100);
/// Descriptors for each courier: a connection to it, one that it has given up, and those that are let in from it.
const SOCKETS_EACH: usize = 2 + listener::EACH;
/// Descriptors for what is agreed, and for the listener and who else comes there. Copies of others' journals have a file each.
const OWN: usize = 8 + listener::SPARE;

/// Descriptors that a courier's part in its fleet takes.
pub fn sockets(told: &quillmount_operator::fleet::Fleet) -> usize {
    if told.on { OWN + told.members.len() * (SOCKETS_EACH + told.copies) } else { 0 }
}

/// What the member wants of the courier, in order.
enum Task {
    Adopt { parts: Vec<Source>, settled: BTreeSet<Source>, bytes: Vec<u8> },
    Settle { source: Source, kept: bool },
}

/// The courier's part of its fleet.
pub struct Fleet {
    clock: Clock,
    member: Rc<RefCell<Member<Files>>>,
    /// Where partners' connections are shared.
    pub budgets: Option<Rc<Budgets>>,
    links: BTreeMap<Name, Rc<Link>>,
    pub gate: Rc<Gate>,
    tasks: RefCell<VecDeque<Task>>,
    more: Notify,
    joined: Cell<Option<(Epoch, bool)>>,
    joins: Notify,
    replaced: Cell<bool>,
    /// Its book is others' by now: the process has to begin anew.
    pub gone: Notify,
    left: Notify,
    moved: Notify,
    /// Partners whose settlements are carried.
    settlements: BTreeSet<u64>,
    settling: OnceCell<Rc<Settling>>,
}

fn plan_of(told: &quillmount_operator::fleet::Fleet) -> Plan {
    Plan {
        me: told.me.clone(),
        peers: told
            .members
            .iter()
            .map(|member| Peer { name: member.name.clone(), host: member.host.clone() })
            .collect(),
        voters: told.voters.clone(),
        lease: told.lease.0.as_micros() as Micros,
        drift: told.drift,
        copies: told.copies,
        missing: match told.on_missing {
            OnMissing::Require => Missing::Require,
            OnMissing::Prefer => Missing::Prefer,
        },
        budgets: budgets_of(told),
        call: told.partner_call.0.as_micros() as Micros,
        quiet: told.partner_idle.0.as_micros() as Micros,
    }
}

fn budgets_of(told: &quillmount_operator::fleet::Fleet) -> Vec<Budget> {
    let tenant = |told: &FleetTenant| Tenant {
        name: told.name.clone(),
        weight: told.weight,
        floor: told.floor,
        ceiling: told.ceiling,
    };
    let budget = |told: &FleetBudget| Budget {
        dest: told.dest,
        connections: told.connections,
        calls: told.calls,
        span_ms: told.span.map(|span| span.0.as_millis() as u64),
        courier_floor: told.courier_floor,
        tenants: told.tenants.iter().map(tenant).collect(),
    };
    told.budgets.iter().map(budget).collect()
}

/// What the section's types can't say, and its own checks do not know, each with its path.
pub fn problems(told: &quillmount_operator::fleet::Fleet) -> Vec<Problem> {
    if told.on { quillmount_fleet::budget::check(&budgets_of(told), told.members.len()) } else { Vec::new() }
}

fn address(what: &'static str, value: &str) -> Result<SocketAddr, FleetError> {
    value.parse().map_err(|_| FleetError::Address { what, value: value.into() })
}

impl Fleet {
    /// Opens what the folder has, listens, and speaks to the others from now on. `span`: the shortest time that a partner
    /// remembers a key; `disk`: bytes that the own journal may take.
    ///
    /// # Errors
    /// The folder or the address can't be had.
    pub async fn start(
        told: &quillmount_operator::fleet::Fleet,
        folder: &Path,
        seed: u64,
        clock: Clock,
        span: Option<Micros>,
        disk: u64,
    ) -> Result<Rc<Fleet>, FleetError> {
        let problems = problems(told);
        if !problems.is_empty() {
            return Err(FleetError::Budgets(problems));
        }
        let listen = |source| FleetError::Listen { addr: told.listen.clone(), source };
        let listener = TcpListener::bind(address("listen", &told.listen)?).await.map_err(listen)?;
        let files = Files::open(folder.join("fleet"))?;
        let (life, token) = (draw(seed), draw(seed).max(1));
        let limits = agreement::Limits { seed: life, ..Default::default() };
        let (mut member, out) = Member::open(plan_of(told), files, life, token, limits, clock.now())?;
        member.room = disk.saturating_mul(told.copies as u64).saturating_mul(COPIES_DISK);
        let mut links = BTreeMap::new();
        let mut ways = Vec::new();
        for peer in told.members.iter().filter(|peer| peer.name != told.me) {
            let link = Link::new(peer.name.clone());
            ways.push((link.clone(), address("members", &peer.addr)?));
            links.insert(peer.name.clone(), link);
        }
        let token = member.agreement().token();
        let member = Rc::new(RefCell::new(member));
        let dests: BTreeSet<u64> = told.budgets.iter().map(|budget| budget.dest).collect();
        let budgets =
            (!dests.is_empty()).then(|| Rc::new(Budgets::new(clock.clone(), member.clone(), dests)));
        let fleet = Rc::new(Fleet {
            gate: Rc::new(Gate::new(clock.clone(), span)),
            clock,
            member,
            budgets,
            links,
            tasks: RefCell::default(),
            more: Notify::new(),
            joined: Cell::new(None),
            joins: Notify::new(),
            replaced: Cell::new(false),
            gone: Notify::new(),
            left: Notify::new(),
            moved: Notify::new(),
            settlements: told.settlements.iter().map(|settlement| settlement.dest).collect(),
            settling: OnceCell::new(),
        });
        tracing::info!("fleet: {} listens on {}", told.me, listener.local_addr().map_err(listen)?);
        for (link, addr) in ways {
            let heard = fleet.clone();
            actix_rt::spawn(link.carry(addr, told.me.clone(), token, move |envelope| {
                heard.step(Input::Heard(envelope));
            }));
        }
        actix_rt::spawn(listener::serve(listener, fleet.clone()));
        actix_rt::spawn(fleet.clone().keep_time());
        actix_rt::spawn(fleet.clone().copy());
        fleet.carry_out(out, None);
        Ok(fleet)
    }

    /// Waits until it is a member: under which epoch, and whether the journal in the folder is still its own.
    pub async fn joined(&self) -> (Epoch, bool) {
        loop {
            let joins = self.joins.notified();
            if let Some(joined) = self.joined.get() {
                return joined;
            }
            joins.await;
        }
    }

    /// Puts a journal aside that is others' by now; what the folder has from here on is of the line under which it joined.
    ///
    /// # Errors
    /// The folder refuses it.
    pub fn begin_book(&self, folder: &Path, kept: bool) -> Result<(), FleetError> {
        let mut member = self.member.borrow_mut();
        if !kept && member.is_first() {
            tracing::info!("fleet: a journal of before it was a member is its own: nobody else has it");
        } else if !kept {
            put_aside(&mut member, folder)?;
        }
        let line = member.agreed_line();
        member.note_line(line)?;
        Ok(())
    }

    /// The courier is there, with its journal open: what it has is copied from here on, and what is taken over comes to it.
    ///
    /// # Errors
    /// The journal can't be read.
    pub fn attach(self: &Rc<Self>, courier: &Rc<Courier>, folder: &Path) -> Result<(), FleetError> {
        let bytes = std::fs::read(folder.join("journal"))?;
        let lines = JournalContents::read(&bytes).0.settlements;
        let unsettled: BTreeSet<_> =
            courier.unsettled().iter().chain(lines.unsettled()).map(Source::from).collect();
        let unsettled: Vec<_> = unsettled.into_iter().collect();
        self.gate.add_taking(unsettled.len() as isize);
        self.gate.begin(bytes.len() as u64);
        self.step(Input::Book { bytes, unsettled });
        let (me, epoch) = {
            let member = self.member.borrow();
            (member.plan.me.clone(), member.epoch())
        };
        if let Some(epoch) = epoch {
            let settling = Settling::start(self, courier, me, epoch, self.settlements.clone(), lines);
            let _ = self.settling.set(settling);
        }
        actix_rt::spawn(self.clone().take_over(courier.clone()));
        if let Some(budgets) = &self.budgets {
            actix_rt::spawn(budgets.clone().keep(courier.clone()));
        }
        Ok(())
    }

    /// A planned stop: the book is for others, at once, and the journal is put aside.
    ///
    /// # Errors
    /// The folder refuses it.
    pub async fn leave(&self, folder: &Path) -> Result<(), FleetError> {
        let left = self.left.notified();
        self.flush();
        // What is written and not copied would be taken over as it was before: an end, as none.
        let _ = actix_rt::time::timeout(LAST_COPY, self.gate.copied()).await;
        self.step(Input::Leave);
        left.await;
        let mut member = self.member.borrow_mut();
        if member.has_left() {
            put_aside(&mut member, folder)?;
        }
        Ok(())
    }

    /// The operator file was read again while serving: those whom it names agree from now on.
    pub fn read_again(&self, told: &quillmount_operator::fleet::Fleet) {
        let plan = plan_of(told);
        let mut member = self.member.borrow_mut();
        member.plan.voters = plan.voters.clone();
        if member.plan != plan || !told.on {
            tracing::warn!(
                "fleet: only `voters` is read while serving: start again for the rest of the section"
            );
        }
    }

    /// Another courier's words; what is said to it at once.
    pub fn heard(&self, envelope: Envelope) -> Option<Envelope> {
        let from = envelope.from.clone();
        let out = self.member.borrow_mut().step(Input::Heard(envelope), self.clock.now());
        let messages = self.carried(out, Some(&from));
        if messages.is_empty() {
            return None;
        }
        let member = self.member.borrow();
        let token = member.agreement().token();
        Some(Envelope { from: member.plan.me.clone(), to: from, token, messages })
    }

    fn step(&self, input: Input) {
        let out = self.member.borrow_mut().step(input, self.clock.now());
        self.carried(out, None);
    }

    fn carried(
        &self,
        out: Result<Vec<Output>, MemberError>,
        to: Option<&str>,
    ) -> Vec<quillmount_fleet::message::Message> {
        match out {
            Ok(out) => self.carry_out(out, to),
            Err(e) => {
                // Its lease runs out, and others take over: nothing that it says could be relied on.
                tracing::error!("{e}");
                Vec::new()
            }
        }
    }

    /// Carries outputs out; those for `to` are returned.
    fn carry_out(&self, out: Vec<Output>, to: Option<&str>) -> Vec<quillmount_fleet::message::Message> {
        let mut said = Vec::new();
        for output in out {
            match output {
                Output::Send(name, message) if to == Some(name.as_str()) => said.push(message),
                Output::Send(name, message) => {
                    if let Some(link) = self.links.get(&name) {
                        link.send(message);
                    }
                }
                Output::Joined { epoch, kept } => {
                    self.joined.set(Some((epoch, kept)));
                    self.gate.set_epoch(epoch);
                    self.joins.notify_waiters();
                }
                Output::Lease(until) => self.gate.set_until(until),
                Output::Safe(mark) => self.gate.set_safe(mark),
                Output::Copies { at, enough } => {
                    let at: Vec<&str> = at.iter().map(Name::as_str).collect();
                    match (at.is_empty(), enough) {
                        (false, _) => tracing::info!("fleet: the journal is copied to {}", at.join(", ")),
                        (true, true) => {
                            tracing::warn!("fleet: no copy of the journal is left: it goes on alone")
                        }
                        (true, false) => {
                            tracing::warn!("fleet: no copy of the journal yet: nothing is taken on")
                        }
                    }
                    self.gate.set_copies(at.len(), enough);
                }
                Output::Adopt { parts, settled, bytes } => {
                    self.gate.add_taking(parts.len() as isize);
                    self.tasks.borrow_mut().push_back(Task::Adopt { parts, settled, bytes });
                    self.more.notify_one();
                }
                Output::Settle { source, kept } => {
                    self.gate.add_taking(-1);
                    self.tasks.borrow_mut().push_back(Task::Settle { source, kept });
                    self.more.notify_one();
                }
                Output::Replaced => {
                    self.gate.set_until(0);
                    self.replaced.set(true);
                    self.settling.get().into_iter().for_each(|settling| settling.replaced());
                    self.gone.notify_one();
                }
                Output::Left => self.left.notify_waiters(),
                // What came before it was there, it reads from the agreed state.
                Output::Settlement(event) => {
                    self.settling.get().into_iter().for_each(|settling| settling.agreed(event.clone()));
                }
                Output::Settlements => {
                    self.settling.get().into_iter().for_each(|settling| settling.snapshot());
                }
                Output::Heard { from, message, parcel } => {
                    if let Some(settling) = self.settling.get() {
                        settling.heard(from, message, &parcel);
                    }
                }
                Output::Orders(orders) => {
                    self.budgets.iter().for_each(|budgets| budgets.order(orders.clone()));
                }
                Output::Note(note) => say(&note),
            }
        }
        self.budgets.iter().for_each(|budgets| budgets.serve());
        self.moved.notify_one();
        said
    }

    /// Wakes the member whenever it wants to.
    async fn keep_time(self: Rc<Self>) {
        loop {
            let wake = self.member.borrow().wake_at();
            let moved = self.moved.notified();
            match wake {
                None => moved.await,
                Some(at) if at > self.clock.now() => {
                    tokio::select! {
                        () = actix_rt::time::sleep(self.clock.until(at)) => {}
                        () = moved => {}
                    }
                }
                Some(_) => self.step(Input::Tick),
            }
        }
    }

    /// Hands on what was written: all of one turn of the loop together.
    async fn copy(self: Rc<Self>) {
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
                        self.step(Input::Wrote(std::mem::take(&mut bytes)));
                    }
                    self.step(Input::Replaced(whole));
                }
            }
        }
        if !bytes.is_empty() {
            self.step(Input::Wrote(bytes));
        }
    }

    /// What the member wants of the courier's journal and router.
    async fn take_over(self: Rc<Self>, courier: Rc<Courier>) {
        loop {
            let task = self.tasks.borrow_mut().pop_front();
            let Some(task) = task else {
                self.more.notified().await;
                continue;
            };
            if self.replaced.get() {
                return;
            }
            let mut lines = Settlements::default();
            let done = match &task {
                Task::Adopt { parts, settled, bytes } => {
                    let (book, _) = JournalContents::read(bytes);
                    lines = lines_of(parts, settled, &book);
                    courier.adopt(entries(parts, settled, book), &lines)
                }
                Task::Settle { source, kept } => courier.settle_from(&source.into(), *kept),
            };
            if let Err(e) = done {
                tracing::error!("fleet: what is taken over can't be written: {e}; again in {AGAIN:?}");
                self.tasks.borrow_mut().push_front(task);
                actix_rt::time::sleep(AGAIN).await;
                continue;
            }
            self.flush();
            match task {
                Task::Adopt { parts, .. } => {
                    self.settling.get().into_iter().for_each(|settling| settling.adopted(&lines));
                    parts.into_iter().for_each(|part| self.step(Input::Adopted(part)))
                }
                Task::Settle { source, kept } => {
                    self.step(Input::Settled(source.clone()));
                    self.settling.get().into_iter().for_each(|settling| settling.settled(&source, kept));
                }
            }
        }
    }
}

/// Puts the journal aside, as others have what it says.
fn put_aside(member: &mut Member<Files>, folder: &Path) -> Result<(), FleetError> {
    // A kill in between must not leave a journal that counts as the own one.
    member.note_line(None)?;
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

/// The messages of these parts of a sealed book, each with where it comes from.
fn entries(
    parts: &[Source],
    settled: &BTreeSet<Source>,
    book: JournalContents,
) -> Vec<journal::JournalEntry> {
    let owed = book.owed.into_values().filter_map(|entry| {
        let part = part_of(entry.taken.dest);
        let source = parts.iter().find(|source| source.part == part)?;
        // What had come to that book from others, and was not agreed to be its own, is somebody else's.
        let own = entry.source.as_ref().is_none_or(|from| settled.contains(&Source::from(from)));
        own.then(|| journal::JournalEntry { source: Some(source.into()), ..entry })
    });
    owed.collect()
}

fn say(note: &Note) {
    match note {
        Note::NoCopy { .. } | Note::CopyRefused { .. } | Note::Alone(true) | Note::CopyLate { .. } => {
            tracing::warn!("{note}");
        }
        _ => tracing::info!("{note}"),
    }
}

/// A number that no other process draws: of the seed, the time and the process.
fn draw(seed: u64) -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u64(seed);
    hasher.finish()
}
