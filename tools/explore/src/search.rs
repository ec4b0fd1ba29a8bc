//! The search of a world's states: breadth first, layer by layer, on several threads, so that the first counterexample is a
//! shortest one. [`search`] explores a case, [`play`] follows one path.

use crate::action::{CrashPoint, Transition};
use crate::case::{Case, FaultKind};
use crate::fingerprint::Fingerprint;
use crate::monitor::Violation;
use crate::world::World;
use std::collections::HashSet;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Shards of the table of states, so that threads seldom wait for each other.
const SHARDS: usize = 256;
/// Nodes that a thread takes at a time.
const CHUNK: usize = 32;
/// States of the next layer that are stored as snapshots, some ten kilobytes each. The others are rebuilt from the paths
/// that lead there: neighbours in a layer share most of theirs.
const SNAPSHOTS_MAX: usize = 50_000;

/// Limits of a search beside its case.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Threads that expand states.
    pub threads: usize,
    /// Time after which the search stops.
    pub time: Duration,
    /// Bytes of resident memory at which the search stops.
    pub memory: u64,
    /// States that differ only in numbers of messages and endpoints, or in the zero of the clock, count as one.
    pub reduction: bool,
}

/// How a search ended.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Every state was visited, and every property holds.
    Verified,
    /// A property does not hold.
    Broken {
        /// A shortest path to the violation.
        path: Vec<Transition>,
        /// What does not hold.
        violation: Violation,
    },
    /// A bound, which is named, stopped the search: states that were not reached are unknown.
    Stopped(&'static str),
}

/// The result of a search.
#[derive(Clone, Debug)]
pub struct SearchReport {
    /// How it ended.
    pub verdict: Verdict,
    /// Different states visited.
    pub states: u64,
    /// Transitions applied.
    pub transitions: u64,
    /// Layers beyond the root.
    pub depth: u32,
    /// Time taken, in seconds.
    pub seconds: f64,
    /// Greatest resident memory seen, in bytes.
    pub memory: u64,
}

/// How far a search has come, reported after each layer.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Different states visited.
    pub states: u64,
    /// Layers beyond the root.
    pub depth: u32,
    /// States of the next layer.
    pub queue: usize,
    /// Time taken, in seconds.
    pub seconds: f64,
    /// Greatest resident memory seen, in bytes.
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
        shard.lock().expect(NO_PANIC).insert(state)
    }
}

/// A new state: its snapshot, while there is capacity for them, the node of its parent, and the packed transition to it.
type NewState = (Option<Box<World>>, u32, u16);

/// How each state was first reached: the node of its parent, and the packed transition. Six bytes a state.
#[derive(Default)]
struct Predecessors {
    parents: Vec<u32>,
    transitions: Vec<u16>,
}

/// Packs a transition: the index of its action among those of the state, and the crash point.
fn pack(action: usize, crash: Option<CrashPoint>) -> u16 {
    let crash = crash.map_or(0, |crash| 1 + 2 * crash.after as u16 + u16::from(crash.torn));
    debug_assert!(action < 256 && crash < 256, "a state has few actions, and an action few writes");
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

/// Rebuilds states from their paths, with a stack of the states on the way to the last one.
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
            // The properties were checked when the node was found.
            if let Some(m) = unpack(&world, predecessors.transitions[*id as usize]) {
                let _ = world.apply(m);
            }
            self.stack.push((*id, world));
        }
        self.stack.last().map_or(&self.root, |(_, world)| world)
    }
}

