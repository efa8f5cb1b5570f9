//! The load tool as a process: unreachable target, full disk, interrupted run.

use std::net::{Ipv4Addr, TcpListener};
use std::process::{Command, Output, Stdio};

use hibiscusspread::emulator::http::any_loopback;

fn load(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscusspread"));
    command.arg("load").args(args);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Guards against a table of failures, or exit status 0, when a run can't start.
#[test]
fn names_a_dead_address_and_a_full_disk() {
    let closed = TcpListener::bind(any_loopback()).expect("port is free");
    let address = closed.local_addr().expect("address is known").to_string();
    drop(closed);
    let cases: [(&[&str], &str); 2] = [
        (&["--target", &address], "does not answer"),
        (&["--json", "/dev/full"], "/dev/full"),
    ];
    for (args, cause) in cases {
        let output = load(args).output().expect("load runs");
        let errors = errors(&output);
        assert_eq!(output.status.code(), Some(1), "{errors}");
        assert!(errors.contains(cause), "{errors}");
        assert_eq!(errors.trim().lines().count(), 1, "{errors}");
        assert!(output.stdout.is_empty());
    }
}

/// Guards against an interrupted run whose results are lost or shown like those of a complete run.
#[test]
fn marks_an_interrupted_run_as_partial() {
    let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("port is free");
    let address = silent.local_addr().expect("address is known").to_string();
    let args = ["--target", &address, "--loads", "1,2", "--length", "10m"];
    let child = load(&args).spawn().expect("load runs");
    // The tool installs its signal handler before it contacts the target. The second connection is the first request.
    for _ in 0..2 {
        silent.accept().expect("load connects");
    }
    let pid = child.id().to_string();
    let killed = Command::new("kill").args(["-INT", &pid]).status();
    assert!(killed.expect("kill runs").success());
    let output = child.wait_with_output().expect("load ends");
    let errors = errors(&output);
    assert_eq!(output.status.code(), Some(1), "{errors}");
    assert!(errors.contains("interrupted in run 1 of 2"), "{errors}");
    let table = String::from_utf8_lossy(&output.stdout);
    assert!(table.contains("(partial)"), "{table}");
}
