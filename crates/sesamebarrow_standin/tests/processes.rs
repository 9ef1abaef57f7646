//! Promises that only real processes can show: real sockets, signals and clocks.
//!
//! Every test polls with a generous limit and asserts nothing on elapsed time.

use std::net::SocketAddr;
use std::time::Duration;

use nix::sys::signal::Signal;
use sesamebarrow_rules::Digest;
use sesamebarrow_standin::deploy::SECRET;
use sesamebarrow_standin::http::{self, Answer};
use sesamebarrow_standin::process::until;
use sesamebarrow_standin::upstream::Fault;
use sesamebarrow_standin::{Deployment, Fleet};
use sesamebarrow_wire::auth::Secret;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const KEY: &str = "process-test-key-0001";
const OTHER_KEY: &str = "process-test-key-0002";

fn rules(keys: &[&str]) -> String {
    let mut text = "region lima # ana\n\
         domain lim-1 region=lima slots=2 # ana\n\
         region piura # ana\n\
         domain piu-1 region=piura slots=1 # ana\n\
         service statements kind=model # luis\n\
         service payouts kind=plain # luis\n\
         customer paita regions=lima rate=100000 burst=1000000 # rosa\n\
         allow paita statements # rosa\n\
         allow paita payouts # rosa\n\
         route payouts POST /payouts non-idempotent # luis\n\
         route payouts GET /hours open # luis\n"
        .to_owned();
    for key in keys {
        let digest = Digest::of(key.as_bytes());
        text.push_str(&format!("key paita blake3={digest} # rosa\n"));
    }
    text
}

/// A deployment and the folder that it lives in.
struct Trial {
    fleet: Fleet,
    _folder: TempDir,
}

/// Starts two instances in Lima and one in Piura, a model engine and a payout service.
async fn start() -> anyhow::Result<Trial> {
    let folder = TempDir::new()?;
    let mut deployment = Deployment::new()?;
    deployment.add_instance("lim-1-a", "lim-1", 0)?;
    deployment.add_instance("lim-1-b", "lim-1", 1)?;
    deployment.add_instance("piu-1-a", "piu-1", 0)?;
    deployment.add_backend("eng-lim", "lim-1", "statements", 8)?;
    deployment.add_backend("pay-lim", "lim-1", "payouts", 8)?;
    let models = ["statements"];
    let fleet = Fleet::start(deployment, &rules(&[KEY]), &models, folder.path()).await?;
    Ok(Trial {
        fleet,
        _folder: folder,
    })
}

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

async fn ask(http: SocketAddr, key: &str, tokens: u32) -> anyhow::Result<Answer> {
    let body = format!("{{\"prompt\":\"hello\",\"max_tokens\":{tokens}}}");
    let bearer = bearer(key);
    let fields = [("authorization", bearer.as_str())];
    http::call(http, "POST", "/s/statements/generate", &fields, body).await
}

async fn ticket(http: SocketAddr) -> anyhow::Result<String> {
    let bearer = bearer(KEY);
    let fields = [("authorization", bearer.as_str())];
    let answer = http::call(http, "GET", "/placement?service=payouts", &fields, "").await?;
    let ticket = answer.json()["ticket"].as_str().map(ToOwned::to_owned);
    ticket.ok_or_else(|| anyhow::anyhow!("no ticket: {}", answer.text()))
}

async fn pay(http: SocketAddr, ticket: &str, order: &str) -> anyhow::Result<Answer> {
    let bearer = bearer(KEY);
    let fields = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", ticket),
        ("x-deadline-ms", "3000"),
    ];
    let order = order.to_owned();
    http::call(http, "POST", "/s/payouts/payouts", &fields, order).await
}

fn outcome(answer: &Answer) -> String {
    answer.json()["outcome"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

/// Returns an instance's dump.
async fn state(admin: SocketAddr) -> anyhow::Result<Answer> {
    let token = Secret::new(SECRET.as_bytes()).admin_token();
    let token = bearer(&token);
    let fields = [("authorization", token.as_str())];
    http::call(admin, "GET", "/state", &fields, "").await
}

/// Names a case by its promise and its failure.
macro_rules! case {
    ($name:ident, $($trial:ident)+, $body:block) => {
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() -> anyhow::Result<()> {
            let $($trial)+ = start().await?;
            $body
            Ok(())
        }
    };
}

case!(an_answer_cut_by_its_upstream_is_seen_as_broken, trial, {
    let http = trial.fleet.instance(0).http;
    let whole = ask(http, KEY, 4).await?;
    assert!(whole.whole && whole.text().ends_with("data: [DONE]\n\n"));
    trial.fleet.upstreams[0].set_fault(Fault::Cut);
    let cut = ask(http, KEY, 8).await?;
    assert_eq!(cut.status, 200);
    assert!(!cut.whole, "a truncated stream must not end cleanly");
});

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
    let all = format!("{:?}{:?}{:?}", seen.fields, seen.paths, seen.runs);
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
        until("the long answer", || async {
            upstream.seen().paths.len() == 2
        })
        .await?;
        trial
            .fleet
            .platform
            .publish("rules", 2, rules(&[OTHER_KEY]));
        until("the withdrawal", || async {
            ask(http, KEY, 1).await.is_ok_and(|a| a.status == 401)
        })
        .await?;
        let cut = running.await??;
        assert!(!cut.whole, "a running stream ends with its key");
        assert_eq!(ask(http, OTHER_KEY, 1).await?.status, 200);
    }
);

