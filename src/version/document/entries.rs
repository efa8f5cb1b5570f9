//! Reads the entries of a section into typed values.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::prelude::*;
use crate::process::message::LatePolicy;
use crate::version::compiled::{
    CallerKey, Customer, PlannedStop, Role, Route, RouteTarget, StopSubject, Upstream,
};
use crate::version::fields::Fields;
use crate::version::key::parse_hash;

/// The default time within which the first token, or the answer of a plain service, is due.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(1);

/// The maximum number of data centres in a document; keeps the default home share at 1% or more.
const MAX_DATA_CENTRES: usize = 100;

/// One entry of a team's section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// The data centres; one entry for the whole document.
    Fleet(Fleet),
    /// A customer and its limits.
    Customer(Customer),
    /// A caller's key, of which only the hash is known.
    Key(CallerKey),
    /// A route by path prefix.
    Route(Route),
    /// An engine, or an upstream of a plain service.
    Upstream(Upstream),
    /// A planned stop of an upstream or a host.
    Stop(PlannedStop),
}

/// The data centres among which rates and bursts are shared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// The data centres, without duplicates.
    pub data_centres: Vec<DataCentreId>,
    /// The number of equal home shares; at least the number of data centres.
    pub shares: u32,
}

/// Reads an entry of `kind`; `None` if a problem leaves nothing to compile, or the kind is unknown.
pub fn read_entry(kind: &str, name: Name, fields: &mut Fields<'_>) -> Option<Entry> {
    match kind {
        "fleet" => Some(Entry::Fleet(read_fleet(fields))),
        "customer" => Some(Entry::Customer(read_customer(name, fields))),
        "key" => read_key(name, fields).map(Entry::Key),
        "route" => Some(Entry::Route(read_route(name, fields))),
        "upstream" => Some(Entry::Upstream(read_upstream(name, fields))),
        "stop" => read_stop(name, fields).map(Entry::Stop),
        _ => None,
    }
}

fn read_fleet(fields: &mut Fields<'_>) -> Fleet {
    let mut data_centres: Vec<DataCentreId> = Vec::new();
    for name in fields.list("data_centres") {
        if data_centres.iter().any(|known| &**known == name) {
            fields.problem("data_centres", format!("{name} is listed twice; keep one"));
        } else {
            data_centres.push(name.into());
        }
    }
    if data_centres.is_empty() {
        fields.problem("data_centres", "empty; list at least one data centre");
    }
    if data_centres.len() > MAX_DATA_CENTRES {
        fields.problem(
            "data_centres",
            format!("more than {MAX_DATA_CENTRES}; list fewer"),
        );
    }
    let count = u32::try_from(data_centres.len()).unwrap_or(u32::MAX).max(1);
    let shares = fields.value("shares", "a number of shares", count);
    if shares < count {
        fields.problem(
            "shares",
            format!("less than the {count} data centres; raise it or leave it out"),
        );
    }
    Fleet {
        data_centres,
        shares: shares.max(count),
    }
}

fn read_customer(id: CustomerId, fields: &mut Fields<'_>) -> Customer {
    let what = "a number of tokens above 0";
    let rate = fields.required_value("rate", what, 1);
    let burst = fields.required_value("burst", what, 1);
    for (key, value) in [("rate", rate), ("burst", burst)] {
        if value == 0 || value > MAX_LIMIT {
            fields.problem(key, format!("must be between 1 and {MAX_LIMIT} tokens"));
        }
    }
    Customer { id, rate, burst }
}

/// The largest rate or burst in tokens; keeps sums of nanotokens far from overflow.
const MAX_LIMIT: Tokens = 1_000_000_000_000;

fn read_key(name: Name, fields: &mut Fields<'_>) -> Option<CallerKey> {
    let customer = fields.required("customer").into();
    let text = fields.required("hash");
    let routes = fields.list("routes").into_iter().map(Name::from).collect();
    let Some(hash) = parse_hash(text) else {
        fields.problem("hash", "not a key hash; write blake3: and 64 hex digits");
        return None;
    };
    Some(CallerKey {
        name,
        customer,
        hash,
        routes,
    })
}

fn read_route(id: RouteId, fields: &mut Fields<'_>) -> Route {
    let path = fields.required("path").to_owned();
    if !path.starts_with('/') {
        fields.problem("path", "must start with /");
    }
    let target = match fields.text("service") {
        Some(service) => RouteTarget::Service(service.into()),
        None => RouteTarget::Engines,
    };
    Route {
        id,
        path,
        target,
        open: fields.flag("open", false),
        repeatable: fields.flag("repeatable", true),
        priority: fields.choice(
            "priority",
            &[
                ("interactive", Priority::Interactive),
                ("batch", Priority::Batch),
            ],
            Priority::Interactive,
        ),
        deadline: fields.duration("deadline", DEFAULT_DEADLINE),
        late: fields.choice(
            "late",
            &[("wait", LatePolicy::Wait), ("refuse", LatePolicy::Refuse)],
            LatePolicy::Wait,
        ),
        cost: fields.value("cost", "a number of tokens", 1),
    }
}

fn read_upstream(id: UpstreamId, fields: &mut Fields<'_>) -> Upstream {
    let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let tokens = "a number of tokens a second";
    let slots = fields.value("slots", "a number of requests", 20);
    if slots == 0 {
        fields.problem(
            "slots",
            "must be above 0; plan a stop to take the upstream out of service",
        );
    }
    let rates = [
        ("prefill_rate", fields.value("prefill_rate", tokens, 20_000)),
        ("link_rate", fields.value("link_rate", tokens, 200_000)),
    ];
    for (key, rate) in rates {
        if rate == 0 {
            fields.problem(key, "must be above 0");
        }
    }
    Upstream {
        id,
        address: fields.required_value("address", "an address such as 10.1.0.5:8000", unspecified),
        data_centre: fields.required("data_centre").into(),
        role: fields.choice(
            "role",
            &[
                ("prefill", Role::Prefill),
                ("decode", Role::Decode),
                ("service", Role::Service),
            ],
            Role::Service,
        ),
        model: fields.required("model").into(),
        slots,
        prefill_rate: rates[0].1,
        link_rate: rates[1].1,
        fenced: fields.flag("fenced", false),
        model_version: fields.text("model_version").unwrap_or_default().to_owned(),
        adapters: fields
            .list("adapters")
            .into_iter()
            .map(str::to_owned)
            .collect(),
    }
}

fn read_stop(name: Name, fields: &mut Fields<'_>) -> Option<PlannedStop> {
    let upstream = fields.text("upstream");
    let host = fields.text("host");
    let subject = match (upstream, host) {
        (Some(id), None) => StopSubject::Upstream(id.into()),
        (None, Some(id)) => StopSubject::Host(id.into()),
        _ => {
            fields.problem("upstream", "name either an upstream or a host");
            return None;
        }
    };
    let example = "write for example 2026-12-04T22:00:00Z";
    let from_text = fields.required("from");
    let until_text = fields.text("until");
    let Ok(from) = humantime::parse_rfc3339_weak(from_text) else {
        fields.problem("from", format!("not a time; {example}"));
        return None;
    };
    let until = until_text.map(humantime::parse_rfc3339_weak).transpose();
    let Ok(until) = until else {
        fields.problem("until", format!("not a time; {example}"));
        return None;
    };
    if until.is_some_and(|until| until <= from) {
        fields.problem("until", "not after from; correct one of them");
    }
    Some(PlannedStop {
        name,
        subject,
        from,
        until,
    })
}
