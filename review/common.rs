//! Parts that the scripts of all cases share: stand-ins for the platform's store, servers and clients, and host processes.
//! Uses the standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Whether the disruption is on; `TROUBLE=0` switches it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Writes `record.txt` in the case's folder.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|e| cannot_run(&format!("record.txt: {e}")));
        Arc::new(Self { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.start.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>7} ms  {}", text.as_ref());
    }
}

/// Ends the script with the status that says that the case could not run. `run.sh` ends the hosts that are left.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("case could not run: {why}");
    std::process::exit(2);
}

/// Writes down the id of a started process, which `run.sh` ends if this one can't.
fn write_down(pid: u32) {
    if let Ok(path) = std::env::var("REVIEW_PIDS")
        && let Ok(mut file) = File::options().append(true).create(true).open(path)
    {
        let _ = writeln!(file, "{pid}");
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(n) => Some(*n as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = Vec::new();
    while *at < bytes.len() {
        match bytes[*at] {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                match *bytes.get(*at)? {
                    b'n' => out.push(b'\n'),
                    b'r' => out.push(b'\r'),
                    b't' => out.push(b'\t'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let c = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                        out.extend(c.to_string().bytes());
                        *at += 4;
                    }
                    c => out.push(c),
                }
                *at += 1;
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
    None
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'"' => parse_text(bytes, at).map(Json::Text),
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        *at += 1;
                        table.insert(name, parse_value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(bytes, at)?),
                }
            }
        }
        _ => {
            let start = *at;
            while *at < bytes.len() && !matches!(bytes[*at], b',' | b'}' | b']' | b' ' | b'\n') {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(BASE64[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

/// A request as a stand-in read it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let found = query.split('&').find_map(|p| p.strip_prefix(&format!("{name}=")));
        found.map(percent_decode)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() + 0 {
            let digits = std::str::from_utf8(&bytes[i + 1..i + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(digits, 16).unwrap_or(b' '));
            i += 3;
        } else {
            out.push(bytes[i]);
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read and not used yet.
pub struct Wire {
    pub socket: TcpStream,
    pub buf: Vec<u8>,
}

impl Wire {
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self { socket, buf: Vec::new() }
    }

    /// Reads more bytes; returns whether there were any.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 << 10];
        let n = self.socket.read(&mut part)?;
        self.buf.extend_from_slice(&part[..n]);
        Ok(n > 0)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a start line and headers.
    pub fn head(&mut self) -> io::Result<(String, Vec<(String, String)>)> {
        let start = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok((start, headers));
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    pub fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..n).collect())
    }

    /// Reads one chunk of a chunked body; empty at the end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        let data = self.take(size)?;
        self.line()?;
        Ok(data)
    }

    fn body(&mut self, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
        let header = |name: &str| headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.clone());
        if header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let part = self.chunk()?;
                if part.is_empty() {
                    return Ok(body);
                }
                body.extend(part);
            }
        }
        let length = header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.take(length)
    }

    pub fn request(&mut self) -> io::Result<Request> {
        let (start, headers) = self.head()?;
        let body = self.body(&headers)?;
        let mut words = start.split(' ');
        Ok(Request {
            method: words.next().unwrap_or_default().to_owned(),
            target: words.next().unwrap_or_default().to_owned(),
            headers,
            body,
        })
    }

    pub fn answer(&mut self) -> io::Result<Answer> {
        let (start, headers) = self.head()?;
        let status = start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let body = self.body(&headers)?;
        Ok(Answer { start, status, headers, body })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }
}

/// A complete answer as a client read it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub start: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }
}

/// Formats an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", data.len()).into_bytes();
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
    out
}

/// Serves connections on a free port, each on a thread; `handle` returns whether the connection is kept.
pub fn serve(handle: impl Fn(&Request, &mut Wire) -> io::Result<bool> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let mut wire = Wire::new(socket);
                while let Ok(req) = wire.request() {
                    match handle(&req, &mut wire) {
                        Ok(true) => {}
                        _ => break,
                    }
                }
                let _ = wire.socket.shutdown(Shutdown::Both);
            });
        }
    });
    address
}

