//! The core of a world and its stores: polls, admission, the planning of views, and their publication to the stores.

use crate::core::Core;
use crate::events::Event;
use crate::store::Store;
use crate::world::World;
use quillmount_batch::ShardJobs;
use quillmount_control::Retirement;
use quillmount_test_support::simulation::{MILLI, Simulation, Time};
use quillmount_wire::messages::{DiskId, NodeInfo, NodeRole, Poll, ShardReport, TableVersions};

/// How often the clocks of core members are advanced.
const CORE_TICK_INTERVAL: Time = 25 * MILLI;

/// What a store says of itself in its polls.
fn store_node(name: u32, disk: DiskId) -> NodeInfo {
    NodeInfo {
        name: format!("store-{name}"),
        disk,
        internal: format!("10.0.0.{name}:7360"),
        admin: None,
        zone: "z".to_owned(),
        role: NodeRole::Store,
    }
}

/// The poll of a store, with reports on the shards that it leads.
pub fn store_poll(name: u32, disk: DiskId, shards: Vec<ShardReport>) -> Poll {
    Poll {
        node: store_node(name, disk),
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
    /// Advances the core, and sends the views that it publishes to the stores.
    pub fn run_core(&mut self) {
        let Some(mut core) = self.core.take() else { return };
        if self.is_due_every(CORE_TICK_INTERVAL) {
            core.tick(self.now(), &mut self.random);
        }
        for (at, event) in std::mem::take(&mut core.due) {
            self.schedule(at.max(self.now() + 1), Event::Core(event));
        }
        self.control = core.newest.clone();
        let changed = std::mem::take(&mut core.changed);
        changed.into_iter().for_each(|disk| self.publish_view(&core, disk, None));
        self.core = Some(core);
    }

    /// A primary whose state is recent publishes its view to one store, or to all that are not isolated from the core.
    fn publish_view(&mut self, core: &Core, primary: DiskId, to: Option<u32>) {
        let recent = core.machines[&primary].member.committed_if_recent(self.now());
        let Some(view) = recent.and_then(|state| state.placement.shards.first().cloned()) else { return };
        let names: Vec<u32> =
            self.stores.keys().copied().filter(|name| to.is_none_or(|to| to == *name)).collect();
        for name in
            names.into_iter().filter(|name| !self.isolated_from_core.contains(name)).collect::<Vec<_>>()
        {
            let incarnation = self.stores[&name].process.incarnation();
            let delay = (1 + self.random.below(20)) * MILLI;
            self.schedule(self.now() + delay, Event::View { to: name, incarnation, view: view.clone() });
        }
    }

    /// A store's poll reaches any machine that considers itself primary.
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

    /// Plans the views at the core, or at the one authority, which then sends its view to the stores.
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
        let names: Vec<u32> = self.stores.keys().copied().collect();
        for name in names {
            if !self.isolated_from_core.contains(&name) {
                let incarnation = self.stores[&name].process.incarnation();
                let delay = self.random.below(120) * MILLI;
                self.schedule(now + delay, Event::View { to: name, incarnation, view: view.clone() });
            }
        }
    }

    /// Removes a store that was retired and is empty now, if there is one.
    fn remove_emptied(&mut self) -> Option<u32> {
        let emptied = |name: &&u32| {
            let store = &self.stores[*name];
            !store.removed && self.control.retirement(&format!("store-{name}")) == Retirement::Done
        };
        let name = self.stores.keys().find(emptied).copied()?;
        self.kill(name, true);
        let store = self.stores.get_mut(&name).unwrap();
        store.removed = true;
        store.records.clear();
        store.on_disk = ShardJobs::default();
        Some(name)
    }

    /// Replaces the disk of a member by an empty one, once.
    fn wipe_any_member(&mut self) {
        let members = self.view().map(|view| view.in_sync.clone()).unwrap_or_default();
        let present = |store: &&Store| members.contains(&store.disk) && !store.removed;
        let Some(name) = self.stores.values().find(present).map(|store| store.name) else { return };
        self.wipe_behind_removal = false;
        self.kill(name, true);
        self.add_store(name);
    }

    /// Admits a store by its poll, where there is no core.
    pub fn admit(&mut self, name: u32, disk: DiskId) {
        if self.stores.get(&name).is_some_and(|store| store.disk == disk && !store.removed) {
            self.control.admit_store(&store_node(name, disk));
        }
    }
}
