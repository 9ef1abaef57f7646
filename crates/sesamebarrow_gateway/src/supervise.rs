//! Keeps the tasks running that an instance cannot do without.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;

/// Pause before a task that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Spawns a task that starts `task` again whenever it ends, which it does only by a panic. Otherwise one
/// unexpected message could leave the process running but deaf.
pub fn spawn<F>(name: &'static str, task: impl Fn() -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        loop {
            if let Err(error) = tokio::spawn(task()).await {
                log::error!(task = name, error:% = error; "task failed, starting it again");
                metrics::counter!("sesamebarrow_task_failures_total", "task" => name).increment(1);
            }
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    });
}

/// Returns the result of `work`, or `None` if it has panicked, which the panic hook logs. What the panic left in
/// shared tables remains usable, as for tasks that are started again.
pub async fn catch<T>(name: &'static str, work: impl Future<Output = T>) -> Option<T> {
    let result = AssertUnwindSafe(work).catch_unwind().await.ok();
    if result.is_none() {
        metrics::counter!("sesamebarrow_task_failures_total", "task" => name).increment(1);
    }
    result
}
