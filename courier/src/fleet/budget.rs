//! Partners' budgets on sockets: a call to a partner with a budget has leave for its connection before its
//! first byte, and each such connection counts from before its connect until its end is known.
//!
//! What may be begun is the [`Holder`](quillmount_fleet::budget::Holder)'s word; here calls stand in line for
//! it, each tenant's in their order, and what became of connections is told. A connection tells of its own
//! end when it is dropped, wherever that is: no way of the pool or of a call can forget it.

use super::stores::Files;
use crate::transport::clock::Clock;
use crate::transport::courier::Courier;
use crate::transport::endpoints::{CallSignals, is_quiet};
use crate::transport::handle::Handle;
use actix_rt::net::TcpStream;
use quillmount_core::call::Call;
use quillmount_core::machine::attempt::AttemptState;
use quillmount_core::machine::connection::{ConnectionInput, EndpointConnection};
use quillmount_core::{CallId, Submission};
use quillmount_fleet::budget::{Begin, Gate, Order, Permit};
use quillmount_fleet::member::Member;
use spurshore::Micros;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// A call that would get its connection later than this before its time is up is held back instead: it never
/// ran, while one that goes out then may have, and its answer comes as its message is given up. Some calls'
/// time; one that needn't wait goes out.
const LEAST_LEFT: Micros = 250_000;
/// What a partner still says on a closed connection is read in such pieces, and let go.
const READ: usize = 4_096;

/// A connection to a provider.
pub enum Conn {
    /// Of a partner without a budget.
    Plain(TcpStream),
    Counted(Box<Counted>),
}

/// A connection that counts; dropped, it is closed, and counts until the partner has closed it too.
pub struct Counted {
    stream: TcpStream,
    name: Name,
    budgets: Rc<Budgets>,
}

/// A connection's partner and number.
type Name = (u64, u64);

impl Conn {
    pub fn stream(&self) -> &TcpStream {
        match self {
            Conn::Plain(stream) => stream,
            Conn::Counted(counted) => &counted.stream,
        }
    }

    pub fn stream_mut(&mut self) -> &mut TcpStream {
        match self {
            Conn::Plain(stream) => stream,
            Conn::Counted(counted) => &mut counted.stream,
        }
    }

    /// For another process; one that counts can't go there, and is closed.
    pub fn into_stream(self) -> Option<TcpStream> {
        match self {
            Conn::Plain(stream) => Some(stream),
            Conn::Counted(_) => None,
        }
    }

    fn is(&self, name: Name) -> bool {
        matches!(self, Conn::Counted(counted) if counted.name == name)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        // Held on to, so that its end at the partner can be read.
        let fd = self.stream.as_fd().try_clone_to_owned().ok();
        self.budgets.went(Went { name: self.name, end: End::Closed(fd) });
    }
}

/// What a call that waited may do: go out on a connection that rested, or open one.
pub struct Leave {
    permit: Permit,
    pub resting: Option<(EndpointConnection, Conn)>,
    opening: Option<Opening>,
}

impl Leave {
    /// Opens the connection that there is leave for; there is none for a second.
    pub async fn connect(&mut self, addr: SocketAddr) -> Option<Conn> {
        let mut opening = self.opening.take()?;
        // Dropped from here on, it may have come to be.
        opening.end = Some(End::Closed(None));
        match TcpStream::connect(addr).await {
            Ok(stream) => {
                opening.end = None;
                let (name, budgets) = (opening.name, opening.budgets.clone());
                Some(Conn::Counted(Box::new(Counted { stream, name, budgets })))
            }
            Err(e) => {
                if e.kind() == std::io::ErrorKind::ConnectionRefused {
                    opening.end = Some(End::Never);
                }
                None
            }
        }
    }
}

/// Leave to open a connection.
struct Opening {
    name: Name,
    budgets: Rc<Budgets>,
    /// What is true of it if it is dropped now; `None`: it is up.
    end: Option<End>,
}

