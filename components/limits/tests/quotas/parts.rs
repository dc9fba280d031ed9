//! Single relays and entry VMs.

use super::*;

#[test]
fn account_that_is_removed_and_added_again_gets_no_further_burst() {
    let now = Instant::now();
    let limits = quota_limits(1);
    let mut ledger = CreditLedger::new(limits, true, now);
    let quota = quota(1.0, 40.0);
    ledger.update([("a", Some(quota))], now);
    let request = [CreditRequest { account: "a".into(), count: 1_000 }];
    let party = PartyId(1);
    let granted = |ledger: &mut CreditLedger, at: Instant| {
        ledger.request(party, &request, at);
        ledger.take_messages()[&party].grants[0].count
    };
    assert_eq!(granted(&mut ledger, now), 50, "the burst and half of the slack");
    ledger.update([], now + Duration::from_secs(1));
    ledger.update([("a", Some(quota))], now + Duration::from_secs(2));
    assert_eq!(granted(&mut ledger, now + Duration::from_secs(2)), 2);
}

#[test]
fn restarted_relay_starts_without_credits() {
    let now = Instant::now();
    let mut ledger = CreditLedger::new(quota_limits(1), false, now);
    ledger.update([("a", Some(quota(10.0, 40.0)))], now);
    let request = [CreditRequest { account: "a".into(), count: 3 }];
    ledger.request(PartyId(1), &request, now);
    let grant = ledger.take_messages()[&PartyId(1)].grants[0].clone();
    assert_eq!((grant.count, grant.retry_after_ms), (0, 100));
    let later = now + Duration::from_secs(1);
    ledger.request(PartyId(1), &request, later);
    assert_eq!(ledger.take_messages()[&PartyId(1)].grants[0].count, 3);
}

fn queue_with_relay(now: Instant) -> CreditQueue<u32> {
    let mut queue = CreditQueue::new(quota_limits(1), 0.5, now);
    queue.connect();
    queue
}

fn grant(count: u32, retry_after_ms: u32) -> [CreditGrant; 1] {
    [CreditGrant { account: "a".into(), count, retry_after_ms, left: 0 }]
}

#[test]
fn returned_credit_is_used_by_the_next_request_for_a_short_time() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let quota = quota(1.0, 1.0);
    let mut queue = queue_with_relay(now);
    assert_eq!(queue.decide("a", quota, now, &mut rng), None);
    queue.wait("a", 1, now + CREDIT_WAIT);
    assert_eq!(queue.next_requests(now).len(), 1);
    let decided = queue.apply_grants(&grant(1, 0), now, &mut rng);
    let [(1, CreditDecision::Granted(credit))] = decided[..] else {
        panic!("the request is granted: {decided:?}");
    };
    queue.give_back("a", credit, now);
    let decision = queue.decide("a", quota, now, &mut rng);
    assert_eq!(decision, Some(CreditDecision::Granted(credit)));
    queue.give_back("a", credit, now);
    assert_eq!(queue.decide("a", quota, credit.expires_at, &mut rng), None);
    let validity = credit.expires_at - now;
    assert!(validity <= WINDOW.mul_f64(OVER), "{validity:?}");
}

#[test]
fn late_credits_are_not_used() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut queue = queue_with_relay(now);
    queue.wait("a", 1, now + Duration::from_secs(9));
    queue.next_requests(now);
    let late = now + quota_limits(1).credit_validity();
    assert_eq!(queue.apply_grants(&grant(1, 0), late, &mut rng), vec![]);
    assert_eq!(queue.next_requests(late).len(), 1, "it is requested again");
}

#[test]
fn refusals_are_remembered_and_their_delays_differ() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let quota = quota(1.0, 1.0);
    let mut queue = queue_with_relay(now);
    queue.wait("a", 1, now + CREDIT_WAIT);
    queue.next_requests(now);
    let decided = queue.apply_grants(&grant(0, 400), now, &mut rng);
    assert!(matches!(decided[..], [(1, CreditDecision::Refused(_))]), "{decided:?}");
    let mut delays: Vec<Duration> = (0..10)
        .map(|_| match queue.decide("a", quota, now, &mut rng) {
            Some(CreditDecision::Refused(delay)) => delay,
            other => panic!("it is refused: {other:?}"),
        })
        .collect();
    assert!(delays.iter().all(|delay| *delay >= Duration::from_millis(400)), "{delays:?}");
    delays.sort_by_key(|delay| Reverse(*delay));
    delays.dedup();
    assert_eq!(delays.len(), 10, "callers don't return together");
    let later = now + Duration::from_millis(400);
    assert_eq!(queue.decide("a", quota, later, &mut rng), None, "there is credit");
}

#[test]
fn unknown_account_is_requested_again() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut queue = queue_with_relay(now);
    queue.wait("a", 1, now + CREDIT_WAIT);
    queue.next_requests(now);
    assert_eq!(queue.apply_grants(&grant(0, 0), now, &mut rng), vec![]);
    assert_eq!(queue.next_requests(now), vec![], "not at once");
    let at = queue.next_request_at().expect("it is requested later");
    assert_eq!(queue.next_requests(at).len(), 1);
}

#[test]
fn requests_of_a_lost_relay_go_to_the_next() {
    let now = Instant::now();
    let mut queue = queue_with_relay(now);
    queue.wait("a", 1, now + CREDIT_WAIT);
    queue.wait("a", 2, now + Duration::from_millis(1));
    queue.next_requests(now);
    queue.disconnect(now);
    assert_eq!(queue.next_requests(now), vec![]);
    queue.connect();
    let later = now + Duration::from_millis(2);
    let requests = queue.next_requests(later);
    assert_eq!(requests, vec![CreditRequest { account: "a".into(), count: 1 }]);
}

#[test]
fn late_loan_is_discarded() {
    let now = Instant::now();
    let limits = quota_limits(2);
    let mut ledger = CreditLedger::new(limits, false, now);
    ledger.update([("a", Some(quota(2.0, 40.0)))], now);
    let (vm, lender) = (PartyId(1), PartyId(2));
    ledger.add_lender(lender);
    ledger.request(vm, &[CreditRequest { account: "a".into(), count: 5 }], now);
    assert_eq!(ledger.take_messages()[&lender].requests[0].count, 5);
    let late = now + limits.loan_validity() + Duration::from_millis(1);
    ledger.expire_loans(late);
    let grants = &ledger.take_messages()[&vm].grants;
    assert_eq!(grants[0].count, 0, "the VM gets a response without the loan");
    ledger.apply_loans(lender, &grant(5, 0), late);
    ledger.request(vm, &[CreditRequest { account: "a".into(), count: 1 }], late);
    let messages = ledger.take_messages();
    assert_eq!(messages[&lender].requests[0].count, 1, "nothing was added to the bucket");
}
