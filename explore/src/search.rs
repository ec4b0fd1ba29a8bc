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
/// Up to so many states of the next layer are kept whole, some ten kilobytes each. The others are made
/// again from the paths that lead there: neighbours in a layer share most of theirs.
const WHOLE_MAX: usize = 50_000;

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

/// A state that is new: whole where there is room for it, its parent, and the move there, packed.
type New = (Option<Box<World>>, u32, u16);

/// How each state was first reached: its parent, and the move there, packed. Six bytes a state.
#[derive(Default)]
struct Paths {
    parents: Vec<u32>,
    moves: Vec<u16>,
}

/// A move as the number of its choice among all of a state, and the write that it dies in.
fn pack(choice: usize, die: Option<Die>) -> u16 {
    let die = die.map_or(0, |die| 1 + 2 * die.after as u16 + u16::from(die.torn));
    debug_assert!(choice < 256 && die < 256, "a state has few choices, and a choice few writes");
    (die << 8) | choice as u16
}

fn unpack(world: &World, packed: u16) -> Option<Move> {
    let choice = *world.choices().get(usize::from(packed & 0xFF))?;
    let die = (packed >> 8).checked_sub(1).map(|n| Die { after: u32::from(n / 2), torn: n % 2 == 1 });
    Some(Move { choice, die })
}

impl Paths {
    fn push(&mut self, parent: u32, packed: u16) -> u32 {
        self.parents.push(parent);
        self.moves.push(packed);
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
struct Remade {
    root: World,
    stack: Vec<(u32, World)>,
}

impl Remade {
    fn world(&mut self, paths: &Paths, id: u32) -> &World {
        let chain = paths.chain(id);
        let same = self.stack.iter().zip(&chain).take_while(|((a, _), b)| a == *b).count();
        self.stack.truncate(same);
        for id in &chain[same..] {
            let mut world = self.stack.last().map_or(&self.root, |(_, world)| world).clone();
            // It was found to hold when the node was made.
            if let Some(m) = unpack(&world, paths.moves[*id as usize]) {
                let _ = world.take(m);
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
    let choices = world.choices();
    // The one that goes first whatever else may happen, since nothing else tells whether it has.
    let first = choices.iter().position(|c| reduction && world.is_apart(*c));
    for (n, choice) in choices.into_iter().enumerate() {
        if first.is_some_and(|first| first != n) {
            continue;
        }
        let mut go = |die| {
            let mut next = world.clone();
            let judged = next.take(Move { choice, die });
            let writes = next.writes();
            visit(pack(n, die), next, judged);
            writes
        };
        let writes = go(None);
        if !world.may_die() || first.is_some() {
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

/// Explores the case to its end, a counterexample or a bound.
///
/// # Errors
/// The case's settings make no courier.
pub fn search(case: &Arc<Case>, bounds: &Bounds, mut tell: impl FnMut(Progress)) -> Result<Found, String> {
    let begun = Instant::now();
    let root = World::new(case)?;
    let table = Table::new();
    table.insert(fingerprint(&root, bounds.reduction));
    let mut paths = Paths::default();
    let first = paths.push(0, 0);
    let mut layer: Vec<(Option<Box<World>>, u32)> = vec![(Some(Box::new(root.clone())), first)];
    let (states, moves) = (AtomicU64::new(1), AtomicU64::new(0));
    let (mut depth, mut peak) = (0, resident());
    let stop = AtomicBool::new(false);
    let why = Mutex::new("");
    let verdict = loop {
        let at = AtomicUsize::new(0);
        let made = AtomicUsize::new(0);
        let bad: Mutex<Vec<(u32, u16, Violation)>> = Mutex::new(Vec::new());
        let (nodes, known) = (&layer, &paths);
        let work = || {
            let mut next: Vec<New> = Vec::new();
            let mut remade = Remade { root: root.clone(), stack: Vec::new() };
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
                    let world = match held {
                        Some(world) => world,
                        None => remade.world(known, *id),
                    };
                    let mut any = false;
                    expand(world, case, bounds.reduction, |packed, child, judged| {
                        any = true;
                        moves.fetch_add(1, Relaxed);
                        match judged {
                            Err(violation) => bad.lock().expect("as above").push((*id, packed, violation)),
                            Ok(()) => {
                                if table.insert(fingerprint(&child, bounds.reduction)) {
                                    states.fetch_add(1, Relaxed);
                                    let whole = made.fetch_add(1, Relaxed) < WHOLE_MAX;
                                    next.push((whole.then(|| Box::new(child)), *id, packed));
                                }
                            }
                        }
                    });
                    if !any && let Err(violation) = world.at_rest() {
                        bad.lock().expect("as above").push((*id, u16::MAX, violation));
                    }
                }
            }
        };
        let found: Vec<Vec<New>> = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..bounds.threads.max(1)).map(|_| scope.spawn(work)).collect();
            threads.into_iter().map(|t| t.join().expect("a worker does not panic")).collect()
        });
        peak = peak.max(resident());
        let bad = bad.into_inner().expect("as above");
        let first = bad.into_iter().map(|(id, index, v)| (path(&paths, &root, id, index), v));
        let first = first.min_by(|a, b| (a.0.len(), &a.0).cmp(&(b.0.len(), &b.0)));
        if let Some((path, violation)) = first {
            break Verdict::Broken { path, violation };
        }
        if stop.load(Relaxed) {
            break Verdict::Stopped(*why.lock().expect("as above"));
        }
        drop(std::mem::take(&mut layer));
        for (held, parent, packed) in found.into_iter().flatten() {
            layer.push((held, paths.push(parent, packed)));
        }
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
fn path(paths: &Paths, root: &World, id: u32, last: u16) -> Vec<Move> {
    let mut world = root.clone();
    let mut moves = Vec::new();
    let packed = paths.chain(id).into_iter().map(|id| paths.moves[id as usize]);
    for packed in packed.chain((last != u16::MAX).then_some(last)) {
        let Some(m) = unpack(&world, packed) else { break };
        moves.push(m);
        if world.take(m).is_err() {
            break;
        }
    }
    moves
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
