//! The order in which waiting batch items are offered to the endpoints of their services.
//!
//! Items wait by route. One pass over the queue ([`ItemQueue::next`] with a [`QueuePass`]) offers the items of all routes in the
//! order of their due times. When no service of a route has capacity, the caller puts the item back and skips the route for the
//! rest of the pass, so that items of other routes are still offered: a service without endpoints delays only its own items.

use quillmount_wire::Micros;
use std::collections::{BTreeMap, HashSet};

/// Position of an item among those of its route: by due time, and by the order of [`ItemQueue::push`] at the same due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    due_at: Micros,
    number: u64,
}

/// An item that was taken out of the queue.
#[derive(Debug)]
pub struct QueuedItem<T> {
    /// The item.
    pub item: T,
    route: String,
    position: Position,
}

/// A route that has waiting items.
#[derive(Debug)]
pub struct WaitingRoute<'a, T> {
    /// Its name.
    pub name: &'a str,
    /// Number of its waiting items.
    pub items: usize,
    /// The one of them that is due first.
    pub oldest: &'a T,
}

/// A pass over the queue, with the routes that it no longer offers.
#[derive(Debug, Default)]
pub struct QueuePass {
    skipped_routes: HashSet<String>,
}

impl QueuePass {
    /// Offers no further items of this item's route in this pass.
    pub fn skip_route_of<T>(&mut self, queued: &QueuedItem<T>) {
        self.skipped_routes.insert(queued.route.clone());
    }
}

/// Waiting items by route. It is as large as the items that are pushed: the caller limits their number.
#[derive(Debug)]
pub struct ItemQueue<T> {
    /// Only routes with at least one waiting item.
    routes: BTreeMap<String, BTreeMap<Position, T>>,
    last_number: u64,
}

impl<T> Default for ItemQueue<T> {
    fn default() -> Self {
        ItemQueue { routes: BTreeMap::new(), last_number: 0 }
    }
}

impl<T> ItemQueue<T> {
    /// Adds an item of a route that is due at `due_at`.
    pub fn push(&mut self, route: &str, due_at: Micros, item: T) {
        self.last_number += 1;
        let position = Position { due_at, number: self.last_number };
        self.restore(QueuedItem { item, route: route.to_owned(), position });
    }

    /// Puts an item back at the position that it was taken from.
    pub fn restore(&mut self, queued: QueuedItem<T>) {
        self.routes.entry(queued.route).or_default().insert(queued.position, queued.item);
    }

    /// Takes out the next item of the routes that the pass does not skip. Items that are due at `late_before` or later can still
    /// complete in time and come first, then late items; both are ordered by due time.
    pub fn next(&mut self, pass: &QueuePass, late_before: Micros) -> Option<QueuedItem<T>> {
        let offered = self.routes.iter().filter(|(route, _)| !pass.skipped_routes.contains(*route));
        let heads = offered.filter_map(|(route, items)| Some((next_of_route(items, late_before)?, route)));
        let (position, route) =
            heads.min_by_key(|(position, _)| (position.due_at < late_before, *position))?;
        let route = route.clone();
        self.take(route, position)
    }

    /// Takes out the item of a route that is due first; `None` if the route has no waiting item.
    pub fn take_oldest(&mut self, route: &str) -> Option<QueuedItem<T>> {
        let position = *self.routes.get(route)?.first_key_value()?.0;
        self.take(route.to_owned(), position)
    }

    /// Returns the routes that have waiting items.
    pub fn waiting_routes(&self) -> impl Iterator<Item = WaitingRoute<'_, T>> {
        self.routes.iter().filter_map(|(name, items)| {
            let (_, oldest) = items.first_key_value()?;
            Some(WaitingRoute { name, items: items.len(), oldest })
        })
    }

    /// Returns whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    fn take(&mut self, route: String, position: Position) -> Option<QueuedItem<T>> {
        let items = self.routes.get_mut(&route)?;
        let item = items.remove(&position)?;
        if items.is_empty() {
            self.routes.remove(&route);
        }
        Some(QueuedItem { item, route, position })
    }
}

/// Position of the next item of a route: the first one that is not late, otherwise the first late one.
fn next_of_route<T>(items: &BTreeMap<Position, T>, late_before: Micros) -> Option<Position> {
    let first_in_time = items.range(Position { due_at: late_before, number: 0 }..).next();
    first_in_time.or_else(|| items.first_key_value()).map(|(position, _)| *position)
}
