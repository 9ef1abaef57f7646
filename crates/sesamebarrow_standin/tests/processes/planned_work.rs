//! A request that was read is answered or refused whatever planned work goes on.

use std::io;

use tokio::net::{TcpSocket, TcpStream};

use super::*;

/// Length of a body that the receive buffer of a connection does not hold.
const LARGE_BODY_BYTES: usize = 1024 * 1024;

/// Length of a response that the buffers between an upstream and a caller do not hold.
const LARGE_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Writes a request head and `body` on `stream`.
async fn write_request(
    stream: &mut TcpStream,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{line}\r\nhost: x\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body).await
}

/// Reads what arrives on `stream` until its end.
async fn read_all(stream: &mut TcpStream) -> io::Result<String> {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Sends 8 prompts to the first instance and waits until all of them run.
async fn start_prompts(
    env: &TestEnv,
) -> anyhow::Result<Vec<tokio::task::JoinHandle<anyhow::Result<ReceivedResponse>>>> {
    let http = env.fleet.instance(0).http;
    let running = (0..8).map(|_| tokio::spawn(send_prompt(http, KEY, 200)));
    let running = running.collect();
    let upstream = env.fleet.upstreams[0].clone();
    wait_until("all requests to reach the upstream", || async {
        upstream.seen().paths.len() == 8
    })
    .await?;
    Ok(running)
}

/// Waits until the first instance has logged that it drains.
async fn wait_until_draining(env: &TestEnv) -> anyhow::Result<()> {
    wait_until("the instance to drain", || async {
        env.fleet
            .log(0)
            .is_ok_and(|log| log.contains("message=draining"))
    })
    .await
}

process_test!(reload_signal_cuts_no_response, mut env, {
    let running = start_prompts(&env).await?;
    env.fleet.instances[0].signal(Signal::SIGHUP)?;
    for response in running {
        let response = response.await??;
        assert!(response.complete && response.text().contains("[DONE]"));
    }
    let http = env.fleet.instance(0).http;
    // The last load report of the upstream may say for a while that it is full.
    wait_until("the instance to serve on", || async {
        send_prompt(http, KEY, 1)
            .await
            .is_ok_and(|r| r.status == 200)
    })
    .await?;
    assert!(env.fleet.instances[0].stop()?.success());
});

process_test!(repeated_stop_signal_cuts_no_response, mut env, {
    let running = start_prompts(&env).await?;
    env.fleet.instances[0].signal(Signal::SIGTERM)?;
    wait_until_draining(&env).await?;
    env.fleet.instances[0].signal(Signal::SIGTERM)?;
    env.fleet.instances[0].signal(Signal::SIGHUP)?;
    for response in running {
        let response = response.await??;
        assert!(response.complete && response.text().contains("[DONE]"));
    }
    assert!(env.fleet.instances[0].wait()?.success());
});

process_test!(body_half_read_at_the_stop_is_read_and_answered, mut env, {
    let (http, admin) = (env.fleet.instance(0).http, env.fleet.instance(0).admin);
    let mut stream = TcpStream::connect(http).await?;
    let body = "{\"max_tokens\":1}";
    let head = format!(
        "POST /s/statements/generate HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    wait_until("the request to be admitted", || async {
        let state = fetch_state(admin).await;
        state.is_ok_and(|s| {
            s.json()["requests"]
                .as_array()
                .is_some_and(|r| r.len() == 1)
        })
    })
    .await?;
    env.fleet.instances[0].signal(Signal::SIGTERM)?;
    wait_until_draining(&env).await?;
    stream.write_all(body.as_bytes()).await?;
    let response = read_all(&mut stream).await?;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("[DONE]") && response.ends_with("\r\n0\r\n\r\n"));
    assert!(env.fleet.instances[0].wait()?.success());
});

process_test!(key_withdrawn_before_the_answer_refuses_its_request, env, {
    let http = env.fleet.instance(0).http;
    env.fleet.upstreams[0].set_fault(Fault::Silent);
    let running = tokio::spawn(send_prompt(http, KEY, 1));
    let upstream = env.fleet.upstreams[0].clone();
    wait_until("the request to reach the upstream", || async {
        upstream.seen().paths.len() == 1
    })
    .await?;
    env.fleet.platform.publish("rules", 2, rules(&[OTHER_KEY]));
    let response = running.await??;
    assert_eq!(response.status, 401, "{}", response.text());
    assert_eq!(outcome(&response), "unknown");
});

