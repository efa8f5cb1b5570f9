//! What the process shows of a panic, whose task ends with nothing else.

use std::panic::PanicHookInfo;

use crate::process::metrics;

/// Logs and counts each panic of the process from now on, besides what the hook before does.
pub fn report_panics() {
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        before(panic);
    }));
}

fn report(panic: &PanicHookInfo<'_>) {
    ::metrics::counter!(metrics::PANICS).increment(1);
    let place = panic.location().map(ToString::to_string);
    let place = place.as_deref().unwrap_or("an unknown place");
    let cause = panic.payload_as_str().unwrap_or("no message");
    log::error!(target: "host", "panic at {place}: {cause}");
}
