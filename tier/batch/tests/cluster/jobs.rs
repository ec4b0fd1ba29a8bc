//! Jobs that simulated clients submit.

use quillmount_wire::messages::{Item, Job};

/// Number of items in each job.
pub const ITEMS_PER_JOB: u32 = 6;

pub fn job(id: &str) -> Job {
    let item = |number: u32| Item {
        id: format!("{id}-{number}"),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: vec![number as u8; 8],
        tokens: 1,
    };
    Job {
        id: id.to_owned(),
        tenant: "t".to_owned(),
        route: "r".to_owned(),
        host: "h".to_owned(),
        path: "/p/".to_owned(),
        items: (0..ITEMS_PER_JOB).map(item).collect(),
    }
}
