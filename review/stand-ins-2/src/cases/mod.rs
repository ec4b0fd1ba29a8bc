//! The scenarios, by name.

mod expected_version;
mod first_start;
mod forged_path;
mod large_configuration;
mod large_job;
mod same_id;
mod two_services;

use crate::Verdict;
use crate::client::{self, BulkRoute, Job};
use crate::endpoint::{Endpoint, Seen};
use crate::platform::Platform;
use crate::record::Record;
use crate::tier::Tier;
use std::io;
use std::path::Path;
use std::time::Duration;

pub type Outcome = io::Result<Verdict>;

pub fn run(case: &str, root: &Path, trouble: bool, record: &Record) -> Outcome {
    match case {
        "expected-version" => expected_version::run(root, trouble, record),
        "forged-path" => forged_path::run(root, trouble, record),
        "first-start" => first_start::run(root, trouble, record),
        "large-configuration" => large_configuration::run(root, trouble, record),
        "large-job" => large_job::run(root, trouble, record),
        "same-id" => same_id::run(root, trouble, record),
        "two-services" => two_services::run(root, trouble, record),
        _ => Err(io::Error::other(format!("there is no case {case}"))),
    }
}

/// A tier that serves, with what its stand-ins saw.
pub struct Running {
    pub tier: Tier,
    pub platform: Platform,
    pub seen: Seen,
}

/// Starts the platform and endpoints (service and number for each), but no process of the project.
pub fn prepare(root: &Path, record: &Record, services: &[(&str, usize)]) -> io::Result<Running> {
    let tier = Tier::new(root, record.clone())?;
    let platform = Platform::start(&tier.platform_address(), record.clone())?;
    let seen = Seen::default();
    let mut number = 0;
    for (service, count) in services {
        for _ in 0..*count {
            let (id, zone) = (format!("i-{number}"), ["din-daeng", "bang-na", "lat-phrao"][number % 3]);
            let endpoint = Endpoint::start(
                &id,
                service,
                &tier.endpoint_address(number),
                zone,
                seen.clone(),
                record.clone(),
            )?;
            platform.endpoints.lock().unwrap().push(endpoint);
            number += 1;
        }
    }
    Ok(Running { tier, platform, seen })
}

/// Starts all machines, has the first configuration taken, and waits until all couriers are ready.
pub fn start(running: &mut Running, record: &Record, couriers: usize, stores: usize, bulk: &[BulkRoute<'_>]) -> io::Result<()> {
    running.tier.start_all(couriers, stores)?;
    let admins = running.tier.admin_addresses(couriers);
    let configuration = client::configuration(7, bulk, "");
    let taken = client::order(
        record,
        &admins,
        "POST /-/config/put",
        0,
        &configuration,
        Duration::from_secs(25),
    );
    if taken.is_none_or(|answer| answer.status() != 200) {
        return Err(io::Error::other("the first configuration was not taken"));
    }
    let ready = client::wait_until_ready(&running.tier, couriers, Duration::from_secs(10));
    if ready < couriers {
        return Err(io::Error::other(format!("{ready} of {couriers} couriers are ready")));
    }
    Ok(())
}

/// How many items each job lists.
pub fn listed(record: &Record, running: &Running, couriers: usize, jobs: &[Job]) -> Vec<usize> {
    jobs.iter()
        .map(|job| client::read_listed(record, &running.tier, couriers, job))
        .collect()
}

/// Whether an item of a job was at an endpoint in the last 5 s.
pub fn was_at_endpoint(running: &Running, job: &Job) -> bool {
    let last = job.items.iter().filter_map(|item| running.seen.of(&item.id).last).max();
    last.is_some_and(|last| last.elapsed() <= Duration::from_secs(5))
}

pub fn sleep_s(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}
