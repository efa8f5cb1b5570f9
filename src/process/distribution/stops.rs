//! Waits for planned stops, which begin at a set time without a change of the configuration.

use std::time::Duration;

use crate::prelude::*;
use crate::version::cell::VersionCell;

/// The longest sleep, because the system's calendar time may be set meanwhile.
const MAX_SLEEP: Duration = Duration::from_secs(5);

/// Waits until a planned stop of `host` is in force.
pub async fn wait_for_host_stop(versions: &VersionCell, clock: &dyn Clock, host: &HostId) {
    let mut changed = versions.subscribe();
    loop {
        let compiled = versions.current();
        let time = clock.calendar();
        if compiled.is_host_stopping(host, time) {
            return;
        }
        let next = compiled.next_stop_change(time);
        let Some(wait) = next.and_then(|next| next.duration_since(time).ok()) else {
            // Without planned stops, only a new version can bring one.
            if changed.changed().await.is_err() {
                return std::future::pending().await;
            }
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep(wait.min(MAX_SLEEP)) => {}
            result = changed.changed() => if result.is_err() {
                return std::future::pending().await;
            },
        }
    }
}
