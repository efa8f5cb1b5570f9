//! The stand-ins of the cases and the cases themselves: `stand-ins CASE FOLDER RECORD`. FOLDER takes settings and logs of the hosts,
//! RECORD is the file of the record. With `TROUBLE=0` in the environment the disruption is left out. The exit code is 1 if the rule was
//! broken, 0 if it held, and 2 if the case couldn't run.

mod host;
mod http;
mod json;
mod record;
mod runner;
mod store;

#[path = "../10/case.rs"]
mod case_10;
#[path = "../6/case.rs"]
mod case_6;
#[path = "../7/case.rs"]
mod case_7;
#[path = "../8/case.rs"]
mod case_8;
#[path = "../9/case.rs"]
mod case_9;

use std::path::Path;
use std::thread;
use std::time::Duration;

/// The time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = &args[..] else {
        eprintln!("usage: stand-ins CASE FOLDER RECORD");
        std::process::exit(2);
    };
    record::start(Path::new(record));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        host::give_up("out of time");
    });
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let broken = match &**case {
        "6" => case_6::run(Path::new(folder), has_trouble),
        "7" => case_7::run(Path::new(folder), has_trouble),
        "8" => case_8::run(Path::new(folder), has_trouble),
        "9" => case_9::run(Path::new(folder), has_trouble),
        "10" => case_10::run(Path::new(folder), has_trouble),
        _ => host::give_up("no such case"),
    };
    for line in &broken {
        record!("BROKEN {line}");
        println!("BROKEN {line}");
    }
    println!(
        "case {case}, trouble {has_trouble}: {} broken",
        broken.len()
    );
    std::process::exit(i32::from(!broken.is_empty()));
}
