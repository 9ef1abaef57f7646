//! Decides which instances of a region keep the token buckets of a customer.
//!
//! All instances rank the instances of a region by rendezvous hashing. The one that ranks
//! first among those that are alive is the *holder*: requests take their tokens from its
//! bucket, and from that of the next instance if it is empty. The first
//! [`REFILLED_PER_REGION`] among all known instances, silent ones included, refill their
//! buckets, each at an equal part of the region's part of the rate; the others have only
//! borrowed tokens. While an instance is silent, the next one takes its place as a holder,
//! but does not refill a bucket for it, so that views that differ never exceed the rate.
//!
//! An instance that was silent for [`crate::member::REMOVAL_TIMEOUT`] without having drained has ended, or serves
//! behind a partition. The others then refill in its place, but only their share of the region's
//! part, by the number of instances that they reach: the sides of a region that is split in itself
//! add up to that part.

use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::SliceRandom;
use smol_str::SmolStr;

use crate::board::Board;
use crate::member::{DISCOVERY_TIME, Member};
use crate::quota::LoanNeed;
use crate::rendezvous;

/// Time without a new member after which a starting instance knows the others.
const DISCOVERY_QUIET_TIME: Duration = Duration::from_millis(300);

/// Minimum time after its start in which an instance waits for others of which it has heard.
const MIN_DISCOVERY_TIME: Duration = Duration::from_millis(500);

/// Maximum time after its start in which an instance waits until no new members appear.
const MAX_DISCOVERY_TIME: Duration = Duration::from_secs(6);

/// Number of instances per region that refill a customer's bucket. With two, the region
/// keeps half of its part while the failure of one is being detected.
pub const REFILLED_PER_REGION: usize = 2;

/// Maximum number of instances that are asked for the tokens of one request, those that do
/// not answer included.
const MAX_HOLDERS: usize = REFILLED_PER_REGION + 1;

/// Maximum number of instances that one bucket asks for loans at the same time.
const MAX_LENDERS: usize = 4;

/// Time within which a lender must answer.
const LOAN_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which an instance that did not answer is not asked for tokens.
const UNANSWERED_TIME: Duration = Duration::from_secs(2);

/// Fraction of a rate that an instance of the previous version leaves to instances that
/// report no demand to it.
const UNREPORTED_FRACTION: f64 = 0.1;

/// Where the bucket of a customer is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// By this instance.
    Own,
    /// By the instance at this address.
    Other(Ipv4Addr),
}

/// A request for a loan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoanRequest {
    /// Address of the instance to ask.
    pub lender: Ipv4Addr,
    /// The customer, and the tokens asked of this lender.
    pub need: LoanNeed,
}

fn weight(customer: u64, name_hash: u32) -> u64 {
    rendezvous::weight_of_hashes(customer, name_hash.into())
}

/// Returns the instances of this region to ask for tokens of `customer`, the hash of its
/// name, in this order. Instances that did not answer recently are passed over.
pub fn holders(board: &Board, now: Duration, customer: u64) -> Vec<Holder> {
    let members = board
        .members
        .alive(now)
        .filter(|m| is_asked(m, now, &board.identity.region))
        .map(|m| (weight(customer, m.name_hash), Holder::Other(m.ip())));
    let own = (weight(customer, board.name_hash()), Holder::Own);
    let mut ranked: Vec<(u64, Holder)> = members.chain([own]).collect();
    ranked.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    ranked.truncate(MAX_HOLDERS);
    ranked.into_iter().map(|(_, holder)| holder).collect()
}

/// Returns whether `member` is of `region`, keeps buckets and answers requests for tokens.
fn is_asked(member: &Member, now: Duration, region: &SmolStr) -> bool {
    member.region == *region && member.record.keeps_buckets && now >= member.unanswered_until
}

/// Returns the instances of `region` that are alive and answer, the first in rank first.
fn ranked_alive<'a>(
    board: &'a Board,
    now: Duration,
    customer: u64,
    region: &SmolStr,
) -> Vec<&'a Member> {
    let mut ranked: Vec<_> = board
        .members
        .alive(now)
        .filter(|m| is_asked(m, now, region))
        .collect();
    ranked.sort_by_cached_key(|m| std::cmp::Reverse(weight(customer, m.name_hash)));
    ranked
}

/// Records that the instance at `ip` did not answer a request for tokens.
pub fn record_unanswered(board: &mut Board, now: Duration, ip: Ipv4Addr) {
    if let Some(member) = board.members.all.values_mut().find(|m| m.ip() == ip) {
        member.unanswered_until = now + UNANSWERED_TIME;
    }
}

