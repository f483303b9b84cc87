//! The processes of a deployment, started with the commands of the deploy file. Each has a loopback address of its own,
//! and all use the same ports.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{http, platform::List, record::Record, sys};

pub const ZONES: [(&str, &str); 3] = [("z1", "r1"), ("z2", "r2"), ("z3", "r3")];
/// The platform kills a process this long after SIGTERM: `grace_s` of the site file.
pub const GRACE: Duration = Duration::from_secs(6);
/// `contact_ms` of the site file.
pub const CONTACT: Duration = Duration::from_secs(5);
/// The bounds of the site file `tareas-busca`.
const BOUNDS: &str = r#"{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 5000, "ack_ms": 6000, "catch_up_s": 4,
 "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250,
 "max_skew_ms": 15000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52, "recovery_s": 12, "ttl_max_s": 5}"#;

#[derive(Clone, Copy, PartialEq)]
enum Role {
    Control,
    Gateway,
}

pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    zone: usize,
    folder: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub controls: Vec<Process>,
    pub gateways: Vec<Process>,
    ports: [u16; 5],
    list: SocketAddr,
    folder: PathBuf,
    record: Record,
}

const INTERNAL: usize = 0;
const CONTROL: usize = 1;
const DIRECTORY: usize = 2;
const FRONT: usize = 3;
const READINESS: usize = 4;

impl Fleet {
    /// Starts three control replicas and one gateway a zone, and waits until they answer.
    pub fn start(list: &List, configuration: &str, record: &Record) -> Result<Self, String> {
        let mut fleet = Self::prepare(list, record)?;
        for index in 0..3 {
            fleet.start_control(index, true)?;
        }
        for index in 0..3 {
            fleet.start_gateway(index, true)?;
        }
        fleet.put(configuration)?;
        for index in 0..3 {
            fleet.wait_until_ready(index)?;
        }
        Ok(fleet)
    }

