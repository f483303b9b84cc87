//! The processes of a small deployment. Each has a loopback address of its own, and all use the same ports.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};

use crate::client::Request;

/// The program of the deploy file, relative to the root of the repository.
const PROGRAM: &str = "target/release/sablehaven-platform";

/// Ports that are free on the loopback addresses of all processes.
#[derive(Clone, Copy)]
struct Ports {
    internal: u16,
    control: u16,
    directory: u16,
    front: u16,
    readiness: u16,
}

impl Ports {
    /// Finds a free range of ports below those that the system gives to outgoing connections.
    fn find(ips: &[Ipv4Addr]) -> Self {
        const RANGES: u32 = 540;
        let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
        let starts = (0..RANGES).map(|number| {
            let range = (std::process::id() + number) % RANGES;
            10_000 + range as u16 * 40
        });
        let mut free = starts.filter(|start| (*start..start + 32).all(is_free));
        let first = free.next().expect("free ports");
        Self {
            internal: first,
            control: first + 20,
            directory: first + 21,
            front: first + 22,
            readiness: first + 23,
        }
    }
}

/// One process of the deployment.
pub struct Process {
    pub ip: Ipv4Addr,
    folder: PathBuf,
    settings: Value,
    child: Option<Child>,
}

/// The deployment, whose processes are killed on drop.
pub struct Deployment {
    ports: Ports,
    list: SocketAddr,
    folder: PathBuf,
    pub controls: Vec<Process>,
    pub gateways: Vec<Process>,
}

impl Deployment {
    /// Starts control replicas and gateways for the first time, spread over three zones, with the bounds of the site
    /// `tareas-busca`.
    pub fn start(controls: u8, gateways: u8, list: SocketAddr) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("folder");
        let network = (std::process::id() % 200) as u8 + 20;
        let process = |group: u8, host: u8| Process {
            ip: Ipv4Addr::new(127, network, group, host + 1),
            folder: folder.join(format!("{group}-{host}")),
            settings: Value::Null,
            child: None,
        };
        let controls: Vec<Process> = (0..controls).map(|host| process(1, host)).collect();
        let gateways: Vec<Process> = (0..gateways).map(|host| process(2, host)).collect();
        let ips: Vec<Ipv4Addr> = controls
            .iter()
            .chain(&gateways)
            .map(|process| process.ip)
            .collect();
        let mut deployment = Self {
            ports: Ports::find(&ips),
            list,
            controls,
            gateways,
            folder,
        };
        for index in 0..deployment.controls.len() {
            deployment.start_control(index, true);
        }
        for index in 0..deployment.gateways.len() {
            deployment.start_gateway(index);
        }
        deployment
    }

    pub fn start_control(&mut self, index: usize, bootstrap: bool) {
        let ip = self.controls[index].ip;
        let mut settings = self.settings(ip, index, bootstrap);
        settings["role"] = json!("control");
        settings["machine_class"] = json!("core");
        settings["serves"] = json!(["control", "directory"]);
        settings["in_fault_set"] = json!(true);
        settings["listen"] = json!({
            "control": format!("{ip}:{}", self.ports.control),
            "directory": format!("{ip}:{}", self.ports.directory),
        });
        settings["data_dir"] = json!(self.controls[index].folder.join("data"));
        self.controls[index].start(settings);
    }

    pub fn start_gateway(&mut self, index: usize) {
        let ip = self.gateways[index].ip;
        let mut settings = self.settings(ip, index, true);
        settings["role"] = json!("gateway");
        settings["machine_class"] = json!("front");
        settings["serves"] = json!(["front"]);
        settings["listen"] = json!({
            "front": format!("{ip}:{}", self.ports.front),
            "readiness": format!("{ip}:{}", self.ports.readiness),
        });
        self.gateways[index].start(settings);
    }

    /// Writes another address of the platform's list into all settings files, and sends SIGHUP to the first so many
    /// processes. The file of the others changes without a signal.
    pub fn move_list(&mut self, list: SocketAddr, signalled: usize) {
        self.list = list;
        let processes = self.controls.iter_mut().chain(&mut self.gateways);
        for (index, process) in processes.enumerate() {
            process.settings["cloud"]["address"] = json!(list);
            process.write_settings();
            if index < signalled {
                process.signal(Signal::SIGHUP);
            }
        }
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let address =
            |process: &Process| SocketAddr::new(IpAddr::V4(process.ip), self.ports.control);
        self.controls.iter().map(address).collect()
    }

    pub fn gateway_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.gateways[index].ip), self.ports.front)
    }

    /// Whether the gateway answers its readiness check with 200.
    pub fn is_ready(&self, index: usize) -> bool {
        let address = SocketAddr::new(IpAddr::V4(self.gateways[index].ip), self.ports.readiness);
        let request = Request::new("GET", "/ready", &address.to_string());
        let answer = request.send(address, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until every gateway is ready. Returns whether that happened in time.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let started = Instant::now();
        while !(0..self.gateways.len()).all(|index| self.is_ready(index)) {
            if started.elapsed() > timeout {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        true
    }

    fn settings(&self, ip: Ipv4Addr, index: usize, bootstrap: bool) -> Value {
        let places = [
            ("sala-cordon", "montevideo"),
            ("sala-paysandu", "litoral"),
            ("sala-rivera", "noreste"),
        ];
        let (zone, region) = places[index % places.len()];
        let seeds = self.control_addresses();
        json!({
            "node": format!("node-{ip}"), "ip": ip.to_string(), "zone": zone, "region": region,
            "zones": {"sala-cordon": "montevideo", "sala-paysandu": "litoral", "sala-rivera": "noreste"},
            "port_range": [self.ports.internal, self.ports.internal + 15],
            "seeds": seeds[..seeds.len().min(3)], "bootstrap": bootstrap, "in_fault_set": false,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
                       "disk_mb": 128},
            "data_dir": null, "discovery": "cloud", "entry": "directory", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 5000, "ack_ms": 6000, "catch_up_s": 4,
                "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000,
                "rollback_slack_ms": 250, "max_skew_ms": 15000, "retry_ratio": 0.2, "retry_window_s": 10,
                "retry_slack": 52, "recovery_s": 12, "ttl_max_s": 5,
            },
            "config_mode": "highest",
            "cloud": {"address": self.list, "rate_per_s": 49.0, "duties": [], "lag_ms": 800},
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.controls.iter_mut().chain(&mut self.gateways) {
            process.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    /// Starts the process with the command of the deploy file.
    fn start(&mut self, settings: Value) {
        std::fs::create_dir_all(&self.folder).expect("folder");
        self.settings = settings;
        let path = self.write_settings();
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .expect("log");
        let child = Command::new(PROGRAM)
            .args(["--metrics-port", "9464"])
            .env("SABLEHAVEN_BOOT", path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("start the program");
        self.child = Some(child);
    }

    /// Replaces the settings file in one step.
    fn write_settings(&self) -> PathBuf {
        let path = self.folder.join("settings.json");
        let temporary = self.folder.join("settings.json.new");
        std::fs::write(&temporary, self.settings.to_string()).expect("settings");
        std::fs::rename(&temporary, &path).expect("settings");
        path
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Whether the process has exited by itself.
    pub fn has_exited(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
