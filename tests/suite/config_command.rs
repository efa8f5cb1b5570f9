//! The `config` commands and the example files.

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::Arc;

use hibiscusspread::command::CommandError;
use hibiscusspread::command::config::{self, EditOptions};
use hibiscusspread::emulator::clock::ManualClock;
use hibiscusspread::emulator::store::MemoryStore;
use hibiscusspread::process::settings::Settings;
use hibiscusspread::version::repository::Repository;

use crate::fixtures::outage;
use crate::repository::{customer, fleet};

struct Bench {
    store: Arc<MemoryStore>,
    repository: Repository,
}

fn options(team: &str) -> EditOptions {
    EditOptions {
        team: team.to_owned(),
        by: "kim".to_owned(),
        base: None,
        above: 0,
    }
}

impl Bench {
    async fn start() -> Self {
        let clock = Arc::new(ManualClock::default());
        let store = MemoryStore::new(clock.clone());
        let repository = Repository::new(store.clone(), clock);
        let bench = Self { store, repository };
        bench.put("ops", &fleet("a")).await.expect("put");
        bench.put("news", &customer("news", 10)).await.expect("put");
        bench
    }

    async fn put(&self, team: &str, text: &str) -> Result<String, CommandError> {
        let mut out = Vec::new();
        let file = Path::new("section.ini");
        config::put(&self.repository, &options(team), file, text, &mut out).await?;
        Ok(String::from_utf8(out).expect("text"))
    }

    async fn show(&self, team: Option<&str>) -> Result<String, CommandError> {
        let mut out = Vec::new();
        config::show(&self.repository, team, &mut out).await?;
        Ok(String::from_utf8(out).expect("text"))
    }
}

fn usage(error: CommandError) -> String {
    match error {
        CommandError::Usage(message) => message,
        CommandError::Failed(message) => panic!("not wrong input: {message}"),
    }
}

fn failure(error: CommandError) -> String {
    match error {
        CommandError::Failed(message) => message,
        CommandError::Usage(message) => panic!("reported as wrong input: {message}"),
    }
}

/// Guards against an editor who saves what `show` printed over a change made meanwhile.
#[tokio::test]
async fn a_shown_section_can_be_put_again_but_only_once() {
    let bench = Bench::start().await;
    let shown = bench.show(Some("news")).await.expect("show");
    assert!(
        shown.starts_with("# team news, version 2\n[news/customer/news]\n"),
        "{shown}"
    );
    let edited = shown.replace("rate = 10", "rate = 11");
    assert_eq!(
        bench.put("news", &edited).await.expect("put"),
        "version 3 accepted\n"
    );
    let message = failure(
        bench
            .put("news", &edited)
            .await
            .expect_err("based on version 2"),
    );
    assert!(
        message.contains("version 3") && message.contains("version 2"),
        "{message}"
    );
    assert!(!message.contains('\n'), "{message}");
    let whole = bench.show(None).await.expect("show");
    assert!(
        whole.starts_with("# version 3\n# team news, version 3\n"),
        "{whole}"
    );
    assert!(
        whole.contains("# team ops, version 1\n[ops/fleet/main]"),
        "{whole}"
    );
    assert_eq!(whole.matches("# team news").count(), 1);
}

/// Guards against a problem without its file, section, key or remedy, and against a wrong exit status.
#[tokio::test]
async fn problems_name_file_section_key_and_remedy() {
    let bench = Bench::start().await;
    let wrong = "[news/customer/news]\nrate = 0\nburst = 1\nspeed = 3\n";
    let message = usage(bench.put("news", wrong).await.expect_err("wrong"));
    let lines: Vec<_> = message.lines().collect();
    assert_eq!(lines.len(), 2, "{message}");
    assert!(lines[0].starts_with("section.ini: [news/customer/news] rate: must be between"));
    assert!(lines[1].starts_with("section.ini: [news/customer/news] speed: unknown key; known"));
    let message = usage(bench.show(Some("sport")).await.expect_err("unknown team"));
    assert!(message.contains("sport"), "{message}");
    bench.store.set_faults(outage());
    let message = failure(bench.show(None).await.expect_err("outage"));
    assert!(message.contains("store"), "{message}");
}

