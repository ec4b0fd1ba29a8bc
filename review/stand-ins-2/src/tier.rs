//! A small deployment of the project's programs on loopback: separate processes, started with the commands of the deploy file.

use crate::record::Record;
use std::fs;
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{SystemTime, UNIX_EPOCH};

const HTTP: u16 = 18689;
const READY: u16 = 18687;
const ADMIN: u16 = 18683;
const INTERNAL: u16 = 17360;
const PLATFORM: u16 = 18688;
const ENDPOINT: u16 = 18080;
const ZONES: [&str; 3] = ["din-daeng", "bang-na", "lat-phrao"];

/// Couriers with a disk, the members of the core.
pub const CORE: usize = 3;

/// A machine with its process.
struct Machine {
    name: String,
    command: Vec<String>,
    settings: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

pub struct Tier {
    root: PathBuf,
    folder: PathBuf,
    block: String,
    record: Record,
    machines: Vec<Machine>,
}

impl Tier {
    /// Finds free addresses and makes a temporary folder; starts nothing.
    pub fn new(root: &Path, record: Record) -> io::Result<Tier> {
        let seed = u64::from(std::process::id())
            ^ SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |now| now.as_nanos() as u64);
        for attempt in 0..200 {
            let number = (seed + attempt) % 50_000;
            let block = format!("127.{}.{}", 40 + number / 250, 1 + number % 250);
            let ports = [HTTP, READY, ADMIN, INTERNAL, PLATFORM, ENDPOINT, 9464, 9465];
            let is_free = |host: u8| {
                ports
                    .iter()
                    .all(|port| TcpListener::bind(format!("{block}.{host}:{port}")).is_ok())
            };
            if [10, 11, 12, 200, 201, 202, 250].into_iter().all(is_free) {
                let folder = std::env::temp_dir().join(format!("quillmount-review-2-{}-{number}", std::process::id()));
                fs::create_dir_all(&folder)?;
                return Ok(Tier {
                    root: root.to_owned(),
                    folder,
                    block,
                    record,
                    machines: Vec::new(),
                });
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// The command of a role in the deploy file.
    fn command_of(&self, role: &str) -> io::Result<Vec<String>> {
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml"))?;
        let mut section = "";
        for line in deploy.lines() {
            if line.starts_with('[') {
                section = line.trim_matches(['[', ']']);
            } else if section == format!("roles.{role}")
                && let Some(command) = line.strip_prefix("run = \"").and_then(|rest| rest.strip_suffix('"'))
            {
                return Ok(command.split(' ').map(str::to_owned).collect());
            }
        }
        Err(io::Error::other(format!("deploy/system.toml has no role {role}")))
    }

    fn ip(&self, role: &str, number: usize) -> String {
        let base = if role == "store" { 200 } else { 10 };
        format!("{}.{}", self.block, base + number)
    }

    pub fn platform_address(&self) -> String {
        format!("{}.251:{PLATFORM}", self.block)
    }

    pub fn endpoint_address(&self, number: usize) -> String {
        format!("{}.{}:{ENDPOINT}", self.block, 100 + number)
    }

    pub fn client_address(&self, courier: usize) -> String {
        format!("{}:{HTTP}", self.ip("courier", courier))
    }

    pub fn ready_address(&self, courier: usize) -> String {
        format!("{}:{READY}", self.ip("courier", courier))
    }

    pub fn admin_addresses(&self, couriers: usize) -> Vec<String> {
        (0..couriers)
            .map(|courier| format!("{}:{ADMIN}", self.ip("courier", courier)))
            .collect()
    }

    /// Writes the settings of a machine and starts its process. Couriers from `CORE` on have no disk.
    pub fn start(&mut self, role: &str, number: usize, bootstrap: bool) -> io::Result<String> {
        let name = format!("{role}-{number}");
        let (ip, zone) = (self.ip(role, number), ZONES[number % 3]);
        let has_disk = role == "store" || number < CORE;
        let folder = self.folder.join(&name);
        fs::create_dir_all(&folder)?;
        let data = if has_disk {
            folder.display().to_string()
        } else {
            String::new()
        };
        let peers: Vec<String> = self.admin_addresses(CORE).iter().map(|peer| format!("\"{peer}\"")).collect();
        let (tier, serves, sockets, limits) = if role == "store" {
            (
                "store",
                "\"store\"",
                String::new(),
                "CpuFrac = 0.5\nNcpu = 1\nRamMb = 310\nNofile = 8200\nNicMbps = 480.0\nDiskMb = 560",
            )
        } else {
            let sockets = format!("Http = \"{ip}:{HTTP}\"\nReadyz = \"{ip}:{READY}\"\nAdmin = \"{ip}:{ADMIN}\"\n");
            let limits = if has_disk { "DiskMb = 64" } else { "DiskMb = 0" };
            let limits = match limits {
                "DiskMb = 64" => "CpuFrac = 0.45\nNcpu = 1\nRamMb = 260\nNofile = 4100\nNicMbps = 1000.0\nDiskMb = 64",
                _ => "CpuFrac = 0.25\nNcpu = 1\nRamMb = 260\nNofile = 4100\nNicMbps = 1000.0",
            };
            ("edge", "\"edge\",\"ctl\"", sockets, limits)
        };
        let counts = has_disk;
        let settings = format!(
            "Hostname = \"{name}\"\nRole = \"{role}\"\nTier = \"{tier}\"\nServes = [{serves}]\nBindIp = \"{ip}\"\nAz = \"{zone}\"\nRegion = \"bkk\"\nPortRange = [{INTERNAL},{}]\nPeers = [{}]\nBootstrap = {bootstrap}\nCountsForQuorum = {counts}\nVarDir = \"{data}\"\nDiscover = \"cloud\"\nIngress = \"vip\"\nHeartbeatMs = 1200\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\",\"tenants\",\"leader\"]\n[Zones]\ndin-daeng = \"bkk\"\nbang-na = \"bkk\"\nlat-phrao = \"bkk\"\n[Sockets]\n{sockets}[Limits]\n{limits}\n[Survive]\nBoxes = 1\nZones = 0\nRegions = 0\n[Slo]\nPeerLagS = 3\nReuseS = 2\nContactMs = 3000\nAckMs = 4000\nSyncS = 5.3\nDrainMs = 3000\nGraceS = 8\nSlackMs = 200\nApplyMs = 2000\nDowngradeMs = 250\nStretchMs = 5000\nRevoked = false\nRevokeMs = 5000\nFencing = true\nLeaseMs = 3000\nThawMs = 300\nReportS = 5\nUsageErr = 0.05\nUsageDelayS = 10\nHealS = 12\npass_ms = 120\nagain_s = 0\nCompleteS = 10\nPollS = 120\nAbortMs = 3000\nSettleMs = 1000\nQuotaExcess = 0.1\n[CloudApi]\nAddress = \"{}\"\nRatePerS = 42.0\nJobs = [\"metering\",\"autoscaler\"]\nLagMs = 800\nJobRateS = 50.0\n",
            INTERNAL + 15,
            peers.join(","),
            self.platform_address()
        );
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, settings)?;
        let machine = Machine {
            name: name.clone(),
            command: self.command_of(role)?,
            settings: file,
            folder,
            child: None,
        };
        self.machines.retain(|existing| existing.name != name);
        self.machines.push(machine);
        self.start_process(&name)?;
        Ok(name)
    }

    /// Starts the process of a machine that was killed, its settings written anew.
    pub fn restart(&mut self, role: &str, number: usize, bootstrap: bool) -> io::Result<()> {
        self.start(role, number, bootstrap).map(drop)
    }

    /// Starts all machines of a new system: the core, further couriers, and stores.
    pub fn start_all(&mut self, couriers: usize, stores: usize) -> io::Result<()> {
        for number in 0..couriers {
            self.start("courier", number, true)?;
        }
        for number in 0..stores {
            self.start("store", number, true)?;
        }
        Ok(())
    }

    /// Starts the process of a machine whose process has ended, with its settings and its disk.
    pub fn start_process(&mut self, name: &str) -> io::Result<()> {
        let (root, record, folder) = (self.root.clone(), self.record.clone(), self.folder.clone());
        let machine = self.machine(name)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))?;
        let child = Command::new(root.join(&machine.command[0]))
            .args(&machine.command[1..])
            .current_dir(&root)
            .env("QUILLMOUNT_NODE_FILE", &machine.settings)
            .env("RUST_LOG", std::env::var("CASE_LOG").unwrap_or_else(|_| "warn".to_owned()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        machine.child = Some(child);
        record.add(format!("started {name}"));
        Ok(())
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self, name: &str) -> io::Result<()> {
        let record = self.record.clone();
        let machine = self.machine(name)?;
        if let Some(mut child) = machine.child.take() {
            child.kill()?;
            child.wait()?;
        }
        record.add(format!("killed {name}"));
        Ok(())
    }

    /// Takes a machine away with its disk.
    pub fn remove(&mut self, name: &str) -> io::Result<()> {
        self.kill(name)?;
        let folder = self.machine(name)?.folder.clone();
        self.machines.retain(|machine| machine.name != name);
        fs::remove_dir_all(folder)?;
        self.record.add(format!("the disk of {name} is gone"));
        Ok(())
    }

    /// Names of machines whose process has ended by itself.
    pub fn ended(&mut self) -> Vec<String> {
        let has_ended = |machine: &mut &mut Machine| {
            machine
                .child
                .as_mut()
                .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
        };
        self.machines
            .iter_mut()
            .filter_map(|mut machine| has_ended(&mut machine).then(|| machine.name.clone()))
            .collect()
    }

    /// The last lines that a process logged at warn or error.
    pub fn log_tail(&self, name: &str, lines: usize) -> Vec<String> {
        let text = fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        let all: Vec<&str> = text.lines().collect();
        all.iter()
            .skip(all.len().saturating_sub(lines))
            .map(|line| (*line).to_owned())
            .collect()
    }

    fn machine(&mut self, name: &str) -> io::Result<&mut Machine> {
        self.machines
            .iter_mut()
            .find(|machine| machine.name == name)
            .ok_or_else(|| io::Error::other(format!("no machine {name}")))
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("CASE_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}
