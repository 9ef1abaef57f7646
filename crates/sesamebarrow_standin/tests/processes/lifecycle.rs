//! Start, shutdown, configuration and links between instances.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use super::*;

process_test!(instances_serve_and_restart_without_the_platform, mut env, {
    env.fleet.stop_platform();
    env.fleet.instances[1].kill()?;
    env.fleet.restart(1)?;
    env.fleet.wait_until_ready().await?;
    for index in [0, 1] {
        let http = env.fleet.instance(index).http;
        wait_until("a complete response", || async {
            send_prompt(http, KEY, 1)
                .await
                .is_ok_and(|r| r.status == 200 && r.complete)
        })
        .await?;
    }
});

process_test!(a_graceful_stop_lets_running_responses_complete, mut env, {
    let http = env.fleet.instance(0).http;
    let running: Vec<_> = (0..8)
        .map(|_| tokio::spawn(send_prompt(http, KEY, 200)))
        .collect();
    let upstream = env.fleet.upstreams[0].clone();
    wait_until("all requests to reach the upstream", || async {
        upstream.seen().paths.len() == 8
    })
    .await?;
    let status = env.fleet.instances[0].stop()?;
    assert!(status.success(), "{status}");
    for response in running {
        let response = response.await??;
        assert!(response.complete && response.text().contains("[DONE]"));
    }
    let log = env.fleet.log(0)?;
    assert!(log.contains("message=draining") && log.contains("message=stopped"));
});

process_test!(an_invalid_rule_file_changes_nothing, env, {
    let http = env.fleet.instance(0).http;
    let admin = env.fleet.instance(0).admin;
    let invalid_rules = rules(&[OTHER_KEY]) + "customer x regions=atlantis rate=1 burst=1 # eve\n";
    env.fleet.platform.publish("rules", 5, invalid_rules);
    wait_until("the rule fault to be reported", || async {
        fetch_state(admin).await.is_ok_and(|s| {
            let fault = s.json()["rules"]["fault"].to_string();
            fault.contains("atlantis") && fault.contains("eve")
        })
    })
    .await?;
    assert_eq!(send_prompt(http, KEY, 1).await?.status, 200);
    let dump = fetch_state(admin).await?.text();
    assert!(!dump.contains(KEY), "the state dump contains a key");
});

process_test!(an_instance_with_another_secret_gets_no_link, env, {
    let folder = TempDir::new()?;
    let secret = folder.path().join("secret");
    std::fs::write(&secret, "a-secret-of-another-fleet-altogether")?;
    let mut extended = env.fleet.deployment.clone();
    extended.add_instance("lim-1-x", "lim-1", 1)?;
    let instance = extended.instances[3].clone();
    let settings = folder.path().join("x.toml");
    std::fs::write(&settings, extended.settings(&instance, &secret))?;
    let program = sesamebarrow_standin::process::program_folder()?.join("sesamebarrow");
    let settings = settings.to_string_lossy();
    let _stranger = sesamebarrow_standin::process::Process::start(
        "stranger",
        &program,
        &["--settings", settings.as_ref()],
        None,
    )?;
    wait_until("the link to be refused", || async {
        let logs = (0..3).filter_map(|i| env.fleet.log(i).ok());
        logs.collect::<String>().contains("link refused")
    })
    .await?;
    assert_eq!(
        send_prompt(env.fleet.instance(0).http, KEY, 1)
            .await?
            .status,
        200
    );
});

process_test!(invalid_responses_of_the_platform_change_nothing, env, {
    let instance = env.fleet.instance(0).clone();
    env.fleet.stop_platform();
    let platform = env.fleet.deployment.platform;
    let mut listener = None;
    while listener.is_none() {
        listener = tokio::net::TcpListener::bind(platform).await.ok();
        tokio::task::yield_now().await;
    }
    let listener = listener.ok_or_else(|| anyhow::anyhow!("no listener"))?;
    let task = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.write_all(&[0xfe; 512]).await;
        }
    });
    wait_until("the read fault to be reported", || async {
        fetch_state(instance.admin)
            .await
            .is_ok_and(|s| s.json()["rules"]["read_fault"].is_string())
    })
    .await?;
    assert_eq!(send_prompt(instance.http, KEY, 1).await?.status, 200);
    task.abort();
});

process_test!(idle_connections_to_upstreams_are_closed, env, {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (opened, open) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let (opened_there, open_there) = (opened.clone(), open.clone());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let open = open_there.clone();
            opened_there.fetch_add(1, Ordering::Relaxed);
            open.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    if stream.write_all(answer).await.is_err() {
                        break;
                    }
                }
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    let list = env.fleet.deployment.list(&["pay-lim"]);
    let list = format!(
        "{list}upstream raw domain=lim-1 service=payouts http={address} capacity=8 state=live\n"
    );
    env.fleet.platform.publish("list", 2, list);
    let http = env.fleet.instance(0).http;
    wait_until("a request to the new upstream", || async {
        let response = http::call(http, "GET", "/s/payouts/hours", &[], "").await;
        response.is_ok_and(|r| r.text() == "ok")
    })
    .await?;
    assert!(opened.load(Ordering::Relaxed) > 0);
    wait_until("the idle connection to be closed", || async {
        open.load(Ordering::Relaxed) == 0
    })
    .await?;
});
