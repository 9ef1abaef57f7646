//! Invalid or slow requests, and upstreams that truncate their responses or do not respond.

use super::*;

process_test!(
    a_response_truncated_by_its_upstream_is_visibly_incomplete,
    env,
    {
        let http = env.fleet.instance(0).http;
        let complete = send_prompt(http, KEY, 4).await?;
        assert!(complete.complete && complete.text().ends_with("data: [DONE]\n\n"));
        env.fleet.upstreams[0].set_fault(Fault::Cut);
        let truncated = send_prompt(http, KEY, 8).await?;
        assert_eq!(truncated.status, 200);
        assert!(
            !truncated.complete,
            "a truncated stream must not end cleanly"
        );
    }
);

process_test!(
    bytes_that_are_no_event_are_not_relayed_as_part_of_a_stream,
    env,
    {
        env.fleet.upstreams[0].set_fault(Fault::Noise);
        let response = send_prompt(env.fleet.instance(0).http, KEY, 4).await?;
        assert!(!response.complete, "it looks complete: {}", response.text());
        assert!(!response.text().contains(NOISE), "{}", response.text());
    }
);

process_test!(
    plain_response_of_an_upstream_that_crashes_and_closes_in_order_does_not_look_complete,
    env,
    {
        let http = env.fleet.instance(0).http;
        env.fleet.upstreams[1].set_fault(Fault::Crash);
        let ticket = fetch_ticket(http).await?;
        let order = send_payout(http, &ticket, "{\"order\":1}").await?;
        assert!(
            !(order.complete && order.status.is_success()),
            "it looks complete: {}",
            order.text()
        );
    }
);

process_test!(
    bad_input_gets_a_clear_error_and_disturbs_no_other_request,
    env,
    {
        let instance = env.fleet.instance(0).clone();
        let http = instance.http;
        let bearer = bearer(KEY);
        let key = ("authorization", bearer.as_str());
        let large = "x".repeat(2 * 1024 * 1024);
        let too_large = http::call(http, "POST", "/s/statements/g", &[key], large).await;
        if let Ok(response) = too_large {
            assert_eq!(response.status, 413);
        }
        for (path, headers, status) in [
            ("/s/nothing/x", vec![key], 404),
            ("/nowhere", vec![key], 404),
            ("/s/statements/g", vec![], 401),
            (
                "/s/statements/g",
                vec![("authorization", "Basic abcdefgh")],
                400,
            ),
            ("/s/statements/g", vec![key, ("x-max-tokens", "many")], 400),
            (
                "/s/statements/g",
                vec![key, ("x-max-tokens", "99999999999")],
                429,
            ),
            ("/s/payouts/payouts", vec![key], 428),
            (
                "/s/payouts/payouts",
                vec![key, ("idempotency-key", "mine")],
                400,
            ),
        ] {
            let response = http::call(http, "POST", path, &headers, "{}").await?;
            assert_eq!(response.status, status, "{path}: {}", response.text());
            assert_eq!(response.headers["content-type"], "application/problem+json");
            assert_eq!(outcome(&response), "not-run", "{path}");
        }
        let huge_value = "x".repeat(256 * 1024);
        let oversize = http::call(
            http,
            "GET",
            "/placement",
            &[key, ("x-huge", &huge_value)],
            "",
        )
        .await;
        assert!(oversize.is_err() || oversize.is_ok_and(|r| r.status == 431));
        // Sends bytes that are neither HTTP nor valid frames to every port.
        for address in [http, instance.peer, instance.admin] {
            let mut stream = tokio::net::TcpStream::connect(address).await?;
            stream.write_all(&[0xff; 64]).await?;
            drop(stream);
        }
        let admin = http::call(
            instance.admin,
            "GET",
            "/state",
            &[("authorization", "Bearer no")],
            "",
        );
        assert_eq!(admin.await?.status, 401);
        assert_eq!(send_prompt(http, KEY, 1).await?.status, 200);
        let open = http::call(http, "GET", "/s/payouts/hours", &[], "").await?;
        assert_eq!(open.status, 200, "an open route needs no key");
        let open_with_bad_key = [("x-api-key", "not-a-known-key")];
        let open = http::call(http, "GET", "/s/payouts/hours", &open_with_bad_key, "").await?;
        assert_eq!(
            open.status, 401,
            "a key that is sent must be valid, even on an open route"
        );
    }
);

process_test!(
    a_slow_request_body_is_refused_and_reaches_no_upstream,
    env,
    {
        let http = env.fleet.instance(0).http;
        let mut stream = tokio::net::TcpStream::connect(http).await?;
        let head = format!(
            "POST /s/statements/g HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\n\r\nonly this"
        );
        stream.write_all(head.as_bytes()).await?;
        let mut response = vec![0; 4096];
        let length = stream.read(&mut response).await?;
        let response = String::from_utf8_lossy(&response[..length]).into_owned();
        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
        assert!(
            response.contains("body-too-slow") && response.contains("not-run"),
            "{response}"
        );
        assert!(env.fleet.upstreams[0].seen().paths.is_empty());
    }
);

process_test!(
    a_request_to_a_silent_upstream_ends_with_504_and_an_unknown_outcome,
    env,
    {
        let http = env.fleet.instance(0).http;
        env.fleet.upstreams[0].set_fault(Fault::Silent);
        let bearer = bearer(KEY);
        let headers = [("authorization", bearer.as_str()), ("x-deadline-ms", "500")];
        let response = http::call(http, "POST", "/s/statements/g", &headers, "{}").await?;
        assert_eq!(response.status, 504, "{}", response.text());
        assert_eq!(outcome(&response), "unknown");
        env.fleet.upstreams[0].set_fault(Fault::None);
        assert_eq!(send_prompt(http, KEY, 1).await?.status, 200);
    }
);
