//! The configuration in the store.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use hibiscusspread::connection::record::encode_record;
use hibiscusspread::emulator::clock::ManualClock;
use hibiscusspread::emulator::store::{MemoryStore, StoreFaults};
use hibiscusspread::prelude::*;
use hibiscusspread::process::message::Head;
use hibiscusspread::process::store::MAX_VALUE_BYTES;
use hibiscusspread::version::key::{hash_key, write_hash};
use hibiscusspread::version::repository::error::RepositoryError;
use hibiscusspread::version::repository::record::{HEAD_KEY, HeadRecord, section_key};
use hibiscusspread::version::repository::{Edit, Repository};

use crate::fixtures::assert_matches;
use crate::fixtures::{delayed, lost_replies, outage};

/// A fleet section.
pub fn fleet(list: &str) -> String {
    format!("[ops/fleet/main]\ndata_centres = {list}\n")
}

/// A section with one customer.
pub fn customer(team: &str, rate: u64) -> String {
    format!("[{team}/customer/{team}]\nrate = {rate}\nburst = 100\n")
}

/// An edit without base.
pub fn edit(team: &str, text: impl Into<String>) -> Edit {
    Edit {
        team: team.into(),
        text: Some(text.into()),
        by: "kim".to_owned(),
        base: None,
        above: 0,
    }
}

fn removal(team: &str) -> Edit {
    Edit {
        text: None,
        ..edit(team, "")
    }
}

struct Bench {
    clock: Arc<ManualClock>,
    store: Arc<MemoryStore>,
    repository: Repository,
}

impl Bench {
    async fn start() -> Self {
        let clock = Arc::new(ManualClock::default());
        let store = MemoryStore::new(clock.clone());
        let repository = Repository::new(store.clone(), clock.clone());
        repository
            .edit(&edit("ops", fleet("a, b, c, d")))
            .await
            .expect("first edit");
        Self {
            clock,
            store,
            repository,
        }
    }

    async fn put(&self, team: &str, rate: u64) {
        let done = self
            .repository
            .edit(&edit(team, customer(team, rate)))
            .await;
        done.expect("edit");
    }

    /// Makes an edit that is refused.
    async fn refused(&self, edit: &Edit) -> RepositoryError {
        self.repository.edit(edit).await.expect_err("refused")
    }

    /// Returns the number of stored texts of a team.
    async fn texts_of(&self, team: &str) -> usize {
        let prefix = format!("config/section/{team}/");
        self.store.list(&prefix).await.expect("list").len()
    }

    async fn head(&self) -> Head {
        self.repository.read_head(0).await.expect("head").head
    }

    async fn text(&self, team: &str) -> String {
        let head = self.head().await;
        let texts = self.repository.read_texts(&head, &BTreeMap::new()).await;
        texts.expect("texts")[team].to_string()
    }
}

/// Guards against an edit that is lost, unversioned or missing from the history.
#[tokio::test]
async fn keeps_sections_versions_and_history() {
    let bench = Bench::start().await;
    let repository = &bench.repository;
    bench.put("news", 10).await;
    bench.clock.advance(Duration::from_mins(1));
    bench.put("news", 20).await;
    repository.edit(&removal("news")).await.expect("removal");
    let head = bench.head().await;
    assert_eq!(head.version, 4);
    assert!(head.section("news").is_none());
    let history = repository.history(10).await.expect("history");
    let seen: Vec<_> = history
        .iter()
        .map(|r| (r.version, &*r.team, r.section.is_some(), r.by.as_str()))
        .collect();
    let expected = [
        (4, "news", false, "kim"),
        (3, "news", true, "kim"),
        (2, "news", true, "kim"),
        (1, "ops", true, "kim"),
    ];
    assert_eq!(seen, expected);
    assert_eq!(
        history[1].at.duration_since(history[2].at).expect("later"),
        Duration::from_mins(1)
    );
    assert_matches!(bench.refused(&removal("news")).await => RepositoryError::NoSection { .. });
}

