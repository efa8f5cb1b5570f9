//! Tasks that requests leave behind, so that a host that stops can wait for them.

use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Starts tasks and counts those that still run.
#[derive(Debug, Clone, Default)]
pub struct BackgroundTasks {
    running: watch::Sender<usize>,
}

/// Counts one task for as long as it lives, whether it ends, panics or is aborted.
struct Counted(watch::Sender<usize>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.send_modify(|running| *running -= 1);
    }
}

impl BackgroundTasks {
    /// Starts a task.
    pub fn spawn<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> JoinHandle<T> {
        self.running.send_modify(|running| *running += 1);
        let counted = Counted(self.running.clone());
        tokio::spawn(async move {
            let _counted = counted;
            task.await
        })
    }

    /// Waits until no task runs; returns how many still run after `within`.
    pub async fn wait_until_idle(&self, within: Duration) -> usize {
        let mut running = self.running.subscribe();
        // The sender lives as long as `self`, so only the time can run out.
        let _ = tokio::time::timeout(within, running.wait_for(|running| *running == 0)).await;
        *self.running.borrow()
    }
}