case!(a_payout_runs_once_though_sent_often, trial, {
    let (a, b) = (trial.fleet.instance(0).http, trial.fleet.instance(1).http);
    let ticket = ticket(a).await?;
    trial.fleet.upstreams[1].set_fault(Fault::Late);
    let sendings = (0..6).map(|i| {
        let (http, ticket) = (if i % 2 == 0 { a } else { b }, ticket.clone());
        tokio::spawn(async move { pay(http, &ticket, "pay-1").await })
    });
    let sendings: Vec<_> = sendings.collect();
    let mut whole = 0;
    for sending in sendings {
        let answer = sending.await??;
        if answer.status == 200 {
            whole += 1;
        } else {
            assert_eq!(outcome(&answer), "unknown", "{}", answer.text());
        }
    }
    assert!(whole >= 1);
    let replayed = pay(b, &ticket, "pay-1").await?;
    assert_eq!(replayed.status, 200);
    assert_eq!(trial.fleet.upstreams[1].seen().runs["pay-1"], 1);
});

case!(
    a_payout_whose_owner_was_killed_is_unknown_and_never_runs_again,
    mut trial,
    {
        let (a, b) = (trial.fleet.instance(0).http, trial.fleet.instance(1).http);
        let ticket = ticket(a).await?;
        trial.fleet.upstreams[1].set_fault(Fault::Silent);
        let sent = tokio::spawn({
            let ticket = ticket.clone();
            async move { pay(a, &ticket, "pay-1").await }
        });
        let upstream = trial.fleet.upstreams[1].clone();
        until("the payout", || async {
            upstream.seen().runs.contains_key("pay-1")
        })
        .await?;
        trial.fleet.instances[0].kill()?;
        assert!(sent.await?.is_err(), "the owner's connection is gone");
        trial.fleet.upstreams[1].set_fault(Fault::None);
        let retry = pay(b, &ticket, "pay-1").await?;
        assert_eq!(outcome(&retry), "unknown", "{}", retry.text());
        trial.fleet.relaunch(0)?;
        trial.fleet.until_ready().await?;
        let again = pay(a, &ticket, "pay-1").await?;
        assert_eq!(outcome(&again), "unknown", "{}", again.text());
        assert_eq!(trial.fleet.upstreams[1].seen().runs["pay-1"], 1);
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
    until("the withdrawal elsewhere", || async {
        ask(other, KEY, 1).await.is_ok_and(|a| a.status == 401)
    })
    .await?;
    // Longer than what counts as a pause of the process.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = trial.fleet.upstreams[0].seen().paths.len();
    trial.fleet.instances[0].signal(Signal::SIGCONT)?;
    let answer = waiting.await??;
    assert!(
        answer.status == 401 || answer.status == 503,
        "{}",
        answer.text()
    );
    assert_eq!(outcome(&answer), "not-run");
    assert_eq!(trial.fleet.upstreams[0].seen().paths.len(), before);
});

case!(
    serving_goes_on_and_starts_anew_without_the_platform,
    mut trial,
    {
        trial.fleet.stop_platform();
        trial.fleet.instances[1].kill()?;
        trial.fleet.relaunch(1)?;
        trial.fleet.until_ready().await?;
        for index in [0, 1] {
            let http = trial.fleet.instance(index).http;
            until("an answer", || async {
                ask(http, KEY, 1)
                    .await
                    .is_ok_and(|a| a.status == 200 && a.whole)
            })
            .await?;
        }
    }
);

case!(a_planned_stop_cuts_nothing, mut trial, {
    let http = trial.fleet.instance(0).http;
    let running: Vec<_> = (0..8).map(|_| tokio::spawn(ask(http, KEY, 200))).collect();
    let upstream = trial.fleet.upstreams[0].clone();
    until("the answers", || async { upstream.seen().paths.len() == 8 }).await?;
    let status = trial.fleet.instances[0].stop()?;
    assert!(status.success(), "{status}");
    for answer in running {
        let answer = answer.await??;
        assert!(answer.whole && answer.text().contains("[DONE]"));
    }
    let log = trial.fleet.log(0)?;
    assert!(log.contains("message=draining") && log.contains("message=stopped"));
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
        let mut answer = vec![0; 4096];
        let length = stream.read(&mut answer).await?;
        let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
        assert!(answer.starts_with("HTTP/1.1 421"), "{answer}");
        assert!(
            answer.contains("lim-1-a"),
            "it names the right instances: {answer}"
        );
    }
);