/// Guards against an editor who overwrites a change that he has not seen.
#[tokio::test]
async fn refuses_an_edit_based_on_an_older_section() {
    let bench = Bench::start().await;
    let repository = &bench.repository;
    bench.put("news", 10).await;
    bench.put("sport", 10).await;
    let on_2 = Edit {
        base: Some(2),
        ..edit("news", customer("news", 11))
    };
    // The other team's version 3 is no conflict.
    repository
        .edit(&on_2)
        .await
        .expect("edit based on the section's version");
    let error = bench.refused(&on_2).await;
    let expected = RepositoryError::Conflict {
        team: "news".into(),
        base: 2,
        changed: 4,
    };
    assert_eq!(error, expected);
    assert!(error.to_string().contains("--base 4"), "{error}");
    repository.edit(&removal("news")).await.expect("removal");
    let on_4 = Edit {
        base: Some(4),
        ..edit("news", customer("news", 12))
    };
    assert_matches!(bench.refused(&on_4).await => RepositoryError::Conflict { changed: 5, .. });
    assert_eq!(bench.head().await.version, 5);
}

/// Guards against racing edits of which one is lost without an error, or of which one breaks the other.
#[tokio::test(start_paused = true)]
async fn merges_racing_edits_of_other_teams_and_refuses_one_of_the_same_team() {
    let bench = Bench::start().await;
    // Every call yields, so that both edits read the head before either moves it.
    bench.store.set_faults(delayed(Duration::from_millis(1)));
    let repository = &bench.repository;
    let (news, sport) = (
        edit("news", customer("news", 1)),
        edit("sport", customer("sport", 1)),
    );
    let (a, b) = tokio::join!(repository.edit(&news), repository.edit(&sport));
    let mut versions = [a.expect("merged").version, b.expect("merged").version];
    versions.sort_unstable();
    assert_eq!(versions, [2, 3]);
    let (one, two) = (
        edit("news", customer("news", 2)),
        edit("news", customer("news", 3)),
    );
    let (a, b) = tokio::join!(repository.edit(&one), repository.edit(&two));
    let ((Ok(_), Err(lost)) | (Err(lost), Ok(_))) = (&a, &b) else {
        panic!("exactly one wins: {a:?} {b:?}")
    };
    assert_matches!(lost => RepositoryError::Conflict { base: 3, changed: 4, .. });
    // Each is valid alone, but both name the same customer.
    let (one, two) = (
        edit("east", "[east/customer/x]\nrate = 1\nburst = 1\n"),
        edit("west", "[west/customer/x]\nrate = 1\nburst = 1\n"),
    );
    let (a, b) = tokio::join!(repository.edit(&one), repository.edit(&two));
    let found = a
        .err()
        .or(b.err())
        .expect("the second is checked against the first");
    assert_matches!(found => RepositoryError::Invalid(_));
    let left = bench.texts_of("west").await + bench.texts_of("east").await;
    assert_eq!(left, 1, "the refused edit left its text behind");
}

/// Guards against the text of an accepted edit that is deleted by a racing edit with the same text.
#[tokio::test(start_paused = true)]
async fn racing_edits_with_the_same_text_keep_it() {
    let bench = Bench::start().await;
    bench.store.set_faults(delayed(Duration::from_millis(1)));
    let same = edit("news", customer("news", 1));
    let (a, b) = tokio::join!(bench.repository.edit(&same), bench.repository.edit(&same));
    assert!(a.is_ok() != b.is_ok(), "{a:?} {b:?}");
    assert_eq!(bench.text("news").await, customer("news", 1));
}

/// Guards against an edit made twice, or reported as failed, after the store's reply was lost.
#[tokio::test]
async fn settles_lost_replies() {
    for lost in 1..=4 {
        let bench = Bench::start().await;
        bench.store.set_faults(lost_replies(lost));
        let done = bench
            .repository
            .edit(&edit("news", customer("news", 1)))
            .await;
        assert_eq!(
            done.expect("settled by reading back").version,
            2,
            "{lost} replies lost"
        );
        assert_eq!(bench.head().await.version, 2);
        assert_eq!(bench.repository.history(9).await.expect("history").len(), 2);
    }
}

