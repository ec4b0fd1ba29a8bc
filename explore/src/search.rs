//! The search: breadth first, layer by layer, on several threads, so that the first counterexample is a
//! shortest one.

use crate::case::Case;
use crate::case::Event;
use crate::choice::{Die, Move};
use crate::finger::Finger;
use crate::monitor::Violation;
use crate::world::World;
use std::collections::HashSet;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Parts of the table of states, so that threads seldom wait for each other.
const SHARDS: usize = 256;
/// Nodes that a thread takes at a time.
const CHUNK: usize = 32;
/// Up to so many states of the next layer are kept whole; beyond, a parent and a move stand for each.
const WHOLE_MAX: usize = 40_000;

/// What bounds a search beside its case.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub threads: usize,
    pub time: Duration,
    /// Bytes of resident memory.
    pub memory: u64,
    /// States that differ in names or in the clock's zero only are one.
    pub reduction: bool,
}

/// How a search ended.
#[derive(Clone, Debug)]
pub enum Verdict {
    Holds,
    Broken {
        path: Vec<Move>,
        violation: Violation,
    },
    /// Before its end: nothing is said of what was not reached.
    Stopped(&'static str),
}

#[derive(Clone, Debug)]
pub struct Found {
    pub verdict: Verdict,
    pub states: u64,
    pub moves: u64,
    pub depth: u32,
    pub seconds: f64,
    /// Bytes of resident memory at most.
    pub memory: u64,
}

/// How far a search is.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    pub states: u64,
    pub depth: u32,
    pub queue: usize,
    pub seconds: f64,
    pub memory: u64,
}

#[derive(Default)]
struct Ready(u64);

impl Hasher for Ready {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.0 = self.0.rotate_left(8) ^ u64::from(*b));
    }
    fn write_u128(&mut self, n: u128) {
        self.0 = n as u64;
    }
}

type Shard = HashSet<u128, BuildHasherDefault<Ready>>;

struct Table(Vec<Mutex<Shard>>);

impl Table {
    fn new() -> Self {
        Table((0..SHARDS).map(|_| Mutex::default()).collect())
    }

    fn insert(&self, state: u128) -> bool {
        let shard = &self.0[(state >> 120) as usize % SHARDS];
        shard.lock().expect("no thread panics with it").insert(state)
    }
}

#[derive(Clone)]
enum Held {
    Whole(Arc<World>),
    Step(Arc<World>, Move),
}

impl Held {
    fn world(self) -> Arc<World> {
        match self {
            Held::Whole(world) => world,
            Held::Step(parent, m) => {
                let mut world = (*parent).clone();
                // It was found to hold when the node was made.
                let _ = world.take(m);
                Arc::new(world)
            }
        }
    }
}

/// Every move out of a state, in a fixed order, with what it comes to.
pub fn expand(world: &World, case: &Case, mut visit: impl FnMut(Move, World, Result<(), Violation>)) {
    for choice in world.choices() {
        let mut go = |die| {
            let m = Move { choice, die };
            let mut next = world.clone();
            let judged = next.take(m);
            let writes = next.writes();
            visit(m, next, judged);
            writes
        };
        let writes = go(None);
        if !world.may_die() {
            continue;
        }
        for after in 0..=writes {
            if writes > 0 && case.may(Event::Kill) {
                go(Some(Die { after, torn: false }));
            }
            if after < writes && case.may(Event::Tear) {
                go(Some(Die { after, torn: true }));
            }
        }
    }
}

pub fn fingerprint(world: &World, reduction: bool) -> u128 {
    let mut finger = if reduction {
        let (messages, endpoints) = world.names();
        Finger::reduced(messages, endpoints)
    } else {
        Finger::plain()
    };
    world.see(&mut finger);
    finger.done()
}

/// Resident memory of this process, in bytes; 0 where the system does not tell.
pub fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

struct Step {
    parent: u32,
    index: u16,
}

