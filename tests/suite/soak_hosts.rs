//! The hosts of the fault soak: processes of the real program that are stopped, paused, killed and restarted by signals.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ExitStatus};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use hibiscusspread::process::shard::lock;

use crate::processes::{self, binary, free_address};

/// The time from SIGTERM within which a host must be gone, as its settings say.
pub const GRACE: Duration = Duration::from_secs(3);

/// What a host may take beyond its grace on a loaded machine.
const GRACE_SLACK: Duration = Duration::from_secs(1);

/// A host and its process.
pub struct SoakHost {
    /// Its name.
    pub name: String,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it tells whether it is ready.
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

    /// Sends a signal to the process, by its id; nothing if it has ended.
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
    /// Returns what it did instead of ending well and in time.
    pub async fn stop(&self) -> Result<(), String> {
        self.signal("-TERM");
        let started = Instant::now();
        while started.elapsed() < GRACE + GRACE_SLACK {
            tokio::time::sleep(Duration::from_millis(20)).await;
            match self.ended() {
                Some(status) if status.success() => return Ok(()),
                Some(status) => return Err(format!("{} ended with {status}", self.name)),
                None => {}
            }
        }
        self.kill();
        Err(format!("{} outlasted its grace", self.name))
    }

    /// Returns how the process ended by itself since the last look, if it did.
    pub fn ended(&self) -> Option<ExitStatus> {
        let mut child = lock(&self.child);
        let ended = child.as_mut()?.try_wait().expect("state is read");
        if ended.is_some() {
            *child = None;
        }
        ended
    }

    /// Returns the lines of its log that tell of a panic.
    pub fn panics(&self) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains("panicked"));
        lines.map(|line| format!("{}: {line}", self.name)).collect()
    }
}