process_test!(
    answer_that_breaks_off_becomes_a_refusal_for_a_caller_of_http_1_0,
    env,
    {
        env.fleet.upstreams[0].set_fault(Fault::Cut);
        let mut stream = TcpStream::connect(env.fleet.instance(0).http).await?;
        let bearer = bearer(KEY);
        let headers = [("authorization", bearer.as_str())];
        let line = "POST /s/statements/generate HTTP/1.0";
        write_request(&mut stream, line, &headers, b"{\"max_tokens\":8}").await?;
        let response = read_all(&mut stream).await?;
        assert!(response.starts_with("HTTP/1.0 502"), "{response}");
        assert!(response.contains("\"outcome\":\"unknown\""), "{response}");
    }
);

process_test!(refusal_before_the_body_was_read_reaches_its_caller, env, {
    let http = env.fleet.instance(0).http;
    let body = vec![b'x'; LARGE_BODY_BYTES];
    let too_large = vec![b'x'; 2 * LARGE_BODY_BYTES];
    let bearer = bearer(KEY);
    let key = ("authorization", bearer.as_str());
    let close = ("connection", "close");
    for (headers, body, status) in [
        (vec![close], &body, "401"),
        (vec![key, close], &too_large, "413"),
        (vec![key, close, ("x-max-tokens", "many")], &body, "400"),
    ] {
        for _ in 0..10 {
            let mut stream = TcpStream::connect(http).await?;
            let line = "POST /s/statements/generate HTTP/1.1";
            write_request(&mut stream, line, &headers, body).await?;
            let response = read_all(&mut stream).await?;
            let start = format!("HTTP/1.1 {status}");
            assert!(response.starts_with(&start), "{response}");
            assert!(response.contains("\"outcome\":\"not-run\""), "{response}");
        }
    }
});

/// Starts a deployment with these times of a shutdown.
async fn start_with_shutdown(notice: Duration, limit: Duration) -> anyhow::Result<TestEnv> {
    start_changed(&rules(&[KEY]), |deployment| {
        deployment.shutdown_notice = notice;
        deployment.shutdown_limit = limit;
    })
    .await
}

/// Sends requests whose upstreams never answer: a prompt and a payout to the first instance, and
/// a payout that another instance forwards to it.
async fn start_unanswered(
    env: &TestEnv,
) -> anyhow::Result<Vec<tokio::task::JoinHandle<anyhow::Result<ReceivedResponse>>>> {
    let (a, b) = (env.fleet.instance(0).http, env.fleet.instance(1).http);
    for upstream in &env.fleet.upstreams {
        upstream.set_fault(Fault::Silent);
    }
    let mut requests = vec![tokio::spawn(send_prompt(a, KEY, 1))];
    for http in [a, b] {
        let ticket = fetch_ticket(a).await?;
        requests.push(tokio::spawn(async move {
            let bearer = bearer(KEY);
            let headers = [
                ("authorization", bearer.as_str()),
                ("idempotency-key", ticket.as_str()),
            ];
            http::call(http, "POST", "/s/payouts/payouts", &headers, "pay-1").await
        }));
    }
    let upstreams = env.fleet.upstreams.clone();
    wait_until("the requests to reach the upstreams", || async {
        upstreams[0].seen().paths.len() == 1 && upstreams[1].seen().paths.len() == 2
    })
    .await?;
    Ok(requests)
}

