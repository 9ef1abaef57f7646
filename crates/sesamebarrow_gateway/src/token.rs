//! Takes tokens of customers' rates from the buckets that this and other instances keep.
//!
//! The decisions are in `sesamebarrow_routing::holder` and `sesamebarrow_routing::quota`;
//! this module exchanges the datagrams.

use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sesamebarrow_routing::config::Customer;
use sesamebarrow_routing::holder::{self, Holder};
use sesamebarrow_routing::quota::{Exceeded, LoanNeed};
use sesamebarrow_routing::token::{self, Body, Grant, Lent, Request, Return};
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use crate::dispatch::client;
use crate::limit;
use crate::quarantine;
use crate::reply::Refusal;
use crate::selection::jittered_retry_after;
use crate::shared::Shared;
use crate::telemetry;

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Time between two checks whether buckets need loans.
const LOAN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time within which the holder of a bucket must answer. Longer than the pause of an instance
/// whose processor time is granted in slices of a tenth of a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// Time after which a client may retry if no holder answered.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Number of returns that are remembered, to ignore duplicated datagrams.
const MAX_REMEMBERED_RETURNS: usize = 256;

/// Number of requests for loans that are remembered until they are answered.
const MAX_PENDING_LOANS: usize = 1_024;

/// The exchange of tokens with other instances.
pub struct Tokens {
    socket: UdpSocket,
    next_id: AtomicU64,
    /// Requests for tokens that have not been answered, by id.
    requests: Mutex<HashMap<u64, oneshot::Sender<Grant>>>,
    /// Ids of requests for loans that have not been answered, oldest first.
    loans: Mutex<VecDeque<u64>>,
    /// Senders and ids of recent returns, oldest first.
    returns: Mutex<VecDeque<(IpAddr, u64)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic while a lock is held ends only one task. The tables remain usable.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Tokens {
    /// Exchanges datagrams over `socket`.
    pub fn new(socket: UdpSocket) -> Self {
        Self {
            socket,
            next_id: AtomicU64::new(1),
            requests: Mutex::default(),
            loans: Mutex::default(),
            returns: Mutex::default(),
        }
    }

    fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends a datagram. An error is only logged: datagrams may be lost anyway, and what they
    /// would have granted or returned is lost with them.
    pub fn send(&self, to: SocketAddr, body: Body) {
        if let Err(error) = self.socket.try_send_to(&token::encode(body), to) {
            log::debug!(to:% = to, error:% = error; "cannot send token datagram");
        }
    }
}

/// Tokens taken from a customer's bucket; one for each request if the customer's rate counts
/// requests. They are returned when the reservation is dropped, unless the request may have run.
pub struct Reservation {
    shared: Arc<Shared>,
    /// The tokens taken; `None` if there is nothing to return.
    taken: Option<Taken>,
    consumed: AtomicBool,
}

/// Tokens and the bucket that they were taken from.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Taken {
    customer: u64,
    tokens: f64,
    /// Address of the instance that granted the request with this id; `None` if the bucket is
    /// kept by this instance.
    granted_by: Option<(Ipv4Addr, u64)>,
}

impl Reservation {
    /// Returns a reservation without tokens.
    pub fn none(shared: &Arc<Shared>) -> Self {
        Self::new(shared, None)
    }

    fn new(shared: &Arc<Shared>, taken: Option<Taken>) -> Self {
        Self {
            shared: shared.clone(),
            taken,
            consumed: AtomicBool::new(false),
        }
    }