/// Visits every transition out of a state, in a fixed order, with its outcome.
fn expand(
    world: &World,
    case: &Case,
    reduction: bool,
    mut visit: impl FnMut(u16, World, Result<(), Violation>),
) {
    let actions = world.actions();
    // An independent action alone is enough: its order among the others makes no difference (partial-order reduction).
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

/// The fingerprint of a state; with the reduction, of all states that count as one with it.
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

/// Resident memory of this process, in bytes; 0 where the system does not report it.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

/// Explores the case to its end, to a counterexample or to a bound.
///
/// # Errors
/// The router rejects the settings of the case.
pub fn search(
    case: &Arc<Case>,
    bounds: &Bounds,
    mut on_progress: impl FnMut(Progress),
) -> Result<SearchReport, String> {
    let search = Search::new(case, bounds)?;
    let mut predecessors = Predecessors::default();
    let first = predecessors.push(0, 0);
    let mut nodes: Vec<LayerNode> = vec![(Some(Box::new(search.root.clone())), first)];
    let mut depth = 0;
    let mut peak = resident_bytes();
    let verdict = loop {
        let layer = Layer::new(&nodes, &predecessors);
        let found = search.explore_layer(&layer);
        peak = peak.max(resident_bytes());
        let violations = layer.violations.into_inner().expect(NO_PANIC);
        if let Some((path, violation)) = shortest_path(&search.root, &predecessors, violations) {
            break Verdict::Broken { path, violation };
        }
        if search.stop.load(Relaxed) {
            break Verdict::Stopped(*search.stop_reason.lock().expect(NO_PANIC));
        }
        // The snapshots of this layer go before those of the next are listed: each takes some ten kilobytes.
        drop(std::mem::take(&mut nodes));
        for (snapshot, parent, packed) in found {
            nodes.push((snapshot, predecessors.push(parent, packed)));
        }
        if nodes.is_empty() {
            break Verdict::Verified;
        }
        depth += 1;
        on_progress(search.progress(depth, nodes.len(), peak));
    };
    Ok(SearchReport {
        verdict,
        states: search.states.load(Relaxed),
        transitions: search.transitions.load(Relaxed),
        depth,
        seconds: search.begun.elapsed().as_secs_f64(),
        memory: peak,
    })
}

/// Why locks of the search can't be poisoned.
const NO_PANIC: &str = "no thread panics with it";

/// A state of a layer: its snapshot, where it has one, and its node.
type LayerNode = (Option<Box<World>>, u32);

/// A violation, and where it was found: the node, and the transition out of it (`u16::MAX`: the node itself).
type FoundViolation = (u32, u16, Violation);

/// One layer of states, all at the same distance from the root, and how far the threads are in it.
struct Layer<'a> {
    nodes: &'a [LayerNode],
    predecessors: &'a Predecessors,
    /// Where the next chunk begins.
    next: AtomicUsize,
    /// Snapshots of states of the next layer so far.
    snapshots: AtomicUsize,
    violations: Mutex<Vec<FoundViolation>>,
}

impl<'a> Layer<'a> {
    fn new(nodes: &'a [LayerNode], predecessors: &'a Predecessors) -> Layer<'a> {
        Layer {
            nodes,
            predecessors,
            next: AtomicUsize::new(0),
            snapshots: AtomicUsize::new(0),
            violations: Mutex::default(),
        }
    }

    fn report(&self, node: u32, packed: u16, violation: Violation) {
        self.violations.lock().expect(NO_PANIC).push((node, packed, violation));
    }
}

/// What the threads of a search share.
struct Search<'a> {
    case: &'a Case,
    bounds: &'a Bounds,
    begun: Instant,
    root: World,
    visited: VisitedStates,
    states: AtomicU64,
    transitions: AtomicU64,
    /// A bound is reached: all threads end.
    stop: AtomicBool,
    stop_reason: Mutex<&'static str>,
}