/// Explores the case to its end, a counterexample or a bound.
///
/// # Errors
/// The case's settings make no courier.
pub fn search(case: &Arc<Case>, bounds: &Bounds, mut tell: impl FnMut(Progress)) -> Result<Found, String> {
    let begun = Instant::now();
    let root = World::new(case)?;
    let table = Table::new();
    table.insert(fingerprint(&root, bounds.reduction));
    let mut steps: Vec<Step> = vec![Step { parent: u32::MAX, index: 0 }];
    let mut layer: Vec<(Held, u32)> = vec![(Held::Whole(Arc::new(root)), 0)];
    let (states, moves) = (AtomicU64::new(1), AtomicU64::new(0));
    let (mut depth, mut peak) = (0, resident());
    let stop = AtomicBool::new(false);
    let why = Mutex::new("");
    let verdict = loop {
        let at = AtomicUsize::new(0);
        let made = AtomicUsize::new(0);
        let bad: Mutex<Vec<(u32, u16, Violation)>> = Mutex::new(Vec::new());
        let nodes = &layer;
        let work = || {
            let mut next: Vec<(Held, u32, u16)> = Vec::new();
            loop {
                let from = at.fetch_add(CHUNK, Relaxed);
                if from >= nodes.len() || stop.load(Relaxed) {
                    return next;
                }
                if begun.elapsed() > bounds.time || resident() > bounds.memory {
                    let cause = if begun.elapsed() > bounds.time { "time" } else { "memory" };
                    *why.lock().expect("no thread panics with it") = cause;
                    stop.store(true, Relaxed);
                    return next;
                }
                for (held, id) in &nodes[from..nodes.len().min(from + CHUNK)] {
                    let world = held.clone().world();
                    let mut index = 0;
                    let mut any = false;
                    expand(&world, case, |m, child, judged| {
                        any = true;
                        moves.fetch_add(1, Relaxed);
                        match judged {
                            Err(violation) => bad.lock().expect("as above").push((*id, index, violation)),
                            Ok(()) => {
                                if table.insert(fingerprint(&child, bounds.reduction)) {
                                    states.fetch_add(1, Relaxed);
                                    let whole = made.fetch_add(1, Relaxed) < WHOLE_MAX;
                                    let held = match whole {
                                        true => Held::Whole(Arc::new(child)),
                                        false => Held::Step(world.clone(), m),
                                    };
                                    next.push((held, *id, index));
                                }
                            }
                        }
                        index += 1;
                    });
                    if !any && let Err(violation) = world.at_rest() {
                        bad.lock().expect("as above").push((*id, u16::MAX, violation));
                    }
                }
            }
        };
        let found: Vec<Vec<(Held, u32, u16)>> = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..bounds.threads.max(1)).map(|_| scope.spawn(work)).collect();
            threads.into_iter().map(|t| t.join().expect("a worker does not panic")).collect()
        });
        peak = peak.max(resident());
        let bad = bad.into_inner().expect("as above");
        let first = bad.into_iter().map(|(id, index, v)| (path(&steps, id, index, case), v));
        let first = first.min_by(|a, b| (a.0.len(), &a.0).cmp(&(b.0.len(), &b.0)));
        if let Some((path, violation)) = first {
            break Verdict::Broken { path, violation };
        }
        if stop.load(Relaxed) {
            break Verdict::Stopped(*why.lock().expect("as above"));
        }
        let mut next = Vec::new();
        for (held, parent, index) in found.into_iter().flatten() {
            let id = steps.len() as u32;
            steps.push(Step { parent, index });
            next.push((held, id));
        }
        layer = next;
        if layer.is_empty() {
            break Verdict::Holds;
        }
        depth += 1;
        tell(Progress {
            states: states.load(Relaxed),
            depth,
            queue: layer.len(),
            seconds: begun.elapsed().as_secs_f64(),
            memory: peak,
        });
    };
    Ok(Found {
        verdict,
        states: states.into_inner(),
        moves: moves.into_inner(),
        depth,
        seconds: begun.elapsed().as_secs_f64(),
        memory: peak,
    })
}

/// The moves that lead to a node, and one more if there is one.
fn path(steps: &[Step], id: u32, last: u16, case: &Arc<Case>) -> Vec<Move> {
    let mut indices = Vec::new();
    if last != u16::MAX {
        indices.push(last);
    }
    let mut at = id;
    while let Some(step) = steps.get(at as usize).filter(|step| step.parent != u32::MAX) {
        indices.push(step.index);
        at = step.parent;
    }
    let mut world = World::new(case).expect("it was made before");
    let mut path = Vec::new();
    for index in indices.into_iter().rev() {
        let mut taken = None;
        let mut n = 0;
        expand(&world, case, |m, child, _| {
            if n == index {
                taken = Some((m, child));
            }
            n += 1;
        });
        let Some((m, child)) = taken else { break };
        path.push(m);
        world = child;
    }
    path
}

/// Plays a path; says at which move a property broke, if one did.
///
/// # Errors
/// A move is not open where the path has it, or the case makes no courier.
pub fn play(
    case: &Arc<Case>,
    path: &[Move],
    mut seen: impl FnMut(usize, Move, &World),
) -> Result<Option<(usize, Violation)>, String> {
    let mut world = World::new(case)?;
    for (n, m) in path.iter().enumerate() {
        if !world.choices().contains(&m.choice) {
            return Err(format!("move {}: {m}: is not open there", n + 1));
        }
        let judged = world.take(*m);
        seen(n, *m, &world);
        if let Err(violation) = judged {
            return Ok(Some((n, violation)));
        }
    }
    if world.choices().is_empty()
        && let Err(violation) = world.at_rest()
    {
        return Ok(Some((path.len().saturating_sub(1), violation)));
    }
    Ok(None)
}