/// Returns whether the other side has closed the connection.
pub fn is_closed(wire: &Wire) -> bool {
    let mut byte = [0; 1];
    let _ = wire.socket.set_nonblocking(true);
    let closed = match wire.socket.peek(&mut byte) {
        Ok(n) => n == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    };
    let _ = wire.socket.set_nonblocking(false);
    closed
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    revision: u64,
    events: Vec<(u64, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// A key-value store with leases and watches, as the platform's page describes it.
#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

fn event_text(state: &StoreState, revision: u64, key: &str) -> String {
    match state.items.get(key) {
        Some(item) if item.revision == revision => item_text(key, item),
        Some(_) => String::new(),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.revision, item.lease
    )
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 1;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        let served = store.clone();
        let address = serve(move |req, wire| {
            let (status, body) = served.call(req);
            wire.send(&answer(status, &[("Content-Type", "application/json")], body.as_bytes()))?;
            Ok(true)
        });
        (store, address)
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            state.leases.remove(&lease);
            let keys: Vec<String> = state.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
            for key in keys {
                remove(&mut state, &key);
            }
            self.changed.notify_all();
        }
    }

    /// Writes an entry of the operator or a server.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        put(&mut state, key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        remove(&mut state, key);
        self.changed.notify_all();
    }

    fn call(&self, req: &Request) -> (&'static str, String) {
        let path = req.path().to_owned();
        let body = || Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        match (req.method.as_str(), path.as_str()) {
            ("GET", "/api/kv-key") => {
                let state = self.state.lock().unwrap();
                let key = req.query("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => ("200 OK", item_text(&key, item)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("GET", "/api/kv-range") => {
                let state = self.state.lock().unwrap();
                let prefix = req.query("pathPrefix").unwrap_or_default();
                let after = req.query("after").unwrap_or_default();
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_text(key, item))
                    .collect();
                let text = format!("{{\"items\":[{}],\"truncated\":false,\"asOf\":{}}}", items.join(","), state.revision);
                ("200 OK", text)
            }
            ("GET", "/api/kv-watch") => {
                let prefix = req.query("pathPrefix").unwrap_or_default();
                let after: u64 = req.query("after").and_then(|a| a.parse().ok()).unwrap_or(0);
                let wait: u64 = req.query("waitMs").and_then(|a| a.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.lock().unwrap();
                loop {
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(|(revision, key)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key)| event_text(&state, *revision, key))
                        .filter(|text| !text.is_empty())
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let text = format!("{{\"events\":[{}],\"asOf\":{}}}", events.join(","), state.revision);
                        return ("200 OK", text);
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/api/kv-txn") => self.transact(&body()),
            ("POST", "/api/kv-lease") => {
                let ttl = body().get("ttlMs").and_then(Json::number).unwrap_or(1000);
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let id = state.next_lease;
                let ttl_time = Duration::from_millis(ttl);
                state.leases.insert(id, (ttl_time, Instant::now() + ttl_time));
                ("200 OK", format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&id) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        ("200 OK", format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => ("200 OK", "{}".to_owned()),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn transact(&self, body: &Json) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        let conditions = body.get("ifRevision").map_or(&[][..], Json::list);
        let holds = conditions.iter().all(|condition| {
            let key = condition.get("key").and_then(Json::text).unwrap_or_default();
            let wanted = condition.get("revision").and_then(Json::number).unwrap_or(0);
            state.items.get(key).map_or(0, |item| item.revision) == wanted
        });
        if !holds {
            let items: Vec<String> = conditions
                .iter()
                .filter_map(|condition| {
                    let key = condition.get("key").and_then(Json::text)?;
                    Some(item_text(key, state.items.get(key)?))
                })
                .collect();
            return ("412 Precondition Failed", format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").map_or(&[][..], Json::list);
        let lease_of = |entry: &Json| entry.get("lease").and_then(Json::number).unwrap_or(0);
        if puts.iter().any(|entry| lease_of(entry) != 0 && !state.leases.contains_key(&lease_of(entry))) {
            return ("404 Not Found", "{}".to_owned());
        }
        for entry in puts {
            let key = entry.get("key").and_then(Json::text).unwrap_or_default();
            let value = entry.get("value").and_then(Json::text).unwrap_or_default();
            put(&mut state, key, value.to_owned(), lease_of(entry));
        }
        for key in body.get("remove").map_or(&[][..], Json::list) {
            remove(&mut state, key.text().unwrap_or_default());
        }
        self.changed.notify_all();
        ("200 OK", format!("{{\"revision\":{}}}", state.revision))
    }
}

fn put(state: &mut StoreState, key: &str, value: String, lease: u64) {
    state.revision += 1;
    let revision = state.revision;
    state.items.insert(key.to_owned(), Item { value, revision, lease });
    state.events.push((revision, key.to_owned()));
}

fn remove(state: &mut StoreState, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        let revision = state.revision;
        state.events.push((revision, key.to_owned()));
    }
}

// ---------------------------------------------------------------- hosts

/// A host process, started with the command of `deploy/system.toml` and settings from `deploy/settings.ini`.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    child: Child,
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address with a port that is free for TCP and UDP.
pub fn free_address() -> SocketAddr {
    for _ in 0..50 {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else { continue };
        let Ok(address) = listener.local_addr() else { continue };
        if std::net::UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    cannot_run("no free port")
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Host {
    /// Starts a host in `zone`; run from the top folder of the repository.
    pub fn start(name: &str, zone: &str, store: SocketAddr, folder: &Path) -> Self {
        let (callers, operators, peer) = (free_address(), free_address(), free_address());
        let template = std::fs::read_to_string("deploy/settings.ini");
        let mut text = template.unwrap_or_else(|e| cannot_run(&format!("deploy/settings.ini: {e}")));
        let values = [
            ("nodeName", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.front", callers.to_string()),
            ("listen.ready", operators.to_string()),
            ("ip", peer.ip().to_string()),
            ("portRange.0", peer.port().to_string()),
            ("provider.address", store.to_string()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetSlack", "58".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.leaseMs", "3000".to_owned()),
            ("bootstrap", "true".to_owned()),
            ("limits.cpuShare", "0.25".to_owned()),
            ("bounds.quotaWindowS", "8".to_owned()),
            ("bounds.quotaOverrun", "0.1".to_owned()),
            ("bounds.quotaSlack", "190000".to_owned()),
        ];
        for (field, value) in values {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        if text.contains("{{") {
            cannot_run(&format!("a placeholder of deploy/settings.ini is not known: {text}"));
        }
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = File::create(folder.join(format!("{name}.log"))).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new("target/release/hibiscusspread")
            .args(["serve", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("target/release/hibiscusspread: {e}")));
        write_down(child.id());
        Self { name: name.to_owned(), callers, operators, child }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the readiness address answers 200.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(found) = exchange(self.operators, b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1000)
                && found.status == 200
            {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run(&format!("{} is not ready after 20 s", self.name))
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn exchange(to: SocketAddr, bytes: &[u8], timeout_ms: u64) -> io::Result<Answer> {
    let mut wire = connect(to, timeout_ms)?;
    wire.send(bytes)?;
    wire.answer()
}

pub fn connect(to: SocketAddr, timeout_ms: u64) -> io::Result<Wire> {
    let timeout = Duration::from_millis(timeout_ms);
    let socket = TcpStream::connect_timeout(&to, timeout)?;
    socket.set_read_timeout(Some(timeout))?;
    Ok(Wire::new(socket))
}

/// Returns the registration of a server, as it writes it to the store.
pub fn registration(service: &str, address: SocketAddr, zone: &str, slots: u32, stage: Option<&str>) -> String {
    let engine = stage.map_or(String::new(), |stage| {
        format!(",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]")
    });
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
         \"state\":\"ready\",\"coldLeftMs\":0{engine},\"seq\":4,\"born\":1764900000000}}"
    )
}
