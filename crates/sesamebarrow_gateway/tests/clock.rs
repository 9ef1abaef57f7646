//! Tests of the clock of decisions.

use std::time::{Duration, Instant};

use sesamebarrow_gateway::clock;

#[test]
fn clock_goes_on_at_least_as_fast_as_the_steady_one() {
    let (started_at, steady) = (clock::now(), Instant::now());
    std::thread::sleep(Duration::from_millis(50));
    let steady = steady.elapsed();
    let passed = clock::now().saturating_sub(started_at);
    assert!(passed >= steady, "{passed:?} passed, {steady:?} steadily");
}