/// Updates which buckets this instance keeps and refills.
pub fn update_buckets(board: &mut Board, now: Duration) {
    board.discovery_done |= is_discovery_done(board, now);
    let own_hash = board.name_hash();
    let same_region = |m: &&Member| m.region == board.identity.region;
    let known: Vec<u32> = board
        .members
        .all
        .values()
        .filter(same_region)
        .map(|m| m.name_hash)
        .collect();
    let alive: Vec<u32> = board
        .members
        .alive(now)
        .filter(same_region)
        .map(|m| m.name_hash)
        .collect();
    let own_part = own_part(board, now, known.len() + 1);
    let rank = |customer: u64, others: &[u32]| {
        let own_weight = weight(customer, own_hash);
        let before = |hash: &&u32| weight(customer, **hash) > own_weight;
        others.iter().filter(before).count()
    };
    board.quota.set_refill_fractions(now, |customer| {
        if rank(customer, &known) < REFILLED_PER_REGION {
            Some(own_part)
        } else {
            (rank(customer, &alive) == 0).then_some(0.0)
        }
    });
    if board.discovery_done {
        board.quota.credit_start(now);
    }
}

/// Returns the fraction of a rate at which this instance refills a bucket, of `known` known instances of its region.
fn own_part(board: &Board, now: Duration, known: usize) -> f64 {
    // CAST: small numbers.
    let count = |n: usize| n as f64;
    if board.discovery_done && board.is_cut_off_since_start(now) {
        // The number of regions is of no use: all instances may be in this one.
        return 1.0 / count(board.instance_count(now));
    }
    let reached_fraction = count(known) / count(board.region_instance_count(now));
    refill_fraction(board) * reached_fraction / count(REFILLED_PER_REGION.min(known))
}

/// Returns whether this instance knows the others of its region, or has no more reason to
/// wait for them.
fn is_discovery_done(board: &Board, now: Duration) -> bool {
    let members = &board.members;
    let quiet = now.saturating_sub(members.last_joined) >= DISCOVERY_QUIET_TIME;
    if members.all.is_empty() {
        return now >= DISCOVERY_TIME;
    }
    now >= MIN_DISCOVERY_TIME && (quiet || now >= MAX_DISCOVERY_TIME)
}

/// Returns the fraction of a rate that refills one region's bucket.
fn refill_fraction(board: &Board) -> f64 {
    if !board.discovery_done {
        return 0.0;
    }
    // CAST: the number of instances is small.
    let count = |n: usize| n as f64;
    let region_fraction = 1.0 / count(board.region_count());
    let members = &board.members;
    let previous_version = members.all.values().filter(|m| !m.record.keeps_buckets);
    match previous_version.count() {
        0 => region_fraction,
        old => {
            let total = count(members.all.len() + 1);
            region_fraction * UNREPORTED_FRACTION * (total - count(old)) / total
        }
    }
}

/// Returns the requests for loans to send now, to other instances that may refill the same
/// customer's buckets.
pub fn request_loans(board: &mut Board, now: Duration) -> Vec<LoanRequest> {
    let needs = board.quota.loans_needed(now);
    let mut requests = Vec::new();
    for need in needs {
        let lenders = lenders(board, now, need.customer);
        // CAST: the number of lenders is small.
        let tokens = (need.tokens / lenders.len().max(1) as f64).ceil();
        for lender in lenders {
            let need = LoanNeed { tokens, ..need };
            board.quota.record_loan_request(now, need);
            record_lender_asked(board, now, lender);
            requests.push(LoanRequest { lender, need });
        }
    }
    requests
}

fn lenders(board: &mut Board, now: Duration, customer: u64) -> Vec<Ipv4Addr> {
    let mut regions: Vec<&SmolStr> = board.regions.values().collect();
    regions.sort();
    regions.dedup();
    let refilled = |region: &SmolStr| {
        let ranked = ranked_alive(board, now, customer, region).into_iter();
        ranked.take(REFILLED_PER_REGION).map(Member::ip)
    };
    let mut lenders: Vec<Ipv4Addr> = regions.into_iter().flat_map(refilled).collect();
    lenders.shuffle(&mut board.rng);
    lenders.truncate(MAX_LENDERS);
    lenders
}

/// Records that the instance at `ip` is asked for a loan.
fn record_lender_asked(board: &mut Board, now: Duration, ip: Ipv4Addr) {
    let Some(member) = board.members.all.values_mut().find(|m| m.ip() == ip) else {
        return;
    };
    match member.loan_requested_at {
        Some(at) if now.saturating_sub(at) > LOAN_ANSWER_TIMEOUT => {
            member.loan_requested_at = None;
            member.unanswered_until = now + UNANSWERED_TIME;
        }
        Some(_) => {}
        None => member.loan_requested_at = Some(now),
    }
}

/// Handles the answer of the instance at `lender` to a request for a loan, and adds the
/// `lent` tokens.
pub fn receive_loan(board: &mut Board, lender: Ipv4Addr, requested: LoanNeed, lent: f64) {
    if let Some(member) = board.members.all.values_mut().find(|m| m.ip() == lender) {
        member.loan_requested_at = None;
    }
    board
        .quota
        .receive_loan(requested.customer, requested.tokens, lent);
}
