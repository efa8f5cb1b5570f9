//! Tasks that outlive their requests. A host that shuts down waits for them.

use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Spawns tasks and counts those that still run.
#[derive(Debug, Clone, Default)]
pub struct BackgroundTasks {
    running: watch::Sender<usize>,
}

/// Counts one task as running until it is dropped, also if the task panics or is aborted.
struct RunningGuard(watch::Sender<usize>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.send_modify(|running| *running -= 1);
    }
}

impl BackgroundTasks {
    /// Spawns a task on the current runtime.
    pub fn spawn<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> JoinHandle<T> {
        self.running.send_modify(|running| *running += 1);
        let guard = RunningGuard(self.running.clone());
        tokio::spawn(async move {
            let _guard = guard;
            task.await
        })
    }

    /// Waits until no task runs, at most for `within`; returns the number of tasks that still run.
    pub async fn wait_until_idle(&self, within: Duration) -> usize {
        let mut running = self.running.subscribe();
        // `self` keeps the sender alive, so that the only possible error is the timeout.
        let _ = tokio::time::timeout(within, running.wait_for(|running| *running == 0)).await;
        *self.running.borrow()
    }
}
