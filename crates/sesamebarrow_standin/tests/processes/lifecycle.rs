//! Starts, stops, configuration and links.

use super::*;

case!(
    serving_goes_on_and_starts_anew_without_the_platform,
    mut trial,
    {
        trial.fleet.stop_platform();
        trial.fleet.instances[1].kill()?;
        trial.fleet.restart(1)?;
        trial.fleet.wait_until_ready().await?;
        for index in [0, 1] {
            let http = trial.fleet.instance(index).http;
            wait_until("an answer", || async {
                ask(http, KEY, 1)
                    .await
                    .is_ok_and(|a| a.status == 200 && a.complete)
            })
            .await?;
        }
    }
);

case!(a_planned_stop_cuts_nothing, mut trial, {
    let http = trial.fleet.instance(0).http;
    let running: Vec<_> = (0..8).map(|_| tokio::spawn(ask(http, KEY, 200))).collect();
    let upstream = trial.fleet.upstreams[0].clone();
    wait_until("the answers", || async { upstream.seen().paths.len() == 8 }).await?;
    let status = trial.fleet.instances[0].stop()?;
    assert!(status.success(), "{status}");
    for response in running {
        let response = response.await??;
        assert!(response.complete && response.text().contains("[DONE]"));
    }
    let log = trial.fleet.log(0)?;
    assert!(log.contains("message=draining") && log.contains("message=stopped"));
});

case!(a_bad_or_older_rule_file_changes_nothing, trial, {
    let http = trial.fleet.instance(0).http;
    let admin = trial.fleet.instance(0).admin;
    let bad = rules(&[OTHER_KEY]) + "customer x regions=atlantis rate=1 burst=1 # eve\n";
    trial.fleet.platform.publish("rules", 5, bad);
    wait_until("the fault", || async {
        state(admin).await.is_ok_and(|s| {
            let fault = s.json()["rules"]["fault"].to_string();
            fault.contains("atlantis") && fault.contains("eve")
        })
    })
    .await?;
    assert_eq!(ask(http, KEY, 1).await?.status, 200);
    let shown = state(admin).await?.text();
    assert!(!shown.contains(KEY), "no key in the dump");
});

case!(an_instance_with_another_secret_gets_no_link, trial, {
    let folder = TempDir::new()?;
    let secret = folder.path().join("secret");
    std::fs::write(&secret, "a-secret-of-another-fleet-altogether")?;
    let mut stranger = trial.fleet.deployment.clone();
    stranger.add_instance("lim-1-x", "lim-1", 1)?;
    let instance = stranger.instances[3].clone();
    let settings = folder.path().join("x.toml");
    std::fs::write(&settings, stranger.settings(&instance, &secret))?;
    let program = sesamebarrow_standin::process::program_folder()?.join("sesamebarrow");
    let settings = settings.to_string_lossy();
    let _stranger = sesamebarrow_standin::process::Process::start(
        "stranger",
        &program,
        &["--settings", settings.as_ref()],
        None,
    )?;
    wait_until("the refusal", || async {
        let logs = (0..3).filter_map(|i| trial.fleet.log(i).ok());
        logs.collect::<String>().contains("link refused")
    })
    .await?;
    assert_eq!(ask(trial.fleet.instance(0).http, KEY, 1).await?.status, 200);
});

case!(a_platform_that_answers_rubbish_changes_nothing, trial, {
    let instance = trial.fleet.instance(0).clone();
    trial.fleet.stop_platform();
    let platform = trial.fleet.deployment.platform;
    let mut rubbish = None;
    while rubbish.is_none() {
        rubbish = tokio::net::TcpListener::bind(platform).await.ok();
        tokio::task::yield_now().await;
    }
    let rubbish = rubbish.ok_or_else(|| anyhow::anyhow!("no listener"))?;
    let task = tokio::spawn(async move {
        while let Ok((mut stream, _)) = rubbish.accept().await {
            let _ = stream.write_all(&[0xfe; 512]).await;
        }
    });
    wait_until("the fault", || async {
        state(instance.admin)
            .await
            .is_ok_and(|s| s.json()["rules"]["read_fault"].is_string())
    })
    .await?;
    assert_eq!(ask(instance.http, KEY, 1).await?.status, 200);
    task.abort();
});
