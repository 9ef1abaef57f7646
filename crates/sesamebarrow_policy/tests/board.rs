//! Sequences of events on one board that scenarios and randomised runs reach only by
//! chance.

use std::time::Duration;

use sesamebarrow_policy::at_most_once::{Scope, Ticket};
use sesamebarrow_policy::event::Target;
use sesamebarrow_policy::{
    Action, Board, Event, Execution, Head, Identity, Message, Origin, Outcome, Reason, Refusal,
    RequestId, Settings, handle,
};
use sesamebarrow_routing::quarantine::message::BlameEntry;
use sesamebarrow_routing::quarantine::{Blame, Suspects};
use sesamebarrow_routing::{rendezvous, token};
use sesamebarrow_rules::{Document, KeyDigest};
use sesamebarrow_wire::control::{DocumentKind, Heartbeat, LoanRequest};

const TICKET_KEY: [u8; 32] = [3; 32];
const API_KEY: &[u8] = b"key-of-rosa-0001";
const PEER_INCARNATION: u64 = 99;
const SCOPE: Scope<'_> = Scope {
    customer: "rosa",
    service: "payouts",
};

/// Returns the rules. The comment that ends each line names its requester, here `a`.
fn rules() -> String {
    let digest = KeyDigest::of(API_KEY);
    format!(
        "region lima # a\ndomain lim-1 region=lima slots=2 # a\nservice payouts kind=plain # a\n\
         customer rosa regions=lima rate=100 burst=100 # a\nallow rosa payouts # a\n\
         key rosa blake3={digest} # a\n"
    )
}

const LIST: &str = "instance lim-a domain=lim-1 slot=0 http=10.0.0.1:1 peer=10.0.0.1:2 state=live\n\
     instance lim-b domain=lim-1 slot=1 http=10.0.0.2:1 peer=10.0.0.2:2 state=live\n\
     upstream pay domain=lim-1 service=payouts http=10.0.1.1:1 capacity=4 state=live\n";

/// Creates a board that has its configuration and a link to the instance `lim-b`.
fn new_board() -> Board {
    let identity = Identity {
        name: "lim-a".into(),
        domain: "lim-1".into(),
        slot: 0,
        incarnation: 1,
    };
    let mut board = Board::new(identity, Settings::default(), TICKET_KEY, 1);
    for action in handle(&mut board, Duration::ZERO, Event::Tick) {
        let Action::ReadDocument { kind, read_id, .. } = action else {
            continue;
        };
        let text = match kind {
            DocumentKind::Rules => rules(),
            DocumentKind::List => LIST.to_owned(),
        };
        let document = Box::new(Document::new(1, &text));
        let event = Event::DocumentRead {
            kind,
            read_id,
            document,
        };
        handle(&mut board, Duration::ZERO, event);
    }
    let link_up = Event::LinkUp {
        name: "lim-b".into(),
        domain: "lim-1".into(),
        incarnation: PEER_INCARNATION,
    };
    handle(&mut board, Duration::ZERO, link_up);
    receive_heartbeat(&mut board, 1, 1);
    board
}

fn receive_heartbeat(board: &mut Board, sequence: u64, rules_revision: u64) -> Vec<Action> {
    receive_blames(board, sequence, rules_revision, Vec::new())
}

fn receive_blames(
    board: &mut Board,
    sequence: u64,
    rules_revision: u64,
    blames: Vec<BlameEntry>,
) -> Vec<Action> {
    let heartbeat = Heartbeat {
        sequence,
        rules_revision,
        list_revision: 1,
        ready: true,
        blames,
        ..Heartbeat::default()
    };
    let event = Event::MessageReceived {
        name: "lim-b".into(),
        incarnation: PEER_INCARNATION,
        message: Message::Heartbeat(heartbeat),
    };
    handle(board, Duration::from_millis(10), event)
}

/// Returns the arrival of a payout request with a ticket that `lim-b` owns.
fn payout_request(id: u64) -> Event {
    let ticket = Ticket {
        owner: "lim-b".into(),
        incarnation: PEER_INCARNATION,
        issued: Duration::ZERO,
        number: 5,
    };
    Event::RequestArrived {
        id: RequestId(id),
        head: Head {
            origin: Origin::Caller {
                key: Some(KeyDigest::of(API_KEY)),
            },
            service: "payouts".into(),
            method: "POST".into(),
            path: "/pay".into(),
            ticket: Some(ticket.sign(&TICKET_KEY, &SCOPE)),
            time_left: Duration::from_secs(5),
            estimated_tokens: 1,
        },
    }
}