impl Drop for Opening {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            self.budgets.went(Went { name: self.name, end });
        }
    }
}

/// How a connection ended.
enum End {
    /// It never came to be.
    Never,
    /// This side has closed it; its socket, if there is one, tells when the other has.
    Closed(Option<OwnedFd>),
}

struct Went {
    name: Name,
    end: End,
}

/// A call's place in its tenant's line.
#[derive(Default)]
struct Place {
    permit: Cell<Option<Permit>>,
    called: Notify,
}

/// Calls of one tenant to one partner that wait for leave.
#[derive(Default)]
struct Line {
    places: VecDeque<Rc<Place>>,
    /// How long one that comes now would wait, by the last refusal.
    after: Micros,
}

type Lines = BTreeMap<(u64, Box<str>), Line>;

/// The lines, and what is to be done about connections.
pub struct Budgets {
    clock: Clock,
    member: Rc<RefCell<Member<Files>>>,
    /// Partners with a budget.
    dests: BTreeSet<u64>,
    lines: RefCell<Lines>,
    /// Calls that are out, by their connection.
    out: RefCell<HashMap<Name, CallId>>,
    went: RefCell<Vec<Went>>,
    /// Closed by this side, and to be watched until the partner has closed them.
    closing: RefCell<Vec<(Name, OwnedFd)>>,
    orders: RefCell<Vec<Order>>,
    todo: Notify,
}

impl Budgets {
    pub fn new(clock: Clock, member: Rc<RefCell<Member<Files>>>, dests: BTreeSet<u64>) -> Budgets {
        Budgets {
            clock,
            member,
            dests,
            lines: RefCell::default(),
            out: RefCell::default(),
            went: RefCell::default(),
            closing: RefCell::default(),
            orders: RefCell::default(),
            todo: Notify::new(),
        }
    }

    /// Whether the partner's connections are counted.
    pub fn counts(&self, dest: u64) -> bool {
        self.dests.contains(&dest)
    }

    fn gate<T>(&self, act: impl FnOnce(&mut Gate, Micros) -> T) -> T {
        act(&mut self.member.borrow_mut().shares().gate, self.clock.now())
    }

    /// Whether a message is to be turned away: so many of its tenant's calls wait that its time would be over
    /// before its turn; how long to wait then.
    pub fn refuses(&self, submission: &Submission) -> Option<Micros> {
        if !self.counts(submission.dest) {
            return None;
        }
        let lines = self.lines.borrow();
        let line = lines.get(&(submission.dest, name_of(submission.tenant.as_deref())))?;
        (line.after > submission.time_left).then_some(line.after)
    }

    /// Waits for leave to make this call, as long as its time allows; `None`: it is held back, and has not
    /// run. The provider is told what is left of its time then.
    pub async fn ask(
        self: &Rc<Self>,
        handle: &Handle,
        (call, until): &mut (Call<Conn>, Micros),
        signals: &CallSignals,
    ) -> Option<Box<Leave>> {
        let order = &mut call.order;
        let (dest, endpoint, addr) = (order.dest, order.endpoint, order.addr);
        let tenant = name_of(order.payload.tenant.as_deref());
        let by = order.by.min(until.saturating_sub(LEAST_LEFT));
        let asked = self.clock.now();
        let mut first = true;
        loop {
            let permit = self.permit(dest, &tenant, first, by, signals).await?;
            first = false;
            let (name, now) = ((dest, permit.conn), self.clock.now());
            if !handle.pool(|pool| pool.is_open(endpoint, now)) {
                self.back(&permit);
                return None;
            }
            let (resting, opening) = match permit.begin {
                Begin::Open => {
                    if !self.gate(|gate, now| gate.connections.opens(dest, permit.conn, now)) {
                        continue;
                    }
                    let (budgets, end) = (self.clone(), Some(End::Never));
                    (None, Some(Opening { name, budgets, end }))
                }
                Begin::Reuse => {
                    let taken = handle.pool(|pool| pool.take_idle(endpoint, |conn| conn.is(name)));
                    let Some((to, at, mut machine, conn)) = taken else {
                        // It went meanwhile.
                        self.note_gone();
                        self.gate(|gate, now| gate.connections.closing(dest, permit.conn, now));
                        continue;
                    };
                    let quiet = (to, at) == (endpoint, addr) && is_quiet(&conn);
                    if machine.step(ConnectionInput::Reused { quiet }, now) {
                        drop(conn);
                        self.note_gone();
                        continue;
                    }
                    (Some((machine, conn)), None)
                }
            };
            order.time_left = order.time_left.saturating_sub(now.saturating_sub(asked));
            self.out.borrow_mut().insert(name, order.call);
            return Some(Box::new(Leave { permit, resting, opening }));
        }
    }

