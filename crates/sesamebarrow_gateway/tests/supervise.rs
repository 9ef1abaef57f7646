//! Tests of tasks that must not end.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use sesamebarrow_gateway::supervise;

#[tokio::test(start_paused = true)]
async fn task_that_panics_is_started_again() {
    let starts = Arc::new(AtomicU32::new(0));
    let counted = starts.clone();
    supervise::spawn("test", move || {
        let starts = counted.clone();
        async move {
            assert!(
                starts.fetch_add(1, Ordering::Relaxed) >= 2,
                "an unexpected message"
            );
            std::future::pending::<()>().await;
        }
    });
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    assert_eq!(starts.load(Ordering::Relaxed), 3);
}

#[tokio::test]
async fn request_whose_handler_panics_is_not_left_unanswered() {
    async fn fail() -> u32 {
        panic!("an unexpected message")
    }
    assert_eq!(supervise::catch("test", fail()).await, None);
    assert_eq!(supervise::catch("test", async { 7 }).await, Some(7));
}