/// Guards against an invalid, oversized or misnamed edit that changes the store, and against problems that are
/// listed one by one.
#[tokio::test]
async fn refuses_invalid_edits_unchanged() {
    let bench = Bench::start().await;
    let before = bench.store.list("").await.expect("list");
    let text = "[news/customer/c]\nrate = x\n[news/key/k]\ncustomer = none\nhash = 1\n[sport/customer/d]\n";
    let error = bench.refused(&edit("news", text)).await;
    let RepositoryError::Invalid(problems) = &error else {
        panic!("{error}")
    };
    assert!(problems.len() >= 4, "not all problems at once: {error}");
    let big = format!("# {}\n", "x".repeat(MAX_VALUE_BYTES));
    let error = bench.refused(&edit("news", big)).await;
    assert_matches!(error => RepositoryError::TooLarge { .. });
    assert!(error.to_string().contains("split"), "{error}");
    for team in ["", "a/b", "a b"] {
        assert_matches!(bench.refused(&edit(team, "")).await => RepositoryError::Invalid(_));
    }
    // A section that others refer to can't be removed.
    assert_matches!(bench.refused(&removal("ops")).await => RepositoryError::Invalid(_));
    assert_eq!(bench.store.list("").await.expect("list"), before);
}

/// Guards against a panic or a silent reset when stored records are damaged.
#[tokio::test]
async fn reports_records_that_do_not_parse() {
    let bench = Bench::start().await;
    let head = bench.head().await;
    let key = section_key(&head.sections[0]);
    let entry = bench.store.get(&key).await.expect("get").expect("text");
    let damaged = bench
        .store
        .swap(&key, Expected::At(entry.revision), b"other".to_vec(), None)
        .await;
    damaged.expect("write");
    let error = bench.refused(&edit("news", customer("news", 1))).await;
    assert!(
        matches!(&error, RepositoryError::Corrupt { key: k, .. } if *k == key),
        "{error}"
    );
    for value in [vec![], vec![9], vec![1, 255, 255], b"\x01text".to_vec()] {
        let entry = bench.store.get(HEAD_KEY).await.expect("get").expect("head");
        let expected = Expected::At(entry.revision);
        bench
            .store
            .swap(HEAD_KEY, expected, value, None)
            .await
            .expect("write");
        let found = bench.repository.read_head(0).await.expect_err("damaged");
        assert_matches!(found => RepositoryError::Corrupt { .. });
        assert_matches!(bench.refused(&edit("news", "")).await => RepositoryError::Corrupt { .. });
    }
}

/// Guards against a store that was restored from an old backup and takes the fleet back in time.
#[tokio::test]
async fn refuses_a_store_older_than_known() {
    let bench = Bench::start().await;
    let error = bench.repository.read_head(7).await.expect_err("older");
    assert_eq!(
        error,
        RepositoryError::Older {
            known: 7,
            stored: 1
        }
    );
    let on_7 = Edit {
        base: Some(7),
        ..edit("news", customer("news", 1))
    };
    let error = bench.refused(&on_7).await;
    assert!(error.to_string().contains("--above 7"), "{error}");
    let above = Edit { above: 7, ..on_7 };
    assert_eq!(
        bench.repository.edit(&above).await.expect("edit").version,
        8
    );
}

/// Guards against a store that is away while an edit is made: an effect that is denied or claimed without proof.
#[tokio::test]
async fn reports_an_outage() {
    let bench = Bench::start().await;
    bench.store.set_faults(outage());
    let found = bench.refused(&edit("news", customer("news", 1))).await;
    assert_matches!(found => RepositoryError::Store(StoreError::Unavailable { .. }));
}

/// Guards against a store that fills up with texts that no recent version needs, and against the loss of one that
/// is still needed.
#[tokio::test]
async fn removes_old_texts() {
    let bench = Bench::start().await;
    let repository = bench.repository.clone().keeping(3);
    for rate in 1..=20 {
        let done = repository.edit(&edit("news", customer("news", rate))).await;
        done.expect("edit");
    }
    let left = bench.texts_of("news").await;
    assert!((3..=5).contains(&left), "{left} texts left of 20");
    for record in repository.history(3).await.expect("history") {
        let section = record.section.expect("put");
        let text = bench.store.get(&section_key(&section)).await.expect("get");
        assert!(text.is_some(), "text of version {} is gone", record.version);
    }
    assert_eq!(bench.text("news").await, customer("news", 20));
    assert_eq!(repository.history(100).await.expect("history").len(), 21);
}