#[test]
fn ticketed_request_is_refused_if_its_owner_reports_newer_rules_before_sending() {
    let mut board = new_board();
    let actions = handle(&mut board, Duration::from_millis(20), payout_request(1));
    let was_forwarded = actions.iter().any(|a| {
        matches!(a, Action::Dispatch { target: Target::Instance { name, .. }, .. } if name == "lim-b")
    });
    assert!(was_forwarded, "{actions:?}");
    // The owner reports newer rules, so nothing may be sent to it at present.
    receive_heartbeat(&mut board, 2, 2);
    let ready_to_send = Event::ReadyToSend {
        id: RequestId(1),
        fingerprint: 1,
    };
    let actions = handle(&mut board, Duration::from_millis(30), ready_to_send);
    let [Action::Refuse { refusal, .. }] = actions.as_slice() else {
        panic!("expected a refusal alone, got {actions:?}");
    };
    assert_eq!(refusal.reason, Reason::OwnerLost);
    assert_eq!(refusal.execution, Execution::Unknown);
}

/// Returns the entry of a heartbeat that blames the request of [`submit_status_request`] for the crash of a run.
fn blame_for_crash(run: u64) -> BlameEntry {
    let customer = token::customer_hash("rosa");
    let fingerprint = rendezvous::weight_of_hashes(1, customer);
    let suspects = Suspects::of_request(customer, fingerprint, &[]);
    let blame = Blame {
        suspect: suspects.iter().next().expect("the fingerprint"),
        run,
        earlier_crashes: 0,
        customer,
        request: suspects.request,
        one_of_many: false,
    };
    BlameEntry::new(blame, Duration::ZERO)
}

fn sent_heartbeats(actions: &[Action]) -> Vec<&Heartbeat> {
    let heartbeat = |action| match action {
        &Action::SendMessage {
            message: Message::Heartbeat(ref heartbeat),
            ..
        } => Some(heartbeat),
        _ => None,
    };
    actions.iter().filter_map(heartbeat).collect()
}

#[test]
fn blame_of_a_neighbour_is_passed_on_and_leads_to_an_order() {
    let mut board = new_board();
    let now = Duration::from_secs(2);
    let blames: Vec<BlameEntry> = (1..=3).map(blame_for_crash).collect();
    receive_blames(&mut board, 2, 1, blames[..2].to_vec());
    let actions = handle(&mut board, now, Event::Tick);
    assert_eq!(sent_heartbeats(&actions)[0].blames.len(), 2);
    // The neighbour repeats what it has, with the third crash.
    receive_blames(&mut board, 3, 1, blames);
    let actions = handle(&mut board, now, Event::Tick);
    let heartbeats = sent_heartbeats(&actions);
    assert!(heartbeats[0].blames.iter().any(|b| b.run == 3));
    assert_eq!(heartbeats[0].orders.len(), 1, "{heartbeats:?}");
    assert!(submit_status_request(&mut board, now, 1));
    let ready_to_send = Event::ReadyToSend {
        id: RequestId(1),
        fingerprint: 1,
    };
    let actions = handle(&mut board, now, ready_to_send);
    let [Action::Refuse { refusal, .. }] = actions.as_slice() else {
        panic!("expected a refusal alone, got {actions:?}");
    };
    assert_eq!(refusal.reason, Reason::Harmful);
    assert_eq!(refusal.execution, Execution::NotRun);
    assert_eq!(refusal.retry_after, None);
}

/// Delivers a complete list document to the board in a message from a neighbour.
fn receive_list(board: &mut Board, now: Duration, revision: u64, text: &str) {
    receive_document(board, now, DocumentKind::List, revision, text);
}

/// Delivers a complete document to the board in a message from a neighbour.
fn receive_document(
    board: &mut Board,
    now: Duration,
    kind: DocumentKind,
    revision: u64,
    text: &str,
) -> Vec<Action> {
    let document = Document::new(revision, text);
    let delta = document.delta_from_empty();
    let message = sesamebarrow_wire::control::DocumentUpdate {
        kind: kind.into(),
        revision,
        base_revision: 0,
        removed: Vec::new(),
        added: delta.added.iter().map(ToString::to_string).collect(),
        digest: document.digest().to_vec().into(),
    };
    let event = Event::MessageReceived {
        name: "lim-b".into(),
        incarnation: PEER_INCARNATION,
        message: Message::DocumentUpdate(message),
    };
    handle(board, now, event)
}

fn rate_of_share(board: &Board) -> u64 {
    let key = board.limits.by_name["rosa"];
    board.limits.shares[key].rate
}

