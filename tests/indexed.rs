//! The indexed module beside the one that walked its tables (`reference/`): the same events, the same actions.

mod common;
use common::{SEC, settings};
use spurshore::*;
use spurshore_reference::Dispatcher as Reference;
use std::collections::BTreeMap;

/// Draws that are the same each time.
struct Lot(u64);

impl Lot {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

/// What became of a walk.
#[derive(Debug, PartialEq)]
enum End {
    Same,
    /// They sent another message of the same worth, which waits at no loss for now.
    Equals,
}

struct Walk {
    set: Settings,
    new: Dispatcher,
    old: Reference,
    now: Micros,
    lot: Lot,
    next: MsgId,
    /// When the new one is to be woken, and the old one.
    wake: Option<Micros>,
    woken: Option<Micros>,
    /// Class and birth of each message, and its attempts so far.
    msgs: BTreeMap<MsgId, (usize, Micros, u32)>,
    out: BTreeMap<(MsgId, u32), (EndpointId, Micros)>,
    dests: u64,
    /// Of twenty events, how many hand a message in.
    rush: u64,
    /// Messages without an answer, and how many there were at most.
    open: usize,
    most: usize,
}

impl Walk {
    fn new(set: Settings, seed: u64, dests: u64, rush: u64) -> Walk {
        let (new, old) =
            (Dispatcher::new(set.clone(), seed).unwrap(), Reference::new(set.clone(), seed).unwrap());
        let (msgs, out, lot) = (BTreeMap::new(), BTreeMap::new(), Lot(seed));
        Walk {
            set,
            new,
            old,
            now: 100 * SEC,
            lot,
            next: 0,
            wake: None,
            woken: None,
            msgs,
            out,
            dests,
            rush,
            open: 0,
            most: 0,
        }
    }

    fn entry(&mut self, endpoint: EndpointId) -> Entry {
        let state = if self.lot.below(6) == 0 { ListState::Draining } else { ListState::Ready };
        let (dest, weight) = (u64::from(endpoint) / 2, 1.0 + f64::from(endpoint));
        Entry { endpoint, dest, kind: (dest % 2) as usize, zone: endpoint % 2, weight, state, cold: false }
    }

    fn event(&mut self) -> Event {
        let busy = self.out.len() as u64;
        match self.lot.below(20) {
            0 => {
                let all = 0..2 * self.dests as EndpointId;
                let entries = all.filter(|_| self.lot.below(8) > 0).collect::<Vec<_>>();
                let entries = entries.into_iter().map(|e| self.entry(e)).collect();
                Event::List { kind: ListKind::Whole, entries }
            }
            n if n <= self.rush => {
                let (id, class) = (self.next, self.lot.below(self.set.classes.len() as u64) as usize);
                self.next += 1;
                let life = self.set.classes[class].deadline;
                let deadline = self.now + life - self.lot.below(life / 2);
                self.msgs.insert(id, (class, deadline - life, 0));
                self.open += 1;
                self.most = self.most.max(self.open);
                let key = (self.lot.below(2) == 0).then(|| self.lot.below(5));
                let (dest, stream) = (self.lot.below(self.dests), false);
                Event::Submit(Message { id, class, tenant: None, key, deadline, hint: None, dest, stream })
            }
            _ if busy > 0 => {
                let n = self.lot.below(busy) as usize;
                let (&(msg, attempt), &(_, sent)) = self.out.iter().nth(n).unwrap();
                self.out.remove(&(msg, attempt));
                let outcomes = [Outcome::Ok, Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Full];
                let rare = [Outcome::Timeout, Outcome::Reset, Outcome::ConnectFailed, Outcome::Moot];
                let some = if self.lot.below(3) == 0 { &rare[..] } else { &outcomes[..] };
                let outcome = some[self.lot.below(some.len() as u64) as usize];
                let wait = if outcome == Outcome::Full { self.lot.below(2) * 700_000 } else { 0 };
                let (elapsed, finished, report) = (self.now - sent, outcome == Outcome::Ok, Vec::new());
                self.open -= usize::from(finished);
                Event::Completed(Completed { msg, attempt, outcome, elapsed, finished, wait, report })
            }
            _ => Event::Timer { tag: 0 },
        }
    }

