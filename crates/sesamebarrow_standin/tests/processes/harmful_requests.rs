//! Requests that crash each upstream that runs them, and come again.

use super::*;

/// Number of crashes after which at most [`ALLOWED_AFTER`] more requests may reach upstreams.
const CRASHES: usize = 3;

const ALLOWED_AFTER: usize = 3;

/// Time in which instances learn of something.
const CONTACT_TIME: Duration = Duration::from_secs(6);

const REQUESTS: usize = 12;

fn arrivals(env: &TestEnv) -> usize {
    let seen = env.fleet.upstreams[1].seen();
    seen.paths.iter().filter(|p| p.contains("harm")).count()
}

async fn read(http: SocketAddr, path: &str) -> anyhow::Result<ReceivedResponse> {
    let bearer = bearer(KEY);
    let headers = [("authorization", bearer.as_str())];
    http::call(http, "GET", path, &headers, "").await
}

process_test!(
    a_request_that_crashes_upstreams_is_contained_over_all_instances,
    env,
    {
        env.fleet.upstreams[1].crash_at("harm");
        let instances = [env.fleet.instance(0).http, env.fleet.instance(1).http];
        for number in 0..60 {
            if arrivals(&env) >= CRASHES {
                break;
            }
            // The upstream may be away, or the caller sees the crash.
            let _ = read(instances[number % 2], "/s/payouts/harm").await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        assert!(arrivals(&env) >= CRASHES, "too few crashes");
        tokio::time::sleep(CONTACT_TIME).await;
        let before = arrivals(&env);
        for number in 0..REQUESTS {
            let http = instances[number % 2];
            let _ = read(http, "/s/payouts/harm").await;
            let response = read(http, "/s/payouts/hours").await?;
            assert_eq!(response.status, 200, "{}", response.text());
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
        let after = arrivals(&env) - before;
        assert!(after <= ALLOWED_AFTER, "{after} harmful requests arrived");
    }
);