    /// Chooses addresses and ports, and starts nothing yet.
    pub fn prepare(list: &List, record: &Record) -> Result<Self, String> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let network = (pid % 200) as u8 + 20;
        let process = |role, zone: usize| {
            let (kind, third) = match role {
                Role::Control => ("control", 1),
                Role::Gateway => ("gateway", 2),
            };
            let name = format!("{kind}-{}", zone + 1);
            Process {
                folder: folder.join(&name),
                name,
                ip: Ipv4Addr::new(127, network, third, zone as u8 + 1),
                zone,
                child: None,
            }
        };
        Ok(Self {
            controls: (0..3).map(|zone| process(Role::Control, zone)).collect(),
            gateways: (0..3).map(|zone| process(Role::Gateway, zone)).collect(),
            ports: free_ports(),
            list: list.address,
            folder: folder.clone(),
            record: record.clone(),
        })
    }

    pub fn start_control(&mut self, index: usize, bootstrap: bool) -> Result<(), String> {
        self.start_process(Role::Control, index, bootstrap)
    }

    pub fn start_gateway(&mut self, index: usize, bootstrap: bool) -> Result<(), String> {
        self.start_process(Role::Gateway, index, bootstrap)
    }

    /// Starts a gateway again, as the platform does after its end.
    pub fn restart_gateway(&mut self, index: usize) -> Result<(), String> {
        self.start_process(Role::Gateway, index, false)?;
        self.wait_until_ready(index)
    }

    /// Kills every process at once and starts all of them again after `down`, with their disks.
    pub fn kill_all_and_restart(&mut self, down: Duration) -> Result<(), String> {
        for process in self.controls.iter().chain(&self.gateways) {
            process.signal(sys::SIGKILL);
        }
        self.record.add("SIGKILL to every process");
        for process in self.controls.iter_mut().chain(&mut self.gateways) {
            process.kill();
        }
        thread::sleep(down);
        for index in 0..3 {
            self.start_process(Role::Control, index, false)?;
        }
        for index in 0..3 {
            self.start_process(Role::Gateway, index, false)?;
        }
        Ok(())
    }

    fn start_process(&mut self, role: Role, index: usize, bootstrap: bool) -> Result<(), String> {
        let settings = self.settings(role, index, bootstrap);
        let process = match role {
            Role::Control => &mut self.controls[index],
            Role::Gateway => &mut self.gateways[index],
        };
        let error = |error: std::io::Error| format!("start {}: {error}", process.name);
        fs::create_dir_all(process.folder.join("data")).map_err(error)?;
        let path = process.folder.join("settings.json");
        fs::write(&path, settings).map_err(error)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(process.folder.join("log"))
            .map_err(error)?;
        let role_name = match role {
            Role::Control => "control",
            Role::Gateway => "gateway",
        };
        let command = run_command(role_name)?;
        let mut words = command.split(' ');
        let mut start = Command::new(words.next().unwrap_or_default());
        let copy = log.try_clone().map_err(error)?;
        start.args(words).env_clear().env("SABLEHAVEN_BOOT", &path);
        start.stdin(Stdio::null()).stdout(log).stderr(copy);
        let child = start.spawn().map_err(error)?;
        STARTED.lock().unwrap().push(child.id());
        process.child = Some(child);
        self.record.add(format!("start of {}", process.name));
        Ok(())
    }

    fn settings(&self, role: Role, index: usize, bootstrap: bool) -> String {
        let process = match role {
            Role::Control => &self.controls[index],
            Role::Gateway => &self.gateways[index],
        };
        let ip = process.ip;
        let (zone, region) = ZONES[process.zone];
        let port = |key: usize| self.ports[key];
        let seeds: Vec<String> = self
            .controls
            .iter()
            .map(|control| format!("\"{}:{}\"", control.ip, port(CONTROL)))
            .collect();
        let zones: Vec<String> = ZONES
            .iter()
            .map(|(zone, region)| format!("\"{zone}\":\"{region}\""))
            .collect();
        let is_control = role == Role::Control;
        let (class, serves, listen, data, disk) = if is_control {
            let listen = format!(
                "{{\"control\":\"{ip}:{}\",\"directory\":\"{ip}:{}\"}}",
                port(CONTROL),
                port(DIRECTORY)
            );
            let data = format!("\"{}\"", process.folder.join("data").display());
            ("core", "[\"control\",\"directory\"]", listen, data, 128)
        } else {
            let listen = format!(
                "{{\"front\":\"{ip}:{}\",\"readiness\":\"{ip}:{}\"}}",
                port(FRONT),
                port(READINESS)
            );
            ("front", "[\"front\"]", listen, "null".to_owned(), 0)
        };
        let (share, memory) = if is_control { (0.15, 256) } else { (0.25, 260) };
        format!(
            "{{\"node\":\"{name}\",\"role\":\"{class}\",\"machine_class\":\"{class}\",\"serves\":{serves},\"ip\":\"{ip}\",\
             \"zone\":\"{zone}\",\"region\":\"{region}\",\"zones\":{{{zones}}},\"listen\":{listen},\
             \"port_range\":[{internal},{last}],\"seeds\":[{seeds}],\"bootstrap\":{bootstrap},\"in_fault_set\":{is_control},\
             \"limits\":{{\"cpu_share\":{share},\"cores\":1,\"memory_mb\":{memory},\"max_fds\":4100,\"link_mbps\":1000.0,\
             \"disk_mb\":{disk}}},\"data_dir\":{data},\"discovery\":\"cloud\",\"entry\":\"directory\",\"heartbeat_ms\":1200,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\"],\
             \"fault_tolerance\":{{\"machines\":1,\"zones\":0,\"regions\":0}},\"bounds\":{BOUNDS},\"config_mode\":\"highest\",\
             \"cloud\":{{\"address\":\"{list}\",\"rate_per_s\":49.0,\"duties\":[],\"lag_ms\":800}}}}",
            name = process.name,
            zones = zones.join(","),
            internal = port(INTERNAL),
            last = port(INTERNAL) + 15,
            seeds = seeds.join(","),
            list = self.list,
        )
    }

    /// Sends a configuration as the operator does, until it is acknowledged.
    pub fn put(&self, configuration: &str) -> Result<(), String> {
        let started = Instant::now();
        let mut turn = 0;
        while started.elapsed() < Duration::from_secs(25) {
            let control = &self.controls[turn % 3];
            let address = SocketAddr::new(IpAddr::V4(control.ip), self.ports[CONTROL]);
            let request = format!(
                "POST /Config.Put HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
            );
            let answer = http::call(address, &request, configuration.as_bytes());
            let seen = match &answer {
                Ok(answer) if answer.status() == 200 => {
                    let line = format!("{} acknowledges the configuration", control.name);
                    self.record.add(line);
                    return Ok(());
                }
                Ok(answer) => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    format!("{} {}", answer.status(), body.trim())
                }
                Err(error) => error.to_string(),
            };
            let line = format!("{} answers the operator: {seen}", control.name);
            self.record.add(line);
            turn += 1;
            thread::sleep(Duration::from_millis(200));
        }
        Err("the configuration was not acknowledged".to_owned())
    }

    pub fn wait_until_ready(&self, index: usize) -> Result<(), String> {
        let gateway = &self.gateways[index];
        let address = SocketAddr::new(IpAddr::V4(gateway.ip), self.ports[READINESS]);
        let request = format!("GET /ready HTTP/1.1\r\nHost: {address}\r\n");
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(15) {
            if http::call(address, &request, b"").is_ok_and(|answer| answer.status() == 200) {
                self.record.add(format!("{} is ready", gateway.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{} is not ready", gateway.name))
    }

    /// The front addresses that the directory of a zone's control replica names to a client of the zone, if any.
    pub fn resolve(&self, index: usize) -> Vec<SocketAddr> {
        let control = &self.controls[index];
        let address = SocketAddr::new(IpAddr::V4(control.ip), self.ports[DIRECTORY]);
        let (zone, region) = ZONES[index];
        let request = format!(
            "GET /resolve?name=h.example&region={region}&zone={zone} HTTP/1.1\r\nHost: {address}\r\n"
        );
        let Ok(answer) = http::call(address, &request, b"") else {
            return Vec::new();
        };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let words = body.split('"');
        words.filter_map(|word| word.parse().ok()).collect()
    }

    /// Asks the directory of the zone's control replica as a client of that zone; whether it names the gateway.
    pub fn directory_names(&self, index: usize) -> bool {
        let control = &self.controls[index];
        let address = SocketAddr::new(IpAddr::V4(control.ip), self.ports[DIRECTORY]);
        let (zone, region) = ZONES[index];
        let request = format!(
            "GET /resolve?name=h.example&region={region}&zone={zone} HTTP/1.1\r\nHost: {address}\r\n"
        );
        let answer = http::call(address, &request, b"");
        let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
        let body = body.unwrap_or_default();
        self.record.add(format!(
            "the directory of {} answers {}",
            control.name,
            body.trim()
        ));
        body.contains(&format!("\"{}:", self.gateways[index].ip))
    }

    /// Reads the configuration at a control replica; `None` if it does not come. A redirect is followed.
    pub fn read_configuration(&self, index: usize) -> Option<String> {
        let control = &self.controls[index];
        let mut address = SocketAddr::new(IpAddr::V4(control.ip), self.ports[CONTROL]);
        for _ in 0..3 {
            let request = format!("GET /Config.Get HTTP/1.1\r\nHost: {address}\r\n");
            let answer = http::call(address, &request, b"");
            let seen = match &answer {
                Ok(answer) => answer.status().to_string(),
                Err(error) => error.to_string(),
            };
            let line = format!("{address} answers to Config.Get: {seen}");
            self.record.add(line);
            let answer = answer.ok()?;
            if answer.status() == 200 {
                return Some(String::from_utf8_lossy(&answer.body).into_owned());
            }
            let location = answer.header("location")?.strip_prefix("http://")?;
            address = location.split('/').next()?.parse().ok()?;
        }
        None
    }

    pub fn front_port(&self) -> u16 {
        self.ports[FRONT]
    }
}

impl Process {
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            sys::signal(child.id(), signal);
        }
    }

    pub fn log_path(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Removes the data folder's content, as if the machine had lost its disk.
    pub fn lose_disk(&self) -> Result<(), String> {
        let data = self.folder.join("data");
        fs::remove_dir_all(&data).map_err(|error| error.to_string())
    }

    /// Waits until the process has ended by itself or the time is over. Returns whether it has ended.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            let ended = self
                .child
                .as_mut()
                .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
            if ended {
                if let Some(child) = self.child.take() {
                    forget(child.id());
                }
                return true;
            }
            thread::sleep(Duration::from_millis(1));
        }
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            sys::signal(child.id(), sys::SIGKILL);
            let _ = child.wait();
            forget(child.id());
        }
    }
}

