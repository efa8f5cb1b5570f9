//! A stand-in of the platform's store.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::TcpStream;
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

struct Event {
    key: String,
    revision: u64,
    /// `None` for a deletion.
    item: Option<Item>,
}

#[derive(Default)]
struct Content {
    revision: u64,
    last_lease: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// The end and the time to live of each lease.
    leases: HashMap<u64, (Instant, Duration)>,
}

/// The store. The operator and the runners write to it through this value, the system over HTTP.
pub struct Store {
    pub port: u16,
    content: Mutex<Content>,
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
                content: Mutex::new(Content {
                    revision: 10,
                    last_lease: 100,
                    ..Content::default()
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

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().expect("poisoned")
    }

    /// Ends leases.
    fn upkeep(&self) {
        let now = Instant::now();
        let mut content = self.lock();
        let ended = content.leases.iter().filter(|(_, (end, _))| *end < now);
        let ended: Vec<_> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            content.end_lease(lease);
        }
        drop(content);
        self.changed.notify_all();
    }

    /// Writes an entry, as the operator and the runners do.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    fn serve(&self, mut socket: TcpStream) -> io::Result<()> {
        let mut reader = Reader::new(&socket)?;
        loop {
            let head = reader.head()?;
            let body = reader.body(&head)?;
            let Some((status, answer)) = self.call(head.method(), head.path(), &body) else {
                return Ok(());
            };
            respond(&mut socket, status, "Content-Type: application/json\r\n", answer.as_bytes())?;
        }
    }

    /// Carries a call out; `None` if it can't be read.
    fn call(&self, method: &str, target: &str, body: &[u8]) -> Option<(u16, String)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let mut content = self.lock();
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
                    if after > content.revision {
                        return Some((410, empty()));
                    }
                    let events = content.events.iter();
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
                        let answer = format!(r#"{{"events":[{events}],"asOf":{}}}"#, content.revision);
                        return Some((200, answer));
                    }
                    content = self.changed.wait_timeout(content, end - now).expect("poisoned").0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let transaction = Json::parse(body)?;
                let conditions = transaction.list("ifRevision");
                let revision_of = |content: &Content, key: &str| content.items.get(key).map_or(0, |item| item.revision);
                let holds = conditions.iter().all(|condition| {
                    let key = condition.text("key").unwrap_or_default();
                    condition.number("revision") == Some(revision_of(&content, key))
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
        drop(content);
        self.changed.notify_all();
        Some((status, answer))
    }
}
