//! Data stays in allowed regions, and keys never reach upstreams.

use super::*;

process_test!(no_upstream_receives_a_key_wherever_it_appears, env, {
    let http = env.fleet.instance(0).http;
    let bearer = bearer(KEY);
    let key = ("authorization", bearer.as_str());
    send_prompt(http, KEY, 1).await?;
    http::call(http, "POST", "/s/statements/g", &[("x-api-key", KEY)], "{}").await?;
    let path = format!("/s/statements/g/{KEY}");
    let in_path = http::call(http, "POST", &path, &[key], "{}").await?;
    let encoded = KEY.replace('-', "%2D");
    let path = format!("/s/statements/g?q={encoded}");
    let in_query = http::call(http, "POST", &path, &[key], "{}").await?;
    let body = format!("{{\"k\":\"{KEY}\"}}");
    let in_body = http::call(http, "POST", "/s/statements/g", &[key], body).await?;
    let in_headers = [key, ("accept", KEY), ("x-custom", KEY), ("cookie", KEY)];
    let in_headers = http::call(http, "POST", "/s/statements/g", &in_headers, "{}").await?;
    let two_keys = [key, ("x-api-key", OTHER_KEY)];
    let two_keys = http::call(http, "POST", "/s/statements/g", &two_keys, "{}").await?;
    for refused in [in_path, in_query, in_body, in_headers, two_keys] {
        assert_eq!(refused.status, 400, "{}", refused.text());
        assert_eq!(outcome(&refused), "not-run");
    }
    let seen = env.fleet.upstreams[0].seen();
    assert_eq!(
        seen.paths.len(),
        2,
        "only the two valid requests reach the upstream"
    );
    let received = format!("{:?}{:?}{:?}", seen.headers, seen.paths, seen.runs);
    assert!(!received.contains(KEY));
    let log = env.fleet.log(0)?;
    assert!(!log.contains(KEY) && log.contains("outcome=not-run"));
});

process_test!(
    a_withdrawn_key_is_refused_and_ends_its_running_streams,
    env,
    {
        let http = env.fleet.instance(0).http;
        assert_eq!(send_prompt(http, KEY, 1).await?.status, 200);
        // The key is withdrawn while this long response is running.
        let running = tokio::spawn(send_prompt(http, KEY, 10_000));
        let upstream = env.fleet.upstreams[0].clone();
        wait_until("the long request to reach the upstream", || async {
            upstream.seen().paths.len() == 2
        })
        .await?;
        env.fleet.platform.publish("rules", 2, rules(&[OTHER_KEY]));
        wait_until("the key to be refused", || async {
            send_prompt(http, KEY, 1)
                .await
                .is_ok_and(|r| r.status == 401)
        })
        .await?;
        let interrupted = running.await??;
        assert!(
            !interrupted.complete,
            "a running stream must end when its key is withdrawn"
        );
        assert_eq!(send_prompt(http, OTHER_KEY, 1).await?.status, 200);
    }
);

process_test!(
    a_suspended_instance_does_not_accept_a_withdrawn_key_when_resumed,
    env,
    {
        let http = env.fleet.instance(0).http;
        assert_eq!(send_prompt(http, KEY, 1).await?.status, 200);
        env.fleet.instances[0].suspend().await?;
        let pending = tokio::spawn(send_prompt(http, KEY, 1));
        env.fleet.platform.publish("rules", 2, rules(&[OTHER_KEY]));
        let other = env.fleet.instance(1).http;
        wait_until("the key to be refused by another instance", || async {
            send_prompt(other, KEY, 1)
                .await
                .is_ok_and(|r| r.status == 401)
        })
        .await?;
        // Longer than the policy's `pause_threshold` of 2 s, so that the instance notices the
        // pause.
        tokio::time::sleep(Duration::from_secs(3)).await;
        let before = env.fleet.upstreams[0].seen().paths.len();
        env.fleet.instances[0].signal(Signal::SIGCONT)?;
        let response = pending.await??;
        assert!(
            response.status == 401 || response.status == 503,
            "{}",
            response.text()
        );
        assert_eq!(outcome(&response), "not-run");
        assert_eq!(env.fleet.upstreams[0].seen().paths.len(), before);
    }
);

process_test!(
    an_instance_in_a_region_not_allowed_refuses_a_request_before_its_body_arrives,
    env,
    {
        // The headers announce a body that is never sent, so the refusal must not wait for it.
        let http = env.fleet.instance(2).http;
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
            "no allowed instance is named: {response}"
        );
    }
);