#[test]
fn process_without_its_slot_has_no_rate() {
    let mut board = new_board();
    assert!(rate_of_share(&board) > 0);
    let now = Duration::from_secs(1);
    // The new process is listed before the old one has left the list.
    let with_both_processes = LIST.replace(
        "upstream",
        "instance lim-0 domain=lim-1 slot=0 http=10.0.0.3:1 peer=10.0.0.3:2 state=live\nupstream",
    );
    receive_list(&mut board, now, 2, &with_both_processes);
    assert_eq!(rate_of_share(&board), 0, "lim-0 comes first in slot 0");
    let leaving = LIST.replacen("state=live", "state=leaving", 1);
    receive_list(&mut board, now, 3, &leaving);
    assert_eq!(rate_of_share(&board), 0, "a leaving instance has no share");
}

/// Returns the identifiers of the reads of the rules document that `actions` start.
fn rules_reads(actions: &[Action]) -> Vec<u64> {
    let rules = actions.iter().filter_map(|a| match a {
        Action::ReadDocument {
            kind: DocumentKind::Rules,
            read_id,
            ..
        } => Some(*read_id),
        _ => None,
    });
    rules.collect()
}

#[test]
fn read_started_before_a_pause_does_not_end_recovery() {
    let mut board = new_board();
    let millis = Duration::from_millis;
    // The rules become too old, so a read is pending when the process pauses.
    let mut reads_before_pause = Vec::new();
    for second in 1..30 {
        reads_before_pause.extend(rules_reads(&handle(
            &mut board,
            millis(second * 1000),
            Event::Tick,
        )));
    }
    let read_before_pause = *reads_before_pause.last().expect("a read before the pause");
    let after_pause = handle(&mut board, millis(60_000), Event::Tick);
    let read_after_pause = *rules_reads(&after_pause)
        .last()
        .expect("a read after the pause");
    let unchanged = |read_id| Event::DocumentUnchanged {
        kind: DocumentKind::Rules,
        read_id,
        revision: 1,
    };
    handle(&mut board, millis(60_001), unchanged(read_before_pause));
    assert!(
        !board.is_ready(),
        "a response from before the pause proves nothing"
    );
    handle(&mut board, millis(60_002), unchanged(read_after_pause));
    assert!(board.is_ready());
}

#[test]
fn duplicate_loan_request_is_granted_once() {
    let mut board = new_board();
    let now = Duration::from_secs(1);
    handle(&mut board, now, Event::Tick);
    let loan_request = Event::MessageReceived {
        name: "lim-b".into(),
        incarnation: PEER_INCARNATION,
        message: Message::LoanRequest(LoanRequest {
            id: 7,
            customer: "rosa".to_owned(),
            tokens: 10,
        }),
    };
    let first = handle(&mut board, now, loan_request.clone());
    let lent_tokens = |actions: &[Action]| {
        let loans = actions.iter().filter_map(|a| match a {
            Action::SendMessage {
                message: Message::Loan(loan),
                ..
            } => Some(loan.tokens),
            _ => None,
        });
        loans.sum::<u64>()
    };
    assert_eq!(lent_tokens(&first), 10);
    assert_eq!(lent_tokens(&handle(&mut board, now, loan_request)), 0);
}

#[test]
fn tokens_used_beyond_the_reservation_are_repaid() {
    let mut board = new_board();
    let seconds = Duration::from_secs;
    handle(&mut board, seconds(1), Event::Tick);
    let outcome = Outcome::Completed {
        tokens: Some(500),
        response: None,
        is_server_error: false,
    };
    assert!(submit_status_request(&mut board, seconds(1), 1));
    let id = RequestId(1);
    handle(
        &mut board,
        seconds(1),
        Event::ReadyToSend { id, fingerprint: 1 },
    );
    handle(
        &mut board,
        seconds(1),
        Event::AttemptFinished { id, outcome },
    );
    // The share accrues 50 tokens per second, so the debt lasts for about ten seconds.
    for now in 2..=20 {
        handle(&mut board, seconds(now), Event::Tick);
        let dispatched = submit_status_request(&mut board, seconds(now), now);
        assert!(
            !dispatched || now > 8,
            "dispatched while in debt at {now} s"
        );
        assert!(dispatched || now < 20, "still in debt at {now} s");
    }
}

/// Submits a status request, which costs one token, and returns whether it is dispatched
/// immediately.
fn submit_status_request(board: &mut Board, now: Duration, id: u64) -> bool {
    let head = Head {
        origin: Origin::Caller {
            key: Some(KeyDigest::of(API_KEY)),
        },
        service: "payouts".into(),
        method: "GET".into(),
        path: "/status".into(),
        ticket: None,
        time_left: Duration::from_secs(5),
        estimated_tokens: 1,
    };
    let id = RequestId(id);
    let actions = handle(board, now, Event::RequestArrived { id, head });
    actions.iter().any(|a| matches!(a, Action::Dispatch { .. }))
}