    /// Waits for its turn; `None`: its time is up, or it is not to go out any more.
    async fn permit(
        &self,
        dest: u64,
        tenant: &str,
        first: bool,
        by: Micros,
        signals: &CallSignals,
    ) -> Option<Permit> {
        let place = Rc::new(Place::default());
        {
            let mut lines = self.lines.borrow_mut();
            let line = lines.entry((dest, tenant.into())).or_default();
            match first {
                true => line.places.push_back(place.clone()),
                // It was at the front, and what it got was of no use.
                false => line.places.push_front(place.clone()),
            }
        }
        let waits = Waits { budgets: self, dest, tenant, place: &place };
        if self.heads(dest, tenant, &place) {
            self.serve_line(dest, tenant);
        }
        loop {
            if let Some(permit) = place.permit.take() {
                return Some(permit);
            }
            let left = self.clock.until(by);
            if left.is_zero() {
                tracing::debug!("budget: destination {dest}: a call of tenant {tenant:?} is held back");
                return None;
            }
            tokio::select! {
                biased;
                () = waits.place.called.notified() => {}
                _ = signals.next(AttemptState::Connecting) => return None,
                () = actix_rt::time::sleep(left) => {}
            }
        }
    }

    fn heads(&self, dest: u64, tenant: &str, place: &Rc<Place>) -> bool {
        let lines = self.lines.borrow();
        let line = lines.get(&(dest, Box::from(tenant)));
        line.and_then(|line| line.places.front()).is_some_and(|front| Rc::ptr_eq(front, place))
    }

    /// Gives leave to whoever may have it now.
    pub fn serve(&self) {
        let mut lines = self.lines.borrow_mut();
        if !lines.is_empty() {
            self.gate(|gate, now| {
                lines.iter_mut().for_each(|((dest, tenant), line)| line.serve(*dest, tenant, gate, now));
            });
            lines.retain(|_, line| !line.places.is_empty());
        }
    }

    fn serve_line(&self, dest: u64, tenant: &str) {
        let key = (dest, Box::from(tenant));
        let mut lines = self.lines.borrow_mut();
        if let Some(line) = lines.get_mut(&key) {
            self.gate(|gate, now| line.serve(dest, tenant, gate, now));
            if line.places.is_empty() {
                lines.remove(&key);
            }
        }
    }

    /// A permit was of no use: nothing was opened or written.
    fn back(&self, permit: &Permit) {
        let orders = self.gate(|gate, now| match permit.begin {
            Begin::Open => {
                gate.connections.closed(permit.dest, permit.conn, now);
                Vec::new()
            }
            Begin::Reuse => gate.connections.released(permit, now),
        });
        self.order(orders);
        self.todo.notify_one();
    }

    /// The call is over; its connection rests, or has said that it is gone.
    pub fn over(&self, leave: Leave) {
        let permit = leave.permit.clone();
        // What it did not use is gone with it.
        drop(leave);
        self.out.borrow_mut().remove(&(permit.dest, permit.conn));
        self.note_gone();
        let orders = self.gate(|gate, now| gate.connections.released(&permit, now));
        self.order(orders);
        self.serve();
    }

