//! Where data and keys may go.

use super::*;

case!(no_upstream_sees_a_key_wherever_it_stands, trial, {
    let http = trial.fleet.instance(0).http;
    let bearer = bearer(KEY);
    let key = ("authorization", bearer.as_str());
    ask(http, KEY, 1).await?;
    http::call(http, "POST", "/s/statements/g", &[("x-api-key", KEY)], "{}").await?;
    let path = format!("/s/statements/g/{KEY}");
    let in_path = http::call(http, "POST", &path, &[key], "{}").await?;
    let encoded = KEY.replace('-', "%2D");
    let path = format!("/s/statements/g?q={encoded}");
    let in_query = http::call(http, "POST", &path, &[key], "{}").await?;
    let body = format!("{{\"k\":\"{KEY}\"}}");
    let in_body = http::call(http, "POST", "/s/statements/g", &[key], body).await?;
    let in_field = [key, ("accept", KEY), ("x-custom", KEY), ("cookie", KEY)];
    let in_field = http::call(http, "POST", "/s/statements/g", &in_field, "{}").await?;
    let two = [key, ("x-api-key", OTHER_KEY)];
    let two = http::call(http, "POST", "/s/statements/g", &two, "{}").await?;
    for refused in [in_path, in_query, in_body, in_field, two] {
        assert_eq!(refused.status, 400, "{}", refused.text());
        assert_eq!(outcome(&refused), "not-run");
    }
    let seen = trial.fleet.upstreams[0].seen();
    assert_eq!(seen.paths.len(), 2, "only the two sound requests went on");
    let all = format!("{:?}{:?}{:?}", seen.headers, seen.paths, seen.runs);
    assert!(!all.contains(KEY));
    let log = trial.fleet.log(0)?;
    assert!(!log.contains(KEY) && log.contains("outcome=not-run"));
});

case!(
    a_withdrawn_key_stops_on_open_connections_without_the_platform,
    trial,
    {
        let http = trial.fleet.instance(0).http;
        assert_eq!(ask(http, KEY, 1).await?.status, 200);
        // A long answer runs while its key is withdrawn.
        let running = tokio::spawn(ask(http, KEY, 10_000));
        let upstream = trial.fleet.upstreams[0].clone();
        wait_until("the long answer", || async {
            upstream.seen().paths.len() == 2
        })
        .await?;
        trial
            .fleet
            .platform
            .publish("rules", 2, rules(&[OTHER_KEY]));
        wait_until("the withdrawal", || async {
            ask(http, KEY, 1).await.is_ok_and(|a| a.status == 401)
        })
        .await?;
        let cut = running.await??;
        assert!(!cut.complete, "a running stream ends with its key");
        assert_eq!(ask(http, OTHER_KEY, 1).await?.status, 200);
    }
);

case!(a_frozen_instance_does_not_act_on_a_withdrawn_key, trial, {
    let http = trial.fleet.instance(0).http;
    assert_eq!(ask(http, KEY, 1).await?.status, 200);
    trial.fleet.instances[0].freeze().await?;
    let waiting = tokio::spawn(ask(http, KEY, 1));
    trial
        .fleet
        .platform
        .publish("rules", 2, rules(&[OTHER_KEY]));
    let other = trial.fleet.instance(1).http;
    wait_until("the withdrawal elsewhere", || async {
        ask(other, KEY, 1).await.is_ok_and(|a| a.status == 401)
    })
    .await?;
    // Longer than what counts as a pause of the process.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = trial.fleet.upstreams[0].seen().paths.len();
    trial.fleet.instances[0].signal(Signal::SIGCONT)?;
    let response = waiting.await??;
    assert!(
        response.status == 401 || response.status == 503,
        "{}",
        response.text()
    );
    assert_eq!(outcome(&response), "not-run");
    assert_eq!(trial.fleet.upstreams[0].seen().paths.len(), before);
});

case!(
    data_is_refused_from_the_head_alone_in_a_region_not_allowed,
    trial,
    {
        // The body is announced and never sent: the refusal must not wait for it.
        let http = trial.fleet.instance(2).http;
        let mut stream = tokio::net::TcpStream::connect(http).await?;
        let head = format!(
            "POST /s/statements/g HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\nexpect: 100-continue\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        let mut response = vec![0; 4096];
        let length = stream.read(&mut response).await?;
        let response = String::from_utf8_lossy(&response[..length]).into_owned();
        assert!(response.starts_with("HTTP/1.1 421"), "{response}");
        assert!(
            response.contains("lim-1-a"),
            "it names the right instances: {response}"
        );
    }
);