impl<'a> Search<'a> {
    fn new(case: &'a Arc<Case>, bounds: &'a Bounds) -> Result<Search<'a>, String> {
        let begun = Instant::now();
        let root = World::new(case)?;
        let visited = VisitedStates::new();
        visited.insert(fingerprint(&root, bounds.reduction));
        Ok(Search {
            case,
            bounds,
            begun,
            root,
            visited,
            states: AtomicU64::new(1),
            transitions: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            stop_reason: Mutex::new(""),
        })
    }

    /// Expands all states of a layer on several threads; returns the new states, by thread and in the order found.
    fn explore_layer(&self, layer: &Layer) -> Vec<NewState> {
        std::thread::scope(|scope| {
            let threads: Vec<_> =
                (0..self.bounds.threads.max(1)).map(|_| scope.spawn(|| self.work(layer))).collect();
            threads.into_iter().flat_map(|thread| thread.join().expect("a worker does not panic")).collect()
        })
    }

    /// One thread: expands chunks of the layer until none is left.
    fn work(&self, layer: &Layer) -> Vec<NewState> {
        let mut found = Vec::new();
        let mut rebuilder = Rebuilder { root: self.root.clone(), stack: Vec::new() };
        loop {
            let from = layer.next.fetch_add(CHUNK, Relaxed);
            if from >= layer.nodes.len() || self.stop.load(Relaxed) || self.reaches_bound() {
                return found;
            }
            for (snapshot, id) in &layer.nodes[from..layer.nodes.len().min(from + CHUNK)] {
                let world = match snapshot {
                    Some(world) => world,
                    None => rebuilder.world(layer.predecessors, *id),
                };
                self.expand_node(layer, *id, world, &mut found);
            }
        }
    }

    /// Whether time or memory has run out, which stops the search.
    fn reaches_bound(&self) -> bool {
        let reason = if self.begun.elapsed() > self.bounds.time {
            "time"
        } else if resident_bytes() > self.bounds.memory {
            "memory"
        } else {
            return false;
        };
        *self.stop_reason.lock().expect(NO_PANIC) = reason;
        self.stop.store(true, Relaxed);
        true
    }

    fn expand_node(&self, layer: &Layer, id: u32, world: &World, found: &mut Vec<NewState>) {
        let mut has_successor = false;
        expand(world, self.case, self.bounds.reduction, |packed, child, outcome| {
            has_successor = true;
            self.transitions.fetch_add(1, Relaxed);
            if let Err(violation) = outcome {
                layer.report(id, packed, violation);
            } else if self.visited.insert(fingerprint(&child, self.bounds.reduction)) {
                self.states.fetch_add(1, Relaxed);
                let keep_snapshot = layer.snapshots.fetch_add(1, Relaxed) < SNAPSHOTS_MAX;
                found.push((keep_snapshot.then(|| Box::new(child)), id, packed));
            }
        });
        if !has_successor && let Err(violation) = world.check_quiescent() {
            layer.report(id, u16::MAX, violation);
        }
    }

    fn progress(&self, depth: u32, queue: usize, memory: u64) -> Progress {
        Progress {
            states: self.states.load(Relaxed),
            depth,
            queue,
            seconds: self.begun.elapsed().as_secs_f64(),
            memory,
        }
    }
}

/// The shortest path to one of the violations; of several the first in the order of transitions.
fn shortest_path(
    root: &World,
    predecessors: &Predecessors,
    violations: Vec<FoundViolation>,
) -> Option<(Vec<Transition>, Violation)> {
    let paths = violations.into_iter().map(|(id, packed, v)| (path(predecessors, root, id, packed), v));
    paths.min_by(|a, b| (a.0.len(), &a.0).cmp(&(b.0.len(), &b.0)))
}

/// The transitions that lead to a node, and one more unless `last` is `u16::MAX`.
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

/// Plays a path; returns the index of the transition that violated a property, if one did.
///
/// # Errors
/// A transition is not possible where the path has it, or the router rejects the settings of the case.
pub fn play(
    case: &Arc<Case>,
    path: &[Transition],
    mut visit: impl FnMut(usize, Transition, &World),
) -> Result<Option<(usize, Violation)>, String> {
    let mut world = World::new(case)?;
    for (n, m) in path.iter().enumerate() {
        if !world.actions().contains(&m.action) {
            return Err(format!("move {}: {m}: is not open there", n + 1));
        }
        let outcome = world.apply(*m);
        visit(n, *m, &world);
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
