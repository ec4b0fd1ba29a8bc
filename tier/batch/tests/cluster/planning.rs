//! Interaction of stores and core: polls, admission, the planning of views, and their publication to the stores.

use crate::core::Core;
use crate::events::Event;
use crate::store::Store;
use crate::world::World;
use quillmount_batch::ShardJobs;
use quillmount_control::Retirement;
use quillmount_test_support::simulation::{MILLI, Simulation, Time};
use quillmount_wire::messages::{DiskId, NodeInfo, NodeRole, Poll, ShardReport, TableVersions};

/// Interval between two ticks of the core members.
const CORE_TICK_INTERVAL: Time = 25 * MILLI;

/// The description of a store in its polls.
fn store_node(store_number: u32, disk: DiskId) -> NodeInfo {
    NodeInfo {
        name: format!("store-{store_number}"),
        disk,
        internal: format!("10.0.0.{store_number}:7360"),
        admin: None,
        zone: "z".to_owned(),
        role: NodeRole::Store,
    }
}

/// A poll of a store, with reports on the shards of which it is primary.
pub fn store_poll(store_number: u32, disk: DiskId, shards: Vec<ShardReport>) -> Poll {
    Poll {
        node: store_node(store_number, disk),
        incarnation: disk,
        known_versions: TableVersions::default(),
        max_wait_ms: 0,
        usage: Vec::new(),
        shards,
        draining: false,
        relayed: false,
        demand: Vec::new(),
        items: Vec::new(),
    }
}

impl World {
    /// Ticks the core, and sends the views that it publishes to the stores.
    pub fn run_core(&mut self) {
        let Some(mut core) = self.core.take() else { return };
        if self.is_due_every(CORE_TICK_INTERVAL) {
            core.tick(self.now(), &mut self.random);
        }
        for (due_at, event) in std::mem::take(&mut core.due) {
            self.schedule(due_at.max(self.now() + 1), Event::Core(event));
        }
        self.control = core.newest.clone();
        let changed = std::mem::take(&mut core.changed);
        changed.into_iter().for_each(|disk| self.publish_view(&core, disk, None));
        self.core = Some(core);
    }

    /// Sends the view of a core primary whose state is recent to one store, or to all stores that can reach the
    /// core.
    fn publish_view(&mut self, core: &Core, primary: DiskId, to: Option<u32>) {
        let recent = core.machines[&primary].member.committed_if_recent(self.now());
        let Some(view) = recent.and_then(|state| state.placement.shards.first().cloned()) else { return };
        let store_numbers: Vec<u32> = self
            .stores
            .keys()
            .copied()
            .filter(|store_number| to.is_none_or(|to| to == *store_number))
            .collect();
        for store_number in store_numbers
            .into_iter()
            .filter(|store_number| !self.isolated_from_core.contains(store_number))
            .collect::<Vec<_>>()
        {
            let incarnation = self.stores[&store_number].process.incarnation();
            let delay = (1 + self.random.below(20)) * MILLI;
            self.schedule(
                self.now() + delay,
                Event::View { to: store_number, incarnation, view: view.clone() },
            );
        }
    }

    /// Delivers a store's poll to a random machine of the core that considers itself primary.
    pub fn poll_core(&mut self, from: u32, disk: DiskId, reports: Vec<ShardReport>) {
        let Some(mut core) = self.core.take() else { return };
        let serving = core.serving(self.now());
        if !serving.is_empty()
            && self.stores.get(&from).is_some_and(|store| store.disk == disk && !store.removed)
        {
            let primary = serving[self.random.index(serving.len())];
            core.poll(primary, &store_poll(from, disk, reports), self.now(), &mut self.random);
            self.publish_view(&core, primary, Some(from));
        }
        self.core = Some(core);
    }

    /// Plans the views at the core, or at the single authority, which then sends its view to the stores.
    pub fn plan(&mut self) {
        let now = self.now();
        if let Some(core) = &mut self.core {
            core.plan(now, &mut self.random);
            if self.remove_emptied().is_some() && self.wipe_behind_removal {
                self.wipe_any_member();
            }
            return;
        }
        let inputs = self.leases.plan_inputs(self.tolerated_failures, now);
        if self.control.placement.stores.len() > self.tolerated_failures {
            self.control.plan_shards(&inputs);
            self.control.placement.shards.truncate(1);
        }
        if self.remove_emptied().is_some() && self.wipe_behind_removal {
            self.wipe_any_member();
        }
        let Some(view) = self.view().cloned() else { return };
        let store_numbers: Vec<u32> = self.stores.keys().copied().collect();
        for store_number in store_numbers {
            if !self.isolated_from_core.contains(&store_number) {
                let incarnation = self.stores[&store_number].process.incarnation();
                let delay = self.random.below(120) * MILLI;
                self.schedule(now + delay, Event::View { to: store_number, incarnation, view: view.clone() });
            }
        }
    }

    /// Removes a retired store that is empty now, if there is one, and returns its number.
    fn remove_emptied(&mut self) -> Option<u32> {
        let is_emptied = |store_number: &&u32| {
            let store = &self.stores[*store_number];
            !store.removed && self.control.retirement(&format!("store-{store_number}")) == Retirement::Done
        };
        let store_number = self.stores.keys().find(is_emptied).copied()?;
        self.kill(store_number, true);
        let store = self.stores.get_mut(&store_number).unwrap();
        store.removed = true;
        store.records.clear();
        store.on_disk = ShardJobs::default();
        Some(store_number)
    }

    /// Replaces the disk of a member by an empty one, once.
    fn wipe_any_member(&mut self) {
        let members = self.view().map(|view| view.in_sync.clone()).unwrap_or_default();
        let is_member = |store: &&Store| members.contains(&store.disk) && !store.removed;
        let Some(store_number) = self.stores.values().find(is_member).map(|store| store.number) else {
            return;
        };
        self.wipe_behind_removal = false;
        self.kill(store_number, true);
        self.add_store(store_number);
    }

    /// Admits a store by its poll, in a world without a core.
    pub fn admit(&mut self, store_number: u32, disk: DiskId) {
        if self.stores.get(&store_number).is_some_and(|store| store.disk == disk && !store.removed) {
            self.control.admit_store(&store_node(store_number, disk));
        }
    }
}