/// Guards against limits that are exceeded while hosts use different lists of data centres.
#[tokio::test]
async fn changes_data_centres_only_in_safe_steps() {
    let bench = Bench::start().await;
    let repository = &bench.repository;
    let with_shares = |list: &str, shares: u32| fleet(list) + &format!("shares = {shares}\n");
    let put = async |text: String| repository.edit(&edit("ops", text)).await;
    // Without customers nothing is shared yet.
    put(fleet("a, b, c")).await.expect("no customers");
    put(fleet("a, b, c, d")).await.expect("no customers");
    bench.put("news", 100).await;
    for list in ["a, b, c", "a, b, c, d, e", "a, b, c, e"] {
        let error = put(fleet(list))
            .await
            .expect_err("shares differ between hosts");
        assert!(error.to_string().contains("shares"), "{error}");
    }
    let waits = |minutes: u64| bench.clock.advance(Duration::from_mins(minutes));
    let four_of_five = with_shares("a, b, c, d", 5);
    // Minutes before the step, the list, whether it is accepted.
    for (minutes, text, is_accepted, why) in [
        // Adding one: lower every share, wait until no host uses the old list, then add.
        (0, four_of_five.clone(), true, "lower shares"),
        (0, fleet("a, b, c, d, e"), false, "old list in use"),
        (119, fleet("a, b, c, d, e"), false, "old list in use"),
        (2, fleet("a, b, c, d, e"), true, "old list out of use"),
        // Removing one: keep the shares, wait, then raise them.
        (0, four_of_five, true, "remove"),
        (0, fleet("a, b, c, d"), false, "the removed one may serve"),
        (121, fleet("a, b, c, d"), true, "raise shares"),
    ] {
        waits(minutes);
        assert_eq!(put(text).await.is_ok(), is_accepted, "{why}");
    }
}

/// Guards against three lists that are safe in pairs but not all at once, in three data centres that are each cut
/// off with another one.
#[tokio::test]
async fn counts_all_lists_of_data_centres_in_use_together() {
    let bench = Bench::start().await;
    let put = async |list: &str| {
        let text = fleet(list) + "shares = 4\n";
        bench.repository.edit(&edit("ops", text)).await
    };
    put("a, b").await.expect("no customers");
    bench.put("news", 100).await;
    put("c, d").await.expect("four quarters");
    bench.clock.advance(Duration::from_hours(1));
    put("e, f").await.expect_err("six quarters");
    bench.clock.advance(Duration::from_mins(61));
    put("e, f").await.expect("four quarters");
}

