//! The search: breadth first, layer by layer, on several threads, so that the first counterexample is a
//! shortest one.

use crate::action::{CrashPoint, Transition};
use crate::case::Case;
use crate::case::FaultKind;
use crate::fingerprint::Fingerprint;
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
/// Up to so many states of the next layer are kept whole, some ten kilobytes each. The others are made
/// again from the paths that lead there: neighbours in a layer share most of theirs.
const SNAPSHOTS_MAX: usize = 50_000;

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
    Verified,
    Broken {
        path: Vec<Transition>,
        violation: Violation,
    },
    /// Before its end: nothing is said of what was not reached.
    Stopped(&'static str),
}

#[derive(Clone, Debug)]
pub struct SearchReport {
    pub verdict: Verdict,
    pub states: u64,
    pub transitions: u64,
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
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
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

type Shard = HashSet<u128, BuildHasherDefault<IdentityHasher>>;

struct VisitedStates(Vec<Mutex<Shard>>);

impl VisitedStates {
    fn new() -> Self {
        VisitedStates((0..SHARDS).map(|_| Mutex::default()).collect())
    }

    fn insert(&self, state: u128) -> bool {
        let shard = &self.0[(state >> 120) as usize % SHARDS];
        shard.lock().expect("no thread panics with it").insert(state)
    }
}

/// A state that is new: whole where there is room for it, its parent, and the move there, packed.
type NewState = (Option<Box<World>>, u32, u16);

/// How each state was first reached: its parent, and the move there, packed. Six bytes a state.
#[derive(Default)]
struct Predecessors {
    parents: Vec<u32>,
    transitions: Vec<u16>,
}

/// A move as the number of its choice among all of a state, and the write that it dies in.
fn pack(action: usize, crash: Option<CrashPoint>) -> u16 {
    let crash = crash.map_or(0, |crash| 1 + 2 * crash.after as u16 + u16::from(crash.torn));
    debug_assert!(action < 256 && crash < 256, "a state has few choices, and a choice few writes");
    (crash << 8) | action as u16
}

fn unpack(world: &World, packed: u16) -> Option<Transition> {
    let action = *world.actions().get(usize::from(packed & 0xFF))?;
    let crash =
        (packed >> 8).checked_sub(1).map(|n| CrashPoint { after: u32::from(n / 2), torn: n % 2 == 1 });
    Some(Transition { action, crash })
}

impl Predecessors {
    fn push(&mut self, parent: u32, packed: u16) -> u32 {
        self.parents.push(parent);
        self.transitions.push(packed);
        self.parents.len() as u32 - 1
    }