/// Expects that each request is refused because its instance drains, and may have run.
async fn expect_draining(
    requests: Vec<tokio::task::JoinHandle<anyhow::Result<ReceivedResponse>>>,
) -> anyhow::Result<()> {
    for response in requests {
        let response = response.await??;
        assert_eq!(response.status, 503, "{}", response.text());
        assert!(response.text().contains("draining") && response.complete);
        assert_eq!(outcome(&response), "unknown");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_outlasts_the_shutdown_is_refused_before_its_limit() -> anyhow::Result<()> {
    let (notice, limit) = (Duration::from_millis(200), Duration::from_secs(4));
    let mut env = start_with_shutdown(notice, limit).await?;
    let requests = start_unanswered(&env).await?;
    env.fleet.instances[0].signal(Signal::SIGTERM)?;
    expect_draining(requests).await?;
    env.fleet.instances[0].wait()?;
    Ok(())
}

process_test!(interrupt_during_a_shutdown_refuses_what_is_left, mut env, {
    let requests = start_unanswered(&env).await?;
    env.fleet.instances[0].signal(Signal::SIGTERM)?;
    wait_until_draining(&env).await?;
    env.fleet.instances[0].signal(Signal::SIGINT)?;
    expect_draining(requests).await?;
    env.fleet.instances[0].wait()?;
});

#[tokio::test(flavor = "multi_thread")]
async fn request_forwarded_to_a_draining_instance_is_answered() -> anyhow::Result<()> {
    let (notice, limit) = (Duration::from_millis(500), Duration::from_secs(20));
    let mut env = start_with_shutdown(notice, limit).await?;
    let ticket = fetch_ticket(env.fleet.instance(0).http).await?;
    env.fleet.upstreams[1].set_fault(Fault::Late);
    env.fleet.instances[0].signal(Signal::SIGTERM)?;
    wait_until_draining(&env).await?;
    let response = send_payout(env.fleet.instance(1).http, &ticket, "pay-1").await?;
    assert_eq!(response.status, 200, "{}", response.text());
    assert!(env.fleet.instances[0].wait()?.success());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_to_a_slow_caller_survives_the_stop_of_the_instance_that_runs_it()
-> anyhow::Result<()> {
    let rules = rules(&[KEY]).replace("regions=lima ", "regions=lima,piura ")
        + "service reports kind=plain # luis\n\
           allow paita reports # rosa\n\
           route reports POST /reports idempotent # luis\n";
    let mut env = start_changed(&rules, |deployment| {
        // The ports of a deployment do not run out in a test.
        let _ = deployment.add_upstream("rep-lim", "lim-1", "reports", 8);
    })
    .await?;
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(16 * 1024)?;
    let mut stream = socket.connect(env.fleet.instance(2).http).await?;
    let bearer = bearer(KEY);
    let headers = [("authorization", bearer.as_str()), ("connection", "close")];
    let body = format!("{{\"padding\":{LARGE_RESPONSE_BYTES}}}");
    let line = "POST /s/reports/reports HTTP/1.1";
    write_request(&mut stream, line, &headers, body.as_bytes()).await?;
    let reports = env.fleet.upstreams[2].clone();
    wait_until("the request to reach the upstream", || async {
        reports.seen().paths.len() == 1
    })
    .await?;
    // One of these two runs the request.
    for index in [0, 1] {
        env.fleet.instances[index].signal(Signal::SIGTERM)?;
    }
    let mut received = 0;
    let mut buf = vec![0; 64 * 1024];
    loop {
        match stream.read(&mut buf).await? {
            0 => break,
            length => received += length,
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(received > LARGE_RESPONSE_BYTES, "{received} bytes");
    for index in [0, 1] {
        assert!(env.fleet.instances[index].wait()?.success());
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_arrive_as_the_listener_closes_are_answered() -> anyhow::Result<()> {
    let (notice, limit) = (Duration::from_secs(1), Duration::from_secs(20));
    let mut env = start_with_shutdown(notice, limit).await?;
    let http = env.fleet.instance(0).http;
    let bearer = bearer(KEY);
    let headers = [("authorization", bearer.as_str())];
    let line = "POST /s/statements/generate HTTP/1.1";
    let mut kept = TcpStream::connect(http).await?;
    write_request(&mut kept, line, &headers, b"{\"max_tokens\":1}").await?;
    let mut response = Vec::new();
    while !response.ends_with(b"\r\n0\r\n\r\n") {
        anyhow::ensure!(kept.read_buf(&mut response).await? > 0, "no whole response");
    }
    env.fleet.instances[0].signal(Signal::SIGTERM)?;
    wait_until_draining(&env).await?;
    // The end of the notice and all requests meet the process at once when it goes on.
    env.fleet.instances[0].suspend().await?;
    let mut streams = vec![kept];
    for _ in 0..20 {
        streams.push(TcpStream::connect(http).await?);
    }
    for stream in &mut streams {
        write_request(stream, line, &headers, b"{\"max_tokens\":1}").await?;
    }
    tokio::time::sleep(notice).await;
    env.fleet.instances[0].signal(Signal::SIGCONT)?;
    for mut stream in streams {
        let response = read_all(&mut stream).await?;
        assert!(response.contains("HTTP/1.1 503"), "{response}");
        assert!(response.contains("connection: close"), "{response}");
    }
    assert!(env.fleet.instances[0].wait()?.success());
    Ok(())
}

process_test!(
    request_sent_behind_a_running_one_is_answered_after_it,
    mut env,
    {
        let mut stream = TcpStream::connect(env.fleet.instance(0).http).await?;
        let bearer = bearer(KEY);
        let headers = [("authorization", bearer.as_str())];
        let line = "POST /s/statements/generate HTTP/1.1";
        for body in [b"{\"max_tokens\":300}", b"{\"max_tokens\":100}"] {
            write_request(&mut stream, line, &headers, body).await?;
        }
        let upstream = env.fleet.upstreams[0].clone();
        wait_until("the first request to reach the upstream", || async {
            upstream.seen().paths.len() == 1
        })
        .await?;
        env.fleet.instances[0].signal(Signal::SIGTERM)?;
        let responses = read_all(&mut stream).await?;
        assert!(responses.contains("[DONE]"), "{responses}");
        assert!(responses.contains("HTTP/1.1 503"), "no second response");
        assert!(env.fleet.instances[0].wait()?.success());
    }
);