    /// Sets whether the request may have run, so that the tokens are not returned.
    pub fn set_consumed(&self, consumed: bool) {
        self.consumed.store(consumed, Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let Some(taken) = self.taken else {
            return;
        };
        if self.consumed.load(Ordering::Relaxed) {
            return;
        }
        match taken.granted_by {
            None => self
                .shared
                .board()
                .quota
                .refund(taken.customer, taken.tokens),
            Some((ip, id)) => {
                let body = Body::Return(Return {
                    id,
                    customer: taken.customer,
                    tokens: to_count(taken.tokens),
                });
                self.shared.tokens.send(address(&self.shared, ip), body);
            }
        }
    }
}

fn to_count(tokens: f64) -> u64 {
    // CAST: token counts are whole, not negative, and far below 2^53.
    tokens as u64
}

fn to_tokens(count: u64) -> f64 {
    // CAST: token counts are far below 2^53.
    count as f64
}

fn address(shared: &Shared, ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::new(ip.into(), shared.listen.tokens.port())
}

/// Takes the tokens of a request from its customer's bucket. `tokens` is what the request
/// states.
pub async fn reserve(
    shared: &Arc<Shared>,
    request_id: &SmolStr,
    customer: &Customer,
    tokens: Option<u64>,
) -> Result<Reservation, Refusal> {
    if customer.rate <= 0.0 {
        return Ok(Reservation::none(shared));
    }
    let cost = customer.cost(tokens);
    let hash = token::customer_hash(&customer.name);
    let result = take(shared, hash, cost).await;
    telemetry::count_quota(cost, matches!(result, Ok(Ok(_))));
    match result {
        Ok(Ok(granted_by)) => Ok(Reservation::new(
            shared,
            Some(Taken {
                customer: hash,
                tokens: cost,
                granted_by,
            }),
        )),
        Ok(Err(retry_after)) => {
            if shared.log_limiter.allow(true) {
                log::info!(
                    request = request_id.as_str(), customer = customer.name.as_str(), cost,
                    rate = customer.rate, retry_ms = retry_after.as_millis();
                    "rate exceeded"
                );
            }
            Err(Refusal::Rate(retry_after))
        }
        Err(Unanswered) => Err(Refusal::NotRun(
            "no-bucket",
            jittered_retry_after(UNANSWERED_RETRY_AFTER),
        )),
    }
}

/// No holder of the bucket answered in time.
#[derive(Debug)]
struct Unanswered;

/// Result of taking tokens: the instance that granted them with the id of the request, `None`
/// for this instance; or the time after which to retry.
type TakeResult = Result<Option<(Ipv4Addr, u64)>, Duration>;

async fn take(shared: &Arc<Shared>, customer: u64, cost: f64) -> Result<TakeResult, Unanswered> {
    let holders = holder::holders(&shared.board(), shared.now(), customer);
    let mut refusals: Vec<Duration> = Vec::new();
    for holder in holders {
        match take_from(shared, holder, customer, cost).await {
            Ok(Ok(granted_by)) => return Ok(Ok(granted_by)),
            Ok(Err(retry_after)) => refusals.push(retry_after),
            Err(Unanswered) => {}
        }
        if refusals.len() == holder::REFILLED_PER_REGION {
            break;
        }
    }
    let soonest = refusals.into_iter().min();
    soonest.map(Err).ok_or(Unanswered)
}

async fn take_from(
    shared: &Arc<Shared>,
    holder: Holder,
    customer: u64,
    cost: f64,
) -> Result<TakeResult, Unanswered> {
    let ip = match holder {
        Holder::Own => {
            let taken = shared.board().quota.take(shared.now(), customer, cost);
            return Ok(taken.map(|()| None).map_err(|e| e.retry_after));
        }
        Holder::Other(ip) => ip,
    };
    let id = shared.tokens.next_id();
    let grant = req(shared, ip, id, (customer, cost)).await;
    telemetry::count_token_request(grant.is_some());
    match grant {
        Some(grant) if grant.granted => Ok(Ok(Some((ip, id)))),
        Some(grant) => Ok(Err(Duration::from_millis(grant.retry_after_ms.into()))),
        None => {
            holder::record_unanswered(&mut shared.board(), shared.now(), ip);
            Err(Unanswered)
        }
    }
}

async fn req(
    shared: &Shared,
    ip: Ipv4Addr,
    id: u64,
    (customer, cost): (u64, f64),
) -> Option<Grant> {
    let (tx, rx) = oneshot::channel();
    let tokens = &shared.tokens;
    lock(&tokens.requests).insert(id, tx);
    let _pending = PendingRequest { tokens, id };
    let body = Body::Request(Request {
        id,
        customer,
        tokens: to_count(cost),
        is_loan: false,
    });
    tokens.send(address(shared, ip), body);
    let grant = tokio::time::timeout(ANSWER_TIMEOUT, rx).await;
    // The sender is dropped only when the process ends.
    grant.ok()?.ok()
}

/// Forgets a request when it is answered, times out, or its client leaves. Tokens that are
/// granted later are lost, which never exceeds a rate.
struct PendingRequest<'a> {
    tokens: &'a Tokens,
    id: u64,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        lock(&self.tokens.requests).remove(&self.id);
    }
}

/// Receives datagrams and requests loans until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut interval = tokio::time::interval(LOAN_CHECK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            _ = interval.tick() => request_loans(&shared),
            received = shared.tokens.socket.recv_from(&mut buf) => match received {
                Ok((length, from)) => handle_datagram(&shared, &buf[..length], from),
                Err(error) => log::debug!(error:% = error; "cannot receive token datagram"),
            },
        }
    }
}

fn request_loans(shared: &Shared) {
    let requests = holder::request_loans(&mut shared.board(), shared.now());
    for request in requests {
        let id = shared.tokens.next_id();
        let mut loans = lock(&shared.tokens.loans);
        loans.push_back(id);
        if loans.len() > MAX_PENDING_LOANS {
            loans.pop_front();
        }
        drop(loans);
        let body = Body::Request(Request {
            id,
            customer: request.need.customer,
            tokens: to_count(request.need.tokens),
            is_loan: true,
        });
        shared.tokens.send(address(shared, request.lender), body);
    }
}

