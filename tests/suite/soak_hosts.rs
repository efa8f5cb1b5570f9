//! The hosts of the soak test: processes of the real program that are stopped, paused, killed and restarted by signals.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ExitStatus};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use hibiscusspread::process::shard::lock;

use crate::processes::{self, binary, free_address, is_ready};

/// The grace period of the hosts' settings: the time from SIGTERM within which a host must exit.
pub const GRACE: Duration = Duration::from_secs(3);

/// The extra time that a host may take on a loaded machine.
const GRACE_SLACK: Duration = Duration::from_secs(1);

/// The time within which a host must be ready after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Creates a folder for the settings and logs of the hosts of one test.
pub fn host_folder() -> PathBuf {
    let name = format!("hibiscusspread-soak-{:08x}", rand::random::<u32>());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("folder is created");
    folder
}

/// A host and its process.
pub struct SoakHost {
    /// The host's name, also of its settings and log files.
    pub name: String,
    /// The address of its callers' listener.
    pub callers: SocketAddr,
    /// The address of its operators' port, which reports whether it is ready.
    pub operators: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Drop for SoakHost {
    fn drop(&mut self) {
        self.kill();
    }
}

impl SoakHost {
    /// Starts host `no` with its settings and log in `folder`.
    pub fn start(no: usize, store: SocketAddr, folder: &Path) -> Self {
        let (name, data_centre) = (format!("host-{no}"), ["a", "b"][no % 2]);
        let (callers, operators, peer) = (free_address(), free_address(), free_address());
        let text = format!(
            "[host]\nname = {name}\ndata_centre = {data_centre}\n\n[callers]\naddress = {callers}\n\n\
             [operators]\naddress = {operators}\n\n[peer]\naddress = {peer}\n\n[forwarding]\nstore = {store}\n\
             directory_interval = 200ms\nwatch_wait = 1s\nregistration_ttl = 3s\ngrace = {}s\ndrain_delay = 300ms\n",
            GRACE.as_secs()
        );
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text).expect("settings are written");
        let host = Self {
            log: folder.join(format!("{name}.log")),
            name,
            callers,
            operators,
            settings,
            child: Mutex::new(None),
        };
        host.run();
        host
    }

    /// Waits until the host is ready, and panics if it isn't in time.
    pub async fn wait_ready(&self) {
        let started = Instant::now();
        while !is_ready(self.operators).await {
            assert!(started.elapsed() < START_TIMEOUT, "host is not ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Starts the process unless it runs.
    pub fn run(&self) {
        let mut child = lock(&self.child);
        if child.is_some() {
            return;
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("log opens");
        let started = binary()
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .stdout(log.try_clone().expect("log is shared"))
            .stderr(log)
            .spawn();
        *child = Some(started.expect("host starts"));
    }

    /// Sends a signal to the process; does nothing if it has ended.
    pub fn signal(&self, signal: &str) {
        let child = lock(&self.child);
        if let Some(child) = child.as_ref() {
            let _ = processes::signal(child, signal);
        }
    }

    /// Kills the process.
    pub fn kill(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            child.kill().expect("host is killed");
            child.wait().expect("host is gone");
        }
    }

    /// Stops the process with SIGTERM and waits until it has ended; kills it if it does not in time.
    ///
    /// # Errors
    /// Returns how the process failed to exit successfully and in time.
    pub async fn stop(&self) -> Result<(), String> {
        self.signal("-TERM");
        let started = Instant::now();
        while started.elapsed() < GRACE + GRACE_SLACK {
            tokio::time::sleep(Duration::from_millis(20)).await;
            match self.exit_status() {
                Some(status) if status.success() => return Ok(()),
                Some(status) => return Err(format!("{} ended with {status}", self.name)),
                None => {}
            }
        }
        self.kill();
        Err(format!(
            "{} did not exit within its grace period",
            self.name
        ))
    }

    /// Returns the status with which the process exited since the last call, if it did.
    pub fn exit_status(&self) -> Option<ExitStatus> {
        let mut child = lock(&self.child);
        let exit_status = child.as_mut()?.try_wait().expect("state is read");
        if exit_status.is_some() {
            *child = None;
        }
        exit_status
    }

    /// Returns the most memory that the process has used so far, in MiB.
    pub fn peak_memory(&self) -> u64 {
        let child = lock(&self.child);
        let pid = child.as_ref().expect("host runs").id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"));
        let status = status.expect("process is there");
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:")?.strip_suffix("kB"));
        let kib: u64 = peak.expect("peak").trim().parse().expect("number");
        kib >> 10
    }

    /// Returns the lines of its log that report a panic.
    pub fn panics(&self) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains("panicked"));
        lines.map(|line| format!("{}: {line}", self.name)).collect()
    }
}
