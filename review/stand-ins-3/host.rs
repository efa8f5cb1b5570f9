//! A host of the system: its settings, made from the template of the deploy file, and its process.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The command that the deploy file starts on each machine.
const PROGRAM: &str = "target/release/hibiscusspread";
const TEMPLATE: &str = "deploy/settings.ini";

/// How often a host is started with other ports before it is given up.
const MAX_STARTS: u32 = 5;

/// The one zone of the small deployment, and its region.
pub const ZONE: &str = "coast-1";
const REGION: &str = "swan-coast";

/// A host. Dropping it kills its process.
pub struct Host {
    pub name: String,
    pub front: u16,
    ready: u16,
    peer: u16,
    store: u16,
    folder: PathBuf,
    process: Option<Child>,
}

/// Returns ports of loopback that were free a moment ago.
fn free_ports() -> [u16; 3] {
    let sockets = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").expect("no free port"));
    sockets.map(|socket| socket.local_addr().expect("no address").port())
}

/// Fills in the template: a section stands once for each zone, or is left out.
fn render(template: &str, value: impl Fn(&str) -> Option<String>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let end = rest[start..].find("}}").expect("open placeholder") + start;
        let name = rest[start + 2..end].to_owned();
        rest = &rest[end + 2..];
        let Some(section) = name.strip_prefix('#') else {
            out.push_str(&value(&name).unwrap_or_default());
            continue;
        };
        let close = format!("{{{{/{section}}}}}");
        let end = rest.find(&close).expect("open section");
        if section == "zones" {
            out.push_str(&rest[..end].replace("{{@}}", ZONE).replace("{{.}}", REGION));
        }
        rest = &rest[end + close.len()..];
    }
    out.push_str(rest);
    out
}

impl Host {
    /// Starts a host. `first_start` is whether the whole system starts for the first time.
    pub fn start(name: &str, store: u16, folder: &Path, first_start: bool) -> Self {
        for attempt in 1.. {
            let [front, ready, peer] = free_ports();
            let mut host = Self {
                name: name.to_owned(),
                front,
                ready,
                peer,
                store,
                folder: folder.to_owned(),
                process: None,
            };
            host.spawn(first_start);
            thread::sleep(Duration::from_millis(200));
            // Another process may have taken one of the ports meanwhile.
            let runs = matches!(host.process.as_mut().map(Child::try_wait), Some(Ok(None)));
            if runs || attempt == MAX_STARTS {
                return host;
            }
        }
        unreachable!("the loop ends with a host")
    }

    fn spawn(&mut self, first_start: bool) {
        let template = std::fs::read_to_string(TEMPLATE).expect("no template; run this in the repository");
        let settings = render(&template, |name| {
            Some(match name {
                "nodeName" => self.name.clone(),
                "zone" => ZONE.to_owned(),
                "region" => REGION.to_owned(),
                "ip" => "127.0.0.1".to_owned(),
                "portRange.0" => self.peer.to_string(),
                "listen.front" => format!("127.0.0.1:{}", self.front),
                "listen.ready" => format!("127.0.0.1:{}", self.ready),
                "provider.address" => format!("127.0.0.1:{}", self.store),
                "bootstrap" => first_start.to_string(),
                "limits.cpuShare" => "0.25".to_owned(),
                "bounds.graceS" => "8".to_owned(),
                "bounds.leaseMs" => "3000".to_owned(),
                "bounds.retryBudgetRatio" => "0.2".to_owned(),
                "bounds.budgetSlack" => "54".to_owned(),
                "bounds.budgetWindowS" => "10".to_owned(),
                "bounds.quotaWindowS" => "8".to_owned(),
                "bounds.quotaOverrun" => "0.1".to_owned(),
                "bounds.quotaSlack" => "190000".to_owned(),
                _ => return None,
            })
        });
        let path = self.folder.join(format!("{}.ini", self.name));
        std::fs::write(&path, settings).expect("settings not written");
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).expect("no log");
        let process = Command::new(PROGRAM)
            .args(["serve", "--settings"])
            .arg(&path)
            // The platform sets this variable too; with one arena, memory doesn't depend on the number of cores.
            .env("MALLOC_ARENA_MAX", "1")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("no log"))
            .stderr(log)
            .spawn();
        self.process = Some(process.expect("the system's program does not start; build it first"));
    }

    /// Returns the id of the process; 0 if there is none.
    pub fn pid(&self) -> u32 {
        self.process.as_ref().map_or(0, Child::id)
    }

    /// Waits until the host says that it is ready; returns whether it did within `limit`.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect(("127.0.0.1", self.ready)) else {
            return false;
        };
        let _ = socket.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = socket.write_all(b"GET /readyz HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n");
        let mut answer = [0; 64];
        let read = sent.and_then(|()| socket.read(&mut answer)).unwrap_or(0);
        String::from_utf8_lossy(&answer[..read]).contains(" 200 ")
    }

    /// Asks the process to stop (SIGTERM).
    pub fn terminate(&self) {
        let _ = Command::new("sh").args(["-c", &format!("kill -TERM {}", self.pid())]).status();
    }

    /// Waits until the process has ended; kills it after `limit`. Returns whether it ended by itself.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            match self.process.as_mut().map(Child::try_wait) {
                Some(Ok(None)) => thread::sleep(Duration::from_millis(10)),
                _ => {
                    self.process = None;
                    return true;
                }
            }
        }
        self.kill();
        false
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