fn handle_datagram(shared: &Shared, bytes: &[u8], from: SocketAddr) {
    match token::decode(bytes).map(|d| d.body) {
        Ok(Some(Body::Request(request))) => {
            let grant = grant(shared, &request);
            shared.tokens.send(from, Body::Grant(grant));
        }
        Ok(Some(Body::Grant(grant))) => handle_grant(shared, grant, from.ip()),
        Ok(Some(Body::Return(returned))) => handle_return(shared, &returned, from.ip()),
        Ok(Some(Body::Blames(blames))) => quarantine::handle_blames(shared, &blames),
        Ok(Some(Body::Orders(orders))) => quarantine::handle_orders(shared, &orders),
        Ok(Some(Body::TrialRequest(request))) => {
            let grant = quarantine::trial::handle_request(shared, request);
            shared.tokens.send(from, Body::TrialGrant(grant));
        }
        Ok(Some(Body::TrialGrant(grant))) => quarantine::trial::handle_grant(shared, grant),
        Ok(Some(Body::TrialReturn(returned))) => quarantine::trial::handle_return(shared, returned),
        Ok(Some(Body::PermitRequest(request))) => {
            let answer = limit::handle_permit_request(shared, &request, from);
            shared.tokens.send(from, Body::PermitAnswer(answer));
        }
        Ok(Some(Body::PermitAnswer(answer))) => limit::handle_permit_answer(shared, answer),
        Ok(Some(Body::LimitObserved(observed))) => limit::handle_observed(shared, &observed),
        Ok(Some(Body::LimitStates(states))) => limit::handle_states(shared, &states),
        Ok(Some(Body::PlaceRequest(req))) => {
            if let IpAddr::V4(ip) = from.ip() {
                let answer = client::handle_place_request(shared, ip, &req);
                shared.tokens.send(from, Body::Answer(answer));
            }
        }
        Ok(Some(Body::Answer(answer))) => client::handle_answer(shared, answer),
        Ok(Some(Body::Notices(notices))) => {
            if let IpAddr::V4(ip) = from.ip() {
                client::handle_notices(shared, ip, &notices);
            }
        }
        Ok(None) => log::debug!(from:% = from; "unknown kind of token datagram"),
        Err(error) => log::warn!(from:% = from, error:% = error; "cannot decode token datagram"),
    }
}

fn grant(shared: &Shared, request: &Request) -> Grant {
    let now = shared.now();
    let (customer, tokens) = (request.customer, to_tokens(request.tokens));
    let quota = &mut shared.board().quota;
    let refused = Grant {
        id: request.id,
        ..Grant::default()
    };
    if request.is_loan {
        let lent = to_count(quota.lend(now, customer, tokens));
        return Grant {
            granted: lent > 0,
            lent: Some(Lent {
                customer,
                requested: request.tokens,
                tokens: lent,
            }),
            ..refused
        };
    }
    match quota.take(now, customer, tokens) {
        Ok(()) => Grant {
            granted: true,
            ..refused
        },
        Err(Exceeded { retry_after }) => Grant {
            // CAST: the delay is at most a minute.
            retry_after_ms: retry_after.as_millis() as u32,
            ..refused
        },
    }
}

fn handle_grant(shared: &Shared, grant: Grant, from: IpAddr) {
    if let Some(tx) = lock(&shared.tokens.requests).remove(&grant.id) {
        // Fails if the client left just now.
        let _ = tx.send(grant);
        return;
    }
    let (Some(lent), IpAddr::V4(lender)) = (grant.lent, from) else {
        return;
    };
    let mut loans = lock(&shared.tokens.loans);
    let Some(position) = loans.iter().position(|id| *id == grant.id) else {
        return;
    };
    loans.remove(position);
    drop(loans);
    metrics::counter!("sesamebarrow_borrowed_tokens_total").increment(lent.tokens);
    let requested = LoanNeed {
        customer: lent.customer,
        tokens: to_tokens(lent.requested),
    };
    let tokens = to_tokens(lent.tokens);
    holder::receive_loan(&mut shared.board(), lender, requested, tokens);
}

fn handle_return(shared: &Shared, returned: &Return, from: IpAddr) {
    let mut returns = lock(&shared.tokens.returns);
    if returns.contains(&(from, returned.id)) {
        return;
    }
    returns.push_back((from, returned.id));
    if returns.len() > MAX_REMEMBERED_RETURNS {
        returns.pop_front();
    }
    drop(returns);
    let quota = &mut shared.board().quota;
    quota.refund(returned.customer, to_tokens(returned.tokens));
}