fn forget(pid: u32) {
    STARTED.lock().unwrap().retain(|started| *started != pid);
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.controls.iter_mut().chain(&mut self.gateways) {
            process.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The ids of all processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that still run.
pub fn kill_all() {
    for pid in STARTED.lock().unwrap().iter() {
        sys::signal(*pid, sys::SIGKILL);
    }
}

/// The command of a role in the deploy file.
fn run_command(role: &str) -> Result<String, String> {
    let text =
        fs::read_to_string(Path::new("deploy/system.toml")).map_err(|error| error.to_string())?;
    let section = text.split(&format!("[roles.{role}]")).nth(1);
    let line =
        section.and_then(|section| section.lines().find(|line| line.trim().starts_with("run")));
    let command = line.and_then(|line| line.split('"').nth(1));
    command
        .map(str::to_owned)
        .ok_or_else(|| format!("no command for {role} in deploy/system.toml"))
}

/// Ports that are free on every loopback address; the ports after the first one are left to the processes.
fn free_ports() -> [u16; 5] {
    let bind = || TcpListener::bind("0.0.0.0:0").expect("free port");
    loop {
        let listeners: Vec<TcpListener> = (0..5).map(|_| bind()).collect();
        let port = |index: usize| listeners[index].local_addr().expect("address").port();
        let ports = [port(0), port(1), port(2), port(3), port(4)];
        let next = ports[INTERNAL].checked_add(1);
        let is_next_free = next.is_some_and(|next| TcpListener::bind(("0.0.0.0", next)).is_ok());
        if is_next_free && ports[INTERNAL] < u16::MAX - 15 {
            return ports;
        }
    }
}
