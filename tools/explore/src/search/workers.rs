//! The threads of a search: they expand the states of one layer, and collect those of the next.

use super::expand::expand;
use super::predecessors::{FoundViolation, PackedTransition, Predecessors, Rebuilder};
use super::report::{Bounds, Progress, SearchReport, StopReason, Verdict};
use super::visited::{VisitedStates, fingerprint};
use crate::case::Case;
use crate::world::{World, WorldError};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

/// Nodes that a thread takes at a time.
const CHUNK: usize = 32;
/// States of the next layer that are stored as snapshots, some ten kilobytes each. The others are rebuilt from the paths
/// that lead there.
const SNAPSHOTS_MAX: usize = 50_000;
/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;
/// Why the lock of a layer can't be poisoned.
const NO_PANIC: &str = "no thread panics with it";

/// A state of a layer.
pub(super) struct LayerNode {
    /// The state, where there was capacity for it.
    pub(super) snapshot: Option<Box<World>>,
    pub(super) node: u32,
}

/// A state that was not visited before.
pub(super) struct NewState {
    /// The state, while there is capacity for it.
    pub(super) snapshot: Option<Box<World>>,
    /// The node of its parent.
    pub(super) parent: u32,
    /// The transition from the parent.
    pub(super) transition: PackedTransition,
}

/// One layer of states, all at the same distance from the root, and how far the threads are in it.
pub(super) struct Layer<'a> {
    nodes: &'a [LayerNode],
    predecessors: &'a Predecessors,
    /// Where the next chunk begins.
    next: AtomicUsize,
    /// Snapshots of states of the next layer so far.
    snapshots: AtomicUsize,
    violations: Mutex<Vec<FoundViolation>>,
}

impl<'a> Layer<'a> {
    pub(super) fn new(nodes: &'a [LayerNode], predecessors: &'a Predecessors) -> Layer<'a> {
        Layer {
            nodes,
            predecessors,
            next: AtomicUsize::new(0),
            snapshots: AtomicUsize::new(0),
            violations: Mutex::default(),
        }
    }

    /// The violations found in this layer, in any order.
    pub(super) fn into_violations(self) -> Vec<FoundViolation> {
        self.violations.into_inner().expect(NO_PANIC)
    }

    fn report(&self, found: FoundViolation) {
        self.violations.lock().expect(NO_PANIC).push(found);
    }
}

/// What the threads of a search share.
pub(super) struct Search<'a> {
    case: &'a Case,
    bounds: &'a Bounds,
    begun: Instant,
    pub(super) root: World,
    visited: VisitedStates,
    states: AtomicU64,
    transitions: AtomicU64,
    /// Set once a bound is reached: all threads end.
    stop_reason: OnceLock<StopReason>,
}

impl<'a> Search<'a> {
    pub(super) fn new(case: &'a Arc<Case>, bounds: &'a Bounds) -> Result<Search<'a>, WorldError> {
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
            stop_reason: OnceLock::new(),
        })
    }

    /// The bound that was reached, if one was.
    pub(super) fn stop_reason(&self) -> Option<StopReason> {
        self.stop_reason.get().copied()
    }

    /// Expands all states of a layer on several threads; returns the new states, by thread and in the order found.
    pub(super) fn explore_layer(&self, layer: &Layer) -> Vec<NewState> {
        std::thread::scope(|scope| {
            let threads: Vec<_> =
                (0..self.bounds.threads.max(1)).map(|_| scope.spawn(|| self.work(layer))).collect();
            threads.into_iter().flat_map(|thread| thread.join().expect("a worker does not panic")).collect()
        })
    }

    /// One thread: expands chunks of the layer until none is left.
    fn work(&self, layer: &Layer) -> Vec<NewState> {
        let mut new_states = Vec::new();
        let mut rebuilder = Rebuilder::new(self.root.clone());
        loop {
            let from = layer.next.fetch_add(CHUNK, Relaxed);
            if from >= layer.nodes.len() || self.stop_reason().is_some() || self.reaches_bound() {
                return new_states;
            }
            for LayerNode { snapshot, node } in &layer.nodes[from..layer.nodes.len().min(from + CHUNK)] {
                let world = match snapshot {
                    Some(world) => world,
                    None => rebuilder.world(layer.predecessors, *node),
                };
                self.expand_node(layer, *node, world, &mut new_states);
            }
        }
    }

    /// Whether time or memory has run out, which stops the search.
    fn reaches_bound(&self) -> bool {
        let reason = if self.begun.elapsed() > self.bounds.time {
            StopReason::Time
        } else if resident_bytes() > self.bounds.memory {
            StopReason::Memory
        } else {
            return false;
        };
        self.stop_reason.get_or_init(|| reason);
        true
    }

    /// Visits all successors of one state.
    fn expand_node(&self, layer: &Layer, node: u32, world: &World, new_states: &mut Vec<NewState>) {
        let mut has_successor = false;
        expand(world, self.case, self.bounds.reduction, |successor| {
            has_successor = true;
            self.transitions.fetch_add(1, Relaxed);
            let transition = successor.transition;
            if let Err(violation) = successor.outcome {
                layer.report(FoundViolation { node, transition: Some(transition), violation });
            } else if self.visited.insert(fingerprint(&successor.world, self.bounds.reduction)) {
                self.states.fetch_add(1, Relaxed);
                let keep_snapshot = layer.snapshots.fetch_add(1, Relaxed) < SNAPSHOTS_MAX;
                let snapshot = keep_snapshot.then(|| Box::new(successor.world));
                new_states.push(NewState { snapshot, parent: node, transition });
            }
        });
        if !has_successor && let Err(violation) = world.check_quiescent() {
            layer.report(FoundViolation { node, transition: None, violation });
        }
    }

    pub(super) fn progress(&self, depth: u32, queue: usize, memory: u64) -> Progress {
        Progress {
            states: self.states.load(Relaxed),
            depth,
            queue,
            seconds: self.begun.elapsed().as_secs_f64(),
            memory,
        }
    }

    pub(super) fn report(&self, verdict: Verdict, depth: u32, memory: u64) -> SearchReport {
        SearchReport {
            verdict,
            states: self.states.load(Relaxed),
            transitions: self.transitions.load(Relaxed),
            depth,
            seconds: self.begun.elapsed().as_secs_f64(),
            memory,
        }
    }
}

/// Resident memory of this process, in bytes; 0 where the system does not report it.
pub(super) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
