//! Tests of who may hold memory when there is little.

use sesamebarrow_routing::memory::{Claimant, Full, Ledger, MAX_SMALL_BYTES};

const MIB: usize = 1024 * 1024;

/// Bytes of the tests' budget.
const CAPACITY: usize = 100 * MIB;

fn claimant(customer: u64, priority: u8) -> Claimant {
    Claimant { customer, priority }
}

/// Takes bodies of `bytes` bytes until there is no room, by customers in turn. Returns how many there were.
fn fill(ledger: &mut Ledger, customers: u64, priority: u8, bytes: usize) -> usize {
    let mut taken = 0;
    let mut refused = 0;
    while refused < customers {
        let customer = (taken as u64 + refused) % customers;
        match ledger.take(claimant(customer, priority), bytes, bytes) {
            Ok(()) => (taken, refused) = (taken + 1, 0),
            Err(_) => refused += 1,
        }
    }
    taken
}

#[test]
fn sum_of_large_bodies_is_bounded() {
    let mut ledger = Ledger::new(CAPACITY);
    let taken = fill(&mut ledger, 8, 0, 4 * MIB);
    assert_eq!(taken, 18);
    assert!(ledger.held() <= CAPACITY * 3 / 4);
}

#[test]
fn small_bodies_fit_beside_any_number_of_large_ones() {
    let mut ledger = Ledger::new(CAPACITY);
    fill(&mut ledger, 8, 0, 4 * MIB);
    let small = fill(&mut ledger, 8, 5, MAX_SMALL_BYTES);
    assert!(
        small >= CAPACITY / 4 / MAX_SMALL_BYTES,
        "{small} small bodies"
    );
}

#[test]
fn large_bodies_that_are_less_urgent_give_way() {
    let mut ledger = Ledger::new(CAPACITY);
    fill(&mut ledger, 8, 1, 4 * MIB);
    let urgent = claimant(9, 0);
    assert_eq!(ledger.take(urgent, 4 * MIB, 4 * MIB), Ok(()));
    let patient = claimant(9, 1);
    assert_eq!(ledger.take(patient, 4 * MIB, 4 * MIB), Err(Full::Budget));
}

#[test]
fn one_customer_cannot_take_the_whole_budget() {
    let mut ledger = Ledger::new(CAPACITY);
    fill(&mut ledger, 1, 0, MAX_SMALL_BYTES);
    assert!(ledger.held() <= CAPACITY / 2);
    let same = ledger.take(claimant(0, 0), MAX_SMALL_BYTES, MAX_SMALL_BYTES);
    assert_eq!(same, Err(Full::Customer));
    let other = ledger.take(claimant(1, 0), MAX_SMALL_BYTES, MAX_SMALL_BYTES);
    assert_eq!(other, Ok(()));
}

#[test]
fn growing_body_is_judged_by_its_whole_size() {
    let mut ledger = Ledger::new(CAPACITY);
    fill(&mut ledger, 8, 0, 4 * MIB);
    let growing = claimant(9, 0);
    assert_eq!(
        ledger.take(growing, MAX_SMALL_BYTES, MAX_SMALL_BYTES),
        Ok(())
    );
    let more = ledger.take(growing, 4 * MIB, 4 * MIB + MAX_SMALL_BYTES);
    assert_eq!(more, Err(Full::Budget));
}

#[test]
fn bytes_that_are_put_back_can_be_taken_again() {
    let mut ledger = Ledger::new(CAPACITY);
    for _ in 0..1_000 {
        assert_eq!(ledger.take(claimant(1, 0), 30 * MIB, 30 * MIB), Ok(()));
        ledger.put_back(claimant(1, 0), 30 * MIB);
    }
    assert_eq!(ledger.held(), 0);
}