    /// The nodes from the root's first child to this one.
    fn chain(&self, mut id: u32) -> Vec<u32> {
        let mut chain = Vec::new();
        while id != 0 {
            chain.push(id);
            id = self.parents[id as usize];
        }
        chain.reverse();
        chain
    }
}

/// Makes states again from their paths, on a stack of those on the way to the last one.
struct Rebuilder {
    root: World,
    stack: Vec<(u32, World)>,
}

impl Rebuilder {
    fn world(&mut self, predecessors: &Predecessors, id: u32) -> &World {
        let chain = predecessors.chain(id);
        let same = self.stack.iter().zip(&chain).take_while(|((a, _), b)| a == *b).count();
        self.stack.truncate(same);
        for id in &chain[same..] {
            let mut world = self.stack.last().map_or(&self.root, |(_, world)| world).clone();
            // It was found to hold when the node was made.
            if let Some(m) = unpack(&world, predecessors.transitions[*id as usize]) {
                let _ = world.apply(m);
            }
            self.stack.push((*id, world));
        }
        self.stack.last().map_or(&self.root, |(_, world)| world)
    }
}

/// Every move out of a state, in a fixed order, with what it comes to.
fn expand(
    world: &World,
    case: &Case,
    reduction: bool,
    mut visit: impl FnMut(u16, World, Result<(), Violation>),
) {
    let actions = world.actions();
    // The one that goes first whatever else may happen, since nothing else tells whether it has.
    let first = actions.iter().position(|c| reduction && world.is_independent(*c));
    for (n, action) in actions.into_iter().enumerate() {
        if first.is_some_and(|first| first != n) {
            continue;
        }
        let mut expand_one = |crash| {
            let mut next = world.clone();
            let outcome = next.apply(Transition { action, crash });
            let writes = next.writes();
            visit(pack(n, crash), next, outcome);
            writes
        };
        let writes = expand_one(None);
        if !world.may_crash() || first.is_some() {
            continue;
        }
        for after in 0..=writes {
            if writes > 0 && case.allows(FaultKind::Kill) {
                expand_one(Some(CrashPoint { after, torn: false }));
            }
            if after < writes && case.allows(FaultKind::TornWrite) {
                expand_one(Some(CrashPoint { after, torn: true }));
            }
        }
    }
}

pub fn fingerprint(world: &World, reduction: bool) -> u128 {
    let mut fingerprint = if reduction {
        let (messages, endpoints) = world.active_ids();
        Fingerprint::canonical(messages, endpoints)
    } else {
        Fingerprint::exact()
    };
    world.hash_into(&mut fingerprint);
    fingerprint.digest()
}

/// Resident memory of this process, in bytes; 0 where the system does not tell.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

/// Explores the case to its end, a counterexample or a bound.
///
/// # Errors
/// The case's settings make no courier.
pub fn search(
    case: &Arc<Case>,
    bounds: &Bounds,
    mut on_progress: impl FnMut(Progress),
) -> Result<SearchReport, String> {
    let begun = Instant::now();
    let root = World::new(case)?;
    let visited = VisitedStates::new();
    visited.insert(fingerprint(&root, bounds.reduction));
    let mut predecessors = Predecessors::default();
    let first = predecessors.push(0, 0);
    let mut layer: Vec<(Option<Box<World>>, u32)> = vec![(Some(Box::new(root.clone())), first)];
    let (states, transitions) = (AtomicU64::new(1), AtomicU64::new(0));
    let (mut depth, mut peak) = (0, resident_bytes());
    let stop = AtomicBool::new(false);
    let stop_reason = Mutex::new("");
    let verdict = loop {
        let at = AtomicUsize::new(0);
        let snapshots = AtomicUsize::new(0);
        let violations: Mutex<Vec<(u32, u16, Violation)>> = Mutex::new(Vec::new());
        let (nodes, known) = (&layer, &predecessors);
        let work = || {
            let mut next: Vec<NewState> = Vec::new();
            let mut rebuilder = Rebuilder { root: root.clone(), stack: Vec::new() };
            loop {
                let from = at.fetch_add(CHUNK, Relaxed);
                if from >= nodes.len() || stop.load(Relaxed) {
                    return next;
                }
                if begun.elapsed() > bounds.time || resident_bytes() > bounds.memory {
                    let cause = if begun.elapsed() > bounds.time { "time" } else { "memory" };
                    *stop_reason.lock().expect("no thread panics with it") = cause;
                    stop.store(true, Relaxed);
                    return next;
                }
                for (snapshot, id) in &nodes[from..nodes.len().min(from + CHUNK)] {
                    let world = match snapshot {
                        Some(world) => world,
                        None => rebuilder.world(known, *id),
                    };
                    let mut has_successor = false;
                    expand(world, case, bounds.reduction, |packed, child, outcome| {
                        has_successor = true;
                        transitions.fetch_add(1, Relaxed);
                        match outcome {
                            Err(violation) => {
                                violations.lock().expect("as above").push((*id, packed, violation))
                            }
                            Ok(()) => {
                                if visited.insert(fingerprint(&child, bounds.reduction)) {
                                    states.fetch_add(1, Relaxed);
                                    let keep_snapshot = snapshots.fetch_add(1, Relaxed) < SNAPSHOTS_MAX;
                                    next.push((keep_snapshot.then(|| Box::new(child)), *id, packed));
                                }
                            }
                        }
                    });
                    if !has_successor && let Err(violation) = world.check_quiescent() {
                        violations.lock().expect("as above").push((*id, u16::MAX, violation));
                    }
                }
            }
        };
        let found: Vec<Vec<NewState>> = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..bounds.threads.max(1)).map(|_| scope.spawn(work)).collect();
            threads.into_iter().map(|t| t.join().expect("a worker does not panic")).collect()
        });
        peak = peak.max(resident_bytes());
        let violations = violations.into_inner().expect("as above");
        let first = violations.into_iter().map(|(id, index, v)| (path(&predecessors, &root, id, index), v));
        let first = first.min_by(|a, b| (a.0.len(), &a.0).cmp(&(b.0.len(), &b.0)));
        if let Some((path, violation)) = first {
            break Verdict::Broken { path, violation };
        }
        if stop.load(Relaxed) {
            break Verdict::Stopped(*stop_reason.lock().expect("as above"));
        }
        drop(std::mem::take(&mut layer));
        for (snapshot, parent, packed) in found.into_iter().flatten() {
            layer.push((snapshot, predecessors.push(parent, packed)));
        }
        if layer.is_empty() {
            break Verdict::Verified;
        }
        depth += 1;
        on_progress(Progress {
            states: states.load(Relaxed),
            depth,
            queue: layer.len(),
            seconds: begun.elapsed().as_secs_f64(),
            memory: peak,
        });
    };
    Ok(SearchReport {
        verdict,
        states: states.into_inner(),
        transitions: transitions.into_inner(),
        depth,
        seconds: begun.elapsed().as_secs_f64(),
        memory: peak,
    })
}

/// The moves that lead to a node, and one more if there is one.
fn path(predecessors: &Predecessors, root: &World, id: u32, last: u16) -> Vec<Transition> {
    let mut world = root.clone();
    let mut transitions = Vec::new();
    let packed = predecessors.chain(id).into_iter().map(|id| predecessors.transitions[id as usize]);
    for packed in packed.chain((last != u16::MAX).then_some(last)) {
        let Some(m) = unpack(&world, packed) else { break };
        transitions.push(m);
        if world.apply(m).is_err() {
            break;
        }
    }
    transitions
}

/// Plays a path; says at which move a property broke, if one did.
///
/// # Errors
/// A move is not open where the path has it, or the case makes no courier.
pub fn play(
    case: &Arc<Case>,
    path: &[Transition],
    mut seen: impl FnMut(usize, Transition, &World),
) -> Result<Option<(usize, Violation)>, String> {
    let mut world = World::new(case)?;
    for (n, m) in path.iter().enumerate() {
        if !world.actions().contains(&m.action) {
            return Err(format!("move {}: {m}: is not open there", n + 1));
        }
        let outcome = world.apply(*m);
        seen(n, *m, &world);
        if let Err(violation) = outcome {
            return Ok(Some((n, violation)));
        }
    }
    if world.actions().is_empty()
        && let Err(violation) = world.check_quiescent()
    {
        return Ok(Some((path.len().saturating_sub(1), violation)));
    }
    Ok(None)
}