/// Guards against an edit that is lost, made twice or wrongly reported while editors race, replies are lost, and the
/// store throttles and fails. Compares the history with what each editor was told.
#[tokio::test(start_paused = true)]
async fn racing_edits_under_faults_agree_with_the_history() {
    let mut told = BTreeMap::from([("ok", 0), ("refused", 0), ("unknown", 0)]);
    for seed in 0..150 {
        let bench = Bench::start().await;
        let editors = (0..4_u64).map(|editor| {
            let repository = bench.repository.clone();
            tokio::spawn(async move {
                let mut rng = StdRng::seed_from_u64(seed * 10 + editor);
                let mut outcomes = Vec::new();
                for k in 0..8 {
                    let team = ["news", "sport", "radio"][rng.random_range(0..3)];
                    let by = format!("editor-{editor}-{k}");
                    let change = if rng.random_ratio(1, 5) {
                        removal(team)
                    } else {
                        edit(team, customer(team, rng.random_range(1..100)))
                    };
                    let change = Edit {
                        by: by.clone(),
                        ..change
                    };
                    outcomes.push((by, repository.edit(&change).await));
                    tokio::time::sleep(Duration::from_millis(rng.random_range(0..20))).await;
                }
                outcomes
            })
        });
        let editors: Vec<_> = editors.collect();
        let mut rng = StdRng::seed_from_u64(seed + 1_000);
        while editors.iter().any(|editor| !editor.is_finished()) {
            bench.store.set_faults(StoreFaults {
                outage: rng.random_ratio(1, 4),
                delay: Duration::from_millis(rng.random_range(1..4)),
                lost_replies: rng.random_range(0..4),
                calls_per_second: None,
            });
            tokio::time::sleep(Duration::from_millis(rng.random_range(1..15))).await;
        }
        bench.store.set_faults(StoreFaults::default());
        let history = bench.repository.history(1_000).await.expect("history");
        let versions: Vec<_> = history.iter().map(|record| record.version).collect();
        let expected: Vec<_> = (1..=versions.len() as u64).rev().collect();
        assert_eq!(versions, expected, "seed {seed}");
        for editor in editors {
            for (by, outcome) in editor.await.expect("editor") {
                let found: Vec<_> = history.iter().filter(|record| record.by == by).collect();
                match outcome {
                    Ok(record) => {
                        assert_eq!(found, [&record], "seed {seed} {by}");
                        *told.get_mut("ok").expect("key") += 1;
                    }
                    Err(RepositoryError::OutcomeUnknown { edit, .. }) => {
                        assert!(found.len() <= 1, "seed {seed} {by}");
                        assert!(found.iter().all(|record| record.edit == edit));
                        *told.get_mut("unknown").expect("key") += 1;
                    }
                    Err(error) => {
                        assert!(found.is_empty(), "seed {seed} {by}: {error}, but {found:?}");
                        *told.get_mut("refused").expect("key") += 1;
                    }
                }
            }
        }
        // The document is what the history says.
        let head = bench.head().await;
        for team in ["news", "sport", "radio"] {
            let last = history.iter().find(|record| &*record.team == team);
            let section = last.and_then(|record| record.section.as_ref());
            assert_eq!(head.section(team), section, "seed {seed} {team}");
            if section.is_some() {
                bench.text(team).await;
            }
        }
    }
    println!("edits under faults: {told:?}");
    assert!(
        told.values().all(|count| *count > 0),
        "a kind of outcome was not met: {told:?}"
    );
}

/// Guards against a head that outgrows the store's value size.
#[test]
fn a_head_for_4000_customers_fits() {
    let mut head = HeadRecord::default();
    for k in 0..400 {
        let team: TeamId = format!("team-with-a-long-name-{k:04}").into();
        head.head
            .sections
            .push(hibiscusspread::process::message::SectionRef {
                team: team.clone(),
                version: u64::MAX - 1,
                hash: [0xff; 32],
            });
        head.removed
            .insert(format!("{team}-removed").into(), u64::MAX);
    }
    let size = encode_record(&head).len();
    println!("head with 400 sections and 400 removed teams: {size} bytes");
    assert!(size < MAX_VALUE_BYTES / 4, "{size} bytes");
    // A watcher reads the head with each poll and with each of 2,300 changes a day.
    let rate = size as f64 * (1.0 / 30.0 + 2_300.0 / 86_400.0);
    println!("reading it costs a watcher {rate:.0} B/s on average");
    assert!(rate < 22_000.0, "{rate} B/s");
}

/// A document of `teams` sections with ten customers each, every one with a key.
pub fn large_document(teams: usize) -> BTreeMap<TeamId, String> {
    let mut sections = BTreeMap::from([("ops".into(), fleet("a, b, c, d"))]);
    for team in 0..teams {
        let mut text = String::new();
        for k in 0..10 {
            let hash = write_hash(&hash_key(&format!("key-{team}-{k}")));
            let _ = write!(
                text,
                "[team{team}/customer/c{team}-{k}]\nrate = 1000\nburst = 5000\n\
                 [team{team}/key/k{team}-{k}]\ncustomer = c{team}-{k}\nhash = {hash}\n"
            );
        }
        sections.insert(format!("team{team}").into(), text);
    }
    sections
}