/// Guards against a history that lacks an edit or its author, or lists it in another order.
#[tokio::test]
async fn history_lists_the_newest_edit_first() {
    let bench = Bench::start().await;
    let mut out = Vec::new();
    config::remove(&bench.repository, &options("news"), &mut out)
        .await
        .expect("remove");
    out.clear();
    config::history(&bench.repository, 2, &mut out)
        .await
        .expect("history");
    let text = String::from_utf8(out).expect("text");
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(
        lines[0].starts_with("3 ") && lines[0].contains("team news removed, by kim"),
        "{text}"
    );
    assert!(
        lines[1].starts_with("2 ") && lines[1].contains("team news added, by kim"),
        "{text}"
    );
}

fn run(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hibiscusspread"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("binary starts");
    let mut stdin = child.stdin.take().expect("piped");
    // A command that doesn't read its input closes the pipe.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("binary ends")
}

/// Guards against a key that hashes differently from a caller's, and against unusable keys.
#[test]
fn hash_key_reads_one_key() {
    let out = run(&["config", "hash-key"], "secret-1\n");
    let expected = format!("hash = blake3:{}\n", blake3::hash(b"secret-1").to_hex());
    assert_eq!(String::from_utf8_lossy(&out.stdout), expected);
    for input in [
        "",
        "\n",
        "two words\n",
        "two\nlines\n",
        "caf\u{e9}\n",
        &"x".repeat(5_000),
    ] {
        let out = run(&["config", "hash-key"], input);
        assert_eq!(out.status.code(), Some(2), "{input:?}");
        assert!(out.stdout.is_empty(), "{input:?}");
    }
}

/// Guards against wrong input that is accepted, gets no remedy, or another exit status than 2.
#[test]
fn wrong_input_exits_with_2() {
    let file = std::env::temp_dir().join(format!("hibiscusspread-{}.ini", std::process::id()));
    std::fs::write(&file, "[t/customer/c]\nrate = many\n[loose]\nkey = 1\n").expect("file");
    let wrong = file.display().to_string();
    let cases: [&[&str]; 5] = [
        &["config", "check", &wrong],
        &["config", "check", "no-such-file.ini"],
        &["config", "put", "--store", "127.0.0.1:1", "--team", "t"],
        &[
            "config",
            "history",
            "--store",
            "127.0.0.1:1",
            "--limit",
            "x",
        ],
        &["config", "check"],
    ];
    for arguments in cases {
        let out = run(arguments, "");
        assert_eq!(out.status.code(), Some(2), "{arguments:?}");
        assert!(!out.stderr.is_empty(), "{arguments:?}");
    }
    let out = run(&["config", "check", &wrong], "");
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    std::fs::remove_file(&file).expect("file");
    for part in [
        "[loose]: section header is not",
        "[t/customer/c] rate: \"many\" is not a number",
        "[t/customer/c] burst: missing",
        "[fleet]: no fleet",
    ] {
        assert!(
            text.contains(&format!("{wrong}: {part}")),
            "{part} missing in {text}"
        );
    }
}

/// Guards against examples that no longer load.
#[test]
fn the_examples_are_valid() {
    for name in ["tillicum", "swanreach"] {
        let path = PathBuf::from(format!("examples/{name}.ini"));
        let settings = Settings::load(&path).expect("settings load");
        assert!(settings.store_address.is_some(), "{name}: no store");
        assert!(settings.host_list_address.is_some(), "{name}: no host list");
        assert_eq!(settings.config_file, None);
        let document = format!("examples/{name}-config.ini");
        let out = run(&["config", "check", &document], "");
        assert!(
            out.status.success(),
            "{}",
            String::from_utf8_lossy(&out.stderr)
        );
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        assert!(text.contains("5 customers, 5 keys"), "{text}");
    }
}