    /// What the holder wants to be closed.
    pub fn order(&self, orders: Vec<Order>) {
        if !orders.is_empty() {
            self.orders.borrow_mut().extend(orders);
            self.todo.notify_one();
        }
    }

    fn went(&self, went: Went) {
        self.went.borrow_mut().push(went);
        self.todo.notify_one();
    }

    /// Tells the holder what ended.
    fn note_gone(&self) {
        for Went { name: (dest, conn), end } in self.went.take() {
            self.gate(|gate, now| match end {
                End::Never => gate.connections.closed(dest, conn, now),
                End::Closed(_) => gate.connections.closing(dest, conn, now),
            });
            if let End::Closed(Some(fd)) = end {
                self.closing.borrow_mut().push(((dest, conn), fd));
                self.todo.notify_one();
            }
        }
    }

    /// Closes what is to be closed, and watches what is closing; for ever.
    pub async fn keep(self: Rc<Self>, courier: Rc<Courier>) {
        loop {
            self.todo.notified().await;
            for Order::Close { dest, conn } in self.orders.take() {
                let name = (dest, conn);
                drop(courier.handle.pool(|pool| pool.take_idle(0, |conn| conn.is(name))));
                let call = self.out.borrow().get(&name).copied();
                call.into_iter().for_each(|call| courier.cut(call));
            }
            self.note_gone();
            for (name, fd) in self.closing.take() {
                actix_rt::spawn(self.clone().watch(name, fd));
            }
            self.serve();
        }
    }

    /// Waits until the partner has closed it too. Where it does not tell, the connection counts for as long
    /// as a partner may keep one, and the socket is kept no longer than that.
    async fn watch(self: Rc<Self>, (dest, conn): Name, fd: OwnedFd) {
        let bound = self.gate(|gate, _| gate.connections.closes_within(dest));
        let ends = async {
            let mut stream = TcpStream::from_std(std::net::TcpStream::from(fd))?;
            stream.shutdown().await?;
            let mut rest = [0; READ];
            while stream.read(&mut rest).await? > 0 {}
            std::io::Result::Ok(())
        };
        let bound = std::time::Duration::from_micros(bound);
        if let Ok(Ok(())) = actix_rt::time::timeout(bound, ends).await {
            self.gate(|gate, now| gate.connections.closed(dest, conn, now));
            self.serve();
        }
    }
}

/// A call that waits; dropped, it has left its line.
struct Waits<'a> {
    budgets: &'a Budgets,
    dest: u64,
    tenant: &'a str,
    place: &'a Rc<Place>,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        if let Some(permit) = self.place.permit.take() {
            self.budgets.back(&permit);
        }
        let key = (self.dest, Box::from(self.tenant));
        let mut lines = self.budgets.lines.borrow_mut();
        let Some(line) = lines.get_mut(&key) else { return };
        let before = line.places.len();
        line.places.retain(|place| !Rc::ptr_eq(place, self.place));
        if line.places.len() < before {
            let count = line.places.len() as u32;
            self.budgets.gate(|gate, now| gate.wants(self.dest, self.tenant, count, now));
        }
        if line.places.is_empty() {
            lines.remove(&key);
        }
    }
}

impl Line {
    fn serve(&mut self, dest: u64, tenant: &str, gate: &mut Gate, now: Micros) {
        while let Some(place) = self.places.front() {
            match gate.may_begin(dest, tenant, now) {
                Ok(permit) => {
                    place.permit.set(Some(permit));
                    place.called.notify_one();
                    self.places.pop_front();
                }
                Err(refusal) => {
                    self.after = refusal.after;
                    break;
                }
            }
        }
        gate.wants(dest, tenant, self.places.len() as u32, now);
    }
}

/// A message without a tenant belongs to the one without a name.
fn name_of(tenant: Option<&str>) -> Box<str> {
    tenant.unwrap_or_default().into()
}
