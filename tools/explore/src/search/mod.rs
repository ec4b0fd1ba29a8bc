//! The search of a world's states: breadth first, layer by layer, on several threads, so that the first counterexample is a
//! shortest one. [`search`] explores a case, [`play`] follows one path.
//!
//! `report` has the bounds and the result. `workers` expands a layer on several threads, `expand` applies all transitions of
//! one state, `visited` recognises states, and `predecessors` remembers how each was reached.

mod ambiguity;
mod expand;
mod play;
mod predecessors;
mod report;
mod visited;
mod workers;

pub use ambiguity::{Ambiguity, find_ambiguity};
pub use play::{PathViolation, PlayError, play};
pub use report::{Bounds, Progress, SearchReport, StopReason, Verdict};
pub use visited::fingerprint;

use crate::case::Case;
use crate::world::WorldError;
use predecessors::{PackedTransition, Predecessors, shortest_path};
use std::sync::Arc;
use workers::{Layer, LayerNode, Search, resident_bytes};

/// Explores the case to its end, to a counterexample or to a bound.
///
/// # Errors
/// The router rejects the settings of the case.
pub fn search(
    case: &Arc<Case>,
    bounds: &Bounds,
    mut on_progress: impl FnMut(Progress),
) -> Result<SearchReport, WorldError> {
    let search = Search::new(case, bounds)?;
    let mut predecessors = Predecessors::default();
    let root = predecessors.push(0, PackedTransition::default());
    let mut nodes = vec![LayerNode { snapshot: Some(Box::new(search.root.clone())), node: root }];
    let mut depth = 0;
    let mut peak_memory = resident_bytes();
    let verdict = loop {
        let layer = Layer::new(&nodes, &predecessors);
        let new_states = search.explore_layer(&layer);
        peak_memory = peak_memory.max(resident_bytes());
        if let Some(found) = shortest_path(&search.root, &predecessors, layer.into_violations()) {
            break Verdict::Broken { path: found.path, violation: found.violation };
        }
        if let Some(reason) = search.stop_reason() {
            break Verdict::Stopped(reason);
        }
        // The snapshots of this layer go before those of the next are listed: each takes some ten kilobytes.
        drop(std::mem::take(&mut nodes));
        for state in new_states {
            let node = predecessors.push(state.parent, state.transition);
            nodes.push(LayerNode { snapshot: state.snapshot, node });
        }
        if nodes.is_empty() {
            break Verdict::Verified;
        }
        depth += 1;
        on_progress(search.progress(depth, nodes.len(), peak_memory));
    };
    Ok(search.report(verdict, depth, peak_memory))
}