    /// Takes so many steps.
    fn go(mut self, steps: u32) -> (End, usize) {
        let first = (0..2 * self.dests as EndpointId).map(|e| self.entry(e)).collect();
        let mut event = Event::List { kind: ListKind::Whole, entries: first };
        for step in 0..steps {
            let acts = self.new.step(self.now, std::slice::from_ref(&event));
            let old = self.old.step(self.now, std::slice::from_ref(&event));
            // Both are woken when either wants it: if one of them looks too late, the other acts before it.
            self.wake = wakes(self.wake, self.now, &acts);
            self.woken = wakes(self.woken, self.now, &old);
            let timer = |act: &Action| matches!(act, Action::Timer { .. });
            let (acts, old): (Vec<_>, Vec<_>) = (
                acts.into_iter().filter(|a| !timer(a)).collect(),
                old.into_iter().filter(|a| !timer(a)).collect(),
            );
            if acts != old {
                assert!(self.equals(&acts, &old), "step {step}, {event:?}:\n{acts:?}\nbefore: {old:?}");
                return (End::Equals, self.most);
            }
            for act in acts {
                match act {
                    Action::Send { msg, endpoint, .. } => {
                        let attempts = &mut self.msgs.get_mut(&msg).unwrap().2;
                        self.out.insert((msg, *attempts), (endpoint, self.now));
                        *attempts += 1;
                    }
                    Action::Refuse { .. } | Action::Fail { .. } => self.open = self.open.saturating_sub(1),
                    _ => {}
                }
            }
            let to = self.now + [0, 1, 900, 40_000, 300_000][self.lot.below(5) as usize];
            event = match self.wake.into_iter().chain(self.woken).min().filter(|at| *at <= to) {
                Some(at) => {
                    self.now = self.now.max(at);
                    Event::Timer { tag: 0 }
                }
                None => {
                    self.now = to;
                    self.event()
                }
            };
        }
        (End::Same, self.most)
    }

    /// The first action that differs sends one of two messages that are worth exactly the same there.
    fn equals(&self, new: &[Action], old: &[Action]) -> bool {
        let differ = new.iter().zip(old).find(|(a, b)| a != b);
        let Some((Action::Send { msg: a, endpoint, .. }, Action::Send { msg: b, endpoint: same, .. })) =
            differ
        else {
            return false;
        };
        let cal = self.new.lane(*endpoint).and_then(|lane| lane.cal).unwrap_or(1_000.0) as Micros;
        let won = |id| {
            let here = self.worth(id, self.now + cal);
            0.25 * here + here - self.worth(id, self.now + cal + 2 * SEC)
        };
        endpoint == same && won(a) == won(b)
    }

    /// As the design has it; all classes of a walk are worth 1 before their aim.
    fn worth(&self, id: &MsgId, at: Micros) -> f64 {
        let (class, born, _) = self.msgs[id];
        let c = &self.set.classes[class];
        let (late, span) = (at.saturating_sub(born + c.aim) as f64, (c.deadline - c.aim) as f64);
        match self.set.decay {
            _ if late <= 0.0 => 1.0,
            _ if at >= born + c.deadline => 0.0,
            Decay::Linear => 1.0 - (1.0 - c.late_worth) * late / span,
            Decay::Halving => 0.5f64.powf(late / c.aim as f64).max(c.late_worth),
        }
    }
}

/// When a module is woken, that has said this now.
fn wakes(pending: Option<Micros>, now: Micros, acts: &[Action]) -> Option<Micros> {
    let told = acts.iter().filter_map(|act| match act {
        Action::Timer { after, .. } => Some(now + after),
        _ => None,
    });
    pending.filter(|at| *at > now).into_iter().chain(told).min()
}

/// Walks with some seeds; returns how many ended the same, of how many, and the most messages open in one.
fn ends(set: impl Fn() -> Settings, dests: u64, rush: u64, steps: u32) -> (usize, usize, usize) {
    let all: Vec<_> = (1..60).map(|seed| Walk::new(set(), seed, dests, rush).go(steps)).collect();
    let most = all.iter().map(|(_, most)| *most).max();
    (all.iter().filter(|(end, _)| *end == End::Same).count(), all.len(), most.unwrap_or(0))
}

fn plain(slots: u32) -> Settings {
    let mut set = settings(slots);
    set.kinds.push(Kind { separate_routes: true });
    set
}

#[test]
fn few_held_are_decided_as_before() {
    let (same, all, _) = ends(|| plain(8), 3, 11, 400);
    assert_eq!(same, all);
}

#[test]
fn many_held_are_decided_as_before_but_for_equals() {
    let longer = || {
        let mut set = plain(2);
        set.classes.truncate(3);
        // Worth most shortly before its end, as the deployment's classes are.
        set.classes.iter_mut().for_each(|class| (class.aim, class.late_worth) = (3 * SEC, 0.4));
        set
    };
    for set in [&longer as &dyn Fn() -> Settings, &|| Settings { decay: Decay::Halving, ..longer() }] {
        let (same, all, most) = ends(set, 2, 17, 600);
        println!("{same} of {all}, {most} open");
        assert!(same > 0 && most > 150, "{same} of {all}, {most} open at most");
    }
}

#[test]
fn a_full_buffer_sheds_as_before() {
    let (same, all, _) = ends(|| Settings { open_cap: 60, ..plain(3) }, 2, 16, 800);
    assert_eq!(same, all);
}

#[test]
fn turns_in_a_crowd_are_waited_for_as_before() {
    let (same, all, _) = ends(|| Settings { siblings: 90, me: 7, ..plain(8) }, 4, 11, 800);
    assert_eq!(same, all);
}
