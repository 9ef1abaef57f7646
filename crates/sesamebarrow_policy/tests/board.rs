//! Sequences of events at one board that scenarios and storms meet by chance only.

use std::time::Duration;

use sesamebarrow_policy::event::Target;
use sesamebarrow_policy::once::{Bearer, Ticket};
use sesamebarrow_policy::{
    Action, Board, Event, Execution, Head, Identity, Message, Origin, Outcome, Reason, RequestId,
    Settings, handle,
};
use sesamebarrow_rules::{Document, KeyDigest};
use sesamebarrow_wire::control::{DocumentKind, Heartbeat, LoanRequest};

const TICKET_KEY: [u8; 32] = [3; 32];
const KEY: &[u8] = b"key-of-rosa-0001";
const OWNER: u64 = 99;
const BEARER: Bearer<'_> = Bearer {
    customer: "rosa",
    service: "payouts",
};

fn rules() -> String {
    let digest = KeyDigest::of(KEY);
    format!(
        "region lima # a\ndomain lim-1 region=lima slots=2 # a\nservice payouts kind=plain # a\n\
         customer rosa regions=lima rate=100 burst=100 # a\nallow rosa payouts # a\n\
         key rosa blake3={digest} # a\n"
    )
}

const LIST: &str = "instance lim-a domain=lim-1 slot=0 http=10.0.0.1:1 peer=10.0.0.1:2 state=live\n\
     instance lim-b domain=lim-1 slot=1 http=10.0.0.2:1 peer=10.0.0.2:2 state=live\n\
     upstream pay domain=lim-1 service=payouts http=10.0.1.1:1 capacity=4 state=live\n";

/// A board with configuration and a link to the instance `lim-b`.
fn board() -> Board {
    let me = Identity {
        name: "lim-a".into(),
        domain: "lim-1".into(),
        slot: 0,
        incarnation: 1,
    };
    let mut board = Board::new(me, Settings::default(), TICKET_KEY, 1);
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
    let up = Event::LinkUp {
        name: "lim-b".into(),
        domain: "lim-1".into(),
        incarnation: OWNER,
    };
    handle(&mut board, Duration::ZERO, up);
    beat(&mut board, 1, 1);
    board
}

fn beat(board: &mut Board, sequence: u64, rules_revision: u64) -> Vec<Action> {
    let beat = Heartbeat {
        sequence,
        rules_revision,
        list_revision: 1,
        ready: true,
        ..Heartbeat::default()
    };
    let event = Event::MessageReceived {
        name: "lim-b".into(),
        incarnation: OWNER,
        message: Message::Heartbeat(beat),
    };
    handle(board, Duration::from_millis(10), event)
}

fn order(id: u64) -> Event {
    let ticket = Ticket {
        owner: "lim-b".into(),
        incarnation: OWNER,
        issued: Duration::ZERO,
        number: 5,
    };
    Event::RequestArrived {
        id: RequestId(id),
        head: Head {
            origin: Origin::Caller {
                key: Some(KeyDigest::of(KEY)),
            },
            service: "payouts".into(),
            method: "POST".into(),
            path: "/pay".into(),
            ticket: Some(ticket.sign(&TICKET_KEY, &BEARER)),
            time_left: Duration::from_secs(5),
            estimated_tokens: 1,
        },
    }
}

#[test]
fn a_request_whose_owner_is_lost_at_departure_runs_nowhere_else() {
    let mut board = board();
    let actions = handle(&mut board, Duration::from_millis(20), order(1));
    let handed_over = actions.iter().any(|a| {
        matches!(a, Action::Dispatch { target: Target::Instance { name, .. }, .. } if name == "lim-b")
    });
    assert!(handed_over, "{actions:?}");
    // The owner turns out to have newer rules: nothing may be sent to it just now.
    beat(&mut board, 2, 2);
    let departing = Event::ReadyToSend { id: RequestId(1) };
    let actions = handle(&mut board, Duration::from_millis(30), departing);
    let [Action::Refuse { refusal, .. }] = actions.as_slice() else {
        panic!("expected a refusal alone, got {actions:?}");
    };
    assert_eq!(refusal.reason, Reason::OwnerLost);
    assert_eq!(refusal.execution, Execution::Unknown);
}

/// Publishes a list to the board by a neighbour's word, whole.
fn take_list(board: &mut Board, now: Duration, revision: u64, text: &str) {
    let document = Document::new(revision, text);
    let whole = document.delta_from_empty();
    let message = sesamebarrow_wire::control::Document {
        kind: DocumentKind::List.into(),
        revision,
        base_revision: 0,
        removed: Vec::new(),
        added: whole.added.iter().map(ToString::to_string).collect(),
        digest: document.digest().to_vec().into(),
    };
    let event = Event::MessageReceived {
        name: "lim-b".into(),
        incarnation: OWNER,
        message: Message::Document(message),
    };
    handle(board, now, event);
}

fn rate_of(board: &Board) -> u64 {
    let key = board.limits.names["rosa"];
    board.limits.shares[key].rate
}