#[test]
fn caller_disconnect_before_sending_frees_the_upstream_and_voids_the_ticket() {
    let mut board = new_board();
    let now = Duration::from_secs(1);
    let ticket = Ticket {
        owner: "lim-a".into(),
        incarnation: 1,
        issued: Duration::ZERO,
        number: 6,
    };
    let Event::RequestArrived { id, mut head } = payout_request(1) else {
        panic!("expected an arrival");
    };
    head.ticket = Some(ticket.sign(&TICKET_KEY, &SCOPE));
    handle(&mut board, now, Event::Tick);
    let arrival = Event::RequestArrived {
        id,
        head: head.clone(),
    };
    let actions = handle(&mut board, now, arrival);
    assert!(actions.iter().any(|a| matches!(a, Action::Dispatch { .. })));
    handle(&mut board, now, Event::CallerDisconnected { id });
    assert!(board.requests.is_empty());
    assert!(board.upstreams.values().all(|u| u.in_flight == 0));
    // Nothing was sent, and no request with this ticket will ever be sent.
    let id = RequestId(2);
    let actions = handle(&mut board, now, Event::RequestArrived { id, head });
    let [Action::Refuse { refusal, .. }] = actions.as_slice() else {
        panic!("expected a refusal alone, got {actions:?}");
    };
    assert_eq!(refusal.reason, Reason::TicketVoid);
    assert_eq!(refusal.execution, Execution::NotRun);
}

/// Returns the refusal of request `id` among `actions`.
fn refusal_of(actions: &[Action], id: u64) -> &Refusal {
    let refusal = |action| match action {
        &Action::Refuse {
            id: refused,
            ref refusal,
        } if refused == RequestId(id) => Some(refusal),
        _ => None,
    };
    let refusal = actions.iter().find_map(refusal);
    refusal.unwrap_or_else(|| panic!("request {id} is not refused: {actions:?}"))
}

#[test]
fn requests_left_at_the_end_of_a_shutdown_are_refused_as_not_run_only_if_not_sent() {
    let mut board = new_board();
    let now = Duration::from_secs(1);
    for id in 1..=3 {
        assert!(submit_status_request(&mut board, now, id));
    }
    for id in [2, 3] {
        let fingerprint = id;
        let id = RequestId(id);
        handle(&mut board, now, Event::ReadyToSend { id, fingerprint });
    }
    let id = RequestId(3);
    handle(&mut board, now, Event::ResponseStarted { id });
    handle(&mut board, now, Event::Drain);
    let actions = handle(&mut board, now, Event::RefuseRemaining);
    assert_eq!(actions.len(), 2, "{actions:?}");
    for (id, execution) in [(1, Execution::NotRun), (2, Execution::Unknown)] {
        let refusal = refusal_of(&actions, id);
        assert_eq!(refusal.reason, Reason::Draining);
        assert_eq!(refusal.execution, execution);
    }
    let forwarded = Head {
        origin: Origin::Instance {
            name: "lim-b".into(),
            customer: Some("rosa".into()),
            hops: 1,
        },
        service: "payouts".into(),
        method: "GET".into(),
        path: "/status".into(),
        ticket: None,
        time_left: Duration::from_secs(5),
        estimated_tokens: 1,
    };
    let id = RequestId(4);
    let arrival = Event::RequestArrived {
        id,
        head: forwarded,
    };
    let actions = handle(&mut board, now, arrival);
    assert_eq!(refusal_of(&actions, 4).execution, Execution::NotRun);
}

#[test]
fn withdrawn_key_refuses_the_request_whose_response_has_not_started() {
    let mut board = new_board();
    let now = Duration::from_secs(1);
    for id in [1, 2] {
        assert!(submit_status_request(&mut board, now, id));
        let fingerprint = id;
        let id = RequestId(id);
        handle(&mut board, now, Event::ReadyToSend { id, fingerprint });
    }
    let id = RequestId(2);
    handle(&mut board, now, Event::ResponseStarted { id });
    let text = rules();
    let key = text.find("key rosa").expect("a key");
    let actions = receive_document(&mut board, now, DocumentKind::Rules, 2, &text[..key]);
    let refusal = refusal_of(&actions, 1);
    assert_eq!(refusal.reason, Reason::BadKey);
    assert_eq!(refusal.execution, Execution::Unknown);
    assert!(
        actions.contains(&Action::Cancel { id }),
        "the response that has started must break off: {actions:?}"
    );
}
