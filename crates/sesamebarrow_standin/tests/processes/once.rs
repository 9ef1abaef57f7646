//! Requests that run at most once.

use super::*;

case!(a_payout_runs_once_though_sent_often, trial, {
    let (a, b) = (trial.fleet.instance(0).http, trial.fleet.instance(1).http);
    let ticket = ticket(a).await?;
    trial.fleet.upstreams[1].set_fault(Fault::Late);
    let sendings = (0..6).map(|i| {
        let (http, ticket) = (if i % 2 == 0 { a } else { b }, ticket.clone());
        tokio::spawn(async move { pay(http, &ticket, "pay-1").await })
    });
    let sendings: Vec<_> = sendings.collect();
    let mut complete = 0;
    for sending in sendings {
        let response = sending.await??;
        if response.status == 200 {
            complete += 1;
        } else {
            assert_eq!(outcome(&response), "unknown", "{}", response.text());
        }
    }
    assert!(complete >= 1);
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
        wait_until("the payout", || async {
            upstream.seen().runs.contains_key("pay-1")
        })
        .await?;
        trial.fleet.instances[0].kill()?;
        assert!(sent.await?.is_err(), "the owner's connection is gone");
        trial.fleet.upstreams[1].set_fault(Fault::None);
        let retry = pay(b, &ticket, "pay-1").await?;
        assert_eq!(outcome(&retry), "unknown", "{}", retry.text());
        trial.fleet.restart(0)?;
        trial.fleet.wait_until_ready().await?;
        let again = pay(a, &ticket, "pay-1").await?;
        assert_eq!(outcome(&again), "unknown", "{}", again.text());
        assert_eq!(trial.fleet.upstreams[1].seen().runs["pay-1"], 1);
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
        trial.fleet.restart(index)?;
    }
    trial.fleet.wait_until_ready().await?;
    let handed_over = |ticket: String, order: &'static str| async move {
        pay(b, &ticket, order).await.is_ok_and(|a| a.status == 200)
    };
    let first = ticket(a).await?;
    wait_until("a first hand-over", || handed_over(first.clone(), "pay-1")).await?;
    // What stands between the ends loses track of every connection that is open.
    for relay in &relays {
        relay.set_drop_traffic(true);
    }
    let second = ticket(a).await?;
    let lost = pay(b, &second, "pay-2").await?;
    assert_eq!(outcome(&lost), "unknown", "{}", lost.text());
    for relay in &relays {
        relay.set_drop_traffic(false);
    }
    let third = ticket(a).await?;
    wait_until("a hand-over on a new link", || {
        handed_over(third.clone(), "pay-3")
    })
    .await?;
    let runs = trial.fleet.upstreams[1].seen().runs;
    assert_eq!((runs["pay-1"], runs["pay-3"]), (1, 1));
    assert!(runs.get("pay-2").copied().unwrap_or(0) <= 1);
});