#[test]
fn a_process_whose_slot_the_list_gives_to_another_mints_nothing() {
    let mut board = board();
    assert!(rate_of(&board) > 0);
    let now = Duration::from_secs(1);
    // The new process is listed before the old one has left the list.
    let both = LIST.replace(
        "upstream",
        "instance lim-0 domain=lim-1 slot=0 http=10.0.0.3:1 peer=10.0.0.3:2 state=live\nupstream",
    );
    take_list(&mut board, now, 2, &both);
    assert_eq!(rate_of(&board), 0, "lim-0 comes first in slot 0");
    let leaving = LIST.replacen("state=live", "state=leaving", 1);
    take_list(&mut board, now, 3, &leaving);
    assert_eq!(rate_of(&board), 0, "what leaves has no share");
}

/// Returns the numbers of the reads of the rules that `actions` begin.
fn reads(actions: &[Action]) -> Vec<u64> {
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
fn an_answer_from_before_a_pause_does_not_end_the_waking() {
    let mut board = board();
    let at = Duration::from_millis;
    // The rules grow old, so that a read is under way when the process is stopped.
    let mut before = Vec::new();
    for second in 1..30 {
        before.extend(reads(&handle(&mut board, at(second * 1000), Event::Tick)));
    }
    let old = *before.last().expect("a read under way");
    let woken = handle(&mut board, at(60_000), Event::Tick);
    let fresh = *reads(&woken).last().expect("a read after the pause");
    let confirmed = |read_id| Event::DocumentUnchanged {
        kind: DocumentKind::Rules,
        read_id,
        revision: 1,
    };
    handle(&mut board, at(60_001), confirmed(old));
    assert!(!board.is_ready(), "the old answer proves nothing");
    handle(&mut board, at(60_002), confirmed(fresh));
    assert!(board.is_ready());
}

#[test]
fn a_repeated_ask_is_served_once() {
    let mut board = board();
    let now = Duration::from_secs(1);
    handle(&mut board, now, Event::Tick);
    let ask = Event::MessageReceived {
        name: "lim-b".into(),
        incarnation: OWNER,
        message: Message::LoanRequest(LoanRequest {
            id: 7,
            customer: "rosa".to_owned(),
            tokens: 10,
        }),
    };
    let first = handle(&mut board, now, ask.clone());
    let lent = |actions: &[Action]| {
        let loans = actions.iter().filter_map(|a| match a {
            Action::SendMessage {
                message: Message::Loan(loan),
                ..
            } => Some(loan.tokens),
            _ => None,
        });
        loans.sum::<u64>()
    };
    assert_eq!(lent(&first), 10);
    assert_eq!(lent(&handle(&mut board, now, ask)), 0);
}

#[test]
fn what_a_request_cost_beyond_its_reservation_is_paid_back() {
    let mut board = board();
    let second = Duration::from_secs;
    handle(&mut board, second(1), Event::Tick);
    let outcome = Outcome::Completed {
        tokens: Some(500),
        response: None,
    };
    assert!(is_dispatched(&mut board, second(1), 1));
    let id = RequestId(1);
    handle(&mut board, second(1), Event::ReadyToSend { id });
    handle(
        &mut board,
        second(1),
        Event::AttemptFinished { id, outcome },
    );
    // The share accrues 50 tokens a second, so that the debt lasts for some ten.
    for now in 2..=20 {
        handle(&mut board, second(now), Event::Tick);
        let dispatched = is_dispatched(&mut board, second(now), now);
        assert!(!dispatched || now > 8, "in debt at {now} s");
        assert!(dispatched || now < 20, "still in debt at {now} s");
    }
}

/// Sends a status check, which costs one token; tells whether it goes on at once.
fn is_dispatched(board: &mut Board, now: Duration, id: u64) -> bool {
    let head = Head {
        origin: Origin::Caller {
            key: Some(KeyDigest::of(KEY)),
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
fn a_ticketed_request_whose_caller_goes_before_it_leaves_holds_nothing() {
    let mut board = board();
    let now = Duration::from_secs(1);
    let ticket = Ticket {
        owner: "lim-a".into(),
        incarnation: 1,
        issued: Duration::ZERO,
        number: 6,
    };
    let Event::RequestArrived { id, mut head } = order(1) else {
        panic!("an arrival");
    };
    head.ticket = Some(ticket.sign(&TICKET_KEY, &BEARER));
    handle(&mut board, now, Event::Tick);
    let arrived = Event::RequestArrived {
        id,
        head: head.clone(),
    };
    let actions = handle(&mut board, now, arrived);
    assert!(actions.iter().any(|a| matches!(a, Action::Dispatch { .. })));
    handle(&mut board, now, Event::CallerDisconnected { id });
    assert!(board.requests.is_empty());
    assert!(board.upstreams.values().all(|u| u.in_flight == 0));
    // Nothing left, and nothing ever will with this ticket.
    let id = RequestId(2);
    let actions = handle(&mut board, now, Event::RequestArrived { id, head });
    let [Action::Refuse { refusal, .. }] = actions.as_slice() else {
        panic!("expected a refusal alone, got {actions:?}");
    };
    assert_eq!(refusal.reason, Reason::TicketVoid);
    assert_eq!(refusal.execution, Execution::NotRun);
}