case!(bad_input_gets_a_clear_error_and_harms_nobody, trial, {
    let instance = trial.fleet.instance(0).clone();
    let http = instance.http;
    let bearer = bearer(KEY);
    let key = ("authorization", bearer.as_str());
    let large = "x".repeat(2 * 1024 * 1024);
    let too_large = http::call(http, "POST", "/s/statements/g", &[key], large).await;
    if let Ok(answer) = too_large {
        assert_eq!(answer.status, 413);
    }
    for (path, fields, status) in [
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
        let answer = http::call(http, "POST", path, &fields, "{}").await?;
        assert_eq!(answer.status, status, "{path}: {}", answer.text());
        assert_eq!(answer.fields["content-type"], "application/problem+json");
        assert_eq!(outcome(&answer), "not-run", "{path}");
    }
    let huge = "x".repeat(256 * 1024);
    let oversize = http::call(http, "GET", "/placement", &[key, ("x-huge", &huge)], "").await;
    assert!(oversize.is_err() || oversize.is_ok_and(|a| a.status == 431));
    // Bytes that are no HTTP and no frames, on every port.
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
    assert_eq!(ask(http, KEY, 1).await?.status, 200);
    let open = http::call(http, "GET", "/s/payouts/hours", &[], "").await?;
    assert_eq!(open.status, 200, "a route open to all needs no key");
    let open_with_bad_key = [("x-api-key", "not-a-known-key")];
    let open = http::call(http, "GET", "/s/payouts/hours", &open_with_bad_key, "").await?;
    assert_eq!(open.status, 401, "a key that is shown must be in force");
});

case!(a_bad_or_older_rule_file_changes_nothing, trial, {
    let http = trial.fleet.instance(0).http;
    let admin = trial.fleet.instance(0).admin;
    let bad = rules(&[OTHER_KEY]) + "customer x regions=atlantis rate=1 burst=1 # eve\n";
    trial.fleet.platform.publish("rules", 5, bad);
    until("the fault", || async {
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
    until("the refusal", || async {
        let logs = (0..3).filter_map(|i| trial.fleet.log(i).ok());
        logs.collect::<String>().contains("link refused")
    })
    .await?;
    assert_eq!(ask(trial.fleet.instance(0).http, KEY, 1).await?.status, 200);
});

case!(a_slow_caller_is_told_so_and_holds_nothing, trial, {
    let http = trial.fleet.instance(0).http;
    let mut stream = tokio::net::TcpStream::connect(http).await?;
    let head = format!(
        "POST /s/statements/g HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\n\r\nonly this"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut answer = vec![0; 4096];
    let length = stream.read(&mut answer).await?;
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(
        answer.contains("body-too-slow") && answer.contains("not-run"),
        "{answer}"
    );
    assert!(trial.fleet.upstreams[0].seen().paths.is_empty());
});

case!(
    a_silent_upstream_costs_an_idempotent_caller_no_more_than_its_deadline,
    trial,
    {
        let http = trial.fleet.instance(0).http;
        trial.fleet.upstreams[0].set_fault(Fault::Silent);
        let bearer = bearer(KEY);
        let fields = [("authorization", bearer.as_str()), ("x-deadline-ms", "500")];
        let answer = http::call(http, "POST", "/s/statements/g", &fields, "{}").await?;
        assert_eq!(answer.status, 504, "{}", answer.text());
        assert_eq!(outcome(&answer), "unknown");
        trial.fleet.upstreams[0].set_fault(Fault::None);
        assert_eq!(ask(http, KEY, 1).await?.status, 200);
    }
);

case!(a_link_that_went_silent_is_replaced, mut trial, {
    let (a, b) = (trial.fleet.instance(0).http, trial.fleet.instance(1).http);
    let relays = trial.fleet.relay_links(2).await?;
    // The instances start anew, so that all links go through the relays.
    for index in 0..3 {
        trial.fleet.instances[index].kill()?;
    }
    for index in 0..3 {
        trial.fleet.relaunch(index)?;
    }
    trial.fleet.until_ready().await?;
    let handed_over = |ticket: String, order: &'static str| async move {
        pay(b, &ticket, order).await.is_ok_and(|a| a.status == 200)
    };
    let first = ticket(a).await?;
    until("a first hand-over", || handed_over(first.clone(), "pay-1")).await?;
    // What stands between the ends loses track of every connection that is open.
    for relay in &relays {
        relay.set_cut(true);
    }
    let second = ticket(a).await?;
    let lost = pay(b, &second, "pay-2").await?;
    assert_eq!(outcome(&lost), "unknown", "{}", lost.text());
    for relay in &relays {
        relay.set_cut(false);
    }
    let third = ticket(a).await?;
    until("a hand-over on a new link", || {
        handed_over(third.clone(), "pay-3")
    })
    .await?;
    let runs = trial.fleet.upstreams[1].seen().runs;
    assert_eq!((runs["pay-1"], runs["pay-3"]), (1, 1));
    assert!(runs.get("pay-2").copied().unwrap_or(0) <= 1);
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
    until("the fault", || async {
        state(instance.admin)
            .await
            .is_ok_and(|s| s.json()["rules"]["read_fault"].is_string())
    })
    .await?;
    assert_eq!(ask(instance.http, KEY, 1).await?.status, 200);
    task.abort();
});
