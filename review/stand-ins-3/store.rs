//! A stand-in of the platform's store, with drills in which it comes back from a copy that is some seconds old.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reader, listen, respond};
use crate::json::{Json, from_base64, to_base64, unescape};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    /// `None` for a deletion.
    item: Option<Item>,
}

#[derive(Clone, Default)]
struct Content {
    revision: u64,
    last_lease: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// The end and the time to live of each lease.
    leases: HashMap<u64, (Instant, Duration)>,
}

#[derive(Default)]
struct State {
    content: Content,
    copies: VecDeque<(Instant, Content)>,
    era: u64,
    is_away: bool,
    connections: Vec<TcpStream>,
}

/// The store. The operator and the runners write to it through this value, the system over HTTP.
pub struct Store {
    pub port: u16,
    state: Mutex<State>,
    changed: Condvar,
}

impl Content {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            key: key.to_owned(),
            revision: self.revision,
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push(Event {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    /// Starts the store on a free port of loopback.
    pub fn start() -> Arc<Self> {
        let store = Arc::new_cyclic(|weak: &std::sync::Weak<Self>| {
            let weak = weak.clone();
            let port = listen(move |socket| match weak.upgrade() {
                Some(store) => store.serve(socket),
                None => Ok(()),
            });
            Self {
                port,
                state: Mutex::new(State {
                    content: Content {
                        revision: 10,
                        last_lease: 100,
                        ..Content::default()
                    },
                    era: 1,
                    ..State::default()
                }),
                changed: Condvar::new(),
            }
        });
        let keeper = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                keeper.upkeep();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("poisoned")
    }

    /// Ends leases and keeps copies.
    fn upkeep(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let ended = state.content.leases.iter().filter(|(_, (end, _))| *end < now);
        let ended: Vec<_> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            state.content.end_lease(lease);
        }
        let copy = state.content.clone();
        state.copies.push_back((now, copy));
        if state.copies.len() > 400 {
            state.copies.pop_front();
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Writes an entry, as the operator and the runners do; returns whether the store was there.
    pub fn put(&self, key: &str, value: &str) -> bool {
        let mut state = self.lock();
        if state.is_away {
            return false;
        }
        state.content.put(key, value.as_bytes().to_vec(), 0);
        drop(state);
        self.changed.notify_all();
        true
    }

    /// Returns the revision and the number of drills so far, plus one.
    pub fn position(&self) -> (u64, u64) {
        let state = self.lock();
        (state.content.revision, state.era)
    }

    /// A drill: the store is away for `away` and comes back from a copy that was `age` old when it went. Returns the revisions before
    /// and after.
    pub fn drill(&self, away: Duration, age: Duration) -> (u64, u64) {
        let mut state = self.lock();
        let wanted = Instant::now().checked_sub(age).expect("clock too young");
        let copy = state.copies.iter().rev().find(|(at, _)| *at <= wanted).cloned();
        let (taken, mut copy) = copy.expect("no copy as old as that");
        let before = state.content.revision;
        state.is_away = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        self.changed.notify_all();
        thread::sleep(away);
        // The time of the copy counts as now, so no lease ends sooner for the drill.
        let passed = taken.elapsed();
        for (end, _) in copy.leases.values_mut() {
            *end += passed;
        }
        let mut state = self.lock();
        let after = copy.revision;
        state.content = copy;
        state.copies.clear();
        state.era += 1;
        state.is_away = false;
        (before, after)
    }

    fn serve(&self, mut socket: TcpStream) -> io::Result<()> {
        {
            let mut state = self.lock();
            if state.is_away {
                return Ok(());
            }
            state.connections.push(socket.try_clone()?);
            if state.connections.len() > 2000 {
                state.connections.drain(..1000);
            }
        }
        let mut reader = Reader::new(&socket)?;
        loop {
            let head = reader.head()?;
            let body = reader.body(&head)?;
            let Some((status, answer, era)) = self.call(head.method(), head.path(), &body) else {
                return Ok(());
            };
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            respond(&mut socket, status, &headers, answer.as_bytes())?;
        }
    }

    /// Carries a call out; `None` while the store is away.
    fn call(&self, method: &str, target: &str, body: &[u8]) -> Option<(u16, String, u64)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let mut state = self.lock();
        if state.is_away {
            return None;
        }
        let era = state.era;
        let content = &mut state.content;
        let empty = || "{}".to_owned();
        let (status, answer) = match (method, path) {
            ("GET", "/api/kv-key") => {
                let key = text("key");
                match content.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, empty()),
                }
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (text("pathPrefix"), text("after"));
                let items = content.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<_> = items.map(|(key, item)| item_json(key, item)).collect();
                let list = items.join(",");
                (200, format!(r#"{{"items":[{list}],"truncated":false,"asOf":{}}}"#, content.revision))
            }
            ("GET", "/api/kv-watch") => {
                let prefix = text("pathPrefix");
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait = text("waitMs").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    if state.is_away || state.era != era {
                        return None;
                    }
                    if after > state.content.revision {
                        return Some((410, empty(), era));
                    }
                    let events = state.content.events.iter();
                    let events = events.filter(|event| event.revision > after && event.key.starts_with(&prefix));
                    let events: Vec<_> = events
                        .map(|event| match &event.item {
                            Some(item) => item_json(&event.key, item),
                            None => format!(r#"{{"key":"{}","revision":{},"deleted":true}}"#, event.key, event.revision),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= end {
                        let events = events.join(",");
                        let answer = format!(r#"{{"events":[{events}],"asOf":{}}}"#, state.content.revision);
                        return Some((200, answer, era));
                    }
                    state = self.changed.wait_timeout(state, end - now).expect("poisoned").0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let transaction = Json::parse(body)?;
                let conditions = transaction.list("ifRevision");
                let revision_of = |content: &Content, key: &str| content.items.get(key).map_or(0, |item| item.revision);
                let holds = conditions.iter().all(|condition| {
                    let key = condition.text("key").unwrap_or_default();
                    condition.number("revision") == Some(revision_of(content, key))
                });
                let lacks_lease = transaction.list("puts").iter().any(|put| {
                    let lease = put.number("lease").unwrap_or(0);
                    lease != 0 && !content.leases.contains_key(&lease)
                });
                if !holds {
                    let items = conditions.iter().filter_map(|condition| {
                        let key = condition.text("key")?;
                        Some(match content.items.get(key) {
                            Some(item) => item_json(key, item),
                            None => format!(r#"{{"key":"{key}","revision":0}}"#),
                        })
                    });
                    let items: Vec<_> = items.collect();
                    (412, format!(r#"{{"items":[{}]}}"#, items.join(",")))
                } else if lacks_lease {
                    (404, empty())
                } else {
                    for put in transaction.list("puts") {
                        let value = from_base64(put.text("value").unwrap_or_default())?;
                        content.put(put.text("key")?, value, put.number("lease").unwrap_or(0));
                    }
                    for key in transaction.list("remove") {
                        if let Json::Text(key) = key {
                            content.remove(key);
                        }
                    }
                    (200, format!(r#"{{"revision":{}}}"#, content.revision))
                }
            }
            ("POST", "/api/kv-lease") => {
                let ttl = Json::parse(body)?.number("ttlMs")?;
                content.last_lease += 1;
                let (lease, time) = (content.last_lease, Duration::from_millis(ttl));
                content.leases.insert(lease, (Instant::now() + time, time));
                (200, format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
                match lease.and_then(|lease| content.leases.get_mut(&lease)) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
                    }
                    None => (404, empty()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                if let Some(lease) = path.rsplit('/').next().and_then(|id| id.parse().ok()) {
                    content.end_lease(lease);
                }
                (200, empty())
            }
            _ => (400, empty()),
        };
        drop(state);
        self.changed.notify_all();
        Some((status, answer, era))
    }
}
