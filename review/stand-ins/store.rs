//! A stand-in of the platform's store.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, json_answer};
use crate::json::Json;
use crate::record;

#[derive(Debug, Clone)]
struct Item {
    /// The value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// What a copy of the store holds.
#[derive(Debug, Clone, Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    /// Each change with its revision; without an item for a deletion.
    history: Vec<(u64, String, Option<Item>)>,
}

impl Content {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        true
    }
}

struct State {
    content: Content,
    /// Copies of the content, oldest first.
    copies: Vec<(Instant, Content)>,
    next_lease: u64,
    era: u64,
    is_away: bool,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    stopped: AtomicBool,
}

/// The time between two copies.
const COPY_INTERVAL: Duration = Duration::from_millis(100);

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .chain(&[0, 0])
            .take(3)
            .fold(0u32, |word, byte| (word << 8) | u32::from(*byte));
        for i in 0..4 {
            let digit = BASE64[(word >> (18 - 6 * i)) as usize & 63];
            text.push(if i > chunk.len() { '=' } else { digit as char });
        }
    }
    text
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    pub fn start() -> Arc<Self> {
        let (listener, address) = http::bind();
        let content = Content {
            revision: 100,
            ..Content::default()
        };
        let store = Arc::new(Self {
            address,
            state: Mutex::new(State {
                content,
                copies: Vec::new(),
                next_lease: 7000,
                era: 1,
                is_away: false,
            }),
            changed: Condvar::new(),
            stopped: AtomicBool::new(false),
        });
        let (serving, keeping) = (store.clone(), store.clone());
        http::serve(listener, move |socket| serving.serve(socket));
        thread::spawn(move || keeping.keep());
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("store is poisoned")
    }

    /// Ends leases and takes copies.
    fn keep(&self) {
        while !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
            let mut state = self.lock();
            if state.is_away {
                continue;
            }
            let now = Instant::now();
            let ended: Vec<_> = state
                .content
                .leases
                .iter()
                .filter(|(_, lease)| lease.ends <= now)
                .map(|(id, _)| *id)
                .collect();
            for lease in ended {
                state.content.end_lease(lease);
                self.changed.notify_all();
            }
            let last = state.copies.last().map(|(at, _)| *at);
            if last.is_none_or(|at| now - at >= COPY_INTERVAL) {
                let copy = state.content.clone();
                state.copies.push((now, copy));
                if state.copies.len() > 200 {
                    state.copies.remove(0);
                }
            }
        }
    }

    /// Writes as the operator or a runner does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.lock();
        if state.is_away {
            return;
        }
        state.content.revision += 1;
        state.content.put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Returns the revision of a key, if it exists.
    pub fn revision_of(&self, key: &str) -> Option<u64> {
        self.lock().content.items.get(key).map(|i| i.revision)
    }

    /// The store is away for `away`, and comes back from a copy that is `age` old when it goes.
    pub fn restore_copy(&self, away: Duration, age: Duration) {
        let content = {
            let mut state = self.lock();
            state.is_away = true;
            self.changed.notify_all();
            let wanted = Instant::now() - age;
            let copies = state.copies.iter().rev();
            let mut older = copies.filter(|(at, _)| *at <= wanted);
            match older.next() {
                Some((_, content)) => content.clone(),
                None => crate::host::give_up("no copy is so old"),
            }
        };
        record!("store: away");
        thread::sleep(away);
        let mut state = self.lock();
        let before = state.content.revision;
        state.content = content;
        // Leases that the copy still has go on for the time that they had left, as counted from the copy.
        let now = Instant::now();
        for lease in state.content.leases.values_mut() {
            lease.ends = lease.ends.max(now) + away + age;
        }
        state.copies.clear();
        state.era += 1;
        state.is_away = false;
        record!(
            "store: back from a copy {:.1} s old, revision {} (was {before}), era {}",
            age.as_secs_f64(),
            state.content.revision,
            state.era
        );
        self.changed.notify_all();
    }

    fn serve(&self, socket: TcpStream) {
        let Ok(reading) = socket.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        let mut socket = socket;
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            // While the store is away, its calls get no answer, and their connections end.
            let Some((status, body, era)) = self.answer(&req) else {
                return;
            };
            let answer = json_answer(status, &format!("Store-Era: {era}\r\n"), &body);
            if socket.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> Option<(u16, String, u64)> {
        let mut state = self.lock();
        if state.is_away {
            return None;
        }
        let now = Instant::now();
        let era = state.era;
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        let prefix = req.query("pathPrefix").unwrap_or_default();
        let content = &mut state.content;
        let path = req.path();
        let (status, answer) = match (req.method(), path) {
            ("GET", "/api/kv-key") => {
                let key = req.query("key").unwrap_or_default();
                match content.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/api/kv-range") => {
                let after = req.query("after").unwrap_or_default();
                let items: Vec<_> = content
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let items = items.join(",");
                let revision = content.revision;
                (
                    200,
                    format!(r#"{{"items":[{items}],"truncated":false,"asOf":{revision}}}"#),
                )
            }
            ("GET", "/api/kv-watch") => {
                let number = |name| req.query(name).and_then(|n| n.parse::<u64>().ok());
                let after = number("after").unwrap_or_default();
                let wait = Duration::from_millis(number("waitMs").unwrap_or_default());
                loop {
                    if state.is_away || state.era != era {
                        return None;
                    }
                    let content = &state.content;
                    if after > content.revision {
                        return Some((410, "{}".to_owned(), era));
                    }
                    let events: Vec<_> = content
                        .history
                        .iter()
                        .filter(|(at, key, _)| *at > after && key.starts_with(&prefix))
                        .map(|(at, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => format!(r#"{{"key":"{key}","revision":{at},"deleted":true}}"#),
                        })
                        .collect();
                    let left = wait.saturating_sub(now.elapsed());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.join(",");
                        let revision = content.revision;
                        let body = format!(r#"{{"events":[{events}],"asOf":{revision}}}"#);
                        return Some((200, body, era));
                    }
                    state = self.changed.wait_timeout(state, left).expect("poisoned").0;
                }
            }
            ("POST", "/api/kv-lease") => {
                let ttl = body.get("ttlMs").number();
                let lease = state.next_lease;
                state.next_lease += 1;
                let ttl_ms = Duration::from_millis(ttl);
                let granted = Lease {
                    ttl: ttl_ms,
                    ends: now + ttl_ms,
                };
                state.content.leases.insert(lease, granted);
                (200, format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
            }
            ("POST", "/api/kv-txn") => self.transact(&mut state, &body),
            _ => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let id: u64 = id.unwrap_or_default();
                if path.starts_with("/api/kv-keep/") {
                    match content.leases.get_mut(&id) {
                        Some(lease) => {
                            lease.ends = now + lease.ttl;
                            (200, format!(r#"{{"ttlMs":{}}}"#, lease.ttl.as_millis()))
                        }
                        None => (404, "{}".to_owned()),
                    }
                } else if path.starts_with("/api/kv-lease-end/") {
                    let found = content.end_lease(id);
                    self.changed.notify_all();
                    (if found { 200 } else { 404 }, "{}".to_owned())
                } else {
                    (400, "{}".to_owned())
                }
            }
        };
        Some((status, answer, era))
    }

    fn transact(&self, state: &mut State, body: &Json) -> (u16, String) {
        let content = &mut state.content;
        let conditions = body.get("ifRevision").items();
        let is_met = conditions.iter().all(|condition| {
            let item = content.items.get(condition.get("key").text());
            item.map_or(0, |item| item.revision) == condition.get("revision").number()
        });
        if !is_met {
            let items: Vec<_> = conditions
                .iter()
                .filter_map(|condition| {
                    let key = condition.get("key").text();
                    content.items.get(key).map(|item| item_json(key, item))
                })
                .collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let puts = body.get("puts").items();
        let leases = puts.iter().map(|put| put.get("lease").number());
        if leases
            .into_iter()
            .any(|lease| lease != 0 && !content.leases.contains_key(&lease))
        {
            return (404, "{}".to_owned());
        }
        content.revision += 1;
        let revision = content.revision;
        for put in puts {
            let key = put.get("key").text();
            content.put(
                key,
                put.get("value").text().to_owned(),
                put.get("lease").number(),
            );
            if !key.starts_with("hosts/") {
                record!("store: {key} written by a host, revision {revision}");
            }
        }
        for key in body.get("remove").items() {
            content.remove(key.text());
        }
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}
