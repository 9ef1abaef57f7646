//! Non-idempotent requests run at most once.

use super::*;

process_test!(a_payout_sent_several_times_runs_once, env, {
    let (a, b) = (env.fleet.instance(0).http, env.fleet.instance(1).http);
    let ticket = fetch_ticket(a).await?;
    env.fleet.upstreams[1].set_fault(Fault::Late);
    let payouts = (0..6).map(|i| {
        let (http, ticket) = (if i % 2 == 0 { a } else { b }, ticket.clone());
        tokio::spawn(async move { send_payout(http, &ticket, "pay-1").await })
    });
    let payouts: Vec<_> = payouts.collect();
    let mut succeeded = 0;
    for payout in payouts {
        let response = payout.await??;
        if response.status == 200 {
            succeeded += 1;
        } else {
            assert_eq!(outcome(&response), "unknown", "{}", response.text());
        }
    }
    assert!(succeeded >= 1);
    let replayed = send_payout(b, &ticket, "pay-1").await?;
    assert_eq!(replayed.status, 200);
    assert_eq!(env.fleet.upstreams[1].seen().runs["pay-1"], 1);
});

process_test!(
    a_payout_whose_owner_was_killed_has_an_unknown_outcome_and_never_runs_again,
    mut env,
    {
        let (a, b) = (env.fleet.instance(0).http, env.fleet.instance(1).http);
        let ticket = fetch_ticket(a).await?;
        env.fleet.upstreams[1].set_fault(Fault::Silent);
        let sent = tokio::spawn({
            let ticket = ticket.clone();
            async move { send_payout(a, &ticket, "pay-1").await }
        });
        let upstream = env.fleet.upstreams[1].clone();
        wait_until("the payout to reach the upstream", || async {
            upstream.seen().runs.contains_key("pay-1")
        })
        .await?;
        env.fleet.instances[0].kill()?;
        assert!(
            sent.await?.is_err(),
            "a request to the killed owner must fail"
        );
        env.fleet.upstreams[1].set_fault(Fault::None);
        let retry = send_payout(b, &ticket, "pay-1").await?;
        assert_eq!(outcome(&retry), "unknown", "{}", retry.text());
        env.fleet.restart(0)?;
        env.fleet.wait_until_ready().await?;
        let again = send_payout(a, &ticket, "pay-1").await?;
        assert_eq!(outcome(&again), "unknown", "{}", again.text());
        assert_eq!(env.fleet.upstreams[1].seen().runs["pay-1"], 1);
    }
);

process_test!(an_unresponsive_link_is_replaced, mut env, {
    let (a, b) = (env.fleet.instance(0).http, env.fleet.instance(1).http);
    let relays = env.fleet.relay_links(2).await?;
    // Restarts the instances so that all links go through the relays.
    for index in 0..3 {
        env.fleet.instances[index].kill()?;
    }
    for index in 0..3 {
        env.fleet.restart(index)?;
    }
    env.fleet.wait_until_ready().await?;
    let forwarded_payout_succeeds = |ticket: String, order: &'static str| async move {
        send_payout(b, &ticket, order)
            .await
            .is_ok_and(|r| r.status == 200)
    };
    let first = fetch_ticket(a).await?;
    wait_until("a payout forwarded over the first link", || {
        forwarded_payout_succeeds(first.clone(), "pay-1")
    })
    .await?;
    // Emulates a middlebox that loses the state of every open connection.
    for relay in &relays {
        relay.set_drop_traffic(true);
    }
    let second = fetch_ticket(a).await?;
    let lost = send_payout(b, &second, "pay-2").await?;
    assert_eq!(outcome(&lost), "unknown", "{}", lost.text());
    for relay in &relays {
        relay.set_drop_traffic(false);
    }
    let third = fetch_ticket(a).await?;
    wait_until("a payout forwarded over a new link", || {
        forwarded_payout_succeeds(third.clone(), "pay-3")
    })
    .await?;
    let runs = env.fleet.upstreams[1].seen().runs;
    assert_eq!((runs["pay-1"], runs["pay-3"]), (1, 1));
    assert!(runs.get("pay-2").copied().unwrap_or(0) <= 1);
});
