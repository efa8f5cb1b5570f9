//! The project's own program as a separate process, started with the command of the deploy file.

use std::fs::{self, File};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record;

/// What a deployment's sheet says of its places, and of the settings that depend on it.
#[derive(Debug)]
pub struct Sheet {
    pub region: &'static str,
    pub zones: [&'static str; 4],
    /// `budgetSlack`
    pub budget_slack: u32,
}

pub const SWANREACH: Sheet = Sheet {
    region: "swan-coast",
    zones: ["coast-1", "coast-2", "coast-3", "coast-4"],
    budget_slack: 58,
};

pub const TILLICUM: Sheet = Sheet {
    region: "bc-coast",
    zones: ["burrard", "fraser", "saanich", "squamish"],
    budget_slack: 54,
};

/// What differs between the hosts of a deployment.
#[derive(Debug, Clone)]
pub struct HostSettings {
    pub sheet: &'static Sheet,
    pub name: String,
    pub zone: String,
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
}

/// The ids of the processes that were started and not yet waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started, and ends this one with the exit code of a case that couldn't run.
pub fn give_up(cause: &str) -> ! {
    eprintln!("couldn't run: {cause}");
    record!("couldn't run: {cause}");
    for pid in RUNNING.lock().expect("poisoned").iter() {
        kill(*pid, "KILL");
    }
    std::process::exit(2);
}

fn kill(pid: u32, signal: &str) {
    let _ = Command::new("sh")
        .args(["-c", &format!("kill -{signal} {pid}")])
        .status();
}

pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

/// Fills in the template of the deploy file with the figures of a sheet. The two sheets agree in those that are written here.
fn settings_text(settings: &HostSettings, ports: [u16; 3]) -> String {
    let template = fs::read_to_string("deploy/settings.ini").expect("no template");
    let [callers, ready, peer] = ports;
    let values = [
        ("nodeName", settings.name.clone()),
        ("zone", settings.zone.clone()),
        ("region", settings.sheet.region.to_owned()),
        ("listen.front", format!("127.0.0.1:{callers}")),
        ("listen.ready", format!("127.0.0.1:{ready}")),
        ("ip", "127.0.0.1".to_owned()),
        ("portRange.0", peer.to_string()),
        ("provider.address", settings.store.to_string()),
        ("bounds.graceS", "8".to_owned()),
        ("bounds.retryBudgetRatio", "0.2".to_owned()),
        (
            "bounds.budgetSlack",
            settings.sheet.budget_slack.to_string(),
        ),
        ("bounds.budgetWindowS", "10".to_owned()),
        ("bounds.leaseMs", "3000".to_owned()),
        ("bootstrap", settings.bootstrap.to_string()),
        ("limits.cpuShare", "0.25".to_owned()),
        ("bounds.quotaWindowS", "8".to_owned()),
        ("bounds.quotaOverrun", "0.1".to_owned()),
        ("bounds.quotaSlack", "190000".to_owned()),
    ];
    let mut text = String::new();
    for line in template.lines() {
        let mut line = line.to_owned();
        for (name, value) in &values {
            line = line.replace(&format!("{{{{{name}}}}}"), value);
        }
        // What is left are sections: bounds that this deployment doesn't have, and the list of zones.
        if !line.contains("{{") {
            text.push_str(&line);
            text.push('\n');
        }
    }
    for zone in settings.sheet.zones {
        text.push_str(&format!("{zone} = {}\n", settings.sheet.region));
    }
    text
}

impl Host {
    /// Starts a host, or starts it again with the same settings but for `bootstrap`.
    pub fn start(settings: &HostSettings, folder: &Path) -> Self {
        let ports = [http::free_port(), http::free_port(), free_udp_port()];
        let path = folder.join(format!("{}.ini", settings.name));
        fs::write(&path, settings_text(settings, ports)).expect("settings can't be written");
        let log = folder.join(format!("{}.log", settings.name));
        let output = File::options().create(true).append(true).open(&log);
        let output = output.expect("log can't be written");
        let errors = output.try_clone().expect("log can't be written");
        let child = Command::new("target/release/hibiscusspread")
            .args(["serve", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("host can't be started; run the build of the deploy file first");
        RUNNING.lock().expect("poisoned").push(child.id());
        let pids = File::options()
            .create(true)
            .append(true)
            .open(folder.join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        record!("host {}: started", settings.name);
        Self {
            name: settings.name.clone(),
            callers: SocketAddr::from(([127, 0, 0, 1], ports[0])),
            ready: SocketAddr::from(([127, 0, 0, 1], ports[1])),
            child,
        }
    }

    /// Asks as the platform does whether the host is ready.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        http::call(self.ready, request, Duration::from_millis(500))
            .message
            .status()
            == 200
    }

    /// Waits until the host is ready; returns whether it was within `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal, such as `TERM`, `KILL`, `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        record!("host {}: SIG{signal}", self.name);
        kill(self.child.id(), signal);
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        RUNNING.lock().expect("poisoned").retain(|p| *p != pid);
    }
}

fn free_udp_port() -> u16 {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("no free port");
    socket.local_addr().expect("no address").port()
}
